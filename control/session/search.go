package session

import "beammux/control"

// search goes through replicas in rounds. In a round each replica is tried once; the wait before each attempt is drawn
// evenly from 0 up to a bound that doubles from round to round (exponential backoff with full jitter).
type search struct {
	tried []bool // in this round, by rank
	round int
	at    control.Micros // the next attempt
}

func newSearch(replicas int) search { return search{tried: make([]bool, replicas)} }

// restart begins a new search.
func (s *search) restart() {
	s.round = 0
	clear(s.tried)
}

// nextRound ends a round.
func (s *search) nextRound() {
	s.round++
	clear(s.tried)
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

// pick gives the best replica that may be tried now in a round: below a rank, not tried yet, not on hold, not the one to
// leave out; -1 if there is none.
func (m *Machine) pick(now control.Micros, s *search, below, except int) int {
	for rank := range below {
		if rank != except && !s.tried[rank] && m.holds[rank] <= now {
			return rank
		}
	}
	return -1
}

// earliestHold is the time at which the first replica is off hold.
func (m *Machine) earliestHold() control.Micros {
	earliest := m.holds[0]
	for _, until := range m.holds[1:] {
		earliest = min(earliest, until)
	}
	return earliest
}
