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

// FS is the part of a file system that a recorder uses. Tests replace it.
type FS interface {
	Create(name string) (io.WriteCloser, error)
	Open(name string) (io.ReadCloser, error)
	Rename(from, to string) error
	Remove(name string) error
	List(dir string) ([]fs.FileInfo, error) // creates the folder if it does not exist
}

// Disk is the FS of the operating system.
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
		if info, err := e.Info(); err == nil { // fails for a file that has been removed in the meantime
			list = append(list, info)
		}
	}
	return list, err
}

// Options configure a Recorder. Zero values select the defaults.
type Options struct {
	Dir          string
	Node         string
	MaxBytes     int64         // total size of this gatekeeper's files; the oldest are removed first. 0: 1 GiB
	MaxAge       time.Duration // age of a file since its last record. 0: no limit
	SegmentBytes int64         // size in bytes at which a segment is closed and compressed. 0: 8 MiB
	QueueSize    int           // capacity of the queue of events to write. 0: 16384
	FS           FS            // nil: Disk
	Log          logrus.FieldLogger
}

// Recorder writes the events of one start of a gatekeeper. Its methods are safe for concurrent use.
type Recorder struct {
	Options
	start uint64

	mu           sync.Mutex
	queue        []history.Event
	seq          uint64
	lastAt       control.Micros
	dropped      int64 // events dropped since the queue last had room
	droppedSince control.Micros
	disabled     bool
	closed       bool
	wake         chan struct{}
	flushNow     chan struct{} // ends the wait for a larger batch
	done         chan struct{}
	writing      bool       // a batch is being written
	batchWritten *sync.Cond // signalled when a batch has been written

	// Owned by the writing goroutine.
	file          io.WriteCloser
	segment       segment
	buf           []byte
	eventBuffer   bytes.Buffer
	spareQueue    []history.Event
	rules         *history.Rules // from the Started event
	limitsVersion string         // version of the limits in force
}

// NewRecorder creates a recorder and starts its writing goroutine. The number of the start is one above the highest in the
// folder, so that two starts in the same second are distinguishable.
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
	r := &Recorder{Options: o, wake: make(chan struct{}, 1), flushNow: make(chan struct{}, 1), done: make(chan struct{})}
	r.batchWritten = sync.NewCond(&r.mu)
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
	if err := r.openSegment(0); err != nil {
		return nil, err
	}
	go r.writeLoop()
	return r, nil
}

// Record queues an event for writing. It never blocks: if the queue is full, it drops the event, and a later Dropped event
// reports the number. Record sets Seq, and raises At where needed so that it never decreases within a start.
func (r *Recorder) Record(e history.Event) {
	r.mu.Lock()
	if r.disabled || r.closed {
		r.mu.Unlock()
		return
	}
	e.At = max(e.At, r.lastAt)
	r.lastAt = e.At
	if len(r.queue) >= r.QueueSize {
		if r.dropped == 0 {
			r.droppedSince = e.At
		}
		r.dropped++
		r.seq++
		r.mu.Unlock()
		return
	}
	wasEmpty := len(r.queue) == 0
	r.queueDropped(e.At)
	r.seq++
	e.Seq = r.seq
	r.queue = append(r.queue, e)
	quarterFull := len(r.queue) == max(r.QueueSize/4, 1)
	r.mu.Unlock()
	if wasEmpty {
		signal(r.wake)
	}
	if quarterFull {
		signal(r.flushNow)
	}
}

// signal wakes the goroutine that receives from the channel, without blocking.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// queueDropped queues a Dropped event if events have been dropped since the queue last had room.
func (r *Recorder) queueDropped(now control.Micros) {
	if r.dropped > 0 {
		r.seq++
		r.queue = append(r.queue, history.Event{At: now, Kind: history.Dropped, Seq: r.seq, N: r.dropped, Span: now - r.droppedSince})
		r.dropped = 0
	}
}

// Flush waits until all events recorded before the call have been written, or recording has been disabled.
func (r *Recorder) Flush() {
	signal(r.flushNow)
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.queue) > 0 || r.writing {
		r.batchWritten.Wait()
	}
}

// Close writes the queued events and stops the recorder.
func (r *Recorder) Close() {
	r.mu.Lock()
	if !r.closed && !r.disabled {
		r.queueDropped(r.lastAt)
	}
	r.closed = true
	r.mu.Unlock()
	signal(r.wake)
	signal(r.flushNow)
	<-r.done
}

// batchDelay is how long the writer collects events into one batch: a system call and a context switch for each event would
// cost far more than the event itself. A killed process loses the events of up to this time.
const batchDelay = 250 * time.Millisecond

