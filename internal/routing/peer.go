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
	"beammux/control/liveness"
	"beammux/internal/actor"
)

// attemptRef identifies one attempt of a call.
type attemptRef struct {
	id            string
	attemptNumber int
}

// Attempt is one attempt to set up a call at one server, as handed to the connection.
type Attempt struct {
	attemptRef
	Class    int
	Key      string       // called number
	Body     []byte       // session description
	Deadline time.Time    // the attempt is not sent after it
	level    int          // the server's level in the module's view at the decision; 0 without a recorder
	givenUp  *atomic.Bool // set once the core has given up the attempt
	caller   Caller
}

// abandoned reports whether the attempt has been given up or its caller is gone, so it must not be sent.
func (a *Attempt) abandoned() bool {
	return a.givenUp != nil && a.givenUp.Load() || a.caller != nil && a.caller.Gone()
}

// NewAttempt returns the attempt of a call with the given id and attempt number.
func NewAttempt(id string, number int) Attempt { return Attempt{attemptRef: attemptRef{id, number}} }

// ID returns the id of the call.
func (r attemptRef) ID() string { return r.id }

// Number returns the number of the attempt; the attempts of a call are counted from 0.
func (r attemptRef) Number() int { return r.attemptNumber }

// ServerConn is an open connection to one server. Its methods must not block; events on it are reported to the
// ServerEvents that it was opened with.
type ServerConn interface {
	// Setup sends a set-up. stillWanted is called just before its first byte is written; if it returns false, nothing is written
	// and the set-up is reported as NotSent. Over UDP stillWanted is called before each retransmission too; if it returns false
	// then, the set-up fails, but not as NotSent, because the server may have received it.
	Setup(a Attempt, stillWanted func() bool)
	// Cancel gives up a set-up: no further copy is sent. If an answer arrives later, the connection either reports it or
	// releases the call itself.
	Cancel(id string)
	// Release ends an established call with a Q.850 cause.
	Release(id string, cause int)
	Close()
}

// ServerEvents receives the events on a connection to a server. It is safe for concurrent use.
type ServerEvents interface {
	Answered(a Attempt, body []byte)                 // the call is established
	Failed(a Attempt, o Outcome)                     // the attempt ended without an established call
	Released(id string, cause int, report []float64) // the server ended an established call
	Report(report []float64)                         // the server sent a load report without a request
	ReleaseLost(id string, cause int)                // the server has not confirmed the release of a call, and may not have read it
	Silent()                                         // the server's messages stay away; the connection is still open
	Down(err error)                                  // the connection is closed
}

// ErrSilent is the error of an open connection on which the server's messages stay away.
var ErrSilent = errors.New("connection is silent")

// Dialer opens connections to servers.
type Dialer interface {
	Dial(ctx context.Context, addr string, events ServerEvents) (ServerConn, error)
	// MaxConns returns the largest useful number of concurrent connections to one server.
	MaxConns(addr string) int
	// Announces reports whether a server sends a message on each new connection before anything else. Only that message then
	// proves that the server is alive; otherwise the connection itself does.
	Announces(addr string) bool
	// Endpoint returns the transport and address to which an address leads, in a form that is equal for equal endpoints. One process at
	// a time listens there.
	Endpoint(addr string) string
}

const (
	// minRedialWait and maxRedialWait bound the wait before a dial is retried. The wait doubles with each retry.
	minRedialWait = 50 * time.Millisecond
	maxRedialWait = time.Second
	// lingerTime is how long a retired peer keeps running, to report attempts that the core still passes to it as NotSent.
	lingerTime = 10 * time.Second
	// warnInterval is the least time between two log entries about failed connects to a server.
	warnInterval = 10 * time.Second
	// lateAnswerTime is how long an attempt that was given up is still tracked, because its answer may arrive late.
	lateAnswerTime = 10 * time.Second
	// lateReleaseDelay is the time after the end of a connection by which the server has seen it too.
	lateReleaseDelay = 200 * time.Millisecond
	// unreachableAfter is how long a server that announces nothing may be without a connection before its calls are released.
	// Calls established at a server that vanished must be released within 8 s. Servers that announce themselves are followed by
	// package liveness.
	unreachableAfter = 4 * time.Second
)

