package control

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"
)

func TestLadderHasHysteresis(t *testing.T) {
	for _, row := range []struct {
		name  string
		waits []float64 // in level 2 onsets
		want  int
	}{
		{"idle", []float64{0}, 0},
		{"level 1 onset", []float64{0.51}, 1},
		{"level 2 onset", []float64{1}, 2},
		{"between abatement and onset of 2, from above", []float64{1.1, 0.7}, 2},
		{"between abatement and onset of 2, from below", []float64{0.7}, 1},
		{"below abatement of 2", []float64{1.1, 0.6}, 1},
		{"below abatement of 1", []float64{1.1, 0.1}, 0},
		{"level 4", []float64{2.1}, 4},
		{"level 4 keeps above its abatement", []float64{2.1, 1.7}, 4},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := New(testSettings(), 1)
			s := c.reset(&server{id: 1})
			for _, w := range row.waits {
				s.wait = w * c.gateWait
				c.updateLevel(s)
			}
			if s.level != row.want {
				t.Errorf("level %d, want %d", s.level, row.want)
			}
		})
	}
}

func TestRouteByLevel(t *testing.T) {
	for _, row := range []struct {
		name     string
		ten      int // level of server 10
		twenty   int // level of server 20, the first choice
		wantNone bool
		want     uint32
	}{
		{name: "first choice at level 0", want: 20},
		{name: "first choice at level 1, other at 0", twenty: 1, want: 10},
		{name: "both at level 1", ten: 1, twenty: 1, want: 20},
		{name: "first choice gated, other at 1", ten: 1, twenty: 2, want: 10},
		{name: "all gated", ten: 4, twenty: 2, wantNone: true},
	} {
		t.Run(row.name, func(t *testing.T) {
			f := newGatekeeper(t, testSettings())
			f.servers(two...)
			f.c.find(10).level, f.c.find(20).level = row.ten, row.twenty
			_, s := f.call(0, 1)
			if s != row.want || row.wantNone != (f.count(Refuse) == 1) {
				t.Errorf("went to %d with %d refusals", s, f.count(Refuse))
			}
		})
	}
}

func TestNoServersRefuses(t *testing.T) {
	f := newGatekeeper(t, testSettings())
	if _, s := f.call(0, 0); s != 0 || f.count(Refuse) != 1 {
		t.Error("a call without servers must be refused at once")
	}
}

// Lost set-ups must not gate a server: a later one that was answered proves them lost (incident i03d8bc).
func TestLostSetupIsNoWait(t *testing.T) {
	f := warmGatekeeper(t)
	f.do(List{Delta: true, Entries: []Entry{{Server: 20, Cell: two[1].Cell, State: Draining}}}) // the other may not help out
	lost, s := f.call(0, 0)
	f.pass(2e5)
	id, s2 := f.call(0, 0)
	if s != 10 || s2 != 10 {
		t.Fatalf("went to %d and %d", s, s2)
	}
	f.answer(id, 10, 5e4)
	f.pass(6e5)
	if l := f.c.find(10).level; l != 0 {
		t.Errorf("level %d after one lost set-up", l)
	}
	if f.count(Cancel) != 1 {
		t.Fatalf("%d cancels of the lost set-up, want 1", f.count(Cancel))
	}
	f.do(AttemptEnded{ID: lost, Server: 10, Code: Cancelled})
	at := f.now
	f.acts = nil
	f.pass(1e6)
	if f.count(Send) != 1 {
		t.Errorf("%d resends after the guard, want 1", f.count(Send))
	}
	if f.now-at < f.c.set.ReleaseGuard {
		t.Error("resent within the release guard")
	}
}

// With many set-ups lost by chance, one without an answer proves nothing (incident i03d8bc).
func TestWitnessesFollowLoss(t *testing.T) {
	c := New(testSettings(), 1)
	if n := c.witnesses(); n != 1 {
		t.Errorf("%d witnesses without loss", n)
	}
	c.lossRate = 0.25
	if n := c.witnesses(); n != 3 {
		t.Errorf("%d witnesses at a quarter lost", n)
	}
}

// A server that answers nothing while listed ready is gated by the age of its set-ups, and they go elsewhere.
func TestSilentServerIsGated(t *testing.T) {
	f := warmGatekeeper(t) // signs of life are due
	silent, s := f.call(0, 0)
	if s != 10 {
		t.Fatalf("went to %d", s)
	}
	f.pass(9.5e5)
	if l := f.c.find(10).level; l < gateLevel {
		t.Errorf("level %d with a set-up unanswered for long", l)
	}
	if _, s := f.call(0, 0); s != 20 {
		t.Errorf("next call went to %d", s)
	}
	if f.count(Cancel) != 1 {
		t.Fatalf("set-up %s was not called off", silent)
	}
}

