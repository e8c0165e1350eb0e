package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/internal/follow"
	"beammux/internal/lab"
)

// inForceWithin bounds how long a change may take to be in force at all gatekeepers of these tests. It is the operators' bound of
// 17 s, which also leaves room for a busy machine.
const inForceWithin = 17 * time.Second

// gatekeeperProcess is a gatekeeper in its own process, with fake servers, that may follow control machines.
type gatekeeperProcess struct {
	name, dir              string
	cmd                    *exec.Cmd
	callersAddr, adminAddr string

	mu  sync.Mutex
	log []string
}

// start starts the process with the files in its directory, and returns once it serves.
func (g *gatekeeperProcess) start(t *testing.T) {
	t.Helper()
	g.cmd = newProgram("serve", "--deploy", filepath.Join(g.dir, "deploy.json"), "--log-format", "json")
	g.cmd.Env = append(g.cmd.Env, "PROXY_CONFIG="+filepath.Join(g.dir, "config.json"), "PROXY_ADMIN_ADDR=127.0.0.1:0", "TMPDIR="+g.dir)
	stderr, err := g.cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, g.cmd.Start())
	process := g.cmd.Process
	t.Cleanup(func() { process.Kill() })
	serving := make(chan struct{})
	go func() {
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			var line struct{ Msg, Listen string }
			json.Unmarshal(lines.Bytes(), &line)
			g.mu.Lock()
			g.log = append(g.log, lines.Text())
			switch line.Msg {
			case "operators' address serving":
				g.adminAddr = line.Listen
			case "serving":
				g.callersAddr = line.Listen
			}
			g.mu.Unlock()
			if line.Msg == "serving" {
				close(serving)
			}
		}
	}()
	select {
	case <-serving:
	case <-time.After(20 * time.Second):
		t.Fatalf("%s does not serve:\n%s", g.name, g.logText())
	}
}

// logText returns the log lines of the process so far.
func (g *gatekeeperProcess) logText() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return strings.Join(g.log, "\n")
}

// stop sends a signal to the process and waits until it exits. After SIGTERM it must exit without an error.
func (g *gatekeeperProcess) stop(t *testing.T, sig syscall.Signal) {
	t.Helper()
	require.NoError(t, g.cmd.Process.Signal(sig))
	err := g.cmd.Wait()
	if sig == syscall.SIGTERM {
		require.NoError(t, err, g.logText())
	}
}

// gatekeeperStatus holds the settings and limits in the answer to GET /api/fleet.
type gatekeeperStatus struct {
	Settings follow.Status
	Limits   struct {
		Rules []struct {
			Name   string
			PerS   float64 `json:"per_s"`
			Turned int64   `json:"turned_away"`
			Lease  int64   `json:"lease_left_us"`
		}
	}
}

// status queries the operators' address for the settings and limits in force.
func (g *gatekeeperProcess) status(t *testing.T) (s gatekeeperStatus) {
	t.Helper()
	text, err := httpGet(g.adminAddr, "/api/fleet")
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal([]byte(text), &s), text)
	return s
}

// section returns the key and revision of the record that a section in force comes from.
func (s gatekeeperStatus) section(name string) (key string, revision uint64) {
	for _, in := range s.Settings.Sections {
		if in.Section == name {
			return in.Key, in.Revision
		}
	}
	return "", 0
}

// eventually waits until the status of every gatekeeper fulfils a condition.
func eventually(t *testing.T, condition string, all []*gatekeeperProcess, fulfilled func(gatekeeperStatus) bool) {
	t.Helper()
	began := time.Now()
	for _, g := range all {
		var last gatekeeperStatus
		for !fulfilled(last) {
			if time.Since(began) > inForceWithin {
				t.Fatalf("%s: %s not within %v; last status %+v", g.name, condition, inForceWithin, last)
			}
			time.Sleep(10 * time.Millisecond)
			last = g.status(t)
		}
	}
	t.Logf("%s: seen at %d gatekeepers after %v", condition, len(all), time.Since(began).Round(time.Millisecond))
}

// settingsWithAttempts returns a gatekeeper's settings with a maximum number of attempts.
func settingsWithAttempts(attempts int) string {
	return strings.Replace(lab.Settings(3), `"attempts-cap":5`, fmt.Sprintf(`"attempts-cap":%d`, attempts), 1)
}

