//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["address"] = address }

// eventBus is a stand-in for the event bus.
type eventBus struct {
	lab    *lab
	listen net.Listener
	mu     sync.Mutex
	events []string // data of event N at N-1
}

func (l *lab) eventBus() *eventBus {
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		l.cannotRun("%v", err)
	}
	b := &eventBus{lab: l, listen: listen}
	go http.Serve(listen, http.HandlerFunc(b.serve))
	return b
}

type busHost struct {
	Host   string `json:"host"`
	Dial   string `json:"dial"`
	Site   string `json:"site"`
	Class  string `json:"class"`
	Block  int    `json:"block"`
	Health string `json:"health"`
	Share  int    `json:"share"`
	BornMs int64  `json:"born_ms"`
}

// add adds an event.
func (b *eventBus) add(whole bool, hosts ...busHost) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := len(b.events) + 1
	data, _ := json.Marshal(map[string]any{"offset": n, "topology": map[string]any{"seq": n, "whole": whole, "hosts": hosts}})
	b.events = append(b.events, string(data))
	b.lab.log("event bus: event %d: %s", n, data)
}

func (b *eventBus) serve(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	w.Header().Set("Content-Type", "text/event-stream")
	flush := w.(http.Flusher)
	fmt.Fprint(w, ": hello\n\n")
	flush.Flush()
	comment := time.Now()
	for r.Context().Err() == nil {
		b.mu.Lock()
		events := b.events
		b.mu.Unlock()
		for ; last < len(events); last++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", last+1, events[last])
		}
		if time.Since(comment) >= time.Second {
			comment = time.Now()
			fmt.Fprint(w, ": \n\n")
		}
		flush.Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// machine is an address at which a server's process runs, and which can vanish: what is open stays open and silent, and new connections
// never come up.
type machine struct {
	lab    *lab
	port   int
	listen net.Listener
	fill   []net.Conn
	mu     sync.Mutex
	gen    int
}

func (l *lab) machine(server *platformServer) *machine {
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		l.cannotRun("%v", err)
	}
	m := &machine{lab: l, port: listen.Addr().(*net.TCPAddr).Port, listen: listen}
	m.serve(listen, server)
	return m
}

func (m *machine) alive(gen int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gen == gen
}

// serve passes connections on to a server until the machine vanishes.
func (m *machine) serve(listen net.Listener, server *platformServer) {
	m.mu.Lock()
	gen := m.gen
	m.mu.Unlock()
	forward := func(from, to net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			if !m.alive(gen) {
				if err != nil {
					return
				}
				continue
			}
			if n > 0 {
				to.Write(buf[:n])
			}
			if err == io.EOF {
				to.(*net.TCPConn).CloseWrite()
				return
			}
			if err != nil {
				to.Close()
				return
			}
		}
	}
	go func() {
		for {
			c, err := listen.Accept()
			if err != nil {
				return
			}
			s, err := net.Dial("tcp", addr(server.port))
			if err != nil {
				c.Close()
				continue
			}
			go forward(c, s)
			go forward(s, c)
		}
	}()
}

// vanish makes the machine vanish. New connections hang: the queue of the new listener, which nobody accepts from, is filled.
func (m *machine) vanish() {
	m.mu.Lock()
	m.gen++
	m.mu.Unlock()
	m.listen.Close()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err == nil {
		syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: m.port, Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		m.lab.cannotRun("%v", err)
	}
	f := os.NewFile(uintptr(fd), "listener")
	m.listen, err = net.FileListener(f)
	f.Close()
	if err != nil {
		m.lab.cannotRun("%v", err)
	}
	for range 8 {
		c, err := net.DialTimeout("tcp", addr(m.port), 50*time.Millisecond)
		if err != nil {
			m.lab.log("machine 127.0.0.1:%d: vanished; new connections hang", m.port)
			return
		}
		m.fill = append(m.fill, c)
	}
	m.lab.cannotRun("the queue of a listener can't be filled")
}

// replace starts another server's process at the address.
func (m *machine) replace(server *platformServer) {
	for _, c := range m.fill {
		c.Close()
	}
	m.lab.log("machine 127.0.0.1:%d: server %s runs there now", m.port, server.name)
	m.serve(m.listen, server)
}

// address: calls stand at a menu server. Its machine vanishes; 4 s later another server, under a new id, runs at its address, and the event
// bus tells of that 1 s after its start. That the first server is gone the bus tells 13.9 s after the loss. The calls have to be released
// to their caller within 8.05 s of their end, counted here from the start of the other server's process, after which nothing of the
// first one is left.
func address(l *lab) {
	const backAfter, toldNewAfter, toldGoneAfter = 4 * time.Second, time.Second, 13900 * time.Millisecond
	first, second, other := l.platformServer("s-000000a1"), l.platformServer("s-000000b2"), l.platformServer("s-000000c3")
	m := l.machine(first)
	bus := l.eventBus()
	firstHost := busHost{first.name, addr(m.port), "dallas", "std", 0, "up", 4, 0}
	bus.add(true, firstHost, busHost{other.name, addr(other.port), "austin", "std", 1, "up", 4, 0})
	listen := addr(l.freePort())
	config := l.configWith(listen, map[string]any{"bus": bus.listen.Addr().String(),
		"known": json.RawMessage(`{"offset":1,"batch":[` + bus.events[0] + `]}`)})
	g := l.gatekeeper("g", listen, config, "deploy/beammux.json", nil)
	l.mustReady(g)
	time.Sleep(2500 * time.Millisecond)
	c := l.dialJSON("tablet", listen)
	if c == nil {
		l.cannotRun("the gatekeeper takes no caller")
	}
	var calls []string
	for i := 0; i < 12 && len(calls) < 3; i++ {
		sid := c.callUntilStands("diet-order", "0")
		if eventually(200*time.Millisecond, func() bool { return first.standsHere(sid) }) {
			calls = append(calls, sid)
		}
	}
	if len(calls) < 3 {
		l.cannotRun("only %d calls stand at the server", len(calls))
	}
	time.Sleep(time.Second)
	lost, limit := time.Now(), 8050*time.Millisecond
	var over time.Time
	if l.trouble {
		m.vanish()
		time.Sleep(time.Until(lost.Add(backAfter)))
		over = time.Now()
		m.replace(second)
		time.Sleep(toldNewAfter)
		bus.add(false, busHost{second.name, addr(m.port), "dallas", "std", 0, "up", 4, over.UnixMilli()})
		time.Sleep(time.Until(lost.Add(toldGoneAfter)))
		firstHost.Health = "removed"
		bus.add(false, firstHost)
		time.Sleep(time.Second)
	} else { // the calls go on, and end by the server's release
		time.Sleep(backAfter + toldNewAfter)
		over, limit = time.Now(), 1050*time.Millisecond
		for _, sid := range calls {
			first.release(sid)
		}
		time.Sleep(2 * time.Second)
	}
	for _, sid := range calls {
		switch e, ok := c.event(sid, "close"); {
		case !ok:
			l.breach("call %s is over and was never released to its caller", sid)
		case e.at.Before(over) && !l.trouble:
			l.breach("call %s was cut %v before its end", sid, over.Sub(e.at).Round(time.Millisecond))
		case e.at.Sub(over) > limit:
			l.breach("call %s was released to its caller %v after its server's machine vanished, and %v after another server's process had begun at the address",
				sid, e.at.Sub(lost).Round(time.Millisecond), e.at.Sub(over).Round(time.Millisecond))
		default:
			l.log("call %s: released at its caller %v after its end", sid, e.at.Sub(over).Round(time.Millisecond))
		}
	}
}
