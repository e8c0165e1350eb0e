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

// inForceWithin bounds how long a change may take to be in force at all gatekeepers of these tests. The operators' own bound
// is 17 s; the machine that runs the tests may be busy.
const inForceWithin = 17 * time.Second

// servedGatekeeper is a gatekeeper in a process of its own, with stand-in servers, that may follow control machines.
type servedGatekeeper struct {
	name, dir   string
	cmd         *exec.Cmd
	listen, ops string

	mu  sync.Mutex
	log []string
}

// start starts the process on the files of its folder, and returns once it serves.
func (g *servedGatekeeper) start(t *testing.T) {
	t.Helper()
	g.cmd = program("serve", "--deploy", filepath.Join(g.dir, "deploy.json"), "--log-format", "json")
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
				g.ops = line.Listen
			case "serving":
				g.listen = line.Listen
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
		t.Fatalf("%s does not serve:\n%s", g.name, g.logged())
	}
}

func (g *servedGatekeeper) logged() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return strings.Join(g.log, "\n")
}

// end ends the process by a signal and waits for it.
func (g *servedGatekeeper) end(t *testing.T, by syscall.Signal) {
	t.Helper()
	require.NoError(t, g.cmd.Process.Signal(by))
	err := g.cmd.Wait()
	if by == syscall.SIGTERM {
		require.NoError(t, err, g.logged())
	}
}

// shown is what GET /api/fleet says of settings and limits.
type shown struct {
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

func (g *servedGatekeeper) shows(t *testing.T) (s shown) {
	t.Helper()
	text, err := viaHTTP(g.ops, "/api/fleet")
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal([]byte(text), &s), text)
	return s
}

// section gives the record that a section in force comes from, and its revision.
func (s shown) section(name string) (key string, revision uint64) {
	for _, in := range s.Settings.Sections {
		if in.Section == name {
			return in.Key, in.Revision
		}
	}
	return "", 0
}

// eventually waits until all gatekeepers show what is wanted.
func eventually(t *testing.T, what string, all []*servedGatekeeper, wanted func(shown) bool) {
	t.Helper()
	began := time.Now()
	for _, g := range all {
		var last shown
		for !wanted(last) {
			if time.Since(began) > inForceWithin {
				t.Fatalf("%s: %s not within %v; it shows %+v", g.name, what, inForceWithin, last)
			}
			time.Sleep(10 * time.Millisecond)
			last = g.shows(t)
		}
	}
	t.Logf("%s: seen at %d gatekeepers after %v", what, len(all), time.Since(began).Round(time.Millisecond))
}

// site is a gatekeeper's settings with so many attempts allowed.
func siteAllowing(attempts int) string {
	return strings.Replace(lab.Settings(3), `"attempts-cap":5`, fmt.Sprintf(`"attempts-cap":%d`, attempts), 1)
}

// newGatekeeper writes the files of a gatekeeper; more are further keys of its deploy file.
func newGatekeeper(t *testing.T, name, servers string, attempts int, more map[string]any) *servedGatekeeper {
	t.Helper()
	g := &servedGatekeeper{name: name, dir: t.TempDir()}
	configuration := fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:0","settings":%s}`, name, siteAllowing(attempts))
	require.NoError(t, os.WriteFile(filepath.Join(g.dir, "config.json"), []byte(configuration), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(g.dir, "servers.csv"), []byte(servers), 0o600))
	deploy := map[string]any{"inventory": filepath.Join(g.dir, "servers.csv")}
	for key, value := range more {
		deploy[key] = value
	}
	writeJSON(t, filepath.Join(g.dir, "deploy.json"), deploy)
	return g
}

// following is the section control of a gatekeeper in a zone.
func (g *controlGroup) following(zone string) map[string]any {
	var replicas []map[string]any
	for i, name := range g.names {
		replicas = append(replicas, map[string]any{"name": name, "address": g.addresses[i], "zone": "z1", "region": "r1"})
	}
	return map[string]any{"zone": zone, "region": "r1", "service": "menus", "replicas": replicas}
}

// apply writes records in one transaction and gives its revision.
func (g *controlGroup) apply(t *testing.T, args ...string) uint64 {
	t.Helper()
	out, errs, code := run(t, append(append([]string{"store", "apply"}, args...), "--store", g.addresses[0], "--json")...)
	require.Zero(t, code, errs)
	var written struct{ Revision uint64 }
	require.NoError(t, json.Unmarshal([]byte(out), &written))
	return written.Revision
}

