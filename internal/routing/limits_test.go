package routing

import (
	"testing"
	"testing/synctest"
	"time"

	"beammux/control"
	"beammux/control/retry"
)

// limits compiles a file for the settings of these tests.
func limits(t testing.TB, f retry.File) *retry.Policy {
	t.Helper()
	set := settings()
	p, faults := retry.Compile(&f, retry.Rules{Names: []string{"menu-view"}, Classes: set.Classes, AttemptsCap: set.AttemptsCap,
		ReleaseGuard: set.ReleaseGuard, ResendGap: set.ResendGap})
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return p
}

const msec = 1000 // figures are in microseconds

func defaults(v retry.Values) retry.File { return retry.File{Defaults: v} }

// answered tells which server has an attempt of a call out, "" if none.
func (b *bench) at(id string) string {
	for name, w := range b.wires {
		if _, ok := w.out[id]; ok {
			return name
		}
	}
	return ""
}

func (b *bench) fail(id string, o Outcome) {
	w := b.wires[b.at(id)]
	a := w.out[id]
	delete(w.out, id)
	w.events.Failed(a, o)
	synctest.Wait()
}

// An attempt is given up after its time-out, the next comes after the wait and no sooner, and no more are sent than the
// limits allow; then the call is refused at once, with advice.
func TestLimitsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench("a", "b")
		defer b.end()
		b.core.SetLimits(limits(t, defaults(retry.Values{retry.Attempts: 2, retry.AttemptTimeout: 500 * msec, retry.RetryWait: 400 * msec})))
		c := b.call("1", 3*time.Second)
		first := b.at("1")
		b.sleep(499 * time.Millisecond)
		if b.at("1") != first {
			t.Fatal("given up before its time-out")
		}
		b.sleep(2 * time.Millisecond)
		if b.at("1") != "" {
			t.Fatal("out after its time-out")
		}
		b.sleep(398 * time.Millisecond)
		if b.at("1") != "" || c.finals != 0 {
			t.Fatal("sent again before the wait was over")
		}
		b.sleep(60 * time.Millisecond) // the module looks every 50 ms
		if second := b.at("1"); second == "" || second == first {
			t.Fatalf("second attempt at %q after %q", second, first)
		}
		b.sleep(501 * time.Millisecond)
		if c.finals != 1 || c.stood || c.wait == 0 {
			t.Errorf("after two attempts: %+v", c)
		}
	})
}

// A call lives by the limits it began with, also when a reload comes between two of its attempts; the next one lives by
// the new ones.
func TestReloadBetweenTwoAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench("a", "b")
		defer b.end()
		b.core.SetLimits(limits(t, defaults(retry.Values{retry.Attempts: 2, retry.RetryWait: 300 * msec})))
		old := b.call("1", 2*time.Second)
		b.fail("1", Outcome{Code: control.Full, Reason: control.NoAgent})
		b.core.SetLimits(limits(t, defaults(retry.Values{retry.Attempts: 1})))
		b.sleep(400 * time.Millisecond)
		if b.at("1") == "" || old.finals != 0 {
			t.Errorf("a call that began with two attempts got one: %+v", old)
		}
		young := b.call("2", 2*time.Second)
		b.fail("2", Outcome{Code: control.Full, Reason: control.NoAgent})
		if young.finals != 1 || young.wait == 0 {
			t.Errorf("a call after the reload: %+v", young)
		}
	})
}

// An answer and the time-out of its attempt in the same millisecond: one of them counts. An answer that comes second is
// released at the server, and one that comes first makes the call stand.
func TestAnswerAndTimeOutTogether(t *testing.T) {
	for _, before := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			b := newBench("a")
			defer b.end()
			b.core.SetLimits(limits(t, defaults(retry.Values{retry.Attempts: 1, retry.AttemptTimeout: 500 * msec})))
			c := b.call("1", 2*time.Second)
			w := b.wires["a"]
			a := w.out["1"]
			if before {
				b.sleep(500*time.Millisecond - time.Microsecond)
				w.answer("1", "")
			} else {
				b.sleep(500 * time.Millisecond)
				w.events.Answered(a, nil)
			}
			b.sleep(time.Second)
			if c.finals != 1 || c.stood != before || (w.byes["1"] == 1) == before {
				t.Errorf("answer first %t: %+v, byes %d", before, c, w.byes["1"])
			}
		})
	}
}

