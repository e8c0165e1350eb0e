package control

import "slices"

// Parameter of refusals.
const (
	minRetryAfterShare = 0.5 // least Retry-After in parts of its maximum; the rest is random
)

// openCall is a call without a final answer.
type openCall struct {
	Call
	worth        float64
	attempts     int
	server       *server // server with an attempt in flight, or nil
	sentAt       Micros
	target       Micros // latest time at which the call meets its latency target
	heldUntil    Micros // earliest time of the next attempt (release guard, retry wait)
	mayHaveRun   bool   // a server may have worked on an attempt
	tried        []uint32
	waiting      bool // held in Controller.waiting
	lost         bool // a later set-up has been answered before this attempt
	delayUnknown bool // this process stalled while the attempt was in flight
	pastTarget   bool // it can no longer be established within its latency target
	cancelled    bool // its attempt has been cancelled
}

// earliestElsewhere returns when a call whose attempt is cancelled now can be established elsewhere.
func (c *Controller) earliestElsewhere(call *openCall) Micros {
	guard := max(c.settings.ReleaseGuard, call.Limits.Wait+call.Limits.Jitter)
	return c.now + guard + Micros(c.baseDelay) + 3*tickInterval
}

// cancelAttempt cancels a call's attempt if a further attempt can still succeed.
func (c *Controller) cancelAttempt(call *openCall) {
	if !c.settings.Cancel || call.cancelled || c.class(call).Repeat != Idempotent ||
		!c.mayRetry(call, Cancelled) || c.earliestElsewhere(call) > call.Deadline {
		return
	}
	for _, srv := range c.servers {
		if srv != call.server && c.accepts(srv, call, 1) || srv == call.server && srv.level < gateLevel {
			call.cancelled = true
			c.emit(Action{Kind: Cancel, ID: call.ID, Attempt: call.attempts - 1})
			return
		}
	}
}

// handleCall takes in a new call and dispatches it, or refuses it if it exceeds the limit of its listener.
func (c *Controller) handleCall(e Call) {
	if c.calls[e.ID] != nil {
		return
	}
	call := &openCall{Call: e, target: e.Deadline}
	if call.Limits == nil {
		call.Limits = &c.defaultLimits
	}
	if latencyTarget := c.class(call).LatencyTarget; latencyTarget > 0 {
		call.target = min(call.target, c.now+latencyTarget)
	}
	call.worth = c.worthOf(call)
	if e.Class >= 0 && e.Class < len(c.firstTryPatience) && !e.Repeat {
		if c.stall == 0 {
			c.firstTryPatience[e.Class] = e.Deadline - c.now
		} else {
			// It may have arrived during the stall, and its caller has waited since then.
			call.target -= min(max(c.firstTryPatience[e.Class]-(e.Deadline-c.now), 0), c.stall)
			c.markPastTarget(call, c.now)
		}
	}
	c.calls[e.ID] = call
	c.countArrival(call)
	if e.Excess {
		c.refuse(call)
		return
	}
	c.dispatch(call)
}

// dispatch sends a call to the selected server, or refuses it if there is none.
func (c *Controller) dispatch(call *openCall) {
	srv := c.selectServer(call)
	if srv == nil {
		c.refuse(call)
		return
	}
	if call.Quota != nil && call.attempts == 0 {
		if ok, wait := call.Quota.Take(c.now); !ok {
			c.refuseWithWait(call, wait)
			return
		}
	}
	call.server, call.sentAt, call.cancelled, call.lost, call.delayUnknown = srv, c.now, false, false, false
	call.attempts++
	if budget := call.Limits.Budget; budget != nil && call.attempts == 1 {
		budget.First(c.now, call.Class)
	}
	srv.inFlight = append(srv.inFlight, call)
	srv.slotRemaining--
	c.emit(Action{Kind: Send, ID: call.ID, Server: srv.id, Wait: call.Limits.AttemptTimeout})
}

// detach ends the attempt in flight of a call.
func (c *Controller) detach(call *openCall) {
	if call.server != nil {
		call.server.inFlight = slices.DeleteFunc(call.server.inFlight,
			func(o *openCall) bool { return o == call })
		call.server = nil
	}
}

// remove drops a call from all lists.
func (c *Controller) remove(call *openCall) {
	c.detach(call)
	if call.waiting {
		c.waiting = slices.DeleteFunc(c.waiting, func(o *openCall) bool { return o == call })
	}
	delete(c.calls, call.ID)
}

// handleEstablished takes the delay and the rate of the server from an established call, and removes the
// call.
func (c *Controller) handleEstablished(e CallEstablished) {
	call := c.calls[e.ID]
	if srv := c.findServer(e.Server); srv != nil {
		if c.baseDelay == 0 || float64(e.Elapsed) < c.baseDelay {
			c.baseDelay = float64(e.Elapsed)
		}
		c.lossRate -= c.lossRate / lossMemory
		srv.lastHeard = c.now
		srv.rate, srv.rateUpdatedAt = c.currentRate(srv)+1e6/rateTime, c.now
		if call != nil && call.server == srv && call.delayUnknown {
			srv.lastAnswered = max(srv.lastAnswered, call.sentAt)
		} else {
			srv.lastAnswered = max(srv.lastAnswered, c.now-e.Elapsed)
			c.observeWait(srv, c.waitOfDelay(e.Elapsed))
		}
	}
	if call != nil {
		c.remove(call) // established; its end only carries a report
	}
}

