package journal

import (
	"bytes"
	"errors"
	"path/filepath"
	"sync"
	"time"
)

// Options configures a journal.
type Options struct {
	Dir         string
	FS          FS            // nil: Disk
	SyncEvery   time.Duration // interval of syncs; 0: sync before each write returns, as votes and terms always are
	SegmentSize int64         // bytes after which a new segment is started; 0: 4 MiB
}

// Journal implements raft.LogStore and raft.StableStore. After a failed write all further writes fail, because the content of
// the file is unknown.
type Journal struct {
	Options

	mu        sync.Mutex
	entries   map[uint64]entry
	first     uint64 // first index held, 0 if none
	last      uint64 // last index held, 0 if none
	firstKept uint64 // entries before this index are removed
	stable    map[string][]byte
	segments  []*segment
	file      File  // the last segment
	dirty     bool  // the file has unsynced data
	failed    error // set once a write or sync has failed, or on Close
	stop      chan struct{}
	done      chan struct{}
	buf       bytes.Buffer // for encoding

	// TruncatedBytes is the number of bytes of an incomplete write that Open removed from the end.
	TruncatedBytes int64
}

// errFailed is returned by all writes after a failed one.
var errFailed = errors.New("store: an earlier write failed; the journal accepts no more writes")

// Open opens a journal, and creates it if it does not exist. An incomplete write at the end, left by a crash, is removed: only
// data that was never synced is lost. If synced data can't be read, the error is a *DamageError.
func Open(o Options) (*Journal, error) {
	j, err := read(o)
	if err != nil {
		return nil, err
	}
	if err := j.resume(); err != nil {
		return nil, err
	}
	if j.SyncEvery > 0 {
		j.stop, j.done = make(chan struct{}), make(chan struct{})
		go j.syncPeriodically()
	}
	return j, nil
}

// resume prepares the files for appending: it removes an incomplete write at the end and creates the first segment.
func (j *Journal) resume() error {
	if len(j.segments) == 0 {
		return j.createSegment(1)
	}
	s := j.segments[len(j.segments)-1]
	name := filepath.Join(j.Dir, s.name())
	if s.size == 0 { // not even its checkpoint is complete
		if err := j.FS.Remove(name); err != nil {
			return err
		}
		j.segments = j.segments[:len(j.segments)-1]
		return j.createSegment(s.number)
	}
	if j.TruncatedBytes > 0 {
		if err := j.FS.Truncate(name, s.size); err != nil {
			return err
		}
	}
	f, err := j.FS.Append(name)
	if err != nil {
		return err
	}
	// Data that the previous process wrote without syncing may still be in the page cache only.
	if err := f.Sync(); err != nil {
		return err
	}
	j.file = f
	return nil
}

// createSegment creates a segment with a checkpoint and syncs it before anything else is written to it.
func (j *Journal) createSegment(number uint64) error {
	s := &segment{number: number}
	name := filepath.Join(j.Dir, s.name())
	f, err := j.FS.Append(name)
	if err != nil {
		return err
	}
	data := append([]byte(magic), Version)
	c := change{TruncateBefore: j.firstKept, Set: j.stable, Checkpoint: true}
	if n := len(j.segments); n > 0 {
		c.PreviousSize = j.segments[n-1].size
	}
	data, err = j.append(data, c, 0)
	if err != nil {
		return err
	}
	if _, err := f.Write(data); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	if err := j.FS.SyncDir(j.Dir); err != nil {
		return err
	}
	s.size = int64(len(data))
	j.segments = append(j.segments, s)
	j.file, j.dirty = f, false
	return nil
}

// write writes one change to the file and applies it in memory. The change is durable when write returns, or, with
// SyncEvery and without syncNow, after the next sync.
func (j *Journal) write(c change, syncNow bool) error {
	if j.failed != nil {
		return errFailed
	}
	err := j.appendChange(c, syncNow)
	if err != nil {
		j.failed = err
		return err
	}
	j.apply(c)
	return nil
}

// appendChange appends a change to the current segment, and starts a new segment first if that is full.
func (j *Journal) appendChange(c change, syncNow bool) error {
	s := j.segments[len(j.segments)-1]
	if s.size >= j.SegmentSize {
		if err := j.rotate(); err != nil {
			return err
		}
		s = j.segments[len(j.segments)-1]
	}
	flags := byte(synced)
	if j.dirty {
		flags = 0
	}
	data, err := j.append(nil, c, flags)
	if err != nil {
		return err
	}
	n, err := j.file.Write(data)
	s.size += int64(n)
	j.dirty = true
	if err != nil {
		return err
	}
	if len(c.Entries) > 0 {
		s.lastIndex = max(s.lastIndex, c.Entries[len(c.Entries)-1].Index)
	}
	if j.SyncEvery == 0 || syncNow {
		return j.sync()
	}
	return nil
}

// sync syncs the current segment.
func (j *Journal) sync() error {
	if err := j.file.Sync(); err != nil {
		return err
	}
	j.dirty = false
	return nil
}

// rotate closes the current segment, starts the next one, and removes segments that are no longer needed.
func (j *Journal) rotate() error {
	if err := j.sync(); err != nil {
		return err
	}
	if err := j.file.Close(); err != nil {
		return err
	}
	if err := j.createSegment(j.segments[len(j.segments)-1].number + 1); err != nil {
		return err
	}
	return j.prune()
}

// prune removes leading segments that hold no entries from firstKept on. The change that set firstKept has been synced.
func (j *Journal) prune() error {
	removed := false
	for len(j.segments) > 1 && j.segments[0].lastIndex < j.firstKept {
		if err := j.FS.Remove(filepath.Join(j.Dir, j.segments[0].name())); err != nil {
			return err
		}
		j.segments = j.segments[1:]
		removed = true
	}
	if !removed {
		return nil
	}
	return j.FS.SyncDir(j.Dir)
}

// syncPeriodically syncs the journal at the interval SyncEvery until Close.
func (j *Journal) syncPeriodically() {
	defer close(j.done)
	tick := time.NewTicker(j.SyncEvery)
	defer tick.Stop()
	for {
		select {
		case <-j.stop:
			return
		case <-tick.C:
			j.mu.Lock()
			if j.dirty && j.failed == nil {
				j.failed = j.sync()
			}
			j.mu.Unlock()
		}
	}
}

// Close syncs and closes the journal.
func (j *Journal) Close() error {
	if j.stop != nil {
		close(j.stop)
		<-j.done
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failed != nil {
		return errors.Join(j.failed, j.file.Close())
	}
	err := j.sync()
	j.failed = errors.New("store: the journal is closed")
	return errors.Join(err, j.file.Close())
}
