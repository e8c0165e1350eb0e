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

// transaction assigns values to keys; an empty value deletes the key.
type transaction map[string]string

// modelReplica holds all transactions up to applied.
type modelReplica struct {
	applied    uint64
	leaderless control.Micros
}

// modelSession is one session with a replica.
type modelSession struct {
	id      uint64
	replica int
	after   uint64
	opened  bool
	sent    uint64 // all transactions up to here have been sent
}

// model simulates a store with lagging replicas, the sessions of one gatekeeper, and the records that the gatekeeper
// holds.
type model struct {
	t            *rapid.T
	now          control.Micros
	machine      *Machine
	timing       Timing
	log          []transaction // revision 1 is the first
	replicas     []*modelReplica
	index        map[string]int
	sessions     []*modelSession
	holdUntil    []control.Micros // by replica: announced time of the next attempt
	heldRecords  map[string]string
	heldRevision uint64 // revision of heldRecords
	highest      uint64
	accepted     int
}

// state returns the records that result from the log up to a revision.
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

// execute executes actions; applyRecords applies the records of the event that led to them.
func (m *model) execute(actions []Action, revision uint64, applyRecords func()) {
	for _, a := range actions {
		switch a.Type {
		case Connect:
			i := m.index[a.Replica.Name]
			if m.now < m.holdUntil[i] {
				m.t.Fatalf("%s is tried %d us before the announced time", a.Replica.Name, m.holdUntil[i]-m.now)
			}
			if a.StartRevision != 0 && a.StartRevision != m.heldRevision {
				m.t.Fatalf("a session resumes from revision %d, the gatekeeper holds %d", a.StartRevision, m.heldRevision)
			}
			m.sessions = append(m.sessions, &modelSession{id: a.Session, replica: i, after: a.StartRevision, sent: a.StartRevision})
			if len(m.sessions) > 2 {
				m.t.Fatalf("%d sessions are open", len(m.sessions))
			}
		case Close:
			m.removeSession(a.Session)
		case Accept:
			applyRecords()
			m.heldRevision = revision
			m.accepted++
			if revision < m.highest {
				m.t.Fatalf("accepted %d after %d", revision, m.highest)
			}
			m.highest = revision
			if want := m.state(revision); !maps.Equal(want, m.heldRecords) {
				m.t.Fatalf("at revision %d the store holds %v, the gatekeeper %v", revision, want, m.heldRecords)
			}
		}
	}
}

func (m *model) removeSession(id uint64) {
	for i, s := range m.sessions {
		if s.id == id {
			m.sessions = append(m.sessions[:i:i], m.sessions[i+1:]...)
			return
		}
	}
	m.t.Fatalf("session %d is closed but was not open", id)
}

// open answers a session as its replica does: with a failure, a deferral, Behind, or the first event.
func (m *model) open(s *modelSession) {
	r := m.replicas[s.replica]
	switch rapid.IntRange(0, 5).Draw(m.t, "answer") {
	case 0:
		m.end(s, End{Reason: Lost})
	case 1:
		after := control.Micros(rapid.IntRange(0, 20e6).Draw(m.t, "retry after"))
		m.holdUntil[s.replica] = m.now + after
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
			m.event(s, Snapshot, r.applied, func() { m.heldRecords = state })
			return
		}
		m.sendNext(s)
	}
}

// sendNext sends the next change on a session, or a heartbeat.
func (m *model) sendNext(s *modelSession) {
	r := m.replicas[s.replica]
	if s.sent >= r.applied {
		m.event(s, Heartbeat, s.sent, func() {})
		return
	}
	s.sent++
	tx := m.log[s.sent-1]
	m.event(s, Change, s.sent, func() { apply(m.heldRecords, tx) })
}

func (m *model) event(s *modelSession, kind EventKind, revision uint64, records func()) {
	e := Event{Kind: kind, Revision: revision, LeaderlessFor: m.replicas[s.replica].leaderless}
	m.execute(m.machine.HandleEvent(m.now, s.id, e), revision, records)
}

func (m *model) end(s *modelSession, e End) {
	m.removeSession(s.id)
	m.execute(m.machine.HandleEnd(m.now, s.id, e), 0, nil)
}

