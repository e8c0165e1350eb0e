package depth_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/control"
	"beammux/control/retry"
	"beammux/internal/capacity/depth"
)

// Values of the platform's settings, and the ratio of the example's retry budget.
const (
	platformAttempts = 5
	platformDeadline = 9 * time.Second
	exampleRatio     = 0.2 // deploy/example/beammux.json
)

func TestAmplification(t *testing.T) {
	for _, row := range []struct {
		name             string
		levels, attempts int
		ratio            float64
		want             depth.Amplification
	}{
		{"no level", 0, 5, 0.2, depth.Amplification{Levels: 0, Unbounded: 1, Budgeted: 1, Nearest: 1, NearestRatio: 1}},
		{"one level", 1, 5, 0.2, depth.Amplification{Levels: 1, Unbounded: 5, Budgeted: 1.2, Nearest: 5, NearestRatio: 1.2}},
		{"three levels", 3, 4, 0.5, depth.Amplification{Levels: 3, Unbounded: 64, Budgeted: 3.375, Nearest: 4, NearestRatio: 1.5}},
		{"one attempt, so no retries within the budget", 19, 1, 0.2, depth.Amplification{Levels: 19, Unbounded: 1, Budgeted: 1, Nearest: 1, NearestRatio: 1}},
	} {
		t.Run(row.name, func(t *testing.T) {
			require.InDeltaMapValues(t, fields(row.want), fields(depth.Amplify(row.levels, row.attempts, row.ratio)), 1e-9)
		})
	}
	all := depth.Amplify(depth.Levels, platformAttempts, exampleRatio)
	require.Equal(t, 19073486328125.0, all.Unbounded) // 5^19
	require.InDelta(t, 31.948, all.Budgeted, 1e-3)    // 1.2^19
	require.Equal(t, 5.0, all.Nearest)
	require.InDelta(t, 6.1159, depth.Amplify(depth.Levels, platformAttempts, 0.1).Budgeted, 1e-4)
	require.InDelta(t, 2, math.Pow(1+depth.RatioFor(depth.Levels, 2), depth.Levels), 1e-9)
	require.InDelta(t, 0.0371, depth.RatioFor(depth.Levels, 2), 1e-4)
}

func fields(a depth.Amplification) map[string]float64 {
	return map[string]float64{"levels": float64(a.Levels), "unbounded": a.Unbounded, "budgeted": a.Budgeted, "nearest": a.Nearest,
		"nearest ratio": a.NearestRatio}
}

// Without a file of limits, each level makes as many attempts as the settings allow for a call that fails each time, since a level
// cannot know that the failure came from a level below that has retried it.
func TestEachLevelRetries(t *testing.T) {
	settings := control.Settings{Gatekeepers: 1, Position: -1, OwnCell: -1, AttemptsCap: platformAttempts,
		Classes: []control.Class{{LatencyTarget: 1500000, Deadline: 9000000, Worth: 1, Repeat: control.Idempotent}}}
	require.Equal(t, platformAttempts, setUpsAtLastLevel(t, settings, 1))
	require.Equal(t, platformAttempts*platformAttempts, setUpsAtLastLevel(t, settings, 2))
	require.Equal(t, platformAttempts*platformAttempts*platformAttempts, setUpsAtLastLevel(t, settings, 3))
	require.True(t, control.Retryable.Has(control.Failed))
}

// With a retry budget each level sends up to 1 + ratio set-ups for each call, as Amplify assumes.
func TestBudgetBoundsOneLevel(t *testing.T) {
	const warmUpCalls, calls = 20000, 60000 // 1 ms apart: the budget's window of 10 s is full after the warm-up
	budget := retry.NewBudget(retry.BudgetConfig{Ratio: exampleRatio, MinPerS: 1, Burst: 10}, make([]control.Class, 1))
	sent := 0
	for i := range warmUpCalls + calls {
		if i == warmUpCalls {
			sent = 0
		}
		now := control.Micros(i * 1000)
		budget.First(now, 0)
		sent++
		for range platformAttempts - 1 {
			if !budget.Take(now, 0) {
				break
			}
			sent++
		}
	}
	maxAttempts := depth.BudgetedAttempts(platformAttempts, exampleRatio)
	require.LessOrEqual(t, float64(sent)/calls, maxAttempts)
	require.InDelta(t, maxAttempts, float64(sent)/calls, 0.02) // the newest second of the window is not full
}

