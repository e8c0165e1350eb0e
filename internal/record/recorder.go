package record

import (
	"bytes"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/internal/history"
)

// FS is what a recorder needs of a file system. Tests stand in for it.
type FS interface {
	Create(name string) (io.WriteCloser, error)
	Open(name string) (io.ReadCloser, error)
	Rename(from, to string) error
	Remove(name string) error
	List(dir string) ([]fs.FileInfo, error) // makes the folder if there is none
}

// Disk is the system's own.
type Disk struct{}

// Create implements FS.
func (Disk) Create(name string) (io.WriteCloser, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
}

// Open implements FS.
func (Disk) Open(name string) (io.ReadCloser, error) { return os.Open(name) }

// Rename implements FS.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (Disk) Remove(name string) error { return os.Remove(name) }

// List implements FS.
func (Disk) List(dir string) (list []fs.FileInfo, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	entries, err := os.ReadDir(dir)
	for _, e := range entries {
		if info, err := e.Info(); err == nil { // one that has just been removed has none
			list = append(list, info)
		}
	}
	return list, err
}

// Options say where and how much is recorded.
type Options struct {
	Dir          string
	Node         string
	MaxBytes     int64         // of this gatekeeper's files; the oldest go first. 0: 1 GiB
	MaxAge       time.Duration // of a file since its last record. 0: no bound
	SegmentBytes int64         // bytes of a segment before it is compressed. 0: 8 MiB
	QueueSize    int           // events that wait to be written. 0: 16384
	FS           FS            // nil: the disk
	Log          logrus.FieldLogger
}

// Recorder writes the events of one start of a gatekeeper. Its methods may be called from any goroutine.
type Recorder struct {
	Options
	start uint64

	mu      sync.Mutex
	queue   []history.Event
	seq     uint64
	last    control.Micros
	dropped int64 // since the queue was last found to have room
	since   control.Micros
	off     bool
	closed  bool
	wake    chan struct{}
	hurry   chan struct{} // don't wait for more
	done    chan struct{}
	busy    bool       // a batch is being written
	idle    *sync.Cond // told when one has been

	// Owned by the writing goroutine.
	file    io.WriteCloser
	segment segment
	buf     []byte
	event   bytes.Buffer
	spare   []history.Event
	rules   *history.Rules // as recorded at the start
	calls   string         // version of limits in force
}

// NewRecorder begins the records of a start. Its number is one over the highest in the folder, so two starts in the same second
// are told apart.
func NewRecorder(o Options) (*Recorder, error) {
	if o.MaxBytes <= 0 {
		o.MaxBytes = 1 << 30
	}
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = 8 << 20
	}
	if o.QueueSize <= 0 {
		o.QueueSize = 16384
	}
	if o.FS == nil {
		o.FS = Disk{}
	}
	r := &Recorder{Options: o, wake: make(chan struct{}, 1), hurry: make(chan struct{}, 1), done: make(chan struct{})}
	r.idle = sync.NewCond(&r.mu)
	list, err := o.FS.List(o.Dir)
	if err != nil {
		return nil, err
	}
	for _, info := range list {
		if s, ok := parseName(info.Name()); ok && s.node == fileName(o.Node) {
			r.start = max(r.start, s.start)
		}
	}
	r.start++
	if err := r.open(0); err != nil {
		return nil, err
	}
	go r.write()
	return r, nil
}

// Record takes an event. It never blocks: when the queue is full the event is dropped, and the records say so. Seq is set
// here, and At never goes back within a start.
func (r *Recorder) Record(e history.Event) {
	r.mu.Lock()
	if r.off || r.closed {
		r.mu.Unlock()
		return
	}
	e.At = max(e.At, r.last)
	r.last = e.At
	if len(r.queue) >= r.QueueSize {
		if r.dropped == 0 {
			r.since = e.At
		}
		r.dropped++
		r.seq++
		r.mu.Unlock()
		return
	}
	first := len(r.queue) == 0
	r.mark(e.At)
	r.seq++
	e.Seq = r.seq
	r.queue = append(r.queue, e)
	many := len(r.queue) == max(r.QueueSize/4, 1)
	r.mu.Unlock()
	if first {
		signal(r.wake)
	}
	if many {
		signal(r.hurry)
	}
}

// signal sets a flag that a goroutine waits for.
func signal(flag chan<- struct{}) {
	select {
	case flag <- struct{}{}:
	default:
	}
}

// mark says what was dropped, once there is room again.
func (r *Recorder) mark(now control.Micros) {
	if r.dropped > 0 {
		r.seq++
		r.queue = append(r.queue, history.Event{At: now, Kind: history.Dropped, Seq: r.seq, N: r.dropped, Span: now - r.since})
		r.dropped = 0
	}
}

// Flush returns when all that was recorded before has been written, or can't be.
func (r *Recorder) Flush() {
	signal(r.hurry)
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.queue) > 0 || r.busy {
		r.idle.Wait()
	}
}

// Close writes what waits and ends the recorder.
func (r *Recorder) Close() {
	r.mu.Lock()
	if !r.closed && !r.off {
		r.mark(r.last)
	}
	r.closed = true
	r.mu.Unlock()
	signal(r.wake)
	signal(r.hurry)
	<-r.done
}

