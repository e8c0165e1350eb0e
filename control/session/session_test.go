package session

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"beammux/control"
	"beammux/control/scope"
)

// harness drives one machine with the events of a test. All random numbers are one half.
type harness struct {
	t       *testing.T
	machine *Machine
	now     control.Micros
}

const half = 0.5

// timing has distinguishable durations.
var timing = Timing{
	MaxStartDelay: 1e6, ConnectTimeout: 3e6, HeartbeatTimeout: 5e6, BackoffBase: 1e6, BackoffCap: 6e6, StableAfter: 10e6, ReturnInterval: 60e6,
	LeaderlessAfter: 4e6, LeaderlessHold: 30e6, BehindHold: 200e3, MaxRetryAfter: 5e6, FaultHold: 25e6,
}

// rankedReplicas returns n replicas, named r0, r1 and so on, in the order in which a gatekeeper of their region prefers
// them: by tier, and within a tier as ranked.
func rankedReplicas(n int) (scope.Target, []Replica) {
	self := scope.Target{Name: "g", Zone: "z", Region: "r"}
	replicas := []Replica{{Zone: "z", Region: "r"}, {Zone: "other", Region: "r"}, {Zone: "far", Region: "far"}, {Zone: "far", Region: "far"}}[:n]
	for i := range replicas {
		replicas[i].Name = fmt.Sprint("r", i)
	}
	return self, Rank(self, replicas)
}

func newHarness(t *testing.T, n int, held, seen uint64) *harness {
	self, replicas := rankedReplicas(n)
	machine := New(0, Options{Self: self, Replicas: replicas, Timing: timing, Random: func() float64 { return half }, HeldRevision: held, HighestRevision: seen})
	return &harness{t: t, machine: machine}
}

// tickAt checks the time of the next tick, advances to it, and returns the actions of the tick.
func (h *harness) tickAt(want control.Micros) []Action {
	h.t.Helper()
	at, ok := h.machine.NextTick()
	require.True(h.t, ok)
	require.Equal(h.t, want, at)
	h.now = at
	return h.machine.Tick(at)
}

// requireConnect checks that the only action is an attempt at the replica of a rank, and returns its session.
func (h *harness) requireConnect(rank int, after uint64, actions []Action) uint64 {
	h.t.Helper()
	require.Len(h.t, actions, 1)
	a := actions[0]
	require.Equal(h.t, Action{Connect, a.Session, h.machine.replicas[rank], after}, a)
	return a.Session
}

func (h *harness) handleEvent(session uint64, kind EventKind, revision uint64) []Action {
	return h.machine.HandleEvent(h.now, session, Event{Kind: kind, Revision: revision})
}

func (h *harness) handleEnd(session uint64, reason Reason) []Action {
	return h.machine.HandleEnd(h.now, session, End{Reason: reason})
}

func acceptAction(session uint64) []Action { return []Action{{Type: Accept, Session: session}} }

func closeAction(session uint64) []Action { return []Action{{Type: Close, Session: session}} }

// newConnectedHarness returns a machine with a session with the replica of a rank; the attempts at those before it have
// failed.
func newConnectedHarness(t *testing.T, n, rank int) (*harness, uint64) {
	h := newHarness(t, n, 0, 0)
	for r := range rank {
		s := h.requireConnect(r, 0, h.tickAt(h.now+5e5))
		require.Empty(t, h.handleEnd(s, Lost))
	}
	s := h.requireConnect(rank, 0, h.tickAt(h.now+5e5))
	require.Equal(t, acceptAction(s), h.handleEvent(s, Snapshot, 10))
	current, ok := h.machine.Current()
	require.True(t, ok)
	require.Equal(t, h.machine.replicas[rank], current)
	return h, s
}

func TestWithoutReplicas(t *testing.T) {
	m := New(0, Options{Random: func() float64 { return half }})
	_, ok := m.NextTick()
	require.False(t, ok)
	require.Empty(t, m.Tick(1e9))
}

// The delay before the first attempt is drawn from MaxStartDelay and not from the backoff.
func TestStart(t *testing.T) {
	self, replicas := rankedReplicas(1)
	m := New(7, Options{Self: self, Replicas: replicas, Timing: Timing{MaxStartDelay: 200}, Random: func() float64 { return half }})
	at, ok := m.NextTick()
	require.True(t, ok)
	require.Equal(t, control.Micros(107), at)
}

