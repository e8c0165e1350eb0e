package session

import "beammux/control"

// search goes through replicas in rounds. In a round each replica is tried once; the wait before each attempt is drawn
// evenly from 0 up to a bound that doubles from round to round (exponential backoff with full jitter).
type search struct {
	tried []bool // in this round, by rank
	round int
	at    control.Micros // the next attempt

	// silent counts how many replicas in a row gave no answer at all in this round, and tier is that of the last.
	silent int
	tier   int
}

func newSearch(replicas int) search { return search{tried: make([]bool, replicas)} }

// restart begins a new search.
func (s *search) restart() {
	s.round, s.silent = 0, 0
	clear(s.tried)
}

// nextRound ends a round.
func (s *search) nextRound() {
	s.round++
	s.silent = 0
	clear(s.tried)
}

// silentSkip is how many replicas in a row that give no answer lead to the next tier: a whole zone or region is likely to be
// lost then, and each further one would cost ConnectWithin.
const silentSkip = 2

// note takes down how an attempt at a replica of a tier has failed.
func (s *search) note(tier int, silent bool) {
	s.tier = tier
	s.silent++
	if !silent {
		s.silent = 0
	}
}

// bound is the longest wait before an attempt of the present round.
func (s *search) bound(t *Timing) control.Micros {
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
	return control.Micros(m.random() * float64(s.bound(&m.timing)))
}

// pickAny gives the best replica that may be tried now for a session at all, -1 if there is none. After silentSkip replicas in
// a row that gave no answer it is the best one of the next tier, if there is one.
func (m *Machine) pickAny(now control.Micros) int {
	if m.connect.silent >= silentSkip {
		for rank := range m.replicas {
			if m.tiers[rank] > m.connect.tier && m.mayTry(now, &m.connect, rank) {
				return rank
			}
		}
	}
	return m.pick(now, &m.connect, len(m.replicas), -1)
}

// pick gives the best replica that may be tried now in a round: below a rank, not tried yet, not on hold, not the one to
// leave out; -1 if there is none.
func (m *Machine) pick(now control.Micros, s *search, below, except int) int {
	for rank := range below {
		if rank != except && m.mayTry(now, s, rank) {
			return rank
		}
	}
	return -1
}

// mayTry tells whether a replica was not tried in a round and is not on hold.
func (m *Machine) mayTry(now control.Micros, s *search, rank int) bool {
	return !s.tried[rank] && m.holds[rank] <= now
}

// earliestHold is the time at which the first replica is off hold.
func (m *Machine) earliestHold() control.Micros {
	earliest := m.holds[0]
	for _, until := range m.holds[1:] {
		earliest = min(earliest, until)
	}
	return earliest
}
