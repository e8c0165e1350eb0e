package latencylab

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// maxPairGap is the longest time between the two calls of a pair. It is short so that both see the same machine state.
const maxPairGap = time.Millisecond

// pair is two calls to the same server at nearly the same time, one through the gatekeeper and one direct.
type pair struct {
	at           time.Duration // time of the first call after the start
	gap          time.Duration // time from the first call to the second
	throughFirst bool
	server       int
}

// schedule draws pairs from a Poisson process with a rate of perSecond. The load is open loop: a slow answer delays no other
// call. The order of the two calls of a pair is random too.
func schedule(seed uint64, perSecond float64, length time.Duration, servers int) (all []pair) {
	if perSecond <= 0 {
		return nil
	}
	rng := rand.New(rand.NewPCG(seed, 7))
	gap := min(maxPairGap, time.Duration(float64(time.Second)/perSecond/2))
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= length {
			return all
		}
		all = append(all, pair{at: at, gap: gap, throughFirst: rng.IntN(2) == 0, server: rng.IntN(servers)})
	}
}

// spinTime is the time before a deadline for which waitUntil spins instead of sleeping. A sender that sleeps until a call is
// due wakes late by the time that the machine needs to reactivate an idle core, on a virtual machine milliseconds at the 99th
// percentile. Latencies count from the scheduled time, so this delay would dominate the measurement.
const spinTime = 5 * time.Millisecond

// waitUntil waits until at and returns how late it is. It sleeps by the kernel's timer and spins for the last spinTime.
func waitUntil(at time.Time) (late time.Duration) {
	for {
		left := time.Until(at)
		if left <= 0 {
			return -left
		}
		if left > spinTime {
			pause := syscall.NsecToTimespec((left - spinTime).Nanoseconds())
			syscall.Nanosleep(&pause, nil)
		}
	}
}
