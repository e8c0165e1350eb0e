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
	timing              Timing
	random              func() float64
	replicas            []Replica        // by rank
	tiers               []int            // by rank
	holdUntil           []control.Micros // by rank: not tried before
	consecutiveRefusals []int            // by rank: how often in a row it admitted no session
	lastID              uint64
	actions             []Action

	current       *link
	attempt       *link
	connectSearch search // for a session at all
	betterSearch  search // for a better one than the current

	highestRevision uint64 // highest revision seen
	hasRecords      bool   // the gatekeeper holds the records of its prefixes, at revision seen
}

// link is one session, open or being opened.
type link struct {
	id                uint64
	rank              int
	startRevision     uint64
	startedAt         control.Micros // of an attempt its start; of the current session when it became that
	lastEventAt       control.Micros // the last event
	events            int
	revision          uint64
	heartbeatInterval control.Micros // the replica's heartbeat interval, as far as it has said so
	// leaderless tells that the replica has long been without a leader.
	leaderless bool
}

// New makes the machine of a gatekeeper. The first attempt is due at now, or up to StartWithin later.
func New(now control.Micros, o Options) *Machine {
	m := &Machine{
		timing: o.Timing.WithDefaults(), random: o.Random, replicas: Rank(o.Self, o.Replicas),
		holdUntil: make([]control.Micros, len(o.Replicas)), consecutiveRefusals: make([]int, len(o.Replicas)),
		connectSearch: newSearch(len(o.Replicas)), betterSearch: newSearch(len(o.Replicas)),
		highestRevision: max(o.Seen, o.Held), hasRecords: o.Held > 0 && o.Held >= o.Seen,
	}
	for rank, r := range m.replicas {
		m.holdUntil[rank] = now
		m.tiers = append(m.tiers, tier(o.Self, r))
	}
	m.connectSearch.nextAttemptAt = now + control.Micros(m.random()*float64(m.timing.StartWithin))
	return m
}

// Seen is the highest revision seen.
func (m *Machine) Seen() uint64 { return m.highestRevision }

// Current gives the replica of the current session, and whether there is one.
func (m *Machine) Current() (Replica, bool) {
	if m.current == nil {
		return Replica{}, false
	}
	return m.replicas[m.current.rank], true
}

// Wake is when Tick is to be called next, unless something happens before; false: not at all.
func (m *Machine) Wake() (control.Micros, bool) {
	if len(m.replicas) == 0 {
		return 0, false
	}
	next := control.Micros(math.MaxInt64)
	if m.current != nil {
		next = m.heartbeatDue()
	}
	switch {
	case m.attempt != nil:
		next = min(next, m.attempt.startedAt+m.timing.ConnectWithin)
	case m.current == nil:
		next = m.connectSearch.nextAttemptAt
	case m.betterMayExist():
		next = min(next, m.betterSearch.nextAttemptAt)
	}
	return next, true
}

// maxHeartbeatInterval is the longest heartbeat interval that a replica is believed.
const maxHeartbeatInterval control.Micros = 30e6

// heartbeatDue is when the current session is given up unless an event comes.
func (m *Machine) heartbeatDue() control.Micros {
	return m.current.lastEventAt + max(m.timing.HeartbeatWithin, HeartbeatsMissed*m.current.heartbeatInterval)
}

// betterMayExist tells whether there may be a better replica than that of the current session.
func (m *Machine) betterMayExist() bool {
	return m.current.leaderless && len(m.replicas) > 1 || m.current.rank > 0
}

// Tick does what is due at a time.
func (m *Machine) Tick(now control.Micros) []Action {
	m.actions = nil
	if len(m.replicas) == 0 {
		return nil
	}
	if m.current != nil && now >= m.heartbeatDue() {
		m.emit(Action{Do: Close, Session: m.current.id})
		m.handleCurrentEnd(now, End{Reason: timedOut})
	}
	if m.attempt != nil && now >= m.attempt.startedAt+m.timing.ConnectWithin {
		m.emit(Action{Do: Close, Session: m.attempt.id})
		m.handleAttemptEnd(now, End{Reason: timedOut})
	}
	m.startIfDue(now)
	return m.actions
}

// Ended hands in that a session has ended that was not closed.
func (m *Machine) Ended(now control.Micros, session uint64, e End) []Action {
	m.actions = nil
	m.handleEnd(now, session, e)
	m.startIfDue(now)
	return m.actions
}

func (m *Machine) handleEnd(now control.Micros, session uint64, e End) {
	switch {
	case m.current != nil && m.current.id == session:
		m.handleCurrentEnd(now, e)
	case m.attempt != nil && m.attempt.id == session:
		m.handleAttemptEnd(now, e)
	}
}

