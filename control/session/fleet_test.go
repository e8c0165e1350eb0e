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

// This file plays all gatekeepers of a deployment against its control machines in virtual time.

const (
	fleetClients     = 2200
	fleetReplicas    = 13
	heartbeatEvery   = control.Micros(1e6)
	loadWindow       = control.Micros(100e3) // sessions are counted in such windows
	windowsPerSecond = 10
)

// fleet is a deployment in virtual time.
type fleet struct {
	now      control.Micros
	due      dueHeap
	ordered  uint64
	random   *rand.Rand
	replicas []*fleetReplica
	byName   map[string]*fleetReplica
	clients  []*fleetClient
	timing   Timing
	opened   map[string]map[control.Micros]int // new sessions by replica and window
}

// health is how a control machine stands.
type health int

const (
	up      health = iota
	refuses        // the process has ended: connections are reset
	silent         // the machine is off: nothing is answered
)

type fleetReplica struct {
	Replica
	health   health
	sessions map[fleetSession]bool
	mostLoad int
	most     int              // sessions that it holds at a time; 0: no bound
	limits   admission.Limits // of its admission; none: whoever comes is taken
	admitter *admission.Controller
}

type fleetSession struct {
	client *fleetClient
	id     uint64
}

type fleetClient struct {
	machine *Machine
	open    map[uint64]*fleetReplica
	waking  bool
	wakeAt  control.Micros
	name    string
}

type dueEvent struct {
	at    control.Micros
	order uint64
	do    func()
}

type dueHeap []dueEvent

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *dueHeap) Push(x any)   { *h = append(*h, x.(dueEvent)) }
func (h *dueHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (f *fleet) after(d control.Micros, do func()) {
	f.ordered++
	heap.Push(&f.due, dueEvent{f.now + d, f.ordered, do})
}

// runFor lets virtual time pass.
func (f *fleet) runFor(d control.Micros) {
	end := f.now + d
	for len(f.due) > 0 && f.due[0].at <= end {
		e := heap.Pop(&f.due).(dueEvent)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// runUntil lets time pass until a condition holds, and gives how long that took; the test fails if it does not within a time.
func (f *fleet) runUntil(t *testing.T, within control.Micros, what string, holds func() bool) control.Micros {
	t.Helper()
	begun := f.now
	for !holds() {
		require.Less(t, f.now-begun, within, what)
		f.runFor(50e3)
	}
	return f.now - begun
}

// latency is that of a round trip in a data centre or between regions.
func (f *fleet) latency() control.Micros { return control.Micros(1e3 + f.random.Float64()*49e3) }

// newFleet places 13 control machines (three in the first zone, two in each other) and the gatekeepers evenly over 6 zones in
// 3 regions. Gatekeepers start within a time.
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
			f.step(c, nil)
		})
	}
	for _, r := range f.replicas {
		f.after(control.Micros(f.random.Float64()*float64(heartbeatEvery)), func() { f.heartbeats(r) })
	}
	return f
}

// step carries out actions of a client, and has it woken when it wants to be.
func (f *fleet) step(c *fleetClient, actions []Action) {
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
	f.wake(c)
}

// wake has a client's machine ticked when it wants to be. A call that is due earlier already looks again then.
func (f *fleet) wake(c *fleetClient) {
	at, _ := c.machine.NextTick()
	if c.waking && c.wakeAt <= at {
		return
	}
	c.waking, c.wakeAt = true, at
	f.after(max(0, at-f.now), func() {
		if !c.waking || c.wakeAt != at {
			return // an earlier call took its place
		}
		c.waking = false
		if due, _ := c.machine.NextTick(); due > f.now {
			f.wake(c)
			return
		}
		f.step(c, c.machine.Tick(f.now))
	})
}

// arrive is an attempt's arrival at a replica.
func (f *fleet) arrive(c *fleetClient, r *fleetReplica, a Action) {
	if c.open[a.Session] == nil || r.health == silent {
		return
	}
	if r.health == refuses {
		f.end(c, a.Session, End{Reason: Lost})
		return
	}
	if r.most > 0 && len(r.sessions) >= r.most {
		f.end(c, a.Session, End{Reason: Full})
		return
	}
	if d := r.admit(f.now, c.name, a.StartRevision == 0); !d.Admitted {
		f.end(c, a.Session, End{RetryLater, d.RetryAfter})
		return
	}
	r.sessions[fleetSession{c, a.Session}] = true
	r.mostLoad = max(r.mostLoad, len(r.sessions))
	f.opened[r.Name][f.now/loadWindow]++
	kind := Heartbeat
	if a.StartRevision == 0 {
		kind = Snapshot
	}
	f.step(c, c.machine.HandleEvent(f.now, a.Session, Event{Kind: kind, Revision: 1}))
}

