package routing

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"beammux/control"
)

// write lets go what waits to be written, as the connection's writer does.
func (w *wire) write() {
	queue := w.queue
	w.queue = nil
	for _, f := range queue {
		f()
	}
	synctest.Wait()
}

// A caller that left never has an attempt begin after that, wherever its call is at that moment. Its front says so at once; the
// withdrawal comes later, in its turn, and here it never comes.
func TestNoAttemptBeginsForOneWhoLeft(t *testing.T) {
	for name, play := range map[string]func(b *bench, w *wire) *caller{
		"before the core takes it": func(b *bench, w *wire) *caller {
			c := &caller{}
			c.gone.Store(true)
			b.core.Open(Setup{ID: "1", FirstChoice: 0, TimeLeft: time.Second}, c)
			return c
		},
		"in the peer's mailbox": func(b *bench, w *wire) *caller {
			c, hold := &caller{}, make(chan struct{})
			b.list.hosts["a"].peer.Post(func() { <-hold })
			b.core.Open(Setup{ID: "1", FirstChoice: 0, TimeLeft: time.Second}, c)
			synctest.Wait()
			c.gone.Store(true)
			close(hold)
			return c
		},
		"in the write queue": func(b *bench, w *wire) *caller {
			w.held = true
			c := b.call("1", time.Second)
			c.gone.Store(true)
			w.write()
			if w.stale != 1 {
				panic("nothing waited in the queue")
			}
			return c
		},
		"while it waits for the guard": func(b *bench, w *wire) *caller {
			c := b.call("1", 2*time.Second)
			if len(w.out) != 1 {
				panic("no first attempt")
			}
			a := w.out["1"]
			delete(w.out, "1")
			w.events.Failed(a, Outcome{Code: control.Cut})
			synctest.Wait()
			c.gone.Store(true)
			b.sleep(time.Second)
			return c
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench("a", "b")
				defer b.end()
				c := play(b, b.wires["a"])
				synctest.Wait()
				b.sleep(50 * time.Millisecond)
				if n := len(b.wires["a"].out) + len(b.wires["b"].out); n != 0 || c.finals != 0 {
					t.Errorf("%d attempts began, %d final answers; want none", n, c.finals)
				}
			})
		})
	}
}

// An attempt that was given up while it waited to be written never is: a further attempt may be out by then.
func TestGivenUpInTheWriteQueueIsNeverWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench("a")
		defer b.end()
		w := b.wires["a"]
		w.held = true
		c := b.call("1", time.Second)
		b.sleep(1200 * time.Millisecond) // its time is over: it has its answer
		w.write()
		if c.finals != 1 || w.stale != 1 || len(w.out) != 0 {
			t.Errorf("finals %d, dropped %d, written %d; want 1, 1, 0", c.finals, w.stale, len(w.out))
		}
	})
}

// Excess is refused at once, with the time to stay away, and goes to no server.
func TestExcessIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench("a")
		defer b.end()
		c := &caller{}
		b.core.Open(Setup{ID: "1", FirstChoice: 0, TimeLeft: time.Second, Excess: true}, c)
		synctest.Wait()
		if c.finals != 1 || c.stood || c.wait <= 0 || len(b.wires["a"].out) != 0 {
			t.Errorf("%d answers, wait %v, %d attempts", c.finals, c.wait, len(b.wires["a"].out))
		}
	})
}

// A flood of new ids leaves no memory of what no server has heard of, and of the rest the newest alone, for as long as the
// guard needs and longer.
func TestMemoryOfIDsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		defer b.end()
		for i := range 20000 {
			b.core.Open(Setup{ID: fmt.Sprint(i), FirstChoice: 0, TimeLeft: time.Second}, &caller{})
		}
		synctest.Wait()
		if n := len(b.core.ended.current) + len(b.core.ended.previous); n != 0 {
			t.Errorf("%d ids remembered of calls that no server has heard of", n)
		}
	})
	var m endedCalls
	now, most := control.Micros(1e9), 0
	for i := range 3 * maxEndedCalls {
		now += 50
		m.add(fmt.Sprint(i), now)
		most = max(most, len(m.current)+len(m.previous))
	}
	if most > maxEndedCalls {
		t.Errorf("%d ids remembered, at most %d may", most, maxEndedCalls)
	}
	for back := range maxEndedCalls / 2 {
		if at, ok := m.endOf(fmt.Sprint(3*maxEndedCalls - 1 - back)); !ok || at != now-50*control.Micros(back) {
			t.Fatalf("the end before %d others is forgotten: %v, %v", back, at, ok)
		}
	}
	now += control.Micros(endedCallLifetime/time.Microsecond) - 1
	m.add("young", now)
	if _, ok := m.endOf(fmt.Sprint(3*maxEndedCalls - 1)); !ok {
		t.Error("forgotten before its time")
	}
	for range 2 {
		now += control.Micros(endedCallLifetime / time.Microsecond)
		m.add("late", now)
	}
	if _, ok := m.endOf("young"); ok {
		t.Error("remembered for ever")
	}
}

// A line that comes up late carries what still waits for it, and nothing of what was given up, cancelled or left meanwhile.
func TestLineThatComesUpLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		defer b.end()
		b.wires["a"] = newWire()
		up := make(chan struct{})
		b.wires["a"].late = up
		b.set("a", 0, control.Ready)
		synctest.Wait()
		short, cancelled, left, waits := b.call("short", 300*time.Millisecond), b.call("cancelled", 2*time.Second),
			b.call("left", 2*time.Second), b.call("waits", 2*time.Second)
		b.sleep(400 * time.Millisecond)
		b.core.Withdraw("cancelled", cancelled, nil)
		left.gone.Store(true)
		synctest.Wait()
		close(up)
		synctest.Wait()
		w := b.wires["a"]
		if len(w.out) != 1 || w.begun["waits"] != 1 || short.finals != 1 || cancelled.finals+waits.finals != 0 {
			t.Errorf("out %v, begun %v, answers %d %d %d", w.out, w.begun, short.finals, cancelled.finals, waits.finals)
		}
	})
}
