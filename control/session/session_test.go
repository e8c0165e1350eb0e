package session

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"beammux/control"
	"beammux/control/scope"
)

// player plays one machine: the test says what happens. Draws of random numbers are all the same, half of their bound.
type player struct {
	t   *testing.T
	m   *Machine
	now control.Micros
}

const half = 0.5

// timing has times that can be told apart.
var timing = Timing{
	MaxStartDelay: 1e6, ConnectTimeout: 3e6, HeartbeatTimeout: 5e6, BackoffBase: 1e6, BackoffCap: 6e6, StableAfter: 10e6, ReturnInterval: 60e6,
	LeaderlessAfter: 4e6, LeaderlessHold: 30e6, BehindHold: 200e3, MaxRetryAfter: 5e6, FaultHold: 25e6,
}

// ordered gives replicas r0, r1, ... that a gatekeeper of their region prefers in this order: each in a tier or, within one, as ranked.
func ordered(n int) (scope.Target, []Replica) {
	self := scope.Target{Name: "g", Zone: "z", Region: "r"}
	replicas := []Replica{{Zone: "z", Region: "r"}, {Zone: "other", Region: "r"}, {Zone: "far", Region: "far"}, {Zone: "far", Region: "far"}}[:n]
	for i := range replicas {
		replicas[i].Name = fmt.Sprint("r", i)
	}
	return self, Rank(self, replicas)
}

func play(t *testing.T, n int, held, seen uint64) *player {
	self, replicas := ordered(n)
	m := New(0, Options{Self: self, Replicas: replicas, Timing: timing, Random: func() float64 { return half }, HeldRevision: held, HighestRevision: seen})
	return &player{t: t, m: m}
}

// wake goes on to when the machine wants to be called, checks the time, and gives what it does.
func (p *player) wake(want control.Micros) []Action {
	p.t.Helper()
	at, ok := p.m.NextTick()
	require.True(p.t, ok)
	require.Equal(p.t, want, at)
	p.now = at
	return p.m.Tick(at)
}

// connects checks that the one action is an attempt at a replica of a rank, and gives its session.
func (p *player) connects(rank int, after uint64, actions []Action) uint64 {
	p.t.Helper()
	require.Len(p.t, actions, 1)
	a := actions[0]
	require.Equal(p.t, Action{Connect, a.Session, p.m.replicas[rank], after}, a)
	return a.Session
}

func (p *player) heard(session uint64, kind EventKind, revision uint64) []Action {
	return p.m.HandleEvent(p.now, session, Event{Kind: kind, Revision: revision})
}

func (p *player) ended(session uint64, reason Reason) []Action {
	return p.m.HandleEnd(p.now, session, End{Reason: reason})
}

func accepts(session uint64) []Action { return []Action{{Type: Accept, Session: session}} }

func closes(session uint64) []Action { return []Action{{Type: Close, Session: session}} }

// opened gives a machine with a session at the replica of a rank, those before it having failed.
func opened(t *testing.T, n, rank int) (*player, uint64) {
	p := play(t, n, 0, 0)
	for r := range rank {
		s := p.connects(r, 0, p.wake(p.now+5e5))
		require.Empty(t, p.ended(s, Lost))
	}
	s := p.connects(rank, 0, p.wake(p.now+5e5))
	require.Equal(t, accepts(s), p.heard(s, Snapshot, 10))
	current, ok := p.m.Current()
	require.True(t, ok)
	require.Equal(t, p.m.replicas[rank], current)
	return p, s
}

func TestWithoutReplicas(t *testing.T) {
	m := New(0, Options{Random: func() float64 { return half }})
	_, ok := m.NextTick()
	require.False(t, ok)
	require.Empty(t, m.Tick(1e9))
}

// The first attempt comes after a wait of its own, which is no backoff.
func TestStart(t *testing.T) {
	self, replicas := ordered(1)
	m := New(7, Options{Self: self, Replicas: replicas, Timing: Timing{MaxStartDelay: 200}, Random: func() float64 { return half }})
	at, ok := m.NextTick()
	require.True(t, ok)
	require.Equal(t, control.Micros(107), at)
}

// Rounds: each replica once, after a wait up to a bound that doubles from round to round up to the cap.
func TestBackoff(t *testing.T) {
	p := play(t, 3, 0, 0)
	for _, bound := range []control.Micros{1e6, 2e6, 4e6, 6e6, 6e6} {
		for rank := range 3 {
			s := p.connects(rank, 0, p.wake(p.now+bound/2))
			require.Empty(t, p.ended(s, Lost))
		}
	}
}

