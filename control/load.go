package control

import "math"

// Parameters of the congestion control, which follows draft-asveren-dime-cong-02: each server has a
// congestion level (0 to 4) with hysteresis. Servers at level 0 are preferred to those at level 1; a server
// at level 2 or more is gated: it gets no new set-ups. Comments marked "Exception" name the deviations
// listed in docs/design.md. Times that depend on a deployment are derived from its settings in New. A wait
// "in gate waits" is a multiple of Controller.gateWait, the wait at which level 2 begins.
const (
	topLevel               = 4
	gateLevel              = 2      // lowest level at which a server gets no new set-ups (draft, section 6)
	gateResendGaps         = 1.0    // gate wait in resend gaps: longer waits cause resends, which add load
	gateTargetShare        = 0.4    // maximum gate wait in shortest latency targets; a set-up takes two waits
	defaultGateWait        = 400000 // us; gate wait if neither a resend gap nor a latency target is set
	waitsPerSetup          = 2.0    // waits at the processor in a set-up delay: of the set-up and its answer
	waitSmoothing          = 0.8    // weight of a new observation in the estimate of the wait
	silentFallBase         = 600000 // us; a level falls by one after this time without observations; >= 0.5 s
	fallJitter             = 0.35   // random part added to silentFallBase, so that gatekeepers reopen in turn
	overtakeSlack          = 100000 // us; set-ups sent within this time may be answered out of order
	reportSlack            = 500000 // us; maximum age of the wait in a report
	commonWindow           = 1e6    // us; window of observations for the common slowdown rule
	commonServers          = 3      // minimum number of servers observed in commonWindow for that rule
	commonFactor           = 4      // at least one in this many servers must have been observed for it
	baseDelayGrowth        = 0.01   // per s; growth of Controller.baseDelay, so that low outliers expire
	fullWaitFloor          = 1.1    // minimum wait that a 'processor full' answer implies, in gate waits
	queueGate              = 384    // queued requests at level 2 onset (draft, section 6.1)
	utilizationOnset       = 0.85   // processor utilization at level 1 onset (docs/design.md)
	utilizationGate        = 0.95   // processor utilization at level 2 onset
	utilizationHysteresis  = 0.1    // difference between onset and abatement of a utilization threshold
	shedTarget             = 0.25   // wait above which the shed part of calls grows, in gate waits
	shedIntegral           = 0.1    // per s; growth of the shed part per unit of excessWait
	shedSlope              = 0.15   // growth of the shed part while the wait rises by one shedTarget
	shedFadeTime           = 2e6    // us; decay time constant of the shed part below half of shedTarget
	shedEaseBelow          = -0.5   // excessWait below which the shed part also decays exponentially
	shedForgetTime         = 15e6   // us; decay time constant of the shed part at any wait below the gate
	reentryHalfGatekeepers = 15     // number of gatekeepers at which half of the calls are shed on reopening
	agentReserve           = 0.02   // part of a pool's agents kept free for calls of greater worth
	missingLifeSigns       = 3.0    // expected answers and call ends; with none received, a server is dead
	lossMemory             = 30     // set-ups over which Controller.lossRate is averaged
	lossSignificance       = 0.03   // probability below which a coincidence of random losses is ruled out
	maxRequiredUnanswered  = 4      // maximum result of requiredUnanswered
)

// onset and abatement are the waits at which levels 1 to 4 begin and end, in gate waits. They are the
// thresholds of the draft's example (onsets 192, 384, 576 and 768, abatements 64, 256, 448 and 640) divided
// by its level 2 onset.
var (
	onset     = [topLevel + 1]float64{0, 192.0 / 384, 1, 576.0 / 384, 768.0 / 384}
	abatement = [topLevel + 1]float64{0, 64.0 / 384, 256.0 / 384, 448.0 / 384, 640.0 / 384}
)

// observeWait includes an observed wait, in microseconds, in the smoothed estimate of the wait at a server.
func (c *Controller) observeWait(srv *server, wait float64) {
	srv.wait += waitSmoothing * (wait - srv.wait)
	c.observeWaitAtLeast(srv, srv.wait)
}