// newGatekeeper writes the files of a gatekeeper. more holds additional keys of its deploy file.
func newGatekeeper(t *testing.T, name, servers string, attempts int, more map[string]any) *gatekeeperProcess {
	t.Helper()
	g := &gatekeeperProcess{name: name, dir: t.TempDir()}
	configuration := fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:0","settings":%s}`, name, settingsWithAttempts(attempts))
	require.NoError(t, os.WriteFile(filepath.Join(g.dir, "config.json"), []byte(configuration), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(g.dir, "servers.csv"), []byte(servers), 0o600))
	deploy := map[string]any{"inventory": filepath.Join(g.dir, "servers.csv")}
	for key, value := range more {
		deploy[key] = value
	}
	writeJSON(t, filepath.Join(g.dir, "deploy.json"), deploy)
	return g
}

// deploySection returns the section control of the deploy file of a gatekeeper in a zone.
func (g *controlGroup) deploySection(zone string) map[string]any {
	var replicas []map[string]any
	for i, name := range g.names {
		replicas = append(replicas, map[string]any{"name": name, "address": g.addresses[i], "zone": "z1", "region": "r1"})
	}
	return map[string]any{"zone": zone, "region": "r1", "service": "menus", "replicas": replicas}
}

// apply writes records in one transaction and returns its revision.
func (g *controlGroup) apply(t *testing.T, args ...string) uint64 {
	t.Helper()
	out, errs, code := run(t, append(append([]string{"store", "apply"}, args...), "--store", g.addresses[0], "--json")...)
	require.Zero(t, code, errs)
	var written struct{ Revision uint64 }
	require.NoError(t, json.Unmarshal([]byte(out), &written))
	return written.Revision
}

// startServers starts fake menu servers and returns them with the inventory that lists them.
func startServers(t *testing.T, count int) ([]*lab.Server, string) {
	t.Helper()
	var servers []*lab.Server
	list := "name,address,cell\n"
	for i := range count {
		s, err := lab.NewServer(lab.PlatformWork(), uint64(i))
		require.NoError(t, err)
		t.Cleanup(s.Close)
		servers = append(servers, s)
		list += fmt.Sprintf("s-%08x,%s,%d\n", i+1, s.Addr(), i)
	}
	return servers, list
}

// outcomeRecorder records the outcome of each call that the callers make.
type outcomeRecorder struct {
	mu         sync.Mutex
	outcomes   map[string]lab.ObservationKind // by call; Tried until it has an answer
	unexpected map[lab.ObservationKind]int    // outcomes that no call should have
}

// record notes what a caller saw of a call.
func (c *outcomeRecorder) record(s lab.Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s.Kind {
	case lab.Tried, lab.Established, lab.Refused, lab.Failed:
		c.outcomes[s.Call] = s.Kind
	case lab.Unsent, lab.SecondAnswer, lab.Unanswered, lab.Broken:
		c.unexpected[s.Kind]++
	}
}

// requireNoneLost checks that every call got exactly one answer, and returns the number of calls by outcome.
func (c *outcomeRecorder) requireNoneLost(t *testing.T) map[lab.ObservationKind]int {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	ends := map[lab.ObservationKind]int{}
	for _, kind := range c.outcomes {
		ends[kind]++
	}
	t.Logf("%d calls: %v; unexpected: %v", len(c.outcomes), ends, c.unexpected)
	require.Empty(t, c.unexpected, "calls lost, answered twice or not sent")
	require.Zero(t, ends[lab.Tried], "calls without an answer")
	require.Zero(t, ends[lab.Failed], "failed calls")
	return ends
}

const (
	trayLimit     = `{"parts":1,"rules":[{"name":"trays","match":{"class":"tray-count"},"mode":"alone","per_s":0.5,"burst":1}]}`
	twoAttempts   = `{"defaults":{"attempts":2}}`
	threeAttempts = `{"defaults":{"attempts":3}}`
	fourAttempts  = `{"defaults":{"attempts":4}}`
)

