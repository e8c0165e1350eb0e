package retry

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"beammux/control"
)

// The same steps each time: a verdict must not change from run to run. With -short rapid draws a fifth of the cases, too few for
// the tests that count what they met, so it is asked for five times as many: -short draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "20261201")
	if checks, err := strconv.Atoi(flag.Lookup("rapid.checks").Value.String()); err == nil && testing.Short() {
		flag.Set("rapid.checks", strconv.Itoa(5*checks))
	}
	os.Exit(m.Run())
}

func rules() Rules {
	return Rules{Names: []string{"menu-view", "diet-order", "billing"}, AttemptsCap: 5, ReleaseGuard: 300000, ResendGap: 500000,
		Classes: []control.Class{{Deadline: 9e6, Worth: 1}, {Deadline: 9e6, Worth: 3}, {Deadline: 9e6, Worth: 1, Repeat: control.NonIdempotent}}}
}

func compile(t testing.TB, f File) *Policy {
	t.Helper()
	p, faults := Compile(&f, rules())
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return p
}

func ptr[T any](v T) *T { return &v }

// Each figure comes from the first route that matches, else from the class, the defaults, the settings.
func TestPrecedence(t *testing.T) {
	p := compile(t, File{
		Defaults: Values{Attempts: 3, GiveUp: 8e6},
		Classes:  []ClassValues{{"diet-order", Values{Attempts: 4, AttemptTimeout: 1e6}}},
		Routes: []Route{
			{"wards", Match{Class: "diet-order", Number: "7f3*", FirstChoice: ptr(3), Again: ptr(false)}, Values{AttemptTimeout: 2e6}},
			{"one", Match{Number: "7f3a"}, Values{Attempts: 1}},
		}})
	for _, row := range []struct {
		class    int
		number   string
		first    int
		again    bool
		route    string
		attempts int
		timeout  control.Micros
	}{
		{0, "1", -1, false, "", 3, 0},
		{1, "1", -1, false, "", 4, 1e6},
		{1, "7f3a", 3, false, "wards", 4, 2e6},
		{1, "7f3", 3, false, "wards", 4, 2e6},
		{1, "7f3a", 3, true, "one", 1, 1e6},
		{1, "7f3a", 2, false, "one", 1, 1e6},
		{0, "7f3a", 3, false, "one", 1, 0},
		{1, "7f2a", 3, false, "", 4, 1e6},
		{1, "7f3ab", 2, false, "", 4, 1e6},
	} {
		r := p.Resolve(row.class, row.number, row.first, row.again)
		if r.Name != row.route || r.Limits.Attempts != row.attempts || r.Limits.AttemptTimeout != row.timeout || r.Limits.GiveUp != 8e6 {
			t.Errorf("%+v: route %q, %+v", row, r.Name, r.Limits)
		}
	}
	r := p.Resolve(1, "7f3a", 3, false)
	want := [ParameterCount]string{"calls.classes.diet-order", "calls.routes[0]", FromSettings, FromSettings, "calls.defaults", FromSettings}
	if r.From != want {
		t.Errorf("from %v, want %v", r.From, want)
	}
	if p.For(-1, "1", 0, false) != nil || p.For(3, "1", 0, false) != nil || (*Policy)(nil).For(0, "1", 0, false) != nil {
		t.Error("limits for a class that the settings don't name, or without a policy")
	}
	if once := p.For(2, "1", 0, false); once.RetryOn&control.MayHaveRun != 0 || !once.RetryOn.Has(control.Full) {
		t.Errorf("a class that may not be repeated is tried again on %v", OutcomeNames(once.RetryOn))
	}
}

