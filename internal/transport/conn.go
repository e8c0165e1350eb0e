// Package transport provides TCP listeners, dialling, connections with bounded write queues, and a budget of file
// descriptors. It is independent of the message formats.
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
	MaxQueued     = 256 << 10               // bytes in the write queue; beyond that the connection is closed
	writeTimeout  = 1500 * time.Millisecond // for one write: guards against a peer that stopped responding
	lingerTimeout = 200 * time.Millisecond  // how long the other side may take to close too
)

// Reasons for which this side closes a Conn.
var (
	ErrClosed   = errors.New("connection is closed")
	ErrOverflow = errors.New("write queue is full")
)

// A Packet is one message to be written.
type Packet struct {
	Data []byte
	// StillWanted, if not nil, is called just before the first byte is written. If it returns false, the packet is dropped: the
	// conditions may have changed after the packet was queued.
	StillWanted func() bool
	// Done, if not nil, is called once: with nil after the whole packet is written, with ErrDropped, or with the error of the
	// connection.
	Done func(error)
}

// ErrDropped is passed to a packet's Done if its StillWanted returned false.
var ErrDropped = errors.New("packet dropped before its first byte")

// done reports the end of the packet.
func (p *Packet) done(err error) {
	if p.Done != nil {
		p.Done(err)
	}
}

// Conn writes packets in order from its own goroutine, so that no caller waits for the other side. Its owner reads from it.
type Conn struct {
	net.Conn
	socket          syscall.RawConn // nil if Conn is not a socket
	readState       socketRead
	mu              sync.Mutex
	queue           []Packet
	bytes           int
	closing         bool  // close once the queue is written
	err             error // set when closed
	wake            chan struct{}
	closed          chan struct{}
	onClose         func()
	openedAt        time.Time
	holds           atomic.Int32 // Holds that have not ended
	calls           atomic.Int32 // established calls that arrived on it
	lastUsed        atomic.Int64 // when it was last used, in Unix nanoseconds
	messageReceived atomic.Bool  // a whole message has been received
	byteReceived    atomic.Bool  // a byte has been received
	peerClosed      atomic.Bool  // a read has found that the other side closed or reset the connection
	receiving       atomic.Bool  // a message has begun and is not complete
	unprocessed     atomic.Bool  // the last Read returned bytes, and its owner has not called Read again
	requests        *MemoryAccount
	output          *MemoryAccount // for the packets of queue
}

// Requests returns the account of the memory that the client's requests occupy; nil if it is not bounded.
func (c *Conn) Requests() *MemoryAccount { return c.requests }

// Read reads from the connection, and records whether any byte was received and whether the other side has closed. It must
// not be called concurrently.
func (c *Conn) Read(p []byte) (int, error) {
	c.unprocessed.Store(false)
	n, err := c.receive(p)
	if n > 0 {
		c.byteReceived.Store(true)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.peerClosed.Store(true)
	}
	return n, err
}

// PeerClosed reports whether the other side has closed or reset the connection, even if its owner has not read all input before the
// close. A half-close counts as a close: the two can't be distinguished in TCP.
func (c *Conn) PeerClosed() bool {
	if !c.peerClosed.Load() && c.kernelSawClose() {
		c.peerClosed.Store(true)
	}
	return c.peerClosed.Load()
}

// kernelSawClose reports whether the kernel has received a close or a reset from the other side.
func (c *Conn) kernelSawClose() (closed bool) {
	if c.socket == nil {
		return false
	}
	c.socket.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(poll, 0)
		closed = err == nil && n > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed
}

// receive reads once, and sets unprocessed if it returns bytes. On a socket, unprocessed is set before the kernel hands the bytes over,
// so that at any time either the kernel's count or unprocessed accounts for them; unread relies on that.
func (c *Conn) receive(p []byte) (n int, err error) {
	if c.socket == nil || len(p) == 0 {
		n, err = c.Conn.Read(p)
		c.unprocessed.Store(n > 0)
		return n, err
	}
	c.readState.buffer = p
	err = c.socket.Read(c.readState.once)
	n, readErr := c.readState.n, c.readState.readErr
	c.readState.buffer = nil
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(),
			Err: os.NewSyscallError("read", readErr)}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// socketRead is the state of one read of a socket. It belongs to the reading goroutine and is reused, so that a read
