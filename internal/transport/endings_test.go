package transport

import (
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// pair returns both ends of a loopback connection. The near end is not read.
func pair(t *testing.T) (near *Conn, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	nc, err := l.Accept()
	require.NoError(t, err)
	near = NewConn(nc, nil)
	t.Cleanup(func() { near.Close() })
	return near, c.(*net.TCPConn)
}

// waitFor waits for a condition that depends on the kernel, for at most 10 s.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: condition not met in 10 s", what)
		}
	}
}

// A connection with received bytes that have not been read may carry a set-up: it is not closed as idle, neither at the end of
// a drain nor to make room. With force, unread bytes do not delay the close.
func TestConnectionWithUnreadBytesIsNotIdle(t *testing.T) {
	near, far := pair(t)
	l := &Listener{conns: map[*Conn]struct{}{near: {}}}
	io.WriteString(far, "open")
	waitFor(t, "bytes", near.unread)
	if near.FinishIdle() || l.FinishIdle(false) || l.makeRoom() {
		t.Fatal("closed with unread bytes")
	}
	io.ReadFull(near, make([]byte, 4))
	if !near.Hold() || l.FinishIdle(true) || l.makeRoom() {
		t.Fatal("closed while a set-up is held")
	}
	near.Unhold()
	if l.FinishIdle(false) {
		t.Fatal("closed with bytes that its owner has not processed")
	}
	io.WriteString(far, "more")
	waitFor(t, "bytes", near.unread)
	if !l.FinishIdle(true) || near.Hold() {
		t.Fatal("unread bytes prevent a forced close")
	}
}

// makeRoom skips an idle connection with unread bytes and closes the next one.
func TestMakeRoomSkipsConnectionWithUnreadBytes(t *testing.T) {
	first, far := pair(t)
	second, _ := pair(t)
	first.lastUsed.Store(1)
	io.WriteString(far, "open")
	waitFor(t, "bytes", first.unread)
	l := &Listener{conns: map[*Conn]struct{}{first: {}, second: {}}}
	if !l.makeRoom() {
		t.Fatal("makeRoom closed no connection")
	}
	select {
	case <-second.Closed():
	default:
		t.Error("closed the connection with unread bytes")
	}
}

// A stopped listener serves the connections that are in the kernel's accept queue: they may carry whole requests, and closing
// the listener would reset them.
func TestStopServesAcceptQueue(t *testing.T) {
	for _, late := range []time.Duration{0, 2 * acceptDrainTime} { // delay between Stop and the start of Serve
		t.Run(late.String(), func(t *testing.T) { testStopServesAcceptQueue(t, late) })
	}
}

func testStopServesAcceptQueue(t *testing.T, late time.Duration) {
	l, err := Listen("127.0.0.1:0", NewBudget(64, 8))
	require.NoError(t, err)
	const callers = 16
	for range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, "whole")
	}
	l.Stop()
	time.Sleep(late)
	taken := make(chan string, callers)
	l.Serve(func(c *Conn) { // returns once the listener has stopped
		b := make([]byte, 5)
		io.ReadFull(c, b)
		taken <- string(b)
	})
	for i := range callers {
		select {
		case got := <-taken:
			require.Equal(t, "whole", got)
		case <-time.After(10 * time.Second):
			t.Fatalf("%d of %d connections served", i, callers)
		}
	}
	if _, err := net.Dial("tcp", l.Addr().String()); err == nil {
		t.Error("still listening")
	}
}

// PeerClosed reports a close and a reset, but not a time-out.
func TestPeerClosed(t *testing.T) {
	for _, reset := range []bool{false, true} {
		near, far := pair(t)
		near.SetReadDeadline(time.Now())
		if _, err := near.Read(make([]byte, 1)); !os.IsTimeout(err) || near.PeerClosed() {
			t.Fatalf("after a time-out (%v): left %v", err, near.PeerClosed())
		}
		near.SetReadDeadline(time.Time{})
		if reset {
			far.SetLinger(0)
			far.Close()
		} else {
			far.CloseWrite() // a half-close is taken for a close
		}
		near.Read(make([]byte, 1))
		if !near.PeerClosed() {
			t.Errorf("reset %v: PeerClosed returned false", reset)
		}
	}
}

