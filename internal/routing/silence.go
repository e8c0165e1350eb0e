package routing

import (
	"slices"
	"time"

	"beammux/control"
	"beammux/control/liveness"
)

// silentConnTime is how long a silent connection is kept: the time after which the server's calls are over.
const silentConnTime = 8 * time.Second

// tickInterval is liveness.TickInterval as a duration.
const tickInterval = time.Duration(liveness.TickInterval) * time.Microsecond

// scheduleTick schedules the next look at how long the server has been silent, unless one is scheduled.
func (p *Peer) scheduleTick() {
	if p.ticking {
		return
	}
	p.ticking = true
	p.After(tickInterval, func() {
		p.ticking = false
		p.checkSilence()
	})
}

// checkSilence acts on the time since the server last sent anything. A suspected server is checked by a new connection, and one
// that is lost has its calls ended and its connections closed.
func (p *Peer) checkSilence() {
	if p.gone() {
		return
	}
	now := p.core.clock.now()
	if before, ended := p.processes.Tick(now); ended {
		p.processEnded(before)
	}
	switch p.liveness.Tick(now) {
	case liveness.Unknown:
		return
	case liveness.Suspect:
		p.checkByConnection()
	case liveness.Lost:
		p.unreachable()
		p.closeSilentConns()
		return
	}
	p.scheduleTick()
}

// checkByConnection opens a connection to a silent server, unless one is being opened or the next dial is scheduled. If there are as
// many as the dialer allows, it closes one that carries no set-up to make room.
func (p *Peer) checkByConnection() {
	if p.dialing != nil || p.redialTimer != nil {
		return
	}
	p.makeRoom()
	p.connect()
}

// closeSilentConns closes all connections to a lost server and continues to dial it.
func (p *Peer) closeSilentConns() {
	p.closeConns()
	p.processes = liveness.Processes{}
	p.failQueued(control.Unreachable)
	if p.dialing == nil {
		p.scheduleRedial()
	}
}

// processEnded handles the end of the process to which the connections before the given one lead: another process answers at the
// address now.
func (p *Peer) processEnded(before liveness.Connection) {
	p.log.Warn("another process answers at the server's address: releasing the calls of the first")
	if p.silent != nil && p.silent.number < before {
		p.closeSilent()
	}
	for _, c := range slices.Clone(p.conns) {
		if c.number < before {
			p.closeConn(c)
		}
	}
	p.core.Post(func() {
		p.core.endCallsOf(p, serverProcessReplaced, func(call *callState) bool { return call.current.answeredOn.number < before })
	})
}

// keepSilent keeps a connection open on which the server's messages stay away, but gives it no further set-up. If a message arrives on
// it after all, the server that held the calls still runs.
func (p *Peer) keepSilent(c *peerConn) {
	p.conns = slices.DeleteFunc(p.conns, func(o *peerConn) bool { return o == c })
	p.silent = c
	p.After(silentConnTime, func() {
		if p.silent == c {
			p.closeSilent()
		}
	})
}

// closeSilent closes the connection that was kept by keepSilent, if there is one.
func (p *Peer) closeSilent() {
	if p.silent != nil {
		p.closeConn(p.silent)
	}
}

// resume uses the connection that was kept by keepSilent again, now that a message has arrived on it, unless others have taken its place.
func (p *Peer) resume() {
	c := p.silent
	if len(p.conns) >= p.dialer.MaxConns(p.addr) {
		p.closeSilent()
		return
	}
	p.silent = nil
	p.conns = append(p.conns, c)
}