// Settings come into force in all gatekeepers while calls are made, and no call is lost. Limits of the fleet and of calls change in
// one transaction, and a SIGHUP does not undo them. A gatekeeper whose site forbids a value refuses it with key, line and column
// and keeps the last good settings, and all gatekeepers report the refusal. A record in a narrower scope takes precedence, and
// after a section is deleted the deploy file applies again.
func TestSettingsChangeDuringCalls(t *testing.T) {
	const length = 8 * time.Second
	group := startControl(t, 3, textFile(t, "config.json", `{"name":"g1","listen":"127.0.0.1:0","settings":`+settingsWithAttempts(5)+`}`))
	servers, list := startServers(t, 4)
	var all []*gatekeeperProcess
	for i, zone := range []string{"z1", "z1", "z2"} {
		attempts := 5
		if zone == "z2" {
			attempts = 3
		}
		g := newGatekeeper(t, fmt.Sprint("g", i+1), list, attempts, map[string]any{"control": group.deploySection(zone)})
		g.start(t)
		all = append(all, g)
	}
	g1, g3 := all[0], all[2]

	recorder := &outcomeRecorder{outcomes: map[string]lab.ObservationKind{}, unexpected: map[lab.ObservationKind]int{}}
	callers := lab.NewCallers(lab.Load{Seed: 1, Gatekeepers: len(all), Servers: len(servers), PerS: 24, Length: length, Observer: recorder.record,
		FirstTarget: func(rng *rand.Rand) (home, dest int) { return rng.IntN(len(all)), rng.IntN(len(servers)) }})
	ctx, disconnect := context.WithCancel(t.Context())
	var connections sync.WaitGroup
	defer connections.Wait()
	defer disconnect()
	for i, g := range all {
		connections.Go(func() { callers.MaintainConnection(ctx, i, g.callersAddr) })
	}
	require.Eventually(t, func() bool { return callers.Available() == len(all) }, 10*time.Second, 10*time.Millisecond)
	finished := make(chan struct{})
	go func() { defer close(finished); callers.PlaceCalls(ctx) }()

	initial := group.apply(t, "settings/all/limits="+textFile(t, "limits", trayLimit), "settings/all/calls="+textFile(t, "calls", twoAttempts))
	eventually(t, "limits and calls in force", all, func(s gatekeeperStatus) bool {
		_, limits := s.section("limits")
		_, calls := s.section("calls")
		return limits == initial && calls == initial && len(s.Limits.Rules) == 1 && s.Limits.Rules[0].PerS == 0.5
	})
	eventually(t, "calls turned away by the limit", all, func(s gatekeeperStatus) bool { return s.Limits.Rules != nil && s.Limits.Rules[0].Turned > 0 })

	writeJSON(t, filepath.Join(g1.dir, "deploy.json"), map[string]any{"inventory": filepath.Join(g1.dir, "servers.csv"),
		"control": group.deploySection("z1"), "calls": map[string]any{"defaults": map[string]any{"attempts": 1}}})
	require.NoError(t, g1.cmd.Process.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool { return strings.Contains(g1.logText(), "reloaded event bus") }, inForceWithin, 10*time.Millisecond)
	require.Contains(t, g1.logText(), `"from_control_machines":"calls limits"`)
	require.Equal(t, callsVersion(g1.logText(), "settings in force"), callsVersion(g1.logText(), "reloaded event bus"), "SIGHUP undid the calls of the records")
	require.Len(t, g1.status(t).Limits.Rules, 1, "SIGHUP undid the limits of the records")

	four := group.apply(t, "settings/all/calls="+textFile(t, "calls", fourAttempts))
	eventually(t, "four attempts in force", all[:2], func(s gatekeeperStatus) bool { _, calls := s.section("calls"); return calls == four })
	eventually(t, "refused", all[2:], func(s gatekeeperStatus) bool { return s.Settings.Refused != nil })
	s := g3.status(t)
	require.Equal(t, four, s.Settings.Refused.Revision)
	require.Equal(t, "settings/all/calls:1:14: calls.defaults.attempts: 4 is over 3, the most that the deployment allows", s.Settings.Refused.Fault)
	require.NotEmpty(t, s.Settings.Refused.Advice)
	_, calls := s.section("calls")
	require.Equal(t, initial, calls, "the last good settings are not in force")
	require.Less(t, s.Settings.InForce, four)
	eventually(t, "one of three refused it", all, func(s gatekeeperStatus) bool {
		c := s.Settings.Fleet
		return c != nil && c.Sessions == 3 && c.Holding == 2 && c.Refused == 1
	})
	view, errs, code := run(t, "fleet", "view", "--admin", g1.adminAddr)
	require.Zero(t, code, errs)
	require.Contains(t, view, "of 3 gatekeepers 2 hold revision")
	require.Contains(t, view, "settings/all/calls")
	_, errs, code = run(t, "fleet", "members", "--admin", g1.adminAddr)
	require.Equal(t, exitFleetOff, code)
	require.Contains(t, errs, "the fleet's gossip is off")
	require.Regexp(t, `settings refused.*advice|advice.*settings refused`, g3.logText())
	metrics, err := httpGet(g3.adminAddr, "/api/telemetry")
	require.NoError(t, err)
	for _, want := range []string{"proxy_settings_refused 1\n", "proxy_settings_refused_total 1\n", "proxy_settings_connected 1\n",
		fmt.Sprintf("proxy_settings_seen_revision %d\n", s.Settings.Seen), `proxy_settings_fleet{state="refused"} 1`, `proxy_fleet_limit_turned_away_total{rule="trays"}`} {
		require.Contains(t, metrics, want)
	}
	sessions, errs, code := run(t, "control", "sessions", "--store", group.addresses[0], "--json")
	require.Zero(t, code, errs)
	require.Contains(t, sessions, "[")

	narrow := group.apply(t, "settings/gatekeeper/g3/calls="+textFile(t, "calls", threeAttempts), "--delete", "settings/all/limits")
	eventually(t, "the narrower record in force", all[2:], func(s gatekeeperStatus) bool {
		key, calls := s.section("calls")
		return key == "settings/gatekeeper/g3/calls" && calls == narrow && s.Settings.Refused == nil
	})
	eventually(t, "the limits deleted", all, func(s gatekeeperStatus) bool { return len(s.Limits.Rules) == 0 })
	eventually(t, "held by all", all, func(s gatekeeperStatus) bool { return s.Settings.Fleet != nil && s.Settings.Fleet.Holding == 3 })

	<-finished
	ends := recorder.requireNoneLost(t)
	require.Greater(t, ends[lab.Established], 50)
	require.Positive(t, ends[lab.Refused], "the limit refused no call")
	disconnect()
	for _, g := range all {
		g.stop(t, syscall.SIGTERM)
	}
}

