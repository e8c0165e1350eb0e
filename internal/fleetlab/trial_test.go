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
	playsMost   = 3                // of one script
	againMost   = 8                // plays beyond the first of each script, over all tests of the process
	atOnce      = 3                // larger fleets, that is of six processes with their servers and callers
	againLeaves = 40 * time.Second // of the test's time, beside the length of the script
	calmFor     = 2 * time.Second
	calmMost    = 50 * time.Millisecond
	calmWithin  = 15 * time.Second
)

var (
	fleets = semaphore.NewWeighted(atOnce)
	again  atomic.Int32
)

// timely are the rules that say by when something has happened. All others hold however late a process is.
var timely = []string{fleetcheck.RuleFinal, fleetcheck.RuleGivenUp, fleetcheck.RuleRates, fleetcheck.RuleVerdicts, "records: " + history.RuleAnswer}

// verdict is what one play came to.
type verdict struct {
	failed      map[string]string // what, by the rule or by the line of the judge that asks for it; empty: it held
	final       bool              // something of it must hold whatever the machine does
	halted      bool              // the judge could not go on to all that it asks for
	disturbance fleetcheck.Disturbance
}

// repeated plays until a play is final or all that has failed has held in a further play, at most so often, and gives what is left.
func repeated(most int, play func(number int) verdict, mayAgain func() bool) map[string]string {
	var left map[string]string // nil: no play was judged in full
	for number := 1; ; number++ {
		v := play(number)
		if len(v.failed) == 0 || v.final || v.disturbance.Count == 0 {
			return v.failed
		}
		switch {
		case v.halted:
		case left == nil:
			left = v.failed
		default:
			maps.DeleteFunc(left, func(what, _ string) bool { return v.failed[what] == "" })
		}
		if left != nil && len(left) == 0 {
			return nil
		}
		if number == most || !mayAgain() {
			if left == nil {
				return v.failed
			}
			return left
		}
	}
}

// hold plays a script and says that every rule held, and what judge says of it. It is for scripts that a busy machine can keep
// from showing anything.
func hold(t *testing.T, text string, judge func(t *trial, sum *Summary)) {
	t.Helper()
	s := parse(t, text)
	mayAgain := func() bool {
		deadline, ok := t.Deadline()
		return again.Add(1) <= againMost && (!ok || time.Until(deadline) > time.Duration(s.Length)+againLeaves)
	}
	failed := repeated(playsMost, func(number int) verdict {
		weight := int64(1)
		if number > 1 {
			weight = atOnce
		}
		if err := fleets.Acquire(t.Context(), weight); err != nil {
			t.Fatal(err)
		}
		defer fleets.Release(weight)
		if number > 1 {
			awaitCalm()
		}
		sum := run(t, s)
		v := judged(sum, judge)
		if len(v.failed) > 0 {
			t.Logf("play %d: disturbed %d times, by up to %d ms (%s): %s", number, v.disturbance.Count, v.disturbance.Longest/1000,
				v.disturbance.Process, strings.Join(slices.Sorted(maps.Values(v.failed)), "; "))
		}
		return v
	}, mayAgain)
	for what, text := range failed {
		t.Errorf("%s: %s", what, text)
	}
}

// awaitCalm returns once no timer has been late by half of what disturbs a play for a while, or after calmWithin.
func awaitCalm() {
	const pace = 5 * time.Millisecond
	calm := time.Now()
	for end := calm.Add(calmWithin); time.Now().Before(end) && time.Since(calm) < calmFor; {
		began := time.Now()
		time.Sleep(pace)
		if time.Since(began)-pace >= calmMost {
			calm = time.Now()
		}
	}
}

