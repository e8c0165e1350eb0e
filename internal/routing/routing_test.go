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

// The same steps each time: a verdict must not change from run to run.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "20261201")
	os.Exit(m.Run())
}

// Guards against a stale send: a set-up that waits to be written while its server drains is never sent.
func TestStateIsCheckedAtTheFirstByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench("a")
		defer b.end()
		w := b.wires["a"]
		w.held = true
		c := b.call("1", time.Second)
		b.set("a", 0, control.Draining)
		synctest.Wait()
		for _, write := range w.queue {
			write()
		}
		synctest.Wait()
		if w.stale != 1 || len(w.out) != 0 || c.finals != 1 {
			t.Errorf("stale %d, out %d, finals %d; want 1, 0, 1", w.stale, len(w.out), c.finals)
		}
	})
}

// Guards against a call that only the server holds: a late answer, and an answer that can't be told, are released.
func TestLateAndUndeliverableAnswersAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench("a")
		defer b.end()
		w := b.wires["a"]
		c := b.call("1", time.Second)
		late := w.out["1"]
		b.sleep(2 * time.Second)
		w.events.Answered(late, nil)
		synctest.Wait()
		if c.finals != 1 || c.stood || w.byes["1"] != 1 {
			t.Errorf("late: finals %d, stood %v, byes %d", c.finals, c.stood, w.byes["1"])
		}
	})
	synctest.Test(t, func(t *testing.T) {
		b := newBench("a")
		defer b.end()
		w := b.wires["a"]
		d := b.call("2", time.Second)
		d.deaf = true
		w.answer("2", "")
		synctest.Wait()
		if w.byes["2"] != 1 {
			t.Errorf("undeliverable: byes %d, want 1", w.byes["2"])
		}
	})
}

// Guards against calls left standing: a process that was reset and then refuses is dead, and so is one that is removed.
func TestCallsOfADeadServerAreReleased(t *testing.T) {
	for _, removed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := newBench("a")
			defer b.end()
			w := b.wires["a"]
			c := b.call("1", time.Second)
			w.answer("1", "body")
			synctest.Wait()
			if c.body != "body" {
				t.Fatalf("body %q", c.body)
			}
			if removed {
				b.set("a", 0, control.Gone)
			} else {
				w.refuse = syscall.ECONNREFUSED
				w.reset()
			}
			synctest.Wait()
			if c.releases != 1 {
				t.Errorf("removed %v: %d releases, want 1", removed, c.releases)
			}
		})
	}
}

// A line that merely closes takes no standing call with it; it is opened again and brings the release.
func TestStandingCallsOutliveConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench("a")
		defer b.end()
		w := b.wires["a"]
		c := b.call("1", time.Second)
		w.answer("1", "")
		synctest.Wait()
		w.reset()
		synctest.Wait()
		if c.releases != 0 || w.dials != 2 {
			t.Fatalf("releases %d, dials %d; want 0, 2", c.releases, w.dials)
		}
		w.events.Released("1", CauseNormal, nil)
		w.events.Released("1", CauseNormal, nil) // told on the next connection too
		synctest.Wait()
		if c.releases != 1 {
			t.Errorf("%d releases, want 1", c.releases)
		}
	})
}

// An attempt ends once: what the wire tells of it later changes nothing.
func TestAttemptEndsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench("a")
		defer b.end()
		w := b.wires["a"]
		c := b.call("1", time.Second)
		a := w.out["1"]
		w.answer("1", "")
		w.events.Answered(a, nil)
		w.events.Failed(a, Outcome{Code: control.Failed})
		synctest.Wait()
		if c.finals != 1 || w.byes["1"] != 0 {
			t.Errorf("finals %d, byes %d; want 1, 0", c.finals, w.byes["1"])
		}
		w.events.Released("1", CauseNormal, nil)
		w.events.Failed(a, Outcome{Code: control.Failed})
		synctest.Wait()
		if c.finals != 1 || c.releases != 1 {
			t.Errorf("finals %d, releases %d; want 1, 1", c.finals, c.releases)
		}
	})
}

// Guards against the last answer being lost at a planned restart: what ends the process waits until it is handed over.
func TestDrainedComesAfterTheLastAnswer(t *testing.T) {
	for _, answered := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			b := newBench("a")
			defer b.end()
			c := b.call("1", time.Second)
			finals := -1
			b.core.OnDrained(func() { finals = c.finals })
			synctest.Wait()
			if finals != -1 {
				t.Fatal("drained while a call is open")
			}
			if answered {
				b.wires["a"].answer("1", "")
				synctest.Wait()
			}
			b.sleep(2 * time.Second)
			if finals != 1 {
				t.Errorf("drained with %d answers given, want 1", finals)
			}
		})
	}
}

