package sip

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
)

// dialog is one end of a call that stands (RFC 3261, 12). Its exported fields are what the store keeps of it.
type dialog struct {
	ID        string   `json:"ID"`     // the core's id of the call
	Server    bool     `json:"Server"` // towards a server: this end sent the INVITE
	CallID    string   `json:"CallID"`
	Local     string   `json:"Local"`  // From of requests sent in it, with tag
	Remote    string   `json:"Remote"` // To of requests sent in it, with tag
	LocalSeq  uint32   `json:"LocalSeq"`
	RemoteSeq uint32   `json:"RemoteSeq"`
	Target    string   `json:"Target"` // remote target: the other side's Contact
	Routes    []string `json:"Routes"` // route set, nearest first
	InviteSeq uint32   `json:"InviteSeq"`
	Proto     string   `json:"Proto"` // transport of the set-up

	flow      flow
	conn      *serverConn // of a server's dialog; nil after a restart
	callerLeg *uasCall
	ended     bool
}

func (d *dialog) key() string { return dialogKey(d.CallID, tag(d.Local), tag(d.Remote)) }

func dialogKey(callID, local, remote string) string { return callID + "|" + local + "|" + remote }

// randomToken makes a random word for tags, branches and ids.
func randomToken(bytes int) string {
	b := make([]byte, bytes)
	rand.Read(b)
	return hex.EncodeToString(b)
}

func cseq(n uint32, method string) string { return fmt.Sprintf("%d %s", n, method) }

// contactURI gives the URI of a message's Contact, else what stands in otherwise.
func contactURI(m *Message, fallback string) string {
	if all := m.listValues("Contact"); len(all) > 0 {
		if a, err := parseAddress(all[0]); err == nil {
			return a.uri
		}
	}
	return fallback
}

// dialogFromRequest makes the dialog that a 2xx to an INVITE opens at the called side (12.1.1).
func dialogFromRequest(req *Message, id, localTag, proto string) *dialog {
	number, _, _ := req.CSeq()
	from, _ := parseAddress(req.Get("From"))
	return &dialog{ID: id, CallID: req.Get("Call-ID"), Local: req.Get("To") + ";tag=" + localTag,
		Remote: req.Get("From"), RemoteSeq: number, InviteSeq: number, Target: contactURI(req, from.uri),
		Routes: req.listValues("Record-Route"), Proto: proto}
}

// dialogFromResponse makes the dialog that a 2xx opens at the calling side (12.1.2): the route set is reversed.
func dialogFromResponse(m *Message, id, proto string) *dialog {
	number, _, _ := m.CSeq()
	to, _ := parseAddress(m.Get("To"))
	routes := m.listValues("Record-Route")
	for i, j := 0, len(routes)-1; i < j; i, j = i+1, j-1 {
		routes[i], routes[j] = routes[j], routes[i]
	}
	return &dialog{ID: id, Server: true, CallID: m.Get("Call-ID"), Local: m.Get("From"), Remote: m.Get("To"),
		LocalSeq: number, InviteSeq: number, Target: contactURI(m, to.uri), Routes: routes, Proto: proto}
}

// request makes a request inside the dialog (12.2.1.1), without Via. ACK has the number of its INVITE.
func (d *dialog) request(method string) *Message {
	target, routes := d.Target, d.Routes
	if len(routes) > 0 {
		first, err := parseAddress(routes[0])
		if err == nil && !isLooseRouter(first.uri) { // a strict router wants itself in the first line
			target = first.uri
			routes = append(append([]string{}, routes[1:]...), "<"+d.Target+">")
		}
	}
	number := d.InviteSeq
	if method != "ACK" {
		d.LocalSeq++
		number = d.LocalSeq
	}
	m := Request(method, target).Set("From", d.Local).Set("To", d.Remote).Set("Call-ID", d.CallID).
		Set("CSeq", cseq(number, method)).Set("Max-Forwards", "70")
	if len(routes) > 0 {
		m.Header["Route"] = routes
	}
	return m
}

func isLooseRouter(uri string) bool {
	u, err := parseURI(uri)
	_, loose := u.params["lr"]
	return err == nil && loose
}

// nextHop is where requests inside the dialog go: to the first route, else to the remote target.
func (d *dialog) nextHop() (proto, addr string, err error) {
	next := d.Target
	if len(d.Routes) > 0 {
		first, err := parseAddress(d.Routes[0])
		if err != nil {
			return "", "", err
		}
		next = first.uri
	}
	u, err := parseURI(next)
	if err != nil {
		return "", "", err
	}
	proto, addr = u.nextHop()
	if u.params["transport"] == "" && d.Proto != "" {
		proto = d.Proto
	}
	return proto, addr, nil
}

func (d *dialog) record() []byte {
	b, _ := json.Marshal(d) // plain fields: it cannot fail
	return b
}

func (d *dialog) storeKey() string {
	side := "caller"
	if d.Server {
		side = "server"
	}
	return d.ID + "/" + side
}

// escapeUser keeps a called number from breaking out of a URI.
func escapeUser(s string) string {
	var b strings.Builder
	for i := range len(s) {
		c := s[i]
		switch {
		case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', strings.IndexByte("-_.!~*'()&=+$,", c) >= 0:
			b.WriteByte(c)
		default:
			fmt.Fprintf(&b, "%%%02X", c)
		}
	}
	return b.String()
}
