package quota

import (
	"math"

	"beammux/control"
)

// Mode Near. Each member publishes a claim for each rule: the rate that it wants to use. A claim grows at most by the whole
// limit in GrowTime, and a member uses at most the lowest rate that it has claimed over the last SettleTime. A claim received
// within SettleTime is therefore no lower than the rate that its member uses; an older claim is raised by the amount that it
// may have grown since. Let v be the vector of the members' rates, and w one member's estimate of it. Then w >= v in each
// component but the member's own, and its max-min share, which falls as the others' claims rise, is at most its share by v.
// So the sum over all members is at most the limit. A member without a report is assumed to claim without bound, so a
// partitioned member uses its fixed share of 1/Parts.
//
// Ages count from the time a register was sent and exclude only the time on the wire, for which TransitAllowance is added to
// each age. If a register is in transit for time d, its claim may be underestimated by the growth over d - TransitAllowance.
// The bound for n members, with registers in transit for at most d and e = max(0, d - TransitAllowance), is
//
//	calls admitted over t <= per_s x t + burst + (n-1) x min(1, n x e / GrowTime) x per_s x t
//
// This equals the strict bound per_s x t + burst while e is 0. Between partitions there are no reports at all: each member uses
// its fixed share, and the strict bound holds again as long as no more than Parts members run.

// claim is this member's claim on one shared capacity in mode Near, with the others' claims.
type claim struct {
	history  []announcement // announcements of the last SettleTime, and the one before them
	latest   float64        // value of the last announcement
	latestAt control.Micros

	othersWant []float64 // claims that the other members are assumed to have, as of reportedAt
	othersOpen float64   // slots in use at the other members
	reportedAt control.Micros
}

// announcement is a published value of a claim.
type announcement struct {
	publishedAt control.Micros
	value       float64
}

// announce moves the claim towards want, limited by the allowed growth, and returns the value to publish.
func (c *claim) announce(now control.Micros, want, limit float64) float64 {
	grown := c.latest + limit*float64(now-c.latestAt)/float64(GrowTime)
	if c.latestAt == 0 {
		grown = 0 // the first claim
	}
	c.latest, c.latestAt = max(0, min(want, grown)), now
	c.history = append(c.history, announcement{now, c.latest})
	for len(c.history) > 1 && c.history[1].publishedAt <= now-SettleTime {
		c.history = c.history[1:]
	}
	return c.latest
}

// spendable returns what this member may use: the lowest claim over the last SettleTime. It returns 0 for a member that has no
// claim of that age, or that has announced nothing for SettleTime/2, for example while it was suspended.
func (c *claim) spendable(now control.Micros) float64 {
	if len(c.history) == 0 || c.history[0].publishedAt > now-SettleTime || c.history[len(c.history)-1].publishedAt < now-SettleTime/2 {
		return 0
	}
	least := math.Inf(1)
	for i, s := range c.history {
		// An announcement holds until the next one, so the last one before the interval counts as well.
		if i+1 < len(c.history) && c.history[i+1].publishedAt <= now-SettleTime {
			continue
		}
		least = min(least, s.value)
	}
	return least
}

// Claims holds what a member publishes about one rule.
type Claims struct {
	Rate      float64 `cbor:"1,keyasint,omitempty"` // calls per second
	Open      float64 `cbor:"2,keyasint,omitempty"` // slots
	OpenCalls float64 `cbor:"3,keyasint,omitempty"` // slots in use
}

// Report holds the claims of another member that is up, published at least Age ago.
type Report struct {
	Origin string
	Age    control.Micros
	Claims map[string]Claims // by rule
}

// OwnClaims returns the claims that this member is to publish now, by rule. It must be called at least every SettleTime/8.
func (m *Member) OwnClaims(now control.Micros) map[string]Claims {
	claims := map[string]Claims{}
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
			c.Open = s.slotClaim.announce(now, math.Ceil(float64(s.open)+spareSlots+s.refusedBySlots.read(now)), float64(s.Open))
		}
		claims[s.Name] = c
	}
	return claims
}

// roundUp rounds up to about two and a half digits, so that a claim that hardly changes need not be published again.
func roundUp(v float64) float64 {
	if v <= 0 {
		return 0
	}
	step := math.Pow(10, math.Floor(math.Log10(v))) / 20
	return math.Ceil(v/step) * step
}

// ApplyReports applies the claims of the other members and sets what this member may use until the next call of ApplyReports.
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
				continue // the member does not have the rule yet and counts as one without a report
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

// refreshNear sets a rule's bucket and slots from the claims. Reports are used unchanged for ReportLifetime. After that the
// others' claims are assumed to grow, including during time in which refreshNear was not called.
func (m *Member) refreshNear(now control.Micros, s *ruleState) {
	refreshedAt, overdue := now, max(0, now-s.rateClaim.reportedAt-ReportLifetime)
	if overdue > 0 {
		refreshedAt = s.rateClaim.reportedAt + ReportLifetime
	}
	rate := m.share(s.rateClaim.spendable(now), s.PerS, s.rateClaim.othersWant, overdue)
	capacity := 0.0
	if s.PerS > 0 {
		parts := float64(m.limits.Parts)
		capacity = floorTokens + max(0, s.Burst-parts*floorTokens)*min(1, rate/s.PerS)
	}
	s.bucket.set(refreshedAt, rate*(1-Drift), capacity)
	s.bucket.refill(now)
	s.slots = math.Floor(min(m.share(s.slotClaim.spendable(now), float64(s.Open), s.slotClaim.othersWant, overdue), float64(s.Open)-s.slotClaim.othersOpen) + 1e-9)
}

// share returns this member's share of a limit, given its own spendable value and the others' claims as of a time overdue ago.
func (m *Member) share(own, limit float64, others []float64, overdue control.Micros) float64 {
	grown := float64(overdue) / float64(GrowTime) * limit // since the reports
	wants := []float64{own}
	claimed := own
	for _, w := range others {
		wants = append(wants, w+grown)
		claimed += w + grown
	}
	unknown := max(0, m.limits.Parts-len(wants))
	if level := fairLevel(limit, wants, unknown); !math.IsInf(level, 1) {
		return min(own, level)
	}
	return own + (limit-claimed)/float64(len(wants)) // the unclaimed rest is shared equally
}