// Peer is the actor of one server: it maintains the connections to it and tracks which attempts are in flight there. It opens
// up to as many connections as the dialer allows, so that a connection that breaks or stops responding affects few set-ups.
type Peer struct {
	*actor.Actor
	core   *Core
	server uint32
	addr   string
	// endpoint is Dialer.Endpoint of addr.
	endpoint string
	dialer   Dialer
	log      logrus.FieldLogger
	state    atomic.Int32 // control.State of the server on the list; also read by connection writers, before they send a set-up

	conns           []*peerConn // open connections
	silent          *peerConn   // open connection on which the server's messages stay away, or nil; see keepSilent
	dialing         *peerConn   // connection that is being opened, or nil
	queued          []Attempt   // attempts that wait for a connection
	redialWait      time.Duration
	redialTimer     *time.Timer      // next dial, nil if none is scheduled
	pendingReleases []pendingRelease // releases that wait for a connection
	wasReset        bool             // a connection was reset since the last successful dial: the server process may have died
	disconnectedAt  control.Micros   // since when no connection is open; 0 while one is, and once the server's calls were ended
	warnedAt        control.Micros   // when a failed connect was last logged
	replacement     *replacement     // server that has taken the address, or nil
	liveness        liveness.Detector
	processes       liveness.Processes // those to which the connections lead; only of a server that announces itself
	lastNumber      liveness.Connection
	ticking         bool // a liveness tick is scheduled
	ctx             context.Context
	stopDial        context.CancelFunc
}

// inFlightAttempt is an attempt that was handed to a connection.
type inFlightAttempt struct {
	Attempt
	sent      bool // its first byte may have been written
	cancelled bool // given up by the core; a late answer may still arrive
}

// pendingRelease is a release that waits for a connection.
type pendingRelease struct {
	id    string
	cause int
}

func newPeer(core *Core, server uint32, addr string, dialer Dialer, log logrus.FieldLogger) *Peer {
	p := &Peer{Actor: actor.New(), core: core, server: server, addr: addr, endpoint: dialer.Endpoint(addr), dialer: dialer, log: log,
		redialWait: minRedialWait}
	p.ctx, p.stopDial = context.WithCancel(context.Background())
	return p
}

// setState sets the server's state on the list. It takes effect at once, also for queued attempts.
func (p *Peer) setState(s control.State) {
	p.state.Store(int32(s))
	p.Post(func() {
		if s == control.Gone {
			p.retire()
		} else {
			p.connect()
		}
	})
}

// sameServer reports whether two peers may be connected to the same process: after a removal and a new entry of the list, the
// connections of the old peer and those of the new one lead there.
func (p *Peer) sameServer(other *Peer) bool {
	return p.server == other.server || p.endpoint == other.endpoint
}

func (p *Peer) announces() bool { return p.dialer.Announces(p.addr) }

func (p *Peer) ready() bool { return control.State(p.state.Load()) == control.Ready }

func (p *Peer) gone() bool { return control.State(p.state.Load()) == control.Gone }

// retire ends the peer of a server that was removed from the list: it closes the connections, which gives up the set-ups open on
// them, fails the queued attempts and ends the calls established at the server.
func (p *Peer) retire() {
	p.stopDial()
	p.stopRedialTimer()
	if p.dialing != nil {
		p.dialing.closed = true
		p.dialing = nil
	}
	p.closeConns()
	p.failQueued(control.NotSent)
	for _, r := range p.pendingReleases {
		p.releaseAfterRetirement(r)
	}
	p.pendingReleases = nil
	if by := p.replacement; by != nil {
		p.core.Post(func() { p.core.serverReplaced(p, *by) })
	} else {
		p.core.Post(func() { p.core.serverLost(p, serverRemoved) })
	}
	p.After(lingerTime, p.Stop)
}

// shutdown stops the peer without notifying the core or the server.
func (p *Peer) shutdown() {
	p.stopDial()
	p.Post(func() {
		p.stopRedialTimer()
		p.closeSilent()
		for _, c := range p.conns {
			c.closed = true
			c.conn.Close()
		}
		p.Stop()
	})
}

func (p *Peer) stopRedialTimer() {
	if p.redialTimer != nil {
		p.redialTimer.Stop()
		p.redialTimer = nil
	}
}

func (p *Peer) failQueued(code control.Code) {
	for _, a := range p.queued {
		p.fail(a, code)
	}
	p.queued = nil
}

