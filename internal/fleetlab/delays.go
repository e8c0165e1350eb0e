package fleetlab

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"beammux/internal/fleetcheck"
)

// How the waits for a processor are measured. A wait counts in the first look after it has ended.
const (
	processorsEvery = 50 * time.Millisecond // the kernel's account of the gatekeepers is read so often
	timersEvery     = 5 * time.Millisecond  // pace of the laboratory's own timer
	leastDelay      = 2 * time.Millisecond  // less is not told of
)

// watchProcessors notes how long each gatekeeper, and the laboratory itself, had threads that could run and waited for a
// processor. The laboratory's threads work beside each other, so of them the one that waited longest counts.
func (f *fleet) watchProcessors(ctx context.Context) {
	tick := time.NewTicker(processorsEvery)
	defer tick.Stop()
	accounts := map[*process]runQueue{}
	looked := map[*process]time.Time{}
	own, ownLooked := runQueue{}, time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		_, longest := own.look(os.Getpid())
		f.noteDelay(fleetcheck.Laboratory, longest, longest, time.Since(ownLooked))
		ownLooked = time.Now()
		for _, g := range f.gatekeepers {
			f.mu.Lock()
			p := g.p
			f.mu.Unlock()
			if p == nil || p.over() {
				continue
			}
			if accounts[p] == nil {
				accounts[p], looked[p] = runQueue{}, time.Now()
			}
			waited, longest := accounts[p].look(p.pid())
			f.noteDelay(g.name, waited, longest, time.Since(looked[p]))
			looked[p] = time.Now()
		}
	}
}

// watchTimers notes by how much the laboratory's own timers come late.
func (f *fleet) watchTimers(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(timersEvery)
		took := time.Since(began)
		f.noteDelay(fleetcheck.Laboratory, took-timersEvery, took-timersEvery, took)
	}
}

// noteDelay notes what a process waited in the time since the last look, in all and at most by one of its threads.
func (f *fleet) noteDelay(process string, waited, longest, since time.Duration) {
	waited = stalled(waited, longest, since)
	if waited >= leastDelay {
		f.runs.note(fleetcheck.ProcessorDelayed, line{Process: process, Span: waited.Microseconds(), Value: since.Seconds(),
			Class: strconv.FormatInt(longest.Microseconds(), 10)})
	}
}

// stalled bounds what an answer can have lost to the waits of a process that ended since the last look. Waits that follow each
// other add up; those of threads that waited beside each other do not. All of them ended in that time, and one that began before
// it did so by no more than the longest.
func stalled(waited, longest, since time.Duration) time.Duration {
	return min(waited, longest+since)
}

// runQueue is how long each thread of a process had waited for a processor when it was last looked at.
type runQueue map[string]time.Duration

// look gives what the threads of a process have waited since it was last looked at, in all and at most by one of them; 0 where
// the kernel keeps no account.
func (r runQueue) look(pid int) (waited, longest time.Duration) {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		fields := bytes.Fields(text)
		if len(fields) < 2 {
			continue
		}
		ns, err := strconv.ParseInt(string(fields[1]), 10, 64)
		if err != nil {
			continue
		}
		total := time.Duration(ns)
		if was, known := r[file]; known {
			waited += total - was
			longest = max(longest, total-was)
		}
		r[file] = total
	}
	return waited, longest
}
