package routing

import (
	"time"

	"beammux/control"
)

// endedCalls holds the ids of ended calls, with the time of their end, for at least endedCallLifetime. If more than
// maxEndedCalls ids arrive in that time, it holds at least the newest maxEndedCalls/2. It has two generations: when the
// current one is full or old enough, the previous one is dropped as a whole, so that no iteration is ever needed.
type endedCalls struct {
	current, previous map[string]control.Micros
	currentSince      control.Micros // when current began
}

// add records that a call ended now. Successive times must not decrease.
func (e *endedCalls) add(id string, now control.Micros) {
	if e.current == nil || len(e.current) >= maxEndedCalls/2 || now-e.currentSince >= control.Micros(endedCallLifetime/time.Microsecond) {
		e.previous, e.current, e.currentSince = e.current, map[string]control.Micros{}, now
	}
	e.current[id] = now
}

// endOf returns when a call ended, if its id is still remembered.
func (e *endedCalls) endOf(id string) (at control.Micros, ok bool) {
	if at, ok = e.current[id]; !ok {
		at, ok = e.previous[id]
	}
	return at, ok
}
