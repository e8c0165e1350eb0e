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
// returns that error, never nil. Of the control machine's are: *ComeBack, *ReplicaBehind, *WatcherTooSlow, *NotControl,
// *BadRequest, ErrNotReady. Reports are sent as they come, and the last one again with each heartbeat: by that the control
// machine knows that the client lives. dial may be nil.
func WatchSession(ctx context.Context, dial Dial, address string, r WatchRequest, reports <-chan WatchReport, handle func(WatchEvent) error) error {
	c, err := connect(ctx, dial, address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	defer c.Close()
	w := &watch{conn: c, address: address, beats: make(chan struct{}, 1), handle: handle, revision: r.After}
	if err := w.request(r); err != nil {
		return cause(ctx, err)
	}
	running.Go(func() { w.sendReports(ctx, r.After, reports) })
	return cause(ctx, w.receive())
}

// cause is why a session ended: the context, where that did.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

func connect(ctx context.Context, dial Dial, address string) (net.Conn, error) {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	ctx, cancel := context.WithTimeout(ctx, applyWithin)
	defer cancel()
	return dial(ctx, "tcp", address)
}

// exchange sends one command and reads its answer.
func exchange(ctx context.Context, dial Dial, address string, data []byte) (r result, err error) {
	c, err := connect(ctx, dial, address)
	if err != nil {
		return r, err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	c.SetDeadline(time.Now().Add(2 * applyWithin))
	if _, err = c.Write(append(append([]byte{forwardByte}, data...), '\n')); err != nil {
		return r, err
	}
	if err = json.NewDecoder(io.LimitReader(c, maxAnswer)).Decode(&r); err != nil {
		return r, cause(ctx, err)
	}
	return r, r.error(address)
}

// watch is the client's side of a session.
type watch struct {
	conn     net.Conn
	address  string
	beats    chan struct{} // a heartbeat was handled
	handle   func(WatchEvent) error
	revision uint64
}

func (w *watch) request(r WatchRequest) error {
	c := command{Op: opWatch, Watch: &r}
	if len(r.Prefixes) > 0 {
		c.Key = r.Prefixes[0] // what a member of an earlier version would watch
	}
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	w.conn.SetWriteDeadline(time.Now().Add(writeWithin))
	_, err = w.conn.Write(append(append([]byte{forwardByte}, data...), '\n'))
	return err
}

// receive handles events until the session ends. Between two of them no more than a few heartbeats' time may pass.
func (w *watch) receive() error {
	steady := &steadyReader{w.conn, 2*behindWithin + writeWithin}
	limit := &io.LimitedReader{R: steady}
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
				steady.silence = silenceAfter(r.Event.Every)
			}
			select {
			case w.beats <- struct{}{}:
			default:
			}
		}
	}
}

// steadyReader reads from a connection that may be silent for so long.
type steadyReader struct {
	conn    net.Conn
	silence time.Duration
}

func (s *steadyReader) Read(p []byte) (int, error) {
	s.conn.SetReadDeadline(time.Now().Add(s.silence))
	return s.conn.Read(p)
}

// sendReports sends each report as it comes, and the last one with each heartbeat. It begins with the first heartbeat: a
// control machine that refuses the session must not find anything unread when it closes the connection, since then its
// answer may be lost. It ends when a report can't be sent: the control machine's last words may still be on their way.
func (w *watch) sendReports(ctx context.Context, inForce uint64, reports <-chan WatchReport) {
	last := WatchReport{InForce: inForce}
	select {
	case <-ctx.Done():
		return
	case <-w.beats:
	}
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
		case <-w.beats:
		}
		line, err := json.Marshal(last)
		if err != nil { // strings and numbers
			panic(err)
		}
		w.conn.SetWriteDeadline(time.Now().Add(writeWithin))
		if _, err := w.conn.Write(append(line, '\n')); err != nil {
			return
		}
	}
}
