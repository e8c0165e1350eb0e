package store

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"beammux/control/advice"
	"beammux/internal/porttest"
	"beammux/internal/relay"
)

// controlGroup is a group of control machines on loopback.
type controlGroup struct {
	t         *testing.T
	peers     []Peer
	listeners []net.Listener
	nodes     []*Node
	configure func(i int, o *Options)
	network   *relay.Network // between the members
}

// newControlGroup starts voters and non-voters, in this order. configure may change each one's options; nil: none.
func newControlGroup(t *testing.T, voters, nonVoters int, configure func(i int, o *Options)) *controlGroup {
	t.Helper()
	g := &controlGroup{t: t, configure: configure, network: relay.New(1)}
	t.Cleanup(g.network.Close)
	for i := range voters + nonVoters {
		l := porttest.Listen(t)
		g.listeners = append(g.listeners, l)
		g.peers = append(g.peers, Peer{Node: fmt.Sprint("c", i), Address: l.Addr().String(), NonVoter: i >= voters})
	}
	g.nodes = make([]*Node, len(g.peers))
	for i := range g.peers {
		g.start(i, g.listeners[i])
	}
	return g
}

func (g *controlGroup) start(i int, l net.Listener) {
	g.t.Helper()
	o := Options{Node: g.peers[i].Node, Listener: l, Peers: g.peers, Log: quiet(),
		Serve: &ServeOptions{Name: g.peers[i].Node, Prefix: "settings/", HeartbeatInterval: 50 * time.Millisecond, ReportInterval: 50 * time.Millisecond}}
	for j, p := range g.peers {
		if j == i {
			continue
		}
		link, err := g.network.TCP(o.Node, p.Node, "store")
		require.NoError(g.t, err)
		g.network.Up(p.Node, "store", p.Address)
		if o.Via == nil {
			o.Via = map[string]string{}
		}
		o.Via[p.Address] = link.Addr()
	}
	if g.configure != nil {
		g.configure(i, &o)
	}
	n, err := Open(o)
	require.NoError(g.t, err)
	g.nodes[i] = n
	g.t.Cleanup(func() { n.Close() })
}

// cut parts a member from the others, or heals it.
func (g *controlGroup) cut(i int, cut bool) {
	var others []string
	for j, p := range g.peers {
		if j != i {
			others = append(others, p.Node)
		}
	}
	one := []string{g.peers[i].Node}
	g.network.Cut(one, others, cut)
	g.network.Cut(others, one, cut)
}

func (g *controlGroup) close() {
	for _, n := range g.nodes {
		n.Close()
	}
	g.network.Close()
}

func (g *controlGroup) address(i int) string { return g.peers[i].Address }

func (g *controlGroup) leader() int {
	g.t.Helper()
	found := -1
	require.Eventually(g.t, func() bool {
		for i, n := range g.nodes {
			if n.Leader() {
				found = i
				return true
			}
		}
		return false
	}, 20*time.Second, 5*time.Millisecond)
	return found
}

// putAll writes a record and waits until all members have it.
func (g *controlGroup) putAll(key, value string) uint64 {
	g.t.Helper()
	revision := g.put(key, value)
	for _, n := range g.nodes {
		require.NoError(g.t, n.fsm.wait(within(g.t), revision))
	}
	return revision
}

// put writes a record through the first member and gives its revision.
func (g *controlGroup) put(key, value string) uint64 {
	g.t.Helper()
	revision, err := g.nodes[0].Transact(within(g.t), []Write{{Key: key, Value: []byte(value)}})
	require.NoError(g.t, err)
	return revision
}

// client follows a session and keeps what it has been sent.
type client struct {
	t       *testing.T
	events  chan WatchEvent
	reports chan WatchReport
	ended   chan error
	cancel  context.CancelFunc
}

func watchSession(t *testing.T, address string, r WatchRequest) *client {
	t.Helper()
	if r.Session.Name == "" {
		r.Session.Name = "g1"
	}
	if r.Prefixes == nil {
		r.Prefixes = []string{"settings/"}
	}
	ctx, cancel := context.WithCancel(t.Context())
	c := &client{t, make(chan WatchEvent, 1024), make(chan WatchReport, 16), make(chan error, 1), cancel}
	go func() {
		c.ended <- WatchSession(ctx, nil, address, r, c.reports, func(e WatchEvent) error { c.events <- e; return nil })
	}()
	t.Cleanup(cancel)
	return c
}

