package control

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
)

// rampResult is the result of one seeded cold start with a whole fleet: the traffic is spread unevenly over the gatekeepers,
// one server has a fifth of the others' size, a tenth of the gatekeepers have just started and one in twenty restarts during
// the ramp. Each gatekeeper knows only its own rates.
type rampResult struct {
	fleetSize, sent          int
	worstExcess, worstWindow float64 // greatest excess over the budget of a window, in square roots of it; largest window in parts of its allowance
}

const rampServerRate = 60.0 // capacity of a warm server in set-ups per second, all of which is offered

// runRamp returns the worst window of a ramp. If gated is set, the other servers are kept gated, so that all calls compete
// for the cold one; if small is set, the cold server is the small one.
func runRamp(t *testing.T, fleetSize int, seed uint64, gated, small bool) rampResult {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 77))
	weights, sum := make([]float64, fleetSize), 0.0
	for i := range weights {
		weights[i] = math.Exp(0.8 * rng.NormFloat64())
		sum += weights[i]
	}
	id := uint32(1000 + seed) // determines the share offsets of the gatekeepers
	agents := map[uint32]float64{40: 1000, id: 1000}
	relativeSize := 1.0
	if small {
		relativeSize = 0.2
		agents[40], agents[id] = 200, 200
	}
	perS := rampServerRate * (3 + relativeSize)
	fl := &fleet{t: t, rng: rng, now: 1e9, sent: map[uint32][]Micros{}}
	fl.agents = agents
	fl.pickGatekeeper = func() int {
		at := rng.Float64() * sum
		for i, w := range weights {
			if at -= w; at < 0 {
				return i
			}
		}
		return fleetSize - 1
	}
	fl.pickFirstChoice = func() int {
		at := rng.Float64() * (3 + relativeSize)
		return min(int(at), 3)
	}
	settings := testSettings()
	settings.Gatekeepers, settings.FallTime = fleetSize, 1e6
	fl.settings = &settings
	for i := range fleetSize {
		fl.settings.Position = i
		fl.gatekeepers = append(fl.gatekeepers, fl.start(seed*1000+uint64(i), fleetSize, fourServers...))
	}
	fl.run(12e6, perS, 4, answerQuickly)
	started := fl.now - 3e5
	cold := slices.Clone(fourServers)
	cold[3] = Entry{Server: id, Cell: 3, State: Ready, Since: started}
	restart := func(i int) {
		fl.settings.Position = i
		fl.gatekeepers[i] = fl.start(9000+seed*1000+uint64(i), fleetSize, cold...)
	}
	for i, gk := range fl.gatekeepers {
		if i%10 == 0 {
			restart(i)
		} else {
			fl.list(gk, cold...)
		}
	}
	for second := range 12 {
		for i, gk := range fl.gatekeepers {
			if second > 0 && rng.IntN(240) == 0 {
				restart(i)
			}
			for _, server := range []uint32{10, 20, 30} {
				if gated {
					reportLongWait(gk, server)
				}
			}
		}
		fl.run(1e6, perS, 4, answerQuickly)
	}
	result := rampResult{fleetSize: fleetSize, sent: len(fl.sent[id])}
	sent := fl.sent[id]
	slices.Sort(sent)
	result.worstExcess = math.Inf(-1)
	for i, from := range sent {
		count := 0.0
		for _, at := range sent[i:] {
			if at >= from+settings.FallTime {
				break
			}
			count++
		}
		warmed := min(1, float64(from-started)/float64(settings.WarmWithin))
		budget := settings.FallMultiple * (settings.StartCapacity + (1-settings.StartCapacity)*warmed) * rampServerRate * relativeSize * float64(settings.FallTime) / 1e6
		result.worstExcess = max(result.worstExcess, (count-budget-2)/math.Sqrt(budget))
		result.worstWindow = max(result.worstWindow, count/(budget+2*math.Sqrt(budget)+2))
	}
	return result
}

// The set-ups that all gatekeepers together send a cold server in any window of FallTime stay within its budget of N calls,
// except for 2*sqrt(N) + 2, with 20, 30 and 300 gatekeepers. COLD_RAMPS sets the number of ramps per case.
func TestFleetKeepsColdBudgetInRamp(t *testing.T) {
	ramps := 8
	if n, err := strconv.Atoi(os.Getenv("COLD_RAMPS")); err == nil {
		ramps = n
	}
	for _, fleetSize := range []int{20, 30, 300} {
		for _, gated := range []bool{false, true} {
			for _, small := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d gatekeepers, gated %v, small %v", fleetSize, gated, small), func(t *testing.T) {
					results := make([]rampResult, ramps)
					var wg sync.WaitGroup
					semaphore := make(chan struct{}, 2) // leaves processor cores to other tests
					for seed := range ramps {
						semaphore <- struct{}{}
						wg.Go(func() {
							results[seed] = runRamp(t, fleetSize, uint64(seed), gated, small)
							<-semaphore
						})
					}
					wg.Wait()
					violations, sent, worstWindow, worstExcess := 0, 0, 0.0, math.Inf(-1)
					for _, result := range results {
						if result.worstWindow > 1 {
							violations++
						}
						sent += result.sent
						worstWindow, worstExcess = max(worstWindow, result.worstWindow), max(worstExcess, result.worstExcess)
					}
					t.Logf("%d ramps: %d over the allowance, worst window %.2f of it, %.2f square roots over N + 2, %d set-ups per ramp",
						ramps, violations, worstWindow, worstExcess, sent/ramps)
					if violations > 0 || sent == 0 {
						t.Errorf("%d of %d ramps over the allowance", violations, ramps)
					}
				})
			}
		}
	}
}

// Systematic sampling: if all gatekeepers know the same rate and use each slot, the sum of their shares over consecutive
// slots is within 3 of its mean. Independent random shares would deviate by the square root: 7 at a mean of 30.
func TestSharesOfFleetSumToMean(t *testing.T) {
	for _, fleetSize := range []int{20, 30, 300} {
		settings := testSettings()
		settings.Gatekeepers = fleetSize
		worstDeviation := func(windows int) (worst float64) {
			var controllers []*Controller
			for i := range fleetSize {
				settings.Position = i
				c := New(settings, uint64(i))
				c.now, c.startedAt, c.bestRate, c.bestRateSinceStart = 1e9, 0, 30/float64(fleetSize), 30/float64(fleetSize)
				c.applyEntry(Entry{Server: 7, State: Ready})
				controllers = append(controllers, c)
			}
			mean := shareFactor * 30 * float64(settings.FallTime/2+1) / 1e6
			for slot := range 40 {
				sum := 0.0
				for _, c := range controllers {
					for w := range windows {
						c.now = 1e9 + Micros(slot*windows+w+1)*c.shareSlot
						c.withinShare(c.servers[0])
						sum += float64(c.servers[0].slotRemaining)
					}
				}
				worst = max(worst, math.Abs(sum-mean*float64(windows)))
			}
			return worst
		}
		for _, windows := range []int{1, 2, 5} {
			if deviation := worstDeviation(windows); deviation > 3 {
				t.Errorf("%d gatekeepers, %d consecutive slots: sum of shares deviates from the mean by %.1f", fleetSize, windows, deviation)
			}
		}
	}
}
