package session

import (
	"math"
	"slices"

	"beammux/control"
)

// Machine is the state of one gatekeeper's session. It has a current session, or none; and at most one attempt, either to
// have a session at all or, beside a current one, to move to a better replica: the current session goes on until the
// attempt has brought its first event. Not safe for concurrent use.
type Machine struct {
	timing   Timing
	random   func() float64
	replicas []Replica        // by rank
	tiers    []int            // by rank
	holds    []control.Micros // by rank: not tried before
	refusals []int            // by rank: how often in a row it admitted no session
	lastID   uint64
	actions  []Action

	current *link
	attempt *link
	connect search // for a session at all
	better  search // for a better one than the current

	seen    uint64 // highest revision seen
	records bool   // the gatekeeper holds the records of its prefixes, at revision seen
}

// link is one session, open or being opened.
type link struct {
	id       uint64
	rank     int
	after    uint64
	begun    control.Micros // of an attempt its start; of the current session when it became that
	heard    control.Micros // the last event
	events   int
	revision uint64
	every    control.Micros // the replica's heartbeat interval, as far as it has said so
	// leaderless tells that the replica has long been without a leader.
	leaderless bool
}

// New makes the machine of a gatekeeper. The first attempt is due at now, or up to StartWithin later.
func New(now control.Micros, o Options) *Machine {
	m := &Machine{
		timing: o.Timing.WithDefaults(), random: o.Random, replicas: Rank(o.Self, o.Replicas),
		holds: make([]control.Micros, len(o.Replicas)), refusals: make([]int, len(o.Replicas)),
		connect: newSearch(len(o.Replicas)), better: newSearch(len(o.Replicas)),
		seen: max(o.HighestRevision, o.HeldRevision), records: o.HeldRevision > 0 && o.HeldRevision >= o.HighestRevision,
	}
	for rank, r := range m.replicas {
		m.holds[rank] = now
		m.tiers = append(m.tiers, tier(o.Self, r))
	}
	m.connect.at = now + control.Micros(m.random()*float64(m.timing.MaxStartDelay))
	return m
}

// HighestRevision is the highest revision seen.
func (m *Machine) HighestRevision() uint64 { return m.seen }

// Current gives the replica of the current session, and whether there is one.
func (m *Machine) Current() (Replica, bool) {
	if m.current == nil {
		return Replica{}, false
	}
	return m.replicas[m.current.rank], true
}

// NextTick is when Tick is to be called next, unless something happens before; false: not at all.
func (m *Machine) NextTick() (control.Micros, bool) {
	if len(m.replicas) == 0 {
		return 0, false
	}
	next := control.Micros(math.MaxInt64)
	if m.current != nil {
		next = m.heartbeatDue()
	}
	switch {
	case m.attempt != nil:
		next = min(next, m.attempt.begun+m.timing.ConnectTimeout)
	case m.current == nil:
		next = m.connect.at
	case m.searching():
		next = min(next, m.better.at)
	}
	return next, true
}

// maxEvery is the longest heartbeat interval that a replica is believed.
const maxEvery control.Micros = 30e6

// heartbeatDue is when the current session is given up unless an event comes.
func (m *Machine) heartbeatDue() control.Micros {
	return m.current.heard + max(m.timing.HeartbeatTimeout, MaxMissedHeartbeats*m.current.every)
}

// searching tells whether there may be a better replica than that of the current session.
func (m *Machine) searching() bool {
	return m.current.leaderless && len(m.replicas) > 1 || m.current.rank > 0
}

// Tick does what is due at a time.
func (m *Machine) Tick(now control.Micros) []Action {
	m.actions = nil
	if len(m.replicas) == 0 {
		return nil
	}
	if m.current != nil && now >= m.heartbeatDue() {
		m.do(Action{Type: Close, Session: m.current.id})
		m.lost(now, End{Reason: noAnswer})
	}
	if m.attempt != nil && now >= m.attempt.begun+m.timing.ConnectTimeout {
		m.do(Action{Type: Close, Session: m.attempt.id})
		m.failed(now, End{Reason: noAnswer})
	}
	m.start(now)
	return m.actions
}

// HandleEnd hands in that a session has ended that was not closed.
func (m *Machine) HandleEnd(now control.Micros, session uint64, e End) []Action {
	m.actions = nil
	m.ended(now, session, e)
	m.start(now)
	return m.actions
}

