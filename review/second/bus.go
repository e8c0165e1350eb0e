//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// host is one menu server in an event of the bus.
type host struct {
	Host   string `json:"host"`
	Dial   string `json:"dial"`
	Site   string `json:"site"`
	Class  string `json:"class"`
	Block  int    `json:"block"`
	Health string `json:"health"`
	Share  int    `json:"share"`
	Born   int64  `json:"born_ms"`
}

// event is one numbered event of the bus.
type event struct {
	Offset   int64 `json:"offset"`
	Topology struct {
		Seq   int64  `json:"seq"`
		Whole bool   `json:"whole"`
		Hosts []host `json:"hosts"`
	} `json:"topology"`
}

func newEvent(offset int64, whole bool, hosts ...host) (e event) {
	e.Offset, e.Topology.Seq, e.Topology.Whole, e.Topology.Hosts = offset, offset, whole, hosts
	return e
}

// eventBus is a stand-in for the event bus.
type eventBus struct {
	lab      *lab
	name     string
	listener net.Listener
	delay    time.Duration // from a request to the first byte of its answer

	mu     sync.Mutex
	events []event
	conns  map[net.Conn]bool
	asked  int
}

func (l *lab) startBus(name string, delay time.Duration, events ...event) *eventBus {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	l.require(err == nil, "%v", err)
	b := &eventBus{lab: l, name: name, listener: listener, delay: delay, events: events, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns[c] = true
			b.mu.Unlock()
			go b.serve(c)
		}
	}()
	return b
}

func (b *eventBus) addr() string { return b.listener.Addr().String() }

// publish puts an event into the bus.
func (b *eventBus) publish(e event) {
	b.mu.Lock()
	b.events = append(b.events, e)
	b.mu.Unlock()
	text, _ := json.Marshal(e)
	b.lab.note("%s: event is in the bus: %s", b.name, text)
}

func (b *eventBus) serve(c net.Conn) {
	defer func() {
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReader(c)
	last := int64(0)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if line = strings.TrimSpace(line); line == "" {
			break
		}
		if name, value, ok := strings.Cut(line, ":"); ok && strings.EqualFold(name, "Last-Event-ID") {
			last, _ = strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		}
	}
	b.mu.Lock()
	b.asked++
	b.mu.Unlock()
	b.lab.note("%s: asked from event %d on", b.name, last)
	gone := make(chan struct{})
	go func() { // the gatekeeper sends nothing more; a read ends when it closes
		in.ReadByte()
		close(gone)
	}()
	select {
	case <-gone:
		b.lab.note("%s: the gatekeeper has closed before the answer", b.name)
		return
	case <-time.After(b.delay):
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n"); err != nil {
		return
	}
	b.lab.note("%s: answers", b.name)
	comment := time.Now()
	for {
		b.mu.Lock()
		var next []event
		for _, e := range b.events {
			if e.Offset > last {
				next = append(next, e)
				last = e.Offset
			}
		}
		b.mu.Unlock()
		for _, e := range next {
			text, _ := json.Marshal(e)
			if _, err := fmt.Fprintf(c, "id: %d\ndata: %s\n\n", e.Offset, text); err != nil {
				return
			}
			b.lab.note("%s: event %d written", b.name, e.Offset)
		}
		if time.Since(comment) >= time.Second {
			comment = time.Now()
			if _, err := fmt.Fprint(c, ":\n\n"); err != nil {
				return
			}
		}
		select {
		case <-gone:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}
