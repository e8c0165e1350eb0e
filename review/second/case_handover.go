//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["9"] = caseAborted }

// terminal is a SIP caller over UDP with one call: an INVITE client transaction and a dialog of RFC 3261.
type terminal struct {
	lab         *lab
	conn        *net.UDPConn
	gate        *net.UDPAddr
	callID      string
	mu          sync.Mutex
	heard       bool // a provisional response has arrived: no more copies of the INVITE
	finals      []string
	toTag       string
	established bool
	released    time.Time // when the BYE arrived
}

func (l *lab) newTerminal(gate string) *terminal {
	address, err := net.ResolveUDPAddr("udp", gate)
	l.require(err == nil, "%v", err)
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	l.require(err == nil, "%v", err)
	t := &terminal{lab: l, conn: conn, gate: address, callID: newID()}
	go t.read()
	return t
}

func (t *terminal) request(method, body string) string {
	own := t.conn.LocalAddr().String()
	to, branch := "<sip:7f3a9c21e0b4d655@net>", "z9hG4bK"+t.callID
	if method == "ACK" {
		to += t.toTag
		if t.established { // the ACK of a 2xx is a transaction of its own
			branch += "ack"
		}
	}
	extra := ""
	if method == "INVITE" {
		extra = "X-Cos: menu-view\r\nExpires: 9\r\nContent-Type: application/sdp\r\n"
	}
	return method + " sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/UDP " + own + ";branch=" + branch + "\r\nMax-Forwards: 70\r\n" +
		"From: <sip:terminal@net>;tag=t" + t.callID + "\r\nTo: " + to + "\r\nCall-ID: " + t.callID + "\r\nCSeq: 1 " + method +
		"\r\nContact: <sip:terminal@" + own + ">\r\n" + extra + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// invite sends the INVITE and its copies: timer A starts at 500 ms and doubles until something is heard; timer B ends it.
func (t *terminal) invite() {
	text := t.request("INVITE", "c-"+t.callID+"\r\nc=IN IP4 127.0.0.1\r\n")
	gap := 500 * time.Millisecond
	for deadline := time.Now().Add(9 * time.Second); time.Now().Before(deadline); gap *= 2 {
		t.mu.Lock()
		heard := t.heard
		t.mu.Unlock()
		if heard {
			return
		}
		t.lab.note("terminal: INVITE")
		t.conn.WriteToUDP([]byte(text), t.gate)
		time.Sleep(gap)
	}
}

func (t *terminal) read() {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := t.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		m, _, err := readSIP(bufio.NewReader(strings.NewReader(string(buffer[:n]))))
		if err != nil {
			t.lab.note("terminal: can't read a datagram: %v", err)
			continue
		}
		status, isResponse := strings.CutPrefix(m.start, "SIP/2.0 ")
		if !isResponse {
			t.lab.note("terminal %s: got %s", t.callID, m.start)
			t.mu.Lock()
			if strings.HasPrefix(m.start, "BYE ") && t.released.IsZero() {
				t.released = time.Now()
			}
			t.mu.Unlock()
			t.conn.WriteToUDP([]byte(answerInDialog(m)), t.gate)
			continue
		}
		t.lab.note("terminal: got %s", status)
		t.mu.Lock()
		t.heard = true
		if status[0] >= '2' {
			if _, tag, ok := strings.Cut(m.header.Get("To"), ";tag="); ok {
				t.toTag = ";tag=" + tag
			}
			t.established = status[0] == '2'
			t.finals = append(t.finals, status)
			t.conn.WriteToUDP([]byte(t.request("ACK", "")), t.gate)
		}
		t.mu.Unlock()
	}
}

// callsOfTerminals is how many calls stand when the gatekeeper is restarted.
const callsOfTerminals = 5

// caseAborted: a hand-over ends because its new process is killed before its yes, and the old process serves on. Later it is restarted.
func caseAborted(l *lab) {
	server := l.startServer("s-00000001")
	server.hold = func() time.Duration { return 0 } // the case ends the calls
	server.serve()
	bus := l.startBus("bus", 0)
	known := []event{newEvent(1, true, host{"s-00000001", server.addr(), "dallas", "std", 0, "up", 1, 0})}
	udp := freeAddr()
	deploy := l.writeJSON("deploy.json", map[string]any{"sip": map[string]any{"udp": udp, "default_class": "menu-view"},
		"store": map[string]any{"dir": filepath.Join(l.tmp, "store")}})
	config := l.config("n1", freeAddr(), bus.addr(), known)
	g := l.start("n1", config, deploy)
	g.awaitReady()
	if l.trouble {
		next := l.start("n1", config, deploy)
		for !next.ask("GET", "/api/ready") && !next.reached { // its operators' address is open; it says yes some 0.5 s later
			l.require(next.alive(), "the new process has ended by itself")
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(150 * time.Millisecond)
		l.require(!next.ask("GET", "/api/ready"), "the new process was ready before it could be killed")
		next.signal(syscall.SIGKILL)
		<-next.ended
	}
	time.Sleep(2 * time.Second)
	var terminals []*terminal
	for range callsOfTerminals {
		t := l.newTerminal(udp)
		terminals = append(terminals, t)
		t.invite()
	}
	time.Sleep(2 * time.Second)
	for _, t := range terminals {
		l.require(t.stands(), "a call was not set up")
	}
	g.signal(syscall.SIGTERM) // a planned restart; SIGKILL comes 3.7 s later at the earliest
	g.awaitEnd(3700 * time.Millisecond)
	if g.alive() {
		g.signal(syscall.SIGKILL)
		<-g.ended
	}
	g = l.start("n1", config, deploy)
	g.awaitReady()
	time.Sleep(2 * time.Second)
	ids := server.standing()
	l.note("%d calls stand at the server", len(ids))
	l.require(len(ids) == callsOfTerminals, "calls have ended at the server")
	over := time.Now()
	for _, id := range ids {
		server.release(id, 16)
	}
	time.Sleep(9 * time.Second)
	for _, t := range terminals {
		t.mu.Lock()
		released := t.released
		t.mu.Unlock()
		if released.IsZero() {
			l.fault("call %s, released by its server 9 s ago, still stands at its caller", t.callID)
		} else {
			l.note("call %s was released after %d ms", t.callID, released.Sub(over).Milliseconds())
		}
	}
	l.require(g.alive(), "the gatekeeper has ended")
}

// stands reports whether the terminal's call was set up.
func (t *terminal) stands() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.established
}
