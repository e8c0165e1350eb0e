package store

import (
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"beammux/control/admission"
)

// session is the control machine's side of one watch session.
type session struct {
	server       *sessionServer
	conn         net.Conn
	in           *lineReader
	request      WatchRequest
	openedAt     time.Time
	wake         chan struct{} // buffered signal: the history has changes for this session
	disconnected chan struct{} // closed when the client has disconnected or timed out
	cursor       uint64        // all changes up to this revision have been sent; used by the writing goroutine only
	// admitted is set while the session is counted by the admission controller; used by the writing goroutine only.
	admitted bool

	mu          sync.Mutex  // guards the fields below
	sent        uint64      // copy of cursor for other goroutines
	target      uint64      // revision of the last change found under the session's prefixes
	targetSince time.Time   // when target was set
	report      WatchReport // last report of the client
}

// wakeUp signals the writing goroutine that the history has changes for this session. It does not block.
func (s *session) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run serves the session until it ends. The returned error must still be sent to the client, unless it is errSessionEnds.
func (s *session) run() error {
	defer s.release()
	if err := s.open(); err != nil {
		return err
	}
	s.server.running.Go(s.readReports) // until the client disconnects, is silent for too long or sends an invalid report
	err := s.send()
	if !errors.Is(err, errSessionEnds) {
		s.sendFinalError(err)
	}
	return errSessionEnds
}

// release ends the session at the admission controller if it was admitted.
func (s *session) release() {
	if s.admitted {
		s.server.release()
	}
}

// sendFinalError sends the client the error that ends its session and waits until the client disconnects: closing a connection
// with unread reports resets it, and data written last may be lost.
func (s *session) sendFinalError(err error) {
	sendFault(s.conn, err)
	if tcpConn, ok := s.conn.(*net.TCPConn); ok {
		tcpConn.CloseWrite()
	}
	select {
	case <-s.disconnected:
	case <-s.server.ctx.Done():
	case <-time.After(writeTimeout):
	}
}

// sendFault writes an error to a client, as the last line on its connection.
func sendFault(c net.Conn, err error) {
	var r result
	r.fail(err)
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	json.NewEncoder(c).Encode(r)
}

// open checks the request, waits until the replica has reached the client's revision, and admits the session. It sends a
// snapshot if the client can't resume from its revision.
func (s *session) open() error {
	if err := s.server.check(s.request); err != nil {
		return err
	}
	s.server.noteClientRevision(s.request.After)
	if err := s.server.waitForRevision(s.request.After); err != nil {
		return err
	}
	s.conn.SetDeadline(time.Time{}) // removes the deadline that serve has set
	floor, _, _ := s.server.history.state()
	needsSnapshot := s.request.After == 0 || s.request.After < floor
	if err := s.server.admitted(admission.Request{Client: s.request.Session.Name, NeedsSnapshot: needsSnapshot}); err != nil {
		return err
	}
	s.admitted = true
	v := s.server.currentView()
	s.setTarget(v.newest(s.request.Prefixes))
	s.mu.Lock()
	s.report.InForce = s.request.After // until the client's first report
	s.mu.Unlock()
	s.setCursor(s.request.After)
	if !needsSnapshot {
		return nil
	}
	if s.write(v.line(s.request.Prefixes)) != nil {
		return errSessionEnds
	}
	s.setCursor(v.revision)
	return nil
}

// send sends changes and heartbeats until the session ends.
func (s *session) send() error {
	heartbeats := time.NewTicker(s.server.options.HeartbeatInterval)
	defer heartbeats.Stop()
	for heartbeatDue := true; ; {
		if err := s.catchUp(); err != nil {
			return err
		}
		if heartbeatDue {
			if s.write(s.server.heartbeat(s.cursor)) != nil {
				return errSessionEnds
			}
		}
		select {
		case <-s.wake:
			heartbeatDue = false
		case <-heartbeats.C:
			heartbeatDue = true
		case <-s.disconnected:
			return errSessionEnds
		case <-s.server.ctx.Done():
			return errSessionEnds
		}
	}
}

// catchUp sends all changes after the cursor. If the history no longer has them, the error is *ComeBack after a reset of the
// history, and *WatcherTooSlow otherwise.
func (s *session) catchUp() error {
	for {
		transactions, upTo, ok := s.server.history.since(s.cursor, historyBatch)
		switch {
		case !ok && s.server.history.wasReset(s.cursor):
			return s.server.comeBackError(s.request.Session.Name)
		case !ok:
			return &WatcherTooSlow{}
		}
		for _, t := range transactions {
			line := t.line(s.request.Prefixes)
			if line == nil {
				continue
			}
			s.setTarget(t.revision)
			if s.write(line) != nil {
				return errSessionEnds
			}
			s.setCursor(t.revision)
		}
		s.setCursor(upTo)
		if len(transactions) < historyBatch {
			return nil
		}
	}
}

// write writes a line in parts, each with its own write deadline.
func (s *session) write(line []byte) error {
	for len(line) > 0 {
		part := line[:min(len(line), writePartSize)]
		s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := s.conn.Write(part); err != nil {
			return err
		}
		line = line[len(part):]
	}
	return nil
}

// readReports receives the client's reports until the client disconnects, is silent for too long or sends an invalid report.
func (s *session) readReports() {
	defer close(s.disconnected)
	for {
		s.conn.SetReadDeadline(time.Now().Add(idleTimeoutFor(s.server.options.HeartbeatInterval)))
		line, err := s.in.next(maxReport)
		if err != nil {
			return
		}
		var report WatchReport
		if json.Unmarshal(line, &report) != nil {
			return
		}
		s.mu.Lock()
		s.report = report
		s.mu.Unlock()
	}
}

// setCursor records that all changes under the session's prefixes up to a revision have been sent.
func (s *session) setCursor(revision uint64) {
	s.cursor = revision
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = revision
}

// setTarget records the revision of a change under the session's prefixes, if it is the highest so far.
func (s *session) setTarget(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision > s.target {
		s.target, s.targetSince = revision, time.Now()
	}
}
