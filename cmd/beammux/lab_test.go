package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
)

// A run that is stopped by SIGINT exits cleanly, reports that it was stopped, writes its summary and leaves no process behind.
func TestLabStoppedBySIGINT(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "run")
	cmd := newProgram("lab", "fleet", "run", "--gatekeepers", "3", "--servers", "2", "--zones", "1", "--faults", "pause", "--out", dir)
	var out bytes.Buffer
	cmd.Stdout = &out
	lines := startProgram(t, cmd)
	for lines.Scan() && !strings.Contains(lines.Text(), " pause g") {
	}
	cmd.Process.Signal(syscall.SIGINT)
	for lines.Scan() {
	}
	cmd.Wait()
	if code := cmd.ProcessState.ExitCode(); code != 130 {
		t.Errorf("exit %d", code)
	}
	if !strings.Contains(out.String(), "stopped before its time") {
		t.Errorf("printed %s", out.String())
	}
	f, err := os.Open(filepath.Join(dir, "run.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	pids := 0
	for in := bufio.NewScanner(f); in.Scan(); {
		var l struct{ Kind, What string }
		if err := json.Unmarshal(in.Bytes(), &l); err != nil {
			t.Fatal(err)
		}
		if pid, err := strconv.Atoi(strings.TrimPrefix(l.What, "pid ")); l.Kind == "ready" && err == nil {
			pids++
			if err := syscall.Kill(pid, 0); err != syscall.ESRCH {
				t.Errorf("process %d still exists: %v", pid, err)
			}
		}
	}
	if pids != 3 {
		t.Errorf("%d processes", pids)
	}
	if _, err := os.Stat(filepath.Join(dir, "summary.json")); err != nil {
		t.Error(err)
	}
}

func TestLabBadInput(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.yaml")
	if err := os.WriteFile(bad, []byte("version: 1\nseed: x\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, row := range []struct {
		args []string
		want string
	}{
		{[]string{"lab", "fleet", "draw", "--faults", "kil"}, `did you mean "kill"?`},
		{[]string{"lab", "fleet", "draw", "--gatekeepers", "40"}, `gatekeepers: "40" is not a whole number from 1 to 32`},
		{[]string{"lab", "fleet", "draw", "--load", "9"}, "--load: 9 is not greater than 0 and at most 3"},
		{[]string{"lab", "fleet", "run", "--out", dir, "--faults", "kill"}, "is not empty"},
		{[]string{"lab", "fleet", "replay", bad, "--out", filepath.Join(dir, "o")}, `bad.yaml:2:7: seed: "x" is not a whole number of 64 bits`},
		{[]string{"lab", "fleet", "check", dir}, "not the directory of a run"},
	} {
		_, errs, code := run(t, row.args...)
		if code != 1 || !strings.Contains(errs, row.want) {
			t.Errorf("%v: exit %d, %s", row.args, code, errs)
		}
	}
	one, _, _ := run(t, "lab", "fleet", "draw", "--seed", "5")
	two, _, code := run(t, "lab", "fleet", "draw", "--seed", "5")
	if one != two || code != 0 || !strings.Contains(one, "fault: partition") {
		t.Errorf("exit %d, two generated scripts differ: %v", code, one != two)
	}
}
