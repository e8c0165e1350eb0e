// Package siptest provides fake SIP callers and servers for tests. They use the message codec of package sip, but none of its
// transactions or dialogs, so that tests check those against RFC 3261 independently.
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

// ReceivedMessage is one message that a UserAgent received.
type ReceivedMessage struct {
	ReceivedAt time.Time // time of arrival
	Msg        *sip.Message
	SendBack   func(*sip.Message) // sends a message to the source, on the same socket or connection
}

// UserAgent is a fake caller or server. It has a UDP socket and a TCP listener on the loopback address, each on its own port.
type UserAgent struct {
	t        testing.TB
	udp      net.PacketConn
	listener net.Listener
	mu       sync.Mutex
	received []ReceivedMessage
	arrived  chan struct{} // closed and replaced when a message arrives
	handler  func(*UserAgent, ReceivedMessage)
	conns    []net.Conn // accepted and dialed TCP connections
}

// New starts a user agent, which is stopped when the test ends. handler, which may be nil, is called for each message in the
// goroutine that reads its connection.
func New(t testing.TB, handler func(*UserAgent, ReceivedMessage)) *UserAgent {
	t.Helper()
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ua := &UserAgent{t: t, udp: udp, listener: listener, arrived: make(chan struct{}), handler: handler}
	t.Cleanup(ua.Stop)
	go ua.readUDP()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			ua.addConn(c)
			go ua.readTCP(c)
		}
	}()
	return ua
}

func (ua *UserAgent) addConn(c net.Conn) {
	ua.mu.Lock()
	ua.conns = append(ua.conns, c)
	ua.mu.Unlock()
}

// Stop closes the user agent's sockets as the crash of a process does: its TCP connections are reset.
func (ua *UserAgent) Stop() {
	ua.udp.Close()
	ua.listener.Close()
	ua.mu.Lock()
	defer ua.mu.Unlock()
	for _, c := range ua.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0) // close with a reset
		}
		c.Close()
	}
	ua.conns = nil
}

// Addr returns the user agent's address for the transport "UDP" or "TCP".
func (ua *UserAgent) Addr(proto string) string {
	if proto == "UDP" {
		return ua.udp.LocalAddr().String()
	}
	return ua.listener.Addr().String()
}

// URI returns the user agent's address as a SIP URI, as used for servers.
func (ua *UserAgent) URI(proto string) string {
	return "sip:" + ua.Addr(proto) + ";transport=" + strings.ToLower(proto)
}

// readUDP reads datagrams until the socket is closed, and ignores malformed ones.
func (ua *UserAgent) readUDP() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := ua.udp.ReadFrom(buf)
		if err != nil {
			return
		}
		if m, err := sip.Parse(buf[:n]); err == nil {
			ua.receive(m, func(r *sip.Message) { ua.udp.WriteTo(r.Append(nil), from) })
		}
	}
}

// readTCP reads a connection until it fails.
func (ua *UserAgent) readTCP(c net.Conn) {
	r := sip.NewReader(bufio.NewReaderSize(c, sip.MaxMessage))
	for {
		m, err := r.Next()
		if err != nil {
			return
		}
		ua.receive(m, func(r *sip.Message) { c.Write(r.Append(nil)) })
	}
}

// receive records a message and calls the handler.
func (ua *UserAgent) receive(m *sip.Message, send func(*sip.Message)) {
	e := ReceivedMessage{time.Now(), m, send}
	ua.mu.Lock()
	ua.received = append(ua.received, e)
	close(ua.arrived)
	ua.arrived = make(chan struct{})
	ua.mu.Unlock()
	if ua.handler != nil {
		ua.handler(ua, e)
	}
}

// Received returns the messages received so far, in order of arrival.
func (ua *UserAgent) Received() []ReceivedMessage {
	ua.mu.Lock()
	defer ua.mu.Unlock()
	return append([]ReceivedMessage(nil), ua.received...)
}

// Count returns the number of received messages that match.
func (ua *UserAgent) Count(matches func(*sip.Message) bool) (n int) {
	for _, e := range ua.Received() {
		if matches(e.Msg) {
			n++
		}
	}
	return n
}

// Transactions returns the number of transactions among the received messages that match. Messages with the same topmost Via
// belong to the same transaction (RFC 3261, 17.2.3). Over UDP a request that is not answered within T1 is retransmitted in its
// transaction.
func (ua *UserAgent) Transactions(matches func(*sip.Message) bool) int {
	seen := map[string]bool{}
	for _, e := range ua.Received() {
		if matches(e.Msg) {
			seen[e.Msg.Get("Via")] = true
		}
	}
	return len(seen)
}