func TestFullGatesAndNoAgentPassesOver(t *testing.T) {
	f := newGatekeeper(t, testSettings())
	f.servers(two...)
	id, _ := f.call(0, 0)
	acts := f.do(AttemptEnded{ID: id, Server: 10, Code: Full, Reason: NoAgent})
	if f.c.find(10).level != 0 || acts[0].Kind != Send || acts[0].Server != 20 {
		t.Errorf("no agent: level %d, %v", f.c.find(10).level, acts)
	}
	f.do(CallEstablished{ID: id, Attempt: 1, Server: 20, Elapsed: 5e4})
	id, _ = f.call(0, 0)
	acts = f.do(AttemptEnded{ID: id, Server: 10, Code: Full, Reason: ProcessorFull})
	if f.c.find(10).level < gateLevel {
		t.Error("processor full did not gate")
	}
	sent := false
	for _, a := range acts {
		sent = sent || a.Kind == Send && a.Server == 20
	}
	if !sent {
		t.Errorf("processor full: no second choice in %v", acts)
	}
}

func TestMissingValuesAreNotIdleness(t *testing.T) {
	f := newGatekeeper(t, testSettings())
	f.servers(two...)
	f.report(10, 900)
	f.report(10, 900)
	was := f.c.find(10).wait
	f.report(10, -1)
	f.do(AttemptEnded{ID: "old", Server: 10, Code: OK, Settled: true})
	if f.c.find(10).wait != was {
		t.Error("a missing value moved the wait")
	}
}

// The silent fall is one step, never faster than the design page's floor of 0.5 s.
func TestSilentFallIsStepped(t *testing.T) {
	f := newGatekeeper(t, testSettings())
	f.servers(two...)
	f.call(0, 1) // keeps the clock going
	f.report(10, 5000)
	last, at := f.c.find(10).level, f.now
	if last != topLevel {
		t.Fatalf("level %d", last)
	}
	for range 100 {
		f.pass(5e4)
		if l := f.c.find(10).level; l != last {
			if last-l != 1 || f.now-at < 5e5 {
				t.Errorf("fell from %d to %d in %d us", last, l, f.now-at)
			}
			last, at = l, f.now
		}
	}
	if last != 0 {
		t.Errorf("still at level %d", last)
	}
}

// Fronts that have just left a gate all at once send a small part of their calls, and one in doubt at most: one
// set-up each would fill the queue again where there are hundreds of fronts (standard day big-1 of asra-call-hub-later).
func TestReentryIsGraded(t *testing.T) {
	const fronts = 300
	sent, most := 0, 0
	set := testSettings()
	set.Gatekeepers = fronts
	for i := range fronts {
		f := &gatekeeper{t: t, c: New(set, uint64(i)), now: 1e9}
		f.servers(two[0])
		f.report(10, 900)
		f.report(10, 0)
		f.report(10, 0)
		n := 0
		for range 4 {
			if _, s := f.call(0, 0); s != 0 {
				n++
			}
		}
		sent, most = sent+n, max(most, n)
	}
	if sent == 0 || sent > fronts*2/3 || most > 2 {
		t.Errorf("%d of %d set-ups sent just after the gate, %d by one front", sent, 4*fronts, most)
	}
}

// Set-ups out are bounded before any answer tells of a wait (colombo overload: 5 s gated after a drain).
func TestRoomBoundsSetupsOut(t *testing.T) {
	f := newGatekeeper(t, testSettings())
	f.servers(two[0])
	sent := 0
	for range 50 {
		if _, s := f.call(0, 0); s != 0 {
			sent++
		}
	}
	if sent > 5 {
		t.Errorf("%d set-ups sent at once to a server never heard of", sent)
	}
}

func TestThinningSparesDearCalls(t *testing.T) {
	f := newGatekeeper(t, testSettings())
	f.servers(two...)
	for i := range 200 {
		id, s := f.call(min(1, i%10/9), i%2)
		f.answer(id, s, 5e4)
	}
	for _, s := range f.c.servers {
		s.shed, s.waitAtTick = 0.6, 0
	}
	kept := [2]int{}
	for i := range 100 {
		k := &call{Call: Call{Class: i % 2}}
		k.worth = f.c.worthOf(k)
		if f.c.route(k) != nil {
			kept[i%2]++
		}
	}
	if kept[1] != 50 || kept[0] == 0 || kept[0] > 35 {
		t.Errorf("thinned by 0.6: kept %d of 50 cheap and %d of 50 dear calls", kept[0], kept[1])
	}
}

