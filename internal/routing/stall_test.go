package routing

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
)

// After a stall of the process past a caller's deadline, the core's deadline timer and the attempt's expiry are due at the same
// moment, and the runtime may run the deadline timer first. The module must still have its grace period to answer.
func TestStallOverDeadlineKeepsGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a")
		defer h.stop()
		logged := test.NewLocal(h.core.log.(*logrus.Logger))
		c := h.call("1", time.Second)
		h.core.Post(func() {
			k := h.core.calls["1"]
			k.deadlineTimer.Stop()
			k.current.expiry.Stop()
			time.Sleep(time.Second + 2*decisionGrace)
			k.deadlineTimer.Reset(0)
			k.current.expiry.Reset(decisionGrace / 2)
		})
		h.sleep(2 * time.Second)
		for _, e := range logged.AllEntries() {
			if e.Level <= logrus.ErrorLevel {
				t.Errorf("logged %q", e.Message)
			}
		}
		if c.finalAnswers != 1 || c.established {
			t.Errorf("final answers %d, established %v; want one final answer, a failure", c.finalAnswers, c.established)
		}
	})
}

// A stall of the process during the module's grace period renews the grace period.
func TestStallDuringGraceRenewsGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a")
		defer h.stop()
		logged := test.NewLocal(h.core.log.(*logrus.Logger))
		c := h.call("1", time.Second)
		h.core.Post(func() { h.core.calls["1"].current.expiry.Stop() })
		h.sleep(time.Second + decisionGrace/3)
		h.core.Post(func() {
			time.Sleep(2 * decisionGrace)
			h.core.calls["1"].current.expiry.Reset(decisionGrace / 2)
		})
		h.sleep(time.Second)
		for _, e := range logged.AllEntries() {
			if e.Level <= logrus.ErrorLevel {
				t.Errorf("logged %q", e.Message)
			}
		}
		if c.finalAnswers != 1 || c.established {
			t.Errorf("final answers %d, established %v; want one final answer, a failure", c.finalAnswers, c.established)
		}
	})
}

// The grace period is renewed a limited number of times: a module that never decides does not delay the answer for ever, even if
// the process stalls again and again.
func TestGraceRenewalsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a")
		defer h.stop()
		c := h.call("1", time.Second)
		h.core.Post(func() { h.core.calls["1"].current.expiry.Stop() })
		h.sleep(time.Second + decisionGrace/3)
		for range 2 * maxGraceRenewals {
			h.core.Post(func() { time.Sleep(decisionGrace + stallThreshold) })
			h.sleep(decisionGrace + stallThreshold)
		}
		if c.finalAnswers != 1 || c.established {
			t.Errorf("final answers %d, established %v; want one final answer, a failure", c.finalAnswers, c.established)
		}
	})
}
