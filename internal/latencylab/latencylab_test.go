package latencylab

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/internal/fleetlab"
)

func TestScheduleIsOpenLoop(t *testing.T) {
	const rate, servers = 200.0, 7
	all := schedule(3, rate, 100*time.Second, servers)
	require.InDelta(t, rate*100, float64(len(all)), 4*math.Sqrt(rate*100))
	require.Equal(t, all, schedule(3, rate, 100*time.Second, servers))
	require.NotEqual(t, all[0], schedule(4, rate, 100*time.Second, servers)[0])
	first, sum, squares := 0, 0.0, 0.0
	for i, p := range all {
		require.Less(t, p.at, 100*time.Second)
		require.Less(t, p.server, servers)
		require.LessOrEqual(t, p.gap, pairGapMost)
		if p.throughFirst {
			first++
		}
		if i > 0 {
			gap := (p.at - all[i-1].at).Seconds()
			sum += gap
			squares += gap * gap
		}
	}
	require.InDelta(t, 0.5, float64(first)/float64(len(all)), 0.02)
	n := float64(len(all) - 1)
	mean := sum / n
	// The deviation of an exponential distribution is its mean.
	require.InDelta(t, mean, math.Sqrt(squares/n-mean*mean), 0.03*mean)
	require.Empty(t, schedule(1, 0, time.Second, 1))
}

// Latency counts from the time at which a call is due, not from when it was sent: a sender that comes late hides nothing.
func TestLatencyCountsFromTheSchedule(t *testing.T) {
	a := newArm("0a0a0a0a", 2)
	due := time.Now().Add(-50 * time.Millisecond)
	id, _ := a.begin(due)
	other, _ := a.begin(time.Now())
	require.Equal(t, "0a0a0a0a00000001", other)
	a.end(id, stood)
	a.end(id, failed) // a second end changes nothing
	a.end("0d0d0d0dffffffff", failed)
	a.end("short", failed)
	require.Equal(t, stood, a.calls[0].ended)
	require.GreaterOrEqual(t, a.calls[0].took, 50*time.Millisecond)
	require.Equal(t, 1, a.waiting())
}

func TestEvaluatePairs(t *testing.T) {
	through, direct := newArm("0a0a0a0a", 100), newArm("0d0d0d0d", 100)
	began := time.Now()
	samples := &waits{}
	for i := range 1000 { // both processes wait for a core in the second half of the time
		samples.at = append(samples.at, began.Add(time.Duration(i)*waitSampleEvery))
		samples.sum = append(samples.sum, max(0, time.Duration(i-500))*waitSampleEvery/2)
	}
	for i := range 101 {
		due := began.Add(time.Duration(i) * 9 * waitSampleEvery)
		took := time.Duration(i) * time.Millisecond
		through.calls = append(through.calls, attempt{due: due, took: 2*took + time.Millisecond, ended: stood})
		direct.calls = append(direct.calls, attempt{due: due, took: took, ended: stood})
	}
	through.calls[100].ended = refused
	through.calls[0].took = time.Hour // before the measured part
	r := &Run{Seconds: 1, CoreShare: 0.01, Seed: 1}
	r.evaluate(through, direct, 1, machine{samples, samples})
	require.Equal(t, 100, r.Through.Calls)
	require.Equal(t, 1, r.Through.Refused)
	require.Equal(t, 99, r.Added.Pairs)
	require.InDelta(t, 51, r.Added.P50, 1e-9) // differences are 2 to 100 ms
	require.InDelta(t, 100, r.Added.P99, 1e-9)
	require.InDelta(t, 51, r.Added.Mean, 1e-9)
	require.InDelta(t, 100, r.PerCall, 1e-9)
	require.Nil(t, r.Added.Calm, "24 pairs are too few")
	require.InDelta(t, 19*51, r.Added.Chain[0], 19)
}

func TestCalmOf(t *testing.T) {
	differences := make([]float64, calmLeast)
	for i := range differences {
		differences[i] = float64(i + 1)
	}
	c := calmOf(differences, 1)
	require.Equal(t, calmLeast, c.Pairs)
	require.Equal(t, []float64{50, 99, 100}, []float64{c.P50, c.P99, c.P999})
	require.Nil(t, calmOf(differences[1:], 1))
}

