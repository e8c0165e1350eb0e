package hollow

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	stuckBuffer = 4 << 10 // of the socket, so that little lies in the kernel
	drainBuffer = 4 << 20
	drainWithin = 2 * time.Second // shorter than a machine waits for a silent session that it has not yet cut off
)

// stuckWatcher is a session that is opened as any other and then never reads.
type stuckWatcher struct {
	stop context.CancelFunc

	mu   sync.Mutex
	conn *net.TCPConn
}

// stuckConn writes as any other connection, and its reads wait until it is closed.
type stuckConn struct {
	net.Conn
	ctx context.Context
}

func (c *stuckConn) Read([]byte) (int, error) {
	<-c.ctx.Done()
	return 0, c.ctx.Err()
}

// Close leaves the connection open for wasCutOff, which closes it.
func (c *stuckConn) Close() error { return nil }

func openStuckWatcher(ctx context.Context, address string, work *sync.WaitGroup) *stuckWatcher {
	ctx, stop := context.WithCancel(ctx)
	w := &stuckWatcher{stop: stop}
	work.Go(func() {
		watchAll(ctx, func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			w.conn = c.(*net.TCPConn)
			w.conn.SetReadBuffer(stuckBuffer)
			return &stuckConn{c, ctx}, nil
		}, address)
	})
	return w
}

// wasCutOff ends the watcher and tells whether the machine had closed its connection: what lies in the kernel is read now, up
// to its end.
func (w *stuckWatcher) wasCutOff() bool {
	w.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn == nil {
		return false
	}
	defer w.conn.Close()
	w.conn.SetReadBuffer(drainBuffer)
	buffer := make([]byte, 64<<10)
	w.conn.SetReadDeadline(time.Now().Add(drainWithin))
	for {
		if _, err := w.conn.Read(buffer); err != nil {
			return !errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
}
