package warm

import (
	"flag"
	"math"
	"os"
	"testing"

	"pgregory.net/rapid"

	"beammux/control"
)

// The same steps each time: a verdict must not change from run to run.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "20261201")
	os.Exit(m.Run())
}

const now = control.Micros(1.8e15)

func memory(at control.Micros) *SavedState {
	return &SavedState{Settings: "a", Learned: control.Learned{At: at, BaseDelay: 60000, LossRate: 0.02, BestRate: 4, WorthMix: []float64{1, 2},
		Servers: []control.LearnedServer{{Server: 7, Since: 5, Wait: 400000, Shed: 0.5, Spare: 12, Total: 40}}}}
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9*max(1, math.Abs(b)) }

// Each field fades by its own half-life.
func TestHalfLives(t *testing.T) {
	for _, row := range []struct {
		age                                float64 // s
		wait, thin, spare, mix, unit, base float64
	}{
		{0, 400000, 0.5, 12, 2, 4, 60000}, {3, 200000, 0.5 * math.Exp2(-3.0/8), 12, 2 * math.Exp2(-0.05), 4 * math.Exp2(-3.0/1800), 60000},
		{6, 100000, 0.5 * math.Exp2(-6.0/8), -1, 2 * math.Exp2(-0.1), 4 * math.Exp2(-6.0/1800), 60000},
		{60, 0, 0, -1, 1, 4 * math.Exp2(-60.0/1800), 60000}, {1800, 0, 0, -1, 0, 2, 60000}, {20000, 0, 0, -1, 0, 0, 0},
	} {
		l, doubt, ok := Restore(memory(now-control.Micros(row.age*1e6)), now, "a")
		s := l.Servers[0]
		mix := 0.0
		if len(l.WorthMix) > 0 {
			mix = l.WorthMix[1]
		}
		if !ok || doubt != None || !near(s.Wait, row.wait) || !near(s.Shed, row.thin) || s.Spare != row.spare || !near(mix, row.mix) ||
			!near(l.BestRate, row.unit) || l.BaseDelay != row.base || s.Total != 40 || s.Since != 5 || s.Server != 7 {
			t.Errorf("after %g s: %+v, %q", row.age, l, doubt)
		}
	}
}

// What casts doubt on a memory takes away all that hangs on it.
func TestDoubts(t *testing.T) {
	bad := memory(now)
	bad.Learned.Servers[0].Wait = math.NaN()
	for name, row := range map[string]struct {
		m        *SavedState
		settings string
		doubt    Doubt
		ok       bool
	}{
		"none": {nil, "a", NoMemory, false}, "two days old": {memory(now - 2*86400e6), "a", TooOld, false},
		"clock far back": {memory(now + 3600e6), "a", ClockBack, true}, "clock a little back": {memory(now + 500000), "a", None, true},
		"no time": {memory(0), "a", NoTime, true}, "other settings": {memory(now - 1e6), "b", OtherRules, false},
		"no number": {bad, "a", NoSuchValue, false},
	} {
		l, doubt, ok := Restore(row.m, now, row.settings)
		if doubt != row.doubt || ok != row.ok {
			t.Errorf("%s: %q, %t", name, doubt, ok)
		}
		for _, s := range l.Servers {
			if (doubt == ClockBack || doubt == NoTime) && (s.Wait != 0 || s.Shed != 0 || s.Spare != -1 || l.LossRate != 0 || len(l.WorthMix) != 0 || l.BestRate != 2) {
				t.Errorf("%s: %+v", name, l)
			}
		}
		if doubt == OtherRules && (len(l.Servers) != 0 || len(l.WorthMix) != 0 || l.BaseDelay != 0 || l.BestRate != 0 || l.LossRate != 0) {
			t.Errorf("%s: %+v", name, l)
		}
	}
}

// Whatever a memory holds, what is recalled is sound, and nothing of it is more than it was.
func TestNeverMoreThanItWas(t *testing.T) {
	value := func(t *rapid.T, label string) float64 {
		return rapid.OneOf(rapid.Float64Range(0, 1), rapid.Float64(), rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), -1, -5, 1e300})).Draw(t, label)
	}
	rapid.Check(t, func(t *rapid.T) {
		m := memory(control.Micros(rapid.Int64().Draw(t, "at")))
		l := &m.Learned
		l.BaseDelay, l.LossRate, l.BestRate = value(t, "base"), value(t, "loss"), value(t, "unit")
		s := &l.Servers[0]
		s.Wait, s.Shed, s.Spare, s.Total = value(t, "wait"), value(t, "thin"), value(t, "spare"), value(t, "total")
		got, _, ok := Restore(m, control.Micros(rapid.Int64().Draw(t, "now")), "a")
		if !ok {
			return
		}
		if !sound(got) || got.BaseDelay > l.BaseDelay || got.BestRate > l.BestRate || got.LossRate > l.LossRate || got.Servers[0].Wait > s.Wait || got.Servers[0].Shed > s.Shed {
			t.Fatalf("%+v of %+v", got, *l)
		}
	})
}
