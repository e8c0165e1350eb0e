package control

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// world feeds one controller seeded random legal events and checks the rules at each action.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	c       *Controller
	set     Settings
	now     Micros
	timers  []Action
	calls   map[string]*owed
	order   []string
	servers map[uint32]State
	ids     []uint32
	log     []Action
	next    int
}

type owed struct {
	drop, blocked Micros
	class         int
	out           bool
	attempt       int
	server        uint32
	sentAt        Micros
	ends          int // final answers
	over, ran     bool
	cancelled     bool
	limits        *Limits
	waitTo        Micros // by its limits
	last          Code   // end of its latest attempt
}

// stinted is a budget that grants by chance. It checks that it is asked once for each further attempt.
type stinted struct {
	w     *world
	asked int
}

func (b *stinted) First(Micros, int) {}
func (b *stinted) Take(now Micros, _ int) bool {
	if now != b.w.now {
		b.w.t.Fatal("the budget was asked at another time")
	}
	b.asked++
	return b.w.rng.IntN(3) > 0
}

// limits draws a call's limits; a third of the calls bring none.
func (w *world) limits() *Limits {
	if w.rng.IntN(3) == 0 {
		return nil
	}
	l := &Limits{Attempts: 1 + w.rng.IntN(6), AttemptTimeout: Micros(w.rng.IntN(2) * 800000), Wait: Micros(w.rng.IntN(3) * 200000),
		Jitter: Micros(w.rng.IntN(2) * 150000), RetryOn: Outcomes(w.rng.Uint32()) & Retryable}
	if w.rng.IntN(2) == 0 {
		l.Budget = &stinted{w: w}
	}
	return l
}

// limited checks a send against the call's limits.
func (w *world) limited(k *owed, a Action) {
	if k.limits == nil {
		if a.Wait != 0 {
			w.t.Fatalf("%s has no limits but a time-out", a.ID)
		}
		return
	}
	l, n := k.limits, k.attempt+2 // attempts with this one
	budget, _ := l.Budget.(*stinted)
	switch {
	case a.Wait != l.AttemptTimeout:
		w.t.Fatalf("%s has a time-out of %d, want %d", a.ID, a.Wait, l.AttemptTimeout)
	case n > max(1, l.Attempts):
		w.t.Fatalf("%s sent %d times of %d", a.ID, n, l.Attempts)
	case n > 1 && !l.RetryOn.Has(k.last):
		w.t.Fatalf("%s sent again after end %d, which its limits leave out", a.ID, k.last)
	case w.now < k.waitTo:
		w.t.Fatalf("%s sent again %d us before its wait was over", a.ID, k.waitTo-w.now)
	case budget != nil && budget.asked != n-1:
		w.t.Fatalf("%s: attempt %d, and its budget was asked %d times", a.ID, n, budget.asked)
	}
}

func (w *world) handle(e Event) {
	acts := slices.Clone(w.c.Handle(w.now, e))
	for _, a := range acts {
		w.log = append(w.log, a)
		w.check(a)
	}
}

func (w *world) check(a Action) {
	k := w.calls[a.ID]
	switch a.Kind {
	case Send:
		switch {
		case k == nil:
			w.t.Fatalf("send of unknown call %s", a.ID)
		case k.over:
			w.t.Fatalf("rule 1: send of %s, which is over", a.ID)
		case k.out:
			w.t.Fatalf("rule 2: two attempts out for %s", a.ID)
		case w.servers[a.Server] != Ready:
			w.t.Fatalf("rule 3: send to server %d in state %d", a.Server, w.servers[a.Server])
		case w.now < k.blocked:
			w.t.Fatalf("rule 5: %s resent %d us early", a.ID, k.blocked-w.now)
		case k.attempt+1 >= w.set.AttemptsCap:
			w.t.Fatalf("%s sent more than %d times", a.ID, w.set.AttemptsCap)
		case k.ran && w.set.Classes[k.class].Repeat != Idempotent:
			w.t.Fatalf("%s may have run and was sent again", a.ID)
		}
		w.limited(k, a)
		k.out, k.server, k.sentAt, k.cancelled = true, a.Server, w.now, false
		k.attempt++
	case Refuse, Fail:
		if k == nil || k.over || k.out {
			w.t.Fatalf("rule 1: final answer for %s, which is over, out or unknown", a.ID)
		}
		if a.Kind == Refuse && k.ran && w.set.Classes[k.class].Repeat != Idempotent {
			w.t.Fatalf("%s may have run and was refused", a.ID)
		}
		k.over = true
		k.ends++
	case Cancel:
		if k == nil || a.Attempt > k.attempt || !w.set.Cancel {
			w.t.Fatalf("cancel of attempt %d of %s", a.Attempt, a.ID)
		}
		k.cancelled = true
	case SetTimer:
		w.timers = append(w.timers, a)
	}
}

