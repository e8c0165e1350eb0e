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
	writeTimeout   = 2 * applyTimeout // timeout for writing each part of an event
	writePartSize  = 256 << 10        // bytes of such a part
	catchUpTimeout = time.Second      // timeout for a replica to be ready and to reach the revision that a client holds
	maxReport      = 16 << 10         // bytes of a line from a client
	maxSessions    = 8192             // open sessions, including those not admitted yet
	fullRetryDelay = 30 * time.Second // retry delay of a client that exceeds maxSessions
	maxPrefixes    = 32               // of one session
	historyBatch   = 64               // transactions that are read from the history at once
)

// sessionServer serves the watch sessions of a control machine. Each session has two goroutines and a position in the history
// (its revision), but no queue of its own: pending changes are held once for all sessions, in the bounded history.
type sessionServer struct {
	node      *Node
	options   ServeOptions
	history   *history
	startedAt time.Time       // start of the controller's clock
	ctx       context.Context // canceled when the server closes
	cancel    context.CancelFunc
	running   sync.WaitGroup

	controllerMu sync.Mutex
	controller   *admission.Controller

	mu                sync.Mutex
	closed            bool
	sessions          map[*session]struct{}
	byPrefix          map[string]map[*session]struct{}
	fleetCounts       *FleetCounts // last collected counts; immutable
	maxClientRevision uint64       // highest revision that a client reported to hold

	viewMu sync.Mutex
	view   *view

	heartbeatMu   sync.Mutex
	lastHeartbeat encodedHeartbeat
}

// encodedHeartbeat is the last encoded heartbeat.
type encodedHeartbeat struct {
	line      []byte
	revision  uint64
	encodedAt time.Time
}

func newSessionServer(n *Node, o ServeOptions) *sessionServer {
	ctx, cancel := context.WithCancel(context.Background())
	return &sessionServer{node: n, options: o, history: newHistory(o.Prefix, o.HistorySize, o.HistoryBytes), startedAt: time.Now(),
		ctx: ctx, cancel: cancel, sessions: map[*session]struct{}{}, byPrefix: map[string]map[*session]struct{}{},
		controller: admission.New(admission.Limits(o.Admission))}
}

// start starts the server's background goroutines.
func (s *sessionServer) start() {
	s.running.Go(s.dispatch)
	s.running.Go(s.gatherCounts)
}

// close ends all sessions and returns once they have ended.
func (s *sessionServer) close() {
	s.cancel()
	s.mu.Lock()
	s.closed = true
	for sess := range s.sessions {
		sess.conn.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

// dispatch wakes the sessions whose prefixes match the changed keys, until the server closes.
func (s *sessionServer) dispatch() {
	_, seen, _ := s.history.state()
	for {
		select {
		case <-s.history.changed:
		case <-s.ctx.Done():
			return
		}
		transactions, upTo, ok := s.history.since(seen, historyBatch)
		s.mu.Lock()
		if !ok {
			_, upTo, _ = s.history.state()
			for sess := range s.sessions {
				sess.wakeUp()
			}
		}
		for _, t := range transactions {
			s.wakeFollowers(t)
		}
		s.mu.Unlock()
		seen = upTo
		if len(transactions) == historyBatch { // there may be more
			s.history.signal()
		}
	}
}

// wakeFollowers wakes the sessions that follow a prefix of a changed key. The caller holds s.mu.
func (s *sessionServer) wakeFollowers(t *transaction) {
	for _, c := range t.changes {
		for end := range len(c.Key) + 1 {
			for sess := range s.byPrefix[c.Key[:end]] {
				sess.wakeUp()
			}
		}
	}
}

// add registers a session, unless the server is closed or full.
func (s *sessionServer) add(sess *session) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed:
		return errSessionEnds
	case len(s.sessions) >= maxSessions:
		return &ComeBack{fullRetryDelay}
	}
	s.running.Add(1)
	s.sessions[sess] = struct{}{}
	for _, p := range sess.request.Prefixes {
		if s.byPrefix[p] == nil {
			s.byPrefix[p] = map[*session]struct{}{}
		}
		s.byPrefix[p][sess] = struct{}{}
	}
	return nil
}

// remove unregisters a session.
func (s *sessionServer) remove(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, sess)
	for _, p := range sess.request.Prefixes {
		delete(s.byPrefix[p], sess)
		if len(s.byPrefix[p]) == 0 {
			delete(s.byPrefix, p)
		}
	}
	s.running.Done()
}