// admits sets the rate and the burst at which a replica takes sessions, and sends snapshots.
func (r *fleetReplica) admits(rate float64, burst int) {
	r.limits = admission.Limits{SessionsPerSecond: rate, SessionsBurst: burst, SnapshotsPerSecond: rate, SnapshotsBurst: burst}
	r.admitter = admission.New(r.limits)
}

// admit asks the replica's own admission.
func (r *fleetReplica) admit(now control.Micros, client string, snapshot bool) admission.Decision {
	if r.admitter == nil {
		return admission.Decision{Admitted: true}
	}
	return r.admitter.Admit(now, admission.Request{Client: client, NeedsSnapshot: snapshot})
}

func (f *fleet) end(c *fleetClient, session uint64, e End) {
	if r := c.open[session]; r != nil {
		delete(c.open, session)
		f.step(c, c.machine.HandleEnd(f.now, session, e))
	}
}

func (f *fleet) heartbeats(r *fleetReplica) {
	if r.health == up {
		for _, s := range r.list() {
			if r.sessions[s] {
				f.step(s.client, s.client.machine.HandleEvent(f.now, s.id, Event{Kind: Heartbeat, Revision: 1}))
			}
		}
	}
	f.after(heartbeatEvery, func() { f.heartbeats(r) })
}

// list gives the sessions in an order that doesn't depend on the map.
func (r *fleetReplica) list() []fleetSession {
	return slices.SortedFunc(maps.Keys(r.sessions), func(a, b fleetSession) int {
		return cmp.Or(strings.Compare(a.client.name, b.client.name), cmp.Compare(a.id, b.id))
	})
}

// fail ends some control machines at once.
func (f *fleet) fail(how health, replicas ...*fleetReplica) (sessions int) {
	for _, r := range replicas {
		r.health = how
		sessions += len(r.sessions)
		for _, s := range r.list() {
			if how == refuses {
				f.after(f.latency(), func() { f.end(s.client, s.id, End{Reason: Lost}) })
			}
		}
		r.sessions = map[fleetSession]bool{}
	}
	f.watchLoads()
	return sessions
}

// watchLoads begins to take the highest loads and new sessions anew.
func (f *fleet) watchLoads() {
	for _, r := range f.replicas {
		r.mostLoad = len(r.sessions)
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
	f.watchLoads()
}

// in gives the control machines of a zone or region.
func (f *fleet) in(place string) (list []*fleetReplica) {
	for _, r := range f.replicas {
		if r.Zone == place || r.Region == place {
			list = append(list, r)
		}
	}
	return list
}

// connected tells whether all gatekeepers have a session at a machine that is up.
func (f *fleet) connected() bool {
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

// settled tells whether all gatekeepers have theirs at the machine that they prefer.
func (f *fleet) settled() bool {
	for _, c := range f.clients {
		if c.machine.current == nil || c.machine.current.rank > 0 || c.machine.attempt != nil {
			return false
		}
	}
	return true
}

// mostLoad is the highest load of any machine since the loads are watched.
func (f *fleet) mostLoad() (most int) {
	for _, r := range f.replicas {
		most = max(most, r.mostLoad)
	}
	return most
}

// peak is the most new sessions that any machine had within a second, and within a window.
func (f *fleet) peak() (second, window int) {
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

// chance is the most that n clients come to at one of several places by chance: five standard deviations over the mean.
func chance(n int, part float64) int {
	mean := float64(n) * part
	return int(math.Ceil(mean + 5*math.Sqrt(mean*(1-part))))
}

const zoneClients = (fleetClients + 5) / 6

// fleetSeeds is how many seeds a test plays.
func fleetSeeds() uint64 {
	if testing.Short() {
		return 1
	}
	return 3
}

// With a bound of twice a machine's share the machine that is left in a zone takes no more than that: the rest go on to the
// region's other zone at once, none is left without a session, and all come back once the lost machine has returned.
func TestFleetWithFullMachines(t *testing.T) {
	const most = 2 * fleetClients / fleetReplicas
	timing := Timing{}.WithDefaults()
	const slack = control.Micros(300e3)
	for seed := range fleetSeeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(seed, 10e6)
			for _, r := range f.replicas {
				r.most = most
			}
			f.runFor(10e6)
			f.runUntil(t, 5e6, "started", f.settled)
			f.runFor(timing.StableAfter + 10e6)

			lost, left := f.in("zone-1")[0], f.in("zone-1")[1]
			f.fail(refuses, lost)
			took := f.runUntil(t, 2*timing.BackoffBase+slack, "all have a session again", f.connected)
			require.Equal(t, most, left.mostLoad, "%d gatekeepers of its zone would go there", zoneClients)
			require.LessOrEqual(t, f.mostLoad(), most)
			f.runFor(2 * timing.ReturnInterval)
			require.True(t, f.connected())
			require.LessOrEqual(t, f.mostLoad(), most, "they look for room in their zone, and find none")

			f.recover(lost)
			back := f.runUntil(t, timing.ReturnInterval+slack, "all are back where they prefer to be", f.settled)
			require.LessOrEqual(t, f.mostLoad(), most)
			t.Logf("all have a session again in %.2f s, and are back in %.2f s", float64(took)/1e6, float64(back)/1e6)
		})
	}
}

