package routing

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/internal/counting"
	"beammux/internal/history"
)

// send starts an attempt, as decided by the module. An attempt that can't start is reported as NotSent.
func (c *Core) send(call *callState, action control.Action) {
	if call.caller.Gone() { // its withdrawal follows
		c.withdraw(call)
		return
	}
	now := c.clock.now()
	next := &attempt{number: call.attempts, server: action.Server, peer: c.peers[action.Server], sentAt: now, givenUp: &atomic.Bool{}}
	call.attempts++
	timeLeft := call.deadline - now
	if action.Wait > 0 {
		timeLeft = min(timeLeft, action.Wait)
	}
	if next.peer == nil || timeLeft <= 0 || call.current != nil {
		// The server is no longer on the list, the deadline has passed, or another attempt is in flight: nothing is sent.
		c.Post(func() {
			c.handle(control.AttemptEnded{ID: call.ID, Attempt: next.number, Server: action.Server, Code: control.NotSent})
		})
		return
	}
	call.current = next
	next.expiry = c.After(span(timeLeft), func() {
		if c.calls[call.ID] == call && call.current == next && !call.established {
			c.endAttempt(call, control.TimedOut, false)
		}
	})
	c.stats.Class(call.Class).Dispatches.Add(1)
	if len(c.observers) > 0 {
		c.observe(counting.Sent, &call.Setup, action.Server)
		c.After(OverdueAfter, func() {
			if c.calls[call.ID] == call && call.current == next && !call.established {
				c.observe(counting.Overdue, &call.Setup, action.Server)
			}
		})
	}
	next.peer.setup(Attempt{AttemptRef: call.refOf(next), Class: call.Class, Key: call.Key, Body: call.Body,
		Deadline: time.Now().Add(span(timeLeft)), level: c.levelOf(action.Server), givenUp: next.givenUp, caller: call.caller})
}

// endAttempt gives up the attempt in flight, if any, and reports its end to the module.
func (c *Core) endAttempt(call *callState, code control.Code, settled bool) {
	a := call.current
	if a == nil {
		return
	}
	call.current = nil
	a.givenUp.Store(true)
	a.expiry.Stop()
	c.noteEnded(call, a, code)
	c.observeEnd(call, a, code)
	a.peer.cancel(call.refOf(a))
	call.releaseLateAnswer(a.peer)
	c.handle(control.AttemptEnded{ID: call.ID, Attempt: a.number, Server: a.server, Code: code,
		Elapsed: c.clock.now() - a.sentAt, Settled: settled})
}

// observeEnd reports the end of a failed attempt to the observers. An attempt that was never sent, or that this side
// cancelled, is not reported: it is no evidence about the server.
func (c *Core) observeEnd(call *callState, a *attempt, code control.Code) {
	switch code {
	case control.TimedOut:
		c.observe(counting.TimedOut, &call.Setup, a.server)
	case control.Full:
		c.observe(counting.Full, &call.Setup, a.server)
	case control.Failed, control.Cut, control.Unreachable:
		c.observe(counting.Errored, &call.Setup, a.server)
	}
}

// OverdueAfter is how long an attempt may be in flight before it is observed as overdue. An overdue attempt may still be
// answered.
const OverdueAfter = 400 * time.Millisecond

// attemptOf returns the call of an attempt that is in flight, or nil. It ensures that an attempt ends only once.
func (c *Core) attemptOf(r AttemptRef) *callState {
	call := c.calls[r.id]
	if call == nil || call.established || call.current == nil || call.current.number != r.attemptNumber {
		return nil
	}
	return call
}