// gather is how long the writer waits for more to write at once: a write and a turn of the processor for each event cost
// far more than the event. A process that is killed loses as much.
const gather = 250 * time.Millisecond

// write is the writing goroutine.
func (r *Recorder) write() {
	defer close(r.done)
	for range r.wake {
		select {
		case <-time.After(gather):
		case <-r.hurry:
		}
		for {
			r.mu.Lock()
			batch, closed := r.queue, r.closed
			r.queue = r.spare[:0]
			r.busy = len(batch) > 0
			r.mu.Unlock()
			if len(batch) > 0 {
				if err := r.put(batch); err != nil {
					r.fail(err)
					return
				}
			}
			clear(batch)
			r.spare = batch
			r.mu.Lock()
			r.busy = false
			r.idle.Broadcast()
			r.mu.Unlock()
			if len(batch) == 0 {
				if closed {
					if err := r.file.Close(); err != nil {
						r.fail(err)
					}
					return
				}
				break
			}
		}
	}
}

// fail turns recording off: service goes on without.
func (r *Recorder) fail(err error) {
	r.mu.Lock()
	r.off, r.busy, r.queue = true, false, nil
	r.idle.Broadcast()
	r.mu.Unlock()
	if r.Log != nil {
		r.Log.WithError(err).WithField("dir", r.Dir).Error("records: can't be written, recording is off")
	}
}

func (r *Recorder) put(batch []history.Event) error {
	r.buf = r.buf[:0]
	for i := range batch {
		switch e := &batch[i]; e.Kind {
		case history.Started:
			r.rules, r.calls = e.Rules, e.Name
		case history.Reloaded:
			r.calls = e.Name
		}
		r.event.Reset()
		if err := cbor.MarshalToBuffer(&batch[i], &r.event); err != nil {
			return err
		}
		r.buf = appendFrame(r.buf, r.event.Bytes())
		if len(r.buf) >= 256<<10 {
			if err := r.flush(); err != nil {
				return err
			}
		}
	}
	return r.flush()
}

// flush writes the buffer in one call, so a process that is killed leaves at most one torn record.
func (r *Recorder) flush() error {
	if len(r.buf) == 0 {
		return nil
	}
	n, err := r.file.Write(r.buf)
	r.segment.size += int64(n)
	r.buf = r.buf[:0]
	if err != nil {
		return err
	}
	if r.segment.size >= r.SegmentBytes {
		return r.rotate()
	}
	return nil
}

func (r *Recorder) open(number uint64) error {
	r.segment = segment{node: fileName(r.Node), start: r.start, seq: number}
	f, err := r.FS.Create(filepath.Join(r.Dir, r.segment.name()))
	if err != nil {
		return err
	}
	r.file = f
	top, err := cbor.Marshal(header{Version, r.Node, r.start, number, r.rules, r.calls})
	if err != nil {
		return err
	}
	n, err := f.Write(appendFrame([]byte(magic), top))
	r.segment.size = int64(n)
	return err
}

// rotate compresses the segment that is full, removes what is over the bounds, and begins the next.
func (r *Recorder) rotate() error {
	if err := r.file.Close(); err != nil {
		return err
	}
	full := r.segment
	if err := r.open(full.seq + 1); err != nil {
		return err
	}
	if err := r.compress(full.name()); err != nil {
		return err
	}
	return r.prune()
}

func (r *Recorder) compress(name string) error {
	from := filepath.Join(r.Dir, name)
	in, err := r.FS.Open(from)
	if err != nil {
		return err
	}
	defer in.Close()
	to := from[:len(from)-len(suffix)] + compressed
	out, err := r.FS.Create(to + ".new") // not a segment's name: half of one is never read
	if err != nil {
		return err
	}
	z, err := zstd.NewWriter(out, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(256<<10))
	if err != nil {
		return err
	}
	if _, err = io.Copy(z, in); err == nil {
		err = z.Close()
	}
	if e := out.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = r.FS.Rename(to+".new", to)
	}
	if err == nil {
		err = r.FS.Remove(from)
	}
	return err
}

// prune removes this gatekeeper's oldest files until the others are within the bounds of size and age.
func (r *Recorder) prune() error {
	list, err := r.FS.List(r.Dir)
	if err != nil {
		return err
	}
	type old struct {
		segment
		at time.Time
	}
	var files []old
	total := int64(0)
	for _, info := range list {
		if s, ok := parseName(info.Name()); ok && s.node == r.segment.node && (s.start != r.start || s.seq != r.segment.seq) {
			s.size = info.Size()
			files = append(files, old{s, info.ModTime()})
			total += s.size
		}
	}
	slices.SortFunc(files, func(a, b old) int { return compareSegments(a.segment, b.segment) })
	newest := time.Now()
	for _, f := range files {
		if total <= r.MaxBytes && (r.MaxAge <= 0 || newest.Sub(f.at) <= r.MaxAge) {
			break
		}
		if err := r.FS.Remove(filepath.Join(r.Dir, f.file)); err != nil {
			return fmt.Errorf("old records: %w", err)
		}
		total -= f.size
	}
	return nil
}
