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
	topLevel     = 4
	gateLevel    = 2      // the level that takes no new set-ups (draft, section 6)
	gapShare     = 1.0    // level 2 onset in resend gaps: a longer wait makes repeats, which are work
	aimShare     = 0.4    // level 2 onset at most in tightest aims: set-up and answer both wait
	plainGate    = 400000 // us; level 2 onset where neither gap nor aim is known
	passes       = 2.0    // times a call waits at the processor before it stands: set-up, answer
	newerPart    = 0.8    // part of a new sight of wait in the estimate; the rest damps noise
	silentFall   = 600000 // us; a silent level falls one step in this time (floor 0.5 s)
	fallJitter   = 0.35   // part of silentFall by which fronts differ, so that they don't re-enter together
	tick         = 50000  // us; how often levels and held calls are looked at
	orderSlack   = 100000 // us; by so much a set-up may be overtaken on the way without being lost
	reportSlack  = 500000 // us; by so much a report of wait may be behind
	commonSpan   = 1e6    // us; within this, sights of several servers stand for those that are silent
	commonLeast  = 3      // servers so seen at least
	commonTimes  = 4      // and by so much they may be fewer than all
	baseCreep    = 0.01   // per s; rise of the lowest set-up delay, so that an old lucky one is forgotten
	fullFloor    = 1.1    // level 2 onsets that a 'processor full' shows at least
	queueGate    = 384    // queued requests at level 2 onset (draft, section 6.1)
	busyPress    = 0.85   // use of the processor at level 1 onset (design page)
	busyGate     = 0.95   // and at level 2 onset
	busyFall     = 0.1    // use by which each abates lower
	thinTarget   = 0.25   // wait aimed at when pressed, in level 2 onsets
	thinIntegral = 0.1    // per s; growth of the thinned part for each target of wait too much
	thinSlope    = 0.15   // growth of the thinned part for each target by which the wait rises
	thinFade     = 2e6    // us; time in which thinning fades while the wait is seen under half its target
	thinEase     = -0.5   // targets under the target of wait from which thinning also fades
	thinForget   = 15e6   // us; time in which it fades unseen
	reenterAll   = 15     // fronts with which half of the calls are thinned just out of the gate
	lineReserve  = 0.02   // part of a pool's agents kept for the dearer calls
	lifeSigns    = 3.0    // answers and ends due from a live server that must be missing to take it for dead
	unitSpan     = 90e6   // us; memory of the best own rate at a warm server
	lossSpan     = 30     // set-ups; memory of the part that is lost
	lossDoubt    = 0.03   // chance of losing so many set-ups together that is taken to be nil
	witnessMax   = 4      // most set-ups without an answer that are asked for
	roomFloor    = 1      // set-ups out that a front may have at any open server, whatever its rate
	startRoom    = 4      // and in the time after its start before its rates are believed
	roomShare    = 0.9    // wait at which the room is reached, in level 2 onsets
	rateSpan     = 8e6    // us; memory of the own rate to a server
	startSpan    = 2e6    // us; time after a front's start before its rates are believed
	coldTrust    = 0.85   // part of the rule's multiple sent to a cold server whose answers show no wait
	shareOver    = 3.5    // part of its own rate that a front may send a warm server with second choices
	shareFloor   = 2.0    // per s; set-ups that all fronts together may always send to a server
	plainSlot    = 1e6    // us; time for which a share is drawn where the rules name no window
	headPower    = 4      // power by which headroom falls with the wait
	mixSpan      = 10e6   // us; memory of the mix of worth
	busySpan     = 5e6    // us; memory of a number whose lines were busy
	busyWorth    = 0.2    // worth left to a call to a number that answers busy: few will stand
	busyMax      = 256    // numbers remembered as busy
	backShare    = 0.5    // least part of the longest advice given with a refusal, the rest drawn at random
	noteGap      = 2e6    // us; least time between two log lines on one server
)

// onset and abatement of levels 1 to 4 in level 2 onsets: the draft's example ladder (192, 384, 576 and
// 768 up, 64, 256, 448 and 640 down), scaled to its level 2.
var (
	onset     = [topLevel + 1]float64{0, 192.0 / 384, 1, 576.0 / 384, 768.0 / 384}
	abatement = [topLevel + 1]float64{0, 64.0 / 384, 256.0 / 384, 448.0 / 384, 640.0 / 384}
)

