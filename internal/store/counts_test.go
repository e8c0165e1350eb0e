package store

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Every control machine sends the same counts, which cover the reports of the sessions of all of them: sessions that hold the
// newest change under their own prefixes, are behind (and for how long), or have refused it.
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
	waitForCounts := func(want FleetCounts) (last FleetCounts) {
		t.Helper()
		for _, c := range sessions { // each control machine sends the same counts
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
	waitForCounts(FleetCounts{Revision: first, Sessions: 4, Holding: 4, Replicas: 4})

	// This change concerns only the sessions of one zone: one of them refuses it, the other does not report for a while.
	writtenAt := time.Now()
	second := g.putAll("settings/zone/z1/calls", "2")
	for _, i := range []int{1, 3} {
		require.Equal(t, second, sessions[i].next(Change).Revision)
	}
	sessions[1].reports <- WatchReport{InForce: first, Refused: second, Fault: "calls.json:1:2: rate: not a number"}
	waitForCounts(FleetCounts{Revision: second, Sessions: 4, Holding: 2, Behind: 1, Refused: 1, Replicas: 4})
	const behindFor = 300 * time.Millisecond
	fleet := waitForCounts(FleetCounts{Revision: second, Sessions: 4, Holding: 2, Behind: 1, Refused: 1, Replicas: 4, OldestBehind: behindFor})
	require.Less(t, fleet.OldestBehind, time.Since(writtenAt))

	listed, err := SessionsFrom(testContext(t), nil, g.address(1))
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
	waitForCounts(FleetCounts{Revision: second, Sessions: 4, Holding: 4, Replicas: 4})
	sessions[0].leave()
	sessions = sessions[1:]
	waitForCounts(FleetCounts{Revision: second, Sessions: 3, Holding: 3, Replicas: 4})
}

// Sessions of a lagging replica count as behind. Sessions of an unreachable replica are not counted, and the replica is
// reported as unheard.
func TestFleetCountsOfLaggingReplica(t *testing.T) {
	g := newControlGroup(t, 3, 1, nil)
	first := g.putAll("settings/a", "1")
	near, far := watchSession(t, g.address(0), WatchRequest{}), watchSession(t, g.address(3), WatchRequest{Session: SessionInfo{Name: "far"}})
	for _, c := range []*client{near, far} {
		require.Equal(t, first, c.next(Snapshot).Revision)
		c.reports <- WatchReport{InForce: first}
	}
	near.until(func(e WatchEvent) bool { return e.Fleet != nil && e.Fleet.Holding == 2 })
	g.disconnect(3, true)
	second := g.put("settings/a", "2")
	require.Equal(t, second, near.next(Change).Revision)
	near.reports <- WatchReport{InForce: second}
	e := near.until(func(e WatchEvent) bool { return e.Fleet.Unreachable == 1 && e.Fleet.Holding == 1 })
	require.Equal(t, 1, e.Fleet.Sessions)
	g.disconnect(3, false)
	require.Equal(t, second, far.next(Change).Revision)
	near.until(func(e WatchEvent) bool { return e.Fleet.Behind == 1 && e.Fleet.Sessions == 2 })
	far.reports <- WatchReport{InForce: second}
	near.until(func(e WatchEvent) bool { return e.Fleet.Holding == 2 && e.Fleet.Unreachable == 0 })
}

// Every session is in exactly one count of the sum, and no session of a replica that lacks the newest change is holding.
func TestSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var received []counts
		sessions, newest := 0, uint64(0)
		for range rapid.IntRange(1, 5).Draw(t, "replicas") {
			n := rapid.IntRange(0, 3)
			c := counts{Applied: uint64(rapid.IntRange(1, 5).Draw(t, "applied")), Holding: n.Draw(t, "holding"), Behind: n.Draw(t, "behind"),
				Refused: n.Draw(t, "refused"), Age: time.Duration(n.Draw(t, "age"))}
			c.Changed = c.Applied - min(c.Applied, uint64(n.Draw(t, "quiet")))
			c.Sessions = c.Holding + c.Behind + c.Refused
			sessions, newest = sessions+c.Sessions, max(newest, c.Changed)
			received = append(received, c)
		}
		f := sumCounts(received, 2)
		require.Equal(t, sessions, f.Sessions)
		require.Equal(t, sessions, f.Holding+f.Behind+f.Refused)
		require.Equal(t, newest, f.Revision)
		require.Equal(t, len(received), f.Replicas)
		require.Equal(t, 2, f.Unreachable)
		holding := 0
		for _, c := range received {
			if c.Applied >= newest {
				holding += c.Holding
			} else if c.Holding > 0 {
				require.GreaterOrEqual(t, f.OldestBehind, c.Age)
			}
		}
		require.Equal(t, holding, f.Holding)
	})
}