// In a round each replica is tried once, after a delay up to a bound that doubles from round to round up to the cap.
func TestBackoff(t *testing.T) {
	h := newHarness(t, 3, 0, 0)
	for _, bound := range []control.Micros{1e6, 2e6, 4e6, 6e6, 6e6} {
		for rank := range 3 {
			s := h.requireConnect(rank, 0, h.tickAt(h.now+bound/2))
			require.Empty(t, h.handleEnd(s, Lost))
		}
	}
}

// A session that lasted for StableAfter resets the backoff; a shorter one does not.
func TestBackoffReset(t *testing.T) {
	h, s := newConnectedHarness(t, 2, 1)
	require.Empty(t, h.handleEnd(s, Lost))
	s = h.requireConnect(0, 10, h.tickAt(h.now+1e6)) // both were tried: second round
	require.Empty(t, h.handleEvent(s, Heartbeat, 10))
	for range 3 {
		h.now += 4e6
		require.Empty(t, h.handleEvent(s, Heartbeat, 10))
	}
	require.Empty(t, h.handleEnd(s, Lost))
	h.requireConnect(1, 10, h.tickAt(h.now+5e5))
}

// An attempt without an event and a session without a heartbeat in time are given up.
func TestTimeouts(t *testing.T) {
	h := newHarness(t, 2, 0, 0)
	s := h.requireConnect(0, 0, h.tickAt(5e5))
	require.Equal(t, closeAction(s), h.tickAt(h.now+3e6))
	require.Empty(t, h.handleEvent(s, Snapshot, 99)) // too late: the session was closed
	s = h.requireConnect(1, 0, h.tickAt(h.now+5e5))
	require.Equal(t, acceptAction(s), h.handleEvent(s, Snapshot, 10))
	h.now += 4e6
	require.Equal(t, acceptAction(s), h.handleEvent(s, Heartbeat, 11))
	require.Equal(t, closeAction(s), h.tickAt(h.now+5e6))
	_, ok := h.machine.Current()
	require.False(t, ok)
}

// After two consecutive replicas without an answer the next tier is tried, and after each further one the tier after
// that. A replica that answers, even with a refusal, resets this. Skipped replicas are tried last in the round.
func TestUnansweredSkipsTier(t *testing.T) {
	self := scope.Target{Name: "g", Zone: "z", Region: "r"}
	var replicas []Replica
	for i, place := range [][2]string{{"z", "r"}, {"z", "r"}, {"z", "r"}, {"other", "r"}, {"other", "r"}, {"far", "far"}, {"far", "far"}} {
		replicas = append(replicas, Replica{Name: fmt.Sprint("r", i), Zone: place[0], Region: place[1]})
	}
	h := &harness{t: t, machine: New(0, Options{Self: self, Replicas: replicas, Timing: timing, Random: func() float64 { return half }})}
	s := h.requireConnect(0, 0, h.tickAt(5e5))
	require.Equal(t, acceptAction(s), h.handleEvent(s, Snapshot, 10))
	require.Equal(t, closeAction(s), h.tickAt(h.now+5e6))
	for _, rank := range []int{1, 3, 5, 2, 4, 6} {
		s = h.requireConnect(rank, 10, h.tickAt(h.now+5e5))
		require.Equal(t, closeAction(s), h.tickAt(h.now+3e6))
	}
	s = h.requireConnect(0, 10, h.tickAt(h.now+1e6)) // second round
	require.Equal(t, closeAction(s), h.tickAt(h.now+3e6))
	s = h.requireConnect(1, 10, h.tickAt(h.now+1e6))
	require.Empty(t, h.handleEnd(s, Lost))
	s = h.requireConnect(2, 10, h.tickAt(h.now+1e6))
	require.Equal(t, closeAction(s), h.tickAt(h.now+3e6))
	s = h.requireConnect(3, 10, h.tickAt(h.now+1e6))
	require.Equal(t, closeAction(s), h.tickAt(h.now+3e6))
	h.requireConnect(5, 10, h.tickAt(h.now+1e6))
}

