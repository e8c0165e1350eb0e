package routing

import (
	"time"

	"beammux/control"
	"beammux/control/liveness"
)

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
	switch p.liveness.Tick(p.core.clock.now()) {
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
	if len(p.conns) >= p.dialer.MaxConns(p.addr) {
		for _, c := range p.conns {
			if len(c.inFlight) == 0 {
				p.removeConn(c)
				c.conn.Close()
				break
			}
		}
	}
	p.connect()
}

// closeSilentConns closes all connections to a lost server and continues to dial it.
func (p *Peer) closeSilentConns() {
	for len(p.conns) > 0 {
		c := p.conns[0]
		p.removeConn(c)
		c.conn.Close()
	}
	p.failQueued(control.Unreachable)
	if p.dialing == nil {
		p.scheduleRedial()
	}
}
