package hollow

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"beammux/control/scope"
	"beammux/internal/store"
)

const (
	stuckReadBuffer = 4 << 10 // read buffer of the socket in bytes; small, so that the sender soon blocks
	admissionDelay  = 2 * time.Second
	listTimeout     = 5 * time.Second
	stuckNameFormat = "watcher-that-reads-nothing-%d"
)

// stuckWatchers are sessions at one control machine whose connections are never read after they are opened.
type stuckWatchers struct {
	address  string
	names    []string
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	admitted []string // names of those that the machine listed admissionDelay after they were opened
}

// stuckConn is a connection whose reads block until the context of the watcher ends.
type stuckConn struct {
	net.Conn
	ctx context.Context
}

func (c *stuckConn) Read([]byte) (int, error) {
	<-c.ctx.Done()
	return 0, c.ctx.Err()
}

// openStuckWatchers opens count sessions at a control machine, and lists the admitted ones after admissionDelay.
func openStuckWatchers(ctx context.Context, address string, count int) *stuckWatchers {
	ctx, cancel := context.WithCancel(ctx)
	w := &stuckWatchers{address: address, cancel: cancel}
	for i := range count {
		r := store.WatchRequest{Prefixes: []string{scope.Prefix}, Session: store.SessionInfo{Name: fmt.Sprintf(stuckNameFormat, i+1)}}
		w.names = append(w.names, r.Session.Name)
		w.tasks.Go(func() {
			store.WatchSession(ctx, stuckDialer(ctx), address, r, nil, func(store.WatchEvent) error { return nil })
		})
	}
	w.tasks.Go(func() {
		select {
		case <-ctx.Done():
		case <-time.After(admissionDelay):
			w.admitted = w.list(ctx)
		}
	})
	return w
}

// stuckDialer returns a dial function for connections that are never read. Their reads block on the watcher's context, since
// the context of a dial ends with the dial.
func stuckDialer(watcher context.Context) store.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if err := c.(*net.TCPConn).SetReadBuffer(stuckReadBuffer); err != nil {
			c.Close()
			return nil, err
		}
		return &stuckConn{c, watcher}, nil
	}
}

// list returns the names of the watchers that the control machine lists as sessions, nil if it does not respond.
func (w *stuckWatchers) list(ctx context.Context) (names []string) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	sessions, err := store.SessionsFrom(ctx, nil, w.address)
	if err != nil {
		return nil
	}
	for _, s := range sessions {
		if slices.Contains(w.names, s.Name) {
			names = append(names, s.Name)
		}
	}
	return names
}

// shutDown closes the watchers. It returns how many the control machine admitted and later cut off, and how many others there are.
func (w *stuckWatchers) shutDown(ctx context.Context) (cutOff, others int) {
	stillOpen := w.list(ctx)
	w.cancel()
	w.tasks.Wait()
	for _, name := range w.admitted {
		if !slices.Contains(stillOpen, name) {
			cutOff++
		}
	}
	return cutOff, len(w.names) - cutOff
}