// Model test with transactions, lagging replicas, sessions that are refused, fail or overlap, and restarts with and
// without stored records. At any time the gatekeeper holds exactly the state of the store at one revision, and this
// revision never decreases; announced retry times are respected, at most two sessions are open, and the machine does not
// spin.
func TestSessionModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, heldRecords: map[string]string{}, index: map[string]int{}}
		m.timing = Timing{StableAfter: 2e6}.WithDefaults()
		var replicas []Replica
		for i := range rapid.IntRange(1, 5).Draw(t, "replicas") {
			r := Replica{Name: fmt.Sprint("c", i), Zone: fmt.Sprint("z", i%3), Region: fmt.Sprint("r", i%2)}
			replicas = append(replicas, r)
			m.index[r.Name] = i
			m.replicas = append(m.replicas, &modelReplica{})
		}
		m.holdUntil = make([]control.Micros, len(replicas))
		restart := func(held uint64) {
			m.machine = New(m.now, Options{
				Self: scope.Target{Name: "g", Zone: "z0", Region: "r0"}, Replicas: replicas, Timing: m.timing,
				Random: func() float64 { return rapid.Float64Range(0, 0.999).Draw(t, "random") }, HeldRevision: held, HighestRevision: m.highest,
			})
			m.sessions = nil
			clear(m.holdUntil)
		}
		restart(0)
		drawSession := func(opened bool) *modelSession {
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
			"open":  func(*rapid.T) { m.open(drawSession(false)) },
			"open2": func(*rapid.T) { m.open(drawSession(false)) },
			"event": func(*rapid.T) { m.sendNext(drawSession(true)) },
			"more":  func(*rapid.T) { m.sendNext(drawSession(true)) },
			"break": func(t *rapid.T) {
				m.end(drawSession(true), End{Reason: rapid.SampledFrom([]Reason{Lost, TooSlow, ProtocolError}).Draw(t, "reason")})
			},
			"late": func(t *rapid.T) { // events of a session that was closed or never existed
				id := uint64(rapid.IntRange(0, 50).Draw(t, "id"))
				for _, s := range m.sessions {
					if s.id == id {
						t.Skip("the session is open")
					}
				}
				m.execute(m.machine.HandleEvent(m.now, id, Event{Kind: Snapshot, Revision: 1 << 40}), 1<<40, func() { t.Fatal("an event of a closed session is accepted") })
				m.execute(m.machine.HandleEnd(m.now, id, End{}), 0, nil)
			},
			"wake": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "times") {
					at, ok := m.machine.NextTick()
					require.True(t, ok)
					m.now = max(m.now, at)
					m.execute(m.machine.Tick(m.now), 0, nil)
				}
			},
			"time": func(t *rapid.T) {
				m.now += control.Micros(rapid.IntRange(0, 3e6).Draw(t, "us"))
				m.execute(m.machine.Tick(m.now), 0, nil)
			},
			"restart": func(t *rapid.T) {
				if rapid.Bool().Draw(t, "records kept") {
					restart(m.heldRevision)
					return
				}
				m.heldRecords, m.heldRevision = map[string]string{}, 0
				restart(0)
			},
			"": func(t *rapid.T) { // after a tick, the next one is due later; only a random number of 0 allows another one at the same time
				if at, ok := m.machine.NextTick(); !ok || at < m.now-max(m.timing.HeartbeatTimeout, m.timing.ConnectTimeout) {
					t.Fatalf("at %d the next tick is due at %d, %v", m.now, at, ok)
				}
				if m.machine.HighestRevision() != m.highest {
					t.Fatalf("highest revision %d, accepted up to %d", m.machine.HighestRevision(), m.highest)
				}
			},
		})
	})
}

// If all replicas are unreachable, the number of attempts is bounded by the average backoff, for all random numbers: the
// machine does not spin.
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
		const duration = 600e6
		steps, attempts := 0, 0
		for {
			at, _ := m.NextTick()
			if at > duration {
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
		// Once the cap is reached, the delay before an attempt is at least 0.4 of BackoffCap. Added to this are the rounds before
		// that, and repeated attempts at a replica that lags or is full. A replica that announces a retry time is tried again
		// at that time, in each round.
		perBackoff := 1.
		if reason == RetryLater {
			perBackoff = LaterRoundAttempts
		}
		most := perBackoff*duration/(0.4*float64(timing.BackoffCap)) + float64(n)*(FirstRoundAttempts+4)
		require.Less(t, float64(attempts), most, reason)
		require.Less(t, float64(steps), 2.5*most, reason)
	})
}