// handleAttemptEnd updates the server of an ended attempt and retries, refuses or removes its call.
func (c *Controller) handleAttemptEnd(e AttemptEnded) {
	call := c.calls[e.ID]
	if call != nil && (call.server == nil || call.attempts-1 != e.Attempt) {
		call = nil // the attempt is no longer in flight
	}
	if call != nil {
		c.detach(call)
	}
	srv := c.findServer(e.Server)
	if srv != nil {
		c.observeAttemptEnd(srv, call, e)
	}
	if call == nil {
		return
	}
	if e.Settled {
		c.remove(call)
		return
	}
	if !call.lost { // a lost set-up is not the fault of the server
		call.tried = append(call.tried, e.Server)
	}
	switch e.Code {
	case Full, Unreachable, NotSent:
		c.retry(call, e.Code, c.now)
	case TimedOut, Cut, Cancelled:
		call.mayHaveRun = true
		c.retry(call, e.Code, c.now+c.settings.ReleaseGuard)
	default:
		call.mayHaveRun = true
		if e.Reason == LinesBusy {
			c.markBusy(call.Key, c.now)
			c.refuse(call)
			return
		}
		c.retry(call, e.Code, c.now)
	}
}

// observeAttemptEnd updates the estimate of a server from the end of an attempt. call is nil if the attempt
// was no longer in flight.
func (c *Controller) observeAttemptEnd(srv *server, call *openCall, e AttemptEnded) {
	if c.applyReport(srv, e.Report) {
		// A server with a short reported wait has answered earlier set-ups, or they are lost.
		srv.lastAnswered = max(srv.lastAnswered, c.now-Micros(c.baseDelay+waitsPerSetup*srv.wait)-reportSlack)
	}
	if e.Code == OK || e.Code == Full || e.Code == Failed {
		srv.lastHeard = c.now
	}
	switch {
	case e.Code == Full && e.Reason != NoAgent:
		c.observeWaitAtLeast(srv, max(fullWaitFloor*c.gateWait, float64(e.RetryAfter)))
	case e.Code == Unreachable:
		c.observeWaitAtLeast(srv, onset[topLevel]*c.gateWait)
	case e.Code == TimedOut && call != nil && !c.overtaken(srv, call.sentAt):
		c.observeWaitAtLeast(srv, c.waitOfDelay(e.Elapsed))
	}
}

// retry schedules a further attempt of a call at or after from if its limits and the rules allow it and it
// can succeed in time; otherwise it refuses the call. The budget is consulted last, so that refused calls
// take nothing from it.
func (c *Controller) retry(call *openCall, code Code, from Micros) {
	limits := call.Limits
	from = max(from, c.now+limits.Wait)
	if limits.Jitter > 0 {
		from = max(from, c.now+limits.Wait+Micros(c.rng.Int64N(int64(limits.Jitter)+1)))
	}
	if !c.mayRetry(call, code) || call.mayHaveRun && c.class(call).Repeat != Idempotent ||
		from+Micros(c.baseDelay)+2*tickInterval >= call.Deadline ||
		limits.Budget != nil && !limits.Budget.Take(c.now, call.Class) {
		c.refuse(call)
		return
	}
	c.markPastTarget(call, from)
	if from <= c.now {
		c.dispatch(call)
		return
	}
	call.heldUntil, call.waiting = from, true
	c.waiting = append(c.waiting, call)
}

// mayRetry reports whether a call's limits allow another attempt after one that ended with code.
func (c *Controller) mayRetry(call *openCall, code Code) bool {
	return call.attempts < max(1, min(call.Limits.Attempts, c.settings.AttemptsCap)) &&
		call.Limits.RetryOn.Has(code)
}

// markPastTarget lowers the worth of a call, once, if an attempt sent at from misses its latency target.
func (c *Controller) markPastTarget(call *openCall, from Micros) {
	if from+Micros(c.baseDelay) > call.target && !call.pastTarget {
		call.pastTarget = true
		call.worth *= c.class(call).LateWorth
	}
}

// class returns a call's class. A class unknown to the settings has no worth and is never sent twice.
func (c *Controller) class(call *openCall) Class {
	if call.Class >= 0 && call.Class < len(c.settings.Classes) {
		return c.settings.Classes[call.Class]
	}
	return Class{Repeat: NonIdempotent}
}

// refuse ends a call: as failed if it may have run and must not run twice, else as refused.
func (c *Controller) refuse(call *openCall) {
	c.remove(call)
	if call.mayHaveRun && c.class(call).Repeat != Idempotent {
		c.emit(Action{Kind: Fail, ID: call.ID})
		return
	}
	c.refuseWithWait(call, Micros(float64(c.settings.MaxRetryAfter)*
		(minRetryAfterShare+(1-minRetryAfterShare)*c.rng.Float64())))
}

// refuseWithWait refuses a call that no server has worked on, with the time after which to retry.
func (c *Controller) refuseWithWait(call *openCall, wait Micros) {
	c.remove(call)
	a := Action{Kind: Refuse, ID: call.ID}
	if c.settings.RetryAfter {
		a.Wait = min(wait, c.settings.MaxRetryAfter)
	}
	c.emit(a)
}
