package ejection

import (
	"cmp"
	"slices"

	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/control/outlier"
	"beammux/control/registers"
)

// ObserveCaller counts a connection from a caller's address. wellFormed is set if a whole message was received on it. The method
// can be used as jsonl.Front.Seen and sip.Options.Seen.
func (m *Monitor) ObserveCaller(address string, wellFormed bool) {
	now := m.options.Now()
	m.tallyMu.Lock()
	defer m.tallyMu.Unlock()
	t := m.callerTallies[address]
	if t == nil {
		if len(m.callerTallies) >= maxCallers {
			return
		}
		t = &tally{decayedAt: now, lastSuccess: -1, lastFailure: -1}
		m.callerTallies[address] = t
	}
	t.decay(now)
	if wellFormed {
		t.successes++
	} else {
		t.failures++
		t.lastFailure = now
	}
}

// callerObservations returns the observations of callers that this gatekeeper publishes, those with the most failed connections
// first. It drops the callers whose counts have decayed.
func (m *Monitor) callerObservations(now control.Micros) (all []outlier.CallerObservation) {
	m.tallyMu.Lock()
	defer m.tallyMu.Unlock()
	for address, t := range m.callerTallies {
		if t.decay(now); t.successes+t.failures < minKept {
			delete(m.callerTallies, address)
		} else if t.failures >= minPublished {
			all = append(all, outlier.CallerObservation{Address: address, Successes: quantize(t.successes), Failures: quantize(t.failures), FailureAge: max(0, now-t.lastFailure)})
		}
	}
	slices.SortFunc(all, func(a, b outlier.CallerObservation) int {
		return cmp.Or(cmp.Compare(b.Failures, a.Failures), cmp.Compare(a.Address, b.Address))
	})
	return all[:min(len(all), maxCallersPublished)]
}

// updateCallers publishes this gatekeeper's observations of callers, reads those of the other members, and updates the blocked
// callers.
func (m *Monitor) updateCallers(now control.Micros) {
	own := m.callerObservations(now)
	if encoded, err := encoder.Marshal(own); err == nil && (len(own) > 0 || m.publishedCallers) {
		m.publishedCallers = len(own) > 0
		m.gossip.Publish(registers.Callers, encoded)
	}
	all := []outlier.CallerEvidence{{Member: m.options.Name, Callers: own}}
	for _, r := range m.gossip.Read(registers.Callers) {
		var observations []outlier.CallerObservation
		if r.Origin != m.options.Name && m.decoder.Unmarshal(r.Value, &observations) == nil {
			all = append(all, outlier.CallerEvidence{Member: r.Origin, Age: r.Age, Callers: observations})
		}
	}
	m.mu.Lock()
	before := m.blockedCallers
	m.blockedCallers = m.callerFilter.Update(now, all)
	blocked := m.blockedCallers
	m.mu.Unlock()
	for _, a := range blocked {
		if !slices.ContainsFunc(before, func(o outlier.BlockedCaller) bool { return o.Address == a.Address }) {
			m.options.Log.WithFields(logrus.Fields{"address": a.Address, "witnesses": len(a.Witnesses)}).Warn("verdict: a caller is turned away at the door")
		}
	}
}

// Blocked reports whether a caller's address is blocked now, and counts the connection if it is.
func (m *Monitor) Blocked(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	blocked := slices.ContainsFunc(m.blockedCallers, func(a outlier.BlockedCaller) bool { return a.Address == address })
	if blocked {
		m.blockedConnections++
	}
	return blocked
}

// BlockedConnections returns how many connections were closed since the start of the process because their address was blocked.
func (m *Monitor) BlockedConnections() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.blockedConnections
}
