package jsonl

import (
	"bufio"
	"errors"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control/drain"
	"beammux/internal/routing"
	"beammux/internal/transport"
)

const (
	causeInvalid = 100             // a set-up whose fields can't be read
	causeNormal  = 16              // normal clearing: a call that the gatekeeper releases
	keepOrphan   = 8 * time.Second // a release without any connection waits so long for one
	maxWaiting   = 4096            // releases that so wait
	maxLeft      = 10 * time.Minute
	maxOpen      = 512 // set-ups of one connection; what comes beyond is excess, and refused
)

// The times that a connection has. Silent and finished callers must not hold descriptors for good.
const (
	firstWithin = 2500 * time.Millisecond // for its first whole message
	wholeWithin = 2 * time.Second         // for a message that has begun
	idleFor     = 10 * time.Second        // without a call on it; callers themselves close after 4 s
	settleFor   = 2 * time.Second         // to answer what is open after a message that can't be read
	lookAgain   = 10 * time.Millisecond   // before an idle close: bytes may lie ready while this process got no processor time
	breathe     = 20 * time.Millisecond   // for the core to decide what has come before more of it is excess
	skimGap     = time.Millisecond        // between reads of what is dropped
)

var errClosing = errors.New("connection is being closed")

// Core is the part of the routing core that a front needs.
type Core interface {
	Open(routing.Setup, routing.Caller)
	Withdraw(id string, caller routing.Caller, done func(inTime bool))
	Hangup(id string, cause int, caller routing.Caller, done func(known bool))
	CountMalformed(class int) // a set-up that could not be read was told that it failed
}

// Front serves callers.
type Front struct {
	// Seen, if not nil, is told of each connection of a caller's address: once when it has brought a whole message, and once when it
	// ends because of one that can't be read, or without any in time. It is set before the first connection is served.
	Seen func(address string, good bool)

	core     Core
	classes  map[string]int
	log      logrus.FieldLogger
	draining atomic.Bool
	closing  atomic.Bool

	mu      sync.Mutex
	conns   []*conn          // open ones, oldest first
	stands  map[string]*conn // calls that stand: where their set-up came
	waiting []late
}

type late struct {
	data []byte
	till time.Time
}

// NewFront makes a front; classes gives each class's place in the settings by its name.
func NewFront(core Core, classes []string, log logrus.FieldLogger) *Front {
	f := &Front{core: core, classes: map[string]int{}, stands: map[string]*conn{}, log: log}
	for i, name := range classes {
		f.classes[name] = i
	}
	return f
}

// Drain fails the tests that are asked for from now on, so that no new callers are led here.
func (f *Front) Drain() { f.draining.Store(true) }

// TurnAway refuses the set-ups that come from now on: the process ends once what came before is answered.
func (f *Front) TurnAway() { f.closing.Store(true) }

// Rejoin passes the tests again.
func (f *Front) Rejoin() { f.draining.Store(false) }

// Sweep carries out what decide says of each connection; it hears when one was last used, whether an answer to a
// set-up is owed on it, and whether a call that came on it stands. Calls released here are told to both sides: the
// server by the core, the caller on the connection, before it closes.
func (f *Front) Sweep(decide func(used time.Time, owed, standing bool) drain.Decision) {
	f.mu.Lock()
	conns := slices.Clone(f.conns)
	f.mu.Unlock()
	for _, c := range conns {
		switch decide(c.LastUsed(), c.Held(), c.InUse() && !c.Held()) {
		case drain.Close:
			c.FinishIdle()
		case drain.ReleaseCalls:
			for _, id := range f.standing(c) {
				f.core.Hangup(id, causeNormal, nil, func(bool) {})
				c.send(Message{Type: "close", ID: id, Code: causeNormal})
			}
			c.FinishIdle()
		}
	}
}

// standing takes the calls that stand on a connection off it.
func (f *Front) standing(c *conn) (ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, o := range f.stands {
		if o == c {
			ids = append(ids, id)
			delete(f.stands, id)
			c.AddCalls(-1)
		}
	}
	return ids
}

// conn is one connection of callers and the set-ups that came on it and are not answered.
type conn struct {
	*transport.Conn
	mu     sync.Mutex
	open   map[string]*caller
	room   chan struct{} // told when a set-up ends
	excess bool          // more is open than is taken; the reader's alone
}

func (c *conn) send(m Message) bool {
	return c.Send(transport.Packet{Data: m.Append(nil)}) == nil
}

// add notes a set-up, unless the connection is being closed from this side.
func (c *conn) add(k *caller) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.Hold() {
		return false
	}
	c.open[k.id] = k
	return true
}

// done takes a set-up off the connection that has its end.
func (c *conn) done(k *caller) {
	c.mu.Lock()
	if c.open[k.id] == k {
		delete(c.open, k.id)
		c.Unhold()
	}
	c.mu.Unlock()
	select {
	case c.room <- struct{}{}:
	default:
	}
}

