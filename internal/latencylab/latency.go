package latencylab

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"beammux/internal/lab"
)

// Program is the gatekeeper to measure, with more of its environment where a test's binary stands in for it.
type Program struct {
	Path string
	Env  []string
}

// Latency measures calls through one gatekeeper process against direct calls to the same servers.
type Latency struct {
	Program     Program
	Seed        uint64
	Servers     int           // that the gatekeeper knows; all answer at once and tell their state
	Active      int           // of them take calls: the others are only listed, connected and tell their state
	PerSecond   float64       // calls a second through the gatekeeper; as many go direct
	Descriptors int           // that the gatekeeper may hold
	Gatekeepers int           // of the fleet, as its settings say
	Callers     int           // connections of callers to the gatekeeper
	Setup       time.Duration // that a set-up takes at a server; 0: it answers at once
	StateEvery  time.Duration // servers tell their state so often
	Warm        time.Duration
	Length      time.Duration
}

// The quantiles that are reported.
var quantiles = []float64{0.5, 0.99, 0.999}

// Figures of a run.
const (
	memoryMB     = 192 // of the gatekeeper, as on the platform
	serverFull   = 3 * time.Second
	settleWithin = 4 * time.Second // calls without an answer are waited for so long
	chainDepth   = 19
	chainSamples = 100000
	longestMicro = 60e6
	calmLeast    = 100 // calm pairs of a run: of fewer no 99th percentile is taken
	fineDigits   = 3
)

// Arm holds the latencies of one way, in milliseconds from the scheduled time of each call.
type Arm struct {
	Calls       int     `json:"calls"`
	Established int     `json:"stood"`
	Refused     int     `json:"refused"`
	Failed      int     `json:"failed"`
	Unsent      int     `json:"unsent"` // no connection to the gatekeeper was open
	Unanswered  int     `json:"silent"` // no answer
	P50         float64 `json:"p50_ms"`
	P99         float64 `json:"p99_ms"`
	P999        float64 `json:"p999_ms"`
}

// Added is what the gatekeeper adds, in milliseconds. Paired quantiles are those of the differences within pairs, through
// minus direct: they hold the noise of both calls, so their tail is no smaller than what is added. Quantiles of the two ways
// taken from each other are given beside them.
type Added struct {
	Pairs        int       `json:"pairs"`
	Mean         float64   `json:"mean_ms"`
	P50          float64   `json:"p50_ms"`
	P99          float64   `json:"p99_ms"`
	P999         float64   `json:"p999_ms"`
	DiffP50      float64   `json:"difference_of_p50_ms"`
	DiffP99      float64   `json:"difference_of_p99_ms"`
	DiffP999     float64   `json:"difference_of_p999_ms"`
	Calm         *Calm     `json:"calm,omitempty"`               // nil: there are fewer than 100 such pairs
	Chain        []float64 `json:"chain_of_19_p50_p99_ms"`       // sums of 19 paired differences, drawn with the run's seed
	ThroughChain []float64 `json:"chain_of_19_whole_p50_p99_ms"` // sums of 19 whole latencies through a gatekeeper
}

// Calm holds the differences of the pairs during which the machine was calm (see machine.calm): other work kept neither the
// gatekeeper nor the laboratory from a core. How long the calls took is no criterion, but a pair that takes long is more likely
// to meet such a wait.
type Calm struct {
	Pairs int       `json:"pairs"`
	P50   float64   `json:"p50_ms"`
	P99   float64   `json:"p99_ms"`
	P999  float64   `json:"p999_ms"`
	Chain []float64 `json:"chain_of_19_p50_p99_ms"`
}

// Run is what one run gave.
type Run struct {
	Servers                 int     `json:"servers_known"`
	Active                  int     `json:"servers_called"`
	PerSecond               float64 `json:"calls_per_s"`
	Descriptors             int     `json:"descriptor_limit"`
	StateEvery              float64 `json:"state_every_s"`
	Setup                   float64 `json:"setup_ms"`
	Seed                    uint64  `json:"seed"`
	Seconds                 float64 `json:"seconds"`
	Load                    string  `json:"load_average_before"`
	Through                 Arm     `json:"through"`
	Direct                  Arm     `json:"direct"`
	Added                   *Added  `json:"added,omitempty"` // nil: no pair stood
	ScheduleDelayP99        float64 `json:"schedule_late_p99_ms"`
	CoreShare               float64 `json:"core_part"`      // processor time of the gatekeeper a second
	CoreWaitShare           float64 `json:"core_wait_part"` // time that threads of the gatekeeper waited for a core, a second
	StealCores              float64 `json:"stolen_cores"`   // processor time that the host of a virtual machine took from it, a second; -1: not known
	PerCall                 float64 `json:"us_per_call"`    // all of it divided by the calls
	ResidentMB              float64 `json:"resident_mb"`
	PeakMB                  float64 `json:"resident_peak_mb"`
	DescriptorsHeld         int     `json:"descriptors_held"`
	SecondsToServing        float64 `json:"seconds_to_serving"`
	CallerConnectionsClosed int64   `json:"caller_connections_ended"` // closed by the gatekeeper and dialled again
	FailedConnections       int64   `json:"servers_without_connection_logged"`

	differences []float64
}

