package routing

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"beammux/control"
)

// TestMain fixes the seed of the property-based tests, so that each run takes the same steps.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "20261201")
	os.Exit(m.Run())
}

// Guards against a stale send: a set-up that is in the write queue when its server starts to drain is not sent.
func TestStateIsCheckedAtTheFirstByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a")
		defer h.stop()
		server := h.servers["a"]
		server.writesHeld = true
		c := h.call("1", time.Second)
		h.setState("a", 0, control.Draining)
		synctest.Wait()
		for _, write := range server.queue {
			write()
		}
		synctest.Wait()
		if server.dropped != 1 || len(server.inFlight) != 0 || c.finalAnswers != 1 {
			t.Errorf("dropped %d, in flight %d, final answers %d; want 1, 0, 1", server.dropped, len(server.inFlight), c.finalAnswers)
		}
	})
}

// Guards against a call that is established only at the server: a late answer, and one that can't be delivered to the caller,
// are released.
func TestLateAndUndeliverableAnswersAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a")
		defer h.stop()
		server := h.servers["a"]
		c := h.call("1", time.Second)
		late := server.inFlight["1"]
		h.sleep(2 * time.Second)
		server.events.Answered(late, nil)
		synctest.Wait()
		if c.finalAnswers != 1 || c.established || server.releasesReceived["1"] != 1 {
			t.Errorf("late answer: final answers %d, established %v, releases %d", c.finalAnswers, c.established, server.releasesReceived["1"])
		}
	})
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a")
		defer h.stop()
		server := h.servers["a"]
		d := h.call("2", time.Second)
		d.unreachable = true
		server.answer("2", "")
		synctest.Wait()
		if server.releasesReceived["2"] != 1 {
			t.Errorf("undeliverable answer: releases %d, want 1", server.releasesReceived["2"])
		}
	})
}

// Guards against calls that are never released. A server that resets its connection and then refuses a new one is dead, and so
// is one that is removed from the list.
func TestCallsOfADeadServerAreReleased(t *testing.T) {
	for _, removed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness("a")
			defer h.stop()
			server := h.servers["a"]
			c := h.call("1", time.Second)
			server.answer("1", "body")
			synctest.Wait()
			if c.body != "body" {
				t.Fatalf("body %q", c.body)
			}
			if removed {
				h.setState("a", 0, control.Gone)
			} else {
				server.dialError = syscall.ECONNREFUSED
				server.reset()
			}
			synctest.Wait()
			if c.releases != 1 {
				t.Errorf("removed %v: %d releases, want 1", removed, c.releases)
			}
		})
	}
}

// Closing a connection does not end the established calls. The connection is opened again, and their releases arrive on the
// new one.
func TestEstablishedCallsOutliveConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a")
		defer h.stop()
		server := h.servers["a"]
		c := h.call("1", time.Second)
		server.answer("1", "")
		synctest.Wait()
		server.reset()
		synctest.Wait()
		if c.releases != 0 || server.dials != 2 {
			t.Fatalf("releases %d, dials %d; want 0, 2", c.releases, server.dials)
		}
		server.events.Released("1", CauseNormal, nil)
		server.events.Released("1", CauseNormal, nil) // repeated on the next connection
		synctest.Wait()
		if c.releases != 1 {
			t.Errorf("%d releases, want 1", c.releases)
		}
	})
}

// An attempt ends once: later events of it have no effect.
func TestAttemptEndsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a")
		defer h.stop()
		server := h.servers["a"]
		c := h.call("1", time.Second)
		a := server.inFlight["1"]
		server.answer("1", "")
		server.events.Answered(a, nil)
		server.events.Failed(a, Outcome{Code: control.Failed})
		synctest.Wait()
		if c.finalAnswers != 1 || server.releasesReceived["1"] != 0 {
			t.Errorf("final answers %d, releases at the server %d; want 1, 0", c.finalAnswers, server.releasesReceived["1"])
		}
		server.events.Released("1", CauseNormal, nil)
		server.events.Failed(a, Outcome{Code: control.Failed})
		synctest.Wait()
		if c.finalAnswers != 1 || c.releases != 1 {
			t.Errorf("final answers %d, releases %d; want 1, 1", c.finalAnswers, c.releases)
		}
	})
}

// Guards against losing the last answer at a planned restart: the function given to OnDrained, which ends the process, is called
// only after the answer has been delivered.
func TestOnDrainedIsCalledAfterLastAnswer(t *testing.T) {
	for _, answered := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness("a")
			defer h.stop()
			c := h.call("1", time.Second)
			finalAnswers := -1
			h.core.OnDrained(func() { finalAnswers = c.finalAnswers })
			synctest.Wait()
			if finalAnswers != -1 {
				t.Fatal("drained while a call is unanswered")
			}
			if answered {
				h.servers["a"].answer("1", "")
				synctest.Wait()
			}
			h.sleep(2 * time.Second)
			if finalAnswers != 1 {
				t.Errorf("drained after %d final answers, want 1", finalAnswers)
			}
		})
	}
}

