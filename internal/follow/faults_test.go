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

// faulted is one gatekeeper of TestControlFaults.
type faulted struct {
	self     scope.Target
	dir      string
	checked  *checked
	follower *Follower
}

func (g *faulted) open(t *testing.T, c *controls) {
	t.Helper()
	floor := g.checked.revision()
	if g.dir == "" {
		floor = 0 // it starts from its file
	}
	g.checked = &checked{t: t, floor: floor}
	f, err := Open(Options{Self: g.self, Replicas: c.replicas, Dir: g.dir, Apply: g.checked.apply, Log: quiet(), Seed: 1, Timing: realTiming})
	require.NoError(t, err)
	g.follower = f
	if floor > 0 {
		require.GreaterOrEqual(t, g.checked.revision(), floor, "%s started without what it had in force", g.self.Name)
	}
}

// unansweredFor is how long a write that got no answer may still be carried out, at a member that has taken it.
const unansweredFor = 4 * time.Second

// Random faults at random control machines (silent, refusing, parted from the others) with changes, some of them refused, and
// gatekeepers that restart: no gatekeeper ever goes back, holds a refused change or a mix of two (checked.apply), also over a
// restart; and once all is healed all have the last good one.
func TestControlFaults(t *testing.T) {
	const machines, gatekeepers = 5, 8
	faults := 40
	if testing.Short() {
		faults = 15
	}
	c := startControls(t, 3, 2, store.ServeOptions{HistorySize: 8})
	random := rand.New(rand.NewPCG(7, 7))
	var all []*faulted
	for i := range gatekeepers {
		g := &faulted{self: scope.Target{Name: fmt.Sprint("g", i), Region: "r1", Zone: fmt.Sprint("z", i%machines)}}
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
		has(t, g.follower, g.checked, "0", one)
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
		// Without a majority it fails, or is carried out without an answer: both are right.
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
			c.net.SetDoor("g", machine, relay.Refuse)
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
				c.net.SetDoor("g", name(i), relay.Open)
			}
		}
		write(n)
		time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
	}
	c.net.Heal()
	for i := range machines {
		c.net.SetDoor("g", name(i), relay.Open)
	}
	time.Sleep(unansweredFor)
	healed := time.Now()
	last := c.write(0, map[string]string{"all/calls": "last", "all/limits": "last"})
	for _, g := range all {
		has(t, g.follower, g.checked, "last", last)
	}
	t.Logf("%d changes (%d of them refused) through %d steps; all in force %.2f s after the last change", written, refused, faults, time.Since(healed).Seconds())
	require.Greater(t, written, faults/2)
	require.True(t, refused > 0 || testing.Short(), "no refused change came about")
}

// A control machine that admits four sessions a second sends the others away, and all have one when they were told to come.
func TestControlAdmits(t *testing.T) {
	c := startControls(t, 1, 0, store.ServeOptions{Admission: store.AdmissionOptions{SessionsPerSecond: 4, SessionsBurst: 1}})
	one := c.write(0, map[string]string{"all/calls": "1"})
	const gatekeepers = 8
	begun := time.Now()
	var started []func()
	for i := range gatekeepers {
		a := &checked{t: t}
		f, err := Open(Options{Self: scope.Target{Name: fmt.Sprint("g", i)}, Replicas: c.replicas, Apply: a.apply, Log: quiet(), Seed: 1,
			Timing: session.Timing{BackoffBase: 10e3, BackoffCap: 10e3}})
		require.NoError(t, err)
		t.Cleanup(f.Close)
		started = append(started, func() { has(t, f, a, "1", one) })
	}
	for _, wait := range started {
		wait()
	}
	took := time.Since(begun)
	t.Logf("%d gatekeepers in %v", gatekeepers, took)
	require.Greater(t, took, (gatekeepers-2)*time.Second/4, "they were not held back")
	require.Less(t, took, 10*time.Second)
}
