//go:build review

package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net"
	"sync"
	"time"
)

// line is one message of the callers' protocol.
type line struct {
	Msg   string         `json:"msg"`
	Sid   string         `json:"sid"`
	Attrs map[string]any `json:"attrs"`
	Code  int            `json:"code,omitempty"`
	Text  string         `json:"text,omitempty"`
}

// jsonCaller is a caller's connection in JSON lines. It confirms releases.
type jsonCaller struct {
	lab  *lab
	name string
	conn net.Conn

	mu     sync.Mutex
	events map[string][]callerEvent // by call
	closed bool
}

// callerEvent is a message that a caller received.
type callerEvent struct {
	line
	at time.Time
}

func randomID() string {
	b := make([]byte, 8)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// dialJSON connects a caller, or returns nil.
func (l *lab) dialJSON(name, address string) *jsonCaller {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		l.log("caller %s: %v", name, err)
		return nil
	}
	c := &jsonCaller{lab: l, name: name, conn: conn, events: map[string][]callerEvent{}}
	go c.read()
	return c
}

func (c *jsonCaller) read() {
	in := bufio.NewScanner(c.conn)
	in.Buffer(make([]byte, 64<<10), 64<<10)
	for in.Scan() {
		var m line
		if err := json.Unmarshal(in.Bytes(), &m); err != nil {
			c.lab.log("caller %s: can't read %q", c.name, in.Text())
			continue
		}
		c.lab.log("caller %s: received %s %s code %d attrs %v", c.name, m.Msg, m.Sid, m.Code, m.Attrs)
		c.mu.Lock()
		c.events[m.Sid] = append(c.events[m.Sid], callerEvent{m, time.Now()})
		c.mu.Unlock()
		if m.Msg == "close" {
			c.send(line{Msg: "closed", Sid: m.Sid})
		}
	}
	c.lab.log("caller %s: connection ended", c.name)
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
}

func (c *jsonCaller) send(m line) {
	if m.Attrs == nil {
		m.Attrs = map[string]any{}
	}
	b, _ := json.Marshal(m)
	c.conn.SetWriteDeadline(time.Now().Add(time.Second))
	c.conn.Write(append(b, '\n'))
}

// open sends a set-up and returns its id. first is the cell of first choice.
func (c *jsonCaller) open(class string, first string) string {
	id := randomID()
	c.lab.log("caller %s: set-up %s, class %s, first choice %s", c.name, id, class, first)
	c.send(line{Msg: "open", Sid: id, Attrs: map[string]any{"class": class, "left": "3000", "key": randomID(),
		"extras": "dest:" + first + ";width:1;via:-1"}, Text: "v=0\r\no=" + id + "\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n"})
	return id
}

// event returns the first message of a type for a call.
func (c *jsonCaller) event(id, msg string) (callerEvent, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.events[id] {
		if e.Msg == msg {
			return e, true
		}
	}
	return callerEvent{}, false
}

// await waits for a message of a type for a call.
func (c *jsonCaller) await(id, msg string, limit time.Duration) (e callerEvent, ok bool) {
	eventually(limit, func() bool {
		e, ok = c.event(id, msg)
		return ok
	})
	return e, ok
}

// callUntilStands opens calls until one stands, and returns its id.
func (c *jsonCaller) callUntilStands(class, first string) string {
	for range 10 {
		id := c.open(class, first)
		eventually(3200*time.Millisecond, func() bool {
			_, ready := c.event(id, "ready")
			_, closed := c.event(id, "close")
			return ready || closed
		})
		if _, ok := c.event(id, "ready"); ok {
			return id
		}
		time.Sleep(700 * time.Millisecond)
	}
	c.lab.cannotRun("no call of caller %s stands", c.name)
	return ""
}
