package control

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// simulation feeds one controller with seeded random legal events and checks the rules at each action.
type simulation struct {
	t         *testing.T
	rng       *rand.Rand
	c         *Controller
	settings  Settings
	now       Micros
	timers    []Action
	calls     map[string]*simulatedCall
	callOrder []string
	servers   map[uint32]State
	serverIDs []uint32
	actions   []Action
	callCount int
}

// simulatedCall is the state of a call as the rules require it.
type simulatedCall struct {
	deadline, blockedUntil Micros
	class                  int
	inFlight               bool
	attempt                int
	server                 uint32
	sentAt                 Micros
	finalAnswers           int // number of final answers
	finished, mayHaveRun   bool
	cancelled              bool
	limits                 *Limits
	waitUntil              Micros // end of the wait that its limits require
	lastCode               Code   // outcome of its latest attempt
}

// randomBudget grants retries at random. It checks that Take is called at the current time and counts the calls.
type randomBudget struct {
	sim       *simulation
	takeCalls int
}

func (b *randomBudget) First(Micros, int) {}
func (b *randomBudget) Take(now Micros, _ int) bool {
	if now != b.sim.now {
		b.sim.t.Fatal("the budget was consulted with a time other than now")
	}
	b.takeCalls++
	return b.sim.rng.IntN(3) > 0
}

// limits returns random limits of a call; a third of the calls have none.
func (sim *simulation) limits() *Limits {
	if sim.rng.IntN(3) == 0 {
		return nil
	}
	l := &Limits{Attempts: 1 + sim.rng.IntN(6), AttemptTimeout: Micros(sim.rng.IntN(2) * 800000), Wait: Micros(sim.rng.IntN(3) * 200000),
		Jitter: Micros(sim.rng.IntN(2) * 150000), RetryOn: Outcomes(sim.rng.Uint32()) & Retryable}
	if sim.rng.IntN(2) == 0 {
		l.Budget = &randomBudget{sim: sim}
	}
	return l
}

// checkLimits checks a set-up against the limits of its call.
func (sim *simulation) checkLimits(call *simulatedCall, a Action) {
	if call.limits == nil {
		if a.Wait != 0 {
			sim.t.Fatalf("%s has no limits but an attempt timeout", a.ID)
		}
		return
	}
	l, n := call.limits, call.attempt+2 // attempts including this one
	budget, _ := l.Budget.(*randomBudget)
	switch {
	case a.Wait != l.AttemptTimeout:
		sim.t.Fatalf("%s has an attempt timeout of %d, want %d", a.ID, a.Wait, l.AttemptTimeout)
	case n > max(1, l.Attempts):
		sim.t.Fatalf("%s sent %d times, limit %d", a.ID, n, l.Attempts)
	case n > 1 && !l.RetryOn.Has(call.lastCode):
		sim.t.Fatalf("%s sent again after code %d, which its limits exclude", a.ID, call.lastCode)
	case sim.now < call.waitUntil:
		sim.t.Fatalf("%s sent again %d us before the end of its wait", a.ID, call.waitUntil-sim.now)
	case budget != nil && budget.takeCalls != n-1:
		sim.t.Fatalf("%s: attempt %d, but its budget was consulted %d times", a.ID, n, budget.takeCalls)
	}
}

func (sim *simulation) handle(e Event) {
	emitted := slices.Clone(sim.c.Handle(sim.now, e))
	for _, a := range emitted {
		sim.actions = append(sim.actions, a)
		sim.check(a)
	}
}

func (sim *simulation) check(a Action) {
	call := sim.calls[a.ID]
	switch a.Kind {
	case Send:
		switch {
		case call == nil:
			sim.t.Fatalf("send of unknown call %s", a.ID)
		case call.finished:
			sim.t.Fatalf("rule 1: send of %s after its final answer", a.ID)
		case call.inFlight:
			sim.t.Fatalf("rule 2: two attempts in flight for %s", a.ID)
		case sim.servers[a.Server] != Ready:
			sim.t.Fatalf("rule 3: send to server %d in state %d", a.Server, sim.servers[a.Server])
		case sim.now < call.blockedUntil:
			sim.t.Fatalf("rule 5: %s sent again %d us before the end of the release guard", a.ID, call.blockedUntil-sim.now)
		case call.attempt+1 >= sim.settings.AttemptsCap:
			sim.t.Fatalf("%s sent more than %d times", a.ID, sim.settings.AttemptsCap)
		case call.mayHaveRun && sim.settings.Classes[call.class].Repeat != Idempotent:
			sim.t.Fatalf("%s may have run and was sent again", a.ID)
		}
		sim.checkLimits(call, a)
		call.inFlight, call.server, call.sentAt, call.cancelled = true, a.Server, sim.now, false
		call.attempt++
	case Refuse, Fail:
		if call == nil || call.finished || call.inFlight {
			sim.t.Fatalf("rule 1: final answer for %s, which is finished, in flight or unknown", a.ID)
		}
		if a.Kind == Refuse && call.mayHaveRun && sim.settings.Classes[call.class].Repeat != Idempotent {
			sim.t.Fatalf("%s may have run and was refused", a.ID)
		}
		call.finished = true
		call.finalAnswers++
	case Cancel:
		if call == nil || a.Attempt > call.attempt || !sim.settings.Cancel {
			sim.t.Fatalf("unexpected cancel of attempt %d of %s", a.Attempt, a.ID)
		}
		call.cancelled = true
	case SetTimer:
		sim.timers = append(sim.timers, a)
	}
}

