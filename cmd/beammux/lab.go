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
	Fleet       labFleetCmd       `cmd:"" help:"Many gatekeeper processes on loopback, with faults between them."`
	Scale       labScaleCmd       `cmd:"" help:"A control plane and many hollow gatekeepers on loopback: what control costs, how settings come into force; exit 1 if a rule was broken."`
	ScaleSeries labScaleSeriesCmd `cmd:"" help:"Put reports of lab scale together, by the number of gatekeepers."`
	Hollow      labHollowCmd      `cmd:"" hidden:"" help:"A process of lab scale."`
	Latency     labLatencyCmd     `cmd:"" help:"What one gatekeeper adds to a call: latency, processor time, memory, descriptors."`
	Decision    labDecisionCmd    `cmd:"" help:"Time of the pure steps of a call and of the fleet's upkeep, at growing sizes."`
	Slopes      labSlopesCmd      `cmd:"" help:"Measure costs at several sizes, for docs/CAPACITY.md."`
}

type labFleetCmd struct {
	Run     labRunCmd     `cmd:"" help:"Draw a fault script from a seed and play it; exit 1 if a rule was broken."`
	Replay  labReplayCmd  `cmd:"" help:"Play a script again; exit 1 if a rule was broken."`
	Draw    labDrawCmd    `cmd:"" help:"Print the script that run would play."`
	Compare labCompareCmd `cmd:"" help:"Put runs together by the number of gatekeepers: times to agree, cost of the gossip."`
	Check   labCheckCmd   `cmd:"" help:"Judge again what a run wrote; exit 1 if a rule was broken."`
}

// shapeFlags say which fleet a script is drawn for.
type shapeFlags struct {
	Gatekeepers int     `help:"Gatekeeper processes, up to 32." default:"4"`
	Servers     int     `help:"Stand-in menu servers, up to 64." default:"6"`
	Zones       int     `help:"Zones that both are dealt out over." default:"2"`
	Members     int     `name:"store-members" help:"How many of the gatekeepers share a replicated store." default:"3"`
	Load        float64 `help:"Offered calls, in the servers' capacity." default:"0.6"`
	Fleet       bool    `help:"The gatekeepers keep a view of the fleet by gossip."`
	Seed        uint64  `help:"Of the script, the callers and the links." default:"1"`
	Faults      string  `help:"all, or kinds with + between them: kill, term, pause, lose, slow, drain, partition, cut, delay, bandwidth, reset, blackhole, refuse, loss, duplicate, reorder." default:"all"`
}

func (s shapeFlags) draw() (*script.Script, error) {
	kinds, err := script.ParseKinds(s.Faults)
	if err != nil {
		return nil, fmt.Errorf("--faults: %w", err)
	}
	if s.Load <= 0 || s.Load > 3 {
		return nil, fmt.Errorf("--load: %v is not over 0 and up to 3", s.Load)
	}
	drawn, err := script.Draw(s.Seed, script.Shape{Gatekeepers: s.Gatekeepers, Servers: s.Servers, Zones: s.Zones,
		Members: min(s.Members, s.Gatekeepers), Load: s.Load, Fleet: s.Fleet}, kinds)
	if err != nil {
		return nil, err
	}
	// What is played is what a file would hold: one more reading proves it, and names what is out of range.
	return script.Parse("--gatekeepers, --servers, --zones, --store-members", drawn.Marshal())
}

type labRunCmd struct {
	shapeFlags
	playFlags
}

type playFlags struct {
	Out     string `help:"Folder for scripts, logs, records and the report; new or empty." required:"" type:"path"`
	Program string `help:"Gatekeeper to start; this program if not set." type:"path"`
	JSON    bool   `help:"Print the summary as JSON."`
}

func (c labRunCmd) Run(log logrus.FieldLogger) error {
	s, err := c.draw()
	if err != nil {
		return err
	}
	return c.play(s, log)
}

type labReplayCmd struct {
	Script string `arg:"" help:"Script file (YAML), as run and draw write it." type:"path"`
	playFlags
}

func (c labReplayCmd) Run(log logrus.FieldLogger) error {
	s, err := script.Load(c.Script)
	if err != nil {
		return err
	}
	return c.play(s, log)
}

// play plays a script, shows how far it is and ends cleanly on SIGINT and SIGTERM.
func (c playFlags) play(s *script.Script, log logrus.FieldLogger) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	program := fleetlab.Program{Path: c.Program}
	if c.Program == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		program.Path = self
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	sum, err := fleetlab.Run(ctx, fleetlab.Options{Program: program, Dir: c.Out, Script: s, Log: log.WithField("lab", "fleet"),
		Progress: func(at time.Duration, what string) {
			fmt.Fprintf(os.Stderr, "lab: %5.1f of %.1f s: %s\n", at.Seconds(), time.Duration(s.Length).Seconds(), what)
		}})
	if err != nil {
		return err
	}
	return tellSummary(sum, c.JSON)
}

func tellSummary(sum *fleetlab.Summary, asJSON bool) error {
	if asJSON {
		if err := printJSON(sum); err != nil {
			return err
		}
	} else {
		fmt.Print(sum.Table())
	}
	switch {
	case sum.Stopped:
		return fault(errors.New("stopped before its time: nothing is shown of what was left"), 130)
	case !sum.Held():
		return exit(1)
	}
	return nil
}

type labDrawCmd struct {
	shapeFlags
	Out string `help:"File to write; the standard output if not set." type:"path"`
}

func (c labDrawCmd) Run() error {
	s, err := c.draw()
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
	Dir  string `arg:"" help:"Folder of a run." type:"path"`
	JSON bool   `help:"Print the summary as JSON."`
}

func (c labCheckCmd) Run() error {
	if _, err := os.Stat(filepath.Join(c.Dir, "script.yaml")); err != nil {
		return fmt.Errorf("%s: is no folder of a run: %s", c.Dir, strings.TrimPrefix(err.Error(), "stat "))
	}
	sum, err := fleetlab.Check(c.Dir)
	if err != nil {
		return err
	}
	return tellSummary(sum, c.JSON)
}

type labCompareCmd struct {
	Dirs []string `arg:"" help:"Folders of runs." type:"path"`
	Plot string   `help:"SVG file for what the gossip sends against the size of the fleet." type:"path"`
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