// Failures of control machines with all 2,200 gatekeepers: how much load the others get at most, how long it takes until all
// have a session again, and how many new sessions a second a machine gets; then the same for the return.
func TestFleetFailures(t *testing.T) {
	timing := Timing{}.WithDefaults()
	const slack = control.Micros(300e3) // round trips, and the steps in which a condition is looked at
	for _, failure := range []struct {
		name     string
		lost     func(*fleet) []*fleetReplica
		mostLoad int // of a machine that is left
		attempts int // the most that a gatekeeper whose machine is killed needs: at the others that are lost, and one more
		silent   int // of these the most that get no answer, where machines are silent: see silentSkip
		peak     int // most new sessions a second at a machine
	}{
		{"one of two in a zone", func(f *fleet) []*fleetReplica { return f.in("zone-1")[:1] }, zoneClients, 1, 0, chance(zoneClients, 0.5)},
		{"one of three in a zone", func(f *fleet) []*fleetReplica { return f.in("zone-0")[:1] }, chance(zoneClients, 0.5), 1, 0, chance(zoneClients, 1./6)},
		{"two of three in a zone", func(f *fleet) []*fleetReplica { return f.in("zone-0")[:2] }, zoneClients, 2, 1, chance(zoneClients, 2./3)},
		{"a zone", func(f *fleet) []*fleetReplica { return f.in("zone-1") }, chance(zoneClients, 1./3) * 2, 2, 1, chance(zoneClients, 1./3)},
		// The machines of the other regions take a ninth each, beside their own: half of a zone's, or half of the third machine's zone.
		{"a region", func(f *fleet) []*fleetReplica { return f.in("region-0") }, chance(zoneClients, 0.5) + chance(2*zoneClients, 1./8), 5, 2, chance(2*zoneClients, 1./8)},
	} {
		for _, how := range []health{refuses, silent} {
			for seed := range fleetSeeds() {
				t.Run(fmt.Sprint(failure.name, "/", map[health]string{refuses: "killed", silent: "silent"}[how], "/", seed), func(t *testing.T) {
					t.Parallel()
					f := newFleet(seed, 10e6)
					f.runFor(10e6)
					f.runUntil(t, 5e6, "started", f.settled)
					f.runFor(timing.StableAfter + 10e6)
					require.Equal(t, fleetClients, f.sessions())

					lost := failure.lost(f)
					moved := f.fail(how, lost...)
					within := control.Micros(failure.attempts)*timing.BackoffBase + slack
					if how == silent {
						unanswered := control.Micros(failure.silent)
						within = timing.HeartbeatTimeout + unanswered*timing.ConnectTimeout + (unanswered+1)*timing.BackoffBase + slack
					}
					took := f.runUntil(t, within, "all have a session again", f.connected)
					second, window := f.peak()
					t.Logf("%d moved in %.2f s; most load %d, most new sessions at a machine %d in 1 s, %d in 0.1 s", moved, float64(took)/1e6, f.mostLoad(), second, window)
					require.LessOrEqual(t, f.mostLoad(), failure.mostLoad, "load")
					require.LessOrEqual(t, second, failure.peak, "new sessions in a second")
					if how == refuses { // spread evenly over BackoffBase, by chance
						require.LessOrEqual(t, window, chance(failure.peak, float64(loadWindow)/float64(timing.BackoffBase)), "new sessions in a window")
					}

					f.runFor(timing.ReturnInterval + timing.ReturnInterval/2)
					require.Equal(t, fleetClients, f.sessions())
					f.recover(lost...)
					// Each looks within ReturnEvery at all machines that it prefers, after a look that may just be under way.
					within = timing.ReturnInterval + slack
					if how == silent {
						within += control.Micros(failure.attempts) * timing.ConnectTimeout
					}
					took = f.runUntil(t, within, "all are back where they prefer to be", f.settled)
					second, window = f.peak()
					t.Logf("back in %.2f s; most new sessions at a machine %d in 1 s, %d in 0.1 s", float64(took)/1e6, second, window)
					// Spread over the second half of ReturnEvery at the least. Where no answer comes a look takes a time, and those
					// that are looking just then go on to another machine within ConnectWithin.
					spread := float64(timing.ReturnInterval) / 2e6
					most := chance(zoneClients, 1/spread)
					if how == silent {
						looking := float64(failure.attempts) * float64(timing.ConnectTimeout) / (0.75 * float64(timing.ReturnInterval))
						most += chance(moved, looking/(float64(timing.ConnectTimeout)/1e6)/float64(len(lost)))
					}
					require.LessOrEqual(t, second, most, "new sessions in a second at the return")
					require.Equal(t, fleetClients, f.sessions())
				})
			}
		}
	}
}

