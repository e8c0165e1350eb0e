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
	at := &attempt{number: k.attempts, server: a.Server, peer: c.peers[a.Server], sentAt: now, over: &atomic.Bool{}}
	k.attempts++
	left := k.dropDead - now
	if a.Wait > 0 {
		left = min(left, a.Wait)
	}
	if at.peer == nil || left <= 0 || k.out != nil {
		// Not on the list any more, too late, or a second copy: it never leaves.
		c.Post(func() {
			c.handle(control.Resolved{ID: k.ID, Attempt: at.number, Server: a.Server, Code: control.NotSent})
		})
		return
	}
	k.out = at
	at.expiry = c.After(span(left), func() {
		if c.calls[k.ID] == k && k.out == at && !k.stands {
			c.endAttempt(k, control.TimedOut, false)
		}
	})
	c.figures.Class(k.Class).Dispatches.Add(1)
	if len(c.observers) > 0 {
		c.saw(counting.Sent, &k.Setup, a.Server)
		c.After(OverdueAfter, func() {
			if c.calls[k.ID] == k && k.out == at && !k.stands {
				c.saw(counting.Overdue, &k.Setup, a.Server)
			}
		})
	}
	at.peer.setup(Attempt{ref: ref{k.ID, at.number}, Class: k.Class, Key: k.Key, Body: k.Body,
		Deadline: time.Now().Add(span(left)), level: c.levelOf(a.Server), over: at.over, caller: k.caller})
}

// endAttempt gives up the attempt that is out, if any, and reports its end.
func (c *Core) endAttempt(k *call, code control.Code, settled bool) {
	a := k.out
	if a == nil {
		return
	}
	k.out = nil
	a.over.Store(true)
	a.expiry.Stop()
	c.noteEnded(k, a, code)
	c.sawEnd(k, a, code)
	a.peer.cancel(ref{k.ID, a.number})
	k.sweep(a.peer)
	c.handle(control.Resolved{ID: k.ID, Attempt: a.number, Server: a.server, Code: code,
		Took: c.clock.now() - a.sentAt, Settled: settled})
}

// sawEnd counts the end of an attempt that did not stand. What was never sent, or called off from this side, says nothing
// of its server.
func (c *Core) sawEnd(k *call, a *attempt, code control.Code) {
	switch code {
	case control.TimedOut:
		c.saw(counting.TimedOut, &k.Setup, a.server)
	case control.Full:
		c.saw(counting.Full, &k.Setup, a.server)
	case control.Failed, control.Cut, control.Unreachable:
		c.saw(counting.Errored, &k.Setup, a.server)
	}
}

// OverdueAfter is how long an attempt is out before that is seen as a sign of its server. Its end may come later.
const OverdueAfter = 400 * time.Millisecond

// attemptOf gives the call whose attempt is out and not yet ended, or nil: an attempt ends once.
func (c *Core) attemptOf(r ref) *call {
	k := c.calls[r.id]
	if k == nil || k.stands || k.out == nil || k.out.number != r.attempt {
		return nil
	}
	return k
}

// answered: a server says that the call stands.
func (c *Core) answered(p *Peer, r ref, body []byte) {
	k := c.attemptOf(r)
	if k == nil {
		c.late(p, r)
		return
	}
	a := k.out
	a.expiry.Stop()
	k.overdue.Stop()
	k.stands, k.stoodAt = true, c.clock.now()
	c.pending--
	c.figures.Class(k.Class).Success.Add(1)
	c.saw(counting.Stood, &k.Setup, 0)
	c.saw(counting.Answered, &k.Setup, a.server)
	c.note(history.Event{Kind: history.Stood, Call: k.ID, Attempt: a.number, Server: a.server, Span: k.stoodAt - k.arrived})
	told := k.caller.Answer(body)
	c.handle(control.Opened{ID: k.ID, Attempt: a.number, Server: a.server, Took: k.stoodAt - a.sentAt})
	if !told && c.calls[k.ID] == k {
		c.release(k, CauseNormal)
	}
	c.settled()
}

// late: an answer to a set-up that had been given up. The server is told that nobody wants it, but not while another
// attempt of the call is out or stands there: servers know a call by its id alone, and the release would end that one.
func (c *Core) late(p *Peer, r ref) {
	k := c.calls[r.id]
	switch {
	case k == nil || k.out == nil || k.out.peer != p:
		p.release(r.id, CauseNormal)
	case k.out.number != r.attempt:
		k.stray = true
	}
}

// sweep releases at a server what was answered late there, now that no attempt of the call is out at it.
func (k *call) sweep(p *Peer) {
	if k.stray {
		k.stray = false
		p.release(k.ID, CauseNormal)
	}
}

// Outcome is the end of an attempt as the wire saw it.
type Outcome struct {
	Code     control.Code
	Reason   int
	ToldWait control.Micros
	Report   []float64
}

// failed: an attempt ended without an answer.
func (c *Core) failed(r ref, o Outcome) {
	k := c.attemptOf(r)
	if k == nil {
		return
	}
	a := k.out
	k.out = nil
	a.expiry.Stop()
	c.noteEnded(k, a, o.Code)
	if o.Reason == control.LinesBusy { // the number's fault, not the server's
		c.saw(counting.Busy, &k.Setup, 0)
	} else {
		c.sawEnd(k, a, o.Code)
	}
	c.noteReport(a.server, o.Report)
	k.sweep(a.peer)
	c.handle(control.Resolved{ID: k.ID, Attempt: a.number, Server: a.server, Code: o.Code,
		Took: c.clock.now() - a.sentAt, Reason: o.Reason, ToldWait: o.ToldWait, Report: o.Report})
}

// released: a server says that a call which stood is over. One told twice is passed on once.
func (c *Core) released(p *Peer, id string, cause int, report []float64) {
	k := c.calls[id]
	if k == nil || !k.stands {
		if report != nil {
			c.noteReport(p.server, report)
			c.handle(control.Status{Server: p.server, Code: control.OK, Report: report})
		}
		if _, known := c.over.at(id); k == nil && !known && c.orphans != nil {
			c.over.add(id, c.clock.now())
			c.orphans.Orphan(id, cause)
		}
		return
	}
	code := control.OK
	if cause != CauseNormal {
		code = control.Cut
	}
	c.finish(k, code, cause, report)
}

// finish ends a call that stood from the server's side.
func (c *Core) finish(k *call, code control.Code, cause int, report []float64) {
	a := k.out
	c.close(k)
	c.note(history.Event{Kind: history.Released, Call: k.ID, Server: a.server, N: int64(cause)})
	c.noteReport(a.server, report)
	k.caller.Release(cause)
	c.handle(control.Resolved{ID: k.ID, Attempt: a.number, Server: a.server, Code: code,
		Took: c.clock.now() - a.sentAt, Settled: true, Report: report})
}

// died: the process behind a peer is gone, and with it the calls that stood there since before a time. Where that is
// not certain, the server is told that they are over.
func (c *Core) died(p *Peer, before control.Micros, tell bool) {
	for _, k := range c.calls {
		if k.stands && k.out.peer == p && k.stoodAt < before {
			if tell {
				p.release(k.ID, CauseNormal)
			}
			c.finish(k, control.Cut, CauseFailed, nil)
		}
	}
}

// status: free agents and the like, told unasked.
func (c *Core) status(p *Peer, report []float64) {
	c.noteReport(p.server, report)
	c.handle(control.Status{Server: p.server, Code: control.OK, Report: report})
}
