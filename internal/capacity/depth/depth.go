// Package depth calculates how a call behaves that passes through a chain of services: how far retries multiply from level to
// level, and how much time each level has. It does no I/O and reads no clock.
//
// A level is one service with its gatekeepers. Level 1 is next to the first caller; the call ends at the last level. The
// formulas hold for levels with the same settings that decide independently of each other, which is the worst case.
package depth

import (
	"math"
	"time"
)

// Levels is the number of levels of a call at the planned size.
const Levels = 19

// Amplification is the number of set-ups that reach the last level for one call if all of them fail there, for several retry
// policies.
type Amplification struct {
	Levels       int     `json:"levels"`
	Unbounded    float64 `json:"unbounded"`     // each level makes all its attempts
	Budgeted     float64 `json:"budgeted"`      // each level retries within a budget, a fraction of its first attempts
	Nearest      float64 `json:"nearest"`       // only the level next to the failure retries, without a budget
	NearestRatio float64 `json:"nearest_ratio"` // only that level retries, within its budget
}

// Amplify calculates the amplification for a number of attempts, including the first, and a retry budget. ratio is the maximum
// number of retries as a fraction of the first attempts.
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

// MaxAttempts returns the number of set-ups that one level sends for a call that fails each time, which is at least 1.
func MaxAttempts(attempts int) float64 { return float64(max(1, attempts)) }

// BudgetedAttempts returns the maximum number of set-ups that one level sends for each call on average under a retry budget:
// 1 + ratio, limited to its attempts.
func BudgetedAttempts(attempts int, ratio float64) float64 {
	return min(MaxAttempts(attempts), 1+max(0, ratio))
}

// RatioFor returns the ratio of the retry budgets with which the amplification at the last level is maxAmplification:
// maxAmplification^(1/levels) - 1.
func RatioFor(levels int, maxAmplification float64) float64 {
	if levels <= 0 || maxAmplification <= 1 {
		return 0
	}
	return math.Pow(maxAmplification, 1/float64(levels)) - 1
}

// DeadlinePropagation is the way in which a level passes a deadline to the level below.
type DeadlinePropagation uint8

// Ways of deadline propagation.
const (
	RemainingMilliseconds DeadlinePropagation = iota // the remaining time in milliseconds, rounded down
	RemainingSeconds                                 // the remaining time in seconds, rounded up, as in the header Expires (RFC 3261, 20.19)
	ClassDeadline                                    // the full deadline of the class at each level
)

// Level is the time that one level has when a call arrives there.
type Level struct {
	Level     int           `json:"level"`
	Assumed   time.Duration `json:"told_ns"` // remaining time according to the deadline that the level received
	Remaining time.Duration `json:"left_ns"` // time until the deadline of the first caller; 0 or less if that has passed
	Wasted    bool          `json:"in_vain"` // the level works on the call after the deadline of the first caller
}

// Deadlines returns the times that the levels have for one call. Each level spends the time spent before it calls the next one.
// deadline is the deadline of the first caller, and for ClassDeadline also that of each level.
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

// FirstWasted returns the first level that works on the call after the deadline of the first caller, or 0 if there is none.
func FirstWasted(all []Level) int {
	for _, l := range all {
		if l.Wasted {
			return l.Level
		}
	}
	return 0
}

// AttemptTimes returns the time of one attempt at each level if every level divides its time evenly among its attempts, so that
// the last attempt has as much time as the first: deadline / attempts^level.
func AttemptTimes(levels, attempts int, deadline time.Duration) []time.Duration {
	all := make([]time.Duration, 0, max(0, levels))
	for level := 1; level <= levels; level++ {
		all = append(all, time.Duration(float64(deadline)/math.Pow(MaxAttempts(attempts), float64(level))))
	}
	return all
}
