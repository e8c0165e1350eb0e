package warm

import (
	"flag"
	"math"
	"os"
	"testing"

	"pgregory.net/rapid"

	"beammux/control"
)

// A fixed seed makes each run draw the same cases, so that results do not vary from run to run.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "20261201")
	os.Exit(m.Run())
}

const now = control.Micros(1.8e15)

func savedState(at control.Micros) *SavedState {
	return &SavedState{Settings: "a", Learned: control.Learned{At: at, BaseDelay: 60000, LossRate: 0.02, BestRate: 4, WorthMix: []float64{1, 2},
		Servers: []control.LearnedServer{{Server: 7, Since: 5, Wait: 400000, Shed: 0.5, Spare: 12, Total: 40}}}}
}

func approxEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9*max(1, math.Abs(b)) }

// Each field decays with its own half-life.
func TestHalfLives(t *testing.T) {
	for _, row := range []struct {
		age                                float64 // s
		wait, shed, spare, mix, unit, base float64
	}{
		{0, 400000, 0.5, 12, 2, 4, 60000}, {3, 200000, 0.5 * math.Exp2(-3.0/8), 12, 2 * math.Exp2(-0.05), 4 * math.Exp2(-3.0/1800), 60000},
		{6, 100000, 0.5 * math.Exp2(-6.0/8), -1, 2 * math.Exp2(-0.1), 4 * math.Exp2(-6.0/1800), 60000},
		{60, 0, 0, -1, 1, 4 * math.Exp2(-60.0/1800), 60000}, {1800, 0, 0, -1, 0, 2, 60000}, {20000, 0, 0, -1, 0, 0, 0},
	} {
		l, doubt, ok := Restore(savedState(now-control.Micros(row.age*1e6)), now, "a")
		s := l.Servers[0]
		mix := 0.0
		if len(l.WorthMix) > 0 {
			mix = l.WorthMix[1]
		}
		if !ok || doubt != NoDoubt || !approxEqual(s.Wait, row.wait) || !approxEqual(s.Shed, row.shed) || s.Spare != row.spare || !approxEqual(mix, row.mix) ||
			!approxEqual(l.BestRate, row.unit) || l.BaseDelay != row.base || s.Total != 40 || s.Since != 5 || s.Server != 7 {
			t.Errorf("after %g s: %+v, %q", row.age, l, doubt)
		}
	}
}

// Doubtful state loses all fields that depend on the doubt.
func TestDoubts(t *testing.T) {
	bad := savedState(now)
	bad.Learned.Servers[0].Wait = math.NaN()
	for name, row := range map[string]struct {
		m        *SavedState
		settings string
		doubt    Doubt
		ok       bool
	}{
		"none": {nil, "a", NoSavedState, false}, "two days old": {savedState(now - 2*86400e6), "a", TooOld, false},
		"clock far behind": {savedState(now + 3600e6), "a", ClockBehind, true}, "clock slightly behind": {savedState(now + 500000), "a", NoDoubt, true},
		"no time": {savedState(0), "a", NoTimestamp, true}, "other settings": {savedState(now - 1e6), "b", SettingsChanged, false},
		"not a number": {bad, "a", InvalidValue, false},
	} {
		l, doubt, ok := Restore(row.m, now, row.settings)
		if doubt != row.doubt || ok != row.ok {
			t.Errorf("%s: %q, %t", name, doubt, ok)
		}
		for _, s := range l.Servers {
			if (doubt == ClockBehind || doubt == NoTimestamp) && (s.Wait != 0 || s.Shed != 0 || s.Spare != -1 || l.LossRate != 0 || len(l.WorthMix) != 0 || l.BestRate != 2) {
				t.Errorf("%s: %+v", name, l)
			}
		}
		if doubt == SettingsChanged && (len(l.Servers) != 0 || len(l.WorthMix) != 0 || l.BaseDelay != 0 || l.BestRate != 0 || l.LossRate != 0) {
			t.Errorf("%s: %+v", name, l)
		}
	}
}

// For any saved state, the restored values are valid and never greater than the saved ones.
func TestRestoredNeverExceedsSaved(t *testing.T) {
	value := func(t *rapid.T, label string) float64 {
		return rapid.OneOf(rapid.Float64Range(0, 1), rapid.Float64(), rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), -1, -5, 1e300})).Draw(t, label)
	}
	rapid.Check(t, func(t *rapid.T) {
		m := savedState(control.Micros(rapid.Int64().Draw(t, "at")))
		l := &m.Learned
		l.BaseDelay, l.LossRate, l.BestRate = value(t, "base"), value(t, "loss"), value(t, "unit")
		s := &l.Servers[0]
		s.Wait, s.Shed, s.Spare, s.Total = value(t, "wait"), value(t, "thin"), value(t, "spare"), value(t, "total")
		got, _, ok := Restore(m, control.Micros(rapid.Int64().Draw(t, "now")), "a")
		if !ok {
			return
		}
		if !valid(got) || got.BaseDelay > l.BaseDelay || got.BestRate > l.BestRate || got.LossRate > l.LossRate || got.Servers[0].Wait > s.Wait || got.Servers[0].Shed > s.Shed {
			t.Fatalf("%+v of %+v", got, *l)
		}
	})
}
