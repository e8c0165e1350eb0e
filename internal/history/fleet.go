package history

import (
	"cmp"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"beammux/control"
)

const (
	binsMost   = 1200                    // bins of a course; over it two neighbours become one
	binFirst   = control.Micros(1000000) // width of a bin at first
	worstSpan  = 10                      // seconds of the worst span
	delayMost  = 60000                   // ms; longest set-up delay told apart
	momentMost = 4000                    // moments kept; of later ones only the number
	momentSpan = control.Micros(10e6)    // moments of one kind so close to each other are one episode
	heardLate  = control.Micros(30e6)    // by so much one gatekeeper may hear later of a server than another
	callerMost = control.Micros(120e6)   // a call without an end for so long is taken for one whose end is not recorded
)

// Counts are calls by what came of them. Each is counted where it was taken.
type Counts struct {
	Offered, Served, Late, Refused, Failed, Gone int // Served within the class's aim, Late after it
}

func (c *Counts) add(o Counts) {
	c.Offered += o.Offered
	c.Served += o.Served
	c.Late += o.Late
	c.Refused += o.Refused
	c.Failed += o.Failed
	c.Gone += o.Gone
}

// Extremes are the least and the most of something in a bin.
type Extremes struct {
	Lowest, Highest float64
	Seen            bool
}

func (x *Extremes) see(v float64) {
	if !x.Seen {
		*x = Extremes{v, v, true}
		return
	}
	x.Lowest, x.Highest = min(x.Lowest, v), max(x.Highest, v)
}

func (x *Extremes) join(o Extremes) {
	if o.Seen {
		x.see(o.Lowest)
		x.see(o.Highest)
	}
}

// View is what a gatekeeper believed of a server in a bin.
type View struct{ Level, Wait Extremes } // wait in microseconds

// Bin is one piece of the course.
type Bin struct {
	Classes []Counts                // by class
	Delay   *hdrhistogram.Histogram // of calls that stood, ms from being taken; nil if none
	Views   map[ViewKey]View
}

// ViewKey is a gatekeeper's view of a server.
type ViewKey struct {
	Node   string
	Server uint32
}

// Server is one row of the table of servers.
type Server struct {
	ID          uint32         `json:"server"`
	Name        string         `json:"name"`
	Cell        int64          `json:"cell"`
	State       control.State  `json:"-"`
	Since       control.Micros `json:"since,omitempty"`
	Sent        int            `json:"sent"`
	Established int            `json:"stood"`
	Full        int            `json:"full"`
	TimedOut    int            `json:"timed_out"`
	Cut         int            `json:"cut"`
	Other       int            `json:"other_ends"`
	Gated       int            `json:"gated"` // times that a gatekeeper took it to level 2 or more
	LongestWait control.Micros `json:"longest_wait_us"`
	heard       map[heard]control.Micros
}

// heard is what a list says of a server.
type heard struct {
	state control.State
	since control.Micros
}

// Node is one row of the table of gatekeepers.
type Node struct {
	Name        string         `json:"gatekeeper"`
	Starts      int            `json:"starts"`
	Version     string         `json:"calls"` // limits in force
	First, Last control.Micros `json:"-"`
	Counts      Counts         `json:"calls_counted"`
	Sent        int            `json:"sent"`
	Memory      float64        `json:"memory_bytes"`                    // most
	Descriptors float64        `json:"descriptors"`                     // most
	Open        int            `json:"open"`                            // calls without a final answer now
	Up          bool           `json:"up"`                              // by the last record
	SteppedBack control.Micros `json:"clock_stepped_back_us,omitempty"` // most that its clock went back between two records
	calls       map[string]taken
	levels      map[uint32]int
}

type taken struct {
	at    control.Micros
	class int
}

// Moment is something that staff would tell of an incident.
type Moment struct {
	At     control.Micros `json:"at"`
	Node   string         `json:"gatekeeper,omitempty"`
	Server uint32         `json:"server,omitempty"`
	Type   string         `json:"what"` // a word of the list below
	Detail string         `json:"detail,omitempty"`
}

// The words of moments.
const (
	MomentStart  = "started"
	MomentEnd    = "ended"
	MomentDrain  = "drained"
	MomentReload = "reloaded"
	MomentServer = "server"
	MomentGate   = "gated"
	MomentOpen   = "open again"
	MomentGap    = "gap"
)

// Episode is moments of one kind that lie close together.
type Episode struct {
	Moment
	Last  control.Micros
	Count int
	Nodes []string // that it happened at
}

type episodeKey struct {
	what   string
	server uint32
	detail string
}

