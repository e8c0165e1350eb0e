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
	flushEvery  = 100 * time.Millisecond
	pulseEvery  = time.Second
	mostOpening = 64 // limit of gatekeepers that start or stop concurrently
	longestLine = 64 << 20
)

// process is the state of the hollow process.
type process struct {
	config      Config
	began       time.Time
	network     *network
	site        *control.Site // that settings are checked against; nil: only their form is checked
	gatekeepers []*gatekeeper
	byName      map[string]*gatekeeper
	watchers    []*stuckWatchers
	work        sync.WaitGroup
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
	lines.Buffer(nil, longestLine)
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
	p.end()
	return err
}

// prepare creates the network, the site and the gatekeepers from the configuration.
func (p *process) prepare() error {
	p.began = time.Unix(0, p.config.Began)
	regions := map[string]string{}
	for _, r := range p.config.Replicas {
		regions[r.Address] = r.Region
	}
	p.network = newNetwork(p.config.Shaped, regions)
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
	p.work.Go(func() { p.startAll(ctx) })
	flush, pulse := time.NewTicker(flushEvery), time.NewTicker(pulseEvery)
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
			p.emit(Event{Kind: Pulse, Pulse: &f})
		case c, ok := <-commands:
			if !ok || c.Do == Stop {
				return nil
			}
			p.carryOut(ctx, c)
		}
	}
}

// startAll starts the gatekeepers, evenly spread over Config.StartOver, or all at the same time if it is 0.
func (p *process) startAll(ctx context.Context) {
	free := make(chan struct{}, mostOpening)
	every := p.config.StartOver / time.Duration(max(1, len(p.gatekeepers)))
	var opening sync.WaitGroup
	defer opening.Wait()
	for _, g := range p.gatekeepers {
		if every > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(every):
			}
		}
		free <- struct{}{}
		opening.Go(func() {
			defer func() { <-free }()
			if err := g.start(); err != nil {
				p.fail(err)
			}
		})
	}
}

// carryOut executes one command.
func (p *process) carryOut(ctx context.Context, c Command) {
	switch c.Do {
	case Cut, Heal:
		p.network.setCut(c.Region, c.Do == Cut)
	case Restart:
		if g := p.byName[c.Name]; g != nil {
			p.work.Go(func() {
				if err := g.restart(c.Down); err != nil {
					p.fail(err)
				}
			})
		}
	case Watch:
		p.watchers = append(p.watchers, openStuckWatchers(ctx, c.Address, c.Count))
	case Count:
		p.emit(Event{Kind: Counted, Counters: p.counters(c.Mark)})
		p.flush()
	}
}

// counters returns the counters of all gatekeepers.
func (p *process) counters(mark int) *Counters {
	c := &Counters{Mark: mark, At: time.Since(p.began)}
	if u, err := child.UsageOf(os.Getpid()); err == nil {
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
	f := Figures{Heap: int64(m.HeapAlloc), Goroutines: runtime.NumGoroutine(), Sessions: map[string]int{}, Met: -1}
	if u, err := child.UsageOf(os.Getpid()); err == nil {
		f.CPU, f.Resident, f.Descriptors = u.CPU, u.Resident, u.Descriptors
	}
	for _, g := range p.gatekeepers {
		s, met := g.state()
		if s.inForce > 0 {
			f.InForce++
		}
		if s.behind {
			f.Behind++
		}
		if s.replica != "" {
			f.Sessions[s.replica]++
		}
		if f.Met < 0 || met < f.Met {
			f.Met = met
		}
		members := p.config.Groups[g.Group].Members
		f.Missing, f.Strangers = max(f.Missing, members-met), max(f.Strangers, met-members)
	}
	return f
}

// end reports the result for the stuck watchers and stops all gatekeepers.
func (p *process) end() {
	if len(p.watchers) > 0 {
		e := Event{Kind: Watchers}
		for _, w := range p.watchers {
			cutOff, others := w.end(context.Background())
			e.CutOff += cutOff
			e.Open += others
		}
		p.emit(e)
	}
	p.work.Wait()
	free := make(chan struct{}, mostOpening)
	var closing sync.WaitGroup
	for _, g := range p.gatekeepers {
		free <- struct{}{}
		closing.Go(func() {
			defer func() { <-free }()
			g.end()
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
		e.At = time.Since(p.began)
	}
	p.encoder.Encode(e) // if the laboratory has exited, the input ends too
}

func (p *process) flush() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.out.Flush()
}
