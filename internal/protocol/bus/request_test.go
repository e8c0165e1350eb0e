package bus

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/textproto"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"beammux/internal/routing"
)

// Limits by the operators' pages.
const (
	changeDeadline    = 7 * time.Second // from a change at the bus to its application
	reachableDeadline = 6 * time.Second // the same after a call that was given up, once discovery can be reached
)

// slowBus answers each request after a delay with the events that it has then, and sends later ones at once. A negative delay is no answer.
type slowBus struct {
	delay   func(request int) time.Duration
	eventAt time.Duration // when it has its event
	began   time.Time

	requests, open, mostOpen atomic.Int32 // open counts those whose answer has not begun
}

func (b *slowBus) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go b.serve(far)
	return near, nil
}

func (b *slowBus) serve(conn net.Conn) {
	defer conn.Close()
	in := textproto.NewReader(bufio.NewReader(conn))
	in.ReadLine()
	in.ReadMIMEHeader()
	number := b.requests.Add(1)
	b.mostOpen.Store(max(b.mostOpen.Load(), b.open.Add(1)))
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		io.Copy(io.Discard, conn)
	}()
	delay := b.delay(int(number) - 1)
	late := make(<-chan time.Time)
	if delay >= 0 {
		late = time.After(delay)
	}
	select {
	case <-late:
	case <-gone:
		b.open.Add(-1)
		return
	}
	b.open.Add(-1)
	io.WriteString(conn, head)
	sent := false
	for {
		if !sent && time.Since(b.began) >= b.eventAt {
			sent = true
			io.WriteString(conn, event(1, true, "a", "draining"))
		}
		if _, err := io.WriteString(conn, ": still here\n\n"); err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// applied returns the time after which a reader of the bus applies its event.
func (b *slowBus) applied(t *testing.T) time.Duration {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	b.began = time.Now()
	applied := time.Hour
	r := &Reader{Addr: "bus", Log: log, Dial: b.dial, Apply: func(routing.Update) {
		applied = time.Since(b.began)
		cancel()
	}}
	r.Run(ctx)
	time.Sleep(time.Second) // until the bus has seen the end of its connections
	return applied
}

// Guards against changes that are never applied because the bus begins its answers late: each request was given up after the silence that an open
// stream may have. At most one request is made beside the first.
func TestSlowAnswersAreAwaited(t *testing.T) {
	for _, delay := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 5 * time.Second, 6500 * time.Millisecond} {
		for _, growing := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				const eventAt = 4 * time.Second
				b := &slowBus{eventAt: eventAt}
				b.delay = func(request int) time.Duration {
					if growing {
						return delay * time.Duration(request+1)
					}
					return delay
				}
				require.LessOrEqual(t, b.applied(t), eventAt+changeDeadline, "answers after %v, growing: %v", delay, growing)
				require.LessOrEqual(t, b.mostOpen.Load(), int32(2))
				require.LessOrEqual(t, b.requests.Load(), int32(2))
			})
		}
	}
}

// Guards against a reader that waits for an answer that never begins, after discovery can be reached again.
func TestLostRequestDoesNotDelayTheNext(t *testing.T) {
	for _, returnsAt := range []time.Duration{time.Second, 2600 * time.Millisecond, 5 * time.Second, 9600 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			b := &slowBus{eventAt: returnsAt}
			b.delay = func(int) time.Duration {
				if time.Since(b.began) < returnsAt {
					return -1
				}
				return 0
			}
			require.LessOrEqual(t, b.applied(t), returnsAt+reachableDeadline, "discovery can be reached after %v", returnsAt)
			require.LessOrEqual(t, b.mostOpen.Load(), int32(2))
		})
	}
}
