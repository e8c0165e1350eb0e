package fleetcheck

import (
	"fmt"
	"math"
	"slices"
	"strconv"

	"beammux/control"
	"beammux/internal/history"
)

// RuleLimit is checked if the fleet has a limit for all calls.
const RuleLimit = "the fleet's limit holds over every time"

// Parameters of the rule.
const (
	limitWarmup  = control.Micros(4000000) // warm-up after the first call and after each shift of demand, excluded from the measured use
	servedShare  = 0.9                     // fraction of the limit at which shifted demand counts as served
	servedWindow = control.Micros(500000)  // window over which that fraction is measured
)

// OverWindows are the window lengths of LimitStats.MostOver.
var OverWindows = [3]control.Micros{100000, 1000000, 10000000}

// LimitStats describes how a run used its limit.
type LimitStats struct {
	Admitted    int        `json:"admitted"`
	MostOver    [3]float64 `json:"most_over"`     // largest number of calls above per_s x t in any window of 0.1, 1 and 10 s; up to burst is allowed
	MostOfBound float64    `json:"most_of_bound"` // largest excess of any window over per_s x t + burst, in tokens; above 0 the rule is violated
	Used        float64    `json:"used"`          // admitted fraction of the limit while callers offered more; -1: they never did
	ServedAfter []float64  `json:"moved_s"`       // for each shift of demand, seconds until it used nine tenths of the limit for half a second; -1: never
}

// Limit checks the admissions of all gatekeepers together, from their records, against the limit of the fleet: no window of any
// length t contains more than per_s x t + burst. Equivalently, a token bucket of capacity burst that fills at per_s is never
// short of a token.
type Limit struct {
	perSecond, burst  float64
	measuredPerSecond float64            // calls per second against which use is measured, if not the checked limit; 0: the checked limit
	settleTime        control.Micros     // time from the change to a lower limit until it binds all gatekeepers
	faultLooseness    map[string]float64 // by fault: multiple of the limit that may be admitted in addition during the fault
	resumeLooseness   float64            // the same after a gatekeeper resumes from a pause

	tokens          float64            // in the bucket; negative after an excess
	filledAt        control.Micros     // time of the last fill
	pendingChanges  []limitChange      // not yet in force, in order of time
	activeLooseness map[string]float64 // by active fault
	recentUntil     control.Micros     // end of the looseness after a fault ended or a gatekeeper resumed
	recentLooseness float64            // looseness until recentUntil
	maxExcess       float64            // largest number of tokens short
	admitted        []control.Micros   // times of admissions
	callTimes       []control.Micros   // times at which callers sent calls
	demandMoves     []control.Micros   // times at which demand moved
}

// limitChange is a new limit and the time from which it is in force.
type limitChange struct {
	at               control.Micros
	perSecond, burst float64
}

const loosenessExtension = control.Micros(2000000) // looseness continues for this long after its cause ends: the age at which a register expires

// NewLimit returns the rule for a limit of perSecond calls per second with a burst. settleTime is the time after a reload until a
// lower limit binds. faultLooseness and resumeLooseness are the looseness of the near mode's bound during faults and after
// pauses; zero for other modes.
func NewLimit(perSecond, burst float64, settleTime control.Micros, faultLooseness map[string]float64, resumeLooseness float64) *Limit {
	return &Limit{perSecond: perSecond, burst: burst, settleTime: settleTime, faultLooseness: faultLooseness, resumeLooseness: resumeLooseness, tokens: burst, activeLooseness: map[string]float64{}}
}

// MeasureAgainst sets the limit against which use and overshoot are measured, if it differs from the checked one. It returns l.
func (l *Limit) MeasureAgainst(perSecond float64) *Limit {
	l.measuredPerSecond = perSecond
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
		l.callTimes = append(l.callTimes, e.At)
	case DemandMoved:
		l.demandMoves = append(l.demandMoves, e.At)
	case LimitChanged:
		burst, _ := strconv.ParseFloat(e.Class, 64)
		at := e.At
		if e.Value < l.perSecond {
			at += l.settleTime
		}
		l.pendingChanges = append(l.pendingChanges, limitChange{at, e.Value, burst})
	case FaultBegan:
		if looseness := l.faultLooseness[e.What]; looseness > 0 {
			l.activeLooseness[e.What] = looseness
		}
	case FaultEnded:
		if looseness := l.activeLooseness[e.What]; looseness > 0 {
			delete(l.activeLooseness, e.What)
			l.recentLooseness, l.recentUntil = looseness, e.At+loosenessExtension
		}
	case Resumed:
		if l.resumeLooseness > 0 {
			l.recentLooseness, l.recentUntil = l.resumeLooseness, e.At+loosenessExtension
		}
	}
}