// callsVersion returns the version of the limits of calls in the last log line whose message begins with message.
func callsVersion(log, message string) (version string) {
	for line := range strings.SplitSeq(log, "\n") {
		var l struct{ Msg, Calls string }
		if json.Unmarshal([]byte(line), &l) == nil && strings.HasPrefix(l.Msg, message) {
			version = l.Calls
		}
	}
	return version
}

// With all control machines killed, a gatekeeper continues with its last good settings, also after a restart if it stores them.
// One that does not store them starts within its time limit with its deploy file. Once the machines are back, all follow them
// again.
func TestSettingsWithoutControlMachines(t *testing.T) {
	group := startControl(t, 3, textFile(t, "config.json", `{"name":"g1","listen":"127.0.0.1:0","settings":`+settingsWithAttempts(5)+`}`))
	_, list := startServers(t, 1)
	storing := newGatekeeper(t, "g1", list, 5, map[string]any{"control": group.deploySection("z1"), "store": map[string]any{"dir": t.TempDir()}})
	notStoring := newGatekeeper(t, "g2", list, 5, map[string]any{"control": group.deploySection("z1")})
	all := []*gatekeeperProcess{storing, notStoring}
	for _, g := range all {
		g.start(t)
	}
	first := group.apply(t, "settings/zone/z1/limits="+textFile(t, "limits", trayLimit),
		"settings/service/menus/inventory="+textFile(t, "more.csv", list+"s-000000aa,127.0.0.1:9,0\n"))
	inForce := func(s gatekeeperStatus) bool {
		_, limits := s.section("limits")
		return limits == first && len(s.Limits.Rules) == 1
	}
	eventually(t, "in force", all, inForce)
	for _, p := range group.processes {
		require.NoError(t, p.Process.Kill())
		p.Wait()
	}
	eventually(t, "settings stay in force without control machines", all, func(s gatekeeperStatus) bool { return !s.Settings.Connected && inForce(s) })
	storing.stop(t, syscall.SIGKILL)
	notStoring.stop(t, syscall.SIGTERM)
	storing.log, notStoring.log = nil, nil
	storing.start(t)
	s := storing.status(t)
	require.True(t, inForce(s), "%+v", s)
	require.True(t, s.Settings.RestoredFromDir)
	require.False(t, s.Settings.Connected)
	require.GreaterOrEqual(t, s.Settings.InForce, first)
	targets, err := httpGet(storing.adminAddr, "/api/telemetry")
	require.NoError(t, err)
	require.Contains(t, targets, "proxy_targets 2\n", "the inventory of the records is not in force")
	began := time.Now()
	notStoring.start(t)
	t.Logf("started without control machines and without stored settings in %v", time.Since(began))
	s = notStoring.status(t)
	require.Zero(t, s.Settings.InForce)
	require.Empty(t, s.Limits.Rules)
	require.Contains(t, notStoring.logText(), "serving with the deploy file, the settings follow")
	for i := range group.processes {
		group.processes[i] = newProgram("control", "serve", "--file", group.files[i])
		require.NoError(t, group.processes[i].Start())
	}
	eventually(t, "following again", all, func(s gatekeeperStatus) bool {
		return inForce(s) && s.Settings.Connected && !s.Settings.RestoredFromDir
	})
	for _, g := range all {
		g.stop(t, syscall.SIGTERM)
	}
}

