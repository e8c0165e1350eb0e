package follow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/control/scope"
	"beammux/control/session"
	"beammux/internal/relay"
	"beammux/internal/store"
)

// testGatekeeper is one gatekeeper of TestRandomFaults.
type testGatekeeper struct {
	self              scope.Target
	dir               string
	checkedCandidates *checkedCandidates
	follower          *Follower
}

// open opens the gatekeeper's follower, as after a restart.
func (g *testGatekeeper) open(t *testing.T, c *controlGroup) {
	t.Helper()
	minRevision := g.checkedCandidates.revision()
	if g.dir == "" {
		minRevision = 0 // without a directory, a restart begins with the gatekeeper's own file
	}
	g.checkedCandidates = &checkedCandidates{t: t, minRevision: minRevision}
	f, err := Open(Options{Self: g.self, Replicas: c.replicas, Dir: g.dir, Apply: g.checkedCandidates.apply, Log: discardLogger(), Seed: 1, Timing: realTiming})
	require.NoError(t, err)
	g.follower = f
	if minRevision > 0 {
		require.GreaterOrEqual(t, g.checkedCandidates.revision(), minRevision, "%s started without the settings that were in force", g.self.Name)
	}
}

// unansweredWriteTime is the time within which a write that got no answer may still be committed by the member that accepted it.
const unansweredWriteTime = 4 * time.Second

// Random faults of random control machines (unresponsive, refusing connections, partitioned from the others) during changes,
// some of which are refused, and restarts of gatekeepers. No gatekeeper goes back to an older revision, puts a refused change in
// force or mixes two changes (checkedCandidates.apply), also after a restart. After all faults end, all gatekeepers have the
// last good change in force.
func TestRandomFaults(t *testing.T) {
	const machines, gatekeepers = 5, 8
	faults := 40
	if testing.Short() {
		faults = 15
	}
	c := startControlGroup(t, 3, 2, store.ServeOptions{HistorySize: 8})
	random := rand.New(rand.NewPCG(7, 7))
	var all []*testGatekeeper
	for i := range gatekeepers {
		g := &testGatekeeper{self: scope.Target{Name: fmt.Sprint("g", i), Region: "r1", Zone: fmt.Sprint("z", i%machines)}}
		if i%4 != 3 {
			g.dir = t.TempDir()
		}
		g.open(t, c)
		all = append(all, g)
	}
	t.Cleanup(func() {
		for _, g := range all {
			g.follower.Close()
		}
	})
	one := c.write(0, map[string]string{"all/calls": "0", "all/limits": "0"})
	for _, g := range all {
		waitForValue(t, g.follower, g.checkedCandidates, "0", one)
	}
	written, refused := 0, 0
	write := func(n int) {
		value := fmt.Sprint(n)
		if n%5 == 4 {
			value = "bad"
		}
		var writes []store.Write
		for _, key := range []string{"all/calls", "all/limits"} {
			writes = append(writes, store.Write{Key: scope.Prefix + key, Value: []byte(value)})
		}
		// Without a majority the write fails or is committed without an answer; both are correct.
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		if _, err := c.nodes[n%3].Transact(ctx, writes); err == nil {
			written++
			if value == "bad" {
				refused++
			}
		}
	}
	for n := range faults {
		machine := name(random.IntN(machines))
		var others []string
		for i := range machines {
			if name(i) != machine {
				others = append(others, name(i))
			}
		}
		switch random.IntN(6) {
		case 0:
			c.net.SetMode("g", machine, relay.Refuse)
		case 1:
			c.net.Cut([]string{machine}, []string{"g"}, true)
		case 2:
			c.net.Cut([]string{machine}, others, true)
			c.net.Cut(others, []string{machine}, true)
		case 3:
			g := all[random.IntN(gatekeepers)]
			g.follower.Close()
			g.open(t, c)
		default:
			c.net.Heal()
			for i := range machines {
				c.net.SetMode("g", name(i), relay.Open)
			}
		}
		write(n)
		time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
	}
	c.net.Heal()
	for i := range machines {
		c.net.SetMode("g", name(i), relay.Open)
	}
	time.Sleep(unansweredWriteTime)
	healed := time.Now()
	last := c.write(0, map[string]string{"all/calls": "last", "all/limits": "last"})
	for _, g := range all {
		waitForValue(t, g.follower, g.checkedCandidates, "last", last)
	}
	t.Logf("%d changes (%d of them refused) in %d steps; all in force %.2f s after the last change", written, refused, faults, time.Since(healed).Seconds())
	require.Greater(t, written, faults/2)
	require.True(t, refused > 0 || testing.Short(), "no refused change was written")
}

// A control machine that admits four sessions per second sends further gatekeepers a retry delay, and all of them get a session after
// that delay.
func TestAdmissionLimit(t *testing.T) {
	c := startControlGroup(t, 1, 0, store.ServeOptions{Admission: store.AdmissionOptions{SessionsPerSecond: 4, SessionsBurst: 1}})
	one := c.write(0, map[string]string{"all/calls": "1"})
	const gatekeepers = 8
	begun := time.Now()
	var started []func()
	for i := range gatekeepers {
		a := &checkedCandidates{t: t}
		f, err := Open(Options{Self: scope.Target{Name: fmt.Sprint("g", i)}, Replicas: c.replicas, Apply: a.apply, Log: discardLogger(), Seed: 1,
			Timing: session.Timing{BackoffBase: 10e3, BackoffCap: 10e3}})
		require.NoError(t, err)
		t.Cleanup(f.Close)
		started = append(started, func() { waitForValue(t, f, a, "1", one) })
	}
	for _, wait := range started {
		wait()
	}
	took := time.Since(begun)
	t.Logf("%d gatekeepers in %v", gatekeepers, took)
	require.Greater(t, took, (gatekeepers-2)*time.Second/4, "the rate of sessions was not limited")
	require.Less(t, took, 10*time.Second)
}
