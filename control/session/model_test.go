package session

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"beammux/control"
	"beammux/control/scope"
)

// transaction writes values to keys; an empty value deletes.
type transaction map[string]string

// modelReplica holds the transactions up to one.
type modelReplica struct {
	applied    uint64
	leaderless control.Micros
}

// modelSession is one session at a replica.
type modelSession struct {
	id      uint64
	replica int
	after   uint64
	opened  bool
	sent    uint64 // all transactions up to here have been sent
}

// model is a store of replicas that lag, the sessions of one gatekeeper, and what the gatekeeper holds.
type model struct {
	t        *rapid.T
	now      control.Micros
	machine  *Machine
	timing   Timing
	log      []transaction // revision 1 is the first
	replicas []*modelReplica
	index    map[string]int
	sessions []*modelSession
	holds    []control.Micros // by "come back in"
	held     map[string]string
	at       uint64 // revision of held
	highest  uint64
	accepted int
}

// state is what the log makes of nothing up to a revision.
func (m *model) state(revision uint64) map[string]string {
	state := map[string]string{}
	for _, tx := range m.log[:revision] {
		apply(state, tx)
	}
	return state
}

func apply(state map[string]string, tx transaction) {
	for key, value := range tx {
		if value == "" {
			delete(state, key)
		} else {
			state[key] = value
		}
	}
}

// carryOut carries out actions; records takes over those of the event that led to them.
func (m *model) carryOut(actions []Action, revision uint64, records func()) {
	for _, a := range actions {
		switch a.Type {
		case Connect:
			i := m.index[a.Replica.Name]
			if m.now < m.holds[i] {
				m.t.Fatalf("%s is tried %d us before it said to come back", a.Replica.Name, m.holds[i]-m.now)
			}
			if a.StartRevision != 0 && a.StartRevision != m.at {
				m.t.Fatalf("a session goes on from %d, held is %d", a.StartRevision, m.at)
			}
			m.sessions = append(m.sessions, &modelSession{id: a.Session, replica: i, after: a.StartRevision, sent: a.StartRevision})
			if len(m.sessions) > 2 {
				m.t.Fatalf("%d sessions at a time", len(m.sessions))
			}
		case Close:
			m.drop(a.Session)
		case Accept:
			records()
			m.at = revision
			m.accepted++
			if revision < m.highest {
				m.t.Fatalf("accepted %d after %d", revision, m.highest)
			}
			m.highest = revision
			if want := m.state(revision); !maps.Equal(want, m.held) {
				m.t.Fatalf("at revision %d the store holds %v, the gatekeeper %v", revision, want, m.held)
			}
		}
	}
}

func (m *model) drop(id uint64) {
	for i, s := range m.sessions {
		if s.id == id {
			m.sessions = append(m.sessions[:i:i], m.sessions[i+1:]...)
			return
		}
	}
	m.t.Fatalf("session %d is closed, and was not open", id)
}

// open answers a session as its replica does: not at all, "come back in", behind, or with its first event.
func (m *model) open(s *modelSession) {
	r := m.replicas[s.replica]
	switch rapid.IntRange(0, 5).Draw(m.t, "answer") {
	case 0:
		m.end(s, End{Reason: Lost})
	case 1:
		after := control.Micros(rapid.IntRange(0, 20e6).Draw(m.t, "come back"))
		m.holds[s.replica] = m.now + after
		m.end(s, End{RetryLater, after})
	default:
		if r.applied < s.after {
			m.end(s, End{Reason: Behind})
			return
		}
		s.opened = true
		if s.after == 0 || rapid.IntRange(0, 3).Draw(m.t, "history") == 0 {
			s.sent = r.applied
			state := m.state(r.applied)
			m.event(s, Snapshot, r.applied, func() { m.held = state })
			return
		}
		m.next(s)
	}
}

// next sends the next change of a session, or a heartbeat.
func (m *model) next(s *modelSession) {
	r := m.replicas[s.replica]
	if s.sent >= r.applied {
		m.event(s, Heartbeat, s.sent, func() {})
		return
	}
	s.sent++
	tx := m.log[s.sent-1]
	m.event(s, Change, s.sent, func() { apply(m.held, tx) })
}

func (m *model) event(s *modelSession, kind EventKind, revision uint64, records func()) {
	e := Event{Kind: kind, Revision: revision, LeaderlessFor: m.replicas[s.replica].leaderless}
	m.carryOut(m.machine.HandleEvent(m.now, s.id, e), revision, records)
}

func (m *model) end(s *modelSession, e End) {
	m.drop(s.id)
	m.carryOut(m.machine.HandleEnd(m.now, s.id, e), 0, nil)
}

