package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/internal/lab"
	"beammux/internal/porttest"
)

// controlGroup is a group of control machines, each in its own process.
type controlGroup struct {
	names, addresses, files, admin []string
	processes                      []*exec.Cmd
}

// startControl starts control machines, the last one without a vote, and waits until all are ready. They validate settings
// against a gatekeeper's configuration.
func startControl(t *testing.T, count int, configuration string) *controlGroup {
	t.Helper()
	g := &controlGroup{addresses: porttest.ReserveAll(t, count), processes: make([]*exec.Cmd, count), admin: make([]string, count)}
	dir := t.TempDir()
	var peers []map[string]any
	for i, address := range g.addresses {
		g.names = append(g.names, fmt.Sprint("c", i+1))
		peers = append(peers, map[string]any{"node": g.names[i], "address": address, "voter": i < max(1, count-1)})
	}
	for i, name := range g.names {
		file := filepath.Join(dir, name+".json")
		writeJSON(t, file, map[string]any{"name": name, "zone": "z1", "region": "r1", "gatekeeper": configuration,
			"store": map[string]any{"listen": g.addresses[i], "peers": peers, "dir": filepath.Join(dir, name)}})
		g.files = append(g.files, file)
		g.processes[i] = newProgram("control", "serve", "--file", file, "--admin-addr", "127.0.0.1:0", "--log-format", "json")
		g.admin[i] = startUntilLogged(t, g.processes[i], "operators' address serving")
	}
	t.Cleanup(func() {
		for _, p := range g.processes {
			p.Process.Kill()
			p.Wait()
		}
	})
	for _, admin := range g.admin {
		require.Eventually(t, func() bool { return isReady(t, admin) }, 20*time.Second, 20*time.Millisecond)
	}
	return g
}

// writeJSON writes a value to a file as JSON.
func writeJSON(t *testing.T, file string, value any) {
	t.Helper()
	text, err := json.Marshal(value)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(file, text, 0o600))
}

