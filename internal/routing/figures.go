package routing

import (
	"sync/atomic"

	"beammux/control"
)

// Stats are the operational counters of the core, updated where each outcome is decided. They start at 0 with the
// process. They are read without the core's actor, so that a busy core does not delay their readers.
type Stats struct {
	classes  []classStats // by index in the settings; the last one is for classes that they do not name
	Open     atomic.Int64 // calls that are unanswered, or established and not yet released
	Targets  atomic.Int64 // servers on the list
	Disabled atomic.Int64 // servers on the list that are avoided now

	CallsLost atomic.Int64 // established calls that ended with their server, without a release from it
}

// classStats are the counters of one class.
type classStats struct {
	Success, Overload, Error, Dispatches atomic.Int64
}

// Class returns the counters of a class, given by its index in the settings, or -1 for one that they do not name.
func (f *Stats) Class(class int) *ClassStats {
	if class < 0 || class >= len(f.classes)-1 {
		class = len(f.classes) - 1
	}
	return (*ClassStats)(&f.classes[class])
}

// ClassStats are the counters of one class.
type ClassStats classStats

func newStats(classes int) *Stats { return &Stats{classes: make([]classStats, classes+1)} }

// Stats returns the counters of the core. They are safe for concurrent use.
func (c *Core) Stats() *Stats { return c.stats }

// countTargets updates the numbers of listed and of avoided servers from the module, at most once each viewInterval.
func (c *Core) countTargets(now control.Micros) {
	if now-c.targetsCountedAt < viewInterval {
		return
	}
	c.targetsCountedAt = now
	c.countedViews = c.module.Views(c.countedViews[:0])
	disabled := 0
	for _, v := range c.countedViews {
		if v.Gated() {
			disabled++
		}
	}
	c.stats.Targets.Store(int64(len(c.countedViews)))
	c.stats.Disabled.Store(int64(disabled))
}

// CountMalformed counts a set-up that a front could not parse and answered with a failure. class is its index in the settings,
// or -1. Such a set-up never reaches the core, but its caller has received a final answer.
func (c *Core) CountMalformed(class int) { c.stats.Class(class).Error.Add(1) }

// CountRefused counts a set-up that a front refused because of an overload, without passing it to the core.
func (c *Core) CountRefused(class int) { c.stats.Class(class).Overload.Add(1) }
