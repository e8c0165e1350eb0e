// Package routing is the core: calls, servers and the list, without any wire. The decisions are those of package
// control; here they are carried out, and what happens on the wire is told back.
//
// Its actors each have one goroutine and a mailbox: the Core (the module), the List, and one Peer for each server.
package routing

import (
	"sync"
	"time"

	"beammux/control"
)

// actor runs what is posted to it, one at a time and in order. The mailbox is not bounded: actors post to each other
// both ways, and a full mailbox would lock two of them together. What flows in is bounded at the connections.
type actor struct {
	mu    sync.Mutex
	queue []func()
	wake  chan struct{}
	stop  chan struct{}
	once  sync.Once
}

func newActor() *actor {
	a := &actor{wake: make(chan struct{}, 1), stop: make(chan struct{})}
	go a.run()
	return a
}

// post never blocks.
func (a *actor) post(f func()) {
	a.mu.Lock()
	a.queue = append(a.queue, f)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// after posts f when a span has passed.
func (a *actor) after(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(d, func() { a.post(f) })
}

func (a *actor) run() {
	for {
		select {
		case <-a.wake:
		case <-a.stop:
			return
		}
		for {
			a.mu.Lock()
			batch := a.queue
			a.queue = nil
			a.mu.Unlock()
			if len(batch) == 0 {
				break
			}
			for _, f := range batch {
				f()
			}
		}
	}
}

// end stops the actor; what is posted later is never run.
func (a *actor) end() { a.once.Do(func() { close(a.stop) }) }

// Now is the system's clock in Unix microseconds, the only clock of the core.
func Now() control.Micros { return control.Micros(time.Now().UnixMicro()) }

// span turns microseconds into a time.Duration.
func span(m control.Micros) time.Duration { return time.Duration(m) * time.Microsecond }