// standIns starts menu servers and gives the inventory that lists them.
func standIns(t *testing.T, count int) ([]*lab.Server, string) {
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

// tally counts what callers saw of each of their tries.
type tally struct {
	mu    sync.Mutex
	ended map[string]lab.SeenKind // of each try; Tried while it has no answer
	other map[lab.SeenKind]int    // what no call should see
}

func (c *tally) hear(s lab.Seen) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s.Kind {
	case lab.Tried, lab.Established, lab.Refused, lab.Failed:
		c.ended[s.Call] = s.Kind
	case lab.Unsent, lab.SecondAnswer, lab.Unanswered, lab.Broken:
		c.other[s.Kind]++
	}
}

// noneLost checks that every try had exactly one answer, and gives how they ended.
func (c *tally) noneLost(t *testing.T) map[lab.SeenKind]int {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	ends := map[lab.SeenKind]int{}
	for _, kind := range c.ended {
		ends[kind]++
	}
	t.Logf("%d tries: %v; other: %v", len(c.ended), ends, c.other)
	require.Empty(t, c.other, "lost, answered twice or not sent")
	require.Zero(t, ends[lab.Tried], "without an answer")
	require.Zero(t, ends[lab.Failed], "failed")
	return ends
}

const (
	trayLimit  = `{"parts":1,"rules":[{"name":"trays","match":{"class":"tray-count"},"mode":"alone","per_s":0.5,"burst":1}]}`
	twoTries   = `{"defaults":{"attempts":2}}`
	threeTries = `{"defaults":{"attempts":3}}`
	fourTries  = `{"defaults":{"attempts":4}}`
)