// server is what this front knows of one server.
type server struct {
	id          uint32
	cell        int
	state       State
	since       Micros
	level       int
	wait        float64    // us; estimate of the wait at the processor
	seen        Micros     // when the wait was last seen
	fallFor     Micros     // this front's own silent fall time
	thin        float64    // part of the calls, by worth, kept from it
	lastWait    float64    // us; wait at the last tick
	fadedAt     Micros     // when thinning last faded by a sight
	out         []*call    // calls with an unanswered set-up, oldest first
	spare       float64    // free agents, -1 if not known
	total       float64    // agents, 0 if not known: the only sign of a server's size
	told        [2]float64 // queue and use of its processor as last reported
	rate        float64    // own set-ups answered, a second
	rateAt      Micros
	lotEnd      Micros  // when the lot of this front's share ends
	lot         int     // set-ups left in it
	drawn       float64 // its share of all slots so far, from where its lots begin
	answered    Micros  // when the latest set-up answered here was sent: the line is first in, first out
	heard       Micros  // last sign of life
	noted       Micros
	inFlightMax int // InFlightLimit.Max of this server
}

// call is a call that this front still owes an answer.
type call struct {
	Call
	worth   float64
	tries   int
	at      *server // where an attempt is out, or nil
	sentAt  Micros
	aimAt   Micros
	holdTo  Micros // release guard: no set-up before this
	ran     bool   // an attempt may have run
	passed  []uint32
	waiting bool
	lost    bool // its attempt has been overtaken
	blind   bool // its front stood still while it was out: its delay is not known
	late    bool // it can no longer stand within its aim
	off     bool // its attempt has been called off
}

// Controller decides for one front.
type Controller struct {
	set      Settings
	rng      *rand.Rand
	now      Micros
	out      []Action
	gate     float64 // us; level 2 onset
	slot     Micros  // time for which a share is drawn: half the window of the cold rule
	servers  []*server
	calls    map[string]*call
	waiting  []*call // calls held for the release guard, in order of arrival
	base     float64 // us; lowest set-up delay seen
	loss     float64 // part of the set-ups that were lost
	unit     float64 // own answers a second for each line of a warm server, at best
	seenUnit float64 // the same since this start: what is recalled never counts for a cold server
	lastTick Micros
	born     Micros   // this front's start
	gap      Micros   // how long this front stood still before this moment
	noted    Micros   // last log line on this front itself
	tryFor   []Micros // the time that a class's callers give a first try
	ticking  bool
	mix      [64]float64 // recent arrivals by worth
	mixAll   float64
	mixAt    Micros
	busy     []busyNumber
	tenants  []float64 // recent arrivals by tenant
	free     Limits    // of a call that brings none
}

type busyNumber struct {
	key string
	at  Micros
}

// New makes the controller of one front. The same settings, seed and events give the same actions.
func New(set Settings, seed uint64) *Controller {
	c := &Controller{set: set, rng: rand.New(rand.NewPCG(seed, 0x5ab1e)), calls: map[string]*call{}}
	c.gate, c.slot = math.Inf(1), plainSlot
	if set.FallTime > 0 {
		c.slot = set.FallTime/2 + 1
	}
	if set.ResendGap > 0 {
		c.gate = gapShare * float64(set.ResendGap)
	}
	for _, k := range set.Classes {
		if k.Aim > 0 {
			c.gate = min(c.gate, aimShare*float64(k.Aim))
		}
	}
	if math.IsInf(c.gate, 1) {
		c.gate = plainGate
	}
	c.tenants = make([]float64, len(set.Tenants))
	c.tryFor = make([]Micros, len(set.Classes))
	c.free = Limits{Attempts: set.AttemptsCap, RetryOn: Anew}
	return c
}

// Handle takes one event at its time and gives the actions for it, in order. The slice is reused.
func (c *Controller) Handle(now Micros, event Event) []Action {
	gap := now - c.now
	c.now, c.out = now, c.out[:0]
	c.stood(gap)
	switch e := event.(type) {
	case Start:
		c.born = now
		if c.set.Ask {
			c.do(Action{Do: Watch})
		}
	case List:
		c.list(e)
	case Call:
		c.arrive(e)
	case Opened:
		c.opened(e)
	case Resolved:
		c.resolved(e)
	case Status:
		c.status(e)
	case Withdrawn:
		if k := c.calls[e.ID]; k != nil {
			c.forget(k)
		}
	case Timer:
		c.timer(e)
	case InFlightLimit:
		if s := c.find(e.Server); s != nil {
			s.inFlightMax = e.Max
		}
	case BusyNumber:
		c.markBusy(e.Key, e.At)
	case Recall:
		c.recall(e.Learned)
	}
	c.keepTicking()
	return c.out
}