// textFile writes a file in a temporary directory and returns its path.
func textFile(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

var plainConfiguration = `{"name":"g1","listen":"127.0.0.1:0","settings":` + lab.Settings(1) + `}`

// Every control machine, voter or not, refuses invalid settings with a line for each error, and commits nothing of the
// transaction. A valid transaction is written at one revision and reaches every machine.
func TestControlMachinesCheckWrites(t *testing.T) {
	g := startControl(t, 3, textFile(t, "config.json", plainConfiguration))
	good := textFile(t, "good", `{"defaults":{"attempts":2}}`)
	bad := textFile(t, "bad", "{\"defaults\":\n{\"atempts\":2}, \"x\":1}")
	inventory := textFile(t, "servers.csv", "name,address\ns-1,nowhere\n")
	for _, address := range g.addresses {
		_, errs, code := run(t, "store", "put", "settings/all/calls", bad, "--store", address)
		require.Equal(t, 1, code, errs)
		require.Equal(t, "settings/all/calls:2:2: calls.defaults.atempts: unknown key; did you mean \"attempts\"?\n"+
			"settings/all/calls:2:16: calls.x: unknown key\n", errs)
	}
	_, errs, code := run(t, "store", "put", "settings/all/inventory", inventory, "--store", g.addresses[0])
	require.Equal(t, 1, code)
	require.Equal(t, "settings/all/inventory:3:1: address: not host and port: \"nowhere\"\n", errs)
	_, errs, code = run(t, "store", "apply", "settings/all/calls="+good, "settings/zone/z1/cals="+good, "other="+bad, "--store", g.addresses[2])
	require.Equal(t, 1, code)
	require.Equal(t, 1, strings.Count(errs, "\n"), errs)
	require.Contains(t, errs, `settings/zone/z1/cals: is no key of settings; did you mean "calls"?`)
	out, _, code := run(t, "store", "list", "--store", g.addresses[0])
	require.Zero(t, code)
	require.Empty(t, out, "a refused transaction was written")

	out, errs, code = run(t, "store", "apply", "settings/all/calls="+good, "settings/zone/z1/calls="+good, "--at", "settings/zone/z1/calls=0",
		"--delete", "settings/zone/z2/calls", "--store", g.addresses[2], "--json")
	require.Zero(t, code, errs)
	var written struct{ Revision uint64 }
	require.NoError(t, json.Unmarshal([]byte(out), &written))
	for _, address := range g.addresses {
		want := fmt.Sprintf("settings/all/calls      revision %d  27 bytes\nsettings/zone/z1/calls  revision %[1]d  27 bytes\n", written.Revision)
		require.Eventually(t, func() bool {
			out, _, _ := run(t, "store", "list", "--store", address)
			return out == want
		}, 5*time.Second, 20*time.Millisecond)
	}
	_, _, code = run(t, "store", "apply", "settings/all/limits="+textFile(t, "l", `{"parts":1,"rules":[]}`), "--delete", "settings/all/calls",
		"--at", "settings/all/calls=1", "--store", g.addresses[1])
	require.Equal(t, exitRevision, code)
	_, errs, code = run(t, "store", "apply", "settings/all/calls", "--store", g.addresses[1])
	require.Equal(t, exitUsage, code, errs)
	out, errs, code = run(t, "control", "sessions", "--store", g.addresses[1])
	require.Zero(t, code, errs)
	require.Equal(t, 1, strings.Count(out, "\n"), "sessions without any gatekeeper: %s", out)
}

// A leader that receives SIGTERM exits cleanly, and the remaining machines accept writes. The metrics show which machine leads
// and which vote.
func TestControlMachineDrains(t *testing.T) {
	g := startControl(t, 4, textFile(t, "config.json", plainConfiguration))
	good := textFile(t, "good", `{"defaults":{"attempts":2}}`)
	leader := -1
	for i, admin := range g.admin {
		metrics, err := httpGet(admin, "/api/telemetry")
		require.NoError(t, err)
		if strings.Contains(metrics, "proxy_control_leads 1\n") {
			leader = i
		}
		require.Contains(t, metrics, fmt.Sprintf("proxy_control_votes %d\n", map[bool]int{true: 1}[i < 3]))
		require.Contains(t, metrics, "proxy_control_members 4\n")
		require.Contains(t, metrics, "proxy_control_sessions 0\n")
		require.Contains(t, metrics, `proxy_control_fleet{state="holding"} 0`)
	}
	require.GreaterOrEqual(t, leader, 0, "no machine leads")
	require.NoError(t, g.processes[leader].Process.Signal(syscall.SIGTERM))
	require.NoError(t, g.processes[leader].Wait())
	_, errs, code := run(t, "store", "put", "settings/all/calls", good, "--store", g.addresses[(leader+1)%4], "--timeout", "10s")
	require.Zero(t, code, errs)
}

// SIGHUP makes a control machine validate writes against the current contents of the gatekeeper's configuration.
func TestControlMachineReloads(t *testing.T) {
	configuration := textFile(t, "config.json", `{"name":"g1","listen":"127.0.0.1:0","settings":`+settingsWithAttempts(3)+`}`)
	g := startControl(t, 1, configuration)
	four := textFile(t, "calls", fourAttempts)
	put := func() int {
		_, _, code := run(t, "store", "put", "settings/all/calls", four, "--store", g.addresses[0])
		return code
	}
	require.Equal(t, 1, put())
	require.NoError(t, os.WriteFile(configuration, []byte("{"), 0o600))
	require.NoError(t, g.processes[0].Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, 1, put(), "an invalid file must change nothing")
	require.NoError(t, os.WriteFile(configuration, []byte(`{"name":"g1","listen":"127.0.0.1:0","settings":`+settingsWithAttempts(5)+`}`), 0o600))
	require.NoError(t, g.processes[0].Process.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool { return put() == 0 }, 10*time.Second, 20*time.Millisecond)
}

// Errors in a control machine's file are printed as lines with file, line, column and key, and the program exits with 1.
func TestBadControlFile(t *testing.T) {
	file := textFile(t, "c.json", `{"name":"c1","store":{"listen":"127.0.0.1:0","pers":[]}}`)
	for _, args := range [][]string{{"control", "serve", "--file", file}, {"control", "check", file}} {
		_, errs, code := run(t, args...)
		require.Equal(t, 1, code)
		require.Equal(t, file+`:1:14: store.peers: missing: all control machines, this one included`+"\n"+
			file+`:1:46: store.pers: unknown key; did you mean "peers"?`+"\n", errs)
	}
	out, errs, code := run(t, "control", "check", "deploy/example/control.json")
	require.Zero(t, code, errs)
	require.Contains(t, out, "control machine control-1 at 127.0.0.1:7401, 3 members; settings are validated against deploy/example/gatekeeper.json")
}

// check-config checks the value of a settings record in the same way as a control machine.
func TestCheckConfigChecksSettingsRecord(t *testing.T) {
	configuration := textFile(t, "config.json", plainConfiguration)
	value := textFile(t, "value", `{"classes":{"menu-vew":{"attempts":1}}}`)
	_, errs, code := run(t, "check-config", configuration, "--settings", value, "--key", "settings/all/calls")
	require.Equal(t, 1, code)
	require.Equal(t, `settings/all/calls:1:13: calls.classes.menu-vew: the settings name no such class: "menu-vew"; did you mean "menu-view"?`+"\n", errs)
	_, _, code = run(t, "check-config", configuration, "--settings", value)
	require.Equal(t, exitUsage, code)
	value = textFile(t, "value", `{"classes":{"menu-view":{"attempts":1}}}`)
	out, errs, code := run(t, "check-config", configuration, "--settings", value, "--key", "settings/all/calls")
	require.Zero(t, code, errs)
	require.Contains(t, out, "good: gatekeeper g1")
}
