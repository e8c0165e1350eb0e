package fleetlab

import (
	"context"
	"fmt"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"beammux/internal/ejection"
	"beammux/internal/fleetcheck"
	"beammux/internal/fleetlab/script"
)

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
			ejection.FalseEvidenceVariable + "=" + f.file("state", g.name, lieFile)},
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
	for f.callers.Available() < len(f.gatekeepers) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("callers reach %d of %d gatekeepers: %w", f.callers.Available(), len(f.gatekeepers), ctx.Err())
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
			f.runs.note(fleetcheck.StopRequested, line{Process: g.name})
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
