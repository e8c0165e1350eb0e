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
		b := newHarness("a")
		defer b.stop()
		w := b.servers["a"]
		w.writesHeld = true
		c := b.call("1", time.Second)
		b.setState("a", 0, control.Draining)
		synctest.Wait()
		for _, write := range w.queue {
			write()
		}
		synctest.Wait()
		if w.dropped != 1 || len(w.inFlight) != 0 || c.finalAnswers != 1 {
			t.Errorf("dropped %d, in flight %d, final answers %d; want 1, 0, 1", w.dropped, len(w.inFlight), c.finalAnswers)
		}
	})
}

// Guards against a call that is established only at the server: a late answer, and one that can't be delivered to the caller,
// are released.
func TestLateAndUndeliverableAnswersAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness("a")
		defer b.stop()
		w := b.servers["a"]
		c := b.call("1", time.Second)
		late := w.inFlight["1"]
		b.sleep(2 * time.Second)
		w.events.Answered(late, nil)
		synctest.Wait()
		if c.finalAnswers != 1 || c.established || w.releasesReceived["1"] != 1 {
			t.Errorf("late answer: final answers %d, established %v, releases %d", c.finalAnswers, c.established, w.releasesReceived["1"])
		}
	})
	synctest.Test(t, func(t *testing.T) {
		b := newHarness("a")
		defer b.stop()
		w := b.servers["a"]
		d := b.call("2", time.Second)
		d.unreachable = true
		w.answer("2", "")
		synctest.Wait()
		if w.releasesReceived["2"] != 1 {
			t.Errorf("undeliverable answer: releases %d, want 1", w.releasesReceived["2"])
		}
	})
}

// Guards against calls that are never released. A server that resets its connection and then refuses a new one is dead, and so
// is one that is removed from the list.
func TestCallsOfADeadServerAreReleased(t *testing.T) {
	for _, removed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := newHarness("a")
			defer b.stop()
			w := b.servers["a"]
			c := b.call("1", time.Second)
			w.answer("1", "body")
			synctest.Wait()
			if c.body != "body" {
				t.Fatalf("body %q", c.body)
			}
			if removed {
				b.setState("a", 0, control.Gone)
			} else {
				w.dialError = syscall.ECONNREFUSED
				w.reset()
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
		b := newHarness("a")
		defer b.stop()
		w := b.servers["a"]
		c := b.call("1", time.Second)
		w.answer("1", "")
		synctest.Wait()
		w.reset()
		synctest.Wait()
		if c.releases != 0 || w.dials != 2 {
			t.Fatalf("releases %d, dials %d; want 0, 2", c.releases, w.dials)
		}
		w.events.Released("1", CauseNormal, nil)
		w.events.Released("1", CauseNormal, nil) // repeated on the next connection
		synctest.Wait()
		if c.releases != 1 {
			t.Errorf("%d releases, want 1", c.releases)
		}
	})
}

// An attempt ends once: later events of it have no effect.
func TestAttemptEndsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness("a")
		defer b.stop()
		w := b.servers["a"]
		c := b.call("1", time.Second)
		a := w.inFlight["1"]
		w.answer("1", "")
		w.events.Answered(a, nil)
		w.events.Failed(a, Outcome{Code: control.Failed})
		synctest.Wait()
		if c.finalAnswers != 1 || w.releasesReceived["1"] != 0 {
			t.Errorf("final answers %d, releases at the server %d; want 1, 0", c.finalAnswers, w.releasesReceived["1"])
		}
		w.events.Released("1", CauseNormal, nil)
		w.events.Failed(a, Outcome{Code: control.Failed})
		synctest.Wait()
		if c.finalAnswers != 1 || c.releases != 1 {
			t.Errorf("final answers %d, releases %d; want 1, 1", c.finalAnswers, c.releases)
		}
	})
}

