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

// sipServer is a stand-in for a menu server that speaks SIP (RFC 3261) over UDP and TCP. It answers every set-up after 20 ms and
// leaves it to the other side to end the call.
type sipServer struct {
	lab  *lab
	name string
	port int
	udp  net.PacketConn
	tcp  net.Listener

	mu    sync.Mutex
	calls map[string]*sipCall // by Call-ID
}

// sipCall is one call at a server.
type sipCall struct {
	number string // called number
	invite *sipMessage
	answer *sipMessage
	acked  bool
	over   bool
	reply  func([]byte) error // over the flow of the set-up
	stream bool
}

func (l *lab) sipServer(name string) *sipServer {
	s := &sipServer{lab: l, name: name, calls: map[string]*sipCall{}}
	for range 20 {
		s.port = l.freePort()
		var err error
		if s.tcp, err = net.Listen("tcp", addr(s.port)); err != nil {
			continue
		}
		if s.udp, err = net.ListenPacket("udp", addr(s.port)); err != nil {
			s.tcp.Close()
			continue
		}
		go s.serveUDP()
		go s.serveTCP()
		return s
	}
	l.cannotRun("no port for a server")
	return nil
}

func (s *sipServer) serveUDP() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := s.udp.ReadFrom(buf)
		if err != nil {
			return
		}
		if m, err := parseSIP(buf[:n]); err == nil {
			s.handle(m, false, func(b []byte) error { _, err := s.udp.WriteTo(b, from); return err })
		}
	}
}

func (s *sipServer) serveTCP() {
	for {
		c, err := s.tcp.Accept()
		if err != nil {
			return
		}
		go s.readTCP(c)
	}
}

func (s *sipServer) readTCP(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		m, err := readSIP(in)
		if err != nil {
			return
		}
		s.handle(m, true, func(b []byte) error { _, err := c.Write(b); return err })
	}
}

func (s *sipServer) handle(m *sipMessage, stream bool, reply func([]byte) error) {
	id := m.get("Call-ID")
	s.mu.Lock()
	defer s.mu.Unlock()
	call := s.calls[id]
	switch m.method() {
	case "INVITE":
		if call != nil {
			if call.answer != nil { // a retransmission
				reply(call.answer.bytes())
			}
			return
		}
		number, _, _ := strings.Cut(strings.TrimPrefix(strings.Fields(m.first)[1], "sip:"), "@")
		call = &sipCall{number: number, invite: m, reply: reply, stream: stream}
		s.calls[id] = call
		s.lab.log("server %s: set-up %s of number %s", s.name, id, number)
		reply(m.respond(100, "Trying", "").bytes())
		time.AfterFunc(20*time.Millisecond, func() { s.answer(call) })
	case "ACK":
		if call != nil && !call.acked {
			call.acked = true
			s.lab.log("server %s: call %s of number %s stands", s.name, id, call.number)
		}
	case "BYE":
		if call != nil && !call.over {
			call.over = true
			s.lab.log("server %s: call %s released by the gatekeeper", s.name, id)
		}
		reply(m.respond(200, "OK", "").bytes())
	case "CANCEL":
		reply(m.respond(200, "OK", "").bytes())
	case "OPTIONS":
		reply(m.respond(200, "OK", "s").bytes())
	case "": // a response
	default:
		reply(m.respond(405, "Method Not Allowed", "s").bytes())
	}
}

// answer sends the 200, and again until its ACK arrives.
func (s *sipServer) answer(call *sipCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call.answer = call.invite.respond(200, "OK", randomID()).add("Contact", fmt.Sprintf("<sip:menu@%s;transport=%s>", addr(s.port), call.transport())).
		add("Content-Type", "application/sdp")
	call.answer.body = "v=0\r\no=" + s.name + "\r\n"
	call.reply(call.answer.bytes())
	var again func(time.Duration)
	again = func(wait time.Duration) {
		time.AfterFunc(wait, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if !call.acked && wait < 16*time.Second {
				call.reply(call.answer.bytes())
				again(2 * wait)
			}
		})
	}
	again(500 * time.Millisecond)
}

func (c *sipCall) transport() string {
	if c.stream {
		return "tcp"
	}
	return "udp"
}
