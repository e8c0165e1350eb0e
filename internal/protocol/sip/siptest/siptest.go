// Package siptest has stand-ins for SIP callers and servers, written from RFC 3261 for tests. They share the codec
// with the program, but none of its transactions or dialogs.
package siptest

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"beammux/internal/protocol/sip"
)

// ReceivedMessage is one message that a stand-in received.
type ReceivedMessage struct {
	ReceivedAt time.Time
	Msg        *sip.Message
	SendBack   func(*sip.Message) // sends on the way that the message came
}

// UserAgent is one side: a UDP socket and a TCP listener on the same port's address family, each on a port of its own.
type UserAgent struct {
	t   testing.TB
	pc  net.PacketConn
	ln  net.Listener
	mu  sync.Mutex
	log []ReceivedMessage
	new chan struct{}
	on  func(*UserAgent, ReceivedMessage)
	cns []net.Conn
}

// New starts a party; on is called for each message, in a goroutine of its connection. It may be nil.
func New(t testing.TB, on func(*UserAgent, ReceivedMessage)) *UserAgent {
	t.Helper()
	pc, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &UserAgent{t: t, pc: pc, ln: ln, new: make(chan struct{}), on: on}
	t.Cleanup(p.Stop)
	go p.udp()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			p.keep(c)
			go p.tcp(c)
		}
	}()
	return p
}

func (p *UserAgent) keep(c net.Conn) {
	p.mu.Lock()
	p.cns = append(p.cns, c)
	p.mu.Unlock()
}

// Stop ends the party's sockets, as a process that dies does.
func (p *UserAgent) Stop() {
	p.pc.Close()
	p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.cns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0) // a reset
		}
		c.Close()
	}
	p.cns = nil
}

// Addr gives the party's address for "UDP" or "TCP".
func (p *UserAgent) Addr(proto string) string {
	if proto == "UDP" {
		return p.pc.LocalAddr().String()
	}
	return p.ln.Addr().String()
}

// URI gives the party's address as a server's.
func (p *UserAgent) URI(proto string) string {
	return "sip:" + p.Addr(proto) + ";transport=" + strings.ToLower(proto)
}

func (p *UserAgent) udp() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := p.pc.ReadFrom(buf)
		if err != nil {
			return
		}
		if m, err := sip.Parse(buf[:n]); err == nil {
			p.got(m, func(r *sip.Message) { p.pc.WriteTo(r.Append(nil), from) })
		}
	}
}

func (p *UserAgent) tcp(c net.Conn) {
	r := sip.NewReader(bufio.NewReaderSize(c, sip.MaxMessage))
	for {
		m, err := r.Next()
		if err != nil {
			return
		}
		p.got(m, func(r *sip.Message) { c.Write(r.Append(nil)) })
	}
}

func (p *UserAgent) got(m *sip.Message, back func(*sip.Message)) {
	e := ReceivedMessage{time.Now(), m, back}
	p.mu.Lock()
	p.log = append(p.log, e)
	close(p.new)
	p.new = make(chan struct{})
	p.mu.Unlock()
	if p.on != nil {
		p.on(p, e)
	}
}

// Received gives what was received so far.
func (p *UserAgent) Received() []ReceivedMessage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]ReceivedMessage(nil), p.log...)
}

// Count tells how many messages were received that fit.
func (p *UserAgent) Count(fits func(*sip.Message) bool) (n int) {
	for _, e := range p.Received() {
		if fits(e.Msg) {
			n++
		}
	}
	return n
}

// Transactions counts the transactions (RFC 3261, 17.2.3: the branch of the topmost Via) of the messages that fit. Over UDP a
// request that is not answered within T1 comes again in the same one.
func (p *UserAgent) Transactions(fits func(*sip.Message) bool) int {
	seen := map[string]bool{}
	for _, e := range p.Received() {
		if fits(e.Msg) {
			seen[e.Msg.Get("Via")] = true
		}
	}
	return len(seen)
}

// Wait gives the first message that fits, waiting for it.
func (p *UserAgent) Wait(what string, fits func(*sip.Message) bool) ReceivedMessage {
	p.t.Helper()
	limit := time.After(10 * time.Second)
	for {
		p.mu.Lock()
		log, more := p.log, p.new
		p.mu.Unlock()
		for _, e := range log {
			if fits(e.Msg) {
				return e
			}
		}
		select {
		case <-more:
		case <-limit:
			p.t.Fatalf("no %s came; got %s", what, p.seen())
		}
	}
}

