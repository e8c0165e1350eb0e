package routing

import (
	"sync/atomic"
	"time"

	"beammux/control"
)

// inFlightAttempt is an attempt that was handed to a connection.
type inFlightAttempt struct {
	Attempt
	write     *firstWrite
	cancelled bool // given up by the core; a late answer may still arrive
}

// firstWrite decides whether the first byte of a set-up is written or the set-up is withdrawn unsent. The connection's writer calls begin
// and the peer's actor withdraw, possibly at the same time; exactly one of them succeeds.
type firstWrite struct{ state atomic.Int32 }

// States of a firstWrite.
const (
	writeWaits int32 = iota
	writeBegun
	writeWithdrawn
)

// begin reports whether the set-up may be written: it was not withdrawn.
func (w *firstWrite) begin() bool {
	return w.state.CompareAndSwap(writeWaits, writeBegun) || w.state.Load() == writeBegun
}

// withdraw reports whether the set-up is withdrawn before its first byte, which is then never written. Otherwise the server may have it.
func (w *firstWrite) withdraw() bool { return w.state.CompareAndSwap(writeWaits, writeWithdrawn) }

func (p *Peer) failQueued(code control.Code) {
	for _, a := range p.queued {
		p.fail(a, code)
	}
	p.queued = nil
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
		p.releaseEarlierAttempts(best, a.id)
		best.send(a)
	case len(p.conns) > 0 && len(p.conns) >= p.dialer.MaxConns(p.addr):
		p.fail(a, control.NotSent)
	default:
		p.queued = append(p.queued, a)
		p.connect()
	}
}

// cancel gives up an attempt. The core has already ended it, so its end is not reported.
func (p *Peer) cancel(r AttemptRef) {
	p.Post(func() {
		for i, a := range p.queued {
			if a.AttemptRef == r {
				p.queued = append(p.queued[:i:i], p.queued[i+1:]...)
				return
			}
		}
		for _, c := range p.conns {
			if entry, ok := c.inFlight[r.id]; ok && entry.AttemptRef == r {
				entry.cancelled = true
				entry.Body = nil // it is sent no more
				c.inFlight[r.id] = entry
				p.After(LateAnswerTime, func() { c.forget(r) })
				c.conn.Cancel(r.id)
				return
			}
		}
	})
}

// fail reports the end of an attempt to the core.
func (p *Peer) fail(a Attempt, code control.Code) {
	p.core.Post(func() { p.core.failed(a.AttemptRef, Outcome{Code: code}) })
}
