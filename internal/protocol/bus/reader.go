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
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fastjson"

	"beammux/internal/routing"
)

const (
	path       = "/bus/read"
	silence    = 3 * time.Second // a comment is due every second: after this the connection is taken for dead
	retryFirst = 20 * time.Millisecond
	retryMost  = time.Second
	maxLine    = 256 << 10
)

// Reader keeps reading the bus and hands on each change once, in order.
type Reader struct {
	Addr   string
	Dial   func(ctx context.Context, addr string) (net.Conn, error)
	Apply  func(routing.Update)
	Log    logrus.FieldLogger
	Last   int64 // number of the last event that was taken
	parser fastjson.Parser
}

// errFault marks an event that can't be taken: the list stays as it was and the bus is asked again.
var errFault = errors.New("fault in the event stream")

// Run reads until the context ends, reconnecting after the last event taken.
func (r *Reader) Run(ctx context.Context) {
	wait := retryFirst
	for ctx.Err() == nil {
		before := r.Last
		began := time.Now()
		err := r.connect(ctx)
		if ctx.Err() != nil {
			return
		}
		if r.Last > before || time.Since(began) > silence && !errors.Is(err, errFault) {
			wait = retryFirst
		}
		r.Log.WithError(err).WithField("last", r.Last).Warn("event bus: connection ended, last good list kept")
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		wait = min(2*wait, retryMost)
	}
}

func (r *Reader) connect(ctx context.Context) error {
	nc, err := r.Dial(ctx, r.Addr)
	if err != nil {
		return err
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	nc.SetDeadline(time.Now().Add(silence))
	_, err = fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: text/event-stream\r\nLast-Event-ID: %d\r\n\r\n",
		path, r.Addr, r.Last)
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
	case e.Offset <= r.Last:
		return nil
	case e.Offset > r.Last+1 && (e.Update == nil || !e.Update.Whole):
		err = fmt.Errorf("gap: event %d came after %d", e.Offset, r.Last)
	}
	if err != nil {
		r.Log.WithError(err).WithField("last", r.Last).Error("event bus: event can't be taken, last good list kept")
		return errFault
	}
	r.Last = e.Offset
	if e.Update != nil {
		r.Apply(*e.Update)
	}
	return nil
}
