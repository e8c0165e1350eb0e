package control

import "math"

// Parameters of the congestion control, which follows draft-asveren-dime-cong-02: each server has a
// congestion level (0 to 4) with hysteresis, gets no new set-ups at level 2 or more, and level 0 is
// preferred to level 1. Comments marked "Exception" name the deviations listed in docs/design.md. Times
// that depend on a deployment are derived from its settings in New.
const (
	topLevel               = 4
	gateLevel              = 2      // lowest level at which a server gets no new set-ups (draft, section 6)
	gateResendGaps         = 1.0    // level 2 onset in resend gaps: longer waits cause resends, more load
	gateTargetShare        = 0.4    // upper bound of level 2 onset, in tightest latency targets: two waits
	defaultGateWait        = 400000 // us; level 2 onset if neither the resend gap nor a latency target is set
	waitsPerSetup          = 2.0    // waits at the processor per established call: set-up and answer
	waitSmoothing          = 0.8    // weight of a new observation in the estimate of the wait
	silentFallBase         = 600000 // us; time in which a level without observations falls by one, >= 0.5 s
	fallJitter             = 0.35   // random part added to silentFallBase, so gatekeepers re-enter in turn
	overtakeSlack          = 100000 // us; a set-up may be reordered by this much without being lost
	reportSlack            = 500000 // us; greatest age of the wait in a report
	commonWindow           = 1e6    // us; window in which observed servers represent unobserved ones
	commonServers          = 3      // least number of servers observed in commonWindow
	commonFactor           = 4      // most servers in all that one observed server represents
	baseDelayGrowth        = 0.01   // per s; growth of the lowest set-up delay, so that old outliers expire
	fullWaitFloor          = 1.1    // least wait that a 'processor full' answer implies, in level 2 onsets
	queueGate              = 384    // queued requests at level 2 onset (draft, section 6.1)
	utilizationOnset       = 0.85   // processor utilization at level 1 onset (docs/design.md)
	utilizationGate        = 0.95   // processor utilization at level 2 onset
	utilizationHysteresis  = 0.1    // difference between onset and abatement of a utilization threshold
	shedTarget             = 0.25   // wait above which calls are shed, in level 2 onsets
	shedIntegral           = 0.1    // per s; growth of the shed part per target of excess wait
	shedSlope              = 0.15   // growth of the shed part per target by which the wait rises
	shedFadeTime           = 2e6    // us; time constant of the shed part at waits below half the target
	shedEaseBelow          = -0.5   // excess wait below which the shed part also decays exponentially
	shedForgetTime         = 15e6   // us; time constant of the shed part without observations
	reentryHalfGatekeepers = 15     // number of gatekeepers at which half of the calls are shed on re-entry
	agentReserve           = 0.02   // part of a pool's agents reserved for calls of greater worth
	missingLifeSigns       = 3.0    // expected answers and ends whose absence marks a server as dead
	lossMemory             = 30     // set-ups over which the part that is lost is averaged
	lossSignificance       = 0.03   // joint probability of chance losses below which they are ruled out
	maxRequiredUnanswered  = 4      // upper bound of requiredUnanswered
)

// onset and abatement are the waits at which levels 1 to 4 begin and end, in level 2 onsets: the draft's
// example (192, 384, 576 and 768 up, 64, 256, 448 and 640 down), scaled to its level 2.
var (
	onset     = [topLevel + 1]float64{0, 192.0 / 384, 1, 576.0 / 384, 768.0 / 384}
	abatement = [topLevel + 1]float64{0, 64.0 / 384, 256.0 / 384, 448.0 / 384, 640.0 / 384}
)

// observeWait takes one observation of the wait at a server, in microseconds.
func (c *Controller) observeWait(srv *server, wait float64) {
	srv.wait += waitSmoothing * (wait - srv.wait)
	c.observeWaitAtLeast(srv, srv.wait)
}