// The timeout grows with the heartbeat interval announced by the replica; the latest announcement counts.
func TestSlowHeartbeats(t *testing.T) {
	h, s := newConnectedHarness(t, 2, 0)
	require.Empty(t, h.machine.HandleEvent(h.now, s, Event{Kind: Heartbeat, Revision: 10, HeartbeatInterval: 7e6}))
	at, _ := h.machine.NextTick()
	require.Equal(t, h.now+21e6, at)
	require.Empty(t, h.machine.Tick(at-1))
	h.now = at - 1
	require.Empty(t, h.machine.HandleEvent(h.now, s, Event{Kind: Heartbeat, Revision: 10, HeartbeatInterval: 1e6}))
	require.Empty(t, h.machine.HandleEvent(h.now, s, Event{Kind: Heartbeat, Revision: 10, HeartbeatInterval: 1 << 62}))
	at, _ = h.machine.NextTick()
	require.Equal(t, h.now+90e6, at)
	require.Empty(t, h.machine.HandleEvent(h.now, s, Event{Kind: Heartbeat, Revision: 10, HeartbeatInterval: 1e6}))
	require.Equal(t, closeAction(s), h.tickAt(h.now+5e6))
}

// A short announced retry time is waited for without trying another replica, but only a limited number of times.
func TestRetryAfterShort(t *testing.T) {
	h := newHarness(t, 2, 0, 0)
	at := control.Micros(5e5)
	for range FirstRoundAttempts - 1 {
		s := h.requireConnect(0, 0, h.tickAt(at))
		require.Empty(t, h.machine.HandleEnd(h.now, s, End{RetryLater, 5e6}))
		at = h.now + 5e6
	}
	s := h.requireConnect(0, 0, h.tickAt(at))
	require.Empty(t, h.machine.HandleEnd(h.now, s, End{RetryLater, 5e6}))
	h.requireConnect(1, 0, h.tickAt(h.now+5e5))
}

// With a long announced retry time another replica is tried meanwhile, and the deferring one is not tried before that
// time.
func TestRetryAfterLong(t *testing.T) {
	h := newHarness(t, 2, 0, 0)
	s := h.requireConnect(0, 0, h.tickAt(5e5))
	require.Empty(t, h.machine.HandleEnd(h.now, s, End{RetryLater, 20e6}))
	until := h.now + 20e6
	for h.now < until {
		at, _ := h.machine.NextTick()
		h.now = at
		for _, a := range h.machine.Tick(at) {
			if at < until {
				require.Equal(t, h.machine.replicas[1], a.Replica)
				require.Empty(t, h.handleEnd(a.Session, Lost))
			}
		}
	}
	// If all replicas have deferred the session, the one with the earliest retry time is tried.
	h = newHarness(t, 2, 0, 0)
	s = h.requireConnect(0, 0, h.tickAt(5e5))
	require.Empty(t, h.machine.HandleEnd(h.now, s, End{RetryLater, 20e6}))
	s = h.requireConnect(1, 0, h.tickAt(h.now+5e5))
	require.Empty(t, h.machine.HandleEnd(h.now, s, End{RetryLater, 30e6}))
	require.Empty(t, h.tickAt(h.now+1e6))
	h.requireConnect(0, 0, h.tickAt(205e5))
}

// A lagging replica has itself waited before it answered: the next replica is tried after the backoff, and the lagging
// one is not tried again for some time.
func TestBehind(t *testing.T) {
	h := newHarness(t, 2, 10, 10)
	s := h.requireConnect(0, 10, h.tickAt(5e5))
	require.Empty(t, h.handleEnd(s, Behind))
	s = h.requireConnect(1, 10, h.tickAt(h.now+5e5))
	require.Empty(t, h.handleEnd(s, Behind))
	s = h.requireConnect(0, 10, h.tickAt(h.now+1e6))
	require.Empty(t, h.handleEnd(s, Behind))
	// A single replica is tried again after 1.5 times BehindHold if the backoff is shorter.
	h = newHarness(t, 1, 10, 10)
	h.machine.timing.BehindHold = 2e6
	s = h.requireConnect(0, 10, h.tickAt(5e5))
	start := h.now
	require.Empty(t, h.handleEnd(s, Behind))
	require.Empty(t, h.tickAt(h.now+1e6))
	h.requireConnect(0, 10, h.tickAt(start+3e6))
}