// orphans counts the releases of unknown calls, by call id.
type orphans map[string]int

func (o orphans) Orphan(id string, _ int) { o[id]++ }

// Guards against calls from before a restart that are never released at their callers.
func TestReleaseOfAnUnknownCallIsPassedOnOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a")
		defer h.stop()
		o := orphans{}
		h.core.SetOrphans(o)
		for range 2 {
			h.servers["a"].events.Released("old", CauseNormal, nil)
		}
		synctest.Wait()
		if o["old"] != 1 {
			t.Errorf("passed on %d times, want 1", o["old"])
		}
	})
}

// An address that is reused under a new name is a new server, with a new connection.
func TestAddressReusedByNewServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a")
		defer h.stop()
		server := h.servers["a"]
		h.list.Apply(Update{Hosts: []Host{{Name: "a", Addr: "a", State: control.Gone},
			{Name: "s-00000002", Addr: "a", State: control.Ready}}}, nil)
		synctest.Wait()
		c := h.call("1", time.Second)
		if server.dials != 2 || len(server.inFlight) != 1 {
			t.Fatalf("dials %d, in flight %d; want 2, 1", server.dials, len(server.inFlight))
		}
		server.answer("1", "")
		synctest.Wait()
		if !c.established {
			t.Error("the call is not established at the new server")
		}
	})
}

// A complete list removes only servers of its own source.
func TestSourcesDoNotRemoveEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		defer h.stop()
		h.servers["a"], h.servers["b"] = newFakeServer(), newFakeServer()
		h.list.Apply(Update{Source: "bus", Complete: true, Hosts: []Host{{Name: "a", Addr: "a", State: control.Ready}}}, nil)
		h.list.Apply(Update{Source: "file", Complete: true, Hosts: []Host{{Name: "b", Addr: "b", State: control.Ready}}}, nil)
		synctest.Wait()
		h.list.Apply(Update{Source: "file", Complete: true}, nil)
		synctest.Wait()
		if h.servers["a"].closed != 0 || h.servers["b"].closed != 1 {
			t.Errorf("closed %d and %d, want 0 and 1", h.servers["a"].closed, h.servers["b"].closed)
		}
	})
}

// A second caller that uses the id of an open call must not end that call, neither by its own failure nor by withdrawing or
// hanging up. An id that is used again within the release guard is rejected.
func TestSecondCallerWithSameID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness("a")
		defer h.stop()
		first, second := h.call("1", time.Second), h.call("1", time.Second)
		h.core.Withdraw("1", second, nil)
		h.core.Hangup("1", CauseNormal, second, nil)
		synctest.Wait()
		if first.finalAnswers != 0 || second.finalAnswers != 1 || second.established || len(h.servers["a"].inFlight) != 1 {
			t.Fatalf("final answers %d and %d, %d set-ups in flight; want 0, 1, 1", first.finalAnswers, second.finalAnswers, len(h.servers["a"].inFlight))
		}
		h.core.Withdraw("1", first, nil)
		third := h.call("1", time.Second)
		if third.finalAnswers != 1 || len(h.servers["a"].inFlight) != 0 {
			t.Errorf("id used again at once: %d final answers, %d set-ups in flight; want 1, 0", third.finalAnswers, len(h.servers["a"].inFlight))
		}
	})
}

// multiConnServer is a fake server with several connections, each with its own set-ups.
type multiConnServer struct {
	conns     []*fakeServer
	silent    bool  // no message is sent on new connections
	dialError error // result of dials
}

func (s *multiConnServer) MaxConns(string) int { return 3 }

func (s *multiConnServer) Announces(string) bool { return false }

func (s *multiConnServer) Endpoint(addr string) string { return addr }

func (s *multiConnServer) Dial(ctx context.Context, addr string, e ServerEvents) (ServerConn, error) {
	if s.dialError != nil {
		return nil, s.dialError
	}
	one := newFakeServer()
	s.conns = append(s.conns, one)
	if !s.silent {
		e.Report(nil)
	}
	return one.Dial(ctx, addr, e)
}

func newMultiConnHarness() (*harness, *multiConnServer) {
	server := &multiConnServer{}
	h := &harness{core: NewCore(settings(), 1, nil, discardLogger())}
	h.list = NewList(h.core, server, discardLogger())
	h.setState("a", 0, control.Ready)
	synctest.Wait()
	return h, server
}

