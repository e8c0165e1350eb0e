package jsonl

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"beammux/internal/routing"
	"beammux/internal/transport"
)

// newLargeBench returns a bench whose core accepts any number of set-ups and answers none by itself.
func newLargeBench(t *testing.T) *bench {
	b := newBench(t)
	const many = 1 << 14
	*b.core = core{make(chan routing.Setup, many), make(chan routing.Caller, many), make(chan string, many), make(chan string, many)}
	return b
}

// loopback returns the caller's end of a TCP connection that the front serves, and a channel that is closed at its end.
func (b *bench) loopback() (*net.TCPConn, chan struct{}) {
	b.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b.t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(b.t, err)
	far, err := l.Accept()
	require.NoError(b.t, err)
	ended := make(chan struct{})
	tc := transport.NewConn(far, nil)
	go func() {
		defer close(ended)
		b.front.Serve(tc)
		tc.Finish()
		<-tc.Closed()
	}()
	b.t.Cleanup(func() { c.Close(); <-ended })
	return c.(*net.TCPConn), ended
}

const detectionTimeout = 100 * time.Millisecond // maximum time until the set-ups of a caller that left are withdrawn

// The front detects at once that a caller leaves: while it waits for an answer, after a malformed or incomplete message, or
// with further input before the close. Its set-ups are withdrawn, and each reports before that its caller is gone.
func TestDepartureIsDetectedAtOnce(t *testing.T) {
	for name, row := range map[string]struct {
		send string
		wait time.Duration // before the caller leaves
	}{
		"waiting":            {open(id), 0},
		"after a bad line":   {open(id) + "{\n", 50 * time.Millisecond},
		"after half a line":  {open(id) + `{"msg":"op`, messageTimeout + 50*time.Millisecond},
		"after a long line":  {open(id) + strings.Repeat("x", 2*MaxMessage), 50 * time.Millisecond},
		"with bytes at once": {open(id) + `{"msg":"probe","sid":"` + id + `"}` + "\n", 0},
	} {
		for how, leave := range map[string]func(*net.TCPConn){
			"FIN":        func(c *net.TCPConn) { c.Close() },
			"RST":        func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
			"half-close": func(c *net.TCPConn) { c.CloseWrite() },
		} {
			t.Run(name+", "+how, func(t *testing.T) {
				t.Parallel()
				b := newLargeBench(t)
				c, _ := b.loopback()
				io.WriteString(c, row.send)
				k := <-b.core.callers
				time.Sleep(row.wait) // the front reaches the state that the row names
				leave(c)
				left := time.Now()
				select {
				case <-b.core.withdrawn:
				case <-time.After(10 * time.Second):
					t.Fatal("never withdrawn")
				}
				if took := time.Since(left); took > detectionTimeout || !k.Gone() {
					t.Errorf("withdrawn after %v, gone %v", took, k.Gone())
				}
			})
		}
	}
}

// A flood is read to its end, so that the front detects that its caller leaves after it. maxOpenSetups set-ups are forwarded,
// the others are excess, and at most another maxOpenSetups of those wait for the core.
func TestFloodIsReadToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newLargeBench(t)
		near, ended := b.pipe()
		wrote := make(chan struct{})
		go func() {
			defer close(wrote)
			for i := range 4 * maxOpenSetups {
				io.WriteString(near, open(fmt.Sprintf("%016x", i)))
			}
		}()
		synctest.Wait()
		time.Sleep(time.Second)
		require.LessOrEqual(t, len(b.core.opened), 2*maxOpenSetups)
		taken := 0
		for refused := 0; refused < 3*maxOpenSetups; { // the core refuses only set-ups marked as excess
			s, k := <-b.core.opened, <-b.core.callers
			if s.Excess {
				k.Refuse(time.Second)
				refused++
			} else {
				taken++
			}
		}
		<-wrote
		require.LessOrEqual(t, taken, maxOpenSetups)
		near.Close()
		left := time.Now()
		<-ended
		require.LessOrEqual(t, time.Since(left), detectionTimeout)
		require.Len(t, b.core.withdrawn, maxOpenSetups)
	})
}

