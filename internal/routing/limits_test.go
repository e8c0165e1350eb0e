package routing

import (
	"testing"
	"testing/synctest"
	"time"

	"beammux/control"
	"beammux/control/retry"
)

// compileLimits compiles a limits file for the settings of these tests.
func compileLimits(t testing.TB, f retry.File) *retry.Policy {
	t.Helper()
	set := settings()
	p, faults := retry.Compile(&f, retry.Rules{Names: []string{"menu-view"}, Classes: set.Classes, AttemptsCap: set.AttemptsCap,
		ReleaseGuard: set.ReleaseGuard, ResendGap: set.ResendGap})
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return p
}

const msec = 1000 // microseconds, the unit of retry.Values

// defaults returns a limits file with values for all calls.
func defaults(v retry.Values) retry.File { return retry.File{Defaults: v} }

// serverOf returns the server at which an attempt of a call is in flight, "" if there is none.
func (h *harness) serverOf(id string) string {
	for name, server := range h.servers {
		if _, ok := server.inFlight[id]; ok {
			return name
		}
	}
	return ""
}

// fail ends the attempt of a call that is in flight.
func (h *harness) fail(id string, o Outcome) {
	server := h.servers[h.serverOf(id)]
	a := server.inFlight[id]
	delete(server.inFlight, id)
	server.events.Failed(a, o)
	synctest.Wait()
}

// An attempt is given up after its time-out, the next one is sent after the retry wait and not before, and no more attempts
// are sent than the limits allow. The call is then refused at once, with a time to wait.
func TestLimitsApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a", "b")
		defer h.stop()
		h.core.SetLimits(compileLimits(t, defaults(retry.Values{retry.Attempts: 2, retry.AttemptTimeout: 500 * msec, retry.RetryWait: 400 * msec})))
		c := h.call("1", 3*time.Second)
		first := h.serverOf("1")
		h.sleep(499 * time.Millisecond)
		if h.serverOf("1") != first {
			t.Fatal("given up before its time-out")
		}
		h.sleep(2 * time.Millisecond)
		if h.serverOf("1") != "" {
			t.Fatal("still in flight after its time-out")
		}
		h.sleep(398 * time.Millisecond)
		if h.serverOf("1") != "" || c.finalAnswers != 0 {
			t.Fatal("sent again before the end of the retry wait")
		}
		h.sleep(60 * time.Millisecond) // the module checks for due retries every 50 ms
		if second := h.serverOf("1"); second == "" || second == first {
			t.Fatalf("second attempt at %q after %q", second, first)
		}
		h.sleep(501 * time.Millisecond)
		if c.finalAnswers != 1 || c.established || c.wait == 0 {
			t.Errorf("after two attempts: %+v", c)
		}
	})
}

// A call keeps the limits that it began with, also when new limits are loaded between two of its attempts. A call that
// arrives after the reload gets the new limits.
func TestLimitsReloadBetweenAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a", "b")
		defer h.stop()
		h.core.SetLimits(compileLimits(t, defaults(retry.Values{retry.Attempts: 2, retry.RetryWait: 300 * msec})))
		old := h.call("1", 2*time.Second)
		h.fail("1", Outcome{Code: control.Full, Reason: control.NoAgent})
		h.core.SetLimits(compileLimits(t, defaults(retry.Values{retry.Attempts: 1})))
		h.sleep(400 * time.Millisecond)
		if h.serverOf("1") == "" || old.finalAnswers != 0 {
			t.Errorf("call from before the reload got one attempt, want two: %+v", old)
		}
		young := h.call("2", 2*time.Second)
		h.fail("2", Outcome{Code: control.Full, Reason: control.NoAgent})
		if young.finalAnswers != 1 || young.wait == 0 {
			t.Errorf("call from after the reload: %+v, want a refusal after one attempt", young)
		}
	})
}

// Of an answer and the time-out of its attempt in the same millisecond only the first takes effect. An answer that arrives
// first establishes the call; one that arrives second is released at the server.
func TestAnswerRacesAttemptTimeout(t *testing.T) {
	for _, before := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness("a")
			defer h.stop()
			h.core.SetLimits(compileLimits(t, defaults(retry.Values{retry.Attempts: 1, retry.AttemptTimeout: 500 * msec})))
			c := h.call("1", 2*time.Second)
			server := h.servers["a"]
			a := server.inFlight["1"]
			if before {
				h.sleep(500*time.Millisecond - time.Microsecond)
				server.answer("1", "")
			} else {
				h.sleep(500 * time.Millisecond)
				server.events.Answered(a, nil)
			}
			h.sleep(time.Second)
			if c.finalAnswers != 1 || c.established != before || (server.releasesReceived["1"] == 1) == before {
				t.Errorf("answer first %t: %+v, releases %d", before, c, server.releasesReceived["1"])
			}
		})
	}
}