func (m *Machine) ended(now control.Micros, session uint64, e End) {
	switch {
	case m.current != nil && m.current.id == session:
		m.lost(now, e)
	case m.attempt != nil && m.attempt.id == session:
		m.failed(now, e)
	}
}

// HandleEvent hands in an event of a session. Its records are to be taken over only if Accept is among the actions.
func (m *Machine) HandleEvent(now control.Micros, session uint64, e Event) []Action {
	m.actions = nil
	var l *link
	switch {
	case m.current != nil && m.current.id == session:
		l = m.current
	case m.attempt != nil && m.attempt.id == session:
		l = m.attempt
	default:
		return nil // it was closed
	}
	if l.breaks(e) {
		m.do(Action{Type: Close, Session: l.id})
		m.ended(now, session, End{Reason: ProtocolError})
		m.start(now)
		return m.actions
	}
	l.heard, l.revision = now, e.Revision
	l.events++
	if e.Kind == Heartbeat {
		l.every = min(e.HeartbeatInterval, maxEvery)
		m.setLeaderless(now, l, e.LeaderlessFor > m.timing.LeaderlessAfter)
	}
	if l == m.current || m.adopt(now, e.Kind) {
		m.accept(e)
	}
	m.start(now)
	return m.actions
}

// setLeaderless notes whether a replica has long been without a leader. The search for a better one than the current
// begins anew when that changes.
func (m *Machine) setLeaderless(now control.Micros, l *link, leaderless bool) {
	if l.leaderless == leaderless {
		return
	}
	l.leaderless = leaderless
	if l == m.current {
		m.searchBetter(now)
	}
}

// searchBetter begins a search for a better replica than that of the current session.
func (m *Machine) searchBetter(now control.Micros) {
	m.better.restart()
	m.better.at = now + m.betterWait()
}

// betterWait draws the time until the next attempts to move: with a replica without a leader the backoff, else that of a
// return to a preferred one.
func (m *Machine) betterWait() control.Micros {
	if m.current.leaderless {
		return m.backoff(&m.better)
	}
	return control.Micros((1 + m.random()) / 2 * float64(m.timing.ReturnInterval))
}

// breaks tells whether an event breaks the protocol: a session's revisions never fall, and one without a revision to go on
// from begins with a snapshot.
func (l *link) breaks(e Event) bool {
	return l.events > 0 && e.Revision < l.revision || l.events == 0 && l.after == 0 && e.Kind != Snapshot
}

// adopt makes the attempt the current session if it is as new as what was seen and better than the current one.
func (m *Machine) adopt(now control.Micros, kind EventKind) bool {
	l := m.attempt
	switch {
	case l.revision < l.after, l.revision < m.seen && l.after == 0: // older than what was asked for; a snapshot that is too old
		m.do(Action{Type: Close, Session: l.id})
		m.failed(now, End{Reason: Behind})
		return false
	case l.revision < m.seen: // the current session has moved on meanwhile: this one must draw level within ConnectWithin
		return false
	case m.current != nil && kind != Heartbeat && l.revision == m.seen: // only a heartbeat tells whether it has a leader
		return false
	case m.current != nil && !m.improves(l):
		m.do(Action{Type: Close, Session: l.id})
		if l.leaderless {
			m.holds[l.rank] = now + m.timing.LeaderlessHold
		}
		m.failed(now, End{Reason: Lost})
		return false
	}
	if m.current != nil {
		m.do(Action{Type: Close, Session: m.current.id})
		m.settle(now)
	}
	m.current, m.attempt = l, nil
	l.begun = now
	m.refusals[l.rank] = 0
	m.searchBetter(now)
	return true
}

// improves tells whether an attempt is better than the current session.
func (m *Machine) improves(l *link) bool {
	if m.current.leaderless != l.leaderless {
		return m.current.leaderless
	}
	return l.rank < m.current.rank
}

// accept takes an event of the current session, unless it brings nothing new.
func (m *Machine) accept(e Event) {
	if e.Kind != Snapshot && e.Revision <= m.seen {
		return
	}
	m.seen, m.records = e.Revision, true
	m.do(Action{Type: Accept, Session: m.current.id})
}

