package relay

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// echo starts a TCP server that echoes each connection until its client closes it, and returns the server's address.
func echo(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				io.Copy(c, c)
				c.(*net.TCPConn).CloseWrite()
			}()
		}
	}()
	return ln.Addr().String()
}

func network(t *testing.T) (*Network, *Link) {
	t.Helper()
	n := New(1)
	t.Cleanup(n.Close)
	l, err := n.TCP("a", "b", "")
	if err != nil {
		t.Fatal(err)
	}
	return n, l
}

func dial(t *testing.T, l *Link) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp4", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return c.(*net.TCPConn)
}

func roundTrip(t *testing.T, c net.Conn, text string) time.Duration {
	t.Helper()
	began := time.Now()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != text {
		t.Fatalf("%q came back as %q: %v", text, got, err)
	}
	return time.Since(began)
}

// silent reports whether the connection receives nothing for 150 ms.
func silent(c net.Conn) bool {
	c.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
	defer c.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err := c.Read(make([]byte, 1))
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// A link refuses connections before its target is up, after the target is down and under the Refuse fault. It then resets open
// connections, and accepts new ones again at the same address later.
func TestRefusesAndOpensAgain(t *testing.T) {
	n, l := network(t)
	refused := func(when string) {
		t.Helper()
		if c, err := net.Dial("tcp4", l.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("%s: %v", when, err)
		} else if c != nil {
			c.Close()
		}
	}
	refused("before it serves")
	addr := echo(t)
	for _, down := range []func(){func() { n.Down("b") }, func() { n.SetMode("a", "b", Refuse) }} {
		n.Up("b", "", addr)
		n.SetMode("a", "b", Open)
		c := dial(t, l)
		roundTrip(t, c, "x")
		down()
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("the open connection: %v", err)
		}
		refused("while down")
	}
}

// A cut in either direction holds back the data sent and delivers it after the heal; a connection opened during the cut waits too.
func TestCutHoldsAndHeals(t *testing.T) {
	n, l := network(t)
	n.Up("b", "", echo(t))
	for _, cut := range [][2][]string{{{"a"}, {"b"}}, {{"b"}, {"a"}}} {
		c := dial(t, l)
		roundTrip(t, c, "before")
		n.Cut(cut[0], cut[1], true)
		fresh := dial(t, l) // accepted by the local kernel, which a real network would not do, but not connected to the target
		for _, conn := range []net.Conn{c, fresh} {
			io.WriteString(conn, "held")
			if !silent(conn) {
				t.Fatalf("data passed the cut %v", cut)
			}
		}
		n.Cut(cut[0], cut[1], false)
		for _, conn := range []net.Conn{c, fresh} {
			got := make([]byte, 4)
			if _, err := io.ReadFull(conn, got); err != nil || string(got) != "held" {
				t.Fatalf("after the heal of %v: %q %v", cut, got, err)
			}
		}
	}
}

func TestDelayAndBandwidth(t *testing.T) {
	n, l := network(t)
	n.Up("b", "", echo(t))
	c := dial(t, l)
	roundTrip(t, c, "warm")
	if err := n.SetCondition("a", "b", Condition{Delay: 80 * time.Millisecond}); err != nil {
		t.Fatal(err)
	}
	if took := roundTrip(t, c, "slow"); took < 80*time.Millisecond {
		t.Errorf("a delay of 80 ms one way took %v", took)
	}
	n.SetCondition("a", "b", Condition{BytesPerS: 100_000})
	if took := roundTrip(t, c, string(make([]byte, 20_000))); took < 190*time.Millisecond {
		t.Errorf("20 kB at 100 kB/s took %v", took)
	}
	if err := n.SetCondition("a", "b", Condition{Loss: 1.5}); err == nil {
		t.Error("a loss of 1.5 was accepted")
	}
}

// A reset after a byte limit happens in the middle of a message: the far side receives the first bytes and then an RST.
func TestResetMidMessage(t *testing.T) {
	n, l := network(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	n.Up("b", "", ln.Addr().String())
	n.Reset("a", "b", 10)
	c := dial(t, l)
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	io.WriteString(c, "0123456789abcdef")
	far.SetReadDeadline(time.Now().Add(10 * time.Second))
	got, err := io.ReadAll(far)
	if string(got) != "0123456789" || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the far side read %q and %v", got, err)
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the near side: %v", err)
	}
	n.ClearReset("a", "b")
	n.Up("b", "", echo(t))
	open := dial(t, l)
	roundTrip(t, open, "long enough to have been cut")
	n.Reset("a", "b", 0)
	if _, err := open.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("reset at once: %v", err)
	}
}

func TestBlackHole(t *testing.T) {
	n, l := network(t)
	n.Up("b", "", echo(t))
	before := dial(t, l)
	roundTrip(t, before, "x")
	n.SetMode("a", "b", BlackHole)
	after := dial(t, l)
	for _, c := range []net.Conn{before, after} {
		io.WriteString(c, "y")
		if !silent(c) {
			t.Error("a black hole answered")
		}
	}
}

