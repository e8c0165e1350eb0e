package follow

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/control/scope"
	"beammux/control/session"
	"beammux/internal/porttest"
	"beammux/internal/relay"
	"beammux/internal/store"
)

// controls is a group of control machines in this process, each reached through links that can be cut.
type controls struct {
	t        *testing.T
	net      *relay.Network
	nodes    []*store.Node
	own      []string // addresses at which they listen
	replicas []session.Replica
	mu       sync.Mutex
	last     uint64 // revision of the last change that was acknowledged
}

// timing for control machines that send a heartbeat each 50 ms. The bounds leave room for a busy machine.
var realTiming = session.Timing{
	MaxStartDelay: 50e3, ConnectTimeout: 3e6, HeartbeatTimeout: 2e6, BackoffBase: 50e3, BackoffCap: 500e3, StableAfter: 500e3, ReturnInterval: 1e6,
	LeaderlessAfter: 3e6, LeaderlessHold: 1e6, BehindHold: 50e3, MaxRetryAfter: 5e6, FaultHold: 1e6,
}

// startControls starts voters and then non-voters. Machine i is in zone zi, all in region r1.
func startControls(t *testing.T, voters, nonVoters int, serve store.ServeOptions) *controls {
	t.Helper()
	c := &controls{t: t, net: relay.New(1)}
	var listeners []net.Listener
	var peers []store.Peer
	for i := range voters + nonVoters {
		l := porttest.Listen(t)
		listeners = append(listeners, l)
		c.own = append(c.own, l.Addr().String())
		peers = append(peers, store.Peer{Node: name(i), Address: c.own[i], NonVoter: i >= voters})
	}
	vias := make([]map[string]string, len(peers))
	for i := range peers {
		vias[i] = map[string]string{}
		for j := range peers {
			if i != j {
				vias[i][c.own[j]] = c.link(name(i), name(j))
			}
		}
		c.replicas = append(c.replicas, session.Replica{Name: name(i), Address: c.link("g", name(i)), Zone: fmt.Sprint("z", i), Region: "r1"})
	}
	for i := range peers {
		c.net.Up(name(i), "store", c.own[i])
	}
	for i := range peers {
		o := serve
		o.Name, o.Zone, o.Region, o.Prefix = name(i), fmt.Sprint("z", i), "r1", scope.Prefix
		o.HeartbeatInterval, o.ReportInterval = 50*time.Millisecond, 50*time.Millisecond
		n, err := store.Open(store.Options{Node: name(i), Listener: listeners[i], Peers: peers, Via: vias[i], Serve: &o, Log: quiet()})
		require.NoError(t, err)
		c.nodes = append(c.nodes, n)
	}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.Close()
		}
		c.net.Close()
	})
	return c
}

func name(i int) string { return fmt.Sprint("c", i) }

func (c *controls) link(from, to string) string {
	l, err := c.net.TCP(from, to, "store")
	require.NoError(c.t, err)
	return l.Addr()
}

func (c *controls) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	c.t.Cleanup(cancel)
	return ctx
}

// write writes values through a member, by key behind the prefix; an empty value deletes.
func (c *controls) write(through int, values map[string]string) uint64 {
	c.t.Helper()
	var writes []store.Write
	for key, value := range values {
		writes = append(writes, store.Write{Key: scope.Prefix + key, Value: []byte(value), Delete: value == ""})
	}
	revision, err := store.TransactTo(c.context(), c.own[through], writes)
	require.NoError(c.t, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, revision)
	return revision
}

// all writes one value to three sections at three scopes in one transaction: whoever follows must never see two values.
func (c *controls) all(through int, value string) uint64 {
	c.t.Helper()
	return c.write(through, map[string]string{"all/calls": value, "zone/z0/limits": value, "gatekeeper/g1/inventory": value})
}

// checked is what a gatekeeper put in force; it checks that no candidate goes back or mixes two transactions of controls.all.
type checked struct {
	t  *testing.T
	mu sync.Mutex
	// wait, where set, holds an Apply until it is closed.
	wait  chan struct{}
	list  []Candidate
	floor uint64 // what a process before this one had in force
}

