//go:build review

package main

import (
	"sync"
	"time"
)

func init() { cases["10"] = caseSlowBus }

// drainWatch judges the set-ups that reach a menu server which drains.
type drainWatch struct {
	lab *lab

	mu    sync.Mutex
	limit time.Time // the latest at which the first byte of new work may arrive there; zero: it does not drain
	late  int       // set-ups that came after it
}

// grace is the time in which new work must stop once a drain is told: 250 ms, and the 50 ms of every limit on sockets.
const grace = 300 * time.Millisecond

// watch makes a server judge its set-ups.
func (l *lab) watch(s *menuServer) *drainWatch {
	w := &drainWatch{lab: l}
	s.onSetup = func(id string, first time.Time) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.limit.IsZero() || !first.After(w.limit) {
			return
		}
		if w.late++; w.late <= 3 {
			l.fault("%s: set-up %s arrives %d ms after the last moment for new work", s.name, id, first.Sub(w.limit).Milliseconds())
		}
	}
	return w
}

// told records that the gatekeeper is told of the drain at a time.
func (w *drainWatch) told(at time.Time) {
	w.mu.Lock()
	w.limit = at.Add(grace)
	w.mu.Unlock()
}

// report writes how many set-ups came too late.
func (w *drainWatch) report() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lab.note("set-ups after the last moment: %d", w.late)
}

// caseSlowBus: discovery is slow. It answers each request, and begins with that 3 s after it was asked.
func caseSlowBus(l *lab) {
	delay := time.Duration(0)
	if l.trouble {
		delay = 3 * time.Second
	}
	one, two := l.startServer("s-00000001"), l.startServer("s-00000002")
	hold := func() time.Duration { return 4 * time.Second }
	one.hold, two.hold = hold, hold
	hosts := []host{{"s-00000001", one.addr(), "dallas", "std", 0, "up", 1, 0}, {"s-00000002", two.addr(), "austin", "std", 1, "up", 1, 0}}
	known := []event{newEvent(1, true, hosts...)}
	bus := l.startBus("bus", delay, known...)
	w := l.watch(one)
	one.serve()
	two.serve()
	g := l.start("n1", l.config("n1", freeAddr(), bus.addr(), known), "")
	g.awaitReady()
	book, stop := l.newCallers(), make(chan struct{})
	c := book.connect("caller", g.listen)
	go book.traffic(c, 100*time.Millisecond, stop)
	time.Sleep(4 * time.Second)
	hosts[0].Health = "draining"
	bus.publish(newEvent(2, false, hosts[0]))
	w.told(time.Now().Add(7 * time.Second)) // at the latest, whether it arrived or not
	time.Sleep(12 * time.Second)
	close(stop)
	time.Sleep(3200 * time.Millisecond)
	w.report()
	book.checkAnswers(l)
	l.require(g.alive(), "the gatekeeper has ended")
}
