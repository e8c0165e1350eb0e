package session

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"beammux/control"
	"beammux/control/admission"
	"beammux/control/scope"
)

// The tests in this file simulate all gatekeepers of a deployment and its control machines in virtual time.

const (
	fleetClients     = 2200
	fleetReplicas    = 13
	heartbeatEvery   = control.Micros(1e6)
	loadWindow       = control.Micros(100e3) // width of the windows in which new sessions are counted
	windowsPerSecond = 10
)

// fleet is a simulated deployment in virtual time.
type fleet struct {
	now       control.Micros
	events    eventHeap
	lastOrder uint64
	random    *rand.Rand
	replicas  []*fleetReplica
	byName    map[string]*fleetReplica
	clients   []*fleetClient
	timing    Timing
	opened    map[string]map[control.Micros]int // new sessions by replica and window
}

// health is the health of a control machine.
type health int

const (
	up          health = iota
	resetting          // the process has ended: connections are reset
	unreachable        // the machine is off: nothing is answered
)

type fleetReplica struct {
	Replica
	health      health
	sessions    map[fleetSession]bool
	peakLoad    int
	maxSessions int              // maximum number of open sessions; 0: no limit
	limits      admission.Limits // limits of its admission; zero: every client is admitted
	admitter    *admission.Controller
}

type fleetSession struct {
	client *fleetClient
	id     uint64
}

type fleetClient struct {
	machine       *Machine
	open          map[uint64]*fleetReplica
	tickScheduled bool
	tickAt        control.Micros
	name          string
}

type timedEvent struct {
	at    control.Micros
	order uint64
	do    func()
}

type eventHeap []timedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(timedEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (f *fleet) after(d control.Micros, do func()) {
	f.lastOrder++
	heap.Push(&f.events, timedEvent{f.now + d, f.lastOrder, do})
}

// runFor advances virtual time.
func (f *fleet) runFor(d control.Micros) {
	end := f.now + d
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(timedEvent)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// runUntil advances virtual time until a condition holds and returns the time that took. The test fails if it takes as
// long as within.
func (f *fleet) runUntil(t *testing.T, within control.Micros, description string, condition func() bool) control.Micros {
	t.Helper()
	start := f.now
	for !condition() {
		require.Less(t, f.now-start, within, description)
		f.runFor(50e3)
	}
	return f.now - start
}

// latency draws the latency of a round trip within a data centre or between regions.
func (f *fleet) latency() control.Micros { return control.Micros(1e3 + f.random.Float64()*49e3) }

// newFleet distributes 13 control machines (three in the first zone, two in each other zone) and the gatekeepers evenly
// over 6 zones in 3 regions. Gatekeepers start at random times within startWithin.
func newFleet(seed uint64, startWithin control.Micros) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*fleetReplica{}, opened: map[string]map[control.Micros]int{},
		timing: Timing{}.WithDefaults(),
	}
	place := func(i int) (zone, region string) { return fmt.Sprint("zone-", i%6), fmt.Sprint("region-", i%6/2) }
	var list []Replica
	for i := range fleetReplicas {
		zone, region := place(i)
		r := &fleetReplica{Replica: Replica{Name: fmt.Sprintf("control-%d-%d", seed, i), Zone: zone, Region: region}, sessions: map[fleetSession]bool{}}
		f.replicas = append(f.replicas, r)
		f.byName[r.Name] = r
		f.opened[r.Name] = map[control.Micros]int{}
		list = append(list, r.Replica)
	}
	for i := range fleetClients {
		zone, region := place(i)
		c := &fleetClient{name: fmt.Sprintf("gatekeeper-%04d", i), open: map[uint64]*fleetReplica{}}
		f.clients = append(f.clients, c)
		f.after(control.Micros(f.random.Float64()*float64(startWithin)), func() {
			c.machine = New(f.now, Options{Self: scope.Target{Name: c.name, Zone: zone, Region: region}, Replicas: list, Random: f.random.Float64})
			f.execute(c, nil)
		})
	}
	for _, r := range f.replicas {
		f.after(control.Micros(f.random.Float64()*float64(heartbeatEvery)), func() { f.heartbeats(r) })
	}
	return f
}

