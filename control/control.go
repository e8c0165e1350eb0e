package control

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

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
	tickInterval           = 50000  // us; period at which levels and held calls are updated
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
	bestRateTime           = 90e6   // us; time constant of the best own rate at a warm server
	lossMemory             = 30     // set-ups over which the part that is lost is averaged
	lossSignificance       = 0.03   // joint probability of chance losses below which they are ruled out
	maxRequiredUnanswered  = 4      // upper bound of requiredUnanswered
	minInFlight            = 1      // set-ups that a gatekeeper may always have in flight at an open server
	startInFlight          = 4      // the same during startPhase
	fullWaitShare          = 0.9    // wait at which the in-flight limit is reached, in level 2 onsets
	rateTime               = 8e6    // us; time constant of the own rate to a server
	startPhase             = 2e6    // us; time after a gatekeeper's start in which its rates are not reliable
	coldFactor             = 0.85   // part of FallMultiple used at a cold server whose answers show no wait
	shareFactor            = 3.5    // limit of second choices to a warm server, in own rates to it
	minSharePerS           = 2.0    // per s; set-ups that all gatekeepers together may always send a server
	defaultShareSlot       = 1e6    // us; slot of a share if the settings have no FallTime
	headroomPower          = 4      // power by which headroom falls with the wait
	mixTime                = 10e6   // us; time constant of the mixes of worth and of tenants
	busyMemory             = 5e6    // us; time for which a number counts as busy after such an answer
	busyNumberWorth        = 0.2    // factor on the worth of a call to a busy number: few succeed
	maxBusyNumbers         = 256    // capacity of the list of busy numbers
	minRetryAfterShare     = 0.5    // least Retry-After in parts of its maximum; the rest is random
	logInterval            = 2e6    // us; least time between two log lines about one server
)

// onset and abatement are the waits at which levels 1 to 4 begin and end, in level 2 onsets: the draft's
// example (192, 384, 576 and 768 up, 64, 256, 448 and 640 down), scaled to its level 2.
var (
	onset     = [topLevel + 1]float64{0, 192.0 / 384, 1, 576.0 / 384, 768.0 / 384}
	abatement = [topLevel + 1]float64{0, 64.0 / 384, 256.0 / 384, 448.0 / 384, 640.0 / 384}
)

// server is this gatekeeper's estimate of one server.
type server struct {
	id             uint32
	cell           int
	state          State
	since          Micros
	level          int
	wait           float64     // us; estimate of the wait at the processor
	waitObservedAt Micros      // time of the latest observation of the wait
	silentFallTime Micros      // time without observations after which the level falls by one
	shed           float64     // part of the calls, those of least worth, that are not sent to it
	waitAtTick     float64     // us; wait at the last tick
	shedLoweredAt  Micros      // when an observation last lowered shed
	inFlight       []*openCall // calls with an unanswered set-up, oldest first
	freeAgents     float64     // -1 if not known
	totalAgents    float64     // 0 if not known: the only measure of a server's size
	reported       [2]float64  // queue and utilization of its processor in the latest report
	rate           float64     // own set-ups answered per second, at rateUpdatedAt
	rateUpdatedAt  Micros
	slotEnd        Micros  // end of the current slot of this gatekeeper's share
	slotRemaining  int     // set-ups remaining in this slot
	shareSum       float64 // sum of the share over all slots, from an offset of this gatekeeper's own
	lastAnswered   Micros  // when the latest answered set-up was sent: servers answer in order
	lastHeard      Micros  // last sign of life
	loggedAt       Micros
	maxInFlight    int // InFlightLimit.Max of this server
}