// Guards against a burst that is refused as excess although the core keeps up with it. The time is virtual: on a
// busy machine the core may get no processor for as long as it is given.
func TestBurstIsNotExcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newLargeBench(t)
		near, ended := b.pipe()
		const burst = 3 * maxOpenSetups
		go func() {
			for i := range burst {
				io.WriteString(near, open(fmt.Sprintf("%016x", i)))
			}
		}()
		synctest.Wait() // until the front waits for the core, which is given excessDelay from here on
		require.Len(t, b.core.opened, maxOpenSetups)
		for range burst {
			s, k := <-b.core.opened, <-b.core.callers
			require.False(t, s.Excess, "a set-up of the burst is excess")
			k.Fail()
		}
		near.Close()
		<-ended
	})
}

// After TurnAway new set-ups are excess, and the connection stays open until all are answered.
func TestTurnAway(t *testing.T) {
	b := newLargeBench(t)
	c, _ := b.loopback()
	io.WriteString(c, open(id))
	require.False(t, (<-b.core.opened).Excess)
	b.front.TurnAway()
	io.WriteString(c, open("0000000000000002"))
	require.True(t, (<-b.core.opened).Excess)
	for range 2 {
		(<-b.core.callers).Refuse(0)
	}
	r := bufio.NewReader(c)
	require.Contains(t, b.line(r)+b.line(r), `"code":34`)
}

// A set-up that its caller cancels reports Gone before the core receives the cancel; others on its connection do not.
func TestCancelMarksCallerGone(t *testing.T) {
	b := newLargeBench(t)
	c, _ := b.loopback()
	io.WriteString(c, open(id)+open("0000000000000002")+`{"msg":"close","sid":"`+id+`","attrs":{},"code":16}`+"\n")
	first, second := <-b.core.callers, <-b.core.callers
	require.Equal(t, id, <-b.core.hungUp)
	require.True(t, first.Gone())
	require.False(t, second.Gone())
}

// blockedConn is a connection whose writes block until it is closed, and then fail.
type blockedConn struct {
	net.Conn
	once   sync.Once
	closed chan struct{}
}

func (c *blockedConn) Write([]byte) (int, error) { <-c.closed; return 0, net.ErrClosed }
func (c *blockedConn) Close() error              { c.once.Do(func() { close(c.closed) }); return c.Conn.Close() }

// An answer that is never written, because its connection ends, ends the call at its server and leaves no state: the caller
// has not received it.
func TestUnwrittenAnswerEndsCall(t *testing.T) {
	for _, queued := range []bool{true, false} {
		b := newLargeBench(t)
		near, far := net.Pipe()
		tc := transport.NewConn(&blockedConn{Conn: far, closed: make(chan struct{})}, nil)
		served := make(chan struct{})
		go func() { defer close(served); b.front.Serve(tc) }()
		io.WriteString(near, open(id))
		k := <-b.core.callers
		if !queued {
			tc.Close()
		}
		if got := k.Answer([]byte("x")); got != queued {
			t.Errorf("Answer returned %v, want %v", got, queued)
		}
		tc.Close()
		if queued {
			require.Equal(t, id, <-b.core.hungUp)
		}
		<-served
		b.front.mu.Lock()
		if len(b.front.established) != 0 || tc.InUse() {
			t.Errorf("queued %v: remaining calls: %v, in use %v", queued, b.front.established, tc.InUse())
		}
		b.front.mu.Unlock()
		near.Close()
	}
}

// A release whose connection ends before it is written is sent on another connection, or on the next one that opens.
func TestReleaseOutlivesItsConnection(t *testing.T) {
	b := newLargeBench(t)
	near, far := net.Pipe()
	tc := transport.NewConn(&blockedConn{Conn: far, closed: make(chan struct{})}, nil)
	served := make(chan struct{})
	go func() { defer close(served); b.front.Serve(tc) }()
	defer near.Close()
	io.WriteString(near, open(id))
	k := <-b.core.callers
	require.True(t, k.Answer(nil))
	k.Release(16) // waits behind the answer
	tc.Close()
	<-served
	c, _ := b.loopback()
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	require.Contains(t, b.line(bufio.NewReader(c)), `"close","sid":"`+id)
}

// delayedConn returns a time-out at the second read after it is armed, as if its process got no processor time until then.
type delayedConn struct {
	net.Conn
	armed atomic.Int32
}