// Wait returns the first message that matches. It waits up to 10 s for it and then fails the test; description names the message
// in the failure.
func (ua *UserAgent) Wait(description string, matches func(*sip.Message) bool) ReceivedMessage {
	ua.t.Helper()
	timeout := time.After(10 * time.Second)
	for {
		ua.mu.Lock()
		received, next := ua.received, ua.arrived
		ua.mu.Unlock()
		for _, e := range received {
			if matches(e.Msg) {
				return e
			}
		}
		select {
		case <-next:
		case <-timeout:
			ua.t.Fatalf("no %s arrived; received %s", description, ua.summary())
		}
	}
}

// summary lists the received messages for a failure report.
func (ua *UserAgent) summary() string {
	var b strings.Builder
	for _, e := range ua.Received() {
		fmt.Fprintf(&b, "[%s%d %s] ", e.Msg.Method, e.Msg.Status, e.Msg.Get("CSeq"))
	}
	return b.String()
}

// Send sends a message to an address, over TCP on a new connection. It returns a function that sends further messages on the
// same socket or connection.
func (ua *UserAgent) Send(proto, addr string, m *sip.Message) func(*sip.Message) {
	ua.t.Helper()
	var send func(*sip.Message)
	if proto == "UDP" {
		to, err := net.ResolveUDPAddr("udp", addr)
		if err != nil {
			ua.t.Fatal(err)
		}
		send = func(m *sip.Message) { ua.udp.WriteTo(m.Append(nil), to) }
	} else {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			ua.t.Fatal(err)
		}
		ua.addConn(c)
		go ua.readTCP(c)
		send = func(m *sip.Message) { c.Write(m.Append(nil)) }
	}
	send(m)
	return send
}

// Invite returns a caller's INVITE. callID also makes its branch and its From tag unique.
func (ua *UserAgent) Invite(proto, callID, key, body string) *sip.Message {
	m := sip.Request("INVITE", "sip:"+key+"@beammux").
		Set("Via", "SIP/2.0/"+proto+" "+ua.Addr(proto)+";rport;branch=z9hG4bK"+callID).
		Set("Max-Forwards", "70").Set("From", "<sip:caller@test>;tag=c"+callID).Set("To", "<sip:"+key+"@beammux>").
		Set("Call-ID", callID).Set("CSeq", "1 INVITE").
		Set("Contact", "<sip:caller@"+ua.Addr(proto)+";transport="+strings.ToLower(proto)+">")
	m.Body = []byte(body)
	return m
}

// InDialog returns a caller's request inside the dialog that the answer to its INVITE opened. number is the CSeq number.
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

// Reply returns a server's response, with the To tag and the Contact that a dialog needs.
func (ua *UserAgent) Reply(req *sip.Message, status int, reason, body string) *sip.Message {
	r := sip.Respond(req, status, reason)
	if status > 100 && !strings.Contains(r.Get("To"), "tag=") {
		r.Set("To", r.Get("To")+";tag=s"+req.Get("Call-ID"))
	}
	proto := "TCP"
	if strings.Contains(req.Get("Via"), "/UDP") {
		proto = "UDP"
	}
	r.Set("Contact", "<sip:server@"+ua.Addr(proto)+";transport="+strings.ToLower(proto)+">")
	r.Body = []byte(body)
	return r
}

// ServerBye returns the BYE of a server that answered an INVITE. cause is the Q.850 cause in the Reason header.
func ServerBye(invite, answer *sip.Message, cause int) *sip.Message {
	contact := strings.Trim(invite.Get("Contact"), "<>")
	return sip.Request("BYE", contact).Set("Via", answer.Get("Via")+"bye").Set("Max-Forwards", "70").
		Set("From", answer.Get("To")).Set("To", invite.Get("From")).Set("Call-ID", invite.Get("Call-ID")).
		Set("CSeq", "1 BYE").Set("Reason", fmt.Sprintf("Q.850;cause=%d", cause))
}

// IsMethod returns a function that reports whether a message is a request with the method.
func IsMethod(method string) func(*sip.Message) bool {
	return func(m *sip.Message) bool { return m.IsRequest() && m.Method == method }
}

// Status returns a function that reports whether a message is a response with the status to a request with the method.
func Status(status int, method string) func(*sip.Message) bool {
	return func(m *sip.Message) bool {
		_, cseqMethod, _ := m.CSeq()
		return m.Status == status && cseqMethod == method
	}
}