// Guards against one broken connection cutting all set-ups in flight at a server: they are spread over the connections, and
// only those on the broken one are cut.
func TestSetupsAreSpreadOverConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, server := newMultiConnHarness()
		defer h.stop()
		p := h.list.hosts["a"].peer
		for i := range 9 { // bypasses the module, whose in-flight limit for a new server is low
			a := NewAttempt(fmt.Sprint(i), 0)
			a.Deadline = time.Now().Add(time.Second)
			p.setup(a)
			synctest.Wait()
		}
		if len(server.conns) != 3 {
			t.Fatalf("%d connections, want 3", len(server.conns))
		}
		for i, l := range server.conns {
			if n := len(l.inFlight); n < 2 || n > 4 {
				t.Errorf("%d set-ups on connection %d", n, i)
			}
		}
		server.conns[0].reset()
		synctest.Wait()
		if left := len(server.conns[1].inFlight) + len(server.conns[2].inFlight); left < 5 || len(server.conns) != 4 {
			t.Errorf("%d set-ups left, %d connections opened in all; want 5 or more, 4", left, len(server.conns))
		}
	})
}

// Guards against taking the late answer of a given-up attempt for the answer of the call's next attempt: servers identify only
// the call, so the next attempt uses another connection.
func TestNextAttemptUsesAnotherConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, server := newMultiConnHarness()
		defer h.stop()
		p := h.list.hosts["a"].peer
		for n := range 3 {
			a := NewAttempt("1", n)
			a.Deadline = time.Now().Add(time.Second)
			p.setup(a)
			synctest.Wait()
			p.cancel(a.AttemptRef)
			synctest.Wait()
		}
		if len(server.conns) != 3 {
			t.Errorf("%d connections for three attempts of a call, want 3", len(server.conns))
		}
	})
}

// Guards against calls that are never released because their server's machine vanished: there is no notification, and no new
// connection can be opened. If the server comes back, it receives the releases.
func TestCallsOfVanishedServerAreReleasedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, server := newMultiConnHarness()
		defer h.stop()
		c := h.call("1", time.Second)
		server.conns[0].answer("1", "")
		synctest.Wait()
		server.dialError = os.ErrDeadlineExceeded
		server.conns[0].events.Down(errors.New("no response"))
		h.sleep(3 * time.Second)
		if c.releases != 0 {
			t.Error("released after 3 s: the server may come back")
		}
		h.sleep(3500 * time.Millisecond) // 1.5 s of the 8 s are for detecting that the server does not respond
		if c.releases != 1 {
			t.Errorf("%d releases after 6.5 s, want 1", c.releases)
		}
		server.dialError = nil
		h.sleep(2 * time.Second)
		// One connection replaces the first, and one more collects what the server wrote before it saw that end.
		if n := len(server.conns); n != 3 || server.conns[1].releasesReceived["1"] != 1 {
			t.Errorf("%d connections; the server did not receive the release", n)
		}
	})
}

// Guards against a late answer of a given-up attempt ending the call that another attempt has established at the same server:
// servers identify a call by its id alone. If the other attempt fails, the late answer is released.
func TestLateAnswerDoesNotReleaseEstablishedCall(t *testing.T) {
	for _, answered := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			h, server := newMultiConnHarness()
			defer h.stop()
			c := h.call("1", 2*time.Second)
			first := server.conns[0].inFlight["1"]
			h.core.Post(func() { h.core.endAttempt(h.core.calls["1"], control.Cancelled, false) })
			synctest.Wait()
			h.core.Post(func() {
				h.core.calls["1"].attempts = 1
				h.core.send(h.core.calls["1"], control.Action{ID: "1", Server: h.list.hosts["a"].id})
			})
			synctest.Wait()
			if len(server.conns) != 2 || len(server.conns[1].inFlight) != 1 {
				t.Fatalf("%d connections, want 2, the second with one set-up in flight", len(server.conns))
			}
			releasesReceived := func() int { return server.conns[0].releasesReceived["1"] + server.conns[1].releasesReceived["1"] }
			if answered {
				server.conns[1].answer("1", "")
				synctest.Wait()
			}
			server.conns[0].events.Answered(first, nil)
			synctest.Wait()
			if releasesReceived() != 0 {
				t.Fatal("the other attempt was released too")
			}
			if answered && (!c.established || c.releases != 0) {
				t.Errorf("established %v, %d releases; want true, 0", c.established, c.releases)
			}
			if !answered {
				server.conns[1].events.Failed(server.conns[1].inFlight["1"], Outcome{Code: control.Failed})
				synctest.Wait()
				if releasesReceived() != 1 {
					t.Errorf("%d releases of the late answer, want 1", releasesReceived())
				}
			}
		})
	}
}

// A server that accepts connections and closes them at once is dialled again only after a wait.
func TestSilentConnectionIsNotRedialedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, server := newMultiConnHarness()
		defer h.stop()
		server.silent = true
		for range 3 {
			server.conns[len(server.conns)-1].events.Down(io.EOF)
			synctest.Wait()
		}
		if n := len(server.conns); n != 2 {
			t.Errorf("%d connections opened without a wait, want 2", n)
		}
		h.sleep(time.Second)
		if n := len(server.conns); n != 3 {
			t.Errorf("%d connections opened, want 3", n)
		}
	})
}
