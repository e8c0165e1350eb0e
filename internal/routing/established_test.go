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
				synctest.Wait()
				h.sleep(time.Second)
				require.Equal(t, 1, caller.finalAnswers)
				require.True(t, caller.established)
				require.Equal(t, 1, caller.releases, "the call is open at a server that is lost")
			})
		})
	}
}

// Guards against the end of a call by a server at which it is not established: the server's answer to an earlier attempt was lost, the
// call was established elsewhere, and then the first server ends what it holds.
func TestReleaseByAnEarlierAttemptsServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a", "b")
		defer h.stop()
		caller := h.call("1", 3*time.Second)
		first, second := h.servers["a"], h.servers["b"]
		if len(first.inFlight) == 0 {
			first, second = second, first
		}
		first.reset()
		h.sleep(time.Second)
		require.Contains(t, second.inFlight, "1", "the second attempt")
		second.answer("1", "body")
		synctest.Wait()
		require.True(t, caller.established)
		first.events.Released("1", CauseNormal, nil)
		synctest.Wait()
		require.Zero(t, caller.releases, "the call is established at the second server")
		second.events.Released("1", CauseNormal, nil)
		synctest.Wait()
		require.Equal(t, 1, caller.releases)
	})
}

// Guards against a call that stays open at a server without a caller: its answer arrives just as its connection is given up, and the caller
// has another final answer.
func TestAnswerOnAConnectionThatWasGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a")
		defer h.stop()
		caller := h.call("1", 3*time.Second)
		server := h.servers["a"]
		events, attempt := server.events, server.inFlight["1"]
		server.dialError = syscall.ECONNRESET // the call can't be tried again
		server.reset()
		events.Answered(attempt, []byte("body"))
		h.sleep(4 * time.Second)
		require.Equal(t, 1, caller.finalAnswers)
		server.dialError = nil
		h.sleep(2 * time.Second)
		if !caller.established {
			require.Equal(t, 1, server.releasesReceived["1"], "the server holds a call that was never released")
		}
	})
}

// Guards against a call left standing at a server: its release is lost with the connection, and must be sent on the next. A later
// attempt of the same call there must not be ended by it.
func TestLostReleaseIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a")
		defer h.stop()
		caller := h.call("1", 3*time.Second)
		server := h.servers["a"]
		server.answer("1", "body")
		synctest.Wait()
		require.True(t, caller.established)
		server.events.ReleaseLost(NewAttemptRef("1", 0), CauseNormal)
		synctest.Wait()
		require.Zero(t, server.releasesReceived["1"], "the call is established")
		h.core.Hangup("1", CauseNormal, nil, nil)
		synctest.Wait()
		require.Equal(t, 1, server.releasesReceived["1"])
		events := server.events
		server.reset()
		events.ReleaseLost(NewAttemptRef("1", 0), CauseNormal)
		h.sleep(time.Second)
		require.Equal(t, 2, server.releasesReceived["1"])
	})
}

// Guards against a call left standing at a server whose answer was lost: the connection breaks under a set-up that was sent, the call
// gets its answer elsewhere, and the first server holds it without a caller.
func TestSetupCutWithItsConnectionIsReleased(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness("a", "b")
			defer h.stop()
			caller := h.call("1", 3*time.Second)
			first, second := h.servers["a"], h.servers["b"]
			if len(first.inFlight) == 0 {
				first, second = second, first
			}
			if cancelled {
				h.core.Withdraw("1", caller, nil)
				synctest.Wait()
			}
			first.reset()
			h.sleep(time.Second)
			require.Equal(t, 1, first.releasesReceived["1"])
			if !cancelled {
				require.Contains(t, second.inFlight, "1", "the second attempt")
				second.answer("1", "body")
				h.sleep(time.Second)
				require.True(t, caller.established)
				require.Zero(t, second.releasesReceived["1"])
			}
		})
	}
}

// Guards against a second attempt beside one that a removed server still executes: its connections are closed at once, which gives up
// the set-ups that are open on them, and its calls end at their callers.
func TestRemovalGivesUpSetups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a")
		defer h.stop()
		established, waiting := h.call("1", 3*time.Second), h.call("2", 3*time.Second)
		server := h.servers["a"]
		server.answer("1", "body")
		synctest.Wait()
		require.Contains(t, server.inFlight, "2")
		h.setState("a", 0, control.Gone)
		synctest.Wait()
		require.Equal(t, 1, server.closed)
		require.Equal(t, 1, established.releases)
		h.sleep(4 * time.Second)
		require.Equal(t, 1, waiting.finalAnswers)
		require.False(t, waiting.established)
	})
}

// Guards against a call that is answered to its caller and never released: the server's release, on another connection, overtakes the
// answer. If the answer never comes, the release concerns nobody.
func TestReleaseThatOvertakesItsAnswer(t *testing.T) {
	for _, cause := range []int{CauseNormal, CauseFailed} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness("a")
			defer h.stop()
			caller, unanswered := h.call("1", 3*time.Second), h.call("2", time.Second)
			server := h.servers["a"]
			for _, id := range []string{"1", "2"} {
				server.events.Released(id, cause, nil)
				server.events.Released(id, cause, nil) // repeated on the next connection
			}
			h.sleep(300 * time.Millisecond)
			require.Zero(t, caller.finalAnswers)
			server.answer("1", "body")
			h.sleep(2 * time.Second)
			require.True(t, caller.established)
			require.Equal(t, 1, caller.releases)
			require.Zero(t, server.releasesReceived["1"], "the server has ended the call")
			require.Equal(t, 1, unanswered.finalAnswers)
			require.False(t, unanswered.established)
		})
	}
}

// Guards against a release that is confirmed and dropped, because its connection has ended by the time it is handled.
func TestReleaseReadJustBeforeItsConnectionEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a")
		defer h.stop()
		caller := h.call("1", 3*time.Second)
		server := h.servers["a"]
		server.answer("1", "body")
		synctest.Wait()
		events := server.events
		server.reset()
		events.Released("1", CauseNormal, nil)
		h.sleep(time.Second)
		require.Equal(t, 1, caller.releases)
	})
}

// Guards against a call that stays open at its server: the release that overtakes the answer is that of an earlier attempt there.
func TestReleaseOfAnEarlierAttemptOvertakesTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a")
		defer h.stop()
		h.maxConns = 2
		caller := h.call("1", 3*time.Second)
		server := h.servers["a"]
		h.core.Post(func() {
			call := h.core.calls["1"]
			h.core.endAttempt(call, control.TimedOut, false)
			h.core.send(call, control.Action{ID: "1", Server: h.list.hosts["a"].id})
		})
		synctest.Wait()
		require.Contains(t, server.inFlight, "1", "the second attempt")
		server.events.Released("1", CauseNormal, nil)
		server.answer("1", "body")
		h.sleep(time.Second)
		require.True(t, caller.established)
		require.Equal(t, 1, caller.releases)
		require.Equal(t, 1, server.releasesReceived["1"])
	})
}