// The version tells what is in force, not how it is written.
func TestVersion(t *testing.T) {
	a := compile(t, File{Defaults: Values{Attempts: 3}})
	same := compile(t, File{Classes: []ClassValues{{"menu-view", Values{Attempts: 3}}, {"diet-order", Values{Attempts: 3}}, {"billing", Values{Attempts: 3}}}})
	other := compile(t, File{Defaults: Values{Attempts: 3}, Budget: &BudgetConfig{0.2, 1, 10}})
	matched := compile(t, File{Defaults: Values{Attempts: 3}, Routes: []Route{{"r", Match{Number: "1"}, Values{}}}})
	rematched := compile(t, File{Defaults: Values{Attempts: 3}, Routes: []Route{{"r", Match{Number: "2"}, Values{}}}})
	if a.Version() != same.Version() || len(a.Version()) != 16 || (*Policy)(nil).Version() != "none" {
		t.Errorf("%s, %s", a.Version(), same.Version())
	}
	versions := []string{a.Version(), other.Version(), matched.Version(), rematched.Version()}
	if slices.Sort(versions); len(slices.Compact(versions)) != 4 {
		t.Errorf("versions %v are not four", versions)
	}
}

// span bounds the figures that are drawn.
type span struct{ least, most Values }

var (
	anyFigures = span{Values{1, 1, 1, 1, 1, 1}, Values{6, 4000, 500, 300, 9500, 1 << 8}}
	// Most files of these are good, with some that are just not.
	likelyGood = span{Values{1, 50, 250, 1, 7000, int64(control.Retryable &^ control.MayHaveRun)},
		Values{4, 2200, 500, 300, 9000, int64(control.Retryable &^ control.MayHaveRun)}}
)

func genValues(t *rapid.T, label string, in span) (v Values) {
	for f, most := range in.most {
		if rapid.IntRange(0, 2).Draw(t, label+" sets "+Parameter(f).String()) == 0 {
			continue
		}
		v[f] = rapid.Int64Range(in.least[f], most).Draw(t, label)
		switch Parameter(f) {
		case Attempts:
		case RetryOn:
			v[f] &= int64(control.Retryable)
		default:
			v[f] *= 1000
		}
	}
	return v
}

func genFile(t *rapid.T, in span) *File {
	f := &File{Defaults: genValues(t, "defaults", in), SecondCopies: rapid.IntRange(0, 9).Draw(t, "copies") == 0}
	for _, name := range rules().Names {
		if rapid.Bool().Draw(t, name) {
			f.Classes = append(f.Classes, ClassValues{name, genValues(t, name, in)})
			if v := &f.Classes[len(f.Classes)-1].Values; in == likelyGood && name != "billing" && rapid.Bool().Draw(t, "may run") {
				v[RetryOn] = int64(control.Retryable)
			}
		}
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "routes") {
		m := Match{Class: rapid.SampledFrom(append(rules().Names, "")).Draw(t, "class"),
			Number: rapid.SampledFrom([]string{"", "7*", "73*", "73", "8"}).Draw(t, "number")}
		if rapid.Bool().Draw(t, "cell") {
			m.FirstChoice = ptr(rapid.IntRange(0, 1).Draw(t, "cell"))
		}
		if rapid.Bool().Draw(t, "cut") {
			m.Again = ptr(rapid.Bool().Draw(t, "again"))
		}
		f.Routes = append(f.Routes, Route{fmt.Sprint("r", i), m, genValues(t, "route", in)})
	}
	return f
}

// walk plays one call by its limits as the module does, with ends, times and jitter drawn at random, and gives the first
// rule that is broken. It shares nothing with the proof: the limits are taken at their word.
func walk(t *rapid.T, r *Resolved, u Rules) string {
	l, class := r.Limits, u.Classes[r.Class]
	if l.Attempts > u.AttemptsCap {
		return "attempts"
	}
	if l.GiveUp > class.Deadline || l.AttemptTimeout > l.GiveUp {
		return "outlasts"
	}
	ran := false
	for now, n := control.Micros(0), 1; ; n++ {
		most := l.GiveUp - now
		if l.AttemptTimeout > 0 {
			if most < min(u.ResendGap, l.AttemptTimeout) {
				return "no time"
			}
			most = min(most, l.AttemptTimeout)
		} else if most < u.ResendGap {
			return ""
		}
		code := rapid.SampledFrom(ends).Draw(t, "end")
		took := most
		if code != control.TimedOut {
			took = control.Micros(rapid.Int64Range(0, int64(most)).Draw(t, "took"))
		}
		now += took + control.Micros(rapid.Int64Range(0, int64(SocketSlack)).Draw(t, "late"))
		ran = ran || control.MayHaveRun.Has(code)
		if n >= l.Attempts || !l.RetryOn.Has(code) || code == control.TimedOut && l.AttemptTimeout == 0 {
			return ""
		}
		if ran && class.Repeat != control.Idempotent {
			return "repeated"
		}
		wait := l.Wait + control.Micros(rapid.Int64Range(0, int64(l.Jitter)).Draw(t, "jitter"))
		if l.Wait == 0 && control.Guarded.Has(code) {
			wait = max(wait, u.ReleaseGuard)
		}
		if control.Guarded.Has(code) && wait < u.ReleaseGuard {
			return "too soon"
		}
		now += wait + control.Micros(rapid.Int64Range(0, int64(TickSlack)).Draw(t, "tick"))
	}
}

