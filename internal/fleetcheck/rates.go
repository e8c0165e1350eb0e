package fleetcheck

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"beammux/control"
)

// RuleRates is judged where the gatekeepers tell each other their rates of calls.
const RuleRates = "fleet rates count each call once, and no one that is dead"

// Figures of the rule.
const (
	readSlack = control.Micros(1500000) // a reading may be late by a busy machine, and the register on its way meanwhile
	overRate  = 1.3                     // rates add up what was told at moments apart
	overSigma = 4
)

// Rates holds what gatekeepers say of the whole fleet's calls against the callers' own: no more arrive than the callers sent,
// within the noise of counting, and a member that was ended counts no more once its last word is stale.
type Rates struct {
	stale, memory control.Micros
	sent          map[string][]control.Micros // by gatekeeper
	gone          map[string]control.Micros   // gatekeepers that do not run, since when
}

// NewRates makes the rule for registers that count until stale and rates that remember so long.
func NewRates(stale, memory control.Micros) *Rates {
	return &Rates{stale: stale, memory: memory, sent: map[string][]control.Micros{}, gone: map[string]control.Micros{}}
}

// Rule implements Invariant.
func (r *Rates) Rule() string { return RuleRates }

// End implements Invariant.
func (r *Rates) End(func(Evidence)) {}

// Event implements Invariant.
func (r *Rates) Event(e *Event, broke func(Evidence)) {
	switch e.Kind {
	case Tried:
		r.sent[e.Process] = append(r.sent[e.Process], e.At)
	case Stopped, Crashed:
		if _, ok := r.gone[e.Process]; !ok {
			r.gone[e.Process] = e.At
		}
	case Ready:
		delete(r.gone, e.Process)
	case RateRead:
		for name := range strings.SplitSeq(e.Peer, " ") {
			if since, ok := r.gone[name]; ok && e.At-since > r.stale+readSlack {
				broke(Evidence{e.At, e.Process, "", e.Place.String(), fmt.Sprintf("still counts %s, ended %d ms ago", name, (e.At-since)/1000)})
			}
		}
		if most := r.most(e.At); e.Value > most {
			broke(Evidence{e.At, e.Process, "", e.Place.String(), fmt.Sprintf("counts %.1f calls a second, and the callers sent at most %.1f", e.Value, most)})
		}
	}
}

// most is the most that can be counted at a time: what was sent to each gatekeeper in its fullest window as long as the rates'
// memory, among those whose rates may still be told, with the noise of counting. Demand that moves, or goes around a
// gatekeeper that stands still, is counted where it was until that is stale.
func (r *Rates) most(now control.Micros) float64 {
	all := 0
	for name, sent := range r.sent {
		from, _ := slices.BinarySearch(sent, now-r.stale-3*r.memory)
		sent = sent[from:]
		r.sent[name] = sent
		fullest := 0
		for i, end := 0, 0; i < len(sent); i++ {
			for end < len(sent) && sent[end]-sent[i] <= r.memory {
				end++
			}
			fullest = max(fullest, end-i)
		}
		all += fullest
	}
	s := float64(r.memory) / 1e6
	return overRate*float64(all)/s + overSigma*math.Sqrt(float64(max(all, 1)))/s
}
