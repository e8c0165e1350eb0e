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

// TestMain fixes the seed of the property-based tests, so that each run takes the same steps.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "20261201")
	os.Exit(m.Run())
}

// Guards against a peer that stopped responding (its machine is down) blocking the sender: Send returns, and the connection is
// closed.
func TestUnresponsivePeerDoesNotBlockSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer far.Close()
		c := NewConn(near, nil)
		failures := 0
		for range 3 {
			c.Send(Packet{Data: []byte("x"), Done: func(err error) {
				if err != nil {
					failures++
				}
			}})
		}
		time.Sleep(writeTimeout + time.Millisecond)
		synctest.Wait()
		if failures != 3 || c.Send(Packet{}) == nil {
			t.Errorf("Done was called with an error for %d of 3 packets", failures)
		}
	})
}

func TestFullQueueClosesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer far.Close()
		closed := 0
		c := NewConn(near, func() { closed++ })
		var err error
		for i := 0; i <= MaxQueued+1 && err == nil; i += 1 << 10 {
			err = c.Send(Packet{Data: make([]byte, 1<<10)})
		}
		synctest.Wait()
		if err == nil && c.Send(Packet{Data: make([]byte, MaxQueued)}) != ErrOverflow {
			t.Error("write queue is not bounded")
		}
		synctest.Wait()
		if closed != 1 {
			t.Errorf("closed %d times, want once", closed)
		}
	})
}

// Random steps, checked against a model of the connection, which is open, ending or closed. Packets are written in order and
// whole, or their Done gets an error. StillWanted is called at the first byte and not before.
func TestConnAgainstModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			near, far := net.Pipe()
			c := NewConn(near, nil)
			var want, got bytes.Buffer
			var doneCalls, sent int
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
					var stillCalled, stillResult bool
					err := c.Send(Packet{Data: []byte{b}, StillWanted: func() bool { stillCalled, stillResult = true, still; return still }, Done: func(err error) {
						doneCalls++
						if err == nil {
							want.WriteByte(b)
						}
						if err == nil && !(stillCalled && stillResult) || errors.Is(err, ErrDropped) && stillResult {
							r.Fatalf("Done called with %v; StillWanted called %v, returned %v", err, stillCalled, stillResult)
						}
					}})
					if (err == nil) != open {
						r.Fatalf("Send returned %v, open %v", err, open)
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
				if open && doneCalls < got.Len() {
					r.Fatalf("Done called for %d packets, %d read", doneCalls, got.Len())
				}
			}
			close(reading)
			c.Finish()
			<-read
			synctest.Wait()
			if doneCalls != sent || !bytes.Equal(want.Bytes(), got.Bytes()) {
				r.Fatalf("Done called for %d of %d packets; wrote %v, read %v", doneCalls, sent, want.Bytes(), got.Bytes())
			}
			far.Close()
		})
	})
}

// Guards against losing the last answer to the reset that a close with unread input causes.
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

// Guards against callers using up the descriptors that are needed for connections to servers.
func TestBudgetKeepsReserveForDialing(t *testing.T) {
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
		if i < 2 { // wait until this one is held
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

// Guards against callers that send nothing, or stay connected after their answer, keeping others out: their connections are
// closed to make room, first those without any message, then those without an established call, each time the longest idle
// first. A connection with an unanswered message is never closed.
func TestIdleConnectionsAreClosedToMakeRoom(t *testing.T) {
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
	unanswered, calling, idle, recent, silent := connect(), connect(), connect(), connect(), connect()
	for i, c := range []*Conn{unanswered, calling, idle, recent} {
		c.NoteMessage()
		c.lastUsed.Store(int64(i + 1))
	}
	unanswered.Hold()
	calling.AddCalls(1)
	calling.lastUsed.Store(2)
	for i, want := range []*Conn{silent, idle, recent, calling} {
		c := connect()
		c.NoteMessage()
		c.Hold()
		select {
		case <-want.Closed():
		case <-time.After(10 * time.Second):
			t.Fatalf("step %d closed another connection", i)
		}
	}
	select {
	case <-unanswered.Closed():
		t.Error("closed a connection with an unanswered message")
	default:
	}
}

// Among many connections that never send a byte, the connection of a real request that is written slowly is not closed to make
// room: connections that sent nothing are closed first, even newer ones.
func TestSlowWriterOutlastsSilentConnections(t *testing.T) {
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
	for !slow.byteReceived.Load() {
		runtime.Gosched()
	}
	slow.lastUsed.Store(1) // the oldest of all
	_, silent := connect()
	_, silent2 := connect()
	for _, want := range []*Conn{silent, silent2} {
		connect()
		select {
		case <-want.Closed():
		case <-slow.Closed():
			t.Fatal("the connection of the slow writer was closed before a silent one")
		case <-time.After(10 * time.Second):
			t.Fatal("no connection was closed to make room")
		}
	}
}
