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

func compareSegments(a, b segment) int {
	return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.seq, b.seq))
}

// Item is what a reader brings: an event or a gap.
type Item struct {
	Event *history.Event // valid until the next call
	Gap   *history.Gap
}

// Damage is one thing that is wrong with a file.
type Damage struct {
	File        string `json:"file"`
	Offset      int64  `json:"offset"`
	Description string `json:"what"`
}

// Stats is what was read of one gatekeeper.
type Stats struct {
	Node      string   `json:"gatekeeper"`
	Segments  int      `json:"segments"`
	Starts    int      `json:"starts"`
	Records   int      `json:"records"`
	Gaps      int      `json:"gaps"`
	TornBytes int64    `json:"torn_bytes"` // cut off at the end of starts that were killed
	Damage    []Damage `json:"damage"`
}

// Node reads the records of one gatekeeper in its own order.
type Node struct {
	Stats
	dir      string
	segments []segment
	file     io.Closer
	frames   *frames
	current  segment
	begun    bool
	seq      uint64 // of the last event of the current start
	started  uint64 // number of that start
	at       control.Micros
	ended    bool   // the current start has come to its planned end
	hurt     bool   // something was lost since the last event
	lost     int64  // events known to be lost there
	pending  []Item // a gap that goes before an event
	header   header // of the current segment
	event    history.Event
}

// Sub is the folder within a folder that the project's own commands write records to (`incident play --out DIR`).
const Sub = "records"

// ResolveFolder is where the records of a named folder are: the folder itself where it holds any, else its Sub folder where that
// holds some, else the folder as named.
func ResolveFolder(dir string) string {
	if holds(dir) {
		return dir
	}
	if sub := filepath.Join(dir, Sub); holds(sub) {
		return sub
	}
	return dir
}

func holds(dir string) bool {
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		if _, ok := parseName(e.Name()); ok && !e.IsDir() {
			return true
		}
	}
	return false
}

// Nodes lists the gatekeepers whose records are in some folders, each looked up by Folder. One that holds no records at
// all is an error that says so.
func Nodes(dirs ...string) ([]*Node, error) {
	var nodes []*Node
	for _, dir := range dirs {
		dir = ResolveFolder(dir)
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
		// One that was killed while it compressed a segment left it in both forms: the whole one is taken.
		n.segments = slices.CompactFunc(n.segments, func(a, b segment) bool { return compareSegments(a, b) == 0 })
	}
	slices.SortFunc(nodes, func(a, b *Node) int { return strings.Compare(a.Node, b.Node) })
	return nodes, nil
}

// Next gives the next item, io.EOF after the last.
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

// atEnd ends the records, with a last gap where they end in damage.
func (n *Node) atEnd() error {
	if n.hurt {
		n.gap(n.at, n.at, history.Damaged, true)
		n.hurt = false
		return errAgain
	}
	return io.EOF
}

var errMagic = errors.New("not a segment of records")

// errAgain asks for one more look at what is pending.
var errAgain = errors.New("again")

func (n *Node) gap(from, to control.Micros, why history.Why, hides bool) {
	n.Gaps++
	n.pending = append(n.pending, Item{Gap: &history.Gap{Node: n.Node, From: from, To: max(from, to), Why: why, Hides: hides, Count: n.lost}})
	n.lost = 0
}

func (n *Node) damage(what string) {
	n.hurt = true
	if len(n.Damage) < 1000 {
		n.Damage = append(n.Damage, Damage{filepath.Join(n.dir, n.current.file), n.frames.at, what})
	}
}

// enter opens the next segment.
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
		n.TornBytes += n.tail()
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

type closers [2]io.Closer

func (c closers) Close() error { return errors.Join(c[0].Close(), c[1].Close()) }

// leave closes the segment.
func (n *Node) leave() {
	if n.file != nil {
		n.file.Close()
	}
	n.file, n.frames = nil, nil
}

// lastOfStart tells whether the current segment is the last of its start.
func (n *Node) lastOfStart() bool {
	return len(n.segments) == 0 || n.segments[0].start != n.current.start
}

// stumble takes a fault of the frames.
func (n *Node) stumble(err error) {
	switch {
	case err == io.EOF:
		n.leave()
	case err == errSum:
		n.damage(err.Error())
	case err == errTorn && n.lastOfStart():
		// The end of one that was killed: cut, as what it was writing then.
		n.TornBytes += n.tail()
		n.leave()
	default:
		n.damage(err.Error())
		n.leave()
	}
}

// tail is how many bytes lie behind the last whole record.
func (n *Node) tail() int64 {
	if info, err := os.Stat(filepath.Join(n.dir, n.current.file)); err == nil && strings.HasSuffix(n.current.file, suffix) {
		return max(info.Size()-n.frames.at, 1)
	}
	return 1
}

// take queues the event just read, with the gap that goes before it.
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

// Close ends reading before the last item.
func (n *Node) Close() { n.leave() }

// Reader merges the records of several gatekeepers by time. Those of one gatekeeper stay in its order, also where its
// clock stepped back: then they come at the latest time that it had told.
type Reader struct {
	Nodes []*Node
	next  nodeHeap
}

type head struct {
	node *Node
	item Item
	key  control.Micros
}

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

// NewReader begins to read the records in some folders.
func NewReader(dirs ...string) (*Reader, error) {
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

// advance reads the next item of a gatekeeper.
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

// Next gives the next item of all, io.EOF after the last.
func (r *Reader) Next() (Item, error) {
	for len(r.next) > 0 {
		h := r.next[0]
		if h.item == (Item{}) { // given out: its event is void once the next is read
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

// Close ends reading.
func (r *Reader) Close() {
	for _, n := range r.Nodes {
		n.Close()
	}
}
