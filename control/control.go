// The decisions of beammux. The interface (settings, events, actions, types) is in interface.go.
//
// The mechanism is that of draft-asveren-dime-cong-02: a congestion level (0 to 4) with hysteresis for
// each server, no new set-up at level 2 or more, level 0 before level 1, refusal at once when all are
// gated. Its exceptions are marked "Exception" and listed in docs/design.md.

package control

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Tuned values. Spans that depend on a deployment are derived from its settings in New.
const (
	topLevel         = 4
	gateLevel        = 2      // the level that takes no new set-ups (draft, section 6)
	gapShare         = 1.0    // level 2 onset in resend gaps: a longer wait causes repeats, which are load
	targetShare      = 0.4    // level 2 onset at most, in tightest latency targets: two waits
	defaultGate      = 400000 // us; level 2 onset where neither gap nor target is known
	passes           = 2.0    // times a call waits at the processor before it is established: set-up, answer
	smoothing        = 0.8    // weight of a new observation in the estimate of the wait
	silentFall       = 600000 // us; a silent level falls one step in this time (floor 0.5 s)
	fallJitter       = 0.35   // part of silentFall by which gatekeepers differ: so not all re-enter at once
	tickInterval     = 50000  // us; how often levels and held calls are looked at
	orderSlack       = 100000 // us; by so much a set-up may be overtaken on the way without being lost
	reportSlack      = 500000 // us; by so much a report of wait may be behind
	commonTime       = 1e6    // us; in which observations of several servers stand for those that are silent
	commonServers    = 3      // servers with such an observation, at least
	commonFactor     = 4      // servers in all, at most, for each of these
	baseDelayGrowth  = 0.01   // per s; rise of the lowest set-up delay, so that an old lucky one is dropped
	fullFloor        = 1.1    // level 2 onsets that a 'processor full' means at least
	queueGate        = 384    // queued requests at level 2 onset (draft, section 6.1)
	useOnset         = 0.85   // use of the processor at level 1 onset (design page)
	useGate          = 0.95   // and at level 2 onset
	useHysteresis    = 0.1    // use by which each abates lower
	shedTarget       = 0.25   // target of the wait for shedding, in level 2 onsets
	shedIntegral     = 0.1    // per s; growth of the shed part for each target of excess wait
	shedSlope        = 0.15   // growth of the shed part for each target by which the wait rises
	shedFadeTime     = 2e6    // us; time constant of its fall while the wait is seen under half its target
	shedEaseBelow    = -0.5   // excess wait under which it also falls
	shedForgetTime   = 15e6   // us; time constant of its fall without observations
	reentryHalf      = 15     // gatekeepers at which half of the calls are shed on re-entry
	agentReserve     = 0.02   // part of a pool's agents kept for the calls of greater worth
	missingLifeSigns = 3.0    // answers and ends due from a live server that must be missing: dead
	bestRateTime     = 90e6   // us; time constant of the best own rate at a warm server
	lossMemory       = 30     // set-ups; memory of the part that is lost
	lossDoubt        = 0.03   // probability of losing so many set-ups together that counts as none
	maxWitnesses     = 4      // unanswered set-ups that are required, at most
	minInFlight      = 1      // set-ups in flight that a gatekeeper may have at any open server
	startInFlight    = 4      // and for startTime after its start
	fullWaitShare    = 0.9    // wait at which the in-flight limit is reached, in level 2 onsets
	rateTime         = 8e6    // us; time constant of the own rate to a server
	startTime        = 2e6    // us; after a gatekeeper's start, while its rates are not reliable
	coldFactor       = 0.85   // part of the rule's multiple used for a cold server whose answers show no wait
	shareFactor      = 3.5    // of its own rate that a gatekeeper may send a warm server with second choices
	minSharePerS     = 2.0    // per s; set-ups that all gatekeepers together may always send to a server
	defaultSlot      = 1e6    // us; time for which a share is drawn where the rules name no window
	headroomPower    = 4      // power by which headroom falls with the wait
	mixTime          = 10e6   // us; time constant of the mix of worth
	busyTime         = 5e6    // us; memory of a number whose lines were busy
	busyWorth        = 0.2    // factor on the worth of a call to a busy number: few succeed
	maxBusyNumbers   = 256    // numbers remembered as busy
	minWaitShare     = 0.5    // least part of the longest Retry-After, the rest drawn at random
	noteInterval     = 2e6    // us; least time between two log lines on one server
)

// onset and abatement of levels 1 to 4 in level 2 onsets: the draft's example ladder (192, 384, 576 and
// 768 up, 64, 256, 448 and 640 down), scaled to its level 2.
var (
	onset     = [topLevel + 1]float64{0, 192.0 / 384, 1, 576.0 / 384, 768.0 / 384}
	abatement = [topLevel + 1]float64{0, 64.0 / 384, 256.0 / 384, 448.0 / 384, 640.0 / 384}
)

