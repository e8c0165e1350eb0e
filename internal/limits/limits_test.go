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

// clock returns a clock that starts at 1000 s.
func clock() func() control.Micros {
	began := time.Now()
	return func() control.Micros { return 1e9 + control.Micros(time.Since(began).Microseconds()) }
}

// limitsWithMode returns limits with one rule for all calls.
func limitsWithMode(mode quota.Mode) quota.Limits {
	return quota.Limits{Parts: 2, Rules: []quota.Rule{{Name: "all", Tenant: -1, Class: -1, Prefix: true, Mode: mode, PerS: 50, Burst: 10, Floor: 0.1}}}
}

var setup = routing.Setup{Key: "5550100"}

// waitFor waits for a condition, at most 20 s.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 20*time.Second, 5*time.Millisecond, what)
}

// While the store does not answer, the rate falls to the floor and the status has a fault with advice. Once the store answers,
// leases are renewed again.
func TestUnresponsiveStore(t *testing.T) {
	var unavailable atomic.Bool
	var mu sync.Mutex
	var table []byte
	now := clock()
	lease := func(_ context.Context, request []byte) ([]byte, error) {
		if unavailable.Load() {
			return nil, errors.New("store unavailable")
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
	l, err := Open(Options{Name: "g1", Start: 1, Limits: limitsWithMode(quota.Leased), Lease: lease, Now: now, Log: log})
	require.NoError(t, err)
	defer l.Close()
	take := func() bool {
		q := l.For(&setup)
		ok, wait := q.Take(now())
		if ok {
			q.Done()
		} else {
			require.Positive(t, wait)
		}
		return ok
	}
	leased := func() bool { take(); return l.Status().Rules[0].Rate > 10 }
	waitFor(t, "a lease is granted", leased)
	waitFor(t, "a call is admitted", take)
	unavailable.Store(true)
	waitFor(t, "the lease has expired and a fault is reported", func() bool {
		s := l.Status()
		return s.Rules[0].Rate < 5 && s.Rules[0].LeaseRemaining == 0 && len(s.Faults) == 1 && s.Faults[0].Advice != ""
	})
	unavailable.Store(false)
	waitFor(t, "the lease is renewed and the fault is cleared", func() bool { return leased() && len(l.Status().Faults) == 0 })
}

// Claims that can't be decoded, or have another structure, are ignored. If there are more members than parts, a fault with advice
// is reported.
func TestMalformedClaimsAreIgnored(t *testing.T) {
	g := &fleettest.Gossip{}
	g.SetUp("g1", "g2")
	for name, text := range map[string][]byte{"x": {0xff}, "y": []byte("hello"), "z": {0xa1, 0x63, 'a', 'l', 'l', 0x05}} {
		g.SetValue(name, text)
	}
	now := clock()
	log, _ := logtest.NewNullLogger()
	l, err := Open(Options{Name: "g1", Start: 1, Limits: limitsWithMode(quota.Near), Gossip: g.Member("g1"), Now: now, Log: log})
	require.NoError(t, err)
	defer l.Close()
	waitFor(t, "the member has its own rate", func() bool {
		for range 5 {
			l.For(&setup)
		}
		return l.Status().Rules[0].Rate > 5
	})
	require.LessOrEqual(t, l.Status().Rules[0].Rate, 25.0, "no claims of the other member are known, so the rate is at most this member's part")
	g.SetUp("g1", "g2", "g3")
	waitFor(t, "a fault about too many members is reported", func() bool { f := l.Status().Faults; return len(f) == 1 && f[0].Advice != "" })
}

// BenchmarkCall measures what limits add to a call: matching, admission and return, with four rules of which two apply.
func BenchmarkCall(b *testing.B) {
	limits := limitsWithMode(quota.Alone)
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
			b.Fatal("call refused")
		}
		q.Done()
	}
}
