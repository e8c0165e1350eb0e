//go:build review

package main

import (
	"time"
)

func init() { cases["10"] = caseEvacuate }

// caseEvacuate: the operators evacuate a gatekeeper whose callers go on using their kept connections.
func caseEvacuate(l *lab) {
	server := l.startServer("s-00000001")
	server.delay = func() time.Duration { return 400 * time.Millisecond } // below the classes' wanted times
	server.hold = func() time.Duration { return 5 * time.Second }
	server.serve()
	bus := l.startBus("bus", 0)
	known := []event{newEvent(1, true, host{"s-00000001", server.addr(), "dallas", "std", 0, "up", 1, 0})}
	g := l.start("n1", l.config("n1", freeAddr(), bus.addr(), known), "")
	g.awaitReady()

	book := l.newCallers()
	var conns []*callerConn
	stop := make(chan struct{})
	for _, name := range []string{"front-1", "front-2", "front-3"} {
		c := book.connect(name, g.listen)
		conns = append(conns, c)
		go func() { // a kept connection stays in use as long as it is open
			for {
				select {
				case <-stop:
					return
				case <-c.ended:
					return
				case <-time.After(150 * time.Millisecond):
					c.setup("tray-count", 2500*time.Millisecond, 0)
				}
			}
		}()
	}
	time.Sleep(5 * time.Second)
	for _, c := range conns {
		isOpen, _, _ := c.state()
		l.require(isOpen, "%s was closed before the evacuation", c.name)
	}
	evacuatedAt := time.Now()
	if l.trouble {
		l.note("operators: POST /api/evacuate")
		l.require(g.ask("POST", "/api/evacuate"), "evacuate was not answered with yes")
	}
	// The check of the page, 4 s after the call, with the 50 ms that every time limit has on sockets.
	time.Sleep(time.Until(evacuatedAt.Add(4050 * time.Millisecond)))
	ready := g.ask("GET", "/api/ready")
	l.note("4 s after the call: ready %v", ready)
	if l.trouble && ready {
		l.fault("the answer is still yes 4 s after the call")
	}
	now := time.Now()
	for _, c := range conns {
		isOpen, open, lastSent := c.state()
		l.note("%s: open %v, set-ups without an answer %d, last set-up %d ms ago", c.name, isOpen, open, now.Sub(lastSent).Milliseconds())
		switch {
		case !l.trouble || !isOpen:
		case open == 0:
			l.fault("%s is held idle 4 s after the call", c.name)
		case now.Sub(lastSent) < 1900*time.Millisecond:
			l.fault("%s is held with a request from the last 2 s, 4 s after the call", c.name)
		}
	}
	time.Sleep(2 * time.Second)
	for _, c := range conns {
		isOpen, open, _ := c.state()
		l.note("6 s after the call: %s: open %v, set-ups without an answer %d", c.name, isOpen, open)
	}
	close(stop)
	time.Sleep(2600 * time.Millisecond)
	book.checkAnswers(l)
	l.require(g.alive(), "the gatekeeper has ended")
}