// A caller that withdraws during the retry wait gets no final answer, and no further attempt is sent.
func TestWithdrawDuringRetryWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a", "b")
		defer h.stop()
		h.core.SetLimits(compileLimits(t, defaults(retry.Values{retry.Attempts: 3, retry.RetryWait: 500 * msec})))
		c := h.call("1", 2*time.Second)
		h.fail("1", Outcome{Code: control.Full, Reason: control.NoAgent})
		inTime := false
		h.core.Withdraw("1", c, func(ok bool) { inTime = ok })
		h.sleep(2 * time.Second)
		if !inTime || c.finalAnswers != 0 || h.serverOf("1") != "" {
			t.Errorf("in time %t, %+v, in flight at %q", inTime, c, h.serverOf("1"))
		}
	})
}

// A caller whose deadline is shorter than one attempt is answered by that deadline, and one with a longer deadline than the
// limits allow is answered by the limits' deadline.
func TestShortestDeadlineApplies(t *testing.T) {
	for left, want := range map[time.Duration]time.Duration{300 * time.Millisecond: 300 * time.Millisecond, time.Hour: 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness("a")
			defer h.stop()
			h.core.SetLimits(compileLimits(t, defaults(retry.Values{retry.Attempts: 1, retry.AttemptTimeout: 2000 * msec, retry.GiveUp: 2000 * msec})))
			c := h.call("1", left)
			h.sleep(want - time.Millisecond)
			if c.finalAnswers != 0 {
				t.Errorf("left %v: answered early", left)
			}
			h.sleep(2 * time.Millisecond)
			if c.finalAnswers != 1 {
				t.Errorf("left %v: no answer after %v", left, want)
			}
		})
	}
}

// A step of the system clock by an hour during a retry wait does not affect the call: it is sent again after the wait and
// answered by its deadline. A server that starts after the step is taken for one that has just started.
func TestClockStepDuringRetryWait(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness("a", "b")
			defer h.stop()
			h.core.SetLimits(compileLimits(t, defaults(retry.Values{retry.Attempts: 2, retry.RetryWait: 500 * msec})))
			c := h.call("1", 2*time.Second)
			h.fail("1", Outcome{Code: control.Full, Reason: control.NoAgent})
			h.core.Post(func() {
				h.core.clock.wall = func() time.Time { return time.Now().Add(step) }
			})
			h.sleep(560 * time.Millisecond)
			if h.serverOf("1") == "" {
				t.Errorf("step %v: not sent again after the retry wait", step)
			}
			h.sleep(2 * time.Second)
			if c.finalAnswers != 1 || c.wait == 0 {
				t.Errorf("step %v: %+v", step, c)
			}
			stepped := time.Now().Add(step).UnixMicro()
			started := func() control.Micros {
				change := &listChange{list: h.list}
				h.list.applyHost("", Host{Name: "c", Addr: "a", State: control.Ready, Since: control.Micros(stepped)}, change)
				h.list.publish(change)
				return change.entries[len(change.entries)-1].Since
			}
			since := started()
			if age := h.core.clock.now() - since; age < 0 || age > 1000 {
				t.Errorf("step %v: age of a server that has just started is %d us", step, age)
			}
			if again := started(); again != since {
				t.Errorf("repeated update moved the start of the server by %d us", again-since)
			}
		})
	}
}

// With every server gated a call is refused at once with a time to wait, independent of its limits, and uses nothing of the
// retry budget.
func TestAllServersGatedRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a")
		defer h.stop()
		f := defaults(retry.Values{retry.Attempts: 5, retry.RetryWait: 300 * msec})
		f.Budget = &retry.BudgetConfig{Ratio: 0.01, MinPerS: 1, Burst: 1}
		h.core.SetLimits(compileLimits(t, f))
		h.call("1", 2*time.Second)
		h.fail("1", Outcome{Code: control.Full, Reason: control.ProcessorFull}) // gates the only server; takes the budget
		for _, id := range []string{"2", "3"} {
			c := h.call(id, 2*time.Second)
			if c.finalAnswers != 1 || c.wait == 0 || h.serverOf(id) != "" {
				t.Errorf("call %s: %+v, in flight at %q", id, c, h.serverOf(id))
			}
		}
	})
}

// A call that the retry budget does not cover is refused at once, with a time to wait.
func TestBudgetRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a", "b", "c")
		defer h.stop()
		f := defaults(retry.Values{retry.Attempts: 5, retry.RetryWait: 300 * msec})
		f.Budget = &retry.BudgetConfig{Ratio: 0.01, MinPerS: 1, Burst: 1}
		h.core.SetLimits(compileLimits(t, f))
		first, second := h.call("1", 2*time.Second), h.call("2", 2*time.Second)
		h.fail("1", Outcome{Code: control.Full, Reason: control.NoAgent})
		h.fail("2", Outcome{Code: control.Full, Reason: control.NoAgent})
		if first.finalAnswers != 0 || second.finalAnswers != 1 || second.wait == 0 {
			t.Errorf("first %+v, second %+v; want one that waits for its retry and one refused with a time to wait", first, second)
		}
	})
}
