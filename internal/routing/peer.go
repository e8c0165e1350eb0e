package routing

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/internal/actor"
	"beammux/internal/history"
)

// ref names one attempt.
type ref struct {
	id      string
	attempt int
}

// Attempt is a set-up on its way to one server.
type Attempt struct {
	ref
	Class    int
	Key      string
	Body     []byte
	Deadline time.Time
	level    int          // of the server, as the module held it when it decided; known while records are kept
	givenUp  *atomic.Bool // set once the core has given it up
	caller   Caller
}

// abandoned tells whether the attempt has been given up or its caller is gone: it must not begin.
func (a *Attempt) abandoned() bool {
	return a.givenUp != nil && a.givenUp.Load() || a.caller != nil && a.caller.Gone()
}

// NewAttempt names an attempt.
func NewAttempt(id string, number int) Attempt { return Attempt{ref: ref{id, number}} }

// ID is the call's id.
func (r ref) ID() string { return r.id }

// Number counts the attempts of a call from 0.
func (r ref) Number() int { return r.attempt }

// ServerConn is an open connection to one server. Its methods must not block; what happens on it is reported to the
// ServerEvents that it was opened with.
type ServerConn interface {
	// Setup sends a set-up. still is called when its first byte is about to be written; if it returns false, the set-up is
	// reported as NotSent, and nothing of it is written.
	Setup(a Attempt, still func() bool)
	Cancel(id string)             // give up a set-up: no further copy is sent; a late answer is reported, or released by the connection itself
	Release(id string, cause int) // end an established call
	Close()
}

// ServerEvents receives what happens on a connection. It is safe for concurrent use.
type ServerEvents interface {
	Answered(r Attempt, body []byte)                 // the call is established
	Failed(r Attempt, o Outcome)                     // the attempt is over
	Released(id string, cause int, report []float64) // an established call is over
	Report(report []float64)                         // sent by the server unasked
	Down(err error)                                  // the connection is gone
}

// Dialer opens connections.
type Dialer interface {
	Dial(ctx context.Context, addr string, events ServerEvents) (ServerConn, error)
	// MaxConns is how many connections to one server are of use at a time.
	MaxConns(addr string) int
}

const (
	minRedialWait    = 50 * time.Millisecond
	maxRedialWait    = time.Second
	lingerTime       = 10 * time.Second // what the core still sends to a retired peer gets its NotSent
	warnInterval     = 10 * time.Second
	lateAnswerTime   = 10 * time.Second // a given-up set-up may still be answered on its connection for so long
	unreachableAfter = 4 * time.Second  // without a connection; calls established at a server that vanished must be released within 8 s
)

// Peer is the actor of one server: it keeps connections to it and knows which attempts are in flight there. It opens several
// where the dialer has use for them, so that one that breaks or falls silent takes few set-ups with it.
type Peer struct {
	*actor.Actor
	core   *Core
	server uint32
	addr   string
	dialer Dialer
	log    logrus.FieldLogger
	state  atomic.Int32 // control.State as the list says; read by writers at a packet's first byte

	conns           []*peerConn // connections that are open
	dialing         *peerConn   // the one that is being opened, or nil
	queued          []Attempt   // wait for a connection
	redialWait      time.Duration
	timer           *time.Timer      // next try to dial, nil if none is due
	pendingReleases []pendingRelease // releases that wait for a connection
	wasReset        bool             // a connection was reset since one was last opened: the process may have died
	lastClosedAt    control.Micros
	disconnectedAt  control.Micros // when the last connection closed; 0 while one is open, and once its calls have been ended
	warnedAt        control.Micros // when a failed connect was last logged
	ctx             context.Context
	stopDial        context.CancelFunc
}

type inFlightAttempt struct {
	Attempt
	sent      bool
	abandoned bool // given up; a late answer may still come
}

type pendingRelease struct {
	id    string
	cause int
}

func newPeer(core *Core, server uint32, addr string, dialer Dialer, log logrus.FieldLogger) *Peer {
	p := &Peer{Actor: actor.New(), core: core, server: server, addr: addr, dialer: dialer, log: log,
		redialWait: minRedialWait}
	p.ctx, p.stopDial = context.WithCancel(context.Background())
	return p
}

// set takes what the list says of the server. It is valid at once, also for what is queued.
func (p *Peer) set(s control.State) {
	p.state.Store(int32(s))
	p.Post(func() {
		if s == control.Gone {
			p.retire()
		} else {
			p.connect()
		}
	})
}

func (p *Peer) ready() bool { return control.State(p.state.Load()) == control.Ready }

func (p *Peer) gone() bool { return control.State(p.state.Load()) == control.Gone }

