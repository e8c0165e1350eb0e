package journal

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// faultyFS is an in-memory file system that fails or simulates a crash at one step. It tracks which data has been synced.
type faultyFS struct {
	files        map[string]*content
	durableNames map[string]bool // files in the folder when it was last synced
	step         int             // steps so far
	faultStep    int             // step at which the fault occurs; 0: none
	kind         fault
}

// content is the content of a file.
type content struct {
	data   []byte
	synced int // bytes that have been synced
}

// fault is the way in which a step fails.
type fault int

const (
	crash      fault = iota // the process ends before the step
	shortWrite              // half of the data is written, and the process ends
	fullDisk                // half of the data is written, and an error is returned
	syncError               // an error is returned, and nothing is synced
	lostSync                // nothing is synced, and no error is returned
	readError
)

var errFault = errors.New("input/output error")

// crashed is the panic value of a simulated crash.
type crashed struct{}

func newFaultyFS() *faultyFS {
	return &faultyFS{files: map[string]*content{}, durableNames: map[string]bool{}}
}

// nextStep counts a step and reports whether it fails with one of the given faults. It panics if the fault is a crash.
func (f *faultyFS) nextStep(kinds ...fault) bool {
	f.step++
	if f.step != f.faultStep {
		return false
	}
	if f.kind == crash {
		panic(crashed{})
	}
	return slices.Contains(kinds, f.kind)
}

// faultyFile is a file of a faultyFS.
type faultyFile struct {
	fs   *faultyFS
	name string
}

func (f *faultyFS) Append(name string) (File, error) {
	f.nextStep()
	if f.files[name] == nil {
		f.files[name] = &content{}
	}
	return faultyFile{f, name}, nil
}

func (w faultyFile) Write(b []byte) (int, error) {
	c := w.fs.files[w.name]
	if w.fs.nextStep(shortWrite, fullDisk) {
		c.data = append(c.data, b[:len(b)/2]...)
		if w.fs.kind == shortWrite {
			panic(crashed{})
		}
		return len(b) / 2, errFault
	}
	c.data = append(c.data, b...)
	return len(b), nil
}

func (w faultyFile) Sync() error {
	if w.fs.nextStep(syncError, lostSync) {
		if w.fs.kind == lostSync {
			return nil
		}
		return errFault
	}
	c := w.fs.files[w.name]
	c.synced = len(c.data)
	return nil
}

func (w faultyFile) Close() error { return nil }

func (f *faultyFS) Read(name string) ([]byte, error) {
	if f.nextStep(readError) {
		return nil, errFault
	}
	if f.files[name] == nil {
		return nil, fs.ErrNotExist
	}
	return bytes.Clone(f.files[name].data), nil
}

func (f *faultyFS) List(string) (names []string, err error) {
	f.nextStep()
	for name := range f.files {
		names = append(names, filepath.Base(name))
	}
	slices.Sort(names)
	return names, nil
}

func (f *faultyFS) Remove(name string) error {
	f.nextStep()
	delete(f.files, name)
	return nil
}

func (f *faultyFS) Truncate(name string, size int64) error {
	f.nextStep()
	c := f.files[name]
	c.data = c.data[:size]
	c.synced = int(size)
	return nil
}

func (f *faultyFS) SyncDir(string) error {
	f.nextStep()
	f.durableNames = map[string]bool{}
	for name := range f.files {
		f.durableNames[name] = true
	}
	return nil
}

// afterPowerFailure returns a possible state of the files after a power failure. Depending on the variant, none, half or
// all of the unsynced data is left, or all of it with a corrupted start, and files whose directory entry was not synced exist or
// not.
func (f *faultyFS) afterPowerFailure(variant int) *faultyFS {
	next := newFaultyFS()
	for name, c := range f.files {
		if !f.durableNames[name] && variant%2 == 1 {
			continue
		}
		tail := c.data[c.synced:]
		data := bytes.Clone(c.data[:c.synced])
		switch variant / 2 {
		case 1:
			data = append(data, tail[:len(tail)/2]...)
		case 2:
			data = append(data, tail...)
		case 3:
			data = append(data, tail...)
			for i := c.synced; i < min(c.synced+8, len(data)); i++ {
				data[i] = 0
			}
		}
		next.files[name] = &content{data, len(data)}
		next.durableNames[name] = true
	}
	return next
}

