package record

import (
	"bufio"
	"cmp"
	"container/heap"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/klauspost/compress/zstd"

	"beammux/control"
	"beammux/internal/history"
)

// compareSegments orders the segments of one gatekeeper by start and number.
func compareSegments(a, b segment) int {
	return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.seq, b.seq))
}

// Item is one result of a reader: either an event or a gap.
type Item struct {
	Event *history.Event // valid until the next call
	Gap   *history.Gap
}

// Damage describes one defect of a file.
type Damage struct {
	File   string `json:"file"`
	Offset int64  `json:"offset"`
	What   string `json:"what"`
}

// Stats summarizes the records that were read of one gatekeeper.
type Stats struct {
	Node     string   `json:"gatekeeper"`
	Segments int      `json:"segments"`
	Starts   int      `json:"starts"`
	Records  int      `json:"records"`
	Gaps     int      `json:"gaps"`
	Torn     int64    `json:"torn_bytes"` // incomplete records at the end of starts that were killed
	Damage   []Damage `json:"damage"`
}

// Node reads the records of one gatekeeper in the order in which they were written.
type Node struct {
	Stats
	dir      string
	segments []segment
	file     io.Closer
	frames   *frames
	current  segment
	begun    bool
	seq      uint64 // sequence number of the last event
	started  uint64 // start number of the last event
	at       control.Micros
	ended    bool   // the current start has reached its planned end
	hurt     bool   // damage was found since the last event
	lost     int64  // number of events known to be lost in the next gap
	pending  []Item // items to return before the next frame is read
	header   header // header of the current segment
	event    history.Event
}

// Sub is the name of the subfolder to which this program's own commands write records (`incident play --out DIR`).
const Sub = "records"

// Folder returns the folder that holds the records of dir: dir itself if it holds any, else its subfolder Sub if that
// holds any, else dir.
func Folder(dir string) string {
	if holds(dir) {
		return dir
	}
	if sub := filepath.Join(dir, Sub); holds(sub) {
		return sub
	}
	return dir
}

// holds reports whether a folder contains any segment.
func holds(dir string) bool {
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		if _, ok := parseName(e.Name()); ok && !e.IsDir() {
			return true
		}
	}
	return false
}

// Nodes returns a reader for each gatekeeper that has records in the given folders, each resolved by Folder. A folder
// without any records is an error.
func Nodes(dirs ...string) ([]*Node, error) {
	var nodes []*Node
	for _, dir := range dirs {
		dir = Folder(dir)
		entries, err := os.ReadDir(dir)
		if err != nil {
			return nil, err
		}
		found := map[string]*Node{}
		for _, e := range entries {
			s, ok := parseName(e.Name())
			if !ok || e.IsDir() {
				continue
			}
			n := found[s.node]
			if n == nil {
				n = &Node{Stats: Stats{Node: s.node}, dir: dir}
				found[s.node] = n
				nodes = append(nodes, n)
			}
			n.segments = append(n.segments, s)
		}
		if len(found) == 0 {
			return nil, fmt.Errorf("%s: no records", dir)
		}
	}
	for _, n := range nodes {
		slices.SortFunc(n.segments, compareSegments)
		// A process that was killed while it compressed a segment leaves it in both forms; only one of them is read.
		n.segments = slices.CompactFunc(n.segments, func(a, b segment) bool { return compareSegments(a, b) == 0 })
	}
	slices.SortFunc(nodes, func(a, b *Node) int { return strings.Compare(a.Node, b.Node) })
	return nodes, nil
}

// Next returns the next item, or io.EOF after the last one.
func (n *Node) Next() (Item, error) {
	for {
		if len(n.pending) > 0 {
			i := n.pending[0]
			n.pending = n.pending[1:]
			return i, nil
		}
		if n.frames == nil {
			if len(n.segments) == 0 {
				return Item{}, n.atEnd()
			}
			if err := n.enter(); err != nil {
				return Item{}, err
			}
			continue
		}
		payload, err := n.frames.next()
		if err != nil {
			n.stumble(err)
			continue
		}
		n.event = history.Event{}
		if err := decoding.Unmarshal(payload, &n.event); err != nil {
			n.damage("not a record: " + err.Error())
			continue
		}
		n.take()
	}
}

