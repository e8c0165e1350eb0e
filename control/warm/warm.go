// Package warm decides how much of what a gatekeeper had learned before it ended still counts when it starts again. It does
// no I/O and reads no clock.
//
// What is forgotten costs some seconds of relearning; what is remembered wrongly can do harm. So each field fades by a
// half-life of its own, and whatever casts doubt on the memory takes away all that hangs on it:
//
//   - a server that restarted, was replaced or is cold is known anew: nothing of the old process counts (package control);
//   - other settings than before: it is another deployment, and nothing is kept;
//   - a clock that stands before the memory, or a memory without a time: its age is not known, and only what hardly ages is
//     kept, at half its weight;
//   - a memory older than a day: nothing is kept.
package warm

import (
	"math"

	"beammux/control"
)

// Half-lives of what is learned, in microseconds: as long as it takes for it to be as likely wrong as right.
const (
	waitHalfLife  = 3e6    // a queue at a processor: service in the trouble days shifts within seconds
	shedHalfLife  = 8e6    // the part of calls kept back follows the wait slowly
	spareHalfLife = 5e6    // free lines
	mixHalfLife   = 60e6   // the mix of classes
	lossHalfLife  = 300e6  // the network's losses
	unitHalfLife  = 1800e6 // what a server's line brings
	baseHalfLife  = 3600e6 // the lowest set-up delay

	maxAge         = 24 * 3600e6 // nothing older counts
	clockTolerance = 1e6         // by so much a clock may stand before the memory without doubt: clocks of one machine are set a little
	minWeight      = 0.05        // what has faded below this part of itself is left out
)

// Doubt says why a memory counts less than its age alone would let it.
type Doubt string

// The doubts.
const (
	NoDoubt         Doubt = ""
	NoMemory        Doubt = "there is none"
	TooOld          Doubt = "it is older than a day"
	ClockBehind     Doubt = "the clock stands before it"
	NoTimestamp     Doubt = "it has no time"
	SettingsChanged Doubt = "the settings have changed"
	InvalidValue    Doubt = "it holds values that none can be"
)

// Memory is what is kept between two starts.
type Memory struct {
	Settings string          `json:"settings"` // names the settings that it was learned under
	Learned  control.Learned `json:"learned"`
}

// Recall gives what of a memory counts at a time under settings, and what casts doubt on it. With nothing to recall ok is
// unset.
func Recall(m *Memory, now control.Micros, settings string) (l control.Learned, doubt Doubt, ok bool) {
	if m == nil {
		return l, NoMemory, false
	}
	if !valid(m.Learned) {
		return l, InvalidValue, false
	}
	if m.Settings != settings {
		return l, SettingsChanged, false
	}
	age := float64(now) - float64(m.Learned.At) // as floats: any two times have a difference
	switch {
	case m.Learned.At <= 0:
		doubt, age = NoTimestamp, math.Inf(1)
	case age < -clockTolerance:
		doubt, age = ClockBehind, math.Inf(1)
	case age > maxAge:
		return l, TooOld, false
	}
	age = max(age, 0)
	weight := func(halfLife float64) float64 {
		if w := math.Exp2(-age / halfLife); w >= minWeight {
			return w
		}
		return 0
	}
	slowWeight := func(halfLife float64) float64 { // for what hardly ages
		if math.IsInf(age, 1) {
			return 0.5
		}
		return weight(halfLife)
	}
	l.At = now
	if slowWeight(baseHalfLife) > 0 { // a delay is right or it is not: half of it would be wrong for certain
		l.Base = m.Learned.Base
	}
	l.Unit = m.Learned.Unit * slowWeight(unitHalfLife)
	l.Loss = m.Learned.Loss * weight(lossHalfLife)
	if w := weight(mixHalfLife); w > 0 {
		l.Mix = make([]float64, len(m.Learned.Mix))
		for i, v := range m.Learned.Mix {
			l.Mix[i] = v * w
		}
	}
	for _, s := range m.Learned.Servers {
		server := control.LearnedServer{Server: s.Server, Since: s.Since, Spare: -1, Total: s.Total,
			Wait: s.Wait * weight(waitHalfLife), Shed: s.Shed * weight(shedHalfLife)}
		if weight(spareHalfLife) >= 0.5 { // free lines can't be scaled: they are known or not
			server.Spare = s.Spare
		}
		l.Servers = append(l.Servers, server)
	}
	return l, doubt, true
}

// valid tells whether every value is one that can have been learned: a damaged or foreign memory must not get in.
func valid(l control.Learned) bool {
	inRange := func(low, high float64, values ...float64) bool {
		for _, v := range values {
			if !(v >= low && v <= high) { // also what is no number
				return false
			}
		}
		return true
	}
	const minute, many = 60e6, 1e6
	if !inRange(0, minute, l.Base) || !inRange(0, 1, l.Loss) || !inRange(0, many, l.Unit) || !inRange(0, many, l.Mix...) {
		return false
	}
	for _, s := range l.Servers {
		if !inRange(0, minute, s.Wait) || !inRange(0, 1, s.Shed) || !inRange(-1, many, s.Spare) || !inRange(0, many, s.Total) {
			return false
		}
	}
	return true
}
