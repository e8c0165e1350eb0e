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

// controlGroup is a group of control machines in this process. All connections to and between them run over links that a test can
// cut.
type controlGroup struct {
	t         *testing.T
	net       *relay.Network
	nodes     []*store.Node
	addresses []string // listen addresses, by index of the machine
	replicas  []session.Replica
	mu        sync.Mutex
	last      uint64 // revision of the last acknowledged change
}

// realTiming suits control machines that send a heartbeat every 50 ms. The timeouts tolerate a heavily loaded machine.
var realTiming = session.Timing{
	MaxStartDelay: 50e3, ConnectTimeout: 3e6, HeartbeatTimeout: 2e6, BackoffBase: 50e3, BackoffCap: 500e3, StableAfter: 500e3, ReturnInterval: 1e6,
	LeaderlessAfter: 3e6, LeaderlessHold: 1e6, BehindHold: 50e3, MaxRetryAfter: 5e6, FaultHold: 1e6,
}

// startControlGroup starts the given numbers of voters and non-voters, in this order. Machine i is named ci and is in zone zi; all
// are in region r1.
func startControlGroup(t *testing.T, voters, nonVoters int, serve store.ServeOptions) *controlGroup {
	t.Helper()
	c := &controlGroup{t: t, net: relay.New(1)}
	var listeners []net.Listener
	var peers []store.Peer
	for i := range voters + nonVoters {
		l := porttest.Listen(t)
		listeners = append(listeners, l)
		c.addresses = append(c.addresses, l.Addr().String())
		peers = append(peers, store.Peer{Node: name(i), Address: c.addresses[i], NonVoter: i >= voters})
	}
	vias := make([]map[string]string, len(peers))
	for i := range peers {
		vias[i] = map[string]string{}
		for j := range peers {
			if i != j {
				vias[i][c.addresses[j]] = c.link(name(i), name(j))
			}
		}
		c.replicas = append(c.replicas, session.Replica{Name: name(i), Address: c.link("g", name(i)), Zone: fmt.Sprint("z", i), Region: "r1"})
	}
	for i := range peers {
		c.net.Up(name(i), "store", c.addresses[i])
	}
	for i := range peers {
		o := serve
		o.Name, o.Zone, o.Region, o.Prefix = name(i), fmt.Sprint("z", i), "r1", scope.Prefix
		o.HeartbeatInterval, o.ReportInterval = 50*time.Millisecond, 50*time.Millisecond
		n, err := store.Open(store.Options{Node: name(i), Listener: listeners[i], Peers: peers, Via: vias[i], Serve: &o, Log: discardLogger()})
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

// name returns the name of machine i.
func name(i int) string { return fmt.Sprint("c", i) }

// link returns the address of a link between two parties.
func (c *controlGroup) link(from, to string) string {
	l, err := c.net.TCP(from, to, "store")
	require.NoError(c.t, err)
	return l.Addr()
}

// context returns a context that is done after testTimeout.
func (c *controlGroup) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	c.t.Cleanup(cancel)
	return ctx
}

// write writes values through a member in one transaction and returns its revision. Keys are given without scope.Prefix; an
// empty value deletes.
func (c *controlGroup) write(through int, values map[string]string) uint64 {
	c.t.Helper()
	var writes []store.Write
	for key, value := range values {
		writes = append(writes, store.Write{Key: scope.Prefix + key, Value: []byte(value), Delete: value == ""})
	}
	revision, err := store.TransactTo(c.context(), c.addresses[through], writes)
	require.NoError(c.t, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, revision)
	return revision
}

// writeAll writes one value to three sections at three scopes in one transaction. A candidate with different values would mix
// two transactions.
func (c *controlGroup) writeAll(through int, value string) uint64 {
	c.t.Helper()
	return c.write(through, map[string]string{"all/calls": value, "zone/z0/limits": value, "gatekeeper/g1/inventory": value})
}

// checkedCandidates records the candidates that a gatekeeper put in force. It fails the test if a candidate has a lower revision
// than the one before or mixes two transactions of controlGroup.writeAll. It refuses the value "bad".
type checkedCandidates struct {
	t  *testing.T
	mu sync.Mutex
	// wait blocks apply until it is closed, if it is set.
	wait        chan struct{}
	list        []Candidate
	minRevision uint64 // revision that was in force before a restart
}

func (a *checkedCandidates) apply(c Candidate) error {
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
	if c.Revision < a.minRevision {
		a.t.Errorf("revision %d after %d before the restart", c.Revision, a.minRevision)
	}
	values := map[string]bool{}
	for _, r := range c.Sections {
		values[string(r.Value)] = true
		if r.Revision > c.Revision {
			a.t.Errorf("%s has revision %d, later than its candidate's revision %d", r.Key, r.Revision, c.Revision)
		}
	}
	if len(values) > 1 {
		a.t.Errorf("different values %v at revision %d", values, c.Revision)
	}
	if values["bad"] {
		return errBad
	}
	a.list = append(a.list, c)
	return nil
}

// value returns the value in force of section calls, or "" if nothing was put in force.
func (a *checkedCandidates) value() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.list) == 0 {
		return ""
	}
	return string(a.list[len(a.list)-1].Sections["calls"].Value)
}

