// Package depth calculates what happens to a call that passes many levels of services one below the other: how far repeats
// multiply, and what time each level has. It is pure: no I/O, no clock.
//
// A level is one service with its gatekeepers. Level 1 is next to the first caller; at the last level the call ends. The
// formulas hold for levels that decide alike and independently of each other, which is the worst case.
package depth

import (
	"math"
	"time"
)

// Levels is how deep a call of the planned size goes.
const Levels = 19

// Amplification tells how many set-ups reach the last of so many levels for one call, when all of them fail there.
type Amplification struct {
	Levels       int     `json:"levels"`
	Unbounded    float64 `json:"unbounded"`     // each level makes all of its attempts
	Budgeted     float64 `json:"budgeted"`      // each level repeats at most a part of its first attempts
	Nearest      float64 `json:"nearest"`       // only the level next to the failure repeats, without a budget
	NearestRatio float64 `json:"nearest_ratio"` // only that level repeats, within its budget
}

// Amplify calculates the amplification for a number of attempts, the first included, and a retry budget that lets repeats be a
// part ratio of the first attempts.
func Amplify(levels, attempts int, ratio float64) Amplification {
	a := Amplification{Levels: levels, Unbounded: 1, Budgeted: 1, Nearest: 1, NearestRatio: 1}
	if levels <= 0 {
		return a
	}
	perLevel, budgeted := MaxAttempts(attempts), BudgetedAttempts(attempts, ratio)
	a.Unbounded = math.Pow(perLevel, float64(levels))
	a.Budgeted = math.Pow(budgeted, float64(levels))
	a.Nearest, a.NearestRatio = perLevel, budgeted
	return a
}

// MaxAttempts is what one level sends for one call that fails each time.
func MaxAttempts(attempts int) float64 { return float64(max(1, attempts)) }

// BudgetedAttempts is what one level sends at most for each call, on average, under a budget: 1 + ratio, and no more than its
// attempts.
func BudgetedAttempts(attempts int, ratio float64) float64 {
	return min(MaxAttempts(attempts), 1+max(0, ratio))
}

// RatioFor gives the ratio with which so many levels together amplify by most at the last: most^(1/levels) - 1.
func RatioFor(levels int, maxAmplification float64) float64 {
	if levels <= 0 || maxAmplification <= 1 {
		return 0
	}
	return math.Pow(maxAmplification, 1/float64(levels)) - 1
}

// DeadlinePropagation says how a level tells the time that it has to the level below.
type DeadlinePropagation uint8

// The ways.
const (
	RemainingMilliseconds DeadlinePropagation = iota // what is left of the own time, in whole milliseconds, rounded down
	RemainingSeconds                                 // the same in whole seconds, rounded up, as the header Expires (RFC 3261, 20.19)
	ClassDeadline                                    // the deadline of the class anew
)

// Level is what one level has when a call arrives there.
type Level struct {
	Level     int           `json:"level"`
	Assumed   time.Duration `json:"told_ns"` // time that the level takes itself to have
	Remaining time.Duration `json:"left_ns"` // time that the first caller really waits on; not positive: nobody waits any more
	Wasted    bool          `json:"in_vain"` // the level works although nobody waits
}

// Deadlines follows one call down. spent passes at each level before it calls the next. deadline is that of the first caller,
// and where deadlines are renewed also that of each level.
func Deadlines(levels int, deadline, spent time.Duration, propagation DeadlinePropagation) []Level {
	all := make([]Level, 0, max(0, levels))
	assumed, remaining := deadline, deadline
	for i := range levels {
		all = append(all, Level{Level: i + 1, Assumed: assumed, Remaining: remaining, Wasted: assumed > 0 && remaining <= 0})
		remaining -= spent
		switch propagation {
		case RemainingMilliseconds:
			assumed = max(0, assumed-spent).Truncate(time.Millisecond)
		case RemainingSeconds:
			assumed = (max(0, assumed-spent) + time.Second - 1).Truncate(time.Second)
		}
	}
	return all
}

// FirstWasted gives the first level that works although nobody waits; 0 where there is none.
func FirstWasted(all []Level) int {
	for _, l := range all {
		if l.Wasted {
			return l.Level
		}
	}
	return 0
}

// AttemptTimes gives the time of one attempt at each level if every level divides its time evenly over its attempts, so that
// the last of them still has as much as the first: deadline / attempts^level.
func AttemptTimes(levels, attempts int, deadline time.Duration) []time.Duration {
	all := make([]time.Duration, 0, max(0, levels))
	for level := 1; level <= levels; level++ {
		all = append(all, time.Duration(float64(deadline)/math.Pow(MaxAttempts(attempts), float64(level))))
	}
	return all
}