// execute executes the actions of a client and schedules its next tick.
func (f *fleet) execute(c *fleetClient, actions []Action) {
	for _, a := range actions {
		switch a.Type {
		case Connect:
			r := f.byName[a.Replica.Name]
			c.open[a.Session] = r
			f.after(f.latency(), func() { f.arrive(c, r, a) })
		case Close:
			delete(c.open[a.Session].sessions, fleetSession{c, a.Session})
			delete(c.open, a.Session)
		}
	}
	f.scheduleTick(c)
}

// scheduleTick schedules the next tick of a client's machine. If a tick is already scheduled for an earlier time, that
// tick reschedules.
func (f *fleet) scheduleTick(c *fleetClient) {
	at, _ := c.machine.NextTick()
	if c.tickScheduled && c.tickAt <= at {
		return
	}
	c.tickScheduled, c.tickAt = true, at
	f.after(max(0, at-f.now), func() {
		if !c.tickScheduled || c.tickAt != at {
			return // replaced by an earlier tick
		}
		c.tickScheduled = false
		if due, _ := c.machine.NextTick(); due > f.now {
			f.scheduleTick(c)
			return
		}
		f.execute(c, c.machine.Tick(f.now))
	})
}

// arrive processes an attempt that reaches a replica.
func (f *fleet) arrive(c *fleetClient, r *fleetReplica, a Action) {
	if c.open[a.Session] == nil || r.health == unreachable {
		return
	}
	if r.health == resetting {
		f.end(c, a.Session, End{Reason: Lost})
		return
	}
	if r.maxSessions > 0 && len(r.sessions) >= r.maxSessions {
		f.end(c, a.Session, End{Reason: Full})
		return
	}
	if d := r.admit(f.now, c.name, a.StartRevision == 0); !d.Admitted {
		f.end(c, a.Session, End{RetryLater, d.RetryAfter})
		return
	}
	r.sessions[fleetSession{c, a.Session}] = true
	r.peakLoad = max(r.peakLoad, len(r.sessions))
	f.opened[r.Name][f.now/loadWindow]++
	kind := Heartbeat
	if a.StartRevision == 0 {
		kind = Snapshot
	}
	f.execute(c, c.machine.HandleEvent(f.now, a.Session, Event{Kind: kind, Revision: 1}))
}

// limitAdmission limits the rate and the burst at which a replica admits sessions and sends snapshots.
func (r *fleetReplica) limitAdmission(rate float64, burst int) {
	r.limits = admission.Limits{SessionsPerSecond: rate, SessionsBurst: burst, SnapshotsPerSecond: rate, SnapshotsBurst: burst}
	r.admitter = admission.New(r.limits)
}

// admit calls the replica's admission controller.
func (r *fleetReplica) admit(now control.Micros, client string, snapshot bool) admission.Decision {
	if r.admitter == nil {
		return admission.Decision{Admitted: true}
	}
	return r.admitter.Admit(now, admission.Request{Client: client, NeedsSnapshot: snapshot})
}

func (f *fleet) end(c *fleetClient, session uint64, e End) {
	if r := c.open[session]; r != nil {
		delete(c.open, session)
		f.execute(c, c.machine.HandleEnd(f.now, session, e))
	}
}

func (f *fleet) heartbeats(r *fleetReplica) {
	if r.health == up {
		for _, s := range r.list() {
			if r.sessions[s] {
				f.execute(s.client, s.client.machine.HandleEvent(f.now, s.id, Event{Kind: Heartbeat, Revision: 1}))
			}
		}
	}
	f.after(heartbeatEvery, func() { f.heartbeats(r) })
}

// list returns the sessions in an order that does not depend on map iteration.
func (r *fleetReplica) list() []fleetSession {
	return slices.SortedFunc(maps.Keys(r.sessions), func(a, b fleetSession) int {
		return cmp.Or(strings.Compare(a.client.name, b.client.name), cmp.Compare(a.id, b.id))
	})
}

// fail stops some control machines at the same time and returns the number of sessions they had.
func (f *fleet) fail(how health, replicas ...*fleetReplica) (sessions int) {
	for _, r := range replicas {
		r.health = how
		sessions += len(r.sessions)
		for _, s := range r.list() {
			if how == resetting {
				f.after(f.latency(), func() { f.end(s.client, s.id, End{Reason: Lost}) })
			}
		}
		r.sessions = map[fleetSession]bool{}
	}
	f.resetPeaks()
	return sessions
}

