package journal

import (
	"bytes"
	"errors"
	"path/filepath"
	"sync"
	"time"
)

// Options say how a journal is kept.
type Options struct {
	Dir     string
	FS      FS            // nil: the disk
	Every   time.Duration // 0: synced before each write returns; else so often, votes and terms always
	Segment int64         // bytes of a segment; 0: 4 MiB
}

// Journal implements raft.LogStore and raft.StableStore. After a write failed all further ones do: what the file holds is
// not known then.
type Journal struct {
	Options

	mu       sync.Mutex
	entries  map[uint64]entry
	low      uint64 // first and last index held, 0 if none
	high     uint64
	front    uint64
	stable   map[string][]byte
	segments []*segment
	file     File
	dirty    bool // something is not synced
	failed   error
	stop     chan struct{}
	done     chan struct{}
	buf      bytes.Buffer

	// Cut is how many bytes a torn end had that Open cut off.
	Cut int64
}

// errFailed is given after a write has failed.
var errFailed = errors.New("store: an earlier write failed, nothing more is written")

// Open reads a journal. The end of one that was torn by a crash is cut off: what was never synced is lost, and nothing else.
// What had been synced and can't be read is a *DamageError.
func Open(o Options) (*Journal, error) {
	j, err := read(o)
	if err != nil {
		return nil, err
	}
	if err := j.resume(); err != nil {
		return nil, err
	}
	if j.Every > 0 {
		j.stop, j.done = make(chan struct{}), make(chan struct{})
		go j.syncing()
	}
	return j, nil
}

// resume makes the files ready to be added to: a torn end is cut off, and the first segment is made.
func (j *Journal) resume() error {
	if len(j.segments) == 0 {
		return j.begin(1)
	}
	s := j.segments[len(j.segments)-1]
	name := filepath.Join(j.Dir, s.name())
	if s.size == 0 { // its head was torn
		if err := j.FS.Remove(name); err != nil {
			return err
		}
		j.segments = j.segments[:len(j.segments)-1]
		return j.begin(s.number)
	}
	if j.Cut > 0 {
		if err := j.FS.Truncate(name, s.size); err != nil {
			return err
		}
	}
	f, err := j.FS.Append(name)
	if err != nil {
		return err
	}
	// What the last process wrote and did not sync may be in the system's memory alone.
	if err := f.Sync(); err != nil {
		return err
	}
	j.file = f
	return nil
}

// begin starts a segment with a checkpoint, and syncs it: what comes later is written after that.
func (j *Journal) begin(number uint64) error {
	s := &segment{number: number}
	name := filepath.Join(j.Dir, s.name())
	f, err := j.FS.Append(name)
	if err != nil {
		return err
	}
	text := append([]byte(magic), Version)
	c := change{Front: j.front, Set: j.stable, All: true}
	if n := len(j.segments); n > 0 {
		c.Before = j.segments[n-1].size
	}
	text, err = j.append(text, c, 0)
	if err != nil {
		return err
	}
	if _, err := f.Write(text); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	if err := j.FS.SyncDir(j.Dir); err != nil {
		return err
	}
	s.size = int64(len(text))
	j.segments = append(j.segments, s)
	j.file, j.dirty = f, false
	return nil
}

// write makes one change, on file first. It is safe when write returns, or with Every and not now, when it is next synced.
func (j *Journal) write(c change, now bool) error {
	if j.failed != nil {
		return errFailed
	}
	err := j.put(c, now)
	if err != nil {
		j.failed = err
		return err
	}
	j.apply(c)
	return nil
}

func (j *Journal) put(c change, now bool) error {
	s := j.segments[len(j.segments)-1]
	if s.size >= j.Segment {
		if err := j.rotate(); err != nil {
			return err
		}
		s = j.segments[len(j.segments)-1]
	}
	flags := byte(synced)
	if j.dirty {
		flags = 0
	}
	text, err := j.append(nil, c, flags)
	if err != nil {
		return err
	}
	n, err := j.file.Write(text)
	s.size += int64(n)
	j.dirty = true
	if err != nil {
		return err
	}
	if len(c.Entries) > 0 {
		s.high = max(s.high, c.Entries[len(c.Entries)-1].Index)
	}
	if j.Every == 0 || now {
		return j.sync()
	}
	return nil
}

func (j *Journal) sync() error {
	if err := j.file.Sync(); err != nil {
		return err
	}
	j.dirty = false
	return nil
}

// rotate begins the next segment.
func (j *Journal) rotate() error {
	if err := j.sync(); err != nil {
		return err
	}
	if err := j.file.Close(); err != nil {
		return err
	}
	if err := j.begin(j.segments[len(j.segments)-1].number + 1); err != nil {
		return err
	}
	return j.prune()
}

// prune removes the segments at the beginning whose entries are all void. What makes them so has been synced.
func (j *Journal) prune() error {
	removed := false
	for len(j.segments) > 1 && j.segments[0].high < j.front {
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

// syncing is the goroutine of a journal that is synced now and then.
func (j *Journal) syncing() {
	defer close(j.done)
	tick := time.NewTicker(j.Every)
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