func TestCalmPairs(t *testing.T) {
	began := time.Now()
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	times := []time.Time{at(0), at(5), at(10), at(15), at(400)}
	gatekeeper := &waits{at: times, sum: []time.Duration{0, 0, gatekeeperWaits, 3 * gatekeeperWaits, 3 * gatekeeperWaits}}
	none, never := &waits{at: times, sum: make([]time.Duration, 5)}, &waits{}
	much := &waits{at: times, sum: []time.Duration{0, 2 * laboratoryWaits, 2 * laboratoryWaits, 2 * laboratoryWaits, 2 * laboratoryWaits}}
	call := func(due, took int) attempt {
		return attempt{due: at(due), took: time.Duration(took) * time.Millisecond}
	}
	m := machine{gatekeeper, none}
	require.True(t, m.calm(call(1, 1), call(2, 1)))
	require.True(t, m.calm(call(6, 1), call(7, 1)), "waited as long as is allowed")
	require.False(t, m.calm(call(11, 1), call(12, 1)), "the gatekeeper waited for a core")
	require.False(t, m.calm(call(6, 1), call(11, 1)), "it waited around the direct call")
	require.False(t, m.calm(call(6, 6), call(7, 1)), "it waited before the answer")
	require.False(t, m.calm(call(17, 1), call(18, 1)), "samples too far apart")
	require.False(t, m.calm(call(401, 1), call(402, 1)), "no sample after it")
	require.False(t, m.calm(call(-2, 1), call(-2, 1)), "no sample before it")
	require.False(t, machine{gatekeeper, much}.calm(call(1, 1), call(2, 1)), "the laboratory waited")
	require.True(t, machine{gatekeeper, much}.calm(call(6, 1), call(7, 1)))
	require.False(t, machine{gatekeeper, never}.calm(call(1, 1), call(2, 1)), "no sample at all")
}

func TestChain(t *testing.T) {
	require.Equal(t, []float64{19, 19}, Chain([]float64{1}, 19, 100, 1, 0.5, 0.99))
	require.True(t, math.IsNaN(Chain(nil, 19, 10, 1, 0.5)[0]))
	rng := rand.New(rand.NewPCG(1, 2))
	values := make([]float64, 20000)
	for i := range values {
		values[i] = rng.NormFloat64() + 3
	}
	got := Chain(values, 19, 100000, 5, 0.5, 0.99)
	require.InDelta(t, 19*3, got[0], 0.3)
	require.InDelta(t, 19*3+2.326*math.Sqrt(19), got[1], 0.4)
	require.Equal(t, got, Chain(values, 19, 100000, 5, 0.5, 0.99))
	require.NotEqual(t, got, Chain(values, 19, 100000, 6, 0.5, 0.99))
}

func TestQuantiles(t *testing.T) {
	require.Equal(t, []float64{-3, 2, 9}, Quantiles([]float64{9, -3, 2}, 0.01, 0.5, 1))
}

func TestFitLine(t *testing.T) {
	fixed, slope, worst := FitLine([]float64{0, 100, 200, 300}, []float64{2, 12, 22, 32})
	require.InDelta(t, 2, fixed, 1e-9)
	require.InDelta(t, 0.1, slope, 1e-9)
	require.InDelta(t, 0, worst, 1e-9)
	_, _, worst = FitLine([]float64{0, 1, 2}, []float64{0, 3, 0})
	require.InDelta(t, 2, worst, 1e-9)
	fixed, slope, _ = FitLine([]float64{5, 5}, []float64{1, 3})
	require.Equal(t, []float64{2, 0}, []float64{fixed, slope})
}

func TestParseStat(t *testing.T) {
	took, err := parseStat("7 (a name) with) S 1 7 7 0 -1 4194304 10 0 0 0 123 45 0 0 20 0 9 0 100 1 2")
	require.NoError(t, err)
	require.Equal(t, 1680*time.Millisecond, took)
	for _, bad := range []string{"", "7 (x) S 1", "7 (x) S 1 7 7 0 -1 4194304 10 0 0 0 a 45 0 0"} {
		_, err := parseStat(bad)
		require.Error(t, err, bad)
	}
}

func TestParseStolen(t *testing.T) {
	stolen, err := parseStolen("cpu  13612 0 3469 118657 1038 0 511 772 0 0\ncpu0 1 2 3 4 5 6 7 8 9 10\n")
	require.NoError(t, err)
	require.Equal(t, 7720*time.Millisecond, stolen)
	for _, bad := range []string{"", "cpu 1 2 3", "intr 1 2 3 4 5 6 7 8 9", "cpu 1 2 3 4 5 6 7 x 9"} {
		_, err := parseStolen(bad)
		require.Error(t, err, bad)
	}
	require.InDelta(t, -1, stolenCores(0, errors.New("no such file"), time.Second), 0, "not known")
}