// writeLoop runs the writing goroutine until the recorder is closed or a write fails.
func (r *Recorder) writeLoop() {
	defer close(r.done)
	for range r.wake {
		select {
		case <-time.After(batchDelay):
		case <-r.flushNow:
		}
		for {
			r.mu.Lock()
			batch, closed := r.queue, r.closed
			r.queue = r.spareQueue[:0]
			r.writing = len(batch) > 0
			r.mu.Unlock()
			if len(batch) > 0 {
				if err := r.writeBatch(batch); err != nil {
					r.disable(err)
					return
				}
			}
			clear(batch)
			r.spareQueue = batch
			r.mu.Lock()
			r.writing = false
			r.batchWritten.Broadcast()
			r.mu.Unlock()
			if len(batch) == 0 {
				if closed {
					if err := r.file.Close(); err != nil {
						r.disable(err)
					}
					return
				}
				break
			}
		}
	}
}

// disable disables recording after an error; the gatekeeper continues to serve without it.
func (r *Recorder) disable(err error) {
	r.mu.Lock()
	r.disabled, r.writing, r.queue = true, false, nil
	r.batchWritten.Broadcast()
	r.mu.Unlock()
	if r.Log != nil {
		r.Log.WithError(err).WithField("dir", r.Dir).Error("records: cannot write, recording is disabled")
	}
}

// writeBatch encodes a batch of events and writes it.
func (r *Recorder) writeBatch(batch []history.Event) error {
	r.buf = r.buf[:0]
	for i := range batch {
		switch e := &batch[i]; e.Kind {
		case history.Started:
			r.rules, r.limitsVersion = e.Rules, e.Name
		case history.Reloaded:
			r.limitsVersion = e.Name
		}
		r.eventBuffer.Reset()
		if err := cbor.MarshalToBuffer(&batch[i], &r.eventBuffer); err != nil {
			return err
		}
		r.buf = appendFrame(r.buf, r.eventBuffer.Bytes())
		if len(r.buf) >= 256<<10 {
			if err := r.flushBuffer(); err != nil {
				return err
			}
		}
	}
	return r.flushBuffer()
}

// flushBuffer writes the buffer in one system call, so that a killed process leaves at most one incomplete record.
func (r *Recorder) flushBuffer() error {
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

// openSegment creates a segment and writes its header.
func (r *Recorder) openSegment(number uint64) error {
	r.segment = segment{node: fileName(r.Node), start: r.start, seq: number}
	f, err := r.FS.Create(filepath.Join(r.Dir, r.segment.name()))
	if err != nil {
		return err
	}
	r.file = f
	encodedHeader, err := cbor.Marshal(header{Version, r.Node, r.start, number, r.rules, r.limitsVersion})
	if err != nil {
		return err
	}
	n, err := f.Write(appendFrame([]byte(magic), encodedHeader))
	r.segment.size = int64(n)
	return err
}

// rotate starts the next segment, compresses the full one, and removes old files that exceed the limits.
func (r *Recorder) rotate() error {
	if err := r.file.Close(); err != nil {
		return err
	}
	full := r.segment
	if err := r.openSegment(full.seq + 1); err != nil {
		return err
	}
	if err := r.compress(full.name()); err != nil {
		return err
	}
	return r.prune()
}

// compress replaces a segment by its compressed form.
func (r *Recorder) compress(name string) error {
	from := filepath.Join(r.Dir, name)
	in, err := r.FS.Open(from)
	if err != nil {
		return err
	}
	defer in.Close()
	to := from[:len(from)-len(segmentSuffix)] + compressedSuffix
	out, err := r.FS.Create(to + ".new") // not the name of a segment, so readers ignore an incomplete one
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

// prune removes this gatekeeper's oldest files until the rest is within the limits of size and age.
func (r *Recorder) prune() error {
	list, err := r.FS.List(r.Dir)
	if err != nil {
		return err
	}
	type oldFile struct {
		segment
		at time.Time
	}
	var files []oldFile
	total := int64(0)
	for _, info := range list {
		if s, ok := parseName(info.Name()); ok && s.node == r.segment.node && (s.start != r.start || s.seq != r.segment.seq) {
			s.size = info.Size()
			files = append(files, oldFile{s, info.ModTime()})
			total += s.size
		}
	}
	slices.SortFunc(files, func(a, b oldFile) int { return compareSegments(a.segment, b.segment) })
	newest := time.Now()
	for _, f := range files {
		if total <= r.MaxBytes && (r.MaxAge <= 0 || newest.Sub(f.at) <= r.MaxAge) {
			break
		}
		if err := r.FS.Remove(filepath.Join(r.Dir, f.file)); err != nil {
			return fmt.Errorf("removing old records: %w", err)
		}
		total -= f.size
	}
	return nil
}
