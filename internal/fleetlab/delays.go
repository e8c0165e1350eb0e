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

// Measurement of the time that threads wait for a processor. A wait is counted by the first sample after it has ended.
const (
	processorInterval = 50 * time.Millisecond // between samples of the kernel's scheduler statistics
	timerInterval     = 5 * time.Millisecond  // of the laboratory's own timer
	minDelay          = 2 * time.Millisecond  // shorter waits are not recorded
)

// watchProcessors records how long runnable threads of each gatekeeper, and of the laboratory itself, waited for a
// processor. The laboratory's threads work in parallel, so only the longest wait among them counts.
func (f *fleet) watchProcessors(ctx context.Context) {
	tick := time.NewTicker(processorInterval)
	defer tick.Stop()
	queues := map[*process]runQueue{}
	sampledAt := map[*process]time.Time{}
	labQueue, labSampledAt := runQueue{}, time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		_, longest := labQueue.sample(os.Getpid())
		f.recordDelay(fleetcheck.Laboratory, longest, longest, time.Since(labSampledAt))
		labSampledAt = time.Now()
		for _, g := range f.gatekeepers {
			f.mu.Lock()
			proc := g.proc
			f.mu.Unlock()
			if proc == nil || proc.hasExited() {
				continue
			}
			if queues[proc] == nil {
				queues[proc], sampledAt[proc] = runQueue{}, time.Now()
			}
			waited, longest := queues[proc].sample(proc.pid())
			f.recordDelay(g.name, waited, longest, time.Since(sampledAt[proc]))
			sampledAt[proc] = time.Now()
		}
	}
}

// watchTimers records how late the laboratory's own timers fire.
func (f *fleet) watchTimers(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(timerInterval)
		elapsed := time.Since(began)
		f.recordDelay(fleetcheck.Laboratory, elapsed-timerInterval, elapsed-timerInterval, elapsed)
	}
}

// recordDelay records how long a process waited for a processor since its last sample: by all of its threads (waited), and by
// the one that waited longest.
func (f *fleet) recordDelay(process string, waited, longest, since time.Duration) {
	waited = boundedWait(waited, longest, since)
	if waited >= minDelay {
		f.runs.record(fleetcheck.ProcessorDelayed, line{Process: process, Span: waited.Microseconds(), Value: since.Seconds(),
			Class: strconv.FormatInt(longest.Microseconds(), 10)})
	}
}

// boundedWait returns an upper bound on the delay that the waits of a process can have added to an answer. Waits one after
// another add up; concurrent waits of several threads do not. All waits ended since the last sample, and none began earlier
// than the longest wait before it, so the bound is longest+since.
func boundedWait(waited, longest, since time.Duration) time.Duration {
	return min(waited, longest+since)
}

// runQueue holds, for each thread of a process, its total wait for a processor at the last sample.
type runQueue map[string]time.Duration

// sample returns how long the threads of a process have waited since the last sample: the sum, and the longest of one thread.
// Both are 0 if the kernel keeps no scheduler statistics.
func (r runQueue) sample(pid int) (waited, longest time.Duration) {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has exited
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
		if previous, known := r[file]; known {
			waited += total - previous
			longest = max(longest, total-previous)
		}
		r[file] = total
	}
	return waited, longest
}
