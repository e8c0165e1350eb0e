package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"beammux/internal/fleetlab"
	"beammux/internal/fleetlab/script"
	"beammux/internal/history"
)

// Options configures a soak.
type Options struct {
	Program  fleetlab.Program
	Dir      string // each trial's folder is named for its seed
	First    uint64 // seed of the first trial
	Trials   int
	Length   time.Duration // of each trial
	Parallel int           // trials at a time
	Groups   []string      // of faults
	// Progress, if not nil, is called after each trial.
	Progress func(done int, t Trial)
}

// Trial is the result of one trial.
type Trial struct {
	Seed        uint64   `json:"seed"`
	Gatekeepers int      `json:"gatekeepers"`
	Servers     int      `json:"servers"`
	Faults      []string `json:"faults"`
	Tries       int      `json:"tries"`
	Kept        float64  `json:"worth_kept"` // share of the offered worth
	Broken      []Broken `json:"broken,omitempty"`
	Excused     int      `json:"excused"`
	DelayMs     int64    `json:"longest_wait_for_processor_ms"`
	Failed      string   `json:"failed,omitempty"` // why the trial could not be run
}

// Broken is a rule that a trial broke.
type Broken struct {
	Rule  string `json:"rule"`
	Count int    `json:"count"`
	First string `json:"first"` // evidence
}

// Held reports whether the trial was run and broke no rule.
func (t *Trial) Held() bool { return len(t.Broken) == 0 && t.Failed == "" }

// summaryFile is the file of a soak's results in its folder.
const summaryFile = "summary.json"

// Run runs the trials and writes their results. It ends early, with the trials finished so far, if ctx is cancelled.
func Run(ctx context.Context, o Options) ([]Trial, error) {
	var mu sync.Mutex
	var trials []Trial
	var group errgroup.Group
	group.SetLimit(max(1, o.Parallel))
	for i := range o.Trials {
		seed := o.First + uint64(i)
		group.Go(func() error {
			if ctx.Err() != nil {
				return nil
			}
			t := Play(ctx, o.Program, filepath.Join(o.Dir, strconv.FormatUint(seed, 10)), Draw(seed, o.Length, o.Groups))
			if ctx.Err() != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			trials = append(trials, t)
			if o.Progress != nil {
				o.Progress(len(trials), t)
			}
			return nil
		})
	}
	group.Wait()
	slices.SortFunc(trials, func(a, b Trial) int { return int(min(max(int64(a.Seed-b.Seed), -1), 1)) })
	text, err := json.MarshalIndent(trials, "", " ")
	if err == nil {
		err = os.WriteFile(filepath.Join(o.Dir, summaryFile), append(text, '\n'), 0o644)
	}
	return trials, err
}

// Play runs one trial in a new folder.
func Play(ctx context.Context, program fleetlab.Program, dir string, s *script.Script) Trial {
	t := Trial{Seed: s.Seed, Gatekeepers: s.Gatekeepers, Servers: s.Servers}
	for _, f := range s.Faults {
		t.Faults = append(t.Faults, f.Name())
	}
	// The script is parsed from its file form, so that a replay runs the same.
	s, err := script.Parse("trial", s.Marshal())
	if err == nil {
		err = os.MkdirAll(dir, 0o755)
	}
	var summary *fleetlab.Summary
	if err == nil {
		summary, err = fleetlab.Run(ctx, fleetlab.Options{Program: program, Dir: dir, Script: s})
	}
	if err != nil {
		t.Failed = err.Error()
		return t
	}
	t.Tries, t.DelayMs = summary.Stats.Tries, int64(summary.Disturbance.Longest/1000)
	if summary.Outcome != nil {
		t.Kept = summary.Outcome.ServedShare
	}
	for _, f := range summary.Findings {
		t.Excused += f.Excused
		if f.Verdict == history.Broken {
			b := Broken{Rule: f.Rule, Count: f.Count}
			if len(f.Evidence) > 0 {
				b.First = f.Evidence[0].String()
			}
			t.Broken = append(t.Broken, b)
		}
	}
	return t
}

// Table formats the results of trials as text.
func Table(trials []Trial) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "seed\tgatekeepers\tservers\tfaults\ttries\tworth kept\texcused\twait ms\tresult")
	held, kept := 0, 0.0
	for _, t := range trials {
		if t.Held() {
			held++
		}
		kept += t.Kept
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%.3f\t%d\t%d\t%s\n", t.Seed, t.Gatekeepers, t.Servers, len(t.Faults), t.Tries, t.Kept,
			t.Excused, t.DelayMs, t.result())
	}
	w.Flush()
	fmt.Fprintf(&b, "%d of %d trials held every rule; worth kept in the mean %.3f\n", held, len(trials), kept/max(1, float64(len(trials))))
	return b.String()
}

// result describes the outcome of a trial in a few words.
func (t *Trial) result() string {
	if t.Failed != "" {
		return "not played: " + t.Failed
	}
	if len(t.Broken) == 0 {
		return "held"
	}
	var parts []string
	for _, broken := range t.Broken {
		parts = append(parts, fmt.Sprintf("BROKEN %s (%d): %s", broken.Rule, broken.Count, broken.First))
	}
	return strings.Join(parts, "; ")
}
