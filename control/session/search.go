package session

import "beammux/control"

// search goes through replicas in rounds. In a round each replica is tried once; the wait before each attempt is drawn
// evenly from 0 up to a bound that doubles from round to round (exponential backoff with full jitter).
type search struct {
	tried         []bool // in this round, by rank
	round         int
	nextAttemptAt control.Micros // the next attempt

	// unanswered counts how many replicas in a row gave no answer at all in this round, and tier is that of the last.
	unanswered int
	lastTier   int
}

func newSearch(replicas int) search { return search{tried: make([]bool, replicas)} }

// restart begins a new search.
func (s *search) restart() {
	s.round, s.unanswered = 0, 0
	clear(s.tried)
}

// nextRound ends a round.
func (s *search) nextRound() {
	s.round++
	s.unanswered = 0
	clear(s.tried)
}

// maxUnansweredInRow is how many replicas in a row that give no answer lead to the next tier: a whole zone or region is likely to be
// lost then, and each further one would cost ConnectWithin.
const maxUnansweredInRow = 2

// recordFailure takes down how an attempt at a replica of a tier has failed.
func (s *search) recordFailure(tier int, silent bool) {
	s.lastTier = tier
	s.unanswered++
	if !silent {
		s.unanswered = 0
	}
}

// maxDelay is the longest wait before an attempt of the present round.
func (s *search) maxDelay(t *Timing) control.Micros {
	bound := t.BackoffBase
	for range s.round {
		if bound >= t.BackoffCap/2 {
			return t.BackoffCap
		}
		bound *= 2
	}
	return min(bound, t.BackoffCap)
}

// backoff draws the wait before an attempt.
func (m *Machine) backoff(s *search) control.Micros {
	return control.Micros(m.random() * float64(s.maxDelay(&m.timing)))
}

// pickToConnect gives the best replica that may be tried now for a session at all, -1 if there is none. After silentSkip replicas in
// a row that gave no answer it is the best one of the next tier, if there is one.
func (m *Machine) pickToConnect(now control.Micros) int {
	if m.connectSearch.unanswered >= maxUnansweredInRow {
		for rank := range m.replicas {
			if m.tiers[rank] > m.connectSearch.lastTier && m.mayTry(now, &m.connectSearch, rank) {
				return rank
			}
		}
	}
	return m.pick(now, &m.connectSearch, len(m.replicas), -1)
}

// pick gives the best replica that may be tried now in a round: below a rank, not tried yet, not on hold, not the one to
// leave out; -1 if there is none.
func (m *Machine) pick(now control.Micros, s *search, rankLimit, except int) int {
	for rank := range rankLimit {
		if rank != except && m.mayTry(now, s, rank) {
			return rank
		}
	}
	return -1
}

// mayTry tells whether a replica was not tried in a round and is not on hold.
func (m *Machine) mayTry(now control.Micros, s *search, rank int) bool {
	return !s.tried[rank] && m.holdUntil[rank] <= now
}

// earliestHoldEnd is the time at which the first replica is off hold.
func (m *Machine) earliestHoldEnd() control.Micros {
	earliest := m.holdUntil[0]
	for _, until := range m.holdUntil[1:] {
		earliest = min(earliest, until)
	}
	return earliest
}
