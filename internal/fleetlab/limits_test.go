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

// admissions gives when each gatekeeper let calls in, by its records, in order.
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

// between counts what came from one time of the run to another, at some gatekeepers or, if none is named, at all.
func between(sum *Summary, all map[string][]time.Time, from, to float64, names ...string) (n int) {
	began := time.UnixMicro(int64(sum.Faults[0].From)).Add(-faultAt)
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

// latest is by how much a window begins later at most where the machine kept the fleet from being whole in time. Scripts go on for
// as long.
const latest = 3.0

// whole gives when to begin to look at what the fleet does after its first fault: at a time of the script, or, where the machine
// disturbed the play, once all views hold all members again and what they tell is spent. Until then a member that is missing is
// taken to want without end (near.go): the others have less by right. How late a process is ready again, and met, is not for
// the limits to say. It is SettleTime until what is told is spent, and GrowTime until a claim has grown to it.
func whole(sum *Summary, from float64) float64 {
	first := sum.Faults[0]
	if sum.Disturbance.Count == 0 || first.AgreedAt == 0 {
		return from
	}
	at := faultAt.Seconds() + float64(first.AgreedAt-first.From+quota.SettleTime+quota.GrowTime)/1e6
	return min(max(from, at), from+latest)
}

// faultAt is when the first fault of each script here begins.
const faultAt = 6 * time.Second

func limited(mode string, members int) string {
	return fmt.Sprintf("gatekeepers: 6\nservers: 6\nzones: 2\nstore_members: %d\nfleet: true\nlimits: {mode: %s, per_s: 20, burst: 12}\n", members, mode)
}

// The hard cases of shared limits, each with real processes. That the limit held over every window the judge says (RuleLimit, by
// play); here, that the fault was met, and that what is there was used.
func TestFleetLimits(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes for some seconds")
	}
	program(t)
	perS := 20.0
	for _, mode := range []string{"leased", "near"} {
		t.Run(mode+", all load moves to the other half", func(t *testing.T) {
			t.Parallel()
			hold(t, limited(mode, 3)+"length: 18s\nhomes:\n  - {at: 0s, to: g1+g3+g5}\n  - {at: 9s, to: g2+g4+g6}\n"+
				"faults:\n  - {at: 6s, for: 1s, fault: delay, from: gatekeepers, to: gatekeepers, delay: 30ms, jitter: 10ms}\n", func(t *trial, sum *Summary) {
				require.Len(t, sum.Limit.ServedAfter, 1)
				require.Greater(t, sum.Limit.ServedAfter[0], 0.0)
				require.Less(t, sum.Limit.ServedAfter[0], 3.0)
				require.Greater(t, sum.Limit.Used, 0.75)
			})
		})
		t.Run(mode+", a holder of most of the limit is killed", func(t *testing.T) {
			t.Parallel()
			hold(t, limited(mode, 3)+"length: 20s\nhomes:\n  - {at: 0s, to: g5}\n  - {at: 6s, to: g4+g6}\n"+
				"faults:\n  - {at: 6s, for: 3s, fault: kill, target: g5}\n", func(t *trial, sum *Summary) {
				all := admissions(t, sum)
				require.Greater(t, between(sum, all, 3, 6, "g5"), int(0.7*3*perS), "g5 held most of it")
				from := whole(sum, 11)
				require.Greater(t, between(sum, all, from, from+5, "g4", "g6"), int(0.8*5*perS), "the others have it")
			})
		})
		t.Run(mode+", paused for longer than its lease and woken", func(t *testing.T) {
			t.Parallel()
			hold(t, limited(mode, 3)+"length: 19s\nhomes:\n  - {at: 0s, to: g5}\n  - {at: 6s, to: g4+g5}\n"+
				"faults:\n  - {at: 6s, for: 4s, fault: pause, target: g5}\n", func(t *trial, sum *Summary) {
				all := admissions(t, sum)
				require.LessOrEqual(t, between(sum, all, 6.3, 9.9, "g5"), 1, "it stood still")
				require.Greater(t, between(sum, all, 8, 10, "g4"), int(0.5*2*perS/6), "g4 has its part at least")
				from := whole(sum, 12)
				require.Greater(t, between(sum, all, from, from+4), int(0.75*4*perS), "both again")
			})
		})
	}
	t.Run("gatekeepers that share nothing are found", func(t *testing.T) {
		t.Parallel()
		hold(t, limited("alone", 0)+"length: 8s\nfaults: []\n", func(t *trial, sum *Summary) {
			shared, err := Check(sum.Dir, fleetcheck.NewLimit(perS, 12, 0, nil, 0))
			require.NoError(t, err)
			require.Equal(t.always(), fleetcheck.RuleLimit, shared.Rule)
		})
	})
	t.Run("the store's leader is killed while leases are granted", func(t *testing.T) {
		t.Parallel()
		// One of three leads; each is killed in turn.
		hold(t, limited("leased", 3)+"length: 20s\nhomes:\n  - {at: 0s, to: g4+g5+g6}\nfaults:\n  - {at: 6s, for: 2s, fault: kill, target: g1}\n"+
			"  - {at: 10s, for: 2s, fault: kill, target: g2}\n  - {at: 14s, for: 2s, fault: kill, target: g3}\n", func(t *trial, sum *Summary) {
			require.Greater(t, between(sum, admissions(t, sum), 6, 20), int(0.6*14*perS), "leases went on, or were granted anew")
			elections := 0
			for _, name := range []string{"g1", "g2", "g3"} {
				elections += strings.Count(log(t, sum, name), "heartbeat timeout reached")
			}
			require.Greater(t, elections, 0, "no leader was lost")
		})
	})
	t.Run("the store has no majority for 20 s", func(t *testing.T) {
		t.Parallel()
		hold(t, limited("leased", 3)+"length: 35s\nhomes:\n  - {at: 0s, to: g4+g5+g6}\nfaults:\n  - {at: 6s, for: 20s, fault: kill, target: g1+g2}\n", func(t *trial, sum *Summary) {
			all := admissions(t, sum)
			require.Less(t.always(), between(sum, all, 9, 26), int(0.1*17*perS), "the floor alone")
			require.Greater(t, between(sum, all, 3, 6), int(0.7*3*perS))
			from := whole(sum, 29)
			require.Greater(t, between(sum, all, from, from+3), int(0.6*3*perS), "leases are there again")
			require.Contains(t, log(t, sum, "g5"), "see whether the store has a leader", "and it says what to do")
		})
	})
	t.Run("gatekeepers are cut off from the store", func(t *testing.T) {
		t.Parallel()
		hold(t, limited("leased", 3)+"length: 21s\nhomes:\n  - {at: 0s, to: g4+g5+g6}\nfaults:\n  - {at: 6s, for: 6s, fault: partition, from: g4+g5, to: g1+g2+g3}\n", func(t *trial, sum *Summary) {
			all := admissions(t, sum)
			require.LessOrEqual(t.always(), between(sum, all, 8, 12, "g4", "g5"), int(0.02*4*perS)+2, "the floor alone")
			require.Greater(t, between(sum, all, 9, 12, "g6"), int(0.7*3*perS), "who is not cut off has the rest")
			from := whole(sum, 15)
			require.Greater(t, between(sum, all, from, from+3, "g4", "g5"), int(0.3*3*perS), "and they are back")
		})
	})
	t.Run("near, gatekeepers are cut off from each other", func(t *testing.T) {
		t.Parallel()
		hold(t, limited("near", 0)+"length: 23s\nhomes:\n  - {at: 0s, to: g4+g5+g6}\nfaults:\n  - {at: 6s, for: 7s, fault: partition, from: g4, to: g1+g2+g3+g5+g6}\n"+
			"  - {at: 7s, for: 5s, fault: loss, from: gatekeepers, to: gatekeepers, part: 0.3}\n", func(t *trial, sum *Summary) {
			all := admissions(t, sum)
			n := between(sum, all, 9, 13, "g4")
			require.LessOrEqual(t.always(), n, int(4*perS/6)+3, "g4 goes by its part of the limit, not by all of it")
			require.Greater(t, n, int(0.5*4*perS/6), "and by that much")
			from := whole(sum, 16)
			require.Greater(t, between(sum, all, from, from+4), int(0.75*4*perS))
		})
	})
	for _, mode := range []string{"leased", "near"} {
		t.Run(mode+", all killed at once, and the limit halved", func(t *testing.T) {
			t.Parallel()
			hold(t, limited(mode, 3)+"length: 29s\nhomes:\n  - {at: 0s, to: g4+g5+g6}\nfaults:\n  - {at: 6s, for: 500ms, fault: kill, target: gatekeepers, state: same}\n"+
				"  - {at: 18s, for: 11s, fault: reload, target: gatekeepers, factor: 0.5}\n", func(t *trial, sum *Summary) {
				all := admissions(t, sum)
				from := whole(sum, 11)
				require.Greater(t, between(sum, all, from, from+4), int(0.7*4*perS), "up again")
				n := between(sum, all, 22, 28)
				require.LessOrEqual(t, n, int(6*perS/2)+6)
				require.Greater(t, n, int(0.7*6*perS/2))
			})
		})
	}
}