// sessions is how many sessions the machines have.
func (f *fleet) sessions() (n int) {
	for _, r := range f.replicas {
		n += len(r.sessions)
	}
	return n
}

// All gatekeepers start at once, at machines that admit 50 sessions a second: all have one within the time that the rate needs.
func TestFleetStartsAtOnce(t *testing.T) {
	for seed := range fleetSeeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(seed, 1)
			const rate, burst = 50, 50
			for _, r := range f.replicas {
				r.admits(rate, burst)
			}
			most := chance(zoneClients, 0.5)
			needed := control.Micros(float64(most-burst) / rate * 1e6)
			took := f.runUntil(t, needed+Timing{}.WithDefaults().BackoffBase+2e6, "started", f.connected)
			second, _ := f.peak()
			t.Logf("all in %.2f s, most new sessions at a machine %d in 1 s", float64(took)/1e6, second)
			require.LessOrEqual(t, second, rate+burst)
			require.LessOrEqual(t, f.mostLoad(), zoneClients)
		})
	}
}

// With all machines gone for ten minutes every gatekeeper goes on to try, at a pace bounded by the backoff, and all are back soon
// after the machines are.
func TestFleetWithoutControl(t *testing.T) {
	timing := Timing{}.WithDefaults()
	f := newFleet(1, 10e6)
	f.runFor(30e6)
	f.fail(refuses, f.replicas...)
	f.runFor(600e6)
	f.recover(f.replicas...)
	took := f.runUntil(t, timing.BackoffCap+500e3, "all have a session again", f.connected)
	second, _ := f.peak()
	t.Logf("all in %.2f s, most new sessions at a machine %d in 1 s", float64(took)/1e6, second)
	// Of waits drawn evenly up to BackoffCap the rest is at its densest at its beginning: two in BackoffCap; at any machine.
	require.LessOrEqual(t, second, chance(fleetClients, 2/(float64(timing.BackoffCap)/1e6)/fleetReplicas))
	f.runUntil(t, timing.ReturnInterval+500e3, "all are back where they prefer to be", f.settled)
}

// The same with machines that admit 50 sessions a second each and promise the others a place: after an outage of any length all
// have a session again within the time that changes are allowed. A gatekeeper that has a place soon must wait for it: one that
// asked the other machines meanwhile took a place at each, and all places together were 13 times as many as gatekeepers.
func TestFleetAfterAnOutageWithAdmission(t *testing.T) {
	const inForceWithin = control.Micros(17e6)
	for _, outage := range []control.Micros{5e6, 12e6, 30e6, 600e6} {
		for seed := range fleetSeeds() {
			t.Run(fmt.Sprint(outage/1e6, " s/", seed), func(t *testing.T) {
				t.Parallel()
				f := newFleet(seed, 10e6)
				for _, r := range f.replicas {
					r.admits(50, 50)
				}
				f.runFor(40e6)
				require.Equal(t, fleetClients, f.sessions())
				f.fail(refuses, f.replicas...)
				f.runFor(outage)
				f.recover(f.replicas...)
				took := f.runUntil(t, inForceWithin, "all have a session again", f.connected)
				second, _ := f.peak()
				t.Logf("all in %.2f s, most new sessions at a machine %d in 1 s", float64(took)/1e6, second)
			})
		}
	}
}
