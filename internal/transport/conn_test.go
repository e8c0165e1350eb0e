package transport

import (
	"bytes"
	"errors"
	"flag"
	"io"
	"net"
	"os"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// The same steps each time: a verdict must not change from run to run.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "20261201")
	os.Exit(m.Run())
}

// Guards against a silent peer (its machine gone) blocking whoever sends: Send returns, and the connection is given up.
func TestSilentPeerBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer far.Close()
		c := NewConn(near, nil)
		faults := 0
		for range 3 {
			c.Send(Packet{Data: []byte("x"), Done: func(err error) {
				if err != nil {
					faults++
				}
			}})
		}
		time.Sleep(writeTimeout + time.Millisecond)
		synctest.Wait()
		if faults != 3 || c.Send(Packet{}) == nil {
			t.Errorf("%d of 3 packets were told their fault", faults)
		}
	})
}

func TestOverfullQueueClosesTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer far.Close()
		gone := 0
		c := NewConn(near, func() { gone++ })
		var err error
		for i := 0; i <= MaxQueued+1 && err == nil; i += 1 << 10 {
			err = c.Send(Packet{Data: make([]byte, 1<<10)})
		}
		synctest.Wait()
		if err == nil && c.Send(Packet{Data: make([]byte, MaxQueued)}) != ErrOverflow {
			t.Error("the queue has no bound")
		}
		synctest.Wait()
		if gone != 1 {
			t.Errorf("closed %d times, want once", gone)
		}
	})
}

// Random steps against a model of the connection: open, ending or closed; packets go out in order, whole, or their Done
// says why not; Still is asked at the first byte and not before.
func TestConnAgainstModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			near, far := net.Pipe()
			c := NewConn(near, nil)
			var want, got bytes.Buffer
			var told, sent int
			still := true
			reading := make(chan struct{}, 99)
			read := make(chan struct{})
			go func() {
				defer close(read)
				for range reading {
					b := make([]byte, 1)
					if _, err := io.ReadFull(far, b); err != nil {
						return
					}
					got.Write(b)
				}
				io.Copy(&got, far)
			}()
			open := true
			for i := range rapid.IntRange(1, 30).Draw(r, "steps") {
				switch rapid.IntRange(0, 9).Draw(r, "step") {
				case 0, 1, 2, 3, 4:
					b := byte(i)
					var asked, held bool
					err := c.Send(Packet{Data: []byte{b}, StillWanted: func() bool { asked, held = true, still; return still }, Done: func(err error) {
						told++
						if err == nil {
							want.WriteByte(b)
						}
						if err == nil && !(asked && held) || errors.Is(err, ErrDropped) && held {
							r.Fatalf("ended with %v, asked %v, still %v", err, asked, held)
						}
					}})
					if (err == nil) != open {
						r.Fatalf("Send gives %v, open %v", err, open)
					}
					if err == nil {
						sent++
					}
				case 5, 6, 7:
					reading <- struct{}{}
				case 8:
					still = !still
				case 9:
					if rapid.Bool().Draw(r, "finish") {
						c.Finish()
					} else {
						c.Close()
					}
					open = false
				}
				synctest.Wait()
				if open && told < got.Len() {
					r.Fatalf("%d packets told of %d read", told, got.Len())
				}
			}
			close(reading)
			c.Finish()
			<-read
			synctest.Wait()
			if told != sent || !bytes.Equal(want.Bytes(), got.Bytes()) {
				r.Fatalf("%d of %d packets told; wrote %v, read %v", told, sent, want.Bytes(), got.Bytes())
			}
			far.Close()
		})
	})
}

// Guards against a last answer lost by the reset that a close with unread input brings.
func TestLastAnswerArrivesDespiteUnreadInput(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	far.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := far.Write(make([]byte, 64<<10)); err != nil {
		t.Fatal(err)
	}
	c := NewConn(near, nil)
	c.Send(Packet{Data: []byte("bye")})
	c.Finish()
	got, err := io.ReadAll(far)
	if string(got) != "bye" || err != nil {
		t.Errorf("read %q, %v", got, err)
	}
}

// Guards against callers taking the descriptors that servers need.
func TestBudgetKeepsAReserve(t *testing.T) {
	b := NewBudget(4, 2)
	l, err := Listen("127.0.0.1:0", b)
	if err != nil {
		t.Fatal(err)
	}
	held := make(chan *Conn, 4)
	go l.Serve(func(c *Conn) { c.Hold(); held <- c; <-c.Closed() })
	defer l.Close()
	var conns []net.Conn
	for i := range 3 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conns = append(conns, c)
		if i < 2 { // the next one comes once this one is held
			near := <-held
			defer near.Close()
		}
	}
	conns[2].SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := conns[2].Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the third connection was not closed: %v", err)
	}
	d, err := b.Dial(t.Context(), l.Addr().String(), time.Second)
	if err != nil {
		t.Errorf("no descriptor for a server: %v", err)
	} else {
		d.Close()
	}
	if n := b.Used(); n < 2 || n > 3 {
		t.Errorf("%d descriptors in use", n)
	}
}

// Guards against callers that say nothing, or are done and stay, keeping others out: they make room, first who never
// spoke, then who has no call, the longest idle first. A connection on which something is owed is never closed.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	b := NewBudget(6, 1)
	l, err := Listen("127.0.0.1:0", b)
	if err != nil {
		t.Fatal(err)
	}
	taken := make(chan *Conn, 9)
	go l.Serve(func(c *Conn) { taken <- c; <-c.Closed() })
	defer l.Close()
	connect := func() *Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return <-taken
	}
	owed, calling, idle, recent, silent := connect(), connect(), connect(), connect(), connect()
	for i, c := range []*Conn{owed, calling, idle, recent} {
		c.NoteMessage()
		c.used.Store(int64(i + 1))
	}
	owed.Hold()
	calling.AddCalls(1)
	calling.used.Store(2)
	for i, want := range []*Conn{silent, idle, recent, calling} {
		c := connect()
		c.NoteMessage()
		c.Hold()
		select {
		case <-want.Closed():
		case <-time.After(10 * time.Second):
			t.Fatalf("step %d closed another", i)
		}
	}
	select {
	case <-owed.Closed():
		t.Error("closed a connection on which an answer is owed")
	default:
	}
}

// In a crowd that never sends a byte, a true request that takes its time to be written is not what makes room: the
// older connections that sent nothing go first, even a newer silent one before it.
func TestSlowWriterOutlastsTheSilentCrowd(t *testing.T) {
	b := NewBudget(4, 1)
	l, err := Listen("127.0.0.1:0", b)
	if err != nil {
		t.Fatal(err)
	}
	taken := make(chan *Conn, 9)
	go l.Serve(func(c *Conn) {
		taken <- c
		c.Read(make([]byte, 64)) // as a front reads the first bytes of a message
		<-c.Closed()
	})
	defer l.Close()
	connect := func() (net.Conn, *Conn) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c, <-taken
	}
	writer, slow := connect()
	io.WriteString(writer, `{"msg":"open","sid":`)
	for !slow.began.Load() {
		runtime.Gosched()
	}
	slow.used.Store(1) // the oldest of all
	_, silent := connect()
	_, silent2 := connect()
	for _, want := range []*Conn{silent, silent2} {
		connect()
		select {
		case <-want.Closed():
		case <-slow.Closed():
			t.Fatal("the slow writer made room before a silent connection")
		case <-time.After(10 * time.Second):
			t.Fatal("nothing made room")
		}
	}
}