// A snapshot older than the highest revision received is not accepted; its replica counts as lagging.
func TestOldSnapshot(t *testing.T) {
	h := newHarness(t, 2, 0, 10) // the records are lost, the revision is known
	s := h.requireConnect(0, 0, h.tickAt(5e5))
	require.Equal(t, closeAction(s), h.handleEvent(s, Snapshot, 9))
	s = h.requireConnect(1, 0, h.tickAt(h.now+5e5))
	require.Equal(t, acceptAction(s), h.handleEvent(s, Snapshot, 10))
	require.Equal(t, uint64(10), h.machine.HighestRevision())
}

// A resumed session that answers with a lower revision than requested is not accepted either.
func TestOldResume(t *testing.T) {
	h := newHarness(t, 2, 10, 10)
	s := h.requireConnect(0, 10, h.tickAt(5e5))
	require.Equal(t, closeAction(s), h.handleEvent(s, Heartbeat, 9))
	require.Equal(t, uint64(10), h.machine.HighestRevision())
}

// A replica that violates the protocol is not tried for some time: revisions that decrease, a first event that is not a
// snapshot, a peer that is not a control machine.
func TestProtocolViolations(t *testing.T) {
	h, s := newConnectedHarness(t, 1, 0)
	require.Equal(t, acceptAction(s), h.handleEvent(s, Change, 12))
	require.Equal(t, closeAction(s), h.handleEvent(s, Heartbeat, 11))
	require.Equal(t, uint64(12), h.machine.HighestRevision())
	require.Empty(t, h.tickAt(h.now+1e6)) // the delay of the second round
	s = h.requireConnect(0, 12, h.tickAt(h.now+24e6))
	refusedAt := h.now
	require.Empty(t, h.handleEnd(s, ProtocolError))
	require.Empty(t, h.tickAt(h.now+2e6)) // and of the third round
	h.requireConnect(0, 12, h.tickAt(refusedAt+25e6))

	h = newHarness(t, 1, 0, 0)
	s = h.requireConnect(0, 0, h.tickAt(5e5))
	require.Equal(t, closeAction(s), h.handleEvent(s, Change, 3))
	require.Equal(t, uint64(0), h.machine.HighestRevision())
}

// An event that contains nothing new is not accepted.
func TestDuplicates(t *testing.T) {
	h, s := newConnectedHarness(t, 1, 0)
	require.Equal(t, acceptAction(s), h.handleEvent(s, Change, 11))
	require.Empty(t, h.handleEvent(s, Change, 11))
	require.Empty(t, h.handleEvent(s, Heartbeat, 11))
	require.Equal(t, acceptAction(s), h.handleEvent(s, Heartbeat, 12))
	require.Equal(t, acceptAction(s), h.handleEvent(s, Snapshot, 12)) // the same records again, complete
}

// A stable session that was closed because the gatekeeper read too slowly is resumed at the same replica.
func TestTooSlow(t *testing.T) {
	h, s := newConnectedHarness(t, 2, 0)
	require.Empty(t, h.handleEnd(s, TooSlow))
	s = h.requireConnect(1, 10, h.tickAt(h.now+5e5)) // the session was not stable
	require.Empty(t, h.handleEvent(s, Heartbeat, 10))
	for range 3 {
		h.now += 4e6
		require.Empty(t, h.handleEvent(s, Heartbeat, 10))
	}
	require.Empty(t, h.handleEnd(s, TooSlow))
	s = h.requireConnect(0, 10, h.tickAt(h.now+5e5))
	require.Empty(t, h.handleEvent(s, Heartbeat, 10))
	for range 3 {
		h.now += 4e6
		require.Empty(t, h.handleEvent(s, Heartbeat, 10))
	}
	require.Empty(t, h.handleEnd(s, TooSlow))
	h.requireConnect(0, 10, h.tickAt(h.now+5e5))
}

// sendHeartbeats keeps a session alive until a time.
func (h *harness) sendHeartbeats(until control.Micros, session uint64, e Event) {
	h.t.Helper()
	for h.now+2e6 < until {
		h.now += 2e6
		require.Empty(h.t, h.machine.HandleEvent(h.now, session, e))
	}
}

