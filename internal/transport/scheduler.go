package transport

import (
	"context"
	"runtime"

	"golang.org/x/sync/semaphore"
)

// Scheduler shares the processor between clients. Each client's reader processes its messages one by one with Do, and the readers
// that wait for their turn are served in the order of their arrival. So a client that sends at full speed has one message processed
// for each message of another client, and only a few messages are in process at a time.
type Scheduler struct {
	slots *semaphore.Weighted
	sync  func()
}

// NewScheduler returns a scheduler that processes up to parallel messages at a time. sync blocks until the work that earlier messages have
// caused is done, so that it can't pile up.
func NewScheduler(parallel int, sync func()) *Scheduler {
	return &Scheduler{semaphore.NewWeighted(int64(parallel)), sync}
}

// Do runs process in the caller's turn. process must not wait for a client. A nil Scheduler runs it at once.
func (s *Scheduler) Do(process func()) {
	if s == nil {
		process()
		return
	}
	s.run(process)
	runtime.Gosched() // a reader with further input must not run ahead of the goroutines that answer other clients
}

func (s *Scheduler) run(process func()) {
	s.slots.Acquire(context.Background(), 1) // fails only if the context is done
	defer s.slots.Release(1)
	s.sync()
	process()
}
