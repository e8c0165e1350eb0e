package record

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"beammux/control"
	"beammux/internal/history"
)

func newRecorder(t testing.TB, o Options) *Recorder {
	t.Helper()
	if o.Node == "" {
		o.Node = "n1"
	}
	r, err := NewRecorder(o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// fill records n events, one per millisecond, beginning at from.
func fill(r *Recorder, from control.Micros, n int) {
	for i := range n {
		r.Record(history.Event{At: from + control.Micros(i)*1000, Kind: history.Received, Call: fmt.Sprintf("%016x", i), Span: 9e6})
	}
}

// readResult is everything that a reader returned.
type readResult struct {
	events []history.Event
	gaps   []history.Gap
	nodes  []*Node
}

// gapTexts lists the gaps as text.
func (r readResult) gapTexts() string {
	var s []string
	for _, g := range r.gaps {
		s = append(s, fmt.Sprintf("%s hides=%t lost=%d", g.Why, g.Hides, g.Count))
	}
	return strings.Join(s, "; ")
}

func readRecords(t testing.TB, dirs ...string) (all readResult) {
	t.Helper()
	r, err := NewReader(dirs...)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	all.nodes = r.Nodes
	for {
		item, err := r.Next()
		if err == io.EOF {
			return all
		}
		if err != nil {
			t.Fatal(err)
		}
		if item.Gap != nil {
			all.gaps = append(all.gaps, *item.Gap)
		} else {
			all.events = append(all.events, *item.Event)
		}
	}
}

func fileNames(t testing.TB, dir string) (names []string) {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names
}

// Recorded events are read back unchanged, across compressed segments.
func TestRoundTrip(t *testing.T) {
	dir := t.TempDir()
	r := newRecorder(t, Options{Dir: dir, SegmentBytes: 4096})
	want := history.Event{At: 5, Kind: history.Ended, Call: "abc", Attempt: 2, Server: 7, Code: control.TimedOut, Span: 9, Value: 1.5,
		Level: 3, Name: "x", State: control.Draining, N: -4, Since: 6, Repeated: true, Class: -1, Values: []float64{-1, 0.5},
		Rules: &history.Rules{Reports: []string{"q"}, Classes: []history.Class{{Name: "menu-view", Aim: 3, Worth: 1}}}}
	r.Record(want)
	for i := range 20 { // in batches, so that several segments fill up
		fill(r, control.Micros(1000+i*100000), 50)
		r.Flush()
	}
	r.Close()
	all := readRecords(t, dir)
	want.Seq, want.Node, want.Start = 1, "n1", 1
	if got := all.events[0]; !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	if len(all.events) != 1001 || len(all.gaps) != 0 || all.nodes[0].Records != 1001 || len(all.nodes[0].Damage) != 0 {
		t.Errorf("%d events, gaps %s, %+v", len(all.events), all.gapTexts(), all.nodes[0].Stats)
	}
	compressedFiles := 0
	for _, name := range fileNames(t, dir) {
		if strings.HasSuffix(name, compressedSuffix) {
			compressedFiles++
		}
	}
	if compressedFiles < 2 {
		t.Errorf("%d compressed segments among %v", compressedFiles, fileNames(t, dir))
	}
}

// A process is killed in the middle of a record. However much of the last record was written, all records before it are
// read, the incomplete bytes are counted, and a gap that hides events precedes the next start.
func TestTornTail(t *testing.T) {
	whole := t.TempDir()
	r := newRecorder(t, Options{Dir: whole})
	fill(r, 1000, 10)
	r.Close()
	name := fileNames(t, whole)[0]
	text, _ := os.ReadFile(filepath.Join(whole, name))
	for cut := 1; cut < 60; cut++ {
		dir := t.TempDir()
		os.WriteFile(filepath.Join(dir, name), text[:len(text)-cut], 0o600)
		next := newRecorder(t, Options{Dir: dir})
		fill(next, 50000, 1)
		next.Close()
		all := readRecords(t, dir)
		n := all.nodes[0]
		if len(all.events) != n.Records || n.Records > 10 || n.Records < 9 && cut < 40 || len(n.Damage) != 0 ||
			all.gapTexts() != "restart hides=true lost=0" || n.TornBytes == 0 && n.Records != 10 && cut < 40 {
			t.Errorf("cut %d: %d events, gaps %s, %+v", cut, len(all.events), all.gapTexts(), n.Stats)
		}
		if last := all.events[len(all.events)-1]; last.Start != 2 || last.At != 50000 {
			t.Errorf("cut %d: last event %+v", cut, last)
		}
	}
}

// The gap after a planned shutdown hides no events.
func TestPlannedEndHidesNothing(t *testing.T) {
	dir := t.TempDir()
	for start := range 2 {
		r := newRecorder(t, Options{Dir: dir})
		fill(r, control.Micros(1000+start*1e6), 2)
		r.Record(history.Event{At: control.Micros(9000 + start*1e6), Kind: history.Finished})
		r.Close()
	}
	if all := readRecords(t, dir); all.gapTexts() != "restart hides=false lost=0" || all.nodes[0].Starts != 2 {
		t.Errorf("gaps %s, %+v", all.gapTexts(), all.nodes[0].Stats)
	}
}

// Flipping any byte yields no event that was not recorded, and a gap covers the missing events.
func TestFlippedByte(t *testing.T) {
	whole := t.TempDir()
	r := newRecorder(t, Options{Dir: whole})
	fill(r, 1000, 8)
	r.Close()
	name := fileNames(t, whole)[0]
	text, _ := os.ReadFile(filepath.Join(whole, name))
	known := map[string]bool{}
	for _, e := range readRecords(t, whole).events {
		known[fmt.Sprint(e)] = true
	}
	tested := 0
	for at := range text {
		dir := t.TempDir()
		bad := slices.Clone(text)
		bad[at] ^= 0x10
		os.WriteFile(filepath.Join(dir, name), bad, 0o600)
		all := readRecords(t, dir)
		for _, e := range all.events {
			if !known[fmt.Sprint(e)] {
				t.Fatalf("byte %d: %+v was never recorded", at, e)
			}
		}
		n := all.nodes[0]
		if len(all.events) == 8 {
			t.Errorf("byte %d: the damage was not detected", at)
		}
		if len(n.Damage) == 0 && n.TornBytes == 0 {
			t.Errorf("byte %d: %d events and no damage reported: %+v", at, len(all.events), n.Stats)
		}
		if len(n.Damage) > 0 && len(all.events) > 0 && !strings.Contains(all.gapTexts(), "damaged hides=true") && all.events[0].Seq == 1 {
			t.Errorf("byte %d: damage without a gap: %s", at, all.gapTexts())
		}
		tested++
	}
	if tested < 300 {
		t.Errorf("only %d bytes tested", tested)
	}
}

// A missing segment in the middle is one gap with the number of lost events; missing oldest segments are none.
func TestMissingSegment(t *testing.T) {
	dir := t.TempDir()
	r := newRecorder(t, Options{Dir: dir, SegmentBytes: 2048})
	for i := range 10 {
		fill(r, control.Micros(1000+i*100000), 60)
		r.Flush()
	}
	r.Close()
	names := fileNames(t, dir)
	os.Remove(filepath.Join(dir, names[1]))
	all := readRecords(t, dir)
	if len(names) < 4 || len(all.gaps) != 1 || all.gaps[0].Why != history.Damaged || !all.gaps[0].Hides || all.gaps[0].Count == 0 ||
		int64(len(all.events))+all.gaps[0].Count != 600 {
		t.Errorf("%d files, %d events, gaps %s", len(names), len(all.events), all.gapTexts())
	}
	os.Remove(filepath.Join(dir, names[0])) // the oldest segments may be removed: records then begin later, with the parameters of the rules
	if all = readRecords(t, dir); len(all.gaps) != 0 || all.events[0].Kind == history.Received && all.events[0].Seq == 1 {
		t.Errorf("after the oldest were removed: gaps %s", all.gapTexts())
	}
}

// Records that begin with a later segment still carry the parameters of the rules.
func TestLaterSegmentsCarryTheRules(t *testing.T) {
	dir := t.TempDir()
	r := newRecorder(t, Options{Dir: dir, SegmentBytes: 2048, MaxBytes: 4000})
	r.Record(history.Event{At: 1, Kind: history.Started, Name: "v1", Rules: &history.Rules{ReleaseGuard: 300000}})
	for i := range 10 {
		fill(r, control.Micros(1000+i*100000), 60)
		r.Flush()
	}
	r.Close()
	all := readRecords(t, dir)
	if e := all.events[0]; len(fileNames(t, dir)) > 8 || e.Kind != history.Continued || e.Name != "v1" || e.Rules.ReleaseGuard != 300000 {
		t.Errorf("%v: first event %+v", fileNames(t, dir), e)
	}
}

// Two starts in the same second are distinguished by their number, and two gatekeepers in one folder by their names.
func TestStartsInTheSameSecond(t *testing.T) {
	dir := t.TempDir()
	for range 3 {
		r := newRecorder(t, Options{Dir: dir})
		fill(r, 1000, 2)
		r.Close()
	}
	other := newRecorder(t, Options{Dir: dir, Node: "../n 2"})
	fill(other, 1000, 2)
	other.Close()
	all := readRecords(t, dir)
	starts := map[string]bool{}
	for _, e := range all.events {
		starts[fmt.Sprint(e.Node, e.Start)] = true
	}
	if len(all.events) != 8 || len(starts) != 4 || !starts["../n 21"] || !starts["n13"] {
		t.Errorf("%d events of %v", len(all.events), starts)
	}
}

// The records of a gatekeeper keep their order if its clock is set back between two starts.
func TestClockSetBackBetweenStarts(t *testing.T) {
	dir := t.TempDir()
	for _, from := range []control.Micros{5e9, 1e9} {
		r := newRecorder(t, Options{Dir: dir})
		fill(r, from, 2)
		r.Record(history.Event{At: from - 5e6, Kind: history.Draining}) // time never decreases within a start
		r.Close()
	}
	other := newRecorder(t, Options{Dir: dir, Node: "n2"})
	fill(other, 3e9, 1)
	other.Close()
	order := ""
	for _, e := range readRecords(t, dir).events {
		order += fmt.Sprintf("%s/%d/%d ", e.Node, e.Start, e.Seq)
	}
	if order != "n2/1/1 n1/1/1 n1/1/2 n1/1/3 n1/2/1 n1/2/2 n1/2/3 " {
		t.Error(order)
	}
}

// limitedDisk is a disk with a limited number of free bytes.
type limitedDisk struct {
	Disk
	freeBytes int
	release   chan struct{} // if not nil, writes block until it is closed
}

type limitedFile struct {
	io.WriteCloser
	disk *limitedDisk
}

func (f *limitedDisk) Create(name string) (io.WriteCloser, error) {
	w, err := f.Disk.Create(name)
	return limitedFile{w, f}, err
}

func (f limitedFile) Write(b []byte) (int, error) {
	if f.disk.release != nil {
		<-f.disk.release
	}
	if len(b) > f.disk.freeBytes {
		return 0, errors.New("no space left on device")
	}
	f.disk.freeBytes -= len(b)
	return f.WriteCloser.Write(b)
}

// A full disk disables recording with one log line, and no caller blocks.
func TestDiskFull(t *testing.T) {
	log, lines := logtest.NewNullLogger()
	dir := t.TempDir()
	r := newRecorder(t, Options{Dir: dir, FS: &limitedDisk{freeBytes: 2000}, Log: log})
	for i := range 100 {
		fill(r, control.Micros(i*1000), 10)
		r.Flush()
	}
	r.Close()
	if len(lines.Entries) != 1 || lines.LastEntry().Message != "records: cannot write, recording is disabled" {
		t.Errorf("%d log lines, %+v", len(lines.Entries), lines.LastEntry())
	}
	if all := readRecords(t, dir); len(all.events) == 0 {
		t.Error("the events written before the disk was full are lost")
	}
}

// Events beyond the queue's capacity are dropped, counted and reported as a gap, and no caller blocks.
func TestQueueOverflow(t *testing.T) {
	dir := t.TempDir()
	disk := &limitedDisk{freeBytes: 1 << 20}
	r := newRecorder(t, Options{Dir: dir, FS: disk, QueueSize: 16})
	r.mu.Lock() // keeps the writer from fetching a batch
	release := make(chan struct{})
	disk.release = release
	r.mu.Unlock()
	fill(r, 1000, 100)
	close(release)
	r.Flush() // the queue has room again
	r.Record(history.Event{At: 2e6, Kind: history.Draining})
	r.Close()
	all := readRecords(t, dir)
	taken, lost := 0, int64(0)
	for _, e := range all.events {
		if e.Kind == history.Received {
			taken++
		}
	}
	for _, g := range all.gaps { // several if the writer fetched a batch in between
		lost += g.Count
		if g.Why != history.Lost || !g.Hides || g.From < 1000 || g.To > 2e6 {
			t.Errorf("%+v", g)
		}
	}
	if int64(taken)+lost != 100 || lost < 50 {
		t.Errorf("%d read and %d lost of 100, gaps %s", taken, lost, all.gapTexts())
	}
}

// Records of another version are reported as damage that names the version, and are not decoded.
func TestAnotherVersion(t *testing.T) {
	dir := t.TempDir()
	top, _ := cbor.Marshal(header{Version: 2, Node: "n1", Start: 1})
	text := appendFrame(appendFrame([]byte(magic), top), []byte("something else"))
	os.WriteFile(filepath.Join(dir, segment{node: "n1", start: 1}.name()), text, 0o600)
	all := readRecords(t, dir)
	if d := all.nodes[0].Damage; len(d) != 1 || !strings.Contains(d[0].Description, "version 2") || len(all.events) != 0 {
		t.Errorf("%+v, %d events", d, len(all.events))
	}
}

// A folder without records and a missing folder are errors.
func TestNoRecords(t *testing.T) {
	if _, err := NewReader(t.TempDir()); err == nil || !strings.Contains(err.Error(), "no records") {
		t.Error(err)
	}
	if _, err := NewReader(filepath.Join(t.TempDir(), "none")); !errors.Is(err, fs.ErrNotExist) {
		t.Error(err)
	}
}

// Files beyond the limits are removed, oldest first, and only those of this gatekeeper.
func TestPrune(t *testing.T) {
	dir := t.TempDir()
	other := newRecorder(t, Options{Dir: dir, Node: "n2"})
	fill(other, 1, 100)
	other.Close()
	r := newRecorder(t, Options{Dir: dir, SegmentBytes: 2048, MaxBytes: 6000})
	for i := range 40 {
		fill(r, control.Micros(i*100000), 60)
		r.Flush()
	}
	r.Close()
	total, ownFiles := int64(0), 0
	for _, name := range fileNames(t, dir) {
		if s, _ := parseName(name); s.node == "n1" {
			info, _ := os.Stat(filepath.Join(dir, name))
			total += info.Size()
			ownFiles++
		}
	}
	if all := readRecords(t, dir); total > 6000+2*4096*2 || ownFiles < 2 || len(all.gaps) != 0 || all.nodes[1].Records != 100 {
		t.Errorf("%d bytes in %d files, gaps %s, %d records of the other", total, ownFiles, all.gapTexts(), all.nodes[1].Records)
	}
}

// Reading a file of arbitrary content ends without a panic and returns no event without a valid checksum.
func FuzzRead(f *testing.F) {
	dir := f.TempDir()
	r := newRecorder(f, Options{Dir: dir})
	fill(r, 1000, 3)
	r.Close()
	text, _ := os.ReadFile(filepath.Join(dir, fileNames(f, dir)[0]))
	f.Add(text)
	f.Add(text[:len(text)-5])
	f.Add([]byte(magic))
	f.Add(append([]byte(magic), bytes.Repeat([]byte{0xff}, 40)...))
	f.Fuzz(func(t *testing.T, text []byte) {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, segment{node: "n1", start: 1}.name()), text, 0o600); err != nil {
			t.Fatal(err)
		}
		all := readRecords(t, dir)
		for _, e := range all.events {
			if e.Kind != history.Continued && !bytes.Contains(text, []byte(e.Call)) {
				t.Errorf("%+v is not in the file", e)
			}
		}
	})
}