// Guards against losing the last answer at a planned restart: the function given to Drained, which ends the process, is called
// only after the answer has been delivered.
func TestDrainedIsCalledAfterLastAnswer(t *testing.T) {
	for _, answered := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			b := newHarness("a")
			defer b.stop()
			c := b.call("1", time.Second)
			finalAnswers := -1
			b.core.Drained(func() { finalAnswers = c.finalAnswers })
			synctest.Wait()
			if finalAnswers != -1 {
				t.Fatal("drained while a call is unanswered")
			}
			if answered {
				b.servers["a"].answer("1", "")
				synctest.Wait()
			}
			b.sleep(2 * time.Second)
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
		b := newHarness("a")
		defer b.stop()
		o := orphans{}
		b.core.SetOrphans(o)
		for range 2 {
			b.servers["a"].events.Released("old", CauseNormal, nil)
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
		b := newHarness("a")
		defer b.stop()
		w := b.servers["a"]
		b.list.Apply(Update{Hosts: []Host{{Name: "a", Addr: "a", State: control.Gone},
			{Name: "s-00000002", Addr: "a", State: control.Ready}}}, nil)
		synctest.Wait()
		c := b.call("1", time.Second)
		if w.dials != 2 || len(w.inFlight) != 1 {
			t.Fatalf("dials %d, in flight %d; want 2, 1", w.dials, len(w.inFlight))
		}
		w.answer("1", "")
		synctest.Wait()
		if !c.established {
			t.Error("the call is not established at the new server")
		}
	})
}

// A complete list removes only servers of its own source.
func TestSourcesDoNotRemoveEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness()
		defer b.stop()
		b.servers["a"], b.servers["b"] = newFakeServer(), newFakeServer()
		b.list.Apply(Update{Source: "bus", Whole: true, Hosts: []Host{{Name: "a", Addr: "a", State: control.Ready}}}, nil)
		b.list.Apply(Update{Source: "file", Whole: true, Hosts: []Host{{Name: "b", Addr: "b", State: control.Ready}}}, nil)
		synctest.Wait()
		b.list.Apply(Update{Source: "file", Whole: true}, nil)
		synctest.Wait()
		if b.servers["a"].closed != 0 || b.servers["b"].closed != 1 {
			t.Errorf("closed %d and %d, want 0 and 1", b.servers["a"].closed, b.servers["b"].closed)
		}
	})
}

// A second caller that uses the id of an open call must not end that call, neither by its own failure nor by withdrawing or
// hanging up. An id that is used again within the release guard is rejected.
func TestSecondCallerWithSameID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness("a")
		defer b.stop()
		first, second := b.call("1", time.Second), b.call("1", time.Second)
		b.core.Withdraw("1", second, nil)
		b.core.Hangup("1", CauseNormal, second, nil)
		synctest.Wait()
		if first.finalAnswers != 0 || second.finalAnswers != 1 || second.established || len(b.servers["a"].inFlight) != 1 {
			t.Fatalf("final answers %d and %d, %d set-ups in flight; want 0, 1, 1", first.finalAnswers, second.finalAnswers, len(b.servers["a"].inFlight))
		}
		b.core.Withdraw("1", first, nil)
		third := b.call("1", time.Second)
		if third.finalAnswers != 1 || len(b.servers["a"].inFlight) != 0 {
			t.Errorf("id used again at once: %d final answers, %d set-ups in flight; want 1, 0", third.finalAnswers, len(b.servers["a"].inFlight))
		}
	})
}

// multiConnServer is a fake server with several connections, each with its own set-ups.
type multiConnServer struct {
	conns     []*fakeServer
	silent    bool  // no message is sent on new connections
	dialError error // result of dials
}

func (w *multiConnServer) MaxConns(string) int { return 3 }

func (w *multiConnServer) Dial(ctx context.Context, addr string, e ServerEvents) (ServerConn, error) {
	if w.dialError != nil {
		return nil, w.dialError
	}
	one := newFakeServer()
	w.conns = append(w.conns, one)
	if !w.silent {
		e.Report(nil)
	}
	return one.Dial(ctx, addr, e)
}

func newMultiConnHarness() (*harness, *multiConnServer) {
	w := &multiConnServer{}
	b := &harness{core: NewCore(settings(), 1, nil, discardLogger())}
	b.list = NewList(b.core, w, discardLogger())
	b.setState("a", 0, control.Ready)
	synctest.Wait()
	return b, w
}

