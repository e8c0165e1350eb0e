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

// Program is the gatekeeper binary to measure, and additional environment variables for it.
type Program struct {
	Path string
	Env  []string
}

// Latency measures calls through one gatekeeper process against direct calls to the same servers.
type Latency struct {
	Program     Program
	Seed        uint64
	Servers     int           // servers known to the gatekeeper; all of them report their state
	Active      int           // servers that receive calls; the others are only listed, connected and report their state
	PerSecond   float64       // calls per second through the gatekeeper; the same number is sent directly
	Descriptors int           // limit of the gatekeeper's file descriptors
	Gatekeepers int           // size of the fleet according to the settings
	Callers     int           // connections of callers to the gatekeeper
	Setup       time.Duration // processing time of a set-up at a server; 0: it answers immediately
	StateEvery  time.Duration // interval of the servers' state reports
	Warm        time.Duration // warm-up time before the measurement
	Length      time.Duration // length of the measurement
}

// quantiles lists the reported quantiles.
var quantiles = []float64{0.5, 0.99, 0.999}

// Parameters of a run.
const (
	memoryMB          = 192 // memory of the gatekeeper, as on the platform
	maxQueueDelay     = 3 * time.Second
	settleTimeout     = 4 * time.Second // longest wait for the last answers
	chainDepth        = 19
	chainSamples      = 100000
	maxLatencyMicros  = 60e6
	minCalmPairs      = 100 // fewest calm pairs of a run for which a 99th percentile is computed
	significantDigits = 3
)

// Arm holds the results of one arm of the comparison. Latencies are in milliseconds from the scheduled time of each call.
type Arm struct {
	Calls       int     `json:"calls"`
	Established int     `json:"stood"`
	Refused     int     `json:"refused"`
	Failed      int     `json:"failed"`
	Unsent      int     `json:"unsent"` // no connection to the gatekeeper was open
	Unanswered  int     `json:"silent"` // no answer arrived
	P50         float64 `json:"p50_ms"`
	P99         float64 `json:"p99_ms"`
	P999        float64 `json:"p999_ms"`
}

// Added is the latency that the gatekeeper adds, in milliseconds. P50, P99 and P999 are quantiles of the differences within
// pairs (through minus direct): they contain the noise of both calls, so their tail is an upper estimate of the added
// latency. The Diff fields are the differences between the quantiles of the two arms.
type Added struct {
	Pairs        int       `json:"pairs"`
	Mean         float64   `json:"mean_ms"`
	P50          float64   `json:"p50_ms"`
	P99          float64   `json:"p99_ms"`
	P999         float64   `json:"p999_ms"`
	DiffP50      float64   `json:"difference_of_p50_ms"`
	DiffP99      float64   `json:"difference_of_p99_ms"`
	DiffP999     float64   `json:"difference_of_p999_ms"`
	Calm         *Calm     `json:"calm,omitempty"`               // nil if there are fewer than 100 calm pairs
	Chain        []float64 `json:"chain_of_19_p50_p99_ms"`       // sums of 19 paired differences, drawn with the run's seed
	ThroughChain []float64 `json:"chain_of_19_whole_p50_p99_ms"` // sums of 19 latencies through a gatekeeper
}

// Calm holds quantiles of the differences of the pairs during which the machine was calm (see machineSamples.calm): neither the
// gatekeeper nor the laboratory had to wait for a core. The latency of the calls is not a criterion, but a pair with a high
// latency is more likely to coincide with such a wait.
type Calm struct {
	Pairs int       `json:"pairs"`
	P50   float64   `json:"p50_ms"`
	P99   float64   `json:"p99_ms"`
	P999  float64   `json:"p999_ms"`
	Chain []float64 `json:"chain_of_19_p50_p99_ms"`
}