// A session that lasted resets the backoff; one that did not last doesn't.
func TestBackoffReset(t *testing.T) {
	p, s := opened(t, 2, 1)
	require.Empty(t, p.ended(s, Lost))
	s = p.connects(0, 10, p.wake(p.now+1e6)) // both were tried: the second round
	require.Empty(t, p.heard(s, Heartbeat, 10))
	for range 3 {
		p.now += 4e6
		require.Empty(t, p.heard(s, Heartbeat, 10))
	}
	require.Empty(t, p.ended(s, Lost))
	p.connects(1, 10, p.wake(p.now+5e5))
}

// An attempt without an event, and a session without a heartbeat in time, are given up.
func TestGivesUp(t *testing.T) {
	p := play(t, 2, 0, 0)
	s := p.connects(0, 0, p.wake(5e5))
	require.Equal(t, closes(s), p.wake(p.now+3e6))
	require.Empty(t, p.heard(s, Snapshot, 99)) // too late: it was closed
	s = p.connects(1, 0, p.wake(p.now+5e5))
	require.Equal(t, accepts(s), p.heard(s, Snapshot, 10))
	p.now += 4e6
	require.Equal(t, accepts(s), p.heard(s, Heartbeat, 11))
	require.Equal(t, closes(s), p.wake(p.now+5e6))
	_, ok := p.m.Current()
	require.False(t, ok)
}

// After two replicas in a row without any answer the next tier is tried, and after each further one the next again; one that
// answers, if only with a refusal, ends that. Those left out come last in the round.
func TestSilentTiers(t *testing.T) {
	self := scope.Target{Name: "g", Zone: "z", Region: "r"}
	var replicas []Replica
	for i, place := range [][2]string{{"z", "r"}, {"z", "r"}, {"z", "r"}, {"other", "r"}, {"other", "r"}, {"far", "far"}, {"far", "far"}} {
		replicas = append(replicas, Replica{Name: fmt.Sprint("r", i), Zone: place[0], Region: place[1]})
	}
	p := &player{t: t, m: New(0, Options{Self: self, Replicas: replicas, Timing: timing, Random: func() float64 { return half }})}
	s := p.connects(0, 0, p.wake(5e5))
	require.Equal(t, accepts(s), p.heard(s, Snapshot, 10))
	require.Equal(t, closes(s), p.wake(p.now+5e6))
	for _, rank := range []int{1, 3, 5, 2, 4, 6} {
		s = p.connects(rank, 10, p.wake(p.now+5e5))
		require.Equal(t, closes(s), p.wake(p.now+3e6))
	}
	s = p.connects(0, 10, p.wake(p.now+1e6)) // the second round
	require.Equal(t, closes(s), p.wake(p.now+3e6))
	s = p.connects(1, 10, p.wake(p.now+1e6))
	require.Empty(t, p.ended(s, Lost))
	s = p.connects(2, 10, p.wake(p.now+1e6))
	require.Equal(t, closes(s), p.wake(p.now+3e6))
	s = p.connects(3, 10, p.wake(p.now+1e6))
	require.Equal(t, closes(s), p.wake(p.now+3e6))
	p.connects(5, 10, p.wake(p.now+1e6))
}

// Where the replica sends heartbeats seldom more time is given; a later statement holds.
func TestSlowHeartbeats(t *testing.T) {
	p, s := opened(t, 2, 0)
	require.Empty(t, p.m.HandleEvent(p.now, s, Event{Kind: Heartbeat, Revision: 10, HeartbeatInterval: 7e6}))
	at, _ := p.m.NextTick()
	require.Equal(t, p.now+21e6, at)
	require.Empty(t, p.m.Tick(at-1))
	p.now = at - 1
	require.Empty(t, p.m.HandleEvent(p.now, s, Event{Kind: Heartbeat, Revision: 10, HeartbeatInterval: 1e6}))
	require.Empty(t, p.m.HandleEvent(p.now, s, Event{Kind: Heartbeat, Revision: 10, HeartbeatInterval: 1 << 62}))
	at, _ = p.m.NextTick()
	require.Equal(t, p.now+90e6, at)
	require.Empty(t, p.m.HandleEvent(p.now, s, Event{Kind: Heartbeat, Revision: 10, HeartbeatInterval: 1e6}))
	require.Equal(t, closes(s), p.wake(p.now+5e6))
}

// "Come back in" a short time is waited for, without another replica being tried; but not for ever.
func TestComeBackSoon(t *testing.T) {
	p := play(t, 2, 0, 0)
	at := control.Micros(5e5)
	for range FirstRoundAttempts - 1 {
		s := p.connects(0, 0, p.wake(at))
		require.Empty(t, p.m.HandleEnd(p.now, s, End{RetryLater, 5e6}))
		at = p.now + 5e6
	}
	s := p.connects(0, 0, p.wake(at))
	require.Empty(t, p.m.HandleEnd(p.now, s, End{RetryLater, 5e6}))
	p.connects(1, 0, p.wake(p.now+5e5))
}

