package control

import "math"

// Parameters of the shares of servers, the budgets of cold servers and the in-flight limit.
const (
	bestRateTime     = 90e6 // us; time constant of the best own rate at a warm server
	minInFlight      = 1    // set-ups that a gatekeeper may always have in flight at an open server
	startInFlight    = 4    // the same during startPhase
	fullWaitShare    = 0.9  // wait at which the in-flight limit is reached, in level 2 onsets
	rateTime         = 8e6  // us; time constant of the own rate to a server
	startPhase       = 2e6  // us; time after a gatekeeper's start in which its rates are not reliable
	coldFactor       = 0.85 // part of FallMultiple used at a cold server whose answers show no wait
	shareFactor      = 3.5  // limit of second choices to a warm server, in own rates to it
	minSharePerS     = 2.0  // per s; set-ups that all gatekeepers together may always send a server
	defaultShareSlot = 1e6  // us; slot of a share if the settings have no FallTime
)

// inFlightLimit returns the greatest number of set-ups in flight to a server: the answers expected, at this
// gatekeeper's rate, in the duration of a set-up just below the gate. Exception: an unbounded sender
// overruns the server before an answer shows it.
func (c *Controller) inFlightLimit(srv *server) int {
	floor := minInFlight
	if c.justStarted() {
		floor = startInFlight
	}
	room := max(floor, int(math.Ceil(c.warmRate(srv)*
		(waitsPerSetup*fullWaitShare*c.gateWait+float64(c.stall))/1e6)))
	return room + c.requiredUnanswered() - 1 // lost set-ups count until detected
}

// justStarted reports whether this gatekeeper is in its start phase, in which its rates are not reliable.
func (c *Controller) justStarted() bool { return c.now-c.startedAt < startPhase }

// warmRate returns the expected rate of answers of a server if warm: the best per agent times its agents.
func (c *Controller) warmRate(srv *server) float64 { return c.bestRate * max(1, srv.totalAgents) }

// isCold reports whether a server started less than WarmWithin ago.
func (c *Controller) isCold(srv *server) bool {
	return srv.since > 0 && c.now-srv.since < c.settings.WarmWithin
}

// withinShare reports whether one more set-up stays within this gatekeeper's share of a server (Exception):
// its own rate to a warm server, scaled to the capacity of a cold one; over all gatekeepers about the
// capacity of the server. It is granted per slot by systematic sampling: a gatekeeper with little traffic
// gets one set-up in some slots, not one in each. As each starts at another offset, the sum is steady.
func (c *Controller) withinShare(srv *server) bool {
	if c.now < srv.slotEnd {
		return srv.slotRemaining > 0
	}
	slots := (c.now - srv.slotEnd + c.shareSlot) / c.shareSlot
	srv.slotEnd += slots * c.shareSlot
	factor := shareFactor
	if c.isCold(srv) {
		warmed := float64(c.now-srv.since) / float64(c.settings.WarmWithin)
		factor = c.settings.StartCapacity + (1-c.settings.StartCapacity)*warmed // assumed linear
		if srv.lastAnswered > 0 && srv.wait < shedTarget*c.gateWait {
			factor *= max(1, coldFactor*c.settings.FallMultiple) // answers show no wait: nearly FallMultiple
		}
	}
	floor, rate := minSharePerS/float64(max(1, c.settings.Gatekeepers)), c.warmRate(srv)
	if c.isCold(srv) {
		rate = c.bestRateSinceStart * max(1, srv.totalAgents)
	}
	perSlot := max(floor, factor*rate) * float64(c.shareSlot) / 1e6
	before := math.Floor(srv.shareSum + float64(slots-1)*perSlot) // unused slots are not carried over
	srv.shareSum += float64(slots) * perSlot
	srv.slotRemaining = int(math.Floor(srv.shareSum) - before)
	return srv.slotRemaining > 0
}

// currentRate returns the own rate of answers of a server, per second, decayed to now.
func (c *Controller) currentRate(srv *server) float64 {
	return srv.rate * math.Exp(-float64(c.now-srv.rateUpdatedAt)/rateTime)
}
