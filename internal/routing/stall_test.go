package routing

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
)

// A process that stood still over a caller's deadline finds the core's timer and the end of the attempt due at the same
// moment, and the runtime may run that one first. The module still has its chance to answer.
func TestStallOverADeadlineLeavesTheModuleItsChance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench("a")
		defer b.end()
		logged := test.NewLocal(b.core.log.(*logrus.Logger))
		c := b.call("1", time.Second)
		b.core.Post(func() {
			k := b.core.calls["1"]
			k.deadlineTimer.Stop()
			k.current.expiry.Stop()
			time.Sleep(time.Second + 2*decisionGrace)
			k.deadlineTimer.Reset(0)
			k.current.expiry.Reset(decisionGrace / 2)
		})
		b.sleep(2 * time.Second)
		for _, e := range logged.AllEntries() {
			if e.Level <= logrus.ErrorLevel {
				t.Errorf("logged %q", e.Message)
			}
		}
		if c.finals != 1 || c.stood {
			t.Errorf("finals %d, stood %v; want one answer, and that it failed", c.finals, c.stood)
		}
	})
}

// A process that stands still during the module's grace has not given it the grace.
func TestStallDuringTheGraceIsNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench("a")
		defer b.end()
		logged := test.NewLocal(b.core.log.(*logrus.Logger))
		c := b.call("1", time.Second)
		b.core.Post(func() { b.core.calls["1"].current.expiry.Stop() })
		b.sleep(time.Second + decisionGrace/3)
		b.core.Post(func() {
			time.Sleep(2 * decisionGrace)
			b.core.calls["1"].current.expiry.Reset(decisionGrace / 2)
		})
		b.sleep(time.Second)
		for _, e := range logged.AllEntries() {
			if e.Level <= logrus.ErrorLevel {
				t.Errorf("logged %q", e.Message)
			}
		}
		if c.finals != 1 || c.stood {
			t.Errorf("finals %d, stood %v; want one answer, and that it failed", c.finals, c.stood)
		}
	})
}

// A module that never decides is not waited for, however often the process stands still: the answer comes while it still does.
func TestGraceEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench("a")
		defer b.end()
		c := b.call("1", time.Second)
		b.core.Post(func() { b.core.calls["1"].current.expiry.Stop() })
		b.sleep(time.Second + decisionGrace/3)
		for range 2 * maxGraces {
			b.core.Post(func() { time.Sleep(decisionGrace + graceStall) })
			b.sleep(decisionGrace + graceStall)
		}
		if c.finals != 1 || c.stood {
			t.Errorf("finals %d, stood %v; want one answer, and that it failed", c.finals, c.stood)
		}
	})
}
