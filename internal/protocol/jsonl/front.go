package jsonl

import (
	"bufio"
	"errors"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/internal/routing"
	"beammux/internal/transport"
)

const (
	causeInvalid = 100             // a set-up whose fields can't be read
	keepOrphan   = 8 * time.Second // a release without any connection waits so long for one
)

// Core is the part of the routing core that a front needs.
type Core interface {
	Open(routing.Setup, routing.Caller)
	Withdraw(id string, done func(inTime bool))
	Hangup(id string, cause int, done func(known bool))
}

// Front serves callers.
type Front struct {
	core     Core
	classes  map[string]int
	log      logrus.FieldLogger
	draining atomic.Bool

	mu      sync.Mutex
	conns   []*conn // open ones, oldest first
	waiting []late
}

type late struct {
	data []byte
	till time.Time
}

// NewFront makes a front; classes gives each class's place in the settings by its name.
func NewFront(core Core, classes []string, log logrus.FieldLogger) *Front {
	f := &Front{core: core, classes: map[string]int{}, log: log}
	for i, name := range classes {
		f.classes[name] = i
	}
	return f
}

// Drain fails the tests that are asked for from now on, so that no new callers are led here.
func (f *Front) Drain() { f.draining.Store(true) }

// conn is one connection of callers and the set-ups that came on it and are not answered.
type conn struct {
	*transport.Conn
	mu   sync.Mutex
	open map[string]*caller
}

func (c *conn) send(m Message) bool {
	return c.Send(transport.Packet{Data: m.Append(nil)}) == nil
}

// Serve reads one connection until it ends.
func (f *Front) Serve(tc *transport.Conn) {
	c := &conn{Conn: tc, open: map[string]*caller{}}
	f.enter(c)
	defer f.leave(c)
	r := NewReader(bufio.NewReaderSize(tc, MaxMessage))
	for {
		m, err := r.Next()
		if err == nil {
			err = f.take(c, &m)
		}
		switch {
		case err == nil:
		case errors.Is(err, ErrTooLong), errors.Is(err, ErrMalformed):
			f.log.WithField("caller", tc.RemoteAddr()).WithError(err).Warn("bad message: connection closed")
			return
		default:
			if ne := net.Error(nil); errors.As(err, &ne) {
				f.log.WithField("caller", tc.RemoteAddr()).WithError(err).Debug("caller's connection broke")
			}
			return
		}
	}
}

func (f *Front) enter(c *conn) {
	f.mu.Lock()
	f.conns = append(f.conns, c)
	waiting := f.waiting
	f.waiting = nil
	f.mu.Unlock()
	for _, w := range waiting {
		if time.Now().Before(w.till) {
			f.deliver(c, w)
		}
	}
}

// leave gives up the set-ups of a connection that ended: their callers can't hear an answer.
func (f *Front) leave(c *conn) {
	f.mu.Lock()
	for i, o := range f.conns {
		if o == c {
			f.conns = append(f.conns[:i:i], f.conns[i+1:]...)
			break
		}
	}
	f.mu.Unlock()
	c.mu.Lock()
	open := c.open
	c.open = nil
	c.mu.Unlock()
	for id := range open {
		f.core.Withdraw(id, nil)
	}
}

// deliver sends a release on a connection, else on any other, newest first, else on the next that comes.
func (f *Front) deliver(c *conn, w late) {
	if c != nil && c.Send(transport.Packet{Data: w.data}) == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := len(f.conns) - 1; i >= 0; i-- {
		if f.conns[i].Send(transport.Packet{Data: w.data}) == nil {
			return
		}
	}
	f.waiting = append(f.waiting, w)
}

func (f *Front) take(c *conn, m *Message) error {
	switch m.Type {
	case "open":
		s, err := f.setup(m)
		if err != nil {
			c.send(Message{Type: "close", ID: m.ID, Code: causeInvalid})
			return err
		}
		k := &caller{front: f, conn: c, id: m.ID}
		c.mu.Lock()
		_, twice := c.open[m.ID]
		if !twice {
			c.open[m.ID] = k
		}
		c.mu.Unlock()
		if twice {
			f.log.WithField("call", m.ID).Warn("set-up sent twice on a connection: the second is dropped")
			return nil
		}
		f.core.Open(s, k)
	case "close":
		c.done(m.ID)
		f.core.Hangup(m.ID, m.Code, func(bool) { c.send(Message{Type: "closed", ID: m.ID}) })
	case "probe":
		passed := 1
		if f.draining.Load() {
			passed = 0
		}
		c.send(Message{Type: "probed", ID: m.ID, Code: passed})
	}
	return nil // unknown types are passed over
}

func (c *conn) done(id string) {
	c.mu.Lock()
	delete(c.open, id)
	c.mu.Unlock()
}

func (f *Front) setup(m *Message) (routing.Setup, error) {
	left, err := strconv.ParseFloat(m.Attrs["left"], 64)
	if err != nil || math.IsNaN(left) || left < 0 || left > 1e9 {
		return routing.Setup{}, ErrMalformed
	}
	s := routing.Setup{ID: m.ID, Class: -1, Key: m.Attrs["key"], FirstChoice: -1,
		Left: time.Duration(left * float64(time.Millisecond)), Body: []byte(m.Text)}
	if i, ok := f.classes[m.Attrs["class"]]; ok {
		s.Class = i
	}
	for part := range strings.SplitSeq(m.Attrs["extras"], ";") {
		name, value, _ := strings.Cut(part, ":")
		n, err := strconv.Atoi(value)
		if err != nil {
			continue
		}
		switch name {
		case "dest":
			s.FirstChoice = n
		case "again":
			s.WasCut = n != 0
		}
	}
	return s, nil
}

// Orphan passes on the release of a call that stood before this process started.
func (f *Front) Orphan(id string, cause int) {
	m := Message{Type: "close", ID: id, Code: cause}
	f.deliver(nil, late{m.Append(nil), time.Now().Add(keepOrphan)})
}

// caller is the way back to one call's caller.
type caller struct {
	front *Front
	conn  *conn
	id    string
}

func (k *caller) Answer(body []byte) bool {
	k.conn.done(k.id)
	return k.conn.send(Message{Type: "ready", ID: k.id, Text: string(body)})
}

func (k *caller) Refuse(wait time.Duration) {
	k.conn.done(k.id)
	m := Message{Type: "close", ID: k.id, Code: routing.CauseCongest}
	if ms := wait.Milliseconds(); ms > 0 {
		m.Attrs = map[string]string{"wait": strconv.FormatInt(ms, 10)}
	}
	k.conn.send(m)
}

func (k *caller) Fail() {
	k.conn.done(k.id)
	k.conn.send(Message{Type: "close", ID: k.id, Code: routing.CauseFailed})
}

func (k *caller) Release(cause int) {
	m := Message{Type: "close", ID: k.id, Code: cause}
	k.front.deliver(k.conn, late{m.Append(nil), time.Now().Add(keepOrphan)})
}
