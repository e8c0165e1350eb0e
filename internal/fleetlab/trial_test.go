package fleetlab

import (
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/semaphore"

	"beammux/control"
	"beammux/internal/fleetcheck"
	"beammux/internal/fleetlab/script"
	"beammux/internal/history"
)

// How often fleets are played. A play in which the machine held threads up for longer than the gatekeepers' figures count on
// (fleetcheck.Disturbance) does not show that the fleet is wrong, whatever failed; it is played again, alone, and what has failed
// must hold in a further play. What failed in all of them has failed. A play that was not disturbed, or that broke a rule which
// holds whatever the machine does, is final.
const (
	maxRuns           = 3                // of one script
	maxRepeats        = 8                // plays beyond the first of each script, over all tests of the process
	maxParallelFleets = 3                // larger fleets, that is of six processes with their servers and callers
	repeatReserve     = 40 * time.Second // of the test's time, beside the length of the script
	calmDuration      = 2 * time.Second
	maxTimerDelay     = 50 * time.Millisecond
	calmTimeout       = 15 * time.Second
)

var (
	fleetSlots = semaphore.NewWeighted(maxParallelFleets)
	repeats    atomic.Int32
)

// timeBoundRules are the rules that say by when something has happened. All others hold however late a process is.
var timeBoundRules = []string{fleetcheck.RuleFinal, fleetcheck.RuleGiven, fleetcheck.RuleRates, fleetcheck.RuleVerdicts, "records: " + history.RuleAnswer}

// verdict is what one play came to.
type verdict struct {
	failures    map[string]string // what, by the rule or by the line of the judge that asks for it; empty: it held
	final       bool              // something of it must hold whatever the machine does
	aborted     bool              // the judge could not go on to all that it asks for
	disturbance fleetcheck.Disturbance
}

// runUntilConclusive plays until a play is final or all that has failed has held in a further play, at most so often, and gives what is left.
func runUntilConclusive(limit int, run func(number int) verdict, mayRepeat func() bool) map[string]string {
	var left map[string]string // nil: no play was judged in full
	for number := 1; ; number++ {
		v := run(number)
		if len(v.failures) == 0 || v.final || v.disturbance.Count == 0 {
			return v.failures
		}
		switch {
		case v.aborted:
		case left == nil:
			left = v.failures
		default:
			maps.DeleteFunc(left, func(what, _ string) bool { return v.failures[what] == "" })
		}
		if left != nil && len(left) == 0 {
			return nil
		}
		if number == limit || !mayRepeat() {
			if left == nil {
				return v.failures
			}
			return left
		}
	}
}

// requireHeld plays a script and says that every rule held, and what judge says of it. It is for scripts that a busy machine can keep
// from showing anything.
func requireHeld(t *testing.T, text string, judge func(t *trial, sum *Summary)) {
	t.Helper()
	s := parse(t, text)
	mayRepeat := func() bool {
		deadline, ok := t.Deadline()
		return repeats.Add(1) <= maxRepeats && (!ok || time.Until(deadline) > time.Duration(s.Length)+repeatReserve)
	}
	failures := runUntilConclusive(maxRuns, func(number int) verdict {
		weight := int64(1)
		if number > 1 {
			weight = maxParallelFleets
		}
		if err := fleetSlots.Acquire(t.Context(), weight); err != nil {
			t.Fatal(err)
		}
		defer fleetSlots.Release(weight)
		if number > 1 {
			awaitCalm()
		}
		sum := run(t, s)
		v := evaluate(sum, judge)
		if len(v.failures) > 0 {
			t.Logf("play %d: disturbed %d times, by up to %d ms (%s): %s", number, v.disturbance.Count, v.disturbance.Longest/1000,
				v.disturbance.Process, strings.Join(slices.Sorted(maps.Values(v.failures)), "; "))
		}
		return v
	}, mayRepeat)
	for what, text := range failures {
		t.Errorf("%s: %s", what, text)
	}
}

