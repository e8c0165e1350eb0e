package session

import (
	"math"
	"slices"

	"beammux/control"
)

// Machine is the state of one gatekeeper's session. It has at most one current session and at most one attempt to open
// another. Without a current session the attempt establishes one; beside a current session it tries a better replica, and
// the current session stays in use until the attempt has delivered its first event. A Machine is not safe for concurrent
// use.
type Machine struct {
	timing              Timing
	random              func() float64
	replicas            []Replica        // by rank
	tiers               []int            // by rank
	holdUntil           []control.Micros // by rank: the replica is not tried before this time
	consecutiveRefusals []int            // by rank: consecutive times the replica admitted no session
	lastID              uint64
	actions             []Action

	current       *link
	attempt       *link
	connectSearch search // used while there is no current session
	betterSearch  search // for a better replica than the current one

	highestRevision uint64 // highest revision received
	hasRecords      bool   // the gatekeeper holds the records of its prefixes at highestRevision
}

// link is one session, open or being opened.
type link struct {
	id                uint64
	rank              int
	startRevision     uint64
	startedAt         control.Micros // when the attempt started; for the current session, when it became current
	lastEventAt       control.Micros // time of the last event
	events            int
	revision          uint64
	heartbeatInterval control.Micros // interval announced by the replica; 0: not announced
	// leaderless reports whether the replica has been without a leader for longer than LeaderlessAfter.
	leaderless bool
}

// New returns the machine of a gatekeeper. The first attempt starts between now and MaxStartDelay later.
func New(now control.Micros, o Options) *Machine {
	m := &Machine{
		timing: o.Timing.WithDefaults(), random: o.Random, replicas: Rank(o.Self, o.Replicas),
		holdUntil: make([]control.Micros, len(o.Replicas)), consecutiveRefusals: make([]int, len(o.Replicas)),
		connectSearch: newSearch(len(o.Replicas)), betterSearch: newSearch(len(o.Replicas)),
		highestRevision: max(o.HighestRevision, o.HeldRevision), hasRecords: o.HeldRevision > 0 && o.HeldRevision >= o.HighestRevision,
	}
	for rank, r := range m.replicas {
		m.holdUntil[rank] = now
		m.tiers = append(m.tiers, tier(o.Self, r))
	}
	m.connectSearch.nextAttemptAt = now + control.Micros(m.random()*float64(m.timing.MaxStartDelay))
	return m
}

// HighestRevision returns the highest revision received.
func (m *Machine) HighestRevision() uint64 { return m.highestRevision }

// Current returns the replica of the current session and reports whether there is one.
func (m *Machine) Current() (Replica, bool) {
	if m.current == nil {
		return Replica{}, false
	}
	return m.replicas[m.current.rank], true
}

// NextTick returns the time at which Tick must be called next unless an event arrives before. It returns false if there are
// no replicas, in which case Tick need not be called.
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
		next = min(next, m.attempt.startedAt+m.timing.ConnectTimeout)
	case m.current == nil:
		next = m.connectSearch.nextAttemptAt
	case m.betterMayExist():
		next = min(next, m.betterSearch.nextAttemptAt)
	}
	return next, true
}

// maxHeartbeatInterval is the upper bound on a heartbeat interval announced by a replica; longer ones are cut to it.
const maxHeartbeatInterval control.Micros = 30e6

// heartbeatDue returns the time at which the current session times out unless an event arrives.
func (m *Machine) heartbeatDue() control.Micros {
	return m.current.lastEventAt + max(m.timing.HeartbeatTimeout, MaxMissedHeartbeats*m.current.heartbeatInterval)
}

// betterMayExist reports whether there may be a better replica than that of the current session.
func (m *Machine) betterMayExist() bool {
	return m.current.leaderless && len(m.replicas) > 1 || m.current.rank > 0
}

// Tick processes timeouts and starts a due attempt. It returns the resulting actions in order.
func (m *Machine) Tick(now control.Micros) []Action {
	m.actions = nil
	if len(m.replicas) == 0 {
		return nil
	}
	if m.current != nil && now >= m.heartbeatDue() {
		m.emit(Action{Type: Close, Session: m.current.id})
		m.handleCurrentEnd(now, End{Reason: timedOut})
	}
	if m.attempt != nil && now >= m.attempt.startedAt+m.timing.ConnectTimeout {
		m.emit(Action{Type: Close, Session: m.attempt.id})
		m.handleAttemptEnd(now, End{Reason: timedOut})
	}
	m.startIfDue(now)
	return m.actions
}