func TestBusyNumberAndTenantLoseWorth(t *testing.T) {
	set := testSettings()
	set.Tenants = []Tenant{{QuotaPerS: 50}, {QuotaPerS: 50}}
	f := newGatekeeper(t, set)
	f.servers(two...)
	f.do(Call{ID: "a", Key: "busy", Deadline: f.now + 3e6})
	f.do(AttemptEnded{ID: "a", Server: 10, Code: Failed, Reason: LinesBusy})
	if f.count(Refuse) != 1 {
		t.Error("a busy number is final")
	}
	f.do(BusyNumber{Key: "told", At: f.now - 4e6}) // by the fleet
	f.do(BusyNumber{Key: "busy", At: f.now - 4e6}) // older than what is known here
	if !f.c.isBusy("told") || !f.c.isBusy("busy") {
		t.Error("a number that the fleet holds to be busy is not")
	}
	f.now += 2e6
	if f.c.now = f.now; f.c.isBusy("told") || !f.c.isBusy("busy") {
		t.Error("it counts from the answer that said so")
	}
	f.now -= 2e6
	f.c.now = f.now
	plain := f.c.worthOf(&call{Call: Call{Key: "other", Tenant: 1}})
	if w := f.c.worthOf(&call{Call: Call{Key: "busy", Tenant: 1}}); w >= plain/2 {
		t.Errorf("busy number worth %v of %v", w, plain)
	}
	for range 50 {
		f.c.countArrival(&call{Call: Call{Tenant: 0}})
	}
	if w := f.c.worthOf(&call{Call: Call{Tenant: 0}}); w >= plain*0.8 {
		t.Errorf("tenant far over its share worth %v of %v", w, plain)
	}
	for range 5 { // ten calls in a hundred, by a tenant whose share is half
		f.c.countArrival(&call{Call: Call{Tenant: 1}})
	}
	if w := f.c.worthOf(&call{Call: Call{Tenant: 1}}); w < plain {
		t.Errorf("tenant inside its share worth %v of %v", w, plain)
	}
}

func TestListChanges(t *testing.T) {
	for _, row := range []struct {
		name string
		list List
		want uint32 // where a call for cell 0 goes next
	}{
		{"drains", List{Delta: true, Entries: []Entry{{Server: 10, Cell: 0, State: Draining}}}, 20},
		{"gone", List{Delta: true, Entries: []Entry{{Server: 10, State: Gone}}}, 20},
		{"missing from a full list", List{Entries: two[1:]}, 20},
		{"failed call keeps the list", List{Failed: true}, 10},
		{"unknown server gone", List{Delta: true, Entries: []Entry{{Server: 99, State: Gone}}}, 10},
		{"cell of a new server", List{Delta: true, Entries: []Entry{{Server: 10, State: Gone},
			{Server: 30, Cell: 0, State: Ready}}}, 30},
	} {
		t.Run(row.name, func(t *testing.T) {
			f := newGatekeeper(t, testSettings())
			f.servers(two...)
			f.do(row.list)
			if _, s := f.call(0, 0); s != row.want {
				t.Errorf("went to %d, want %d", s, row.want)
			}
		})
	}
}

func TestRestartForgetsOldProcessor(t *testing.T) {
	f := newGatekeeper(t, testSettings())
	f.servers(two...)
	f.report(10, 5000)
	f.do(List{Delta: true, Entries: []Entry{{Server: 10, Cell: 0, State: Ready, Since: f.now - 1e6}}})
	s := f.c.find(10)
	if s.level != 0 || !f.c.cold(s) || s.wait != 0 {
		t.Errorf("level %d, cold %v, wait %v after a restart", s.level, f.c.cold(s), s.wait)
	}
}

