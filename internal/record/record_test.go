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

func recorder(t testing.TB, o Options) *Recorder {
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

// fill records n events, at one a millisecond from a time on.
func fill(r *Recorder, from control.Micros, n int) {
	for i := range n {
		r.Record(history.Event{At: from + control.Micros(i)*1000, Kind: history.Received, Call: fmt.Sprintf("%016x", i), Span: 9e6})
	}
}

type readAll struct {
	events []history.Event
	gaps   []history.Gap
	nodes  []*Node
}

func (r readAll) whys() string {
	var s []string
	for _, g := range r.gaps {
		s = append(s, fmt.Sprintf("%s hides=%t lost=%d", g.Why, g.Hides, g.Count))
	}
	return strings.Join(s, "; ")
}

func read(t testing.TB, dirs ...string) (all readAll) {
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

func files(t testing.TB, dir string) (names []string) {
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

// What is recorded is read back, over segments that were compressed.
func TestRoundTrip(t *testing.T) {
	dir := t.TempDir()
	r := recorder(t, Options{Dir: dir, SegmentBytes: 4096})
	want := history.Event{At: 5, Kind: history.Ended, Call: "abc", Attempt: 2, Server: 7, Code: control.TimedOut, Span: 9, Value: 1.5,
		Level: 3, Name: "x", State: control.Draining, N: -4, Since: 6, Repeated: true, Class: -1, Values: []float64{-1, 0.5},
		Rules: &history.Rules{Reports: []string{"q"}, Classes: []history.Class{{Name: "menu-view", Aim: 3, Worth: 1}}}}
	r.Record(want)
	for i := range 20 { // batches, so that segments fill one after another
		fill(r, control.Micros(1000+i*100000), 50)
		r.Flush()
	}
	r.Close()
	all := read(t, dir)
	want.Seq, want.Node, want.Start = 1, "n1", 1
	if got := all.events[0]; !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	if len(all.events) != 1001 || len(all.gaps) != 0 || all.nodes[0].Records != 1001 || len(all.nodes[0].Damage) != 0 {
		t.Errorf("%d events, gaps %s, %+v", len(all.events), all.whys(), all.nodes[0].Stats)
	}
	packed := 0
	for _, name := range files(t, dir) {
		if strings.HasSuffix(name, compressed) {
			packed++
		}
	}
	if packed < 2 {
		t.Errorf("%d compressed segments among %v", packed, files(t, dir))
	}
}

// A process that is killed in the middle of a record: whatever was written of the last one, all before it is read, the rest
// is cut and counted, and the next start comes after a gap that hides what was lost.
func TestTornTail(t *testing.T) {
	whole := t.TempDir()
	r := recorder(t, Options{Dir: whole})
	fill(r, 1000, 10)
	r.Close()
	name := files(t, whole)[0]
	text, _ := os.ReadFile(filepath.Join(whole, name))
	for cut := 1; cut < 60; cut++ {
		dir := t.TempDir()
		os.WriteFile(filepath.Join(dir, name), text[:len(text)-cut], 0o600)
		next := recorder(t, Options{Dir: dir})
		fill(next, 50000, 1)
		next.Close()
		all := read(t, dir)
		n := all.nodes[0]
		if len(all.events) != n.Records || n.Records > 10 || n.Records < 9 && cut < 40 || len(n.Damage) != 0 ||
			all.whys() != "restart hides=true lost=0" || n.TornBytes == 0 && n.Records != 10 && cut < 40 {
			t.Errorf("cut %d: %d events, gaps %s, %+v", cut, len(all.events), all.whys(), n.Stats)
		}
		if last := all.events[len(all.events)-1]; last.Start != 2 || last.At != 50000 {
			t.Errorf("cut %d: last event %+v", cut, last)
		}
	}
}

// After a planned end nothing is hidden.
func TestPlannedEndHidesNothing(t *testing.T) {
	dir := t.TempDir()
	for start := range 2 {
		r := recorder(t, Options{Dir: dir})
		fill(r, control.Micros(1000+start*1e6), 2)
		r.Record(history.Event{At: control.Micros(9000 + start*1e6), Kind: history.Finished})
		r.Close()
	}
	if all := read(t, dir); all.whys() != "restart hides=false lost=0" || all.nodes[0].Starts != 2 {
		t.Errorf("gaps %s, %+v", all.whys(), all.nodes[0].Stats)
	}
}

// Whatever byte is flipped: no event is read that was not recorded, and what is missing is a gap.
func TestFlippedByte(t *testing.T) {
	whole := t.TempDir()
	r := recorder(t, Options{Dir: whole})
	fill(r, 1000, 8)
	r.Close()
	name := files(t, whole)[0]
	text, _ := os.ReadFile(filepath.Join(whole, name))
	known := map[string]bool{}
	for _, e := range read(t, whole).events {
		known[fmt.Sprint(e)] = true
	}
	hurt := 0
	for at := range text {
		dir := t.TempDir()
		bad := slices.Clone(text)
		bad[at] ^= 0x10
		os.WriteFile(filepath.Join(dir, name), bad, 0o600)
		all := read(t, dir)
		for _, e := range all.events {
			if !known[fmt.Sprint(e)] {
				t.Fatalf("byte %d: %+v was never recorded", at, e)
			}
		}
		n := all.nodes[0]
		if len(all.events) == 8 {
			t.Errorf("byte %d: not seen", at)
		}
		if len(n.Damage) == 0 && n.TornBytes == 0 {
			t.Errorf("byte %d: %d events and nothing said: %+v", at, len(all.events), n.Stats)
		}
		if len(n.Damage) > 0 && len(all.events) > 0 && !strings.Contains(all.whys(), "damaged hides=true") && all.events[0].Seq == 1 {
			t.Errorf("byte %d: damage without a gap: %s", at, all.whys())
		}
		hurt++
	}
	if hurt < 300 {
		t.Errorf("only %d bytes", hurt)
	}
}

func TestMissingSegment(t *testing.T) {
	dir := t.TempDir()
	r := recorder(t, Options{Dir: dir, SegmentBytes: 2048})
	for i := range 10 {
		fill(r, control.Micros(1000+i*100000), 60)
		r.Flush()
	}
	r.Close()
	names := files(t, dir)
	os.Remove(filepath.Join(dir, names[1]))
	all := read(t, dir)
	if len(names) < 4 || len(all.gaps) != 1 || all.gaps[0].Why != history.Damaged || !all.gaps[0].Hides || all.gaps[0].Count == 0 ||
		int64(len(all.events))+all.gaps[0].Count != 600 {
		t.Errorf("%d files, %d events, gaps %s", len(names), len(all.events), all.whys())
	}
	os.Remove(filepath.Join(dir, names[0])) // the oldest ones may go: records begin later, with the figures of the rules
	if all = read(t, dir); len(all.gaps) != 0 || all.events[0].Kind == history.Received && all.events[0].Seq == 1 {
		t.Errorf("after the oldest were removed: gaps %s", all.whys())
	}
}

// Records that begin with a later segment bring the figures of the rules along.
func TestLaterSegmentsKnowTheRules(t *testing.T) {
	dir := t.TempDir()
	r := recorder(t, Options{Dir: dir, SegmentBytes: 2048, MaxBytes: 4000})
	r.Record(history.Event{At: 1, Kind: history.Started, Name: "v1", Rules: &history.Rules{ReleaseGuard: 300000}})
	for i := range 10 {
		fill(r, control.Micros(1000+i*100000), 60)
		r.Flush()
	}
	r.Close()
	all := read(t, dir)
	if e := all.events[0]; len(files(t, dir)) > 8 || e.Kind != history.Continued || e.Name != "v1" || e.Rules.ReleaseGuard != 300000 {
		t.Errorf("%v: first event %+v", files(t, dir), e)
	}
}

// Two starts in the same second are told apart by their number, and two gatekeepers in one folder by their names.
func TestStartsInTheSameSecond(t *testing.T) {
	dir := t.TempDir()
	for range 3 {
		r := recorder(t, Options{Dir: dir})
		fill(r, 1000, 2)
		r.Close()
	}
	other := recorder(t, Options{Dir: dir, Node: "../n 2"})
	fill(other, 1000, 2)
	other.Close()
	all := read(t, dir)
	starts := map[string]bool{}
	for _, e := range all.events {
		starts[fmt.Sprint(e.Node, e.Start)] = true
	}
	if len(all.events) != 8 || len(starts) != 4 || !starts["../n 21"] || !starts["n13"] {
		t.Errorf("%d events of %v", len(all.events), starts)
	}
}

// A clock that was set back between two starts: the order of the gatekeeper's own records stays.
func TestClockThatStepsBack(t *testing.T) {
	dir := t.TempDir()
	for _, from := range []control.Micros{5e9, 1e9} {
		r := recorder(t, Options{Dir: dir})
		fill(r, from, 2)
		r.Record(history.Event{At: from - 5e6, Kind: history.Draining}) // within a start time never goes back
		r.Close()
	}
	other := recorder(t, Options{Dir: dir, Node: "n2"})
	fill(other, 3e9, 1)
	other.Close()
	order := ""
	for _, e := range read(t, dir).events {
		order += fmt.Sprintf("%s/%d/%d ", e.Node, e.Start, e.Seq)
	}
	if order != "n2/1/1 n1/1/1 n1/1/2 n1/1/3 n1/2/1 n1/2/2 n1/2/3 " {
		t.Error(order)
	}
}

// full stands in for a disk that has so many bytes left.
type full struct {
	Disk
	left int
	hold chan struct{} // if not nil, writes wait for it
}

type fullFile struct {
	io.WriteCloser
	disk *full
}

func (f *full) Create(name string) (io.WriteCloser, error) {
	w, err := f.Disk.Create(name)
	return fullFile{w, f}, err
}

func (f fullFile) Write(b []byte) (int, error) {
	if f.disk.hold != nil {
		<-f.disk.hold
	}
	if len(b) > f.disk.left {
		return 0, errors.New("no space left on device")
	}
	f.disk.left -= len(b)
	return f.WriteCloser.Write(b)
}

// A disk that is full turns recording off with one line, and nobody waits.
func TestDiskFull(t *testing.T) {
	log, lines := logtest.NewNullLogger()
	dir := t.TempDir()
	r := recorder(t, Options{Dir: dir, FS: &full{left: 2000}, Log: log})
	for i := range 100 {
		fill(r, control.Micros(i*1000), 10)
		r.Flush()
	}
	r.Close()
	if len(lines.Entries) != 1 || lines.LastEntry().Message != "records: can't be written, recording is off" {
		t.Errorf("%d log lines, %+v", len(lines.Entries), lines.LastEntry())
	}
	if all := read(t, dir); len(all.events) == 0 {
		t.Error("what was written before is lost")
	}
}

// A flood beyond the queue is dropped, counted and marked, and nobody waits.
func TestFlood(t *testing.T) {
	dir := t.TempDir()
	disk := &full{left: 1 << 20}
	r := recorder(t, Options{Dir: dir, FS: disk, QueueSize: 16})
	r.mu.Lock() // the writer can't fetch
	hold := make(chan struct{})
	disk.hold = hold
	r.mu.Unlock()
	fill(r, 1000, 100)
	close(hold)
	r.Flush() // the queue has room again
	r.Record(history.Event{At: 2e6, Kind: history.Draining})
	r.Close()
	all := read(t, dir)
	taken, lost := 0, int64(0)
	for _, e := range all.events {
		if e.Kind == history.Received {
			taken++
		}
	}
	for _, g := range all.gaps { // more than one if the writer fetched some meanwhile
		lost += g.Count
		if g.Why != history.Lost || !g.Hides || g.From < 1000 || g.To > 2e6 {
			t.Errorf("%+v", g)
		}
	}
	if int64(taken)+lost != 100 || lost < 50 {
		t.Errorf("%d read and %d lost of 100, gaps %s", taken, lost, all.whys())
	}
}

// Records of another version are damage that says so, and no guess is made at them.
func TestAnotherVersion(t *testing.T) {
	dir := t.TempDir()
	top, _ := cbor.Marshal(header{Version: 2, Node: "n1", Start: 1})
	text := appendFrame(appendFrame([]byte(magic), top), []byte("something else"))
	os.WriteFile(filepath.Join(dir, segment{node: "n1", start: 1}.name()), text, 0o600)
	all := read(t, dir)
	if d := all.nodes[0].Damage; len(d) != 1 || !strings.Contains(d[0].Description, "version 2") || len(all.events) != 0 {
		t.Errorf("%+v, %d events", d, len(all.events))
	}
}

func TestNoRecords(t *testing.T) {
	if _, err := NewReader(t.TempDir()); err == nil || !strings.Contains(err.Error(), "no records") {
		t.Error(err)
	}
	if _, err := NewReader(filepath.Join(t.TempDir(), "none")); !errors.Is(err, fs.ErrNotExist) {
		t.Error(err)
	}
}

// Files over the bounds go, the oldest first, and only this gatekeeper's.
func TestPrune(t *testing.T) {
	dir := t.TempDir()
	other := recorder(t, Options{Dir: dir, Node: "n2"})
	fill(other, 1, 100)
	other.Close()
	r := recorder(t, Options{Dir: dir, SegmentBytes: 2048, MaxBytes: 6000})
	for i := range 40 {
		fill(r, control.Micros(i*100000), 60)
		r.Flush()
	}
	r.Close()
	total, mine := int64(0), 0
	for _, name := range files(t, dir) {
		if s, _ := parseName(name); s.node == "n1" {
			info, _ := os.Stat(filepath.Join(dir, name))
			total += info.Size()
			mine++
		}
	}
	if all := read(t, dir); total > 6000+2*4096*2 || mine < 2 || len(all.gaps) != 0 || all.nodes[1].Records != 100 {
		t.Errorf("%d bytes in %d files, gaps %s, %d records of the other", total, mine, all.whys(), all.nodes[1].Records)
	}
}

// Whatever a file holds, reading it ends without a panic and without an event that its checksum doesn't vouch for.
func FuzzRead(f *testing.F) {
	dir := f.TempDir()
	r := recorder(f, Options{Dir: dir})
	fill(r, 1000, 3)
	r.Close()
	text, _ := os.ReadFile(filepath.Join(dir, files(f, dir)[0]))
	f.Add(text)
	f.Add(text[:len(text)-5])
	f.Add([]byte(magic))
	f.Add(append([]byte(magic), bytes.Repeat([]byte{0xff}, 40)...))
	f.Fuzz(func(t *testing.T, text []byte) {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, segment{node: "n1", start: 1}.name()), text, 0o600); err != nil {
			t.Fatal(err)
		}
		all := read(t, dir)
		for _, e := range all.events {
			if e.Kind != history.Continued && !bytes.Contains(text, []byte(e.Call)) {
				t.Errorf("%+v is not in the file", e)
			}
		}
	})
}

// nowhere takes all and keeps nothing.
type nowhere struct{ Disk }

func (nowhere) Create(string) (io.WriteCloser, error) { return discard{}, nil }
func (nowhere) Open(string) (io.ReadCloser, error)    { return io.NopCloser(strings.NewReader("")), nil }
func (nowhere) List(string) ([]fs.FileInfo, error)    { return nil, nil }
func (nowhere) Rename(string, string) error           { return nil }
func (nowhere) Remove(string) error                   { return nil }

type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) Close() error                { return nil }

// BenchmarkCall is the cost of one call's records, the writing goroutine's included.
func BenchmarkCall(b *testing.B) {
	r := recorder(b, Options{Dir: "x", FS: nowhere{}, QueueSize: 1 << 20})
	defer r.Close()
	b.ReportAllocs()
	at := control.Micros(1e12)
	for b.Loop() {
		at += 5000
		for _, k := range []history.Kind{history.Received, history.Sent, history.Established, history.Viewed, history.Reported, history.Released} {
			r.Record(history.Event{At: at, Kind: k, Call: "9b1f03aa5c7e2d41", Server: 77, Span: 12345})
		}
	}
}
