package routing

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/control/liveness"
	"beammux/internal/actor"
)

const (
	// minRedialWait and maxRedialWait bound the wait before a dial is retried. The wait doubles with each retry.
	minRedialWait = 50 * time.Millisecond
	maxRedialWait = time.Second
	// lingerTime is how long a retired peer keeps running, to report attempts that the core still passes to it as NotSent.
	lingerTime = 10 * time.Second
	// warnInterval is the least time between two log entries about failed connects to a server.
	warnInterval = 10 * time.Second
	// LateAnswerTime is how long an attempt that was given up is still tracked, because its answer may arrive late.
	LateAnswerTime = 10 * time.Second
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
	core     *Core
	server   uint32
	addr     string
	endpoint string // Dialer.Endpoint of addr
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
	connEnded       bool             // a connection on which the server had sent something has ended, and it has sent nothing since
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

func newPeer(core *Core, server uint32, addr string, dialer Dialer, log logrus.FieldLogger) *Peer {
	p := &Peer{Actor: actor.New(), core: core, server: server, addr: addr, endpoint: dialer.Endpoint(addr), dialer: dialer, log: log,
		redialWait: minRedialWait}
	p.ctx, p.stopDial = context.WithCancel(context.Background())
	return p
}

// setState sets the state of a server that is on the list. It takes effect at once, also for queued attempts.
func (p *Peer) setState(s control.State) {
	p.state.Store(int32(s))
	p.Post(p.connect)
}

// stopSending sets the state of a server that was removed from the list. It takes effect at once, also for queued attempts; the peer
// retires later.
func (p *Peer) stopSending() { p.state.Store(int32(control.Gone)) }

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