// serveSession serves one watch session until it ends, and sends the client the error that ended it unless run has done so.
func (n *Node) serveSession(c net.Conn, in *lineReader, request WatchRequest) {
	if err := n.runSession(c, in, request); !errors.Is(err, errSessionEnds) {
		sendFault(c, err)
	}
}

// runSession registers a session and runs it. Errors other than errSessionEnds must be sent to the client.
func (n *Node) runSession(c net.Conn, in *lineReader, request WatchRequest) error {
	if n.sessions == nil {
		return &NotControl{n.id}
	}
	sess := &session{server: n.sessions, conn: c, in: in, request: request, openedAt: time.Now(),
		wake: make(chan struct{}, 1), disconnected: make(chan struct{})}
	if err := n.sessions.add(sess); err != nil {
		return err
	}
	defer n.sessions.remove(sess)
	return sess.run()
}

// check returns a *BadRequest if a request can't be served.
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

// noteClientRevision records the revision that a client reports to hold.
func (s *sessionServer) noteClientRevision(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxClientRevision = max(s.maxClientRevision, revision)
}

// clientRevisionAbove returns the highest revision that a client reported to hold; 0 if it is not above the given revision.
func (s *sessionServer) clientRevisionAbove(revision uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.maxClientRevision <= revision {
		return 0
	}
	return s.maxClientRevision
}

// waitForRevision waits up to catchUpTimeout for the replica to be ready and to have applied a revision.
func (s *sessionServer) waitForRevision(after uint64) error {
	ctx, cancel := context.WithTimeout(s.ctx, catchUpTimeout)
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

// admitted asks the admission controller to admit a session. An admitted session must be ended with release.
func (s *sessionServer) admitted(r admission.Request) error {
	s.controllerMu.Lock()
	defer s.controllerMu.Unlock()
	switch d := s.controller.Admit(s.clock(), r); {
	case d.Full:
		return &SessionsFull{s.options.Admission.Sessions}
	case !d.Admitted:
		return &ComeBack{toDuration(d.RetryAfter)}
	}
	return nil
}

// release ends an admitted session at the admission controller.
func (s *sessionServer) release() {
	s.controllerMu.Lock()
	defer s.controllerMu.Unlock()
	s.controller.Release()
}

// comeBackError returns the error that makes a client reconnect later to get a snapshot.
func (s *sessionServer) comeBackError(client string) error {
	s.controllerMu.Lock()
	defer s.controllerMu.Unlock()
	return &ComeBack{toDuration(s.controller.Defer(s.clock(), admission.Request{Client: client, NeedsSnapshot: true}))}
}

// clock returns the time of the admission controller.
func (s *sessionServer) clock() control.Micros {
	return control.Micros(time.Since(s.startedAt).Microseconds())
}

// toDuration converts the time unit of the admission controller.
func toDuration(t control.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

// currentView returns a view of all served records. It is rebuilt only after one of them has changed.
func (s *sessionServer) currentView() *view {
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	if _, _, lastChange := s.history.state(); s.view == nil || s.view.revision < lastChange {
		records, revision := s.node.fsm.listWithRevision(s.options.Prefix)
		s.view = &view{records: records, revision: revision}
	}
	return s.view
}

// heartbeat returns an encoded heartbeat at a revision. Sessions at the same revision share one for a part of the heartbeat
// interval.
func (s *sessionServer) heartbeat(revision uint64) []byte {
	now := time.Now()
	s.heartbeatMu.Lock()
	defer s.heartbeatMu.Unlock()
	if s.lastHeartbeat.line != nil && s.lastHeartbeat.revision == revision && now.Sub(s.lastHeartbeat.encodedAt) < s.options.HeartbeatInterval/8 {
		return s.lastHeartbeat.line
	}
	s.mu.Lock()
	fleetCounts := s.fleetCounts
	s.mu.Unlock()
	e := wireEvent{Kind: Heartbeat, Revision: revision, Fleet: fleetCounts, Age: s.node.contactAge(), Every: s.options.HeartbeatInterval}
	s.lastHeartbeat = encodedHeartbeat{e.line(), revision, now}
	return s.lastHeartbeat.line
}

// contactAge returns the time since the last contact with the leader, or since the start if there was none; 0 at the leader.
func (n *Node) contactAge() time.Duration {
	last := n.raft.LastContact()
	switch {
	case n.Leader():
		return 0
	case last.IsZero():
		return time.Since(n.startedAt)
	}
	return time.Since(last)
}

// errSessionEnds ends a session without sending an error to the client.
var errSessionEnds = errors.New("the session ends")