// The machine moves to the best reachable replica within ReturnInterval; the current session stays in use until that
// replica answers.
func TestReturnToPreferred(t *testing.T) {
	h, s := newConnectedHarness(t, 3, 2)
	first := h.now + 45e6 // middle of the second half of ReturnInterval
	h.sendHeartbeats(first, s, Event{Kind: Heartbeat, Revision: 10})
	back := h.requireConnect(0, 10, h.tickAt(first))
	other := h.requireConnect(1, 10, h.handleEnd(back, Lost))
	require.Empty(t, h.handleEnd(other, Lost))
	current, _ := h.machine.Current()
	require.Equal(t, h.machine.replicas[2], current)

	second := h.now + 45e6
	h.sendHeartbeats(second, s, Event{Kind: Heartbeat, Revision: 10})
	back = h.requireConnect(0, 10, h.tickAt(second))
	require.Equal(t, acceptAction(s), h.handleEvent(s, Change, 12)) // the current session advances meanwhile
	require.Empty(t, h.handleEvent(back, Heartbeat, 10))            // still behind: its events are not accepted
	require.Empty(t, h.handleEvent(back, Change, 11))
	require.Empty(t, h.handleEvent(back, Change, 12)) // caught up, but it may be without a leader
	require.Equal(t, closeAction(s), h.handleEvent(back, Heartbeat, 12))
	require.Empty(t, h.handleEvent(s, Change, 13))
	require.Equal(t, acceptAction(back), h.handleEvent(back, Change, 13))
	current, _ = h.machine.Current()
	require.Equal(t, h.machine.replicas[0], current)
	at, _ := h.machine.NextTick()
	require.Equal(t, h.now+5e6, at) // at the preferred replica no further attempts are made
}

// An attempt whose event is newer than the current session becomes the current one at once, and the event is accepted.
func TestReturnAhead(t *testing.T) {
	h, s := newConnectedHarness(t, 2, 1)
	first := h.now + 45e6
	h.sendHeartbeats(first, s, Event{Kind: Heartbeat, Revision: 10})
	back := h.requireConnect(0, 10, h.tickAt(first))
	require.Equal(t, append(closeAction(s), acceptAction(back)...), h.handleEvent(back, Change, 11))
}

// An attempt that does not catch up in time is given up, and the current session stays.
func TestReturnLags(t *testing.T) {
	h, s := newConnectedHarness(t, 2, 1)
	first := h.now + 45e6
	h.sendHeartbeats(first, s, Event{Kind: Heartbeat, Revision: 10})
	back := h.requireConnect(0, 10, h.tickAt(first))
	require.Equal(t, acceptAction(s), h.handleEvent(s, Change, 12))
	require.Empty(t, h.handleEvent(back, Heartbeat, 10))
	h.now += 2e6
	require.Empty(t, h.handleEvent(s, Heartbeat, 12))
	require.Empty(t, h.handleEvent(back, Heartbeat, 11))
	require.Equal(t, closeAction(back), h.tickAt(first+3e6))
	current, _ := h.machine.Current()
	require.Equal(t, h.machine.replicas[1], current)
}

// A current session that is ended with a retry time is resumed at the same replica at that time if it is short.
func TestCurrentSessionDeferred(t *testing.T) {
	h, s := newConnectedHarness(t, 2, 0)
	require.Empty(t, h.machine.HandleEnd(h.now, s, End{RetryLater, 2e6}))
	h.requireConnect(0, 10, h.tickAt(h.now+2e6))
	h, s = newConnectedHarness(t, 2, 0)
	require.Empty(t, h.machine.HandleEnd(h.now, s, End{RetryLater, 20e6}))
	h.requireConnect(1, 10, h.tickAt(h.now+5e5))
}

// If the current session ends while an attempt at a better replica is in progress, that attempt continues.
func TestCurrentLostDuringReturn(t *testing.T) {
	h, s := newConnectedHarness(t, 2, 1)
	first := h.now + 45e6
	h.sendHeartbeats(first, s, Event{Kind: Heartbeat, Revision: 10})
	back := h.requireConnect(0, 10, h.tickAt(first))
	require.Empty(t, h.handleEnd(s, Lost))
	require.Equal(t, acceptAction(back), h.handleEvent(back, Heartbeat, 11))
	current, _ := h.machine.Current()
	require.Equal(t, h.machine.replicas[0], current)
}

