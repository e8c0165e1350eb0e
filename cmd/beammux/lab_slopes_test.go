package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"beammux/internal/capacity"
)

// Invalid flags are reported in one line before anything is started.
func TestLabSlopesBadInput(t *testing.T) {
	for want, args := range map[string][]string{
		`"none" is no group; there are commits, snapshots, gossip, leases, figures`: {"--only", "none"},
		"2 repetitions: at least 3": {"--repetitions", "2"},
	} {
		text, err := newProgram(append([]string{"lab", "slopes"}, args...)...).CombinedOutput()
		if err == nil || strings.TrimSpace(string(text)) != "beammux: "+want {
			t.Errorf("%v: %v, printed %s", args, err, text)
		}
	}
}

// A run that is stopped by SIGINT writes the values measured so far, in the form that package capacity reads, and exits with 1.
func TestLabSlopesStoppedBySIGINT(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "series.json")
	cmd := newProgram("lab", "slopes", "--only", "leases", "--json", file, "--dir", dir, "--beside", "a test")
	lines := startProgram(t, cmd)
	for lines.Scan() && !strings.Contains(lines.Text(), "leases: 50 holders") {
	}
	cmd.Process.Signal(syscall.SIGINT)
	last := ""
	for lines.Scan() {
		last = lines.Text()
	}
	cmd.Wait()
	if code := cmd.ProcessState.ExitCode(); code != 1 || last != "beammux: leases: context canceled" {
		t.Errorf("exit %d, last line %q", code, last)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	measured, err := capacity.ParseFile(file, text)
	if err != nil {
		t.Fatal(err)
	}
	if s := measured.Series[0]; s.Points[0].N != 50 || len(s.Points[0].Values) != 3 ||
		s.Command != "beammux lab slopes --only leases --repetitions 3 --json FILE" {
		written, _ := json.Marshal(s)
		t.Errorf("%s", written)
	}
	if left, err := filepath.Glob(filepath.Join(dir, "slopes-*")); err != nil || len(left) > 0 {
		t.Errorf("files left behind: %v, %v", left, err)
	}
}
