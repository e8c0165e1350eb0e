// Package actor provides actors: goroutines that run the functions in their mailbox one after the other.
package actor

import (
	"sync"
	"time"
)

// Actor runs the functions posted to it, one at a time and in order. The mailbox is not bounded: actors post to each other in
// both directions, so a full mailbox could deadlock two of them. Readers of external input apply backpressure with Sync instead.
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

// Post adds f to the mailbox. It never blocks.
func (a *Actor) Post(f func()) {
	a.mu.Lock()
	a.queue = append(a.queue, f)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Sync blocks until the functions that were posted before have run, or the actor is stopped. The actor itself must not call it.
func (a *Actor) Sync() {
	reached := make(chan struct{})
	a.Post(func() { close(reached) })
	select {
	case <-reached:
	case <-a.stop:
	}
}

// After posts f after the duration d. A timer that is stopped late may already have posted f, so f must check that it is still
// wanted.
func (a *Actor) After(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(d, func() { a.Post(f) })
}

// run is the actor's loop. It ends after Stop.
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

// Stop ends the actor. Functions that are posted later are never run.
func (a *Actor) Stop() { a.once.Do(func() { close(a.stop) }) }
