//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"time"
)

// jsonMessage is a line between a caller and a gatekeeper.
type jsonMessage struct {
	Msg   string            `json:"msg"`
	Sid   string            `json:"sid"`
	Attrs map[string]string `json:"attrs"`
	Code  int               `json:"code,omitempty"`
	Text  string            `json:"text,omitempty"`
}

// callState is a set-up as its caller sees it.
type callState struct {
	id       string
	sentAt   time.Time
	left     time.Duration
	answers  []string // final answers: "ready", or "close" with its cause
	text     string   // description of the answer
	standing bool
	released time.Time // when the release of the standing call arrived
}

// callers is the side of the callers: a book of all their set-ups.
type callers struct {
	lab *lab

	mu    sync.Mutex
	calls map[string]*callState
	order []*callState
}

func (l *lab) newCallers() *callers {
	return &callers{lab: l, calls: map[string]*callState{}}
}

// callerConn is one connection of callers.
type callerConn struct {
	net.Conn
	book *callers
	name string

	mu       sync.Mutex
	lastSent time.Time // of the latest set-up
	open     int       // set-ups without a final answer
	closed   bool      // the other side has closed or reset it
	ended    chan struct{}
}

// connect opens a connection to a gatekeeper, or to a link that leads there.
func (b *callers) connect(name, addr string) *callerConn {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	b.lab.require(err == nil, "%s can't connect: %v", name, err)
	conn := &callerConn{Conn: c, book: b, name: name, ended: make(chan struct{})}
	go conn.read()
	return conn
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// setup sends a set-up and returns it. It returns nil if the connection has ended.
func (c *callerConn) setup(class string, left time.Duration, dest int) *callState {
	call := &callState{id: newID(), left: left}
	m := jsonMessage{Msg: "open", Sid: call.id, Text: "c-" + call.id + "\r\nc=IN IP4 127.0.0.1\r\n", Attrs: map[string]string{
		"class": class, "left": fmt.Sprint(left.Milliseconds()), "key": "7f3a9c21e0b4d655",
		"extras": fmt.Sprintf("dest:%d;width:1;via:-1", dest)}}
	text, _ := json.Marshal(m)
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.open++
	c.mu.Unlock()
	c.book.mu.Lock()
	c.book.calls[call.id] = call
	c.book.order = append(c.book.order, call)
	call.sentAt = time.Now()
	c.book.mu.Unlock()
	c.book.lab.note("%s: open %s left %d dest %d", c.name, call.id, left.Milliseconds(), dest)
	if _, err := c.Write(append(text, '\n')); err != nil {
		return nil
	}
	c.mu.Lock()
	c.lastSent = time.Now()
	c.mu.Unlock()
	return call
}

func (c *callerConn) read() {
	defer close(c.ended)
	in := bufio.NewReaderSize(c, 64<<10)
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			c.mu.Lock()
			c.closed = true
			c.mu.Unlock()
			c.book.lab.note("%s: connection ended: %v", c.name, err)
			c.Close()
			return
		}
		var m jsonMessage
		if err := json.Unmarshal(line, &m); err != nil {
			c.book.lab.note("%s: line can't be read: %v: %q", c.name, err, line)
			continue
		}
		c.handle(&m, len(line))
	}
}

func (c *callerConn) handle(m *jsonMessage, size int) {
	b := c.book
	b.lab.note("%s: got %s %s code %d (%d bytes)", c.name, m.Msg, m.Sid, m.Code, size)
	b.mu.Lock()
	call := b.calls[m.Sid]
	final, over := false, false
	switch {
	case call == nil:
	case m.Msg == "ready":
		call.answers = append(call.answers, "ready")
		call.standing, call.text, final = true, m.Text, true
	case m.Msg == "close" && call.standing:
		if call.released.IsZero() {
			call.released = time.Now()
		}
		over = true
	case m.Msg == "close":
		call.answers = append(call.answers, fmt.Sprint("close ", m.Code))
		final = true
	}
	b.mu.Unlock()
	if final {
		c.mu.Lock()
		c.open--
		c.mu.Unlock()
	}
	if over {
		text, _ := json.Marshal(jsonMessage{Msg: "closed", Sid: m.Sid, Attrs: map[string]string{}})
		c.Write(append(text, '\n'))
	}
}

// state reports whether the connection is open, the number of its open set-ups and when it last sent one.
func (c *callerConn) state() (isOpen bool, open int, lastSent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed, c.open, c.lastSent
}

// get returns a copy of a set-up's state.
func (b *callers) get(call *callState) callState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return *call
}

// checkAnswers records the set-ups that have not exactly one final answer. It is called when the time of all is up. Those that crossed the
// close of their connection are left out.
func (b *callers) checkAnswers(l *lab) {
	b.mu.Lock()
	defer b.mu.Unlock()
	answered, none := 0, 0
	for _, call := range b.order {
		switch len(call.answers) {
		case 1:
			answered++
		case 0:
			none++
		default:
			l.note("%s has %d final answers", call.id, len(call.answers))
		}
	}
	l.note("callers: %d set-ups, %d with one final answer, %d with none", len(b.order), answered, none)
}

// traffic sends set-ups for the servers of both blocks until stop.
func (b *callers) traffic(c *callerConn, gap time.Duration, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-c.ended:
			return
		case <-time.After(gap):
			c.setup([]string{"menu-view", "diet-order", "tray-count"}[i%3], 3*time.Second, i%2)
		}
	}
}
