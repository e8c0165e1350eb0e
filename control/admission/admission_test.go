package admission

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"beammux/control"
)

const second = control.Micros(1e6)

func limits(t *rapid.T) Limits {
	rate := func(name string) float64 { return float64(rapid.IntRange(1, 200).Draw(t, name)) / 2 }
	burst := func(name string) int { return rapid.IntRange(0, 20).Draw(t, name) }
	return Limits{SessionsPerSecond: rate("sessions/s"), SessionsBurst: burst("sessions burst"),
		SnapshotsPerSecond: rate("snapshots/s"), SnapshotsBurst: burst("snapshots burst")}
}

// admissions holds the times of admitted requests.
type admissions struct{ sessions, snapshots []control.Micros }

func (a *admissions) record(now control.Micros, r Request) {
	a.sessions = append(a.sessions, now)
	if r.NeedsSnapshot {
		a.snapshots = append(a.snapshots, now)
	}
}

// requireWithinRate fails if a window of time contains more than the burst plus the rate times its length.
func requireWithinRate(t require.TestingT, kind string, times []control.Micros, rate float64, burst int) {
	for i := range times {
		for j := i; j < len(times); j++ {
			limit := float64(max(burst, MinBurst)) + rate*float64(times[j]-times[i])/1e6 + 1e-3
			require.LessOrEqual(t, float64(j-i+1), limit, "%s from %d to %d us", kind, times[i], times[j])
		}
	}
}

// requireSlotsSpaced fails if two slots are closer than the rates allow.
func requireSlotsSpaced(t require.TestingT, c *Controller, l Limits) {
	last, lastSnapshot := slot{at: -1e9}, slot{at: -1e9}
	for _, s := range c.expected {
		if !c.isCurrent(s) {
			continue
		}
		require.GreaterOrEqual(t, float64(s.at-last.at), 1e6/l.SessionsPerSecond)
		last = s
		if s.snapshot {
			require.GreaterOrEqual(t, float64(s.at-lastSnapshot.at), 1e6/l.SnapshotsPerSecond)
			lastSnapshot = s
		}
	}
}

// For all sequences of requests, no window of time contains more admitted sessions or snapshots than burst + rate x
// length.
func TestRateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limits(t)
		c, now := New(l), control.Micros(0)
		var a admissions
		for range rapid.IntRange(1, 150).Draw(t, "requests") {
			now += control.Micros(rapid.IntRange(0, 100_000).Draw(t, "later"))
			r := Request{Client: fmt.Sprint(rapid.IntRange(0, 40).Draw(t, "client")), NeedsSnapshot: rapid.Bool().Draw(t, "snapshot")}
			if r.Client == "0" {
				r.Client = ""
			}
			requireSlotsSpaced(t, c, l)
			if rapid.IntRange(0, 9).Draw(t, "deferred") == 0 {
				require.Positive(t, c.Defer(now, r))
				continue
			}
			d := c.Admit(now, r)
			require.NotEqual(t, d.Admitted, d.RetryAfter > 0)
			if d.Admitted {
				a.record(now, r)
			}
		}
		requireWithinRate(t, "sessions", a.sessions, l.SessionsPerSecond, l.SessionsBurst)
		requireWithinRate(t, "snapshots", a.snapshots, l.SnapshotsPerSecond, l.SnapshotsBurst)
	})
}

// For all sequences of requests, no more sessions are open than allowed. A client is refused as Full exactly while the
// limit is reached, and then holds no slot.
func TestSessionLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limits(t)
		l.Sessions = rapid.IntRange(1, 8).Draw(t, "sessions")
		c, now, open := New(l), control.Micros(0), 0
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += control.Micros(rapid.IntRange(0, 200_000).Draw(t, "later"))
			if open > 0 && rapid.IntRange(0, 3).Draw(t, "ends") == 0 {
				c.Release()
				open--
				continue
			}
			r := Request{Client: fmt.Sprint(rapid.IntRange(1, 20).Draw(t, "client")), NeedsSnapshot: rapid.Bool().Draw(t, "snapshot")}
			d := c.Admit(now, r)
			require.Equal(t, open == l.Sessions, d.Full)
			if d.Full {
				require.Equal(t, Decision{Full: true}, d)
				require.NotContains(t, c.slots, r.Client)
			}
			if d.Admitted {
				open++
			}
			require.LessOrEqual(t, open, l.Sessions)
		}
	})
}

// arrival is the arrival of a client at a time.
type arrival struct {
	at        control.Micros
	request   Request
	refusals  int // number of refusals so far
	compliant bool
}

// simulate processes arrivals in order of time. onRefused returns the next arrival of a refused client, or nil if it does
// not return.
func simulate(c *Controller, queue []arrival, onRefused func(a arrival, d Decision) *arrival, onAdmitted func(arrival)) {
	for len(queue) > 0 {
		slices.SortStableFunc(queue, func(a, b arrival) int { return int(a.at - b.at) })
		next := queue[0]
		queue = queue[1:]
		d := c.Admit(next.at, next.request)
		if d.Admitted {
			onAdmitted(next)
			continue
		}
		next.refusals++
		if again := onRefused(next, d); again != nil {
			queue = append(queue, *again)
		}
	}
}

