package bus

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"
)

// Times of a request whose answer has not begun.
const (
	// firstByteTimeout is how long the answer to a request may take to begin. Until then a change need not be known.
	firstByteTimeout = 7 * time.Second
	// secondRequestDelay is the time after which a second request is made beside the first: a server that is slow answers the first,
	// and one that has lost it the second.
	secondRequestDelay = silenceTimeout
	// maxSecondRequestWait bounds the wait after a second request has failed while the first is still open.
	maxSecondRequestWait = 2 * time.Second
)

// answer is the answer to a request for the stream of events, from its first byte on.
type answer struct {
	conn  net.Conn
	timed *timedReader
	in    *bufio.Reader
}

// answerResult is the outcome of one request.
type answerResult struct {
	answer *answer
	err    error
}

// firstAnswer requests the stream, and returns the answer that begins first. While the first request is late there is one other beside it.
func (r *Reader) firstAnswer(ctx context.Context, addr string) (*answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the request that has not won
	results := make(chan answerResult)
	open := 0
	request := func() {
		open++
		go func(after int64) {
			answer, err := r.request(ctx, addr, after)
			select {
			case results <- answerResult{answer, err}:
			case <-ctx.Done():
				if answer != nil {
					answer.conn.Close()
				}
			}
		}(r.LastOffset)
	}
	request()
	wait := minRetryWait
	second := time.NewTimer(secondRequestDelay)
	defer second.Stop()
	for {
		select {
		case result := <-results:
			open--
			if result.err == nil || open == 0 {
				return result.answer, result.err
			}
			second.Reset(wait + rand.N(wait))
			wait = min(2*wait, maxSecondRequestWait)
		case <-second.C:
			r.Log.WithField("bus", addr).Info("event bus: no answer yet; asking once more beside the first request")
			request()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// request makes one request for the events after an offset, and waits for the first byte of its answer.
func (r *Reader) request(ctx context.Context, addr string, after int64) (*answer, error) {
	began := time.Now()
	conn, err := r.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	conn.SetDeadline(began.Add(firstByteTimeout))
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: text/event-stream\r\nLast-Event-ID: %d\r\n\r\n", path, addr, after)
	if err != nil {
		conn.Close()
		return nil, err
	}
	timed := &timedReader{conn: conn}
	in := bufio.NewReaderSize(timed, maxLine)
	if _, err = in.Peek(1); err != nil {
		conn.Close()
		return nil, err
	}
	timed.beginLine()
	if r.FirstByte != nil {
		r.FirstByte(time.Since(began))
	}
	return &answer{conn, timed, in}, nil
}
