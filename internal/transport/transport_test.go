package transport

import (
	"net"
	"testing"
	"time"
)

// A new process binds the clients' address while the old one still listens, and each takes connections on it; when
// the old one closes, the new one takes them all.
func TestTwoListenersShareAnAddress(t *testing.T) {
	old, err := Listen("127.0.0.1:0", NewBudget(64, 8))
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	next, err := Listen(old.Addr().String(), NewBudget(64, 8))
	if err != nil {
		t.Fatalf("second listener on %s: %v", old.Addr(), err)
	}
	defer next.Close()
	taken := make(chan string, 64)
	serve := func(name string, l *Listener) {
		go l.Serve(func(c *Conn) { taken <- name; c.Close() })
	}
	serve("old", old)
	serve("next", next)
	seen := map[string]int{}
	for i := 0; i < 40 && (seen["old"] == 0 || seen["next"] == 0); i++ {
		c, err := net.Dial("tcp", old.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
		seen[<-taken]++
	}
	if seen["old"] == 0 || seen["next"] == 0 {
		t.Fatalf("connections were not shared: %v", seen)
	}
	old.Close()
	for range 10 {
		c, err := net.DialTimeout("tcp", next.Addr().String(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
		if who := <-taken; who != "next" {
			t.Fatalf("a closed listener took a connection")
		}
	}
}
