package routing

import (
	"sync/atomic"

	"beammux/control"
)

// Figures are the operational counters of the core, updated where each outcome is decided. They start at 0 with the
// process. They are read without the core's actor, so that a busy core does not delay their readers.
type Figures struct {
	classes  []classFigures // by index in the settings; the last one is for classes that they do not name
	Open     atomic.Int64   // calls that are unanswered, or established and not yet released
	Targets  atomic.Int64   // servers on the list
	Disabled atomic.Int64   // servers on the list that are avoided now
}

// classFigures are the counters of one class.
type classFigures struct {
	Success, Overload, Error, Dispatches atomic.Int64
}

// Class returns the counters of a class, given by its index in the settings, or -1 for one that they do not name.
func (f *Figures) Class(class int) *ClassFigures {
	if class < 0 || class >= len(f.classes)-1 {
		class = len(f.classes) - 1
	}
	return (*ClassFigures)(&f.classes[class])
}

// ClassFigures are the counters of one class.
type ClassFigures classFigures

func newFigures(classes int) *Figures { return &Figures{classes: make([]classFigures, classes+1)} }

// Figures returns the counters of the core. They are safe for concurrent use.
func (c *Core) Figures() *Figures { return c.figures }

// countTargets updates the numbers of listed and of avoided servers from the module, at most once each viewInterval.
func (c *Core) countTargets(now control.Micros) {
	if now-c.countedAt < viewInterval {
		return
	}
	c.countedAt = now
	c.counted = c.module.Views(c.counted[:0])
	disabled := 0
	for _, v := range c.counted {
		if v.Gated() {
			disabled++
		}
	}
	c.figures.Targets.Store(int64(len(c.counted)))
	c.figures.Disabled.Store(int64(disabled))
}

// Unreadable counts a set-up that a front could not parse and answered with a failure. class is its index in the settings,
// or -1. Such a set-up never reaches the core, but its caller has received a final answer.
func (c *Core) Unreadable(class int) { c.figures.Class(class).Error.Add(1) }