// next gives the next event; heartbeats are left out unless one is wanted.
func (c *client) next(kind WatchKind) WatchEvent {
	c.t.Helper()
	limit := time.After(15 * time.Second)
	for {
		select {
		case e := <-c.events:
			if e.Kind == kind {
				return e
			}
			if e.Kind != Heartbeat {
				c.t.Fatalf("%v while a %v was expected", e, kind)
			}
		case err := <-c.ended:
			c.t.Fatalf("the session ended (%v) before a %v", err, kind)
		case <-limit:
			c.t.Fatalf("no %v within 15 s", kind)
		}
	}
}

// until reads heartbeats up to one that pleases.
func (c *client) until(pleases func(WatchEvent) bool) WatchEvent {
	c.t.Helper()
	for limit := time.Now().Add(15 * time.Second); ; {
		e := c.next(Heartbeat)
		if pleases(e) {
			return e
		}
		if time.Now().After(limit) {
			c.t.Fatalf("last heartbeat: %+v, fleet %+v", e, e.Fleet)
		}
	}
}

func (c *client) end() error {
	c.t.Helper()
	select {
	case err := <-c.ended:
		return err
	case <-time.After(20 * time.Second):
		c.t.Fatal("the session goes on")
		return nil
	}
}

func (c *client) leave() {
	c.cancel()
	require.ErrorIs(c.t, c.end(), context.Canceled)
}

func keysOf(records []Record) (keys []string) {
	for _, r := range records {
		keys = append(keys, r.Key)
	}
	return keys
}

// A session begins with a snapshot of its prefixes, brings each transaction as one event, and moves on by heartbeats where
// what was written is none of its own; another resumes from there without a snapshot and misses nothing.
func TestSession(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	g := newControlGroup(t, 3, 1, nil)
	defer g.close()
	first := g.put("settings/all/calls", "1")
	other := g.put("settings/zone/z2/calls", "other")
	require.NoError(t, g.nodes[3].fsm.wait(within(t), other))
	c := watchSession(t, g.address(3), WatchRequest{Prefixes: []string{"settings/all/", "settings/zone/z1/"}})
	e := c.next(Snapshot)
	require.Equal(t, []Record{{"settings/all/calls", []byte("1"), first}}, e.Records)
	require.Equal(t, other, e.Revision)

	revision, err := g.nodes[1].Transact(within(t), []Write{{Key: "settings/all/calls", Delete: true}, {Key: "settings/zone/z1/limits"},
		{Key: "settings/zone/z2/limits", Value: []byte("x")}})
	require.NoError(t, err)
	e = c.next(Change)
	require.Equal(t, WatchEvent{Kind: Change, Revision: revision, Records: []Record{{"settings/all/calls", nil, revision},
		{"settings/zone/z1/limits", []byte{}, revision}}}, e)

	quietRevision := g.put("settings/zone/z2/calls", "again")
	c.until(func(e WatchEvent) bool { return e.Revision >= quietRevision })
	c.leave()
	missed := g.put("settings/all/limits", "3")
	c = watchSession(t, g.address(0), WatchRequest{Prefixes: []string{"settings/all/"}, After: quietRevision})
	e = c.next(Change)
	require.Equal(t, missed, e.Revision)
	require.Equal(t, []Record{{"settings/all/limits", []byte("3"), missed}}, e.Records)
	c.leave()
}