// retire ends the peer of a server that the list calls gone: nothing more will come from it.
func (p *Peer) retire() {
	p.stopDial()
	p.stopTimer()
	if p.dialing != nil {
		p.dialing.closed = true
		p.dialing = nil
	}
	for len(p.conns) > 0 {
		c := p.conns[0]
		p.removeConn(c)
		c.conn.Close()
	}
	p.failQueued(control.NotSent)
	p.pendingReleases = nil
	at := p.core.clock.now()
	p.core.Post(func() { p.core.serverDied(p, at+1, false) })
	p.After(lingerTime, p.Stop)
}

// end stops the peer without a word to the core or its server.
func (p *Peer) end() {
	p.stopDial()
	p.Post(func() {
		p.stopTimer()
		for _, c := range p.conns {
			c.closed = true
			c.conn.Close()
		}
		p.Stop()
	})
}

func (p *Peer) stopTimer() {
	if p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
}

func (p *Peer) failQueued(code control.Code) {
	for _, a := range p.queued {
		p.fail(a, code)
	}
	p.queued = nil
}

// connect opens one more connection, if it is of use: established calls and reports of the server need one too.
func (p *Peer) connect() {
	if p.dialing != nil || p.gone() || len(p.conns) >= p.dialer.MaxConns(p.addr) {
		return
	}
	p.stopTimer()
	c := &peerConn{peer: p, inFlight: map[string]inFlightAttempt{}}
	p.dialing = c
	go func() {
		conn, err := p.dialer.Dial(p.ctx, p.addr, c)
		p.Post(func() { p.connected(c, conn, err) })
	}()
}

func (p *Peer) connected(c *peerConn, conn ServerConn, err error) {
	if c.closed || p.gone() {
		if conn != nil {
			conn.Close()
		}
		return
	}
	p.dialing = nil
	if err != nil {
		p.dialFailed(err)
		return
	}
	c.conn = conn
	p.conns = append(p.conns, c)
	p.redialWait, p.wasReset, p.disconnectedAt, p.warnedAt = minRedialWait, false, 0, 0
	for _, r := range p.pendingReleases {
		conn.Release(r.id, r.cause)
	}
	p.pendingReleases = nil
	queued := p.queued
	p.queued = nil
	for _, a := range queued {
		p.dispatch(a)
	}
}

// dialFailed handles a connection that could not be opened.
func (p *Peer) dialFailed(err error) {
	now := p.core.clock.now()
	if p.warnedAt == 0 || span(now-p.warnedAt) >= warnInterval { // not each of the many tries
		p.warnedAt = now
		p.log.WithError(err).Warn("no connection to server")
	}
	p.retry()
	if len(p.conns) > 0 {
		return
	}
	p.failQueued(control.Unreachable)
	switch {
	case p.wasReset && errors.Is(err, syscall.ECONNREFUSED):
		// Reset and then refused: the process died, and its calls with it. It can't release them.
		p.wasReset, p.disconnectedAt = false, 0
		at := p.lastClosedAt
		p.core.Post(func() { p.core.serverDied(p, at+1, false) })
	case p.disconnectedAt > 0 && span(now-p.disconnectedAt) >= unreachableAfter:
		// The machine vanished or is cut off, and nothing says so. Nobody else would release its calls; should it come
		// back, it is told that they are over.
		at := p.disconnectedAt
		p.disconnectedAt = 0
		p.log.Warn("server vanished: its calls are released")
		p.core.Post(func() { p.core.serverDied(p, at+1, true) })
	}
}

// retry dials again after a wait.
func (p *Peer) retry() {
	p.stopTimer()
	p.timer = p.After(p.redialWait, func() {
		p.timer = nil
		p.connect()
	})
	p.redialWait = min(2*p.redialWait, maxRedialWait)
}

// setup starts an attempt.
func (p *Peer) setup(a Attempt) { p.Post(func() { p.dispatch(a) }) }

// dispatch gives an attempt to the connection with the fewest in flight: one that has fallen silent collects no more than the
// others have. It is never one where an earlier attempt of the call was given up, since its late answer would be taken for
// this one's.
func (p *Peer) dispatch(a Attempt) {
	if !p.ready() || !time.Now().Before(a.Deadline) {
		p.fail(a, control.NotSent)
		return
	}
	var best *peerConn
	for _, c := range p.conns {
		if _, used := c.inFlight[a.id]; !used && (best == nil || len(c.inFlight) < len(best.inFlight)) {
			best = c
		}
	}
	switch {
	case best != nil:
		if len(best.inFlight) > 0 && p.timer == nil {
			p.connect() // all are in use: one more for the next
		}
		best.send(a)
	case len(p.conns) > 0 && len(p.conns) >= p.dialer.MaxConns(p.addr):
		p.fail(a, control.NotSent)
	default:
		p.queued = append(p.queued, a)
		p.connect()
	}
}