type orphans map[string]int

func (o orphans) Orphan(id string, _ int) { o[id]++ }

// Guards against calls from before a restart being left standing at their callers.
func TestReleaseOfAnUnknownCallIsPassedOnOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench("a")
		defer b.end()
		o := orphans{}
		b.core.SetOrphans(o)
		for range 2 {
			b.wires["a"].events.Released("old", CauseNormal, nil)
		}
		synctest.Wait()
		if o["old"] != 1 {
			t.Errorf("passed on %d times, want 1", o["old"])
		}
	})
}

// An address used by a new id is a new server; one that moves gets a new line.
func TestAddressIsReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench("a")
		defer b.end()
		w := b.wires["a"]
		b.list.Apply(Update{Hosts: []Host{{Name: "a", Addr: "a", State: control.Gone},
			{Name: "s-00000002", Addr: "a", State: control.Ready}}}, nil)
		synctest.Wait()
		c := b.call("1", time.Second)
		if w.dials != 2 || len(w.out) != 1 {
			t.Fatalf("dials %d, out %d; want 2, 1", w.dials, len(w.out))
		}
		w.answer("1", "")
		synctest.Wait()
		if !c.stood {
			t.Error("the call does not stand at the new server")
		}
	})
}

// A whole list takes away only what its own source named.
func TestSourcesDoNotRemoveEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		defer b.end()
		b.wires["a"], b.wires["b"] = newWire(), newWire()
		b.list.Apply(Update{Source: "bus", Complete: true, Hosts: []Host{{Name: "a", Addr: "a", State: control.Ready}}}, nil)
		b.list.Apply(Update{Source: "file", Complete: true, Hosts: []Host{{Name: "b", Addr: "b", State: control.Ready}}}, nil)
		synctest.Wait()
		b.list.Apply(Update{Source: "file", Complete: true}, nil)
		synctest.Wait()
		if b.wires["a"].closed != 0 || b.wires["b"].closed != 1 {
			t.Errorf("closed %d and %d, want 0 and 1", b.wires["a"].closed, b.wires["b"].closed)
		}
	})
}

// Guards against a second caller under an open id ending the first's call, by its own end, by a withdrawal or by hanging
// up, and against an id that comes again within the release guard.
func TestSecondCallerUnderAnID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench("a")
		defer b.end()
		first, second := b.call("1", time.Second), b.call("1", time.Second)
		b.core.Withdraw("1", second, nil)
		b.core.Hangup("1", CauseNormal, second, nil)
		synctest.Wait()
		if first.finals != 0 || second.finals != 1 || second.stood || len(b.wires["a"].out) != 1 {
			t.Fatalf("answers %d and %d, %d set-ups out; want 0, 1, 1", first.finals, second.finals, len(b.wires["a"].out))
		}
		b.core.Withdraw("1", first, nil)
		third := b.call("1", time.Second)
		if third.finals != 1 || len(b.wires["a"].out) != 0 {
			t.Errorf("an id that comes again at once: %d answers, %d set-ups out; want 1, 0", third.finals, len(b.wires["a"].out))
		}
	})
}

// lineWire is a stand-in for a server with several lines, each with set-ups of its own.
type lineWire struct {
	lines []*wire
	quiet bool // new lines bring nothing
	fault error
}

func (w *lineWire) MaxConns(string) int { return 3 }

func (w *lineWire) Dial(ctx context.Context, addr string, e ServerEvents) (ServerConn, error) {
	if w.fault != nil {
		return nil, w.fault
	}
	one := newWire()
	w.lines = append(w.lines, one)
	if !w.quiet {
		e.Report(nil)
	}
	return one.Dial(ctx, addr, e)
}

func newLineBench() (*bench, *lineWire) {
	w := &lineWire{}
	b := &bench{core: NewCore(settings(), 1, nil, quiet())}
	b.list = NewList(b.core, w, quiet())
	b.set("a", 0, control.Ready)
	synctest.Wait()
	return b, w
}

