// Package control decides for one gatekeeper which server each call is sent to and which calls are refused.
// It is a deterministic state machine: Controller.Handle takes an event and returns actions. It does no I/O
// and reads no clock. The settings, events, actions and types are in interface.go.
package control

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Periods of ticks and log lines.
const (
	tickInterval = 50000 // us; period of Controller.onTick
	logInterval  = 2e6   // us; minimum time between two log lines about one server
)

// Controller makes the decisions of one gatekeeper. It is not safe for concurrent use.
type Controller struct {
	settings           Settings
	rng                *rand.Rand
	now                Micros   // time of the current event
	actions            []Action // result of Handle
	gateWait           float64  // us; wait at a server's processor at which level 2 begins (the gate)
	shareSlot          Micros   // length of a slot of withinShare: half of FallTime
	servers            []*server
	calls              map[string]*openCall
	waiting            []*openCall // calls held until heldUntil, in the order in which they were held
	baseDelay          float64     // us; lowest set-up delay observed, slowly rising with time
	lossRate           float64     // moving average of the part of the set-ups that is lost
	bestRate           float64     // highest own answers per second and agent, over all warm servers; decays
	bestRateSinceStart float64     // bestRate as observed since the start, used for cold servers
	lastTick           Micros
	startedAt          Micros
	stall              Micros   // duration of the stall of this process that ended with the current event
	loggedAt           Micros   // last log line about this gatekeeper itself
	firstTryPatience   []Micros // by class: time from arrival to deadline of the latest first try
	ticking            bool
	worthMix           [64]float64 // recent arrivals by worthBucket, decaying
	worthTotal         float64
	mixDecayedAt       Micros
	busyNumbers        []busyNumber
	tenants            []float64 // recent arrivals by tenant, decaying
	defaultLimits      Limits    // limits of a call without its own
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
	case CallEstablished:
		c.handleEstablished(e)
	case AttemptEnded:
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

// detectStall detects that this process stalled (Exception, own stall): ticks were due, but no event came
// for more than four tick intervals. The ages of set-ups and observations then include the stall and are no
// evidence about the servers, so the recorded times are shifted by it. gap is the time since the previous
// event.
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
		c.emit(Action{Kind: Log, Text: fmt.Sprintf("process stalled for %d ms", gap/1000)})
	}
	for _, srv := range c.servers {
		srv.waitObservedAt, srv.lastHeard, srv.lastAnswered =
			srv.waitObservedAt+gap, srv.lastHeard+gap, srv.lastAnswered+gap
		for _, call := range srv.inFlight {
			call.sentAt, call.delayUnknown = call.sentAt+gap, true
		}
	}
}

// emit appends an action to the result of Handle.
func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

// logServer emits a log line about a server, at most one per logInterval. A restart of the server clears the
// interval.
func (c *Controller) logServer(srv *server, format string, args ...any) {
	if srv.loggedAt == 0 || c.now-srv.loggedAt >= logInterval {
		srv.loggedAt = c.now
		c.emit(Action{Kind: Log, Text: fmt.Sprintf("server %d ", srv.id) + fmt.Sprintf(format, args...)})
	}
}

// handleTimer subscribes to the list again after a failure, or processes a tick.
func (c *Controller) handleTimer(e Timer) {
	switch e.Key {
	case "watch":
		c.emit(Action{Kind: Watch})
	case "tick":
		c.ticking = false
		c.onTick()
	}
}

// onTick updates all servers, the best rates and the base delay, and dispatches the held calls that are due.
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
	// The rate of a single server is too noisy if few set-ups go to it, so the sum over all servers is
	// used. The maximum of few samples is biased upward; subtracting one standard deviation of the number
	// of answers in rateTime gives about the mean. startupCorrection is the part of a steady rate that the
	// average has reached.
	startupCorrection := 1 - math.Exp(-max(float64(c.now-c.startedAt), startPhase)/rateTime)
	ratePerAgent := rate / startupCorrection * (1 - 1/math.Sqrt(1+rate*rateTime/1e6)) / max(1, agents)
	c.bestRate, c.bestRateSinceStart = max(c.bestRate, ratePerAgent), max(c.bestRateSinceStart, ratePerAgent)
	// Exception, common slowdown: if enough servers were observed within commonWindow, each warm server is
	// assumed to have at least the shortest wait among them.
	for _, srv := range c.servers {
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

// keepTicking requests the next tick while there are calls, or a server with a congestion level or a shed
// part.
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
		c.emit(Action{Kind: SetTimer, At: c.now + tickInterval, Key: "tick"})
	}
}