// variants is the number of variants of faultyFS.afterPowerFailure.
const variants = 8

// state returns the content of a journal as text.
func state(j *Journal) string {
	var b strings.Builder
	first, _ := j.FirstIndex()
	last, _ := j.LastIndex()
	fmt.Fprintf(&b, "%d-%d:", first, last)
	for i := first; i > 0 && i <= last; i++ {
		var l raft.Log
		if err := j.GetLog(i, &l); err != nil {
			return err.Error()
		}
		fmt.Fprintf(&b, " %d/%d/%s", l.Index, l.Term, l.Data)
	}
	for _, k := range []string{"CurrentTerm", "vote"} {
		v, _ := j.Get([]byte(k))
		fmt.Fprintf(&b, " %s=%x", k, v)
	}
	return b.String()
}

// logs returns log entries of a term with the indexes from to to.
func logs(term uint64, from, to uint64) (list []*raft.Log) {
	for i := from; i <= to; i++ {
		list = append(list, &raft.Log{Index: i, Term: term, Type: raft.LogCommand, Data: fmt.Appendf(nil, "entry %d of term %d", i, term)})
	}
	return list
}

// script returns the steps of a member's life: votes, entries, a conflict that deletes entries, and compactions over several
// segments.
func script() (steps []func(*Journal) error) {
	add := func(f func(*Journal) error) { steps = append(steps, f) }
	add(func(j *Journal) error { return j.SetUint64([]byte("CurrentTerm"), 1) })
	for i := range uint64(6) {
		add(func(j *Journal) error { return j.StoreLogs(logs(1, 3*i+1, 3*i+3)) })
	}
	add(func(j *Journal) error { return j.Set([]byte("vote"), []byte("b")) })
	add(func(j *Journal) error { return j.SetUint64([]byte("CurrentTerm"), 2) })
	add(func(j *Journal) error { return j.DeleteRange(15, 18) })
	add(func(j *Journal) error { return j.StoreLogs(logs(2, 15, 16)) })
	add(func(j *Journal) error { return j.DeleteRange(1, 9) })
	for i := range uint64(6) {
		add(func(j *Journal) error { return j.StoreLogs(logs(2, 2*i+17, 2*i+18)) })
	}
	add(func(j *Journal) error { return j.DeleteRange(10, 28) }) // all entries, as when a snapshot is installed
	for i := range uint64(8) {
		add(func(j *Journal) error { return j.StoreLogs(logs(3, 2*i+40, 2*i+41)) })
	}
	return steps
}

func options(f FS, every time.Duration) Options {
	return Options{Dir: "d", FS: f, SegmentSize: 400, SyncEvery: every}
}

// run executes the script until a step fails or a crash occurs. It returns the acknowledged states, and how many of them a sync
// has made durable.
func run(f *faultyFS, every time.Duration) (states []string, durable int) {
	defer func() {
		if p := recover(); p != nil {
			if _, ok := p.(crashed); !ok {
				panic(p)
			}
		}
	}()
	states, durable = []string{"0-0: CurrentTerm= vote="}, 1
	j, err := Open(options(f, every))
	if err != nil {
		return states, durable
	}
	if j.stop != nil { // run calls sync itself, so that runs are deterministic
		close(j.stop)
		<-j.done
		j.stop = nil
	}
	states[0] = state(j)
	for i, step := range script() {
		if err := step(j); err != nil {
			return states, durable
		}
		states = append(states, state(j))
		if every == 0 || !j.dirty {
			durable = len(states)
		} else if i%3 == 2 {
			j.mu.Lock()
			err := j.sync()
			j.mu.Unlock()
			if err != nil {
				return states, durable
			}
			durable = len(states)
		}
	}
	return states, durable
}