// openCall is a call without a final answer.
type openCall struct {
	Call
	worth        float64
	attempts     int
	server       *server // server with an attempt in flight, or nil
	sentAt       Micros
	target       Micros // latest time at which the call meets its latency target
	heldUntil    Micros // earliest time of the next attempt (release guard, retry wait)
	mayHaveRun   bool   // a server may have worked on an attempt
	tried        []uint32
	waiting      bool // held in Controller.waiting
	lost         bool // a later set-up has been answered before this attempt
	delayUnknown bool // this process stalled while the attempt was in flight
	pastTarget   bool // it can no longer be established within its latency target
	cancelled    bool // its attempt has been cancelled
}

// Controller makes the decisions of one gatekeeper. It is not safe for concurrent use.
type Controller struct {
	settings           Settings
	rng                *rand.Rand
	now                Micros
	actions            []Action
	gateWait           float64 // us; level 2 onset
	shareSlot          Micros  // slot of a share: half of FallTime
	servers            []*server
	calls              map[string]*openCall
	waiting            []*openCall // calls held until heldUntil, in order of arrival
	baseDelay          float64     // us; lowest set-up delay observed
	lossRate           float64     // part of the set-ups that were lost
	bestRate           float64     // highest own rate of answers per agent of a warm server, per second
	bestRateSinceStart float64     // bestRate without restored values: for cold servers
	lastTick           Micros
	startedAt          Micros
	stall              Micros   // how long this process stalled before this event
	loggedAt           Micros   // last log line about this gatekeeper itself
	firstTryPatience   []Micros // by class: how long callers wait on their first try
	ticking            bool
	worthMix           [64]float64 // recent arrivals by worth
	worthTotal         float64
	mixDecayedAt       Micros
	busyNumbers        []busyNumber
	tenants            []float64 // recent arrivals by tenant
	defaultLimits      Limits    // limits of a call without its own
}

// busyNumber is a number whose lines were all busy at answeredAt.
type busyNumber struct {
	key        string
	answeredAt Micros
}

// New returns the controller of one gatekeeper. The same settings, seed and events give the same actions.
func New(settings Settings, seed uint64) *Controller {
	c := &Controller{settings: settings, rng: rand.New(rand.NewPCG(seed, 0x5ab1e)),
		calls: map[string]*openCall{}}
	c.gateWait, c.shareSlot = math.Inf(1), defaultShareSlot
	if settings.FallTime > 0 {
		c.shareSlot = settings.FallTime/2 + 1
	}
	if settings.ResendGap > 0 {
		c.gateWait = gateResendGaps * float64(settings.ResendGap)
	}
	for _, class := range settings.Classes {
		if class.LatencyTarget > 0 {
			c.gateWait = min(c.gateWait, gateTargetShare*float64(class.LatencyTarget))
		}
	}
	if math.IsInf(c.gateWait, 1) {
		c.gateWait = defaultGateWait
	}
	c.tenants = make([]float64, len(settings.Tenants))
	c.firstTryPatience = make([]Micros, len(settings.Classes))
	c.defaultLimits = Limits{Attempts: settings.AttemptsCap, RetryOn: Retryable}
	return c
}

// Handle processes one event and returns the resulting actions in order. The next call reuses the slice.
func (c *Controller) Handle(now Micros, event Event) []Action {
	gap := now - c.now
	c.now, c.actions = now, c.actions[:0]
	c.detectStall(gap)
	switch e := event.(type) {
	case Start:
		c.startedAt = now
		if c.settings.SubscribeList {
			c.emit(Action{Kind: Watch})
		}
	case List:
		c.applyList(e)
	case Call:
		c.handleCall(e)
	case Opened:
		c.handleEstablished(e)
	case Resolved:
		c.handleAttemptEnd(e)
	case Status:
		c.handleStatus(e)
	case Withdrawn:
		if call := c.calls[e.ID]; call != nil {
			c.remove(call)
		}
	case Timer:
		c.handleTimer(e)
	case InFlightLimit:
		if srv := c.findServer(e.Server); srv != nil {
			srv.maxInFlight = e.Max
		}
	case BusyNumber:
		c.markBusy(e.Key, e.At)
	case Recall:
		c.restoreLearned(e.Learned)
	}
	c.keepTicking()
	return c.actions
}

