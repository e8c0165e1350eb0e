package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"beammux/internal/porttest"
)

// `fleet members` and `fleet view` print the view of a running gatekeeper. A gatekeeper without a fleet and one that does not
// answer have specific exit codes, and the fleet's metrics exist only if the fleet is on.
func TestFleetCommands(t *testing.T) {
	dir := t.TempDir()
	config := filepath.Join(dir, "config.json")
	if err := os.WriteFile(config, []byte(`{"name":"g1","listen":"127.0.0.1:0","settings":{"classes":[{"name":"menu-view","repeat":"read_like"}]}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, on := range []bool{true, false} {
		deploy := filepath.Join(dir, fmt.Sprint("deploy", on))
		text := "{}"
		if on {
			text = `{"fleet":{"zone":"east","region":"tx","bind":"127.0.0.1:0",
"limits":{"parts":2,"rules":[{"name":"views","match":{"class":"menu-view"},"mode":"near","per_s":40,"burst":8}]}}}`
		}
		if err := os.WriteFile(deploy, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := newProgram("serve", "--deploy", deploy, "--log-format", "json")
		cmd.Env = append(cmd.Env, "PROXY_CONFIG="+config, "PROXY_ADMIN_ADDR=127.0.0.1:0")
		admin := startUntilLogged(t, cmd, "operators' address serving")
		for !isReady(t, admin) {
		}
		out, errs, code := run(t, "fleet", "members", "--admin", admin)
		if on && (code != 0 || !strings.Contains(out, "g1 *") || !strings.Contains(out, "east")) {
			t.Errorf("members: exit %d, %s%s", code, out, errs)
		}
		if !on && (code != exitFleetOff || !strings.Contains(errs, "the fleet is off")) {
			t.Errorf("off: exit %d, %s", code, errs)
		}
		out, _, code = run(t, "fleet", "view", "--admin", admin, "--json")
		var s fleetStatus
		if on && (code != 0 || json.Unmarshal([]byte(out), &s) != nil || s.Name != "g1" || s.Hash == "" || s.Members[0].State != "ready") {
			t.Errorf("view: exit %d, %s", code, out)
		}
		if on { // SIGHUP changes the limits
			limit := func() float64 {
				var s fleetStatus
				out, _, _ := run(t, "fleet", "view", "--admin", admin, "--json")
				if json.Unmarshal([]byte(out), &s) != nil || s.Limits == nil || len(s.Limits.Rules) != 1 {
					t.Fatalf("no limits in %s", out)
				}
				return s.Limits.Rules[0].PerS
			}
			if err := os.WriteFile(deploy, []byte(strings.Replace(text, `"per_s":40`, `"per_s":30`, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			cmd.Process.Signal(syscall.SIGHUP)
			for end := time.Now().Add(10 * time.Second); limit() == 40 && time.Now().Before(end); {
			}
			if out, _, _ := run(t, "fleet", "view", "--admin", admin); limit() != 30 || !strings.Contains(out, "views") || !strings.Contains(out, "30/s") {
				t.Errorf("limit %g after the reload, view: %s", limit(), out)
			}
		}
		resp, err := httpGet(admin, "/api/telemetry")
		if err != nil || strings.Contains(resp, `proxy_fleet_limit_rate{rule="views"}`) != on || strings.Contains(resp, `proxy_fleet_registers{topic="rates"} 1`) != on {
			t.Errorf("fleet on %v: %v, figures\n%s", on, err, resp)
		}
		if err != nil || strings.Contains(resp, `proxy_fleet_members{state="alive"} 1`) != on || strings.Contains(resp, "proxy_fleet_view_changes_total") != on {
			t.Errorf("fleet on %v: %v, figures\n%s", on, err, resp)
		}
		cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil {
			t.Errorf("ended with %v", err)
		}
	}
	if _, errs, code := run(t, "fleet", "members", "--admin", porttest.Reserve(t)); code != exitNoAnswer || !strings.Contains(errs, "does not answer") {
		t.Errorf("no listener: exit %d, %s", code, errs)
	}
}