// stood tells by the clock that this front stood still (Exception, own stall): a tick was due and nothing
// came. What aged meanwhile says nothing of servers, so their times move along; answers are in this batch.
func (c *Controller) stood(gap Micros) {
	if gap > 0 {
		c.gap = 0
	}
	if !c.ticking || gap <= 4*tick {
		return
	}
	c.gap = gap
	if c.now-c.noted >= noteGap {
		c.noted = c.now
		c.do(Action{Do: Note, Text: fmt.Sprintf("stood still for %d ms", gap/1000)})
	}
	for _, s := range c.servers {
		s.seen, s.heard, s.answered = s.seen+gap, s.heard+gap, s.answered+gap
		for _, k := range s.out {
			k.sentAt, k.blind = k.sentAt+gap, true
		}
	}
}

func (c *Controller) do(a Action) { c.out = append(c.out, a) }

// note writes a log line about a server, at most one in noteGap.
func (c *Controller) note(s *server, format string, args ...any) {
	if s.noted == 0 || c.now-s.noted >= noteGap {
		s.noted = c.now
		c.do(Action{Do: Note, Text: fmt.Sprintf("server %d ", s.id) + fmt.Sprintf(format, args...)})
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
		if c.set.Ask {
			c.do(Action{Do: Defer, At: c.now + silentFall, Key: "watch"})
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
		c.entry(e)
	}
	// A server long gone leaves nothing behind.
	gone := func(s *server) bool { return s.state == Gone && len(s.out) == 0 }
	c.servers = slices.DeleteFunc(c.servers, gone)
}

func (c *Controller) entry(e Entry) {
	s := c.find(e.Server)
	if s == nil {
		if e.State == Gone {
			return
		}
		s = c.fresh(&server{id: e.Server})
		c.servers = append(c.servers, s)
		slices.SortFunc(c.servers, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	} else if e.Since > s.since {
		c.fresh(s) // the same number, a new processor: what was known of the old one is void
	}
	if e.State == Draining && s.state == Ready {
		c.note(s, "drains: no new set-ups")
	}
	s.cell, s.state, s.since = e.Cell, e.State, e.Since
	if c.cold(s) && s.state == Ready {
		c.note(s, "is cold: set-ups are kept to a budget")
	}
}

func (c *Controller) fresh(s *server) *server {
	*s = server{id: s.id, out: s.out, spare: -1, seen: c.now, rateAt: c.now, noted: s.noted, total: s.total,
		inFlightMax: -1}
	s.lotEnd = c.now + Micros(c.rng.Float64()*float64(c.slot)) // not all fronts draw at once
	s.drawn = spread(s.id, c.set.Position)
	if c.set.Position < 0 { // not told: each for itself
		s.drawn = c.rng.Float64()
	}
	s.fallFor = Micros(silentFall * (1 + fallJitter*c.rng.Float64()))
	return s
}

// ---- Evidence of wait: one path to one level for each server ----

// see takes one sight of the wait at a server.
func (c *Controller) see(s *server, wait float64) {
	s.wait += newerPart * (wait - s.wait)
	c.seeAtLeast(s, s.wait)
}

// seeAtLeast takes a sight that bounds the wait from below.
func (c *Controller) seeAtLeast(s *server, wait float64) {
	s.wait = max(s.wait, wait)
	s.seen = c.now
	if over := c.press(s); over < 0 { // it fades by what is seen: silence is no sign of ease
		span := float64(min(c.now-s.fadedAt, 2*thinFade))
		s.thin += thinIntegral * span / 1e6 * over
		if over < thinEase {
			s.thin *= math.Exp(-span / thinFade)
		}
	}
	s.fadedAt = c.now
	c.settle(s)
}

// settle moves the level by the ladder: onsets up, abatements down.
func (c *Controller) settle(s *server) {
	was := s.level
	for s.level < topLevel && s.wait >= onset[s.level+1]*c.gate {
		s.level++
	}
	for s.level > 0 && s.wait < abatement[s.level]*c.gate {
		s.level--
	}
	if was < gateLevel && s.level >= gateLevel {
		c.note(s, "gated at level %d: wait %.0f ms", s.level, s.wait/1000)
	}
	if was >= gateLevel && s.level < gateLevel {
		// Exception, re-entry: all fronts leave the gate at about the same time, so each starts with a part
		// of its calls: one set-up each would be a full load where there are hundreds of fronts. Where there
		// are few, more kept back only prolongs a short gate, as one noisy report makes it.
		fronts := float64(max(1, c.set.Fronts))
		s.thin = max(s.thin, fronts/(fronts+reenterAll))
		s.fadedAt = c.now
		c.note(s, "open again at level %d", s.level)
	}
}

// delayed maps a set-up delay, or the age of a set-up not yet answered, to a wait.
func (c *Controller) delayed(took Micros) float64 {
	return max(0, float64(took)-c.base) / passes
}

// report reads the load report of a server. Values that are missing (-1) say nothing.
func (c *Controller) report(s *server, row []float64) (told bool) {
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
			c.see(s, v*1000)
			told = true
		case Queue:
			if !repeated {
				c.see(s, v/queueGate*c.gate)
			}
		case Busy:
			if !repeated {
				c.seeBusy(s, v)
			}
		}
	}
	return told
}