// judged gives the verdict on a run.
func judged(sum *Summary, judge func(t *trial, sum *Summary)) verdict {
	t := &trial{verdict{failed: map[string]string{}, disturbance: sum.Disturbance}}
	t.run(func() { judge(t, sum) })
	for _, f := range sum.Findings {
		if f.Verdict == history.Broken {
			t.final = t.final || !slices.Contains(timely, f.Rule)
			t.failed[f.Rule] = fmt.Sprintf("broken %d times, %v", f.Count, f.Evidence)
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
			t.halted = true
			t.failed["the judge"] = fmt.Sprint(r)
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
	t.failed[where] = strings.Join(strings.Fields(what), " ")
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
		v := verdict{failed: map[string]string{}}
		for _, w := range what {
			v.failed[w] = "58 is not greater than 60"
		}
		return v
	}
	disturbed := func(v verdict) verdict {
		v.disturbance = fleetcheck.Disturbance{Count: 1, Longest: 150_000, Process: "g1"}
		return v
	}
	final := disturbed(bad("a"))
	final.final = true
	halted := disturbed(bad("the judge"))
	halted.halted = true
	for name, row := range map[string]struct {
		plays []verdict
		want  int // plays
		fails []string
	}{
		"holds":                        {[]verdict{{}}, 1, nil},
		"holds though disturbed":       {[]verdict{disturbed(bad())}, 1, nil},
		"fails, nothing disturbed it":  {[]verdict{bad("a"), {}}, 1, []string{"a"}},
		"fails once, disturbed":        {[]verdict{disturbed(bad("a")), {}}, 2, nil},
		"always fails, all disturbed":  {slices.Repeat([]verdict{disturbed(bad("a"))}, playsMost), playsMost, []string{"a"}},
		"one thing always fails":       {slices.Repeat([]verdict{disturbed(bad("a", "b")), disturbed(bad("a", "c"))}, playsMost), playsMost, []string{"a"}},
		"each thing holds once":        {[]verdict{disturbed(bad("a", "b")), disturbed(bad("a", "c")), disturbed(bad("b", "c"))}, 3, nil},
		"then fails undisturbed":       {[]verdict{disturbed(bad("a")), bad("b"), {}}, 2, []string{"b"}},
		"breaks what holds regardless": {[]verdict{final, {}}, 1, []string{"a"}},
		"the judge is halted always":   {slices.Repeat([]verdict{halted}, playsMost), playsMost, []string{"the judge"}},
		"halted, then it fails always": {append([]verdict{halted}, slices.Repeat([]verdict{disturbed(bad("a"))}, playsMost)...), playsMost, []string{"a"}},
		"a halted judge shows nothing": {append([]verdict{disturbed(bad("a"))}, slices.Repeat([]verdict{halted}, playsMost)...), playsMost, []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			played := 0
			got := repeated(playsMost, func(number int) verdict {
				played = number
				v := row.plays[number-1]
				v.failed = maps.Clone(v.failed)
				return v
			}, func() bool { return true })
			require.Equal(t, row.want, played)
			require.Equal(t, row.fails, slices.Sorted(maps.Keys(got)))
		})
	}
	played := 0
	got := repeated(playsMost, func(int) verdict { played++; return disturbed(bad("a")) }, func() bool { return false })
	require.Equal(t, 1, played, "no play is left")
	require.Len(t, got, 1)
}

// What a judge says, and each rule that was broken, is in the verdict; which rules hold whatever the machine does is told apart.
func TestVerdictOnAPlay(t *testing.T) {
	play := func(rule string, count int, judge func(t *trial, sum *Summary)) verdict {
		f := fleetcheck.Finding{Rule: rule, Verdict: history.Held}
		if f.Count = count; count > 0 {
			f.Verdict = history.Broken
		}
		return judged(&Summary{Result: &fleetcheck.Result{Findings: []fleetcheck.Finding{f}}}, judge)
	}
	well := func(*trial, *Summary) {}
	require.Empty(t, play(fleetcheck.RuleLimit, 0, well).failed)
	v := play(fleetcheck.RuleVerdicts, 0, func(t *trial, _ *Summary) {
		require.Greater(t, 58, 60)
		require.Greater(t, 60, 58)
		require.Greater(t, 57, 60, "both are found")
	})
	require.Len(t, v.failed, 2)
	require.False(t, v.final || v.halted)
	v = play(fleetcheck.RuleVerdicts, 0, func(t *trial, _ *Summary) { require.Less(t.always(), 60, 58) })
	require.Len(t, v.failed, 1)
	require.True(t, v.final)
	v = play(fleetcheck.RuleVerdicts, 0, func(t *trial, _ *Summary) {
		var none []int
		require.NotEmpty(t, none)
		require.Zero(t, none[0])
	})
	require.Len(t, v.failed, 2)
	require.True(t, v.halted)
	v = play(fleetcheck.RuleVerdicts, 2, well)
	require.Len(t, v.failed, 1)
	require.False(t, v.final)
	for _, rule := range []string{fleetcheck.RuleLimit, fleetcheck.RuleServed, fleetcheck.RuleNoCrash, fleetcheck.RuleLog, fleetcheck.RuleGated,
		"records: " + history.RuleSingleAttempt, "records: " + history.RuleReleaseGuard} {
		require.True(t, play(rule, 1, well).final, rule)
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
func TestWhole(t *testing.T) {
	for _, row := range []struct {
		disturbed int
		wholeAt   float64 // in the run; 0: never
		want      float64
	}{{0, 12, 11}, {1, 0, 11}, {1, 9, 11}, {1, 10, 11.7}, {1, 60, 11 + latest}} {
		first := fleetcheck.Settled{From: 1e6 * (100 + 6)}
		if row.wholeAt > 0 {
			first.AgreedAt = control.Micros(1e6 * (100 + row.wholeAt))
		}
		sum := &Summary{Result: &fleetcheck.Result{Faults: []fleetcheck.Settled{first}, Disturbance: fleetcheck.Disturbance{Count: row.disturbed}}}
		require.InDelta(t, row.want, whole(sum, 11), 1e-6, "%+v", row)
	}
}
