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

// roomy is a bench whose core takes any number and answers nothing by itself.
func roomy(t *testing.T) *bench {
	b := newBench(t)
	const many = 1 << 14
	*b.core = core{make(chan routing.Setup, many), make(chan routing.Caller, many), make(chan string, many), make(chan string, many)}
	return b
}

// loopback gives the caller's end of a connection that the front serves, and when it ended.
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

const seen = 100 * time.Millisecond // a caller that left is given up by then

// A caller that leaves is seen at once, whatever its connection is at: waiting for an answer, settling after a message that
// can't be read or stopped short, or behind a flood. Its set-ups are withdrawn, and each is told to be gone before.
func TestWhoLeavesIsSeenAtOnce(t *testing.T) {
	for name, row := range map[string]struct {
		send string
		wait time.Duration // before it leaves
	}{
		"waiting":            {open(id), 0},
		"after a bad line":   {open(id) + "{\n", 50 * time.Millisecond},
		"after half a line":  {open(id) + `{"msg":"op`, wholeWithin + 50*time.Millisecond},
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
				b := roomy(t)
				c, _ := b.loopback()
				io.WriteString(c, row.send)
				k := <-b.core.callers
				time.Sleep(row.wait) // the front is at what the row names
				leave(c)
				left := time.Now()
				select {
				case <-b.core.withdrawn:
				case <-time.After(10 * time.Second):
					t.Fatal("never withdrawn")
				}
				if took := time.Since(left); took > seen || !k.Gone() {
					t.Errorf("withdrawn after %v, gone %v", took, k.Gone())
				}
			})
		}
	}
}

// A flood is read to its end, so that its caller's leaving behind it is seen: maxOpen set-ups are for servers, the rest is
// excess, and of that no more than as many again waits for the core.
func TestFloodIsReadToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := roomy(t)
		near, ended := b.pipe()
		wrote := make(chan struct{})
		go func() {
			defer close(wrote)
			for i := range 4 * maxOpen {
				io.WriteString(near, open(fmt.Sprintf("%016x", i)))
			}
		}()
		synctest.Wait()
		time.Sleep(time.Second)
		require.LessOrEqual(t, len(b.core.opened), 2*maxOpen)
		taken := 0
		for refused := 0; refused < 3*maxOpen; { // the core answers what is excess, and nothing else
			s, k := <-b.core.opened, <-b.core.callers
			if s.Excess {
				k.Refuse(time.Second)
				refused++
			} else {
				taken++
			}
		}
		<-wrote
		require.LessOrEqual(t, taken, maxOpen)
		near.Close()
		left := time.Now()
		<-ended
		require.LessOrEqual(t, time.Since(left), seen)
		require.Len(t, b.core.withdrawn, maxOpen)
	})
}

// A burst that the core keeps up with is no excess, however long it is.
func TestBurstIsNoExcess(t *testing.T) {
	b := roomy(t)
	c, _ := b.loopback()
	go io.Copy(io.Discard, c)
	const burst = 3 * maxOpen
	go func() {
		for i := range burst {
			io.WriteString(c, open(fmt.Sprintf("%016x", i)))
		}
	}()
	for range burst {
		s, k := <-b.core.opened, <-b.core.callers
		if s.Excess {
			t.Fatal("a set-up of the burst is excess")
		}
		k.Fail()
	}
}