func (a *checked) apply(c Candidate) error {
	a.mu.Lock()
	wait := a.wait
	a.mu.Unlock()
	if wait != nil {
		<-wait
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if n := len(a.list); n > 0 && c.Revision <= a.list[n-1].Revision {
		a.t.Errorf("revision %d after %d", c.Revision, a.list[n-1].Revision)
	}
	if c.Revision < a.floor {
		a.t.Errorf("revision %d after %d before the restart", c.Revision, a.floor)
	}
	values := map[string]bool{}
	for _, r := range c.Sections {
		values[string(r.Value)] = true
		if r.Revision > c.Revision {
			a.t.Errorf("%s is of revision %d, the candidate of %d", r.Key, r.Revision, c.Revision)
		}
	}
	if len(values) > 1 {
		a.t.Errorf("a mix of %v at revision %d", values, c.Revision)
	}
	if values["bad"] {
		return errBad
	}
	a.list = append(a.list, c)
	return nil
}

// value is what is in force.
func (a *checked) value() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.list) == 0 {
		return ""
	}
	return string(a.list[len(a.list)-1].Sections["calls"].Value)
}

// revision is the last one that was put in force; 0 without any.
func (a *checked) revision() uint64 {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.list) == 0 {
		return a.floor
	}
	return a.list[len(a.list)-1].Revision
}

func (a *checked) applied() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.list)
}

func (c *controls) follow(a *checked, o Options) *Follower {
	c.t.Helper()
	o.Self = scope.Target{Name: "g1", Region: "r1", Zone: "z0"}
	o.Replicas, o.Apply, o.Log, o.Seed = c.replicas, a.apply, quiet(), 1
	if o.Timing == (session.Timing{}) {
		o.Timing = realTiming
	}
	f, err := Open(o)
	require.NoError(c.t, err)
	c.t.Cleanup(f.Close)
	return f
}

// has waits until a value is in force at a revision.
func has(t *testing.T, f *Follower, a *checked, value string, revision uint64) Status {
	t.Helper()
	return waitFor(t, f, "value "+value, func(s Status) bool { return s.InForce >= revision && s.Seen >= revision && a.value() == value })
}

// A transaction is one candidate; a refused one leaves the last good one in force, is reported upstream with its fault, and is
// followed by the next good one. Upstream knows what each gatekeeper holds.
func TestControlChanges(t *testing.T) {
	c := startControls(t, 3, 0, store.ServeOptions{})
	first := c.all(0, "1")
	a := &checked{t: t}
	f := c.follow(a, Options{})
	s := has(t, f, a, "1", first)
	require.Equal(t, "c0", s.Replica)
	require.Len(t, s.Sections, 3)
	second := c.all(1, "2")
	has(t, f, a, "2", second)

	bad := c.all(2, "bad")
	s = waitFor(t, f, "refused", func(s Status) bool { return s.Refused != nil })
	require.Equal(t, &Refused{Revision: bad, Fault: errBad.Error()}, s.Refused)
	require.Less(t, s.InForce, bad)
	require.Equal(t, "2", a.value())
	s = waitFor(t, f, "counted upstream", func(s Status) bool { return s.Fleet != nil && s.Fleet.Refused == 1 })
	require.Equal(t, 1, s.Fleet.Sessions)
	sessions, err := store.SessionsFrom(c.context(), nil, c.own[0])
	require.NoError(t, err)
	require.Len(t, sessions, 1)
	require.Equal(t, "g1", sessions[0].Name)
	require.Equal(t, store.WatchReport{InForce: s.InForce, Refused: bad, Fault: errBad.Error()}, sessions[0].Report)

	third := c.all(0, "3")
	s = has(t, f, a, "3", third)
	require.Nil(t, s.Refused)
	waitFor(t, f, "counted upstream", func(s Status) bool { return s.Fleet.Refused == 0 && s.Fleet.Holding == 1 })
	require.Equal(t, 3, a.applied())

	// What other gatekeepers resolve to is none of this one's: its revision moves on, nothing is put in force.
	other := c.write(0, map[string]string{"zone/z9/calls": "x"})
	waitFor(t, f, "the revision moves on", func(s Status) bool { return s.InForce >= other })
	hidden := c.write(0, map[string]string{"all/limits": "3"})
	waitFor(t, f, "the revision moves on", func(s Status) bool { return s.InForce >= hidden })
	require.Equal(t, 3, a.applied())
	// A deleted record uncovers the wider one.
	uncovered := c.write(0, map[string]string{"zone/z0/limits": ""})
	s = waitFor(t, f, "uncovered", func(s Status) bool { return s.InForce >= uncovered })
	require.Contains(t, s.Sections, Section{"limits", "settings/all/limits", hidden})
}

