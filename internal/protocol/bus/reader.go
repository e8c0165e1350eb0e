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
	// A comment is due every second: after this the connection is taken for dead. What a silent bus would have told
	// counts as told 4 s after it stopped, so the next connection has to stand well before.
	silence    = 2500 * time.Millisecond
	retryFirst = 20 * time.Millisecond
	retryMost  = 250 * time.Millisecond // what a broken bus would have told counts as told after 2 s
	maxLine    = 256 << 10
)

// Reader keeps reading the bus and hands on each change once, in order.
type Reader struct {
	Addr       string // where the bus is at the start; empty: none yet. Move changes it
	Dial       func(ctx context.Context, addr string) (net.Conn, error)
	Apply      func(routing.Update)
	Log        logrus.FieldLogger
	LastOffset int64 // number of the last event that was taken
	parser     fastjson.Parser

	mu  sync.Mutex         // guards Addr and cut
	cut context.CancelFunc // ends the connection or the wait that is on
}

// errFault marks an event that can't be taken: the list stays as it was and the bus is asked again.
var errFault = errors.New("fault in the event stream")

// SetAddr goes on reading at another address at once. The numbers continue, so nothing is missed or taken twice.
func (r *Reader) SetAddr(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if addr == r.Addr {
		return
	}
	r.Addr = addr
	if r.cut != nil {
		r.cut()
	}
}

// turn gives the address of the next connection and a context that ends when the bus moves.
func (r *Reader) turn(ctx context.Context) (context.Context, context.CancelFunc, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ctx, r.cut = context.WithCancel(ctx)
	return ctx, r.cut, r.Addr
}

// Run reads until the context ends, reconnecting after the last event taken.
func (r *Reader) Run(ctx context.Context) {
	wait := retryFirst
	for ctx.Err() == nil {
		turn, cut, addr := r.turn(ctx)
		if r.read(turn, addr, wait) {
			wait = retryFirst
		} else {
			wait = min(2*wait, retryMost)
		}
		cut()
	}
}

// read reads one connection and then waits before the next, or until the turn ends. It tells whether the connection
// was of use, so that the next wait is short again.
func (r *Reader) read(ctx context.Context, addr string, wait time.Duration) (useful bool) {
	if addr == "" {
		<-ctx.Done()
		return true
	}
	before, began := r.LastOffset, time.Now()
	err := r.connect(ctx, addr)
	if ctx.Err() != nil { // ended from here: the bus has moved, or the program ends
		return true
	}
	r.Log.WithError(err).WithFields(logrus.Fields{"bus": addr, "last": r.LastOffset}).
		Warn("event bus: connection ended, last good list kept")
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return r.LastOffset > before || time.Since(began) > silence && !errors.Is(err, errFault)
}

func (r *Reader) connect(ctx context.Context, addr string) error {
	nc, err := r.Dial(ctx, addr)
	if err != nil {
		return err
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	nc.SetDeadline(time.Now().Add(silence))
	_, err = fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: text/event-stream\r\nLast-Event-ID: %d\r\n\r\n",
		path, addr, r.LastOffset)
	if err != nil {
		return err
	}
	in := bufio.NewReaderSize(nc, maxLine)
	head := textproto.NewReader(in)
	status, err := head.ReadLine()
	if err != nil {
		return err
	}
	if _, code, _ := strings.Cut(status, " "); !strings.HasPrefix(code, "200") {
		return fmt.Errorf("event bus answers %q", status)
	}
	header, err := head.ReadMIMEHeader()
	if err != nil {
		return err
	}
	if strings.EqualFold(header.Get("Transfer-Encoding"), "chunked") {
		in = bufio.NewReaderSize(httputil.NewChunkedReader(in), maxLine)
	}
	return r.stream(in, func() { nc.SetReadDeadline(time.Now().Add(silence)) })
}

// stream reads server-sent events; alive is called for each line.
func (r *Reader) stream(in *bufio.Reader, alive func()) error {
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
		alive()
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if len(data) > 0 {
				if err := r.event(id, data); err != nil {
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

// event takes one event: one seen before is passed over, one after a gap or with garbage is a fault.
func (r *Reader) event(id string, data []byte) error {
	e, err := Parse(&r.parser, data)
	if err == nil && id != "" {
		n, bad := strconv.ParseInt(id, 10, 64)
		if bad != nil || n != e.Offset {
			err = fmt.Errorf("id %q does not go with offset %d", id, e.Offset)
		}
	}
	switch {
	case err != nil:
	case e.Offset <= r.LastOffset:
		return nil
	case e.Offset > r.LastOffset+1 && (e.Update == nil || !e.Update.Complete):
		err = fmt.Errorf("gap: event %d came after %d", e.Offset, r.LastOffset)
	}
	if err != nil {
		r.Log.WithError(err).WithField("last", r.LastOffset).Error("event bus: event can't be taken, last good list kept")
		return errFault
	}
	r.LastOffset = e.Offset
	if e.Update != nil {
		r.Apply(*e.Update)
	}
	return nil
}
