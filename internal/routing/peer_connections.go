package routing

import (
	"errors"
	"slices"
	"syscall"

	"beammux/control"
)

func (p *Peer) stopRedialTimer() {
	if p.redialTimer != nil {
		p.redialTimer.Stop()
		p.redialTimer = nil
	}
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
		c.conn.Release(r.AttemptRef, r.cause)
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
	} else { // nothing was received on it: wait before the next dial
		p.scheduleRedial()
	}
}

// collectLateReleases opens one more connection after one has ended, lateReleaseDelay after the server's first message since then. Before
// the server saw that end it may have written releases there, after the connection that followed was open already; it sends them on the
// next one. The time counts from its message, since what kept that away may have kept the end away too. A server that sends nothing is
// left alone.
func (p *Peer) collectLateReleases() {
	if !p.connEnded {
		return
	}
	if p.announces() {
		p.makeRoom() // now: what the server writes on that connection before it sees the close comes on the next one too
	}
	p.connEnded = false
	p.After(lateReleaseDelay, p.connect)
}

// makeRoom closes a connection that carries no set-up if there are as many as the dialer allows.
func (p *Peer) makeRoom() {
	if len(p.conns) < p.dialer.MaxConns(p.addr) {
		return
	}
	for _, c := range p.conns {
		if len(c.inFlight) == 0 {
			p.closeConn(c)
			return
		}
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

// removeConn removes a connection, which the other side may have closed, and fails the set-ups in flight on it. Established calls are
// not tied to a connection. The answer to a set-up that was sent may have been lost with the connection: the server may hold the call,
// and is sent its release.
func (p *Peer) removeConn(c *peerConn, closedByPeer bool) {
	c.closed = true
	if p.silent == c {
		p.silent = nil
	}
	if c.conn != nil && p.announces() {
		p.processes.Ended(c.number, p.core.clock.now(), closedByPeer)
	}
	p.conns = slices.DeleteFunc(p.conns, func(o *peerConn) bool { return o == c })
	p.connEnded = p.connEnded || c.received
	for _, o := range c.inFlight {
		code := control.NotSent
		if !o.write.withdraw() {
			code = control.Cut
			defer func() { p.core.Post(func() { p.core.releaseAgain(p, o.AttemptRef, CauseNormal) }) }()
		}
		if !o.cancelled {
			p.fail(o.Attempt, code)
		}
	}
	c.inFlight = nil
}