// connect starts to open one more connection, unless one is being opened or the dialer's maximum is reached. A connection is
// useful even without queued attempts: releases of established calls and load reports need one too.
func (p *Peer) connect() {
	if p.dialing != nil || p.gone() || len(p.conns) >= p.dialer.MaxConns(p.addr) {
		return
	}
	p.stopRedialTimer()
	c := &peerConn{peer: p, inFlight: map[string]inFlightAttempt{}}
	p.dialing = c
	go func() {
		conn, err := p.dialer.Dial(p.ctx, p.addr, c)
		p.Post(func() { p.connected(c, conn, err) })
	}()
}

// connected handles the result of a dial. It sends the queued releases and attempts on the new connection.
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
	p.lastNumber++
	c.conn, c.number, c.connectedAt = conn, p.lastNumber, p.core.clock.now()
	p.conns = append(p.conns, c)
	if p.announces() {
		p.processes.Opened(c.number, c.connectedAt)
		if c.received {
			p.processes.Heard(c.number, c.connectedAt)
		}
	}
	if c.received || !p.announces() {
		p.proveAlive(c)
	}
	queued := p.queued
	p.queued = nil
	for _, a := range queued {
		p.dispatch(a)
	}
}

// proveAlive records that a connection has shown that the server is alive, and sends the releases that waited for one. On any
// other connection they might never be read.
func (p *Peer) proveAlive(c *peerConn) {
	c.proven = true
	p.redialWait, p.wasReset, p.disconnectedAt, p.warnedAt = minRedialWait, false, 0, 0
	for _, r := range p.pendingReleases {
		c.conn.Release(r.id, r.cause)
	}
	p.pendingReleases = nil
}

// dialFailed handles a connection that could not be opened.
func (p *Peer) dialFailed(err error) {
	now := p.core.clock.now()
	if p.warnedAt == 0 || span(now-p.warnedAt) >= warnInterval { // the log is limited: dials are retried frequently
		p.warnedAt = now
		p.log.WithError(err).Warn("no connection to server")
	}
	p.scheduleRedial()
	if len(p.conns) > 0 {
		return
	}
	p.failQueued(control.Unreachable)
	switch {
	case p.wasReset && errors.Is(err, syscall.ECONNREFUSED):
		// Reset and then refused: the server process died, and its calls with it. It can't release them itself.
		p.wasReset, p.disconnectedAt = false, 0
		p.core.Post(func() { p.core.serverLost(p, serverProcessDied) })
	case p.disconnectedAt > 0 && span(now-p.disconnectedAt) >= unreachableAfter:
		p.disconnectedAt = 0
		p.unreachable()
	}
}

// unreachable ends the calls of a server whose machine has failed or is partitioned, so that it sends no releases. No other
// process releases its calls. The releases are also queued for the server, in case it comes back.
func (p *Peer) unreachable() {
	p.log.Warn("server unreachable: releasing its calls")
	p.core.Post(func() { p.core.serverLost(p, serverUnreachable) })
}

// reconnect opens a connection in place of one that has ended or is silent.
func (p *Peer) reconnect(last *peerConn) {
	if len(p.conns) == 0 {
		p.failQueued(control.NotSent)
		if p.disconnectedAt == 0 {
			p.disconnectedAt = p.core.clock.now()
		}
	}
	if last.received {
		p.connect() // the server may have releases that it could not send before the connection ended
		p.After(lateReleaseDelay, p.collectLateReleases)
	} else { // nothing was received on it: wait before the next dial
		p.scheduleRedial()
	}
}

// collectLateReleases opens one more connection after one has ended. Before the server saw that end it may have written releases there,
// after the connection that followed was open already; it sends them on the next one. A server that sends nothing is left alone.
func (p *Peer) collectLateReleases() {
	if slices.ContainsFunc(p.conns, func(c *peerConn) bool { return c.received }) {
		p.connect()
	}
}

// scheduleRedial dials again after redialWait, and doubles the wait for the next time.
func (p *Peer) scheduleRedial() {
	p.stopRedialTimer()
	p.redialTimer = p.After(p.redialWait, func() {
		p.redialTimer = nil
		p.connect()
	})
	p.redialWait = min(2*p.redialWait, maxRedialWait)
}

// setup starts an attempt.
func (p *Peer) setup(a Attempt) { p.Post(func() { p.dispatch(a) }) }

