package session

import "beammux/control"

// search goes through replicas in rounds. In a round each replica is tried once; the delay before each attempt is drawn
// uniformly between 0 and a bound that doubles from round to round (exponential backoff with full jitter).
type search struct {
	tried         []bool // by rank: tried in this round
	round         int
	nextAttemptAt control.Micros // time of the next attempt

	// unanswered counts consecutive replicas in this round that did not answer at all; tier is the tier of the last
	// replica tried.
	unanswered int
	tier       int
}

func newSearch(replicas int) search { return search{tried: make([]bool, replicas)} }

// restart begins a new search.
func (s *search) restart() {
	s.round, s.unanswered = 0, 0
	clear(s.tried)
}

// nextRound ends the current round.
func (s *search) nextRound() {
	s.round++
	s.unanswered = 0
	clear(s.tried)
}

// maxUnansweredInRow is the number of consecutive replicas without an answer after which the next tier is tried: the
// whole zone or region is likely unreachable then, and each further replica of it would cost ConnectTimeout.
const maxUnansweredInRow = 2

// recordFailure records that an attempt at a replica of a tier has failed, and whether the replica gave no answer at all.
func (s *search) recordFailure(tier int, unanswered bool) {
	s.tier = tier
	s.unanswered++
	if !unanswered {
		s.unanswered = 0
	}
}

// maxDelay returns the longest delay before an attempt of the current round.
func (s *search) maxDelay(t *Timing) control.Micros {
	maxDelay := t.BackoffBase
	for range s.round {
		if maxDelay >= t.BackoffCap/2 {
			return t.BackoffCap
		}
		maxDelay *= 2
	}
	return min(maxDelay, t.BackoffCap)
}

// backoff draws the delay before an attempt.
func (m *Machine) backoff(s *search) control.Micros {
	return control.Micros(m.random() * float64(s.maxDelay(&m.timing)))
}

// pickToConnect returns the rank of the best replica that may be tried now while there is no current session, or -1 if
// there is none. After maxUnansweredInRow consecutive replicas without an answer it prefers the best replica of a later
// tier, if there is one.
func (m *Machine) pickToConnect(now control.Micros) int {
	if m.connectSearch.unanswered >= maxUnansweredInRow {
		for rank := range m.replicas {
			if m.tiers[rank] > m.connectSearch.tier && m.mayTry(now, &m.connectSearch, rank) {
				return rank
			}
		}
	}
	return m.pick(now, &m.connectSearch, len(m.replicas), -1)
}

// pick returns the best rank below rankLimit, other than except, whose replica may be tried now; -1 if there is none.
func (m *Machine) pick(now control.Micros, s *search, rankLimit, except int) int {
	for rank := range rankLimit {
		if rank != except && m.mayTry(now, s, rank) {
			return rank
		}
	}
	return -1
}

// mayTry reports whether a replica was not tried in the current round and is not on hold.
func (m *Machine) mayTry(now control.Micros, s *search, rank int) bool {
	return !s.tried[rank] && m.holdUntil[rank] <= now
}

// earliestHoldEnd returns the time at which the first hold ends.
func (m *Machine) earliestHoldEnd() control.Micros {
	earliest := m.holdUntil[0]
	for _, until := range m.holdUntil[1:] {
		earliest = min(earliest, until)
	}
	return earliest
}
