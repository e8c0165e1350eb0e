package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"beammux/internal/scalelab"
	"beammux/internal/scalelab/hollow"
	"beammux/internal/scalelab/script"
)

// labScaleCmd runs the scale laboratory once.
type labScaleCmd struct {
	Gatekeepers   int           `help:"Hollow gatekeepers: only the part that follows settings, without callers and servers." default:"100"`
	Control       int           `help:"Control machines, one process each; 0: none, requires --with membership." default:"13"`
	Voters        int           `help:"Control machines with a vote; the others are raft non-voters." default:"5"`
	Regions       int           `help:"Regions over which the zones are distributed." default:"3"`
	Zones         int           `help:"Zones over which machines and gatekeepers are distributed." default:"6"`
	Services      int           `help:"Services over which the gatekeepers are distributed." default:"65"`
	Processes     int           `help:"Processes that run the gatekeepers." default:"6"`
	Seed          uint64        `help:"Seed of the script and of every gatekeeper's random choices." default:"1"`
	Length        time.Duration `help:"Measured time." default:"60s"`
	ChangesPerDay float64       `help:"Configuration changes per day." default:"2800"`
	Factor        float64       `help:"Factor by which changes are more frequent in the run." default:"20"`
	RecordBytes   int           `help:"Size of each of the two records of a change, in bytes." default:"1024"`
	With          string        `help:"What the gatekeepers run besides configuration, separated by commas: membership, registers, limits; groups splits the gossip by service."`
	RegisterBytes float64       `help:"Most bytes of registers that a gatekeeper sends per second; 0: no bound."`
	Faults        string        `help:"Kinds joined by +, or a YAML file: kill-leader, kill-zone, cut-region, latency, restart, start-at-once, refuse, stuck-watcher, pause-control, pause-leader, lose-rack, lose-zone, remake-control."`
	Site          string        `help:"Configuration of a gatekeeper that changes are checked against; default: none." type:"path"`
	Sessions      float64       `help:"New sessions per second that a control machine admits." default:"50"`
	Snapshots     float64       `help:"Snapshots per second that a control machine admits." default:"50"`
	MostSessions  int           `help:"Most sessions that a control machine holds at a time; 0: no bound."`
	Dir           string        `help:"Directory for files and logs, kept after the run; default: a temporary directory, in memory where available." type:"path"`
	Beside        string        `help:"Other load on the machine, noted in the report."`
	JSON          string        `help:"File for the report." name:"json" type:"path"`
}

// buildOptions converts the flags to the options of a run and checks them.
func (c labScaleCmd) buildOptions() (options scalelab.Options, err error) {
	faults, err := script.Load(c.Faults)
	if err != nil {
		return options, err
	}
	options = scalelab.Options{Gatekeepers: c.Gatekeepers, Control: c.Control, Voters: min(c.Voters, c.Control), Regions: c.Regions, Zones: c.Zones,
		Services: c.Services, HollowProcesses: min(c.Processes, c.Gatekeepers), Seed: c.Seed, Length: c.Length, ChangesADay: c.ChangesPerDay, Factor: c.Factor,
		RecordBytes: c.RecordBytes, RegisterBytes: c.RegisterBytes, Faults: faults, Site: c.Site, Beside: c.Beside, Command: "beammux " + strings.Join(os.Args[1:], " "),
		Admission: scalelab.Admission{Sessions: c.MostSessions, SessionsPerS: c.Sessions, SessionsBurst: int(c.Sessions),
			SnapshotsPerS: c.Snapshots, SnapshotsBurst: int(c.Snapshots)},
		Progress: func(elapsed time.Duration, step string) {
			fmt.Fprintf(os.Stderr, "lab: %6.1f s: %s\n", elapsed.Seconds(), step)
		}}
	for _, part := range strings.FieldsFunc(c.With, func(r rune) bool { return r == ',' }) {
		switch part {
		case "membership":
			options.With.Membership = true
		case "registers":
			options.With.Registers = true
		case "limits":
			options.With.Limits = true
		case "groups":
			options.With.Groups = true
		default:
			return options, fmt.Errorf("--with: %q is not one of membership, registers, limits, groups", part)
		}
	}
	if options.Program, err = os.Executable(); err != nil {
		return options, err
	}
	return options, options.Check()
}

func (c labScaleCmd) Run() error {
	options, err := c.buildOptions()
	if err != nil {
		return err
	}
	if options.Dir, err = c.makeDir(); err != nil {
		return err
	}
	if c.Dir == "" {
		defer os.RemoveAll(options.Dir)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := scalelab.Run(ctx, options)
	if err != nil {
		return fmt.Errorf("%w%s", err, lastLogLines(options.Dir))
	}
	if c.JSON != "" {
		text, err := json.MarshalIndent(report, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.JSON, append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	fmt.Print(report.Table())
	switch {
	case report.Stopped:
		return withExitCode(errors.New("stopped early: the rest of the run was not checked"), 130)
	case !report.Passed():
		return silentExit(1)
	}
	return nil
}

// memoryDir is an in-memory file system on most Linux machines. With many gatekeepers that sync their files to one disk, the
// run would measure that disk.
const memoryDir = "/dev/shm"

// makeDir returns the directory of the run and creates it.
func (c labScaleCmd) makeDir() (string, error) {
	if c.Dir != "" {
		return c.Dir, os.MkdirAll(c.Dir, 0o755)
	}
	if dir, err := os.MkdirTemp(memoryDir, "beammux-scale-"); err == nil {
		return dir, nil
	}
	return os.MkdirTemp("", "beammux-scale-")
}

// lastLogLines returns the last line of each log that is not empty, for the error message: a temporary directory is removed with
// its logs.
func lastLogLines(dir string) string {
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	var result strings.Builder
	for _, file := range files {
		text, err := os.ReadFile(file)
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		if err == nil && len(text) > 0 {
			fmt.Fprintf(&result, "\n%s: %s", filepath.Base(file), lines[len(lines)-1])
		}
	}
	return result.String()
}

// labHollowCmd runs a process of hollow gatekeepers. It is started by the scale laboratory.
type labHollowCmd struct{}

func (labHollowCmd) Run() error { return hollow.Run(context.Background(), os.Stdin, os.Stdout) }

// labScaleSeriesCmd combines the reports of several runs into series.
type labScaleSeriesCmd struct {
	Reports []string `arg:"" help:"Reports written by lab scale --json." type:"path"`
	Out     string   `help:"File to write; default: standard output." type:"path"`
}

func (c labScaleSeriesCmd) Run() error {
	reports, err := scalelab.LoadReports(c.Reports)
	if err != nil {
		return err
	}
	file, err := scalelab.SeriesOf(reports)
	if err != nil {
		return err
	}
	text, err := file.Marshal()
	if err != nil {
		return err
	}
	if c.Out == "" {
		_, err = os.Stdout.Write(text)
		return err
	}
	return os.WriteFile(c.Out, text, 0o644)
}