// runUntil processes timers and deadlines up to a time.
func (sim *simulation) runUntil(end Micros) {
	for {
		at, timer, expired := end, -1, ""
		for i, a := range sim.timers {
			if a.At < at {
				at, timer = a.At, i
			}
		}
		for _, id := range sim.callOrder {
			if call := sim.calls[id]; !call.finished && call.deadline <= at {
				at, timer, expired = call.deadline, -1, id
			}
		}
		sim.now = max(sim.now, at)
		switch {
		case expired != "":
			call := sim.calls[expired]
			if !call.inFlight {
				sim.t.Fatalf("rule 1: %s had no final answer by its deadline", expired)
			}
			sim.end(expired, TimedOut, 0)
			if !call.finished {
				sim.t.Fatalf("rule 1: %s had no final answer after its last timeout", expired)
			}
		case timer >= 0:
			a := sim.timers[timer]
			sim.timers = slices.Delete(sim.timers, timer, timer+1)
			sim.handle(Timer{a.Key})
		default:
			return
		}
	}
}

// end ends the attempt in flight of a call.
func (sim *simulation) end(id string, code Code, reason int) {
	call := sim.calls[id]
	call.inFlight, call.lastCode = false, code
	if call.limits != nil {
		call.waitUntil = sim.now + call.limits.Wait
	}
	if code == TimedOut || code == Cut || code == Cancelled {
		call.blockedUntil = sim.now + sim.settings.ReleaseGuard
		call.mayHaveRun = true
	}
	if code == Failed {
		call.mayHaveRun = true
	}
	var report []float64
	if sim.rng.IntN(2) == 0 {
		report = []float64{float64(sim.rng.IntN(50) - 1), 60, float64(sim.rng.IntN(900) - 1)}
	}
	sim.handle(AttemptEnded{ID: id, Attempt: call.attempt, Server: call.server, Code: code, Elapsed: sim.now - call.sentAt, Reason: reason,
		Report: report})
}