// server is what this gatekeeper knows of one server.
type server struct {
	id             uint32
	cell           int
	state          State
	since          Micros
	level          int
	wait           float64    // us; estimate of the wait at the processor
	waitSeenAt     Micros     // when the wait was last seen
	silentFallTime Micros     // this gatekeeper's own silent fall time
	shed           float64    // part of the calls, the least worth first, kept from it
	waitAtTick     float64    // us; wait at the last tick
	shedAt         Micros     // when shed was last lowered by an observation
	inFlight       []*call    // calls with an unanswered set-up, oldest first
	spare          float64    // free agents, -1 if not known
	total          float64    // agents, 0 if not known: the only sign of a server's size
	reported       [2]float64 // queue and use of its processor as last reported
	rate           float64    // own set-ups answered, a second
	rateAt         Micros
	slotEnd        Micros  // when the current slot of this gatekeeper's share ends
	slotLeft       int     // set-ups left in this slot
	shareDrawn     float64 // the share's sum over all slots so far, from its own start
	lastAnswered   Micros  // when the latest answered set-up was sent: servers answer in order
	lastHeard      Micros  // last sign of life
	notedAt        Micros
	maxInFlight    int // InFlightLimit.Max of this server
}

// call is a call without a final answer.
type call struct {
	Call
	worth        float64
	attempts     int
	server       *server // where an attempt is in flight, or nil
	sentAt       Micros
	target       Micros
	heldUntil    Micros // release guard: no set-up before this
	mayHaveRun   bool   // an attempt may have run
	tried        []uint32
	waiting      bool
	lost         bool // its attempt has been overtaken
	delayUnknown bool // this process stalled while it was in flight
	pastTarget   bool // it can no longer be established within its latency target
	cancelled    bool // its attempt has been cancelled
}

// Controller decides for one gatekeeper.
type Controller struct {
	set           Settings
	rng           *rand.Rand
	now           Micros
	actions       []Action
	gateWait      float64 // us; level 2 onset
	shareSlot     Micros  // time for which a share is drawn: half the window of the cold rule
	servers       []*server
	calls         map[string]*call
	waiting       []*call // calls held for the release guard, in order of arrival
	baseDelay     float64 // us; lowest set-up delay seen
	lossRate      float64 // part of the set-ups that were lost
	bestRate      float64 // own answers a second for each agent of a warm server, at best
	seenBestRate  float64 // the same since this start, without what was recalled: for cold servers
	lastTick      Micros
	startedAt     Micros   // of this gatekeeper
	stall         Micros   // how long this process stood still before this event
	notedAt       Micros   // last log line on this gatekeeper itself
	firstTryTime  []Micros // by class: how long callers wait on their first try
	ticking       bool
	worthMix      [64]float64 // recent arrivals by worth
	worthTotal    float64
	mixDecayedAt  Micros
	busyNumbers   []busyNumber
	tenants       []float64 // recent arrivals by tenant
	defaultLimits Limits    // of a call that brings none
}

type busyNumber struct {
	key string
	at  Micros
}

// New makes the controller of one gatekeeper. The same settings, seed and events give the same actions.
func New(set Settings, seed uint64) *Controller {
	c := &Controller{set: set, rng: rand.New(rand.NewPCG(seed, 0x5ab1e)), calls: map[string]*call{}}
	c.gateWait, c.shareSlot = math.Inf(1), defaultSlot
	if set.FallTime > 0 {
		c.shareSlot = set.FallTime/2 + 1
	}
	if set.ResendGap > 0 {
		c.gateWait = gapShare * float64(set.ResendGap)
	}
	for _, k := range set.Classes {
		if k.LatencyTarget > 0 {
			c.gateWait = min(c.gateWait, targetShare*float64(k.LatencyTarget))
		}
	}
	if math.IsInf(c.gateWait, 1) {
		c.gateWait = defaultGate
	}
	c.tenants = make([]float64, len(set.Tenants))
	c.firstTryTime = make([]Micros, len(set.Classes))
	c.defaultLimits = Limits{Attempts: set.AttemptsCap, RetryOn: Retryable}
	return c
}

// Handle takes one event at its time and returns the actions for it, in order. The slice is reused.
func (c *Controller) Handle(now Micros, event Event) []Action {
	gap := now - c.now
	c.now, c.actions = now, c.actions[:0]
	c.detectStall(gap)
	switch e := event.(type) {
	case Start:
		c.startedAt = now
		if c.set.SubscribeList {
			c.emit(Action{Kind: Watch})
		}
	case List:
		c.list(e)
	case Call:
		c.arrive(e)
	case CallEstablished:
		c.opened(e)
	case AttemptEnded:
		c.resolved(e)
	case Status:
		c.status(e)
	case Withdrawn:
		if k := c.calls[e.ID]; k != nil {
			c.remove(k)
		}
	case Timer:
		c.timer(e)
	case InFlightLimit:
		if s := c.find(e.Server); s != nil {
			s.maxInFlight = e.Max
		}
	case BusyNumber:
		c.markBusy(e.Key, e.At)
	case Recall:
		c.recall(e.Learned)
	}
	c.keepTicking()
	return c.actions
}