// resetPeaks restarts the recording of the highest loads and of new sessions.
func (f *fleet) resetPeaks() {
	for _, r := range f.replicas {
		r.peakLoad = len(r.sessions)
		f.opened[r.Name] = map[control.Micros]int{}
	}
}

func (f *fleet) recover(replicas ...*fleetReplica) {
	for _, r := range replicas {
		r.health = up
		if r.admitter != nil {
			r.admitter = admission.New(r.limits) // a new process
		}
	}
	f.resetPeaks()
}

// replicasIn returns the control machines of a zone or region.
func (f *fleet) replicasIn(place string) (list []*fleetReplica) {
	for _, r := range f.replicas {
		if r.Zone == place || r.Region == place {
			list = append(list, r)
		}
	}
	return list
}

// allConnected reports whether all gatekeepers have a session with a machine that is up.
func (f *fleet) allConnected() bool {
	for _, c := range f.clients {
		if c.machine == nil {
			return false
		}
		r, ok := c.machine.Current()
		if !ok || f.byName[r.Name].health != up {
			return false
		}
	}
	return true
}

// allAtPreferred reports whether all gatekeepers have their session with the machine that they prefer.
func (f *fleet) allAtPreferred() bool {
	for _, c := range f.clients {
		if c.machine.current == nil || c.machine.current.rank > 0 || c.machine.attempt != nil {
			return false
		}
	}
	return true
}

// peakLoad returns the highest load of any machine since the last resetPeaks.
func (f *fleet) peakLoad() (highest int) {
	for _, r := range f.replicas {
		highest = max(highest, r.peakLoad)
	}
	return highest
}

// peakNewSessions returns the highest number of new sessions of any machine within one second, and within one window.
func (f *fleet) peakNewSessions() (second, window int) {
	for _, windows := range f.opened {
		for at, n := range windows {
			sum := 0
			for i := range control.Micros(windowsPerSecond) {
				sum += windows[at+i]
			}
			second, window = max(second, sum), max(window, n)
		}
	}
	return second, window
}

// binomialBound returns an upper bound on how many of n clients choose the same place if each does so with the given
// probability: five standard deviations above the mean.
func binomialBound(n int, probability float64) int {
	mean := float64(n) * probability
	return int(math.Ceil(mean + 5*math.Sqrt(mean*(1-probability))))
}

const zoneClients = (fleetClients + 5) / 6

// fleetSeeds returns the number of seeds that a test runs with.
func fleetSeeds() uint64 {
	if testing.Short() {
		return 1
	}
	return 3
}

// Session limit of twice a machine's share: the machine that remains in a zone takes no more than that. The other
// gatekeepers move to the other zone of the region at once, none is left without a session, and all return once the lost
// machine is back.
func TestFleetWithFullMachines(t *testing.T) {
	const maxSessions = 2 * fleetClients / fleetReplicas
	timing := Timing{}.WithDefaults()
	const slack = control.Micros(300e3)
	for seed := range fleetSeeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(seed, 10e6)
			for _, r := range f.replicas {
				r.maxSessions = maxSessions
			}
			f.runFor(10e6)
			f.runUntil(t, 5e6, "started", f.allAtPreferred)
			f.runFor(timing.StableAfter + 10e6)

			lost, left := f.replicasIn("zone-1")[0], f.replicasIn("zone-1")[1]
			f.fail(resetting, lost)
			elapsed := f.runUntil(t, 2*timing.BackoffBase+slack, "all have a session again", f.allConnected)
			require.Equal(t, maxSessions, left.peakLoad, "all %d gatekeepers of its zone prefer it", zoneClients)
			require.LessOrEqual(t, f.peakLoad(), maxSessions)
			f.runFor(2 * timing.ReturnInterval)
			require.True(t, f.allConnected())
			require.LessOrEqual(t, f.peakLoad(), maxSessions, "retries at the full machine of the zone are refused")

			f.recover(lost)
			returnElapsed := f.runUntil(t, timing.ReturnInterval+slack, "all are at their preferred machine", f.allAtPreferred)
			require.LessOrEqual(t, f.peakLoad(), maxSessions)
			t.Logf("all have a session again in %.2f s, and have returned in %.2f s", float64(elapsed)/1e6, float64(returnElapsed)/1e6)
		})
	}
}