// The log says of each process of a server that it is cold, also where something was logged of the former one just before: a
// server that was lost while it was gated starts again within the interval between two lines.
func TestColdStartIsLoggedAfterAGate(t *testing.T) {
	f := newGatekeeper(t, testSettings())
	f.servers(two...)
	f.report(10, 5000)
	if n := f.notes("server 10 gated"); n != 1 {
		t.Fatalf("gated %d times", n)
	}
	f.pass(noteInterval / 2)
	f.do(List{Delta: true, Entries: []Entry{{Server: 10, Cell: 0, State: Ready, Since: f.now - 1e5}}})
	if n := f.notes("server 10 is cold"); n != 1 {
		t.Errorf("logged %d times that it is cold, want once", n)
	}
	f.do(List{Delta: true, Entries: []Entry{{Server: 10, Cell: 0, State: Ready, Since: f.now - 1e5}}})
	if n := f.notes("server 10 is cold"); n != 1 {
		t.Errorf("logged %d times for one process, want once", n)
	}
}

// A pool told to have few free agents gets few second choices, and is still tried: when all fronts passed it over until
// the next telling, a second later, its processor and agents idled every other second (hunt day h0182d3).
func TestFewAgentsTakeFewSecondChoices(t *testing.T) {
	taken := 0
	for seed := range uint64(400) {
		f := &gatekeeper{t: t, c: New(testSettings(), seed), now: 1e9}
		f.servers(two...)
		f.do(Status{Server: 10, Code: OK, Report: []float64{1, 100, -1}})
		f.do(Status{Server: 20, Code: OK, Report: []float64{60, 100, -1}})
		if _, s := f.call(1, 9); s == 10 {
			taken++
		}
	}
	if taken == 0 || taken > 60 {
		t.Errorf("%d of 400 second choices went to a pool with one agent in a hundred left", taken)
	}
}

func TestUnknownClassIsSafe(t *testing.T) {
	f := newGatekeeper(t, testSettings())
	f.servers(two...)
	id, _ := f.call(9, 0)
	f.do(AttemptEnded{ID: id, Server: 10, Code: Full, Reason: NoAgent})
	f.do(AttemptEnded{ID: id, Attempt: 1, Server: 20, Code: TimedOut})
	if f.count(Fail) != 1 {
		t.Error("a call of an unknown class that may have run must end as failed")
	}
}

// Use of the processor has the design page's ladder: levels 1 and 2 set in at 0.85 and 0.95 and abate at 0.75 and 0.85.
func TestUseLadder(t *testing.T) {
	set := testSettings()
	set.Report = []Field{Busy}
	for _, row := range []struct {
		use  []float64
		want int
	}{
		{[]float64{0.8}, 0}, {[]float64{0.86}, 1}, {[]float64{0.96}, 2}, {[]float64{0.96, 0.9}, 2},
		{[]float64{0.96, 0.84}, 1}, {[]float64{0.86, 0.8}, 1}, {[]float64{0.96, 0.7}, 0}, {[]float64{0.9, -1}, 1},
	} {
		f := newGatekeeper(t, set)
		f.servers(two...)
		for _, v := range row.use {
			f.do(AttemptEnded{ID: "old", Server: 10, Code: OK, Settled: true, Report: []float64{v}})
		}
		if l := f.c.find(10).level; l != row.want {
			t.Errorf("use %v: level %d, want %d", row.use, l, row.want)
		}
	}
}

// Guards against an old report that outweighs newer delays: each message repeats the figures of the last measurement, and
// an idle server's of a while ago emptied the estimate of a wait seen since.
func TestRepeatedReportIsNoNewSight(t *testing.T) {
	set := testSettings()
	set.Report = []Field{Spare, Total, Busy, Queue}
	f := newGatekeeper(t, set)
	f.servers(two...)
	s := f.c.find(10)
	told := func(busy, queue float64) {
		f.do(AttemptEnded{ID: "old", Server: 10, Code: OK, Settled: true, Report: []float64{50, 100, busy, queue}})
	}
	told(0.4, 2)
	f.c.observeWait(s, 1e5)
	want := s.wait
	for range 3 {
		told(0.4, 2)
	}
	if s.wait != want || s.spare != 50 {
		t.Errorf("wait %.0f us after a repeated report, want %.0f; %.0f free agents", s.wait, want, s.spare)
	}
	if told(0.4, 0); s.wait >= want {
		t.Errorf("wait %.0f us after a new report of no queue, it was %.0f", s.wait, want)
	}
}