func (c *delayedConn) Read(p []byte) (int, error) {
	if c.armed.CompareAndSwap(2, 0) {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(p)
	c.armed.CompareAndSwap(1, 2)
	return n, err
}

// Before an idle close the front reads once more: a set-up that has arrived by then is handled.
func TestIdleCloseReadsOnceMore(t *testing.T) {
	b := newLargeBench(t)
	near, far := net.Pipe()
	lc := &delayedConn{Conn: far}
	served := make(chan struct{})
	go func() { defer close(served); b.front.Serve(transport.NewConn(lc, nil)) }()
	io.WriteString(near, `{"msg":"probe","sid":"`+id+`"}`+"\n")
	r := bufio.NewReader(near)
	b.line(r)
	lc.armed.Store(1)
	io.WriteString(near, `{"msg":"probe","sid":"`+id+`"}`+"\n")
	b.line(r)
	go io.WriteString(near, open(id))
	select {
	case <-b.core.opened:
	case <-served:
		t.Error("connection closed although a set-up had arrived")
	}
	near.Close()
	<-served
}

// Set-ups with different classes, numbers and descriptions on one connection: each keeps its own values.
func TestSetupsKeepTheirValues(t *testing.T) {
	b := newLargeBench(t)
	c, _ := b.loopback()
	var all bytes.Buffer
	want := map[string]routing.Setup{}
	for i := range 200 {
		s := routing.Setup{ID: fmt.Sprintf("%016x", i), Class: i % 2, Tenant: -1, Key: fmt.Sprint("7", i), FirstChoice: i % 3, WasCut: i%5 == 0,
			TimeLeft: time.Duration(1000+i) * time.Millisecond, Body: []byte(strings.Repeat(fmt.Sprint(i), 1+i%7))}
		again := 0
		if s.WasCut {
			again = 1
		}
		fmt.Fprintf(&all, `{"msg":"open","sid":%q,"attrs":{"class":%q,"left":%d,"key":%q,"extras":"dest:%d;again:%d"},"text":%q}`+"\n",
			s.ID, []string{"menu-view", "diet-order"}[s.Class], s.TimeLeft.Milliseconds(), s.Key, s.FirstChoice, again, s.Body)
		want[s.ID] = s
	}
	c.Write(all.Bytes())
	got := map[string]routing.Setup{}
	for range want { // compared after all are read, when a shared buffer would have been overwritten
		s := <-b.core.opened
		got[s.ID] = s
	}
	require.Equal(t, want, got)
}

// No goroutine remains after a connection ends, in any way.
func TestNoGoroutineLeaks(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, send := range []string{"", "{\n", open(id), open(id) + "{\n", open(id) + `{"msg`} {
		b := newLargeBench(t)
		near, far := net.Pipe()
		tc := transport.NewConn(far, nil)
		served := make(chan struct{})
		go func() { defer close(served); b.front.Serve(tc); tc.Close() }()
		io.WriteString(near, send)
		near.Close()
		<-served
		if _, err := tc.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%q: connection still open: %v", send, err)
		}
	}
}

// A set-up that arrives byte by byte, with pauses, is handled if it is complete within 2 s. One that the caller's close cuts
// at any byte is never handled.
func TestSetupByteByByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newLargeBench(t)
		near, ended := b.pipe()
		io.WriteString(near, `{"msg":"probe","sid":"`+id+`"}`+"\n")
		line := open(id)
		pause := messageTimeout * 9 / 10 / time.Duration(len(line))
		for i := range len(line) {
			io.WriteString(near, line[i:i+1])
			time.Sleep(pause)
		}
		s := <-b.core.opened
		require.Equal(t, id, s.ID)
		require.Equal(t, "a\r\nb", string(s.Body))
		near.Close()
		<-ended
	})
	line := open(id)
	for cut := range len(line) {
		b := newLargeBench(t)
		near, far := net.Pipe()
		served := make(chan struct{})
		go func() { defer close(served); c := transport.NewConn(far, nil); b.front.Serve(c); c.Close() }()
		io.WriteString(near, line[:cut])
		near.Close()
		<-served
		if len(b.core.opened) > 0 {
			t.Errorf("handled with %d of %d bytes", cut, len(line))
		}
	}
}
