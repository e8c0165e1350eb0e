package store

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"beammux/control"
	"beammux/control/admission"
)

const (
	writeWithin  = 2 * applyWithin // for each part of an event that is written to a session
	writePart    = 256 << 10       // bytes of such a part
	behindWithin = time.Second     // for a replica to reach the revision that a client holds, or to be ready
	maxReport    = 16 << 10        // bytes of a line from a client
	maxSessions  = 8192
	fullFor      = 30 * time.Second // until a client that found so many comes back
	maxPrefixes  = 32
	batch        = 64 // transactions that a session takes from the history at once
)

// sessionServer serves the watch sessions of a control machine. Each session has two goroutines and a place in the history
// by its revision, but no queue of its own: what it has not been sent is held once for all, and bounded.
type sessionServer struct {
	node    *Node
	options ServeOptions
	history *history
	born    time.Time       // origin of the controller's clock
	ctx     context.Context // ends with the server
	cancel  context.CancelFunc
	running sync.WaitGroup

	admitMu sync.Mutex
	admit   *admission.Controller

	mu       sync.Mutex
	closed   bool
	sessions map[*session]struct{}
	byPrefix map[string]map[*session]struct{}
	fleet    *FleetCounts // last gathered; not changed once it is here
	held     uint64       // highest revision that a client has said it holds

	viewMu sync.Mutex
	view   *view

	beatMu sync.Mutex
	beat   sharedBeat
}

// sharedBeat is the last heartbeat that was encoded.
type sharedBeat struct {
	line     []byte
	revision uint64
	at       time.Time
}

func newSessionServer(n *Node, o ServeOptions) *sessionServer {
	ctx, cancel := context.WithCancel(context.Background())
	return &sessionServer{node: n, options: o, history: newHistory(o.Prefix, o.HistorySize, o.HistoryBytes), born: time.Now(),
		ctx: ctx, cancel: cancel, sessions: map[*session]struct{}{}, byPrefix: map[string]map[*session]struct{}{},
		admit: admission.New(admission.Limits(o.Admission))}
}

func (s *sessionServer) start() {
	s.running.Go(s.dispatch)
	s.running.Go(s.gatherCounts)
}

// close ends all sessions and returns once they have ended.
func (s *sessionServer) close() {
	s.cancel()
	s.mu.Lock()
	s.closed = true
	for one := range s.sessions {
		one.conn.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

// dispatch wakes the sessions that follow what was changed.
func (s *sessionServer) dispatch() {
	_, seen, _ := s.history.state()
	for {
		select {
		case <-s.history.more:
		case <-s.ctx.Done():
			return
		}
		transactions, upTo, ok := s.history.since(seen, batch)
		s.mu.Lock()
		if !ok {
			_, upTo, _ = s.history.state()
			for one := range s.sessions {
				one.wakeUp()
			}
		}
		for _, t := range transactions {
			s.wakeFollowers(t)
		}
		s.mu.Unlock()
		seen = upTo
		if len(transactions) == batch { // there may be more
			s.history.signal()
		}
	}
}

// wakeFollowers wakes the sessions that have a prefix of a changed key. The lock is held.
func (s *sessionServer) wakeFollowers(t *transaction) {
	for _, c := range t.changes {
		for end := range len(c.Key) + 1 {
			for one := range s.byPrefix[c.Key[:end]] {
				one.wakeUp()
			}
		}
	}
}

// add takes a session in, unless the server is closing or full.
func (s *sessionServer) add(one *session) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed:
		return errSessionEnds
	case len(s.sessions) >= maxSessions:
		return &ComeBack{fullFor}
	}
	s.running.Add(1)
	s.sessions[one] = struct{}{}
	for _, p := range one.request.Prefixes {
		if s.byPrefix[p] == nil {
			s.byPrefix[p] = map[*session]struct{}{}
		}
		s.byPrefix[p][one] = struct{}{}
	}
	return nil
}

func (s *sessionServer) remove(one *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, one)
	for _, p := range one.request.Prefixes {
		delete(s.byPrefix[p], one)
		if len(s.byPrefix[p]) == 0 {
			delete(s.byPrefix, p)
		}
	}
	s.running.Done()
}

// serveSession serves one watch session until it ends, and sends the client the reason where it still can.
func (n *Node) serveSession(c net.Conn, in *lineReader, request WatchRequest) {
	if err := n.runSession(c, in, request); !errors.Is(err, errSessionEnds) {
		sendFault(c, err)
	}
}

