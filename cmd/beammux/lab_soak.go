package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"beammux/internal/fleetlab"
	"beammux/internal/fleetlab/script"
	"beammux/internal/fleetlab/soak"
)

type labSoakCmd struct {
	Run    soakRunCmd    `cmd:"" help:"Play short, dense trials, one for each seed; exit 1 if a rule was broken."`
	Replay soakReplayCmd `cmd:"" help:"Play the trial of a folder again; exit 1 if a rule was broken."`
	Draw   soakDrawCmd   `cmd:"" help:"Print the script of a trial."`
}

// soakShape are the flags that decide what a trial is drawn from.
type soakShape struct {
	Seconds int    `help:"Length of a trial, 20 to 60." default:"40"`
	Faults  string `help:"all, or groups joined by +: answers, bytes, clients, discovery, network, servers, shutdowns." default:"all"`
}

// parse returns the length of a trial and the groups of faults.
func (s soakShape) parse() (time.Duration, []string, error) {
	length := time.Duration(s.Seconds) * time.Second
	if length < soak.MinLength || length > soak.MaxLength {
		return 0, nil, fmt.Errorf("--seconds: %d is not from %.0f to %.0f", s.Seconds, soak.MinLength.Seconds(), soak.MaxLength.Seconds())
	}
	groups, err := soak.ParseGroups(s.Faults)
	if err != nil {
		return 0, nil, fmt.Errorf("--faults: %w", err)
	}
	return length, groups, nil
}

// soakProgram returns the gatekeeper to start: the file, or this program.
func soakProgram(file string) (fleetlab.Program, error) {
	if file != "" {
		return fleetlab.Program{Path: file}, nil
	}
	executable, err := os.Executable()
	return fleetlab.Program{Path: executable}, err
}

type soakRunCmd struct {
	soakShape
	Seeds     int    `help:"Number of trials." default:"50"`
	FirstSeed uint64 `help:"Seed of the first trial; the others follow." default:"1"`
	Parallel  int    `help:"Trials at a time." default:"2"`
	Out       string `help:"Folder for the trials and the summary; new or empty." required:"" type:"path"`
	Program   string `help:"Gatekeeper program to start; default: this program." type:"path"`
}

func (c soakRunCmd) Run() error {
	length, groups, err := c.parse()
	if err != nil {
		return err
	}
	if c.Seeds < 1 || c.Parallel < 1 {
		return errors.New("--seeds, --parallel: must be at least 1")
	}
	program, err := soakProgram(c.Program)
	if err != nil {
		return err
	}
	if entries, err := os.ReadDir(c.Out); err == nil && len(entries) > 0 {
		return fmt.Errorf("%s: is not empty; a soak needs an empty or new folder", c.Out)
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	trials, err := soak.Run(ctx, soak.Options{Program: program, Dir: c.Out, First: c.FirstSeed, Trials: c.Seeds, Length: length,
		Parallel: c.Parallel, Groups: groups, Progress: func(done int, t soak.Trial) {
			result := "held"
			if !t.Held() {
				result = "BROKEN"
			}
			fmt.Fprintf(os.Stderr, "soak: %d of %d, seed %d: %s\n", done, c.Seeds, t.Seed, result)
		}})
	if err != nil {
		return err
	}
	fmt.Print(soak.Table(trials))
	return soakExit(ctx, trials)
}

// soakExit returns the error that sets the exit code.
func soakExit(ctx context.Context, trials []soak.Trial) error {
	if ctx.Err() != nil {
		return withExitCode(errors.New("stopped early: the rest was not played"), 130)
	}
	for _, t := range trials {
		if !t.Held() {
			return silentExit(1)
		}
	}
	return nil
}

type soakReplayCmd struct {
	Dir     string `arg:"" help:"Folder of a trial." type:"path"`
	Out     string `help:"Folder for the replay; new or empty." required:"" type:"path"`
	Program string `help:"Gatekeeper program to start; default: this program." type:"path"`
}

func (c soakReplayCmd) Run() error {
	s, err := script.Load(filepath.Join(c.Dir, "script.yaml"))
	if err != nil {
		return fmt.Errorf("%s: not the folder of a trial: %w", c.Dir, err)
	}
	program, err := soakProgram(c.Program)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	trials := []soak.Trial{soak.Play(ctx, program, c.Out, s)}
	fmt.Print(soak.Table(trials))
	return soakExit(ctx, trials)
}

type soakDrawCmd struct {
	soakShape
	Seed uint64 `help:"Seed of the trial." default:"1"`
}

func (c soakDrawCmd) Run() error {
	length, groups, err := c.parse()
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(soak.Draw(c.Seed, length, groups).Marshal())
	return err
}