// dispatch hands an attempt to the connection with the fewest attempts in flight, so that a connection that stopped responding
// collects no more than the others. It skips connections on which an earlier attempt of the same call was given up: a late
// answer to that attempt would be taken for an answer to this one. If no connection is left, it queues the attempt and
// opens one more, or fails the attempt if the dialer's maximum is reached.
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
		if len(best.inFlight) > 0 && p.redialTimer == nil {
			p.connect() // every connection that this call can use has attempts in flight: open one more for the next attempt
		}
		p.releaseEarlierAttempt(best, a.id)
		best.send(a)
	case len(p.conns) > 0 && len(p.conns) >= p.dialer.MaxConns(p.addr):
		p.fail(a, control.NotSent)
	default:
		p.queued = append(p.queued, a)
		p.connect()
	}
}

// releaseEarlierAttempt sends a release that waits for a call, before a further attempt of that call: after it, the release would
// end that attempt.
func (p *Peer) releaseEarlierAttempt(c *peerConn, id string) {
	for i, r := range p.pendingReleases {
		if r.id == id {
			p.pendingReleases = slices.Delete(p.pendingReleases, i, i+1)
			c.conn.Release(r.id, r.cause)
			return
		}
	}
}

// cancel gives up an attempt. The core has already ended it, so its end is not reported.
func (p *Peer) cancel(r attemptRef) {
	p.Post(func() {
		for i, a := range p.queued {
			if a.attemptRef == r {
				p.queued = append(p.queued[:i:i], p.queued[i+1:]...)
				return
			}
		}
		for _, c := range p.conns {
			if entry, ok := c.inFlight[r.id]; ok && entry.attemptRef == r {
				entry.cancelled = true
				c.inFlight[r.id] = entry
				p.After(lateAnswerTime, func() { c.forget(r) })
				c.conn.Cancel(r.id)
				return
			}
		}
	})
}

// releaseAfterRetirement handles the release of a call at a server that was removed from the list. If another server has its address,
// that one may hold the call, because the set-up has reached it there, and is sent the release. Otherwise the release is dropped.
func (p *Peer) releaseAfterRetirement(r pendingRelease) {
	if by := p.replacement; by != nil {
		p.core.Post(func() { p.core.releaseAgain(by.peer, r.id, r.cause) })
		return
	}
	p.core.endings.Info("release to a removed server dropped", logrus.Fields{"call": r.id, "server": p.server})
}

// release ends an established call at the server, on the proven connection with the fewest attempts in flight. Without one the
// release is queued; for a server that was removed from the list see releaseAfterRetirement.
func (p *Peer) release(id string, cause int) {
	p.Post(func() {
		var best *peerConn
		for _, c := range p.conns {
			if c.proven && (best == nil || len(c.inFlight) < len(best.inFlight)) {
				best = c
			}
		}
		switch {
		case best != nil:
			best.conn.Release(id, cause)
		case p.gone():
			p.releaseAfterRetirement(pendingRelease{id, cause})
		case !p.releaseWaits(id):
			p.core.endings.Info("release waits for a connection to the server", logrus.Fields{"call": id, "server": p.server})
			p.pendingReleases = append(p.pendingReleases, pendingRelease{id, cause})
			p.connect()
		}
	})
}

// releaseWaits reports whether the release of a call waits for a connection.
func (p *Peer) releaseWaits(id string) bool {
	return slices.ContainsFunc(p.pendingReleases, func(r pendingRelease) bool { return r.id == id })
}

// fail reports the end of an attempt to the core.
func (p *Peer) fail(a Attempt, code control.Code) {
	p.core.Post(func() { p.core.failed(a.attemptRef, Outcome{Code: code}) })
}

// closeConn closes a connection.
func (p *Peer) closeConn(c *peerConn) {
	p.removeConn(c, false)
	c.conn.Close()
}

// closeConns closes all connections.
func (p *Peer) closeConns() {
	p.closeSilent()
	for len(p.conns) > 0 {
		p.closeConn(p.conns[0])
	}
}

// removeConn removes a connection, which the other side may have closed, and fails the set-ups in flight on it. Established calls are not tied to a connection. The answer
// to a set-up that was sent may have been lost with the connection: the server may hold the call, and is sent its release.
func (p *Peer) removeConn(c *peerConn, closedByPeer bool) {
	c.closed = true
	if p.silent == c {
		p.silent = nil
	}
	if c.conn != nil && p.announces() {
		p.processes.Ended(c.number, p.core.clock.now(), closedByPeer)
	}
	p.conns = slices.DeleteFunc(p.conns, func(o *peerConn) bool { return o == c })
	for _, o := range c.inFlight {
		if o.sent {
			defer func() { p.core.Post(func() { p.core.releaseAgain(p, o.id, CauseNormal) }) }()
		}
		if o.cancelled {
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