// With a longer one another replica is tried meanwhile, and the one that said it is not asked before.
func TestComeBackLater(t *testing.T) {
	p := play(t, 2, 0, 0)
	s := p.connects(0, 0, p.wake(5e5))
	require.Empty(t, p.m.HandleEnd(p.now, s, End{RetryLater, 20e6}))
	until := p.now + 20e6
	for p.now < until {
		at, _ := p.m.NextTick()
		p.now = at
		for _, a := range p.m.Tick(at) {
			if at < until {
				require.Equal(t, p.m.replicas[1], a.Replica)
				require.Empty(t, p.ended(a.Session, Lost))
			}
		}
	}
	// And where all have said so, the first that may be asked is.
	p = play(t, 2, 0, 0)
	s = p.connects(0, 0, p.wake(5e5))
	require.Empty(t, p.m.HandleEnd(p.now, s, End{RetryLater, 20e6}))
	s = p.connects(1, 0, p.wake(p.now+5e5))
	require.Empty(t, p.m.HandleEnd(p.now, s, End{RetryLater, 30e6}))
	require.Empty(t, p.wake(p.now+1e6))
	p.connects(0, 0, p.wake(205e5))
}

// A replica that lags has waited a moment itself: the next one is tried after the backoff, and it isn't again for a time.
func TestBehind(t *testing.T) {
	p := play(t, 2, 10, 10)
	s := p.connects(0, 10, p.wake(5e5))
	require.Empty(t, p.ended(s, Behind))
	s = p.connects(1, 10, p.wake(p.now+5e5))
	require.Empty(t, p.ended(s, Behind))
	s = p.connects(0, 10, p.wake(p.now+1e6))
	require.Empty(t, p.ended(s, Behind))
	// Alone it is asked again after BehindWait and half of it, if the backoff is shorter.
	p = play(t, 1, 10, 10)
	p.m.timing.BehindHold = 2e6
	s = p.connects(0, 10, p.wake(5e5))
	begun := p.now
	require.Empty(t, p.ended(s, Behind))
	require.Empty(t, p.wake(p.now+1e6))
	p.connects(0, 10, p.wake(begun+3e6))
}

// A snapshot that is older than what was seen isn't taken; it counts as that of a replica that lags.
func TestOldSnapshot(t *testing.T) {
	p := play(t, 2, 0, 10) // the records are lost, the revision is known
	s := p.connects(0, 0, p.wake(5e5))
	require.Equal(t, closes(s), p.heard(s, Snapshot, 9))
	s = p.connects(1, 0, p.wake(p.now+5e5))
	require.Equal(t, accepts(s), p.heard(s, Snapshot, 10))
	require.Equal(t, uint64(10), p.m.HighestRevision())
}

// A resumed session that answers with less than was asked for isn't taken either.
func TestOldResume(t *testing.T) {
	p := play(t, 2, 10, 10)
	s := p.connects(0, 10, p.wake(5e5))
	require.Equal(t, closes(s), p.heard(s, Heartbeat, 9))
	require.Equal(t, uint64(10), p.m.HighestRevision())
}

// Whoever breaks the protocol isn't tried for a time: revisions that fall, a first event that is no snapshot, no control machine.
func TestBrokenProtocol(t *testing.T) {
	p, s := opened(t, 1, 0)
	require.Equal(t, accepts(s), p.heard(s, Change, 12))
	require.Equal(t, closes(s), p.heard(s, Heartbeat, 11))
	require.Equal(t, uint64(12), p.m.HighestRevision())
	require.Empty(t, p.wake(p.now+1e6)) // the wait of the second round
	s = p.connects(0, 12, p.wake(p.now+24e6))
	refusedAt := p.now
	require.Empty(t, p.ended(s, ProtocolError))
	require.Empty(t, p.wake(p.now+2e6)) // and of the third
	p.connects(0, 12, p.wake(refusedAt+25e6))

	p = play(t, 1, 0, 0)
	s = p.connects(0, 0, p.wake(5e5))
	require.Equal(t, closes(s), p.heard(s, Change, 3))
	require.Equal(t, uint64(0), p.m.HighestRevision())
}