// Fleet is the state of a fleet and its course so far, rebuilt from events in time order. Its memory is bounded by the
// number of gatekeepers, servers and open calls: the course has at most 1,200 bins, and where it grows longer neighbours
// are joined, by adding counts and histograms and keeping the least and the most of what was believed.
type Fleet struct {
	Rules          Rules
	From, To       control.Micros // first and last event
	Width          control.Micros // of a bin
	Bins           []Bin
	Servers        map[uint32]*Server
	Nodes          map[string]*Node
	Gaps           []Gap
	OnMoment       func(Moment) // hears of each moment, if not nil
	Episodes       []*Episode
	OmittedMoments int // moments of episodes over the most that are kept
	open           map[episodeKey]*Episode
	Events         int
	Totals         []Counts // by class
	WorstSpan      WorstSpan
	seconds        []second // the last ones, that calls may still change
	base           int64    // Unix second of the first
}

// WorstSpan is the worst 10 s: the least worth served of that offered.
type WorstSpan struct {
	From          control.Micros `json:"from"`
	Offered, Part float64        // worth
	Known         bool           `json:"known"`
}

type second struct{ offered, served float64 }

// NewFleet makes an empty one.
func NewFleet() *Fleet {
	return &Fleet{Width: binFirst, Servers: map[uint32]*Server{}, Nodes: map[string]*Node{}, open: map[episodeKey]*Episode{}}
}

func (f *Fleet) node(name string) *Node {
	n := f.Nodes[name]
	if n == nil {
		n = &Node{Name: name, calls: map[string]taken{}, levels: map[uint32]int{}}
		f.Nodes[name] = n
	}
	return n
}

func (f *Fleet) server(id uint32) *Server {
	s := f.Servers[id]
	if s == nil {
		s = &Server{ID: id}
		f.Servers[id] = s
	}
	return s
}

func (f *Fleet) moment(m Moment) {
	if f.OnMoment != nil {
		f.OnMoment(m)
	}
	if m.Type == MomentOpen {
		return // an episode of gating ends by itself
	}
	key := episodeKey{m.Type, m.Server, m.Detail}
	e := f.open[key]
	if e == nil || m.At-e.Last > momentSpan {
		if len(f.Episodes) >= momentMost {
			f.OmittedMoments++
			return
		}
		e = &Episode{Moment: m}
		f.open[key] = e
		f.Episodes = append(f.Episodes, e)
	}
	e.Last = max(e.Last, m.At)
	e.Count++
	if m.Node != "" && !slices.Contains(e.Nodes, m.Node) {
		e.Nodes = append(e.Nodes, m.Node)
	}
}

// Gap takes a gap at its place among the events.
func (f *Fleet) Gap(g Gap) {
	f.Gaps = append(f.Gaps, g)
	n := f.node(g.Node)
	n.calls, n.levels = map[string]taken{}, map[uint32]int{}
	if g.Hides {
		f.moment(Moment{At: g.From, Node: g.Node, Type: MomentGap, Detail: string(g.Why)})
	}
}

// Event takes one event.
func (f *Fleet) Event(e *Event) {
	if f.Events == 0 {
		f.From = e.At
	}
	f.Events++
	f.To = max(f.To, e.At)
	n := f.node(e.Node)
	if n.First == 0 {
		n.First = e.At
	}
	if back := n.Last - e.At; back > 0 {
		n.SteppedBack = max(n.SteppedBack, back)
	}
	n.Last, n.Up = e.At, true
	switch e.Kind {
	case Started:
		f.started(n, e)
	case Continued:
		n.Version = e.Name
		if e.Rules != nil {
			f.Rules = *e.Rules
		}
	case Received:
		n.calls[e.Call] = taken{e.At, e.Class}
		f.count(n, e.At, e.Class, Counts{Offered: 1})
		f.worth(e.At, e.Class, true, 1)
	case Sent:
		n.Sent++
		f.server(e.Server).Sent++
	case Ended:
		f.ended(f.server(e.Server), e.Code)
	case Established, Refused, Failed, Gone:
		f.final(n, e)
	case Viewed:
		f.viewed(n, e)
	case Listed:
		f.told(e)
	case Reloaded:
		n.Version = e.Name
		f.moment(Moment{e.At, e.Node, 0, MomentReload, e.Name})
	case ResourceUsage:
		if len(e.Values) >= 2 {
			n.Memory, n.Descriptors = max(n.Memory, e.Values[0]), max(n.Descriptors, e.Values[1])
		}
	case Draining:
		f.moment(Moment{e.At, e.Node, 0, MomentDrain, ""})
	case Finished:
		n.Up = false
		f.moment(Moment{e.At, e.Node, 0, MomentEnd, ""})
	}
	n.Open = len(n.calls)
	if f.Events%65536 == 0 {
		f.sweep()
	}
}

