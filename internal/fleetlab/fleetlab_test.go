package fleetlab

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/internal/fleetcheck"
	"beammux/internal/fleetlab/script"
)

// programFolder holds the program of this test process alone: runs of other clones, or of two commands at the same time, must
// neither replace nor remove it.
var programFolder string

func program(t *testing.T) Program {
	t.Helper()
	p, err := Build("../..", programFolder)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "beammux-fleetlab-")
	if err != nil {
		panic(err)
	}
	programFolder = folder
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// play plays a script once, shows its report and says that every rule held and no process was left.
func play(t *testing.T, text string) *Summary {
	t.Helper()
	sum := run(t, parse(t, text))
	if !sum.Held() {
		t.Errorf("%s: %v", sum.Rule, sum.First)
	}
	return sum
}

// run plays a script once, shows its report and says that no process was left.
func run(t *testing.T, s *script.Script) *Summary {
	t.Helper()
	var pids []int
	dir, err := os.MkdirTemp(t.ArtifactDir(), "run-")
	if err != nil {
		t.Fatal(err)
	}
	sum, err := Run(t.Context(), Options{Program: program(t), Dir: dir, Script: s, Ready: func(p []int) { pids = p }})
	if err != nil {
		t.Fatal(err)
	}
	t.Log("\n" + sum.Table())
	if len(pids) != s.Gatekeepers {
		t.Errorf("%d processes", len(pids))
	}
	for _, pid := range pids {
		if err := syscall.Kill(pid, 0); err != syscall.ESRCH {
			t.Errorf("process %d is still there: %v", pid, err)
		}
	}
	for _, f := range sum.Faults {
		if f.To == 0 {
			t.Errorf("%s never ended", f.Fault)
		}
	}
	return sum
}

func log(t require.TestingT, sum *Summary, name string) string {
	text, err := os.ReadFile(filepath.Join(sum.Dir, "logs", name+".log"))
	require.NoError(t, err)
	return string(text)
}

// The hard cases, each with its own fleet of real processes, side by side. Each looks for the mark that the fault came about
// and was met, beside the rules.
func TestHardCases(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes for some seconds")
	}
	program(t)
	const small = "gatekeepers: 3\nservers: 4\nzones: 2\nstore_members: 3\n"
	t.Run("killed while it holds calls", func(t *testing.T) {
		t.Parallel()
		sum := play(t, small+"length: 8s\nfaults:\n  - {at: 3s, for: 1500ms, fault: kill, target: g2, state: empty}\n")
		if sum.Stats.Broken == 0 {
			t.Error("no call was open when it was killed")
		}
		if sum.Faults[0].SettleTime < 0 {
			t.Error("it did not settle")
		}
	})
	t.Run("a partition heals while a second starts", func(t *testing.T) {
		t.Parallel()
		sum := play(t, small+"length: 10s\nfaults:\n  - {at: 2s, for: 2s, fault: partition, from: zone:a, to: zone:b}\n"+
			"  - {at: 4s, for: 2s, fault: partition, from: g1, to: servers+bus+gatekeepers}\n")
		if sum.Faults[1].SettleTime < 0 {
			t.Error("the second did not settle")
		}
		// g2 is alone in zone b, so it lost its leader or led nobody; g1 then lost all servers and refused or failed calls.
		if n := sum.Stats.Refused + sum.Stats.Failed + sum.Stats.Unanswered; n == 0 {
			t.Error("nobody felt that g1 was cut from every server")
		}
	})
	t.Run("a paused process wakes after its peers gave it up", func(t *testing.T) {
		t.Parallel()
		// One of three leads the store: paused in turn, it is given up by the others, and wakes beside a new leader.
		sum := play(t, small+"length: 11s\nfaults:\n  - {at: 1s, for: 2s, fault: pause, target: g1}\n"+
			"  - {at: 4s, for: 2s, fault: pause, target: g2}\n  - {at: 7s, for: 2s, fault: pause, target: g3}\n")
		elections := 0
		for _, name := range []string{"g1", "g2", "g3"} {
			elections += strings.Count(log(t, sum, name), "heartbeat timeout reached")
		}
		if elections < 2 {
			t.Errorf("%d elections: no leader was given up", elections)
		}
		if sum.Faults[2].SettleTime < 0 {
			t.Error("the last pause did not settle")
		}
	})
	t.Run("connections are reset in the middle of a message", func(t *testing.T) {
		t.Parallel()
		sum := play(t, small+"length: 9s\nfaults:\n  - {at: 2s, for: 2s, fault: reset, from: gatekeepers, to: servers, bytes: 700}\n"+
			"  - {at: 5s, for: 1s, fault: reset, from: fronts, to: gatekeepers, bytes: 333}\n"+
			"  - {at: 2s, for: 1s, fault: reset, from: gatekeepers, to: servers}\n  - {at: 5s, for: 1s, fault: reset, from: fronts, to: gatekeepers}\n")
		if sum.Stats.Broken == 0 {
			t.Error("no caller's connection was reset under a call")
		}
	})
	t.Run("all killed at once and started again", func(t *testing.T) {
		t.Parallel()
		sum := play(t, small+"length: 9s\nfaults:\n  - {at: 3s, for: 500ms, fault: kill, target: gatekeepers, state: same}\n")
		if sum.Stats.Unsent == 0 || sum.Faults[0].SettleTime < 0 {
			t.Errorf("unsent %d, settled %d", sum.Stats.Unsent, sum.Faults[0].SettleTime)
		}
		for _, name := range []string{"g1", "g2", "g3"} {
			if n := strings.Count(log(t, sum, name), `"msg":"store ready"`); n != 2 {
				t.Errorf("%s: its store was ready %d times", name, n)
			}
		}
	})
	// The standing test: 4 gatekeepers, 2 zones, 3 faults drawn by a seed; the same seed gives the same verdict.
	t.Run("a drawn script", func(t *testing.T) {
		t.Parallel()
		s, err := script.Draw(4, script.Shape{Gatekeepers: 4, Servers: 6, Zones: 2, Members: 3, Load: 0.5}, []string{"kill", "lose", "partition"})
		if err != nil {
			t.Fatal(err)
		}
		text := string(s.Marshal())
		sum := play(t, text[strings.Index(text, "gatekeepers:"):strings.Index(text, "load:")]+text[strings.Index(text, "length:"):])
		again, err := Check(sum.Dir)
		if err != nil || again.Verdict != sum.Verdict || again.Stats != sum.Stats {
			t.Errorf("judged again: %+v, %v", again, err)
		}
	})
}

