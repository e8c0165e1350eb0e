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
	"beammux/internal/loglimit"
	"beammux/internal/routing"
	"beammux/internal/transport"
)

// Cause codes and bounds.
const (
	causeInvalid  = 100              // cause code of a set-up with invalid fields
	causeNormal   = 16               // cause code of a call that the gatekeeper releases: normal clearing
	maxTimeLeft   = 10 * time.Minute // maximum of a set-up's attribute left
	maxOpenSetups = 512              // unanswered set-ups of one connection; further ones are marked as excess, and refused
)

// Time-outs of a connection. They keep silent and finished callers from holding descriptors forever.
const (
	firstMessageTimeout = 2500 * time.Millisecond // for the first complete message
	messageTimeout      = 2 * time.Second         // for the rest of a message that has begun
	idleTimeout         = 10 * time.Second        // without a call on the connection; callers themselves close after 4 s
	settleTimeout       = 2 * time.Second         // to answer the open set-ups after a malformed message
	idleReadTimeout     = 10 * time.Millisecond   // for a last read before an idle close, since this process may have had no processor time to read
	excessDelay         = 20 * time.Millisecond   // for the core to answer open set-ups before further ones are excess
	discardInterval     = time.Millisecond        // between reads of discarded bytes
)

// errClosing ends a connection on which a set-up arrived after its close had begun.
var errClosing = errors.New("connection is being closed")

// Core is the part of the routing core that a front needs.
type Core interface {
	// Open starts a call.
	Open(routing.Setup, routing.Caller)
	// Withdraw gives up a set-up. If done is not nil, it receives whether the set-up had no final answer yet.
	Withdraw(id string, caller routing.Caller, done func(inTime bool))
	// Hangup ends a call. done receives whether the call was known.
	Hangup(id string, cause int, caller routing.Caller, done func(known bool))
	// Abort ends a set-up that has no final answer yet. Its caller receives one.
	Abort(id string, caller routing.Caller)
	// CountMalformed counts a set-up with invalid fields, which the front has refused.
	CountMalformed(class int)
	// CountRefused counts a set-up that the front refused because of an overload or an evacuation without passing it to the core.
	CountRefused(class int)
}

// Front serves callers that speak JSON lines.
type Front struct {
	// Seen, if not nil, is called for each connection with the caller's address: with true at its first valid message, and with
	// false when it ends because of an invalid message or sends none in time. It must be set before the first call of Serve.
	Seen func(address string, good bool)
	// Scheduler shares the processor between the connections; nil: messages are processed at once. It must be set before the first
	// call of Serve.
	Scheduler *transport.Scheduler

	core     Core
	classes  map[string]int
	log      logrus.FieldLogger
	badInput *loglimit.Limiter // log of bad messages
	releases *releaseDelivery
	draining atomic.Bool
	refusing atomic.Bool
	closing  atomic.Bool

	mu          sync.Mutex
	conns       []*conn          // open connections, oldest first
	established map[string]*conn // connections of the established calls, by call
}

// NewFront returns a front. classes are the names of the classes in the order of the settings.
func NewFront(core Core, classes []string, log logrus.FieldLogger) *Front {
	f := &Front{core: core, classes: map[string]int{}, established: map[string]*conn{}, log: log,
		badInput: loglimit.New(log), releases: newReleaseDelivery(loglimit.New(log))}
	for i, name := range classes {
		f.classes[name] = i
	}
	return f
}

// Drain makes the front fail probes from now on, so that no new callers are directed to this process.
func (f *Front) Drain() { f.draining.Store(true) }

// TurnAway makes the front mark new set-ups as excess, which the core refuses: the process is about to exit and only
// answers earlier set-ups.
func (f *Front) TurnAway() { f.closing.Store(true) }

// RefuseSetups makes the front refuse the set-ups that arrive from now on, so that connections can be closed, or serve them again.
func (f *Front) RefuseSetups(refuse bool) { f.refusing.Store(refuse) }

// Rejoin makes the front pass probes and serve set-ups again after Drain.
func (f *Front) Rejoin() {
	f.draining.Store(false)
	f.refusing.Store(false)
}

// Sweep applies the decision of decide to each connection. A call that is released for it is released to both sides: to its server by
// the core, and to its caller on the connection before that closes.
func (f *Front) Sweep(decide func(transport.Usage) drain.Decision) {
	f.mu.Lock()
	conns := slices.Clone(f.conns)
	f.mu.Unlock()
	for _, c := range conns {
		switch decide(c.Usage()) {
		case drain.Close:
			c.FinishIdle()
		case drain.ReleaseCalls:
			f.releaseCalls(c)
			c.FinishIdle()
		case drain.EndSetups:
			f.abortSetups(c)
			f.releaseCalls(c)
			c.FinishAnswered()
		case drain.Cut:
			c.Close()
		}
	}
}

