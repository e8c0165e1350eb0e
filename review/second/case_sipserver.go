//go:build review

package main

import (
	"bufio"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["9"] = caseSIPServer }

// sipServer is a stand-in for a menu server that speaks SIP over UDP (RFC 3261).
type sipServer struct {
	lab  *lab
	name string
	conn *net.UDPConn

	mu       sync.Mutex
	dialogs  map[string]*sipDialog // by Call-ID
	finished bool
}

// sipDialog is a call at a sipServer.
type sipDialog struct {
	peer   *net.UDPAddr
	invite *sipMessage
	body   string // description that came with the set-up
	acked  bool
	over   bool
}

func (l *lab) startSIPServer(name string) *sipServer {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	l.require(err == nil, "%v", err)
	s := &sipServer{lab: l, name: name, conn: conn, dialogs: map[string]*sipDialog{}}
	go s.read()
	return s
}

func (s *sipServer) addr() string { return s.conn.LocalAddr().String() }

// die ends the server's process: its socket is closed, its calls are cut, and nothing is said.
func (s *sipServer) die() {
	s.mu.Lock()
	s.finished = true
	s.mu.Unlock()
	s.conn.Close()
	s.lab.note("%s: the process dies; its calls are cut", s.name)
}

func (s *sipServer) read() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := s.conn.ReadFromUDP(buffer)
		if err != nil {
			s.mu.Lock()
			finished := s.finished
			s.mu.Unlock()
			if finished {
				return
			}
			continue
		}
		m, _, err := readSIP(bufio.NewReader(strings.NewReader(string(buffer[:n]))))
		if err != nil {
			continue
		}
		s.handle(m, from)
	}
}

func (s *sipServer) respond(m *sipMessage, to *net.UDPAddr, status, tag, extra, body string) {
	text := answerInDialog(m)
	text = strings.Replace(text, "200 OK", status, 1)
	if tag != "" && !strings.Contains(m.header.Get("To"), ";tag=") {
		text = strings.Replace(text, "\r\nTo: "+m.header.Get("To"), "\r\nTo: "+m.header.Get("To")+";tag="+tag, 1)
	}
	text = strings.Replace(text, "Content-Length: 0\r\n\r\n", extra+"Content-Length: "+itoa(len(body))+"\r\n\r\n"+body, 1)
	s.conn.WriteToUDP([]byte(text), to)
}

func (s *sipServer) handle(m *sipMessage, from *net.UDPAddr) {
	method, _, _ := strings.Cut(m.start, " ")
	id := m.header.Get("Call-Id")
	s.lab.note("%s: got %s %s", s.name, method, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.dialogs[id]
	switch method {
	case "INVITE":
		if d == nil {
			d = &sipDialog{peer: from, invite: m, body: m.body}
			s.dialogs[id] = d
			s.respond(m, from, "100 Trying", "", "", "")
			s.answer(id, d, 500*time.Millisecond)
		}
	case "ACK":
		if d != nil {
			d.acked = true
		}
	case "BYE":
		if d != nil {
			d.over = true
		}
		s.respond(m, from, "200 OK", "", "", "")
	case "OPTIONS", "CANCEL":
		s.respond(m, from, "200 OK", "s", "", "")
	}
}

// answer sends the 200, and again until the ACK has come.
func (s *sipServer) answer(id string, d *sipDialog, again time.Duration) {
	if s.finished || d.acked || again > 8*time.Second {
		return
	}
	s.respond(d.invite, d.peer, "200 OK", "s"+id[:8], "Contact: <sip:menu@"+s.addr()+">\r\nX-Occupancy: spare:900;total:1000;busy:0.3;q:0\r\n",
		"s-"+s.name+"-"+id+"\r\n")
	time.AfterFunc(again, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.answer(id, d, 2*again)
	})
}

// release ends a call with a BYE. It returns false if no such call stands.
func (s *sipServer) release(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.dialogs[id]
	if d == nil || d.over || s.finished {
		return false
	}
	d.over = true
	contact := strings.Trim(d.invite.header.Get("Contact"), "<>")
	text := "BYE " + contact + " SIP/2.0\r\nVia: SIP/2.0/UDP " + s.addr() + ";branch=z9hG4bKbye" + id + "\r\nMax-Forwards: 70\r\nFrom: " +
		d.invite.header.Get("To") + ";tag=s" + id[:8] + "\r\nTo: " + d.invite.header.Get("From") + "\r\nCall-ID: " + id +
		"\r\nCSeq: 1 BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n"
	s.conn.WriteToUDP([]byte(text), d.peer)
	s.lab.note("%s: sends BYE %s", s.name, id)
	return true
}

// releaseAll releases all calls that stand, and returns how many.
func (s *sipServer) releaseAll() (n int) {
	s.mu.Lock()
	var ids []string
	for id := range s.dialogs {
		ids = append(ids, id)
	}
	s.mu.Unlock()
	for _, id := range ids {
		if s.release(id) {
			n++
		}
	}
	return n
}

// caseSIPServer: a menu server that speaks SIP over UDP dies while calls stand there.
func caseSIPServer(l *lab) {
	first, second := l.startSIPServer("menu-1"), l.startSIPServer("menu-2")
	file := l.writeFile("servers.csv", "name,address,cell,state,transport\nmenu-1,"+first.addr()+",0,up,udp\nmenu-2,"+second.addr()+",1,up,udp\n")
	udp := freeAddr()
	deploy := l.writeJSON("deploy.json", map[string]any{"inventory": file,
		"sip": map[string]any{"udp": udp, "default_class": "menu-view"}})
	g := l.start("n1", l.config("n1", freeAddr(), "", nil), deploy)
	g.awaitReady()
	book := l.newCallers()
	c := book.connect("caller", g.listen)
	var standing []*callState
	for range 5 {
		s := c.setup("menu-view", 3*time.Second, 0)
		time.Sleep(300 * time.Millisecond)
		l.require(s != nil && book.get(s).standing, "a call was not set up")
		if strings.HasPrefix(book.get(s).text, "s-menu-1-") {
			standing = append(standing, s)
		}
	}
	l.require(len(standing) > 0, "no call stands at menu-1")
	time.Sleep(time.Second)
	over := time.Now()
	if l.trouble {
		first.die()
	} else {
		first.releaseAll()
	}
	stop := make(chan struct{})
	go book.traffic(c, 500*time.Millisecond, stop)
	time.Sleep(9 * time.Second)
	late := 0
	for _, s := range standing {
		released := book.get(s).released
		if released.IsZero() || released.Sub(over) > 8050*time.Millisecond {
			late++
			l.fault("call %s was over 9 s ago, and its caller has no release", s.id)
		} else {
			l.note("call %s was released after %d ms", s.id, released.Sub(over).Milliseconds())
		}
	}
	time.Sleep(15 * time.Second)
	for _, s := range standing {
		l.note("24 s after the end: call %s released %v", s.id, !book.get(s).released.IsZero())
	}
	close(stop)
	time.Sleep(3200 * time.Millisecond)
	book.checkAnswers(l)
	l.require(g.alive(), "the gatekeeper has ended")
}
