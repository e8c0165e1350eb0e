package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"beammux/internal/scalelab"
)

// A run that is stopped by SIGINT exits cleanly, reports that it was stopped, writes its report and leaves no process behind.
func TestLabScaleStoppedBySIGINT(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "run")
	report := filepath.Join(t.TempDir(), "report.json")
	cmd := newProgram("lab", "scale", "--gatekeepers", "6", "--control", "3", "--voters", "3", "--length", "30s", "--dir", dir, "--json", report)
	var out bytes.Buffer
	cmd.Stdout = &out
	lines := startProgram(t, cmd)
	for lines.Scan() && !strings.Contains(lines.Text(), " changes, ") {
	}
	require.NotEmpty(t, processesIn(t, dir), "the run started no process")
	cmd.Process.Signal(syscall.SIGINT)
	for lines.Scan() {
	}
	cmd.Wait()
	require.Equal(t, 130, cmd.ProcessState.ExitCode(), out.String())
	require.Empty(t, processesIn(t, dir))
	text, err := os.ReadFile(report)
	require.NoError(t, err)
	var r scalelab.Report
	require.NoError(t, json.Unmarshal(text, &r))
	require.True(t, r.Stopped)
	require.False(t, r.Passed())
}

// processesIn lists the processes with a given working directory.
func processesIn(t *testing.T, dir string) (found []string) {
	t.Helper()
	links, err := filepath.Glob("/proc/[0-9]*/cwd")
	require.NoError(t, err)
	for _, link := range links {
		if at, err := os.Readlink(link); err == nil && at == dir {
			found = append(found, link)
		}
	}
	return found
}

func TestLabScaleBadInput(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.yaml")
	require.NoError(t, os.WriteFile(bad, []byte("faults:\n- {fault: kill-leder}\n"), 0o600))
	for _, row := range []struct {
		args []string
		want string
	}{
		{[]string{"--faults", "pause"}, `--faults: "pause" is no kind of fault`},
		{[]string{"--faults", bad}, `bad.yaml:2: fault "kill-leder" is no kind; did you mean "kill-leader"?`},
		{[]string{"--gatekeepers", "0"}, "--gatekeepers: 0 is not 1 to 20000"},
		{[]string{"--with", "gossip"}, `--with: "gossip" is not one of membership, registers, limits`},
		{[]string{"--control", "0"}, "--control: 0 needs --with membership"},
		{[]string{"--faults", "restart", "--length", "10s"}, "the faults end at 2m5s"},
	} {
		_, errs, code := run(t, append([]string{"lab", "scale"}, row.args...)...)
		if code != 1 || !strings.Contains(errs, row.want) {
			t.Errorf("%v: exit %d, %s", row.args, code, errs)
		}
	}
	_, errs, code := run(t, "lab", "scale-series", bad)
	if code != 1 || !strings.Contains(errs, "is no report of a run") {
		t.Errorf("exit %d, %s", code, errs)
	}
}
