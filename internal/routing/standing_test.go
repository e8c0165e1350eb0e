package routing

import (
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/control"
)

// Guards against a call left standing where the core, busy with other work, handles the answer only after the server is lost.
func TestAnswerHandledAfterItsServerWasLost(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(h *harness, s *fakeServer)
	}{
		{"reset, then refused", func(_ *harness, s *fakeServer) {
			s.dialError = syscall.ECONNREFUSED
			s.reset()
		}},
		{"removed from the list", func(h *harness, _ *fakeServer) { h.setState("a", 0, control.Gone) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness("a")
				defer h.stop()
				caller := h.call("1", 3*time.Second)
				h.core.Post(func() { time.Sleep(100 * time.Millisecond) })
				h.servers["a"].answer("1", "body")
				c.lose(h, h.servers["a"])
				h.sleep(time.Second)
				require.Equal(t, 1, caller.finalAnswers)
				require.True(t, caller.established)
				require.Equal(t, 1, caller.releases, "the call stands at a server that is lost")
			})
		})
	}
}
