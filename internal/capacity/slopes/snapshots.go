package slopes

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"beammux/internal/store"
)

const (
	snapshotRecordBytes = 256 // size of each record's value
	concurrentWriters   = 16
	catchUpTimeout      = 60 * time.Second
	catchUpPollInterval = time.Millisecond
	snapshotsDir        = "snapshots" // subdirectory of a member's directory, created by raft's file store
)

// measureSnapshots writes records to a group of one member and measures its snapshots, and the catch-up of new members by
// snapshot.
func measureSnapshots(r *run) error {
	g, err := r.startReplicas("snapshots", 1, 0, true, store.SyncInterval)
	if err != nil {
		return err
	}
	defer g.close()
	held := 0
	for _, size := range []int{100, 300, 1000, 3000, 10000, 30000, 100000} {
		if err := r.writeRecords(g.nodes[0], held, size); err != nil {
			return err
		}
		held = size
		for repetition := range r.Repetitions {
			if err := r.measureSnapshot(g, size); err != nil {
				return err
			}
			if err := r.measureCatchUp(g, size, repetition); err != nil {
				return err
			}
		}
		r.progress("snapshots: %d records", size)
	}
	return nil
}

// writeRecords writes the records with the numbers from (inclusive) to to (exclusive).
func (r *run) writeRecords(n *store.Node, from, to int) error {
	all, ctx := errgroup.WithContext(r.ctx)
	all.SetLimit(concurrentWriters)
	value := make([]byte, snapshotRecordBytes)
	for i := from; i < to; i++ {
		all.Go(func() error {
			putCtx, cancel := context.WithTimeout(ctx, commitTimeout)
			defer cancel()
			_, err := n.Put(putCtx, recordKey(i), value)
			return err
		})
	}
	return all.Wait()
}

func recordKey(i int) string { return fmt.Sprintf("settings/gatekeeper/g%06d/calls", i) }

// measureSnapshot overwrites one record, takes a snapshot, and measures the snapshot's size and duration.
func (r *run) measureSnapshot(g *replicas, size int) error {
	if err := r.writeRecords(g.nodes[0], 0, 1); err != nil { // without a new entry no snapshot is taken
		return err
	}
	started := time.Now()
	if err := g.nodes[0].Compact(); err != nil {
		return err
	}
	elapsed := time.Since(started)
	newest, err := newestDir(filepath.Join(r.dir, g.name, replicaName(0), snapshotsDir))
	if err != nil {
		return err
	}
	bytes, err := dirSize(newest)
	if err != nil {
		return err
	}
	r.add("store.snapshot_bytes", "B", "records of 256 bytes", float64(size), float64(bytes))
	r.add("store.snapshot_time", "us", "records of 256 bytes", float64(size), float64(elapsed.Microseconds()))
	return nil
}

// newestDir returns the most recently modified subdirectory. Snapshots cannot be sorted by name because the index in the name has
// no leading zeros.
func newestDir(dir string) (newest string, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return "", err
	}
	var changed time.Time
	for _, e := range entries {
		info, err := e.Info()
		if err != nil {
			return "", err
		}
		if e.IsDir() && info.ModTime().After(changed) {
			newest, changed = filepath.Join(dir, e.Name()), info.ModTime()
		}
	}
	if newest == "" {
		return "", fmt.Errorf("no snapshot in %s", dir)
	}
	return newest, nil
}

// measureCatchUp adds a non-voter with an empty directory, measures the time until it has every record, and removes it.
func (r *run) measureCatchUp(g *replicas, size, repetition int) error {
	number := 1 + repetition + 100*size
	bytesBefore := g.traffic.bytes.Load()
	started := time.Now()
	if err := g.join(number); err != nil {
		return err
	}
	joined := g.nodes[len(g.nodes)-1]
	err := r.waitUntil(catchUpTimeout, catchUpPollInterval, "the new member has every record", func() bool {
		_, last := joined.Get(recordKey(size - 1))
		return last && joined.Ready()
	})
	if err != nil {
		return err
	}
	r.add("store.catch_up_time", "us", "records of 256 bytes", float64(size), float64(time.Since(started).Microseconds()))
	r.add("store.catch_up_bytes", "B", "records of 256 bytes", float64(size), float64(g.traffic.bytes.Load()-bytesBefore))
	if err := g.changeMember(store.MemberChange{Do: store.MemberRemove, Node: replicaName(number)}); err != nil {
		return err
	}
	g.nodes = g.nodes[:len(g.nodes)-1]
	return joined.Close()
}