// Heard hands in an event of a session. Its records are to be taken over only if Accept is among the actions.
func (m *Machine) Heard(now control.Micros, session uint64, e Event) []Action {
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
	if l.violatesProtocol(e) {
		m.emit(Action{Do: Close, Session: l.id})
		m.handleEnd(now, session, End{Reason: Refused})
		m.startIfDue(now)
		return m.actions
	}
	l.lastEventAt, l.revision = now, e.Revision
	l.events++
	if e.Kind == Heartbeat {
		l.heartbeatInterval = min(e.Every, maxHeartbeatInterval)
		m.setLeaderless(now, l, e.Leaderless > m.timing.LeaderlessAfter)
	}
	if l == m.current || m.tryPromoteAttempt(now, e.Kind) {
		m.accept(e)
	}
	m.startIfDue(now)
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
		m.restartBetterSearch(now)
	}
}

// restartBetterSearch begins a search for a better replica than that of the current session.
func (m *Machine) restartBetterSearch(now control.Micros) {
	m.betterSearch.restart()
	m.betterSearch.nextAttemptAt = now + m.betterDelay()
}

// betterDelay draws the time until the next attempts to move: with a replica without a leader the backoff, else that of a
// return to a preferred one.
func (m *Machine) betterDelay() control.Micros {
	if m.current.leaderless {
		return m.backoff(&m.betterSearch)
	}
	return control.Micros((1 + m.random()) / 2 * float64(m.timing.ReturnEvery))
}

// violatesProtocol tells whether an event breaks the protocol: a session's revisions never fall, and one without a revision to go on
// from begins with a snapshot.
func (l *link) violatesProtocol(e Event) bool {
	return l.events > 0 && e.Revision < l.revision || l.events == 0 && l.startRevision == 0 && e.Kind != Snapshot
}

// tryPromoteAttempt makes the attempt the current session if it is as new as what was seen and better than the current one.
func (m *Machine) tryPromoteAttempt(now control.Micros, kind EventKind) bool {
	attempt := m.attempt
	switch {
	case attempt.revision < attempt.startRevision, attempt.revision < m.highestRevision && attempt.startRevision == 0: // older than what was asked for; a snapshot that is too old
		m.emit(Action{Do: Close, Session: attempt.id})
		m.handleAttemptEnd(now, End{Reason: Behind})
		return false
	case attempt.revision < m.highestRevision: // the current session has moved on meanwhile: this one must draw level within ConnectWithin
		return false
	case m.current != nil && kind != Heartbeat && attempt.revision == m.highestRevision: // only a heartbeat tells whether it has a leader
		return false
	case m.current != nil && !m.isBetter(attempt):
		m.emit(Action{Do: Close, Session: attempt.id})
		if attempt.leaderless {
			m.holdUntil[attempt.rank] = now + m.timing.LeaderlessHold
		}
		m.handleAttemptEnd(now, End{Reason: Lost})
		return false
	}
	if m.current != nil {
		m.emit(Action{Do: Close, Session: m.current.id})
		m.resetBackoffIfStable(now)
	}
	m.current, m.attempt = attempt, nil
	attempt.startedAt = now
	m.consecutiveRefusals[attempt.rank] = 0
	m.restartBetterSearch(now)
	return true
}

// isBetter tells whether an attempt is better than the current session.
func (m *Machine) isBetter(l *link) bool {
	if m.current.leaderless != l.leaderless {
		return m.current.leaderless
	}
	return l.rank < m.current.rank
}

// accept takes an event of the current session, unless it brings nothing new.
func (m *Machine) accept(e Event) {
	if e.Kind != Snapshot && e.Revision <= m.highestRevision {
		return
	}
	m.highestRevision, m.hasRecords = e.Revision, true
	m.emit(Action{Do: Accept, Session: m.current.id})
}

// handleCurrentEnd ends the current session. After the backoff another replica is tried; one that cut off a session that had lasted,
// since this gatekeeper was too slow, is asked again itself.
func (m *Machine) handleCurrentEnd(now control.Micros, e End) {
	lasted := m.resetBackoffIfStable(now)
	rank := m.current.rank
	m.current = nil
	m.connectSearch.recordFailure(m.tiers[rank], e.Reason == timedOut)
	m.hold(now, rank, e)
	if m.shouldWaitFor(rank, e) {
		m.connectSearch.nextAttemptAt = m.holdUntil[rank]
		return
	}
	m.connectSearch.tried[rank] = e.Reason != TooSlow || !lasted
	m.scheduleRetry(now)
}