// The control machine of the session is killed, and so are others: the gatekeeper moves on, misses nothing and goes back to nothing.
func TestControlKilled(t *testing.T) {
	c := startControls(t, 3, 2, store.ServeOptions{})
	a := &checked{t: t}
	f := c.follow(a, Options{})
	has(t, f, a, "1", c.all(0, "1"))
	require.Equal(t, "c0", f.Status().Replica)
	c.nodes[0].Close()
	has(t, f, a, "2", c.all(4, "2"))
	s := f.Status()
	require.NotEqual(t, "c0", s.Replica)
	killed, err := strconv.Atoi(s.Replica[1:])
	require.NoError(t, err)
	if killed >= 3 { // a voter more would cost the majority
		c.nodes[killed].Close()
	}
	has(t, f, a, "3", c.all(1, "3"))
	require.Equal(t, 3, a.applied())
}

// A control machine that is silent, with its connections open, is left without a heartbeat in time; once it answers again the
// gatekeeper returns to it.
func TestControlPaused(t *testing.T) {
	c := startControls(t, 3, 0, store.ServeOptions{})
	a := &checked{t: t}
	f := c.follow(a, Options{})
	has(t, f, a, "1", c.all(1, "1"))
	c.net.Cut([]string{"c0"}, []string{"g"}, true)
	c.net.Cut([]string{"g"}, []string{"c0"}, true)
	has(t, f, a, "2", c.all(1, "2"))
	require.NotEqual(t, "c0", f.Status().Replica)
	c.net.Heal()
	waitFor(t, f, "returned", func(s Status) bool { return s.Replica == "c0" })
	has(t, f, a, "3", c.all(1, "3"))
	require.Equal(t, 3, a.applied())
}

// The preferred control machine lags: it is cut off from the others. The gatekeeper, which holds more than it, never takes what
// it has, goes on without it, and returns when it has caught up.
func TestControlLags(t *testing.T) {
	c := startControls(t, 3, 1, store.ServeOptions{})
	self := scope.Target{Name: "g1", Region: "r1", Zone: "z3"} // of c3, which has no vote
	timing := realTiming
	timing.LeaderlessAfter = 3600e6 // only what it holds is wrong with it
	var a *checked
	open := func(dir string) *Follower {
		a = &checked{t: t, floor: a.revision()}
		f, err := Open(Options{Self: self, Replicas: c.replicas, Apply: a.apply, Log: quiet(), Seed: 1, Timing: timing, Dir: dir})
		require.NoError(t, err)
		t.Cleanup(f.Close)
		return f
	}
	dir := t.TempDir()
	f := open(dir)
	one := c.write(0, map[string]string{"all/calls": "1"})
	has(t, f, a, "1", one)
	waitFor(t, f, "preferred", func(s Status) bool { return s.Replica == "c3" })

	others := []string{"c0", "c1", "c2"}
	c.net.Cut(others, []string{"c3"}, true)
	c.net.Cut([]string{"c3"}, others, true)
	two := c.write(0, map[string]string{"all/calls": "2"})
	c.net.SetDoor("g", "c3", relay.Refuse) // it moves to another
	has(t, f, a, "2", two)
	c.net.SetDoor("g", "c3", relay.Open)
	f.Close()

	f = open(dir) // with what it holds kept, it meets the one that lags first
	require.GreaterOrEqual(t, f.Status().InForce, two)
	waitFor(t, f, "another", func(s Status) bool { return s.Connected && s.Replica != "c3" })
	f.Close()
	require.NoError(t, removeAll(dir, settingsFile)) // only the highest revision seen is left
	f = open(dir)
	require.GreaterOrEqual(t, f.Status().Seen, two)
	waitFor(t, f, "another", func(s Status) bool { return s.Connected && s.Replica != "c3" })
	has(t, f, a, "2", two)
	c.net.Heal()
	waitFor(t, f, "returned", func(s Status) bool { return s.Replica == "c3" })
	has(t, f, a, "3", c.write(0, map[string]string{"all/calls": "3"}))
}

