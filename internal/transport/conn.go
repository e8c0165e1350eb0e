// Package transport moves bytes: listeners, dialling, connections with bounded write queues, and the budget of
// descriptors. It knows no message.
package transport

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits of one connection.
const (
	MaxQueued    = 256 << 10               // bytes that wait to be written; beyond it the connection is given up
	writeTimeout = 1500 * time.Millisecond // one write may take so long: guards against a peer that went silent
	lingerFor    = 200 * time.Millisecond  // the other side has so long to close too
)

// The ways in which a Conn ends from this side.
var (
	ErrClosed   = errors.New("connection is closed")
	ErrOverflow = errors.New("write queue is full")
)

// A Packet is one message to be written.
type Packet struct {
	Data []byte
	// StillWanted is asked just before the first byte is written; the packet is dropped if it gives false. What was true
	// when the packet was queued may no longer be.
	StillWanted func() bool
	// Done hears whether the packet went out whole: nil, ErrDropped or the fault of the connection.
	Done func(error)
}

// ErrDropped is told to a packet's Done when its Still gave false.
var ErrDropped = errors.New("packet dropped before its first byte")

func (p *Packet) done(err error) {
	if p.Done != nil {
		p.Done(err)
	}
}

// Conn writes packets in order from a goroutine of its own, so that no caller ever waits for the other side. Reading
// is left to its owner.
type Conn struct {
	net.Conn
	socket  syscall.RawConn // nil where Conn is no socket
	reading socketRead
	mu      sync.Mutex
	queue   []Packet
	bytes   int
	ending  bool  // close once the queue is written
	err     error // set when closed
	wake    chan struct{}
	gone    chan struct{}
	onGone  func()
	held    atomic.Int32 // set-ups open on it
	calls   atomic.Int32 // calls that stand and came on it
	used    atomic.Int64 // when it was last used, in Unix nanoseconds
	spoke   atomic.Bool  // a whole message has come on it
	began   atomic.Bool  // a byte has come on it
	left    atomic.Bool  // the other side has ended or broken it, as far as was read
	taking  atomic.Bool  // its owner has bytes that it has not gone through: it has not come back for more
}

// Read reads from the connection, and notes that something has come and that the other side has left. It is called from one
// goroutine at a time.
func (c *Conn) Read(p []byte) (int, error) {
	c.taking.Store(false)
	n, err := c.receive(p)
	if n > 0 {
		c.began.Store(true)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.left.Store(true)
	}
	return n, err
}

// PeerClosed tells whether the other side has ended or broken the connection, as far as its owner has read. A half-close is taken
// for a close: TCP tells the two apart for nobody who reads.
func (c *Conn) PeerClosed() bool { return c.left.Load() }

// receive reads once, and sets taking for what it returns. On a socket taking is set before the kernel gives the bytes up, so
// that at each instant one of the two accounts for them; unread relies on that.
func (c *Conn) receive(p []byte) (n int, err error) {
	if c.socket == nil || len(p) == 0 {
		n, err = c.Conn.Read(p)
		c.taking.Store(n > 0)
		return n, err
	}
	c.reading.into = p
	err = c.socket.Read(c.reading.once)
	n, fault := c.reading.n, c.reading.fault
	c.reading.into = nil
	switch {
	case err != nil:
		return 0, err
	case fault != nil:
		return 0, &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(),
			Err: os.NewSyscallError("read", fault)}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// socketRead is one read of a socket. It belongs to the goroutine that reads, and is kept so that a read allocates nothing.
type socketRead struct {
	into  []byte
	n     int
	fault error
	once  func(fd uintptr) (done bool) // reads what is there; false: nothing is
}

// readOnce is socketRead.once.
func (c *Conn) readOnce(fd uintptr) (done bool) {
	c.taking.Store(true)
	c.reading.n, c.reading.fault = readDescriptor(int(fd), c.reading.into)
	c.taking.Store(c.reading.n > 0)
	return c.reading.fault != syscall.EAGAIN
}

// readDescriptor is read(2), repeated where a signal interrupted it. It gives no bytes with an error. It is package syscall's, as
// in package net, so that the race detector takes a read for later than the write that it follows.
func readDescriptor(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, p)
		if err != syscall.EINTR {
			return max(n, 0), err
		}
	}
}

// unread tells whether bytes of the other side lie in the kernel, or with an owner who has not gone through them: a close now
// would drop them. On a connection that is no socket there are none in the kernel. The kernel is asked first: bytes that have
// left it by then have set taking.
func (c *Conn) unread() bool { return c.inKernel() > 0 || c.taking.Load() }

// inKernel is the number of bytes that have come and not been read from the socket.
func (c *Conn) inKernel() (n int) {
	if c.socket != nil {
		c.socket.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	}
	return n
}

// socketOf gives access to the descriptor of a connection, nil if it has none.
func socketOf(nc net.Conn) syscall.RawConn {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// NoteMessage notes that a whole message has come.
func (c *Conn) NoteMessage() {
	c.spoke.Store(true)
	c.used.Store(time.Now().UnixNano())
}

// Hold notes that something is owed on the connection: it is not closed to make room. Each Hold is ended by one Unhold.
// It gives false and notes nothing where this side has already begun to close: what was read since then must not be
// acted on, since its sender sees the close and sends it again elsewhere.
func (c *Conn) Hold() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending || c.err != nil {
		return false
	}
	c.held.Add(1)
	return true
}