// Limits in a record may be leased from the store members that the record names. The gatekeeper starts without limits, and stops
// leasing once the record is deleted.
func TestLeasedLimitsOfRecords(t *testing.T) {
	group := startControl(t, 1, textFile(t, "config.json", plainConfiguration))
	_, list := startServers(t, 1)
	g := newGatekeeper(t, "g1", list, 5, map[string]any{"control": group.deploySection("z1")})
	g.start(t)
	all := []*gatekeeperProcess{g}
	leased := `{"parts":2,"rules":[{"name":"all","mode":"leased","per_s":9}]}`
	group.apply(t, "settings/all/limits="+textFile(t, "limits", leased))
	eventually(t, "refused without a store to lease from", all, func(s gatekeeperStatus) bool { return s.Settings.Refused != nil })
	require.Contains(t, g.status(t).Settings.Refused.Fault, "settings/all/limits:1:35: fleet.limits.rules[0].mode: leased needs a store")
	group.apply(t, "settings/all/limits="+textFile(t, "limits", strings.Replace(leased, "{", fmt.Sprintf(`{"store":[%q],`, group.addresses[0]), 1)))
	eventually(t, "a lease", all, func(s gatekeeperStatus) bool { return len(s.Limits.Rules) == 1 && s.Limits.Rules[0].Lease > 0 })
	metrics, err := httpGet(g.adminAddr, "/api/telemetry")
	require.NoError(t, err)
	require.Contains(t, metrics, `proxy_fleet_limit_lease_seconds{rule="all"}`)
	group.apply(t, "--delete", "settings/all/limits")
	eventually(t, "no limits", all, func(s gatekeeperStatus) bool {
		return s.Settings.InForce > 0 && len(s.Limits.Rules) == 0 && len(s.Settings.Sections) == 0
	})
	g.stop(t, syscall.SIGTERM)
}

// Without the section control a gatekeeper serves no status of settings and no metrics of them.
func TestSettingsAreOffByDefault(t *testing.T) {
	_, list := startServers(t, 1)
	g := newGatekeeper(t, "g1", list, 5, nil)
	g.start(t)
	resp, err := http.Get("http://" + g.adminAddr + "/api/fleet")
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusNotFound, resp.StatusCode)
	metrics, err := httpGet(g.adminAddr, "/api/telemetry")
	require.NoError(t, err)
	require.NotContains(t, metrics, "proxy_settings")
	g.stop(t, syscall.SIGTERM)
}
