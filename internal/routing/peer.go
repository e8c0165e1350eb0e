package routing

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/internal/actor"
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
	Deadline control.Micros
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
	// Setup sends a set-up. still is asked when its first byte is about to go out.
	Setup(a Attempt, still func() bool)
	Cancel(id string)             // give up a set-up; a late answer is still told
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
}

const (
	redialFirst = 50 * time.Millisecond
	redialMost  = time.Second
	lingerFor   = time.Minute
	warnEvery   = 10 * time.Second
)

type lineState int

const (
	idle lineState = iota
	dialling
	up
)

// Peer is the actor of one server: it keeps a line to it and knows which attempts are out there.
type Peer struct {
	*actor.Actor
	core   *Core
	server uint32
	addr   string
	dialer Dialer
	log    logrus.FieldLogger
	state  atomic.Int32 // control.State as last told by the list; read by writers at a packet's first byte

	line     Line
	phase    lineState
	events   *lineEvents
	queued   []Attempt          // wait for the line
	out      map[string]sending // by call
	redial   time.Duration
	timer    *time.Timer
	owed     []owedRelease // releases that wait for a line
	reset    bool          // the last line was reset: the process may have died
	lostAt   control.Micros
	warned   control.Micros // when a failed connect was last logged
	ctx      context.Context
	stopDial context.CancelFunc
}

type sending struct {
	Attempt
	sent bool
}

type owedRelease struct {
	id    string
	cause int
}

func newPeer(core *Core, server uint32, addr string, dialer Dialer, log logrus.FieldLogger) *Peer {
	p := &Peer{Actor: actor.New(), core: core, server: server, addr: addr, dialer: dialer, log: log,
		out: map[string]sending{}, redial: redialFirst}
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

// retire ends the peer of a server that the list calls gone: nothing more will come from it.
func (p *Peer) retire() {
	p.stopDial()
	if p.timer != nil {
		p.timer.Stop()
	}
	line := p.line
	p.down(errors.New("server is gone"))
	if line != nil {
		line.Close()
	}
	at := Now()
	p.core.Post(func() { p.core.died(p, at+1) })
	p.After(lingerFor, p.Stop) // what was sent to it meanwhile still gets its NotSent
}

// connect opens the line unless there is one: calls that stand and reports of the server need it too.
func (p *Peer) connect() {
	if p.phase != idle || control.State(p.state.Load()) == control.Gone {
		return
	}
	p.phase = dialling
	if p.timer != nil {
		p.timer.Stop()
	}
	e := &lineEvents{peer: p}
	p.events = e
	go func() {
		line, err := p.dialer.Dial(p.ctx, p.addr, e)
		p.Post(func() { p.dialled(e, line, err) })
	}()
}

func (p *Peer) dialled(e *lineEvents, line Line, err error) {
	if p.events != e || control.State(p.state.Load()) == control.Gone {
		if line != nil {
			line.Close()
		}
		return
	}
	if err != nil {
		p.phase, p.events = idle, nil
		if now := Now(); p.warned == 0 || span(now-p.warned) >= warnEvery { // not each of the many tries
			p.warned = now
			p.log.WithError(err).Warn("no connection to server")
		}
		for _, a := range p.queued {
			p.fail(a, control.Unreachable)
		}
		p.queued = nil
		if p.reset && errors.Is(err, syscall.ECONNREFUSED) {
			// Reset and then refused: the process died, and its calls with it. It can't release them.
			p.reset = false
			at := p.lostAt
			p.core.Post(func() { p.core.died(p, at+1) })
		}
		p.timer = p.After(p.redial, p.connect)
		p.redial = min(2*p.redial, redialMost)
		return
	}
	p.phase, p.line, p.redial, p.reset, p.warned = up, line, redialFirst, false, 0
	for _, r := range p.owed {
		line.Release(r.id, r.cause)
	}
	p.owed = nil
	for _, a := range p.queued {
		p.transmit(a)
	}
	p.queued = nil
}

// setup starts an attempt.
func (p *Peer) setup(a Attempt) {
	p.Post(func() {
		switch {
		case !p.ready():
			p.fail(a, control.NotSent)
		case p.phase == up:
			p.transmit(a)
		default:
			p.queued = append(p.queued, a)
			p.connect()
		}
	})
}

func (p *Peer) transmit(a Attempt) {
	if !p.ready() || a.Deadline <= Now() {
		p.fail(a, control.NotSent)
		return
	}
	p.out[a.id] = sending{Attempt: a}
	e := p.events
	p.line.Setup(a, func() bool {
		if !p.ready() {
			return false
		}
		// From the first byte on the set-up may run: should the line break now, that is a cut, not a NotSent.
		e.on(func(p *Peer) {
			if o, ok := p.out[a.id]; ok && o.ref == a.ref {
				o.sent = true
				p.out[a.id] = o
			}
		})
		return true
	})
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
		if o, ok := p.out[r.id]; ok && o.ref == r {
			delete(p.out, r.id)
			if p.phase == up {
				p.line.Cancel(r.id)
			}
		}
	})
}

// release ends a call that stands at the server.
func (p *Peer) release(id string, cause int) {
	p.Post(func() {
		if p.phase == up {
			p.line.Release(id, cause)
		} else if control.State(p.state.Load()) != control.Gone {
			p.owed = append(p.owed, owedRelease{id, cause})
			p.connect()
		}
	})
}

func (p *Peer) fail(a Attempt, code control.Code) {
	p.core.Post(func() { p.core.failed(a.ref, Outcome{Code: code}) })
}

// down: the line is gone, and with it the set-ups that were out on it. Calls that stand are not tied to a line.
func (p *Peer) down(err error) {
	p.phase, p.line, p.events = idle, nil, nil
	for id, o := range p.out {
		delete(p.out, id)
		code := control.NotSent
		if o.sent {
			code = control.Cut
		}
		p.fail(o.Attempt, code)
	}
	for _, a := range p.queued {
		p.fail(a, control.NotSent)
	}
	p.queued = nil
	p.reset, p.lostAt = errors.Is(err, syscall.ECONNRESET), Now()
}

// lineEvents ties what a line tells to the peer, as long as it is the peer's line.
type lineEvents struct{ peer *Peer }

func (e *lineEvents) on(f func(p *Peer)) {
	e.peer.Post(func() {
		if e.peer.events == e {
			f(e.peer)
		}
	})
}

func (e *lineEvents) Answered(a Attempt, body []byte) {
	e.on(func(p *Peer) {
		if o, ok := p.out[a.id]; ok && o.ref == a.ref {
			delete(p.out, a.id)
		}
		p.core.Post(func() { p.core.answered(p, a.ref, body) })
	})
}

func (e *lineEvents) Failed(a Attempt, o Outcome) {
	e.on(func(p *Peer) {
		if out, ok := p.out[a.id]; ok && out.ref == a.ref {
			delete(p.out, a.id)
		}
		p.core.Post(func() { p.core.failed(a.ref, o) })
	})
}

func (e *lineEvents) Released(id string, cause int, report []float64) {
	e.on(func(p *Peer) { p.core.Post(func() { p.core.released(p, id, cause, report) }) })
}

func (e *lineEvents) Report(report []float64) {
	e.on(func(p *Peer) { p.core.Post(func() { p.core.status(p, report) }) })
}

func (e *lineEvents) Down(err error) {
	e.on(func(p *Peer) {
		p.log.WithError(err).Info("connection to server ended")
		p.down(err)
		p.connect()
	})
}