// cancel gives up an attempt whose end the core has settled already.
func (p *Peer) cancel(r ref) {
	p.Post(func() {
		for i, a := range p.queued {
			if a.ref == r {
				p.queued = append(p.queued[:i:i], p.queued[i+1:]...)
				return
			}
		}
		for _, c := range p.conns {
			if o, ok := c.inFlight[r.id]; ok && o.ref == r {
				o.abandoned = true
				c.inFlight[r.id] = o
				p.After(lateAnswerTime, func() { c.forget(r) })
				c.conn.Cancel(r.id)
				return
			}
		}
	})
}

// release ends an established call at the server.
func (p *Peer) release(id string, cause int) {
	p.Post(func() {
		var best *peerConn
		for _, c := range p.conns {
			if best == nil || len(c.inFlight) < len(best.inFlight) {
				best = c
			}
		}
		if best != nil {
			best.conn.Release(id, cause)
		} else if !p.gone() {
			p.pendingReleases = append(p.pendingReleases, pendingRelease{id, cause})
			p.connect()
		}
	})
}

func (p *Peer) fail(a Attempt, code control.Code) {
	p.core.Post(func() { p.core.failed(a.ref, Outcome{Code: code}) })
}

// removeConn removes a connection, and with it the set-ups in flight on it. Established calls are not tied to a connection.
func (p *Peer) removeConn(c *peerConn) {
	c.closed = true
	p.conns = slices.DeleteFunc(p.conns, func(o *peerConn) bool { return o == c })
	for _, o := range c.inFlight {
		if o.abandoned {
			continue
		}
		code := control.NotSent
		if o.sent {
			code = control.Cut
		}
		p.fail(o.Attempt, code)
	}
	c.inFlight = nil
}

// peerConn is one connection of a peer. It receives events for as long as it is one of the peer's connections.
type peerConn struct {
	peer     *Peer
	conn     ServerConn
	inFlight map[string]inFlightAttempt // by call
	received bool                       // it has brought something
	closed   bool
}

func (c *peerConn) send(a Attempt) {
	c.inFlight[a.id] = inFlightAttempt{Attempt: a}
	first := true // UDP asks for each copy; the connection itself sends none after a cancel
	c.conn.Setup(a, func() bool {
		if !c.peer.ready() {
			return false
		}
		if first {
			if a.abandoned() {
				return false
			}
			first = false
			c.peer.core.note(history.Event{Kind: history.Sent, Call: a.id, Attempt: a.attempt, Server: c.peer.server,
				Level: a.level})
		}
		// From the first byte on the server may run the set-up: if the connection breaks now, that is a cut, not a NotSent.
		c.ifOpen(func(*Peer) {
			if sent, ok := c.inFlight[a.id]; ok && sent.ref == a.ref {
				sent.sent = true
				c.inFlight[a.id] = sent
			}
		})
		return true
	})
}

func (c *peerConn) forget(r ref) {
	if sent, ok := c.inFlight[r.id]; ok && sent.ref == r {
		delete(c.inFlight, r.id)
	}
}

func (c *peerConn) ifOpen(f func(p *Peer)) {
	c.peer.Post(func() {
		if !c.closed {
			f(c.peer)
		}
	})
}

func (c *peerConn) Answered(a Attempt, body []byte) {
	c.ifOpen(func(p *Peer) {
		c.received = true
		c.forget(a.ref)
		p.core.Post(func() { p.core.answered(p, a.ref, body) })
	})
}

func (c *peerConn) Failed(a Attempt, o Outcome) {
	c.ifOpen(func(p *Peer) {
		c.forget(a.ref)
		p.core.Post(func() { p.core.failed(a.ref, o) })
	})
}

func (c *peerConn) Released(id string, cause int, report []float64) {
	c.ifOpen(func(p *Peer) {
		c.received = true
		p.core.Post(func() { p.core.released(p, id, cause, report) })
	})
}

func (c *peerConn) Report(report []float64) {
	c.ifOpen(func(p *Peer) {
		c.received = true
		p.core.Post(func() { p.core.status(p, report) })
	})
}

func (c *peerConn) Down(err error) {
	c.ifOpen(func(p *Peer) {
		p.log.WithError(err).Info("connection to server ended")
		if p.dialing == c {
			p.dialing = nil
		}
		p.removeConn(c)
		p.wasReset, p.lastClosedAt = p.wasReset || errors.Is(err, syscall.ECONNRESET), p.core.clock.now()
		if len(p.conns) == 0 {
			p.failQueued(control.NotSent)
			if p.disconnectedAt == 0 {
				p.disconnectedAt = p.lastClosedAt
			}
		}
		if c.received {
			p.connect() // a release that the server could not send on it comes on the next one
		} else { // it came up and brought nothing: not at once again
			p.retry()
		}
	})
}