// discardFS is a file system that discards everything.
type discardFS struct{ Disk }

func (discardFS) Create(string) (io.WriteCloser, error) { return discardFile{}, nil }
func (discardFS) Open(string) (io.ReadCloser, error)    { return io.NopCloser(strings.NewReader("")), nil }
func (discardFS) List(string) ([]fs.FileInfo, error)    { return nil, nil }
func (discardFS) Rename(string, string) error           { return nil }
func (discardFS) Remove(string) error                   { return nil }

type discardFile struct{}

func (discardFile) Write(b []byte) (int, error) { return len(b), nil }
func (discardFile) Close() error                { return nil }

// BenchmarkCall measures the cost of recording one call, including the writing goroutine.
func BenchmarkCall(b *testing.B) {
	r := newRecorder(b, Options{Dir: "x", FS: discardFS{}, QueueSize: 1 << 20})
	defer r.Close()
	b.ReportAllocs()
	at := control.Micros(1e12)
	for b.Loop() {
		at += 5000
		for _, kind := range []history.Kind{history.Received, history.Sent, history.Established, history.Viewed, history.Reported, history.Released} {
			r.Record(history.Event{At: at, Kind: kind, Call: "9b1f03aa5c7e2d41", Server: 77, Span: 12345})
		}
	}
}