// What brings nothing new is not handed on.
func TestDuplicates(t *testing.T) {
	p, s := opened(t, 1, 0)
	require.Equal(t, accepts(s), p.heard(s, Change, 11))
	require.Empty(t, p.heard(s, Change, 11))
	require.Empty(t, p.heard(s, Heartbeat, 11))
	require.Equal(t, accepts(s), p.heard(s, Heartbeat, 12))
	require.Equal(t, accepts(s), p.heard(s, Snapshot, 12)) // the same records again, whole
}

// A session that lasted and was cut off since the gatekeeper was slow is resumed at the same replica.
func TestTooSlow(t *testing.T) {
	p, s := opened(t, 2, 0)
	require.Empty(t, p.ended(s, TooSlow))
	s = p.connects(1, 10, p.wake(p.now+5e5)) // it had not lasted
	require.Empty(t, p.heard(s, Heartbeat, 10))
	for range 3 {
		p.now += 4e6
		require.Empty(t, p.heard(s, Heartbeat, 10))
	}
	require.Empty(t, p.ended(s, TooSlow))
	s = p.connects(0, 10, p.wake(p.now+5e5))
	require.Empty(t, p.heard(s, Heartbeat, 10))
	for range 3 {
		p.now += 4e6
		require.Empty(t, p.heard(s, Heartbeat, 10))
	}
	require.Empty(t, p.ended(s, TooSlow))
	p.connects(0, 10, p.wake(p.now+5e5))
}

// beat keeps a session up until a time.
func (p *player) beat(until control.Micros, session uint64, e Event) {
	p.t.Helper()
	for p.now+2e6 < until {
		p.now += 2e6
		require.Empty(p.t, p.m.HandleEvent(p.now, session, e))
	}
}

// The best replica that is back is moved to within ReturnEvery; the current session goes on until it answers.
func TestReturns(t *testing.T) {
	p, s := opened(t, 3, 2)
	first := p.now + 45e6 // half of the second half of ReturnEvery
	p.beat(first, s, Event{Kind: Heartbeat, Revision: 10})
	back := p.connects(0, 10, p.wake(first))
	other := p.connects(1, 10, p.ended(back, Lost))
	require.Empty(t, p.ended(other, Lost))
	current, _ := p.m.Current()
	require.Equal(t, p.m.replicas[2], current)

	second := p.now + 45e6
	p.beat(second, s, Event{Kind: Heartbeat, Revision: 10})
	back = p.connects(0, 10, p.wake(second))
	require.Equal(t, accepts(s), p.heard(s, Change, 12)) // the current session moves on meanwhile
	require.Empty(t, p.heard(back, Heartbeat, 10))       // not level yet: nothing of it is taken
	require.Empty(t, p.heard(back, Change, 11))
	require.Empty(t, p.heard(back, Change, 12)) // level, but it may be without a leader
	require.Equal(t, closes(s), p.heard(back, Heartbeat, 12))
	require.Empty(t, p.heard(s, Change, 13))
	require.Equal(t, accepts(back), p.heard(back, Change, 13))
	current, _ = p.m.Current()
	require.Equal(t, p.m.replicas[0], current)
	at, _ := p.m.NextTick()
	require.Equal(t, p.now+5e6, at) // with the preferred one nothing more is tried
}

// One that brings something newer is taken at once, with what it brings.
func TestReturnAhead(t *testing.T) {
	p, s := opened(t, 2, 1)
	first := p.now + 45e6
	p.beat(first, s, Event{Kind: Heartbeat, Revision: 10})
	back := p.connects(0, 10, p.wake(first))
	require.Equal(t, append(closes(s), accepts(back)...), p.heard(back, Change, 11))
}

// A replica that does not draw level in time is given up, and the current session stays.
func TestReturnLags(t *testing.T) {
	p, s := opened(t, 2, 1)
	first := p.now + 45e6
	p.beat(first, s, Event{Kind: Heartbeat, Revision: 10})
	back := p.connects(0, 10, p.wake(first))
	require.Equal(t, accepts(s), p.heard(s, Change, 12))
	require.Empty(t, p.heard(back, Heartbeat, 10))
	p.now += 2e6
	require.Empty(t, p.heard(s, Heartbeat, 12))
	require.Empty(t, p.heard(back, Heartbeat, 11))
	require.Equal(t, closes(back), p.wake(first+3e6))
	current, _ := p.m.Current()
	require.Equal(t, p.m.replicas[1], current)
}

// A live session that is sent away is resumed at the same replica when it said, if that is soon.
func TestSentAway(t *testing.T) {
	p, s := opened(t, 2, 0)
	require.Empty(t, p.m.HandleEnd(p.now, s, End{RetryLater, 2e6}))
	p.connects(0, 10, p.wake(p.now+2e6))
	p, s = opened(t, 2, 0)
	require.Empty(t, p.m.HandleEnd(p.now, s, End{RetryLater, 20e6}))
	p.connects(1, 10, p.wake(p.now+5e5))
}

