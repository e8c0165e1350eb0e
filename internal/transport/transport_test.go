package transport

import (
	"net"
	"testing"
	"time"
)

// A new process can bind the clients' address while the old one still listens, and both accept connections; when the old one
// closes its listener, the new one accepts all of them.
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
			t.Fatalf("a closed listener accepted a connection")
		}
	}
}

// Neither side can use up the descriptors of the other: with unlimited servers, callers still get the reserve; with unlimited
// callers, the gatekeeper can still dial as many connections; and the total never exceeds the limit.
func TestBudgetReservesPartForEachSide(t *testing.T) {
	const max, reserve = 40, 5
	take := func(more func() bool) (n int) {
		for more() {
			n++
		}
		return n
	}
	b := NewBudget(max, reserve)
	if dialed, callers := take(b.takeDialed), take(b.takeCaller); dialed != max-reserve || callers != reserve || b.Used() != max {
		t.Errorf("%d dialled first, then %d callers, %d in total", dialed, callers, b.Used())
	}
	b.releaseDialed()
	if b.takeCaller() || !b.takeDialed() {
		t.Error("a descriptor of the servers' part was given to a caller")
	}
	b = NewBudget(max, reserve)
	if callers, dialed := take(b.takeCaller), take(b.takeDialed); callers != max-reserve || dialed != reserve || b.Used() != max {
		t.Errorf("%d callers first, then %d dialled, %d in total", callers, dialed, b.Used())
	}
	b.releaseCaller()
	if !b.takeDialed() && !b.takeCaller() {
		t.Error("a released descriptor is not available again")
	}
}