// A client that arrives at its slot is admitted, whatever the other clients do: arrive early, late, never, or without a
// slot.
func TestAdmittedAtSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limits(t)
		c := New(l)
		var queue []arrival
		for i := range rapid.IntRange(1, 60).Draw(t, "clients") {
			queue = append(queue, arrival{at: control.Micros(rapid.IntRange(0, 2_000_000).Draw(t, "at")), compliant: rapid.Bool().Draw(t, "obeys"),
				request: Request{fmt.Sprint(i), rapid.Bool().Draw(t, "snapshot")}})
		}
		simulate(c, queue, func(a arrival, d Decision) *arrival {
			if a.compliant {
				require.Equal(t, 1, a.refusals, "client %s was refused at its slot", a.request.Client)
				a.at += d.RetryAfter
				return &a
			}
			if a.refusals > 5 || rapid.Bool().Draw(t, "gives up") {
				return nil
			}
			a.at += control.Micros(rapid.IntRange(0, int(2*d.RetryAfter)).Draw(t, "its own time"))
			return &a
		}, func(arrival) {})
	})
}

// simulateLate simulates clients that arrive at the same time, retry when asked to, and are late by up to maxLateness
// each time. It returns the highest number of refusals of a client. No client is asked to wait longer than the slower
// rate needs for all of them: each slot is at most 1 / rate after the one before it, and 1 us per slot allows for
// rounding up.
func simulateLate(t *rapid.T, l Limits, clients int, maxLateness control.Micros) (maxRefused int) {
	var queue []arrival
	for i := range clients {
		queue = append(queue, arrival{request: Request{fmt.Sprint(i), true}})
	}
	slowest := min(l.SessionsPerSecond, l.SnapshotsPerSecond)
	longest := control.Micros(float64(clients)/slowest*1e6) + control.Micros(clients)
	count := 0
	simulate(New(l), queue, func(a arrival, d Decision) *arrival {
		maxRefused = max(maxRefused, a.refusals)
		require.Less(t, a.refusals, 50, "client %s is never admitted", a.request.Client)
		require.LessOrEqual(t, d.RetryAfter, longest)
		a.at += d.RetryAfter + control.Micros(rapid.IntRange(0, int(maxLateness)).Draw(t, "late by"))
		return &a
	}, func(arrival) { count++ })
	require.Equal(t, clients, count)
	return maxRefused
}

// Clients that retry when asked to are all admitted as long as they are late by less than SlotGracePeriod.
func TestLateClientsAreAdmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulateLate(t, limits(t), rapid.IntRange(1, 80).Draw(t, "clients"), control.Micros(rapid.IntRange(0, int(SlotGracePeriod)-1).Draw(t, "late")))
	})
}

// Clients that are late by no more than (burst - 2) / rate are admitted at their first retry: until then the bucket keeps
// the tokens of all late clients and has room for the next one.
func TestSlightlyLateClientsAreAdmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limits(t)
		spare := func(burst int, rate float64) float64 { return float64(max(burst, MinBurst)-2) / rate }
		late := min(spare(l.SessionsBurst, l.SessionsPerSecond), spare(l.SnapshotsBurst, l.SnapshotsPerSecond), float64(SlotGracePeriod)/1e6)
		require.LessOrEqual(t, simulateLate(t, l, rapid.IntRange(1, 80).Draw(t, "clients"), control.Micros(late*1e6)), 1)
	})
}

// 2,200 simultaneous requests are spread over the time that the rate requires, each with a slot of its own.
func TestStampedeIsSpread(t *testing.T) {
	const clients, rate, burst = 2200, 50, 50
	c := New(Limits{SessionsPerSecond: rate, SessionsBurst: burst, SnapshotsPerSecond: rate, SnapshotsBurst: burst})
	var back []control.Micros
	for i := range clients {
		if d := c.Admit(0, Request{fmt.Sprint(i), true}); !d.Admitted {
			back = append(back, d.RetryAfter)
		}
	}
	require.Len(t, back, clients-burst)
	require.True(t, slices.IsSorted(back))
	for i := 1; i < len(back); i++ {
		require.InDelta(t, 1e6/rate, float64(back[i]-back[i-1]), 2)
	}
	require.InDelta(t, (clients-burst)*1e6/rate, float64(back[len(back)-1]), 1e5)
}

// A client that arrives early keeps its slot and gains nothing.
func TestEarlyClientKeepsSlot(t *testing.T) {
	c := New(Limits{SessionsPerSecond: 1})
	for i := range MinBurst {
		require.True(t, c.Admit(0, Request{Client: fmt.Sprint(i)}).Admitted)
	}
	require.Equal(t, Decision{RetryAfter: second}, c.Admit(0, Request{Client: "a"}))
	require.Equal(t, Decision{RetryAfter: second - 10}, c.Admit(10, Request{Client: "a"}))
	require.Equal(t, 2*second-20, c.Admit(20, Request{Client: "b"}).RetryAfter)
	require.True(t, c.Admit(second, Request{Client: "a"}).Admitted)
	require.False(t, c.Admit(second, Request{Client: "c"}).Admitted)
	require.True(t, c.Admit(2*second, Request{Client: "b"}).Admitted)
}

// Slots of clients that never return expire after SlotGracePeriod, and until then delay only new clients.
func TestUnusedSlotsExpire(t *testing.T) {
	c := New(Limits{SessionsPerSecond: 1})
	for i := range MinBurst + 3 {
		c.Admit(0, Request{Client: fmt.Sprint(i)})
	}
	require.Len(t, c.slots, 3)
	require.False(t, c.Admit(4*second, Request{Client: "new"}).Admitted, "three clients are late and the bucket holds two tokens")
	require.True(t, c.Admit(3*second+SlotGracePeriod+second+1, Request{Client: "newer"}).Admitted)
	require.LessOrEqual(t, len(c.slots), 1)
}

// Without rates everything is admitted.
func TestUnlimited(t *testing.T) {
	c := New(Limits{})
	for i := range 1000 {
		require.True(t, c.Admit(0, Request{fmt.Sprint(i), true}).Admitted)
	}
}
