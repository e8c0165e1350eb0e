package store

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"
)

// WatchSession opens a session at the control machine at an address and calls handle for each event, in order and one at a
// time, until the context ends, the connection breaks, handle returns an error, or the control machine ends the session. It
// returns the error that ended the session, never nil. The control machine's errors are *ComeBack, *ReplicaBehind,
// *WatcherTooSlow, *NotControl, *BadRequest, *SessionsFull and ErrNotReady. Reports are sent as they arrive, and the last one
// again with each heartbeat, which shows the control machine that the client is alive. dial may be nil.
func WatchSession(ctx context.Context, dial Dial, address string, r WatchRequest, reports <-chan WatchReport, handle func(WatchEvent) error) error {
	c, err := dialMember(ctx, dial, address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	defer c.Close()
	w := &watch{conn: c, address: address, heartbeats: make(chan struct{}, 1), handle: handle, revision: r.After}
	if err := w.request(r); err != nil {
		return sessionError(ctx, err)
	}
	running.Go(func() { w.sendReports(ctx, r.After, reports) })
	return sessionError(ctx, w.receive())
}

// sessionError returns the error that ended a session: the context's error if the context has ended, otherwise err.
func sessionError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// dialMember dials an address with a timeout. dial may be nil.
func dialMember(ctx context.Context, dial Dial, address string) (net.Conn, error) {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	return dial(ctx, "tcp", address)
}

// exchange sends one command on a new connection and reads its answer.
func exchange(ctx context.Context, dial Dial, address string, data []byte) (r result, err error) {
	c, err := dialMember(ctx, dial, address)
	if err != nil {
		return r, err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	c.SetDeadline(time.Now().Add(2 * applyTimeout))
	if _, err = c.Write(append(append([]byte{forwardByte}, data...), '\n')); err != nil {
		return r, err
	}
	if err = json.NewDecoder(io.LimitReader(c, maxAnswer)).Decode(&r); err != nil {
		return r, sessionError(ctx, err)
	}
	return r, r.error(address)
}

// watch is the client side of a session.
type watch struct {
	conn       net.Conn
	address    string
	heartbeats chan struct{} // buffered signal: a heartbeat was handled
	handle     func(WatchEvent) error
	revision   uint64 // of the last event
}

// request sends the command that opens the session.
func (w *watch) request(r WatchRequest) error {
	c := command{Op: opWatch, Watch: &r}
	if len(r.Prefixes) > 0 {
		c.Key = r.Prefixes[0] // the prefix that a member of an earlier version watches
	}
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err = w.conn.Write(append(append([]byte{forwardByte}, data...), '\n'))
	return err
}

// receive handles events until the session ends. It fails if no event arrives for a few heartbeat intervals.
func (w *watch) receive() error {
	reader := &idleTimeoutReader{w.conn, 2*catchUpTimeout + writeTimeout}
	limit := &io.LimitedReader{R: reader}
	in := json.NewDecoder(bufio.NewReader(limit))
	for {
		limit.N = maxAnswer
		var r result
		if err := in.Decode(&r); err != nil {
			return err
		}
		if err := r.error(w.address); err != nil {
			return err
		}
		if r.Event == nil {
			return &NotControl{w.address}
		}
		if r.Event.Revision < w.revision {
			return &ReplicaBehind{r.Event.Revision, w.revision}
		}
		w.revision = r.Event.Revision
		if err := w.handle(r.Event.event()); err != nil {
			return err
		}
		if r.Event.Kind == Heartbeat {
			if r.Event.Every > 0 {
				reader.idleTimeout = idleTimeoutFor(r.Event.Every)
			}
			select {
			case w.heartbeats <- struct{}{}:
			default:
			}
		}
	}
}

// idleTimeoutReader reads from a connection with an idle timeout.
type idleTimeoutReader struct {
	conn        net.Conn
	idleTimeout time.Duration // longest wait for data
}

// Read implements io.Reader.
func (s *idleTimeoutReader) Read(p []byte) (int, error) {
	s.conn.SetReadDeadline(time.Now().Add(s.idleTimeout))
	return s.conn.Read(p)
}

// sendReports sends each report as it arrives, and the last one again with each heartbeat. It always receives reports, so that
// their sender never blocks, but writes none before the first heartbeat: if a control machine that refuses the session closes
// the connection with unread data, its answer may be lost. Write errors are ignored, because the reader may still receive the
// error that ended the session.
func (w *watch) sendReports(ctx context.Context, inForce uint64, reports <-chan WatchReport) {
	last, started := WatchReport{InForce: inForce}, false
	for {
		select {
		case <-ctx.Done():
			return
		case report, ok := <-reports:
			if !ok {
				reports = nil
				continue
			}
			last = report
		case <-w.heartbeats:
			started = true
		}
		if started {
			w.send(last)
		}
	}
}

// send writes a report. Errors are left to the reader.
func (w *watch) send(r WatchReport) {
	line, err := json.Marshal(r)
	if err != nil { // unreachable: the fields are strings and numbers
		panic(err)
	}
	w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	w.conn.Write(append(line, '\n'))
}
