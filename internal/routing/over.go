package routing

import (
	"time"

	"beammux/control"
)

// memory holds the ids of calls that are over, with the time of their end, for at least rememberFor; of more than rememberMax
// ids in that time, the newest rememberMax/2 at least. It has two generations: when the younger one is full or old enough,
// the older one is dropped whole, so that no sweep goes through it.
type memory struct {
	young, old map[string]control.Micros
	since      control.Micros // when the younger one began
}

// add notes an end at a time. Times never fall.
func (m *memory) add(id string, now control.Micros) {
	if m.young == nil || len(m.young) >= rememberMax/2 || now-m.since >= control.Micros(rememberFor/time.Microsecond) {
		m.old, m.young, m.since = m.young, map[string]control.Micros{}, now
	}
	m.young[id] = now
}

// at gives the time of an end that is remembered.
func (m *memory) at(id string) (at control.Micros, ok bool) {
	if at, ok = m.young[id]; !ok {
		at, ok = m.old[id]
	}
	return at, ok
}