// atEnd returns io.EOF. If the records end in damage, it first queues a last gap and returns errAgain.
func (n *Node) atEnd() error {
	if n.hurt {
		n.gap(n.at, n.at, history.Damaged, true)
		n.hurt = false
		return errAgain
	}
	return io.EOF
}

// errMagic reports a file that does not begin with the magic bytes.
var errMagic = errors.New("not a segment of records")

// errAgain asks the caller to call Next once more, since an item has been queued.
var errAgain = errors.New("call again")

// gap queues a gap with the number of events known to be lost in it.
func (n *Node) gap(from, to control.Micros, why history.Why, hides bool) {
	n.Gaps++
	n.pending = append(n.pending, Item{Gap: &history.Gap{Node: n.Node, From: from, To: max(from, to), Why: why, Hides: hides, Count: n.lost}})
	n.lost = 0
}

// damage records a defect at the current offset.
func (n *Node) damage(what string) {
	n.hurt = true
	if len(n.Damage) < 1000 {
		n.Damage = append(n.Damage, Damage{filepath.Join(n.dir, n.current.file), n.frames.at, what})
	}
}

// enter opens the next segment and reads its header.
func (n *Node) enter() error {
	s := n.segments[0]
	n.segments = n.segments[1:]
	was := n.current
	n.current = s
	f, err := os.Open(filepath.Join(n.dir, s.file))
	if err != nil {
		return err
	}
	n.Segments++
	n.file, n.frames = f, &frames{}
	var in io.Reader = f
	if strings.HasSuffix(s.file, compressed) {
		z, err := zstd.NewReader(f, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(64<<20))
		if err != nil {
			return err
		}
		in, n.file = z, closers{z.IOReadCloser(), f}
	}
	n.frames.in = bufio.NewReaderSize(in, 64<<10)
	if n.begun {
		switch {
		case s.start == was.start && s.seq != was.seq+1, s.start != was.start && s.start != was.start+1, s.start != was.start && s.seq != 0:
			n.damage(fmt.Sprintf("segments are missing between %s and this one", was.file))
		}
	}
	top := make([]byte, len(magic))
	_, err = io.ReadFull(n.frames.in, top)
	if err == nil && string(top) != magic {
		err = errMagic
	}
	var h header
	if err == nil {
		n.frames.at = int64(len(magic))
		var payload []byte
		if payload, err = n.frames.next(); err == nil {
			err = decoding.Unmarshal(payload, &h)
		}
	}
	switch {
	case err != nil && n.lastOfStart() && (errors.Is(err, errTorn) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)):
		n.Torn += n.tail()
		n.leave()
	case err != nil:
		n.damage("no header: " + err.Error())
		n.leave()
	case h.Version != Version:
		n.damage(fmt.Sprintf("records of version %d, this program reads version %d", h.Version, Version))
		n.leave()
	default:
		n.Node, n.header = h.Node, h
	}
	return nil
}

// closers closes two closers in order.
type closers [2]io.Closer

// Close implements io.Closer.
func (c closers) Close() error { return errors.Join(c[0].Close(), c[1].Close()) }

// leave closes the current segment.
func (n *Node) leave() {
	if n.file != nil {
		n.file.Close()
	}
	n.file, n.frames = nil, nil
}

// lastOfStart reports whether the current segment is the last one of its start.
func (n *Node) lastOfStart() bool {
	return len(n.segments) == 0 || n.segments[0].start != n.current.start
}

// stumble handles an error from reading a frame.
func (n *Node) stumble(err error) {
	switch {
	case err == io.EOF:
		n.leave()
	case err == errSum:
		n.damage(err.Error())
	case err == errTorn && n.lastOfStart():
		// The process was killed while it wrote this record: the incomplete record is dropped.
		n.Torn += n.tail()
		n.leave()
	default:
		n.damage(err.Error())
		n.leave()
	}
}

// tail returns the number of bytes after the last complete record, at least 1.
func (n *Node) tail() int64 {
	if info, err := os.Stat(filepath.Join(n.dir, n.current.file)); err == nil && strings.HasSuffix(n.current.file, suffix) {
		return max(info.Size()-n.frames.at, 1)
	}
	return 1
}

