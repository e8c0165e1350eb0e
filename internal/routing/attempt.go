package routing

import (
	"sync/atomic"
	"time"

	"beammux/control"
	"beammux/internal/counting"
	"beammux/internal/history"
)

// send starts the attempt that the module asked for. An attempt that can't start is reported as NotSent.
func (c *Core) send(k *call, action control.Action) {
	if k.caller.Gone() { // its withdrawal follows
		c.withdraw(k)
		return
	}
	now := c.clock.now()
	next := &attempt{number: k.attempts, server: action.Server, peer: c.peers[action.Server], sentAt: now, givenUp: &atomic.Bool{}}
	k.attempts++
	timeLeft := k.deadline - now
	if action.Wait > 0 {
		timeLeft = min(timeLeft, action.Wait)
	}
	if next.peer == nil || timeLeft <= 0 || k.current != nil {
		// The server is no longer on the list, the deadline has passed, or another attempt is in flight: nothing is sent.
		c.Post(func() {
			c.handle(control.Resolved{ID: k.ID, Attempt: next.number, Server: action.Server, Code: control.NotSent})
		})
		return
	}
	k.current = next
	next.expiry = c.After(span(timeLeft), func() {
		if c.calls[k.ID] == k && k.current == next && !k.established {
			c.endAttempt(k, control.TimedOut, false)
		}
	})
	c.stats.Class(k.Class).Dispatches.Add(1)
	if len(c.observers) > 0 {
		c.observe(counting.Sent, &k.Setup, action.Server)
		c.After(OverdueAfter, func() {
			if c.calls[k.ID] == k && k.current == next && !k.established {
				c.observe(counting.Overdue, &k.Setup, action.Server)
			}
		})
	}
	next.peer.setup(Attempt{attemptRef: attemptRef{k.ID, next.number}, Class: k.Class, Key: k.Key, Body: k.Body,
		Deadline: time.Now().Add(span(timeLeft)), level: c.levelOf(action.Server), givenUp: next.givenUp, caller: k.caller})
}

// endAttempt gives up the attempt in flight, if any, and reports its end to the module.
func (c *Core) endAttempt(k *call, code control.Code, settled bool) {
	a := k.current
	if a == nil {
		return
	}
	k.current = nil
	a.givenUp.Store(true)
	a.expiry.Stop()
	c.noteEnded(k, a, code)
	c.observeEnd(k, a, code)
	a.peer.cancel(attemptRef{k.ID, a.number})
	k.releaseLateAnswer(a.peer)
	c.handle(control.Resolved{ID: k.ID, Attempt: a.number, Server: a.server, Code: code,
		Took: c.clock.now() - a.sentAt, Settled: settled})
}

// observeEnd reports the end of a failed attempt to the observers. An attempt that was never sent, or that this side
// cancelled, is not reported: it is no evidence about the server.
func (c *Core) observeEnd(k *call, a *attempt, code control.Code) {
	switch code {
	case control.TimedOut:
		c.observe(counting.TimedOut, &k.Setup, a.server)
	case control.Full:
		c.observe(counting.Full, &k.Setup, a.server)
	case control.Failed, control.Cut, control.Unreachable:
		c.observe(counting.Errored, &k.Setup, a.server)
	}
}

// OverdueAfter is how long an attempt may be in flight before it is observed as overdue. An overdue attempt may still be
// answered.
const OverdueAfter = 400 * time.Millisecond

// attemptOf returns the call of an attempt that is in flight, or nil. It ensures that an attempt ends only once.
func (c *Core) attemptOf(r attemptRef) *call {
	k := c.calls[r.id]
	if k == nil || k.established || k.current == nil || k.current.number != r.attempt {
		return nil
	}
	return k
}

// answered handles the answer of a server that establishes a call.
func (c *Core) answered(p *Peer, r attemptRef, body []byte) {
	k := c.attemptOf(r)
	if k == nil {
		c.lateAnswer(p, r)
		return
	}
	a := k.current
	a.expiry.Stop()
	k.deadlineTimer.Stop()
	k.established, k.establishedAt = true, c.clock.now()
	c.unanswered--
	c.stats.Class(k.Class).Success.Add(1)
	c.observe(counting.Established, &k.Setup, 0)
	c.observe(counting.Answered, &k.Setup, a.server)
	c.note(history.Event{Kind: history.Established, Call: k.ID, Attempt: a.number, Server: a.server, Span: k.establishedAt - k.arrived})
	delivered := k.caller.Answer(body)
	c.handle(control.Opened{ID: k.ID, Attempt: a.number, Server: a.server, Took: k.establishedAt - a.sentAt})
	if !delivered && c.calls[k.ID] == k {
		c.releaseEstablished(k, CauseNormal)
	}
	c.checkDrained()
}

