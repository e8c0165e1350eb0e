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

// admissions are the times of what was admitted.
type admissions struct{ sessions, snapshots []control.Micros }

func (a *admissions) note(now control.Micros, r Request) {
	a.sessions = append(a.sessions, now)
	if r.NeedsSnapshot {
		a.snapshots = append(a.snapshots, now)
	}
}

// withinRate fails where a window holds more than the burst and what the rate gives in it.
func withinRate(t require.TestingT, what string, at []control.Micros, rate float64, burst int) {
	for i := range at {
		for j := i; j < len(at); j++ {
			most := float64(max(burst, MinBurst)) + rate*float64(at[j]-at[i])/1e6 + 1e-3
			require.LessOrEqual(t, float64(j-i+1), most, "%s from %d to %d us", what, at[i], at[j])
		}
	}
}

// spread fails where two slots are closer than the rates allow.
func spread(t require.TestingT, c *Controller, l Limits) {
	last, lastSnapshot := slot{at: -1e9}, slot{at: -1e9}
	for _, s := range c.expected {
		if !c.holds(s) {
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

// Whatever clients do, no window of time has more sessions or snapshots admitted than burst + rate x time.
func TestNeverMoreThanTheRate(t *testing.T) {
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
			spread(t, c, l)
			if rapid.IntRange(0, 9).Draw(t, "deferred") == 0 {
				require.Positive(t, c.Defer(now, r))
				continue
			}
			d := c.Admit(now, r)
			require.NotEqual(t, d.Admitted, d.RetryAfter > 0)
			if d.Admitted {
				a.note(now, r)
			}
		}
		withinRate(t, "sessions", a.sessions, l.SessionsPerSecond, l.SessionsBurst)
		withinRate(t, "snapshots", a.snapshots, l.SnapshotsPerSecond, l.SnapshotsBurst)
	})
}

// Whatever clients do, no more sessions are open than may be; a client is told that the machine is full exactly while they are,
// and then holds no slot.
func TestNeverMoreSessionsThanMayBe(t *testing.T) {
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

// arrival is a client that comes at a time.
type arrival struct {
	at      control.Micros
	request Request
	refused int // times so far
	obeys   bool
}

// play plays arrivals in order of time. back gives what a refused client does next; nil: it does not come again.
func play(c *Controller, queue []arrival, back func(a arrival, d Decision) *arrival, admitted func(arrival)) {
	for len(queue) > 0 {
		slices.SortStableFunc(queue, func(a, b arrival) int { return int(a.at - b.at) })
		next := queue[0]
		queue = queue[1:]
		d := c.Admit(next.at, next.request)
		if d.Admitted {
			admitted(next)
			continue
		}
		next.refused++
		if again := back(next, d); again != nil {
			queue = append(queue, *again)
		}
	}
}

// A client that comes at its slot is admitted then, whatever others do: come early, late, never, or as newcomers.
func TestWhoComesAtItsSlotIsAdmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limits(t)
		c := New(l)
		var queue []arrival
		for i := range rapid.IntRange(1, 60).Draw(t, "clients") {
			queue = append(queue, arrival{at: control.Micros(rapid.IntRange(0, 2_000_000).Draw(t, "at")), obeys: rapid.Bool().Draw(t, "obeys"),
				request: Request{fmt.Sprint(i), rapid.Bool().Draw(t, "snapshot")}})
		}
		play(c, queue, func(a arrival, d Decision) *arrival {
			if a.obeys {
				require.Equal(t, 1, a.refused, "client %s was refused at its slot", a.request.Client)
				a.at += d.RetryAfter
				return &a
			}
			if a.refused > 5 || rapid.Bool().Draw(t, "gives up") {
				return nil
			}
			a.at += control.Micros(rapid.IntRange(0, int(2*d.RetryAfter)).Draw(t, "its own time"))
			return &a
		}, func(arrival) {})
	})
}

// playLate plays clients that come at once, obey, and are late by up to so much each time. It gives how often one was
// refused at most. None is ever asked to wait for longer than the slower rate needs for all of them: each slot is at most
// 1 / rate after the one before it, and 1 us a slot is for rounding up.
func playLate(t *rapid.T, l Limits, clients int, late control.Micros) (mostRefused int) {
	var queue []arrival
	for i := range clients {
		queue = append(queue, arrival{request: Request{fmt.Sprint(i), true}})
	}
	slowest := min(l.SessionsPerSecond, l.SnapshotsPerSecond)
	longest := control.Micros(float64(clients)/slowest*1e6) + control.Micros(clients)
	count := 0
	play(New(l), queue, func(a arrival, d Decision) *arrival {
		mostRefused = max(mostRefused, a.refused)
		require.Less(t, a.refused, 50, "client %s starves", a.request.Client)
		require.LessOrEqual(t, d.RetryAfter, longest)
		a.at += d.RetryAfter + control.Micros(rapid.IntRange(0, int(late)).Draw(t, "late by"))
		return &a
	}, func(arrival) { count++ })
	require.Equal(t, clients, count)
	return mostRefused
}

// Clients that obey are all admitted, however late they are below Grace.
func TestLateClientsAreAdmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		playLate(t, limits(t), rapid.IntRange(1, 80).Draw(t, "clients"), control.Micros(rapid.IntRange(0, int(SlotGracePeriod)-1).Draw(t, "late")))
	})
}

// Clients that are late by no more than (burst - 2) / rate are admitted when they first come back: until then the bucket
// keeps the tokens of all that are late and has room for the one that is coming.
func TestALittleLateCostsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limits(t)
		spare := func(burst int, rate float64) float64 { return float64(max(burst, MinBurst)-2) / rate }
		late := min(spare(l.SessionsBurst, l.SessionsPerSecond), spare(l.SnapshotsBurst, l.SnapshotsPerSecond), float64(SlotGracePeriod)/1e6)
		require.LessOrEqual(t, playLate(t, l, rapid.IntRange(1, 80).Draw(t, "clients"), control.Micros(late*1e6)), 1)
	})
}

// A stampede of 2,200 is spread over the time that the rate needs, each at a time of its own.
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

// Who comes early keeps its slot and gains nothing by it.
func TestEarlyKeepsItsSlot(t *testing.T) {
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

// Slots of clients that never come are given up after Grace, and hold back nobody but newcomers until then.
func TestSlotsAreGivenUp(t *testing.T) {
	c := New(Limits{SessionsPerSecond: 1})
	for i := range MinBurst + 3 {
		c.Admit(0, Request{Client: fmt.Sprint(i)})
	}
	require.Len(t, c.slots, 3)
	require.False(t, c.Admit(4*second, Request{Client: "new"}).Admitted, "three are late and the bucket holds two")
	require.True(t, c.Admit(3*second+SlotGracePeriod+second+1, Request{Client: "newer"}).Admitted)
	require.LessOrEqual(t, len(c.slots), 1)
}

// Without rates everything is admitted.
func TestUnbounded(t *testing.T) {
	c := New(Limits{})
	for i := range 1000 {
		require.True(t, c.Admit(0, Request{fmt.Sprint(i), true}).Admitted)
	}
}
