package main

import (
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

const example, exampleConfig = "deploy/example/beammux.json", "deploy/example/gatekeeper.json"

// run runs the program to completion and returns its output and exit code.
func run(t *testing.T, args ...string) (stdout, stderr string, code int) {
	t.Helper()
	cmd := newProgram(args...)
	var errs strings.Builder
	cmd.Stderr = &errs
	out, err := cmd.Output()
	var ended *exec.ExitError
	if err != nil && !errors.As(err, &ended) {
		t.Fatal(err)
	}
	return string(out), errs.String(), cmd.ProcessState.ExitCode()
}

// editedExample writes a copy of the example deploy file with replacements and returns its path.
func editedExample(t *testing.T, replace ...string) string {
	t.Helper()
	text, err := os.ReadFile("../../" + example)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "calls.json")
	if err := os.WriteFile(file, []byte(strings.NewReplacer(replace...).Replace(string(text))), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestCallsCheck(t *testing.T) {
	out, _, code := run(t, "calls", "check", example, "--config", exampleConfig)
	if code != 0 || !strings.Contains(out, ": good: 1 classes, 1 routes, version ") {
		t.Errorf("exit %d, %s", code, out)
	}
	bad := editedExample(t, `"attempts": 4`, `"attempts": 6`, `"retry_wait_ms": 300`, `"retry_wait_ms": 20`)
	_, errs, code := run(t, "calls", "check", bad, "--config", exampleConfig)
	lines := strings.Split(strings.TrimSpace(errs), "\n")
	if code != 1 || len(lines) != 2 || !strings.HasPrefix(lines[0], bad+":7:") || !strings.HasPrefix(lines[1], bad+":10:32: calls.classes.diet-order.attempts: 6 is over 5") {
		t.Errorf("exit %d, %s", code, errs)
	}
	out, _, code = run(t, "calls", "check", bad, "--config", exampleConfig, "--json")
	var answer struct {
		Good   bool
		Faults []struct {
			Line, Col  int
			Path, What string
		}
	}
	if err := json.Unmarshal([]byte(out), &answer); err != nil || code != 1 || answer.Good || len(answer.Faults) != 2 || answer.Faults[1].Line != 10 {
		t.Errorf("exit %d, %v, %s", code, err, out)
	}
	if _, errs, code = run(t, "calls", "check", "no-such-file", "--config", exampleConfig); code != 1 || !strings.Contains(errs, "no-such-file: can't be read") {
		t.Errorf("exit %d, %s", code, errs)
	}
}

func TestCallsExplain(t *testing.T) {
	args := []string{"calls", "explain", example, "--config", exampleConfig, "--class", "menu-view", "--number", "7f3a", "--first-choice", "3"}
	out, _, code := run(t, append(args, "--json")...)
	var e explanation
	if err := json.Unmarshal([]byte(out), &e); err != nil || code != 0 || e.Route != "el-paso wards" || len(e.Worst) != 2 ||
		e.Worst[1].EndMs != 2950 || e.Limits[0] != (configValue{"attempts", "2", "calls.routes[0]", example + ":15"}) {
		t.Errorf("exit %d, %v, %s", code, err, out)
	}
	if out, _, code = run(t, args...); code != 0 || !strings.Contains(out, "2950 ms  the call gets its final answer") {
		t.Errorf("exit %d, %s", code, out)
	}
	if out, _, code = run(t, append(args, "--again")...); code != 0 || !strings.Contains(out, "no route: the class's limits") {
		t.Errorf("exit %d, %s", code, out)
	}
	args[6] = "menu-veiw"
	if _, errs, code := run(t, args...); code != 1 || !strings.Contains(errs, `did you mean "menu-view"?`) {
		t.Errorf("exit %d, %s", code, errs)
	}
}

func TestCallsDiff(t *testing.T) {
	if out, _, code := run(t, "calls", "diff", example, example, "--config", exampleConfig); code != 0 || out != "" {
		t.Errorf("exit %d, %s", code, out)
	}
	other := editedExample(t, `"attempts": 4`, `"attempts": 2`)
	out, _, code := run(t, "calls", "diff", example, other, "--config", exampleConfig)
	if code != 1 || strings.Join(strings.Fields(out), " ") != "diet-order attempts 4 -> 2" {
		t.Errorf("exit %d, %s", code, out)
	}
	if _, errs, code := run(t, "calls", "diff", example, editedExample(t, `"attempts": 4`, `"attempts": 0`), "--config", exampleConfig); code != 2 || errs == "" {
		t.Errorf("exit %d, %s", code, errs)
	}
}

// `config show` prints the values that a start would put in force, with the version of the limits that `serve` logs.
func TestConfigShowMatchesServe(t *testing.T) {
	out, _, code := run(t, "config", "show", "--config", exampleConfig, "--deploy", example, "--json")
	var all []configValue
	if err := json.Unmarshal([]byte(out), &all); err != nil || code != 0 {
		t.Fatalf("exit %d, %v", code, err)
	}
	byKey := map[string]configValue{}
	for _, f := range all {
		byKey[f.Key] = f
	}
	if f := byKey["sip.udp"]; f.Value != "127.0.0.1:5070" || f.From != example+":3" {
		t.Errorf("%+v", f)
	}
	if f := byKey["calls of diet-order: attempts"]; f.Value != "4" || f.Where != example+":10" {
		t.Errorf("%+v", f)
	}
	version := byKey["calls"].Value

	cmd := newProgram("--log-format", "json", "serve", "--config", exampleConfig, "--listen", "127.0.0.1:0", "--deploy",
		editedExample(t, "127.0.0.1:5070", "127.0.0.1:0"))
	logged := ""
	for lines := startProgram(t, cmd); lines.Scan(); {
		var l struct{ Msg, Calls string }
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			t.Errorf("not JSON: %s", lines.Text())
		}
		if l.Msg == "serving" {
			logged = l.Calls
			cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	if err := cmd.Wait(); err != nil || logged != version || len(version) != 16 {
		t.Errorf("%v, version %q logged, %q shown", err, logged, version)
	}
}
