package control

import "math"

// Parameters of withinShare, which limits the rate of set-ups to cold servers and of second choices to warm
// ones, and of inFlightLimit.
const (
	bestRateTime     = 90e6 // us; decay time constant of Controller.bestRate
	minInFlight      = 1    // set-ups that a gatekeeper may always have in flight to an open server
	startInFlight    = 4    // minInFlight during startPhase
	fullWaitShare    = 0.9  // wait at which the in-flight limit is reached, in gate waits
	rateTime         = 8e6  // us; averaging time constant of this gatekeeper's rate to a server
	startPhase       = 2e6  // us; time after a gatekeeper's start during which its rates are not reliable
	coldFactor       = 0.85 // part of FallMultiple granted to a cold server whose answers show no wait
	shareFactor      = 3.5  // share of a warm server, as a multiple of warmRate
	minSharePerS     = 2.0  // per s; minimum of the shares of all gatekeepers together in a server
	defaultShareSlot = 1e6  // us; length of a slot if the settings have no FallTime
)

// inFlightLimit returns the maximum number of set-ups in flight to a server: the number of answers
// expected, at warmRate, during a set-up delay just below the gate, plus the stall that this event ended.
// Exception: a sender without a limit overloads the server before an answer shows it.
func (c *Controller) inFlightLimit(srv *server) int {
	floor := minInFlight
	if c.justStarted() {
		floor = startInFlight
	}
	limit := max(floor, int(math.Ceil(c.warmRate(srv)*
		(waitsPerSetup*fullWaitShare*c.gateWait+float64(c.stall))/1e6)))
	return limit + c.requiredUnanswered() - 1 // lost set-ups are counted until they are detected
}

// justStarted reports whether this gatekeeper is in its start phase, in which its rates are not reliable.
func (c *Controller) justStarted() bool { return c.now-c.startedAt < startPhase }

// warmRate returns the rate of answers per second that this gatekeeper expects from a server when it is
// warm: the best rate per agent times the number of agents.
func (c *Controller) warmRate(srv *server) float64 { return c.bestRate * max(1, srv.totalAgents) }

// isCold reports whether a server started less than WarmWithin ago.
func (c *Controller) isCold(srv *server) bool {
	return srv.since > 0 && c.now-srv.since < c.settings.WarmWithin
}

// withinShare reports whether one more set-up stays within this gatekeeper's share of a server (Exception),
// and starts a new slot if the last one has ended. The share of a warm server is shareFactor times
// warmRate. The share of a cold one is the rate of this gatekeeper to a warm server of its size, scaled to
// its current capacity; over all gatekeepers it adds up to about that capacity, or nearly FallMultiple
// times as much once its answers show no wait. Set-ups are granted per slot by systematic sampling: a
// gatekeeper with little traffic gets one set-up in some slots, not one in each. As each gatekeeper starts
// at a different offset, the sum over all of them is steady.
func (c *Controller) withinShare(srv *server) bool {
	if c.now < srv.slotEnd {
		return srv.slotRemaining > 0
	}
	slots := (c.now - srv.slotEnd + c.shareSlot) / c.shareSlot
	srv.slotEnd += slots * c.shareSlot
	factor := shareFactor
	if c.isCold(srv) {
		warmed := float64(c.now-srv.since) / float64(c.settings.WarmWithin)
		factor = c.settings.StartCapacity + (1-c.settings.StartCapacity)*warmed // assumes linear growth
		if srv.lastAnswered > 0 && srv.wait < shedTarget*c.gateWait {
			factor *= max(1, coldFactor*c.settings.FallMultiple) // answers show no wait
		}
	}
	floor, rate := minSharePerS/float64(max(1, c.settings.Gatekeepers)), c.warmRate(srv)
	if c.isCold(srv) {
		rate = c.bestRateSinceStart * max(1, srv.totalAgents)
	}
	perSlot := max(floor, factor*rate) * float64(c.shareSlot) / 1e6
	earlier := math.Floor(srv.shareSum + float64(slots-1)*perSlot) // earlier slots are not carried over
	srv.shareSum += float64(slots) * perSlot
	srv.slotRemaining = int(math.Floor(srv.shareSum) - earlier)
	return srv.slotRemaining > 0
}

// currentRate returns the rate at which a server answers this gatekeeper's set-ups, per second: an
// exponential average, decayed to now.
func (c *Controller) currentRate(srv *server) float64 {
	return srv.rate * math.Exp(-float64(c.now-srv.rateUpdatedAt)/rateTime)
}
