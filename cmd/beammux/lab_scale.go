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

// labScaleCmd plays one run of the scale laboratory.
type labScaleCmd struct {
	Gatekeepers   int           `help:"Hollow gatekeepers: the control side alone, without callers and servers." default:"100"`
	Control       int           `help:"Control machines, each a process; 0: none, with --with membership." default:"13"`
	Voters        int           `help:"Control machines that vote; the others are raft non-voters." default:"5"`
	Regions       int           `help:"Regions that the zones are dealt out over." default:"3"`
	Zones         int           `help:"Zones that machines and gatekeepers are dealt out over." default:"6"`
	Services      int           `help:"Services that the gatekeepers are dealt out over." default:"65"`
	Processes     int           `help:"Processes that hold the gatekeepers." default:"6"`
	Seed          uint64        `help:"Of the script and of every gatekeeper's choices." default:"1"`
	Length        time.Duration `help:"Measured time." default:"60s"`
	ChangesPerDay float64       `help:"Changes of configuration a day." default:"2800"`
	Factor        float64       `help:"They come so many times as often." default:"20"`
	RecordBytes   int           `help:"Bytes of each of the two records of a change." default:"1024"`
	With          string        `help:"What the gatekeepers have beside configuration, with commas between: membership, registers, limits; groups splits the gossip by service."`
	RegisterBytes float64       `help:"Bytes of registers that a gatekeeper sends a second, at most; 0: no bound."`
	Faults        string        `help:"Kinds with + between them, or a YAML file: kill-leader, kill-zone, cut-region, latency, restart, start-at-once, refuse, stuck-watcher, pause-control, pause-leader, lose-rack, lose-zone, remake-control."`
	Site          string        `help:"A gatekeeper's configuration by which changes are checked; none if not set." type:"path"`
	Sessions      float64       `help:"New sessions a second that a control machine admits." default:"50"`
	Snapshots     float64       `help:"And snapshots." default:"50"`
	MostSessions  int           `help:"Sessions that a control machine holds at a time; 0: no bound."`
	Dir           string        `help:"Folder for files and logs, kept; a temporary one, in memory where the machine has such, if not set." type:"path"`
	Beside        string        `help:"What else runs on the machine, for the report."`
	JSON          string        `help:"File for the report." name:"json" type:"path"`
}

func (c labScaleCmd) options() (o scalelab.Options, err error) {
	faults, err := script.Load(c.Faults)
	if err != nil {
		return o, err
	}
	o = scalelab.Options{Gatekeepers: c.Gatekeepers, Control: c.Control, Voters: min(c.Voters, c.Control), Regions: c.Regions, Zones: c.Zones,
		Services: c.Services, Hollow: min(c.Processes, c.Gatekeepers), Seed: c.Seed, Length: c.Length, ChangesADay: c.ChangesPerDay, Factor: c.Factor,
		RecordBytes: c.RecordBytes, RegisterBytes: c.RegisterBytes, Faults: faults, Site: c.Site, Beside: c.Beside, Command: "beammux " + strings.Join(os.Args[1:], " "),
		Admission: scalelab.Admission{Sessions: c.MostSessions, SessionsPerS: c.Sessions, SessionsBurst: int(c.Sessions),
			SnapshotsPerS: c.Snapshots, SnapshotsBurst: int(c.Snapshots)},
		Progress: func(at time.Duration, what string) { fmt.Fprintf(os.Stderr, "lab: %6.1f s: %s\n", at.Seconds(), what) }}
	for _, part := range strings.FieldsFunc(c.With, func(r rune) bool { return r == ',' }) {
		switch part {
		case "membership":
			o.With.Membership = true
		case "registers":
			o.With.Registers = true
		case "limits":
			o.With.Limits = true
		case "groups":
			o.With.Groups = true
		default:
			return o, fmt.Errorf("--with: %q is none of membership, registers, limits, groups", part)
		}
	}
	if o.Program, err = os.Executable(); err != nil {
		return o, err
	}
	return o, o.Check()
}

func (c labScaleCmd) Run() error {
	o, err := c.options()
	if err != nil {
		return err
	}
	if o.Dir, err = c.folder(); err != nil {
		return err
	}
	if c.Dir == "" {
		defer os.RemoveAll(o.Dir)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := scalelab.Run(ctx, o)
	if err != nil {
		return fmt.Errorf("%w%s", err, lastWords(o.Dir))
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
		return fault(errors.New("stopped before its time: nothing is shown of what was left"), 130)
	case !report.Held():
		return exit(1)
	}
	return nil
}

// memoryFolder is a file system in memory on most Linux machines: many gatekeepers that sync their files on one disk would
// measure that disk.
const memoryFolder = "/dev/shm"

func (c labScaleCmd) folder() (string, error) {
	if c.Dir != "" {
		return c.Dir, os.MkdirAll(c.Dir, 0o755)
	}
	if dir, err := os.MkdirTemp(memoryFolder, "beammux-scale-"); err == nil {
		return dir, nil
	}
	return os.MkdirTemp("", "beammux-scale-")
}

// lastWords gives the last line of each log that has any, since a temporary folder is removed.
func lastWords(dir string) string {
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	var b strings.Builder
	for _, file := range files {
		text, err := os.ReadFile(file)
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		if err == nil && len(text) > 0 {
			fmt.Fprintf(&b, "\n%s: %s", filepath.Base(file), lines[len(lines)-1])
		}
	}
	return b.String()
}

// labHollowCmd is a process of the scale laboratory, which starts it.
type labHollowCmd struct{}

func (labHollowCmd) Run() error { return hollow.Run(context.Background(), os.Stdin, os.Stdout) }

// labScaleSeriesCmd puts runs together.
type labScaleSeriesCmd struct {
	Reports []string `arg:"" help:"Reports that runs have written with --json." type:"path"`
	Out     string   `help:"File to write; the standard output if not set." type:"path"`
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