// The sender is never early, and what is overdue does not wait.
func TestWaitUntil(t *testing.T) {
	for _, span := range []time.Duration{0, 100 * time.Microsecond, 2 * spinFor} {
		at := time.Now().Add(span)
		late := waitUntil(at)
		require.False(t, time.Now().Before(at))
		require.GreaterOrEqual(t, late, time.Duration(0))
		require.LessOrEqual(t, late, time.Since(at))
	}
	require.GreaterOrEqual(t, waitUntil(time.Now().Add(-time.Second)), time.Second)
}

func TestMeasureTakesTheMedian(t *testing.T) {
	calls := 0
	op := operation(func(n int) time.Duration {
		calls++
		if calls%5 == 0 {
			time.Sleep(time.Millisecond)
			return time.Second * time.Duration(n) // a batch that was held up
		}
		time.Sleep(time.Millisecond)
		return 10 * time.Microsecond * time.Duration(n)
	})
	require.Equal(t, []float64{10, 10}, measure(op, 2, 20*time.Millisecond))
}

// The time of a function is what its thread worked: a wait is not in it.
func TestEachCountsProcessorTime(t *testing.T) {
	wait := measure(each(func() { time.Sleep(5 * time.Millisecond) }), 1, 50*time.Millisecond)
	require.Less(t, wait[0], 2000.0)
	work := measure(each(func() {
		for end := threadTime() + 3*time.Millisecond; threadTime() < end; {
		}
	}), 1, 50*time.Millisecond)
	require.InDelta(t, 3000, work[0], 600)
}

// Every step can be prepared at its smallest size and gives a positive time, or the value that it counts.
func TestStepsRun(t *testing.T) {
	names := map[string]bool{}
	for _, s := range allSteps() {
		require.False(t, names[s.name], s.name)
		names[s.name] = true
		s.sizes = s.sizes[:1]
		point, err := Steps{Repeats: 2, Span: time.Millisecond}.point(s, s.sizes[0])
		require.NoError(t, err, s.name)
		require.NotEmpty(t, point.Values, s.name)
		if s.count == nil {
			require.Positive(t, point.Values[0], s.name)
		}
	}
	require.GreaterOrEqual(t, len(ServerSizes), 5)
}

// What is measured is a decision that sends: no call of a decider in its steady state is refused.
func TestDeciderSendsEveryCall(t *testing.T) {
	for _, n := range ServerSizes {
		d, err := NewDecider(n, stepGatekeepers)
		require.NoError(t, err)
		for range 500 {
			require.Positive(t, d.Call())
		}
		require.Zero(t, d.Refused, "%d servers", n)
		require.Positive(t, d.Tick())
		require.Positive(t, d.Change())
	}
}

func TestRegistersRefuseBeyondTheirBound(t *testing.T) {
	refused, _, err := registersRefused(1100)
	require.NoError(t, err)
	require.Equal(t, float64(1100-mostOrigins), refused)
	refused, note, err := registersRefused(16)
	require.NoError(t, err)
	require.Zero(t, refused)
	require.Empty(t, note)
}

func TestCollect(t *testing.T) {
	report := &Report{}
	for _, rate := range []float64{0, 100, 200} {
		for _, limit := range []int{PlannedDescriptors, 4096} {
			r := &Run{Servers: 34, PerSecond: rate, Descriptors: limit, Seconds: 1, CoreShare: 0.1 + rate/1000, ResidentMB: 20}
			r.Through.Calls, r.Through.Established = int(rate), int(rate)
			if rate > 0 {
				r.Added = &Added{P99: rate, Chain: []float64{1, 2}}
			}
			report.Runs = append(report.Runs, r)
		}
	}
	report.Collect()
	report.Collect() // in place of the earlier ones
	byName := map[string]Series{}
	for _, s := range report.Series {
		require.NotContains(t, byName, s.Name)
		byName[s.Name] = s
	}
	require.Equal(t, []Point{{N: 34, Values: []float64{200}}}, byName["added_p99_ms_at_200_per_s"].Points)
	require.Equal(t, []Point{{N: 34, Values: []float64{200}}}, byName["added_p99_ms_at_200_per_s_with_4096_descriptors"].Points)
	require.Len(t, byName["core_part_at_34_servers"].Points, 3)
	require.NotContains(t, byName, "calm_added_p99_ms_at_200_per_s") // no calm pair, no series
	require.Len(t, report.Fits, 2)
	require.InDelta(t, 0.1, report.Fits[0].Fixed, 1e-9)
	require.InDelta(t, 0.001, report.Fits[0].Slope, 1e-9)

	file := filepath.Join(t.TempDir(), "r.json")
	report.Runs[0].Load, report.Runs[1].Load = "12.4 and 3.0", "2.6 and 1.0"
	report.Runs[1].StealCores = 1.5
	report.Stamp("command", "nothing", time.Date(2026, 12, 2, 5, 0, 0, 0, time.UTC))
	require.NoError(t, report.WriteFile(file))
	back, err := ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, report.Series, back.Series)
	require.Equal(t, "2026-12-02", back.Series[0].Date)
	require.Equal(t, "command", back.Command())
	require.Contains(t, back.Series[0].Beside, "before the 6 runs: 2.6 to 12.4; the host took up to 1.5 cores")
	require.Empty(t, (&Report{}).Command())
	_, err = ReadFile(filepath.Join(t.TempDir(), "none"))
	require.ErrorIs(t, err, os.ErrNotExist)
}

