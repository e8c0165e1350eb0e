package routing

import (
	"sync/atomic"
	"time"

	"beammux/control"
	"beammux/internal/counting"
	"beammux/internal/history"
)

func (c *Core) send(k *call, a control.Action) {
	if k.caller.Gone() { // its withdrawal is on the way
		c.withdraw(k)
		return
	}
	now := c.clock.now()
	at := &attempt{number: k.attempts, server: a.Server, peer: c.peers[a.Server], sentAt: now, givenUp: &atomic.Bool{}}
	k.attempts++
	left := k.deadline - now
	if a.Wait > 0 {
		left = min(left, a.Wait)
	}
	if at.peer == nil || left <= 0 || k.current != nil {
		// Not on the list any more, too late, or a second copy: it never leaves.
		c.Post(func() {
			c.handle(control.AttemptEnded{ID: k.ID, Attempt: at.number, Server: a.Server, Code: control.NotSent})
		})
		return
	}
	k.current = at
	at.expiry = c.After(span(left), func() {
		if c.calls[k.ID] == k && k.current == at && !k.established {
			c.endAttempt(k, control.TimedOut, false)
		}
	})
	c.figures.Class(k.Class).Dispatches.Add(1)
	if len(c.observers) > 0 {
		c.observe(counting.Sent, &k.Setup, a.Server)
		c.After(OverdueAfter, func() {
			if c.calls[k.ID] == k && k.current == at && !k.established {
				c.observe(counting.Overdue, &k.Setup, a.Server)
			}
		})
	}
	at.peer.setup(Attempt{ref: ref{k.ID, at.number}, Class: k.Class, Key: k.Key, Body: k.Body,
		Deadline: time.Now().Add(span(left)), level: c.levelOf(a.Server), givenUp: at.givenUp, caller: k.caller})
}

// endAttempt gives up the attempt in flight, if any, and reports its end.
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
	a.peer.cancel(ref{k.ID, a.number})
	k.releaseLateAnswer(a.peer)
	c.handle(control.AttemptEnded{ID: k.ID, Attempt: a.number, Server: a.server, Code: code,
		Elapsed: c.clock.now() - a.sentAt, Settled: settled})
}

// observeEnd counts the end of an attempt that failed. What was never sent, or cancelled from this side, says nothing
// of its server.
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

// OverdueAfter is how long an attempt may be in flight before it is observed as overdue. Its end may come later.
const OverdueAfter = 400 * time.Millisecond

// attemptOf returns the call whose attempt is in flight, or nil: an attempt ends once.
func (c *Core) attemptOf(r ref) *call {
	k := c.calls[r.id]
	if k == nil || k.established || k.current == nil || k.current.number != r.attempt {
		return nil
	}
	return k
}

// answered handles the answer of a server by which the call is established.
func (c *Core) answered(p *Peer, r ref, body []byte) {
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
	c.figures.Class(k.Class).Success.Add(1)
	c.observe(counting.Established, &k.Setup, 0)
	c.observe(counting.Answered, &k.Setup, a.server)
	c.note(history.Event{Kind: history.Established, Call: k.ID, Attempt: a.number, Server: a.server, Span: k.establishedAt - k.arrived})
	delivered := k.caller.Answer(body)
	c.handle(control.CallEstablished{ID: k.ID, Attempt: a.number, Server: a.server, Elapsed: k.establishedAt - a.sentAt})
	if !delivered && c.calls[k.ID] == k {
		c.releaseEstablished(k, CauseNormal)
	}
	c.checkDrained()
}

// lateAnswer handles the answer to a set-up that had been given up: it is released at the server, but not while another attempt
// of the call is in flight or established there. Servers know a call by its id alone, and the release would end that one.
func (c *Core) lateAnswer(p *Peer, r ref) {
	k := c.calls[r.id]
	switch {
	case k == nil || k.current == nil || k.current.peer != p:
		p.release(r.id, CauseNormal)
	case k.current.number != r.attempt:
		k.lateAnswer = true
	}
}

// releaseLateAnswer releases at a server what was answered late there, now that no attempt of the call is in flight at it.
func (k *call) releaseLateAnswer(p *Peer) {
	if k.lateAnswer {
		k.lateAnswer = false
		p.release(k.ID, CauseNormal)
	}
}

// Outcome is the end of an attempt as the wire saw it.
type Outcome struct {
	Code       control.Code
	Reason     int
	RetryAfter control.Micros
	Report     []float64
}

// failed handles the end of an attempt without an answer.
func (c *Core) failed(r ref, o Outcome) {
	k := c.attemptOf(r)
	if k == nil {
		return
	}
	a := k.current
	k.current = nil
	a.expiry.Stop()
	c.noteEnded(k, a, o.Code)
	if o.Reason == control.LinesBusy { // the number's fault, not the server's
		c.observe(counting.Busy, &k.Setup, 0)
	} else {
		c.observeEnd(k, a, o.Code)
	}
	c.noteReport(a.server, o.Report)
	k.releaseLateAnswer(a.peer)
	c.handle(control.AttemptEnded{ID: k.ID, Attempt: a.number, Server: a.server, Code: o.Code,
		Elapsed: c.clock.now() - a.sentAt, Reason: o.Reason, RetryAfter: o.RetryAfter, Report: o.Report})
}

// released handles the release of an established call by its server. A repeated one is passed on once.
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

// endEstablished ends an established call from the server's side.
func (c *Core) endEstablished(k *call, code control.Code, cause int, report []float64) {
	a := k.current
	c.close(k)
	c.note(history.Event{Kind: history.Released, Call: k.ID, Server: a.server, N: int64(cause)})
	c.noteReport(a.server, report)
	k.caller.Release(cause)
	c.handle(control.AttemptEnded{ID: k.ID, Attempt: a.number, Server: a.server, Code: code,
		Elapsed: c.clock.now() - a.sentAt, Settled: true, Report: report})
}

// serverDied ends the calls established at a peer before a time: the process behind it is gone. Where that is
// not certain, the server is told that they are over.
func (c *Core) serverDied(p *Peer, before control.Micros, tell bool) {
	for _, k := range c.calls {
		if k.established && k.current.peer == p && k.establishedAt < before {
			if tell {
				p.release(k.ID, CauseNormal)
			}
			c.endEstablished(k, control.Cut, CauseFailed, nil)
		}
	}
}

// status handles a load report that the server sent unasked.
func (c *Core) status(p *Peer, report []float64) {
	c.noteReport(p.server, report)
	c.handle(control.Status{Server: p.server, Code: control.OK, Report: report})
}