// detectStall detects from a missing tick that this process stalled (Exception, own stall). The ages of
// set-ups and observations then say nothing about the servers, so their times are shifted by the stall.
func (c *Controller) detectStall(gap Micros) {
	if gap > 0 {
		c.stall = 0
	}
	if !c.ticking || gap <= 4*tickInterval {
		return
	}
	c.stall = gap
	if c.now-c.loggedAt >= logInterval {
		c.loggedAt = c.now
		c.emit(Action{Kind: Note, Text: fmt.Sprintf("process stalled for %d ms", gap/1000)})
	}
	for _, srv := range c.servers {
		srv.waitObservedAt, srv.lastHeard, srv.lastAnswered =
			srv.waitObservedAt+gap, srv.lastHeard+gap, srv.lastAnswered+gap
		for _, call := range srv.inFlight {
			call.sentAt, call.delayUnknown = call.sentAt+gap, true
		}
	}
}

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

// logServer emits a log line about a server, at most one per logInterval and process of the server.
func (c *Controller) logServer(srv *server, format string, args ...any) {
	if srv.loggedAt == 0 || c.now-srv.loggedAt >= logInterval {
		srv.loggedAt = c.now
		c.emit(Action{Kind: Note, Text: fmt.Sprintf("server %d ", srv.id) + fmt.Sprintf(format, args...)})
	}
}

func (c *Controller) findServer(id uint32) *server {
	i, ok := slices.BinarySearchFunc(c.servers, id,
		func(srv *server, id uint32) int { return cmp.Compare(srv.id, id) })
	if ok {
		return c.servers[i]
	}
	return nil
}

func (c *Controller) applyList(list List) {
	if list.Failed {
		if c.settings.SubscribeList {
			c.emit(Action{Kind: Defer, At: c.now + silentFallBase, Key: "watch"})
		}
		return
	}
	if !list.Delta {
		for _, srv := range c.servers {
			if !slices.ContainsFunc(list.Entries, func(e Entry) bool { return e.Server == srv.id }) {
				srv.state = Gone
			}
		}
	}
	for _, e := range list.Entries {
		c.applyEntry(e)
	}
	gone := func(srv *server) bool { return srv.state == Gone && len(srv.inFlight) == 0 }
	c.servers = slices.DeleteFunc(c.servers, gone)
}