func TestRunNeedsServers(t *testing.T) {
	_, err := Latency{Servers: 3, Active: 4}.Run(context.Background())
	require.ErrorIs(t, err, ErrNoServers)
}

// With a real gatekeeper in a process of its own.
func TestWithGatekeeper(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes: not in -short")
	}
	built, err := fleetlab.Build("../..", t.TempDir())
	require.NoError(t, err)
	program := Program{Path: built.Path}
	l := Latency{Program: program, Seed: 1, Servers: 4, Active: 2, PerSecond: 50, Descriptors: PlannedDescriptors,
		Gatekeepers: 2200, Callers: 2, StateEvery: 250 * time.Millisecond, Warm: 500 * time.Millisecond, Length: 2 * time.Second}

	t.Run("every call is answered at the planned descriptors", func(t *testing.T) {
		r, err := l.Run(t.Context())
		require.NoError(t, err)
		require.Positive(t, r.Through.Calls)
		require.Equal(t, r.Through.Calls, r.Through.Established)
		require.Equal(t, r.Direct.Calls, r.Direct.Established)
		require.Equal(t, r.Through.Calls, r.Added.Pairs)
		require.Positive(t, r.Added.P50)
		require.Positive(t, r.ResidentMB)
		require.GreaterOrEqual(t, r.DescriptorsHeld, 4+2)
	})
	t.Run("with fewer descriptors than servers callers are served", func(t *testing.T) {
		l := l
		l.Servers, l.Descriptors = 60, 64
		r, err := l.Run(t.Context())
		require.NoError(t, err)
		require.Positive(t, r.Through.Calls)
		require.Zero(t, r.Through.Unanswered, "each call has its answer")
		require.Zero(t, r.Through.Unsent, "callers have their connections")
		require.Zero(t, r.CallerConnectionsClosed)
		require.Positive(t, r.Through.Established)
		require.LessOrEqual(t, r.DescriptorsHeld, 64)
		require.Equal(t, r.Direct.Calls, r.Direct.Established)
	})
	t.Run("the process is gone after its end", func(t *testing.T) {
		p, err := startGatekeeper(t.Context(), program, t.TempDir(), gatekeeperLimits{64, 64}, 1,
			InventoryCSV(1, func(int) string { return "127.0.0.1:1" }))
		require.NoError(t, err)
		require.NoError(t, syscall.Kill(p.cmd.Process.Pid, 0))
		p.end()
		require.ErrorIs(t, syscall.Kill(p.cmd.Process.Pid, 0), syscall.ESRCH)
	})
	t.Run("a stopped run leaves no process", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		l := l
		l.Length = time.Minute
		start := time.Now()
		_, err := l.Run(ctx)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Less(t, time.Since(start), 30*time.Second)
	})
}

func TestGatekeeperThatDoesNotServe(t *testing.T) {
	_, err := startGatekeeper(t.Context(), Program{Path: "/bin/true"}, t.TempDir(), gatekeeperLimits{64, 64}, 1, nil)
	require.ErrorIs(t, err, ErrNotServing)
}

func BenchmarkDecision(b *testing.B) {
	for _, n := range ServerSizes {
		b.Run("servers="+strconv.Itoa(n), func(b *testing.B) {
			d, err := NewDecider(n, stepGatekeepers)
			require.NoError(b, err)
			var sum time.Duration
			b.ResetTimer()
			for range b.N {
				sum += d.Call()
			}
			b.ReportMetric(float64(sum.Nanoseconds())/float64(b.N), "ns/decision")
		})
	}
}