// HandleEnd processes the end of a session that was not closed by a Close action, and returns the resulting actions in order.
func (m *Machine) HandleEnd(now control.Micros, session uint64, e End) []Action {
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

// HandleEvent processes an event received on a session and returns the resulting actions in order. The records of the event
// must be applied only if the actions contain Accept.
func (m *Machine) HandleEvent(now control.Micros, session uint64, e Event) []Action {
	m.actions = nil
	var target *link
	switch {
	case m.current != nil && m.current.id == session:
		target = m.current
	case m.attempt != nil && m.attempt.id == session:
		target = m.attempt
	default:
		return nil // the session was already closed
	}
	if target.violatesProtocol(e) {
		m.emit(Action{Type: Close, Session: target.id})
		m.handleEnd(now, session, End{Reason: ProtocolError})
		m.startIfDue(now)
		return m.actions
	}
	target.lastEventAt, target.revision = now, e.Revision
	target.events++
	if e.Kind == Heartbeat {
		target.heartbeatInterval = min(e.HeartbeatInterval, maxHeartbeatInterval)
		m.setLeaderless(now, target, e.LeaderlessFor > m.timing.LeaderlessAfter)
	}
	if target == m.current || m.tryPromoteAttempt(now, e.Kind) {
		m.accept(e)
	}
	m.startIfDue(now)
	return m.actions
}

// setLeaderless records whether a replica has long been without a leader. If this changes for the current replica, the
// search for a better replica restarts.
func (m *Machine) setLeaderless(now control.Micros, l *link, leaderless bool) {
	if l.leaderless == leaderless {
		return
	}
	l.leaderless = leaderless
	if l == m.current {
		m.restartBetterSearch(now)
	}
}

// restartBetterSearch restarts the search for a better replica than that of the current session.
func (m *Machine) restartBetterSearch(now control.Micros) {
	m.betterSearch.restart()
	m.betterSearch.nextAttemptAt = now + m.betterDelay()
}

// betterDelay draws the delay before the next round of attempts to move. If the current replica has no leader, it is the
// backoff; otherwise it is between half of ReturnInterval and ReturnInterval.
func (m *Machine) betterDelay() control.Micros {
	if m.current.leaderless {
		return m.backoff(&m.betterSearch)
	}
	return control.Micros((1 + m.random()) / 2 * float64(m.timing.ReturnInterval))
}

// violatesProtocol reports whether an event violates the protocol: the revisions of a session never decrease, and a
// session without a start revision begins with a snapshot.
func (l *link) violatesProtocol(e Event) bool {
	return l.events > 0 && e.Revision < l.revision || l.events == 0 && l.startRevision == 0 && e.Kind != Snapshot
}

// tryPromoteAttempt makes the attempt the current session if it has reached the highest revision received and is better
// than the current session. It reports whether it did.
func (m *Machine) tryPromoteAttempt(now control.Micros, kind EventKind) bool {
	candidate := m.attempt
	switch {
	case candidate.revision < candidate.startRevision, candidate.revision < m.highestRevision && candidate.startRevision == 0: // older than the requested revision, or an outdated snapshot
		m.emit(Action{Type: Close, Session: candidate.id})
		m.handleAttemptEnd(now, End{Reason: Behind})
		return false
	case candidate.revision < m.highestRevision: // the current session has advanced since: the attempt must catch up within ConnectTimeout
		return false
	case m.current != nil && kind != Heartbeat && candidate.revision == m.highestRevision: // only a heartbeat carries the leader status
		return false
	case m.current != nil && !m.isBetter(candidate):
		m.emit(Action{Type: Close, Session: candidate.id})
		if candidate.leaderless {
			m.holdUntil[candidate.rank] = now + m.timing.LeaderlessHold
		}
		m.handleAttemptEnd(now, End{Reason: Lost})
		return false
	}
	if m.current != nil {
		m.emit(Action{Type: Close, Session: m.current.id})
		m.resetBackoffIfStable(now)
	}
	m.current, m.attempt = candidate, nil
	candidate.startedAt = now
	m.consecutiveRefusals[candidate.rank] = 0
	m.restartBetterSearch(now)
	return true
}

// isBetter reports whether an attempt is better than the current session: it has a leader where the current one has none
// or, if both are alike in this, it has a better rank.
func (m *Machine) isBetter(l *link) bool {
	if m.current.leaderless != l.leaderless {
		return m.current.leaderless
	}
	return l.rank < m.current.rank
}

// accept emits Accept for an event of the current session unless the event contains nothing new.
func (m *Machine) accept(e Event) {
	if e.Kind != Snapshot && e.Revision <= m.highestRevision {
		return
	}
	m.highestRevision, m.hasRecords = e.Revision, true
	m.emit(Action{Type: Accept, Session: m.current.id})
}

// handleCurrentEnd ends the current session and schedules the next attempt. After the backoff another replica is tried. A
// replica that closed a stable session because this gatekeeper read too slowly is tried again itself.
func (m *Machine) handleCurrentEnd(now control.Micros, e End) {
	wasStable := m.resetBackoffIfStable(now)
	rank := m.current.rank
	m.current = nil
	m.connectSearch.recordFailure(m.tiers[rank], e.Reason == timedOut)
	m.hold(now, rank, e)
	if m.shouldWaitFor(rank, e) {
		m.connectSearch.nextAttemptAt = m.holdUntil[rank]
		return
	}
	m.connectSearch.tried[rank] = e.Reason != TooSlow || !wasStable
	m.scheduleRetry(now)
}

// resetBackoffIfStable resets the backoff if the current session has lasted for StableAfter, and reports whether it has.
func (m *Machine) resetBackoffIfStable(now control.Micros) bool {
	if now-m.current.startedAt < m.timing.StableAfter {
		return false
	}
	m.connectSearch.restart()
	clear(m.consecutiveRefusals)
	return true
}

// handleAttemptEnd ends the attempt and schedules the next one.
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

// hold sets the time before which a replica is not tried again, depending on how its session ended.
func (m *Machine) hold(now control.Micros, rank int, e End) {
	switch e.Reason {
	case RetryLater:
		m.consecutiveRefusals[rank]++
		m.holdUntil[rank] = now + max(e.RetryAfter, m.timing.BehindHold) // never immediately, even if the replica announces a shorter time
	case ProtocolError:
		m.holdUntil[rank] = now + m.timing.FaultHold
	case Behind:
		m.holdUntil[rank] = now + m.timing.BehindHold + control.Micros(m.random()*float64(m.timing.BehindHold))
	}
}

// shouldWaitFor reports whether to wait for a replica that admits no session now instead of trying others. The replica
// has reserved a slot for this gatekeeper. If the gatekeeper requested sessions from other replicas in the meantime, it
// would hold a slot at each of them, and after an outage all these slots together would be many times what the replicas
// admit.
func (m *Machine) shouldWaitFor(rank int, e End) bool {
	maxAttempts := FirstRoundAttempts
	if m.connectSearch.round > 0 {
		maxAttempts = LaterRoundAttempts
	}
	return e.Reason == RetryLater && e.RetryAfter <= m.timing.MaxRetryAfter && m.consecutiveRefusals[rank] < maxAttempts
}

// startIfDue starts an attempt if one is due.
func (m *Machine) startIfDue(now control.Micros) {
	switch {
	case m.attempt != nil:
	case m.current == nil && now >= m.connectSearch.nextAttemptAt:
		m.startConnect(now)
	case m.current != nil && m.betterMayExist() && now >= m.betterSearch.nextAttemptAt:
		m.startMove(now)
	}
}

// startConnect tries the best replica that was not tried in this round and is not on hold. If all others were tried, the
// next round begins; if all are on hold, the attempt is delayed until the first hold ends.
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

// startMove tries a better replica than that of the current session, and ends the round once each was tried.
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
	startRevision := m.highestRevision
	if !m.hasRecords {
		startRevision = 0
	}
	m.attempt = &link{id: m.lastID, rank: rank, startRevision: startRevision, startedAt: now, lastEventAt: now}
	m.emit(Action{Type: Connect, Session: m.lastID, Replica: m.replicas[rank], StartRevision: startRevision})
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }
