package fleetcheck

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"beammux/control"
)

// RuleRates is checked if the gatekeepers exchange their call rates.
const RuleRates = "fleet rates count each call once, and no one that is dead"

// Tolerances of the rule.
const (
	readingSlack = control.Micros(1500000) // a reading may be late on a busy machine, and a register may be in flight
	rateMargin   = 1.3                     // factor: a sum adds rates that were reported at different times
	noiseSigmas  = 4                       // standard deviations of counting noise
)

// Rates compares the call rates that gatekeepers compute for the whole fleet with the calls that were sent. A rate must not exceed
// that of the callers beyond counting noise, and a member that stopped must not be counted after its last register expired.
type Rates struct {
	registerLifetime, averagingTime control.Micros
	sent                            map[string][]control.Micros // times of the calls sent to each gatekeeper
	stopped                         map[string]control.Micros   // gatekeepers that do not run, by the time they stopped
}

// NewRates returns the rule for registers that expire after registerLifetime and rates that are averaged over
// averagingTime.
func NewRates(registerLifetime, averagingTime control.Micros) *Rates {
	return &Rates{registerLifetime: registerLifetime, averagingTime: averagingTime, sent: map[string][]control.Micros{}, stopped: map[string]control.Micros{}}
}

// Rule implements Invariant.
func (r *Rates) Rule() string { return RuleRates }

// End implements Invariant.
func (r *Rates) End(func(Evidence)) {}

// Event implements Invariant.
func (r *Rates) Event(e *Event, report func(Evidence)) {
	switch e.Kind {
	case Tried:
		r.sent[e.Process] = append(r.sent[e.Process], e.At)
	case Stopped, Crashed:
		if _, ok := r.stopped[e.Process]; !ok {
			r.stopped[e.Process] = e.At
		}
	case Ready:
		delete(r.stopped, e.Process)
	case RateRead:
		for name := range strings.SplitSeq(e.Peer, " ") {
			if since, ok := r.stopped[name]; ok && e.At-since > r.registerLifetime+readingSlack {
				report(Evidence{e.At, e.Process, "", e.Place.String(), fmt.Sprintf("still counts calls of %s, which stopped %d ms ago", name, (e.At-since)/1000)})
			}
		}
		if maxRate := r.maxRate(e.At); e.Value > maxRate {
			report(Evidence{e.At, e.Process, "", e.Place.String(), fmt.Sprintf("counts %.1f calls per second, but the callers sent at most %.1f", e.Value, maxRate)})
		}
	}
}

// maxRate returns the largest valid rate at a time, in calls per second. For each gatekeeper it takes the window of the averaging time
// with the most calls, among those whose rates may still be in use, and adds the counting noise. Each gatekeeper has its own
// window, since demand that shifts to another gatekeeper is also counted at the previous one until that register expires.
func (r *Rates) maxRate(now control.Micros) float64 {
	total := 0
	for name, sent := range r.sent {
		from, _ := slices.BinarySearch(sent, now-r.registerLifetime-3*r.averagingTime)
		sent = sent[from:]
		r.sent[name] = sent
		fullest := 0
		for i, end := 0, 0; i < len(sent); i++ {
			for end < len(sent) && sent[end]-sent[i] <= r.averagingTime {
				end++
			}
			fullest = max(fullest, end-i)
		}
		total += fullest
	}
	seconds := float64(r.averagingTime) / 1e6
	return rateMargin*float64(total)/seconds + noiseSigmas*math.Sqrt(float64(max(total, 1)))/seconds
}