// A run that is stopped ends its processes and says so; what it had seen is still judged.
func TestStoppedRun(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	s, err := script.Parse("script", []byte("version: 1\nseed: 1\nload: 0.5\ngatekeepers: 2\nservers: 2\nzones: 1\nstore_members: 0\nlength: 20s\n"+
		"faults:\n  - {at: 0s, for: 15s, fault: pause, target: g1}\n"))
	if err != nil {
		t.Fatal(err)
	}
	var pids []int
	began := time.Now()
	sum, err := Run(ctx, Options{Program: program(t), Dir: t.TempDir(), Script: s, Ready: func(p []int) { pids = p },
		Progress: func(at time.Duration, what string) {
			if strings.Contains(what, "pause g1") {
				stop()
			}
		}})
	if err != nil || !sum.Stopped || !sum.Held() {
		t.Fatalf("%+v %v", sum, err)
	}
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("the end took %v", took)
	}
	for _, pid := range pids {
		if err := syscall.Kill(pid, 0); err != syscall.ESRCH {
			t.Errorf("process %d is still there: %v", pid, err)
		}
	}
}

// The checker finds what a broken gatekeeper does: a program that ends by itself, and a log with a panic.
func TestFindsACrash(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s, err := script.Parse("script", []byte("version: 1\nseed: 1\nload: 0.5\ngatekeepers: 2\nservers: 2\nzones: 1\nstore_members: 0\nlength: 3s\n"))
	if err != nil {
		t.Fatal(err)
	}
	sum, err := Run(t.Context(), Options{Program: program(t), Dir: t.TempDir(), Script: s, Ready: func(p []int) {
		syscall.Kill(p[0], syscall.SIGQUIT) // not by the laboratory's own hand: the runtime dumps its stacks and exits
	}})
	if err != nil {
		t.Fatal(err)
	}
	if sum.Held() || sum.Rule != fleetcheck.RuleNoCrash || sum.First.Process != "g1" {
		t.Errorf("%s: %v", sum.Rule, sum.First)
	}
}