// Guards against one spoilt line taking all that is out at a server: set-ups are spread, and only its own are cut.
func TestSetupsAreSpreadOverLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, w := newLineBench()
		defer b.end()
		p := b.list.hosts["a"].peer
		for i := range 9 { // past the module, whose room for a server it has just met is small
			a := NewAttempt(fmt.Sprint(i), 0)
			a.Deadline = time.Now().Add(time.Second)
			p.setup(a)
			synctest.Wait()
		}
		if len(w.lines) != 3 {
			t.Fatalf("%d lines, want 3", len(w.lines))
		}
		for i, l := range w.lines {
			if n := len(l.out); n < 2 || n > 4 {
				t.Errorf("%d set-ups on line %d", n, i)
			}
		}
		w.lines[0].reset()
		synctest.Wait()
		if left := len(w.lines[1].out) + len(w.lines[2].out); left < 5 || len(w.lines) != 4 {
			t.Errorf("%d set-ups left, %d lines opened in all; want 5 or more, 4", left, len(w.lines))
		}
	})
}

// Guards against a late answer of an attempt that was given up being taken for the call's next attempt: servers name the
// call alone, so that one goes by another line.
func TestNextAttemptGoesByAnotherLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, w := newLineBench()
		defer b.end()
		p := b.list.hosts["a"].peer
		for n := range 3 {
			a := NewAttempt("1", n)
			a.Deadline = time.Now().Add(time.Second)
			p.setup(a)
			synctest.Wait()
			p.cancel(a.ref)
			synctest.Wait()
		}
		if len(w.lines) != 3 {
			t.Errorf("%d lines for three attempts of a call, want 3", len(w.lines))
		}
	})
}

// Guards against calls left standing at a machine that vanished: nothing says so, and its lines can't be opened anew.
// Should it come back, it is told that they are over.
func TestCallsOfAVanishedServerAreReleasedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, w := newLineBench()
		defer b.end()
		c := b.call("1", time.Second)
		w.lines[0].answer("1", "")
		synctest.Wait()
		w.fault = os.ErrDeadlineExceeded
		w.lines[0].events.Down(errors.New("mute"))
		b.sleep(3 * time.Second)
		if c.releases != 0 {
			t.Error("released after 3 s: the server may come back")
		}
		b.sleep(3500 * time.Millisecond) // 1.5 s of the 8 s are for noticing that it is mute
		if c.releases != 1 {
			t.Errorf("%d releases after 6.5 s, want 1", c.releases)
		}
		w.fault = nil
		b.sleep(2 * time.Second)
		if n := len(w.lines); n != 2 || w.lines[1].byes["1"] != 1 {
			t.Errorf("%d lines; the server was not told", n)
		}
	})
}

// Guards against the late answer of a given-up attempt ending the call that now stands at the same server by another one:
// servers know a call by its id alone. Where the other attempt fails, what was answered late is released.
func TestLateAnswerDoesNotEndTheCallThatStands(t *testing.T) {
	for _, stands := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			b, w := newLineBench()
			defer b.end()
			c := b.call("1", 2*time.Second)
			first := w.lines[0].out["1"]
			b.core.Post(func() { b.core.endAttempt(b.core.calls["1"], control.Cancelled, false) })
			synctest.Wait()
			b.core.Post(func() {
				b.core.calls["1"].attempts = 1
				b.core.send(b.core.calls["1"], control.Action{ID: "1", Server: b.list.hosts["a"].id})
			})
			synctest.Wait()
			if len(w.lines) != 2 || len(w.lines[1].out) != 1 {
				t.Fatalf("%d lines", len(w.lines))
			}
			byes := func() int { return w.lines[0].byes["1"] + w.lines[1].byes["1"] }
			if stands {
				w.lines[1].answer("1", "")
				synctest.Wait()
			}
			w.lines[0].events.Answered(first, nil)
			synctest.Wait()
			if byes() != 0 {
				t.Fatal("the other attempt was released too")
			}
			if stands && (!c.stood || c.releases != 0) {
				t.Errorf("stood %v, %d releases", c.stood, c.releases)
			}
			if !stands {
				w.lines[1].events.Failed(w.lines[1].out["1"], Outcome{Code: control.Failed})
				synctest.Wait()
				if byes() != 1 {
					t.Errorf("%d releases of what was answered late, want 1", byes())
				}
			}
		})
	}
}

// A server that takes connections and closes them at once is not dialled again without a pause.
func TestLineThatBroughtNothingIsNotOpenedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, w := newLineBench()
		defer b.end()
		w.quiet = true
		for range 3 {
			w.lines[len(w.lines)-1].events.Down(io.EOF)
			synctest.Wait()
		}
		if n := len(w.lines); n != 2 {
			t.Errorf("%d lines opened at one moment, want 2", n)
		}
		b.sleep(time.Second)
		if n := len(w.lines); n != 3 {
			t.Errorf("%d lines opened, want 3", n)
		}
	})
}
