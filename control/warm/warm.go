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
	waitHalf  = 3e6    // a queue at a processor: service in the trouble days shifts within seconds
	thinHalf  = 8e6    // the part of calls kept back follows the wait slowly
	spareHalf = 5e6    // free lines
	mixHalf   = 60e6   // the mix of classes
	lossHalf  = 300e6  // the network's losses
	unitHalf  = 1800e6 // what a server's line brings
	baseHalf  = 3600e6 // the lowest set-up delay

	oldest = 24 * 3600e6 // nothing older counts
	ahead  = 1e6         // by so much a clock may stand before the memory without doubt: clocks of one machine are set a little
	keep   = 0.05        // what has faded below this part of itself is left out
)

// Doubt says why a memory counts less than its age alone would let it.
type Doubt string

// The doubts.
const (
	None        Doubt = ""
	NoMemory    Doubt = "there is none"
	TooOld      Doubt = "it is older than a day"
	ClockBack   Doubt = "the clock stands before it"
	NoTime      Doubt = "it has no time"
	OtherRules  Doubt = "the settings have changed"
	NoSuchValue Doubt = "it holds values that none can be"
)

// SavedState is what is kept between two starts.
type SavedState struct {
	Settings string          `json:"settings"` // names the settings that it was learned under
	Learned  control.Learned `json:"learned"`
}

// Restore gives what of a memory counts at a time under settings, and what casts doubt on it. With nothing to recall ok is
// unset.
func Restore(m *SavedState, now control.Micros, settings string) (l control.Learned, doubt Doubt, ok bool) {
	if m == nil {
		return l, NoMemory, false
	}
	if !sound(m.Learned) {
		return l, NoSuchValue, false
	}
	if m.Settings != settings {
		return l, OtherRules, false
	}
	age := float64(now) - float64(m.Learned.At) // as floats: any two times have a difference
	switch {
	case m.Learned.At <= 0:
		doubt, age = NoTime, math.Inf(1)
	case age < -ahead:
		doubt, age = ClockBack, math.Inf(1)
	case age > oldest:
		return l, TooOld, false
	}
	age = max(age, 0)
	fade := func(half float64) float64 {
		if w := math.Exp2(-age / half); w >= keep {
			return w
		}
		return 0
	}
	slow := func(half float64) float64 { // for what hardly ages
		if math.IsInf(age, 1) {
			return 0.5
		}
		return fade(half)
	}
	l.At = now
	if slow(baseHalf) > 0 { // a delay is right or it is not: half of it would be wrong for certain
		l.BaseDelay = m.Learned.BaseDelay
	}
	l.BestRate = m.Learned.BestRate * slow(unitHalf)
	l.LossRate = m.Learned.LossRate * fade(lossHalf)
	if w := fade(mixHalf); w > 0 {
		l.WorthMix = make([]float64, len(m.Learned.WorthMix))
		for i, v := range m.Learned.WorthMix {
			l.WorthMix[i] = v * w
		}
	}
	for _, s := range m.Learned.Servers {
		k := control.LearnedServer{Server: s.Server, Since: s.Since, Spare: -1, Total: s.Total,
			Wait: s.Wait * fade(waitHalf), Shed: s.Shed * fade(thinHalf)}
		if fade(spareHalf) >= 0.5 { // free lines can't be scaled: they are known or not
			k.Spare = s.Spare
		}
		l.Servers = append(l.Servers, k)
	}
	return l, doubt, true
}

// sound tells whether every value is one that can have been learned: a damaged or foreign memory must not get in.
func sound(l control.Learned) bool {
	fits := func(least, most float64, values ...float64) bool {
		for _, v := range values {
			if !(v >= least && v <= most) { // also what is no number
				return false
			}
		}
		return true
	}
	const minute, many = 60e6, 1e6
	if !fits(0, minute, l.BaseDelay) || !fits(0, 1, l.LossRate) || !fits(0, many, l.BestRate) || !fits(0, many, l.WorthMix...) {
		return false
	}
	for _, s := range l.Servers {
		if !fits(0, minute, s.Wait) || !fits(0, 1, s.Shed) || !fits(-1, many, s.Spare) || !fits(0, many, s.Total) {
			return false
		}
	}
	return true
}