// awaitCalm returns once no timer has been late by half of what disturbs a play for a while, or after calmWithin.
func awaitCalm() {
	const pace = 5 * time.Millisecond
	calm := time.Now()
	for end := calm.Add(calmTimeout); time.Now().Before(end) && time.Since(calm) < calmDuration; {
		began := time.Now()
		time.Sleep(pace)
		if time.Since(began)-pace >= maxTimerDelay {
			calm = time.Now()
		}
	}
}

// evaluate gives the verdict on a run.
func evaluate(sum *Summary, judge func(t *trial, sum *Summary)) verdict {
	t := &trial{verdict{failures: map[string]string{}, disturbance: sum.Disturbance}}
	t.run(func() { judge(t, sum) })
	for _, f := range sum.Findings {
		if f.Verdict == history.Broken {
			t.final = t.final || !slices.Contains(timeBoundRules, f.Rule)
			t.failures[f.Rule] = fmt.Sprintf("broken %d times, %v", f.Count, f.Evidence)
		}
	}
	return t.verdict
}

// trial takes what a judge asks for. A requirement that fails does not end the judge: what comes after it is asked for too.
type trial struct{ verdict }

// run runs a judge. One that can't go on after what has failed, as where it needs an element that is missing, is halted.
func (t *trial) run(judge func()) {
	defer func() {
		if r := recover(); r != nil {
			t.aborted = true
			t.failures["the judge"] = fmt.Sprint(r)
		}
	}()
	judge()
}

// Errorf takes what testify says: where, then what.
func (t *trial) Errorf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	where, what, _ := strings.Cut(text, "Error:")
	if fields := strings.Fields(where); len(fields) > 2 { // "Error Trace:", and the line that asks
		where = filepath.Base(fields[2])
	}
	t.failures[where] = strings.Join(strings.Fields(what), " ")
}

// FailNow implements require.TestingT.
func (t *trial) FailNow() {}

// always is for what must hold whatever the machine does: a play in which it does not is final.
func (t *trial) always() require.TestingT { return always{t} }

type always struct{ *trial }

func (t always) FailNow() { t.final = true }

// A broken program fails however the machine disturbs its plays: only what failed in a disturbed play is looked at again, and
// what holds in no play has failed.
func TestABrokenProgramFailsUnderDisturbance(t *testing.T) {
	bad := func(what ...string) verdict {
		v := verdict{failures: map[string]string{}}
		for _, w := range what {
			v.failures[w] = "58 is not greater than 60"
		}
		return v
	}
	disturbed := func(v verdict) verdict {
		v.disturbance = fleetcheck.Disturbance{Count: 1, Longest: 150_000, Process: "g1"}
		return v
	}
	final := disturbed(bad("a"))
	final.final = true
	aborted := disturbed(bad("the judge"))
	aborted.aborted = true
	for name, row := range map[string]struct {
		plays []verdict
		want  int // plays
		fails []string
	}{
		"holds":                        {[]verdict{{}}, 1, nil},
		"holds though disturbed":       {[]verdict{disturbed(bad())}, 1, nil},
		"fails, nothing disturbed it":  {[]verdict{bad("a"), {}}, 1, []string{"a"}},
		"fails once, disturbed":        {[]verdict{disturbed(bad("a")), {}}, 2, nil},
		"always fails, all disturbed":  {slices.Repeat([]verdict{disturbed(bad("a"))}, maxRuns), maxRuns, []string{"a"}},
		"one thing always fails":       {slices.Repeat([]verdict{disturbed(bad("a", "b")), disturbed(bad("a", "c"))}, maxRuns), maxRuns, []string{"a"}},
		"each thing holds once":        {[]verdict{disturbed(bad("a", "b")), disturbed(bad("a", "c")), disturbed(bad("b", "c"))}, 3, nil},
		"then fails undisturbed":       {[]verdict{disturbed(bad("a")), bad("b"), {}}, 2, []string{"b"}},
		"breaks what holds regardless": {[]verdict{final, {}}, 1, []string{"a"}},
		"the judge is halted always":   {slices.Repeat([]verdict{aborted}, maxRuns), maxRuns, []string{"the judge"}},
		"halted, then it fails always": {append([]verdict{aborted}, slices.Repeat([]verdict{disturbed(bad("a"))}, maxRuns)...), maxRuns, []string{"a"}},
		"a halted judge shows nothing": {append([]verdict{disturbed(bad("a"))}, slices.Repeat([]verdict{aborted}, maxRuns)...), maxRuns, []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			runs := 0
			got := runUntilConclusive(maxRuns, func(number int) verdict {
				runs = number
				v := row.plays[number-1]
				v.failures = maps.Clone(v.failures)
				return v
			}, func() bool { return true })
			require.Equal(t, row.want, runs)
			require.Equal(t, row.fails, slices.Sorted(maps.Keys(got)))
		})
	}
	runs := 0
	got := runUntilConclusive(maxRuns, func(int) verdict { runs++; return disturbed(bad("a")) }, func() bool { return false })
	require.Equal(t, 1, runs, "no play is left")
	require.Len(t, got, 1)
}

