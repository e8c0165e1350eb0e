package routing

import (
	"sync/atomic"

	"beammux/control"
)

// Stats are the counts that the core keeps where each outcome is decided: what the operators read. They start at 0
// with the process. Each is read without the core's actor, so that a busy core never holds an answer back.
type Stats struct {
	classes  []classFigures // by place in the settings; the last one is for classes that they don't name
	Open     atomic.Int64   // taken and not yet ended: owed an answer, or standing until its release
	Targets  atomic.Int64   // servers on the list
	Disabled atomic.Int64   // of those, the ones now avoided
}

type classFigures struct {
	Success, Overload, Error, Dispatches atomic.Int64
}

// Class gives the counts of a class: its place in the settings, or -1 for one that they don't name.
func (f *Stats) Class(class int) *ClassStats {
	if class < 0 || class >= len(f.classes)-1 {
		class = len(f.classes) - 1
	}
	return (*ClassStats)(&f.classes[class])
}

// ClassStats are the counts of one class.
type ClassStats classFigures

func newFigures(classes int) *Stats { return &Stats{classes: make([]classFigures, classes+1)} }

// Stats gives the core's counts.
func (c *Core) Stats() *Stats { return c.figures }

// countTargets takes the list's size and the servers avoided from the module, at most every lookEvery.
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

// CountMalformed counts a set-up that a front could not read and told that it failed: class is its place in the settings,
// or -1. The core never saw it, but its caller had its final answer.
func (c *Core) CountMalformed(class int) { c.figures.Class(class).Error.Add(1) }