// take queues the event just read, preceded by a gap if events are missing before it.
func (n *Node) take() {
	e := &n.event
	e.Node, e.Start = n.Node, n.current.start
	first := !n.begun || n.started != e.Start
	switch {
	case !n.begun && e.Kind != history.Started && n.header.Rules != nil:
		n.pending = append(n.pending, Item{Event: &history.Event{At: e.At, Kind: history.Continued, Rules: n.header.Rules,
			Name: n.header.Calls, Node: n.Node, Start: e.Start}})
	case first && n.begun:
		if n.hurt || e.Seq != 1 {
			n.gap(n.at, e.At, history.Damaged, true)
		} else {
			n.gap(n.at, e.At, history.Restart, !n.ended)
		}
	case !first && e.Seq != n.seq+1 && !(e.Kind == history.Dropped && e.Seq == n.seq+uint64(e.N)+1):
		n.lost = int64(e.Seq) - int64(n.seq) - 1
		n.gap(n.at, e.At, history.Damaged, true)
	case n.hurt && n.begun:
		n.gap(n.at, e.At, history.Damaged, true)
	}
	if first {
		n.Starts++
		n.ended = false
		n.started = e.Start
	}
	if e.Kind == history.Dropped {
		n.lost = e.N
		n.gap(e.At-e.Span, e.At, history.Lost, true)
	}
	n.begun, n.hurt, n.seq, n.at = true, false, e.Seq, e.At
	n.ended = e.Kind == history.Finished
	n.Records++
	n.pending = append(n.pending, Item{Event: e})
}

// Close releases the open segment; it may be called before the last item.
func (n *Node) Close() { n.leave() }

// Reader merges the records of several gatekeepers by time. Records of one gatekeeper keep their order even if its clock
// stepped back: they are then sorted by the latest time recorded before them.
type Reader struct {
	Nodes []*Node
	next  nodeHeap
}

// head is the next item of one gatekeeper.
type head struct {
	node *Node
	item Item
	key  control.Micros
}

// nodeHeap implements heap.Interface, ordered by time, then by gatekeeper name.
type nodeHeap []*head

func (h nodeHeap) Len() int { return len(h) }
func (h nodeHeap) Less(i, j int) bool {
	return h[i].key < h[j].key || h[i].key == h[j].key && h[i].node.Node < h[j].node.Node
}
func (h nodeHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *nodeHeap) Push(x any)   { *h = append(*h, x.(*head)) }
func (h *nodeHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// OpenAll opens the records in the given folders for reading.
func OpenAll(dirs ...string) (*Reader, error) {
	nodes, err := Nodes(dirs...)
	if err != nil {
		return nil, err
	}
	r := &Reader{Nodes: nodes}
	for _, n := range nodes {
		h := &head{node: n}
		if err := h.advance(); err == nil {
			r.next = append(r.next, h)
		} else if err != io.EOF {
			return nil, err
		}
	}
	heap.Init(&r.next)
	return r, nil
}

// advance reads the next item of the gatekeeper.
func (h *head) advance() (err error) {
	for {
		h.item, err = h.node.Next()
		if err != errAgain {
			break
		}
	}
	if err != nil {
		return err
	}
	at := control.Micros(0)
	if h.item.Event != nil {
		at = h.item.Event.At
	} else {
		at = h.item.Gap.From
	}
	h.key = max(h.key, at)
	return nil
}

// Next returns the next item in time order, or io.EOF after the last one.
func (r *Reader) Next() (Item, error) {
	for len(r.next) > 0 {
		h := r.next[0]
		if h.item == (Item{}) { // returned by the previous call; reading the next item overwrites its event
			if err := h.advance(); err == io.EOF {
				heap.Pop(&r.next)
			} else if err != nil {
				return Item{}, err
			} else {
				heap.Fix(&r.next, 0)
			}
			continue
		}
		item := h.item
		h.item = Item{}
		return item, nil
	}
	return Item{}, io.EOF
}

// Close releases all open segments.
func (r *Reader) Close() {
	for _, n := range r.Nodes {
		n.Close()
	}
}