// revision returns the revision that was last put in force, including before a restart; 0 if there is none.
func (a *checkedCandidates) revision() uint64 {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.list) == 0 {
		return a.minRevision
	}
	return a.list[len(a.list)-1].Revision
}

// applied returns the number of candidates that were put in force.
func (a *checkedCandidates) applied() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.list)
}

// follow opens a follower for gatekeeper g1 in zone z0 and closes it when the test ends.
func (c *controlGroup) follow(a *checkedCandidates, o Options) *Follower {
	c.t.Helper()
	o.Self = scope.Target{Name: "g1", Region: "r1", Zone: "z0"}
	o.Replicas, o.Apply, o.Log, o.Seed = c.replicas, a.apply, discardLogger(), 1
	if o.Timing == (session.Timing{}) {
		o.Timing = realTiming
	}
	f, err := Open(o)
	require.NoError(c.t, err)
	c.t.Cleanup(f.Close)
	return f
}

// waitForValue waits until a value is in force at a revision or a later one.
func waitForValue(t *testing.T, f *Follower, a *checkedCandidates, value string, revision uint64) Status {
	t.Helper()
	return waitFor(t, f, "value "+value, func(s Status) bool { return s.InForce >= revision && s.Seen >= revision && a.value() == value })
}

// Each transaction yields one candidate. After a refusal the last good candidate stays in force, the control machine receives
// the fault, and the next good candidate is put in force. The control machines count which gatekeepers hold the settings.
func TestChanges(t *testing.T) {
	c := startControlGroup(t, 3, 0, store.ServeOptions{})
	first := c.writeAll(0, "1")
	a := &checkedCandidates{t: t}
	f := c.follow(a, Options{})
	s := waitForValue(t, f, a, "1", first)
	require.Equal(t, "c0", s.Replica)
	require.Len(t, s.Sections, 3)
	second := c.writeAll(1, "2")
	waitForValue(t, f, a, "2", second)

	bad := c.writeAll(2, "bad")
	s = waitFor(t, f, "refused", func(s Status) bool { return s.Refused != nil })
	require.Equal(t, &Refused{Revision: bad, Fault: errBad.Error()}, s.Refused)
	require.Less(t, s.InForce, bad)
	require.Equal(t, "2", a.value())
	s = waitFor(t, f, "refusal in the counts", func(s Status) bool { return s.Fleet != nil && s.Fleet.Refused == 1 })
	require.Equal(t, 1, s.Fleet.Sessions)
	sessions, err := store.SessionsFrom(c.context(), nil, c.addresses[0])
	require.NoError(t, err)
	require.Len(t, sessions, 1)
	require.Equal(t, "g1", sessions[0].Name)
	require.Equal(t, store.WatchReport{InForce: s.InForce, Refused: bad, Fault: errBad.Error()}, sessions[0].Report)

	third := c.writeAll(0, "3")
	s = waitForValue(t, f, a, "3", third)
	require.Nil(t, s.Refused)
	waitFor(t, f, "settings in force in the counts", func(s Status) bool { return s.Fleet.Refused == 0 && s.Fleet.Holding == 1 })
	require.Equal(t, 3, a.applied())

	// Records of other scopes and records overridden by a narrower scope advance the revision, but no candidate is applied.
	other := c.write(0, map[string]string{"zone/z9/calls": "x"})
	waitFor(t, f, "revision of a record of another scope", func(s Status) bool { return s.InForce >= other })
	hidden := c.write(0, map[string]string{"all/limits": "3"})
	waitFor(t, f, "revision of an overridden record", func(s Status) bool { return s.InForce >= hidden })
	require.Equal(t, 3, a.applied())
	// After a record was deleted, the one of the wider scope applies.
	uncovered := c.write(0, map[string]string{"zone/z0/limits": ""})
	s = waitFor(t, f, "record of the wider scope", func(s Status) bool { return s.InForce >= uncovered })
	require.Contains(t, s.Sections, Section{"limits", "settings/all/limits", hidden})
}

