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

// gatekeeper is a gatekeeper of the fleet with its current process. The fleet's mutex protects fields that change.
type gatekeeper struct {
	name      string
	index     int
	start     int // number of the last start, from 1
	proc      *process
	ready     time.Duration // duration of the last start until it was ready
	adminAddr string        // operators' address since the last start

	listen string        // callers' address since the last start, bypassing the relay
	limits script.Limits // in its deploy file
}

// start starts a gatekeeper and returns when it is ready.
func (f *fleet) start(ctx context.Context, g *gatekeeper) error {
	f.mu.Lock()
	g.start++
	f.mu.Unlock()
	tmp, err := filepath.Abs(f.path("state", g.name, "tmp"+strconv.Itoa(g.start)))
	if err == nil {
		err = f.configure(g, tmp)
	}
	if err != nil {
		return err
	}
	began := time.Now()
	proc, err := spawn(f.Program, g.name, "", f.path("logs", g.name+".log"), []string{"--log-format", "json", "serve",
		"--config", f.path("etc", g.name, "config.json"), "--deploy", f.path("etc", g.name, "deploy.json")},
		[]string{"PROXY_ADMIN_ADDR=127.0.0.1:0", "TMPDIR=" + tmp, "GOMAXPROCS=1",
			ejection.FalseEvidenceVariable + "=" + f.path("state", g.name, falseEvidenceFile)},
		func(s logLine) {
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
		}, func(proc *process) { f.handleExit(g, proc) })
	if err != nil {
		return err
	}
	f.mu.Lock()
	g.proc = proc
	f.mu.Unlock()
	adminAddr, err := proc.ready(ctx)
	if err != nil {
		return err
	}
	f.mu.Lock()
	g.adminAddr = adminAddr
	g.ready = time.Since(began)
	f.mu.Unlock()
	proc.samplePeakMemory()
	f.runs.record(fleetcheck.Ready, line{Process: g.name, What: "pid " + strconv.Itoa(proc.pid())})
	if f.callers != nil {
		f.callers.SetRouted(g.index, true)
	}
	return nil
}

// handleExit records the exit of a process: as a crash if the laboratory did not stop it, or if it exited with an error code.
func (f *fleet) handleExit(g *gatekeeper, proc *process) {
	f.net.Down(g.name)
	if proc.err != nil {
		f.fail(fmt.Errorf("%s: copying its log: %w", proc.name, proc.err))
	}
	status := proc.state.Sys().(syscall.WaitStatus)
	usage := ""
	if proc.peakKiB.Load() > 0 {
		usage = fmt.Sprintf(", cpu %.2f s, memory at most %d KiB", (proc.state.UserTime() + proc.state.SystemTime()).Seconds(), proc.peakKiB.Load())
	}
	switch {
	case !proc.wasStopped(), !status.Signaled() && proc.state.ExitCode() != 0:
		f.runs.record(fleetcheck.Crashed, line{Process: g.name, What: proc.state.String() + usage})
		f.reportProgress(g.name + " exited unexpectedly: " + proc.state.String())
	default:
		f.runs.record(fleetcheck.Stopped, line{Process: g.name, What: proc.state.String() + usage})
	}
}

// startAll starts all gatekeepers and returns the start time of each in seconds.
func (f *fleet) startAll(ctx context.Context) ([]float64, error) {
	began := time.Now()
	var group errgroup.Group
	// Store members wait for each other, so all of them must start at the same time.
	group.SetLimit(max(maxParallelStarts, f.s.Members))
	for _, g := range f.gatekeepers {
		group.Go(func() error { return f.start(ctx, g) })
	}
	err := group.Wait()
	starts := []float64{}
	for _, g := range f.gatekeepers {
		starts = append(starts, g.ready.Seconds())
	}
	if err == nil {
		f.reportProgress(fmt.Sprintf("all gatekeepers ready after %d ms", time.Since(began).Milliseconds()))
	}
	return starts, err
}

// awaitCallers returns when callers are connected to every gatekeeper.
func (f *fleet) awaitCallers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for f.callers.Available() < len(f.gatekeepers) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("callers are connected to %d of %d gatekeepers: %w", f.callers.Available(), len(f.gatekeepers), ctx.Err())
		case <-tick.C:
		}
	}
	return nil
}

// pids returns the process ids of the gatekeepers.
func (f *fleet) pids() (pids []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range f.gatekeepers {
		if g.proc != nil {
			pids = append(pids, g.proc.pid())
		}
	}
	return pids
}

// stopGatekeepers restores all links and stops every running gatekeeper, with SIGTERM first.
func (f *fleet) stopGatekeepers() {
	f.net.Heal()
	var all sync.WaitGroup
	f.mu.Lock()
	for _, g := range f.gatekeepers {
		if proc := g.proc; proc != nil && !proc.hasExited() {
			f.runs.record(fleetcheck.StopRequested, line{Process: g.name})
			all.Go(func() {
				if !proc.stop(stopTimeout) {
					f.runs.record(fleetcheck.Crashed, line{Process: proc.name, What: "did not end within " + stopTimeout.String() + " of SIGTERM: killed"})
				}
			})
		}
	}
	f.mu.Unlock()
	all.Wait()
}
