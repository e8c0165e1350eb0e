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
	over     *atomic.Bool // set once the core has given it up
	caller   Caller
}

// void tells whether nobody wants the attempt any more: it must not begin.
func (a *Attempt) void() bool {
	return a.over != nil && a.over.Load() || a.caller != nil && a.caller.Gone()
}

// NewAttempt names an attempt.
func NewAttempt(id string, number int) Attempt { return Attempt{ref: ref{id, number}} }

// ID is the call's id.
func (r ref) ID() string { return r.id }

// Number counts the attempts of a call from 0.
func (r ref) Number() int { return r.attempt }

// Line is an open way to one server. Its methods must not block; what happens is told to the LineEvents it was
// opened with.
type Line interface {
	// Setup sends a set-up. still is asked when its first byte is about to go out; one that is then not sent is told as
	// NotSent, and nothing else of it goes out either.
	Setup(a Attempt, still func() bool)
	Cancel(id string)             // give up a set-up, no copy of which goes out then; a late answer is told, or released by the line itself
	Release(id string, cause int) // end a call that stands
	Close()
}

// LineEvents hears what a line brings. Any goroutine may call it.
type LineEvents interface {
	Answered(r Attempt, body []byte)                 // the call stands
	Failed(r Attempt, o Outcome)                     // the attempt is over
	Released(id string, cause int, report []float64) // a call that stood is over
	Report(report []float64)                         // told unasked
	Down(err error)                                  // the line is gone
}

// Dialer opens lines.
type Dialer interface {
	Dial(ctx context.Context, addr string, events LineEvents) (Line, error)
	// Lines tells how many lines to one server are of use at a time.
	Lines(addr string) int
}

const (
	redialFirst   = 50 * time.Millisecond
	redialMost    = time.Second
	lingerFor     = 10 * time.Second // what the core still sends to a retired peer gets its NotSent
	warnEvery     = 10 * time.Second
	spentFor      = 10 * time.Second // a given-up set-up may still be answered on its line for so long
	vanishedAfter = 4 * time.Second  // without any line; what stood at a server that vanished is owed its release in 8 s
)

// Peer is the actor of one server: it keeps lines to it and knows which attempts are out there. There are several lines
// where the dialer has use for them, so that one that is spoilt or falls silent takes few set-ups with it.
type Peer struct {
	*actor.Actor
	core   *Core
	server uint32
	addr   string
	dialer Dialer
	log    logrus.FieldLogger
	state  atomic.Int32 // control.State as last told by the list; read by writers at a packet's first byte

	lanes    []*lane   // lines that are open
	dial     *lane     // the one that is being opened, or nil
	queued   []Attempt // wait for a line
	redial   time.Duration
	timer    *time.Timer   // next try to dial, nil if none is due
	owed     []owedRelease // releases that wait for a line
	reset    bool          // a line was reset since one was last opened: the process may have died
	lostAt   control.Micros
	darkAt   control.Micros // when the last line was lost, 0 while there is one or calls of then have been ended
	warned   control.Micros // when a failed connect was last logged
	ctx      context.Context
	stopDial context.CancelFunc
}

type sending struct {
	Attempt
	sent  bool
	spent bool // given up; a late answer may still come
}

type owedRelease struct {
	id    string
	cause int
}

func newPeer(core *Core, server uint32, addr string, dialer Dialer, log logrus.FieldLogger) *Peer {
	p := &Peer{Actor: actor.New(), core: core, server: server, addr: addr, dialer: dialer, log: log,
		redial: redialFirst}
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
	if p.dial != nil {
		p.dial.gone = true
		p.dial = nil
	}
	for len(p.lanes) > 0 {
		l := p.lanes[0]
		p.drop(l)
		l.line.Close()
	}
	p.failQueued(control.NotSent)
	p.owed = nil
	at := p.core.clock.now()
	p.core.Post(func() { p.core.died(p, at+1, false) })
	p.After(lingerFor, p.Stop)
}