// A caller that withdraws during the wait is owed nothing, and nothing more is sent for it.
func TestWithdrawnDuringTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench("a", "b")
		defer b.end()
		b.core.SetLimits(limits(t, defaults(retry.Values{retry.Attempts: 3, retry.RetryWait: 500 * msec})))
		c := b.call("1", 2*time.Second)
		b.fail("1", Outcome{Code: control.Full, Reason: control.NoAgent})
		inTime := false
		b.core.Withdraw("1", c, func(ok bool) { inTime = ok })
		b.sleep(2 * time.Second)
		if !inTime || c.finals != 0 || b.at("1") != "" {
			t.Errorf("in time %t, %+v, out at %q", inTime, c, b.at("1"))
		}
	})
}

// A caller whose time is shorter than one attempt is answered in its time, and one with more time than the file gives is
// answered in the file's.
func TestShortestTimeHolds(t *testing.T) {
	for left, want := range map[time.Duration]time.Duration{300 * time.Millisecond: 300 * time.Millisecond, time.Hour: 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			b := newBench("a")
			defer b.end()
			b.core.SetLimits(limits(t, defaults(retry.Values{retry.Attempts: 1, retry.AttemptTimeout: 2000 * msec, retry.GiveUp: 2000 * msec})))
			c := b.call("1", left)
			b.sleep(want - time.Millisecond)
			if c.finals != 0 {
				t.Errorf("left %v: answered early", left)
			}
			b.sleep(2 * time.Millisecond)
			if c.finals != 1 {
				t.Errorf("left %v: no answer after %v", left, want)
			}
		})
	}
}

// A system clock that is set by an hour in the middle of a wait changes nothing for the call: it is sent again after the
// wait, and answered in its time. A server that has started by the new clock is known to be cold.
func TestClockStepDuringTheWait(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			b := newBench("a", "b")
			defer b.end()
			b.core.SetLimits(limits(t, defaults(retry.Values{retry.Attempts: 2, retry.RetryWait: 500 * msec})))
			c := b.call("1", 2*time.Second)
			b.fail("1", Outcome{Code: control.Full, Reason: control.NoAgent})
			b.core.Post(func() {
				b.core.clock.wall = func() time.Time { return time.Now().Add(step) }
			})
			b.sleep(560 * time.Millisecond)
			if b.at("1") == "" {
				t.Errorf("step %v: not sent again after the wait", step)
			}
			b.sleep(2 * time.Second)
			if c.finals != 1 || c.wait == 0 {
				t.Errorf("step %v: %+v", step, c)
			}
			stepped := time.Now().Add(step).UnixMicro()
			e, _ := b.list.applyHost("", Host{Name: "c", Addr: "a", State: control.Ready, Since: control.Micros(stepped)})
			if age := b.core.clock.now() - e.Since; age < 0 || age > 1000 {
				t.Errorf("step %v: a server that has just started is taken to be %d us old", step, age)
			}
			if again, _ := b.list.applyHost("", Host{Name: "c", Addr: "a", State: control.Ready, Since: control.Micros(stepped)}); again.Since != e.Since {
				t.Errorf("told twice, its start moved by %d us", again.Since-e.Since)
			}
		})
	}
}

// With every server gated a call is refused at once with advice, whatever its limits allow, and takes no part of the budget.
func TestAllServersGatedRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench("a")
		defer b.end()
		f := defaults(retry.Values{retry.Attempts: 5, retry.RetryWait: 300 * msec})
		f.Budget = &retry.BudgetConfig{Ratio: 0.01, MinPerS: 1, Burst: 1}
		b.core.SetLimits(limits(t, f))
		b.call("1", 2*time.Second)
		b.fail("1", Outcome{Code: control.Full, Reason: control.ProcessorFull}) // gates the only server; takes the budget
		for _, id := range []string{"2", "3"} {
			c := b.call(id, 2*time.Second)
			if c.finals != 1 || c.wait == 0 || b.at(id) != "" {
				t.Errorf("call %s: %+v, out at %q", id, c, b.at(id))
			}
		}
	})
}

// A call refused for the budget is answered at once, with advice.
func TestBudgetRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench("a", "b", "c")
		defer b.end()
		f := defaults(retry.Values{retry.Attempts: 5, retry.RetryWait: 300 * msec})
		f.Budget = &retry.BudgetConfig{Ratio: 0.01, MinPerS: 1, Burst: 1}
		b.core.SetLimits(limits(t, f))
		first, second := b.call("1", 2*time.Second), b.call("2", 2*time.Second)
		b.fail("1", Outcome{Code: control.Full, Reason: control.NoAgent})
		b.fail("2", Outcome{Code: control.Full, Reason: control.NoAgent})
		if first.finals != 0 || second.finals != 1 || second.wait == 0 {
			t.Errorf("first %+v, second %+v; want one held and one refused with advice", first, second)
		}
	})
}
