package routing

import "beammux/control/retry"

// Change is SetLimits with something else that comes into force in the same turn of the core: no call is decided between
// the two. also must not block.
func (c *Core) Change(p *retry.Policy, also func()) {
	c.Post(func() {
		p.InheritCounts(c.limits)
		c.limits = p
		also()
	})
}

// Limits are those of calls that come now. It is called in a turn of the core.
func (c *Core) Limits() *retry.Policy { return c.limits }
