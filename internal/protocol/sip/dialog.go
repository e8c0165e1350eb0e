package sip

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"beammux/internal/routing"
)

// dialog is one side of an established call (RFC 3261, 12). Its exported fields are the stored record.
type dialog struct {
	ID        string   `json:"ID"`     // the core's call id
	Server    bool     `json:"Server"` // the peer is a server: this side sent the INVITE
	CallID    string   `json:"CallID"`
	Local     string   `json:"Local"`  // From header of requests sent inside the dialog, with tag
	Remote    string   `json:"Remote"` // To header of requests sent inside the dialog, with tag
	LocalSeq  uint32   `json:"LocalSeq"`
	RemoteSeq uint32   `json:"RemoteSeq"`
	Target    string   `json:"Target"` // remote target: the URI in the peer's Contact
	Routes    []string `json:"Routes"` // route set, nearest first
	InviteSeq uint32   `json:"InviteSeq"`
	Proto     string   `json:"Proto"` // transport of the set-up, "UDP" or "TCP"

	flow      flow
	conn      *serverConn        // connection of a dialog with a server; nil after a restart
	attempt   routing.AttemptRef // that opened a dialog with a server; empty after a restart
	callerLeg *uasCall
	ended     bool
}

func (d *dialog) key() string { return dialogKey(d.CallID, tag(d.Local), tag(d.Remote)) }

func dialogKey(callID, local, remote string) string { return callID + "|" + local + "|" + remote }

// randomToken returns a random hexadecimal string for tags, branches and call ids.
func randomToken(bytes int) string {
	b := make([]byte, bytes)
	rand.Read(b)
	return hex.EncodeToString(b)
}

func cseq(n uint32, method string) string { return fmt.Sprintf("%d %s", n, method) }

// contactURI returns the URI of a message's first Contact, or fallback if there is none.
func contactURI(m *Message, fallback string) string {
	if all := m.listValues("Contact"); len(all) > 0 {
		if a, err := parseAddress(all[0]); err == nil {
			return a.uri
		}
	}
	return fallback
}

// dialogFromRequest returns the dialog that a 2xx to an INVITE opens at the called side (RFC 3261, 12.1.1).
func dialogFromRequest(req *Message, id, localTag, proto string) *dialog {
	number, _, _ := req.CSeq()
	from, _ := parseAddress(req.Get("From"))
	return &dialog{ID: id, CallID: req.Get("Call-ID"), Local: req.Get("To") + ";tag=" + localTag,
		Remote: req.Get("From"), RemoteSeq: number, InviteSeq: number, Target: contactURI(req, from.uri),
		Routes: req.listValues("Record-Route"), Proto: proto}
}

// dialogFromResponse returns the dialog that a 2xx opens at the calling side (RFC 3261, 12.1.2), where the route set is the
// reversed Record-Route.
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

// request returns a new request inside the dialog (RFC 3261, 12.2.1.1), without Via. An ACK has the CSeq number of its INVITE.
func (d *dialog) request(method string) *Message {
	target, routes := d.Target, d.Routes
	if len(routes) > 0 {
		first, err := parseAddress(routes[0])
		if err == nil && !isLooseRouter(first.uri) { // a strict router expects its own URI as the Request-URI
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

// isLooseRouter reports whether a route's URI has the lr parameter.
func isLooseRouter(uri string) bool {
	u, err := parseURI(uri)
	_, loose := u.params["lr"]
	return err == nil && loose
}

// nextHop returns the transport and address to which requests inside the dialog are sent: those of the first route, or of the
// remote target if there is no route.
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
	b, _ := json.Marshal(d) // cannot fail: all exported fields are plain values
	return b
}

// storeKey returns the key of the dialog's stored record: the call id and the side.
func (d *dialog) storeKey() string {
	side := "caller"
	if d.Server {
		side = "server"
	}
	return d.ID + "/" + side
}

// escapeUser percent-encodes a called number for the user part of a URI, so that it cannot change the rest of the URI.
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
