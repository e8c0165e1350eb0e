// Package actor gives the one building block of concurrency here: a goroutine with a mailbox.
package actor

import (
	"sync"
	"time"
)

// Actor runs what is posted to it, one at a time and in order. The mailbox is not bounded: actors post to each other
// both ways, and a full mailbox would lock two of them together. What flows in is bounded at the connections.
type Actor struct {
	mu    sync.Mutex
	queue []func()
	wake  chan struct{}
	stop  chan struct{}
	once  sync.Once
}

// New starts an actor.
func New() *Actor {
	a := &Actor{wake: make(chan struct{}, 1), stop: make(chan struct{})}
	go a.run()
	return a
}

// Post hands over f to be run. It never blocks.
func (a *Actor) Post(f func()) {
	a.mu.Lock()
	a.queue = append(a.queue, f)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// After posts f when a span has passed. A timer stopped late may still have posted: f must look again.
func (a *Actor) After(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(d, func() { a.Post(f) })
}

func (a *Actor) run() {
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

// Stop ends the actor; what is posted later is never run.
func (a *Actor) Stop() { a.once.Do(func() { close(a.stop) }) }