// repeated tells whether a report repeats the use of the processor and its queue. They are measured now
// and then, and each message meanwhile brings the last figures again: newer delays must not give way to them.
func (c *Controller) repeated(s *server, row []float64) bool {
	told := [2]float64{-1, -1}
	for i, v := range row[:min(len(row), len(c.set.Report))] {
		switch c.set.Report[i] {
		case Queue:
			told[0] = v
		case Busy:
			told[1] = v
		}
	}
	if told[0] < 0 && told[1] < 0 || told == s.told {
		return true
	}
	s.told = told
	return false
}

// seeBusy takes a reported use of the processor by the design page's ladder: onsets of levels 1 and 2, each
// abating a tenth lower.
func (c *Controller) seeBusy(s *server, v float64) {
	switch {
	case v >= busyGate:
		s.wait = max(s.wait, c.gate)
	case v >= busyPress:
		s.wait = max(s.wait, onset[1]*c.gate)
	case v >= busyPress-busyFall:
		s.wait = min(s.wait, abatement[gateLevel]*c.gate*0.99)
	default:
		s.wait = 0
	}
	c.seeAtLeast(s, 0)
}

// status takes the answer to a probe, or free agents told unasked.
func (c *Controller) status(e Status) {
	if s := c.find(e.Server); s != nil && e.Code == OK {
		c.report(s, e.Report)
	}
}

// look brings a server's state up to now: the age of its oldest unanswered set-up, the fall of silence,
// thinning.
func (c *Controller) look(s *server, span Micros) {
	silent := 0
	for _, k := range s.out {
		if c.overtaken(s, k.sentAt) {
			// Exception, lost set-ups: a later one has been answered, so this one or its answer is lost.
			// Its age says nothing of the wait, and it is called off while the call can still stand.
			if !k.lost {
				k.lost = true
				c.loss += (1 - c.loss) / lossSpan
			}
			c.callOff(k)
			continue
		}
		silent++
		if bound := c.delayed(c.now - k.sentAt); bound > s.wait && silent >= c.witnesses() {
			c.seeAtLeast(s, bound)
		}
		// Exception, dead servers (crash, hang, partition): no sign of life since it was sent though
		// several were due. It is called off when the server is gated, at the latest while the call can
		// still stand within its aim elsewhere.
		last := c.elsewhereAt(k) > k.aimAt
		due := 2 * c.rateOf(s) * float64(c.now-k.sentAt) / 1e6
		if s.heard < k.sentAt && (s.level >= gateLevel || last) && due >= lifeSigns {
			c.callOff(k)
		}
	}
	if c.now-s.seen >= s.fallFor {
		s.seen = c.now
		if s.level > 0 {
			s.wait = min(s.wait, abatement[s.level]*c.gate*0.99)
			c.settle(s)
		} else {
			s.wait /= 2
		}
		s.lastWait = min(s.lastWait, s.wait)
	}
	// Exception, thinning: below the gate a free sender overruns a server between reports. While the wait
	// stays over its target, a growing part of the calls, the least worth first, is kept from it. Steady
	// when nothing presses.
	target, wait := thinTarget*c.gate, min(s.wait, c.gate)
	s.thin += thinSlope * (wait - s.lastWait) / target
	if s.level < gateLevel { // nothing is learned of the right part while nothing is sent
		s.thin += thinIntegral * float64(span) / 1e6 * max(c.press(s), 0)
		s.thin -= s.thin * float64(span) / thinForget
	}
	s.thin = min(max(s.thin, 0), 1)
	s.lastWait = wait
}

// press is how far a server is over what thinning aims at, in targets of wait.
func (c *Controller) press(s *server) float64 {
	over := min(s.wait, c.gate)/(thinTarget*c.gate) - 1
	if s.total > 0 && s.spare >= 0 && s.spare <= lineReserve*s.total {
		over = max(over, 1) // nearly all agents taken: the last ones are for the dearer calls
	}
	return over
}

