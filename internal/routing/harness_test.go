package routing

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
)

// discardLogger returns a logger that discards its output.
func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// fakeServer is a fake server with its connection: it records the requests that it receives, and the test sends its responses.
type fakeServer struct {
	mu               sync.Mutex // guards dials, events and closed: two peers may share an address
	dials            int
	dialError        error         // result of the next dials
	dialGate         chan struct{} // dials block until it is closed; nil: they do not block
	events           ServerEvents
	writesHeld       bool               // writes are queued
	queue            []func()           // queued writes
	inFlight         map[string]Attempt // set-ups in flight, by call id
	duplicates       map[string]int     // set-ups of a call that arrived while another was in flight
	setups           map[string]int     // set-ups received, by call id
	activeCalls      map[string]bool    // established calls
	releasesReceived map[string]int     // releases received, by call id
	dropped          int                // set-ups that were dropped at their first byte
	closed           int                // closed connections
}

func newFakeServer() *fakeServer {
	return &fakeServer{inFlight: map[string]Attempt{}, duplicates: map[string]int{}, setups: map[string]int{}, activeCalls: map[string]bool{}, releasesReceived: map[string]int{}}
}

func (s *fakeServer) Dial(_ context.Context, _ string, e ServerEvents) (ServerConn, error) {
	s.mu.Lock()
	s.dials++
	s.mu.Unlock()
	if s.dialGate != nil {
		<-s.dialGate
	}
	if s.dialError != nil {
		return nil, s.dialError
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = e
	return fakeConn{s, e}, nil
}

// fakeConn is a connection to a fake server.
type fakeConn struct {
	*fakeServer
	connEvents ServerEvents
}

func (c fakeConn) Setup(a Attempt, stillWanted func() bool) {
	write := func() {
		if !stillWanted() {
			c.dropped++
			c.connEvents.Failed(a, Outcome{Code: control.NotSent})
			return
		}
		if _, twice := c.inFlight[a.ID()]; twice {
			c.duplicates[a.ID()]++
		}
		c.inFlight[a.ID()] = a
		c.setups[a.ID()]++
	}
	if c.writesHeld {
		c.queue = append(c.queue, write)
	} else {
		write()
	}
}

func (c fakeConn) Cancel(id string) { delete(c.inFlight, id) }
func (c fakeConn) Release(r AttemptRef, _ int) {
	c.releasesReceived[r.id]++
	delete(c.activeCalls, r.id)
}
func (c fakeConn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed++
}

// answer establishes a call.
func (s *fakeServer) answer(id, body string) {
	a := s.inFlight[id]
	delete(s.inFlight, id)
	s.activeCalls[id] = true
	s.events.Answered(a, []byte(body))
}

// reset breaks the connection.
func (s *fakeServer) reset() {
	e := s.events
	s.events, s.inFlight, s.queue = nil, map[string]Attempt{}, nil
	e.Down(fmt.Errorf("read: %w", syscall.ECONNRESET))
}

// caller is a fake Caller that records the answers and releases that it receives.
type caller struct {
	finalAnswers, releases int
	established            bool // the call was established
	body                   string
	wait                   time.Duration // of the refusal
	unreachable            bool          // answers can't be delivered
	gone                   atomic.Bool
}

func (c *caller) Gone() bool { return c.gone.Load() }
func (c *caller) Answer(b []byte) bool {
	c.finalAnswers++
	c.established, c.body = true, string(b)
	return !c.unreachable
}
func (c *caller) Refuse(wait time.Duration) { c.finalAnswers++; c.wait = wait }
func (c *caller) Fail()                     { c.finalAnswers++ }
func (c *caller) Release(int)               { c.releases++ }

func settings() control.Settings {
	return control.Settings{Gatekeepers: 1, OwnCell: -1, AttemptsCap: 5, Cancel: true, RetryAfter: true, MaxRetryAfter: 2e6,
		ReleaseGuard: 300000, ResendGap: 500000, FallMultiple: 2, FallTime: 1e6, StartCapacity: 0.33, WarmWithin: 15e6,
		Classes: []control.Class{{LatencyTarget: 1500000, Deadline: 3e6, Worth: 1, LateWorth: 0.25}}}
}

// harness is a core and a list with fake servers.
type harness struct {
	core     *Core
	list     *List
	servers  map[string]*fakeServer
	maxConns int // connections to each server; 0 counts as 1

	announces bool // servers announce themselves; see Dialer.Announces
}

func (h *harness) Dial(ctx context.Context, addr string, e ServerEvents) (ServerConn, error) {
	return h.servers[addr].Dial(ctx, addr, e)
}

func (h *harness) MaxConns(string) int { return max(1, h.maxConns) }

func (h *harness) Announces(string) bool { return h.announces }

func (h *harness) Endpoint(addr string) string { return addr }

func newHarness(serverNames ...string) *harness {
	h := &harness{servers: map[string]*fakeServer{}}
	h.core = NewCore(settings(), 1, nil, discardLogger())
	h.list = NewList(h.core, h, discardLogger())
	for _, name := range serverNames {
		h.servers[name] = newFakeServer()
	}
	for i, name := range serverNames {
		h.setState(name, i, control.Ready)
	}
	synctest.Wait()
	return h
}

func (h *harness) setState(name string, cell int, s control.State) {
	h.list.Apply(Update{Hosts: []Host{{Name: name, Addr: name, Cell: cell, State: s}}}, nil)
}

// stop stops all actors: a synctest bubble must have no running goroutines at its end.
func (h *harness) stop() {
	for _, host := range h.list.hosts {
		host.peer.Stop()
		host.peer.stopDial()
	}
	h.sleep(2 * lingerTime)
	h.list.Stop()
	h.core.Stop()
	synctest.Wait()
}

// sleep advances the time. It first posts to each actor, so that the test's earlier reads are ordered before the actors'
// later writes.
func (h *harness) sleep(d time.Duration) {
	nothing := func() {}
	synctest.Wait()
	for _, host := range h.list.hosts {
		host.peer.Post(nothing)
	}
	h.list.Post(nothing) // after the list was read here
	h.core.Post(nothing)
	synctest.Wait()
	time.Sleep(d)
	synctest.Wait()
}

// call opens a call whose caller waits for the given time.
func (h *harness) call(id string, left time.Duration) *caller {
	c := &caller{}
	h.core.Open(Setup{ID: id, FirstChoice: 0, TimeLeft: left}, c)
	synctest.Wait()
	return c
}
