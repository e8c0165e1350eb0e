package slopes

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"beammux/internal/store"
)

const (
	commitWithin  = 10 * time.Second
	commitsWarm   = 30
	commitsTimed  = 150
	commitBytes   = 1000 // of a record that is written
	votersPlanned = 5
)

// measureCommits times writes at the leader, one after another, of groups of several sizes, and counts what they send.
func measureCommits(r *run) error {
	for _, place := range []struct {
		name   string
		onDisk bool
	}{{"memory", false}, {"disk", true}} {
		for _, voters := range []int{1, 2, 3, 4, 5, 7} {
			if err := r.commitsOf("voters", place.name, voters, 0, place.onDisk); err != nil {
				return err
			}
		}
		for _, nonVoters := range []int{0, 1, 2, 4, 6, 8} {
			if err := r.commitsOf("members", place.name, votersPlanned, nonVoters, place.onDisk); err != nil {
				return err
			}
		}
	}
	return r.logBytes()
}

// commitsOf measures one group, all repetitions.
func (r *run) commitsOf(of, place string, voters, nonVoters int, onDisk bool) error {
	size := float64(voters + nonVoters)
	g, err := r.startReplicas(fmt.Sprintf("commits-%s-%s-%d-%d", of, place, voters, nonVoters), voters, nonVoters, onDisk, store.SyncAlways)
	if err != nil {
		return err
	}
	defer g.close()
	leader, err := g.leader()
	if err != nil {
		return err
	}
	if _, err := r.commit(leader, commitsWarm, commitBytes); err != nil {
		return err
	}
	label := of
	if of == "members" {
		label = "members (5 vote)"
	}
	for range r.Repetitions {
		idle, idleReads := g.traffic.bytes.Load(), g.traffic.reads.Load()
		if err := r.pause(r.times.idle); err != nil {
			return err
		}
		idlePerS := float64(g.traffic.bytes.Load()-idle) / r.times.idle.Seconds()
		readsPerS := float64(g.traffic.reads.Load()-idleReads) / r.times.idle.Seconds()
		bytes, processor, began := g.traffic.bytes.Load(), processorTime(), time.Now()
		took, err := r.commit(leader, commitsTimed, commitBytes)
		if err != nil {
			return err
		}
		length := time.Since(began).Seconds()
		prefix := "store." + place + "." + of
		r.add(prefix+".commit_p50", "us", label, size, quantile(took, 0.50))
		r.add(prefix+".commit_p99", "us", label, size, quantile(took, 0.99))
		if of == "members" {
			sent := float64(g.traffic.bytes.Load()-bytes) - idlePerS*length
			r.add(prefix+".commit_bytes", "B", label, size, max(0, sent/commitsTimed))
			r.add(prefix+".commit_processor", "us", label, size, float64((processorTime()-processor).Microseconds())/commitsTimed)
			r.add(prefix+".idle_bytes", "B/s", label, size, idlePerS)
			r.add(prefix+".idle_messages", "1/s", label, size, readsPerS)
		}
	}
	r.progress("commits: %s, %d voters, %d non-voters", place, voters, nonVoters)
	return nil
}

// commit writes one record after another and gives the time of each write.
func (r *run) commit(n *store.Node, count, size int) (took []time.Duration, err error) {
	value := make([]byte, size)
	for i := range value {
		value[i] = byte(i * 7)
	}
	for i := range count {
		ctx, cancel := context.WithTimeout(r.ctx, commitWithin)
		began := time.Now()
		_, err := n.Put(ctx, fmt.Sprintf("measured/%03d", i%100), value)
		took = append(took, time.Since(began))
		cancel()
		if err != nil {
			return nil, err
		}
	}
	return took, nil
}

// logBytes measures what a write adds to one member's log, by the size of the record.
func (r *run) logBytes() error {
	const writes = 100
	g, err := r.startReplicas("log-bytes", 1, 0, true, store.SyncInterval)
	if err != nil {
		return err
	}
	defer g.close()
	log := filepath.Join(r.dir, "log-bytes", replicaName(0), "log")
	for _, size := range []int{100, 300, 1000, 3000, 10000} {
		for range r.Repetitions {
			before, err := sizeOf(log)
			if err != nil {
				return err
			}
			if _, err := r.commit(g.nodes[0], writes, size); err != nil {
				return err
			}
			after, err := sizeOf(log)
			if err != nil {
				return err
			}
			r.add("store.log_bytes", "B", "bytes of a record", float64(size), float64(after-before)/writes)
		}
		r.progress("commits: log, records of %d bytes", size)
	}
	return nil
}

// sizeOf adds up the files below a folder.
func sizeOf(dir string) (bytes int64, err error) {
	err = filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		info, err := os.Stat(path)
		if err == nil {
			bytes += info.Size()
		}
		return err
	})
	return bytes, err
}