// ApplyBaseline takes what was so before the first event that counts: figures, limits and the list, but no moments.
func (f *Fleet) ApplyBaseline(e *Event) {
	episodes, left := f.Episodes, f.OmittedMoments
	switch n := f.node(e.Node); e.Kind {
	case Started, Continued:
		n.Version = e.Name
		if e.Rules != nil {
			f.Rules = *e.Rules
		}
	case Reloaded:
		n.Version = e.Name
	case Listed:
		f.told(e)
	}
	f.Episodes, f.OmittedMoments, f.open = episodes, left, map[episodeKey]*Episode{}
}

func (f *Fleet) started(n *Node, e *Event) {
	n.Starts++
	n.Version = e.Name
	if e.Rules != nil {
		f.Rules = *e.Rules
	}
	f.moment(Moment{e.At, e.Node, 0, MomentStart, ""})
}

func (f *Fleet) ended(s *Server, code control.Code) {
	switch code {
	case control.Full:
		s.Full++
	case control.TimedOut:
		s.TimedOut++
	case control.Cut:
		s.Cut++
	default:
		s.Other++
	}
}

// final counts what came of a call where it was taken. One whose taking is not recorded is left out.
func (f *Fleet) final(n *Node, e *Event) {
	if e.Kind == Established {
		f.server(e.Server).Established++
	}
	k, ok := n.calls[e.Call]
	if !ok {
		return
	}
	delete(n.calls, e.Call)
	switch e.Kind {
	case Refused:
		f.count(n, k.at, k.class, Counts{Refused: 1})
	case Failed:
		f.count(n, k.at, k.class, Counts{Failed: 1})
	case Gone:
		f.count(n, k.at, k.class, Counts{Gone: 1})
	case Established:
		took, class := e.Span, f.class(k.class)
		if class.Aim == 0 || took <= class.Aim {
			f.count(n, k.at, k.class, Counts{Served: 1})
			f.worth(k.at, k.class, false, 1)
		} else {
			f.count(n, k.at, k.class, Counts{Late: 1})
			f.worth(k.at, k.class, false, class.LateWorth)
		}
		if b := f.bin(k.at); b != nil {
			if b.Delay == nil {
				b.Delay = hdrhistogram.New(1, delayMost, 2)
			}
			b.Delay.RecordValue(int64(min(max(took/1000, 1), delayMost)))
		}
	}
}

// ClassOf gives the class of a call that a gatekeeper holds, -1 for one that is not known.
func (f *Fleet) ClassOf(node, call string) int {
	if n := f.Nodes[node]; n != nil {
		if k, ok := n.calls[call]; ok {
			return k.class
		}
	}
	return -1
}

func (f *Fleet) class(i int) Class {
	if i >= 0 && i < len(f.Rules.Classes) {
		return f.Rules.Classes[i]
	}
	return Class{Name: "unknown"}
}

func (f *Fleet) viewed(n *Node, e *Event) {
	s := f.server(e.Server)
	s.LongestWait = max(s.LongestWait, e.Span)
	if b := f.bin(e.At); b != nil {
		if b.Views == nil {
			b.Views = map[ViewKey]View{}
		}
		v := b.Views[ViewKey{e.Node, e.Server}]
		v.Level.see(float64(e.Level))
		v.Wait.see(float64(e.Span))
		b.Views[ViewKey{e.Node, e.Server}] = v
	}
	was := n.levels[e.Server]
	n.levels[e.Server] = e.Level
	if was < 2 && e.Level >= 2 {
		s.Gated++
		f.moment(Moment{e.At, e.Node, e.Server, MomentGate, ""})
	} else if was >= 2 && e.Level < 2 {
		f.moment(Moment{e.At, e.Node, e.Server, MomentOpen, ""})
	}
}

func (f *Fleet) told(e *Event) {
	s := f.server(e.Server)
	if s.heard == nil {
		s.heard = map[heard]control.Micros{}
	}
	// Every gatekeeper hears of the same change, some of them seconds late, and tells the server's start by its own clock.
	since := e.Since
	if sameStart(since, s.Since) {
		since = s.Since
	}
	at, again := s.heard[heard{e.State, since}]
	s.heard[heard{e.State, since}] = e.At
	if again && e.At-at < heardLate {
		return
	}
	known := s.Name != ""
	if known && s.State == e.State && s.Since == since {
		return // a gatekeeper that has just started is told what the others know
	}
	s.Name, s.Cell, s.State, s.Since = e.Name, e.N, e.State, since
	if known || e.State != control.Ready || e.Since > 0 {
		detail := e.State.String()
		if e.State == control.Ready && e.Since > 0 {
			detail = "started anew"
		}
		f.moment(Moment{e.At, "", e.Server, MomentServer, detail})
	}
}

