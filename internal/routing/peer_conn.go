package routing

import (
	"errors"
	"net"
	"os"
	"syscall"

	"beammux/control"
	"beammux/control/liveness"
	"beammux/internal/history"
)

// peerConn is one connection of a peer. Its events are ignored once the peer has removed it.
type peerConn struct {
	peer        *Peer
	conn        ServerConn
	number      liveness.Connection // in the order in which the peer's connections came up
	connectedAt control.Micros
	inFlight    map[string]inFlightAttempt // by call id
	received    bool                       // a message has been received on it
	proven      bool                       // it has shown that the server is alive; see Dialer.Announces
	closed      bool
}

// send hands an attempt to the connection. From the first byte on the server may execute the set-up: if the connection breaks then, the
// outcome is Cut, not NotSent.
func (c *peerConn) send(a Attempt) {
	write := &firstWrite{}
	c.inFlight[a.id] = inFlightAttempt{Attempt: a, write: write}
	// The function runs for each copy that is sent over UDP. Only the first must check for cancellation: after a cancel the
	// connection sends no further copy.
	first := true
	c.conn.Setup(a, func() bool {
		if !c.peer.ready() || first && a.abandoned() || !write.begin() {
			return false
		}
		if first {
			first = false
			c.peer.core.note(history.Event{Kind: history.Sent, Call: a.id, Attempt: a.attemptNumber, Server: c.peer.server,
				Level: a.level})
		}
		return true
	})
}

// forget removes an attempt from those in flight.
func (c *peerConn) forget(r AttemptRef) {
	if entry, ok := c.inFlight[r.id]; ok && entry.AttemptRef == r {
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
func (c *peerConn) noteMessage() { c.noteReceived(false) }

// noteReceived records that the server has sent a message. unasked reports whether it is a load report that no request caused.
func (c *peerConn) noteReceived(unasked bool) {
	p := c.peer
	first := !c.received
	c.received = true
	p.collectLateReleases()
	if !c.proven && c.conn != nil { // otherwise connected, which follows, proves it
		p.proveAlive(c)
	}
	if !p.announces() {
		return
	}
	now := p.core.clock.now()
	p.liveness.Heard(now)
	if c.conn != nil {
		if unasked && !first {
			p.processes.Reported(c.number, now)
		} else {
			p.processes.Heard(c.number, now)
		}
	}
	p.scheduleTick()
	if p.silent == c {
		p.resume()
	}
}

// Answered implements ServerEvents.
func (c *peerConn) Answered(a Attempt, body []byte) {
	p := c.peer
	p.Post(func() {
		if c.closed { // the attempt was reported as cut, but the server holds the call
			p.core.Post(func() { p.core.lateAnswer(p, a.AttemptRef) })
			return
		}
		c.noteMessage()
		c.forget(a.AttemptRef)
		p.core.Post(func() { p.core.answered(c, a.AttemptRef, body) })
	})
}

// Failed implements ServerEvents.
func (c *peerConn) Failed(a Attempt, o Outcome) {
	c.ifOpen(func(p *Peer) {
		if o.Code != control.NotSent { // the server has answered
			c.noteMessage()
		}
		c.forget(a.AttemptRef)
		p.core.Post(func() { p.core.failed(a.AttemptRef, o) })
	})
}

// Released implements ServerEvents. It holds also if the connection has ended meanwhile: the release has been confirmed, and a SIP server
// may send it on a connection of its own.
func (c *peerConn) Released(id string, cause int, report []float64) {
	p := c.peer
	p.Post(func() {
		if !c.closed {
			c.noteMessage()
		}
		p.core.Post(func() { p.core.released(c, id, cause, report) })
	})
}

// Report implements ServerEvents.
func (c *peerConn) Report(report []float64) {
	c.ifOpen(func(p *Peer) {
		c.noteReceived(true)
		p.core.Post(func() { p.core.status(p, report) })
	})
}

// ReleaseLost implements ServerEvents.
func (c *peerConn) ReleaseLost(r AttemptRef, cause int) {
	p := c.peer
	p.Post(func() { p.core.Post(func() { p.core.releaseAgain(p, r, cause) }) })
}

// Sync implements ServerEvents.
func (c *peerConn) Sync() {
	c.peer.Sync()
	c.peer.core.Sync()
}

// Silent implements ServerEvents.
func (c *peerConn) Silent() {
	c.ifOpen(func(p *Peer) {
		if p.silent == nil && !c.hasSetups() {
			p.keepSilent(c)
		} else {
			p.closeConn(c)
		}
		p.reconnect(c)
	})
}

// hasSetups reports whether a set-up is in flight that has not been cancelled.
func (c *peerConn) hasSetups() bool {
	for _, entry := range c.inFlight {
		if !entry.cancelled {
			return true
		}
	}
	return false
}

// Down implements ServerEvents.
func (c *peerConn) Down(err error) {
	c.ifOpen(func(p *Peer) {
		p.log.WithError(err).Info("connection to server ended")
		if p.dialing == c {
			p.dialing = nil
		}
		p.removeConn(c, endedByPeer(err))
		p.wasReset = p.wasReset || errors.Is(err, syscall.ECONNRESET)
		p.reconnect(c)
	})
}

// endedByPeer reports whether a connection ended with this error because the other side closed or reset it, or sent what can't be
// read. All else is silence, after which this side closes it.
func endedByPeer(err error) bool {
	for _, silence := range []error{ErrSilent, net.ErrClosed, os.ErrDeadlineExceeded, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH} {
		if errors.Is(err, silence) {
			return false
		}
	}
	return true
}
