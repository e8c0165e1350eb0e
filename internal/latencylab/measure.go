package latencylab

import (
	"runtime"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

const (
	batchLeast  = time.Millisecond // a batch takes at least so long, so that reading the clock does not count
	batchesMost = 201              // of one value
	batchesFew  = 5                // of one value, where an operation takes long
)

// operation does n operations and returns the time that counts.
type operation func(n int) time.Duration

// each makes an operation of a function, timed as a whole by the processor time of its thread: what waits for a core on a busy
// machine does not count. Work that the runtime's collector does on other threads is not in it.
func each(f func()) operation {
	return func(n int) time.Duration {
		start := threadTime()
		for range n {
			f()
		}
		return threadTime() - start
	}
}

// threadTime is the processor time of the calling thread, to which its goroutine is locked.
func threadTime() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &at); err != nil {
		panic(err) // Linux has had this clock since 2.6.12
	}
	return time.Duration(at.Nano())
}

// timed makes an operation of a function that returns the part of its time that counts, by the wall clock: it is too short for
// the thread's clock.
func timed(f func() time.Duration) operation {
	return func(n int) (sum time.Duration) {
		for range n {
			sum += f()
		}
		return sum
	}
}

// measure gives the microseconds of one operation, a value for each repetition. A value is the median over batches, so that
// a batch during which other processes held the core does not count. An operation over slowOperation is done once.
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

// slowOperation is too long to be repeated, or to be tried at larger sizes.
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
		if took > span { // one batch is more than the whole time: no more of them
			break
		}
	}
	return median(batches)
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
