package store

import (
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"beammux/control/admission"
)

// session is one client that watches.
type session struct {
	server  *sessionServer
	conn    net.Conn
	in      *lineReader
	request WatchRequest
	since   time.Time
	wake    chan struct{}
	gone    chan struct{} // the client has left, or is silent
	cursor  uint64        // all up to this revision is sent; of the writing goroutine alone
	// admitted tells that the session counts among those that are open; of the writing goroutine alone.
	admitted bool

	mu          sync.Mutex
	sent        uint64 // the cursor, for others
	target      uint64 // revision of the last change under its prefixes
	targetSince time.Time
	report      WatchReport
}

func (s *session) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run serves the session. The error is what is still to be sent to the client, or errSessionEnds.
func (s *session) run() error {
	defer s.release()
	if err := s.open(); err != nil {
		return err
	}
	s.server.running.Go(s.readReports) // until the connection is closed
	err := s.send()
	if !errors.Is(err, errSessionEnds) {
		s.endWith(err)
	}
	return errSessionEnds
}

func (s *session) release() {
	if s.admitted {
		s.server.release()
	}
}

// endWith sends the client the reason why its session ends, and waits until it has left: a connection that is closed while reports
// of the client are unread is reset, and what was written last may be lost.
func (s *session) endWith(err error) {
	sendFault(s.conn, err)
	if half, ok := s.conn.(*net.TCPConn); ok {
		half.CloseWrite()
	}
	select {
	case <-s.gone:
	case <-s.server.ctx.Done():
	case <-time.After(writeWithin):
	}
}

// sendFault writes an error as the last line of a connection.
func sendFault(c net.Conn, err error) {
	var r result
	r.fail(err)
	c.SetWriteDeadline(time.Now().Add(writeWithin))
	json.NewEncoder(c).Encode(r)
}

// open admits the session and sends what the client lacks up to now, or the begin of it.
func (s *session) open() error {
	if err := s.server.check(s.request); err != nil {
		return err
	}
	s.server.noteHeld(s.request.After)
	if err := s.server.reached(s.request.After); err != nil {
		return err
	}
	s.conn.SetDeadline(time.Time{})
	floor, _, _ := s.server.history.state()
	snapshot := s.request.After == 0 || s.request.After < floor
	if err := s.server.admitted(admission.Request{Client: s.request.Session.Name, NeedsSnapshot: snapshot}); err != nil {
		return err
	}
	s.admitted = true
	v := s.server.currentView()
	s.setTarget(v.newest(s.request.Prefixes))
	s.mu.Lock()
	s.report.InForce = s.request.After
	s.mu.Unlock()
	s.setCursor(s.request.After)
	if !snapshot {
		return nil
	}
	if s.write(v.line(s.request.Prefixes)) != nil {
		return errSessionEnds
	}
	s.setCursor(v.revision)
	return nil
}

// send brings changes and heartbeats until the session ends.
func (s *session) send() error {
	beats := time.NewTicker(s.server.options.HeartbeatInterval)
	defer beats.Stop()
	for beat := true; ; {
		if err := s.catchUp(); err != nil {
			return err
		}
		if beat {
			if s.write(s.server.heartbeat(s.cursor)) != nil {
				return errSessionEnds
			}
		}
		select {
		case <-s.wake:
			beat = false
		case <-beats.C:
			beat = true
		case <-s.gone:
			return errSessionEnds
		case <-s.server.ctx.Done():
			return errSessionEnds
		}
	}
}

// catchUp sends all changes that there are.
func (s *session) catchUp() error {
	for {
		transactions, upTo, ok := s.server.history.since(s.cursor, batch)
		switch {
		case !ok && s.server.history.wasReset(s.cursor):
			return s.server.comeBack(s.request.Session.Name)
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
		if len(transactions) < batch {
			return nil
		}
	}
}

// write writes a line in parts, each within its time.
func (s *session) write(line []byte) error {
	for len(line) > 0 {
		part := line[:min(len(line), writePart)]
		s.conn.SetWriteDeadline(time.Now().Add(writeWithin))
		if _, err := s.conn.Write(part); err != nil {
			return err
		}
		line = line[len(part):]
	}
	return nil
}

// readReports takes the client's reports until it leaves or is silent for too long.
func (s *session) readReports() {
	defer close(s.gone)
	for {
		s.conn.SetReadDeadline(time.Now().Add(silenceAfter(s.server.options.HeartbeatInterval)))
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

func (s *session) setCursor(revision uint64) {
	s.cursor = revision
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = revision
}

func (s *session) setTarget(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision > s.target {
		s.target, s.targetSince = revision, time.Now()
	}
}
