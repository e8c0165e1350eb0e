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
