package transport

import (
	"io"
	"net"
	"os"
	"runtime"
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
	case <-second.Gone():
	default:
		t.Error("the one with bytes was closed")
	}
}

// A listener that stops hands on what the machine had accepted by then: whole requests may lie on those connections, and a
// close resets them.
func TestStopHandsOnWhatWasAccepted(t *testing.T) {
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
		if _, err := near.Read(make([]byte, 1)); !os.IsTimeout(err) || near.Left() {
			t.Fatalf("after a time-out (%v): left %v", err, near.Left())
		}
		near.SetReadDeadline(time.Time{})
		if reset {
			far.SetLinger(0)
			far.Close()
		} else {
			far.CloseWrite() // a half-close is taken for a close
		}
		near.Read(make([]byte, 1))
		if !near.Left() {
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