// statesWithoutFault returns the states of a run without faults.
func statesWithoutFault(t *testing.T) []string {
	f := newFaultyFS()
	states, _ := run(f, 0)
	if len(states) != len(script())+1 || f.step < 60 || len(f.files) < 2 {
		t.Fatalf("%d states, %d steps, %d files", len(states), f.step, len(f.files))
	}
	return states
}

// For a crash or any other fault at every step of a run, and for every possible state of the files after it: the reopened
// journal has exactly the state of an acknowledged prefix that includes all durable changes, or of one more complete change.
func TestEveryCrashPoint(t *testing.T) {
	all := statesWithoutFault(t)
	for _, every := range []time.Duration{0, time.Hour} {
		opened, rejected := 0, 0
		for _, kind := range []fault{crash, shortWrite, fullDisk, syncError, lostSync} {
			for faultStep := 1; ; faultStep++ {
				f := newFaultyFS()
				f.faultStep, f.kind = faultStep, kind
				states, durable := run(f, every)
				if f.step < faultStep {
					break // the run ended before the step
				}
				if kind == lostSync {
					durable = 0 // nothing is guaranteed to be durable, but the state must still be a prefix
				}
				for variant := range variants {
					remaining := f.afterPowerFailure(variant)
					j, err := Open(options(remaining, every))
					var damage *DamageError
					if kind == lostSync && errors.As(err, &damage) {
						rejected++ // synced data is missing: the journal is rejected, not silently wrong
						continue
					}
					if err != nil {
						t.Fatalf("every %v, fault %d at step %d, variant %d: %v", every, kind, faultStep, variant, err)
					}
					opened++
					got := state(j)
					last := min(len(states)+1, len(all)) // the change in progress may have been completed
					if i := slices.Index(all[:last], got); i < 0 || i < durable-1 {
						t.Fatalf("every %v, fault %d at step %d, variant %d: reopened with\n%s\nwhich is state %d; %d acknowledged, %d safe",
							every, kind, faultStep, variant, got, i, len(states), durable)
					}
					if err := j.StoreLogs(logs(9, 100, 100)); err != nil { // the reopened journal accepts writes
						t.Fatal(err)
					}
					j.Close()
					again, err := Open(options(remaining, every))
					if err != nil {
						t.Fatal(err)
					}
					if last, _ := again.LastIndex(); last != 100 {
						t.Fatalf("after another write: %s", state(again))
					}
					again.Close()
				}
			}
		}
		t.Logf("every %v: reopened %d times, rejected %d times after a lost sync", every, opened, rejected)
		if opened < 2000 {
			t.Errorf("only %d reopened", opened)
		}
	}
}

// After a failed write nothing more is written, because the content of the file is unknown.
func TestNoWriteAfterFailedWrite(t *testing.T) {
	f := newFaultyFS()
	j, err := Open(options(f, 0))
	if err != nil {
		t.Fatal(err)
	}
	f.faultStep, f.kind = f.step+1, fullDisk
	if err := j.StoreLogs(logs(1, 1, 1)); !errors.Is(err, errFault) {
		t.Error(err)
	}
	size := len(f.files["d/0000000000000001.journal"].data)
	if err := j.StoreLogs(logs(1, 1, 1)); err != errFailed || len(f.files["d/0000000000000001.journal"].data) != size {
		t.Error(err)
	}
}

// A read error is returned as it is, not as a *DamageError.
func TestReadError(t *testing.T) {
	f := newFaultyFS()
	run(f, 0)
	f.step, f.faultStep, f.kind = 0, 2, readError
	if _, err := Open(options(f, 0)); !errors.Is(err, errFault) {
		t.Error(err)
	}
}

