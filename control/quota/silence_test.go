package quota

import (
	"testing"

	"github.com/stretchr/testify/require"

	"beammux/control"
)

// A gap of 80 ms in a load of 100 calls per second, as when the process or its callers are briefly delayed, does not reduce a
// member's share of a limit in mode Near. A reduced claim would be unavailable for SettleTime or longer. The share of a member
// whose demand has ended is still released.
func TestShortSilenceKeepsShare(t *testing.T) {
	const step, seconds = control.Micros(10_000), 10
	now := control.Micros(1e6)
	limits := Limits{Rules: []Rule{{Name: "all", Tenant: -1, Class: -1, Prefix: true, Mode: Near, PerS: 20, Burst: 12}}, Parts: 2}
	a, b := NewMember("a", 1, limits, now), NewMember("b", 1, limits, now)
	admitted := map[*Member]int{}
	offerCall := func(m *Member) {
		m.CountArrival(now, -1, 0, "x")
		if c, ok, _ := m.Take(now, -1, 0, "x"); ok {
			m.Done(c)
			admitted[m]++
		}
	}
	run := func(seconds int, paused func(inSecond control.Micros) bool) {
		for end := now + control.Micros(seconds)*1e6; now < end; now += step {
			inSecond := now % 1e6
			if !paused(inSecond) {
				offerCall(a)
			}
			offerCall(b)
			if inSecond%(SettleTime/10) == 0 {
				claimsOfA, claimsOfB := a.OwnClaims(now), b.OwnClaims(now)
				a.ApplyReports(now, []Report{{Origin: "b", Claims: claimsOfB}})
				b.ApplyReports(now, []Report{{Origin: "a", Claims: claimsOfA}})
			}
		}
	}
	run(3, func(control.Micros) bool { return false })
	clear(admitted)
	run(seconds, func(inSecond control.Micros) bool { return inSecond > 420_000 && inSecond <= 500_000 })
	require.Greater(t, admitted[a], 9*seconds, "the share is 10 per second")
	require.Greater(t, admitted[b], 9*seconds)

	run(2, func(control.Micros) bool { return true })
	clear(admitted)
	run(1, func(control.Micros) bool { return true })
	require.Greater(t, admitted[b], 18, "the demand at a has ended")
}