// resetBackoffIfStable resets the backoff if the current session has lasted, and tells whether it has.
func (m *Machine) resetBackoffIfStable(now control.Micros) bool {
	if now-m.current.startedAt < m.timing.StableAfter {
		return false
	}
	m.connectSearch.restart()
	clear(m.consecutiveRefusals)
	return true
}

// handleAttemptEnd ends the attempt.
func (m *Machine) handleAttemptEnd(now control.Micros, e End) {
	rank := m.attempt.rank
	m.attempt = nil
	m.hold(now, rank, e)
	if m.current != nil {
		m.betterSearch.tried[rank] = true
		m.betterSearch.nextAttemptAt = now
		if m.current.leaderless {
			m.betterSearch.nextAttemptAt += m.backoff(&m.betterSearch)
		}
		return
	}
	m.connectSearch.recordFailure(m.tiers[rank], e.Reason == timedOut)
	if m.shouldWaitFor(rank, e) {
		m.connectSearch.nextAttemptAt = m.holdUntil[rank]
		return
	}
	m.consecutiveRefusals[rank] = 0
	m.connectSearch.tried[rank] = true
	m.scheduleRetry(now)
}

// hold keeps a replica from being tried for as long as the end of its session demands.
func (m *Machine) hold(now control.Micros, rank int, e End) {
	switch e.Reason {
	case ComeBack:
		m.consecutiveRefusals[rank]++
		m.holdUntil[rank] = now + max(e.After, m.timing.BehindWait) // never at once, whatever the replica says
	case Refused:
		m.holdUntil[rank] = now + m.timing.FaultHold
	case Behind:
		m.holdUntil[rank] = now + m.timing.BehindWait + control.Micros(m.random()*float64(m.timing.BehindWait))
	}
}

// shouldWaitFor tells whether a replica that admits no session now is waited for, so that others aren't tried. It has promised a
// place, and keeps room for it: a gatekeeper that asked the others meanwhile would have a place at each of them, and after an
// outage all of these together are many times what the replicas admit.
func (m *Machine) shouldWaitFor(rank int, e End) bool {
	maxAttempts := SameTries
	if m.connectSearch.round > 0 {
		maxAttempts = LaterTries
	}
	return e.Reason == ComeBack && e.After <= m.timing.ComeBackWait && m.consecutiveRefusals[rank] < maxAttempts
}

// startIfDue begins an attempt if one is due.
func (m *Machine) startIfDue(now control.Micros) {
	switch {
	case m.attempt != nil:
	case m.current == nil && now >= m.connectSearch.nextAttemptAt:
		m.startConnect(now)
	case m.current != nil && m.betterMayExist() && now >= m.betterSearch.nextAttemptAt:
		m.startMove(now)
	}
}

// startConnect tries the best replica that was not tried in this round. Those on hold are left out; if all others were tried the
// next round begins, and if all are on hold the first that is off hold is waited for.
func (m *Machine) startConnect(now control.Micros) {
	rank := m.pickToConnect(now)
	if rank < 0 && slices.Contains(m.connectSearch.tried, true) {
		m.connectSearch.nextRound()
		rank = m.pickToConnect(now)
	}
	if rank < 0 {
		m.connectSearch.nextAttemptAt = m.earliestHoldEnd()
		return
	}
	m.openSession(now, rank)
}

// scheduleRetry sets the time of the next attempt.
func (m *Machine) scheduleRetry(now control.Micros) {
	if !slices.Contains(m.connectSearch.tried, false) {
		m.connectSearch.nextRound()
	}
	m.connectSearch.nextAttemptAt = now + m.backoff(&m.connectSearch)
}

// startMove tries a better replica than that of the current session, and ends the round when each was tried.
func (m *Machine) startMove(now control.Micros) {
	rankLimit := m.current.rank
	if m.current.leaderless {
		rankLimit = len(m.replicas)
	}
	if rank := m.pick(now, &m.betterSearch, rankLimit, m.current.rank); rank >= 0 {
		m.openSession(now, rank)
		return
	}
	m.betterSearch.nextRound()
	m.betterSearch.nextAttemptAt = now + m.betterDelay()
}

func (m *Machine) openSession(now control.Micros, rank int) {
	m.lastID++
	after := m.highestRevision
	if !m.hasRecords {
		after = 0
	}
	m.attempt = &link{id: m.lastID, rank: rank, startRevision: after, startedAt: now, lastEventAt: now}
	m.emit(Action{Do: Connect, Session: m.lastID, Replica: m.replicas[rank], After: after})
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }
