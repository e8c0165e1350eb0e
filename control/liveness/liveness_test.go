package liveness

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"beammux/control"
)

const second control.Micros = 1_000_000

// endLimit is the time in which the calls of a vanished server must be released.
const endLimit = 8 * second

// Guards against a silent server that is detected too late: for any intervals of its messages it is suspected and
// then lost in time, and lost only once.
func TestSilenceIsDetectedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Detector
		now := control.Micros(0)
		lastTick := now
		tickUntil := func(end control.Micros) (statuses []Status) {
			for lastTick+TickInterval <= end {
				lastTick += TickInterval
				statuses = append(statuses, d.Tick(lastTick))
			}
			return statuses
		}
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			now += control.Micros(rapid.Int64Range(0, int64(5*second)).Draw(t, "gap"))
			require.NotContains(t, tickUntil(now), Lost, "a server that sends every 5 s")
			d.Heard(now)
		}
		statuses := tickUntil(now + endLimit)
		require.Contains(t, statuses, Suspect)
		lost := 0
		for _, s := range statuses {
			if s == Lost {
				lost++
			}
		}
		require.Equal(t, 1, lost)
		require.Equal(t, Unknown, statuses[len(statuses)-1])
	})
}

// Guards against a server that is taken for lost after this process was stalled: what it sent meanwhile is still unread.
func TestStallOfTheProcessIsNoSilence(t *testing.T) {
	var d Detector
	d.Heard(0)
	require.Equal(t, Alive, d.Tick(TickInterval))
	require.Equal(t, Alive, d.Tick(20*second))
	d.Heard(20*second + 1)
	require.Equal(t, Alive, d.Tick(20*second+TickInterval))
}

// Guards against checks of a server that is only slow to report: silence is measured against its usual intervals.
func TestUsualIntervalIsNotSuspect(t *testing.T) {
	var d Detector
	const interval = 19 * second / 10
	for now := control.Micros(0); now < 60*second; now += TickInterval / 5 {
		if now%interval == 0 {
			d.Heard(now)
		}
		if now%TickInterval == 0 && now > 3*interval {
			require.Equal(t, Alive, d.Tick(now), "at %d", now)
		} else if now%TickInterval == 0 {
			d.Tick(now)
		}
	}
}
