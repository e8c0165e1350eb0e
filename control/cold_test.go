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

// ramp is one seeded cold start under a whole fleet: the traffic is spread unevenly over the fronts, one of the servers is a
// fifth of the others' size, a tenth of the fronts has just started and one in twenty starts again within the ramp, all of
// them know rates of their own only.
type ramp struct {
	fronts, sent int
	over, worst  float64 // most set-ups beyond the budget of a window, in roots of it; and that window as a part of its allowance
}

const rampPerServer = 60.0 // set-ups a second that a warm server can do; all that is offered to it

// play gives the worst window of a ramp. Where gated is set the other servers are kept gated, so that all calls press on the cold
// one; where small is set the cold one is the small one.
func play(t *testing.T, fronts int, seed uint64, gated, small bool) ramp {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 77))
	weights, sum := make([]float64, fronts), 0.0
	for i := range weights {
		weights[i] = math.Exp(0.8 * rng.NormFloat64())
		sum += weights[i]
	}
	id := uint32(1000 + seed) // its place in the fronts' lots hangs on it
	lines := map[uint32]float64{40: 1000, id: 1000}
	part := 1.0
	if small {
		part = 0.2
		lines[40], lines[id] = 200, 200
	}
	perS := rampPerServer * (3 + part)
	fl := &fleet{t: t, rng: rng, now: 1e9, sent: map[uint32][]Micros{}}
	fl.lines = lines
	fl.pick = func() int {
		at := rng.Float64() * sum
		for i, w := range weights {
			if at -= w; at < 0 {
				return i
			}
		}
		return fronts - 1
	}
	fl.choose = func() int {
		at := rng.Float64() * (3 + part)
		return min(int(at), 3)
	}
	set := testSettings()
	set.Gatekeepers, set.FallTime = fronts, 1e6
	fl.set = &set
	for i := range fronts {
		fl.set.Position = i
		fl.fs = append(fl.fs, fl.start(seed*1000+uint64(i), fronts, four...))
	}
	fl.run(12e6, perS, 4, quick)
	started := fl.now - 3e5
	cold := slices.Clone(four)
	cold[3] = Entry{Server: id, Cell: 3, State: Ready, Since: started}
	begin := func(i int) {
		fl.set.Position = i
		fl.fs[i] = fl.start(9000+seed*1000+uint64(i), fronts, cold...)
	}
	for i, f := range fl.fs {
		if i%10 == 0 {
			begin(i)
		} else {
			fl.list(f, cold...)
		}
	}
	for second := range 12 {
		for i, f := range fl.fs {
			if second > 0 && rng.IntN(240) == 0 {
				begin(i)
			}
			for _, s := range []uint32{10, 20, 30} {
				if gated {
					gate(f, s)
				}
			}
		}
		fl.run(1e6, perS, 4, quick)
	}
	r := ramp{fronts: fronts, sent: len(fl.sent[id])}
	sent := fl.sent[id]
	slices.Sort(sent)
	r.over = math.Inf(-1)
	for i, from := range sent {
		n := 0.0
		for _, at := range sent[i:] {
			if at >= from+set.FallTime {
				break
			}
			n++
		}
		warmed := min(1, float64(from-started)/float64(set.WarmWithin))
		budget := set.FallMultiple * (set.StartCapacity + (1-set.StartCapacity)*warmed) * rampPerServer * part * float64(set.FallTime) / 1e6
		r.over = max(r.over, (n-budget-2)/math.Sqrt(budget))
		r.worst = max(r.worst, n/(budget+2*math.Sqrt(budget)+2))
	}
	return r
}

// The letter's term: what all processes send a cold server in any window of the settings' length stays within its budget of N
// calls, but for 2 x root of N + 2, with 20, 30 and 300 processes. COLD_RAMPS sets how many ramps of each kind are played.
func TestColdSumOfTheFleet(t *testing.T) {
	ramps := 8
	if n, err := strconv.Atoi(os.Getenv("COLD_RAMPS")); err == nil {
		ramps = n
	}
	for _, fronts := range []int{20, 30, 300} {
		for _, gated := range []bool{false, true} {
			for _, small := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d fronts, gated %v, small %v", fronts, gated, small), func(t *testing.T) {
					played := make([]ramp, ramps)
					var wg sync.WaitGroup
					turns := make(chan struct{}, 2) // other tests of the machine need its cores too
					for seed := range ramps {
						turns <- struct{}{}
						wg.Go(func() {
							played[seed] = play(t, fronts, uint64(seed), gated, small)
							<-turns
						})
					}
					wg.Wait()
					breaks, sent, worst, over := 0, 0, 0.0, math.Inf(-1)
					for _, r := range played {
						if r.worst > 1 {
							breaks++
						}
						sent += r.sent
						worst, over = max(worst, r.worst), max(over, r.over)
					}
					t.Logf("%d ramps: %d over the allowance, worst window %.2f of it, %.2f roots over N + 2, %d set-ups a ramp",
						ramps, breaks, worst, over, sent/ramps)
					if breaks > 0 || sent == 0 {
						t.Errorf("%d of %d ramps over the allowance", breaks, ramps)
					}
				})
			}
		}
	}
}

// Systematic sampling: where all fronts know the same rate and ask in each slot, the lots of all of them together are within three
// of their mean in any row of slots. Drawn each by itself they scattered by the root of their number: 7 beside a mean of 30.
func TestLotsOfAFleetAddUp(t *testing.T) {
	for _, fronts := range []int{20, 30, 300} {
		set := testSettings()
		set.Gatekeepers = fronts
		total := func(windows int) (worst float64) {
			var cs []*Controller
			for i := range fronts {
				set.Position = i
				c := New(set, uint64(i))
				c.now, c.startedAt, c.bestRate, c.bestRateSinceStart = 1e9, 0, 30/float64(fronts), 30/float64(fronts)
				c.applyEntry(Entry{Server: 7, State: Ready})
				cs = append(cs, c)
			}
			mean := shareFactor * 30 * float64(set.FallTime/2+1) / 1e6
			for slot := range 40 {
				sum := 0.0
				for _, c := range cs {
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
			if off := total(windows); off > 3 {
				t.Errorf("%d fronts, rows of %d slots: %.1f lots off the mean", fronts, windows, off)
			}
		}
	}
}