// witnesses is how many set-ups must be unanswered together for chance loss, as learned, not to explain it.
func (c *Controller) witnesses() int {
	n, p := 1, c.loss
	for p > lossDoubt && n < witnessMax {
		n++
		p *= c.loss
	}
	return n
}

// overtaken tells whether a set-up sent later than at has been answered.
func (c *Controller) overtaken(s *server, at Micros) bool { return s.answered > at+orderSlack }

// ahead counts the set-ups that still wait at a server: those overtaken are lost, and take no room.
func (c *Controller) ahead(s *server) int {
	n := 0
	for _, k := range s.out {
		if !c.overtaken(s, k.sentAt) && !(k.blind && c.gap > 0) {
			n++
		}
	}
	return n
}

// elsewhereAt is when a call whose attempt is called off now can stand at another server.
func (c *Controller) elsewhereAt(k *call) Micros {
	return c.now + max(c.set.ReleaseGuard, k.Limits.Wait+k.Limits.Jitter) + Micros(c.base) + 3*tick
}

// callOff cancels a call's attempt where another one can still stand.
func (c *Controller) callOff(k *call) {
	if !c.set.Cancel || k.off || c.class(k).Repeat != ReadLike || !c.more(k, Cancelled) ||
		c.elsewhereAt(k) > k.DropDead {
		return
	}
	for _, s := range c.servers {
		if s != k.at && c.open(s, k, 1) || s == k.at && s.level < gateLevel {
			k.off = true
			c.do(Action{Do: Cancel, ID: k.ID, Attempt: k.tries - 1})
			return
		}
	}
}

// roomOf bounds the set-ups out to a server (Exception: a free sender overruns it before an answer tells
// so) to what this front's own rate of answers brings in the time of a set-up at the gate's wait.
func (c *Controller) roomOf(s *server) int {
	floor := roomFloor
	if c.young() {
		floor = startRoom
	}
	room := max(floor, int(math.Ceil(c.warmRate(s)*(passes*roomShare*c.gate+float64(c.gap))/1e6)))
	return room + c.witnesses() - 1 // lost set-ups take room until they are known to be lost
}

// young tells that this front has just started: its rates are not believed yet, and the others are at theirs.
func (c *Controller) young() bool { return c.now-c.born < startSpan }

// warmRate is what this front would have answered by a server if warm: its best from all warm ones, by size.
func (c *Controller) warmRate(s *server) float64 { return c.unit * max(1, s.total) }

// ---- Shares of servers ----

func (c *Controller) cold(s *server) bool {
	return s.since > 0 && c.now-s.since < c.set.WarmWithin
}

// mayTake tells whether one more set-up keeps to this front's share of a server (Exception). It is the own
// rate to a warm server, cut to what a cold one does: over all fronts that is about what it can do. It
// comes as lots, one slot at a time, by systematic sampling: fronts with little traffic send one now and
// then and not one each, and since the lots of each begin at another place, their sum is steady.
func (c *Controller) mayTake(s *server) bool {
	if c.now < s.lotEnd {
		return s.lot > 0
	}
	slots := (c.now - s.lotEnd + c.slot) / c.slot
	s.lotEnd += slots * c.slot
	part := shareOver
	if c.cold(s) {
		warmed := float64(c.now-s.since) / float64(c.set.WarmWithin)
		part = c.set.StartCapacity + (1-c.set.StartCapacity)*warmed // its course is not told: evenly
		if s.answered > 0 && s.wait < thinTarget*c.gate {
			part *= max(1, coldTrust*c.set.FallMultiple) // quick answers: the rule's multiple
		}
	}
	floor, rate := shareFloor/float64(max(1, c.set.Fronts)), c.warmRate(s)
	if c.cold(s) {
		rate = c.seenUnit * max(1, s.total)
	}
	x := max(floor, part*rate) * float64(c.slot) / 1e6
	before := math.Floor(s.drawn + float64(slots-1)*x) // what came due without a call is not saved up
	s.drawn += float64(slots) * x
	s.lot = int(math.Floor(s.drawn) - before)
	return s.lot > 0
}

func (c *Controller) rateOf(s *server) float64 {
	return s.rate * math.Exp(-float64(c.now-s.rateAt)/rateSpan)
}

// ---- The life of a call ----

