package store

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// What sessions report at any control machine is in the counts that every one of them sends: who holds the newest change of
// its own prefixes, who is behind and for how long, who has refused it.
func TestFleetCounts(t *testing.T) {
	g := newControlGroup(t, 3, 1, nil)
	first := g.putAll("settings/all/calls", "1")
	var sessions []*client
	for i := range 4 {
		zone := fmt.Sprint("z", i%2)
		c := watchSession(t, g.address(i), WatchRequest{Prefixes: []string{"settings/all/", "settings/zone/" + zone + "/"},
			Session: SessionInfo{Name: fmt.Sprint("g", i), Zone: zone, Region: "r", Service: "s"}})
		require.Equal(t, first, c.next(Snapshot).Revision)
		c.reports <- WatchReport{InForce: first}
		sessions = append(sessions, c)
	}
	counted := func(want FleetCounts) (last FleetCounts) {
		t.Helper()
		for _, c := range sessions { // each control machine tells the same
			c.until(func(e WatchEvent) bool {
				if e.Fleet == nil || e.Fleet.OldestBehind < want.OldestBehind {
					return false
				}
				last = *e.Fleet
				got, counts := last, want
				got.OldestBehind, counts.OldestBehind = 0, 0
				return got == counts
			})
		}
		return last
	}
	counted(FleetCounts{Revision: first, Sessions: 4, Holding: 4, Replicas: 4})

	// Only the sessions of one zone have to follow this; one of them refuses it, the other is silent for a while.
	writtenAt := time.Now()
	second := g.putAll("settings/zone/z1/calls", "2")
	for _, i := range []int{1, 3} {
		require.Equal(t, second, sessions[i].next(Change).Revision)
	}
	sessions[1].reports <- WatchReport{InForce: first, Refused: second, Fault: "calls.json:1:2: rate: not a number"}
	counted(FleetCounts{Revision: second, Sessions: 4, Holding: 2, Behind: 1, Refused: 1, Replicas: 4})
	const behindFor = 300 * time.Millisecond
	fleet := counted(FleetCounts{Revision: second, Sessions: 4, Holding: 2, Behind: 1, Refused: 1, Replicas: 4, OldestBehind: behindFor})
	require.Less(t, fleet.OldestBehind, time.Since(writtenAt))

	listed, err := SessionsFrom(within(t), nil, g.address(1))
	require.NoError(t, err)
	require.Len(t, listed, 1)
	require.Equal(t, SessionInfo{"g1", "r", "z1", "s"}, listed[0].SessionInfo)
	require.Equal(t, WatchReport{first, second, "calls.json:1:2: rate: not a number"}, listed[0].Report)
	require.Equal(t, second, listed[0].Target)
	require.Equal(t, "c1", listed[0].Replica)
	require.WithinDuration(t, time.Now(), listed[0].Since, 30*time.Second)

	for _, i := range []int{1, 3} {
		sessions[i].reports <- WatchReport{InForce: second}
	}
	counted(FleetCounts{Revision: second, Sessions: 4, Holding: 4, Replicas: 4})
	sessions[0].leave()
	sessions = sessions[1:]
	counted(FleetCounts{Revision: second, Sessions: 3, Holding: 3, Replicas: 4})
}

// The sessions of a replica that lags are behind; those of one that can't be asked are in no count, and it is said.
func TestFleetCountsOfALaggingReplica(t *testing.T) {
	g := newControlGroup(t, 3, 1, nil)
	first := g.putAll("settings/a", "1")
	near, far := watchSession(t, g.address(0), WatchRequest{}), watchSession(t, g.address(3), WatchRequest{Session: SessionInfo{Name: "far"}})
	for _, c := range []*client{near, far} {
		require.Equal(t, first, c.next(Snapshot).Revision)
		c.reports <- WatchReport{InForce: first}
	}
	near.until(func(e WatchEvent) bool { return e.Fleet != nil && e.Fleet.Holding == 2 })
	g.cut(3, true)
	second := g.put("settings/a", "2")
	require.Equal(t, second, near.next(Change).Revision)
	near.reports <- WatchReport{InForce: second}
	e := near.until(func(e WatchEvent) bool { return e.Fleet.Unreachable == 1 && e.Fleet.Holding == 1 })
	require.Equal(t, 1, e.Fleet.Sessions)
	g.cut(3, false)
	require.Equal(t, second, far.next(Change).Revision)
	near.until(func(e WatchEvent) bool { return e.Fleet.Behind == 1 && e.Fleet.Sessions == 2 })
	far.reports <- WatchReport{InForce: second}
	near.until(func(e WatchEvent) bool { return e.Fleet.Holding == 2 && e.Fleet.Unreachable == 0 })
}

// Every session is in one count of the sum, and none of a replica that lacks the newest change holds it.
func TestSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var heard []counts
		sessions, newest := 0, uint64(0)
		for range rapid.IntRange(1, 5).Draw(t, "replicas") {
			n := rapid.IntRange(0, 3)
			c := counts{Applied: uint64(rapid.IntRange(1, 5).Draw(t, "applied")), Holding: n.Draw(t, "holding"), Behind: n.Draw(t, "behind"),
				Refused: n.Draw(t, "refused"), Age: time.Duration(n.Draw(t, "age"))}
			c.Changed = c.Applied - min(c.Applied, uint64(n.Draw(t, "quiet")))
			c.Sessions = c.Holding + c.Behind + c.Refused
			sessions, newest = sessions+c.Sessions, max(newest, c.Changed)
			heard = append(heard, c)
		}
		f := sum(heard, 2)
		require.Equal(t, sessions, f.Sessions)
		require.Equal(t, sessions, f.Holding+f.Behind+f.Refused)
		require.Equal(t, newest, f.Revision)
		require.Equal(t, len(heard), f.Replicas)
		require.Equal(t, 2, f.Unreachable)
		holding := 0
		for _, c := range heard {
			if c.Applied >= newest {
				holding += c.Holding
			} else if c.Holding > 0 {
				require.GreaterOrEqual(t, f.OldestBehind, c.Age)
			}
		}
		require.Equal(t, holding, f.Holding)
	})
}
