// Package fleetlab is the fleet laboratory: it starts many gatekeepers as processes of their own on loopback, with stand-ins
// for menu servers, callers and the event bus, and a relay on every way between two that talk; it plays a script of faults,
// and judges by package fleetcheck what was seen. Everything it starts it ends, by number, however the run ends.
package fleetlab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"beammux/internal/fleetcheck"
	"beammux/internal/fleetlab/script"
	"beammux/internal/lab"
	"beammux/internal/relay"
	"beammux/internal/verdicts"
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

type gatekeeper struct {
	name  string
	index int
	start int // counted from 1
	p     *process
	ready time.Duration // from its last start
	ops   string        // operators' address of its last start

	listen string        // callers' address of its last start, past the relay
	limits script.Limits // in its file
}

type server struct {
	name  string
	index int
	mu    sync.Mutex
	s     *lab.Server
	all   []*lab.Server
	since time.Time
	state string
	end   func() // of its status
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
		kept.Go(func() { f.callers.Keep(calls, i, f.addr[[3]string{script.Front + f.s.ZoneOf(g.name), g.name, ""}]) })
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
	f.busy.Go(func() { f.timeline(faults) })
	f.callers.Play(ctx)
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

// serve starts the stand-in servers and the bus.
func (f *fleet) serve() error {
	var hosts []lab.Host
	for i := range f.s.Servers {
		v := &server{name: script.Server(i), index: i, state: "up"}
		f.servers = append(f.servers, v)
		if err := f.startServer(v); err != nil {
			return err
		}
		hosts = append(hosts, f.host(v))
	}
	f.bus = lab.NewBus(hosts)
	return nil
}

func hostName(index int) string { return fmt.Sprintf("s-%08x", index+1) }

func (f *fleet) host(v *server) lab.Host {
	return lab.Host{Name: hostName(v.index), State: v.state, Cell: v.index, Zone: f.s.ZoneOf(v.name), Since: v.since}
}

func (f *fleet) startServer(v *server) error {
	s, err := lab.NewServer(lab.PlatformWork(), f.s.Seed<<8+uint64(v.index)+uint64(len(v.all))<<32)
	if err != nil {
		return err
	}
	s.Hear(func(e lab.Seen) {
		if e.Kind == lab.ServerAnswered {
			f.serves.note(fleetcheck.Given, line{Process: v.name, Call: e.Call, What: "stands " + e.Call})
		}
	})
	v.mu.Lock()
	v.s, v.all, v.end = s, append(v.all, s), s.Status(statusEvery)
	v.mu.Unlock()
	return f.open(v)
}

// open lets each gatekeeper's way to a server end at an address of its own there, so that the server knows whose a
// connection is, as by the machine that it comes from.
func (f *fleet) open(v *server) error {
	for _, g := range f.gatekeepers {
		addr, err := v.s.ListenFor(g.name)
		if err != nil {
			return err
		}
		f.net.Up(v.name, g.name, addr)
	}
	return nil
}

func (f *fleet) endServers() {
	for _, v := range f.servers {
		v.mu.Lock()
		v.end()
		v.s.Close()
		v.mu.Unlock()
	}
}

// link lays a relay on every way between two that talk.
func (f *fleet) link() error {
	tcp := func(from, to, service string) error {
		l, err := f.net.TCP(from, to, service)
		if err == nil {
			f.addr[[3]string{from, to, service}] = l.Addr()
		}
		return err
	}
	for i := range f.s.Gatekeepers {
		g := &gatekeeper{name: script.Gatekeeper(i), index: i}
		if f.s.Limits != nil {
			g.limits = *f.s.Limits
		}
		f.gatekeepers = append(f.gatekeepers, g)
		for _, v := range f.servers {
			if err := tcp(g.name, v.name, g.name); err != nil {
				return err
			}
		}
		if err := tcp(script.Front+f.s.ZoneOf(g.name), g.name, ""); err != nil {
			return err
		}
		if err := tcp(g.name, script.Bus, g.name); err != nil {
			return err
		}
		bus, err := f.bus.Listen(f.dials(g.name))
		if err != nil {
			return err
		}
		f.net.Up(script.Bus, g.name, bus)
		for k := range f.s.Members {
			if k != i && (i < f.s.Members || f.leased()) {
				if err := tcp(g.name, script.Gatekeeper(k), storeService); err != nil {
					return err
				}
			}
		}
		for k := range f.s.Gatekeepers {
			if to := script.Gatekeeper(k); f.s.Fleet && k != i {
				l, _, err := f.net.Both(g.name, to, fleetService)
				if err != nil {
					return err
				}
				f.addr[[3]string{g.name, to, fleetService}] = l.Addr()
			}
		}
	}
	for _, v := range f.servers {
		if err := f.open(v); err != nil {
			return err
		}
	}
	return nil
}

// dials gives the address at which a gatekeeper reaches a server by its name on the list.
func (f *fleet) dials(from string) func(string) string {
	return func(host string) string {
		n, _ := strconv.ParseUint(strings.TrimPrefix(host, "s-"), 16, 32)
		return f.addr[[3]string{from, script.Server(int(n) - 1), from}]
	}
}

// advertised is what a member of the fleet says that it is reached at. Nobody calls it there: each has ways of its own.
func advertised(index int) string { return fmt.Sprintf("127.1.0.%d:7946", index+1) }

const fleetSeeds = 3 // members that every other one knows of at its start

func member(name string) string { return name + ".store:1" }

// configure writes what a gatekeeper is told at a start.
func (f *fleet) configure(g *gatekeeper, tmp string) error {
	etc := f.file("etc", g.name)
	if err := errors.Join(os.MkdirAll(etc, 0o755), os.MkdirAll(tmp, 0o700)); err != nil {
		return err
	}
	state, err := filepath.Abs(f.file("state", g.name, "store"))
	if err != nil {
		return err
	}
	records, err := filepath.Abs(f.file("records"))
	if err != nil {
		return err
	}
	store := map[string]any{"node": g.name, "dir": state, "sync": "interval"}
	if g.index < f.s.Members && f.s.Members > 1 {
		var peers, via []map[string]string
		for k := range f.s.Members {
			name := script.Gatekeeper(k)
			peers = append(peers, map[string]string{"node": name, "address": member(name)})
			if k != g.index {
				via = append(via, map[string]string{"address": member(name), "through": f.addr[[3]string{g.name, name, storeService}]})
			}
		}
		store["listen"], store["peers"], store["via"] = "127.0.0.1:0", peers, via
	}
	deploy := map[string]any{"store": store, "records": map[string]any{"dir": records, "segment_mb": 64}}
	if f.s.Fleet {
		var via []map[string]string
		var seeds []string
		for k := range f.s.Gatekeepers {
			if k == g.index {
				continue
			}
			via = append(via, map[string]string{"address": advertised(k), "through": f.addr[[3]string{g.name, script.Gatekeeper(k), fleetService}]})
			if k < fleetSeeds {
				seeds = append(seeds, advertised(k))
			}
		}
		deploy["fleet"] = map[string]any{"zone": f.s.ZoneOf(g.name), "bind": "127.0.0.1:0", "advertise": advertised(g.index),
			"seeds": seeds, "via": via}
		if f.s.Verdicts {
			deploy["fleet"].(map[string]any)["verdicts"] = map[string]any{}
		}
	}
	if f.s.Limits != nil {
		f.mu.Lock()
		limits := g.limits
		f.mu.Unlock()
		section, _ := deploy["fleet"].(map[string]any)
		if section == nil {
			section = map[string]any{}
			deploy["fleet"] = section
		}
		section["limits"] = f.limits(g, limits)
	}
	seed := rand.New(rand.NewPCG(f.s.Seed, uint64(g.index)<<32+uint64(g.start))).Uint64()
	for name, what := range map[string]any{
		"config.json": map[string]any{"name": g.name, "listen": "127.0.0.1:0", "seed": fmt.Sprintf("%016x", seed),
			"limits": map[string]any{"sockets": 1024}, "bus": f.addr[[3]string{g.name, script.Bus, g.name}],
			"known": f.bus.Known(f.dials(g.name)), "settings": json.RawMessage(lab.Settings(f.s.Gatekeepers))},
		"deploy.json": deploy,
	} {
		text, err := json.MarshalIndent(what, "", " ")
		if err == nil {
			err = os.WriteFile(filepath.Join(etc, name), text, 0o644)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// leased tells whether the gatekeepers lease parts of a limit from the store.
func (f *fleet) leased() bool { return f.s.Limits != nil && f.s.Limits.Mode == "leased" }

// limits is the section of a gatekeeper's file.
func (f *fleet) limits(g *gatekeeper, l script.Limits) map[string]any {
	rule := map[string]any{"name": "all", "mode": l.Mode, "per_s": l.PerS, "burst": l.Burst}
	if l.Mode == "fixed" {
		n := float64(f.s.Gatekeepers)
		rule["mode"], rule["per_s"], rule["burst"] = "alone", l.PerS/n, max(1, l.Burst/n)
	}
	section := map[string]any{"parts": f.s.Gatekeepers, "rules": []any{rule}}
	if f.leased() && g.index >= f.s.Members {
		var store []string
		for k := range f.s.Members { // not all ask the same one first
			store = append(store, f.addr[[3]string{g.name, script.Gatekeeper((k + g.index) % f.s.Members), storeService}])
		}
		section["store"] = store
	}
	return section
}

// homes gives the places of the gatekeepers that first calls come to now; nil: everywhere.
func (f *fleet) homes() (at []int) {
	to := ""
	for _, h := range f.s.Homes {
		if time.Since(f.began) >= time.Duration(h.At) {
			to = h.To
		}
	}
	if to == "" {
		return nil
	}
	for _, name := range f.selected(to) {
		for _, g := range f.gatekeepers {
			if g.name == name {
				at = append(at, g.index)
			}
		}
	}
	return at
}

// start starts a gatekeeper and returns once it is ready.
func (f *fleet) start(ctx context.Context, g *gatekeeper) error {
	f.mu.Lock()
	g.start++
	f.mu.Unlock()
	tmp, err := filepath.Abs(f.file("state", g.name, "tmp"+strconv.Itoa(g.start)))
	if err == nil {
		err = f.configure(g, tmp)
	}
	if err != nil {
		return err
	}
	began := time.Now()
	p, err := spawn(f.Program, g.name, "", f.file("logs", g.name+".log"), []string{"--log-format", "json", "serve",
		"--config", f.file("etc", g.name, "config.json"), "--deploy", f.file("etc", g.name, "deploy.json")},
		[]string{"PROXY_ADMIN_ADDR=127.0.0.1:0", "TMPDIR=" + tmp, "GOMAXPROCS=1",
			verdicts.LieVariable + "=" + f.file("state", g.name, lieFile)},
		func(s said) {
			switch s.Msg {
			case "store listening":
				f.net.Up(g.name, storeService, s.Listen)
			case "fleet listening":
				f.net.Up(g.name, fleetService, s.Listen)
			case "serving":
				f.mu.Lock()
				g.listen = s.Listen
				f.mu.Unlock()
				f.net.Up(g.name, "", s.Listen)
			}
		}, func(p *process) { f.ended(g, p) })
	if err != nil {
		return err
	}
	f.mu.Lock()
	g.p = p
	f.mu.Unlock()
	ops, err := p.ready(ctx)
	if err != nil {
		return err
	}
	f.mu.Lock()
	g.ops = ops
	g.ready = time.Since(began)
	f.mu.Unlock()
	p.look()
	f.runs.note(fleetcheck.Ready, line{Process: g.name, What: "pid " + strconv.Itoa(p.pid())})
	return nil
}

// ended notes the end of a process, and that it ended by itself where nobody told it to.
func (f *fleet) ended(g *gatekeeper, p *process) {
	f.net.Down(g.name)
	if p.err != nil {
		f.fail(fmt.Errorf("%s: its log: %w", p.name, p.err))
	}
	status := p.state.Sys().(syscall.WaitStatus)
	used := ""
	if p.peak.Load() > 0 {
		used = fmt.Sprintf(", cpu %.2f s, memory at most %d KiB", (p.state.UserTime() + p.state.SystemTime()).Seconds(), p.peak.Load())
	}
	switch {
	case !p.wasAsked(), !status.Signaled() && p.state.ExitCode() != 0:
		f.runs.note(fleetcheck.Crashed, line{Process: g.name, What: p.state.String() + used})
		f.tell(g.name + " ended by itself: " + p.state.String())
	default:
		f.runs.note(fleetcheck.Stopped, line{Process: g.name, What: p.state.String() + used})
	}
}

func (f *fleet) startAll(ctx context.Context) ([]float64, error) {
	began := time.Now()
	var group errgroup.Group
	// Members of the store wait for each other, so all of them are started at the same time.
	group.SetLimit(max(together, f.s.Members))
	for _, g := range f.gatekeepers {
		group.Go(func() error { return f.start(ctx, g) })
	}
	err := group.Wait()
	starts := []float64{}
	for _, g := range f.gatekeepers {
		starts = append(starts, g.ready.Seconds())
	}
	if err == nil {
		f.tell(fmt.Sprintf("all ready after %d ms", time.Since(began).Milliseconds()))
	}
	return starts, err
}

// allUp returns once callers may be led to every gatekeeper.
func (f *fleet) allUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	tick := time.NewTicker(askEvery)
	defer tick.Stop()
	for f.callers.Up() < len(f.gatekeepers) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("callers reach %d of %d gatekeepers: %w", f.callers.Up(), len(f.gatekeepers), ctx.Err())
		case <-tick.C:
		}
	}
	return nil
}

func (f *fleet) pids() (pids []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range f.gatekeepers {
		if g.p != nil {
			pids = append(pids, g.p.pid())
		}
	}
	return pids
}

// endGatekeepers ends every gatekeeper that runs, in order where nothing failed.
func (f *fleet) endGatekeepers() {
	f.net.Heal()
	var all sync.WaitGroup
	f.mu.Lock()
	for _, g := range f.gatekeepers {
		if p := g.p; p != nil && !p.over() {
			f.runs.note(fleetcheck.Asked, line{Process: g.name})
			all.Go(func() {
				if !p.end(endWithin) {
					f.runs.note(fleetcheck.Crashed, line{Process: p.name, What: "did not end within " + endWithin.String() + " of SIGTERM: killed"})
				}
			})
		}
	}
	f.mu.Unlock()
	all.Wait()
}

// load is what the callers offer: each first call comes to a gatekeeper of a zone, and its first choice is a server there.
func (f *fleet) load() lab.Load {
	zones := make([][2][]int, f.s.Zones) // gatekeepers and servers
	for i := range f.s.Gatekeepers {
		zones[i%f.s.Zones][0] = append(zones[i%f.s.Zones][0], i)
	}
	for i := range f.s.Servers {
		zones[i%f.s.Zones][1] = append(zones[i%f.s.Zones][1], i)
	}
	kinds := map[lab.SeenKind]fleetcheck.Kind{lab.Tried: fleetcheck.Tried, lab.Stood: fleetcheck.Stood, lab.Refused: fleetcheck.Refused,
		lab.Failed: fleetcheck.Failed, lab.SecondAnswer: fleetcheck.Second, lab.Unanswered: fleetcheck.Expired,
		lab.Broken: fleetcheck.Broken, lab.Unsent: fleetcheck.Unsent}
	return lab.Load{Seed: f.s.Seed, Gatekeepers: f.s.Gatekeepers, Servers: f.s.Servers, Length: time.Duration(f.s.Length),
		PerS: f.s.Load * lab.PlatformWork().Capacity() * float64(f.s.Servers),
		Pick: func(rng *rand.Rand) (home, dest int) {
			z := zones[rng.IntN(len(zones))]
			if at := f.homes(); at != nil {
				return at[rng.IntN(len(at))], z[1][rng.IntN(len(z[1]))]
			}
			return z[0][rng.IntN(len(z[0]))], z[1][rng.IntN(len(z[1]))]
		},
		Key: func(rng *rand.Rand) string {
			if e := f.engaged.Load(); e != nil && rng.Float64() < e.Part {
				return e.Number
			}
			return ""
		},
		Again: func(rng *rand.Rand) int {
			if at := f.homes(); at != nil {
				return at[rng.IntN(len(at))]
			}
			return -1
		},
		Hear: func(e lab.Seen) {
			kind, ok := kinds[e.Kind]
			if !ok {
				return
			}
			l := line{Call: e.Call, Class: e.Class, Span: e.Span.Microseconds(), What: strings.TrimSpace(e.Body)}
			if e.Gatekeeper >= 0 {
				l.Process = script.Gatekeeper(e.Gatekeeper)
			}
			f.calls.note(kind, l)
		}}
}
