package latencylab

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// pairGapMost is the longest time between the two calls of a pair: they see the same state of the machine.
const pairGapMost = time.Millisecond

// pair is two calls to one server at nearly the same time, one through the gatekeeper and one direct.
type pair struct {
	at           time.Duration // of the first, from the beginning
	gap          time.Duration // to the second
	throughFirst bool
	server       int
}

// schedule draws pairs at a Poisson process of so many a second for a time: open loop, so what is slow holds nothing up. Which
// call of a pair goes first is drawn too.
func schedule(seed uint64, perSecond float64, length time.Duration, servers int) (all []pair) {
	if perSecond <= 0 {
		return nil
	}
	rng := rand.New(rand.NewPCG(seed, 7))
	gap := min(pairGapMost, time.Duration(float64(time.Second)/perSecond/2))
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= length {
			return all
		}
		all = append(all, pair{at: at, gap: gap, throughFirst: rng.IntN(2) == 0, server: rng.IntN(servers)})
	}
}

// spinFor is the end of each wait that the sender spends running, not asleep. A sender that sleeps until a call is due wakes
// late by the time that the machine takes to run an idle core again, which on a virtual machine is milliseconds at the 99th
// percentile: latencies count from the scheduled time, so that would be measured instead of the calls.
const spinFor = 5 * time.Millisecond

// waitUntil returns at a time, and how late it does. It sleeps by the kernel's timer, and runs for the last spinFor.
func waitUntil(at time.Time) (late time.Duration) {
	for {
		left := time.Until(at)
		if left <= 0 {
			return -left
		}
		if left > spinFor {
			pause := syscall.NsecToTimespec((left - spinFor).Nanoseconds())
			syscall.Nanosleep(&pause, nil)
		}
	}
}
