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

// labLatencyCmd measures the latency and the resources that a gatekeeper adds to a call.
type labLatencyCmd struct {
	Sizes       []int         `help:"Numbers of servers in the gatekeeper's list." default:"34,400,2200"`
	Active      int           `help:"Most servers that take calls; the others are listed, connected and report their state." default:"34"`
	Rates       []float64     `help:"Calls per second through the gatekeeper; as many are sent direct. 0: none." default:"0,50,100,191,382,573"`
	Repeats     int           `help:"Runs of each size and rate." default:"3"`
	Length      time.Duration `help:"Measured duration of each run." default:"10s"`
	Warm        time.Duration `help:"Warm-up before it, with calls." default:"3s"`
	Descriptors int           `help:"Limit of the gatekeeper's open file descriptors." default:"1024"`
	Gatekeepers int           `help:"Number of gatekeepers in the fleet, as set in the settings." default:"2200"`
	StateEvery  time.Duration `help:"Interval at which each server reports its state on its connections." default:"250ms"`
	Setup       time.Duration `help:"Duration of a set-up at a server." default:"0s"`
	Append      bool          `help:"Keep the runs in the file of --json and add these."`
	Callers     int           `help:"Number of caller connections." default:"8"`
	Seed        uint64        `help:"Seed of the schedule, the holding times and the chains; incremented with each repetition." default:"1"`
	Program     string        `help:"Gatekeeper program to start; default: this program." type:"path"`
	JSON        string        `help:"File for the results." type:"path"`
}

// Upper bounds of the flags, which keep the load on the machine small.
const (
	maxLatencySize = 4000
	maxLatencyRate = 2000.0
	maxLatencyTime = 10 * time.Minute
)

// check returns an error if a flag is out of range.
func (c labLatencyCmd) check() error {
	for _, size := range c.Sizes {
		if size < 1 || size > maxLatencySize {
			return fmt.Errorf("--sizes: %d is not between 1 and %d", size, maxLatencySize)
		}
	}
	for _, rate := range c.Rates {
		if rate < 0 || rate > maxLatencyRate {
			return fmt.Errorf("--rates: %v is not between 0 and %v", rate, maxLatencyRate)
		}
	}
	switch {
	case len(c.Sizes) == 0 || len(c.Rates) == 0:
		return fmt.Errorf("--sizes and --rates: at least one of each is required")
	case c.Repeats < 1 || c.Active < 1 || c.Callers < 1 || c.Gatekeepers < 1 || c.Descriptors < 1:
		return fmt.Errorf("--repeats, --active, --callers, --gatekeepers, --descriptors: each must be at least 1")
	case c.Length <= 0 || c.Length > maxLatencyTime || c.StateEvery < time.Millisecond || c.Setup < 0 || c.Warm < 0 || c.Warm > maxLatencyTime:
		return fmt.Errorf("--length, --warm, --state-every, --setup: must be over 0 and at most %v", maxLatencyTime)
	}
	return nil
}

// Run executes all runs and prints a line for each.
func (c labLatencyCmd) Run() error {
	if err := c.check(); err != nil {
		return err
	}
	if c.Program == "" {
		executable, err := os.Executable()
		if err != nil {
			return err
		}
		c.Program = executable
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	loadBefore := latencylab.LoadAverage()
	fmt.Println(latencyHeader)
	plan := latencylab.Plan{Sizes: c.Sizes, Rates: c.Rates, Repeats: c.Repeats, MaxActive: c.Active, Progress: printRun,
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
	return finishReport(report, err, c.JSON, loadBefore, earlier)
}

// latencyHeader is the header of the table that printRun prints.
const latencyHeader = "servers  calls/s  seed   load  direct p50/p99/p99.9 ms    through p50/p99/p99.9 ms   added p50/p99/p99.9 ms    " +
	"19 deep p50/p99   of calm pairs: part, added p50/p99, 19 deep p99   core  waits   MB  fds  unanswered"

// printRun prints the results of a run as a line of the table.
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
	fmt.Printf(" %6.4f %6.4f %4.0f %5d  %d of %d (%d refused, %d failed, %d without a connection)\n", r.CoreShare, r.CoreWaitShare, r.ResidentMB,
		r.DescriptorsHeld, r.Through.Calls-r.Through.Established, r.Through.Calls, r.Through.Refused, r.Through.Failed, r.Through.Unsent)
}

// labDecisionCmd measures the pure steps of a call and of fleet maintenance at growing sizes.
type labDecisionCmd struct {
	Repeats int           `help:"Values of each point." default:"5"`
	Span    time.Duration `help:"Measured duration of each value." default:"100ms"`
	Only    string        `help:"Measure only series with this text in their names."`
	JSON    string        `help:"File for the results." type:"path"`
}

// Run measures all steps and prints a line for each point.
func (c labDecisionCmd) Run() error {
	if c.Repeats < 1 || c.Span <= 0 || c.Span > time.Minute {
		return fmt.Errorf("--repeats must be at least 1, --span over 0 and at most %v", time.Minute)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	loadBefore := latencylab.LoadAverage()
	report, err := latencylab.Steps{Repeats: c.Repeats, Span: c.Span, Only: c.Only, Progress: func(line string) { fmt.Println(line) }}.Run(ctx)
	if report == nil {
		return err
	}
	if err == nil && len(report.Series) == 0 {
		return fmt.Errorf("--only: no series has %q in its name", c.Only)
	}
	return finishReport(report, err, c.JSON, loadBefore, nil)
}

// finishReport completes a report and writes it to file, also if the run was stopped early. before is the load average before
// the run, and earlier the report that the new runs were appended to, nil without one.
func finishReport(report *latencylab.Report, err error, file, loadBefore string, earlier *latencylab.Report) error {
	command := "bin/beammux " + strings.Join(os.Args[1:], " ")
	if earlier != nil && earlier.Command() != "" {
		command = earlier.Command() + "; " + command
	}
	report.Stamp(command, latencylab.DescribeLoad(loadBefore, latencylab.LoadAverage(), runtime.NumCPU()), time.Now())
	if file != "" {
		if writeErr := report.WriteFile(file); writeErr != nil {
			return writeErr
		}
	}
	if errors.Is(err, context.Canceled) {
		return withExitCode(fmt.Errorf("stopped early: %d runs and %d series were measured", len(report.Runs), len(report.Series)), 130)
	}
	return err
}