// allocates nothing.
type socketRead struct {
	buffer  []byte
	n       int
	readErr error
	once    func(fd uintptr) (done bool) // reads the available bytes; false if there are none
}

// readOnce is socketRead.once.
func (c *Conn) readOnce(fd uintptr) (done bool) {
	c.unprocessed.Store(true)
	c.readState.n, c.readState.readErr = readDescriptor(int(fd), c.readState.buffer)
	c.unprocessed.Store(c.readState.n > 0)
	return c.readState.readErr != syscall.EAGAIN
}

// readDescriptor calls read(2) and repeats it if a signal interrupts it. It returns no bytes together with an error. It uses
// package syscall, as package net does, so that the race detector orders a read after the write that it receives.
func readDescriptor(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, p)
		if err != syscall.EINTR {
			return max(n, 0), err
		}
	}
}

// unread reports whether there are received bytes that a close would lose: in the kernel's buffer, or read by the owner and
// not yet processed. A connection that is not a socket has no bytes in the kernel. The kernel is checked first: bytes that
// were read before that check have set unprocessed.
func (c *Conn) unread() bool { return c.kernelBytes() > 0 || c.unprocessed.Load() }

// kernelBytes returns the number of received bytes that have not been read from the socket.
func (c *Conn) kernelBytes() (n int) {
	if c.socket != nil {
		c.socket.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	}
	return n
}

// socketOf returns access to the descriptor of a connection, or nil if it has none.
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

// NoteMessageBegun records that a message has begun. It is complete with NoteMessage.
func (c *Conn) NoteMessageBegun() { c.receiving.Store(true) }

// NoteMessage records that a whole message was received.
func (c *Conn) NoteMessage() {
	c.receiving.Store(false)
	c.messageReceived.Store(true)
	c.lastUsed.Store(time.Now().UnixNano())
}

// Hold marks the connection as having an unanswered message, so that it is not closed as idle. Each Hold is ended by one
// Unhold. Hold returns false and has no effect if this side has already begun to close the connection: the message must then
// not be processed, because its sender sees the close and sends it again elsewhere.
func (c *Conn) Hold() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.err != nil {
		return false
	}
	c.holds.Add(1)
	return true
}

// Unhold ends a Hold.
func (c *Conn) Unhold() {
	c.lastUsed.Store(time.Now().UnixNano())
	c.holds.Add(-1)
}

// LastUsed returns when the connection last carried a message or an answer.
func (c *Conn) LastUsed() time.Time { return time.Unix(0, c.lastUsed.Load()) }

// Held reports whether the connection has an unanswered message.
func (c *Conn) Held() bool { return c.holds.Load() > 0 }

// AddCalls adds delta to the number of established calls that arrived on the connection: 1 for a new one, -1 for one that has
// ended. An established call does not hold the connection, but its release is preferably sent there.
func (c *Conn) AddCalls(delta int32) {
	c.lastUsed.Store(time.Now().UnixNano())
	c.calls.Add(delta)
}

// InUse reports whether the connection has an unanswered message or an established call.
func (c *Conn) InUse() bool { return c.Held() || c.calls.Load() > 0 }

// closesBefore reports whether c should be closed before o to make room.
func (c *Conn) closesBefore(o *Conn) bool {
	if a, b := c.rank(), o.rank(); a != b {
		return a < b
	}
	return c.lastUsed.Load() < o.lastUsed.Load()
}

// rank returns how valuable a connection is, in this order: nothing was received yet; a message is being received (a real
// request may take 2 s); a message was received, but there is no established call; there is an established call.
func (c *Conn) rank() int {
	switch {
	case !c.messageReceived.Load() && !c.byteReceived.Load():
		return 0
	case !c.messageReceived.Load():
		return 1
	case c.calls.Load() <= 0:
		return 2
	}
	return 3
}

