// Package warm decides how much of what a gatekeeper had learned before it ended still applies when it starts again. It
// does no I/O and reads no clock.
//
// Forgetting costs some seconds of relearning; remembering something wrong can do harm. So the weight of each field
// decays with a half-life of its own, and anything that makes the saved state doubtful discards all fields that depend on
// it:
//
//   - a server that restarted, was replaced or is cold starts without learned values: nothing of the old process applies (package control);
//   - the settings have changed: it is another deployment, and nothing is kept;
//   - the clock is behind the saved state, or the saved state has no time: its age is unknown, and only the fields that hardly age are kept, at half their weight;
//   - the saved state is older than a day: nothing is kept.
package warm

import (
	"math"

	"beammux/control"
)

// Half-lives of the learned values, in microseconds: after this time a value is as likely wrong as right.
const (
	waitHalfLife  = 3e6    // processor queue: service times shift within seconds in an incident
	shedHalfLife  = 8e6    // shed part of the calls: follows the wait slowly
	spareHalfLife = 5e6    // free lines
	mixHalfLife   = 60e6   // mix of classes
	lossHalfLife  = 300e6  // network loss
	unitHalfLife  = 1800e6 // answers per second for each line of a warm server
	baseHalfLife  = 3600e6 // lowest set-up delay

	maxAge         = 24 * 3600e6 // older state is discarded
	clockTolerance = 1e6         // how far the clock may be behind the saved state without doubt: the clock of a machine may be adjusted slightly
	minWeight      = 0.05        // values with a lower weight are discarded
)

// Doubt is the reason why saved state counts less than its age alone would allow.
type Doubt string

// The reasons for doubt. The texts are logged as field values.
const (
	NoDoubt         Doubt = ""
	NoSavedState    Doubt = "there is none"
	TooOld          Doubt = "it is older than a day"
	ClockBehind     Doubt = "the clock stands before it"
	NoTimestamp     Doubt = "it has no time"
	SettingsChanged Doubt = "the settings have changed"
	InvalidValue    Doubt = "it holds values that none can be"
)

// SavedState is the state that is kept between two starts.
type SavedState struct {
	Settings string          `json:"settings"` // identifies the settings under which it was learned
	Learned  control.Learned `json:"learned"`
}

// Restore returns the part of the saved state that still applies at a time under the given settings, and the reason for
// doubt, if any. ok is false if there is nothing to restore.
func Restore(m *SavedState, now control.Micros, settings string) (l control.Learned, doubt Doubt, ok bool) {
	if m == nil {
		return l, NoSavedState, false
	}
	if !valid(m.Learned) {
		return l, InvalidValue, false
	}
	if m.Settings != settings {
		return l, SettingsChanged, false
	}
	age := float64(now) - float64(m.Learned.At) // as floats: the difference of any two times is representable
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
	slowWeight := func(halfLife float64) float64 { // for fields that hardly age
		if math.IsInf(age, 1) {
			return 0.5
		}
		return weight(halfLife)
	}
	l.At = now
	if slowWeight(baseHalfLife) > 0 { // a delay is right or wrong: half of it would certainly be wrong
		l.BaseDelay = m.Learned.BaseDelay
	}
	l.BestRate = m.Learned.BestRate * slowWeight(unitHalfLife)
	l.LossRate = m.Learned.LossRate * weight(lossHalfLife)
	if w := weight(mixHalfLife); w > 0 {
		l.WorthMix = make([]float64, len(m.Learned.WorthMix))
		for i, v := range m.Learned.WorthMix {
			l.WorthMix[i] = v * w
		}
	}
	for _, s := range m.Learned.Servers {
		server := control.LearnedServer{Server: s.Server, Since: s.Since, Spare: -1, Total: s.Total,
			Wait: s.Wait * weight(waitHalfLife), Shed: s.Shed * weight(shedHalfLife)}
		if weight(spareHalfLife) >= 0.5 { // a number of free lines cannot be scaled: it is known or not
			server.Spare = s.Spare
		}
		l.Servers = append(l.Servers, server)
	}
	return l, doubt, true
}

// valid reports whether all values are within the range that can have been learned; damaged or foreign state must not be
// used.
func valid(l control.Learned) bool {
	inRange := func(low, high float64, values ...float64) bool {
		for _, v := range values {
			if !(v >= low && v <= high) { // also true for NaN
				return false
			}
		}
		return true
	}
	const minute, many = 60e6, 1e6
	if !inRange(0, minute, l.BaseDelay) || !inRange(0, 1, l.LossRate) || !inRange(0, many, l.BestRate) || !inRange(0, many, l.WorthMix...) {
		return false
	}
	for _, s := range l.Servers {
		if !inRange(0, minute, s.Wait) || !inRange(0, 1, s.Shed) || !inRange(-1, many, s.Spare) || !inRange(0, many, s.Total) {
			return false
		}
	}
	return true
}