// until runs timers and deadlines up to a time.
func (w *world) until(end Micros) {
	for {
		at, timer, late := end, -1, ""
		for i, a := range w.timers {
			if a.At < at {
				at, timer = a.At, i
			}
		}
		for _, id := range w.order {
			if k := w.calls[id]; !k.over && k.drop <= at {
				at, timer, late = k.drop, -1, id
			}
		}
		w.now = max(w.now, at)
		switch {
		case late != "":
			k := w.calls[late]
			if !k.out {
				w.t.Fatalf("rule 1: %s had no answer when its caller gave up", late)
			}
			w.end(late, TimedOut, 0)
			if !k.over {
				w.t.Fatalf("rule 1: %s had no answer after its last time-out", late)
			}
		case timer >= 0:
			a := w.timers[timer]
			w.timers = slices.Delete(w.timers, timer, timer+1)
			w.handle(Timer{a.Key})
		default:
			return
		}
	}
}

// end resolves the attempt of a call that is out.
func (w *world) end(id string, code Code, reason int) {
	k := w.calls[id]
	k.out, k.last = false, code
	if k.limits != nil {
		k.waitTo = w.now + k.limits.Wait
	}
	if code == TimedOut || code == Cut || code == Cancelled {
		k.blocked = w.now + w.set.ReleaseGuard
		k.ran = true
	}
	if code == Failed {
		k.ran = true
	}
	var row []float64
	if w.rng.IntN(2) == 0 {
		row = []float64{float64(w.rng.IntN(50) - 1), 60, float64(w.rng.IntN(900) - 1)}
	}
	w.handle(AttemptEnded{ID: id, Attempt: k.attempt, Server: k.server, Code: code, Elapsed: w.now - k.sentAt, Reason: reason,
		Report: row})
}

func (w *world) step() {
	w.until(w.now + Micros(w.rng.IntN(30000)))
	var out []string
	for _, id := range w.order {
		if k := w.calls[id]; k.out {
			out = append(out, id)
		}
	}
	switch r := w.rng.IntN(20); {
	case r < 9:
		w.next++
		id := fmt.Sprintf("%08d", w.next)
		k := &owed{drop: w.now + Micros(1+w.rng.IntN(3e6)), class: w.rng.IntN(len(w.set.Classes)), attempt: -1,
			limits: w.limits()}
		w.calls[id] = k
		w.order = append(w.order, id)
		w.handle(Call{ID: id, Class: k.class, Key: fmt.Sprint("n", w.rng.IntN(5)), Deadline: k.drop,
			FirstChoice: w.rng.IntN(3), Repeat: w.rng.IntN(4) == 0, WasCut: w.rng.IntN(9) == 0, Limits: k.limits})
	case r < 13 && len(out) > 0:
		id := out[w.rng.IntN(len(out))]
		k := w.calls[id]
		k.out, k.over = false, true
		k.ends++
		w.handle(CallEstablished{ID: id, Attempt: k.attempt, Server: k.server, Elapsed: w.now - k.sentAt})
	case r < 16 && len(out) > 0:
		id := out[w.rng.IntN(len(out))]
		codes := []Code{Failed, Full, Unreachable, Cut, NotSent}
		if w.calls[id].cancelled {
			codes = []Code{Cancelled}
		}
		w.end(id, codes[w.rng.IntN(len(codes))], w.rng.IntN(5))
	case r == 16 && len(out) > 0:
		id := out[w.rng.IntN(len(out))]
		w.calls[id].over = true
		w.handle(Withdrawn{ID: id})
	case r == 17:
		s := w.ids[w.rng.IntN(len(w.ids))]
		e := Entry{Server: s, Cell: int(s) % 3, State: State(w.rng.IntN(3))}
		if w.rng.IntN(2) == 0 {
			e.Since = w.now - Micros(w.rng.IntN(3e6))
		}
		w.servers[s] = e.State
		w.handle(List{Delta: true, Entries: []Entry{e}})
	case r == 18: // a late or foreign event: passed over
		w.handle(AttemptEnded{ID: "none", Attempt: 3, Server: 99, Code: Full, Reason: ProcessorFull})
		w.handle(CallEstablished{ID: "none", Server: 98, Elapsed: 5})
		w.handle(Peer{From: 1, Data: []byte{9, 9}})
	default:
		w.handle(Status{Server: w.ids[0], Code: OK, Report: []float64{float64(w.rng.IntN(9)), 60, -1}})
	}
	w.order = slices.DeleteFunc(w.order, func(id string) bool { return w.calls[id].over && !w.calls[id].out })
}

