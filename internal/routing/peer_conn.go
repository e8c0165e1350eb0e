package routing

import (
	"errors"
	"syscall"

	"beammux/control"
	"beammux/internal/history"
)

// peerConn is one connection of a peer. Its events are ignored once the peer has removed it.
type peerConn struct {
	peer        *Peer
	conn        ServerConn
	connectedAt control.Micros
	inFlight    map[string]inFlightAttempt // by call id
	received    bool                       // a message has been received on it
	proven      bool                       // it has shown that the server is alive; see Dialer.Announces
	closed      bool
}

// send hands an attempt to the connection.
func (c *peerConn) send(a Attempt) {
	c.inFlight[a.id] = inFlightAttempt{Attempt: a}
	// The function runs for each copy that is sent over UDP. Only the first must check for cancellation: after a cancel the
	// connection sends no further copy.
	first := true
	c.conn.Setup(a, func() bool {
		if !c.peer.ready() {
			return false
		}
		if first {
			if a.abandoned() {
				return false
			}
			first = false
			c.peer.core.note(history.Event{Kind: history.Sent, Call: a.id, Attempt: a.attemptNumber, Server: c.peer.server,
				Level: a.level})
		}
		// From the first byte on the server may execute the set-up: if the connection breaks now, the outcome is Cut, not NotSent.
		c.ifOpen(func(*Peer) {
			if sent, ok := c.inFlight[a.id]; ok && sent.attemptRef == a.attemptRef {
				sent.sent = true
				c.inFlight[a.id] = sent
			}
		})
		return true
	})
}

// forget removes an attempt from those in flight.
func (c *peerConn) forget(r attemptRef) {
	if entry, ok := c.inFlight[r.id]; ok && entry.attemptRef == r {
		delete(c.inFlight, r.id)
	}
}

// ifOpen posts f to the peer's actor, which runs it unless the connection has been removed by then.
func (c *peerConn) ifOpen(f func(p *Peer)) {
	c.peer.Post(func() {
		if !c.closed {
			f(c.peer)
		}
	})
}

// noteMessage records that the server has sent a message.
func (c *peerConn) noteMessage() {
	p := c.peer
	c.received = true
	if !c.proven && c.conn != nil { // otherwise connected, which follows, proves it
		p.proveAlive(c)
	}
	if p.dialer.Announces(p.addr) {
		p.liveness.Heard(p.core.clock.now())
		p.scheduleTick()
	}
}

// Answered implements ServerEvents.
func (c *peerConn) Answered(a Attempt, body []byte) {
	p := c.peer
	p.Post(func() {
		if c.closed { // the attempt was reported as cut, but the server holds the call
			p.core.Post(func() { p.core.lateAnswer(p, a.attemptRef) })
			return
		}
		c.noteMessage()
		c.forget(a.attemptRef)
		p.core.Post(func() { p.core.answered(c, a.attemptRef, body) })
	})
}

// Failed implements ServerEvents.
func (c *peerConn) Failed(a Attempt, o Outcome) {
	c.ifOpen(func(p *Peer) {
		if o.Code != control.NotSent { // the server has answered
			c.noteMessage()
		}
		c.forget(a.attemptRef)
		p.core.Post(func() { p.core.failed(a.attemptRef, o) })
	})
}

// Released implements ServerEvents.
func (c *peerConn) Released(id string, cause int, report []float64) {
	c.ifOpen(func(p *Peer) {
		c.noteMessage()
		p.core.Post(func() { p.core.released(p, id, cause, report) })
	})
}

// Report implements ServerEvents.
func (c *peerConn) Report(report []float64) {
	c.ifOpen(func(p *Peer) {
		c.noteMessage()
		p.core.Post(func() { p.core.status(p, report) })
	})
}

// ReleaseLost implements ServerEvents.
func (c *peerConn) ReleaseLost(id string, cause int) {
	p := c.peer
	p.Post(func() { p.core.Post(func() { p.core.releaseAgain(p, id, cause) }) })
}

// Down implements ServerEvents.
func (c *peerConn) Down(err error) {
	c.ifOpen(func(p *Peer) {
		p.log.WithError(err).Info("connection to server ended")
		if p.dialing == c {
			p.dialing = nil
		}
		p.removeConn(c)
		p.wasReset = p.wasReset || errors.Is(err, syscall.ECONNRESET)
		if len(p.conns) == 0 {
			p.failQueued(control.NotSent)
			if p.disconnectedAt == 0 {
				p.disconnectedAt = p.core.clock.now()
			}
		}
		if c.received {
			p.connect() // the server may have releases that it could not send before this connection ended
			p.After(lateReleaseDelay, p.collectLateReleases)
		} else { // nothing was received on it: wait before the next dial
			p.scheduleRedial()
		}
	})
}