func (p *UserAgent) seen() string {
	var b strings.Builder
	for _, e := range p.Received() {
		fmt.Fprintf(&b, "[%s%d %s] ", e.Msg.Method, e.Msg.Status, e.Msg.Get("CSeq"))
	}
	return b.String()
}

// Send opens a way to an address, sends a message, and gives what sends more on the same way.
func (p *UserAgent) Send(proto, addr string, m *sip.Message) func(*sip.Message) {
	p.t.Helper()
	var send func(*sip.Message)
	if proto == "UDP" {
		to, err := net.ResolveUDPAddr("udp", addr)
		if err != nil {
			p.t.Fatal(err)
		}
		send = func(m *sip.Message) { p.pc.WriteTo(m.Append(nil), to) }
	} else {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			p.t.Fatal(err)
		}
		p.keep(c)
		go p.tcp(c)
		send = func(m *sip.Message) { c.Write(m.Append(nil)) }
	}
	send(m)
	return send
}

// Invite makes a caller's INVITE.
func (p *UserAgent) Invite(proto, callID, key, body string) *sip.Message {
	m := sip.Request("INVITE", "sip:"+key+"@beammux").
		Set("Via", "SIP/2.0/"+proto+" "+p.Addr(proto)+";rport;branch=z9hG4bK"+callID).
		Set("Max-Forwards", "70").Set("From", "<sip:caller@test>;tag=c"+callID).Set("To", "<sip:"+key+"@beammux>").
		Set("Call-ID", callID).Set("CSeq", "1 INVITE").
		Set("Contact", "<sip:caller@"+p.Addr(proto)+";transport="+strings.ToLower(proto)+">")
	m.Body = []byte(body)
	return m
}

// InDialog makes a request inside the dialog that an answer to an INVITE opened.
func InDialog(invite, answer *sip.Message, method string, number int) *sip.Message {
	uri := answer.Get("Contact")
	uri = strings.Trim(uri, "<>")
	if uri == "" {
		uri = invite.URI
	}
	return sip.Request(method, uri).Set("Via", invite.Get("Via")+method).Set("Max-Forwards", "70").
		Set("From", invite.Get("From")).Set("To", answer.Get("To")).Set("Call-ID", invite.Get("Call-ID")).
		Set("CSeq", fmt.Sprintf("%d %s", number, method))
}

// Reply makes a server's response, with a tag and a Contact as a dialog needs.
func (p *UserAgent) Reply(req *sip.Message, status int, reason, body string) *sip.Message {
	r := sip.Respond(req, status, reason)
	if status > 100 && !strings.Contains(r.Get("To"), "tag=") {
		r.Set("To", r.Get("To")+";tag=s"+req.Get("Call-ID"))
	}
	proto := "TCP"
	if strings.Contains(req.Get("Via"), "/UDP") {
		proto = "UDP"
	}
	r.Set("Contact", "<sip:server@"+p.Addr(proto)+";transport="+strings.ToLower(proto)+">")
	r.Body = []byte(body)
	return r
}

// ServerBye makes the BYE of a server that answered an INVITE.
func ServerBye(invite, answer *sip.Message, cause int) *sip.Message {
	contact := strings.Trim(invite.Get("Contact"), "<>")
	return sip.Request("BYE", contact).Set("Via", answer.Get("Via")+"bye").Set("Max-Forwards", "70").
		Set("From", answer.Get("To")).Set("To", invite.Get("From")).Set("Call-ID", invite.Get("Call-ID")).
		Set("CSeq", "1 BYE").Set("Reason", fmt.Sprintf("Q.850;cause=%d", cause))
}

// IsMethod fits a request with a method.
func IsMethod(method string) func(*sip.Message) bool {
	return func(m *sip.Message) bool { return m.IsRequest() && m.Method == method }
}

// Status fits a response to a method.
func Status(status int, method string) func(*sip.Message) bool {
	return func(m *sip.Message) bool {
		_, to, _ := m.CSeq()
		return m.Status == status && to == method
	}
}