// When the control machine of its session is closed, and then another one, the gatekeeper reconnects to the remaining ones. It
// misses no change and never goes back to an older revision.
func TestControlMachineClosed(t *testing.T) {
	c := startControlGroup(t, 3, 2, store.ServeOptions{})
	a := &checkedCandidates{t: t}
	f := c.follow(a, Options{})
	waitForValue(t, f, a, "1", c.writeAll(0, "1"))
	require.Equal(t, "c0", f.Status().Replica)
	c.nodes[0].Close()
	waitForValue(t, f, a, "2", c.writeAll(4, "2"))
	s := f.Status()
	require.NotEqual(t, "c0", s.Replica)
	killed, err := strconv.Atoi(s.Replica[1:])
	require.NoError(t, err)
	if killed >= 3 { // only a non-voter: closing a second voter would lose the majority
		c.nodes[killed].Close()
	}
	waitForValue(t, f, a, "3", c.writeAll(1, "3"))
	require.Equal(t, 3, a.applied())
}

// A gatekeeper leaves a control machine that sends no heartbeats while its connections stay open. It returns when the machine
// answers again.
func TestControlMachineUnresponsive(t *testing.T) {
	c := startControlGroup(t, 3, 0, store.ServeOptions{})
	a := &checkedCandidates{t: t}
	f := c.follow(a, Options{})
	waitForValue(t, f, a, "1", c.writeAll(1, "1"))
	c.net.Cut([]string{"c0"}, []string{"g"}, true)
	c.net.Cut([]string{"g"}, []string{"c0"}, true)
	waitForValue(t, f, a, "2", c.writeAll(1, "2"))
	require.NotEqual(t, "c0", f.Status().Replica)
	c.net.Heal()
	waitFor(t, f, "returned", func(s Status) bool { return s.Replica == "c0" })
	waitForValue(t, f, a, "3", c.writeAll(1, "3"))
	require.Equal(t, 3, a.applied())
}

// The preferred control machine is partitioned from the others and lags behind the gatekeeper. The gatekeeper ignores its older
// records, uses other control machines, and returns when it has caught up.
func TestControlMachineLags(t *testing.T) {
	c := startControlGroup(t, 3, 1, store.ServeOptions{})
	self := scope.Target{Name: "g1", Region: "r1", Zone: "z3"} // in the zone of c3, a non-voter
	timing := realTiming
	timing.LeaderlessAfter = 3600e6 // so that only its old records, not the missing leader, rule it out
	var a *checkedCandidates
	open := func(dir string) *Follower {
		a = &checkedCandidates{t: t, minRevision: a.revision()}
		f, err := Open(Options{Self: self, Replicas: c.replicas, Apply: a.apply, Log: discardLogger(), Seed: 1, Timing: timing, Dir: dir})
		require.NoError(t, err)
		t.Cleanup(f.Close)
		return f
	}
	dir := t.TempDir()
	f := open(dir)
	one := c.write(0, map[string]string{"all/calls": "1"})
	waitForValue(t, f, a, "1", one)
	waitFor(t, f, "session with the preferred machine", func(s Status) bool { return s.Replica == "c3" })

	others := []string{"c0", "c1", "c2"}
	c.net.Cut(others, []string{"c3"}, true)
	c.net.Cut([]string{"c3"}, others, true)
	two := c.write(0, map[string]string{"all/calls": "2"})
	c.net.SetMode("g", "c3", relay.Refuse) // forces the follower to another machine
	waitForValue(t, f, a, "2", two)
	c.net.SetMode("g", "c3", relay.Open)
	f.Close()

	f = open(dir) // with saved settings, it connects to the lagging machine first
	require.GreaterOrEqual(t, f.Status().InForce, two)
	waitFor(t, f, "session with another machine", func(s Status) bool { return s.Connected && s.Replica != "c3" })
	f.Close()
	require.NoError(t, removeAll(dir, settingsFile)) // leaves only the highest revision seen
	f = open(dir)
	require.GreaterOrEqual(t, f.Status().Seen, two)
	waitFor(t, f, "session with another machine", func(s Status) bool { return s.Connected && s.Replica != "c3" })
	waitForValue(t, f, a, "2", two)
	c.net.Heal()
	waitFor(t, f, "return to the preferred machine", func(s Status) bool { return s.Replica == "c3" })
	waitForValue(t, f, a, "3", c.write(0, map[string]string{"all/calls": "3"}))
}

