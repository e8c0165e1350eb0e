package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"strings"
	"syscall"
	"time"

	"beammux/internal/latencylab"
)

// labLatencyCmd measures what a gatekeeper adds to a call.
type labLatencyCmd struct {
	Sizes       []int         `help:"Servers that the gatekeeper knows." default:"34,400,2200"`
	Active      int           `help:"Servers that take calls, at most; the others are listed, connected and tell their state." default:"34"`
	Rates       []float64     `help:"Calls a second through the gatekeeper; as many go direct. 0: none." default:"0,50,100,191,382,573"`
	Repeats     int           `help:"Runs of each size and rate." default:"3"`
	Length      time.Duration `help:"Measured time of each run." default:"10s"`
	Warm        time.Duration `help:"Time before that, with calls." default:"3s"`
	Descriptors int           `help:"Descriptors that the gatekeeper may hold." default:"1024"`
	Gatekeepers int           `help:"Gatekeepers of the fleet, as the settings say." default:"2200"`
	StateEvery  time.Duration `help:"How often each server tells its state on its connections." default:"250ms"`
	Setup       time.Duration `help:"Time that a set-up takes at a server." default:"0s"`
	Append      bool          `help:"Keep the runs that the file of --json holds, and add these."`
	Callers     int           `help:"Connections of callers." default:"8"`
	Seed        uint64        `help:"Of the schedule, the holding times and the chains; counts up with the repetitions." default:"1"`
	Program     string        `help:"Gatekeeper to start; this program if not set." type:"path"`
	JSON        string        `help:"File for the results." type:"path"`
}

// Bounds of the flags: load on the machine stays small.
const (
	latencySizeMost = 4000
	latencyRateMost = 2000.0
	latencyTimeMost = 10 * time.Minute
)

func (c labLatencyCmd) check() error {
	for _, size := range c.Sizes {
		if size < 1 || size > latencySizeMost {
			return fmt.Errorf("--sizes: %d is not from 1 to %d", size, latencySizeMost)
		}
	}
	for _, rate := range c.Rates {
		if rate < 0 || rate > latencyRateMost {
			return fmt.Errorf("--rates: %v is not from 0 to %v", rate, latencyRateMost)
		}
	}
	switch {
	case len(c.Sizes) == 0 || len(c.Rates) == 0:
		return fmt.Errorf("--sizes and --rates: one of each is needed")
	case c.Repeats < 1 || c.Active < 1 || c.Callers < 1 || c.Gatekeepers < 1 || c.Descriptors < 1:
		return fmt.Errorf("--repeats, --active, --callers, --gatekeepers, --descriptors: each is 1 at least")
	case c.Length <= 0 || c.Length > latencyTimeMost || c.StateEvery < time.Millisecond || c.Setup < 0 || c.Warm < 0 || c.Warm > latencyTimeMost:
		return fmt.Errorf("--length, --warm, --state-every, --setup: over 0 and up to %v", latencyTimeMost)
	}
	return nil
}

// Run plays all runs and prints a line for each.
func (c labLatencyCmd) Run() error {
	if err := c.check(); err != nil {
		return err
	}
	if c.Program == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		c.Program = self
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	before := latencylab.LoadAverage()
	fmt.Println(latencyHead)
	plan := latencylab.Plan{Sizes: c.Sizes, Rates: c.Rates, Repeats: c.Repeats, MostCalls: c.Active, Tell: printRun,
		Latency: latencylab.Latency{Program: latencylab.Program{Path: c.Program}, Seed: c.Seed, Descriptors: c.Descriptors,
			Gatekeepers: c.Gatekeepers, Callers: c.Callers, Setup: c.Setup, StateEvery: c.StateEvery, Warm: c.Warm, Length: c.Length}}
	var earlier *latencylab.Report
	if c.Append {
		var err error
		if earlier, err = latencylab.ReadFile(c.JSON); err != nil {
			return fmt.Errorf("--append: %w", err)
		}
	}
	report, err := plan.Run(ctx)
	if earlier != nil {
		report.Runs = append(earlier.Runs, report.Runs...)
		report.Collect()
	}
	for _, f := range report.Fits {
		fmt.Printf("%s: %.4f + %.2f us x %s, no run off by more than %.4f\n", f.Name, f.Fixed, 1e6*f.Slope, f.Of, f.Worst)
	}
	return finishReport(report, err, c.JSON, before, earlier)
}

