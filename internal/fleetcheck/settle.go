package fleetcheck

import (
	"slices"

	"beammux/control"
)

// How the time to settle is measured. A fault has settled once every gatekeeper that it took down is ready again and the
// part of the tries that stand, over a window, is back at most of what it was before the fault.
const (
	bucketOf   = control.Micros(100000)
	windowOf   = 10 // buckets: 1 s
	beforeFor  = control.Micros(3000000)
	back       = 0.9 // of what it was before
	leastTries = 5   // in a window, to say anything
)

// Settled is how long the fleet took after one fault was over.
type Settled struct {
	Fault       string         `json:"fault"`
	From        control.Micros `json:"from"`
	To          control.Micros `json:"to"`
	ShareBefore float64        `json:"stood_before"` // part of the tries, over the 3 s before it
	ShareDuring float64        `json:"stood_during"`
	SettleTime  control.Micros `json:"settled_us"`         // from its end; -1: not within the run, or nothing to tell it by
	Noticed     control.Micros `json:"noticed_us"`         // from its begin until all views of those that ran held them alone; -1: not before its end
	Agreed      control.Micros `json:"agreed_us"`          // from its end (and all being ready) until all views are the same and hold all; -1: not in the run
	AgreedAt    control.Micros `json:"whole_at,omitempty"` // when that was; 0: not in the run
	Overlapped  bool           `json:"overlapped"`         // another fault was on before it settled
}

// Bucket is what came of the tries of a tenth of a second, by when they were sent.
type Bucket struct {
	At                    control.Micros
	Tries                 int
	Established           int `json:"Stood"`
	Refused, Failed, Lost int
}

type course struct {
	begin    control.Micros
	rows     []Bucket
	at       map[string]int // try -> bucket
	faults   []Settled
	notReady map[string][]span
	names    map[string]int
}

func (c *course) bucket(at control.Micros) int {
	if c.at == nil {
		c.begin, c.at = at, map[string]int{}
	}
	i := int(max(at-c.begin, 0) / bucketOf)
	for len(c.rows) <= i {
		c.rows = append(c.rows, Bucket{At: c.begin + control.Micros(len(c.rows))*bucketOf})
	}
	return i
}

func (c *course) tried(e *Event) {
	i := c.bucket(e.At)
	c.rows[i].Tries++
	c.at[e.Call] = i
}

func (c *course) over(e *Event, stood bool) {
	i, known := c.at[e.Call]
	if !known { // never sent
		i = c.bucket(e.At)
		c.rows[i].Tries++
	}
	delete(c.at, e.Call)
	switch row := &c.rows[i]; {
	case stood:
		row.Established++
	case e.Kind == Refused:
		row.Refused++
	case e.Kind == Failed:
		row.Failed++
	default:
		row.Lost++
	}
}

func (c *course) down(e *Event) {
	if c.notReady == nil {
		c.notReady = map[string][]span{}
	}
	if s := c.notReady[e.Process]; e.Kind != Paused && !open(s) {
		c.notReady[e.Process] = append(s, span{from: e.At})
	}
}

func (c *course) ready(e *Event) {
	if s := c.notReady[e.Process]; open(s) {
		s[len(s)-1].to = e.At
	}
}

func (c *course) fault(e *Event) {
	if c.names == nil {
		c.names = map[string]int{}
	}
	if e.Kind == FaultBegan {
		c.names[e.What] = len(c.faults)
		c.faults = append(c.faults, Settled{Fault: e.What, From: e.At, SettleTime: -1})
		return
	}
	if i, ok := c.names[e.What]; ok && c.faults[i].To == 0 {
		c.faults[i].To = e.At
	}
}

func (c *course) buckets() []Bucket { return slices.Clone(c.rows) }

// part is the part of the tries sent in a time that stood; ok is unset where there were too few.
func (c *course) part(from, to control.Micros) (p float64, ok bool) {
	tries, stood := 0, 0
	for _, b := range c.rows {
		if b.At+bucketOf > from && b.At < to {
			tries += b.Tries
			stood += b.Established
		}
	}
	if tries < leastTries {
		return 0, false
	}
	return float64(stood) / float64(tries), true
}

func (c *course) settled() []Settled {
	out := slices.Clone(c.faults)
	for i := range out {
		f := &out[i]
		if f.To == 0 {
			continue
		}
		f.ShareBefore, _ = c.part(f.From-beforeFor, f.From)
		f.ShareDuring, _ = c.part(f.From, f.To)
		goal := f.ShareBefore * back
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
		end := c.rows[len(c.rows)-1].At + bucketOf
		for at := from; at+windowOf*bucketOf <= end; at += bucketOf {
			if p, ok := c.part(at, at+windowOf*bucketOf); ok && p >= goal {
				f.SettleTime = at - f.To
				break
			}
		}
		for j, o := range out {
			settledAt := f.To + max(f.SettleTime, 0)
			if j != i && o.From < settledAt && (o.To == 0 || o.To > f.From) {
				f.Overlapped = true
			}
		}
	}
	return out
}