// lost ends the current session. After the backoff another replica is tried; one that cut off a session that had lasted,
// since this gatekeeper was too slow, is asked again itself.
func (m *Machine) lost(now control.Micros, e End) {
	lasted := m.settle(now)
	rank := m.current.rank
	m.current = nil
	m.connect.note(m.tiers[rank], e.Reason == noAnswer)
	m.hold(now, rank, e)
	if m.waitsFor(rank, e) {
		m.connect.at = m.holds[rank]
		return
	}
	m.connect.tried[rank] = e.Reason != TooSlow || !lasted
	m.retry(now)
}

// settle resets the backoff if the current session has lasted, and tells whether it has.
func (m *Machine) settle(now control.Micros) bool {
	if now-m.current.begun < m.timing.StableAfter {
		return false
	}
	m.connect.restart()
	clear(m.refusals)
	return true
}

// failed ends the attempt.
func (m *Machine) failed(now control.Micros, e End) {
	rank := m.attempt.rank
	m.attempt = nil
	m.hold(now, rank, e)
	if m.current != nil {
		m.better.tried[rank] = true
		m.better.at = now
		if m.current.leaderless {
			m.better.at += m.backoff(&m.better)
		}
		return
	}
	m.connect.note(m.tiers[rank], e.Reason == noAnswer)
	if m.waitsFor(rank, e) {
		m.connect.at = m.holds[rank]
		return
	}
	m.refusals[rank] = 0
	m.connect.tried[rank] = true
	m.retry(now)
}

// hold keeps a replica from being tried for as long as the end of its session demands.
func (m *Machine) hold(now control.Micros, rank int, e End) {
	switch e.Reason {
	case RetryLater:
		m.refusals[rank]++
		m.holds[rank] = now + max(e.RetryAfter, m.timing.BehindHold) // never at once, whatever the replica says
	case ProtocolError:
		m.holds[rank] = now + m.timing.FaultHold
	case Behind:
		m.holds[rank] = now + m.timing.BehindHold + control.Micros(m.random()*float64(m.timing.BehindHold))
	}
}

// waitsFor tells whether a replica that admits no session now is waited for, so that others aren't tried. It has promised a
// place, and keeps room for it: a gatekeeper that asked the others meanwhile would have a place at each of them, and after an
// outage all of these together are many times what the replicas admit.
func (m *Machine) waitsFor(rank int, e End) bool {
	tries := FirstRoundAttempts
	if m.connect.round > 0 {
		tries = LaterRoundAttempts
	}
	return e.Reason == RetryLater && e.RetryAfter <= m.timing.MaxRetryAfter && m.refusals[rank] < tries
}

// start begins an attempt if one is due.
func (m *Machine) start(now control.Micros) {
	switch {
	case m.attempt != nil:
	case m.current == nil && now >= m.connect.at:
		m.startAny(now)
	case m.current != nil && m.searching() && now >= m.better.at:
		m.startBetter(now)
	}
}

// startAny tries the best replica that was not tried in this round. Those on hold are left out; if all others were tried the
// next round begins, and if all are on hold the first that is off hold is waited for.
func (m *Machine) startAny(now control.Micros) {
	rank := m.pickAny(now)
	if rank < 0 && slices.Contains(m.connect.tried, true) {
		m.connect.nextRound()
		rank = m.pickAny(now)
	}
	if rank < 0 {
		m.connect.at = m.earliestHold()
		return
	}
	m.open(now, rank)
}

// retry sets the time of the next attempt.
func (m *Machine) retry(now control.Micros) {
	if !slices.Contains(m.connect.tried, false) {
		m.connect.nextRound()
	}
	m.connect.at = now + m.backoff(&m.connect)
}

// startBetter tries a better replica than that of the current session, and ends the round when each was tried.
func (m *Machine) startBetter(now control.Micros) {
	below := m.current.rank
	if m.current.leaderless {
		below = len(m.replicas)
	}
	if rank := m.pick(now, &m.better, below, m.current.rank); rank >= 0 {
		m.open(now, rank)
		return
	}
	m.better.nextRound()
	m.better.at = now + m.betterWait()
}

func (m *Machine) open(now control.Micros, rank int) {
	m.lastID++
	after := m.seen
	if !m.records {
		after = 0
	}
	m.attempt = &link{id: m.lastID, rank: rank, after: after, begun: now, heard: now}
	m.do(Action{Type: Connect, Session: m.lastID, Replica: m.replicas[rank], StartRevision: after})
}

func (m *Machine) do(a Action) { m.actions = append(m.actions, a) }