// Run is the result of one measurement.
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
	Added                   *Added  `json:"added,omitempty"`      // nil if both calls were established in no pair
	ScheduleDelayP99        float64 `json:"schedule_late_p99_ms"` // delay of the sender behind the schedule
	CoreShare               float64 `json:"core_part"`            // processor time of the gatekeeper per second
	CoreWaitShare           float64 `json:"core_wait_part"`       // time that threads of the gatekeeper waited for a core, per second
	StealCores              float64 `json:"stolen_cores"`         // steal time of the virtual machine per second; -1 if unknown
	PerCall                 float64 `json:"us_per_call"`          // processor time of the gatekeeper divided by the number of calls
	ResidentMB              float64 `json:"resident_mb"`
	PeakMB                  float64 `json:"resident_peak_mb"`
	DescriptorsHeld         int     `json:"descriptors_held"`
	SecondsToServing        float64 `json:"seconds_to_serving"`
	CallerConnectionsClosed int64   `json:"caller_connections_ended"` // closed by the gatekeeper and redialled
	FailedConnections       int64   `json:"servers_without_connection_logged"`

	differences []float64
}

// ErrNoServers is returned if Active is not between 1 and Servers.
var ErrNoServers = errors.New("the number of servers that receive calls must be between 1 and the number of known servers")

// Run performs one measurement.
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
	gatekeeper, err := startGatekeeper(ctx, l.Program, dir, machineLimits{l.Descriptors, memoryMB}, l.Gatekeepers,
		InventoryCSV(l.Servers, func(i int) string { return addresses[i] }))
	if err != nil {
		return nil, err
	}
	defer gatekeeper.stop()
	r.SecondsToServing = gatekeeper.startupTime.Seconds()
	gatekeeper.waitConnected(ctx)
	return r, l.runCalls(ctx, r, gatekeeper, addresses)
}

// startServers starts the stand-in servers in this process, each with its own listener. If a set-up costs them no time, the
// measured latency is that of the path to them alone.
func (l Latency) startServers() (addresses []string, closeAll func(), err error) {
	var ends []func()
	closeAll = func() {
		for _, end := range slices.Backward(ends) {
			end()
		}
	}
	began := time.Now()
	for i := range l.Servers {
		// Staggers the starts, so that the servers do not all report their state at the same moment.
		time.Sleep(time.Until(began.Add(l.StateEvery * time.Duration(i) / time.Duration(l.Servers))))
		s, err := lab.NewServer(lab.Work{Setup: l.Setup, MaxQueueDelay: maxQueueDelay}, l.Seed+uint64(i))
		if err != nil {
			return nil, closeAll, err
		}
		ends = append(ends, s.Close, s.StartStatusReports(l.StateEvery))
		addresses = append(addresses, s.Addr())
	}
	return addresses, closeAll, nil
}

// runCalls sends the scheduled calls and fills in the measurements of r.
func (l Latency) runCalls(ctx context.Context, r *Run, gatekeeper *process, addresses []string) error {
	pairs := schedule(l.Seed, l.PerSecond, l.Warm+l.Length, l.Active)
	callers := l.Callers
	if l.PerSecond <= 0 {
		callers = 0 // the gatekeeper would close connections without calls
	}
	viaGatekeeper := dialGatekeeper(gatekeeper.addr, callers, len(pairs))
	defer viaGatekeeper.close()
	direct, err := dialDirect(addresses[:l.Active], len(pairs))
	if err != nil {
		return err
	}
	defer direct.close()

	late := hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	began := time.Now()
	first := l.send(ctx, began, pairs, 0, l.Warm, viaGatekeeper, direct, nil)
	sleepOrDone(ctx, began.Add(l.Warm))
	before, err := gatekeeper.processorTime()
	if err != nil {
		return fmt.Errorf("reading the gatekeeper's processor time: %w", err)
	}
	coreWait, measured := gatekeeper.coreWait(), time.Now()
	steal, stealErr := stealTime()
	done := make(chan struct{})
	samples, finished := sampleMachine(gatekeeper, done)
	l.send(ctx, began, pairs, first, l.Warm+l.Length, viaGatekeeper, direct, late)
	sleepOrDone(ctx, began.Add(l.Warm+l.Length))
	after, err := gatekeeper.processorTime()
	if err != nil {
		close(done)
		return fmt.Errorf("reading the gatekeeper's processor time: %w", err)
	}
	r.CoreShare = (after - before).Seconds() / time.Since(measured).Seconds()
	r.CoreWaitShare = (gatekeeper.coreWait() - coreWait).Seconds() / time.Since(measured).Seconds()
	r.StealCores = stealCores(steal, stealErr, time.Since(measured))
	now, peak := gatekeeper.resident()
	r.ResidentMB, r.PeakMB = float64(now)/1024, float64(peak)/1024
	r.DescriptorsHeld = gatekeeper.descriptors()
	settle(ctx, viaGatekeeper.arm, direct.arm)
	close(done)
	finished()
	r.CallerConnectionsClosed, r.FailedConnections = viaGatekeeper.closedByPeer.Load(), gatekeeper.failedConnections.Load()
	r.ScheduleDelayP99 = float64(late.ValueAtQuantile(99)) / 1000
	r.evaluate(viaGatekeeper.arm, direct.arm, first, samples)
	return ctx.Err()
}

