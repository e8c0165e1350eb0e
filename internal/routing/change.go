package routing

import "beammux/control/retry"

// Change puts limits in force as SetLimits does, and calls also in the same turn of the core's actor, so that no call is
// decided between the two. also must not block.
func (c *Core) Change(policy *retry.Policy, also func()) {
	c.Post(func() {
		policy.InheritCounts(c.limits)
		c.limits = policy
		also()
	})
}

// Limits returns the limits of calls that arrive now. It must be called from the core's actor.
func (c *Core) Limits() *retry.Policy { return c.limits }
