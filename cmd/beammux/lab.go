package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/internal/fleetlab"
	"beammux/internal/fleetlab/script"
)

type labCmd struct {
	Fleet       labFleetCmd       `cmd:"" help:"Run many gatekeeper processes on loopback with injected faults."`
	Soak        labSoakCmd        `cmd:"" help:"Play short, dense trials with a handful of gatekeepers."`
	Scale       labScaleCmd       `cmd:"" help:"Run a control plane and many hollow gatekeepers on loopback, and measure the cost of control and how settings come into force; exit 1 if a rule was broken."`
	ScaleSeries labScaleSeriesCmd `cmd:"" help:"Combine reports of lab scale by the number of gatekeepers."`
	Hollow      labHollowCmd      `cmd:"" hidden:"" help:"A process of lab scale."`
	Latency     labLatencyCmd     `cmd:"" help:"Measure what one gatekeeper adds to a call: latency, processor time, memory, descriptors."`
	Decision    labDecisionCmd    `cmd:"" help:"Measure the time of the pure steps of a call and of fleet maintenance, at growing sizes."`
	Slopes      labSlopesCmd      `cmd:"" help:"Measure costs at several sizes, for docs/CAPACITY.md."`
}

type labFleetCmd struct {
	Run     labRunCmd     `cmd:"" help:"Generate a fault script from a seed and run it; exit 1 if a rule was broken."`
	Replay  labReplayCmd  `cmd:"" help:"Run a script from a file; exit 1 if a rule was broken."`
	Draw    labDrawCmd    `cmd:"" help:"Print the script that run would generate."`
	Compare labCompareCmd `cmd:"" help:"Combine runs by the number of gatekeepers: time to agreement, cost of gossip."`
	Check   labCheckCmd   `cmd:"" help:"Check the files of a finished run again; exit 1 if a rule was broken."`
}

// shapeFlags describe the fleet that a script is generated for.
type shapeFlags struct {
	Gatekeepers int     `help:"Gatekeeper processes, up to 32." default:"4"`
	Servers     int     `help:"Fake menu servers, up to 64." default:"6"`
	Zones       int     `help:"Zones over which gatekeepers and servers are distributed." default:"2"`
	Members     int     `name:"store-members" help:"Number of gatekeepers that are members of the replicated store." default:"3"`
	Load        float64 `help:"Offered calls as a multiple of the servers' capacity." default:"0.6"`
	Fleet       bool    `help:"Let the gatekeepers maintain a view of the fleet by gossip."`
	Seed        uint64  `help:"Seed of the script, the callers and the links." default:"1"`
	Faults      string  `help:"all, or kinds joined by +: kill, term, pause, lose, slow, drain, partition, cut, delay, bandwidth, reset, blackhole, refuse, loss, duplicate, reorder." default:"all"`
}

// generate creates a script from the seed and checks it.
func (s shapeFlags) generate() (*script.Script, error) {
	kinds, err := script.ParseKinds(s.Faults)
	if err != nil {
		return nil, fmt.Errorf("--faults: %w", err)
	}
	if s.Load <= 0 || s.Load > 3 {
		return nil, fmt.Errorf("--load: %v is not greater than 0 and at most 3", s.Load)
	}
	generated, err := script.Draw(s.Seed, script.Shape{Gatekeepers: s.Gatekeepers, Servers: s.Servers, Zones: s.Zones,
		Members: min(s.Members, s.Gatekeepers), Load: s.Load, Fleet: s.Fleet}, kinds)
	if err != nil {
		return nil, err
	}
	// The script is parsed from its file form, so that a run and a replay use the same script and values out of range are reported.
	return script.Parse("--gatekeepers, --servers, --zones, --store-members", generated.Marshal())
}

type labRunCmd struct {
	shapeFlags
	runFlags
}

// runFlags are the flags of commands that run a script.
type runFlags struct {
	Out     string `help:"Directory for scripts, logs, records and the report; new or empty." required:"" type:"path"`
	Program string `help:"Gatekeeper program to start; default: this program." type:"path"`
	JSON    bool   `help:"Print the summary as JSON."`
}

func (c labRunCmd) Run(log logrus.FieldLogger) error {
	s, err := c.generate()
	if err != nil {
		return err
	}
	return c.runScript(s, log)
}

type labReplayCmd struct {
	Script string `arg:"" help:"Script file (YAML), as written by run and draw." type:"path"`
	runFlags
}

func (c labReplayCmd) Run(log logrus.FieldLogger) error {
	s, err := script.Load(c.Script)
	if err != nil {
		return err
	}
	return c.runScript(s, log)
}

// runScript runs a script, prints its progress and stops cleanly on SIGINT and SIGTERM.
func (c runFlags) runScript(s *script.Script, log logrus.FieldLogger) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	program := fleetlab.Program{Path: c.Program}
	if c.Program == "" {
		executable, err := os.Executable()
		if err != nil {
			return err
		}
		program.Path = executable
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	summary, err := fleetlab.Run(ctx, fleetlab.Options{Program: program, Dir: c.Out, Script: s, Log: log.WithField("lab", "fleet"),
		Progress: func(elapsed time.Duration, step string) {
			fmt.Fprintf(os.Stderr, "lab: %5.1f of %.1f s: %s\n", elapsed.Seconds(), time.Duration(s.Length).Seconds(), step)
		}})
	if err != nil {
		return err
	}
	return printSummary(summary, c.JSON)
}

// printSummary prints the summary of a run and returns the error that sets the exit code.
func printSummary(summary *fleetlab.Summary, asJSON bool) error {
	if asJSON {
		if err := printJSON(summary); err != nil {
			return err
		}
	} else {
		fmt.Print(summary.Table())
	}
	switch {
	case summary.Stopped:
		return withExitCode(errors.New("stopped early: the rest of the run was not checked"), 130)
	case !summary.Held():
		return silentExit(1)
	}
	return nil
}

type labDrawCmd struct {
	shapeFlags
	Out string `help:"File to write; default: standard output." type:"path"`
}

func (c labDrawCmd) Run() error {
	s, err := c.generate()
	if err != nil {
		return err
	}
	if c.Out != "" {
		return os.WriteFile(c.Out, s.Marshal(), 0o644)
	}
	_, err = os.Stdout.Write(s.Marshal())
	return err
}

type labCheckCmd struct {
	Dir  string `arg:"" help:"Directory of a run." type:"path"`
	JSON bool   `help:"Print the summary as JSON."`
}

func (c labCheckCmd) Run() error {
	if _, err := os.Stat(filepath.Join(c.Dir, "script.yaml")); err != nil {
		return fmt.Errorf("%s: not the directory of a run: %s", c.Dir, strings.TrimPrefix(err.Error(), "stat "))
	}
	summary, err := fleetlab.Check(c.Dir)
	if err != nil {
		return err
	}
	return printSummary(summary, c.JSON)
}

type labCompareCmd struct {
	Dirs []string `arg:"" help:"Directories of runs." type:"path"`
	Plot string   `help:"SVG file for a plot of the gossip traffic against the size of the fleet." type:"path"`
	JSON bool     `help:"Print JSON."`
}

func (c labCompareCmd) Run() error {
	sizes, err := fleetlab.Compare(c.Dirs)
	if err != nil {
		return err
	}
	if c.Plot != "" {
		image, err := fleetlab.ComparePlot(sizes)
		if err == nil {
			err = os.WriteFile(c.Plot, image, 0o644)
		}
		if err != nil {
			return err
		}
	}
	if c.JSON {
		return printJSON(sizes)
	}
	fmt.Print(fleetlab.CompareTable(sizes))
	return nil
}