// Settings come into force in all gatekeepers while calls go on, and no call is lost: limits of the fleet and of calls in one
// transaction; a SIGHUP does not undo them; what one gatekeeper's site forbids is refused there with key, line and column, the
// last good one stays in force, and all see it; a record in a narrower scope wins; a deleted section is the file's again.
func TestSettingsUnderCalls(t *testing.T) {
	const length = 8 * time.Second
	group := startControl(t, 3, textFile(t, "config.json", `{"name":"g1","listen":"127.0.0.1:0","settings":`+siteAllowing(5)+`}`))
	servers, list := standIns(t, 4)
	var all []*servedGatekeeper
	for i, zone := range []string{"z1", "z1", "z2"} {
		attempts := 5
		if zone == "z2" {
			attempts = 3
		}
		g := newGatekeeper(t, fmt.Sprint("g", i+1), list, attempts, map[string]any{"control": group.following(zone)})
		g.start(t)
		all = append(all, g)
	}
	g1, g3 := all[0], all[2]

	seen := &tally{ended: map[string]lab.SeenKind{}, other: map[lab.SeenKind]int{}}
	callers := lab.NewCallers(lab.Load{Seed: 1, Gatekeepers: len(all), Servers: len(servers), PerS: 24, Length: length, Hear: seen.hear,
		Pick: func(rng *rand.Rand) (home, dest int) { return rng.IntN(len(all)), rng.IntN(len(servers)) }})
	ctx, hangUp := context.WithCancel(t.Context())
	var kept sync.WaitGroup
	defer kept.Wait()
	defer hangUp()
	for i, g := range all {
		kept.Go(func() { callers.Keep(ctx, i, g.listen) })
	}
	require.Eventually(t, func() bool { return callers.Up() == len(all) }, 10*time.Second, 10*time.Millisecond)
	played := make(chan struct{})
	go func() { defer close(played); callers.Play(ctx) }()

	both := group.apply(t, "settings/all/limits="+textFile(t, "limits", trayLimit), "settings/all/calls="+textFile(t, "calls", twoTries))
	eventually(t, "limits and calls in force", all, func(s shown) bool {
		_, limits := s.section("limits")
		_, calls := s.section("calls")
		return limits == both && calls == both && len(s.Limits.Rules) == 1 && s.Limits.Rules[0].PerS == 0.5
	})
	eventually(t, "calls turned away by the limit", all, func(s shown) bool { return s.Limits.Rules != nil && s.Limits.Rules[0].Turned > 0 })

	writeJSON(t, filepath.Join(g1.dir, "deploy.json"), map[string]any{"inventory": filepath.Join(g1.dir, "servers.csv"),
		"control": group.following("z1"), "calls": map[string]any{"defaults": map[string]any{"attempts": 1}}})
	require.NoError(t, g1.cmd.Process.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool { return strings.Contains(g1.logged(), "reloaded event bus") }, inForceWithin, 10*time.Millisecond)
	require.Contains(t, g1.logged(), `"from_control_machines":"calls limits"`)
	require.Equal(t, callsVersion(g1.logged(), "settings in force"), callsVersion(g1.logged(), "reloaded event bus"), "SIGHUP undid the calls of the records")
	require.Len(t, g1.shows(t).Limits.Rules, 1, "SIGHUP undid the limits of the records")

	four := group.apply(t, "settings/all/calls="+textFile(t, "calls", fourTries))
	eventually(t, "four attempts in force", all[:2], func(s shown) bool { _, calls := s.section("calls"); return calls == four })
	eventually(t, "refused", all[2:], func(s shown) bool { return s.Settings.Refused != nil })
	s := g3.shows(t)
	require.Equal(t, four, s.Settings.Refused.Revision)
	require.Equal(t, "settings/all/calls:1:14: calls.defaults.attempts: 4 is over 3, the most that the deployment allows", s.Settings.Refused.Fault)
	require.NotEmpty(t, s.Settings.Refused.Advice)
	_, calls := s.section("calls")
	require.Equal(t, both, calls, "the last good one is not in force")
	require.Less(t, s.Settings.InForce, four)
	eventually(t, "one of three refused it", all, func(s shown) bool {
		c := s.Settings.Fleet
		return c != nil && c.Sessions == 3 && c.Holding == 2 && c.Refused == 1
	})
	view, errs, code := run(t, "fleet", "view", "--admin", g1.ops)
	require.Zero(t, code, errs)
	require.Contains(t, view, "of 3 gatekeepers 2 hold revision")
	require.Contains(t, view, "settings/all/calls")
	_, errs, code = run(t, "fleet", "members", "--admin", g1.ops)
	require.Equal(t, exitFleetOff, code)
	require.Contains(t, errs, "the fleet's gossip is off")
	require.Regexp(t, `settings refused.*advice|advice.*settings refused`, g3.logged())
	figures, err := viaHTTP(g3.ops, "/api/telemetry")
	require.NoError(t, err)
	for _, want := range []string{"proxy_settings_refused 1\n", "proxy_settings_refused_total 1\n", "proxy_settings_connected 1\n",
		fmt.Sprintf("proxy_settings_seen_revision %d\n", s.Settings.Seen), `proxy_settings_fleet{state="refused"} 1`, `proxy_fleet_limit_turned_away_total{rule="trays"}`} {
		require.Contains(t, figures, want)
	}
	sessions, errs, code := run(t, "control", "sessions", "--store", group.addresses[0], "--json")
	require.Zero(t, code, errs)
	require.Contains(t, sessions, "[")

	narrow := group.apply(t, "settings/gatekeeper/g3/calls="+textFile(t, "calls", threeTries), "--delete", "settings/all/limits")
	eventually(t, "the narrower record in force", all[2:], func(s shown) bool {
		key, calls := s.section("calls")
		return key == "settings/gatekeeper/g3/calls" && calls == narrow && s.Settings.Refused == nil
	})
	eventually(t, "the limits deleted", all, func(s shown) bool { return len(s.Limits.Rules) == 0 })
	eventually(t, "held by all", all, func(s shown) bool { return s.Settings.Fleet != nil && s.Settings.Fleet.Holding == 3 })

	<-played
	ends := seen.noneLost(t)
	require.Greater(t, ends[lab.Established], 50)
	require.Positive(t, ends[lab.Refused], "the limit turned nobody away")
	hangUp()
	for _, g := range all {
		g.end(t, syscall.SIGTERM)
	}
}

// callsVersion is that of the limits of calls in the last log line with a message.
func callsVersion(log, message string) (version string) {
	for line := range strings.SplitSeq(log, "\n") {
		var l struct{ Msg, Calls string }
		if json.Unmarshal([]byte(line), &l) == nil && strings.HasPrefix(l.Msg, message) {
			version = l.Calls
		}
	}
	return version
}