// observeWaitAtLeast takes a lower bound of the wait at a server, in microseconds.
func (c *Controller) observeWaitAtLeast(srv *server, wait float64) {
	srv.wait = max(srv.wait, wait)
	srv.waitObservedAt = c.now
	if over := c.excessWait(srv); over < 0 { // the absence of observations is no sign of spare capacity
		span := float64(min(c.now-srv.shedLoweredAt, 2*shedFadeTime))
		srv.shed += shedIntegral * span / 1e6 * over
		if over < shedEaseBelow {
			srv.shed *= math.Exp(-span / shedFadeTime)
		}
	}
	srv.shedLoweredAt = c.now
	c.updateLevel(srv)
}

// updateLevel adjusts the congestion level to the wait with hysteresis: up at onsets, down at abatements.
func (c *Controller) updateLevel(srv *server) {
	previous := srv.level
	for srv.level < topLevel && srv.wait >= onset[srv.level+1]*c.gateWait {
		srv.level++
	}
	for srv.level > 0 && srv.wait < abatement[srv.level]*c.gateWait {
		srv.level--
	}
	if previous < gateLevel && srv.level >= gateLevel {
		c.logServer(srv, "gated at level %d: wait %.0f ms", srv.level, srv.wait/1000)
	}
	if previous >= gateLevel && srv.level < gateLevel {
		// Exception, re-entry: gatekeepers leave the gate at about the same time, so each sheds a part of
		// its calls: one set-up each is a full load from hundreds of them. With few, more shedding would
		// only prolong a short gate, such as one noisy report causes.
		gatekeepers := float64(max(1, c.settings.Gatekeepers))
		srv.shed = max(srv.shed, gatekeepers/(gatekeepers+reentryHalfGatekeepers))
		srv.shedLoweredAt = c.now
		c.logServer(srv, "open again at level %d", srv.level)
	}
}

// waitOfDelay converts a set-up delay, or the age of an unanswered set-up, to a wait at the processor.
func (c *Controller) waitOfDelay(elapsed Micros) float64 {
	return max(0, float64(elapsed)-c.baseDelay) / waitsPerSetup
}

// applyReport applies a load report, where -1 marks a missing value, and reports whether it held the wait.
func (c *Controller) applyReport(srv *server, report []float64) (hasWait bool) {
	repeated := c.repeated(srv, report)
	for i, value := range report {
		if i >= len(c.settings.Report) || value < 0 {
			continue
		}
		switch c.settings.Report[i] {
		case Spare:
			srv.freeAgents = value
		case Total:
			srv.totalAgents = value
		case WaitMs:
			c.observeWait(srv, value*1000)
			hasWait = true
		case Queue:
			if !repeated {
				c.observeWait(srv, value/queueGate*c.gateWait)
			}
		case Busy:
			if !repeated {
				c.observeUtilization(srv, value)
			}
		}
	}
	return hasWait
}

// repeated reports whether a report has the same queue and utilization as the latest one. Servers measure
// them periodically and repeat the last figures in each message; repeats must not override newer delays.
func (c *Controller) repeated(srv *server, report []float64) bool {
	latest := [2]float64{-1, -1}
	for i, value := range report[:min(len(report), len(c.settings.Report))] {
		switch c.settings.Report[i] {
		case Queue:
			latest[0] = value
		case Busy:
			latest[1] = value
		}
	}
	if latest[0] < 0 && latest[1] < 0 || latest == srv.reported {
		return true
	}
	srv.reported = latest
	return false
}

// observeUtilization applies a reported processor utilization by the thresholds of docs/design.md: levels 1
// and 2 begin at utilizationOnset and utilizationGate and end utilizationHysteresis lower.
func (c *Controller) observeUtilization(srv *server, utilization float64) {
	switch {
	case utilization >= utilizationGate:
		srv.wait = max(srv.wait, c.gateWait)
	case utilization >= utilizationOnset:
		srv.wait = max(srv.wait, onset[1]*c.gateWait)
	case utilization >= utilizationOnset-utilizationHysteresis:
		srv.wait = min(srv.wait, abatement[gateLevel]*c.gateWait*0.99)
	default:
		srv.wait = 0
	}
	c.observeWaitAtLeast(srv, 0)
}

