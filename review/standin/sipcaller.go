//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// sipCaller is a stand-in for nursing-station terminals that speak SIP over TCP. All calls give the address at which it listens as
// their Contact.
type sipCaller struct {
	lab    *lab
	listen net.Listener

	mu    sync.Mutex
	calls map[string]*sipCallerCall // by Call-ID
}

// sipCallerCall is one call of a terminal.
type sipCallerCall struct {
	number   string
	invite   *sipMessage
	answer   *sipMessage // the 2xx
	released bool        // the gatekeeper's BYE came
}

func (l *lab) sipCaller() *sipCaller {
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		l.cannotRun("%v", err)
	}
	c := &sipCaller{lab: l, listen: listen, calls: map[string]*sipCallerCall{}}
	go func() {
		for {
			conn, err := listen.Accept()
			if err != nil {
				return
			}
			go c.read("its Contact", conn)
		}
	}()
	return c
}

// sipLink is one connection of a terminal to the gatekeeper.
type sipLink struct {
	caller *sipCaller
	name   string
	conn   net.Conn
	mu     sync.Mutex // held for a write
}

// connect opens a connection to the gatekeeper, or returns nil.
func (c *sipCaller) connect(name, to string) *sipLink {
	conn, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		c.lab.log("terminal: connection %s: %v", name, err)
		return nil
	}
	k := &sipLink{caller: c, name: name, conn: conn}
	go func() {
		c.read(name, conn)
		c.lab.log("terminal: connection %s ended", name)
	}()
	return k
}

func (c *sipCaller) read(name string, conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		m, err := readSIP(in)
		if err != nil {
			return
		}
		c.handle(name, conn, m)
	}
}

func (c *sipCaller) handle(name string, conn net.Conn, m *sipMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.calls[m.get("Call-ID")]
	switch {
	case m.method() == "" && m.cseqMethod() == "BYE":
		c.lab.log("terminal: answer to its release of call %s: %d", m.get("Call-ID"), m.status())
	case m.method() == "BYE":
		if call == nil {
			conn.Write(m.respond(481, "Call/Transaction Does Not Exist", "").bytes())
			return
		}
		if !call.released {
			call.released = true
			c.lab.log("terminal: call to %s released by the gatekeeper on %s", call.number, name)
		}
		conn.Write(m.respond(200, "OK", "").bytes())
	case m.method() != "" && m.method() != "ACK":
		conn.Write(m.respond(405, "Method Not Allowed", "t").bytes())
	case call == nil || m.cseqMethod() != "INVITE" || m.status() < 200:
	case m.status() < 300:
		if call.answer == nil {
			call.answer = m
			c.lab.log("terminal: call to %s stands", call.number)
		}
		conn.Write(c.request(call, "ACK").bytes())
	default:
		c.lab.log("terminal: call to %s: %d", call.number, m.status())
		ack := (&sipMessage{first: strings.Replace(call.invite.first, "INVITE", "ACK", 1)}).add("Via", call.invite.get("Via")).
			add("Max-Forwards", "70").add("From", call.invite.get("From")).add("To", m.get("To")).
			add("Call-ID", m.get("Call-ID")).add("CSeq", "1 ACK")
		conn.Write(ack.bytes())
	}
}

// request returns a request in the dialog of a call.
func (c *sipCaller) request(call *sipCallerCall, method string) *sipMessage {
	cseq := "1 ACK"
	if method != "ACK" {
		cseq = "2 " + method
	}
	return (&sipMessage{first: method + " " + uriOf(call.answer.get("Contact")) + " SIP/2.0"}).
		add("Via", "SIP/2.0/TCP "+c.listen.Addr().String()+";branch=z9hG4bK"+randomID()).add("Max-Forwards", "70").
		add("From", call.invite.get("From")).add("To", call.answer.get("To")).add("Call-ID", call.invite.get("Call-ID")).add("CSeq", cseq)
}

// call sends a set-up on a connection and returns the call.
func (k *sipLink) call() *sipCallerCall {
	c := k.caller
	number := randomID()
	local, to := c.listen.Addr().String(), k.conn.RemoteAddr().String()
	m := (&sipMessage{first: "INVITE sip:" + number + "@" + to + " SIP/2.0"}).
		add("Via", "SIP/2.0/TCP "+local+";branch=z9hG4bK"+randomID()).add("Max-Forwards", "70").
		add("From", fmt.Sprintf("\"Nursing station, ward 4\" <sip:ward@%s>;tag=%s", local, randomID())).add("To", "<sip:"+number+"@"+to+">").
		add("Call-ID", randomID()).add("CSeq", "1 INVITE").
		add("Contact", fmt.Sprintf("<sip:ward@%s;transport=tcp>;+sip.instance=\"<urn:uuid:00000000-0000-1000-8000-000A95A0E128>\"", local)).
		add("X-Cos", "diet-order").add("X-Dest", "0").add("Content-Type", "application/sdp")
	m.body = "v=0\r\nm=audio 31000 RTP/AVP 0\r\n"
	call := &sipCallerCall{number: number, invite: m}
	c.mu.Lock()
	c.calls[m.get("Call-ID")] = call
	c.mu.Unlock()
	c.lab.log("terminal: set-up of number %s on connection %s", number, k.name)
	k.send(m)
	return call
}

// hangUp ends a standing call on a connection.
func (k *sipLink) hangUp(call *sipCallerCall) {
	k.caller.mu.Lock()
	m := k.caller.request(call, "BYE")
	k.caller.mu.Unlock()
	k.caller.lab.log("terminal: ends its call to %s", call.number)
	k.send(m)
}

// send writes a message.
func (k *sipLink) send(m *sipMessage) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conn.SetWriteDeadline(time.Now().Add(time.Second))
	if _, err := k.conn.Write(m.bytes()); err != nil {
		k.caller.lab.log("terminal: connection %s: %v", k.name, err)
	}
}

// stands reports whether a call has been answered.
func (c *sipCaller) stands(call *sipCallerCall) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return call.answer != nil
}
