package latencylab

import (
	"runtime"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

const (
	minBatchTime = time.Millisecond // minimum duration of a batch, so that the cost of reading the clock is negligible
	maxBatches   = 201              // maximum number of batches for one value
	minBatches   = 5                // minimum number of batches for one value, unless one batch exceeds its whole time
)

// operation performs n operations and returns their total time.
type operation func(n int) time.Duration

// threadTimed returns an operation that calls f and is timed by the processor time of its thread, which excludes waits for a
// core on a busy machine. Garbage collection on other threads is not included.
func threadTimed(f func()) operation {
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
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &now); err != nil {
		panic(err) // Linux has had this clock since 2.6.12
	}
	return time.Duration(now.Nano())
}

// wallTimed returns an operation that calls f, which returns the part of its own time to be counted. f uses the wall clock,
// because the part is too short for the thread's clock.
func wallTimed(f func() time.Duration) operation {
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
	size, elapsed := calibrate(op)
	if size == 1 && elapsed > slowOperation {
		return []float64{float64(elapsed.Nanoseconds()) / 1000}
	}
	for range repeats {
		values = append(values, medianOfBatches(op, size, span))
	}
	return values
}

// slowOperation is the duration above which an operation is not repeated, nor measured at larger sizes.
const slowOperation = time.Second

// calibrate doubles the size of a batch until it takes at least minBatchTime, and returns the size and the batch's time.
func calibrate(op operation) (size int, elapsed time.Duration) {
	for size = 1; ; size *= 2 {
		start := time.Now()
		elapsed = op(size)
		if time.Since(start) >= minBatchTime {
			return size, elapsed
		}
	}
}

func medianOfBatches(op operation, size int, span time.Duration) float64 {
	var batches []float64
	start := time.Now()
	for len(batches) < minBatches || time.Since(start) < span && len(batches) < maxBatches {
		elapsed := op(size)
		batches = append(batches, float64(elapsed.Nanoseconds())/1000/float64(size))
		if elapsed > span { // a single batch exceeds the time for this value
			break
		}
	}
	return median(batches)
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
