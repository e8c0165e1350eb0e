package bus

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fastjson"

	"beammux/internal/routing"
)

const (
	path = "/bus/read"
	// silenceTimeout is the time without a byte after which a stream that has begun is considered dead. The bus sends a comment every
	// second. A gatekeeper must know the events that a silent bus withholds 4 s after it went silent, so the next connection
	// has to be established well before that.
	silenceTimeout = 2500 * time.Millisecond
	// lineTimeout is the time that one line may take if its bytes come slowly. A gatekeeper must know an event 6 s after discovery
	// had it and could be reached.
	lineTimeout  = 5500 * time.Millisecond
	minRetryWait = 20 * time.Millisecond
	maxRetryWait = 250 * time.Millisecond // a gatekeeper must know the events of a failed bus after 2 s
	maxLine      = 256 << 10              // bytes
)

// Reader reads the bus, reconnects when a connection ends, and applies each change once, in order.
type Reader struct {
	Addr       string // address of the bus; empty: none yet. SetAddr changes it while Run runs
	Dial       func(ctx context.Context, addr string) (net.Conn, error)
	Apply      func(routing.Update)
	Log        logrus.FieldLogger
	LastOffset int64 // offset of the last event that was accepted
	// FirstByte, if not nil, is called with the time that each answer took to begin.
	FirstByte func(time.Duration)
	parser    fastjson.Parser

	mu     sync.Mutex         // guards Addr and cancel
	cancel context.CancelFunc // ends the current connection or wait
}

// errInvalidEvent is returned for an invalid event. The list is unchanged, and the reader connects again.
var errInvalidEvent = errors.New("invalid event in the stream")

// SetAddr makes the reader connect to another address at once. The offsets continue, so no event is lost or applied twice.
func (r *Reader) SetAddr(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if addr == r.Addr {
		return
	}
	r.Addr = addr
	if r.cancel != nil {
		r.cancel()
	}
}

// nextConnection returns the address of the next connection and a context for it, which SetAddr cancels.
func (r *Reader) nextConnection(ctx context.Context) (context.Context, context.CancelFunc, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ctx, r.cancel = context.WithCancel(ctx)
	return ctx, r.cancel, r.Addr
}

// Run reads until the context ends. Each connection resumes after the last event that was accepted.
func (r *Reader) Run(ctx context.Context) {
	wait := minRetryWait
	for ctx.Err() == nil {
		connCtx, cancel, addr := r.nextConnection(ctx)
		if r.readOnce(connCtx, addr, wait) {
			wait = minRetryWait
		} else {
			wait = min(2*wait, maxRetryWait)
		}
		cancel()
	}
}

// readOnce reads one connection and then waits before the next, or until the context ends. It reports whether the
// connection was useful; if so, the retry wait starts over at its minimum.
func (r *Reader) readOnce(ctx context.Context, addr string, wait time.Duration) (useful bool) {
	if addr == "" {
		<-ctx.Done()
		return true
	}
	before, began := r.LastOffset, time.Now()
	err := r.connect(ctx, addr)
	if ctx.Err() != nil { // the address has changed, or the program ends
		return true
	}
	r.Log.WithError(err).WithFields(logrus.Fields{"bus": addr, "last": r.LastOffset}).
		Warn("event bus: connection ended; keeping the last valid list")
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return r.LastOffset > before || time.Since(began) > silenceTimeout && !errors.Is(err, errInvalidEvent)
}

// connect opens a connection that resumes after the last event and reads it until it ends.
func (r *Reader) connect(ctx context.Context, addr string) error {
	answer, err := r.firstAnswer(ctx, addr)
	if err != nil {
		return err
	}
	defer answer.conn.Close()
	defer context.AfterFunc(ctx, func() { answer.conn.Close() })()
	in := answer.in
	text := textproto.NewReader(in)
	status, err := text.ReadLine()
	if err != nil {
		return err
	}
	if _, code, _ := strings.Cut(status, " "); !strings.HasPrefix(code, "200") {
		return fmt.Errorf("event bus returned status %q", status)
	}
	header, err := text.ReadMIMEHeader()
	if err != nil {
		return err
	}
	if strings.EqualFold(header.Get("Transfer-Encoding"), "chunked") {
		in = bufio.NewReaderSize(httputil.NewChunkedReader(in), maxLine)
	}
	return r.readStream(in, answer.timed.beginLine)
}

// timedReader reads a connection with silenceTimeout for the next bytes and lineTimeout for a line, once the first has begun.
type timedReader struct {
	conn    net.Conn
	lineEnd time.Time // zero until the first line begins
}

// beginLine begins the time of the next line.
func (t *timedReader) beginLine() {
	t.lineEnd = time.Now().Add(lineTimeout)
	t.extend()
}

// extend gives the other side time for its next bytes.
func (t *timedReader) extend() {
	deadline := time.Now().Add(silenceTimeout)
	if deadline.After(t.lineEnd) {
		deadline = t.lineEnd
	}
	t.conn.SetReadDeadline(deadline)
}

// Read implements io.Reader.
func (t *timedReader) Read(p []byte) (int, error) {
	n, err := t.conn.Read(p)
	if n > 0 && !t.lineEnd.IsZero() {
		t.extend()
	}
	return n, err
}

// readStream reads server-sent events until the stream ends. onLine is called for each line.
func (r *Reader) readStream(in *bufio.Reader, onLine func()) error {
	var id string
	var data []byte
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			if err == io.EOF {
				return errors.New("event bus closed the stream")
			}
			return err
		}
		onLine()
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if len(data) > 0 {
				if err := r.handleEvent(id, data); err != nil {
					return err
				}
			}
			id, data = "", nil
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			id = string(value)
		case "data":
			if data != nil {
				data = append(data, '\n')
			}
			data = append(data, value...)
		}
	}
}

// handleEvent handles one event. An event seen before is ignored; an event after a gap or with invalid data is a fault.
func (r *Reader) handleEvent(id string, data []byte) error {
	e, err := Parse(&r.parser, data)
	if err == nil && id != "" {
		n, idErr := strconv.ParseInt(id, 10, 64)
		if idErr != nil || n != e.Offset {
			err = fmt.Errorf("id %q does not match offset %d", id, e.Offset)
		}
	}
	switch {
	case err != nil:
	case e.Offset <= r.LastOffset:
		return nil
	case e.Offset > r.LastOffset+1 && (e.Update == nil || !e.Update.Complete):
		err = fmt.Errorf("gap: event %d follows event %d", e.Offset, r.LastOffset)
	}
	if err != nil {
		r.Log.WithError(err).WithField("last", r.LastOffset).Error("event bus: invalid event; keeping the last valid list")
		return errInvalidEvent
	}
	r.LastOffset = e.Offset
	if e.Update != nil {
		r.Apply(*e.Update)
	}
	return nil
}