// end stops the peer without a word to the core or its server.
func (p *Peer) end() {
	p.stopDial()
	p.Post(func() {
		p.stopTimer()
		for _, l := range p.lanes {
			l.gone = true
			l.line.Close()
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

// connect opens one more line, if it is of use: calls that stand and reports of the server need one too.
func (p *Peer) connect() {
	if p.dial != nil || p.gone() || len(p.lanes) >= p.dialer.Lines(p.addr) {
		return
	}
	p.stopTimer()
	l := &lane{peer: p, out: map[string]sending{}}
	p.dial = l
	go func() {
		line, err := p.dialer.Dial(p.ctx, p.addr, l)
		p.Post(func() { p.dialled(l, line, err) })
	}()
}

func (p *Peer) dialled(l *lane, line Line, err error) {
	if l.gone || p.gone() {
		if line != nil {
			line.Close()
		}
		return
	}
	p.dial = nil
	if err != nil {
		p.unreachable(err)
		return
	}
	l.line = line
	p.lanes = append(p.lanes, l)
	p.redial, p.reset, p.darkAt, p.warned = redialFirst, false, 0, 0
	for _, r := range p.owed {
		line.Release(r.id, r.cause)
	}
	p.owed = nil
	queued := p.queued
	p.queued = nil
	for _, a := range queued {
		p.assign(a)
	}
}

// unreachable: no line came up.
func (p *Peer) unreachable(err error) {
	now := p.core.clock.now()
	if p.warned == 0 || span(now-p.warned) >= warnEvery { // not each of the many tries
		p.warned = now
		p.log.WithError(err).Warn("no connection to server")
	}
	p.retry()
	if len(p.lanes) > 0 {
		return
	}
	p.failQueued(control.Unreachable)
	switch {
	case p.reset && errors.Is(err, syscall.ECONNREFUSED):
		// Reset and then refused: the process died, and its calls with it. It can't release them.
		p.reset, p.darkAt = false, 0
		at := p.lostAt
		p.core.Post(func() { p.core.died(p, at+1, false) })
	case p.darkAt > 0 && span(now-p.darkAt) >= vanishedAfter:
		// The machine vanished or is cut off, and nothing says so. Nobody else would release its calls; should it come
		// back, it is told that they are over.
		at := p.darkAt
		p.darkAt = 0
		p.log.Warn("server vanished: its calls are released")
		p.core.Post(func() { p.core.died(p, at+1, true) })
	}
}

// retry dials again after a wait.
func (p *Peer) retry() {
	p.stopTimer()
	p.timer = p.After(p.redial, func() {
		p.timer = nil
		p.connect()
	})
	p.redial = min(2*p.redial, redialMost)
}

// setup starts an attempt.
func (p *Peer) setup(a Attempt) { p.Post(func() { p.assign(a) }) }

// assign gives an attempt to the line with the least out on it: one that has fallen silent collects no more than others
// have. It is never one where an earlier attempt of the call was given up, since its late answer would be taken for
// this one's.
func (p *Peer) assign(a Attempt) {
	if !p.ready() || !time.Now().Before(a.Deadline) {
		p.fail(a, control.NotSent)
		return
	}
	var best *lane
	for _, l := range p.lanes {
		if _, used := l.out[a.id]; !used && (best == nil || len(l.out) < len(best.out)) {
			best = l
		}
	}
	switch {
	case best != nil:
		if len(best.out) > 0 && p.timer == nil {
			p.connect() // all are in use: one more for the next
		}
		best.transmit(a)
	case len(p.lanes) > 0 && len(p.lanes) >= p.dialer.Lines(p.addr):
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
		for _, l := range p.lanes {
			if o, ok := l.out[r.id]; ok && o.ref == r {
				o.spent = true
				l.out[r.id] = o
				p.After(spentFor, func() { l.forget(r) })
				l.line.Cancel(r.id)
				return
			}
		}
	})
}

// release ends a call that stands at the server.
func (p *Peer) release(id string, cause int) {
	p.Post(func() {
		var best *lane
		for _, l := range p.lanes {
			if best == nil || len(l.out) < len(best.out) {
				best = l
			}
		}
		if best != nil {
			best.line.Release(id, cause)
		} else if !p.gone() {
			p.owed = append(p.owed, owedRelease{id, cause})
			p.connect()
		}
	})
}

func (p *Peer) fail(a Attempt, code control.Code) {
	p.core.Post(func() { p.core.failed(a.ref, Outcome{Code: code}) })
}

// drop takes a line away, and with it the set-ups that were out on it. Calls that stand are not tied to a line.
func (p *Peer) drop(l *lane) {
	l.gone = true
	p.lanes = slices.DeleteFunc(p.lanes, func(o *lane) bool { return o == l })
	for _, o := range l.out {
		if o.spent {
			continue
		}
		code := control.NotSent
		if o.sent {
			code = control.Cut
		}
		p.fail(o.Attempt, code)
	}
	l.out = nil
}

// lane is one line of a peer, and hears what it brings for as long as it is the peer's.
type lane struct {
	peer  *Peer
	line  Line
	out   map[string]sending // by call
	heard bool               // it has brought something
	gone  bool
}

func (l *lane) transmit(a Attempt) {
	l.out[a.id] = sending{Attempt: a}
	first := true // UDP asks again for each copy; the line itself sends none after a cancel
	l.line.Setup(a, func() bool {
		if !l.peer.ready() {
			return false
		}
		if first {
			if a.void() {
				return false
			}
			first = false
			l.peer.core.note(history.Event{Kind: history.Sent, Call: a.id, Attempt: a.attempt, Server: l.peer.server,
				Level: a.level})
		}
		// From the first byte on the set-up may run: should the line break now, that is a cut, not a NotSent.
		l.on(func(*Peer) {
			if o, ok := l.out[a.id]; ok && o.ref == a.ref {
				o.sent = true
				l.out[a.id] = o
			}
		})
		return true
	})
}

func (l *lane) forget(r ref) {
	if o, ok := l.out[r.id]; ok && o.ref == r {
		delete(l.out, r.id)
	}
}

func (l *lane) on(f func(p *Peer)) {
	l.peer.Post(func() {
		if !l.gone {
			f(l.peer)
		}
	})
}

func (l *lane) Answered(a Attempt, body []byte) {
	l.on(func(p *Peer) {
		l.heard = true
		l.forget(a.ref)
		p.core.Post(func() { p.core.answered(p, a.ref, body) })
	})
}

func (l *lane) Failed(a Attempt, o Outcome) {
	l.on(func(p *Peer) {
		l.forget(a.ref)
		p.core.Post(func() { p.core.failed(a.ref, o) })
	})
}

func (l *lane) Released(id string, cause int, report []float64) {
	l.on(func(p *Peer) {
		l.heard = true
		p.core.Post(func() { p.core.released(p, id, cause, report) })
	})
}

func (l *lane) Report(report []float64) {
	l.on(func(p *Peer) {
		l.heard = true
		p.core.Post(func() { p.core.status(p, report) })
	})
}

func (l *lane) Down(err error) {
	l.on(func(p *Peer) {
		p.log.WithError(err).Info("connection to server ended")
		if p.dial == l {
			p.dial = nil
		}
		p.drop(l)
		p.reset, p.lostAt = p.reset || errors.Is(err, syscall.ECONNRESET), p.core.clock.now()
		if len(p.lanes) == 0 {
			p.failQueued(control.NotSent)
			if p.darkAt == 0 {
				p.darkAt = p.lostAt
			}
		}
		if l.heard {
			p.connect() // a release that the server could not send on it comes on the next one
		} else { // it came up and brought nothing: not at once again
			p.retry()
		}
	})
}
