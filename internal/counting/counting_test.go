package counting

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"beammux/control"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Rates follow what comes, from several threads at once, and each event counts once.
func TestRatesFromThreads(t *testing.T) {
	c := New(Options{Classes: 2, Tenants: 1, Shards: 8})
	const threads, perS, seconds = 4, 250, 30
	var all sync.WaitGroup
	for range threads {
		all.Go(func() {
			for i := range perS * seconds {
				now := control.Micros(1e9 + float64(i)*1e6/perS)
				c.Observe(now, Event{Kind: Arrived, Class: i % 2, Tenant: 0, Number: []string{"hot", fmt.Sprint(i)}[i%2]})
				c.Observe(now, Event{Kind: Answered, Class: i % 2, Tenant: -1, Server: uint32(1 + i%3)})
			}
		})
	}
	all.Wait()
	end := control.Micros(1e9 + seconds*1e6)
	r := c.Rates(end)
	require.InEpsilon(t, threads*perS/2, r.Classes[0][Arrived], 0.01)
	require.InEpsilon(t, threads*perS/2, r.Classes[1][Answered], 0.01)
	require.Zero(t, r.Classes[2][Arrived])
	require.InEpsilon(t, threads*perS, r.Tenants[0][Arrived], 0.01)
	require.InEpsilon(t, threads*perS, r.Tenants[1][Answered], 0.01)
	require.InEpsilon(t, threads*perS/3.0, r.Servers[2][Answered], 0.01)
	top := c.Numbers(end, 1)[0]
	require.Equal(t, "hot", top.Key)
	require.GreaterOrEqual(t, top.Count*1.01, float64(threads*perS/2))
	require.LessOrEqual(t, top.Count-top.Err, threads*perS/2*1.01)
	later := c.Rates(end + 2*DecayTime)
	require.InEpsilon(t, r.Classes[0][Arrived]*math.Exp(-2), later.Classes[0][Arrived], 0.001, "it decays by its law alone")
}

// A landmark that moves changes no rate; silence for longer than a float64 can tell leaves none.
func TestLandmark(t *testing.T) {
	c := New(Options{Classes: 1, Shards: 1})
	now := control.Micros(1)
	for range 10_000 {
		now += control.Micros(1e6)
		c.Observe(now, Event{Class: 0, Tenant: -1, Number: "n", Server: 9})
		if r := c.Rates(now); now > 20e6 && math.Abs(r.Classes[0][Arrived]-r.Servers[9][Arrived]) > 1e-9 {
			t.Fatalf("at %d: %v", now, r)
		}
	}
	steady := 1e6 * c.decay / (1 - math.Exp(-c.decay*1e6)) // one a second, read at once after it came
	require.InEpsilon(t, steady, c.Rates(now).Classes[0][Arrived], 1e-9)
	require.InEpsilon(t, steady, c.Numbers(now, 1)[0].Count, 1e-9)
	c.Observe(now+5e9, Event{Class: 0, Tenant: -1, Number: "m"})
	require.InEpsilon(t, 1e6*c.decay, c.Rates(now + 5e9).Classes[0][Arrived], 1e-9)
	require.Equal(t, "m", c.Numbers(now+5e9, 1)[0].Key)
}

func TestObserveAllocatesNothing(t *testing.T) {
	c := New(Options{Classes: 3, Tenants: 2, Shards: 1})
	keys := numbers(5000)
	i := 0
	see := func() {
		i++
		c.Observe(control.Micros(i), Event{Class: i % 3, Tenant: i % 2, Number: keys[i%len(keys)], Server: uint32(1 + i%8)})
	}
	for range 10_000 {
		see()
	}
	require.Zero(t, testing.AllocsPerRun(5000, see))
}

func numbers(n int) []string {
	keys := make([]string, n)
	for i := range keys {
		keys[i] = fmt.Sprintf("555%07d", i*7919)
	}
	return keys
}

// Cost of an observation, uniform over 10,000 numbers and with one number alone; -cpu 1,2,4.
func BenchmarkObserve(b *testing.B) {
	keys := numbers(10_000)
	for name, n := range map[string]int{"uniform": len(keys), "one hot": 1} {
		b.Run(name, func(b *testing.B) {
			c := New(Options{Classes: 3, Tenants: 4})
			b.RunParallel(func(p *testing.PB) {
				i := rand.IntN(n)
				for p.Next() {
					if i++; i >= n {
						i = 0
					}
					c.Observe(control.Micros(i>>4), Event{Class: i & 1, Tenant: i & 3, Number: keys[i], Server: uint32(1 + i&7)})
				}
			})
		})
	}
}