// answered handles the answer of a server that establishes a call, which has arrived on a connection.
func (c *Core) answered(on *peerConn, r AttemptRef, body []byte) {
	call := c.attemptOf(r)
	if call == nil {
		c.lateAnswer(on.peer, r)
		return
	}
	a := call.current
	a.answeredOn = on
	a.expiry.Stop()
	call.deadlineTimer.Stop()
	call.established, call.establishedAt = true, c.clock.now()
	call.Body = nil // it is sent to no server any more
	c.unanswered--
	c.stats.Class(call.Class).Success.Add(1)
	c.observe(counting.Established, &call.Setup, 0)
	c.observe(counting.Answered, &call.Setup, a.server)
	c.note(history.Event{Kind: history.Established, Call: call.ID, Attempt: a.number, Server: a.server, Span: call.establishedAt - call.arrived})
	delivered := call.caller.Answer(body)
	c.handle(control.CallEstablished{ID: call.ID, Attempt: a.number, Server: a.server, Elapsed: call.establishedAt - a.sentAt})
	if c.calls[call.ID] == call {
		switch {
		case a.overtaken != nil:
			c.endOvertaken(call)
		case !delivered:
			c.releaseEstablished(call, CauseNormal)
		}
	}
	c.checkDrained()
}

// endOvertaken ends a call that its server released before the answer arrived. If the release may have been that of an earlier attempt,
// the server holds the call, and is sent its release.
func (c *Core) endOvertaken(call *callState) {
	a := call.current
	if a.number > 0 {
		a.peer.release(call.refOf(a), CauseNormal)
	}
	c.endReleased(call, *a.overtaken)
}

// lateAnswer handles the answer to a set-up that was given up: the call is released at the server, but not while another
// attempt of the same call is in flight or established there. Servers identify a call by its id alone, so the release would
// end that attempt as well.
func (c *Core) lateAnswer(p *Peer, r AttemptRef) {
	call := c.calls[r.id]
	switch {
	case call == nil || call.current == nil || !call.current.peer.sameServer(p):
		p.release(r, CauseNormal)
	case call.current.number != r.attemptNumber:
		call.lateAnswer = &r
	}
}

// releaseAgain sends the release of an attempt again, which its server may not have read. It does not where another attempt of the call is
// in flight or established there by now: servers identify a call by its id alone.
func (c *Core) releaseAgain(p *Peer, r AttemptRef, cause int) {
	if call := c.calls[r.id]; call == nil || call.current == nil || !call.current.peer.sameServer(p) {
		p.release(r, cause)
	}
}