// Once it is to turn away, set-ups are excess and the connection stays for what is owed.
func TestTurnAway(t *testing.T) {
	b := roomy(t)
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

// Cancelled by its caller, a set-up is gone before the core hears of it; the others of its connection are not.
func TestCancelIsToldAtOnce(t *testing.T) {
	b := roomy(t)
	c, _ := b.loopback()
	io.WriteString(c, open(id)+open("0000000000000002")+`{"msg":"close","sid":"`+id+`","attrs":{},"code":16}`+"\n")
	first, second := <-b.core.callers, <-b.core.callers
	require.Equal(t, id, <-b.core.hungUp)
	require.True(t, first.Gone())
	require.False(t, second.Gone())
}

// stuck is a connection whose writes wait until it is closed, and then fail.
type stuck struct {
	net.Conn
	once   sync.Once
	closed chan struct{}
}

func (s *stuck) Write([]byte) (int, error) { <-s.closed; return 0, net.ErrClosed }
func (s *stuck) Close() error              { s.once.Do(func() { close(s.closed) }); return s.Conn.Close() }

// An answer that its connection's end keeps from being written is the end of the call at its server, and leaves nothing
// behind: the caller never had it.
func TestAnswerThatIsNeverWrittenEndsTheCall(t *testing.T) {
	for _, queued := range []bool{true, false} {
		b := roomy(t)
		near, far := net.Pipe()
		tc := transport.NewConn(&stuck{Conn: far, closed: make(chan struct{})}, nil)
		served := make(chan struct{})
		go func() { defer close(served); b.front.Serve(tc) }()
		io.WriteString(near, open(id))
		k := <-b.core.callers
		if !queued {
			tc.Close()
		}
		if got := k.Answer([]byte("x")); got != queued {
			t.Errorf("told %v, want %v", got, queued)
		}
		tc.Close()
		if queued {
			require.Equal(t, id, <-b.core.hungUp)
		}
		<-served
		b.front.mu.Lock()
		if len(b.front.stands) != 0 || tc.InUse() {
			t.Errorf("queued %v: left behind: %v, in use %v", queued, b.front.stands, tc.InUse())
		}
		b.front.mu.Unlock()
		near.Close()
	}
}

// A release whose connection ends before it is written goes to another, and with none to the next that comes.
func TestReleaseOutlivesItsConnection(t *testing.T) {
	b := roomy(t)
	near, far := net.Pipe()
	tc := transport.NewConn(&stuck{Conn: far, closed: make(chan struct{})}, nil)
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

// sleepy gives a time-out at the second read once it is armed, as where its process got no processor time until then.
type sleepy struct {
	net.Conn
	armed atomic.Int32
}

func (l *sleepy) Read(p []byte) (int, error) {
	if l.armed.CompareAndSwap(2, 0) {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := l.Conn.Read(p)
	l.armed.CompareAndSwap(1, 2)
	return n, err
}

// An idle close looks again: a set-up that had come by then is taken.
func TestIdleCloseLooksAgain(t *testing.T) {
	b := roomy(t)
	near, far := net.Pipe()
	lc := &sleepy{Conn: far}
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
		t.Error("closed over a set-up that had come")
	}
	near.Close()
	<-served
}

// Two classes, numbers and descriptions in turn on one connection: each set-up has its own, by value.
func TestSetupsInTurnKeepTheirOwn(t *testing.T) {
	b := roomy(t)
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
	for range want { // looked at once all are read: what shared a buffer would have changed by now
		s := <-b.core.opened
		got[s.ID] = s
	}
	require.Equal(t, want, got)
}

// Whatever way connections end, no goroutine stays.
func TestNoGoroutineStays(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, send := range []string{"", "{\n", open(id), open(id) + "{\n", open(id) + `{"msg`} {
		b := roomy(t)
		near, far := net.Pipe()
		tc := transport.NewConn(far, nil)
		served := make(chan struct{})
		go func() { defer close(served); b.front.Serve(tc); tc.Close() }()
		io.WriteString(near, send)
		near.Close()
		<-served
		if _, err := tc.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%q: still open: %v", send, err)
		}
	}
}

// A set-up that comes a byte at a time, with pauses, is taken whole within its 2 s, and one that is cut at any byte by the
// caller's close is never taken.
func TestSetupByteByByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := roomy(t)
		near, ended := b.pipe()
		io.WriteString(near, `{"msg":"probe","sid":"`+id+`"}`+"\n")
		line := open(id)
		pause := wholeWithin * 9 / 10 / time.Duration(len(line))
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
		b := roomy(t)
		near, far := net.Pipe()
		served := make(chan struct{})
		go func() { defer close(served); c := transport.NewConn(far, nil); b.front.Serve(c); c.Close() }()
		io.WriteString(near, line[:cut])
		near.Close()
		<-served
		if len(b.core.opened) > 0 {
			t.Errorf("taken with %d of %d bytes", cut, len(line))
		}
	}
}