// NewConn wraps a connection and starts its writer. onClose, if not nil, is called once after the connection is closed.
func NewConn(nc net.Conn, onClose func()) *Conn {
	c := newConn(nc, onClose)
	go c.writeLoop()
	return c
}

// newConn is NewConn without the writer.
func newConn(nc net.Conn, onClose func()) *Conn {
	c := &Conn{Conn: nc, socket: socketOf(nc), wake: make(chan struct{}, 1), closed: make(chan struct{}), onClose: onClose,
		openedAt: time.Now()}
	c.readState.once = c.readOnce
	c.lastUsed.Store(c.openedAt.UnixNano())
	return c
}

// Send queues a packet for writing. It never blocks. It closes the connection and returns ErrOverflow if the queue is full, or the
// memory for the output of all clients is used up.
func (c *Conn) Send(p Packet) error {
	c.mu.Lock()
	err := c.err
	switch {
	case err != nil:
	case c.closing:
		err = ErrClosed
	case c.bytes+len(p.Data) > MaxQueued, !c.output.Reserve(len(p.Data)):
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
		c.wakeWriter()
	}
	return err
}

// wakeWriter wakes the writer.
func (c *Conn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// writeLoop is the writer's loop. It ends when the connection is closed.
func (c *Conn) writeLoop() {
	for {
		select {
		case <-c.wake:
		case <-c.closed:
		}
		for {
			c.mu.Lock()
			if c.err != nil {
				remaining, err := c.queue, c.err
				c.queue = nil
				c.output.Release(c.bytes)
				c.bytes = 0
				c.mu.Unlock()
				for i := range remaining {
					remaining[i].done(err)
				}
				return
			}
			if len(c.queue) == 0 {
				closing := c.closing
				c.mu.Unlock()
				if closing {
					c.linger()
					c.fail(ErrClosed)
					continue
				}
				break
			}
			p := c.queue[0]
			c.queue[0] = Packet{} // the array may outlive the packet
			c.queue = c.queue[1:]
			c.bytes -= len(p.Data)
			c.output.Release(len(p.Data))
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

// linger closes the sending side and discards the remaining input: a close with unread input would reset the connection and
// lose the last answer.
func (c *Conn) linger() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
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
	close(c.closed)
	if c.onClose != nil {
		c.onClose()
	}
}

// Close closes the connection at once, without writing the queued packets.
func (c *Conn) Close() error {
	c.fail(ErrClosed)
	return nil
}

// Finish closes the connection once its queue is written.
func (c *Conn) Finish() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.wakeWriter()
}

// FinishIdle calls Finish if the connection is idle, that is, without an unanswered message and without unprocessed input.
// Otherwise it has no effect and returns false. It is atomic with Hold: if a set-up arrives at the same time, either it is
// held and the connection stays open, or Hold returns false.
func (c *Conn) FinishIdle() bool { return !c.unread() && c.FinishAnswered() }

// FinishAnswered is FinishIdle for a connection whose input may be lost: unprocessed input doesn't keep it open.
func (c *Conn) FinishAnswered() bool {
	answered := c.markClosingIfIdle()
	if answered {
		c.wakeWriter()
	}
	return answered
}

// markClosingIfIdle marks the connection for closing unless it has an unanswered message. It reports whether it did.
func (c *Conn) markClosingIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.holds.Load() == 0
	c.closing = c.closing || idle
	return idle
}

// closedOrQueued reports whether the connection can't be closed to make room: it is closed already, or has queued packets that a close
// would drop.
func (c *Conn) closedOrQueued() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err != nil || len(c.queue) > 0
}

// WriteError returns the error with which a write failed, which closed the connection, or nil.
func (c *Conn) WriteError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == ErrClosed || c.err == ErrOverflow {
		return nil
	}
	return c.err
}

// Closed returns a channel that is closed once the connection is closed.
func (c *Conn) Closed() <-chan struct{} { return c.closed }
