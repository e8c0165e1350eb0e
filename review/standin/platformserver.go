//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

// platformServer is a stand-in for a menu server of the platform, as PROTOCOL describes it: SIP over TCP, matched by Call-ID. It sends
// its state on each new connection and every 500 ms, and answers every set-up after 20 ms.
type platformServer struct {
	lab    *lab
	name   string
	port   int
	listen net.Listener

	mu    sync.Mutex
	conns map[*platformLink]bool
	calls map[string]*platformCall
}

// platformLink is a connection to a platformServer.
type platformLink struct {
	conn net.Conn
	mu   sync.Mutex
}

func (k *platformLink) write(m *sipMessage) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conn.SetWriteDeadline(time.Now().Add(time.Second))
	_, err := k.conn.Write(m.bytes())
	return err
}

// platformCall is a call at a platformServer.
type platformCall struct {
	link      *platformLink
	answered  bool
	stands    bool
	over      bool
	overSince time.Time
}

func (l *lab) platformServer(name string) *platformServer {
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		l.cannotRun("%v", err)
	}
	s := &platformServer{lab: l, name: name, port: listen.Addr().(*net.TCPAddr).Port, listen: listen,
		conns: map[*platformLink]bool{}, calls: map[string]*platformCall{}}
	go func() {
		for {
			c, err := listen.Accept()
			if err != nil {
				return
			}
			go s.serve(&platformLink{conn: c})
		}
	}()
	return s
}

func (s *platformServer) state() *sipMessage {
	return (&sipMessage{first: "NOTIFY sip:gatekeeper@net SIP/2.0"}).add("Via", "SIP/2.0/TCP peer").add("Call-ID", "0000000000000000").
		add("CSeq", "1 NOTIFY").add("X-Occupancy", "x0:180;x1:200;util:0.2;queue:0")
}

func (s *platformServer) serve(k *platformLink) {
	s.mu.Lock()
	s.conns[k] = true
	s.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		k.write(s.state())
		for tick := time.NewTicker(500 * time.Millisecond); ; {
			select {
			case <-tick.C:
				k.write(s.state())
			case <-ended:
				tick.Stop()
				return
			}
		}
	}()
	in := bufio.NewReader(k.conn)
	for {
		m, err := readSIP(in)
		if err != nil {
			break
		}
		s.handle(k, m)
	}
	close(ended)
	k.conn.Close()
	s.mu.Lock()
	delete(s.conns, k)
	for id, c := range s.calls {
		if c.link == k && !c.answered && !c.over { // given up with its connection
			c.over = true
			s.lab.log("server %s: set-up %s given up, its connection ended", s.name, id)
		}
	}
	s.mu.Unlock()
}

func (s *platformServer) handle(k *platformLink, m *sipMessage) {
	id := m.get("Call-ID")
	s.mu.Lock()
	defer s.mu.Unlock()
	call := s.calls[id]
	switch m.method() {
	case "INVITE":
		s.lab.log("server %s: set-up %s", s.name, id)
		call = &platformCall{link: k}
		s.calls[id] = call
		go k.write(m.respond(100, "Trying", ""))
		time.AfterFunc(20*time.Millisecond, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if call.over {
				return
			}
			call.answered = true
			r := m.respond(200, "OK", "")
			r.body = fmt.Sprintf("v=0\r\no=%s %s\r\n", s.name, id)
			go k.write(r.add("X-Occupancy", "x0:180;x1:200;util:0.2;queue:0"))
		})
	case "ACK":
		if call != nil && call.answered && !call.stands {
			call.stands = true
			s.lab.log("server %s: call %s stands", s.name, id)
		}
	case "CANCEL":
		if call != nil && !call.answered {
			call.over = true
			s.lab.log("server %s: set-up %s given up", s.name, id)
		}
	case "BYE":
		if call != nil && !call.over {
			call.over, call.overSince = true, time.Now()
			s.lab.log("server %s: call %s released by the gatekeeper", s.name, id)
		}
		go k.write(m.respond(200, "OK", ""))
	case "OPTIONS":
		go k.write(m.respond(200, "OK", ""))
	}
}

// standsHere reports whether a call stands at the server.
func (s *platformServer) standsHere(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.calls[id]
	return c != nil && c.stands && !c.over
}

// release ends a call with a BYE on the connection of its set-up, or else on any open one.
func (s *platformServer) release(id string) {
	s.mu.Lock()
	c := s.calls[id]
	c.over = true
	link := c.link
	if !s.conns[link] {
		for link = range s.conns {
			break
		}
	}
	s.mu.Unlock()
	s.lab.log("server %s: releases call %s", s.name, id)
	link.write((&sipMessage{first: "BYE sip:gatekeeper@net SIP/2.0"}).add("Via", "SIP/2.0/TCP peer").add("Call-ID", id).
		add("CSeq", "2 BYE").add("Reason", "Q.850;cause=16"))
}