func (sim *simulation) step() {
	sim.runUntil(sim.now + Micros(sim.rng.IntN(30000)))
	var inFlight []string
	for _, id := range sim.callOrder {
		if call := sim.calls[id]; call.inFlight {
			inFlight = append(inFlight, id)
		}
	}
	switch r := sim.rng.IntN(20); {
	case r < 9:
		sim.callCount++
		id := fmt.Sprintf("%08d", sim.callCount)
		call := &simulatedCall{deadline: sim.now + Micros(1+sim.rng.IntN(3e6)), class: sim.rng.IntN(len(sim.settings.Classes)), attempt: -1,
			limits: sim.limits()}
		sim.calls[id] = call
		sim.callOrder = append(sim.callOrder, id)
		sim.handle(Call{ID: id, Class: call.class, Key: fmt.Sprint("n", sim.rng.IntN(5)), Deadline: call.deadline,
			FirstChoice: sim.rng.IntN(3), Repeat: sim.rng.IntN(4) == 0, WasCut: sim.rng.IntN(9) == 0, Limits: call.limits})
	case r < 13 && len(inFlight) > 0:
		id := inFlight[sim.rng.IntN(len(inFlight))]
		call := sim.calls[id]
		call.inFlight, call.finished = false, true
		call.finalAnswers++
		sim.handle(CallEstablished{ID: id, Attempt: call.attempt, Server: call.server, Elapsed: sim.now - call.sentAt})
	case r < 16 && len(inFlight) > 0:
		id := inFlight[sim.rng.IntN(len(inFlight))]
		codes := []Code{Failed, Full, Unreachable, Cut, NotSent}
		if sim.calls[id].cancelled {
			codes = []Code{Cancelled}
		}
		sim.end(id, codes[sim.rng.IntN(len(codes))], sim.rng.IntN(5))
	case r == 16 && len(inFlight) > 0:
		id := inFlight[sim.rng.IntN(len(inFlight))]
		sim.calls[id].finished = true
		sim.handle(Withdrawn{ID: id})
	case r == 17:
		s := sim.serverIDs[sim.rng.IntN(len(sim.serverIDs))]
		e := Entry{Server: s, Cell: int(s) % 3, State: State(sim.rng.IntN(3))}
		if sim.rng.IntN(2) == 0 {
			e.Since = sim.now - Micros(sim.rng.IntN(3e6))
		}
		sim.servers[s] = e.State
		sim.handle(List{Delta: true, Entries: []Entry{e}})
	case r == 18: // late or unknown event: ignored
		sim.handle(AttemptEnded{ID: "none", Attempt: 3, Server: 99, Code: Full, Reason: ProcessorFull})
		sim.handle(CallEstablished{ID: "none", Server: 98, Elapsed: 5})
		sim.handle(Peer{From: 1, Data: []byte{9, 9}})
	default:
		sim.handle(Status{Server: sim.serverIDs[0], Code: OK, Report: []float64{float64(sim.rng.IntN(9)), 60, -1}})
	}
	sim.callOrder = slices.DeleteFunc(sim.callOrder, func(id string) bool { return sim.calls[id].finished && !sim.calls[id].inFlight })
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	rng := rand.New(rand.NewPCG(seed, 1))
	settings := testSettings()
	settings.Classes = append(settings.Classes, Class{LatencyTarget: 1e6, Worth: 3, Repeat: NonIdempotent}, Class{LatencyTarget: 1e6, Worth: 3, Repeat: IdempotentByKey})
	if seed%3 == 0 {
		settings.Report, settings.Cancel, settings.ResendGap = nil, false, 0
	}
	sim := &simulation{t: t, rng: rng, settings: settings, c: New(settings, seed), now: 5e8, calls: map[string]*simulatedCall{},
		servers: map[uint32]State{}, serverIDs: []uint32{3, 4, 5, 6}}
	sim.handle(Start{})
	var list []Entry
	for _, s := range sim.serverIDs {
		sim.servers[s] = Ready
		list = append(list, Entry{Server: s, Cell: int(s) % 3, State: Ready})
	}
	sim.handle(List{Entries: list})
	return sim
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(60) {
		sim := newSimulation(t, seed)
		for range 1500 {
			sim.step()
		}
		sim.runUntil(sim.now + 5e6)
		for id, call := range sim.calls {
			if !call.finished || call.finalAnswers > 1 {
				t.Fatalf("seed %d: rule 1: call %s finished %v with %d final answers", seed, id, call.finished, call.finalAnswers)
			}
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(5) {
		a, b := newSimulation(t, seed), newSimulation(t, seed)
		for range 800 {
			a.step()
			b.step()
		}
		if !reflect.DeepEqual(a.actions, b.actions) {
			t.Fatalf("seed %d: the same events led to different actions", seed)
		}
	}
}

// Gatekeepers with unequal traffic that see a cold server at the same time send it less than the rule allows in any window,
// whether it answers or not.
func TestColdBudget(t *testing.T) {
	for seed := range uint64(12) {
		const capacity, fleetSize = 40.0, 6
		rng := rand.New(rand.NewPCG(seed, 2))
		settings := testSettings()
		settings.Gatekeepers = fleetSize
		var gatekeepers []*gatekeeper
		for i := range fleetSize {
			gk := &gatekeeper{t: t, c: New(settings, seed*100+uint64(i)), now: 1e9}
			gk.handle(List{Entries: twoServers})
			gatekeepers = append(gatekeepers, gk)
		}
		started := Micros(1e9 + 10e6)
		var sent []Micros
		for arrival := Micros(1e9); arrival < 1e9+25e6; arrival += Micros(rng.ExpFloat64() * 1e6 / capacity) {
			gk := gatekeepers[min(rng.IntN(fleetSize), rng.IntN(fleetSize))]
			gk.advance(arrival - gk.now)
			if arrival > started && gk.c.findServer(30) == nil {
				gk.servers(twoServers[0], Entry{Server: 20, Cell: 1, State: Gone}, Entry{Server: 30, Cell: 1, State: Ready,
					Since: started})
			}
			id, s := gk.openCall(0, rng.IntN(2))
			if s == 30 {
				sent = append(sent, arrival)
			}
			if s != 0 && (s != 30 || seed%2 == 0) {
				gk.answer(id, s, 3e4)
			}
		}
		if len(sent) == 0 {
			t.Fatal("nothing sent to the cold server")
		}
		for i, from := range sent {
			n := 0
			for _, arrival := range sent[i:] {
				if arrival < from+settings.FallTime {
					n++
				}
			}
			part := settings.StartCapacity + (1-settings.StartCapacity)*float64(from-started)/float64(settings.WarmWithin)
			if limit := settings.FallMultiple * part * capacity * float64(settings.FallTime) / 1e6; from < started+settings.WarmWithin &&
				float64(n) > limit {
				t.Fatalf("seed %d: %d set-ups in a window that allows %.0f", seed, n, limit)
			}
		}
	}
}