// If the current session ends while a better one is being opened, that one is what is waited for.
func TestLostWhileReturning(t *testing.T) {
	p, s := opened(t, 2, 1)
	first := p.now + 45e6
	p.beat(first, s, Event{Kind: Heartbeat, Revision: 10})
	back := p.connects(0, 10, p.wake(first))
	require.Empty(t, p.ended(s, Lost))
	require.Equal(t, accepts(back), p.heard(back, Heartbeat, 11))
	current, _ := p.m.Current()
	require.Equal(t, p.m.replicas[0], current)
}

// A replica long without a leader is left only for one that has a leader; until then the session goes on.
func TestLeaderless(t *testing.T) {
	p, s := opened(t, 3, 0)
	require.Empty(t, p.m.HandleEvent(p.now, s, Event{Kind: Heartbeat, Revision: 10, LeaderlessFor: 4e6})) // not yet long
	at, _ := p.m.NextTick()
	require.Equal(t, p.now+5e6, at)
	require.Empty(t, p.m.HandleEvent(p.now, s, Event{Kind: Heartbeat, Revision: 10, LeaderlessFor: 4e6 + 1}))
	other := p.connects(1, 10, p.wake(p.now+5e5))
	require.Equal(t, closes(other), p.m.HandleEvent(p.now, other, Event{Kind: Heartbeat, Revision: 10, LeaderlessFor: 9e6})) // no better
	other = p.connects(2, 10, p.wake(p.now+5e5))
	require.Equal(t, closes(s), p.heard(other, Heartbeat, 10))
	current, _ := p.m.Current()
	require.Equal(t, p.m.replicas[2], current)
	// The preferred one has a leader again by the next round.
	first := p.now + 45e6
	p.beat(first, other, Event{Kind: Heartbeat, Revision: 10})
	back := p.connects(0, 10, p.wake(first))
	require.Equal(t, closes(other), p.heard(back, Heartbeat, 10))
}

// With no other replica reachable a session without a leader goes on, is tried to be replaced at the pace of the backoff, and
// is good again once there is a leader.
func TestLeaderlessAlone(t *testing.T) {
	p, s := opened(t, 2, 0)
	require.Empty(t, p.m.HandleEvent(p.now, s, Event{Kind: Heartbeat, Revision: 10, LeaderlessFor: 5e6}))
	for _, bound := range []control.Micros{1e6, 2e6, 4e6, 6e6, 6e6} {
		other := p.connects(1, 10, p.wake(p.now+bound/2))
		require.Empty(t, p.ended(other, Lost))
		require.Empty(t, p.m.HandleEvent(p.now, s, Event{Kind: Heartbeat, Revision: 10, LeaderlessFor: 5e6}))
		require.Empty(t, p.wake(p.now+bound/2))
		require.Empty(t, p.m.HandleEvent(p.now, s, Event{Kind: Heartbeat, Revision: 10, LeaderlessFor: 5e6}))
	}
	require.Equal(t, accepts(s), p.heard(s, Heartbeat, 11))
	at, _ := p.m.NextTick()
	require.Equal(t, p.now+5e6, at)
}

// A replica that turned out to have no leader either is not tried again for a time, others are.
func TestLeaderlessHold(t *testing.T) {
	p, s := opened(t, 3, 0)
	require.Empty(t, p.m.HandleEvent(p.now, s, Event{Kind: Heartbeat, Revision: 10, LeaderlessFor: 5e6}))
	other := p.connects(1, 10, p.wake(p.now+5e5))
	require.Equal(t, closes(other), p.m.HandleEvent(p.now, other, Event{Kind: Heartbeat, Revision: 10, LeaderlessFor: 5e6}))
	until := p.now + timing.LeaderlessHold
	tried := map[string]int{}
	for p.now < until+3*timing.BackoffCap {
		at, _ := p.m.NextTick()
		p.now = min(at, p.now+2e6)
		if p.now < at {
			require.Empty(t, p.m.HandleEvent(p.now, s, Event{Kind: Heartbeat, Revision: 10, LeaderlessFor: 5e6}))
			continue
		}
		for _, a := range p.m.Tick(p.now) {
			tried[a.Replica.Name]++
			if a.Replica == p.m.replicas[1] {
				require.GreaterOrEqual(t, p.now, until)
			}
			p.ended(a.Session, Lost)
		}
	}
	require.Positive(t, tried[p.m.replicas[1].Name])
	require.Greater(t, tried[p.m.replicas[2].Name], 3)
}