// A flipped bit in any synced byte is detected: the journal is rejected with file and offset, unless the byte is in the last
// frame, which then looks like an incomplete write.
func TestFlippedByte(t *testing.T) {
	f := newFaultyFS()
	run(f, 0)
	all := statesWithoutFault(t)
	rejected := 0
	for name, c := range f.files {
		for offset := range c.data {
			damaged := f.afterPowerFailure(4)
			damaged.files[name].data[offset] ^= 0x40
			j, err := Open(options(damaged, 0))
			var damage *DamageError
			switch {
			case errors.As(err, &damage):
				rejected++
				if !strings.Contains(err.Error(), filepath.Base(name)) || strings.Contains(err.Error(), "\n") || damage.Offset > int64(offset) {
					t.Errorf("%s, byte %d: %v", name, offset, err)
				}
			case err != nil:
				t.Errorf("%s, byte %d: %v", name, offset, err)
			case !slices.Contains(all, state(j)):
				t.Errorf("%s, byte %d: silently wrong: %s", name, offset, state(j))
			}
		}
	}
	if rejected < 500 {
		t.Errorf("only %d rejected", rejected)
	}
}

func TestMissingSegmentAndOtherVersions(t *testing.T) {
	f := newFaultyFS()
	run(f, 0)
	names, _ := f.List("")
	if len(names) < 2 {
		t.Fatal(names)
	}
	// A missing middle segment that holds entries is detected.
	g := newFaultyFS()
	j, _ := Open(options(g, 0))
	for i := range uint64(20) {
		j.StoreLogs(logs(1, i+1, i+1))
	}
	middle, _ := g.List("")
	delete(g.files, filepath.Join("d", middle[1]))
	var damage *DamageError
	if _, err := Open(options(g, 0)); !errors.As(err, &damage) || !strings.Contains(err.Error(), "missing") {
		t.Error(err)
	}
	g = newFaultyFS()
	Open(options(g, 0))
	g.files["d/0000000000000001.journal"].data[len(magic)] = 2
	if _, err := Open(options(g, 0)); !errors.As(err, &damage) || !strings.Contains(err.Error(), "version 2") {
		t.Error(err)
	}
}

// On a real disk: all writes are there when the journal is reopened without having been closed.
func TestDisk(t *testing.T) {
	dir := t.TempDir()
	j, err := Open(Options{Dir: dir, SegmentSize: 2000})
	if err != nil {
		t.Fatal(err)
	}
	for i := range uint64(100) {
		if err := j.StoreLogs(logs(1, i+1, i+1)); err != nil {
			t.Fatal(err)
		}
		if i%30 == 29 {
			if err := j.DeleteRange(1, i-5); err != nil {
				t.Fatal(err)
			}
		}
	}
	before := state(j)
	again, err := Open(Options{Dir: dir, SegmentSize: 2000})
	if err != nil || state(again) != before {
		t.Errorf("%v\n%s\nwant %s", err, state(again), before)
	}
	entries, _ := os.ReadDir(dir)
	if len(entries) > 6 {
		t.Errorf("%d segments are kept", len(entries))
	}
	if s, err := Verify(dir, nil); err != nil || s.Last != 100 || s.Segments != len(entries) {
		t.Errorf("%+v, %v", s, err)
	}
}

func BenchmarkAppend(b *testing.B) {
	for name, every := range map[string]time.Duration{"always": 0, "interval": 100 * time.Millisecond} {
		b.Run(name, func(b *testing.B) {
			j, err := Open(Options{Dir: b.TempDir(), SyncEvery: every})
			if err != nil {
				b.Fatal(err)
			}
			defer j.Close()
			data := bytes.Repeat([]byte("x"), 200)
			i := uint64(0)
			for b.Loop() {
				i++
				if err := j.StoreLogs([]*raft.Log{{Index: i, Term: 1, Data: data}}); err != nil {
					b.Fatal(err)
				}
				if i%4096 == 0 {
					j.DeleteRange(1, i-1024)
				}
			}
		})
	}
}
