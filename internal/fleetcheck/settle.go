package fleetcheck

import (
	"slices"

	"beammux/control"
)

// Parameters of the time to settle. A fault has settled once every gatekeeper that it stopped is ready again and the share of
// established calls, over a window, is back to most of its value before the fault.
const (
	bucketLength   = control.Micros(100000)  // length of a bucket
	windowBuckets  = 10                      // buckets: 1 s
	baselineLength = control.Micros(3000000) // interval before a fault over which the previous share is measured
	recoveredShare = 0.9                     // fraction of the previous share
	minCalls       = 5                       // minimum number of calls in a window for a valid share
)

// Settled describes how the fleet recovered from one fault.
type Settled struct {
	Fault       string         `json:"fault"`
	From        control.Micros `json:"from"`
	To          control.Micros `json:"to"`
	ShareBefore float64        `json:"stood_before"`       // share of established calls over the 3 s before the fault
	ShareDuring float64        `json:"stood_during"`       // share of established calls during the fault
	SettleTime  control.Micros `json:"settled_us"`         // from the end of the fault; -1: not within the run, or too few calls to measure
	Noticed     control.Micros `json:"noticed_us"`         // from the beginning of the fault until the views of all running gatekeepers contain just these; -1: not before its end
	Agreed      control.Micros `json:"agreed_us"`          // from the end of the fault, or until all are ready, until all views are equal and contain all; -1: not within the run
	AgreedAt    control.Micros `json:"whole_at,omitempty"` // time of that agreement; 0: not within the run
	Overlapped  bool           `json:"overlapped"`         // another fault was active before this one settled
}

// Bucket counts the outcomes of the calls that were sent in one tenth of a second.
type Bucket struct {
	At                    control.Micros
	Tries                 int
	Established           int `json:"Stood"`
	Refused, Failed, Lost int
}

// timeline holds the outcomes of calls over time and the faults of a run.
type timeline struct {
	begin      control.Micros
	outcomes   []Bucket
	at         map[string]int // index of the bucket of each call without an outcome
	faults     []Settled
	notReady   map[string][]span
	faultIndex map[string]int
}

// bucket returns the index of the bucket of a time and adds buckets up to it if needed.
func (t *timeline) bucket(at control.Micros) int {
	if t.at == nil {
		t.begin, t.at = at, map[string]int{}
	}
	i := int(max(at-t.begin, 0) / bucketLength)
	for len(t.outcomes) <= i {
		t.outcomes = append(t.outcomes, Bucket{At: t.begin + control.Micros(len(t.outcomes))*bucketLength})
	}
	return i
}

// tried counts a call that was sent.
func (t *timeline) tried(e *Event) {
	i := t.bucket(e.At)
	t.outcomes[i].Tries++
	t.at[e.Call] = i
}

// outcome counts the outcome of a call.
func (t *timeline) outcome(e *Event, established bool) {
	i, known := t.at[e.Call]
	if !known { // never sent
		i = t.bucket(e.At)
		t.outcomes[i].Tries++
	}
	delete(t.at, e.Call)
	switch row := &t.outcomes[i]; {
	case established:
		row.Established++
	case e.Kind == Refused:
		row.Refused++
	case e.Kind == Failed:
		row.Failed++
	default:
		row.Lost++
	}
}

// down records that a gatekeeper is not ready; a paused one stays ready.
func (t *timeline) down(e *Event) {
	if t.notReady == nil {
		t.notReady = map[string][]span{}
	}
	if s := t.notReady[e.Process]; e.Kind != Paused && !open(s) {
		t.notReady[e.Process] = append(s, span{from: e.At})
	}
}

// ready records that a gatekeeper is ready.
func (t *timeline) ready(e *Event) {
	if s := t.notReady[e.Process]; open(s) {
		s[len(s)-1].to = e.At
	}
}

// fault records the beginning or end of a fault.
func (t *timeline) fault(e *Event) {
	if t.faultIndex == nil {
		t.faultIndex = map[string]int{}
	}
	if e.Kind == FaultBegan {
		t.faultIndex[e.What] = len(t.faults)
		t.faults = append(t.faults, Settled{Fault: e.What, From: e.At, SettleTime: -1})
		return
	}
	if i, ok := t.faultIndex[e.What]; ok && t.faults[i].To == 0 {
		t.faults[i].To = e.At
	}
}

// buckets returns a copy of all buckets.
func (t *timeline) buckets() []Bucket { return slices.Clone(t.outcomes) }

// establishedShare returns the share of established calls among those sent between two times; ok is false if there are too few calls.
func (t *timeline) establishedShare(from, to control.Micros) (share float64, ok bool) {
	tries, established := 0, 0
	for _, b := range t.outcomes {
		if b.At+bucketLength > from && b.At < to {
			tries += b.Tries
			established += b.Established
		}
	}
	if tries < minCalls {
		return 0, false
	}
	return float64(established) / float64(tries), true
}

// settledFaults returns the faults with their times to settle.
func (t *timeline) settledFaults() []Settled {
	results := slices.Clone(t.faults)
	for i := range results {
		f := &results[i]
		if f.To == 0 {
			continue
		}
		f.ShareBefore, _ = t.establishedShare(f.From-baselineLength, f.From)
		f.ShareDuring, _ = t.establishedShare(f.From, f.To)
		goal := f.ShareBefore * recoveredShare
		from := f.To
		for _, spans := range t.notReady {
			for _, s := range spans {
				if s.from >= f.From && s.from <= f.To {
					if s.to == 0 {
						from = -1
					} else if from >= 0 {
						from = max(from, s.to)
					}
				}
			}
		}
		if from < 0 || len(t.outcomes) == 0 {
			continue
		}
		end := t.outcomes[len(t.outcomes)-1].At + bucketLength
		for at := from; at+windowBuckets*bucketLength <= end; at += bucketLength {
			if p, ok := t.establishedShare(at, at+windowBuckets*bucketLength); ok && p >= goal {
				f.SettleTime = at - f.To
				break
			}
		}
		for j, other := range results {
			settledAt := f.To + max(f.SettleTime, 0)
			if j != i && other.From < settledAt && (other.To == 0 || other.To > f.From) {
				f.Overlapped = true
			}
		}
	}
	return results
}
