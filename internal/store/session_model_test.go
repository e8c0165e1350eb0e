package store

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// oracle records the expected state of a store at each revision. It supports a single writer.
type oracle struct {
	mu          sync.Mutex
	revisions   []uint64
	states      []map[string]string
	changedKeys [][]string // keys that each transaction changed
}

// record records a transaction.
func (o *oracle) record(revision uint64, writes []Write) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := map[string]string{}
	if len(o.states) > 0 {
		state = maps.Clone(o.states[len(o.states)-1])
	}
	var keys []string
	for _, w := range writes {
		if _, there := state[w.Key]; there || !w.Delete {
			keys = append(keys, w.Key)
		}
		delete(state, w.Key)
		if !w.Delete {
			state[w.Key] = string(w.Value)
		}
	}
	o.revisions, o.states, o.changedKeys = append(o.revisions, revision), append(o.states, state), append(o.changedKeys, keys)
}

// stateAt returns the state under some prefixes at a revision.
func (o *oracle) stateAt(revision uint64, prefixes []string) map[string]string {
	state := map[string]string{}
	for i, r := range o.revisions {
		if r <= revision {
			state = o.states[i]
		}
	}
	state = maps.Clone(state)
	maps.DeleteFunc(state, func(key, _ string) bool { return !hasAnyPrefix(key, prefixes) })
	return state
}

// changesBetween returns the revisions in (from, to] that changed a key under some prefixes.
func (o *oracle) changesBetween(from, to uint64, prefixes []string) (revisions []uint64) {
	for i, r := range o.revisions {
		if r > from && r <= to && len(o.changedKeys[i]) > 0 {
			for _, key := range o.changedKeys[i] {
				if hasAnyPrefix(key, prefixes) {
					revisions = append(revisions, r)
					break
				}
			}
		}
	}
	return revisions
}

// followerEvent is one event of a follower and the follower's state after it.
type followerEvent struct {
	kind     WatchKind
	revision uint64
	state    map[string]string
}

// follower is a client that keeps the records under its prefixes across many sessions with different replicas.
type follower struct {
	name     string
	prefixes []string
	pick     func() string // returns the address of a replica

	mu      sync.Mutex
	held    uint64
	state   map[string]string
	events  []followerEvent
	session context.CancelFunc
}

// run opens one session after another until the context ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		session, cancel := context.WithCancel(ctx)
		f.mu.Lock()
		f.session = cancel
		request := WatchRequest{Prefixes: f.prefixes, After: f.held, Session: SessionInfo{Name: f.name}}
		f.mu.Unlock()
		WatchSession(session, nil, f.pick(), request, nil, f.handle)
		cancel()
		time.Sleep(time.Millisecond)
	}
}

// handle handles an event.
func (f *follower) handle(e WatchEvent) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := maps.Clone(f.state)
	if e.Kind == Snapshot || state == nil {
		state = map[string]string{}
	}
	for _, r := range e.Records {
		if r.Value == nil {
			delete(state, r.Key)
		} else {
			state[r.Key] = string(r.Value)
		}
	}
	f.state, f.held = state, e.Revision
	f.events = append(f.events, followerEvent{e.Kind, e.Revision, state})
	return nil
}

// disconnect ends the current session.
func (f *follower) disconnect() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.session != nil {
		f.session()
	}
}

func (f *follower) reached(revision uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held >= revision
}

// check compares all events of the follower with the oracle.
func (f *follower) check(t require.TestingT, o *oracle) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var last uint64
	for i, e := range f.events {
		require.GreaterOrEqual(t, e.revision, last, "%s went back at event %d", f.name, i)
		require.Equal(t, o.stateAt(e.revision, f.prefixes), e.state, "%s at %v of revision %d", f.name, e.kind, e.revision)
		switch e.kind {
		case Change:
			require.Greater(t, e.revision, last, "%s was sent a change twice", f.name)
			require.Equal(t, []uint64{e.revision}, o.changesBetween(last, e.revision, f.prefixes), "%s missed changes", f.name)
		case Heartbeat:
			require.Empty(t, o.changesBetween(last, e.revision, f.prefixes), "%s was not sent a change", f.name)
		}
		last = e.revision
	}
}

// Under random writes, disconnects and resumes at other replicas, some of which lag, a follower gets every transaction exactly
// once and in order, or a snapshot in place of some. Its revision never decreases, and its state always equals the state of the
// store at its revision.
func TestResumeIsExactlyOnce(t *testing.T) {
	g := newControlGroup(t, 3, 2, serveWith(func(s *ServeOptions) { s.HistorySize, s.HeartbeatInterval = 6, 10*time.Millisecond }))
	require.NoError(t, g.nodes[0].WaitReady(testContext(t)))
	keys := []string{"settings/a/1", "settings/a/2", "settings/b/1", "settings/b/2", "settings/c/1"}
	all := &oracle{}
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed of the replicas picked")
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		var running sync.WaitGroup
		var followers []*follower
		for i, prefixes := range [][]string{{"settings/a/"}, {"settings/a/", "settings/b/"}, {"settings/"}} {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			f := &follower{name: fmt.Sprint("f", i), prefixes: prefixes, pick: func() string { return g.address(rng.IntN(len(g.nodes))) }}
			followers = append(followers, f)
			running.Go(func() { f.run(ctx) })
		}
		var newest uint64
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch step := rapid.SampledFrom([]string{"write", "write", "write", "cut", "lag", "heal", "pause"}).Draw(t, "step"); step {
			case "write":
				newest = writeSome(t, g, all, keys)
			case "cut":
				rapid.SampledFrom(followers).Draw(t, "follower").disconnect()
			case "lag", "heal":
				g.disconnect(rapid.SampledFrom([]int{3, 4}).Draw(t, "replica"), step == "lag")
			case "pause":
				time.Sleep(time.Duration(rapid.IntRange(1, 10).Draw(t, "ms")) * time.Millisecond)
			}
		}
		g.disconnect(3, false)
		g.disconnect(4, false)
		for _, f := range followers {
			for limit := time.Now().Add(20 * time.Second); !f.reached(newest); time.Sleep(time.Millisecond) {
				require.True(t, time.Now().Before(limit), "%s does not reach revision %d", f.name, newest)
			}
		}
		stop()
		running.Wait()
		for _, f := range followers {
			f.check(t, all)
		}
	})
}

// writeSome commits a random transaction and returns its revision.
func writeSome(t *rapid.T, g *controlGroup, o *oracle, keys []string) uint64 {
	var writes []Write
	for _, key := range keys {
		if rapid.IntRange(0, 2).Draw(t, key) == 0 {
			writes = append(writes, Write{Key: key, Value: []byte(fmt.Sprint(len(o.revisions), key)), Delete: rapid.Bool().Draw(t, "delete")})
		}
	}
	if len(writes) == 0 {
		writes = []Write{{Key: "other/1", Value: []byte{}}}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	revision, err := g.nodes[0].Transact(ctx, writes)
	if errors.Is(err, context.DeadlineExceeded) {
		t.Fatal("a write took 20 s")
	}
	require.NoError(t, err)
	o.record(revision, writes)
	return revision
}