const latencyHead = "servers  calls/s  seed   load  direct p50/p99/p99.9 ms    through p50/p99/p99.9 ms   added p50/p99/p99.9 ms    " +
	"19 deep p50/p99   of calm pairs: part, added p50/p99, 19 deep p99   core  waits   MB  fds  unanswered"

func printRun(r *latencylab.Run) {
	fmt.Printf("%7d %8g %5d %6s %7.3f %7.3f %7.3f   %7.3f %7.3f %7.3f  ", r.Servers, r.PerSecond, r.Seed,
		strings.Fields(r.Load)[0], r.Direct.P50, r.Direct.P99, r.Direct.P999, r.Through.P50, r.Through.P99, r.Through.P999)
	if a := r.Added; a != nil {
		fmt.Printf("%7.3f %7.3f %7.3f   %7.2f %7.2f", a.P50, a.P99, a.P999, a.Chain[0], a.Chain[1])
		if c := a.Calm; c != nil {
			fmt.Printf("  %4.2f %7.3f %7.3f %7.2f", float64(c.Pairs)/float64(a.Pairs), c.P50, c.P99, c.Chain[1])
		}
	} else {
		fmt.Printf("%41s", "no call was answered")
	}
	fmt.Printf(" %6.4f %6.4f %4.0f %5d  %d of %d (%d refused, %d failed, %d without a connection)\n", r.CorePart, r.WaitPart, r.ResidentMB,
		r.Held, r.Through.Calls-r.Through.Established, r.Through.Calls, r.Through.Refused, r.Through.Failed, r.Through.Unsent)
}

// labDecisionCmd measures the pure steps at growing sizes.
type labDecisionCmd struct {
	Repeats int           `help:"Values of each point." default:"5"`
	Span    time.Duration `help:"Time of each value." default:"100ms"`
	Only    string        `help:"Part of the names of the series to measure."`
	JSON    string        `help:"File for the results." type:"path"`
}

// Run measures all steps and prints a line for each point.
func (c labDecisionCmd) Run() error {
	if c.Repeats < 1 || c.Span <= 0 || c.Span > time.Minute {
		return fmt.Errorf("--repeats is 1 at least, --span over 0 and up to %v", time.Minute)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	before := latencylab.LoadAverage()
	report, err := latencylab.Steps{Repeats: c.Repeats, Span: c.Span, Only: c.Only, Tell: func(line string) { fmt.Println(line) }}.Run(ctx)
	if report == nil {
		return err
	}
	if err == nil && len(report.Series) == 0 {
		return fmt.Errorf("--only: no series has %q in its name", c.Only)
	}
	return finishReport(report, err, c.JSON, before, nil)
}

// finishReport writes what was measured, also where the run was stopped before its time. earlier is the report that was added
// to, nil without one.
func finishReport(report *latencylab.Report, err error, file, before string, earlier *latencylab.Report) error {
	command := "bin/beammux " + strings.Join(os.Args[1:], " ")
	if earlier != nil && earlier.Command() != "" {
		command = earlier.Command() + "; " + command
	}
	report.Stamp(command, latencylab.Beside(before, latencylab.LoadAverage(), runtime.NumCPU()), time.Now())
	if file != "" {
		if e := report.WriteFile(file); e != nil {
			return e
		}
	}
	if errors.Is(err, context.Canceled) {
		return fault(fmt.Errorf("stopped before its time: %d runs and %d series were measured", len(report.Runs), len(report.Series)), 130)
	}
	return err
}
