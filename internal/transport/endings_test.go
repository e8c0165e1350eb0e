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

// pair gives both ends of a connection over loopback; nobody reads the near one.
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

// until waits for what the kernel brings about.
func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !is(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("%s: not in 10 s", what)
		}
	}
}

// A connection on which bytes have come that nobody has read yet may hold a set-up: it is not closed as idle, neither at the
// end of a drain nor to make room. Past that the end is not held up by it.
func TestUnreadBytesKeepAConnection(t *testing.T) {
	near, far := pair(t)
	l := &Listener{conns: map[*Conn]struct{}{near: {}}}
	io.WriteString(far, "open")
	until(t, "bytes", near.unread)
	if near.FinishIdle() || l.FinishIdle(false) || l.makeRoom() {
		t.Fatal("closed over bytes that were not read")
	}
	io.ReadFull(near, make([]byte, 4))
	if !near.Hold() || l.FinishIdle(true) || l.makeRoom() {
		t.Fatal("closed under a set-up that was read")
	}
	near.Unhold()
	if l.FinishIdle(false) {
		t.Fatal("closed over bytes that its owner has not gone through")
	}
	io.WriteString(far, "more")
	until(t, "bytes", near.unread)
	if !l.FinishIdle(true) || near.Hold() {
		t.Fatal("bytes that nobody reads hold up the end")
	}
}

// makeRoom goes on to the next idle connection where the first has bytes to be read.
func TestRoomIsMadeByTheNextIdleOne(t *testing.T) {
	first, far := pair(t)
	second, _ := pair(t)
	first.used.Store(1)
	io.WriteString(far, "open")
	until(t, "bytes", first.unread)
	l := &Listener{conns: map[*Conn]struct{}{first: {}, second: {}}}
	if !l.makeRoom() {
		t.Fatal("no room")
	}
	select {
	case <-second.Closed():
	default:
		t.Error("the one with bytes was closed")
	}
}

// A listener that stops hands on what the machine had accepted by then: whole requests may lie on those connections, and a
// close resets them.
func TestStopHandsOnWhatWasAccepted(t *testing.T) {
	for _, late := range []time.Duration{0, 2 * acceptFor} { // Serve has processor time only so long after Stop
		t.Run(late.String(), func(t *testing.T) { stopHandsOn(t, late) })
	}
}

func stopHandsOn(t *testing.T, late time.Duration) {
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
	l.Serve(func(c *Conn) { // returns once it has stopped
		b := make([]byte, 5)
		io.ReadFull(c, b)
		taken <- string(b)
	})
	for i := range callers {
		select {
		case got := <-taken:
			require.Equal(t, "whole", got)
		case <-time.After(10 * time.Second):
			t.Fatalf("%d of %d connections handed on", i, callers)
		}
	}
	if _, err := net.Dial("tcp", l.Addr().String()); err == nil {
		t.Error("still listening")
	}
}

// Left tells of a close and of a reset, and of no time-out.
func TestLeft(t *testing.T) {
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
			t.Errorf("reset %v: not seen", reset)
		}
	}
}

// Descriptors and goroutines of connections that end in any way are given back.
func TestNothingIsLeftBehind(t *testing.T) {
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
	until(t, "descriptors", func() bool { return b.Used() == 0 })
	l.Stop()
	<-served
	l.wg.Wait()
}

// stepped is a connection whose reader stops once bytes have left the kernel for it, before it gets them, and whose owner can
// have something done just before the kernel is asked how much lies there.
type stepped struct {
	*net.TCPConn
	took, goOn  chan struct{}
	beforeCount func()
}

func (s *stepped) pause() {
	s.took <- struct{}{}
	<-s.goOn
}

func (s *stepped) Read(p []byte) (int, error) {
	n, err := s.TCPConn.Read(p)
	s.pause()
	return n, err
}

func (s *stepped) SyscallConn() (syscall.RawConn, error) {
	raw, err := s.TCPConn.SyscallConn()
	return &steppedSocket{raw, s}, err
}

type steppedSocket struct {
	syscall.RawConn
	conn *stepped
}

func (s *steppedSocket) Read(try func(fd uintptr) bool) error {
	return s.RawConn.Read(func(fd uintptr) bool {
		done := try(fd)
		if done {
			s.conn.pause()
		}
		return done
	})
}

func (s *steppedSocket) Control(f func(fd uintptr)) error {
	if s.conn.beforeCount != nil {
		s.conn.beforeCount()
	}
	return s.RawConn.Control(f)
}

// Bytes that leave the kernel for a reader keep their connection at every instant: neither between the kernel's giving them up
// and the reader's having them, nor when that happens in the middle of the look for them, is the connection idle.
func TestBytesOnTheWayToTheReaderKeepAConnection(t *testing.T) {
	for _, when := range []string{"before the look", "during the look"} {
		t.Run(when, func(t *testing.T) {
			plain, far := pair(t)
			s := &stepped{TCPConn: plain.Conn.(*net.TCPConn), took: make(chan struct{}), goOn: make(chan struct{})}
			near := NewConn(s, nil)
			defer near.Close()
			read := make(chan string, 1)
			arrive := func() {
				io.WriteString(far, "open")
				<-s.took
			}
			go func() {
				b := make([]byte, 9)
				n, _ := near.Read(b)
				read <- string(b[:n])
			}()
			if when == "before the look" {
				arrive()
			} else {
				s.beforeCount = sync.OnceFunc(arrive)
			}
			idle := near.FinishIdle()
			close(s.goOn)
			require.Equal(t, "open", <-read)
			require.False(t, idle, "closed over bytes that its reader has taken")
			require.True(t, near.Hold(), "what was read is refused")
		})
	}
}

// A reader's error says what ended its reading, on a socket as on any other connection.
func TestErrorsOfARead(t *testing.T) {
	for how, end := range map[string]struct {
		by   func(near *Conn, far *net.TCPConn)
		want error
	}{
		"close of the other side": {func(_ *Conn, far *net.TCPConn) { far.Close() }, io.EOF},
		"reset":                   {func(_ *Conn, far *net.TCPConn) { far.SetLinger(0); far.Close() }, syscall.ECONNRESET},
		"close of this side":      {func(near *Conn, _ *net.TCPConn) { near.Close() }, net.ErrClosed},
		"deadline":                {func(near *Conn, _ *net.TCPConn) { near.SetReadDeadline(time.Now()) }, os.ErrDeadlineExceeded},
	} {
		t.Run(how, func(t *testing.T) {
			near, far := pair(t)
			io.WriteString(far, "last")
			b := make([]byte, 9)
			n, err := near.Read(b)
			require.NoError(t, err)
			require.Equal(t, "last", string(b[:n]))
			ended := make(chan error, 1)
			go func() { n, err = near.Read(b); ended <- err }()
			end.by(near, far)
			require.ErrorIs(t, <-ended, end.want)
			require.Zero(t, n)
			require.Equal(t, how != "deadline", near.PeerClosed())
			require.False(t, near.taking.Load())
			if broken := net.Error(nil); end.want != io.EOF {
				require.ErrorAs(t, err, &broken)
			}
		})
	}
}