// handleStatus applies the answer to a probe, or an unsolicited report.
func (c *Controller) handleStatus(e Status) {
	if srv := c.findServer(e.Server); srv != nil && e.Code == OK {
		c.applyReport(srv, e.Report)
	}
}

// updateServer updates a server on a tick: the ages of its unanswered set-ups, the decay of its level
// without observations, and shedding. span is the time since the last tick, at most four tick intervals.
func (c *Controller) updateServer(srv *server, span Micros) {
	unanswered := 0
	for _, call := range srv.inFlight {
		if c.overtaken(srv, call.sentAt) {
			// Exception, lost set-ups: a later set-up has been answered, so this one or its answer is lost.
			// Its age does not indicate a wait; it is cancelled while the call can still succeed.
			if !call.lost {
				call.lost = true
				c.lossRate += (1 - c.lossRate) / lossMemory
			}
			c.cancelAttempt(call)
			continue
		}
		unanswered++
		if bound := c.waitOfDelay(c.now - call.sentAt); bound > srv.wait &&
			unanswered >= c.requiredUnanswered() {
			c.observeWaitAtLeast(srv, bound)
		}
		// Exception, dead servers (crash, hang, partition): no sign of life since the set-up was sent
		// though several were expected. It is cancelled once the server is gated, or at the last time at
		// which the call can be established elsewhere within its latency target.
		lastChance := c.earliestElsewhere(call) > call.target
		expectedSigns := 2 * c.currentRate(srv) * float64(c.now-call.sentAt) / 1e6
		if srv.lastHeard < call.sentAt && (srv.level >= gateLevel || lastChance) &&
			expectedSigns >= missingLifeSigns {
			c.cancelAttempt(call)
		}
	}
	if c.now-srv.waitObservedAt >= srv.silentFallTime {
		srv.waitObservedAt = c.now
		if srv.level > 0 {
			srv.wait = min(srv.wait, abatement[srv.level]*c.gateWait*0.99)
			c.updateLevel(srv)
		} else {
			srv.wait /= 2
		}
		srv.waitAtTick = min(srv.waitAtTick, srv.wait)
	}
	// Exception, shedding: below the gate an unbounded sender overruns a server between reports. While the
	// wait exceeds its target, a growing part of the calls, those of least worth, is shed. The part is
	// constant while the wait is.
	target, wait := shedTarget*c.gateWait, min(srv.wait, c.gateWait)
	srv.shed += shedSlope * (wait - srv.waitAtTick) / target
	if srv.level < gateLevel { // no observations at a gated server
		srv.shed += shedIntegral * float64(span) / 1e6 * max(c.excessWait(srv), 0)
		srv.shed -= srv.shed * float64(span) / shedForgetTime
	}
	srv.shed = min(max(srv.shed, 0), 1)
	srv.waitAtTick = wait
}

// excessWait returns by how much the wait at a server exceeds the target of shedding, as a multiple of it.
func (c *Controller) excessWait(srv *server) float64 {
	over := min(srv.wait, c.gateWait)/(shedTarget*c.gateWait) - 1
	if srv.totalAgents > 0 && srv.freeAgents >= 0 && srv.freeAgents <= agentReserve*srv.totalAgents {
		over = max(over, 1) // the last free agents are for calls of greater worth
	}
	return over
}

// requiredUnanswered returns how many set-ups must be unanswered together to rule out chance losses.
func (c *Controller) requiredUnanswered() int {
	n, p := 1, c.lossRate
	for p > lossSignificance && n < maxRequiredUnanswered {
		n++
		p *= c.lossRate
	}
	return n
}

// overtaken reports whether a set-up sent after sentAt has been answered.
func (c *Controller) overtaken(srv *server, sentAt Micros) bool {
	return srv.lastAnswered > sentAt+overtakeSlack
}

// countUnanswered counts the set-ups that still wait at a server; overtaken ones are lost and do not count.
func (c *Controller) countUnanswered(srv *server) int {
	n := 0
	for _, call := range srv.inFlight {
		if !c.overtaken(srv, call.sentAt) && !(call.delayUnknown && c.stall > 0) {
			n++
		}
	}
	return n
}