func (n *Node) runSession(c net.Conn, in *lineReader, request WatchRequest) error {
	if n.sessions == nil {
		return &NotControl{n.id}
	}
	one := &session{server: n.sessions, conn: c, in: in, request: request, since: time.Now(),
		wake: make(chan struct{}, 1), gone: make(chan struct{})}
	if err := n.sessions.add(one); err != nil {
		return err
	}
	defer n.sessions.remove(one)
	return one.run()
}

// check refuses a request that can't be served.
func (s *sessionServer) check(r WatchRequest) error {
	if len(r.Prefixes) == 0 || len(r.Prefixes) > maxPrefixes {
		return &BadRequest{fmt.Sprintf("a session follows %d prefixes, must be 1 to %d", len(r.Prefixes), maxPrefixes)}
	}
	for _, p := range r.Prefixes {
		if !strings.HasPrefix(p, s.options.Prefix) {
			return &BadRequest{fmt.Sprintf("a session follows %q, which is not under %q", p, s.options.Prefix)}
		}
	}
	return nil
}

// noteHeld takes down the revision that a client says it holds.
func (s *sessionServer) noteHeld(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = max(s.held, revision)
}

// heldAbove is the highest revision that a client has said it holds, 0 where that is not above a revision.
func (s *sessionServer) heldAbove(revision uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held <= revision {
		return 0
	}
	return s.held
}

// reached waits a short time for the replica to be ready and to hold a revision.
func (s *sessionServer) reached(after uint64) error {
	ctx, cancel := context.WithTimeout(s.ctx, behindWithin)
	defer cancel()
	notReady := s.node.WaitReady(ctx) != nil
	behind := !notReady && s.node.fsm.wait(ctx, after) != nil
	switch {
	case s.ctx.Err() != nil:
		return errSessionEnds
	case notReady:
		return ErrNotReady
	case behind:
		return &ReplicaBehind{s.node.fsm.lastRevision(), after}
	}
	return nil
}

// admitted asks the controller for a session. One that is admitted is to be ended with release.
func (s *sessionServer) admitted(r admission.Request) error {
	s.admitMu.Lock()
	defer s.admitMu.Unlock()
	switch d := s.admit.Admit(s.clock(), r); {
	case d.Full:
		return &SessionsFull{s.options.Admission.Sessions}
	case !d.Admitted:
		return &ComeBack{duration(d.RetryAfter)}
	}
	return nil
}

// release ends a session that was admitted.
func (s *sessionServer) release() {
	s.admitMu.Lock()
	defer s.admitMu.Unlock()
	s.admit.Release()
}

// comeBack gives a client that must begin anew, with a snapshot, the time for that.
func (s *sessionServer) comeBack(client string) error {
	s.admitMu.Lock()
	defer s.admitMu.Unlock()
	return &ComeBack{duration(s.admit.Defer(s.clock(), admission.Request{Client: client, NeedsSnapshot: true}))}
}

func (s *sessionServer) clock() control.Micros {
	return control.Micros(time.Since(s.born).Microseconds())
}

func duration(t control.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

// currentView is all served records as they are now; it is made anew only after one has changed.
func (s *sessionServer) currentView() *view {
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	if _, _, last := s.history.state(); s.view == nil || s.view.revision < last {
		records, revision := s.node.fsm.listAt(s.options.Prefix)
		s.view = &view{records: records, revision: revision}
	}
	return s.view
}

// heartbeat is a heartbeat at a revision, as it is sent. Sessions at the same revision share one for a while.
func (s *sessionServer) heartbeat(revision uint64) []byte {
	now := time.Now()
	s.beatMu.Lock()
	defer s.beatMu.Unlock()
	if s.beat.line != nil && s.beat.revision == revision && now.Sub(s.beat.at) < s.options.HeartbeatInterval/8 {
		return s.beat.line
	}
	s.mu.Lock()
	fleet := s.fleet
	s.mu.Unlock()
	e := wireEvent{Kind: Heartbeat, Revision: revision, Fleet: fleet, Age: s.node.contactAge(), Every: s.options.HeartbeatInterval}
	s.beat = sharedBeat{e.line(), revision, now}
	return s.beat.line
}

// contactAge is the time since this member had word from its leader; 0 at the leader.
func (n *Node) contactAge() time.Duration {
	last := n.raft.LastContact()
	switch {
	case n.Leader():
		return 0
	case last.IsZero():
		return time.Since(n.born)
	}
	return time.Since(last)
}

// errSessionEnds says that a session is over and that nothing more is sent to the client.
var errSessionEnds = errors.New("the session ends")
