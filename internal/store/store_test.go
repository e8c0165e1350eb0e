package store

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// discardLogger returns a logger without output.
func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// testContext returns a context that ends after 20 s or with the test.
func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// openSingle opens a group of one in-memory node.
func openSingle(t *testing.T) *Node {
	n, err := Open(Options{Node: "a", Log: discardLogger()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.Close() })
	return n
}

// openGroup opens a group of in-memory nodes on loopback.
func openGroup(t *testing.T, size int) []*Node { return openGroupWithReducers(t, size, nil) }

func openGroupWithReducers(t *testing.T, size int, reducers map[string]Reducer) []*Node {
	var peers []Peer
	var listeners []net.Listener
	for i := range size {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		peers = append(peers, Peer{Node: fmt.Sprint("n", i), Address: l.Addr().String()})
	}
	var nodes []*Node
	for i, p := range peers {
		n, err := Open(Options{Node: p.Node, Listener: listeners[i], Peers: peers, Reducers: reducers, Log: discardLogger()})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { n.Close() })
		nodes = append(nodes, n)
	}
	return nodes
}

// A write through any node, leader or not, can be read there, and the loss of the leader loses no committed record.
func TestLeaderLossKeepsRecords(t *testing.T) {
	nodes := openGroup(t, 3)
	ctx := testContext(t)
	const records = 60
	revisions := map[string]uint64{}
	for i := range records {
		key := fmt.Sprintf("dialog/%02d", i)
		writer := nodes[i%3]
		rev, err := writer.Put(ctx, key, []byte(key))
		if err != nil {
			t.Fatal(err)
		}
		if r, ok := writer.Get(key); !ok || r.Revision != rev {
			t.Fatalf("%s reads %+v after a write at revision %d", key, r, rev)
		}
		revisions[key] = rev
	}
	var rest []*Node
	var lost bool
	for _, n := range nodes {
		if n.Leader() && !lost {
			lost = true
			n.Close()
			continue
		}
		rest = append(rest, n)
	}
	if len(rest) != 2 {
		t.Fatalf("%d nodes are left, want 2", len(rest))
	}
	for _, n := range rest {
		if _, err := n.Put(ctx, "after/"+n.layer.Addr().String(), nil); err != nil {
			t.Fatal(err)
		}
		for key, rev := range revisions {
			if r, ok := n.Get(key); !ok || r.Revision != rev || !bytes.Equal(r.Value, []byte(key)) {
				t.Errorf("%s is %+v, want revision %d", key, r, rev)
			}
		}
	}
}

func TestRevisions(t *testing.T) {
	n, ctx := openSingle(t), testContext(t)
	first, err := n.PutAt(ctx, "k", []byte("1"), 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := n.PutAt(ctx, "k", []byte("2"), 0); err != ErrRevision {
		t.Errorf("second create: %v, want ErrRevision", err)
	}
	second, err := n.PutAt(ctx, "k", []byte("2"), first)
	if err != nil || second <= first {
		t.Errorf("revision %d after %d: %v", second, first, err)
	}
	if err := n.Delete(ctx, "k"); err != nil {
		t.Error(err)
	}
	if _, ok := n.Get("k"); ok {
		t.Error("the deleted record still exists")
	}
}

func TestWatchDeliversChangesInOrder(t *testing.T) {
	n, ctx := openSingle(t), testContext(t)
	received := make(chan Record, 4)
	n.Watch("inventory", func(r Record) { received <- r })
	n.Put(ctx, "inventory", []byte("a"))
	n.Put(ctx, "other", []byte("x"))
	n.Delete(ctx, "inventory")
	if r := <-received; string(r.Value) != "a" {
		t.Errorf("first %+v", r)
	}
	if r := <-received; r.Key != "inventory" || r.Value != nil {
		t.Errorf("second %+v", r)
	}
}

func TestImportThroughAnyNode(t *testing.T) {
	nodes, ctx := openGroup(t, 3), testContext(t)
	for i, n := range nodes {
		value := []byte{byte(i)}
		// Retry while the node does not know its leader yet.
		for {
			if _, err := PutTo(ctx, n.layer.Addr().String(), "inventory", value, nil); err == nil {
				break
			} else if ctx.Err() != nil {
				t.Fatal(err)
			}
		}
		if _, err := n.Put(ctx, "barrier", nil); err != nil {
			t.Fatal(err)
		}
		if r, _ := n.Get("inventory"); !bytes.Equal(r.Value, value) {
			t.Errorf("node %d reads %v, want %v", i, r.Value, value)
		}
	}
}

// Restoring a snapshot gives the same records, and watchers are notified only of the records that changed.
func TestSnapshotRestores(t *testing.T) {
	n, ctx := openSingle(t), testContext(t)
	n.Put(ctx, "a", []byte("1"))
	n.Put(ctx, "b", []byte("2"))
	s, err := n.fsm.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	sink := &memSink{}
	if err := s.Persist(sink); err != nil {
		t.Fatal(err)
	}
	m := newMachine()
	m.records["b"], _ = n.Get("b")
	m.records["c"] = Record{Key: "c", Revision: 1}
	var notified []string
	m.watch("", func(r Record) { notified = append(notified, r.Key) })
	if err := m.Restore(io.NopCloser(&sink.Buffer)); err != nil {
		t.Fatal(err)
	}
	if got := m.list(""); len(got) != 2 || string(got[0].Value) != "1" {
		t.Errorf("restored %+v", got)
	}
	if fmt.Sprint(notified) != "[a c]" {
		t.Errorf("notified of %v, want a and c", notified)
	}
}

// memSink is a raft.SnapshotSink in memory.
type memSink struct{ bytes.Buffer }

func (*memSink) ID() string    { return "test" }
func (*memSink) Cancel() error { return nil }
func (*memSink) Close() error  { return nil }