// Guards against a short gate, as one noisy report makes it, costing seconds of refusals: a server just out of it gets
// most of the calls again, and not all at once.
func TestServerOutOfTheGateTakesMostCalls(t *testing.T) {
	set := testSettings()
	set.Report, set.Gatekeepers = []Field{Busy}, 8
	f := newGatekeeper(t, set)
	f.servers(two...)
	for _, v := range []float64{1, 0.5} {
		f.do(AttemptEnded{ID: "old", Server: 10, Code: OK, Settled: true, Report: []float64{v}})
	}
	if s := f.c.find(10); s.level != 0 || s.shed < 0.2 || s.shed > 0.5 {
		t.Errorf("level %d, thinned part %.2f just out of the gate", s.level, s.shed)
	}
}

// Guards against a gatekeeper that refuses calls just after its start, when its own rates say nothing yet: a few set-ups
// may be out at each server, of the second choice too. Later the room is what its rates bring.
func TestYoungFrontHasRoom(t *testing.T) {
	f := &gatekeeper{t: t, c: New(testSettings(), 1), now: 1e9}
	f.do(Start{})
	f.servers(two...)
	f.c.bestRate = 0.01 // from a first answer
	sent := 0
	for range 12 {
		if _, s := f.call(0, 0); s != 0 {
			sent++
		}
	}
	if sent < 6 || sent > 10 {
		t.Errorf("%d set-ups sent at once by a front that has just started, want a few at each server", sent)
	}
	g := &gatekeeper{t: t, c: New(testSettings(), 1), now: 1e9}
	g.do(Start{})
	g.servers(two...)
	g.pass(2 * startTime)
	g.do(Timer{"tick"})
	if n := g.c.inFlightLimit(g.c.find(10)); n != minInFlight {
		t.Errorf("room for %d at a server of which nothing is known, want %d", n, minInFlight)
	}
}

// A set-up lost by chance may go to the same server again: with one server it was called off only to be refused.
func TestLostSetupMayGoToTheSameServer(t *testing.T) {
	f := newGatekeeper(t, testSettings())
	f.servers(two[0])
	lost, _ := f.call(0, 0)
	f.pass(2e5)
	id, _ := f.call(0, 0)
	f.answer(id, 10, 5e4)
	f.pass(1e5)
	f.do(AttemptEnded{ID: lost, Server: 10, Code: Cancelled})
	f.acts = nil
	f.pass(5e5)
	if f.count(Send) != 1 || f.count(Refuse) != 0 {
		t.Errorf("%d sends and %d refusals of a lost set-up", f.count(Send), f.count(Refuse))
	}
}

// Servers that are equal are taken in turn by chance: by their numbers, all fronts would herd to one.
func TestEqualServersAreNotHerdedTo(t *testing.T) {
	f := newGatekeeper(t, testSettings())
	f.servers(Entry{Server: 1, Cell: 1, State: Ready}, Entry{Server: 2, Cell: 2, State: Ready},
		Entry{Server: 3, Cell: 3, State: Ready})
	seen := map[uint32]int{}
	for range 60 {
		seen[f.c.route(&call{Call: Call{FirstChoice: 9}}).id]++
	}
	if len(seen) != 3 {
		t.Errorf("calls without a first choice went to %v", seen)
	}
}

func TestStateIsBounded(t *testing.T) {
	f := newGatekeeper(t, testSettings())
	for i := range 2000 {
		f.servers(Entry{Server: uint32(100 + i), Cell: 0, State: Ready, Since: f.now})
		f.n++
		id := fmt.Sprintf("k%05d", f.n)
		f.do(Call{ID: id, Key: id, Deadline: f.now + 3e6})
		f.pass(5e4)
		f.do(AttemptEnded{ID: id, Server: uint32(100 + i), Code: Failed, Reason: LinesBusy})
	}
	c := f.c
	if len(c.calls) != 0 || len(c.waiting) != 0 || len(c.servers) > 2 || len(c.busyNumbers) > maxBusyNumbers {
		t.Errorf("left: %d calls, %d waiting, %d servers, %d busy numbers", len(c.calls), len(c.waiting),
			len(c.servers), len(c.busyNumbers))
	}
}

// Rule limits of this project: the module's size and its line length.
func TestModuleLimits(t *testing.T) {
	file, err := os.Open("control.go")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	lines, in := 0, bufio.NewScanner(file)
	for n := 1; in.Scan(); n++ {
		text := in.Text()
		if strings.TrimSpace(text) != "" {
			lines++
		}
		if w := len([]rune(strings.ReplaceAll(text, "\t", "    "))); w > 110 {
			t.Errorf("line %d is %d characters wide", n, w)
		}
	}
	if lines == 0 || lines > 950 {
		t.Errorf("%d lines that are not blank, 950 at most", lines)
	}
}
