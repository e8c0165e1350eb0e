package fleetlab

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/control/quota"
	"beammux/internal/fleetcheck"
	"beammux/internal/history"
	"beammux/internal/record"
)

// admissions returns the times at which each gatekeeper admitted calls, from its records, in order.
func admissions(t require.TestingT, sum *Summary) map[string][]time.Time {
	r, err := record.NewReader(sum.Dir + "/records")
	require.NoError(t, err)
	defer r.Close()
	all := map[string][]time.Time{}
	for {
		item, err := r.Next()
		if err != nil {
			break
		}
		if e := item.Event; e != nil && e.Kind == history.Admitted {
			all[e.Node] = append(all[e.Node], time.UnixMicro(int64(e.At)))
		}
	}
	return all
}

// countBetween counts the admissions in [from, to), in seconds of the run, at the named gatekeepers or, if none is named, at all.
func countBetween(sum *Summary, all map[string][]time.Time, from, to float64, names ...string) (n int) {
	began := time.UnixMicro(int64(sum.Faults[0].From)).Add(-firstFaultAt)
	for name, times := range all {
		if len(names) > 0 && !slices.Contains(names, name) {
			continue
		}
		for _, at := range times {
			if s := at.Sub(began).Seconds(); s >= from && s < to {
				n++
			}
		}
	}
	return n
}

// maxWindowDelay is the longest time, in seconds, by which an observation window is delayed if the machine delayed the recovery
// of the fleet. Scripts run that much longer.
const maxWindowDelay = 3.0

// windowStart returns when the observation of the fleet after its first fault begins, in seconds of the run: at from or, if the
// machine disturbed the run, when all views contain all members again and claims can have grown since. Until then a missing
// member is assumed to claim without bound (control/quota/near.go), so the others rightly get less. How late a process is
// ready and joins again is not what these tests check. It takes SettleTime until a published claim may be used, and GrowTime
// until a claim has grown to the limit.
func windowStart(sum *Summary, from float64) float64 {
	first := sum.Faults[0]
	if sum.Disturbance.Count == 0 || first.AgreedAt == 0 {
		return from
	}
	at := firstFaultAt.Seconds() + float64(first.AgreedAt-first.From+quota.SettleTime+quota.GrowTime)/1e6
	return min(max(from, at), from+maxWindowDelay)
}

// firstFaultAt is the time of the first fault in the scripts of these tests.
const firstFaultAt = 6 * time.Second

// limitedFleet returns the script keys of a fleet with a shared limit in the given mode.
func limitedFleet(mode string, members int) string {
	return fmt.Sprintf("gatekeepers: 6\nservers: 6\nzones: 2\nstore_members: %d\nfleet: true\nlimits: {mode: %s, per_s: 20, burst: 12}\n", members, mode)
}

