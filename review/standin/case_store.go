//go:build review

package main

import (
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["handover-store"] = handoverStore }

// handoverStore: a gatekeeper keeps its state in a store of its own, in a folder that lasts. The platform hands over to a second process,
// as "Replacing the process" says. The new process serves terminals for about a minute. Then a planned restart: the gatekeeper gets
// SIGTERM and is started again. It has to come up.
func handoverStore(l *lab) {
	server := l.sipServer("menu-dallas")
	listen, sip, store := addr(l.freePort()), addr(l.freePort()), filepath.Join(l.tmp, "store")
	inventory := l.write("servers.csv", fmt.Sprintf("name,address,cell,transport\nmenu-dallas,%s,0,tcp\n", addr(server.port)))
	deploy := l.write("beammux.json", fmt.Sprintf(`{"sip":{"udp":"","tcp":%q,"default_class":"menu-view"},"store":{"dir":%q,"sync":"interval"},"inventory":%q}`,
		sip, store, inventory))
	config := l.config(listen)
	caller := l.sipCaller()

	g := l.gatekeeper("g1", listen, config, deploy, nil)
	l.mustReady(g)
	time.Sleep(2500 * time.Millisecond)
	kept := caller.connect("kept", sip)
	if kept == nil {
		l.cannotRun("the SIP front takes no caller")
	}
	var before []*sipCallerCall // calls of the first process
	for range 10 {
		call := kept.call()
		if eventually(time.Second, func() bool { return caller.stands(call) }) {
			before = append(before, call)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if len(before) < 5 {
		l.cannotRun("only %d calls stand", len(before))
	}
	old := g
	if l.trouble {
		g = l.gatekeeper("g2", listen, config, deploy, old)
		if !l.awaitReady(g, 6*time.Second) {
			l.breach("the new process of the hand-over is not ready within 6 s")
			return
		}
		l.signal(old, syscall.SIGTERM)
	}
	time.Sleep(300 * time.Millisecond)
	for _, call := range before { // these end while the old process drains, within 0.6 s of SIGTERM
		kept.hangUp(call)
		time.Sleep(10 * time.Millisecond)
	}
	if l.trouble && !old.waitEnd(3700*time.Millisecond) {
		l.signal(old, syscall.SIGKILL)
	}

	// A busy day: a call each 12 ms (83 a second; the busiest gatekeeper receives about 50, and up to 190 on one day), each ended by
	// its terminal after 300 ms, until the store's log has begun a new file, at most for 75 s.
	day := caller.connect("day", sip)
	if day == nil {
		l.cannotRun("the SIP front takes no caller")
	}
	var running sync.WaitGroup
	var stood, sent atomic.Int32
	began := time.Now()
	files := func() int {
		names, _ := filepath.Glob(filepath.Join(store, "log", "*.journal"))
		return len(names)
	}
	for files() < 2 && time.Since(began) < 75*time.Second {
		sent.Add(1)
		running.Go(func() {
			call := day.call()
			if eventually(3*time.Second, func() bool { return caller.stands(call) }) {
				stood.Add(1)
				time.Sleep(300 * time.Millisecond)
				day.hangUp(call)
			}
		})
		time.Sleep(12 * time.Millisecond)
	}
	running.Wait()
	l.log("day: %d set-ups in %v, %d calls stood and were ended; the store's log has %d files", sent.Load(),
		time.Since(began).Round(time.Millisecond), stood.Load(), files())
	if files() < 2 {
		l.cannotRun("too few calls in the time")
	}
	time.Sleep(500 * time.Millisecond)

	l.signal(g, syscall.SIGTERM)
	if !g.waitEnd(3700 * time.Millisecond) {
		l.signal(g, syscall.SIGKILL)
		g.waitEnd(time.Second)
	}
	g = l.gatekeeper("g3", listen, config, deploy, nil)
	if !l.awaitReady(g, 12*time.Second) {
		l.breach("the gatekeeper does not come up after a planned restart (%v); its last line: %s", g.cmd.ProcessState, l.lastLine(g))
		return
	}
	terminal := caller.connect("next", sip)
	if terminal == nil {
		l.breach("the gatekeeper takes no caller after the restart")
		return
	}
	call := terminal.call()
	if !eventually(3*time.Second, func() bool { return caller.stands(call) }) {
		l.log("the first call after the restart does not stand")
	}
}
