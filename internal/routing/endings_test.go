package routing

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/control"
)

// flush runs the queued writes, as the writer of a connection does.
func (s *fakeServer) flush() {
	queue := s.queue
	s.queue = nil
	for _, f := range queue {
		f()
	}
	synctest.Wait()
}

// No attempt may begin for a caller that has left, wherever its call is queued at that moment. Caller.Gone returns true at once;
// the withdrawal arrives later, and in this test it never arrives.
func TestNoAttemptStartsAfterCallerLeft(t *testing.T) {
	for name, run := range map[string]func(h *harness, server *fakeServer) *caller{
		"before the core takes it": func(h *harness, server *fakeServer) *caller {
			c := &caller{}
			c.gone.Store(true)
			h.core.Open(Setup{ID: "1", FirstChoice: 0, TimeLeft: time.Second}, c)
			return c
		},
		"in the peer's mailbox": func(h *harness, server *fakeServer) *caller {
			c, hold := &caller{}, make(chan struct{})
			h.list.hosts["a"].peer.Post(func() { <-hold })
			h.core.Open(Setup{ID: "1", FirstChoice: 0, TimeLeft: time.Second}, c)
			synctest.Wait()
			c.gone.Store(true)
			close(hold)
			return c
		},
		"in the write queue": func(h *harness, server *fakeServer) *caller {
			server.writesHeld = true
			c := h.call("1", time.Second)
			c.gone.Store(true)
			server.flush()
			if server.dropped != 1 {
				panic("no set-up was queued")
			}
			return c
		},
		"during the release guard": func(h *harness, server *fakeServer) *caller {
			c := h.call("1", 2*time.Second)
			if len(server.inFlight) != 1 {
				panic("no first attempt")
			}
			a := server.inFlight["1"]
			delete(server.inFlight, "1")
			server.events.Failed(a, Outcome{Code: control.Cut})
			synctest.Wait()
			c.gone.Store(true)
			h.sleep(time.Second)
			return c
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness("a", "b")
				defer h.stop()
				c := run(h, h.servers["a"])
				synctest.Wait()
				h.sleep(50 * time.Millisecond)
				if n := len(h.servers["a"].inFlight) + len(h.servers["b"].inFlight); n != 0 || c.finalAnswers != 0 {
					t.Errorf("%d attempts began, %d final answers; want none", n, c.finalAnswers)
				}
			})
		})
	}
}

// An attempt that is given up while it waits in the write queue must not be written: another attempt may be in flight by then.
func TestGivenUpAttemptInWriteQueueIsNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a")
		defer h.stop()
		server := h.servers["a"]
		server.writesHeld = true
		c := h.call("1", time.Second)
		h.sleep(1200 * time.Millisecond) // past the deadline: the caller has its final answer
		server.flush()
		if c.finalAnswers != 1 || server.dropped != 1 || len(server.inFlight) != 0 {
			t.Errorf("final answers %d, dropped %d, written %d; want 1, 1, 0", c.finalAnswers, server.dropped, len(server.inFlight))
		}
	})
}

// An excess set-up is refused at once, with a time to wait, and is sent to no server.
func TestExcessIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a")
		defer h.stop()
		c := &caller{}
		h.core.Open(Setup{ID: "1", FirstChoice: 0, TimeLeft: time.Second, Excess: true}, c)
		synctest.Wait()
		if c.finalAnswers != 1 || c.established || c.wait <= 0 || len(h.servers["a"].inFlight) != 0 {
			t.Errorf("%d answers, wait %v, %d attempts", c.finalAnswers, c.wait, len(h.servers["a"].inFlight))
		}
	})
}

// A flood of new call ids must not use memory for calls that were never sent to a server. Of the others only the newest are
// remembered, for at least endedCallLifetime.
func TestEndedCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		defer h.stop()
		for i := range 20000 {
			h.core.Open(Setup{ID: fmt.Sprint(i), FirstChoice: 0, TimeLeft: time.Second}, &caller{})
		}
		synctest.Wait()
		if n := len(h.core.ended.current) + len(h.core.ended.previous); n != 0 {
			t.Errorf("%d ids remembered of calls that were sent to no server", n)
		}
	})
	var m endedCalls
	now, maxRemembered := control.Micros(1e9), 0
	for i := range 3 * maxEndedCalls {
		now += 50
		m.add(fmt.Sprint(i), now)
		maxRemembered = max(maxRemembered, len(m.current)+len(m.previous))
	}
	if maxRemembered > maxEndedCalls {
		t.Errorf("%d ids remembered, want at most %d", maxRemembered, maxEndedCalls)
	}
	for back := range maxEndedCalls / 2 {
		if at, ok := m.endOf(fmt.Sprint(3*maxEndedCalls - 1 - back)); !ok || at != now-50*control.Micros(back) {
			t.Fatalf("end of the call before the last %d is wrong or forgotten: %v, %v", back, at, ok)
		}
	}
	now += control.Micros(endedCallLifetime/time.Microsecond) - 1
	m.add("young", now)
	if _, ok := m.endOf(fmt.Sprint(3*maxEndedCalls - 1)); !ok {
		t.Error("id forgotten before endedCallLifetime")
	}
	for range 2 {
		now += control.Micros(endedCallLifetime / time.Microsecond)
		m.add("late", now)
	}
	if _, ok := m.endOf("young"); ok {
		t.Error("id remembered after 2 * endedCallLifetime")
	}
}

// A connection that opens late carries only the queued set-ups that are still wanted: none that was given up, cancelled or
// left by its caller in the meantime.
func TestQueuedAttemptsAfterSlowDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		defer h.stop()
		h.servers["a"] = newFakeServer()
		up := make(chan struct{})
		h.servers["a"].dialGate = up
		h.setState("a", 0, control.Ready)
		synctest.Wait()
		short, cancelled, left, waits := h.call("short", 300*time.Millisecond), h.call("cancelled", 2*time.Second),
			h.call("left", 2*time.Second), h.call("waits", 2*time.Second)
		h.sleep(400 * time.Millisecond)
		h.core.Withdraw("cancelled", cancelled, nil)
		left.gone.Store(true)
		synctest.Wait()
		close(up)
		synctest.Wait()
		server := h.servers["a"]
		if len(server.inFlight) != 1 || server.setups["waits"] != 1 || short.finalAnswers != 1 || cancelled.finalAnswers+waits.finalAnswers != 0 {
			t.Errorf("in flight %v, received %v, final answers %d %d %d", server.inFlight, server.setups, short.finalAnswers, cancelled.finalAnswers, waits.finalAnswers)
		}
	})
}

// Guards against a set-up that is sent again at once, within the release guard, although its first byte was written: its connection
// ends at the moment of the write.
func TestSetupWrittenAsItsConnectionEndsIsNotSentAgainAtOnce(t *testing.T) {
	for _, writtenFirst := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness("a", "b")
			defer h.stop()
			first, second := h.servers["a"], h.servers["b"]
			first.writesHeld = true
			h.call("1", time.Second)
			require.Len(t, first.queue, 1)
			write := first.queue[0]
			// The end of the connection waits behind this, for an actor that is busy.
			busy := make(chan struct{})
			h.list.hosts["a"].peer.Post(func() { <-busy })
			first.reset()
			if writtenFirst {
				write()
			}
			close(busy)
			synctest.Wait()
			if !writtenFirst {
				write()
			}
			h.sleep(100 * time.Millisecond)
			require.Equal(t, 1, first.setups["1"]+second.setups["1"], "set-ups within the release guard; written first: %v", writtenFirst)
		})
	}
}