// Failures of control machines with all 2,200 gatekeepers: checks the highest load of the other machines, the time until
// all gatekeepers have a session again, and the rate of new sessions at a machine; then the same for the return of the
// failed machines.
func TestFleetFailures(t *testing.T) {
	timing := Timing{}.WithDefaults()
	const slack = control.Micros(300e3) // round trips, and the interval at which conditions are checked
	for _, failure := range []struct {
		name            string
		lost            func(*fleet) []*fleetReplica
		peakLoad        int // highest load of a remaining machine
		attempts        int // most attempts that a gatekeeper needs if its machine is killed: at the other lost machines, and one more
		unreachable     int // most of these without an answer if machines are unreachable, see maxUnansweredInRow
		peakNewSessions int // most new sessions per second at a machine
	}{
		{"one of two in a zone", func(f *fleet) []*fleetReplica { return f.replicasIn("zone-1")[:1] }, zoneClients, 1, 0, binomialBound(zoneClients, 0.5)},
		{"one of three in a zone", func(f *fleet) []*fleetReplica { return f.replicasIn("zone-0")[:1] }, binomialBound(zoneClients, 0.5), 1, 0, binomialBound(zoneClients, 1./6)},
		{"two of three in a zone", func(f *fleet) []*fleetReplica { return f.replicasIn("zone-0")[:2] }, zoneClients, 2, 1, binomialBound(zoneClients, 2./3)},
		{"a zone", func(f *fleet) []*fleetReplica { return f.replicasIn("zone-1") }, binomialBound(zoneClients, 1./3) * 2, 2, 1, binomialBound(zoneClients, 1./3)},
		// Each machine of the other regions takes a ninth in addition to its own load: half of a zone, or half of the third machine's zone.
		{"a region", func(f *fleet) []*fleetReplica { return f.replicasIn("region-0") }, binomialBound(zoneClients, 0.5) + binomialBound(2*zoneClients, 1./8), 5, 2, binomialBound(2*zoneClients, 1./8)},
	} {
		for _, how := range []health{resetting, unreachable} {
			for seed := range fleetSeeds() {
				t.Run(fmt.Sprint(failure.name, "/", map[health]string{resetting: "killed", unreachable: "silent"}[how], "/", seed), func(t *testing.T) {
					t.Parallel()
					f := newFleet(seed, 10e6)
					f.runFor(10e6)
					f.runUntil(t, 5e6, "started", f.allAtPreferred)
					f.runFor(timing.StableAfter + 10e6)
					require.Equal(t, fleetClients, f.sessions())

					lost := failure.lost(f)
					moved := f.fail(how, lost...)
					within := control.Micros(failure.attempts)*timing.BackoffBase + slack
					if how == unreachable {
						unanswered := control.Micros(failure.unreachable)
						within = timing.HeartbeatTimeout + unanswered*timing.ConnectTimeout + (unanswered+1)*timing.BackoffBase + slack
					}
					elapsed := f.runUntil(t, within, "all have a session again", f.allConnected)
					second, window := f.peakNewSessions()
					t.Logf("%d moved in %.2f s; highest load %d, most new sessions at a machine %d in 1 s, %d in 0.1 s", moved, float64(elapsed)/1e6, f.peakLoad(), second, window)
					require.LessOrEqual(t, f.peakLoad(), failure.peakLoad, "load")
					require.LessOrEqual(t, second, failure.peakNewSessions, "new sessions in a second")
					if how == resetting { // distributed uniformly over BackoffBase
						require.LessOrEqual(t, window, binomialBound(failure.peakNewSessions, float64(loadWindow)/float64(timing.BackoffBase)), "new sessions in a window")
					}

					f.runFor(timing.ReturnInterval + timing.ReturnInterval/2)
					require.Equal(t, fleetClients, f.sessions())
					f.recover(lost...)
					// Each gatekeeper tries all machines that it prefers within ReturnInterval, after a round that may be in progress.
					within = timing.ReturnInterval + slack
					if how == unreachable {
						within += control.Micros(failure.attempts) * timing.ConnectTimeout
					}
					elapsed = f.runUntil(t, within, "all are at their preferred machine", f.allAtPreferred)
					second, window = f.peakNewSessions()
					t.Logf("returned in %.2f s; most new sessions at a machine %d in 1 s, %d in 0.1 s", float64(elapsed)/1e6, second, window)
					// The returns are spread at least over the second half of ReturnInterval. If machines do not answer, an attempt takes
					// ConnectTimeout, and gatekeepers with an attempt in progress move to the next machine within that time.
					spread := float64(timing.ReturnInterval) / 2e6
					maxNewSessions := binomialBound(zoneClients, 1/spread)
					if how == unreachable {
						looking := float64(failure.attempts) * float64(timing.ConnectTimeout) / (0.75 * float64(timing.ReturnInterval))
						maxNewSessions += binomialBound(moved, looking/(float64(timing.ConnectTimeout)/1e6)/float64(len(lost)))
					}
					require.LessOrEqual(t, second, maxNewSessions, "new sessions in a second during the return")
					require.Equal(t, fleetClients, f.sessions())
				})
			}
		}
	}
}

