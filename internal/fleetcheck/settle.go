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
	Fault   string         `json:"fault"`
	From    control.Micros `json:"from"`
	To      control.Micros `json:"to"`
	Before  float64        `json:"stood_before"`       // share of established calls over the 3 s before the fault
	During  float64        `json:"stood_during"`       // share of established calls during the fault
	Took    control.Micros `json:"settled_us"`         // from the end of the fault; -1: not within the run, or too few calls to measure
	Noticed control.Micros `json:"noticed_us"`         // from the beginning of the fault until the views of all running gatekeepers contain just these; -1: not before its end
	Agreed  control.Micros `json:"agreed_us"`          // from the end of the fault, or until all are ready, until all views are equal and contain all; -1: not within the run
	Whole   control.Micros `json:"whole_at,omitempty"` // time of that agreement; 0: not within the run
	Overlap bool           `json:"overlapped"`         // another fault was active before this one settled
}

// Bucket counts the outcomes of the calls that were sent in one tenth of a second.
type Bucket struct {
	At                    control.Micros
	Tries                 int
	Established           int `json:"Stood"`
	Refused, Failed, Lost int
}

// timeline is the timeline of a run: the outcomes of calls over time and the faults.
type timeline struct {
	begin      control.Micros
	rows       []Bucket
	at         map[string]int // index of the bucket of each call without an outcome
	faults     []Settled
	notReady   map[string][]span
	faultIndex map[string]int
}

// bucket returns the index of the bucket of a time and adds buckets up to it if needed.
func (c *timeline) bucket(at control.Micros) int {
	if c.at == nil {
		c.begin, c.at = at, map[string]int{}
	}
	i := int(max(at-c.begin, 0) / bucketLength)
	for len(c.rows) <= i {
		c.rows = append(c.rows, Bucket{At: c.begin + control.Micros(len(c.rows))*bucketLength})
	}
	return i
}

// tried counts a call that was sent.
func (c *timeline) tried(e *Event) {
	i := c.bucket(e.At)
	c.rows[i].Tries++
	c.at[e.Call] = i
}

// outcome counts the outcome of a call.
func (c *timeline) outcome(e *Event, established bool) {
	i, known := c.at[e.Call]
	if !known { // never sent
		i = c.bucket(e.At)
		c.rows[i].Tries++
	}
	delete(c.at, e.Call)
	switch row := &c.rows[i]; {
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
func (c *timeline) down(e *Event) {
	if c.notReady == nil {
		c.notReady = map[string][]span{}
	}
	if s := c.notReady[e.Process]; e.Kind != Paused && !open(s) {
		c.notReady[e.Process] = append(s, span{from: e.At})
	}
}

// ready records that a gatekeeper is ready.
func (c *timeline) ready(e *Event) {
	if s := c.notReady[e.Process]; open(s) {
		s[len(s)-1].to = e.At
	}
}

// fault records the beginning or end of a fault.
func (c *timeline) fault(e *Event) {
	if c.faultIndex == nil {
		c.faultIndex = map[string]int{}
	}
	if e.Kind == FaultFrom {
		c.faultIndex[e.What] = len(c.faults)
		c.faults = append(c.faults, Settled{Fault: e.What, From: e.At, Took: -1})
		return
	}
	if i, ok := c.faultIndex[e.What]; ok && c.faults[i].To == 0 {
		c.faults[i].To = e.At
	}
}

// buckets returns a copy of all buckets.
func (c *timeline) buckets() []Bucket { return slices.Clone(c.rows) }

// establishedShare returns the share of established calls among those sent between two times; ok is false if there are too few calls.
func (c *timeline) establishedShare(from, to control.Micros) (share float64, ok bool) {
	tries, established := 0, 0
	for _, b := range c.rows {
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
func (c *timeline) settledFaults() []Settled {
	results := slices.Clone(c.faults)
	for i := range results {
		f := &results[i]
		if f.To == 0 {
			continue
		}
		f.Before, _ = c.establishedShare(f.From-baselineLength, f.From)
		f.During, _ = c.establishedShare(f.From, f.To)
		goal := f.Before * recoveredShare
		from := f.To
		for _, spans := range c.notReady {
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
		if from < 0 || len(c.rows) == 0 {
			continue
		}
		end := c.rows[len(c.rows)-1].At + bucketLength
		for at := from; at+windowBuckets*bucketLength <= end; at += bucketLength {
			if p, ok := c.establishedShare(at, at+windowBuckets*bucketLength); ok && p >= goal {
				f.Took = at - f.To
				break
			}
		}
		for j, other := range results {
			settledAt := f.To + max(f.Took, 0)
			if j != i && other.From < settledAt && (other.To == 0 || other.To > f.From) {
				f.Overlap = true
			}
		}
	}
	return results
}
