// Package fleetlab is the fleet laboratory. It runs many gatekeepers as separate processes on loopback, with simulated menu
// servers, callers and event bus, and a relay on every link between processes. It injects the faults of a script and checks
// the observed events with package fleetcheck. All started processes are ended by their process ids, however a run ends.
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

	"beammux/internal/fleetcheck"
	"beammux/internal/fleetlab/script"
	"beammux/internal/lab"
	"beammux/internal/relay"
)

// Options configures a run.
type Options struct {
	Program Program
	Dir     string // folder for configurations, logs, records and the report; must not exist or be empty
	Script  *script.Script
	Log     logrus.FieldLogger
	// Progress, if not nil, is called with each progress message and the time since the start of calls.
	Progress func(elapsed time.Duration, message string)
	// Ready, if not nil, is called with the process ids of the gatekeepers when all are up, before the first call.
	Ready func(pids []int)
}

const (
	statusInterval    = 250 * time.Millisecond // between status reports of servers
	startCapacity     = 0.33                   // of a cold server; equals start-capacity in the settings
	warmUpTime        = 15 * time.Second       // of a cold server; equals warm-within-us in the settings
	stopTimeout       = 8 * time.Second        // from SIGTERM to SIGKILL: the longest call deadline and a margin
	maxParallelStarts = 8                      // gatekeepers that start at the same time
	storeService      = "store"
	fleetService      = "fleet"
	viewInterval      = 200 * time.Millisecond // between reads of a gatekeeper's fleet view
)

// fleet is the state of one run.
type fleet struct {
	Options
	s       *script.Script
	net     *relay.Network
	bus     *lab.Bus
	callers *lab.Callers
	log     logrus.FieldLogger

	runs, calls, serves *eventLog // events of the laboratory, the callers and the servers

	mu          sync.Mutex
	gatekeepers []*gatekeeper
	servers     []*server
	addr        map[[3]string]string // relay addresses by from, to and service
	faultCounts map[[2]string]int    // number of active faults, by direction
	conditions  map[[2]string][]condition
	startedAt   time.Time // start of calls
	faultTasks  sync.WaitGroup
	firstErr    error
	engaged     atomic.Pointer[script.Fault] // active fault of kind engaged, or nil
	agreedAfter time.Duration                // from all gatekeepers ready to identical fleet views
}

// condition is the effect of the fault with the given id on a direction.
type condition struct {
	id int
	relay.Condition
}

// Run executes a script and checks the result. The files of the run stay in Dir, also after an error. If ctx is cancelled,
// the run ends early and what it observed until then is checked.
func Run(ctx context.Context, o Options) (*Summary, error) {
	f := &fleet{Options: o, s: o.Script, log: o.Log, net: relay.New(o.Script.Seed), addr: map[[3]string]string{},
		faultCounts: map[[2]string]int{}, conditions: map[[2]string][]condition{}}
	if f.log == nil {
		l := logrus.New()
		l.SetLevel(logrus.PanicLevel)
		f.log = l
	}
	if entries, err := os.ReadDir(o.Dir); err == nil && len(entries) > 0 {
		return nil, fmt.Errorf("%s: is not empty; a run needs an empty or new folder", o.Dir)
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
	summary, err := Check(o.Dir)
	if err != nil {
		return nil, err
	}
	summary.Stopped, summary.Elapsed, summary.StartTimes, summary.AgreedAfter = stopped, time.Since(began).Seconds(), starts, f.agreedAfter.Seconds()
	if err := summary.write(o.Dir); err != nil {
		return nil, err
	}
	return summary, nil
}

// path returns the path of a file in the folder of the run.
func (f *fleet) path(name ...string) string {
	return filepath.Join(append([]string{f.Dir}, name...)...)
}

// reportProgress logs a message and passes it to Progress.
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

// fail records an error that fails the run; the first one is kept.
func (f *fleet) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.firstErr == nil {
		f.firstErr = err
	}
}

// runScript starts all processes, executes the script and stops the processes. It returns the gatekeepers' start times in
// seconds.
func (f *fleet) runScript(ctx context.Context) (starts []float64, err error) {
	for path, j := range map[string]**eventLog{"run.jsonl": &f.runs, "callers.jsonl": &f.calls, "servers.jsonl": &f.serves} {
		if *j, err = newEventLog(f.path(path)); err != nil {
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
	defer func() {
		f.runs.record(fleetcheck.CallersLeft, line{})
		disconnectCallers()
	}()
	f.callers = lab.NewCallers(f.load())
	for i, g := range f.gatekeepers {
		background.Go(func() {
			f.callers.MaintainConnection(calls, i, f.addr[[3]string{script.Front + f.s.ZoneOf(g.name), g.name, ""}])
		})
	}
	if err = f.awaitCallers(ctx); err != nil {
		return starts, err
	}
	if f.Ready != nil {
		f.Ready(f.pids())
	}
	f.startedAt = time.Now()
	f.reportProgress(fmt.Sprintf("starting calls: %d gatekeepers, %d servers, %d zones", f.s.Gatekeepers, f.s.Servers, f.s.Zones))
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
	f.callers.PlaceCalls(ctx)
	cancelFaults()
	f.faultTasks.Wait()
	if err := f.writeOutcome(); err != nil {
		return starts, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return starts, f.firstErr
}

// writeOutcome writes the statistics of the callers to a file.
func (f *fleet) writeOutcome() error {
	var instances []*lab.Server
	for _, srv := range f.servers {
		instances = append(instances, srv.instances...)
	}
	text, err := json.MarshalIndent(f.callers.Outcome(instances), "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(f.path(outcomeFile), text, 0o644)
}