// Unhold ends a Hold.
func (c *Conn) Unhold() {
	c.used.Store(time.Now().UnixNano())
	c.held.Add(-1)
}

// LastUsed tells when the connection last carried a message or an answer.
func (c *Conn) LastUsed() time.Time { return time.Unix(0, c.used.Load()) }

// Held tells whether something is owed on the connection.
func (c *Conn) Held() bool { return c.held.Load() > 0 }

// AddCalls notes a call that came on the connection and stands (1), or its end (-1). Nothing is owed on the connection then,
// but its end is best told there.
func (c *Conn) AddCalls(change int32) {
	c.used.Store(time.Now().UnixNano())
	c.calls.Add(change)
}

// InUse tells whether anything is owed on the connection or stands.
func (c *Conn) InUse() bool { return c.Held() || c.calls.Load() > 0 }

// less tells whether a connection would be missed less than another.
func (c *Conn) less(o *Conn) bool {
	if a, b := c.rank(), o.rank(); a != b {
		return a < b
	}
	return c.used.Load() < o.used.Load()
}

// rank orders connections by how much they would be missed: nothing came on it yet; a message is being written (a
// true request may take 2 s); it has spoken, but no call of it stands; a call of it stands.
func (c *Conn) rank() int {
	switch {
	case !c.spoke.Load() && !c.began.Load():
		return 0
	case !c.spoke.Load():
		return 1
	case c.calls.Load() <= 0:
		return 2
	}
	return 3
}

// NewConn starts the writer of a connection. onGone, if not nil, is called once after the connection is closed.
func NewConn(nc net.Conn, onGone func()) *Conn {
	c := &Conn{Conn: nc, socket: socketOf(nc), wake: make(chan struct{}, 1), gone: make(chan struct{}), onGone: onGone}
	c.reading.once = c.readOnce
	c.used.Store(time.Now().UnixNano())
	go c.write()
	return c
}

// Send queues a packet. It never blocks.
func (c *Conn) Send(p Packet) error {
	c.mu.Lock()
	err := c.err
	switch {
	case err != nil:
	case c.ending:
		err = ErrClosed
	case c.bytes+len(p.Data) > MaxQueued:
		err = ErrOverflow
	default:
		c.queue = append(c.queue, p)
		c.bytes += len(p.Data)
	}
	c.mu.Unlock()
	if err == ErrOverflow {
		c.fail(err)
	}
	if err == nil {
		c.poke()
	}
	return err
}

func (c *Conn) poke() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Conn) write() {
	for {
		select {
		case <-c.wake:
		case <-c.gone:
		}
		for {
			c.mu.Lock()
			if c.err != nil {
				left, err := c.queue, c.err
				c.queue = nil
				c.mu.Unlock()
				for i := range left {
					left[i].done(err)
				}
				return
			}
			if len(c.queue) == 0 {
				ending := c.ending
				c.mu.Unlock()
				if ending {
					c.linger()
					c.fail(ErrClosed)
					continue
				}
				break
			}
			p := c.queue[0]
			c.queue = c.queue[1:]
			c.bytes -= len(p.Data)
			c.mu.Unlock()
			if p.StillWanted != nil && !p.StillWanted() {
				p.done(ErrDropped)
				continue
			}
			c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, err := c.Conn.Write(p.Data)
			p.done(err)
			if err != nil {
				c.fail(err)
			}
		}
	}
}

// linger ends the sending side and reads what the other side still sends: a close with unread input would reset the
// connection, and the last answer would be lost with it.
func (c *Conn) linger() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.Conn.SetReadDeadline(time.Now().Add(lingerFor))
		io.Copy(io.Discard, io.LimitReader(c.Conn, MaxQueued))
	}
}

// fail closes the connection at once.
func (c *Conn) fail(err error) {
	c.mu.Lock()
	first := c.err == nil
	if first {
		c.err = err
	}
	c.mu.Unlock()
	if !first {
		return
	}
	c.Conn.Close()
	close(c.gone)
	if c.onGone != nil {
		c.onGone()
	}
}

// Close ends the connection at once; what is queued is not written.
func (c *Conn) Close() error {
	c.fail(ErrClosed)
	return nil
}

// Finish closes the connection once its queue is written.
func (c *Conn) Finish() {
	c.mu.Lock()
	c.ending = true
	c.mu.Unlock()
	c.poke()
}

// FinishIdle is Finish for a connection on which nothing is owed and nothing has come that is not read yet; on any other it
// does nothing and gives false. It is at one with Hold: either the set-up that crosses the close is held and the connection
// stays, or Hold refuses it.
func (c *Conn) FinishIdle() bool {
	idle := !c.unread() && c.endIdle()
	if idle {
		c.poke()
	}
	return idle
}

func (c *Conn) endIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.held.Load() == 0
	c.ending = c.ending || idle
	return idle
}

// unfit tells whether the connection is closed, or has something queued that a close would drop.
func (c *Conn) unfit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err != nil || len(c.queue) > 0
}

// Closed is closed when the connection is.
func (c *Conn) Closed() <-chan struct{} { return c.gone }