// setUpsAtLastLevel runs one call through levels of controllers, each with servers that call the level below. At the last level every
// attempt fails, and each level answers a failed call with an error. It returns the number of set-ups at the last level.
func setUpsAtLastLevel(t *testing.T, settings control.Settings, levels int) (setUps int) {
	t.Helper()
	const servers = platformAttempts + 1
	controller := control.New(settings, uint64(levels))
	now := control.Micros(1e6)
	controller.Handle(now, control.Start{})
	list := control.List{}
	for i := range servers {
		list.Entries = append(list.Entries, control.Entry{Server: uint32(i + 1), Cell: i, State: control.Ready})
	}
	controller.Handle(now, list)
	queue := append([]control.Action{}, controller.Handle(now, control.Call{ID: fmt.Sprint(levels), Deadline: now + 9e6})...)
	for attempt := 0; len(queue) > 0; {
		action := queue[0]
		queue = queue[1:]
		if action.Kind != control.Send {
			continue
		}
		if levels == 1 {
			setUps++
		} else {
			setUps += setUpsAtLastLevel(t, settings, levels-1)
		}
		now += 1000
		queue = append(queue, controller.Handle(now, control.AttemptEnded{ID: action.ID, Attempt: attempt, Server: action.Server, Code: control.Failed, Elapsed: 1000})...)
		attempt++
	}
	return setUps
}

func TestDeadlines(t *testing.T) {
	milliseconds := depth.Deadlines(depth.Levels, platformDeadline, 100*time.Millisecond, depth.RemainingMilliseconds)
	require.Len(t, milliseconds, depth.Levels)
	require.Equal(t, platformDeadline, milliseconds[0].Assumed)
	require.Equal(t, 7200*time.Millisecond, milliseconds[18].Assumed)
	require.Equal(t, milliseconds[18].Remaining, milliseconds[18].Assumed)
	require.Zero(t, depth.FirstWasted(milliseconds))

	// Each level loses a fraction of a millisecond to rounding.
	truncated := depth.Deadlines(depth.Levels, platformDeadline, 430*time.Microsecond, depth.RemainingMilliseconds)
	require.Equal(t, 18*(time.Millisecond-430*time.Microsecond), truncated[18].Remaining-truncated[18].Assumed)

	// Whole seconds rounded up, as in Expires: the assumed time does not decrease unless a level spends a second.
	seconds := depth.Deadlines(depth.Levels, platformDeadline, 600*time.Millisecond, depth.RemainingSeconds)
	require.Equal(t, platformDeadline, seconds[18].Assumed)
	require.Equal(t, 16, depth.FirstWasted(seconds))
	require.Equal(t, 7*time.Second, depth.Deadlines(2, platformDeadline, 2500*time.Millisecond, depth.RemainingSeconds)[1].Assumed)

	slow := depth.Deadlines(depth.Levels, platformDeadline, time.Second, depth.RemainingMilliseconds)
	require.Zero(t, depth.FirstWasted(slow))
	require.Zero(t, slow[9].Assumed)

	renewed := depth.Deadlines(depth.Levels, platformDeadline, time.Second, depth.ClassDeadline)
	require.Equal(t, 10, depth.FirstWasted(renewed))
	require.Equal(t, platformDeadline, renewed[18].Assumed)
	require.Equal(t, -9*time.Second, renewed[18].Remaining)
}

func TestAttemptTimes(t *testing.T) {
	times := depth.AttemptTimes(depth.Levels, 2, platformDeadline)
	require.Equal(t, 4500*time.Millisecond, times[0])
	require.InDelta(t, 17166, times[18].Nanoseconds(), 1) // 9 s / 2^19
	require.Equal(t, platformDeadline, depth.AttemptTimes(1, 1, platformDeadline)[0])
}