func (c *Controller) arrive(e Call) {
	if c.calls[e.ID] != nil {
		return
	}
	k := &call{Call: e, aimAt: e.DropDead}
	if k.Limits == nil {
		k.Limits = &c.free
	}
	if aim := c.class(k).Aim; aim > 0 {
		k.aimAt = min(k.aimAt, c.now+aim)
	}
	k.worth = c.worthOf(k)
	if e.Class >= 0 && e.Class < len(c.tryFor) && !e.Repeat {
		if c.gap == 0 {
			c.tryFor[e.Class] = e.DropDead - c.now
		} else {
			// It may have come while this front stood still: its caller has waited since.
			k.aimAt -= min(max(c.tryFor[e.Class]-(e.DropDead-c.now), 0), c.gap)
			c.lateFrom(k, c.now)
		}
	}
	c.calls[e.ID] = k
	c.count(k)
	if e.Excess {
		c.refuse(k)
		return
	}
	c.place(k)
}

// place sends a call where the route says, or refuses it.
func (c *Controller) place(k *call) {
	s := c.route(k)
	if s == nil {
		c.refuse(k)
		return
	}
	if k.Quota != nil && k.tries == 0 {
		if ok, wait := k.Quota.Take(c.now); !ok {
			c.turnAway(k, wait)
			return
		}
	}
	k.at, k.sentAt, k.off, k.lost, k.blind = s, c.now, false, false, false
	k.tries++
	if b := k.Limits.Budget; b != nil && k.tries == 1 {
		b.First(c.now, k.Class)
	}
	s.out = append(s.out, k)
	s.lot--
	c.do(Action{Do: Send, ID: k.ID, Server: s.id, Wait: k.Limits.AttemptTimeout})
}

// lift takes a call's attempt off its server.
func (c *Controller) lift(k *call) {
	if k.at != nil {
		k.at.out = slices.DeleteFunc(k.at.out, func(o *call) bool { return o == k })
		k.at = nil
	}
}

func (c *Controller) forget(k *call) {
	c.lift(k)
	if k.waiting {
		c.waiting = slices.DeleteFunc(c.waiting, func(o *call) bool { return o == k })
	}
	delete(c.calls, k.ID)
}

func (c *Controller) opened(e Opened) {
	k := c.calls[e.ID]
	if s := c.find(e.Server); s != nil {
		if c.base == 0 || float64(e.Took) < c.base {
			c.base = float64(e.Took)
		}
		c.loss -= c.loss / lossSpan
		s.heard = c.now
		s.rate, s.rateAt = c.rateOf(s)+1e6/rateSpan, c.now
		if k != nil && k.at == s && k.blind {
			s.answered = max(s.answered, k.sentAt)
		} else {
			s.answered = max(s.answered, c.now-e.Took)
			c.see(s, c.delayed(e.Took))
		}
	}
	if k != nil {
		c.forget(k) // it stands; its end brings only a report
	}
}

func (c *Controller) resolved(e Resolved) {
	k := c.calls[e.ID]
	if k != nil && (k.at == nil || k.tries-1 != e.Attempt) {
		k = nil // an attempt that this front has no longer out
	}
	if k != nil {
		c.lift(k)
	}
	s := c.find(e.Server)
	if s != nil {
		c.ended(s, k, e)
	}
	if k == nil {
		return
	}
	if e.Settled {
		c.forget(k)
		return
	}
	if !k.lost { // chance lost it, not the server
		k.passed = append(k.passed, e.Server)
	}
	switch e.Code {
	case Full, Unreachable, NotSent:
		c.again(k, e.Code, c.now)
	case TimedOut, Cut, Cancelled:
		k.ran = true
		c.again(k, e.Code, c.now+c.set.ReleaseGuard)
	default:
		k.ran = true
		if e.Reason == LinesBusy {
			c.markBusy(k.Key, c.now)
			c.refuse(k)
			return
		}
		c.again(k, e.Code, c.now)
	}
}

// ended takes what the end of an attempt says about its server.
func (c *Controller) ended(s *server, k *call, e Resolved) {
	if c.report(s, e.Report) {
		// A server that tells of a short wait has answered what came long before, or that is lost.
		s.answered = max(s.answered, c.now-Micros(c.base+passes*s.wait)-reportSlack)
	}
	if e.Code == OK || e.Code == Full || e.Code == Failed {
		s.heard = c.now
	}
	switch {
	case e.Code == Full && e.Reason != NoAgent:
		c.seeAtLeast(s, max(fullFloor*c.gate, float64(e.ToldWait)))
	case e.Code == Unreachable:
		c.seeAtLeast(s, onset[topLevel]*c.gate)
	case e.Code == TimedOut && k != nil && !c.overtaken(s, k.sentAt):
		c.seeAtLeast(s, c.delayed(e.Took))
	}
}