// All writes of a transaction are carried out at one revision, or none, through any member.
func TestTransaction(t *testing.T) {
	g := newControlGroup(t, 3, 1, nil)
	ctx := within(t)
	none, stale := uint64(0), uint64(1)
	first, err := TransactTo(ctx, g.address(3), []Write{{Key: "a", Value: []byte("1"), At: &none}, {Key: "b", Value: []byte("1")}})
	require.NoError(t, err)
	_, err = TransactTo(ctx, g.address(1), []Write{{Key: "c", Value: []byte("1")}, {Key: "a", Delete: true, At: &stale}})
	require.ErrorIs(t, err, ErrRevision)
	second, err := TransactTo(ctx, g.address(2), []Write{{Key: "a", Delete: true, At: &first}, {Key: "b", Value: []byte("2")}})
	require.NoError(t, err)
	require.Greater(t, second, first)
	for i, n := range g.nodes {
		require.NoError(t, n.fsm.wait(ctx, second), i)
		require.Equal(t, []Record{{"b", []byte("2"), second}}, n.List(""), i)
	}
	var bad *BadRequest
	for _, writes := range [][]Write{nil, {{Key: ""}}, {{Key: "a"}, {Key: "a", Delete: true}}} {
		_, err = TransactTo(ctx, g.address(0), writes)
		require.ErrorAs(t, err, &bad, "%v", writes)
		_, err = g.nodes[0].Transact(ctx, writes)
		require.ErrorAs(t, err, &bad, "%v", writes)
	}
}

type placed struct{ text string }

func (p *placed) Error() string  { return p.text }
func (p *placed) Advice() string { return "write a number there" }

// A client's write that does not check is refused by whichever member it reaches, with the place and the advice of the
// check; what this process writes itself and other keys are not asked about.
func TestCheckRefuses(t *testing.T) {
	check := func(writes []Write) error {
		for _, w := range writes {
			if string(w.Value) == "bad" {
				return fmt.Errorf("%s: %w", w.Key, &placed{"calls.json:3:7: rate: not a number"})
			}
		}
		return nil
	}
	g := newControlGroup(t, 3, 0, func(_ int, o *Options) { o.Check = check })
	ctx := within(t)
	require.NoError(t, g.nodes[0].WaitReady(ctx))
	leader := g.leader()
	for _, at := range []int{leader, (leader + 1) % 3} {
		address := g.address(at)
		_, err := PutTo(ctx, address, "k", []byte("good"), nil)
		require.NoError(t, err)
		zero := uint64(0)
		writes := map[string]func() error{
			"put":    func() error { _, err := PutTo(ctx, address, "k", []byte("bad"), nil); return err },
			"put-at": func() error { _, err := PutTo(ctx, address, "l", []byte("bad"), &zero); return err },
			"transact": func() error {
				_, err := TransactTo(ctx, address, []Write{{Key: "m"}, {Key: "k", Value: []byte("bad")}})
				return err
			},
		}
		for name, write := range writes {
			began := time.Now()
			err := write()
			var refused *Refused
			require.ErrorAs(t, err, &refused, name)
			require.Contains(t, err.Error(), "calls.json:3:7: rate: not a number", name)
			require.Equal(t, "write a number there", advice.Of(err), name)
			require.Less(t, time.Since(began), applyWithin, "a refusal was tried again")
		}
		require.Equal(t, []string{"k"}, keysOf(g.nodes[at].List("")))
		r, _ := g.nodes[at].Get("k")
		require.Equal(t, "good", string(r.Value))
	}
}

// Members without Serve, and gatekeepers, are told apart by their answer.
func TestNotControl(t *testing.T) {
	g := newControlGroup(t, 1, 0, func(_ int, o *Options) { o.Serve = nil })
	var not *NotControl
	require.ErrorAs(t, watchSession(t, g.address(0), WatchRequest{}).end(), &not)
	_, err := SessionsFrom(within(t), nil, g.address(0))
	require.ErrorAs(t, err, &not)
}

var errHandled = errors.New("handled enough")

// The error of handle ends the session and is returned.
func TestHandleEndsSession(t *testing.T) {
	g := newControlGroup(t, 1, 0, nil)
	var mu sync.Mutex
	seen := 0
	err := WatchSession(within(t), nil, g.address(0), WatchRequest{Prefixes: []string{"settings/"}}, nil, func(WatchEvent) error {
		mu.Lock()
		defer mu.Unlock()
		seen++
		return errHandled
	})
	require.ErrorIs(t, err, errHandled)
	require.Equal(t, 1, seen)
}

// listenAgain listens where a member that has ended did.
func listenAgain(t *testing.T, address string) (l net.Listener) {
	t.Helper()
	require.Eventually(t, func() (ok bool) {
		var err error
		l, err = net.Listen("tcp", address)
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
	return l
}
