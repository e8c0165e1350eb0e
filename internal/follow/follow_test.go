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

// testTimeout is the timeout of conditions that tests wait for. Only failing tests reach it.
const testTimeout = 20 * time.Second

var self = scope.Target{Name: "g1", Region: "r1", Zone: "z1", Service: "billing"}

// fakeStore replaces store.WatchSession, so that a test controls the events of each session.
type fakeStore struct {
	t        *testing.T
	sessions chan *fakeSession
}

// fakeSession is one session that the follower has opened.
type fakeSession struct {
	t       *testing.T
	address string
	request store.WatchRequest
	reports <-chan store.WatchReport
	events  chan store.WatchEvent
	handled chan error
	end     chan error
	closed  <-chan struct{} // closed when the follower closes the session
}

func newFakeStore(t *testing.T) *fakeStore { return &fakeStore{t, make(chan *fakeSession)} }

// watch is a watchFunc.
func (s *fakeStore) watch(ctx context.Context, _ store.Dial, address string, r store.WatchRequest, reports <-chan store.WatchReport, handle func(store.WatchEvent) error) error {
	c := &fakeSession{s.t, address, r, reports, make(chan store.WatchEvent), make(chan error), make(chan error), ctx.Done()}
	select {
	case s.sessions <- c:
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

// next waits for the next session that the follower opens.
func (s *fakeStore) next() *fakeSession {
	s.t.Helper()
	select {
	case c := <-s.sessions:
		return c
	case <-time.After(testTimeout):
		require.FailNow(s.t, "no session was opened")
		return nil
	}
}

// send sends an event and waits until the follower has handled it or closed the session.
func (c *fakeSession) send(e store.WatchEvent) {
	c.t.Helper()
	select {
	case c.events <- e:
	case <-time.After(testTimeout):
		require.FailNow(c.t, "the event was not read")
	}
	select {
	case err := <-c.handled:
		require.NoError(c.t, err)
	case <-c.closed: // because of the event
	case <-time.After(testTimeout):
		require.FailNow(c.t, "the event was not handled")
	}
}

// snapshot sends a snapshot with the given records.
func (c *fakeSession) snapshot(revision uint64, records ...scope.Record) {
	c.t.Helper()
	c.send(store.WatchEvent{Kind: store.Snapshot, Revision: revision, Records: storeRecords(records)})
}

// change sends a change of the given records.
func (c *fakeSession) change(revision uint64, records ...scope.Record) {
	c.t.Helper()
	c.send(store.WatchEvent{Kind: store.Change, Revision: revision, Records: storeRecords(records)})
}

// storeRecords converts records to those of the store.
func storeRecords(records []scope.Record) (list []store.Record) {
	for _, r := range records {
		list = append(list, store.Record{Key: r.Key, Value: r.Value, Revision: r.Revision})
	}
	return list
}

// heartbeat sends a heartbeat.
func (c *fakeSession) heartbeat(revision uint64) {
	c.t.Helper()
	c.send(store.WatchEvent{Kind: store.Heartbeat, Revision: revision})
}

// report waits until the follower sends the wanted report.
func (c *fakeSession) report(want store.WatchReport) {
	c.t.Helper()
	var last store.WatchReport
	deadline := time.After(testTimeout)
	for {
		select {
		case last = <-c.reports:
			if last == want {
				return
			}
		case <-deadline:
			require.Equal(c.t, want, last)
			require.FailNow(c.t, "no report was sent")
		}
	}
}

// appliedCandidates records the candidates that a gatekeeper put in force. It refuses the value "bad".
type appliedCandidates struct {
	mu   sync.Mutex
	list []Candidate
}

var errBad = errors.New("limits.json:1:2: parts: bad")

func (a *appliedCandidates) apply(c Candidate) error {
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

func (a *appliedCandidates) all() []Candidate {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Candidate{}, a.list...)
}

// discardLogger returns a logger that discards its output.
func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// replicas returns n control machines; machine i is named ci and is in zone z(i+1).
func replicas(n int) []session.Replica {
	var all []session.Replica
	for i := range n {
		all = append(all, session.Replica{Name: fmt.Sprint("c", i), Address: fmt.Sprint("c", i), Zone: fmt.Sprint("z", i+1), Region: "r1"})
	}
	return all
}

var quickTiming = session.Timing{MaxStartDelay: 1e3, BackoffBase: 1e3, BackoffCap: 10e3, BehindHold: 1e3, ConnectTimeout: 20e6, HeartbeatTimeout: 20e6, ReturnInterval: 3600e6}

// startFollower opens a follower with fake sessions and closes it when the test ends.
func startFollower(t *testing.T, s *fakeStore, a *appliedCandidates, o Options) *Follower {
	t.Helper()
	o.Self, o.Apply, o.Log, o.Seed = self, a.apply, discardLogger(), 1
	if o.Replicas == nil {
		o.Replicas = replicas(3)
	}
	if o.Timing == (session.Timing{}) {
		o.Timing = quickTiming
	}
	f, err := open(o, s.watch)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

// limitsRecord returns a record of section limits.
func limitsRecord(scopeOf, value string, revision uint64) scope.Record {
	return scope.Record{Key: scope.Prefix + scopeOf + "/limits", Value: []byte(value), Revision: revision}
}

// limitsDeletion returns the deletion of a record of section limits.
func limitsDeletion(scopeOf string, revision uint64) scope.Record {
	return scope.Record{Key: scope.Prefix + scopeOf + "/limits", Revision: revision}
}

// candidate returns a candidate with the last of the records in section limits.
func candidate(revision uint64, records ...scope.Record) Candidate {
	c := Candidate{revision, map[string]scope.Record{}}
	for _, r := range records {
		c.Sections["limits"] = r
	}
	return c
}

// waitFor waits until ok returns true for the status, and returns that status.
func waitFor(t *testing.T, f *Follower, condition string, holds func(Status) bool) Status {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		s := f.Status()
		if holds(s) {
			return s
		}
		if time.Now().After(deadline) {
			require.FailNow(t, condition+" was not reached in time", "%+v, refused %+v, fleet %+v", s, s.Refused, s.Fleet)
		}
	}
}

// A candidate is applied when the records that apply to this gatekeeper have changed; otherwise only the revision advances.
func TestFollow(t *testing.T) {
	s, a := newFakeStore(t), &appliedCandidates{}
	f := startFollower(t, s, a, Options{})
	require.Equal(t, time.Duration(-1), f.Status().Age)
	c := s.next()
	require.Equal(t, "c0", c.address)
	require.Equal(t, store.WatchRequest{
		Prefixes: self.Prefixes(), Session: store.SessionInfo{Name: "g1", Region: "r1", Zone: "z1", Service: "billing"},
	}, c.request)
	all, zone := limitsRecord("all", "1", 3), limitsRecord("zone/z1", "2", 6)
	c.snapshot(5, all)
	c.report(store.WatchReport{InForce: 5})
	c.change(6, zone)
	c.report(store.WatchReport{InForce: 6})
	c.change(7, limitsRecord("all", "3", 7))
	c.report(store.WatchReport{InForce: 7})
	c.heartbeat(9)
	c.report(store.WatchReport{InForce: 9})
	c.change(10, limitsDeletion("zone/z1", 10))
	c.report(store.WatchReport{InForce: 10})
	require.Equal(t, []Candidate{candidate(5, all), candidate(6, zone), candidate(10, limitsRecord("all", "3", 7))}, a.all())
	st := f.Status()
	require.True(t, st.Connected)
	require.Equal(t, "c0", st.Replica)
	require.Equal(t, uint64(10), st.Seen)
	require.Equal(t, []Section{{"limits", "settings/all/limits", 7}}, st.Sections)
	require.GreaterOrEqual(t, st.Age, time.Duration(0))
	require.Less(t, st.Age, testTimeout)
}

// removeAll removes files of a directory.
func removeAll(dir string, names ...string) error {
	for _, name := range names {
		if err := os.Remove(filepath.Join(dir, name)); err != nil {
			return err
		}
	}
	return nil
}

// An Apply that takes longer than the heartbeat timeout does not close the session, since its heartbeats were only waiting.
func TestSlowApply(t *testing.T) {
	s := newFakeStore(t)
	timing := quickTiming
	timing.HeartbeatTimeout = 300e3
	f, err := open(Options{Self: self, Replicas: replicas(3), Log: discardLogger(), Seed: 1, Timing: timing, Apply: func(Candidate) error {
		time.Sleep(time.Second)
		return nil
	}}, s.watch)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	c := s.next()
	stop := make(chan struct{})
	defer close(stop)
	go func() { // keeps sending events, as a connection would buffer them
		for revision := uint64(5); ; revision++ {
			e := store.WatchEvent{Kind: store.Heartbeat, Revision: revision}
			if revision == 5 {
				e = store.WatchEvent{Kind: store.Snapshot, Revision: revision, Records: storeRecords([]scope.Record{limitsRecord("all", "1", 3)})}
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
	case <-s.sessions:
		require.Fail(t, "another session was opened")
	case <-c.closed:
		require.Fail(t, "the session was closed")
	default:
	}
}

// Status.Age counts from the last time at which a control machine was in contact with its leader, and is not increased by a
// heartbeat that reports an older contact.
func TestAge(t *testing.T) {
	s, a := newFakeStore(t), &appliedCandidates{}
	f := startFollower(t, s, a, Options{})
	c := s.next()
	c.snapshot(5)
	c.send(store.WatchEvent{Kind: store.Heartbeat, Revision: 5, Age: time.Hour})
	st := waitFor(t, f, "a heartbeat", func(s Status) bool { return s.Age >= 0 })
	require.InDelta(t, time.Hour, st.Age, float64(testTimeout))
	c.send(store.WatchEvent{Kind: store.Heartbeat, Revision: 5, Age: time.Second})
	waitFor(t, f, "a heartbeat with a later leader contact", func(s Status) bool { return s.Age < time.Minute })
	c.send(store.WatchEvent{Kind: store.Heartbeat, Revision: 6, Age: 2 * time.Hour})
	st = waitFor(t, f, "revision 6", func(s Status) bool { return s.Seen == 6 })
	require.Less(t, st.Age, time.Minute)
}

var errReset = errors.New("connection reset")

// The status reports why a session ended, with advice. The kind of end decides which control machine is tried next, and when.
func TestSessionEnds(t *testing.T) {
	for _, end := range []struct {
		err  error
		same bool // the next session is with the same control machine
		left bool // the control machine is excluded from the next round
	}{
		{&store.ComeBack{After: 50 * time.Millisecond}, true, false},
		{&store.ReplicaBehind{Have: 1, Want: 2}, false, true},
		{&store.WatcherTooSlow{}, false, false}, // another machine, since the session was too short to be resumed
		{&store.NotControl{Address: "c0"}, false, true},
		{&store.BadRequest{Text: "no"}, false, true},
		{errReset, false, false},
	} {
		s, a := newFakeStore(t), &appliedCandidates{}
		timing := quickTiming
		timing.FaultHold, timing.BackoffBase = 3600e6, 50e3
		if end.left {
			timing.BehindHold = 3600e6
		}
		f := startFollower(t, s, a, Options{Timing: timing})
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

// Records of other scopes and keys, and events of a session with an older revision, change nothing.
func TestIgnoresForeignRecords(t *testing.T) {
	s, a := newFakeStore(t), &appliedCandidates{}
	f := startFollower(t, s, a, Options{})
	c := s.next()
	c.snapshot(5, limitsRecord("zone/z9", "x", 3), scope.Record{Key: "other/all/limits", Value: []byte("x"), Revision: 4},
		scope.Record{Key: "settings/all/later", Value: []byte("x"), Revision: 5})
	waitFor(t, f, "in force", func(s Status) bool { return s.InForce == 5 })
	require.Empty(t, a.all())
	require.Equal(t, []Section{}, f.Status().Sections)
	c.change(7, limitsRecord("zone/z1", "1", 7))
	waitFor(t, f, "in force", func(s Status) bool { return s.InForce == 7 })
	c.heartbeat(6) // lower than the highest revision seen
	next := s.next()
	require.NotEqual(t, c.address, next.address)
	require.Equal(t, uint64(7), next.request.After)
	require.Equal(t, uint64(7), f.Status().Seen)
	require.Contains(t, f.Status().Fault, "revision 6")
}

// A refused record isn't tried again while it stays in the store; a new write of the same value is.
func TestRefusedCandidateTriedOnce(t *testing.T) {
	s := newFakeStore(t)
	var tried []uint64
	f, err := open(Options{Self: self, Replicas: replicas(3), Log: discardLogger(), Seed: 1, Timing: quickTiming, Apply: func(c Candidate) error {
		tried = append(tried, c.Revision)
		return errBad
	}}, s.watch)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	c := s.next()
	c.snapshot(5, limitsRecord("all", "bad", 5))
	c.heartbeat(6)
	c.snapshot(7, limitsRecord("all", "bad", 5))
	c.change(8, scope.Record{Key: "settings/zone/z9/calls", Value: []byte("x"), Revision: 8})
	c.change(9, limitsRecord("all", "bad", 9))
	c.report(store.WatchReport{Refused: 9, Fault: errBad.Error()})
	c.change(10, limitsDeletion("all", 10)) // no sections, as before the refusal: nothing to apply
	c.report(store.WatchReport{InForce: 10})
	f.Close()
	require.Equal(t, []uint64{5, 9}, tried)
}
