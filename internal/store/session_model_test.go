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

// oracle is what a store was written, by revision. One goroutine writes.
type oracle struct {
	mu        sync.Mutex
	revisions []uint64
	states    []map[string]string
	touched   [][]string // keys of each transaction
}

func (o *oracle) note(revision uint64, writes []Write) {
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
	o.revisions, o.states, o.touched = append(o.revisions, revision), append(o.states, state), append(o.touched, keys)
}

// at is the state under some prefixes at a revision.
func (o *oracle) at(revision uint64, prefixes []string) map[string]string {
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

// changesBetween are the revisions in (from, to] that changed a key under some prefixes.
func (o *oracle) changesBetween(from, to uint64, prefixes []string) (revisions []uint64) {
	for i, r := range o.revisions {
		if r > from && r <= to && len(o.touched[i]) > 0 {
			for _, key := range o.touched[i] {
				if hasAnyPrefix(key, prefixes) {
					revisions = append(revisions, r)
					break
				}
			}
		}
	}
	return revisions
}

// seen is one event of a follower and what it held after it.
type seen struct {
	kind     WatchKind
	revision uint64
	state    map[string]string
}

// follower keeps the records of its prefixes over many sessions, at any replica.
type follower struct {
	name     string
	prefixes []string
	pick     func() string // a replica's address

	mu      sync.Mutex
	held    uint64
	state   map[string]string
	events  []seen
	session context.CancelFunc
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		session, cancel := context.WithCancel(ctx)
		f.mu.Lock()
		f.session = cancel
		request := WatchRequest{Prefixes: f.prefixes, After: f.held, Session: SessionInfo{Name: f.name}}
		f.mu.Unlock()
		WatchSession(session, nil, f.pick(), request, nil, f.take)
		cancel()
		time.Sleep(time.Millisecond)
	}
}

func (f *follower) take(e WatchEvent) error {
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
	f.events = append(f.events, seen{e.Kind, e.Revision, state})
	return nil
}

func (f *follower) cut() {
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

// check compares all that a follower has seen with what was written.
func (f *follower) check(t require.TestingT, o *oracle) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var last uint64
	for i, e := range f.events {
		require.GreaterOrEqual(t, e.revision, last, "%s went back at event %d", f.name, i)
		require.Equal(t, o.at(e.revision, f.prefixes), e.state, "%s at %v of revision %d", f.name, e.kind, e.revision)
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

// Over random writes, cuts, and resumes at other replicas, some of which lag, a follower is sent every transaction exactly
// once and in order, or a snapshot in place of some; it never goes back; and what it holds is always what the store held
// at its revision.
func TestResumeIsExactlyOnce(t *testing.T) {
	g := newControlGroup(t, 3, 2, serveWith(func(s *ServeOptions) { s.HistorySize, s.HeartbeatInterval = 6, 10*time.Millisecond }))
	require.NoError(t, g.nodes[0].WaitReady(within(t)))
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
				rapid.SampledFrom(followers).Draw(t, "follower").cut()
			case "lag", "heal":
				g.cut(rapid.SampledFrom([]int{3, 4}).Draw(t, "replica"), step == "lag")
			case "pause":
				time.Sleep(time.Duration(rapid.IntRange(1, 10).Draw(t, "ms")) * time.Millisecond)
			}
		}
		g.cut(3, false)
		g.cut(4, false)
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
	o.note(revision, writes)
	return revision
}
