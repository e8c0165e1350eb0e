package control

import (
	"math"
	"slices"
)

// Parameters of the worth of calls.
const (
	mixTime         = 10e6 // us; time constant of the mixes of worth and of tenants
	busyMemory      = 5e6  // us; time for which a number counts as busy after such an answer
	busyNumberWorth = 0.2  // factor on the worth of a call to a busy number: few succeed
	maxBusyNumbers  = 256  // capacity of the list of busy numbers
)

// busyNumber is a number whose lines were all busy at answeredAt.
type busyNumber struct {
	key        string
	answeredAt Micros
}

// worthOf returns the current worth of a call.
func (c *Controller) worthOf(call *openCall) float64 {
	class := c.class(call)
	worth := class.Worth
	if call.Repeat && !call.WasCut { // a cut call has the target of a first try
		worth *= class.LateWorth
	}
	if c.isBusy(call.Key) {
		worth *= busyNumberWorth
	}
	if call.Tenant >= 0 && call.Tenant < len(c.tenants) {
		worth *= c.tenantFactor(call.Tenant)
	}
	return worth
}

// tenantFactor returns the mean worth factor of a tenant: 1 within its share, OverShareWorth beyond it.
func (c *Controller) tenantFactor(tenant int) float64 {
	total, quota := 0.0, 0.0
	for i := range c.tenants {
		total += c.tenants[i]
		quota += c.settings.Tenants[i].QuotaPerS
	}
	if total <= 0 || quota <= 0 || c.tenants[tenant] <= 0 {
		return 1
	}
	within := min(1, c.settings.Tenants[tenant].QuotaPerS/quota*total/c.tenants[tenant])
	return within + (1-within)*c.settings.OverShareWorth
}

// worthBucket returns the index of a worth in the mix, in steps of a fifth of an octave.
func worthBucket(worth float64) int {
	return min(max(int(40+5*math.Log2(max(worth, 1e-3))), 0), 63)
}

// countArrival adds a new call to the mixes of worth and of tenants.
func (c *Controller) countArrival(call *openCall) {
	fade := math.Exp(-float64(c.now-c.mixDecayedAt) / mixTime)
	c.mixDecayedAt, c.worthTotal = c.now, c.worthTotal*fade+1
	for i := range c.worthMix {
		c.worthMix[i] *= fade
	}
	for i := range c.tenants {
		c.tenants[i] *= fade
	}
	c.worthMix[worthBucket(call.worth)]++
	if call.Tenant >= 0 && call.Tenant < len(c.tenants) {
		c.tenants[call.Tenant]++
	}
}

// rank returns the part of recent calls that are worth less than this one, with ties broken at random.
func (c *Controller) rank(call *openCall) float64 {
	below, bucket := 0.0, worthBucket(call.worth)
	for i := range bucket {
		below += c.worthMix[i]
	}
	return (below + c.rng.Float64()*c.worthMix[bucket]) / max(c.worthTotal, 1)
}

// markBusy records that all lines of a number were busy at a time, and drops expired entries.
func (c *Controller) markBusy(key string, answeredAt Micros) {
	if key == "" {
		return
	}
	c.busyNumbers = slices.DeleteFunc(c.busyNumbers, func(b busyNumber) bool {
		if b.key == key {
			answeredAt = max(answeredAt, b.answeredAt)
		}
		return b.key == key || c.now-b.answeredAt > busyMemory
	})
	if len(c.busyNumbers) >= maxBusyNumbers {
		c.busyNumbers = c.busyNumbers[1:]
	}
	c.busyNumbers = append(c.busyNumbers, busyNumber{key, answeredAt})
}

// isBusy reports whether all lines of a number were busy within busyMemory.
func (c *Controller) isBusy(key string) bool {
	return slices.ContainsFunc(c.busyNumbers,
		func(b busyNumber) bool { return b.key == key && c.now-b.answeredAt <= busyMemory })
}
