package scalelab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"beammux/internal/scalelab/hollow"
	"beammux/internal/scalelab/judge"
)

const (
	writeTimeout        = 5 * time.Second       // for one attempt at one machine
	writeRetryDelay     = 50 * time.Millisecond // delay before a retry
	writeGiveUp         = 60 * time.Second      // for all attempts of a change
	changesPerRefusable = 3                     // changes per refusable change while the refuse fault lasts
)

// The keys that every change writes.
const (
	callsKey  = "settings/all/calls"
	limitsKey = "settings/all/limits"
)

// changeWriter writes changes, one at a time, and records when each was committed.
type changeWriter struct {
	options  *Options
	plane    *controlPlane
	runStart time.Time
	cutOff   func(region string) bool // reports whether the fault script has cut off a region

	writeMu sync.Mutex // held while a change is written, and while the fault script rebuilds the store

	mu        sync.Mutex
	rng       *rand.Rand
	refusable bool // changes can be marked as refusable
	changes   []judge.Change
	retries   int // failed attempts of all changes
}

// setRefusable turns the marking of changes as refusable on or off.
func (w *changeWriter) setRefusable(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusable = on
}

// write writes one change and returns when it is acknowledged. After an error it retries the same change at a random machine.
// If only the response was lost, the change is written at two revisions with the same content.
func (w *changeWriter) write(ctx context.Context, mayRefuse bool) (judge.Change, error) {
	w.writeMu.Lock()
	defer w.writeMu.Unlock()
	w.mu.Lock()
	marker := uint64(len(w.changes) + 1)
	change := judge.Change{Marker: marker, Refusable: mayRefuse && w.refusable && marker%changesPerRefusable == 0}
	w.mu.Unlock()
	calls, limits := hollow.Content(change.Marker, change.Refusable, w.options.RecordBytes)
	change.WriteStarted = time.Since(w.runStart)
	for {
		revision, err := w.tryWrite(ctx, calls, limits)
		if err == nil {
			change.Revision, change.Committed = revision, time.Since(w.runStart)
			w.mu.Lock()
			w.changes = append(w.changes, change)
			w.mu.Unlock()
			return change, nil
		}
		if ctx.Err() != nil {
			return change, ctx.Err()
		}
		if time.Since(w.runStart)-change.WriteStarted > writeGiveUp {
			return change, fmt.Errorf("writing change %d: %w", marker, err)
		}
		w.mu.Lock()
		w.retries++
		w.mu.Unlock()
		time.Sleep(writeRetryDelay)
	}
}

// addRestamp records a further revision of the records of the last change.
func (w *changeWriter) addRestamp(revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := &w.changes[len(w.changes)-1]
	last.Restamped = append(last.Restamped, revision)
}

// tryWrite attempts to write a change at a random machine that runs and is not cut off.
func (w *changeWriter) tryWrite(ctx context.Context, calls, limits []byte) (uint64, error) {
	var candidates []*machine
	for _, m := range w.plane.machines {
		if m.up() && !w.cutOff(m.Region) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return 0, fmt.Errorf("no control machine is reachable")
	}
	w.mu.Lock()
	target := candidates[w.rng.IntN(len(candidates))]
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return transact(ctx, target.Address, calls, limits)
}

// run writes changes at the configured rate until a time. Changes that become due during a slow write follow it immediately.
func (w *changeWriter) run(ctx context.Context, until time.Time) error {
	interval := w.options.changeInterval()
	if interval <= 0 {
		return nil
	}
	for due := time.Now().Add(interval); due.Before(until); due = due.Add(interval) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(due)):
		}
		if _, err := w.write(ctx, true); err != nil {
			return err
		}
	}
	return nil
}

// all returns the committed changes and the number of retries.
func (w *changeWriter) all() (changes []judge.Change, retries int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append(changes, w.changes...), w.retries
}