// With all control machines killed, a gatekeeper goes on with its last good settings, and over a restart too where it keeps
// them; one that keeps none starts within its bound on its own file. Once the machines are back, all follow again.
func TestSettingsWithoutControlMachines(t *testing.T) {
	group := startControl(t, 3, textFile(t, "config.json", `{"name":"g1","listen":"127.0.0.1:0","settings":`+siteAllowing(5)+`}`))
	_, list := standIns(t, 1)
	keeps := newGatekeeper(t, "g1", list, 5, map[string]any{"control": group.following("z1"), "store": map[string]any{"dir": t.TempDir()}})
	forgets := newGatekeeper(t, "g2", list, 5, map[string]any{"control": group.following("z1")})
	all := []*servedGatekeeper{keeps, forgets}
	for _, g := range all {
		g.start(t)
	}
	first := group.apply(t, "settings/zone/z1/limits="+textFile(t, "limits", trayLimit),
		"settings/service/menus/inventory="+textFile(t, "more.csv", list+"s-000000aa,127.0.0.1:9,0\n"))
	inForce := func(s shown) bool {
		_, limits := s.section("limits")
		return limits == first && len(s.Limits.Rules) == 1
	}
	eventually(t, "in force", all, inForce)
	for _, p := range group.processes {
		require.NoError(t, p.Process.Kill())
		p.Wait()
	}
	eventually(t, "without control machines all stays in force", all, func(s shown) bool { return !s.Settings.Connected && inForce(s) })
	keeps.end(t, syscall.SIGKILL)
	forgets.end(t, syscall.SIGTERM)
	keeps.log, forgets.log = nil, nil
	keeps.start(t)
	s := keeps.shows(t)
	require.True(t, inForce(s), "%+v", s)
	require.True(t, s.Settings.RestoredFromDir)
	require.False(t, s.Settings.Connected)
	require.GreaterOrEqual(t, s.Settings.InForce, first)
	targets, err := viaHTTP(keeps.ops, "/api/telemetry")
	require.NoError(t, err)
	require.Contains(t, targets, "proxy_targets 2\n", "the inventory of the records is not in force")
	began := time.Now()
	forgets.start(t)
	t.Logf("started without control machines and without kept settings in %v", time.Since(began))
	s = forgets.shows(t)
	require.Zero(t, s.Settings.InForce)
	require.Empty(t, s.Limits.Rules)
	require.Contains(t, forgets.logged(), "serving with the deploy file, the settings follow")
	for i := range group.processes {
		group.processes[i] = program("control", "serve", "--file", group.files[i])
		require.NoError(t, group.processes[i].Start())
	}
	eventually(t, "followed again", all, func(s shown) bool { return inForce(s) && s.Settings.Connected && !s.Settings.RestoredFromDir })
	for _, g := range all {
		g.end(t, syscall.SIGTERM)
	}
}

// Limits that come by a record may be leased, from the members of the store that the record names: the gatekeeper had no limits
// at its start, and leases nothing any more once the record is gone.
func TestLeasedLimitsOfRecords(t *testing.T) {
	group := startControl(t, 1, textFile(t, "config.json", plainConfiguration))
	_, list := standIns(t, 1)
	g := newGatekeeper(t, "g1", list, 5, map[string]any{"control": group.following("z1")})
	g.start(t)
	all := []*servedGatekeeper{g}
	leased := `{"parts":2,"rules":[{"name":"all","mode":"leased","per_s":9}]}`
	group.apply(t, "settings/all/limits="+textFile(t, "limits", leased))
	eventually(t, "refused without a store to lease from", all, func(s shown) bool { return s.Settings.Refused != nil })
	require.Contains(t, g.shows(t).Settings.Refused.Fault, "settings/all/limits:1:35: fleet.limits.rules[0].mode: leased needs a store")
	group.apply(t, "settings/all/limits="+textFile(t, "limits", strings.Replace(leased, "{", fmt.Sprintf(`{"store":[%q],`, group.addresses[0]), 1)))
	eventually(t, "a lease", all, func(s shown) bool { return len(s.Limits.Rules) == 1 && s.Limits.Rules[0].Lease > 0 })
	figures, err := viaHTTP(g.ops, "/api/telemetry")
	require.NoError(t, err)
	require.Contains(t, figures, `proxy_fleet_limit_lease_seconds{rule="all"}`)
	group.apply(t, "--delete", "settings/all/limits")
	eventually(t, "no limits", all, func(s shown) bool {
		return s.Settings.InForce > 0 && len(s.Limits.Rules) == 0 && len(s.Settings.Sections) == 0
	})
	g.end(t, syscall.SIGTERM)
}

// Without the section control nothing of it is there: no view, no figures, no further files.
func TestSettingsAreOffByDefault(t *testing.T) {
	_, list := standIns(t, 1)
	g := newGatekeeper(t, "g1", list, 5, nil)
	g.start(t)
	resp, err := http.Get("http://" + g.ops + "/api/fleet")
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusNotFound, resp.StatusCode)
	figures, err := viaHTTP(g.ops, "/api/telemetry")
	require.NoError(t, err)
	require.NotContains(t, figures, "proxy_settings")
	g.end(t, syscall.SIGTERM)
}
