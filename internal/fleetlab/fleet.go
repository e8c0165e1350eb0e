// Package fleetlab is the fleet laboratory: it starts many gatekeepers as processes of their own on loopback, with stand-ins
// for menu servers, callers and the event bus, and a relay on every way between two that talk; it plays a script of faults,
// and judges by package fleetcheck what was seen. Everything it starts it ends, by number, however the run ends.
package fleetlab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/internal/fleetlab/script"
	"beammux/internal/lab"
	"beammux/internal/relay"
)

// Options of a run.
type Options struct {
	Program Program
	Dir     string // for configurations, logs, records and the report; it must be new or empty
	Script  *script.Script
	Log     logrus.FieldLogger
	// Progress is told of what happens, if not nil.
	Progress func(at time.Duration, what string)
	// Ready, if not nil, is called once the fleet is up, before the first call, with the numbers of its processes.
	Ready func(pids []int)
}

const (
	statusInterval    = 250 * time.Millisecond // servers tell their state so often
	startCapacity     = 0.33                   // of a server that returns cold: the settings' start-capacity
	warmUpTime        = 15 * time.Second       // the settings' warm-within-us
	stopTimeout       = 8 * time.Second        // after SIGTERM: the longest deadline and some
	maxParallelStarts = 8                      // gatekeepers that are started at the same time
	storeService      = "store"
	fleetService      = "fleet"
	viewInterval      = 200 * time.Millisecond // the gatekeepers' views are read so often
)

// fleet is one run.
type fleet struct {
	Options
	s       *script.Script
	net     *relay.Network
	bus     *lab.Bus
	callers *lab.Callers
	log     logrus.FieldLogger

	runs, calls, serves *eventLog

	mu          sync.Mutex
	gatekeepers []*gatekeeper
	servers     []*server
	addr        map[[3]string]string // from, to, service: the relay's address
	faultCounts map[[2]string]int    // faults that concern a direction now
	conditions  map[[2]string][]condition
	startedAt   time.Time // of the first call
	faultTasks  sync.WaitGroup
	firstErr    error
	engaged     atomic.Pointer[script.Fault] // that is on
	agreedAfter time.Duration                // from all ready to all views the same
}

type condition struct {
	id int
	relay.Condition
}

// Run plays a script and judges what came of it. What the run wrote is in Dir, also where it fails.
func Run(ctx context.Context, o Options) (*Summary, error) {
	f := &fleet{Options: o, s: o.Script, log: o.Log, net: relay.New(o.Script.Seed), addr: map[[3]string]string{},
		faultCounts: map[[2]string]int{}, conditions: map[[2]string][]condition{}}
	if f.log == nil {
		l := logrus.New()
		l.SetLevel(logrus.PanicLevel)
		f.log = l
	}
	if entries, err := os.ReadDir(o.Dir); err == nil && len(entries) > 0 {
		return nil, fmt.Errorf("%s: is not empty; a run needs a folder of its own", o.Dir)
	}
	for _, d := range []string{"logs", "records", "etc", "state"} {
		if err := os.MkdirAll(filepath.Join(o.Dir, d), 0o755); err != nil {
			return nil, err
		}
	}
	if err := os.WriteFile(f.path("script.yaml"), f.s.Marshal(), 0o644); err != nil {
		return nil, err
	}
	began := time.Now()
	starts, err := f.runScript(ctx)
	stopped := ctx.Err() != nil
	if err != nil && !stopped {
		return nil, err
	}
	sum, err := Check(o.Dir)
	if err != nil {
		return nil, err
	}
	sum.Stopped, sum.Elapsed, sum.StartTimes, sum.Joined = stopped, time.Since(began).Seconds(), starts, f.agreedAfter.Seconds()
	if err := sum.write(o.Dir); err != nil {
		return nil, err
	}
	return sum, nil
}

func (f *fleet) path(name ...string) string {
	return filepath.Join(append([]string{f.Dir}, name...)...)
}

func (f *fleet) reportProgress(message string) {
	at := time.Duration(0)
	if !f.startedAt.IsZero() {
		at = time.Since(f.startedAt)
	}
	f.log.WithField("at_ms", at.Milliseconds()).Info(message)
	if f.Progress != nil {
		f.Progress(at, message)
	}
}

func (f *fleet) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.firstErr == nil {
		f.firstErr = err
	}
}

// runScript starts everything, plays the script and ends everything.
func (f *fleet) runScript(ctx context.Context) (starts []float64, err error) {
	for file, j := range map[string]**eventLog{"run.jsonl": &f.runs, "callers.jsonl": &f.calls, "servers.jsonl": &f.serves} {
		if *j, err = newEventLog(f.path(file)); err != nil {
			return nil, err
		}
	}
	defer func() {
		for _, j := range []*eventLog{f.runs, f.calls, f.serves} {
			err = errors.Join(err, j.close())
		}
	}()
	defer f.net.Close()
	if err = f.startServers(); err != nil {
		return nil, err
	}
	defer f.stopServers()
	if err = f.openLinks(); err != nil {
		return nil, err
	}
	defer f.bus.Close()
	defer f.stopGatekeepers()
	if starts, err = f.startAll(ctx); err != nil {
		return starts, err
	}
	calls, disconnectCallers := context.WithCancel(context.Background())
	var background sync.WaitGroup
	defer background.Wait()
	defer disconnectCallers()
	f.callers = lab.NewCallers(f.load())
	for i, g := range f.gatekeepers {
		background.Go(func() { f.callers.Keep(calls, i, f.addr[[3]string{script.Front + f.s.ZoneOf(g.name), g.name, ""}]) })
	}
	if err = f.awaitCallers(ctx); err != nil {
		return starts, err
	}
	if f.Ready != nil {
		f.Ready(f.pids())
	}
	f.startedAt = time.Now()
	f.reportProgress(fmt.Sprintf("%d gatekeepers, %d servers, %d zones: calls begin", f.s.Gatekeepers, f.s.Servers, f.s.Zones))
	faultContext, cancelFaults := context.WithCancel(ctx)
	defer cancelFaults()
	if f.s.Fleet {
		if err = f.awaitAgreement(ctx); err != nil {
			return starts, err
		}
		viewContext, stopViews := context.WithCancel(context.Background())
		for _, g := range f.gatekeepers {
			background.Go(func() { f.watchView(viewContext, g) })
		}
		defer stopViews()
	}
	delayContext, stopDelays := context.WithCancel(context.Background())
	defer stopDelays()
	background.Go(func() { f.watchProcessors(delayContext) })
	background.Go(func() { f.watchTimers(delayContext) })
	f.faultTasks.Go(func() { f.runFaults(faultContext) })
	f.callers.Play(ctx)
	cancelFaults()
	f.faultTasks.Wait()
	if err := f.writeOutcome(); err != nil {
		return starts, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return starts, f.firstErr
}

// writeOutcome writes what the callers say of the run.
func (f *fleet) writeOutcome() error {
	var instances []*lab.Server
	for _, v := range f.servers {
		instances = append(instances, v.instances...)
	}
	text, err := json.MarshalIndent(f.callers.Outcome(instances), "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(f.path(outcomeFile), text, 0o644)
}
