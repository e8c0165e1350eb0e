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
	File        string `json:"file"`
	Offset      int64  `json:"offset"`
	Description string `json:"what"`
}

// Stats summarizes the records that were read of one gatekeeper.
type Stats struct {
	Node      string   `json:"gatekeeper"`
	Segments  int      `json:"segments"`
	Starts    int      `json:"starts"`
	Records   int      `json:"records"`
	Gaps      int      `json:"gaps"`
	TornBytes int64    `json:"torn_bytes"` // incomplete records at the end of starts that were killed
	Damage    []Damage `json:"damage"`
}

// Node reads the records of one gatekeeper in the order in which they were written.
type Node struct {
	Stats
	dir            string
	segments       []segment
	file           io.Closer
	frameReader    *frameReader
	current        segment
	begun          bool
	lastSeq        uint64 // sequence number of the last event
	lastStart      uint64 // start number of the last event
	lastAt         control.Micros
	endedAsPlanned bool   // the current start has completed its planned shutdown
	damaged        bool   // damage was found since the last event
	lostEvents     int64  // number of events known to be lost in the next gap
	pending        []Item // items to return before the next frame is read
	header         header // header of the current segment
	event          history.Event
}

// Subfolder is the name of the subfolder to which this program's own commands write records (`incident play --out DIR`).
const Subfolder = "records"

// ResolveFolder returns the folder that holds the records of dir: dir itself if it holds any, else its subfolder named
// Subfolder if that holds any, else dir.
func ResolveFolder(dir string) string {
	if holdsRecords(dir) {
		return dir
	}
	if sub := filepath.Join(dir, Subfolder); holdsRecords(sub) {
		return sub
	}
	return dir
}

// holdsRecords reports whether a folder contains any segment.
func holdsRecords(dir string) bool {
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		if _, ok := parseName(e.Name()); ok && !e.IsDir() {
			return true
		}
	}
	return false
}

// Nodes returns a reader for each gatekeeper that has records in the given folders, each resolved by ResolveFolder. A
// folder without any records is an error.
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
		if n.frameReader == nil {
			if len(n.segments) == 0 {
				return Item{}, n.finish()
			}
			if err := n.openSegment(); err != nil {
				return Item{}, err
			}
			continue
		}
		payload, err := n.frameReader.next()
		if err != nil {
			n.handleFrameError(err)
			continue
		}
		n.event = history.Event{}
		if err := decodeMode.Unmarshal(payload, &n.event); err != nil {
			n.addDamage("not a record: " + err.Error())
			continue
		}
		n.queueEvent()
	}
}

// finish returns io.EOF. If the records end in damage, it first queues a last gap and returns errAgain.
func (n *Node) finish() error {
	if n.damaged {
		n.queueGap(n.lastAt, n.lastAt, history.Damaged, true)
		n.damaged = false
		return errAgain
	}
	return io.EOF
}

// errMagic reports a file that does not begin with the magic bytes.
var errMagic = errors.New("not a segment of records")

// errAgain asks the caller to call Next once more, since an item has been queued.
var errAgain = errors.New("call again")

// queueGap queues a gap with the number of events known to be lost in it.
func (n *Node) queueGap(from, to control.Micros, why history.Why, hides bool) {
	n.Gaps++
	n.pending = append(n.pending, Item{Gap: &history.Gap{Node: n.Node, From: from, To: max(from, to), Why: why, Hides: hides, Count: n.lostEvents}})
	n.lostEvents = 0
}

// addDamage records a defect at the current offset.
func (n *Node) addDamage(description string) {
	n.damaged = true
	if len(n.Damage) < 1000 {
		n.Damage = append(n.Damage, Damage{filepath.Join(n.dir, n.current.file), n.frameReader.offset, description})
	}
}

// openSegment opens the next segment and reads its header.
func (n *Node) openSegment() error {
	s := n.segments[0]
	n.segments = n.segments[1:]
	previous := n.current
	n.current = s
	f, err := os.Open(filepath.Join(n.dir, s.file))
	if err != nil {
		return err
	}
	n.Segments++
	n.file, n.frameReader = f, &frameReader{}
	var in io.Reader = f
	if strings.HasSuffix(s.file, compressedSuffix) {
		z, err := zstd.NewReader(f, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(64<<20))
		if err != nil {
			return err
		}
		in, n.file = z, closers{z.IOReadCloser(), f}
	}
	n.frameReader.in = bufio.NewReaderSize(in, 64<<10)
	if n.begun {
		switch {
		case s.start == previous.start && s.seq != previous.seq+1, s.start != previous.start && s.start != previous.start+1, s.start != previous.start && s.seq != 0:
			n.addDamage(fmt.Sprintf("segments are missing between %s and this one", previous.file))
		}
	}
	magicBytes := make([]byte, len(magic))
	_, err = io.ReadFull(n.frameReader.in, magicBytes)
	if err == nil && string(magicBytes) != magic {
		err = errMagic
	}
	var h header
	if err == nil {
		n.frameReader.offset = int64(len(magic))
		var payload []byte
		if payload, err = n.frameReader.next(); err == nil {
			err = decodeMode.Unmarshal(payload, &h)
		}
	}
	switch {
	case err != nil && n.lastOfStart() && (errors.Is(err, errTruncated) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)):
		n.TornBytes += n.incompleteBytes()
		n.closeSegment()
	case err != nil:
		n.addDamage("no header: " + err.Error())
		n.closeSegment()
	case h.Version != Version:
		n.addDamage(fmt.Sprintf("records of version %d, this program reads version %d", h.Version, Version))
		n.closeSegment()
	default:
		n.Node, n.header = h.Node, h
	}
	return nil
}