// However a connection ends, its descriptor and its goroutines are released.
func TestConnectionsLeakNothing(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	b := NewBudget(64, 8)
	l, err := Listen("127.0.0.1:0", b)
	require.NoError(t, err)
	served := make(chan struct{})
	go func() {
		defer close(served)
		l.Serve(func(c *Conn) { io.Copy(io.Discard, c) })
	}()
	for i := range 24 {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		io.WriteString(c, "x")
		switch i % 3 {
		case 0:
			c.Close()
		case 1:
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		case 2:
			c.(*net.TCPConn).CloseWrite()
			defer c.Close()
		}
	}
	waitFor(t, "descriptors", func() bool { return b.Used() == 0 })
	l.Stop()
	<-served
	l.wg.Wait()
}

// pausingConn is a connection whose reader pauses after it has taken bytes from the kernel and before it returns them. It can also
// run a function just before the kernel's count of unread bytes is queried.
type pausingConn struct {
	*net.TCPConn
	taken, resume chan struct{}
	beforeCount   func()
}

// pause signals that bytes were taken, and waits for resume.
func (s *pausingConn) pause() {
	s.taken <- struct{}{}
	<-s.resume
}

func (s *pausingConn) Read(p []byte) (int, error) {
	n, err := s.TCPConn.Read(p)
	s.pause()
	return n, err
}

func (s *pausingConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := s.TCPConn.SyscallConn()
	return &pausingSocket{raw, s}, err
}

// pausingSocket is the raw socket of a stepped connection.
type pausingSocket struct {
	syscall.RawConn
	conn *pausingConn
}

func (s *pausingSocket) Read(try func(fd uintptr) bool) error {
	return s.RawConn.Read(func(fd uintptr) bool {
		done := try(fd)
		if done {
			s.conn.pause()
		}
		return done
	})
}

func (s *pausingSocket) Control(f func(fd uintptr)) error {
	if s.conn.beforeCount != nil {
		s.conn.beforeCount()
	}
	return s.RawConn.Control(f)
}

// A connection must not count as idle while bytes move from the kernel to the reader: neither after the kernel has handed them
// over and before the reader has them, nor if they are handed over in the middle of the check for unread bytes.
func TestConnectionWithBytesInTransitIsNotIdle(t *testing.T) {
	for _, when := range []string{"before the check", "during the check"} {
		t.Run(when, func(t *testing.T) {
			plain, far := pair(t)
			s := &pausingConn{TCPConn: plain.Conn.(*net.TCPConn), taken: make(chan struct{}), resume: make(chan struct{})}
			near := NewConn(s, nil)
			defer near.Close()
			read := make(chan string, 1)
			arrive := func() {
				io.WriteString(far, "open")
				<-s.taken
			}
			go func() {
				b := make([]byte, 9)
				n, _ := near.Read(b)
				read <- string(b[:n])
			}()
			if when == "before the check" {
				arrive()
			} else {
				s.beforeCount = sync.OnceFunc(arrive)
			}
			idle := near.FinishIdle()
			close(s.resume)
			require.Equal(t, "open", <-read)
			require.False(t, idle, "closed with bytes that its reader has taken")
			require.True(t, near.Hold(), "Hold refuses a message that was read")
		})
	}
}

// Read returns the same errors on a socket as on any other connection.
func TestReadErrors(t *testing.T) {
	for name, end := range map[string]struct {
		cause func(near *Conn, far *net.TCPConn)
		want  error
	}{
		"close by the other side": {func(_ *Conn, far *net.TCPConn) { far.Close() }, io.EOF},
		"reset":                   {func(_ *Conn, far *net.TCPConn) { far.SetLinger(0); far.Close() }, syscall.ECONNRESET},
		"close by this side":      {func(near *Conn, _ *net.TCPConn) { near.Close() }, net.ErrClosed},
		"deadline":                {func(near *Conn, _ *net.TCPConn) { near.SetReadDeadline(time.Now()) }, os.ErrDeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := pair(t)
			io.WriteString(far, "last")
			b := make([]byte, 9)
			n, err := near.Read(b)
			require.NoError(t, err)
			require.Equal(t, "last", string(b[:n]))
			ended := make(chan error, 1)
			go func() { n, err = near.Read(b); ended <- err }()
			end.cause(near, far)
			require.ErrorIs(t, <-ended, end.want)
			require.Zero(t, n)
			require.Equal(t, name != "deadline", near.PeerClosed())
			require.False(t, near.unprocessed.Load())
			if netErr := net.Error(nil); end.want != io.EOF {
				require.ErrorAs(t, err, &netErr)
			}
		})
	}
}