// Transactions, lagging replicas, sessions that are refused, break and overlap, restarts with and without the records: what a
// gatekeeper holds is at any time exactly the store's state at one revision, and that never goes back; "come back in" is
// honoured, there are two sessions at most, and the machine never spins.
func TestSessionModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, held: map[string]string{}, index: map[string]int{}}
		m.timing = Timing{StableAfter: 2e6}.WithDefaults()
		var replicas []Replica
		for i := range rapid.IntRange(1, 5).Draw(t, "replicas") {
			r := Replica{Name: fmt.Sprint("c", i), Zone: fmt.Sprint("z", i%3), Region: fmt.Sprint("r", i%2)}
			replicas = append(replicas, r)
			m.index[r.Name] = i
			m.replicas = append(m.replicas, &modelReplica{})
		}
		m.holds = make([]control.Micros, len(replicas))
		boot := func(held uint64) {
			m.machine = New(m.now, Options{
				Self: scope.Target{Name: "g", Zone: "z0", Region: "r0"}, Replicas: replicas, Timing: m.timing,
				Random: func() float64 { return rapid.Float64Range(0, 0.999).Draw(t, "random") }, HeldRevision: held, HighestRevision: m.highest,
			})
			m.sessions = nil
			clear(m.holds)
		}
		boot(0)
		some := func(opened bool) *modelSession {
			var list []*modelSession
			for _, s := range m.sessions {
				if s.opened == opened {
					list = append(list, s)
				}
			}
			if len(list) == 0 {
				t.Skip("no such session")
			}
			return rapid.SampledFrom(list).Draw(t, "session")
		}
		t.Repeat(map[string]func(*rapid.T){
			"commit": func(t *rapid.T) {
				key := rapid.SampledFrom([]string{"a", "b", "c"})
				tx := transaction{}
				for range rapid.IntRange(1, 2).Draw(t, "writes") {
					tx[key.Draw(t, "key")] = rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "value")
				}
				m.log = append(m.log, tx)
			},
			"replicate": func(t *rapid.T) {
				r := rapid.SampledFrom(m.replicas).Draw(t, "replica")
				r.applied = uint64(rapid.IntRange(int(r.applied), len(m.log)).Draw(t, "applied"))
			},
			"leader": func(t *rapid.T) {
				rapid.SampledFrom(m.replicas).Draw(t, "replica").leaderless = control.Micros(rapid.SampledFrom([]int{0, 1e6, 9e6}).Draw(t, "leaderless"))
			},
			"open":  func(*rapid.T) { m.open(some(false)) },
			"open2": func(*rapid.T) { m.open(some(false)) },
			"event": func(*rapid.T) { m.next(some(true)) },
			"more":  func(*rapid.T) { m.next(some(true)) },
			"break": func(t *rapid.T) {
				m.end(some(true), End{Reason: rapid.SampledFrom([]Reason{Lost, TooSlow, ProtocolError}).Draw(t, "reason")})
			},
			"late": func(t *rapid.T) { // of a session that was closed, or never was
				id := uint64(rapid.IntRange(0, 50).Draw(t, "id"))
				for _, s := range m.sessions {
					if s.id == id {
						t.Skip("it is open")
					}
				}
				m.carryOut(m.machine.HandleEvent(m.now, id, Event{Kind: Snapshot, Revision: 1 << 40}), 1<<40, func() { t.Fatal("a closed session's event is accepted") })
				m.carryOut(m.machine.HandleEnd(m.now, id, End{}), 0, nil)
			},
			"wake": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "times") {
					at, ok := m.machine.NextTick()
					require.True(t, ok)
					m.now = max(m.now, at)
					m.carryOut(m.machine.Tick(m.now), 0, nil)
				}
			},
			"time": func(t *rapid.T) {
				m.now += control.Micros(rapid.IntRange(0, 3e6).Draw(t, "us"))
				m.carryOut(m.machine.Tick(m.now), 0, nil)
			},
			"restart": func(t *rapid.T) {
				if rapid.Bool().Draw(t, "records kept") {
					boot(m.at)
					return
				}
				m.held, m.at = map[string]string{}, 0
				boot(0)
			},
			"": func(t *rapid.T) { // a machine that was ticked wants to be so later: at most one step for each draw of zero
				if at, ok := m.machine.NextTick(); !ok || at < m.now-max(m.timing.HeartbeatTimeout, m.timing.ConnectTimeout) {
					t.Fatalf("at %d it wants to be woken at %d, %v", m.now, at, ok)
				}
				if m.machine.HighestRevision() != m.highest {
					t.Fatalf("seen %d, accepted up to %d", m.machine.HighestRevision(), m.highest)
				}
			},
		})
	})
}

// With all replicas unreachable, whatever the random numbers, attempts are never more than the backoff allows on average: no spinning.
func TestNoSpinning(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 13).Draw(t, "replicas")
		var replicas []Replica
		for i := range n {
			replicas = append(replicas, Replica{Name: fmt.Sprint("c", i)})
		}
		random := rapid.Float64Range(0.4, 0.6).Draw(t, "random")
		timing := Timing{}.WithDefaults()
		m := New(0, Options{Replicas: replicas, Random: func() float64 { return random }, HeldRevision: 1, HighestRevision: 1})
		reason := rapid.SampledFrom([]Reason{Lost, TooSlow, Behind, ProtocolError, RetryLater}).Draw(t, "reason")
		const length = 600e6
		steps, attempts := 0, 0
		for {
			at, _ := m.NextTick()
			if at > length {
				break
			}
			steps++
			for _, a := range m.Tick(at) {
				if a.Type == Connect {
					attempts++
					require.Empty(t, m.HandleEnd(at, a.Session, End{Reason: reason}))
				}
			}
		}
		// In full rounds an attempt waits 0.4 of BackoffCap at least; the rounds before it is reached, and repeated questions
		// to a replica that lags or is full, come on top. One that says when to come back is asked then, in each round.
		perBackoff := 1.
		if reason == RetryLater {
			perBackoff = LaterRoundAttempts
		}
		most := perBackoff*length/(0.4*float64(timing.BackoffCap)) + float64(n)*(FirstRoundAttempts+4)
		require.Less(t, float64(attempts), most, reason)
		require.Less(t, float64(steps), 2.5*most, reason)
	})
}
