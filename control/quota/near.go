package quota

import (
	"math"

	"beammux/control"
)

// The near mode. Each member publishes a claim for each rule: the rate that it wants to spend. A claim grows at most by the
// whole limit in GrowTime, and a member spends at most the lowest rate that it has claimed over the last SettleTime. So whoever
// has received a claim not older than SettleTime knows of no less than the member spends; to an older claim as much is added as
// it may have grown since. Let v be the vector of the rates that the members spend by, and w what one of them takes it for.
// Then w >= v in each place but its own, and its max-min share, which falls as the others' wants rise, is at most its share by
// v: the sum over all members is at most the limit. Members without a report are taken to want without bound, so a member that
// is cut off spends its fixed part.
//
// Ages count from when a register was sent, and include all but the time on the wire itself. TransitAllowance is added to each
// age for that. If a register is on its way for d, its claim may be underestimated by the growth over d - TransitAllowance.
// Bound, for n members of which each register is on its way for at most d, with e = max(0, d - TransitAllowance):
//
//	calls admitted over t <= per_s x t + burst + (n-1) x min(1, n x e / GrowTime) x per_s x t
//
// which is the strict bound while e is 0. Between partitions there are no reports at all: then each member spends its fixed
// part, and the bound is the strict one again, as long as no more than Parts members run.

// claim is one shared capacity in near mode, at this member.
type claim struct {
	history  []announcement // of the last SettleTime, and the one before it
	latest   float64        // as last announced
	latestAt control.Micros

	othersWant []float64 // what the others are assumed to want, as of reportedAt
	othersOpen float64   // slots in use at them
	reportedAt control.Micros
}

type announcement struct {
	at    control.Micros
	value float64
}

// announce updates the claim towards what is wanted, growing as fast as it may, and returns what to publish.
func (c *claim) announce(now control.Micros, want, limit float64) float64 {
	grown := c.latest + limit*float64(now-c.latestAt)/float64(GrowTime)
	if c.latestAt == 0 {
		grown = 0 // the first claim
	}
	c.latest, c.latestAt = max(0, min(want, grown)), now
	c.history = append(c.history, announcement{now, c.latest})
	for len(c.history) > 1 && c.history[1].at <= now-SettleTime {
		c.history = c.history[1:]
	}
	return c.latest
}

// spendable is what this member may spend: the lowest claim over the last SettleTime. It is 0 for a member that has no claim so
// old, or has announced nothing for SettleTime/2, as after a suspension.
func (c *claim) spendable(now control.Micros) float64 {
	if len(c.history) == 0 || c.history[0].at > now-SettleTime || c.history[len(c.history)-1].at < now-SettleTime/2 {
		return 0
	}
	least := math.Inf(1)
	for i, s := range c.history {
		// An announcement holds until the next one: the last before the span counts in it.
		if i+1 < len(c.history) && c.history[i+1].at <= now-SettleTime {
			continue
		}
		least = min(least, s.value)
	}
	return least
}

// Claims are what a member publishes of one rule.
type Claims struct {
	Rate      float64 `cbor:"1,keyasint,omitempty"` // a second
	Open      float64 `cbor:"2,keyasint,omitempty"` // slots
	OpenCalls float64 `cbor:"3,keyasint,omitempty"` // of them in use
}

// Report is what another member that is up published, at least Age ago.
type Report struct {
	Origin string
	Age    control.Micros
	Claims map[string]Claims // by rule
}

// OwnClaims returns what this member is to publish now, by rule. It must be called every SettleTime/8 or more often.
func (m *Member) OwnClaims(now control.Micros) map[string]Claims {
	out := map[string]Claims{}
	for _, s := range m.states {
		if s.Mode != Near {
			continue
		}
		var c Claims
		if s.PerS > 0 {
			c.Rate = s.rateClaim.announce(now, roundUp(s.demand.read(now)*headroom+s.PerS*minClaimShare), s.PerS)
		}
		if s.Open > 0 {
			c.OpenCalls = float64(s.open)
			c.Open = s.slotClaim.announce(now, math.Ceil(float64(s.open)+spareSlots+s.refusedOpen.read(now)), float64(s.Open))
		}
		out[s.Name] = c
	}
	return out
}

// roundUp keeps about two and a half digits: a claim that hardly moves need not be published again.
func roundUp(v float64) float64 {
	if v <= 0 {
		return 0
	}
	step := math.Pow(10, math.Floor(math.Log10(v))) / 20
	return math.Ceil(v/step) * step
}

// ApplyReports takes what the others published and sets what this member may spend until the next call.
func (m *Member) ApplyReports(now control.Micros, all []Report) {
	for _, s := range m.states {
		if s.Mode != Near {
			continue
		}
		var rates, slots []float64
		othersOpen := 0.0
		for _, r := range all {
			c, ok := r.Claims[s.Name]
			if !ok {
				continue // it does not have the rule yet: as a member without a report
			}
			mayHaveGrown := float64(max(0, r.Age+TransitAllowance+ReportLifetime-SettleTime)) / float64(GrowTime)
			rates = append(rates, c.Rate+mayHaveGrown*s.PerS)
			slots = append(slots, c.Open+mayHaveGrown*float64(s.Open))
			othersOpen += c.OpenCalls
		}
		s.rateClaim.othersWant, s.slotClaim.othersWant, s.slotClaim.othersOpen, s.rateClaim.reportedAt = rates, slots, othersOpen, now
		m.refreshNear(now, s)
	}
}

// refreshNear sets bucket and slots by the claims. Reports are used as they are for ReportLifetime; after that the others are
// assumed to grow, also for time in which this was not called.
func (m *Member) refreshNear(now control.Micros, s *ruleState) {
	at, overdue := now, max(0, now-s.rateClaim.reportedAt-ReportLifetime)
	if overdue > 0 {
		at = s.rateClaim.reportedAt + ReportLifetime
	}
	rate := m.share(s.rateClaim.spendable(now), s.PerS, s.rateClaim.othersWant, overdue)
	capacity := 0.0
	if s.PerS > 0 {
		parts := float64(m.limits.Parts)
		capacity = floorTokens + max(0, s.Burst-parts*floorTokens)*min(1, rate/s.PerS)
	}
	s.bucket.set(at, rate*(1-Drift), capacity)
	s.bucket.refill(now)
	s.slots = math.Floor(min(m.share(s.slotClaim.spendable(now), float64(s.Open), s.slotClaim.othersWant, overdue), float64(s.Open)-s.slotClaim.othersOpen) + 1e-9)
}

// share is this member's part of a limit, by its own spendable rate and what the others wanted as of a time overdue ago.
func (m *Member) share(own, limit float64, others []float64, overdue control.Micros) float64 {
	grown := float64(overdue) / float64(GrowTime) * limit // since the reports
	wants := []float64{own}
	sum := own
	for _, w := range others {
		wants = append(wants, w+grown)
		sum += w + grown
	}
	unknown := max(0, m.limits.Parts-len(wants))
	if l := fairLevel(limit, wants, unknown); !math.IsInf(l, 1) {
		return min(own, l)
	}
	return own + (limit-sum)/float64(len(wants)) // what nobody claims is shared equally
}
