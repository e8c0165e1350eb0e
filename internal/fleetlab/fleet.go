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
	statusEvery   = 250 * time.Millisecond // servers tell their state so often
	startCapacity = 0.33                   // of a server that returns cold: the settings' start-capacity
	warmWithin    = 15 * time.Second       // the settings' warm-within-us
	endWithin     = 8 * time.Second        // after SIGTERM: the longest deadline and some
	together      = 8                      // gatekeepers that are started at the same time
	storeService  = "store"
	fleetService  = "fleet"
	viewEvery     = 200 * time.Millisecond // the gatekeepers' views are read so often
)

// fleet is one run.
type fleet struct {
	Options
	s       *script.Script
	net     *relay.Network
	bus     *lab.Bus
	callers *lab.Callers
	log     logrus.FieldLogger

	runs, calls, serves *journal

	mu          sync.Mutex
	gatekeepers []*gatekeeper
	servers     []*server
	addr        map[[3]string]string // from, to, service: the relay's address
	troubled    map[[2]string]int    // faults that concern a direction now
	conditions  map[[2]string][]condition
	began       time.Time // of the first call
	busy        sync.WaitGroup
	fault       error
	engaged     atomic.Pointer[script.Fault] // that is on
	joined      time.Duration                // from all ready to all views the same
}

type condition struct {
	id int
	relay.Condition
}

// Run plays a script and judges what came of it. What the run wrote is in Dir, also where it fails.
func Run(ctx context.Context, o Options) (*Summary, error) {
	f := &fleet{Options: o, s: o.Script, log: o.Log, net: relay.New(o.Script.Seed), addr: map[[3]string]string{},
		troubled: map[[2]string]int{}, conditions: map[[2]string][]condition{}}
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
	if err := os.WriteFile(f.file("script.yaml"), f.s.Marshal(), 0o644); err != nil {
		return nil, err
	}
	began := time.Now()
	starts, err := f.play(ctx)
	stopped := ctx.Err() != nil
	if err != nil && !stopped {
		return nil, err
	}
	sum, err := Check(o.Dir)
	if err != nil {
		return nil, err
	}
	sum.Stopped, sum.Took, sum.Starts, sum.Joined = stopped, time.Since(began).Seconds(), starts, f.joined.Seconds()
	if err := sum.write(o.Dir); err != nil {
		return nil, err
	}
	return sum, nil
}

func (f *fleet) file(name ...string) string {
	return filepath.Join(append([]string{f.Dir}, name...)...)
}

func (f *fleet) tell(what string) {
	at := time.Duration(0)
	if !f.began.IsZero() {
		at = time.Since(f.began)
	}
	f.log.WithField("at_ms", at.Milliseconds()).Info(what)
	if f.Progress != nil {
		f.Progress(at, what)
	}
}

func (f *fleet) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault == nil {
		f.fault = err
	}
}

// play starts everything, plays the script and ends everything.
func (f *fleet) play(ctx context.Context) (starts []float64, err error) {
	for file, j := range map[string]**journal{"run.jsonl": &f.runs, "callers.jsonl": &f.calls, "servers.jsonl": &f.serves} {
		if *j, err = newJournal(f.file(file)); err != nil {
			return nil, err
		}
	}
	defer func() {
		for _, j := range []*journal{f.runs, f.calls, f.serves} {
			err = errors.Join(err, j.close())
		}
	}()
	defer f.net.Close()
	if err = f.serve(); err != nil {
		return nil, err
	}
	defer f.endServers()
	if err = f.link(); err != nil {
		return nil, err
	}
	defer f.bus.Close()
	defer f.endGatekeepers()
	if starts, err = f.startAll(ctx); err != nil {
		return starts, err
	}
	calls, hangUp := context.WithCancel(context.Background())
	var kept sync.WaitGroup
	defer kept.Wait()
	defer hangUp()
	f.callers = lab.NewCallers(f.load())
	for i, g := range f.gatekeepers {
		kept.Go(func() {
			f.callers.MaintainConnection(calls, i, f.addr[[3]string{script.Front + f.s.ZoneOf(g.name), g.name, ""}])
		})
	}
	if err = f.allUp(ctx); err != nil {
		return starts, err
	}
	if f.Ready != nil {
		f.Ready(f.pids())
	}
	f.began = time.Now()
	f.tell(fmt.Sprintf("%d gatekeepers, %d servers, %d zones: calls begin", f.s.Gatekeepers, f.s.Servers, f.s.Zones))
	faults, cancel := context.WithCancel(ctx)
	defer cancel()
	if f.s.Fleet {
		if err = f.allAgree(ctx); err != nil {
			return starts, err
		}
		watching, enough := context.WithCancel(context.Background())
		for _, g := range f.gatekeepers {
			kept.Go(func() { f.watchView(watching, g) })
		}
		defer enough()
	}
	looking, looked := context.WithCancel(context.Background())
	defer looked()
	kept.Go(func() { f.watchProcessors(looking) })
	kept.Go(func() { f.watchTimers(looking) })
	f.busy.Go(func() { f.timeline(faults) })
	f.callers.PlaceCalls(ctx)
	cancel()
	f.busy.Wait()
	if err := f.outcome(); err != nil {
		return starts, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return starts, f.fault
}

// outcome writes what the callers say of the run.
func (f *fleet) outcome() error {
	var all []*lab.Server
	for _, v := range f.servers {
		all = append(all, v.all...)
	}
	text, err := json.MarshalIndent(f.callers.Outcome(all), "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(f.file(outcomeFile), text, 0o644)
}