// What a judge says, and each rule that was broken, is in the verdict; which rules hold whatever the machine does is told apart.
func TestVerdictOnARun(t *testing.T) {
	evaluateRule := func(rule string, count int, judge func(t *trial, sum *Summary)) verdict {
		f := fleetcheck.Finding{Rule: rule, Verdict: history.Held}
		if f.Count = count; count > 0 {
			f.Verdict = history.Broken
		}
		return evaluate(&Summary{Result: &fleetcheck.Result{Findings: []fleetcheck.Finding{f}}}, judge)
	}
	passing := func(*trial, *Summary) {}
	require.Empty(t, evaluateRule(fleetcheck.RuleLimit, 0, passing).failures)
	v := evaluateRule(fleetcheck.RuleVerdicts, 0, func(t *trial, _ *Summary) {
		require.Greater(t, 58, 60)
		require.Greater(t, 60, 58)
		require.Greater(t, 57, 60, "both are found")
	})
	require.Len(t, v.failures, 2)
	require.False(t, v.final || v.aborted)
	v = evaluateRule(fleetcheck.RuleVerdicts, 0, func(t *trial, _ *Summary) { require.Less(t.always(), 60, 58) })
	require.Len(t, v.failures, 1)
	require.True(t, v.final)
	v = evaluateRule(fleetcheck.RuleVerdicts, 0, func(t *trial, _ *Summary) {
		var none []int
		require.NotEmpty(t, none)
		require.Zero(t, none[0])
	})
	require.Len(t, v.failures, 2)
	require.True(t, v.aborted)
	v = evaluateRule(fleetcheck.RuleVerdicts, 2, passing)
	require.Len(t, v.failures, 1)
	require.False(t, v.final)
	for _, rule := range []string{fleetcheck.RuleLimit, fleetcheck.RuleServed, fleetcheck.RuleRuns, fleetcheck.RuleLog, fleetcheck.RuleGated,
		"records: " + history.RuleOne, "records: " + history.RuleRelease} {
		require.True(t, evaluateRule(rule, 1, passing).final, rule)
	}
}

// parse reads a script of the tests here.
func parse(t *testing.T, text string) *script.Script {
	t.Helper()
	s, err := script.Parse("script", []byte("version: 1\nseed: 11\nload: 0.5\n"+text))
	require.NoError(t, err)
	return s
}

// A window begins later only where the play was disturbed, and by no more than the script goes on for.
func TestWindowStart(t *testing.T) {
	for _, row := range []struct {
		disturbed int
		wholeAt   float64 // in the run; 0: never
		want      float64
	}{{0, 12, 11}, {1, 0, 11}, {1, 9, 11}, {1, 10, 11.7}, {1, 60, 11 + maxWindowDelay}} {
		first := fleetcheck.Settled{From: 1e6 * (100 + 6)}
		if row.wholeAt > 0 {
			first.Whole = control.Micros(1e6 * (100 + row.wholeAt))
		}
		sum := &Summary{Result: &fleetcheck.Result{Faults: []fleetcheck.Settled{first}, Disturbance: fleetcheck.Disturbance{Count: row.disturbed}}}
		require.InDelta(t, row.want, windowStart(sum, 11), 1e-6, "%+v", row)
	}
}
