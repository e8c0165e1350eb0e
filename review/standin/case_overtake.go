//go:build review

package main

import (
	"bufio"
	"net"
	"slices"
	"sync"
	"time"
)

func init() { cases["overtake"] = overtake }

// How the call of the case goes.
const (
	callLength = 200 * time.Millisecond // from the answer to the end of the call
	answerLate = 500 * time.Millisecond // by which the answer, and the close of its connection behind it, are late on their way
)

// restingServer is a stand-in for a menu server of the platform that closes connections at rest. It answers set-ups after 150 ms, except for
// the call of the case: that it answers at once, and closes the connection, which is at rest then. When that call is over, it sends the
// release on another open connection, closes one more connection at rest, and sends the release also on the next connection that is opened.
type restingServer struct {
	lab    *lab
	listen net.Listener

	mu       sync.Mutex
	open     []*restingLink
	opened   int
	late     time.Duration // of the answer to the call of the case
	armed    bool          // the next set-up is the call of the case
	release  *sipMessage   // to be sent also on the next connection
	released time.Time     // when it was first sent
}

// restingLink is a connection to a restingServer.
type restingLink struct {
	platformLink
	number int
}

func (l *lab) restingServer(late time.Duration) *restingServer {
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		l.cannotRun("%v", err)
	}
	s := &restingServer{lab: l, listen: listen, late: late}
	go func() {
		for {
			c, err := listen.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

// forget removes a connection from the open ones.
func (s *restingServer) forget(k *restingLink) {
	s.open = slices.DeleteFunc(s.open, func(o *restingLink) bool { return o == k })
}

func (s *restingServer) serve(c net.Conn) {
	state := (&platformServer{}).state()
	s.mu.Lock()
	s.opened++
	k := &restingLink{platformLink: platformLink{conn: c}, number: s.opened}
	s.open = append(s.open, k)
	s.lab.log("server: connection %d opened", k.number)
	k.write(state) // first of all on a new connection
	if s.release != nil {
		s.lab.log("server: release also on connection %d, the next that is opened", k.number)
		k.write(s.release)
		s.release = nil
	}
	s.mu.Unlock()
	go func() {
		for time.Sleep(500 * time.Millisecond); k.write(state) == nil; time.Sleep(500 * time.Millisecond) {
		}
	}()
	in := bufio.NewReader(c)
	for {
		m, err := readSIP(in)
		if err != nil {
			break
		}
		switch m.method() {
		case "INVITE":
			s.setUp(k, m)
		case "BYE":
			s.lab.log("server: call %s released by the gatekeeper", m.get("Call-ID"))
			k.write(m.respond(200, "OK", ""))
		case "OPTIONS":
			k.write(m.respond(200, "OK", ""))
		}
	}
	s.mu.Lock()
	s.forget(k)
	s.mu.Unlock()
}

func (s *restingServer) setUp(k *restingLink, m *sipMessage) {
	s.mu.Lock()
	armed := s.armed
	s.armed = false
	if armed {
		s.forget(k)
	}
	s.mu.Unlock()
	s.lab.log("server: set-up %s on connection %d", m.get("Call-ID"), k.number)
	answer := m.respond(200, "OK", "")
	answer.body = "v=0\r\no=" + m.get("Call-ID") + "\r\n"
	if !armed {
		time.AfterFunc(150*time.Millisecond, func() { k.write(answer) })
		return
	}
	s.lab.log("server: answers call %s and closes connection %d, which is at rest", m.get("Call-ID"), k.number)
	time.AfterFunc(s.late, func() {
		s.lab.log("network: the answer to call %s arrives, then the close of connection %d", m.get("Call-ID"), k.number)
		k.write(answer)
		k.conn.(*net.TCPConn).CloseWrite()
	})
	time.AfterFunc(callLength, func() { s.end(m.get("Call-ID")) })
}

// end ends the call of the case.
func (s *restingServer) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) < 2 {
		s.lab.log("server: only %d connections are open", len(s.open))
		return
	}
	bye := (&sipMessage{first: "BYE sip:gatekeeper@net SIP/2.0"}).add("Via", "SIP/2.0/TCP peer").add("Call-ID", id).
		add("CSeq", "2 BYE").add("Reason", "Q.850;cause=16")
	s.lab.log("server: call %s is over; release on connection %d", id, s.open[0].number)
	s.open[0].write(bye)
	s.release, s.released = bye, time.Now()
	rest := s.open[len(s.open)-1]
	s.forget(rest)
	s.lab.log("server: closes connection %d, which is at rest", rest.number)
	rest.conn.(*net.TCPConn).CloseWrite()
}

// overtake: a call of 0.2 s. Its answer is late by 0.5 s on its way, and its connection closes behind it; the server's release goes on other
// connections and overtakes it. The caller may get the answer or a refusal; if it gets the answer, it has to get the release.
func overtake(l *lab) {
	late := time.Duration(0)
	if l.trouble {
		late = answerLate
	}
	server := l.restingServer(late)
	inventory := l.write("servers.csv", "name,address,cell\nmenu-dallas,"+server.listen.Addr().String()+",0\n")
	listen := addr(l.freePort())
	g := l.gatekeeper("g", listen, l.config(listen), l.write("beammux.json", `{"inventory":"`+inventory+`"}`), nil)
	l.mustReady(g)
	time.Sleep(500 * time.Millisecond)
	c := l.dialJSON("tablet", listen)
	if c == nil {
		l.cannotRun("the gatekeeper takes no caller")
	}
	for range 2 { // several set-ups at once: the gatekeeper opens further connections
		for range 4 {
			c.open("diet-order", "0")
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(600 * time.Millisecond)
	}
	server.mu.Lock()
	connections := len(server.open)
	server.armed = true
	server.mu.Unlock()
	if connections < 3 {
		l.cannotRun("only %d connections to the server", connections)
	}
	sid := c.open("tray-count", "0")
	if !eventually(3*time.Second, func() bool {
		_, ready := c.event(sid, "ready")
		_, closed := c.event(sid, "close")
		return ready || closed
	}) {
		l.breach("call %s has no final answer", sid)
		return
	}
	time.Sleep(callLength)
	server.mu.Lock()
	released := server.released
	server.mu.Unlock()
	if released.IsZero() {
		l.cannotRun("the set-up did not reach the server")
	}
	if _, ready := c.event(sid, "ready"); !ready {
		l.log("call %s was not answered: nothing stands", sid)
		return
	}
	switch e, ok := c.await(sid, "close", time.Until(released.Add(8050*time.Millisecond))); {
	case !ok:
		l.breach("call %s was answered to its caller; its server had released it, and 8.05 s after that the caller has no release", sid)
	case e.at.Sub(released) > 1050*time.Millisecond:
		l.breach("call %s was released to its caller %v after its server's release", sid, e.at.Sub(released).Round(time.Millisecond))
	default:
		l.log("call %s: released at its caller %v after its server's release", sid, e.at.Sub(released).Round(time.Millisecond))
	}
}