// releaseLateAnswer releases the call at a server that answered a given-up attempt late. It is called once no attempt of
// the call is in flight at that server.
func (call *callState) releaseLateAnswer(p *Peer) {
	if late := call.lateAnswer; late != nil {
		call.lateAnswer = nil
		p.release(*late, CauseNormal)
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
func (c *Core) failed(r AttemptRef, o Outcome) {
	call := c.attemptOf(r)
	if call == nil {
		return
	}
	a := call.current
	call.current = nil
	a.expiry.Stop()
	c.noteEnded(call, a, o.Code)
	if o.Reason == control.LinesBusy { // the called number is busy; the server is not at fault
		c.observe(counting.Busy, &call.Setup, 0)
	} else {
		c.observeEnd(call, a, o.Code)
	}
	c.noteReport(a.server, o.Report)
	call.releaseLateAnswer(a.peer)
	c.handle(control.AttemptEnded{ID: call.ID, Attempt: a.number, Server: a.server, Code: o.Code,
		Elapsed: c.clock.now() - a.sentAt, Reason: o.Reason, RetryAfter: o.RetryAfter, Report: o.Report})
}

// released handles the release of an established call by its server, which has arrived on a connection. A repeated release is passed on once. A server that holds
// the call because its answer to an earlier attempt was lost releases only that attempt.
func (c *Core) released(on *peerConn, id string, cause int, report []float64) {
	call, p := c.calls[id], on.peer
	if call != nil && !call.established && call.current != nil && call.current.peer.sameServer(p) {
		call.current.overtaken = &serverRelease{cause, report}
		return
	}
	if call == nil || !call.established || !call.current.peer.sameServer(p) {
		if report != nil {
			c.noteReport(p.server, report)
			c.handle(control.Status{Server: p.server, Code: control.OK, Report: report})
		}
		if call == nil {
			c.releaseOrphan(id, cause)
		}
		return
	}
	if answeredOn := call.current.answeredOn; answeredOn.peer == p { // the process that released it is the one that answered it
		p.Post(func() { p.processes.Confirm(answeredOn.number, on.number) })
	}
	c.endReleased(call, serverRelease{cause, report})
}

// ReleaseOrphan passes on a server's release of a call that the core may not know, to its caller. A repeated release is passed on once.
func (c *Core) ReleaseOrphan(id string, cause int) {
	c.Post(func() {
		if c.calls[id] == nil {
			c.releaseOrphan(id, cause)
		}
	})
}

// releaseOrphan passes on the release of a call that was established before this process started.
func (c *Core) releaseOrphan(id string, cause int) {
	if _, known := c.ended.endOf(id); known || c.orphans == nil {
		return
	}
	c.ended.add(id, c.clock.now())
	c.orphans.Orphan(id, cause)
}

// endReleased ends an established call that its server has released.
func (c *Core) endReleased(call *callState, release serverRelease) {
	code := control.OK
	if release.cause != CauseNormal {
		code = control.Cut
	}
	c.endEstablished(call, code, release.cause, release.report)
}

// endEstablished ends an established call on behalf of its server and releases it at the caller.
func (c *Core) endEstablished(call *callState, code control.Code, cause int, report []float64) {
	a := call.current
	c.close(call)
	c.note(history.Event{Kind: history.Released, Call: call.ID, Server: a.server, N: int64(cause)})
	c.noteReport(a.server, report)
	call.caller.Release(cause)
	c.handle(control.AttemptEnded{ID: call.ID, Attempt: a.number, Server: a.server, Code: code,
		Elapsed: c.clock.now() - a.sentAt, Settled: true, Report: report})
}

// serverLoss is why the calls established at a server are over although the server has not released them.
type serverLoss string

// The reasons of a serverLoss.
const (
	serverRemoved     serverLoss = "removed from the list"
	serverReplaced    serverLoss = "another server has its address, by the list"
	serverRestarted   serverLoss = "started again, by the list"
	serverProcessDied serverLoss = "process ended: connections reset, then refused"
	serverUnreachable serverLoss = "unreachable"
	// serverProcessReplaced is the loss of a process while another one, which the list does not name, answers at its address.
	serverProcessReplaced serverLoss = "another process answers at its address"
)

// processMayLive reports whether the server's process may still run and hold the calls.
func (l serverLoss) processMayLive() bool {
	return l == serverUnreachable || l == serverProcessReplaced
}

// serverLost ends the calls established at a peer, because the server is lost. The peer posts it after the answers that it received,
// so every call that it finds was established before the loss, however late the core is.
func (c *Core) serverLost(p *Peer, loss serverLoss) {
	c.endCallsOf(p, loss, func(*callState) bool { return true })
}

// serverLostBefore is serverLost for the calls established before a time.
func (c *Core) serverLostBefore(p *Peer, before control.Micros, loss serverLoss) {
	c.endCallsOf(p, loss, func(call *callState) bool { return call.establishedAt < before })
}

// endCallsOf ends the selected calls of those established at a peer. If the server's process may still run, the calls are released at
// the server as well.
func (c *Core) endCallsOf(p *Peer, loss serverLoss, selected func(*callState) bool) {
	ended := 0
	for _, call := range c.calls {
		if !call.established || call.current.peer != p || !selected(call) {
			continue
		}
		if loss.processMayLive() {
			p.release(call.refOf(call.current), CauseNormal)
		}
		c.endings.Info("call ended with its server", logrus.Fields{"call": call.ID, "server": p.server, "reason": loss})
		c.endEstablished(call, control.Cut, CauseFailed, nil)
		ended++
	}
	if ended > 0 {
		c.stats.CallsLost.Add(int64(ended))
		p.log.WithFields(logrus.Fields{"calls": ended, "reason": loss}).Info("server lost: its calls are released")
	}
}

// status handles a load report that a server sent without a request.
func (c *Core) status(p *Peer, report []float64) {
	c.noteReport(p.server, report)
	c.handle(control.Status{Server: p.server, Code: control.OK, Report: report})
}