// again holds a call for one more attempt, if its limits and the rules allow that and it can stand in time;
// else it is refused. The budget is asked last: what is refused anyway takes nothing from it.
func (c *Controller) again(k *call, code Code, from Micros) {
	l := k.Limits
	from = max(from, c.now+l.Wait)
	if l.Jitter > 0 {
		from = max(from, c.now+l.Wait+Micros(c.rng.Int64N(int64(l.Jitter)+1)))
	}
	if !c.more(k, code) || k.ran && c.class(k).Repeat != ReadLike ||
		from+Micros(c.base)+2*tick >= k.DropDead || l.Budget != nil && !l.Budget.Take(c.now, k.Class) {
		c.refuse(k)
		return
	}
	c.lateFrom(k, from)
	if from <= c.now {
		c.place(k)
		return
	}
	k.holdTo, k.waiting = from, true
	c.waiting = append(c.waiting, k)
}

// more tells whether a call's limits leave it an attempt after one that ends so.
func (c *Controller) more(k *call, code Code) bool {
	return k.tries < max(1, min(k.Limits.Attempts, c.set.AttemptsCap)) && k.Limits.RetryOn.Has(code)
}

// lateFrom marks down a call that can't stand within its aim when sent at a time.
func (c *Controller) lateFrom(k *call, from Micros) {
	if from+Micros(c.base) > k.aimAt && !k.late {
		k.late = true
		k.worth *= c.class(k).LateWorth
	}
}

// class gives a call's class; one that the settings don't name is worth nothing and is never sent twice.
func (c *Controller) class(k *call) Class {
	if k.Class >= 0 && k.Class < len(c.set.Classes) {
		return c.set.Classes[k.Class]
	}
	return Class{Repeat: Once}
}

func (c *Controller) timer(e Timer) {
	switch e.Key {
	case "watch":
		c.do(Action{Do: Watch})
	case "tick":
		c.ticking = false
		c.sweep()
	}
}

func (c *Controller) sweep() {
	span := c.now - c.lastTick
	c.lastTick = c.now
	c.unit -= c.unit * float64(min(span, 4*tick)) / unitSpan
	c.seenUnit -= c.seenUnit * float64(min(span, 4*tick)) / unitSpan
	c.base *= 1 + baseCreep*float64(span)/1e6
	rate, size, least, heard := 0.0, 0.0, math.Inf(1), 0
	for _, s := range c.servers {
		c.look(s, min(span, 4*tick))
		if c.now-s.fadedAt < commonSpan {
			least = min(least, s.wait)
			heard++
		}
		if s.state != Gone && !c.cold(s) {
			rate += c.rateOf(s)
			size += max(1, s.total)
		}
	}
	// One server's rate is noise where a front sends it a set-up in some seconds: all together are not.
	// The best of few samples is luck: by one deviation less it is about the mean.
	fair := 1 - math.Exp(-max(float64(c.now-c.born), startSpan)/rateSpan)
	unit := rate / fair * (1 - 1/math.Sqrt(1+rate*rateSpan/1e6)) / max(1, size)
	c.unit, c.seenUnit = max(c.unit, unit), max(c.seenUnit, unit)
	for _, s := range c.servers { // Exception, common slowdown: all heard of lately wait
		if heard >= commonLeast && commonTimes*heard >= len(c.servers) && s.wait < least && !c.cold(s) {
			s.wait = least
			c.settle(s)
		}
	}
	held := c.waiting
	c.waiting = nil
	for _, k := range held {
		if c.now < k.holdTo {
			c.waiting = append(c.waiting, k)
			continue
		}
		k.waiting = false
		c.place(k)
	}
}

// keepTicking asks for the next tick while anything can change with time alone.
func (c *Controller) keepTicking() {
	need := len(c.calls) > 0
	for _, s := range c.servers {
		need = need || s.level > 0 || s.thin > 0
	}
	if need && !c.ticking {
		c.ticking = true
		if c.now-c.lastTick > 4*tick {
			c.lastTick = c.now
		}
		c.do(Action{Do: Defer, At: c.now + tick, Key: "tick"})
	}
}

// ---- Worth ----

// worthOf tells what a call is still good for.
func (c *Controller) worthOf(k *call) float64 {
	class := c.class(k)
	w := class.Worth
	if k.Repeat && !k.WasCut { // a call that was cut must stand again within its aim
		w *= class.LateWorth
	}
	if c.isBusy(k.Key) {
		w *= busyWorth
	}
	if k.Tenant >= 0 && k.Tenant < len(c.tenants) {
		w *= c.tenantPart(k.Tenant)
	}
	return w
}