// A replica that has long been without a leader is left only for one that has a leader; until then the session stays in
// use.
func TestLeaderless(t *testing.T) {
	h, s := newConnectedHarness(t, 3, 0)
	require.Empty(t, h.machine.HandleEvent(h.now, s, Event{Kind: Heartbeat, Revision: 10, LeaderlessFor: 4e6})) // not long enough yet
	at, _ := h.machine.NextTick()
	require.Equal(t, h.now+5e6, at)
	require.Empty(t, h.machine.HandleEvent(h.now, s, Event{Kind: Heartbeat, Revision: 10, LeaderlessFor: 4e6 + 1}))
	other := h.requireConnect(1, 10, h.tickAt(h.now+5e5))
	require.Equal(t, closeAction(other), h.machine.HandleEvent(h.now, other, Event{Kind: Heartbeat, Revision: 10, LeaderlessFor: 9e6})) // not better
	other = h.requireConnect(2, 10, h.tickAt(h.now+5e5))
	require.Equal(t, closeAction(s), h.handleEvent(other, Heartbeat, 10))
	current, _ := h.machine.Current()
	require.Equal(t, h.machine.replicas[2], current)
	// The preferred replica has a leader again in the next round.
	first := h.now + 45e6
	h.sendHeartbeats(first, other, Event{Kind: Heartbeat, Revision: 10})
	back := h.requireConnect(0, 10, h.tickAt(first))
	require.Equal(t, closeAction(other), h.handleEvent(back, Heartbeat, 10))
}

// If no other replica is reachable, a session without a leader stays in use while others are tried at the pace of the
// backoff, and the attempts stop once there is a leader again.
func TestLeaderlessAlone(t *testing.T) {
	h, s := newConnectedHarness(t, 2, 0)
	require.Empty(t, h.machine.HandleEvent(h.now, s, Event{Kind: Heartbeat, Revision: 10, LeaderlessFor: 5e6}))
	for _, bound := range []control.Micros{1e6, 2e6, 4e6, 6e6, 6e6} {
		other := h.requireConnect(1, 10, h.tickAt(h.now+bound/2))
		require.Empty(t, h.handleEnd(other, Lost))
		require.Empty(t, h.machine.HandleEvent(h.now, s, Event{Kind: Heartbeat, Revision: 10, LeaderlessFor: 5e6}))
		require.Empty(t, h.tickAt(h.now+bound/2))
		require.Empty(t, h.machine.HandleEvent(h.now, s, Event{Kind: Heartbeat, Revision: 10, LeaderlessFor: 5e6}))
	}
	require.Equal(t, acceptAction(s), h.handleEvent(s, Heartbeat, 11))
	at, _ := h.machine.NextTick()
	require.Equal(t, h.now+5e6, at)
}

// A replica that turned out to have no leader either is not tried again for LeaderlessHold; others are.
func TestLeaderlessHold(t *testing.T) {
	h, s := newConnectedHarness(t, 3, 0)
	require.Empty(t, h.machine.HandleEvent(h.now, s, Event{Kind: Heartbeat, Revision: 10, LeaderlessFor: 5e6}))
	other := h.requireConnect(1, 10, h.tickAt(h.now+5e5))
	require.Equal(t, closeAction(other), h.machine.HandleEvent(h.now, other, Event{Kind: Heartbeat, Revision: 10, LeaderlessFor: 5e6}))
	until := h.now + timing.LeaderlessHold
	tried := map[string]int{}
	for h.now < until+3*timing.BackoffCap {
		at, _ := h.machine.NextTick()
		h.now = min(at, h.now+2e6)
		if h.now < at {
			require.Empty(t, h.machine.HandleEvent(h.now, s, Event{Kind: Heartbeat, Revision: 10, LeaderlessFor: 5e6}))
			continue
		}
		for _, a := range h.machine.Tick(h.now) {
			tried[a.Replica.Name]++
			if a.Replica == h.machine.replicas[1] {
				require.GreaterOrEqual(t, h.now, until)
			}
			h.handleEnd(a.Session, Lost)
		}
	}
	require.Positive(t, tried[h.machine.replicas[1].Name])
	require.Greater(t, tried[h.machine.replicas[2].Name], 3)
}
