package follow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"beammux/control/scope"
	"beammux/control/session"
	"beammux/internal/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// patience is how long a test waits for what must come; only a failure takes so long.
const patience = 20 * time.Second

var self = scope.Target{Name: "g1", Region: "r1", Zone: "z1", Service: "billing"}

// scripted stands in for store.WatchSession: the test plays the control machines.
type scripted struct {
	t     *testing.T
	calls chan *call
}

// call is one session that the follower has opened.
type call struct {
	t       *testing.T
	address string
	request store.WatchRequest
	reports <-chan store.WatchReport
	events  chan store.WatchEvent
	handled chan error
	end     chan error
	closed  <-chan struct{} // the follower has closed it
}

func newScripted(t *testing.T) *scripted { return &scripted{t, make(chan *call)} }

func (s *scripted) watch(ctx context.Context, _ store.Dial, address string, r store.WatchRequest, reports <-chan store.WatchReport, handle func(store.WatchEvent) error) error {
	c := &call{s.t, address, r, reports, make(chan store.WatchEvent), make(chan error), make(chan error), ctx.Done()}
	select {
	case s.calls <- c:
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		select {
		case e := <-c.events:
			err := handle(e)
			select {
			case c.handled <- err:
			case <-ctx.Done():
			}
			if err != nil {
				return err
			}
		case err := <-c.end:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// next is the next session that the follower opens.
func (s *scripted) next() *call {
	s.t.Helper()
	select {
	case c := <-s.calls:
		return c
	case <-time.After(patience):
		require.FailNow(s.t, "no session was opened")
		return nil
	}
}

// send sends an event and waits until the follower has taken it from the session.
func (c *call) send(e store.WatchEvent) {
	c.t.Helper()
	select {
	case c.events <- e:
	case <-time.After(patience):
		require.FailNow(c.t, "the event was not read")
	}
	select {
	case err := <-c.handled:
		require.NoError(c.t, err)
	case <-time.After(patience):
		require.FailNow(c.t, "the event was not handled")
	}
}

func (c *call) snapshot(revision uint64, records ...scope.Record) {
	c.t.Helper()
	c.send(store.WatchEvent{Kind: store.Snapshot, Revision: revision, Records: stored(records)})
}

func (c *call) change(revision uint64, records ...scope.Record) {
	c.t.Helper()
	c.send(store.WatchEvent{Kind: store.Change, Revision: revision, Records: stored(records)})
}

func stored(records []scope.Record) (list []store.Record) {
	for _, r := range records {
		list = append(list, store.Record{Key: r.Key, Value: r.Value, Revision: r.Revision})
	}
	return list
}

func (c *call) heartbeat(revision uint64) {
	c.t.Helper()
	c.send(store.WatchEvent{Kind: store.Heartbeat, Revision: revision})
}

// report waits for a report.
func (c *call) report(want store.WatchReport) {
	c.t.Helper()
	var last store.WatchReport
	deadline := time.After(patience)
	for {
		select {
		case last = <-c.reports:
			if last == want {
				return
			}
		case <-deadline:
			require.Equal(c.t, want, last)
			require.FailNow(c.t, "no report came")
		}
	}
}

// applied is what a gatekeeper put in force. It refuses values that are "bad".
type applied struct {
	mu   sync.Mutex
	list []Candidate
}

var errBad = errors.New("limits.json:1:2: parts: bad")

func (a *applied) apply(c Candidate) error {
	for _, r := range c.Sections {
		if string(r.Value) == "bad" {
			return errBad
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, c)
	return nil
}

func (a *applied) all() []Candidate {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Candidate{}, a.list...)
}

func quiet() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func replicas(n int) []session.Replica {
	var all []session.Replica
	for i := range n {
		all = append(all, session.Replica{Name: fmt.Sprint("c", i), Address: fmt.Sprint("c", i), Zone: fmt.Sprint("z", i+1), Region: "r1"})
	}
	return all
}

var quick = session.Timing{BackoffBase: 1e3, BackoffCap: 10e3, BehindWait: 1e3, ConnectWithin: 20e6, HeartbeatWithin: 20e6, ReturnEvery: 3600e6}

func start(t *testing.T, s *scripted, a *applied, o Options) *Follower {
	t.Helper()
	o.Self, o.Apply, o.Log, o.Seed = self, a.apply, quiet(), 1
	if o.Replicas == nil {
		o.Replicas = replicas(3)
	}
	if o.Timing == (session.Timing{}) {
		o.Timing = quick
	}
	f, err := open(o, s.watch)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

func limits(scopeOf, value string, revision uint64) scope.Record {
	return scope.Record{Key: scope.Prefix + scopeOf + "/limits", Value: []byte(value), Revision: revision}
}

func deleted(scopeOf string, revision uint64) scope.Record {
	return scope.Record{Key: scope.Prefix + scopeOf + "/limits", Revision: revision}
}

func candidate(revision uint64, records ...scope.Record) Candidate {
	c := Candidate{revision, map[string]scope.Record{}}
	for _, r := range records {
		c.Sections["limits"] = r
	}
	return c
}

// waitFor waits until the status is as wanted.
func waitFor(t *testing.T, f *Follower, what string, ok func(Status) bool) Status {
	t.Helper()
	require.Eventually(t, func() bool { return ok(f.Status()) }, patience, time.Millisecond, "%s: %+v", what, f.Status())
	return f.Status()
}

// A change is put in force when what this gatekeeper resolves to has changed, else the revision alone moves on.
func TestFollow(t *testing.T) {
	s, a := newScripted(t), &applied{}
	f := start(t, s, a, Options{})
	require.Equal(t, time.Duration(-1), f.Status().Age)
	c := s.next()
	require.Equal(t, "c0", c.address)
	require.Equal(t, store.WatchRequest{
		Prefixes: self.Prefixes(), Session: store.SessionInfo{Name: "g1", Region: "r1", Zone: "z1", Service: "billing"},
	}, c.request)
	all, zone := limits("all", "1", 3), limits("zone/z1", "2", 6)
	c.snapshot(5, all)
	c.report(store.WatchReport{InForce: 5})
	c.change(6, zone)
	c.report(store.WatchReport{InForce: 6})
	c.change(7, limits("all", "3", 7))
	c.report(store.WatchReport{InForce: 7})
	c.heartbeat(9)
	c.report(store.WatchReport{InForce: 9})
	c.change(10, deleted("zone/z1", 10))
	c.report(store.WatchReport{InForce: 10})
	require.Equal(t, []Candidate{candidate(5, all), candidate(6, zone), candidate(10, limits("all", "3", 7))}, a.all())
	st := f.Status()
	require.True(t, st.Connected)
	require.Equal(t, "c0", st.Replica)
	require.Equal(t, uint64(10), st.Seen)
	require.Equal(t, []Section{{"limits", "settings/all/limits", 7}}, st.Sections)
	require.GreaterOrEqual(t, st.Age, time.Duration(0))
	require.Less(t, st.Age, patience)
}
