package latencylab

import (
	"runtime"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

const (
	batchLeast  = time.Millisecond // minimum duration of a batch, so that the cost of reading the clock is negligible
	batchesMost = 201              // maximum number of batches for one value
	batchesFew  = 5                // minimum number of batches for one value, unless one batch exceeds its whole time
)

// operation performs n operations and returns their total time.
type operation func(n int) time.Duration

// each returns an operation that calls f and is timed by the processor time of its thread, which excludes waits for a core
// on a busy machine. Garbage collection on other threads is not included.
func each(f func()) operation {
	return func(n int) time.Duration {
		start := threadTime()
		for range n {
			f()
		}
		return threadTime() - start
	}
}

// threadTime returns the processor time of the calling thread. The goroutine must be locked to its thread.
func threadTime() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &at); err != nil {
		panic(err) // Linux has had this clock since 2.6.12
	}
	return time.Duration(at.Nano())
}

// timed returns an operation that calls f, which returns the part of its own time to be counted. f uses the wall clock,
// because the part is too short for the thread's clock.
func timed(f func() time.Duration) operation {
	return func(n int) (sum time.Duration) {
		for range n {
			sum += f()
		}
		return sum
	}
}

// measure returns the duration of one operation in microseconds, one value for each repetition. A value is the median over
// batches, which excludes batches that other processes delayed. An operation longer than slowOperation is measured once.
func measure(op operation, repeats int, span time.Duration) (values []float64) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	size, took := calibrate(op)
	if size == 1 && took > slowOperation {
		return []float64{float64(took.Nanoseconds()) / 1000}
	}
	for range repeats {
		values = append(values, medianOfBatches(op, size, span))
	}
	return values
}

// slowOperation is the duration above which an operation is not repeated, nor measured at larger sizes.
const slowOperation = time.Second

func calibrate(op operation) (size int, took time.Duration) {
	for size = 1; ; size *= 2 {
		start := time.Now()
		took = op(size)
		if time.Since(start) >= batchLeast {
			return size, took
		}
	}
}

func medianOfBatches(op operation, size int, span time.Duration) float64 {
	var batches []float64
	start := time.Now()
	for len(batches) < batchesFew || time.Since(start) < span && len(batches) < batchesMost {
		took := op(size)
		batches = append(batches, float64(took.Nanoseconds())/1000/float64(size))
		if took > span { // a single batch exceeds the time for this value
			break
		}
	}
	return median(batches)
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