// ReleaseDisconnected releases the established calls whose connection has ended, as long as there is another one on which their release
// can be sent. Once an evacuation has closed that, none is left.
func (f *Front) ReleaseDisconnected() {
	for _, c := range f.disconnectedWithCalls() {
		f.releaseCalls(c)
	}
}

// disconnectedWithCalls returns the connections that have ended and on which calls are established. It returns none if no connection is
// open.
func (f *Front) disconnectedWithCalls() (ended []*conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.conns) == 0 {
		return nil
	}
	for _, c := range f.established {
		if !slices.Contains(f.conns, c) && !slices.Contains(ended, c) {
			ended = append(ended, c)
		}
	}
	return ended
}

// abortSetups ends the unanswered set-ups of a connection.
func (f *Front) abortSetups(c *conn) {
	for _, setup := range c.openSetups() {
		f.core.Abort(setup.id, setup)
	}
}

// releaseCalls releases the established calls of a connection to their servers and callers.
func (f *Front) releaseCalls(c *conn) {
	for _, id := range f.takeCalls(c) {
		f.core.Hangup(id, causeNormal, nil, func(bool) {})
		f.releases.deliver(Message{Type: "close", ID: id, Code: causeNormal}, c)
	}
}

// takeCalls removes the established calls from a connection and returns their ids.
func (f *Front) takeCalls(c *conn) (ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, o := range f.established {
		if o == c {
			ids = append(ids, id)
			delete(f.established, id)
			c.AddCalls(-1)
		}
	}
	return ids
}

// Serve reads one connection until it ends. The caller of Serve closes it.
func (f *Front) Serve(tc *transport.Conn) {
	c := &conn{Conn: tc, open: map[string]*caller{}, setupEnded: make(chan struct{}, 1)}
	f.addConn(c)
	defer f.removeConn(c)
	log := f.log.WithField("caller", tc.RemoteAddr())
	report := func(good bool) {
		if f.Seen != nil {
			f.Seen(transport.AddressOf(tc.RemoteAddr()), good)
		}
	}
	firstDeadline := time.Now().Add(firstMessageTimeout)
	r := NewReader(bufio.NewReaderSize(tc, MaxMessage))
	for {
		line, err := c.readLine(r, firstDeadline)
		if err == nil {
			f.Scheduler.Do(func() {
				if err = f.handleLine(c, line); err == nil && !firstDeadline.IsZero() {
					report(true)
				}
			})
			firstDeadline = time.Time{}
		}
		switch {
		case err == nil:
			c.limitOpen()
		case errors.Is(err, ErrTooLong), errors.Is(err, ErrMalformed):
			f.badInput.Warn("bad message: connection closed", logrus.Fields{"caller": tc.RemoteAddr(), "error": err})
			report(false)
			c.awaitAnswers()
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			log.Debug("caller timed out: connection closed")
			if !firstDeadline.IsZero() {
				report(false)
			}
			c.awaitAnswers()
			return
		default:
			if ne := net.Error(nil); errors.As(err, &ne) {
				log.WithError(err).Debug("connection of a caller failed")
			}
			return
		}
	}
}

// handleLine handles the message in a line. An error ends the connection.
func (f *Front) handleLine(c *conn, line []byte) error {
	m, err := parse(line)
	if err != nil {
		return err
	}
	c.NoteMessage()
	c.receivedAt.Store(time.Now().UnixNano())
	return f.handle(c, &m)
}

// addConn adds a connection.
func (f *Front) addConn(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns = append(f.conns, c)
	f.releases.addConn(c)
}

// removeConn removes a connection that ended and withdraws its set-ups, whose answers can't be delivered.
func (f *Front) removeConn(c *conn) {
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
	for id, setup := range open {
		c.Unhold()
		setup.releaseWithdrawn()
		f.core.Withdraw(id, setup, nil)
	}
	f.releases.removeConn(c)
}

// addCall records an established call, which keeps its connection open.
func (f *Front) addCall(call *caller) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.established[call.id] = call.conn
	call.conn.AddCalls(1)
}

// removeCall removes an established call that either side has ended.
func (f *Front) removeCall(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.established[id]; c != nil {
		delete(f.established, id)
		c.AddCalls(-1)
	}
}