func (c *conn) caller(id string) *caller {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[id]
}

func (c *conn) owed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// await blocks while more than some set-ups are open, until a time, the end of the connection, or that the caller has left.
func (c *conn) await(most int, limit <-chan time.Time, left <-chan struct{}) {
	for c.owed() > most {
		select {
		case <-c.room:
		case <-limit:
			return
		case <-left:
			return
		case <-c.Closed():
			return
		}
	}
}

// bound keeps what a flood has open within bounds. The reader must come to the end of what was sent, since only there it
// learns that the caller has left; so a flood is not left unread. It is excess, until half of what is open has its answer;
// the refusals are decided in the core's turn, and waited for.
func (c *conn) bound() {
	switch n := c.owed(); {
	case n <= maxOpen/2:
		c.excess = false
	case n >= 2*maxOpen:
		c.await(2*maxOpen-1, nil, nil)
	case n >= maxOpen && !c.excess:
		c.await(maxOpen-1, time.After(breathe), nil)
		c.excess = c.owed() >= maxOpen
	}
}

// settle gives what came before a fault its time to be answered. What still comes is read and dropped, so that it is seen when
// the caller leaves.
func (c *conn) settle() {
	limit := time.Now().Add(settleFor)
	c.SetReadDeadline(limit)
	left := make(chan struct{})
	go func() {
		defer close(left)
		for drop := make([]byte, 4<<10); ; time.Sleep(skimGap) {
			if _, err := c.Read(drop); err != nil {
				return
			}
		}
	}()
	c.await(0, time.After(time.Until(limit)), left)
	c.SetReadDeadline(time.Now())
	<-left
}

// Serve reads one connection until it ends.
func (f *Front) Serve(tc *transport.Conn) {
	c := &conn{Conn: tc, open: map[string]*caller{}, room: make(chan struct{}, 1)}
	f.enter(c)
	defer f.leave(c)
	log := f.log.WithField("caller", tc.RemoteAddr())
	seen := func(good bool) {
		if f.Seen != nil {
			f.Seen(transport.AddressOf(tc.RemoteAddr()), good)
		}
	}
	first := time.Now().Add(firstWithin)
	r := NewReader(bufio.NewReaderSize(tc, MaxMessage))
	for {
		m, err := c.next(r, first)
		if err == nil {
			spoke := !first.IsZero()
			first = time.Time{}
			c.NoteMessage()
			if err = f.take(c, &m); err == nil && spoke {
				seen(true)
			}
		}
		switch {
		case err == nil:
			c.bound()
		case errors.Is(err, ErrTooLong), errors.Is(err, ErrMalformed):
			log.WithError(err).Warn("bad message: connection closed")
			seen(false)
			c.settle()
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			log.Debug("caller is silent: connection closed")
			if !first.IsZero() {
				seen(false)
			}
			c.settle()
			return
		default:
			if ne := net.Error(nil); errors.As(err, &ne) {
				log.WithError(err).Debug("caller's connection broke")
			}
			return
		}
	}
}

// next reads a message within its times. first is by when it must be whole if it is the connection's first, else zero.
func (c *conn) next(r *Reader, first time.Time) (Message, error) {
	for {
		limit := first
		if first.IsZero() {
			limit = time.Now().Add(idleFor)
		}
		c.SetReadDeadline(limit)
		err := r.Wait()
		if errors.Is(err, os.ErrDeadlineExceeded) && c.InUse() {
			continue // its caller waits for an answer, or for the end of a call
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.SetReadDeadline(time.Now().Add(lookAgain))
			err = r.Wait()
		}
		if err != nil {
			return Message{}, err
		}
		if first.IsZero() {
			c.SetReadDeadline(time.Now().Add(wholeWithin))
		}
		return r.Next()
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
	for id, k := range open {
		c.Unhold()
		f.core.Withdraw(id, k, nil)
	}
}

// stand notes a call that stands, so that its connection is kept for its end.
func (f *Front) stand(k *caller) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stands[k.id] = k.conn
	k.conn.AddCalls(1)
}

// over notes the end of a call, whoever ended it.
func (f *Front) over(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.stands[id]; c != nil {
		delete(f.stands, id)
		c.AddCalls(-1)
	}
}

// deliver sends a release on a connection, else on any other, newest first, else on the next that comes. One whose connection
// ends before it is written goes the same way again.
func (f *Front) deliver(c *conn, w late) {
	send := func(c *conn) bool {
		return !c.PeerClosed() && c.Send(transport.Packet{Data: w.data, Done: func(err error) {
			if err != nil {
				f.deliver(nil, w)
			}
		}}) == nil
	}
	if c != nil && send(c) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := len(f.conns) - 1; i >= 0; i-- {
		if send(f.conns[i]) {
			return
		}
	}
	now := time.Now()
	f.waiting = slices.DeleteFunc(f.waiting, func(w late) bool { return now.After(w.till) })
	if now.Before(w.till) {
		f.waiting = append(f.waiting[max(0, len(f.waiting)+1-maxWaiting):], w)
	}
}

