//go:build review

package main

import (
	"bufio"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["8"] = caseSIPCut }

// tcpSIPServer is a stand-in for a menu server that speaks SIP over TCP (RFC 3261).
type tcpSIPServer struct {
	lab      *lab
	name     string
	address  string
	delay    time.Duration
	onInvite func(id string)
	onBye    func(id string)

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	standing map[string]bool
	process  int // counts the processes; timers of an earlier one do nothing
}

func (l *lab) newTCPSIPServer(name string) *tcpSIPServer {
	return &tcpSIPServer{lab: l, name: name, address: freeAddr(), delay: 50 * time.Millisecond, conns: map[net.Conn]bool{},
		standing: map[string]bool{}, onInvite: func(string) {}, onBye: func(string) {}}
}

// begin starts the server's process.
func (s *tcpSIPServer) begin() {
	listener, err := net.Listen("tcp", s.address)
	s.lab.require(err == nil, "%v", err)
	s.mu.Lock()
	s.listener = listener
	s.process++
	process := s.process
	s.mu.Unlock()
	s.lab.note("%s: the process starts", s.name)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			s.lab.note("%s: a connection comes up", s.name)
			go s.serve(c, process)
		}
	}()
}

// die ends the server's process: its connections are reset and its calls are cut.
func (s *tcpSIPServer) die() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.process++
	s.listener.Close()
	for c := range s.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	clear(s.conns)
	clear(s.standing)
	s.lab.note("%s: the process dies; its connections are reset", s.name)
}

func (s *tcpSIPServer) serve(c net.Conn, process int) {
	defer c.Close()
	in := bufio.NewReader(c)
	var mu sync.Mutex
	send := func(m *sipMessage, status, tag, extra, body string) {
		mu.Lock()
		defer mu.Unlock()
		text := strings.Replace(answerInDialog(m), "200 OK", status, 1)
		if tag != "" && !strings.Contains(m.header.Get("To"), ";tag=") {
			text = strings.Replace(text, "\r\nTo: "+m.header.Get("To"), "\r\nTo: "+m.header.Get("To")+";tag="+tag, 1)
		}
		c.Write([]byte(strings.Replace(text, "Content-Length: 0\r\n\r\n", extra+"Content-Length: "+itoa(len(body))+"\r\n\r\n"+body, 1)))
	}
	for {
		m, _, err := readSIP(in)
		if err != nil {
			return
		}
		method, _, _ := strings.Cut(m.start, " ")
		id := m.header.Get("Call-Id")
		s.lab.note("%s: got %s %s", s.name, method, id)
		switch method {
		case "INVITE":
			send(m, "100 Trying", "", "", "")
			s.onInvite(id)
			time.AfterFunc(s.delay, func() {
				s.mu.Lock()
				alive := s.process == process
				if alive {
					s.standing[id] = true
				}
				s.mu.Unlock()
				if alive {
					send(m, "200 OK", "s"+id[:8], "Contact: <sip:menu@"+s.address+";transport=tcp>\r\n", "s-"+s.name+"-"+id+"\r\n")
				}
			})
		case "BYE":
			s.mu.Lock()
			stood := s.standing[id]
			delete(s.standing, id)
			s.mu.Unlock()
			if stood {
				send(m, "200 OK", "", "", "")
				s.onBye(id)
			} else {
				send(m, "481 Call/Transaction Does Not Exist", "", "", "")
			}
		case "CANCEL", "OPTIONS":
			send(m, "200 OK", "", "", "")
		}
	}
}

// caseSIPCut: a menu server's process dies under a set-up, and starts again 2 s later. Meanwhile the call stands at another server.
func caseSIPCut(l *lab) {
	first, second := l.newTCPSIPServer("menu-1"), l.newTCPSIPServer("menu-2")
	first.delay = 600 * time.Millisecond
	arrived := make(chan string, 100)
	first.onInvite = func(id string) { arrived <- id }
	var mu sync.Mutex
	byes := map[string]time.Time{}
	second.onBye = func(id string) {
		mu.Lock()
		byes[id] = time.Now()
		mu.Unlock()
	}
	first.begin()
	second.begin()
	file := l.writeFile("servers.csv", "name,address,cell,state,transport\nmenu-1,"+first.address+",0,up,tcp\nmenu-2,"+second.address+",1,up,tcp\n")
	deploy := l.writeJSON("deploy.json", map[string]any{"inventory": file,
		"sip": map[string]any{"tcp": freeAddr(), "default_class": "menu-view"}})
	g := l.start("n1", l.config("n1", freeAddr(), "", nil), deploy)
	g.awaitReady()
	book := l.newCallers()
	c := book.connect("caller", g.listen)
	time.Sleep(500 * time.Millisecond)
	call := c.setup("menu-view", 3*time.Second, 0)
	select {
	case <-arrived:
	case <-time.After(2 * time.Second):
		l.require(false, "the set-up did not come to menu-1")
	}
	if l.trouble {
		time.Sleep(100 * time.Millisecond)
		first.die()
		time.Sleep(2 * time.Second)
		first.begin()
	}
	time.Sleep(4 * time.Second)
	state := book.get(call)
	l.require(state.standing, "the call was not set up")
	l.note("the call stands at its caller: %s", strings.TrimSpace(state.text))
	time.Sleep(6 * time.Second)
	state = book.get(call)
	mu.Lock()
	for id, at := range byes {
		if !strings.HasPrefix(id, call.id) {
			continue
		}
		switch {
		case state.released.IsZero():
			l.fault("the gatekeeper released call %s at menu-2 %d s ago, and it still stands at its caller", call.id, int(time.Since(at).Seconds()))
		case state.released.Sub(at) > 1050*time.Millisecond:
			l.fault("call %s: release to the caller %v after that at menu-2", call.id, state.released.Sub(at))
		}
	}
	l.note("releases by the gatekeeper at menu-2: %d", len(byes))
	mu.Unlock()
	l.require(g.alive(), "the gatekeeper has ended")
}