// ErrNoServers says that no server is to be called.
var ErrNoServers = errors.New("a run needs a server that takes calls, and no more of them than are known")

// Run measures once.
func (l Latency) Run(ctx context.Context) (*Run, error) {
	if l.Active <= 0 || l.Active > l.Servers {
		return nil, ErrNoServers
	}
	r := &Run{Servers: l.Servers, Active: l.Active, PerSecond: l.PerSecond, Descriptors: l.Descriptors, Seed: l.Seed, StateEvery: l.StateEvery.Seconds(), Setup: milliseconds(l.Setup),
		Seconds: l.Length.Seconds(), Load: LoadAverage()}
	addresses, closeServers, err := l.startServers()
	defer closeServers()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lab-latency-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	gatekeeper, err := startGatekeeper(ctx, l.Program, dir, gatekeeperLimits{l.Descriptors, memoryMB}, l.Gatekeepers,
		InventoryCSV(l.Servers, func(i int) string { return addresses[i] }))
	if err != nil {
		return nil, err
	}
	defer gatekeeper.end()
	r.SecondsToServing = gatekeeper.upIn.Seconds()
	gatekeeper.connected(ctx)
	return r, l.play(ctx, r, gatekeeper, addresses)
}

// startServers starts the stand-ins, each with a listener of its own in this process. Where a set-up costs them no time, what
// is measured is the way to them.
func (l Latency) startServers() (addresses []string, closeAll func(), err error) {
	var ends []func()
	closeAll = func() {
		for _, end := range slices.Backward(ends) {
			end()
		}
	}
	began := time.Now()
	for i := range l.Servers {
		// Servers tell their state at times of their own: started at once they would all tell it at the same moment.
		time.Sleep(time.Until(began.Add(l.StateEvery * time.Duration(i) / time.Duration(l.Servers))))
		s, err := lab.NewServer(lab.Work{Setup: l.Setup, MaxQueueDelay: serverFull}, l.Seed+uint64(i))
		if err != nil {
			return nil, closeAll, err
		}
		ends = append(ends, s.Close, s.StartStatusReports(l.StateEvery))
		addresses = append(addresses, s.Addr())
	}
	return addresses, closeAll, nil
}

// play offers the calls and takes the measurements.
func (l Latency) play(ctx context.Context, r *Run, gatekeeper *process, addresses []string) error {
	pairs := schedule(l.Seed, l.PerSecond, l.Warm+l.Length, l.Active)
	callers := l.Callers
	if l.PerSecond <= 0 {
		callers = 0 // the gatekeeper would close connections without a call on them
	}
	to := dialThrough(gatekeeper.addr, callers, len(pairs))
	defer to.close()
	from, err := dialDirect(addresses[:l.Active], len(pairs))
	if err != nil {
		return err
	}
	defer from.close()

	late := hdrhistogram.New(1, longestMicro, fineDigits)
	began := time.Now()
	first := l.send(ctx, began, pairs, 0, l.Warm, to, from, nil)
	sleepOrDone(ctx, began.Add(l.Warm))
	before, err := gatekeeper.processor()
	if err != nil {
		return fmt.Errorf("the gatekeeper ended: %w", err)
	}
	waited, measured := gatekeeper.waited(), time.Now()
	stolen, stolenErr := stolenTime()
	done := make(chan struct{})
	samples, finished := sampleMachine(gatekeeper, done)
	l.send(ctx, began, pairs, first, l.Warm+l.Length, to, from, late)
	sleepOrDone(ctx, began.Add(l.Warm+l.Length))
	after, err := gatekeeper.processor()
	if err != nil {
		close(done)
		return fmt.Errorf("the gatekeeper ended: %w", err)
	}
	r.CoreShare = (after - before).Seconds() / time.Since(measured).Seconds()
	r.CoreWaitShare = (gatekeeper.waited() - waited).Seconds() / time.Since(measured).Seconds()
	r.StealCores = stolenCores(stolen, stolenErr, time.Since(measured))
	now, peak := gatekeeper.resident()
	r.ResidentMB, r.PeakMB = float64(now)/1024, float64(peak)/1024
	r.DescriptorsHeld = gatekeeper.descriptors()
	settle(ctx, to.arm, from.arm)
	close(done)
	finished()
	r.CallerConnectionsClosed, r.FailedConnections = to.closed.Load(), gatekeeper.failed.Load()
	r.ScheduleDelayP99 = float64(late.ValueAtQuantile(99)) / 1000
	r.evaluate(to.arm, from.arm, first, samples)
	return ctx.Err()
}