// Shared limits under faults, each case with real processes. RuleLimit checks that the limit held over every window; the cases
// check that the fault had an effect and that the available limit was used.
func TestFleetLimits(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes for some seconds")
	}
	program(t)
	perS := 20.0
	for _, mode := range []string{"leased", "near"} {
		t.Run(mode+", all load moves to the other half", func(t *testing.T) {
			t.Parallel()
			requireHeld(t, limitedFleet(mode, 3)+"length: 18s\nhomes:\n  - {at: 0s, to: g1+g3+g5}\n  - {at: 9s, to: g2+g4+g6}\n"+
				"faults:\n  - {at: 6s, for: 1s, fault: delay, from: gatekeepers, to: gatekeepers, delay: 30ms, jitter: 10ms}\n", func(t *trial, sum *Summary) {
				require.Len(t, sum.Limit.ServedAfter, 1)
				require.Greater(t, sum.Limit.ServedAfter[0], 0.0)
				require.Less(t, sum.Limit.ServedAfter[0], 3.0)
				require.Greater(t, sum.Limit.Used, 0.75)
			})
		})
		t.Run(mode+", a holder of most of the limit is killed", func(t *testing.T) {
			t.Parallel()
			requireHeld(t, limitedFleet(mode, 3)+"length: 20s\nhomes:\n  - {at: 0s, to: g5}\n  - {at: 6s, to: g4+g6}\n"+
				"faults:\n  - {at: 6s, for: 3s, fault: kill, target: g5}\n", func(t *trial, sum *Summary) {
				all := admissions(t, sum)
				require.Greater(t, countBetween(sum, all, 3, 6, "g5"), int(0.7*3*perS), "g5 used most of the limit before it was killed")
				from := windowStart(sum, 11)
				require.Greater(t, countBetween(sum, all, from, from+5, "g4", "g6"), int(0.8*5*perS), "the others use the limit after the kill")
			})
		})
		t.Run(mode+", paused for longer than its lease and resumed", func(t *testing.T) {
			t.Parallel()
			requireHeld(t, limitedFleet(mode, 3)+"length: 19s\nhomes:\n  - {at: 0s, to: g5}\n  - {at: 6s, to: g4+g5}\n"+
				"faults:\n  - {at: 6s, for: 4s, fault: pause, target: g5}\n", func(t *trial, sum *Summary) {
				all := admissions(t, sum)
				require.LessOrEqual(t, countBetween(sum, all, 6.3, 9.9, "g5"), 1, "g5 admits nothing while paused")
				require.Greater(t, countBetween(sum, all, 8, 10, "g4"), int(0.5*2*perS/6), "g4 has at least its own share")
				from := windowStart(sum, 12)
				require.Greater(t, countBetween(sum, all, from, from+4), int(0.75*4*perS), "both use the whole limit again")
			})
		})
	}
	t.Run("gatekeepers that do not share a limit are detected", func(t *testing.T) {
		t.Parallel()
		requireHeld(t, limitedFleet("alone", 0)+"length: 8s\nfaults: []\n", func(t *trial, sum *Summary) {
			shared, err := Check(sum.Dir, fleetcheck.NewLimit(perS, 12, 0, nil, 0))
			require.NoError(t, err)
			require.Equal(t.always(), fleetcheck.RuleLimit, shared.Rule)
		})
	})
	t.Run("the store's leader is killed while leases are granted", func(t *testing.T) {
		t.Parallel()
		// One of the three is the leader; each is killed in turn.
		requireHeld(t, limitedFleet("leased", 3)+"length: 20s\nhomes:\n  - {at: 0s, to: g4+g5+g6}\nfaults:\n  - {at: 6s, for: 2s, fault: kill, target: g1}\n"+
			"  - {at: 10s, for: 2s, fault: kill, target: g2}\n  - {at: 14s, for: 2s, fault: kill, target: g3}\n", func(t *trial, sum *Summary) {
			require.Greater(t, countBetween(sum, admissions(t, sum), 6, 20), int(0.6*14*perS), "leases stayed valid or were granted again")
			elections := 0
			for _, name := range []string{"g1", "g2", "g3"} {
				elections += strings.Count(log(t, sum, name), "heartbeat timeout reached")
			}
			require.Greater(t, elections, 0, "the leader was never killed")
		})
	})
	t.Run("the store has no majority for 20 s", func(t *testing.T) {
		t.Parallel()
		requireHeld(t, limitedFleet("leased", 3)+"length: 35s\nhomes:\n  - {at: 0s, to: g4+g5+g6}\nfaults:\n  - {at: 6s, for: 20s, fault: kill, target: g1+g2}\n", func(t *trial, sum *Summary) {
			all := admissions(t, sum)
			require.Less(t.always(), countBetween(sum, all, 9, 26), int(0.1*17*perS), "only the floor without leases")
			require.Greater(t, countBetween(sum, all, 3, 6), int(0.7*3*perS))
			from := windowStart(sum, 29)
			require.Greater(t, countBetween(sum, all, from, from+3), int(0.6*3*perS), "leases are granted again")
			require.Contains(t, log(t, sum, "g5"), "see whether the store has a leader", "the log advises the operator")
		})
	})
	t.Run("gatekeepers are cut off from the store", func(t *testing.T) {
		t.Parallel()
		requireHeld(t, limitedFleet("leased", 3)+"length: 21s\nhomes:\n  - {at: 0s, to: g4+g5+g6}\nfaults:\n  - {at: 6s, for: 6s, fault: partition, from: g4+g5, to: g1+g2+g3}\n", func(t *trial, sum *Summary) {
			all := admissions(t, sum)
			require.LessOrEqual(t.always(), countBetween(sum, all, 8, 12, "g4", "g5"), int(0.02*4*perS)+2, "only the floor without leases")
			require.Greater(t, countBetween(sum, all, 9, 12, "g6"), int(0.7*3*perS), "the gatekeeper that is not cut off has the rest")
			from := windowStart(sum, 15)
			require.Greater(t, countBetween(sum, all, from, from+3, "g4", "g5"), int(0.3*3*perS), "they are back after the partition")
		})
	})
	t.Run("near, gatekeepers are cut off from each other", func(t *testing.T) {
		t.Parallel()
		requireHeld(t, limitedFleet("near", 0)+"length: 23s\nhomes:\n  - {at: 0s, to: g4+g5+g6}\nfaults:\n  - {at: 6s, for: 7s, fault: partition, from: g4, to: g1+g2+g3+g5+g6}\n"+
			"  - {at: 7s, for: 5s, fault: loss, from: gatekeepers, to: gatekeepers, part: 0.3}\n", func(t *trial, sum *Summary) {
			all := admissions(t, sum)
			n := countBetween(sum, all, 9, 13, "g4")
			require.LessOrEqual(t.always(), n, int(4*perS/6)+3, "g4 uses its share of the limit, not all of it")
			require.Greater(t, n, int(0.5*4*perS/6), "g4 uses its share")
			from := windowStart(sum, 16)
			require.Greater(t, countBetween(sum, all, from, from+4), int(0.75*4*perS))
		})
	})
	for _, mode := range []string{"leased", "near"} {
		t.Run(mode+", all killed at once, and the limit halved", func(t *testing.T) {
			t.Parallel()
			requireHeld(t, limitedFleet(mode, 3)+"length: 29s\nhomes:\n  - {at: 0s, to: g4+g5+g6}\nfaults:\n  - {at: 6s, for: 500ms, fault: kill, target: gatekeepers, state: same}\n"+
				"  - {at: 18s, for: 11s, fault: reload, target: gatekeepers, factor: 0.5}\n", func(t *trial, sum *Summary) {
				all := admissions(t, sum)
				from := windowStart(sum, 11)
				require.Greater(t, countBetween(sum, all, from, from+4), int(0.7*4*perS), "the limit is used again after the restart")
				n := countBetween(sum, all, 22, 28)
				require.LessOrEqual(t, n, int(6*perS/2)+6)
				require.Greater(t, n, int(0.7*6*perS/2))
			})
		})
	}
}