// tenantPart is the mean worth of a tenant's calls: full within its share of the mix, little beyond it.
func (c *Controller) tenantPart(t int) float64 {
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

// slot maps worth to its place in the mix: steps of a fifth octave.
func slot(worth float64) int {
	return min(max(int(40+5*math.Log2(max(worth, 1e-3))), 0), 63)
}

// count takes a new call into the mixes of worth and of tenants.
func (c *Controller) count(k *call) {
	fade := math.Exp(-float64(c.now-c.mixAt) / mixSpan)
	c.mixAt, c.mixAll = c.now, c.mixAll*fade+1
	for i := range c.mix {
		c.mix[i] *= fade
	}
	for i := range c.tenants {
		c.tenants[i] *= fade
	}
	c.mix[slot(k.worth)]++
	if k.Tenant >= 0 && k.Tenant < len(c.tenants) {
		c.tenants[k.Tenant]++
	}
}

// rank is the part of recent calls that are worth less than this one; equals are drawn at random.
func (c *Controller) rank(k *call) float64 {
	below, at := 0.0, slot(k.worth)
	for i := range at {
		below += c.mix[i]
	}
	return (below + c.rng.Float64()*c.mix[at]) / max(c.mixAll, 1)
}

func (c *Controller) markBusy(key string, at Micros) {
	if key == "" {
		return
	}
	c.busy = slices.DeleteFunc(c.busy, func(b busyNumber) bool {
		if b.key == key {
			at = max(at, b.at)
		}
		return b.key == key || c.now-b.at > busySpan
	})
	if len(c.busy) >= busyMax {
		c.busy = c.busy[1:]
	}
	c.busy = append(c.busy, busyNumber{key, at})
}

func (c *Controller) isBusy(key string) bool {
	return slices.ContainsFunc(c.busy, func(b busyNumber) bool {
		return b.key == key && c.now-b.at <= busySpan
	})
}

// ---- Route ----

// route gives the first choice while it is at level 0, else another at level 0, else one at level 1; nil
// if all are gated or must be spared.
func (c *Controller) route(k *call) *server {
	rank := c.rank(k)
	var best *server
	turn := math.Inf(1)
	for _, s := range c.servers {
		if !c.open(s, k, rank) {
			continue
		}
		// Others than the first choice are drawn by what they have left: by the shortest wait, fronts that
		// hear little would all send to the smallest servers, of which nothing is heard.
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

// headroom is what a server has left for calls that others can't take: free lines, less as it is pressed.
func (c *Controller) headroom(s *server) float64 {
	lines := max(1, s.total)
	if s.total > 0 && s.spare >= 0 {
		lines = s.spare + lineReserve*s.total
	}
	return lines * (1 - s.thin) * math.Pow(1+lineReserve-min(1, s.wait/c.gate), headPower)
}

// open tells whether a server can take this call now.
func (c *Controller) open(s *server, k *call, rank float64) bool {
	switch {
	case s.state != Ready, s.level >= gateLevel, slices.Contains(k.passed, s.id), s.cell == c.set.Here:
		return false
	case k.Transit && s.cell != k.FirstChoice:
		return false
	case c.class(k).Pools != nil && !slices.Contains(c.class(k).Pools, s.cell):
		return false
	case s.inFlightMax >= 0 && len(s.out) >= s.inFlightMax:
		return false
	case c.ahead(s) >= c.roomOf(s):
		return false
	case (c.cold(s) || s.cell != k.FirstChoice && c.unit > 0 && !c.young()) && !c.mayTake(s):
		return false
	}
	return rank >= s.thin
}

// ---- Refusal ----

// refuse gives a call its final answer.
func (c *Controller) refuse(k *call) {
	c.forget(k)
	if k.ran && c.class(k).Repeat != ReadLike {
		c.do(Action{Do: Fail, ID: k.ID})
		return
	}
	c.turnAway(k, Micros(float64(c.set.MaxRetryAfter)*(backShare+(1-backShare)*c.rng.Float64())))
}

// turnAway refuses a call that nothing has worked on, with advice when to come back.
func (c *Controller) turnAway(k *call, wait Micros) {
	c.forget(k)
	a := Action{Do: Refuse, ID: k.ID}
	if c.set.RetryAfter {
		a.Wait = min(wait, c.set.MaxRetryAfter)
	}
	c.do(a)
}