// detectStall detects by the clock that this process stood still (Exception, own stall): a tick was due and
// did not come. What aged meanwhile says nothing of servers, so their times move along with the stall.
func (c *Controller) detectStall(gap Micros) {
	if gap > 0 {
		c.stall = 0
	}
	if !c.ticking || gap <= 4*tickInterval {
		return
	}
	c.stall = gap
	if c.now-c.notedAt >= noteInterval {
		c.notedAt = c.now
		c.emit(Action{Kind: Log, Text: fmt.Sprintf("stood still for %d ms", gap/1000)})
	}
	for _, s := range c.servers {
		s.waitSeenAt, s.lastHeard, s.lastAnswered = s.waitSeenAt+gap, s.lastHeard+gap, s.lastAnswered+gap
		for _, k := range s.inFlight {
			k.sentAt, k.delayUnknown = k.sentAt+gap, true
		}
	}
}

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

// note writes a log line about a process of a server, at most one in noteInterval.
func (c *Controller) note(s *server, format string, args ...any) {
	if s.notedAt == 0 || c.now-s.notedAt >= noteInterval {
		s.notedAt = c.now
		c.emit(Action{Kind: Log, Text: fmt.Sprintf("server %d ", s.id) + fmt.Sprintf(format, args...)})
	}
}

// ---- The list of servers ----

func (c *Controller) find(id uint32) *server {
	i, ok := slices.BinarySearchFunc(c.servers, id, func(s *server, id uint32) int {
		return cmp.Compare(s.id, id)
	})
	if ok {
		return c.servers[i]
	}
	return nil
}

func (c *Controller) list(l List) {
	if l.Failed {
		if c.set.SubscribeList {
			c.emit(Action{Kind: SetTimer, At: c.now + silentFall, Key: "watch"})
		}
		return
	}
	if !l.Delta {
		for _, s := range c.servers {
			if !slices.ContainsFunc(l.Entries, func(e Entry) bool { return e.Server == s.id }) {
				s.state = Gone
			}
		}
	}
	for _, e := range l.Entries {
		c.applyEntry(e)
	}
	// A server long gone leaves nothing behind.
	gone := func(s *server) bool { return s.state == Gone && len(s.inFlight) == 0 }
	c.servers = slices.DeleteFunc(c.servers, gone)
}

