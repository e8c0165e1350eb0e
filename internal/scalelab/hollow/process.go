package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"sync"
	"time"

	"beammux/control"
	"beammux/internal/scalelab/child"
)

const (
	flushInterval       = 100 * time.Millisecond
	figuresInterval     = time.Second
	maxConcurrentStarts = 64 // limit of gatekeepers that start or stop concurrently
	maxLineBytes        = 64 << 20
)

// process is the state of the hollow process.
type process struct {
	config      Config
	runStart    time.Time
	network     *network
	site        *control.Site // that settings are checked against; nil: only their form is checked
	gatekeepers []*gatekeeper
	byName      map[string]*gatekeeper
	watchers    []*stuckWatchers
	tasks       sync.WaitGroup
	fail        context.CancelCauseFunc

	mu      sync.Mutex
	out     *bufio.Writer
	encoder *json.Encoder
}

// Run serves one run of the laboratory. It returns on the Stop command, or at the end of the input.
func Run(ctx context.Context, in io.Reader, out io.Writer) error {
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	if !lines.Scan() {
		return fmt.Errorf("reading the configuration from standard input: %w", io.ErrUnexpectedEOF)
	}
	p := &process{byName: map[string]*gatekeeper{}, fail: fail, out: bufio.NewWriterSize(out, 256<<10)}
	p.encoder = json.NewEncoder(p.out)
	if err := json.Unmarshal(lines.Bytes(), &p.config); err != nil {
		return fmt.Errorf("parsing the configuration: %w", err)
	}
	if err := p.prepare(); err != nil {
		return err
	}
	commands := make(chan Command)
	go func() {
		defer close(commands)
		for lines.Scan() {
			var c Command
			if json.Unmarshal(lines.Bytes(), &c) == nil {
				commands <- c
			}
		}
	}()
	err := p.serve(ctx, commands)
	p.shutDown()
	return err
}

// prepare creates the network, the site and the gatekeepers from the configuration.
func (p *process) prepare() error {
	p.runStart = time.Unix(0, p.config.RunStart)
	regions := map[string]string{}
	for _, r := range p.config.Replicas {
		regions[r.Address] = r.Region
	}
	p.network = newNetwork(p.config.DelayRegions, regions)
	p.network.delay.Store(int64(p.config.Latency))
	for _, spec := range p.config.Gatekeepers {
		g := &gatekeeper{Gatekeeper: spec, process: p}
		p.gatekeepers = append(p.gatekeepers, g)
		p.byName[spec.Name] = g
	}
	var err error
	p.site, err = loadSite(p.config.Site)
	return err
}

// serve starts the gatekeepers and executes commands until the run ends.
func (p *process) serve(ctx context.Context, commands <-chan Command) error {
	p.tasks.Go(func() { p.startAll(ctx) })
	flush, pulse := time.NewTicker(flushInterval), time.NewTicker(figuresInterval)
	defer flush.Stop()
	defer pulse.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-flush.C:
			p.flush()
		case <-pulse.C:
			f := p.figures()
			p.emit(Event{Kind: PeriodicFigures, PeriodicFigures: &f})
		case c, ok := <-commands:
			if !ok || c.Operation == Stop {
				return nil
			}
			p.execute(ctx, c)
		}
	}
}

// startAll starts the gatekeepers, evenly spread over Config.StartSpread, or all at the same time if it is 0.
func (p *process) startAll(ctx context.Context) {
	slots := make(chan struct{}, maxConcurrentStarts)
	interval := p.config.StartSpread / time.Duration(max(1, len(p.gatekeepers)))
	var opening sync.WaitGroup
	defer opening.Wait()
	for _, g := range p.gatekeepers {
		if interval > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(interval):
			}
		}
		slots <- struct{}{}
		opening.Go(func() {
			defer func() { <-slots }()
			if err := g.start(); err != nil {
				p.fail(err)
			}
		})
	}
}

// execute executes one command.
func (p *process) execute(ctx context.Context, c Command) {
	switch c.Operation {
	case CutRegion, HealRegion:
		p.network.setCut(c.Region, c.Operation == CutRegion)
	case RestartGatekeeper:
		if g := p.byName[c.Name]; g != nil {
			p.tasks.Go(func() {
				if err := g.restart(c.DownTime); err != nil {
					p.fail(err)
				}
			})
		}
	case OpenStuckWatchers:
		p.watchers = append(p.watchers, openStuckWatchers(ctx, c.Address, c.Count))
	case Count:
		p.emit(Event{Kind: CountersReported, Counters: p.counters(c.Mark)})
		p.flush()
	}
}

// counters returns the counters of all gatekeepers.
func (p *process) counters(mark int) *Counters {
	c := &Counters{Mark: mark, At: time.Since(p.runStart)}
	if u, err := child.ReadUsage(os.Getpid()); err == nil {
		c.CPU = u.CPU
	}
	for _, g := range p.gatekeepers {
		c.Gatekeepers = append(c.Gatekeepers, g.counts())
	}
	return c
}

// figures returns the current figures of the process.
func (p *process) figures() Figures {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	f := Figures{Heap: int64(m.HeapAlloc), Goroutines: runtime.NumGoroutine(), Sessions: map[string]int{}, FewestUp: -1}
	if u, err := child.ReadUsage(os.Getpid()); err == nil {
		f.CPU, f.Resident, f.Descriptors = u.CPU, u.Resident, u.Descriptors
	}
	for _, g := range p.gatekeepers {
		s, membersUp := g.state()
		if s.inForce > 0 {
			f.InForce++
		}
		if s.behind {
			f.Behind++
		}
		if s.replica != "" {
			f.Sessions[s.replica]++
		}
		if f.FewestUp < 0 || membersUp < f.FewestUp {
			f.FewestUp = membersUp
		}
		members := p.config.Groups[g.Group].Members
		f.MostMissing, f.MostUnexpected = max(f.MostMissing, members-membersUp), max(f.MostUnexpected, membersUp-members)
	}
	return f
}

// shutDown reports the result for the stuck watchers and stops all gatekeepers.
func (p *process) shutDown() {
	if len(p.watchers) > 0 {
		e := Event{Kind: StuckWatchersResult}
		for _, w := range p.watchers {
			cutOff, others := w.shutDown(context.Background())
			e.CutOff += cutOff
			e.NotCutOff += others
		}
		p.emit(e)
	}
	p.tasks.Wait()
	slots := make(chan struct{}, maxConcurrentStarts)
	var closing sync.WaitGroup
	for _, g := range p.gatekeepers {
		slots <- struct{}{}
		closing.Go(func() {
			defer func() { <-slots }()
			g.shutDown()
		})
	}
	closing.Wait()
	p.flush()
}

// emit writes an event. It sets At to the current time if it is 0.
func (p *process) emit(e Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.At == 0 {
		e.At = time.Since(p.runStart)
	}
	p.encoder.Encode(e) // if the laboratory has exited, the input ends too
}

// flush writes the buffered events to the output.
func (p *process) flush() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.out.Flush()
}
