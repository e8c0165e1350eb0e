package fleetcheck

import (
	"fmt"
	"math"
	"slices"
	"strconv"

	"beammux/control"
	"beammux/internal/history"
)

// RuleLimit is judged where the fleet has a limit for all calls.
const RuleLimit = "the fleet's limit holds over every time"

// Figures of the rule.
const (
	limitWarm  = control.Micros(4000000) // after the first call and after each move of demand, before use is measured
	limitFrom  = 0.9                     // part of the limit at which moved demand has its part
	limitSight = control.Micros(500000)  // over which that is looked at
)

// OverWindows are the windows over which the most that was let in is told.
var OverWindows = [3]control.Micros{100000, 1000000, 10000000}

// LimitStats is what a run shows of its limit.
type LimitStats struct {
	Admitted    int        `json:"admitted"`
	MostOver    [3]float64 `json:"most_over"`     // calls over per_s x t in windows of 0.1, 1 and 10 s, of which burst is allowed
	MostOfBound float64    `json:"most_of_bound"` // the most that any window used of per_s x t + burst, as tokens short of 0: over 0 breaks it
	Used        float64    `json:"used"`          // part of the limit, while callers offered more; -1: they did not
	ServedAfter []float64  `json:"moved_s"`       // until a moved demand had nine tenths of the limit for half a second; -1: never
}

// Limit holds what all gatekeepers together let in against their limit, by their own records of each admission: no window of
// any length holds more than per_s x t + burst. That is the same as a bucket of burst tokens that fills at per_s never lacking
// one.
type Limit struct {
	perS, burst float64
	measure     float64            // a second; what use is measured against, where that is not what is judged
	settle      control.Micros     // after a lower limit was told, until it binds all
	loose       map[string]float64 // by fault: how many times the limit may be let in beside it meanwhile
	wakes       float64            // the same for woken gatekeepers

	tokens   float64
	at       control.Micros
	next     []change
	on       map[string]float64
	until    control.Micros // looseness of a fault that is over, or a wake, lasts till then
	lately   float64
	most     float64
	admitted []control.Micros
	tried    []control.Micros
	moved    []control.Micros
}

type change struct {
	at          control.Micros
	perS, burst float64
}

const looseAfter = control.Micros(2000000) // past the end of what made it loose: the age at which a register no longer counts

// NewLimit makes the rule. settle is how long after a reload a lower limit binds; loose and wakes are the looseness of the near
// mode's bound, zero for the others.
func NewLimit(perS, burst float64, settle control.Micros, loose map[string]float64, wakes float64) *Limit {
	return &Limit{perS: perS, burst: burst, settle: settle, loose: loose, wakes: wakes, tokens: burst, on: map[string]float64{}}
}

// MeasureAgainst lets use and overshoot be measured against another limit than the one that is judged.
func (l *Limit) MeasureAgainst(perS float64) *Limit {
	l.measure = perS
	return l
}

// Rule implements Invariant.
func (l *Limit) Rule() string { return RuleLimit }

// End implements Invariant.
func (l *Limit) End(func(Evidence)) {}

// Event implements Invariant.
func (l *Limit) Event(e *Event, _ func(Evidence)) {
	l.advance(e.At)
	switch e.Kind {
	case Tried:
		l.tried = append(l.tried, e.At)
	case DemandMoved:
		l.moved = append(l.moved, e.At)
	case LimitChanged:
		burst, _ := strconv.ParseFloat(e.Class, 64)
		at := e.At
		if e.Value < l.perS {
			at += l.settle
		}
		l.next = append(l.next, change{at, e.Value, burst})
	case FaultBegan:
		if f := l.loose[e.What]; f > 0 {
			l.on[e.What] = f
		}
	case FaultEnded:
		if f := l.on[e.What]; f > 0 {
			delete(l.on, e.What)
			l.lately, l.until = f, e.At+looseAfter
		}
	case Resumed:
		if l.wakes > 0 {
			l.lately, l.until = l.wakes, e.At+looseAfter
		}
	}
}

// advance fills the bucket up to a time.
func (l *Limit) advance(now control.Micros) {
	for len(l.next) > 0 && l.next[0].at <= now {
		c := l.next[0]
		l.next = l.next[1:]
		l.fill(c.at)
		l.perS, l.burst = c.perS, c.burst
		l.tokens = l.burst // what was let in before is not held against the new limit
	}
	l.fill(now)
}

func (l *Limit) fill(now control.Micros) {
	if now <= l.at || l.at == 0 {
		l.at = max(l.at, now)
		return
	}
	factor := 1.0
	for _, f := range l.on {
		factor = max(factor, 1+f)
	}
	if now <= l.until {
		factor = max(factor, 1+l.lately)
	}
	l.tokens = min(l.burst, l.tokens+factor*l.perS*float64(now-l.at)/1e6)
	l.at = now
}

// Record implements RecordInvariant.
func (l *Limit) Record(e *history.Event, place Place, broke func(Evidence)) {
	if e.Kind != history.Admitted {
		return
	}
	l.advance(e.At)
	l.admitted = append(l.admitted, e.At)
	l.tokens--
	l.most = max(l.most, -l.tokens)
	if l.tokens < -1e-6 {
		broke(Evidence{e.At, e.Node, e.Call, place.String(),
			fmt.Sprintf("%.2f calls more than %g a second and a burst of %g allow", -l.tokens, l.perS, l.burst)})
		l.tokens = 0 // one break is told once
	}
}

// Stats gives what the run showed, once it is over. Limits that changed are measured against the last.
func (l *Limit) Stats() LimitStats {
	slices.Sort(l.admitted)
	if l.measure > 0 {
		l.perS = l.measure
	}
	s := LimitStats{Admitted: len(l.admitted), MostOfBound: l.most, Used: -1}
	for i, w := range OverWindows {
		s.MostOver[i] = math.Inf(-1)
		for from, to := 0, 0; to < len(l.admitted); to++ {
			for l.admitted[to]-l.admitted[from] > w {
				from++
			}
			s.MostOver[i] = max(s.MostOver[i], float64(to-from+1)-l.perS*float64(w)/1e6)
		}
		if len(l.admitted) == 0 {
			s.MostOver[i] = 0
		}
	}
	if len(l.tried) == 0 {
		return s
	}
	within := func(all []control.Micros, from, to control.Micros) float64 {
		a, _ := slices.BinarySearch(all, from)
		b, _ := slices.BinarySearch(all, to)
		return float64(b - a)
	}
	var used, could float64
	starts := append([]control.Micros{l.tried[0]}, l.moved...)
	end := l.tried[len(l.tried)-1]
	for i, from := range starts {
		to := end
		if i+1 < len(starts) {
			to = starts[i+1]
		}
		from += limitWarm
		if seconds := float64(to-from) / 1e6; seconds > 1 && within(l.tried, from, to) > l.perS*seconds {
			used += within(l.admitted, from, to)
			could += l.perS * seconds
		}
	}
	if could > 0 {
		s.Used = used / could
	}
	for i, from := range l.moved {
		to := end
		if i+1 < len(l.moved) {
			to = l.moved[i+1]
		}
		took := -1.0
		for at := from; at+limitSight <= to; at += 50000 {
			if within(l.admitted, at, at+limitSight) >= limitFrom*l.perS*float64(limitSight)/1e6 {
				took = float64(at-from) / 1e6
				break
			}
		}
		s.ServedAfter = append(s.ServedAfter, took)
	}
	return s
}