// For random files that load takes, no random course breaks a rule.
func TestGoodFilesBreakNoRule(t *testing.T) {
	good := 0
	rapid.Check(t, func(t *rapid.T) {
		p, faults := Compile(genFile(t, likelyGood), rules())
		if len(faults) > 0 {
			return
		}
		good++
		for _, r := range p.All() {
			for range 20 {
				if broken := walk(t, r, rules()); broken != "" {
					t.Fatalf("%s: %s, limits %+v", broken, p.rules.who(r), r.Limits)
				}
			}
		}
	})
	t.Logf("%d good files", good)
	if good < 20 {
		t.Errorf("only %d good files: nothing was tested", good)
	}
}

// For random files under which some course breaks a rule, load refuses; and what it refuses names a figure of the file.
func TestBadFilesAreRefused(t *testing.T) {
	bad := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		f := genFile(t, anyFigures)
		_, faults := Compile(f, rules())
		for _, fault := range faults {
			if !strings.HasPrefix(fault.Path, "calls.") || strings.HasPrefix(fault.Path, FromSettings) || fault.What == "" {
				t.Fatalf("%+v", fault)
			}
		}
		if f.SecondCopies {
			bad["copies"]++
			if len(faults) == 0 {
				t.Fatal("second copies were taken")
			}
			return
		}
		p := &Policy{file: *f, rules: rules()}
		for class := range p.rules.Classes {
			for route := -1; route < len(f.Routes); route++ {
				if route >= 0 && f.Routes[route].Class != "" && f.Routes[route].Class != p.rules.Names[class] {
					continue
				}
				r := p.resolve(class, route)
				for range 10 {
					if broken := walk(t, r, rules()); broken != "" {
						bad[broken]++
						if len(faults) == 0 {
							t.Fatalf("taken, though %s: %+v", broken, r.Limits)
						}
					}
				}
			}
		}
	})
	t.Log(bad)
	for _, rule := range []string{"copies", "attempts", "outlasts", "no time", "too soon", "repeated"} {
		if bad[rule] == 0 {
			t.Errorf("no file broke the rule %q: it was not tested", rule)
		}
	}
}

// A route is refused just when no call gets to it.
func TestCoveredRoutes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := genFile(t, anyFigures)
		p := &Policy{file: *f, rules: rules()}
		refused := map[string]bool{}
		for _, fault := range p.covered() {
			refused[fault.Path] = true
		}
		matchers := make([]matcher, len(f.Routes))
		for i, r := range f.Routes {
			matchers[i] = newMatcher(r.Match)
		}
		reached := map[int]bool{}
		for _, class := range p.rules.Names {
			for _, number := range []string{"", "1", "7", "71", "73", "731", "8", "81"} {
				for cell := range 3 {
					for again := range int8(2) {
						if i := slices.IndexFunc(f.Routes, func(r Route) bool {
							m := newMatcher(r.Match)
							return (r.Class == "" || r.Class == class) && m.takes(number, cell, again)
						}); i >= 0 {
							reached[i] = true
						}
					}
				}
			}
		}
		for i := range f.Routes {
			if path := fmt.Sprintf("calls.routes[%d]", i); refused[path] == reached[i] {
				t.Fatalf("%s: refused %t, reached %t: %v", path, refused[path], reached[i], f.Routes)
			}
		}
	})
}

