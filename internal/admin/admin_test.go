package admin

import (
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"testing"

	"beammux/internal/history"
	"beammux/internal/record"
)

// newHub starts a hub with one event in its snapshot.
func newHub(t *testing.T, addr string) *Hub {
	t.Helper()
	h := &Hub{Node: "n1", Snapshot: func() []history.Event {
		return []history.Event{{At: 1, Kind: history.Continued, Name: "v1"}}
	}}
	if err := h.Listen(addr); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h
}

// attach connects a watcher and reads the snapshot.
func attach(t *testing.T, addr string) (*record.StreamReader, net.Conn) {
	t.Helper()
	network, address, err := ParseAddress(addr)
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial(network, address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	s, err := record.NewStreamReader(c)
	if err != nil {
		t.Fatal(err)
	}
	if e, err := s.Next(); err != nil || e.Kind != history.Continued || e.Node != "n1" {
		t.Fatalf("%+v, %v", e, err)
	}
	return s, c
}

// A watcher receives the snapshot and then all events in order, over a Unix socket and over loopback TCP.
func TestWatch(t *testing.T) {
	unix := "unix:" + filepath.Join(t.TempDir(), "admin.sock")
	for _, addr := range []string{"127.0.0.1:0", unix} {
		h := newHub(t, addr)
		if addr != unix {
			addr = h.Addr()
		}
		s, _ := attach(t, addr)
		for i := range 100 {
			h.Record(history.Event{At: 2, Kind: history.Received, Call: fmt.Sprint(i)})
		}
		for i := range 100 {
			if e, err := s.Next(); err != nil || e.Call != fmt.Sprint(i) {
				t.Fatalf("%+v, %v", e, err)
			}
		}
	}
}

// A watcher that does not read never blocks Record. Once it reads again, it receives the number of dropped events.
func TestSlowWatcher(t *testing.T) {
	h := newHub(t, "127.0.0.1:0")
	s, _ := attach(t, h.Addr())
	const events = 200000 // far more than its queue and the socket buffers hold
	for range events {
		h.Record(history.Event{At: 2, Kind: history.Received, Call: strings.Repeat("x", 100)})
	}
	got, missed := 0, int64(0)
	for got+int(missed) < events {
		e, err := s.Next()
		if err != nil {
			t.Fatal(err)
		}
		if e.Kind == history.Dropped {
			missed += e.N
		} else {
			got++
		}
		if got == 1000 { // collect the count that only the next event would report
			h.mu.Lock()
			for w := range h.watchers {
				missed += w.dropped
				w.dropped = 0
			}
			h.mu.Unlock()
		}
	}
	if missed == 0 {
		t.Error("no event was dropped: the watcher was not slow")
	}
}

// At most maxWatchers watchers are served, and a disconnected one makes room for another.
func TestWatcherLimit(t *testing.T) {
	h := newHub(t, "127.0.0.1:0")
	var last net.Conn
	for range maxWatchers {
		_, last = attach(t, h.Addr())
	}
	c, err := net.Dial("tcp", h.Addr())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("a watcher over the limit was served")
	}
	last.Close()
	for { // until the disconnect is detected
		h.mu.Lock()
		n := len(h.watchers)
		h.mu.Unlock()
		if n < maxWatchers {
			break
		}
	}
	attach(t, h.Addr())
}

func TestParseAddress(t *testing.T) {
	for addr, ok := range map[string]bool{"unix:/x": true, "127.0.0.1:1": true, "[::1]:1": true, "unix:": false, "0.0.0.0:1": false,
		"10.0.0.1:1": false, "localhost:1": false, "127.0.0.1": false, "": false} {
		if _, _, err := ParseAddress(addr); (err == nil) != ok {
			t.Errorf("%q: %v", addr, err)
		}
	}
}

// A socket file that a killed process left is replaced; one that is in use is not.
func TestStaleSocketIsReplaced(t *testing.T) {
	addr := "unix:" + filepath.Join(t.TempDir(), "admin.sock")
	_, path, _ := ParseAddress(addr)
	l, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	if err := (&Hub{}).Listen(addr); err == nil {
		t.Error("a socket in use was replaced")
	}
	l.(*net.UnixListener).SetUnlinkOnClose(false)
	l.Close()
	h := newHub(t, addr)
	h.Close()
}
