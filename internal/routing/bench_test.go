package routing

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"syscall"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
)

func quiet() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// wire is a stand-in for a server and the way to it: it notes what it is told, and the test says what happens.
type wire struct {
	dials  int
	refuse error         // of the next dials
	late   chan struct{} // a dial waits for it to be closed; nil: none does
	events ServerEvents
	held   bool               // writes wait in a queue
	queue  []func()           // writes that wait
	out    map[string]Attempt // set-ups that are out
	copies map[string]int     // most attempts of a call out at once
	begun  map[string]int     // attempts of a call that went out
	stands map[string]bool
	byes   map[string]int
	stale  int
	closed int
}

func newWire() *wire {
	return &wire{out: map[string]Attempt{}, copies: map[string]int{}, begun: map[string]int{}, stands: map[string]bool{}, byes: map[string]int{}}
}

func (w *wire) Dial(_ context.Context, _ string, e ServerEvents) (ServerConn, error) {
	w.dials++
	if w.late != nil {
		<-w.late
	}
	if w.refuse != nil {
		return nil, w.refuse
	}
	w.events = e
	return wireLine{w, e}, nil
}

type wireLine struct {
	*wire
	e ServerEvents
}

func (l wireLine) Setup(a Attempt, still func() bool) {
	write := func() {
		if !still() {
			l.stale++
			l.e.Failed(a, Outcome{Code: control.NotSent})
			return
		}
		if _, twice := l.out[a.ID()]; twice {
			l.copies[a.ID()]++
		}
		l.out[a.ID()] = a
		l.begun[a.ID()]++
	}
	if l.held {
		l.queue = append(l.queue, write)
	} else {
		write()
	}
}

func (l wireLine) Cancel(id string)         { delete(l.out, id) }
func (l wireLine) Release(id string, _ int) { l.byes[id]++; delete(l.stands, id) }
func (l wireLine) Close()                   { l.closed++ }

func (w *wire) answer(id, body string) {
	a := w.out[id]
	delete(w.out, id)
	w.stands[id] = true
	w.events.Answered(a, []byte(body))
}

func (w *wire) reset() {
	e := w.events
	w.events, w.out, w.queue = nil, map[string]Attempt{}, nil
	e.Down(fmt.Errorf("read: %w", syscall.ECONNRESET))
}

// caller notes what a caller is told.
type caller struct {
	finals, releases int
	stood            bool
	body             string
	wait             time.Duration
	deaf             bool
	gone             atomic.Bool
}

func (c *caller) Gone() bool                { return c.gone.Load() }
func (c *caller) Answer(b []byte) bool      { c.finals++; c.stood, c.body = true, string(b); return !c.deaf }
func (c *caller) Refuse(wait time.Duration) { c.finals++; c.wait = wait }
func (c *caller) Fail()                     { c.finals++ }
func (c *caller) Release(int)               { c.releases++ }

func settings() control.Settings {
	return control.Settings{Gatekeepers: 1, OwnCell: -1, AttemptsCap: 5, Cancel: true, RetryAfter: true, MaxRetryAfter: 2e6,
		ReleaseGuard: 300000, ResendGap: 500000, FallMultiple: 2, FallTime: 1e6, StartCapacity: 0.33, WarmWithin: 15e6,
		Classes: []control.Class{{LatencyTarget: 1500000, Deadline: 3e6, Worth: 1, LateWorth: 0.25}}}
}

type bench struct {
	core  *Core
	list  *List
	wires map[string]*wire
	lines int // to each server, 1 if not set
}

func (b *bench) Dial(ctx context.Context, addr string, e ServerEvents) (ServerConn, error) {
	return b.wires[addr].Dial(ctx, addr, e)
}

func (b *bench) MaxConns(string) int { return max(1, b.lines) }

func newBench(servers ...string) *bench {
	b := &bench{wires: map[string]*wire{}}
	b.core = NewCore(settings(), 1, nil, quiet())
	b.list = NewList(b.core, b, quiet())
	for _, name := range servers {
		b.wires[name] = newWire()
	}
	for i, name := range servers {
		b.set(name, i, control.Ready)
	}
	synctest.Wait()
	return b
}

func (b *bench) set(name string, cell int, s control.State) {
	b.list.Apply(Update{Hosts: []Host{{Name: name, Addr: name, Cell: cell, State: s}}}, nil)
}

// end stops all actors, as a bubble must be empty at its end.
func (b *bench) end() {
	for _, h := range b.list.hosts {
		h.peer.Stop()
		h.peer.stopDial()
	}
	b.sleep(2 * lingerTime)
	b.list.Stop()
	b.core.Stop()
	synctest.Wait()
}

// sleep lets time pass. Before, it posts to each actor: what the test has read is then read before what comes next.
func (b *bench) sleep(d time.Duration) {
	nothing := func() {}
	for _, h := range b.list.hosts {
		h.peer.Post(nothing)
	}
	b.core.Post(nothing)
	synctest.Wait()
	time.Sleep(d)
	synctest.Wait()
}

func (b *bench) call(id string, left time.Duration) *caller {
	c := &caller{}
	b.core.Open(Setup{ID: id, FirstChoice: 0, TimeLeft: left}, c)
	synctest.Wait()
	return c
}
