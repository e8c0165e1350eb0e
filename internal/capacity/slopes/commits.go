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
	commitTimeout = 10 * time.Second
	warmUpCommits = 30
	timedCommits  = 150
	recordBytes   = 1000 // size of each written record
	plannedVoters = 5
)

// measureCommits measures the time of sequential writes at the leader and the bytes sent for them, for store groups of several
// sizes.
func measureCommits(r *run) error {
	for _, place := range []struct {
		name   string
		onDisk bool
	}{{"memory", false}, {"disk", true}} {
		for _, voters := range []int{1, 2, 3, 4, 5, 7} {
			if err := r.measureCommitGroup("voters", place.name, voters, 0, place.onDisk); err != nil {
				return err
			}
		}
		for _, nonVoters := range []int{0, 1, 2, 4, 6, 8} {
			if err := r.measureCommitGroup("members", place.name, plannedVoters, nonVoters, place.onDisk); err != nil {
				return err
			}
		}
	}
	return r.measureLogBytes()
}

// measureCommitGroup measures all repetitions of one store group. variant is "voters" or "members".
func (r *run) measureCommitGroup(variant, place string, voters, nonVoters int, onDisk bool) error {
	size := float64(voters + nonVoters)
	group, err := r.startReplicas(fmt.Sprintf("commits-%s-%s-%d-%d", variant, place, voters, nonVoters), voters, nonVoters, onDisk, store.SyncAlways)
	if err != nil {
		return err
	}
	defer group.close()
	leader, err := group.leader()
	if err != nil {
		return err
	}
	if _, err := r.commit(leader, warmUpCommits, recordBytes); err != nil {
		return err
	}
	label := variant
	if variant == "members" {
		label = "members (5 vote)"
	}
	for range r.Repetitions {
		idle, idleReadsBefore := group.traffic.bytes.Load(), group.traffic.reads.Load()
		if err := r.sleep(r.times.idle); err != nil {
			return err
		}
		idleBytesPerS := float64(group.traffic.bytes.Load()-idle) / r.times.idle.Seconds()
		readsPerS := float64(group.traffic.reads.Load()-idleReadsBefore) / r.times.idle.Seconds()
		bytes, cpuBefore, started := group.traffic.bytes.Load(), cpuTime(), time.Now()
		durations, err := r.commit(leader, timedCommits, recordBytes)
		if err != nil {
			return err
		}
		seconds := time.Since(started).Seconds()
		prefix := "store." + place + "." + variant
		r.add(prefix+".commit_p50", "us", label, size, quantile(durations, 0.50))
		r.add(prefix+".commit_p99", "us", label, size, quantile(durations, 0.99))
		if variant == "members" {
			sent := float64(group.traffic.bytes.Load()-bytes) - idleBytesPerS*seconds
			r.add(prefix+".commit_bytes", "B", label, size, max(0, sent/timedCommits))
			r.add(prefix+".commit_processor", "us", label, size, float64((cpuTime()-cpuBefore).Microseconds())/timedCommits)
			r.add(prefix+".idle_bytes", "B/s", label, size, idleBytesPerS)
			r.add(prefix+".idle_messages", "1/s", label, size, readsPerS)
		}
	}
	r.progress("commits: %s, %d voters, %d non-voters", place, voters, nonVoters)
	return nil
}

// commit writes records one after another and returns the duration of each write.
func (r *run) commit(n *store.Node, count, size int) (durations []time.Duration, err error) {
	value := make([]byte, size)
	for i := range value {
		value[i] = byte(i * 7)
	}
	for i := range count {
		ctx, cancel := context.WithTimeout(r.ctx, commitTimeout)
		started := time.Now()
		_, err := n.Put(ctx, fmt.Sprintf("measured/%03d", i%100), value)
		durations = append(durations, time.Since(started))
		cancel()
		if err != nil {
			return nil, err
		}
	}
	return durations, nil
}

// measureLogBytes measures by how many bytes a write extends the log of a member, for several sizes of the record.
func (r *run) measureLogBytes() error {
	const writes = 100
	g, err := r.startReplicas("log-bytes", 1, 0, true, store.SyncInterval)
	if err != nil {
		return err
	}
	defer g.close()
	log := filepath.Join(r.dir, "log-bytes", replicaName(0), "log")
	for _, size := range []int{100, 300, 1000, 3000, 10000} {
		for range r.Repetitions {
			before, err := dirSize(log)
			if err != nil {
				return err
			}
			if _, err := r.commit(g.nodes[0], writes, size); err != nil {
				return err
			}
			after, err := dirSize(log)
			if err != nil {
				return err
			}
			r.add("store.log_bytes", "B", "bytes of a record", float64(size), float64(after-before)/writes)
		}
		r.progress("commits: log, records of %d bytes", size)
	}
	return nil
}

// dirSize returns the total size of the files below a directory.
func dirSize(dir string) (bytes int64, err error) {
	if dir, err = filepath.EvalSymlinks(dir); err != nil { // a walk does not follow a link to its root
		return 0, err
	}
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
