package hollow

import (
	"context"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// traffic counts the bytes of one gatekeeper's connections.
type traffic struct {
	sent, received atomic.Int64
	opened         atomic.Int64 // connections
}

// network is what the gatekeepers of this process dial through: it counts their bytes and injects faults between regions.
type network struct {
	shaped   bool // connections can be delayed
	delay    atomic.Int64
	regionOf map[string]string // of a control machine, by address

	mu   sync.Mutex
	cut  map[string]bool
	wake chan struct{} // closed when cut changes
}

func newNetwork(shaped bool, regionOf map[string]string) *network {
	return &network{shaped: shaped, regionOf: regionOf, cut: map[string]bool{}, wake: make(chan struct{})}
}

// setCut cuts a region off from the others, or heals it.
func (n *network) setCut(region string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[region] = cut
	close(n.wake)
	n.wake = make(chan struct{})
}

// passes tells whether bytes pass between two regions now; wake is closed when that may have changed.
func (n *network) passes(a, b string) (ok bool, wake <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a == b || !n.cut[a] && !n.cut[b], n.wake
}

// dialer gives the dial function of one gatekeeper.
func (n *network) dialer(region string, t *traffic) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		path := &path{network: n, from: region, to: n.regionOf[address]}
		if err := path.wait(ctx); err != nil { // as a first packet that nobody answers
			return nil, err
		}
		if d := path.latency(); d > 0 {
			select {
			case <-time.After(2 * d):
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		t.opened.Add(1)
		counted := &countedConn{Conn: c, traffic: t, path: path, closed: make(chan struct{}), moved: make(chan struct{})}
		if n.shaped && path.from != path.to {
			return newDelayedConn(counted, path), nil
		}
		return counted, nil
	}
}

// path is the way between two regions.
type path struct {
	network  *network
	from, to string
}

func (p *path) latency() time.Duration {
	if p.from == p.to {
		return 0
	}
	return time.Duration(p.network.delay.Load())
}

// wait returns once the path is open.
func (p *path) wait(ctx context.Context) error {
	for {
		ok, wake := p.network.passes(p.from, p.to)
		if ok {
			return nil
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// countedConn counts what passes, and holds it back while its path is cut: the bytes stay in the kernel, as those of a
// connection whose packets are lost, and go on after the heal.
type countedConn struct {
	net.Conn
	traffic *traffic
	path    *path
	closed  chan struct{}
	once    sync.Once
	pending []byte // read from the kernel while the path was cut, and not yet handed on

	mu          sync.Mutex
	read, write time.Time     // deadlines
	moved       chan struct{} // closed when a deadline changes
}

func (c *countedConn) Read(b []byte) (int, error) {
	if len(c.pending) == 0 {
		n, err := c.Conn.Read(b)
		if n == 0 {
			return 0, err
		}
		c.pending = b[:n]
	}
	if err := c.hold(func() time.Time { return c.read }); err != nil {
		c.pending = slices.Clone(c.pending)
		return 0, err
	}
	n := copy(b, c.pending)
	c.pending = c.pending[n:]
	c.traffic.received.Add(int64(n))
	return n, nil
}

func (c *countedConn) Write(b []byte) (int, error) {
	if err := c.hold(func() time.Time { return c.write }); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// hold waits while the path is cut, at most until the deadline.
func (c *countedConn) hold(deadline func() time.Time) error {
	for {
		ok, wake := c.path.network.passes(c.path.from, c.path.to)
		if ok {
			return nil
		}
		c.mu.Lock()
		at, moved := deadline(), c.moved
		c.mu.Unlock()
		var over <-chan time.Time
		if !at.IsZero() {
			timer := time.NewTimer(time.Until(at))
			defer timer.Stop()
			over = timer.C
		}
		select {
		case <-wake:
		case <-moved:
		case <-c.closed:
			return net.ErrClosed
		case <-over:
			return os.ErrDeadlineExceeded
		}
	}
}

func (c *countedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *countedConn) setDeadline(read, write bool, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if read {
		c.read = at
	}
	if write {
		c.write = at
	}
	close(c.moved)
	c.moved = make(chan struct{})
}

func (c *countedConn) SetDeadline(at time.Time) error {
	c.setDeadline(true, true, at)
	return c.Conn.SetDeadline(at)
}

func (c *countedConn) SetReadDeadline(at time.Time) error {
	c.setDeadline(true, false, at)
	return c.Conn.SetReadDeadline(at)
}

func (c *countedConn) SetWriteDeadline(at time.Time) error {
	c.setDeadline(false, true, at)
	return c.Conn.SetWriteDeadline(at)
}

const (
	delayChunk = 16 << 10
	delayQueue = 256 // chunks on their way; then the sender waits
)

type chunk struct {
	due  time.Time
	data []byte
}

// newDelayedConn carries a connection with the path's latency: bytes are handed on no sooner than that after they came. The
// program holds one end of a pipe within this process.
func newDelayedConn(far net.Conn, p *path) net.Conn {
	near, inner := net.Pipe()
	go carry(inner, far, p)
	go carry(far, inner, p)
	return near
}

// carry copies from one end to the other, each chunk after the path's latency, and closes both when either ends.
func carry(from, to net.Conn, p *path) {
	queue := make(chan chunk, delayQueue)
	go func() {
		defer to.Close()
		for c := range queue {
			time.Sleep(time.Until(c.due))
			if _, err := to.Write(c.data); err != nil {
				from.Close()
				for range queue { // until the reader has seen that it is closed
				}
				return
			}
		}
	}()
	defer close(queue)
	for {
		data := make([]byte, delayChunk)
		n, err := from.Read(data)
		if n > 0 {
			queue <- chunk{time.Now().Add(p.latency()), data[:n]}
		}
		if err != nil {
			return
		}
	}
}