// Over any run of calls, the budget keeps to its window, never sends more at once than its burst, and always gives the
// least that it promises to the dearest class.
func TestBudgetKeepsToItsWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := BudgetConfig{Ratio: float64(rapid.IntRange(1, 10).Draw(t, "tenths")) / 10,
			MinPerS: rapid.IntRange(1, 3).Draw(t, "least"), Burst: rapid.IntRange(1, 20).Draw(t, "burst")}
		b := NewBudget(f, rules().Classes)
		type event struct {
			slot  int64
			again bool
		}
		var past []event
		now := control.Micros(1e12)
		within := func() (first, again int) {
			for _, e := range past {
				if e.slot > int64(now/slotSpan)-windowSlots {
					if e.again {
						again++
					} else {
						first++
					}
				}
			}
			return first, again
		}
		atOnce := 0
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			if span := rapid.SampledFrom([]control.Micros{0, 0, 0, 1000, 50000, 1e6, 12e6}).Draw(t, "span"); span > 0 {
				now += span
				atOnce = 0
			}
			class := rapid.IntRange(0, 2).Draw(t, "class")
			if rapid.IntRange(0, 3).Draw(t, "first") > 0 {
				b.First(now, class)
				past = append(past, event{int64(now / slotSpan), false})
				continue
			}
			if !b.Take(now, class) {
				continue
			}
			past = append(past, event{int64(now / slotSpan), true})
			first, again := within()
			if most := max(f.Ratio*float64(first), 10*float64(f.MinPerS)); float64(again) > most {
				t.Fatalf("%d further attempts in the window, %g allowed after %d first ones", again, most, first)
			}
			if atOnce++; atOnce > f.Burst {
				t.Fatalf("%d at once, burst %d", atOnce, f.Burst)
			}
		}
	})
}

// A budget drained by one class still has what dearer calls brought into it.
func TestDearerCallsGoLast(t *testing.T) {
	b := NewBudget(BudgetConfig{Ratio: 0.2, MinPerS: 1, Burst: 1000}, rules().Classes)
	now := control.Micros(1e12)
	for i := range 1000 { // a fifth of them diet-order: 200 further attempts in all, 40 of them earned by these
		b.First(now, i%5/4)
	}
	now += 9e6
	cheap, dear := 0, 0
	for b.Take(now, 0) {
		cheap++
	}
	for b.Take(now, 1) {
		dear++
	}
	if cheap != 160 || dear != 40 {
		t.Errorf("%d cheap and %d dear further attempts, want 160 and 40", cheap, dear)
	}
	b = NewBudget(BudgetConfig{Ratio: 0.2, MinPerS: 1, Burst: 1000}, rules().Classes)
	for i := range 1000 {
		b.First(now, i%5/4)
	}
	for dear = 0; b.Take(now, 1); dear++ {
	}
	if dear != 200 {
		t.Errorf("diet-order calls alone got %d of 200", dear)
	}
	if b.Take(now, -1) || b.Take(now, 9) {
		t.Error("a class that the settings don't name got a further attempt")
	}
}

// A clock that steps back brings no new budget and takes none away for good; one that steps ahead empties the window.
func TestBudgetOverClockSteps(t *testing.T) {
	for _, step := range []control.Micros{-3600e6, 3600e6} {
		b := NewBudget(BudgetConfig{Ratio: 0.5, MinPerS: 1, Burst: 5}, rules().Classes)
		now := control.Micros(1e13)
		for range 5 {
			b.First(now, 0)
			if !b.Take(now, 0) {
				t.Fatal("the bucket was not full")
			}
		}
		now += step
		if got := b.Take(now, 0); got != (step > 0) {
			t.Errorf("after a step of %d s a further attempt is allowed: %t", step/1e6, got)
		}
		taken := 0
		for range 20 { // 20 s go by
			now += 1e6
			for b.Take(now, 0) {
				taken++
			}
		}
		if taken < 18 || taken > 25 {
			t.Errorf("after a step of %d s, %d further attempts in 20 s at 1 a second and a burst of 5", step/1e6, taken)
		}
	}
}

