package limits

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"beammux/control"
	"beammux/control/quota"
	"beammux/internal/fleet/fleettest"
	"beammux/internal/routing"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func clock() func() control.Micros {
	began := time.Now()
	return func() control.Micros { return 1e9 + control.Micros(time.Since(began).Microseconds()) }
}

func all(mode quota.Mode) quota.Limits {
	return quota.Limits{Parts: 2, Rules: []quota.Rule{{Name: "all", Tenant: -1, Class: -1, Prefix: true, Mode: mode, PerS: 50, Burst: 10, Floor: 0.1}}}
}

var setup = routing.Setup{Key: "5550100"}

// until waits for a condition, bounded.
func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	require.Eventually(t, is, 20*time.Second, 5*time.Millisecond, what)
}

// A store that does not answer leaves the floor alone and says so with what to do; leases are there again once it answers.
func TestStoreThatDoesNotAnswer(t *testing.T) {
	var away atomic.Bool
	var mu sync.Mutex
	var table []byte
	now := clock()
	lease := func(_ context.Context, request []byte) ([]byte, error) {
		if away.Load() {
			return nil, errors.New("away")
		}
		mu.Lock()
		defer mu.Unlock()
		after, answer, err := quota.Reduce(table, request, 1, now())
		if err == nil {
			table = after
		}
		return answer, err
	}
	log, _ := logtest.NewNullLogger()
	l, err := Open(Options{Name: "g1", Start: 1, Limits: all(quota.Leased), Lease: lease, Now: now, Log: log})
	require.NoError(t, err)
	defer l.Close()
	ask := func() bool {
		q := l.For(&setup)
		ok, wait := q.Take(now())
		if ok {
			q.Done()
		} else {
			require.Positive(t, wait)
		}
		return ok
	}
	leased := func() bool { ask(); return l.Status().Rules[0].Rate > 10 }
	until(t, "it has a lease", leased)
	until(t, "and lets calls in", ask)
	away.Store(true)
	until(t, "the lease has ended, and it says so", func() bool {
		s := l.Status()
		return s.Rules[0].Rate < 5 && s.Rules[0].LeaseRemaining == 0 && len(s.Faults) == 1 && s.Faults[0].Advice != ""
	})
	away.Store(false)
	until(t, "a lease again", func() bool { return leased() && len(l.Status().Faults) == 0 })
}

// Claims that can't be read, or are of another shape, are passed over; more members than parts are told with what to do.
func TestNearOverHostileClaims(t *testing.T) {
	g := &fleettest.Gossip{}
	g.SetUp("g1", "g2")
	for name, text := range map[string][]byte{"x": {0xff}, "y": []byte("hello"), "z": {0xa1, 0x63, 'a', 'l', 'l', 0x05}} {
		g.SetValue(name, text)
	}
	now := clock()
	log, _ := logtest.NewNullLogger()
	l, err := Open(Options{Name: "g1", Start: 1, Limits: all(quota.Near), Gossip: g.Member("g1"), Now: now, Log: log})
	require.NoError(t, err)
	defer l.Close()
	until(t, "it has a rate of its own", func() bool {
		for range 5 {
			l.For(&setup)
		}
		return l.Status().Rules[0].Rate > 5
	})
	require.LessOrEqual(t, l.Status().Rules[0].Rate, 25.0, "the other is not heard: it keeps to its part")
	g.SetUp("g1", "g2", "g3")
	until(t, "it says that there are too many", func() bool { f := l.Status().Faults; return len(f) == 1 && f[0].Advice != "" })
}

// What a limit adds to a call: matching, asking and giving back, with four rules of which two take it.
func BenchmarkCall(b *testing.B) {
	limits := all(quota.Alone)
	limits.Rules[0].PerS, limits.Rules[0].Burst = 1e12, 1e12
	for _, number := range []string{"555", "444", "333"} {
		r := limits.Rules[0]
		r.Name, r.Number = number, number
		limits.Rules = append(limits.Rules, r)
	}
	log, _ := logtest.NewNullLogger()
	l, err := Open(Options{Name: "g1", Start: 1, Limits: limits, Now: clock(), Log: log})
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	now := clock()
	b.ReportAllocs()
	for b.Loop() {
		q := l.For(&setup)
		if ok, _ := q.Take(now()); !ok {
			b.Fatal("turned away")
		}
		q.Done()
	}
}