// advance applies the changes of the limit up to a time and fills the bucket.
func (l *Limit) advance(now control.Micros) {
	for len(l.pendingChanges) > 0 && l.pendingChanges[0].at <= now {
		c := l.pendingChanges[0]
		l.pendingChanges = l.pendingChanges[1:]
		l.fill(c.at)
		l.perSecond, l.burst = c.perSecond, c.burst
		l.tokens = l.burst // earlier admissions do not count against the new limit
	}
	l.fill(now)
}

// fill adds the tokens for the time since the last call, at an increased rate while the limit is loose.
func (l *Limit) fill(now control.Micros) {
	if now <= l.filledAt || l.filledAt == 0 {
		l.filledAt = max(l.filledAt, now)
		return
	}
	factor := 1.0
	for _, looseness := range l.activeLooseness {
		factor = max(factor, 1+looseness)
	}
	if now <= l.recentUntil {
		factor = max(factor, 1+l.recentLooseness)
	}
	l.tokens = min(l.burst, l.tokens+factor*l.perSecond*float64(now-l.filledAt)/1e6)
	l.filledAt = now
}

// Record implements RecordInvariant.
func (l *Limit) Record(e *history.Event, place Place, report func(Evidence)) {
	if e.Kind != history.Admitted {
		return
	}
	l.advance(e.At)
	l.admitted = append(l.admitted, e.At)
	l.tokens--
	l.maxExcess = max(l.maxExcess, -l.tokens)
	if l.tokens < -1e-6 {
		report(Evidence{e.At, e.Node, e.Call, place.String(),
			fmt.Sprintf("%.2f calls more than a rate of %g per second and a burst of %g allow", -l.tokens, l.perSecond, l.burst)})
		l.tokens = 0 // report each excess once
	}
}

// Stats returns the statistics of the run after its end. If the limit changed, they are measured against the last one.
func (l *Limit) Stats() LimitStats {
	slices.Sort(l.admitted)
	if l.measuredPerSecond > 0 {
		l.perSecond = l.measuredPerSecond
	}
	s := LimitStats{Admitted: len(l.admitted), MostOfBound: l.maxExcess, Used: -1}
	for i, w := range OverWindows {
		s.MostOver[i] = math.Inf(-1)
		for from, to := 0, 0; to < len(l.admitted); to++ {
			for l.admitted[to]-l.admitted[from] > w {
				from++
			}
			s.MostOver[i] = max(s.MostOver[i], float64(to-from+1)-l.perSecond*float64(w)/1e6)
		}
		if len(l.admitted) == 0 {
			s.MostOver[i] = 0
		}
	}
	if len(l.callTimes) == 0 {
		return s
	}
	countBetween := func(all []control.Micros, from, to control.Micros) float64 {
		a, _ := slices.BinarySearch(all, from)
		b, _ := slices.BinarySearch(all, to)
		return float64(b - a)
	}
	var used, available float64
	starts := append([]control.Micros{l.callTimes[0]}, l.demandMoves...)
	end := l.callTimes[len(l.callTimes)-1]
	for i, from := range starts {
		to := end
		if i+1 < len(starts) {
			to = starts[i+1]
		}
		from += limitWarmup
		if seconds := float64(to-from) / 1e6; seconds > 1 && countBetween(l.callTimes, from, to) > l.perSecond*seconds {
			used += countBetween(l.admitted, from, to)
			available += l.perSecond * seconds
		}
	}
	if available > 0 {
		s.Used = used / available
	}
	for i, from := range l.demandMoves {
		to := end
		if i+1 < len(l.demandMoves) {
			to = l.demandMoves[i+1]
		}
		reachedAfter := -1.0
		for at := from; at+servedWindow <= to; at += 50000 {
			if countBetween(l.admitted, at, at+servedWindow) >= servedShare*l.perSecond*float64(servedWindow)/1e6 {
				reachedAfter = float64(at-from) / 1e6
				break
			}
		}
		s.ServedAfter = append(s.ServedAfter, reachedAfter)
	}
	return s
}
