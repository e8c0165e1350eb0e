package store

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"
)

// BenchmarkReadyAfterRestart measures the time from Open to Ready (ns/op) of a member with its records on disk, which must not
// be Ready before it holds all of them: with no records (the election alone, as a baseline) and with 10^3, 10^4 and 10^5
// records of 100 bytes. Writing the records is not timed.
//
//	go test -run '^$' -bench ReadyAfterRestart -benchtime 1x ./internal/store
func BenchmarkReadyAfterRestart(b *testing.B) {
	for _, records := range []int{0, 1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			dir := b.TempDir()
			n, err := Open(Options{Node: "a", Dir: dir, Sync: SyncInterval, Log: discardLogger()})
			if err != nil {
				b.Fatal(err)
			}
			fill(b, n, records)
			n.Close()
			b.ResetTimer()
			for range b.N {
				n, err := Open(Options{Node: "a", Dir: dir, Log: discardLogger()})
				if err != nil {
					b.Fatal(err)
				}
				ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
				err = n.WaitReady(ctx)
				cancel()
				if err != nil || len(n.List("")) != records {
					b.Fatalf("%v with %d of %d records", err, len(n.List("")), records)
				}
				b.StopTimer()
				n.Close()
				b.StartTimer()
			}
		})
	}
}

// fill writes records from many goroutines, because raft commits concurrent writes in batches.
func fill(b *testing.B, n *Node, records int) {
	value := make([]byte, 100)
	var wg sync.WaitGroup
	const writers = 64
	for w := range writers {
		wg.Go(func() {
			for i := w; i < records; i += writers {
				if _, err := n.Put(b.Context(), fmt.Sprint("k/", i), value); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
}

// A restarted member is not Ready before it holds all records that it held when it stopped.
func TestNotReadyBeforeReplay(t *testing.T) {
	dir := t.TempDir()
	n := openDurable(t, dir)
	for i := range 50 {
		if _, err := n.Put(t.Context(), fmt.Sprint("k/", i), []byte("v")); err != nil {
			t.Fatal(err)
		}
	}
	n.Close()
	n = openDurable(t, dir)
	defer n.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if err := n.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	if got := len(n.List("k/")); got != 50 || !n.Status().Ready {
		t.Fatalf("ready with %d of 50 records; status ready %t", got, n.Status().Ready)
	}
}