// A gatekeeper that can't keep up is cut off, resumes, and has the last state, whole.
func TestControlCutsOff(t *testing.T) {
	c := startControls(t, 3, 0, store.ServeOptions{HistorySize: 4})
	a := &checked{t: t}
	f := c.follow(a, Options{Timing: session.Timing{BackoffBase: 50e3, HeartbeatTimeout: 60e6, ConnectTimeout: 60e6, ReturnInterval: 3600e6}})
	has(t, f, a, "1", c.all(0, "1"))
	hold := make(chan struct{})
	a.mu.Lock()
	a.wait = hold
	a.mu.Unlock()
	var last uint64
	const changes = 80
	for i := range changes { // 16 MB in all, so that they don't fit what lies between
		last = c.write(0, map[string]string{"all/calls": fmt.Sprint(100+i, strings.Repeat("x", 200<<10)), "zone/z0/limits": "", "gatekeeper/g1/inventory": ""})
	}
	a.mu.Lock()
	a.wait = nil
	a.mu.Unlock()
	close(hold)
	waitFor(t, f, "the last state", func(s Status) bool { return s.InForce >= last })
	require.Less(t, a.applied(), changes*3/4, "it was not cut off")
	require.Equal(t, fmt.Sprint(100+changes-1), a.value()[:3])
}

// With all control machines gone a gatekeeper goes on with what it has, says how old that is, over a restart too, and follows
// again when they are back.
func TestControlGone(t *testing.T) {
	c := startControls(t, 3, 0, store.ServeOptions{})
	a := &checked{t: t}
	dir := t.TempDir()
	f := c.follow(a, Options{Dir: dir})
	one := c.all(0, "1")
	has(t, f, a, "1", one)
	for i := range 3 {
		c.net.SetDoor("g", name(i), relay.Refuse)
	}
	gone := time.Now()
	s := waitFor(t, f, "gone", func(s Status) bool { return !s.Connected && s.Fault != "" })
	require.NotEmpty(t, s.Fault)
	require.GreaterOrEqual(t, s.InForce, one)
	two := c.all(0, "2") // it can't know
	waitFor(t, f, "older", func(s Status) bool { return s.Age > 300*time.Millisecond })
	f.Close()

	again := &checked{t: t, floor: one}
	f = c.follow(again, Options{Dir: dir})
	s = f.Status() // at once
	require.Equal(t, "1", again.value())
	require.GreaterOrEqual(t, s.InForce, one)
	require.GreaterOrEqual(t, s.Seen, one)
	require.True(t, s.RestoredFromDir)
	require.False(t, s.Connected)
	require.GreaterOrEqual(t, s.Age, 300*time.Millisecond)
	require.LessOrEqual(t, s.Age, time.Since(gone)+time.Second)
	require.Len(t, s.Sections, 3)
	waitFor(t, f, "still tries", func(s Status) bool { return s.Fault != "" })
	for i := range 3 {
		c.net.SetDoor("g", name(i), relay.Open)
	}
	s = has(t, f, again, "2", two)
	require.False(t, s.RestoredFromDir)
	require.Empty(t, s.Fault)
	require.Equal(t, 2, again.applied())
}

// The side of the session has lost the leader: the gatekeeper goes on, says how old its settings are, moves to a control machine
// that has one if it can, and else has the changes as soon as there is a leader again.
func TestControlWithoutLeader(t *testing.T) {
	c := startControls(t, 3, 0, store.ServeOptions{})
	a := &checked{t: t}
	f := c.follow(a, Options{})
	has(t, f, a, "1", c.all(0, "1"))
	waitFor(t, f, "preferred", func(s Status) bool { return s.Replica == "c0" })
	others := []string{"c1", "c2"}
	c.net.Cut([]string{"c0"}, others, true)
	c.net.Cut(others, []string{"c0"}, true)
	c.net.Cut([]string{"g"}, others, true) // and the gatekeeper with it
	c.net.Cut(others, []string{"g"}, true)
	two := c.all(1, "2")
	waitFor(t, f, "old", func(s Status) bool { return s.Age > 3*time.Second })
	require.True(t, f.Status().Connected)
	require.Equal(t, "1", a.value())
	c.net.Cut([]string{"g"}, others, false)
	c.net.Cut(others, []string{"g"}, false)
	s := has(t, f, a, "2", two)
	require.NotEqual(t, "c0", s.Replica)
	c.net.Heal()
	waitFor(t, f, "returned", func(s Status) bool { return s.Replica == "c0" && s.Age < time.Second })
}