func (c *Controller) applyEntry(e Entry) {
	s := c.find(e.Server)
	if s == nil {
		if e.State == Gone {
			return
		}
		s = c.reset(&server{id: e.Server})
		c.servers = append(c.servers, s)
		slices.SortFunc(c.servers, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	} else if e.Since > s.since {
		c.reset(s) // the same number, a new process: what was known of the old one no longer holds
	}
	if e.State == Draining && s.state == Ready {
		c.note(s, "drains: no new set-ups")
	}
	s.cell, s.state, s.since = e.Cell, e.State, e.Since
	if c.cold(s) && s.state == Ready {
		c.note(s, "is cold: set-ups are kept to a budget")
	}
}

func (c *Controller) reset(s *server) *server {
	*s = server{id: s.id, inFlight: s.inFlight, spare: -1, waitSeenAt: c.now, rateAt: c.now,
		total: s.total, maxInFlight: -1}
	s.slotEnd = c.now + Micros(c.rng.Float64()*float64(c.shareSlot)) // not all gatekeepers at once
	s.shareDrawn = spread(s.id, c.set.Position)
	if c.set.Position < 0 { // not known: each for itself
		s.shareDrawn = c.rng.Float64()
	}
	s.silentFallTime = Micros(silentFall * (1 + fallJitter*c.rng.Float64()))
	return s
}

// ---- Evidence of wait: one path to one level for each server ----

// observeWait takes one observation of the wait at a server.
func (c *Controller) observeWait(s *server, wait float64) {
	s.wait += smoothing * (wait - s.wait)
	c.observeWaitAtLeast(s, s.wait)
}

// observeWaitAtLeast takes an observation that bounds the wait from below.
func (c *Controller) observeWaitAtLeast(s *server, wait float64) {
	s.wait = max(s.wait, wait)
	s.waitSeenAt = c.now
	if over := c.excessWait(s); over < 0 { // silence is no sign of spare capacity
		span := float64(min(c.now-s.shedAt, 2*shedFadeTime))
		s.shed += shedIntegral * span / 1e6 * over
		if over < shedEaseBelow {
			s.shed *= math.Exp(-span / shedFadeTime)
		}
	}
	s.shedAt = c.now
	c.updateLevel(s)
}

// updateLevel moves the congestion level with hysteresis: onsets up, abatements down.
func (c *Controller) updateLevel(s *server) {
	was := s.level
	for s.level < topLevel && s.wait >= onset[s.level+1]*c.gateWait {
		s.level++
	}
	for s.level > 0 && s.wait < abatement[s.level]*c.gateWait {
		s.level--
	}
	if was < gateLevel && s.level >= gateLevel {
		c.note(s, "gated at level %d: wait %.0f ms", s.level, s.wait/1000)
	}
	if was >= gateLevel && s.level < gateLevel {
		// Exception, re-entry: all gatekeepers leave the gate at about the same time, so each starts with a
		// part of its calls: one set-up each would be a full load from hundreds of them. Where there are few,
		// shedding more only prolongs a short gate, as one noisy report causes it.
		gatekeepers := float64(max(1, c.set.Gatekeepers))
		s.shed = max(s.shed, gatekeepers/(gatekeepers+reentryHalf))
		s.shedAt = c.now
		c.note(s, "open again at level %d", s.level)
	}
}

// waitOfDelay maps a set-up delay, or the age of a set-up not yet answered, to a wait.
func (c *Controller) waitOfDelay(took Micros) float64 {
	return max(0, float64(took)-c.baseDelay) / passes
}

// applyReport takes the load report of a server and tells whether it held the wait. Missing values are -1.
func (c *Controller) applyReport(s *server, row []float64) (toldWait bool) {
	repeated := c.repeated(s, row)
	for i, v := range row {
		if i >= len(c.set.Report) || v < 0 {
			continue
		}
		switch c.set.Report[i] {
		case Spare:
			s.spare = v
		case Total:
			s.total = v
		case WaitMs:
			c.observeWait(s, v*1000)
			toldWait = true
		case Queue:
			if !repeated {
				c.observeWait(s, v/queueGate*c.gateWait)
			}
		case Busy:
			if !repeated {
				c.observeUse(s, v)
			}
		}
	}
	return toldWait
}

// repeated tells whether a report repeats the use of the processor and its queue. They are measured now
// and then, and each message meanwhile brings the last figures again: they must not override newer delays.
func (c *Controller) repeated(s *server, row []float64) bool {
	latest := [2]float64{-1, -1}
	for i, v := range row[:min(len(row), len(c.set.Report))] {
		switch c.set.Report[i] {
		case Queue:
			latest[0] = v
		case Busy:
			latest[1] = v
		}
	}
	if latest[0] < 0 && latest[1] < 0 || latest == s.reported {
		return true
	}
	s.reported = latest
	return false
}

// observeUse takes a reported use of the processor by the thresholds of the design page: onsets of levels 1
// and 2, each abating a tenth lower.
func (c *Controller) observeUse(s *server, v float64) {
	switch {
	case v >= useGate:
		s.wait = max(s.wait, c.gateWait)
	case v >= useOnset:
		s.wait = max(s.wait, onset[1]*c.gateWait)
	case v >= useOnset-useHysteresis:
		s.wait = min(s.wait, abatement[gateLevel]*c.gateWait*0.99)
	default:
		s.wait = 0
	}
	c.observeWaitAtLeast(s, 0)
}

// status takes the answer to a probe, or a report sent unasked.
func (c *Controller) status(e Status) {
	if s := c.find(e.Server); s != nil && e.Code == OK {
		c.applyReport(s, e.Report)
	}
}

// update brings a server's state up to now: the age of its oldest unanswered set-up, the fall of its level in
// silence, shedding.
func (c *Controller) update(s *server, span Micros) {
	silent := 0
	for _, k := range s.inFlight {
		if c.overtaken(s, k.sentAt) {
			// Exception, lost set-ups: a later one has been answered, so this one or its answer is lost.
			// Its age says nothing of the wait, and it is cancelled while the call can still succeed.
			if !k.lost {
				k.lost = true
				c.lossRate += (1 - c.lossRate) / lossMemory
			}
			c.cancelAttempt(k)
			continue
		}
		silent++
		if bound := c.waitOfDelay(c.now - k.sentAt); bound > s.wait && silent >= c.witnesses() {
			c.observeWaitAtLeast(s, bound)
		}
		// Exception, dead servers (crash, hang, partition): no sign of life since it was sent though
		// several were due. It is cancelled when the server is gated, at the latest while the call can still
		// be established elsewhere within its latency target.
		last := c.earliestElsewhere(k) > k.target
		due := 2 * c.currentRate(s) * float64(c.now-k.sentAt) / 1e6
		if s.lastHeard < k.sentAt && (s.level >= gateLevel || last) && due >= missingLifeSigns {
			c.cancelAttempt(k)
		}
	}
	if c.now-s.waitSeenAt >= s.silentFallTime {
		s.waitSeenAt = c.now
		if s.level > 0 {
			s.wait = min(s.wait, abatement[s.level]*c.gateWait*0.99)
			c.updateLevel(s)
		} else {
			s.wait /= 2
		}
		s.waitAtTick = min(s.waitAtTick, s.wait)
	}
	// Exception, thinning: below the gate an unbounded sender overruns a server between reports. While the
	// wait stays over its target, a growing part of the calls, the least worth first, is shed. The part is
	// steady when the wait is.
	target, wait := shedTarget*c.gateWait, min(s.wait, c.gateWait)
	s.shed += shedSlope * (wait - s.waitAtTick) / target
	if s.level < gateLevel { // nothing is learned while nothing is sent
		s.shed += shedIntegral * float64(span) / 1e6 * max(c.excessWait(s), 0)
		s.shed -= s.shed * float64(span) / shedForgetTime
	}
	s.shed = min(max(s.shed, 0), 1)
	s.waitAtTick = wait
}

// excessWait is how far the wait at a server exceeds the target of shedding, as a multiple of that target.
func (c *Controller) excessWait(s *server) float64 {
	over := min(s.wait, c.gateWait)/(shedTarget*c.gateWait) - 1
	if s.total > 0 && s.spare >= 0 && s.spare <= agentReserve*s.total {
		over = max(over, 1) // nearly all agents taken: the last ones are for the calls of greater worth
	}
	return over
}

// witnesses is how many set-ups must be unanswered together for chance loss, as learned, not to explain it.
func (c *Controller) witnesses() int {
	n, p := 1, c.lossRate
	for p > lossDoubt && n < maxWitnesses {
		n++
		p *= c.lossRate
	}
	return n
}

// overtaken tells whether a set-up sent later than at has been answered.
func (c *Controller) overtaken(s *server, at Micros) bool { return s.lastAnswered > at+orderSlack }

// ahead counts the set-ups that still wait at a server: those overtaken are lost and do not count.
func (c *Controller) ahead(s *server) int {
	n := 0
	for _, k := range s.inFlight {
		if !c.overtaken(s, k.sentAt) && !(k.delayUnknown && c.stall > 0) {
			n++
		}
	}
	return n
}

// earliestElsewhere is when a call whose attempt is cancelled now can be established at another server.
func (c *Controller) earliestElsewhere(k *call) Micros {
	guard := max(c.set.ReleaseGuard, k.Limits.Wait+k.Limits.Jitter)
	return c.now + guard + Micros(c.baseDelay) + 3*tickInterval
}

// cancelAttempt cancels a call's attempt where another one can still succeed.
func (c *Controller) cancelAttempt(k *call) {
	if !c.set.Cancel || k.cancelled || c.class(k).Repeat != Idempotent || !c.mayRetry(k, Cancelled) ||
		c.earliestElsewhere(k) > k.Deadline {
		return
	}
	for _, s := range c.servers {
		if s != k.server && c.accepts(s, k, 1) || s == k.server && s.level < gateLevel {
			k.cancelled = true
			c.emit(Action{Kind: Cancel, ID: k.ID, Attempt: k.attempts - 1})
			return
		}
	}
}

// inFlightLimit bounds the set-ups in flight to a server (Exception: an unbounded sender overruns it before
// an answer shows that) to what this gatekeeper's rate of answers brings in the time of a set-up at the gate.
func (c *Controller) inFlightLimit(s *server) int {
	floor := minInFlight
	if c.starting() {
		floor = startInFlight
	}
	room := max(floor, int(math.Ceil(c.warmRate(s)*(passes*fullWaitShare*c.gateWait+float64(c.stall))/1e6)))
	return room + c.witnesses() - 1 // lost set-ups count until they are known to be lost
}

// starting tells whether this gatekeeper has just started: its rates are not reliable yet.
func (c *Controller) starting() bool { return c.now-c.startedAt < startTime }

// warmRate is the rate of answers that this gatekeeper would get from a server if warm: its best, by size.
func (c *Controller) warmRate(s *server) float64 { return c.bestRate * max(1, s.total) }

// ---- Shares of servers ----

func (c *Controller) cold(s *server) bool {
	return s.since > 0 && c.now-s.since < c.set.WarmWithin
}

// withinShare tells whether one more set-up keeps to this gatekeeper's share of a server (Exception). That is
// its own rate to a warm server, cut to what a cold one does: over all gatekeepers about the capacity there.
// It is granted slot by slot by systematic sampling: gatekeepers with little traffic send one now and then
// and not one each, and since each begins at another offset, their sum is steady.
func (c *Controller) withinShare(s *server) bool {
	if c.now < s.slotEnd {
		return s.slotLeft > 0
	}
	slots := (c.now - s.slotEnd + c.shareSlot) / c.shareSlot
	s.slotEnd += slots * c.shareSlot
	part := shareFactor
	if c.cold(s) {
		warmed := float64(c.now-s.since) / float64(c.set.WarmWithin)
		part = c.set.StartCapacity + (1-c.set.StartCapacity)*warmed // its course is not known: linear
		if s.lastAnswered > 0 && s.wait < shedTarget*c.gateWait {
			part *= max(1, coldFactor*c.set.FallMultiple) // quick answers: the multiple that the rule allows
		}
	}
	floor, rate := minSharePerS/float64(max(1, c.set.Gatekeepers)), c.warmRate(s)
	if c.cold(s) {
		rate = c.seenBestRate * max(1, s.total)
	}
	x := max(floor, part*rate) * float64(c.shareSlot) / 1e6
	before := math.Floor(s.shareDrawn + float64(slots-1)*x) // unused slots are not saved up
	s.shareDrawn += float64(slots) * x
	s.slotLeft = int(math.Floor(s.shareDrawn) - before)
	return s.slotLeft > 0
}

func (c *Controller) currentRate(s *server) float64 {
	return s.rate * math.Exp(-float64(c.now-s.rateAt)/rateTime)
}

// ---- The life of a call ----

func (c *Controller) arrive(e Call) {
	if c.calls[e.ID] != nil {
		return
	}
	k := &call{Call: e, target: e.Deadline}
	if k.Limits == nil {
		k.Limits = &c.defaultLimits
	}
	if aim := c.class(k).LatencyTarget; aim > 0 {
		k.target = min(k.target, c.now+aim)
	}
	k.worth = c.worthOf(k)
	if e.Class >= 0 && e.Class < len(c.firstTryTime) && !e.Repeat {
		if c.stall == 0 {
			c.firstTryTime[e.Class] = e.Deadline - c.now
		} else {
			// It may have arrived during the stall: its caller has waited since.
			k.target -= min(max(c.firstTryTime[e.Class]-(e.Deadline-c.now), 0), c.stall)
			c.markPastTarget(k, c.now)
		}
	}
	c.calls[e.ID] = k
	c.countArrival(k)
	if e.Excess {
		c.refuse(k)
		return
	}
	c.dispatch(k)
}

// dispatch sends a call where the route says, or refuses it.
func (c *Controller) dispatch(k *call) {
	s := c.route(k)
	if s == nil {
		c.refuse(k)
		return
	}
	if k.Quota != nil && k.attempts == 0 {
		if ok, wait := k.Quota.Take(c.now); !ok {
			c.refuseWith(k, wait)
			return
		}
	}
	k.server, k.sentAt, k.cancelled, k.lost, k.delayUnknown = s, c.now, false, false, false
	k.attempts++
	if b := k.Limits.Budget; b != nil && k.attempts == 1 {
		b.First(c.now, k.Class)
	}
	s.inFlight = append(s.inFlight, k)
	s.slotLeft--
	c.emit(Action{Kind: Send, ID: k.ID, Server: s.id, Wait: k.Limits.AttemptTimeout})
}

// detach removes a call's attempt from its server.
func (c *Controller) detach(k *call) {
	if k.server != nil {
		k.server.inFlight = slices.DeleteFunc(k.server.inFlight, func(o *call) bool { return o == k })
		k.server = nil
	}
}

func (c *Controller) remove(k *call) {
	c.detach(k)
	if k.waiting {
		c.waiting = slices.DeleteFunc(c.waiting, func(o *call) bool { return o == k })
	}
	delete(c.calls, k.ID)
}

func (c *Controller) opened(e CallEstablished) {
	k := c.calls[e.ID]
	if s := c.find(e.Server); s != nil {
		if c.baseDelay == 0 || float64(e.Elapsed) < c.baseDelay {
			c.baseDelay = float64(e.Elapsed)
		}
		c.lossRate -= c.lossRate / lossMemory
		s.lastHeard = c.now
		s.rate, s.rateAt = c.currentRate(s)+1e6/rateTime, c.now
		if k != nil && k.server == s && k.delayUnknown {
			s.lastAnswered = max(s.lastAnswered, k.sentAt)
		} else {
			s.lastAnswered = max(s.lastAnswered, c.now-e.Elapsed)
			c.observeWait(s, c.waitOfDelay(e.Elapsed))
		}
	}
	if k != nil {
		c.remove(k) // established; its end brings only a report
	}
}

func (c *Controller) resolved(e AttemptEnded) {
	k := c.calls[e.ID]
	if k != nil && (k.server == nil || k.attempts-1 != e.Attempt) {
		k = nil // an attempt that is no longer in flight
	}
	if k != nil {
		c.detach(k)
	}
	s := c.find(e.Server)
	if s != nil {
		c.attemptEnded(s, k, e)
	}
	if k == nil {
		return
	}
	if e.Settled {
		c.remove(k)
		return
	}
	if !k.lost { // chance lost it, not the server
		k.tried = append(k.tried, e.Server)
	}
	switch e.Code {
	case Full, Unreachable, NotSent:
		c.retry(k, e.Code, c.now)
	case TimedOut, Cut, Cancelled:
		k.mayHaveRun = true
		c.retry(k, e.Code, c.now+c.set.ReleaseGuard)
	default:
		k.mayHaveRun = true
		if e.Reason == LinesBusy {
			c.markBusy(k.Key, c.now)
			c.refuse(k)
			return
		}
		c.retry(k, e.Code, c.now)
	}
}

// attemptEnded takes what the end of an attempt says about its server.
func (c *Controller) attemptEnded(s *server, k *call, e AttemptEnded) {
	if c.applyReport(s, e.Report) {
		// A server that reports a short wait has answered what came long before, or that is lost.
		s.lastAnswered = max(s.lastAnswered, c.now-Micros(c.baseDelay+passes*s.wait)-reportSlack)
	}
	if e.Code == OK || e.Code == Full || e.Code == Failed {
		s.lastHeard = c.now
	}
	switch {
	case e.Code == Full && e.Reason != NoAgent:
		c.observeWaitAtLeast(s, max(fullFloor*c.gateWait, float64(e.RetryAfter)))
	case e.Code == Unreachable:
		c.observeWaitAtLeast(s, onset[topLevel]*c.gateWait)
	case e.Code == TimedOut && k != nil && !c.overtaken(s, k.sentAt):
		c.observeWaitAtLeast(s, c.waitOfDelay(e.Elapsed))
	}
}

// retry holds a call for one more attempt, if its limits and the rules allow that and it can succeed in time;
// else it is refused. The budget is asked last: what is refused anyway takes nothing from it.
func (c *Controller) retry(k *call, code Code, from Micros) {
	l := k.Limits
	from = max(from, c.now+l.Wait)
	if l.Jitter > 0 {
		from = max(from, c.now+l.Wait+Micros(c.rng.Int64N(int64(l.Jitter)+1)))
	}
	if !c.mayRetry(k, code) || k.mayHaveRun && c.class(k).Repeat != Idempotent ||
		from+Micros(c.baseDelay)+2*tickInterval >= k.Deadline ||
		l.Budget != nil && !l.Budget.Take(c.now, k.Class) {
		c.refuse(k)
		return
	}
	c.markPastTarget(k, from)
	if from <= c.now {
		c.dispatch(k)
		return
	}
	k.heldUntil, k.waiting = from, true
	c.waiting = append(c.waiting, k)
}

// mayRetry tells whether a call's limits leave it an attempt after one that ended so.
func (c *Controller) mayRetry(k *call, code Code) bool {
	return k.attempts < max(1, min(k.Limits.Attempts, c.set.AttemptsCap)) && k.Limits.RetryOn.Has(code)
}

// markPastTarget lowers the worth of a call that can't meet its latency target if sent at a time.
func (c *Controller) markPastTarget(k *call, from Micros) {
	if from+Micros(c.baseDelay) > k.target && !k.pastTarget {
		k.pastTarget = true
		k.worth *= c.class(k).LateWorth
	}
}

// class returns a call's class; one that the settings don't name has no worth and is never sent twice.
func (c *Controller) class(k *call) Class {
	if k.Class >= 0 && k.Class < len(c.set.Classes) {
		return c.set.Classes[k.Class]
	}
	return Class{Repeat: NonIdempotent}
}

func (c *Controller) timer(e Timer) {
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
	c.seenBestRate -= c.seenBestRate * float64(min(span, 4*tickInterval)) / bestRateTime
	c.baseDelay *= 1 + baseDelayGrowth*float64(span)/1e6
	rate, size, least, heard := 0.0, 0.0, math.Inf(1), 0
	for _, s := range c.servers {
		c.update(s, min(span, 4*tickInterval))
		if c.now-s.shedAt < commonTime {
			least = min(least, s.wait)
			heard++
		}
		if s.state != Gone && !c.cold(s) {
			rate += c.currentRate(s)
			size += max(1, s.total)
		}
	}
	// One server's rate is noise where few set-ups go to it: the rate of all together is not. The best of few
	// samples is luck: one deviation less is about the mean.
	fair := 1 - math.Exp(-max(float64(c.now-c.startedAt), startTime)/rateTime)
	unit := rate / fair * (1 - 1/math.Sqrt(1+rate*rateTime/1e6)) / max(1, size)
	c.bestRate, c.seenBestRate = max(c.bestRate, unit), max(c.seenBestRate, unit)
	for _, s := range c.servers { // Exception, common slowdown: all heard from lately wait
		if heard >= commonServers && commonFactor*heard >= len(c.servers) && s.wait < least && !c.cold(s) {
			s.wait = least
			c.updateLevel(s)
		}
	}
	held := c.waiting
	c.waiting = nil
	for _, k := range held {
		if c.now < k.heldUntil {
			c.waiting = append(c.waiting, k)
			continue
		}
		k.waiting = false
		c.dispatch(k)
	}
}

// keepTicking asks for the next tick while anything can change with time alone.
func (c *Controller) keepTicking() {
	need := len(c.calls) > 0
	for _, s := range c.servers {
		need = need || s.level > 0 || s.shed > 0
	}
	if need && !c.ticking {
		c.ticking = true
		if c.now-c.lastTick > 4*tickInterval {
			c.lastTick = c.now
		}
		c.emit(Action{Kind: SetTimer, At: c.now + tickInterval, Key: "tick"})
	}
}

// ---- Worth ----

// worthOf returns what a call is still worth.
func (c *Controller) worthOf(k *call) float64 {
	class := c.class(k)
	w := class.Worth
	if k.Repeat && !k.WasCut { // a call that was cut must be set up again within its target
		w *= class.LateWorth
	}
	if c.isBusy(k.Key) {
		w *= busyWorth
	}
	if k.Tenant >= 0 && k.Tenant < len(c.tenants) {
		w *= c.tenantFactor(k.Tenant)
	}
	return w
}

// tenantFactor is the mean worth of a tenant's calls: full within its share of the mix, little beyond it.
func (c *Controller) tenantFactor(t int) float64 {
	all, quota := 0.0, 0.0
	for i := range c.tenants {
		all += c.tenants[i]
		quota += c.set.Tenants[i].QuotaPerS
	}
	if all <= 0 || quota <= 0 || c.tenants[t] <= 0 {
		return 1
	}
	within := min(1, c.set.Tenants[t].QuotaPerS/quota*all/c.tenants[t])
	return within + (1-within)*c.set.OverShareWorth
}

// worthBucket maps worth to its place in the mix: steps of a fifth octave.
func worthBucket(worth float64) int {
	return min(max(int(40+5*math.Log2(max(worth, 1e-3))), 0), 63)
}

// countArrival counts a new call in the mixes of worth and of tenants.
func (c *Controller) countArrival(k *call) {
	fade := math.Exp(-float64(c.now-c.mixDecayedAt) / mixTime)
	c.mixDecayedAt, c.worthTotal = c.now, c.worthTotal*fade+1
	for i := range c.worthMix {
		c.worthMix[i] *= fade
	}
	for i := range c.tenants {
		c.tenants[i] *= fade
	}
	c.worthMix[worthBucket(k.worth)]++
	if k.Tenant >= 0 && k.Tenant < len(c.tenants) {
		c.tenants[k.Tenant]++
	}
}

// rank is the part of recent calls that are worth less than this one; equals are drawn at random.
func (c *Controller) rank(k *call) float64 {
	below, at := 0.0, worthBucket(k.worth)
	for i := range at {
		below += c.worthMix[i]
	}
	return (below + c.rng.Float64()*c.worthMix[at]) / max(c.worthTotal, 1)
}

func (c *Controller) markBusy(key string, at Micros) {
	if key == "" {
		return
	}
	c.busyNumbers = slices.DeleteFunc(c.busyNumbers, func(b busyNumber) bool {
		if b.key == key {
			at = max(at, b.at)
		}
		return b.key == key || c.now-b.at > busyTime
	})
	if len(c.busyNumbers) >= maxBusyNumbers {
		c.busyNumbers = c.busyNumbers[1:]
	}
	c.busyNumbers = append(c.busyNumbers, busyNumber{key, at})
}

func (c *Controller) isBusy(key string) bool {
	return slices.ContainsFunc(c.busyNumbers, func(b busyNumber) bool {
		return b.key == key && c.now-b.at <= busyTime
	})
}

// ---- Route ----

// route returns the first choice while it is at level 0, else another at level 0, else one at level 1; nil
// if none accepts the call.
func (c *Controller) route(k *call) *server {
	rank := c.rank(k)
	var best *server
	turn := math.Inf(1)
	for _, s := range c.servers {
		if !c.accepts(s, k, rank) {
			continue
		}
		// Others than the first choice are drawn at random by their headroom. By the shortest wait, those
		// with few reports would all send to the smallest servers, of which least is known.
		t := c.rng.ExpFloat64() / c.headroom(s)
		if s.cell == k.FirstChoice {
			t = 0
		}
		if best == nil || s.level < best.level || s.level == best.level && t < turn {
			best, turn = s, t
		}
	}
	return best
}

// headroom is what a server has left for calls that others can't take: free agents, less as its wait grows.
func (c *Controller) headroom(s *server) float64 {
	agents := max(1, s.total)
	if s.total > 0 && s.spare >= 0 {
		agents = s.spare + agentReserve*s.total
	}
	return agents * (1 - s.shed) * math.Pow(1+agentReserve-min(1, s.wait/c.gateWait), headroomPower)
}

// accepts tells whether a server can take this call now.
func (c *Controller) accepts(s *server, k *call, rank float64) bool {
	switch {
	case s.state != Ready, s.level >= gateLevel, slices.Contains(k.tried, s.id), s.cell == c.set.OwnCell:
		return false
	case k.Transit && s.cell != k.FirstChoice:
		return false
	case c.class(k).Pools != nil && !slices.Contains(c.class(k).Pools, s.cell):
		return false
	case s.maxInFlight >= 0 && len(s.inFlight) >= s.maxInFlight:
		return false
	case c.ahead(s) >= c.inFlightLimit(s):
		return false
	case (c.cold(s) || s.cell != k.FirstChoice && c.bestRate > 0 && !c.starting()) && !c.withinShare(s):
		return false
	}
	return rank >= s.shed
}

// ---- Refusal ----

// refuse gives a call its final answer.
func (c *Controller) refuse(k *call) {
	c.remove(k)
	if k.mayHaveRun && c.class(k).Repeat != Idempotent {
		c.emit(Action{Kind: Fail, ID: k.ID})
		return
	}
	c.refuseWith(k, Micros(float64(c.set.MaxRetryAfter)*(minWaitShare+(1-minWaitShare)*c.rng.Float64())))
}

// refuseWith refuses a call that no server has worked on, with the time after which to come back.
func (c *Controller) refuseWith(k *call, wait Micros) {
	c.remove(k)
	a := Action{Kind: Refuse, ID: k.ID}
	if c.set.RetryAfter {
		a.Wait = min(wait, c.set.MaxRetryAfter)
	}
	c.emit(a)
}
