package ejection

import (
	"cmp"
	"slices"

	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/control/outlier"
	"beammux/control/registers"
	"beammux/internal/counting"
)

// numberTally counts the busy answers of one number.
type numberTally struct {
	count                 int
	lastBusy, lastSuccess control.Micros
}

// observeNumber counts a busy answer, or notes that a call to a number known as busy was established.
func (m *Monitor) observeNumber(now control.Micros, s counting.Event) {
	m.tallyMu.Lock()
	defer m.tallyMu.Unlock()
	t := m.numberTallies[s.Number]
	switch {
	case t == nil && (s.Kind == counting.Established || len(m.numberTallies) >= maxNumbers || len(s.Number) > maxNumberLength):
		return
	case t == nil:
		t = &numberTally{lastSuccess: -1}
		m.numberTallies[s.Number] = t
	}
	if s.Kind == counting.Established {
		t.lastSuccess = now
		return
	}
	t.count++
	t.lastBusy = now
}

// numberObservations returns what this gatekeeper publishes of numbers: the newest first, as many as fit into a register. It
// drops the numbers that are busy no longer.
func (m *Monitor) numberObservations(now control.Micros) (all []outlier.NumberObservation) {
	m.tallyMu.Lock()
	defer m.tallyMu.Unlock()
	for number, t := range m.numberTallies {
		if now-t.lastBusy >= outlier.BusyTime {
			delete(m.numberTallies, number)
			continue
		}
		n := outlier.NumberObservation{Number: number, Busy: min(t.count, 99), BusyAge: max(0, now-t.lastBusy), SuccessAge: -1}
		if t.lastSuccess >= 0 {
			n.SuccessAge = max(0, now-t.lastSuccess)
		}
		all = append(all, n)
	}
	slices.SortFunc(all, func(a, b outlier.NumberObservation) int {
		return cmp.Or(cmp.Compare(a.BusyAge, b.BusyAge), cmp.Compare(a.Number, b.Number))
	})
	bytesLeft := maxRegisterBytes
	for i, n := range all {
		if bytesLeft -= len(n.Number) + numberOverhead; bytesLeft < 0 {
			return all[:i]
		}
	}
	return all
}

// updateNumbers publishes and reads observations of numbers, and calls SetBusyNumber for those with a newer busy answer.
func (m *Monitor) updateNumbers(now control.Micros, isolated []string) {
	own := m.numberObservations(now)
	if text, err := encoding.Marshal(own); err == nil && (len(own) > 0 || m.publishedNumbers) {
		m.publishedNumbers = len(own) > 0
		m.gossip.Publish(registers.Numbers, text)
	}
	all := []outlier.NumberEvidence{{Member: m.options.Name, Numbers: own}}
	for _, r := range m.gossip.Read(registers.Numbers) {
		var observations []outlier.NumberObservation
		if r.Origin != m.options.Name && m.decoding.Unmarshal(r.Value, &observations) == nil {
			all = append(all, outlier.NumberEvidence{Member: r.Origin, Age: r.Age, Numbers: observations})
		}
	}
	busy := outlier.BusyNumbers(now, all, isolated)
	m.mu.Lock()
	before := m.busyNumbers
	m.busyNumbers = busy
	m.mu.Unlock()
	for _, b := range busy {
		if b.LastBusy > m.lastNotified[b.Number]+renotifyAfter {
			m.lastNotified[b.Number] = b.LastBusy
			m.options.SetBusyNumber(b.Number, b.LastBusy)
		}
		if !slices.ContainsFunc(before, func(o outlier.BusyNumber) bool { return o.Number == b.Number }) {
			m.options.Log.WithFields(logrus.Fields{"number": b.Number, "witnesses": len(b.Witnesses)}).Warn("verdict: all lines of a number are busy")
		}
	}
	for number, at := range m.lastNotified {
		if now-at > 2*outlier.BusyTime {
			delete(m.lastNotified, number)
		}
	}
}
