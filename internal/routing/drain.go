package routing

import (
	"maps"
	"slices"
	"time"

	"beammux/control"
)

// AnswerWithin bounds the deadlines of the calls that arrive from now on: none is later than d from now. It is used before the
// process ends, so that these calls have their final answers soon after.
func (c *Core) AnswerWithin(d time.Duration) {
	c.Post(func() { c.latestDeadline = c.clock.now() + control.Micros(d/time.Microsecond) })
}

// OnDrained registers f to be called once, as soon as no call waits for its final answer. Established calls may still be open.
func (c *Core) OnDrained(f func()) {
	c.Post(func() {
		c.onDrained = f
		c.checkDrained()
	})
}

// checkDrained calls the function given to OnDrained if no call is unanswered. The function is posted, so that the last answer
// has been delivered before it runs.
func (c *Core) checkDrained() {
	if c.unanswered > 0 || c.onDrained == nil {
		return
	}
	c.Post(func() {
		if c.unanswered == 0 && c.onDrained != nil {
			f := c.onDrained
			c.onDrained = nil
			f()
		}
	})
}

// Abort ends a set-up that has no final answer yet, because its caller's connection is about to be closed. The caller receives a
// refusal if no server was tried, and else a failure. It does not affect a call of another caller with the same id.
func (c *Core) Abort(id string, caller Caller) {
	c.Post(func() {
		if call := c.calls[id]; call != nil && !call.established && call.caller == caller {
			c.abort(call)
		}
	})
}

// AbortAll ends all set-ups that have no final answer yet, as Abort does, because the process is about to end.
func (c *Core) AbortAll() {
	c.Post(func() {
		for _, call := range slices.Collect(maps.Values(c.calls)) {
			if !call.established {
				c.abort(call)
			}
		}
	})
}

// abort ends the set-up of a call that has no final answer yet.
func (c *Core) abort(call *callState) {
	c.handle(control.Withdrawn{ID: call.ID})
	c.endAttempt(call, control.Cancelled, true)
	if call.attempts == 0 {
		c.refuse(call, 0)
	} else {
		c.fail(call)
	}
}