// A lost machine answers nothing: open connections stay open and silent, new ones don't come up within their time.
func TestLostMachine(t *testing.T) {
	n, l := network(t)
	n.Up("b", "", echo(t))
	open := dial(t, l)
	roundTrip(t, open, "before")
	n.SetMode("a", "b", Lost)
	c, err := net.DialTimeout("tcp4", l.Addr(), 300*time.Millisecond)
	if timeout := net.Error(nil); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Fatalf("a new connection: %v, %v", c, err)
	}
	io.WriteString(open, "during")
	if !silent(open) {
		t.Fatal("the open connection is not silent")
	}
	n.SetMode("a", "b", Open)
	roundTrip(t, dial(t, l), "after")
}

// Guards against bytes of a lost machine that arrive after another one has taken its address.
func TestLostMachineIsReplaced(t *testing.T) {
	n, l := network(t)
	n.Up("b", "", echo(t))
	open := dial(t, l)
	roundTrip(t, open, "before")
	// The echo is held at the machine's end of the link.
	n.Cut([]string{"b"}, []string{"a"}, true)
	io.WriteString(open, "during")
	time.Sleep(50 * time.Millisecond)
	n.SetMode("a", "b", Lost)
	n.Cut([]string{"b"}, []string{"a"}, false)
	n.Up("b", "", echo(t))
	n.SetMode("a", "b", Open)
	roundTrip(t, dial(t, l), "after")
	if !silent(open) {
		t.Fatal("bytes of the lost machine arrive")
	}
}

// Data and the end of the stream arrive complete and in order for any write sizes and any jitter.
func TestBytesPassUnchanged(t *testing.T) {
	n, l := network(t)
	n.Up("b", "", echo(t))
	rapid.Check(t, func(r *rapid.T) {
		n.SetCondition("a", "b", Condition{Jitter: time.Duration(rapid.IntRange(0, 2).Draw(r, "jitter ms")) * time.Millisecond})
		sizes := rapid.SliceOfN(rapid.IntRange(1, 40_000), 1, 5).Draw(r, "writes")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 1))
		c, err := net.Dial("tcp4", l.Addr())
		if err != nil {
			r.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(10 * time.Second))
		var sent bytes.Buffer
		go func() {
			for _, size := range sizes {
				b := make([]byte, size)
				for i := range b {
					b[i] = byte(rng.Uint32())
				}
				sent.Write(b)
				c.Write(b)
			}
			c.(*net.TCPConn).CloseWrite()
		}()
		got, err := io.ReadAll(c)
		if err != nil || !bytes.Equal(got, sent.Bytes()) {
			r.Fatalf("%d bytes came back of %d: %v", len(got), sent.Len(), err)
		}
	})
}

func TestDatagrams(t *testing.T) {
	n := New(1)
	t.Cleanup(n.Close)
	l, err := n.UDP("a", "b", "")
	if err != nil {
		t.Fatal(err)
	}
	server, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	n.Up("b", "", server.LocalAddr().String())
	c, err := net.Dial("udp4", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	receive := func(within time.Duration) (string, *net.UDPAddr) {
		buf := make([]byte, 100)
		server.SetReadDeadline(time.Now().Add(within))
		length, from, err := server.ReadFromUDP(buf)
		if err != nil {
			return "", nil
		}
		return string(buf[:length]), from
	}
	io.WriteString(c, "one")
	got, from := receive(5 * time.Second)
	if got != "one" {
		t.Fatalf("%q", got)
	}
	server.WriteToUDP([]byte("back"), from) // an answer to the source address returns to the sender
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	buf := make([]byte, 10)
	if length, err := c.Read(buf); err != nil || string(buf[:length]) != "back" {
		t.Fatalf("answer %q %v", buf[:length], err)
	}
	restarted, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}) // the server restarts at another address
	if err != nil {
		t.Fatal(err)
	}
	defer restarted.Close()
	n.Down("b")
	n.Up("b", "", restarted.LocalAddr().String())
	server.Close()
	server = restarted
	io.WriteString(c, "to its next start")
	if got, _ := receive(5 * time.Second); got != "to its next start" {
		t.Fatalf("after the restart: got %q", got)
	}
	n.SetCondition("a", "b", Condition{Duplicate: 1})
	io.WriteString(c, "two")
	for range 2 {
		if got, _ := receive(5 * time.Second); got != "two" {
			t.Fatalf("duplicated datagram: got %q", got)
		}
	}
	n.SetCondition("a", "b", Condition{Loss: 1})
	io.WriteString(c, "lost")
	n.SetCondition("a", "b", Condition{Cut: true})
	io.WriteString(c, "cut")
	if got, _ := receive(150 * time.Millisecond); got != "" {
		t.Errorf("%q arrived despite loss and cut", got)
	}
	// A delayed datagram arrives after a later one.
	n.SetCondition("a", "b", Condition{Reorder: 1, Delay: 50 * time.Millisecond})
	io.WriteString(c, "early")
	for n.Traffic("a", "b").Packets < 6 { // until the relay has received it
		time.Sleep(time.Millisecond)
	}
	n.SetCondition("a", "b", Condition{})
	io.WriteString(c, "late")
	first, _ := receive(5 * time.Second)
	second, _ := receive(5 * time.Second)
	if first != "late" || second != "early" {
		t.Errorf("received %q, then %q", first, second)
	}
}