// sessions returns the total number of sessions.
func (f *fleet) sessions() (n int) {
	for _, r := range f.replicas {
		n += len(r.sessions)
	}
	return n
}

// All gatekeepers start at the same time, with machines that admit 50 sessions per second: all have a session within the
// time that this rate requires.
func TestFleetStartsAtOnce(t *testing.T) {
	for seed := range fleetSeeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(seed, 1)
			const rate, burst = 50, 50
			for _, r := range f.replicas {
				r.limitAdmission(rate, burst)
			}
			maxClients := binomialBound(zoneClients, 0.5)
			needed := control.Micros(float64(maxClients-burst) / rate * 1e6)
			elapsed := f.runUntil(t, needed+Timing{}.WithDefaults().BackoffBase+2e6, "started", f.allConnected)
			second, _ := f.peakNewSessions()
			t.Logf("all in %.2f s, most new sessions at a machine %d in 1 s", float64(elapsed)/1e6, second)
			require.LessOrEqual(t, second, rate+burst)
			require.LessOrEqual(t, f.peakLoad(), zoneClients)
		})
	}
}

// While all machines are down for ten minutes, every gatekeeper keeps trying at a rate bounded by the backoff, and all
// have a session soon after the machines have returned.
func TestFleetWithoutControl(t *testing.T) {
	timing := Timing{}.WithDefaults()
	f := newFleet(1, 10e6)
	f.runFor(30e6)
	f.fail(resetting, f.replicas...)
	f.runFor(600e6)
	f.recover(f.replicas...)
	elapsed := f.runUntil(t, timing.BackoffCap+500e3, "all have a session again", f.allConnected)
	second, _ := f.peakNewSessions()
	t.Logf("all in %.2f s, most new sessions at a machine %d in 1 s", float64(elapsed)/1e6, second)
	// For delays drawn uniformly up to BackoffCap, the density of the remaining delay is highest at 0, where it is 2/BackoffCap.
	require.LessOrEqual(t, second, binomialBound(fleetClients, 2/(float64(timing.BackoffCap)/1e6)/fleetReplicas))
	f.runUntil(t, timing.ReturnInterval+500e3, "all are at their preferred machine", f.allAtPreferred)
}

// The same with machines that admit 50 sessions per second each and give slots to the other gatekeepers: after an outage
// of any length all have a session again within the time allowed for a change to take effect. A gatekeeper with a slot in
// a short time must wait for it: one that tried the other machines meanwhile held a slot at each, and there were 13 times
// as many slots as gatekeepers.
func TestFleetAfterAnOutageWithAdmission(t *testing.T) {
	const inForceWithin = control.Micros(17e6)
	for _, outage := range []control.Micros{5e6, 12e6, 30e6, 600e6} {
		for seed := range fleetSeeds() {
			t.Run(fmt.Sprint(outage/1e6, " s/", seed), func(t *testing.T) {
				t.Parallel()
				f := newFleet(seed, 10e6)
				for _, r := range f.replicas {
					r.limitAdmission(50, 50)
				}
				f.runFor(40e6)
				require.Equal(t, fleetClients, f.sessions())
				f.fail(resetting, f.replicas...)
				f.runFor(outage)
				f.recover(f.replicas...)
				elapsed := f.runUntil(t, inForceWithin, "all have a session again", f.allConnected)
				second, _ := f.peakNewSessions()
				t.Logf("all in %.2f s, most new sessions at a machine %d in 1 s", float64(elapsed)/1e6, second)
			})
		}
	}
}