// closers closes two closers in order.
type closers [2]io.Closer

// Close implements io.Closer.
func (c closers) Close() error { return errors.Join(c[0].Close(), c[1].Close()) }

// closeSegment closes the current segment.
func (n *Node) closeSegment() {
	if n.file != nil {
		n.file.Close()
	}
	n.file, n.frameReader = nil, nil
}

// lastOfStart reports whether the current segment is the last one of its start.
func (n *Node) lastOfStart() bool {
	return len(n.segments) == 0 || n.segments[0].start != n.current.start
}

// handleFrameError handles an error from reading a frame.
func (n *Node) handleFrameError(err error) {
	switch {
	case err == io.EOF:
		n.closeSegment()
	case err == errChecksum:
		n.addDamage(err.Error())
	case err == errTruncated && n.lastOfStart():
		// The process was killed while it wrote this record: the incomplete record is dropped.
		n.TornBytes += n.incompleteBytes()
		n.closeSegment()
	default:
		n.addDamage(err.Error())
		n.closeSegment()
	}
}

// incompleteBytes returns the number of bytes after the last complete record, at least 1.
func (n *Node) incompleteBytes() int64 {
	if info, err := os.Stat(filepath.Join(n.dir, n.current.file)); err == nil && strings.HasSuffix(n.current.file, segmentSuffix) {
		return max(info.Size()-n.frameReader.offset, 1)
	}
	return 1
}

// queueEvent queues the event just read, preceded by a gap if events are missing before it.
func (n *Node) queueEvent() {
	e := &n.event
	e.Node, e.Start = n.Node, n.current.start
	first := !n.begun || n.lastStart != e.Start
	switch {
	case !n.begun && e.Kind != history.Started && n.header.Rules != nil:
		n.pending = append(n.pending, Item{Event: &history.Event{At: e.At, Kind: history.Continued, Rules: n.header.Rules,
			Name: n.header.Calls, Node: n.Node, Start: e.Start}})
	case first && n.begun:
		if n.damaged || e.Seq != 1 {
			n.queueGap(n.lastAt, e.At, history.Damaged, true)
		} else {
			n.queueGap(n.lastAt, e.At, history.Restart, !n.endedAsPlanned)
		}
	case !first && e.Seq != n.lastSeq+1 && !(e.Kind == history.Dropped && e.Seq == n.lastSeq+uint64(e.N)+1):
		n.lostEvents = int64(e.Seq) - int64(n.lastSeq) - 1
		n.queueGap(n.lastAt, e.At, history.Damaged, true)
	case n.damaged && n.begun:
		n.queueGap(n.lastAt, e.At, history.Damaged, true)
	}
	if first {
		n.Starts++
		n.endedAsPlanned = false
		n.lastStart = e.Start
	}
	if e.Kind == history.Dropped {
		n.lostEvents = e.N
		n.queueGap(e.At-e.Span, e.At, history.Lost, true)
	}
	n.begun, n.damaged, n.lastSeq, n.lastAt = true, false, e.Seq, e.At
	n.endedAsPlanned = e.Kind == history.Finished
	n.Records++
	n.pending = append(n.pending, Item{Event: e})
}

// Close releases the open segment; it may be called before the last item.
func (n *Node) Close() { n.closeSegment() }

// Reader merges the records of several gatekeepers by time. Records of one gatekeeper keep their order even if its clock
// stepped back: they are then sorted by the latest time recorded before them.
type Reader struct {
	Nodes []*Node
	next  nodeHeap
}

// heapEntry is the next item of one gatekeeper.
type heapEntry struct {
	node     *Node
	item     Item
	sortTime control.Micros
}

// nodeHeap implements heap.Interface, ordered by time, then by gatekeeper name.
type nodeHeap []*heapEntry

func (h nodeHeap) Len() int { return len(h) }
func (h nodeHeap) Less(i, j int) bool {
	return h[i].sortTime < h[j].sortTime || h[i].sortTime == h[j].sortTime && h[i].node.Node < h[j].node.Node
}
func (h nodeHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *nodeHeap) Push(x any)   { *h = append(*h, x.(*heapEntry)) }
func (h *nodeHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// NewReader opens the records in the given folders for reading.
func NewReader(dirs ...string) (*Reader, error) {
	nodes, err := Nodes(dirs...)
	if err != nil {
		return nil, err
	}
	r := &Reader{Nodes: nodes}
	for _, n := range nodes {
		h := &heapEntry{node: n}
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
func (h *heapEntry) advance() (err error) {
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
	h.sortTime = max(h.sortTime, at)
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