// lateAnswer handles the answer to a set-up that was given up: the call is released at the server, but not while another
// attempt of the same call is in flight or established there. Servers identify a call by its id alone, so the release would
// end that attempt as well.
func (c *Core) lateAnswer(p *Peer, r attemptRef) {
	k := c.calls[r.id]
	switch {
	case k == nil || k.current == nil || k.current.peer != p:
		p.release(r.id, CauseNormal)
	case k.current.number != r.attempt:
		k.lateAnswer = true
	}
}

// releaseLateAnswer releases the call at a server that answered a given-up attempt late. It is called once no attempt of
// the call is in flight at that server.
func (k *call) releaseLateAnswer(p *Peer) {
	if k.lateAnswer {
		k.lateAnswer = false
		p.release(k.ID, CauseNormal)
	}
}

// Outcome is how an attempt ended, as reported by the connection to the server.
type Outcome struct {
	Code       control.Code
	Reason     int
	RetryAfter control.Micros
	Report     []float64 // load report of the server; nil if there was none
}

// failed handles the end of an attempt that did not establish the call.
func (c *Core) failed(r attemptRef, o Outcome) {
	k := c.attemptOf(r)
	if k == nil {
		return
	}
	a := k.current
	k.current = nil
	a.expiry.Stop()
	c.noteEnded(k, a, o.Code)
	if o.Reason == control.LinesBusy { // the called number is busy; the server is not at fault
		c.observe(counting.Busy, &k.Setup, 0)
	} else {
		c.observeEnd(k, a, o.Code)
	}
	c.noteReport(a.server, o.Report)
	k.releaseLateAnswer(a.peer)
	c.handle(control.Resolved{ID: k.ID, Attempt: a.number, Server: a.server, Code: o.Code,
		Took: c.clock.now() - a.sentAt, Reason: o.Reason, RetryAfter: o.RetryAfter, Report: o.Report})
}

// released handles the release of an established call by its server. A repeated release is passed on once.
func (c *Core) released(p *Peer, id string, cause int, report []float64) {
	k := c.calls[id]
	if k == nil || !k.established {
		if report != nil {
			c.noteReport(p.server, report)
			c.handle(control.Status{Server: p.server, Code: control.OK, Report: report})
		}
		if _, known := c.ended.endOf(id); k == nil && !known && c.orphans != nil {
			c.ended.add(id, c.clock.now())
			c.orphans.Orphan(id, cause)
		}
		return
	}
	code := control.OK
	if cause != CauseNormal {
		code = control.Cut
	}
	c.endEstablished(k, code, cause, report)
}

// endEstablished ends an established call on behalf of its server and releases it at the caller.
func (c *Core) endEstablished(k *call, code control.Code, cause int, report []float64) {
	a := k.current
	c.close(k)
	c.note(history.Event{Kind: history.Released, Call: k.ID, Server: a.server, N: int64(cause)})
	c.noteReport(a.server, report)
	k.caller.Release(cause)
	c.handle(control.Resolved{ID: k.ID, Attempt: a.number, Server: a.server, Code: code,
		Took: c.clock.now() - a.sentAt, Settled: true, Report: report})
}

// serverDied ends the calls established at a peer before the given time, because the server process has ended. With tell,
// which is set where the end of the process is not certain, the calls are released at the server as well.
func (c *Core) serverDied(p *Peer, before control.Micros, notifyServer bool) {
	for _, k := range c.calls {
		if k.established && k.current.peer == p && k.establishedAt < before {
			if notifyServer {
				p.release(k.ID, CauseNormal)
			}
			c.endEstablished(k, control.Cut, CauseFailed, nil)
		}
	}
}

// status handles a load report that a server sent without a request.
func (c *Core) status(p *Peer, report []float64) {
	c.noteReport(p.server, report)
	c.handle(control.Status{Server: p.server, Code: control.OK, Report: report})
}