// send sends the pairs that are due before until, starting at index from, and returns the index of the first pair that is
// not due. It locks its thread, which runs continuously at some hundred calls per second (see waitUntil).
func (l Latency) send(ctx context.Context, began time.Time, pairs []pair, from int, until time.Duration, viaGatekeeper *gatekeeperCaller, directCaller *directCaller, late *hdrhistogram.Histogram) int {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for i := from; i < len(pairs); i++ {
		p := pairs[i]
		if p.at >= until || ctx.Err() != nil {
			return i
		}
		first, second := viaGatekeeper.send, directCaller.send
		if !p.throughFirst {
			first, second = second, first
		}
		at := began.Add(p.at)
		behind := waitUntil(at)
		first(at, p.server)
		at = at.Add(p.gap)
		behind = max(behind, waitUntil(at))
		second(at, p.server)
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

// settle waits up to settleTimeout for the last answers.
func settle(ctx context.Context, arms ...*arm) {
	for end := time.Now().Add(settleTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		pendingCalls := 0
		for _, a := range arms {
			pendingCalls += a.pendingCalls()
		}
		if pendingCalls == 0 {
			return
		}
	}
}

// evaluate computes the figures of r from the pairs numbered first and above. Both arms number their calls by pair.
func (r *Run) evaluate(throughArm, directArm *arm, first int, samples machineSamples) {
	throughArm.mu.Lock()
	defer throughArm.mu.Unlock()
	directArm.mu.Lock()
	defer directArm.mu.Unlock()
	first = min(first, len(throughArm.calls), len(directArm.calls))
	through, direct := throughArm.calls[first:], directArm.calls[first:]
	r.Through, r.Direct = armOf(through), armOf(direct)
	if r.Through.Calls > 0 {
		r.PerCall = r.CoreShare * r.Seconds * 1e6 / float64(r.Through.Calls)
	}
	var throughLatencies, calm []float64
	for i := range min(len(through), len(direct)) {
		if through[i].result == established && direct[i].result == established {
			r.differences = append(r.differences, milliseconds(through[i].latency-direct[i].latency))
			throughLatencies = append(throughLatencies, milliseconds(through[i].latency))
			if samples.calm(through[i], direct[i]) {
				calm = append(calm, milliseconds(through[i].latency-direct[i].latency))
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
	a.ThroughChain = Chain(throughLatencies, chainDepth, chainSamples, r.Seed, 0.5, 0.99)
	a.Calm = calmOf(calm, r.Seed)
	r.Added = a
}

func calmOf(differences []float64, seed uint64) *Calm {
	if len(differences) < minCalmPairs {
		return nil
	}
	q := Quantiles(differences, quantiles...)
	return &Calm{Pairs: len(differences), P50: q[0], P99: q[1], P999: q[2],
		Chain: Chain(differences, chainDepth, chainSamples, seed, 0.5, 0.99)}
}

func armOf(calls []attempt) (a Arm) {
	h := hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	for _, c := range calls {
		a.Calls++
		switch c.result {
		case established:
			a.Established++
			h.RecordValue(c.latency.Microseconds())
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

// micros returns a percentile of a histogram of microseconds, in milliseconds.
func micros(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