// A reload goes on with the counts.
func TestAdopt(t *testing.T) {
	old := compile(t, File{Budget: &BudgetConfig{0.2, 1, 2}})
	now := control.Micros(1e12)
	for old.budget.Take(now, 1) {
	}
	young := compile(t, File{Budget: &BudgetConfig{0.2, 1, 100}})
	young.InheritCounts(old)
	if young.budget.Take(now, 1) {
		t.Error("a reload filled the bucket")
	}
	compile(t, File{}).InheritCounts(old)
	(*Policy)(nil).InheritCounts(old)
	young.InheritCounts(nil)
}

func TestDiff(t *testing.T) {
	a := compile(t, File{Defaults: Values{Attempts: 3}, Routes: []Route{{"gone", Match{Number: "1"}, Values{Attempts: 2}},
		{"x", Match{Number: "2"}, Values{}}, {"y", Match{Number: "3"}, Values{}}}})
	b := compile(t, File{Defaults: Values{Attempts: 3}, Classes: []ClassValues{{"diet-order", Values{Attempts: 4}}},
		Routes: []Route{{"y", Match{Number: "3*"}, Values{}}, {"x", Match{Number: "2"}, Values{}}}, Budget: &BudgetConfig{0.1, 1, 10}})
	if d := Diff(a, a, rules()); len(d) != 0 {
		t.Errorf("a file differs from itself: %v", d)
	}
	got := Diff(a, b, rules())
	for _, want := range []Change{
		{"", "", "budget", "none", "further attempts at most 0.1 of first ones over 10 s, at least 1/s, 10 at once"},
		{"diet-order", "", "attempts", "3", "4"}, {"diet-order", "gone", "match", "number 1", ""},
		{"diet-order", "gone", "attempts", "2", "4"}, {"menu-view", "y", "match", "number 3", "number 3*"},
		{"menu-view", "", "order", "x, y", "y, x"}, {"diet-order", "x", "attempts", "3", "4"},
	} {
		if !slices.Contains(got, want) {
			t.Errorf("%+v is missing from %v", want, got)
		}
	}
	if d := Diff(nil, a, rules()); !slices.Contains(d, Change{"menu-view", "", "attempts", "5", "3"}) {
		t.Errorf("against no section: %v", d)
	}
}

// The worst course is the longest there is.
func TestWorstCourse(t *testing.T) {
	p := compile(t, File{Defaults: Values{Attempts: 3, AttemptTimeout: 2e6, RetryWait: 300000, RetryJitter: 100000}})
	want := "attempt 1 at 0 timed_out at 2050, attempt 2 at 2500 timed_out at 4550, attempt 3 at 5000 timed_out at 7050"
	if got := p.Worst(p.plain[0]).String(); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

func routes200() File {
	f := File{}
	for i := range 200 {
		f.Routes = append(f.Routes, Route{fmt.Sprint("ward ", i), Match{Number: fmt.Sprintf("7f%03d*", i), FirstChoice: ptr(i % 4)}, Values{Attempts: 2}})
	}
	return f
}

// Resolving costs a call nothing that the collector must clear.
func TestResolveDoesNotAllocate(t *testing.T) {
	p := compile(t, routes200())
	if n := testing.AllocsPerRun(100, func() { p.For(1, "7f199a", 3, false) }); n != 0 {
		t.Errorf("%g allocations", n)
	}
}

func BenchmarkResolve200Routes(b *testing.B) {
	p := compile(b, routes200())
	for name, number := range map[string]string{"last": "7f199a", "none": "8"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				p.For(1, number, 3, false)
			}
		})
	}
}

func BenchmarkBudget(b *testing.B) {
	budget := NewBudget(BudgetConfig{0.2, 1, 10}, rules().Classes)
	now := control.Micros(1e12)
	b.ReportAllocs()
	for b.Loop() {
		now += 5000
		budget.First(now, 0)
		budget.Take(now, 1)
	}
}

func BenchmarkCompile200Routes(b *testing.B) {
	f := routes200()
	for b.Loop() {
		compile(b, f)
	}
}
