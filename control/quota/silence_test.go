package quota

import (
	"testing"

	"github.com/stretchr/testify/require"

	"beammux/control"
)

// A pause of 80 ms in what 100 calls a second bring to a member, as where it or its callers are held up for a moment, costs
// it no share of a near limit: its claim would be gone for SettleTime and more. Demand that has ended is let go all the same.
func TestShortSilenceKeepsTheShare(t *testing.T) {
	const step, seconds = control.Micros(10_000), 10
	now := control.Micros(1e6)
	limits := Limits{Rules: []Rule{{Name: "all", Tenant: -1, Class: -1, Prefix: true, Mode: Near, PerS: 20, Burst: 12}}, Parts: 2}
	a, b := NewMember("a", 1, limits, now), NewMember("b", 1, limits, now)
	taken := map[*Member]int{}
	call := func(m *Member) {
		m.CountArrival(now, -1, 0, "x")
		if c, ok, _ := m.Take(now, -1, 0, "x"); ok {
			m.Done(c)
			taken[m]++
		}
	}
	run := func(seconds int, paused func(inSecond control.Micros) bool) {
		for end := now + control.Micros(seconds)*1e6; now < end; now += step {
			inSecond := now % 1e6
			if !paused(inSecond) {
				call(a)
			}
			call(b)
			if inSecond%(SettleTime/10) == 0 {
				ofA, ofB := a.OwnClaims(now), b.OwnClaims(now)
				a.ApplyReports(now, []Report{{Origin: "b", Claims: ofB}})
				b.ApplyReports(now, []Report{{Origin: "a", Claims: ofA}})
			}
		}
	}
	run(3, func(control.Micros) bool { return false })
	clear(taken)
	run(seconds, func(inSecond control.Micros) bool { return inSecond > 420_000 && inSecond <= 500_000 })
	require.Greater(t, taken[a], 9*seconds, "of 10 a second")
	require.Greater(t, taken[b], 9*seconds)

	run(2, func(control.Micros) bool { return true })
	clear(taken)
	run(1, func(control.Micros) bool { return true })
	require.Greater(t, taken[b], 18, "a wants nothing any more")
}