// bin gives the bin of a time, nil for one before the first.
func (f *Fleet) bin(at control.Micros) *Bin {
	if at < f.From {
		return nil
	}
	for int((at-f.From)/f.Width) >= binsMost {
		f.join()
	}
	i := int((at - f.From) / f.Width)
	for len(f.Bins) <= i {
		f.Bins = append(f.Bins, Bin{})
	}
	return &f.Bins[i]
}

// join makes one bin of each two.
func (f *Fleet) join() {
	f.Width *= 2
	for i := 0; i < len(f.Bins); i += 2 {
		b := f.Bins[i]
		if i+1 < len(f.Bins) {
			b.join(f.Bins[i+1])
		}
		f.Bins[i/2] = b
	}
	half := (len(f.Bins) + 1) / 2
	clear(f.Bins[half:])
	f.Bins = f.Bins[:half]
}

func (b *Bin) join(o Bin) {
	for len(b.Classes) < len(o.Classes) {
		b.Classes = append(b.Classes, Counts{})
	}
	for i, c := range o.Classes {
		b.Classes[i].add(c)
	}
	switch {
	case b.Delay == nil:
		b.Delay = o.Delay
	case o.Delay != nil:
		b.Delay.Merge(o.Delay)
	}
	if b.Views == nil {
		b.Views = o.Views
		return
	}
	for pair, v := range o.Views {
		mine := b.Views[pair]
		mine.Level.join(v.Level)
		mine.Wait.join(v.Wait)
		b.Views[pair] = mine
	}
}

func (f *Fleet) count(n *Node, at control.Micros, class int, c Counts) {
	class = max(class, 0)
	for len(f.Totals) <= class {
		f.Totals = append(f.Totals, Counts{})
	}
	f.Totals[class].add(c)
	n.Counts.add(c)
	if b := f.bin(at); b != nil {
		for len(b.Classes) <= class {
			b.Classes = append(b.Classes, Counts{})
		}
		b.Classes[class].add(c)
	}
}

// worth keeps the worth of each second while calls that were taken in it may still be answered.
func (f *Fleet) worth(at control.Micros, class int, offered bool, part float64) {
	s := int64(at / 1e6)
	if len(f.seconds) == 0 {
		f.base = s
	}
	if s < f.base {
		return
	}
	for int64(len(f.seconds)) <= s-f.base {
		f.seconds = append(f.seconds, second{})
	}
	w := part * f.class(class).Worth
	if offered {
		f.seconds[s-f.base].offered += w
	} else {
		f.seconds[s-f.base].served += w
	}
	const keep = int(callerMost/1e6) + worstSpan
	if len(f.seconds) > 2*keep {
		f.settle(len(f.seconds) - keep)
	}
}

// settle looks at the spans that begin in the first so many seconds, and forgets those seconds.
func (f *Fleet) settle(seconds int) {
	for i := 0; i < seconds && i+worstSpan <= len(f.seconds); i++ {
		offered, served := 0.0, 0.0
		for _, s := range f.seconds[i : i+worstSpan] {
			offered += s.offered
			served += s.served
		}
		if offered > 0 && (!f.WorstSpan.Known || served/offered < f.WorstSpan.Part) {
			f.WorstSpan = WorstSpan{control.Micros((f.base + int64(i)) * 1e6), offered, served / offered, true}
		}
	}
	seconds = min(seconds, len(f.seconds))
	f.seconds = slices.Clone(f.seconds[seconds:])
	f.base += int64(seconds)
}

// Finalize ends the course: what is still open stays so. The worst span is final then.
func (f *Fleet) Finalize() { f.settle(len(f.seconds)) }

func (f *Fleet) sweep() {
	for _, n := range f.Nodes {
		for id, k := range n.calls {
			if f.To-k.at > callerMost {
				delete(n.calls, id)
			}
		}
	}
}

// WorstClass gives the class with the least part of its calls served in their aim, -1 if none was offered.
func (f *Fleet) WorstClass() (class int, part float64) {
	class = -1
	for i, c := range f.Totals {
		if c.Offered > 0 {
			if p := float64(c.Served) / float64(c.Offered); class < 0 || p < part {
				class, part = i, p
			}
		}
	}
	return class, part
}

// ServerList and NodeList give the tables in order.
func (f *Fleet) ServerList() []*Server {
	list := make([]*Server, 0, len(f.Servers))
	for _, id := range sortedIDs(f.Servers) {
		list = append(list, f.Servers[id])
	}
	return list
}

// NodeList gives the gatekeepers by name.
func (f *Fleet) NodeList() []*Node {
	list := make([]*Node, 0, len(f.Nodes))
	for _, n := range f.Nodes {
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b *Node) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
