package routing

import (
	"time"

	"beammux/control"
)

// endedCalls holds the ids of calls that are over, with the time of their end, for at least endedCallLifetime; of more than
// maxEndedCalls ids in that time, the newest maxEndedCalls/2 at least. It has two generations: when the current one is full or old enough,
// the previous one is dropped whole, so that nothing ever iterates over it.
type endedCalls struct {
	current, previous map[string]control.Micros
	currentSince      control.Micros // when current began
}

// add notes an end at a time. Times never fall.
func (m *endedCalls) add(id string, now control.Micros) {
	if m.current == nil || len(m.current) >= maxEndedCalls/2 || now-m.currentSince >= control.Micros(endedCallLifetime/time.Microsecond) {
		m.previous, m.current, m.currentSince = m.current, map[string]control.Micros{}, now
	}
	m.current[id] = now
}

// endOf returns the time of an end that is remembered.
func (m *endedCalls) endOf(id string) (at control.Micros, ok bool) {
	if at, ok = m.current[id]; !ok {
		at, ok = m.previous[id]
	}
	return at, ok
}