// handle handles one message. An error ends the connection.
func (f *Front) handle(c *conn, m *Message) error {
	switch m.Type {
	case "open":
		return f.handleOpen(c, m)
	case "close":
		var openCaller routing.Caller
		if setup := c.openSetup(m.ID); setup != nil {
			setup.cancelled.Store(true)
			c.withdrawSetup(setup)
			openCaller = setup
		}
		f.removeCall(m.ID)
		f.releases.stop(m.ID)
		f.core.Hangup(m.ID, m.Code, openCaller, func(bool) { c.send(Message{Type: "closed", ID: m.ID}) })
	case "probe":
		passed := 1
		if f.draining.Load() {
			passed = 0
		}
		f.releases.noteKind(c, healthCheck)
		c.send(Message{Type: "probed", ID: m.ID, Code: passed})
	case "closed":
		f.releases.confirm(m.ID, c)
	case "trying": // valid and ignored
	default:
		return ErrMalformed
	}
	return nil
}

// handleOpen handles a set-up. A set-up with invalid fields is refused. So is a second one with an id that is open on the
// connection; it ends the first too, since the caller can't tell which of the two an answer is for. A set-up that crosses
// the close of its connection returns errClosing and never runs: its caller sees the close and sends the set-up again,
// maybe to another process, which does not know of a release guard that began here.
func (f *Front) handleOpen(c *conn, m *Message) error {
	invalid := func() { c.send(Message{Type: "close", ID: m.ID, Code: causeInvalid}) }
	newCaller := &caller{front: f, conn: c, id: m.ID}
	if first := c.openSetup(m.ID); first != nil {
		f.core.Withdraw(m.ID, first, func(inTime bool) {
			if inTime {
				invalid()
				c.removeSetup(first)
			}
		})
		return nil
	}
	setup, err := f.parseSetup(m)
	if err != nil {
		class, known := f.classes[m.Attrs["class"]]
		if !known {
			class = -1
		}
		f.core.CountMalformed(class)
		invalid()
		return nil
	}
	if f.refusing.Load() {
		return f.refuse(c, m.ID, setup.Class)
	}
	if !c.addSetup(newCaller) {
		return errClosing
	}
	f.releases.noteKind(c, callerPeer)
	setup.Excess = c.excess || f.closing.Load() || !newCaller.reserve(len(setup.Body))
	if setup.Excess {
		setup.Body = nil // it is sent to no server
	}
	f.core.Open(setup, newCaller)
	return nil
}

// refuse refuses a set-up without passing it to the core. The caller may retry it at once, at another gatekeeper.
func (f *Front) refuse(c *conn, id string, class int) error {
	if !c.send(Message{Type: "close", ID: id, Code: routing.CauseCongest}) {
		return errClosing
	}
	f.core.CountRefused(class)
	f.releases.noteKind(c, callerPeer)
	return nil
}

// parseSetup decodes the fields of a set-up. Values that a server can't read must not reach it: the server would close the
// connection and end the calls of others with it.
func (f *Front) parseSetup(m *Message) (routing.Setup, error) {
	left, err := strconv.ParseFloat(m.Attrs["left"], 64)
	if err != nil || !(left >= 0 && left <= float64(maxTimeLeft/time.Millisecond)) {
		return routing.Setup{}, ErrMalformed
	}
	class, known := f.classes[m.Attrs["class"]]
	key := m.Attrs["key"]
	if !known || key == "" || !routing.ValidKey(key) || len(m.Text) > routing.MaxBody {
		return routing.Setup{}, ErrMalformed
	}
	setup := routing.Setup{ID: m.ID, Class: class, Tenant: -1, Key: key, FirstChoice: -1,
		TimeLeft: time.Duration(left * float64(time.Millisecond)), Body: []byte(m.Text)}
	for part := range strings.SplitSeq(m.Attrs["extras"], ";") {
		name, value, _ := strings.Cut(part, ":")
		minimum := -1 // -1 in dest and via: none
		switch name {
		case "dest", "via":
		case "width":
			minimum = 1
		case "again":
			minimum = 0
		default:
			continue
		}
		n, err := strconv.ParseInt(value, 10, 32)
		if err != nil || int(n) < minimum {
			return routing.Setup{}, ErrMalformed
		}
		switch name {
		case "dest":
			setup.FirstChoice = int(n)
		case "again":
			setup.WasCut = n != 0
		}
	}
	return setup, nil
}

// Orphan sends the release of a call that was established before this process started.
func (f *Front) Orphan(id string, cause int) {
	f.releases.deliver(Message{Type: "close", ID: id, Code: cause}, nil)
}