func (c *Controller) applyEntry(e Entry) {
	srv := c.findServer(e.Server)
	if srv == nil {
		if e.State == Gone {
			return
		}
		srv = c.reset(&server{id: e.Server})
		c.servers = append(c.servers, srv)
		slices.SortFunc(c.servers, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	} else if e.Since > srv.since {
		c.reset(srv) // same number, new process: earlier estimates do not apply
	}
	if e.State == Draining && srv.state == Ready {
		c.logServer(srv, "drains: no new set-ups")
	}
	srv.cell, srv.state, srv.since = e.Cell, e.State, e.Since
	if c.isCold(srv) && srv.state == Ready {
		c.logServer(srv, "is cold: set-ups are kept to a budget")
	}
}

func (c *Controller) reset(srv *server) *server {
	*srv = server{id: srv.id, inFlight: srv.inFlight, freeAgents: -1, waitObservedAt: c.now,
		rateUpdatedAt: c.now, totalAgents: srv.totalAgents, maxInFlight: -1}
	srv.slotEnd = c.now + Micros(c.rng.Float64()*float64(c.shareSlot)) // spread over gatekeepers
	srv.shareSum = shareOffset(srv.id, c.settings.Position)
	if c.settings.Position < 0 { // position not known: random offset
		srv.shareSum = c.rng.Float64()
	}
	srv.silentFallTime = Micros(silentFallBase * (1 + fallJitter*c.rng.Float64()))
	return srv
}

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
func (c *Controller) waitOfDelay(took Micros) float64 {
	return max(0, float64(took)-c.baseDelay) / waitsPerSetup
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

// observeUtilization applies a reported processor utilization by the thresholds of docs/design.md.
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

// handleStatus applies the answer to a probe or an unsolicited report.
func (c *Controller) handleStatus(e Status) {
	if srv := c.findServer(e.Server); srv != nil && e.Code == OK {
		c.applyReport(srv, e.Report)
	}
}

// updateServer updates a server on a tick: ages of set-ups, decay of the level without observations,
// shedding.
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
	// Exception, thinning: below the gate an unbounded sender overruns a server between reports. While the
	// wait exceeds its target, a growing part of the calls, those of least worth, is shed; it stays while
	// the wait does.
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

// earliestElsewhere returns when a call whose attempt is cancelled now can be established elsewhere.
func (c *Controller) earliestElsewhere(call *openCall) Micros {
	guard := max(c.settings.ReleaseGuard, call.Limits.Wait+call.Limits.Jitter)
	return c.now + guard + Micros(c.baseDelay) + 3*tickInterval
}

// cancelAttempt cancels a call's attempt if a further attempt can still succeed.
func (c *Controller) cancelAttempt(call *openCall) {
	if !c.settings.Cancel || call.cancelled || c.class(call).Repeat != ReadLike ||
		!c.mayRetry(call, Cancelled) || c.earliestElsewhere(call) > call.Deadline {
		return
	}
	for _, srv := range c.servers {
		if srv != call.server && c.accepts(srv, call, 1) || srv == call.server && srv.level < gateLevel {
			call.cancelled = true
			c.emit(Action{Kind: Cancel, ID: call.ID, Attempt: call.attempts - 1})
			return
		}
	}
}

// inFlightLimit returns the most set-ups in flight to a server: the answers expected during a set-up just
// below the gate. Exception: an unbounded sender overruns the server before an answer shows it.
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

func (c *Controller) currentRate(srv *server) float64 {
	return srv.rate * math.Exp(-float64(c.now-srv.rateUpdatedAt)/rateTime)
}

func (c *Controller) handleCall(e Call) {
	if c.calls[e.ID] != nil {
		return
	}
	call := &openCall{Call: e, target: e.Deadline}
	if call.Limits == nil {
		call.Limits = &c.defaultLimits
	}
	if latencyTarget := c.class(call).LatencyTarget; latencyTarget > 0 {
		call.target = min(call.target, c.now+latencyTarget)
	}
	call.worth = c.worthOf(call)
	if e.Class >= 0 && e.Class < len(c.firstTryPatience) && !e.Repeat {
		if c.stall == 0 {
			c.firstTryPatience[e.Class] = e.Deadline - c.now
		} else {
			// It may have arrived during the stall, and its caller has waited since then.
			call.target -= min(max(c.firstTryPatience[e.Class]-(e.Deadline-c.now), 0), c.stall)
			c.markPastTarget(call, c.now)
		}
	}
	c.calls[e.ID] = call
	c.countArrival(call)
	if e.Excess {
		c.refuse(call)
		return
	}
	c.dispatch(call)
}

// dispatch sends a call to the selected server, or refuses it if there is none.
func (c *Controller) dispatch(call *openCall) {
	srv := c.selectServer(call)
	if srv == nil {
		c.refuse(call)
		return
	}
	if call.Quota != nil && call.attempts == 0 {
		if ok, wait := call.Quota.Take(c.now); !ok {
			c.refuseWithWait(call, wait)
			return
		}
	}
	call.server, call.sentAt, call.cancelled, call.lost, call.delayUnknown = srv, c.now, false, false, false
	call.attempts++
	if budget := call.Limits.Budget; budget != nil && call.attempts == 1 {
		budget.First(c.now, call.Class)
	}
	srv.inFlight = append(srv.inFlight, call)
	srv.slotRemaining--
	c.emit(Action{Kind: Send, ID: call.ID, Server: srv.id, Wait: call.Limits.AttemptTimeout})
}

// detach ends the attempt in flight of a call.
func (c *Controller) detach(call *openCall) {
	if call.server != nil {
		call.server.inFlight = slices.DeleteFunc(call.server.inFlight,
			func(o *openCall) bool { return o == call })
		call.server = nil
	}
}

func (c *Controller) remove(call *openCall) {
	c.detach(call)
	if call.waiting {
		c.waiting = slices.DeleteFunc(c.waiting, func(o *openCall) bool { return o == call })
	}
	delete(c.calls, call.ID)
}

func (c *Controller) handleEstablished(e Opened) {
	call := c.calls[e.ID]
	if srv := c.findServer(e.Server); srv != nil {
		if c.baseDelay == 0 || float64(e.Took) < c.baseDelay {
			c.baseDelay = float64(e.Took)
		}
		c.lossRate -= c.lossRate / lossMemory
		srv.lastHeard = c.now
		srv.rate, srv.rateUpdatedAt = c.currentRate(srv)+1e6/rateTime, c.now
		if call != nil && call.server == srv && call.delayUnknown {
			srv.lastAnswered = max(srv.lastAnswered, call.sentAt)
		} else {
			srv.lastAnswered = max(srv.lastAnswered, c.now-e.Took)
			c.observeWait(srv, c.waitOfDelay(e.Took))
		}
	}
	if call != nil {
		c.remove(call) // established; its end only carries a report
	}
}

func (c *Controller) handleAttemptEnd(e Resolved) {
	call := c.calls[e.ID]
	if call != nil && (call.server == nil || call.attempts-1 != e.Attempt) {
		call = nil // the attempt is no longer in flight
	}
	if call != nil {
		c.detach(call)
	}
	srv := c.findServer(e.Server)
	if srv != nil {
		c.observeAttemptEnd(srv, call, e)
	}
	if call == nil {
		return
	}
	if e.Settled {
		c.remove(call)
		return
	}
	if !call.lost { // a lost set-up is not the fault of the server
		call.tried = append(call.tried, e.Server)
	}
	switch e.Code {
	case Full, Unreachable, NotSent:
		c.retry(call, e.Code, c.now)
	case TimedOut, Cut, Cancelled:
		call.mayHaveRun = true
		c.retry(call, e.Code, c.now+c.settings.ReleaseGuard)
	default:
		call.mayHaveRun = true
		if e.Reason == LinesBusy {
			c.markBusy(call.Key, c.now)
			c.refuse(call)
			return
		}
		c.retry(call, e.Code, c.now)
	}
}

// observeAttemptEnd updates the estimate of a server from the end of an attempt.
func (c *Controller) observeAttemptEnd(srv *server, call *openCall, e Resolved) {
	if c.applyReport(srv, e.Report) {
		// A server with a short reported wait has answered earlier set-ups, or they are lost.
		srv.lastAnswered = max(srv.lastAnswered, c.now-Micros(c.baseDelay+waitsPerSetup*srv.wait)-reportSlack)
	}
	if e.Code == OK || e.Code == Full || e.Code == Failed {
		srv.lastHeard = c.now
	}
	switch {
	case e.Code == Full && e.Reason != NoAgent:
		c.observeWaitAtLeast(srv, max(fullWaitFloor*c.gateWait, float64(e.RetryAfter)))
	case e.Code == Unreachable:
		c.observeWaitAtLeast(srv, onset[topLevel]*c.gateWait)
	case e.Code == TimedOut && call != nil && !c.overtaken(srv, call.sentAt):
		c.observeWaitAtLeast(srv, c.waitOfDelay(e.Took))
	}
}

// retry schedules a further attempt at or after from if the limits and rules allow it and it can succeed in
// time; else it refuses the call. The budget is consulted last: refused calls take nothing from it.
func (c *Controller) retry(call *openCall, code Code, from Micros) {
	limits := call.Limits
	from = max(from, c.now+limits.Wait)
	if limits.Jitter > 0 {
		from = max(from, c.now+limits.Wait+Micros(c.rng.Int64N(int64(limits.Jitter)+1)))
	}
	if !c.mayRetry(call, code) || call.mayHaveRun && c.class(call).Repeat != ReadLike ||
		from+Micros(c.baseDelay)+2*tickInterval >= call.Deadline ||
		limits.Budget != nil && !limits.Budget.Take(c.now, call.Class) {
		c.refuse(call)
		return
	}
	c.markPastTarget(call, from)
	if from <= c.now {
		c.dispatch(call)
		return
	}
	call.heldUntil, call.waiting = from, true
	c.waiting = append(c.waiting, call)
}

// mayRetry reports whether a call's limits allow another attempt after one that ended with code.
func (c *Controller) mayRetry(call *openCall, code Code) bool {
	return call.attempts < max(1, min(call.Limits.Attempts, c.settings.AttemptsCap)) &&
		call.Limits.RetryOn.Has(code)
}

// markPastTarget lowers the worth of a call, once, if an attempt sent at from misses its latency target.
func (c *Controller) markPastTarget(call *openCall, from Micros) {
	if from+Micros(c.baseDelay) > call.target && !call.pastTarget {
		call.pastTarget = true
		call.worth *= c.class(call).LateWorth
	}
}

// class returns a call's class. A class unknown to the settings has no worth and is never sent twice.
func (c *Controller) class(call *openCall) Class {
	if call.Class >= 0 && call.Class < len(c.settings.Classes) {
		return c.settings.Classes[call.Class]
	}
	return Class{Repeat: Once}
}

func (c *Controller) handleTimer(e Timer) {
	switch e.Key {
	case "watch":
		c.emit(Action{Kind: Watch})
	case "tick":
		c.ticking = false
		c.onTick()
	}
}

func (c *Controller) onTick() {
	span := c.now - c.lastTick
	c.lastTick = c.now
	c.bestRate -= c.bestRate * float64(min(span, 4*tickInterval)) / bestRateTime
	c.bestRateSinceStart -= c.bestRateSinceStart * float64(min(span, 4*tickInterval)) / bestRateTime
	c.baseDelay *= 1 + baseDelayGrowth*float64(span)/1e6
	rate, agents, shortestWait, observed := 0.0, 0.0, math.Inf(1), 0
	for _, srv := range c.servers {
		c.updateServer(srv, min(span, 4*tickInterval))
		if c.now-srv.shedLoweredAt < commonWindow {
			shortestWait = min(shortestWait, srv.wait)
			observed++
		}
		if srv.state != Gone && !c.isCold(srv) {
			rate += c.currentRate(srv)
			agents += max(1, srv.totalAgents)
		}
	}
	// The rate of a single server is noise if few set-ups go to it, so the sum over all servers is used.
	// The best of few samples is biased upward; subtracting one standard deviation gives about the mean.
	startupCorrection := 1 - math.Exp(-max(float64(c.now-c.startedAt), startPhase)/rateTime)
	ratePerAgent := rate / startupCorrection * (1 - 1/math.Sqrt(1+rate*rateTime/1e6)) / max(1, agents)
	c.bestRate, c.bestRateSinceStart = max(c.bestRate, ratePerAgent), max(c.bestRateSinceStart, ratePerAgent)
	for _, srv := range c.servers { // Exception, common slowdown: all recently observed servers wait
		if observed >= commonServers && commonFactor*observed >= len(c.servers) &&
			srv.wait < shortestWait && !c.isCold(srv) {
			srv.wait = shortestWait
			c.updateLevel(srv)
		}
	}
	due := c.waiting
	c.waiting = nil
	for _, call := range due {
		if c.now < call.heldUntil {
			c.waiting = append(c.waiting, call)
			continue
		}
		call.waiting = false
		c.dispatch(call)
	}
}

// keepTicking requests the next tick while any state changes with time.
func (c *Controller) keepTicking() {
	needed := len(c.calls) > 0
	for _, srv := range c.servers {
		needed = needed || srv.level > 0 || srv.shed > 0
	}
	if needed && !c.ticking {
		c.ticking = true
		if c.now-c.lastTick > 4*tickInterval {
			c.lastTick = c.now
		}
		c.emit(Action{Kind: Defer, At: c.now + tickInterval, Key: "tick"})
	}
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

func (c *Controller) isBusy(key string) bool {
	return slices.ContainsFunc(c.busyNumbers,
		func(b busyNumber) bool { return b.key == key && c.now-b.answeredAt <= busyMemory })
}

// selectServer returns the first choice if it is at level 0, else another server at level 0, else one at
// level 1, or nil if no server accepts the call.
func (c *Controller) selectServer(call *openCall) *server {
	rank := c.rank(call)
	var best *server
	bestDraw := math.Inf(1)
	for _, srv := range c.servers {
		if !c.accepts(srv, call, rank) {
			continue
		}
		// Alternatives to the first choice are drawn at random, weighted by headroom. By the shortest wait,
		// gatekeepers with few reports would all choose the smallest servers, whose waits are known least.
		draw := c.rng.ExpFloat64() / c.headroom(srv)
		if srv.cell == call.FirstChoice {
			draw = 0
		}
		if best == nil || srv.level < best.level || srv.level == best.level && draw < bestDraw {
			best, bestDraw = srv, draw
		}
	}
	return best
}

// headroom returns the relative capacity of a server for second choices: free agents, less with more wait.
func (c *Controller) headroom(srv *server) float64 {
	available := max(1, srv.totalAgents)
	if srv.totalAgents > 0 && srv.freeAgents >= 0 {
		available = srv.freeAgents + agentReserve*srv.totalAgents
	}
	return available * (1 - srv.shed) * math.Pow(1+agentReserve-min(1, srv.wait/c.gateWait), headroomPower)
}

// accepts reports whether a server can take a call of a given rank now.
func (c *Controller) accepts(srv *server, call *openCall, rank float64) bool {
	switch {
	case srv.state != Ready, srv.level >= gateLevel, slices.Contains(call.tried, srv.id),
		srv.cell == c.settings.OwnCell:
		return false
	case call.Transit && srv.cell != call.FirstChoice:
		return false
	case c.class(call).Pools != nil && !slices.Contains(c.class(call).Pools, srv.cell):
		return false
	case srv.maxInFlight >= 0 && len(srv.inFlight) >= srv.maxInFlight:
		return false
	case c.countUnanswered(srv) >= c.inFlightLimit(srv):
		return false
	case (c.isCold(srv) || srv.cell != call.FirstChoice && c.bestRate > 0 && !c.justStarted()) &&
		!c.withinShare(srv):
		return false
	}
	return rank >= srv.shed
}

// refuse ends a call: as failed if it may have run and must not run twice, else as refused.
func (c *Controller) refuse(call *openCall) {
	c.remove(call)
	if call.mayHaveRun && c.class(call).Repeat != ReadLike {
		c.emit(Action{Kind: Fail, ID: call.ID})
		return
	}
	c.refuseWithWait(call, Micros(float64(c.settings.MaxRetryAfter)*
		(minRetryAfterShare+(1-minRetryAfterShare)*c.rng.Float64())))
}

// refuseWithWait refuses a call that no server has worked on, with the time after which to retry.
func (c *Controller) refuseWithWait(call *openCall, wait Micros) {
	c.remove(call)
	a := Action{Kind: Refuse, ID: call.ID}
	if c.settings.RetryAfter {
		a.Wait = min(wait, c.settings.MaxRetryAfter)
	}
	c.emit(a)
}
