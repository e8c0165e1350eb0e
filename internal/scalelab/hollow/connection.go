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

// traffic counts the bytes and connections of one gatekeeper.
type traffic struct {
	sent, received atomic.Int64
	opened         atomic.Int64 // connections
}

// network creates the connections of the gatekeepers of this process, counts their bytes and injects faults between regions.
type network struct {
	delayRegions bool // connections between regions are delayed
	delay        atomic.Int64
	regionOf     map[string]string // region of each control machine, by address

	mu         sync.Mutex
	cut        map[string]bool
	cutChanged chan struct{} // closed when cut changes
}

// newNetwork returns a network without partitions or delay.
func newNetwork(delayRegions bool, regionOf map[string]string) *network {
	return &network{delayRegions: delayRegions, regionOf: regionOf, cut: map[string]bool{}, cutChanged: make(chan struct{})}
}

// setCut partitions a region from the others, or ends the partition.
func (n *network) setCut(region string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[region] = cut
	close(n.cutChanged)
	n.cutChanged = make(chan struct{})
}

// connected reports whether two regions are connected. cutChanged is closed when that may have changed.
func (n *network) connected(a, b string) (ok bool, cutChanged <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a == b || !n.cut[a] && !n.cut[b], n.cutChanged
}

// dialer returns the dial function of a gatekeeper in region, whose traffic is counted in t.
func (n *network) dialer(region string, t *traffic) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		path := &path{network: n, from: region, to: n.regionOf[address]}
		if err := path.waitConnected(ctx); err != nil { // a dial during a partition blocks, as if its first packet were lost
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
		counted := &countedConn{Conn: c, traffic: t, path: path, closed: make(chan struct{}), deadlineChanged: make(chan struct{})}
		if n.delayRegions && path.from != path.to {
			return newDelayedConn(counted, path), nil
		}
		return counted, nil
	}
}

// path is the network path between two regions.
type path struct {
	network  *network
	from, to string
}

// latency returns the one-way delay of the path.
func (p *path) latency() time.Duration {
	if p.from == p.to {
		return 0
	}
	return time.Duration(p.network.delay.Load())
}

// waitConnected blocks while the path is cut, until ctx ends.
func (p *path) waitConnected(ctx context.Context) error {
	for {
		ok, wake := p.network.connected(p.from, p.to)
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

// countedConn is a connection that counts its bytes and blocks reads and writes while its path is cut. The bytes stay in
// the kernel, as for a connection whose packets are lost, and are delivered after the partition.
type countedConn struct {
	net.Conn
	traffic   *traffic
	path      *path
	closed    chan struct{}
	closeOnce sync.Once
	pending   []byte // read from the kernel but not yet returned, because the path was cut

	mu                          sync.Mutex
	readDeadline, writeDeadline time.Time     // zero: no deadline
	deadlineChanged             chan struct{} // closed when a deadline changes
}

func (c *countedConn) Read(b []byte) (int, error) {
	if len(c.pending) == 0 {
		n, err := c.Conn.Read(b)
		if n == 0 {
			return 0, err
		}
		c.pending = b[:n]
	}
	if err := c.waitConnected(func() time.Time { return c.readDeadline }); err != nil {
		c.pending = slices.Clone(c.pending)
		return 0, err
	}
	n := copy(b, c.pending)
	c.pending = c.pending[n:]
	c.traffic.received.Add(int64(n))
	return n, nil
}

func (c *countedConn) Write(b []byte) (int, error) {
	if err := c.waitConnected(func() time.Time { return c.writeDeadline }); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// waitConnected blocks while the path is cut, at most until the deadline or until the connection is closed.
func (c *countedConn) waitConnected(deadline func() time.Time) error {
	for {
		ok, wake := c.path.network.connected(c.path.from, c.path.to)
		if ok {
			return nil
		}
		c.mu.Lock()
		at, deadlineChanged := deadline(), c.deadlineChanged
		c.mu.Unlock()
		var over <-chan time.Time
		if !at.IsZero() {
			timer := time.NewTimer(time.Until(at))
			defer timer.Stop()
			over = timer.C
		}
		select {
		case <-wake:
		case <-deadlineChanged:
		case <-c.closed:
			return net.ErrClosed
		case <-over:
			return os.ErrDeadlineExceeded
		}
	}
}

func (c *countedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// setDeadline stores the selected deadlines and wakes blocked reads and writes.
func (c *countedConn) setDeadline(readDeadline, writeDeadline bool, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if readDeadline {
		c.readDeadline = at
	}
	if writeDeadline {
		c.writeDeadline = at
	}
	close(c.deadlineChanged)
	c.deadlineChanged = make(chan struct{})
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
	delayChunkBytes  = 16 << 10
	delayQueueLength = 256 // chunks in flight; the sender blocks beyond that
)

// chunk is data in flight on a delayed connection.
type chunk struct {
	due  time.Time
	data []byte
}

// newDelayedConn adds the latency of the path to both directions of a connection. It returns one end of an in-process pipe,
// whose other end is connected to far with the delay.
func newDelayedConn(far net.Conn, p *path) net.Conn {
	near, inner := net.Pipe()
	go copyDelayed(inner, far, p)
	go copyDelayed(far, inner, p)
	return near
}

// copyDelayed copies data from one connection to the other, each chunk after the latency of the path, and closes both when
// either ends.
func copyDelayed(from, to net.Conn, p *path) {
	queue := make(chan chunk, delayQueueLength)
	go func() {
		defer to.Close()
		for c := range queue {
			time.Sleep(time.Until(c.due))
			if _, err := to.Write(c.data); err != nil {
				from.Close()
				for range queue { // drains the queue until the reader stops and closes it
				}
				return
			}
		}
	}()
	defer close(queue)
	for {
		data := make([]byte, delayChunkBytes)
		n, err := from.Read(data)
		if n > 0 {
			queue <- chunk{time.Now().Add(p.latency()), data[:n]}
		}
		if err != nil {
			return
		}
	}
}