// A gatekeeper that can't keep up with the changes is disconnected, resumes, and puts the complete last state in force.
func TestSlowFollowerDisconnected(t *testing.T) {
	c := startControlGroup(t, 3, 0, store.ServeOptions{HistorySize: 4})
	a := &checkedCandidates{t: t}
	f := c.follow(a, Options{Timing: session.Timing{BackoffBase: 50e3, HeartbeatTimeout: 60e6, ConnectTimeout: 60e6, ReturnInterval: 3600e6}})
	waitForValue(t, f, a, "1", c.writeAll(0, "1"))
	hold := make(chan struct{})
	a.mu.Lock()
	a.wait = hold
	a.mu.Unlock()
	var last uint64
	const changes = 80
	for i := range changes { // 16 MB in total, more than the buffers of the connection hold
		last = c.write(0, map[string]string{"all/calls": fmt.Sprint(100+i, strings.Repeat("x", 200<<10)), "zone/z0/limits": "", "gatekeeper/g1/inventory": ""})
	}
	a.mu.Lock()
	a.wait = nil
	a.mu.Unlock()
	close(hold)
	waitFor(t, f, "last state in force", func(s Status) bool { return s.InForce >= last })
	require.Less(t, a.applied(), changes*3/4, "the follower was not disconnected")
	require.Equal(t, fmt.Sprint(100+changes-1), a.value()[:3])
}

// While no control machine is reachable, a gatekeeper keeps its settings and reports their age, also after a restart. It follows
// again when they are reachable.
func TestNoControlMachineReachable(t *testing.T) {
	c := startControlGroup(t, 3, 0, store.ServeOptions{})
	a := &checkedCandidates{t: t}
	dir := t.TempDir()
	f := c.follow(a, Options{Dir: dir})
	one := c.writeAll(0, "1")
	waitForValue(t, f, a, "1", one)
	for i := range 3 {
		c.net.SetMode("g", name(i), relay.Refuse)
	}
	lostTime := time.Now()
	s := waitFor(t, f, "session lost", func(s Status) bool { return !s.Connected && s.Fault != "" })
	require.NotEmpty(t, s.Fault)
	require.GreaterOrEqual(t, s.InForce, one)
	two := c.writeAll(0, "2") // can't reach the follower
	waitFor(t, f, "growing age", func(s Status) bool { return s.Age > 300*time.Millisecond })
	f.Close()

	again := &checkedCandidates{t: t, minRevision: one}
	f = c.follow(again, Options{Dir: dir})
	s = f.Status() // valid immediately after Open
	require.Equal(t, "1", again.value())
	require.GreaterOrEqual(t, s.InForce, one)
	require.GreaterOrEqual(t, s.Seen, one)
	require.True(t, s.RestoredFromDir)
	require.False(t, s.Connected)
	require.GreaterOrEqual(t, s.Age, 300*time.Millisecond)
	require.LessOrEqual(t, s.Age, time.Since(lostTime)+time.Second)
	require.Len(t, s.Sections, 3)
	waitFor(t, f, "fault of a failed attempt", func(s Status) bool { return s.Fault != "" })
	for i := range 3 {
		c.net.SetMode("g", name(i), relay.Open)
	}
	s = waitForValue(t, f, again, "2", two)
	require.False(t, s.RestoredFromDir)
	require.Empty(t, s.Fault)
	require.Equal(t, 2, again.applied())
}

// The control machine of the session loses contact with the leader. The gatekeeper keeps its settings and reports their age. It
// moves to a control machine that is in contact with a leader as soon as one is reachable.
func TestControlMachineWithoutLeader(t *testing.T) {
	c := startControlGroup(t, 3, 0, store.ServeOptions{})
	a := &checkedCandidates{t: t}
	f := c.follow(a, Options{})
	waitForValue(t, f, a, "1", c.writeAll(0, "1"))
	waitFor(t, f, "session with the preferred machine", func(s Status) bool { return s.Replica == "c0" })
	others := []string{"c1", "c2"}
	c.net.Cut([]string{"c0"}, others, true)
	c.net.Cut(others, []string{"c0"}, true)
	c.net.Cut([]string{"g"}, others, true) // keeps the gatekeeper from reaching the side with the leader
	c.net.Cut(others, []string{"g"}, true)
	two := c.writeAll(1, "2")
	waitFor(t, f, "age of 3 s", func(s Status) bool { return s.Age > 3*time.Second })
	require.True(t, f.Status().Connected)
	require.Equal(t, "1", a.value())
	c.net.Cut([]string{"g"}, others, false)
	c.net.Cut(others, []string{"g"}, false)
	s := waitForValue(t, f, a, "2", two)
	require.NotEqual(t, "c0", s.Replica)
	c.net.Heal()
	waitFor(t, f, "returned", func(s Status) bool { return s.Replica == "c0" && s.Age < time.Second })
}
