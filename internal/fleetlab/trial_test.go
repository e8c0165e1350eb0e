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

// How often a script is run. If the machine delayed threads for longer than the gatekeepers' timeouts allow for
// (fleetcheck.Disturbance), a failure does not prove that the fleet is wrong. The script is then run again, alone, and each
// failed check must pass in one of the further runs; a check that fails in all of them has failed. The result is final if a
// run was not disturbed, or if it broke a rule that holds regardless of the machine.
const (
	maxRuns           = 3                // runs of one script
	maxRepeats        = 8                // runs beyond the first of each script, over all tests of the process
	maxParallelFleets = 3                // fleets of six gatekeepers with their servers and callers
	repeatReserve     = 40 * time.Second // required before the test's deadline, in addition to the length of the script
	calmDuration      = 2 * time.Second
	maxTimerDelay     = 50 * time.Millisecond
	calmTimeout       = 15 * time.Second
)

var (
	fleetSlots = semaphore.NewWeighted(maxParallelFleets)
	repeats    atomic.Int32
)

// timeBoundRules are the rules with a deadline. All others hold regardless of delays of processes.
var timeBoundRules = []string{fleetcheck.RuleFinal, fleetcheck.RuleGivenUp, fleetcheck.RuleRates, fleetcheck.RuleVerdicts, "records: " + history.RuleAnswer}

// verdict is the result of one run.
type verdict struct {
	failures    map[string]string // descriptions, by rule or by source line of the failed assertion; empty: all passed
	final       bool              // a failed check holds regardless of the machine
	aborted     bool              // the judge panicked before its last assertion
	disturbance fleetcheck.Disturbance
}

// runUntilConclusive repeats run until a verdict is final, or until each failed check has passed in some run, or limit is
// reached. It returns the failures that are left.
func runUntilConclusive(limit int, run func(number int) verdict, mayRepeat func() bool) map[string]string {
	var left map[string]string // nil: no run was judged completely
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

// requireHeld runs a script and fails the test if a rule was broken or an assertion of judge fails. It repeats runs that the
// machine disturbed, and is for scripts whose result is meaningless on a busy machine.
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
			t.Logf("run %d: disturbed %d times, by up to %d ms (%s): %s", number, v.disturbance.Count, v.disturbance.Longest/1000,
				v.disturbance.Process, strings.Join(slices.Sorted(maps.Values(v.failures)), "; "))
		}
		return v
	}, mayRepeat)
	for check, text := range failures {
		t.Errorf("%s: %s", check, text)
	}
}

// awaitCalm returns when no timer was late by maxTimerDelay, half of what counts as a disturbance, for calmDuration, or after
// calmTimeout.
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

// evaluate returns the verdict on a run.
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

// trial collects the failed assertions of a judge. A failed assertion does not stop the judge: later ones are checked too.
type trial struct{ verdict }

// run runs a judge. A judge that panics after a failed assertion, for example on a missing element, is marked as aborted.
func (t *trial) run(judge func()) {
	defer func() {
		if r := recover(); r != nil {
			t.aborted = true
			t.failures["the judge"] = fmt.Sprint(r)
		}
	}()
	judge()
}

// Errorf parses testify's message: the location, then the failure.
func (t *trial) Errorf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	location, failure, _ := strings.Cut(text, "Error:")
	if fields := strings.Fields(location); len(fields) > 2 { // "Error Trace:" and the source line of the assertion
		location = filepath.Base(fields[2])
	}
	t.failures[location] = strings.Join(strings.Fields(failure), " ")
}

// FailNow implements require.TestingT; it does not stop the judge.
func (t *trial) FailNow() {}

// always returns a TestingT for assertions that must hold regardless of the machine: a failure makes the verdict final.
func (t *trial) always() require.TestingT { return always{t} }

// always marks the verdict as final on a failure.
type always struct{ *trial }

// FailNow implements require.TestingT.
func (t always) FailNow() { t.final = true }

// A broken program fails however the machine disturbs its runs: only checks that failed in a disturbed run are repeated, and
// a check that passes in no run has failed.
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
		want  int // runs
		fails []string
	}{
		"passes":                          {[]verdict{{}}, 1, nil},
		"passes though disturbed":         {[]verdict{disturbed(bad())}, 1, nil},
		"fails undisturbed":               {[]verdict{bad("a"), {}}, 1, []string{"a"}},
		"fails once while disturbed":      {[]verdict{disturbed(bad("a")), {}}, 2, nil},
		"always fails, always disturbed":  {slices.Repeat([]verdict{disturbed(bad("a"))}, maxRuns), maxRuns, []string{"a"}},
		"one check always fails":          {slices.Repeat([]verdict{disturbed(bad("a", "b")), disturbed(bad("a", "c"))}, maxRuns), maxRuns, []string{"a"}},
		"each check passes once":          {[]verdict{disturbed(bad("a", "b")), disturbed(bad("a", "c")), disturbed(bad("b", "c"))}, 3, nil},
		"then fails undisturbed":          {[]verdict{disturbed(bad("a")), bad("b"), {}}, 2, []string{"b"}},
		"breaks an unconditional rule":    {[]verdict{final, {}}, 1, []string{"a"}},
		"the judge always aborts":         {slices.Repeat([]verdict{aborted}, maxRuns), maxRuns, []string{"the judge"}},
		"aborts, then always fails":       {append([]verdict{aborted}, slices.Repeat([]verdict{disturbed(bad("a"))}, maxRuns)...), maxRuns, []string{"a"}},
		"an aborted judge proves nothing": {append([]verdict{disturbed(bad("a"))}, slices.Repeat([]verdict{aborted}, maxRuns)...), maxRuns, []string{"a"}},
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
	require.Equal(t, 1, runs, "no run is left")
	require.Len(t, got, 1)
}

// The verdict contains the failed assertions of the judge and each broken rule; it is final for rules that hold regardless of
// the machine.
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
		require.Greater(t, 57, 60, "both failures are collected")
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
	for _, rule := range []string{fleetcheck.RuleLimit, fleetcheck.RuleServed, fleetcheck.RuleNoCrash, fleetcheck.RuleLog, fleetcheck.RuleGated,
		"records: " + history.RuleSingleAttempt, "records: " + history.RuleReleaseGuard} {
		require.True(t, evaluateRule(rule, 1, passing).final, rule)
	}
}

// parse parses a script from text, with the head that all tests share.
func parse(t *testing.T, text string) *script.Script {
	t.Helper()
	s, err := script.Parse("script", []byte("version: 1\nseed: 11\nload: 0.5\n"+text))
	require.NoError(t, err)
	return s
}

// An observation window is delayed only if the run was disturbed, and by no more than maxWindowDelay.
func TestWindowStart(t *testing.T) {
	for _, row := range []struct {
		disturbed int
		wholeAt   float64 // in seconds of the run; 0: never
		want      float64
	}{{0, 12, 11}, {1, 0, 11}, {1, 9, 11}, {1, 10, 11.7}, {1, 60, 11 + maxWindowDelay}} {
		first := fleetcheck.Settled{From: 1e6 * (100 + 6)}
		if row.wholeAt > 0 {
			first.AgreedAt = control.Micros(1e6 * (100 + row.wholeAt))
		}
		sum := &Summary{Result: &fleetcheck.Result{Faults: []fleetcheck.Settled{first}, Disturbance: fleetcheck.Disturbance{Count: row.disturbed}}}
		require.InDelta(t, row.want, windowStart(sum, 11), 1e-6, "%+v", row)
	}
}