// Guards against one broken connection cutting all set-ups in flight at a server: they are spread over the connections, and
// only those on the broken one are cut.
func TestSetupsAreSpreadOverConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, w := newMultiConnHarness()
		defer b.stop()
		p := b.list.hosts["a"].peer
		for i := range 9 { // bypasses the module, whose in-flight limit for a new server is low
			a := NewAttempt(fmt.Sprint(i), 0)
			a.Deadline = time.Now().Add(time.Second)
			p.setup(a)
			synctest.Wait()
		}
		if len(w.conns) != 3 {
			t.Fatalf("%d connections, want 3", len(w.conns))
		}
		for i, l := range w.conns {
			if n := len(l.inFlight); n < 2 || n > 4 {
				t.Errorf("%d set-ups on connection %d", n, i)
			}
		}
		w.conns[0].reset()
		synctest.Wait()
		if left := len(w.conns[1].inFlight) + len(w.conns[2].inFlight); left < 5 || len(w.conns) != 4 {
			t.Errorf("%d set-ups left, %d connections opened in all; want 5 or more, 4", left, len(w.conns))
		}
	})
}

// Guards against taking the late answer of a given-up attempt for the answer of the call's next attempt: servers identify only
// the call, so the next attempt uses another connection.
func TestNextAttemptUsesAnotherConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, w := newMultiConnHarness()
		defer b.stop()
		p := b.list.hosts["a"].peer
		for n := range 3 {
			a := NewAttempt("1", n)
			a.Deadline = time.Now().Add(time.Second)
			p.setup(a)
			synctest.Wait()
			p.cancel(a.attemptRef)
			synctest.Wait()
		}
		if len(w.conns) != 3 {
			t.Errorf("%d connections for three attempts of a call, want 3", len(w.conns))
		}
	})
}

// Guards against calls that are never released because their server's machine vanished: there is no notification, and no new
// connection can be opened. If the server comes back, it receives the releases.
func TestCallsOfVanishedServerAreReleasedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, w := newMultiConnHarness()
		defer b.stop()
		c := b.call("1", time.Second)
		w.conns[0].answer("1", "")
		synctest.Wait()
		w.dialError = os.ErrDeadlineExceeded
		w.conns[0].events.Down(errors.New("no response"))
		b.sleep(3 * time.Second)
		if c.releases != 0 {
			t.Error("released after 3 s: the server may come back")
		}
		b.sleep(3500 * time.Millisecond) // 1.5 s of the 8 s are for detecting that the server does not respond
		if c.releases != 1 {
			t.Errorf("%d releases after 6.5 s, want 1", c.releases)
		}
		w.dialError = nil
		b.sleep(2 * time.Second)
		if n := len(w.conns); n != 2 || w.conns[1].releasesReceived["1"] != 1 {
			t.Errorf("%d connections; the server did not receive the release", n)
		}
	})
}

// Guards against a late answer of a given-up attempt ending the call that another attempt has established at the same server:
// servers identify a call by its id alone. If the other attempt fails, the late answer is released.
func TestLateAnswerDoesNotReleaseEstablishedCall(t *testing.T) {
	for _, answered := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			b, w := newMultiConnHarness()
			defer b.stop()
			c := b.call("1", 2*time.Second)
			first := w.conns[0].inFlight["1"]
			b.core.Post(func() { b.core.endAttempt(b.core.calls["1"], control.Cancelled, false) })
			synctest.Wait()
			b.core.Post(func() {
				b.core.calls["1"].attempts = 1
				b.core.send(b.core.calls["1"], control.Action{ID: "1", Server: b.list.hosts["a"].id})
			})
			synctest.Wait()
			if len(w.conns) != 2 || len(w.conns[1].inFlight) != 1 {
				t.Fatalf("%d connections, want 2, the second with one set-up in flight", len(w.conns))
			}
			releasesReceived := func() int { return w.conns[0].releasesReceived["1"] + w.conns[1].releasesReceived["1"] }
			if answered {
				w.conns[1].answer("1", "")
				synctest.Wait()
			}
			w.conns[0].events.Answered(first, nil)
			synctest.Wait()
			if releasesReceived() != 0 {
				t.Fatal("the other attempt was released too")
			}
			if answered && (!c.established || c.releases != 0) {
				t.Errorf("established %v, %d releases; want true, 0", c.established, c.releases)
			}
			if !answered {
				w.conns[1].events.Failed(w.conns[1].inFlight["1"], Outcome{Code: control.Failed})
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
		b, w := newMultiConnHarness()
		defer b.stop()
		w.silent = true
		for range 3 {
			w.conns[len(w.conns)-1].events.Down(io.EOF)
			synctest.Wait()
		}
		if n := len(w.conns); n != 2 {
			t.Errorf("%d connections opened without a wait, want 2", n)
		}
		b.sleep(time.Second)
		if n := len(w.conns); n != 3 {
			t.Errorf("%d connections opened, want 3", n)
		}
	})
}
