package follow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"beammux/control/advice"
	"beammux/control/scope"
	"beammux/control/session"
	"beammux/internal/store"
)

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
	case <-c.closed: // for what it brought
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

var quick = session.Timing{MaxStartDelay: 1e3, BackoffBase: 1e3, BackoffCap: 10e3, BehindHold: 1e3, ConnectTimeout: 20e6, HeartbeatTimeout: 20e6, ReturnInterval: 3600e6}

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
	for deadline := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		s := f.Status()
		if ok(s) {
			return s
		}
		if time.Now().After(deadline) {
			require.FailNow(t, what+" did not come", "%+v, refused %+v, fleet %+v", s, s.Refused, s.Fleet)
		}
	}
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

func removeAll(dir string, names ...string) error {
	for _, name := range names {
		if err := os.Remove(filepath.Join(dir, name)); err != nil {
			return err
		}
	}
	return nil
}

// An Apply that takes longer than heartbeats may does not end the session whose heartbeats wait meanwhile.
func TestSlowApply(t *testing.T) {
	s := newScripted(t)
	timing := quick
	timing.HeartbeatTimeout = 300e3
	f, err := open(Options{Self: self, Replicas: replicas(3), Log: quiet(), Seed: 1, Timing: timing, Apply: func(Candidate) error {
		time.Sleep(time.Second)
		return nil
	}}, s.watch)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	c := s.next()
	stop := make(chan struct{})
	defer close(stop)
	go func() { // as the connection would hold them
		for revision := uint64(5); ; revision++ {
			e := store.WatchEvent{Kind: store.Heartbeat, Revision: revision}
			if revision == 5 {
				e = store.WatchEvent{Kind: store.Snapshot, Revision: revision, Records: stored([]scope.Record{limits("all", "1", 3)})}
			}
			select {
			case c.events <- e:
				<-c.handled
			case <-stop:
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	waitFor(t, f, "heartbeats after Apply", func(s Status) bool { return s.InForce >= 20 })
	select {
	case <-s.calls:
		require.Fail(t, "another session was opened")
	case <-c.closed:
		require.Fail(t, "the session was closed")
	default:
	}
}

// The age counts from the last word of a control machine that had its leader's word itself.
func TestAge(t *testing.T) {
	s, a := newScripted(t), &applied{}
	f := start(t, s, a, Options{})
	c := s.next()
	c.snapshot(5)
	c.send(store.WatchEvent{Kind: store.Heartbeat, Revision: 5, Age: time.Hour})
	st := waitFor(t, f, "a word", func(s Status) bool { return s.Age >= 0 })
	require.InDelta(t, time.Hour, st.Age, float64(patience))
	c.send(store.WatchEvent{Kind: store.Heartbeat, Revision: 5, Age: time.Second})
	waitFor(t, f, "a younger one", func(s Status) bool { return s.Age < time.Minute })
	c.send(store.WatchEvent{Kind: store.Heartbeat, Revision: 6, Age: 2 * time.Hour})
	st = waitFor(t, f, "revision 6", func(s Status) bool { return s.Seen == 6 })
	require.Less(t, st.Age, time.Minute)
}

var errReset = errors.New("connection reset")

// Each end of a session is told in the status with its advice, and the next one goes as the end demands.
func TestEnds(t *testing.T) {
	for _, end := range []struct {
		err  error
		same bool // the same control machine is asked again, or resumed
		left bool // it is left out of the next round
	}{
		{&store.ComeBack{After: 50 * time.Millisecond}, true, false},
		{&store.ReplicaBehind{Have: 1, Want: 2}, false, true},
		{&store.WatcherTooSlow{}, false, false}, // at once: the session had not lasted
		{&store.NotControl{Address: "c0"}, false, true},
		{&store.BadRequest{Text: "no"}, false, true},
		{errReset, false, false},
	} {
		s, a := newScripted(t), &applied{}
		timing := quick
		timing.FaultHold, timing.BackoffBase = 3600e6, 50e3
		if end.left {
			timing.BehindHold = 3600e6
		}
		f := start(t, s, a, Options{Timing: timing})
		c := s.next()
		begun := time.Now()
		c.end <- end.err
		st := waitFor(t, f, "fault", func(s Status) bool { return s.Fault != "" })
		require.Contains(t, st.Fault, end.err.Error())
		require.Contains(t, st.Fault, c.address)
		require.Equal(t, advice.Of(end.err), st.Advice)
		next := s.next()
		require.Equal(t, end.same, next.address == c.address, "%v", end.err)
		if end.same {
			require.GreaterOrEqual(t, time.Since(begun), 50*time.Millisecond)
		} else {
			next.end <- errReset
			s.next().end <- errReset
			next = s.next()
			require.Equal(t, end.left, next.address != c.address, "%v", end.err)
		}
		next.snapshot(3)
		waitFor(t, f, "no fault", func(s Status) bool { return s.Fault == "" && s.Advice == "" && s.Connected })
		f.Close()
	}
}

// Events of a session that was given up, and records of other scopes, change nothing.
func TestForeignRecords(t *testing.T) {
	s, a := newScripted(t), &applied{}
	f := start(t, s, a, Options{})
	c := s.next()
	c.snapshot(5, limits("zone/z9", "x", 3), scope.Record{Key: "other/all/limits", Value: []byte("x"), Revision: 4},
		scope.Record{Key: "settings/all/later", Value: []byte("x"), Revision: 5})
	waitFor(t, f, "in force", func(s Status) bool { return s.InForce == 5 })
	require.Empty(t, a.all())
	require.Equal(t, []Section{}, f.Status().Sections)
	c.change(7, limits("zone/z1", "1", 7))
	waitFor(t, f, "in force", func(s Status) bool { return s.InForce == 7 })
	c.heartbeat(6) // it goes back
	next := s.next()
	require.NotEqual(t, c.address, next.address)
	require.Equal(t, uint64(7), next.request.After)
	require.Equal(t, uint64(7), f.Status().Seen)
	require.Contains(t, f.Status().Fault, "revision 6")
}

// While a refused value stays nothing is tried again; the same value written anew is.
func TestRefusedIsTriedOnce(t *testing.T) {
	s := newScripted(t)
	var tried []uint64
	f, err := open(Options{Self: self, Replicas: replicas(3), Log: quiet(), Seed: 1, Timing: quick, Apply: func(c Candidate) error {
		tried = append(tried, c.Revision)
		return errBad
	}}, s.watch)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	c := s.next()
	c.snapshot(5, limits("all", "bad", 5))
	c.heartbeat(6)
	c.snapshot(7, limits("all", "bad", 5))
	c.change(8, scope.Record{Key: "settings/zone/z9/calls", Value: []byte("x"), Revision: 8})
	c.change(9, limits("all", "bad", 9))
	c.report(store.WatchReport{Refused: 9, Fault: errBad.Error()})
	c.change(10, deleted("all", 10)) // as it was before: nothing to put in force
	c.report(store.WatchReport{InForce: 10})
	f.Close()
	require.Equal(t, []uint64{5, 9}, tried)
}