// observeWaitAtLeast raises the estimate of the wait at a server to a lower bound, in microseconds, and
// reduces the shed part if the wait is below the target of shedding.
func (c *Controller) observeWaitAtLeast(srv *server, wait float64) {
	srv.wait = max(srv.wait, wait)
	srv.waitObservedAt = c.now
	// The shed part is reduced here, not on ticks: the absence of observations is no sign of spare capacity.
	if excess := c.excessWait(srv); excess < 0 {
		span := float64(min(c.now-srv.shedLoweredAt, 2*shedFadeTime))
		srv.shed += shedIntegral * span / 1e6 * excess
		if excess < shedEaseBelow {
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
		// Exception, re-entry: all gatekeepers reopen a server at about the same time, so each sheds a part
		// of its calls at first. With hundreds of gatekeepers, one set-up from each is already a full load.
		// With few, the part is smaller: more shedding would only prolong a short gating, such as one noisy
		// report causes.
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

// applyReport applies a load report, where -1 marks a missing value, and reports whether it contains the
// wait.
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

// repeated reports whether a report has the same queue and utilization as the previous one, or neither of
// them. Servers measure them periodically and send the last figures in every message; a repeated figure
// must not replace an estimate from newer set-up delays.
func (c *Controller) repeated(srv *server, report []float64) bool {
	figures := [2]float64{-1, -1}
	for i, value := range report[:min(len(report), len(c.settings.Report))] {
		switch c.settings.Report[i] {
		case Queue:
			figures[0] = value
		case Busy:
			figures[1] = value
		}
	}
	if figures[0] < 0 && figures[1] < 0 || figures == srv.reported {
		return true
	}
	srv.reported = figures
	return false
}

// observeUtilization adjusts the wait to a reported processor utilization, so that the thresholds of
// docs/design.md hold: levels 1 and 2 begin at utilizationOnset and utilizationGate and end
// utilizationHysteresis below them.
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
			// Exception, lost set-ups: a set-up sent later has been answered, so this one or its answer is
			// lost. Its age does not indicate a wait. It is cancelled if another attempt can
			// still succeed.
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
		// Exception, dead servers (crash, hang, partition): the server has given no sign of life since the
		// set-up was sent, although several were expected: two per set-up, its answer and the end of the
		// call. The set-up is cancelled once the server is gated, or when a later attempt elsewhere would
		// miss the latency target.
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
	// Exception, shedding: below the gate, a sender without a limit overloads a server between two reports.
	// So a part of the calls, those of least worth, is shed. This is a proportional-integral control: the
	// part follows each change of the wait, and grows while the wait exceeds its target.
	target, wait := shedTarget*c.gateWait, min(srv.wait, c.gateWait)
	srv.shed += shedSlope * (wait - srv.waitAtTick) / target
	if srv.level < gateLevel { // a gated server gives no observations to correct the part
		srv.shed += shedIntegral * float64(span) / 1e6 * max(c.excessWait(srv), 0)
		srv.shed -= srv.shed * float64(span) / shedForgetTime
	}
	srv.shed = min(max(srv.shed, 0), 1)
	srv.waitAtTick = wait
}

// excessWait returns the excess of the wait at a server over the target of shedding, as a multiple of the
// target. It is negative below the target.
func (c *Controller) excessWait(srv *server) float64 {
	excess := min(srv.wait, c.gateWait)/(shedTarget*c.gateWait) - 1
	if srv.totalAgents > 0 && srv.freeAgents >= 0 && srv.freeAgents <= agentReserve*srv.totalAgents {
		excess = max(excess, 1) // the last free agents are for calls of greater worth
	}
	return excess
}

// requiredUnanswered returns the number of unanswered set-ups at a server from which they indicate a wait:
// the least number, up to maxRequiredUnanswered, for which the probability that all of them are random
// losses is at most lossSignificance.
func (c *Controller) requiredUnanswered() int {
	n, p := 1, c.lossRate
	for p > lossSignificance && n < maxRequiredUnanswered {
		n++
		p *= c.lossRate
	}
	return n
}

// overtaken reports whether a server has answered a set-up sent more than overtakeSlack after sentAt.
func (c *Controller) overtaken(srv *server, sentAt Micros) bool {
	return srv.lastAnswered > sentAt+overtakeSlack
}

// countUnanswered returns the number of set-ups that wait for an answer of a server. It leaves out
// overtaken ones, which are lost, and during the event that ends a stall those sent before it: they may
// have been answered.
func (c *Controller) countUnanswered(srv *server) int {
	n := 0
	for _, call := range srv.inFlight {
		if !c.overtaken(srv, call.sentAt) && !(call.delayUnknown && c.stall > 0) {
			n++
		}
	}
	return n
}