// take acts on one message. A fault ends the connection.
func (f *Front) take(c *conn, m *Message) error {
	switch m.Type {
	case "open":
		return f.open(c, m)
	case "close":
		var own routing.Caller
		if k := c.caller(m.ID); k != nil {
			k.cancelled.Store(true)
			c.done(k)
			own = k
		}
		f.over(m.ID)
		f.core.Hangup(m.ID, m.Code, own, func(bool) { c.send(Message{Type: "closed", ID: m.ID}) })
	case "probe":
		passed := 1
		if f.draining.Load() {
			passed = 0
		}
		c.send(Message{Type: "probed", ID: m.ID, Code: passed})
	case "closed", "trying": // free, and mean nothing here
	default:
		return ErrMalformed
	}
	return nil
}

// open takes a set-up. One that can't be read, and a second one under an id that is open on the connection, are told so:
// the latter ends the first too, since nothing says which of the two is meant. One that crossed the close of its connection
// gives errClosing and never runs: its caller sees the close and sends it once more, maybe to another process, which knows
// nothing of a release guard that began here.
func (f *Front) open(c *conn, m *Message) error {
	invalid := func() { c.send(Message{Type: "close", ID: m.ID, Code: causeInvalid}) }
	k := &caller{front: f, conn: c, id: m.ID}
	if first := c.caller(m.ID); first != nil {
		f.core.Withdraw(m.ID, first, func(inTime bool) {
			if inTime {
				invalid()
				c.done(first)
			}
		})
		return nil
	}
	s, err := f.setup(m)
	if err != nil {
		class, known := f.classes[m.Attrs["class"]]
		if !known {
			class = -1
		}
		f.core.CountMalformed(class)
		invalid()
		return nil
	}
	if !c.add(k) {
		return errClosing
	}
	s.Excess = c.excess || f.closing.Load()
	f.core.Open(s, k)
	return nil
}

// setup reads the fields of a set-up. What a server can't read must not get to it: it would close the connection, and
// with it others' calls.
func (f *Front) setup(m *Message) (routing.Setup, error) {
	left, err := strconv.ParseFloat(m.Attrs["left"], 64)
	if err != nil || !(left >= 0 && left <= float64(maxLeft/time.Millisecond)) {
		return routing.Setup{}, ErrMalformed
	}
	class, known := f.classes[m.Attrs["class"]]
	key := m.Attrs["key"]
	if !known || key == "" || !routing.ValidKey(key) || len(m.Text) > routing.MaxBody {
		return routing.Setup{}, ErrMalformed
	}
	s := routing.Setup{ID: m.ID, Class: class, Tenant: -1, Key: key, FirstChoice: -1,
		TimeLeft: time.Duration(left * float64(time.Millisecond)), Body: []byte(m.Text)}
	for part := range strings.SplitSeq(m.Attrs["extras"], ";") {
		name, value, _ := strings.Cut(part, ":")
		least := -1 // none
		switch name {
		case "dest", "via":
		case "width":
			least = 1
		case "again":
			least = 0
		default:
			continue
		}
		n, err := strconv.ParseInt(value, 10, 32)
		if err != nil || int(n) < least {
			return routing.Setup{}, ErrMalformed
		}
		switch name {
		case "dest":
			s.FirstChoice = int(n)
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
	front     *Front
	conn      *conn
	id        string
	cancelled atomic.Bool
}

func (k *caller) Gone() bool { return k.cancelled.Load() || k.conn.PeerClosed() }

func (k *caller) Answer(body []byte) bool {
	k.front.stand(k)
	defer k.conn.done(k) // not before the answer is queued: a connection with nothing owed may be closed
	m := Message{Type: "ready", ID: k.id, Text: string(body)}
	err := k.conn.Send(transport.Packet{Data: m.Append(nil), Done: func(err error) {
		if err != nil { // the caller never had it whole, and would never end the call
			k.front.over(k.id)
			k.front.core.Hangup(k.id, causeNormal, nil, func(bool) {})
		}
	}})
	if err != nil {
		k.front.over(k.id)
	}
	return err == nil
}

func (k *caller) Refuse(wait time.Duration) {
	defer k.conn.done(k)
	m := Message{Type: "close", ID: k.id, Code: routing.CauseCongest}
	if ms := wait.Milliseconds(); ms > 0 {
		m.Attrs = map[string]string{"wait": strconv.FormatInt(ms, 10)}
	}
	k.conn.send(m)
}

func (k *caller) Fail() {
	defer k.conn.done(k)
	k.conn.send(Message{Type: "close", ID: k.id, Code: routing.CauseFailed})
}

func (k *caller) Release(cause int) {
	k.front.over(k.id)
	m := Message{Type: "close", ID: k.id, Code: cause}
	k.front.deliver(k.conn, late{m.Append(nil), time.Now().Add(keepOrphan)})
}