// send offers the pairs from one on that are due before a time, and returns the place of the first that is not. It keeps its
// thread, which runs without a pause at some hundred calls a second (see waitUntil).
func (l Latency) send(ctx context.Context, began time.Time, pairs []pair, from int, until time.Duration, to *through, direct *direct, late *hdrhistogram.Histogram) int {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for i := from; i < len(pairs); i++ {
		p := pairs[i]
		if p.at >= until || ctx.Err() != nil {
			return i
		}
		one, two := to.send, direct.send
		if !p.throughFirst {
			one, two = two, one
		}
		at := began.Add(p.at)
		behind := waitUntil(at)
		one(at, p.server)
		at = at.Add(p.gap)
		behind = max(behind, waitUntil(at))
		two(at, p.server)
		if late != nil {
			late.RecordValue(behind.Microseconds())
		}
	}
	return len(pairs)
}

func sleepOrDone(ctx context.Context, at time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(at)):
	}
}

// settle waits for the last answers.
func settle(ctx context.Context, arms ...*arm) {
	for end := time.Now().Add(settleWithin); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		waiting := 0
		for _, a := range arms {
			waiting += a.waiting()
		}
		if waiting == 0 {
			return
		}
	}
}

// evaluate works out the figures from the pairs from one on. Both arms number their calls by pair.
func (r *Run) evaluate(to, from *arm, first int, samples machine) {
	to.mu.Lock()
	defer to.mu.Unlock()
	from.mu.Lock()
	defer from.mu.Unlock()
	first = min(first, len(to.calls), len(from.calls))
	through, direct := to.calls[first:], from.calls[first:]
	r.Through, r.Direct = armOf(through), armOf(direct)
	if r.Through.Calls > 0 {
		r.PerCall = r.CoreShare * r.Seconds * 1e6 / float64(r.Through.Calls)
	}
	var whole, calm []float64
	for i := range min(len(through), len(direct)) {
		if through[i].ended == stood && direct[i].ended == stood {
			r.differences = append(r.differences, milliseconds(through[i].took-direct[i].took))
			whole = append(whole, milliseconds(through[i].took))
			if samples.calm(through[i], direct[i]) {
				calm = append(calm, milliseconds(through[i].took-direct[i].took))
			}
		}
	}
	if len(r.differences) == 0 {
		return
	}
	q := Quantiles(r.differences, quantiles...)
	a := &Added{Pairs: len(r.differences), P50: q[0], P99: q[1], P999: q[2], DiffP50: r.Through.P50 - r.Direct.P50,
		DiffP99: r.Through.P99 - r.Direct.P99, DiffP999: r.Through.P999 - r.Direct.P999}
	for _, d := range r.differences {
		a.Mean += d / float64(len(r.differences))
	}
	a.Chain = Chain(r.differences, chainDepth, chainSamples, r.Seed, 0.5, 0.99)
	a.ThroughChain = Chain(whole, chainDepth, chainSamples, r.Seed, 0.5, 0.99)
	a.Calm = calmOf(calm, r.Seed)
	r.Added = a
}

func calmOf(differences []float64, seed uint64) *Calm {
	if len(differences) < calmLeast {
		return nil
	}
	q := Quantiles(differences, quantiles...)
	return &Calm{Pairs: len(differences), P50: q[0], P99: q[1], P999: q[2],
		Chain: Chain(differences, chainDepth, chainSamples, seed, 0.5, 0.99)}
}

func armOf(calls []attempt) (a Arm) {
	h := hdrhistogram.New(1, longestMicro, fineDigits)
	for _, c := range calls {
		a.Calls++
		switch c.ended {
		case stood:
			a.Established++
			h.RecordValue(c.took.Microseconds())
		case refused:
			a.Refused++
		case failed:
			a.Failed++
		case unsent:
			a.Unsent++
		default:
			a.Unanswered++
		}
	}
	if a.Established > 0 {
		a.P50, a.P99, a.P999 = micros(h, 50), micros(h, 99), micros(h, 99.9)
	}
	return a
}

// micros gives a quantile of a histogram of microseconds, in milliseconds.
func micros(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