func newWorld(t *testing.T, seed uint64) *world {
	rng := rand.New(rand.NewPCG(seed, 1))
	set := testSettings()
	set.Classes = append(set.Classes, Class{LatencyTarget: 1e6, Worth: 3, Repeat: NonIdempotent}, Class{LatencyTarget: 1e6, Worth: 3, Repeat: IdempotentByKey})
	if seed%3 == 0 {
		set.Report, set.Cancel, set.ResendGap = nil, false, 0
	}
	w := &world{t: t, rng: rng, set: set, c: New(set, seed), now: 5e8, calls: map[string]*owed{},
		servers: map[uint32]State{}, ids: []uint32{3, 4, 5, 6}}
	w.handle(Start{})
	var list []Entry
	for _, s := range w.ids {
		w.servers[s] = Ready
		list = append(list, Entry{Server: s, Cell: int(s) % 3, State: Ready})
	}
	w.handle(List{Entries: list})
	return w
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(60) {
		w := newWorld(t, seed)
		for range 1500 {
			w.step()
		}
		w.until(w.now + 5e6)
		for id, k := range w.calls {
			if !k.over || k.ends > 1 {
				t.Fatalf("seed %d: rule 1: call %s over %v with %d answers", seed, id, k.over, k.ends)
			}
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(5) {
		a, b := newWorld(t, seed), newWorld(t, seed)
		for range 800 {
			a.step()
			b.step()
		}
		if !reflect.DeepEqual(a.log, b.log) {
			t.Fatalf("seed %d: the same events gave other actions", seed)
		}
	}
}

// The cold budget: fronts of unequal traffic that wake together send a cold server less than the rule allows in any
// window, whether it answers or not.
func TestColdBudget(t *testing.T) {
	for seed := range uint64(12) {
		const capacity, fronts = 40.0, 6
		rng := rand.New(rand.NewPCG(seed, 2))
		set := testSettings()
		set.Gatekeepers = fronts
		var fs []*gatekeeper
		for i := range fronts {
			f := &gatekeeper{t: t, c: New(set, seed*100+uint64(i)), now: 1e9}
			f.do(List{Entries: two})
			fs = append(fs, f)
		}
		started := Micros(1e9 + 10e6)
		var sent []Micros
		for at := Micros(1e9); at < 1e9+25e6; at += Micros(rng.ExpFloat64() * 1e6 / capacity) {
			f := fs[min(rng.IntN(fronts), rng.IntN(fronts))]
			f.pass(at - f.now)
			if at > started && f.c.find(30) == nil {
				f.servers(two[0], Entry{Server: 20, Cell: 1, State: Gone}, Entry{Server: 30, Cell: 1, State: Ready,
					Since: started})
			}
			id, s := f.call(0, rng.IntN(2))
			if s == 30 {
				sent = append(sent, at)
			}
			if s != 0 && (s != 30 || seed%2 == 0) {
				f.answer(id, s, 3e4)
			}
		}
		if len(sent) == 0 {
			t.Fatal("nothing sent to the cold server")
		}
		for i, from := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at < from+set.FallTime {
					n++
				}
			}
			part := set.StartCapacity + (1-set.StartCapacity)*float64(from-started)/float64(set.WarmWithin)
			if limit := set.FallMultiple * part * capacity * float64(set.FallTime) / 1e6; from < started+set.WarmWithin &&
				float64(n) > limit {
				t.Fatalf("seed %d: %d set-ups in a window that allows %.0f", seed, n, limit)
			}
		}
	}
}
