package history

import (
	"cmp"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"beammux/control"
)

// Parameters of the fleet's history.
const (
	maxBins          = 1200                    // maximum number of bins; beyond it each two neighbours are merged
	initialBinWidth  = control.Micros(1000000) // initial width of a bin
	worstSpanSeconds = 10                      // length of the worst span in seconds
	maxDelayMillis   = 60000                   // highest set-up delay that histograms distinguish, in ms
	maxEpisodes      = 4000                    // maximum number of episodes kept; further ones are only counted
	episodeGap       = control.Micros(10e6)    // maximum distance between moments of one kind in an episode
	maxReportDelay   = control.Micros(30e6)    // maximum time between the reports of one server change by different gatekeepers
	maxCallDuration  = control.Micros(120e6)   // time after which a call without an end is assumed to have ended unrecorded
)

// Server is one row of the table of servers.
type Server struct {
	ID            uint32                           `json:"server"`
	Name          string                           `json:"name"`
	Cell          int64                            `json:"cell"`
	State         control.State                    `json:"-"`
	Since         control.Micros                   `json:"since,omitempty"`
	Sent          int                              `json:"sent"`
	Established   int                              `json:"stood"`
	Full          int                              `json:"full"`
	TimedOut      int                              `json:"timed_out"`
	Cut           int                              `json:"cut"`
	Other         int                              `json:"other_ends"`
	Gated         int                              `json:"gated"` // how often a gatekeeper raised it to level 2 or higher
	LongestWait   control.Micros                   `json:"longest_wait_us"`
	reportedState map[reportedState]control.Micros // time of the last report of each state
}

// reportedState is the state and the last start of a server, as an inventory reports them.
type reportedState struct {
	state control.State
	since control.Micros
}

// Node is one row of the table of gatekeepers.
type Node struct {
	Name        string         `json:"gatekeeper"`
	Starts      int            `json:"starts"`
	Version     string         `json:"calls"` // version of the limits in force
	First, Last control.Micros `json:"-"`     // times of the first and the last record
	Counts      Counts         `json:"calls_counted"`
	Sent        int            `json:"sent"`
	Memory      float64        `json:"memory_bytes"`                    // maximum
	Descriptors float64        `json:"descriptors"`                     // maximum
	Open        int            `json:"open"`                            // current number of calls without a final answer
	Up          bool           `json:"up"`                              // according to the last record
	SteppedBack control.Micros `json:"clock_stepped_back_us,omitempty"` // largest backward step of its clock between two records
	calls       map[string]arrival
	levels      map[uint32]int
}

// arrival is the arrival of an open call.
type arrival struct {
	at    control.Micros
	class int
}

// Moment is an event that is worth mentioning in an incident report.
type Moment struct {
	At     control.Micros `json:"at"`
	Node   string         `json:"gatekeeper,omitempty"`
	Server uint32         `json:"server,omitempty"`
	Type   string         `json:"what"` // one of the Moment constants
	Detail string         `json:"detail,omitempty"`
}

// The types of moments.
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

// Episode is a series of moments of one kind that are close together in time.
type Episode struct {
	Moment
	Last  control.Micros
	Count int
	Nodes []string // gatekeepers at which the moments happened
}

// episodeKey identifies the moments that may join one episode.
type episodeKey struct {
	kind   string
	server uint32
	detail string
}

// Fleet is the state of a fleet and its history so far, rebuilt from events in time order. Its memory is bounded by the
// number of gatekeepers, servers and open calls: the time series has at most 1,200 bins. When it would exceed them,
// neighbouring bins are merged by adding counts and histograms and keeping the extremes of the views.
type Fleet struct {
	Rules          Rules
	From, To       control.Micros // first and last event
	Width          control.Micros // width of a bin
	Bins           []Bin
	Servers        map[uint32]*Server
	Nodes          map[string]*Node
	Gaps           []Gap
	OnMoment       func(Moment) // called with each moment, if not nil
	Episodes       []*Episode
	OmittedMoments int // number of moments that were not kept, beyond the maximum number of episodes
	openEpisodes   map[episodeKey]*Episode
	Events         int
	Totals         []Counts // by class
	WorstSpan      WorstSpan
	seconds        []second // the last seconds, which answers to open calls may still change
	firstSecond    int64    // Unix second of the first of them
}

// WorstSpan is the worst span of 10 s, the one with the lowest ratio of served to offered worth.
type WorstSpan struct {
	From          control.Micros `json:"from"`
	Offered, Part float64        // offered worth, and the fraction of it that was served
	Known         bool           `json:"known"`
}

// second is the worth offered and served of the calls that arrived in one second.
type second struct{ offered, served float64 }

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	return &Fleet{Width: initialBinWidth, Servers: map[uint32]*Server{}, Nodes: map[string]*Node{}, openEpisodes: map[episodeKey]*Episode{}}
}

// node returns the row of a gatekeeper, which it creates if needed.
func (f *Fleet) node(name string) *Node {
	n := f.Nodes[name]
	if n == nil {
		n = &Node{Name: name, calls: map[string]arrival{}, levels: map[uint32]int{}}
		f.Nodes[name] = n
	}
	return n
}

// server returns the row of a server, which it creates if needed.
func (f *Fleet) server(id uint32) *Server {
	s := f.Servers[id]
	if s == nil {
		s = &Server{ID: id}
		f.Servers[id] = s
	}
	return s
}

// addMoment passes a moment to the callback and adds it to its episode.
func (f *Fleet) addMoment(m Moment) {
	if f.OnMoment != nil {
		f.OnMoment(m)
	}
	if m.Type == MomentOpen {
		return // does not belong to any episode; an episode of gating needs no end
	}
	key := episodeKey{m.Type, m.Server, m.Detail}
	e := f.openEpisodes[key]
	if e == nil || m.At-e.Last > episodeGap {
		if len(f.Episodes) >= maxEpisodes {
			f.OmittedMoments++
			return
		}
		e = &Episode{Moment: m}
		f.openEpisodes[key] = e
		f.Episodes = append(f.Episodes, e)
	}
	e.Last = max(e.Last, m.At)
	e.Count++
	if m.Node != "" && !slices.Contains(e.Nodes, m.Node) {
		e.Nodes = append(e.Nodes, m.Node)
	}
}

// Gap processes a gap. It must be called in order with Event.
func (f *Fleet) Gap(g Gap) {
	f.Gaps = append(f.Gaps, g)
	n := f.node(g.Node)
	n.calls, n.levels = map[string]arrival{}, map[uint32]int{}
	if g.Hides {
		f.addMoment(Moment{At: g.From, Node: g.Node, Type: MomentGap, Detail: string(g.Why)})
	}
}

// Event processes one event.
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
		f.applyStart(n, e)
	case Continued:
		n.Version = e.Name
		if e.Rules != nil {
			f.Rules = *e.Rules
		}
	case Received:
		n.calls[e.Call] = arrival{e.At, e.Class}
		f.count(n, e.At, e.Class, Counts{Offered: 1})
		f.addWorth(e.At, e.Class, true, 1)
	case Sent:
		n.Sent++
		f.server(e.Server).Sent++
	case Ended:
		f.countAttemptEnd(f.server(e.Server), e.Code)
	case Established, Refused, Failed, Gone:
		f.countOutcome(n, e)
	case Viewed:
		f.applyView(n, e)
	case Listed:
		f.applyServer(e)
	case Reloaded:
		n.Version = e.Name
		f.addMoment(Moment{e.At, e.Node, 0, MomentReload, e.Name})
	case ResourceUsage:
		if len(e.Values) >= 2 {
			n.Memory, n.Descriptors = max(n.Memory, e.Values[0]), max(n.Descriptors, e.Values[1])
		}
	case Draining:
		f.addMoment(Moment{e.At, e.Node, 0, MomentDrain, ""})
	case Finished:
		n.Up = false
		f.addMoment(Moment{e.At, e.Node, 0, MomentEnd, ""})
	}
	n.Open = len(n.calls)
	if f.Events%65536 == 0 {
		f.removeOldCalls()
	}
}

// ApplyBaseline processes an event from before the range of interest: it applies parameters, limits and the inventory, but
// records no moments.
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
		f.applyServer(e)
	}
	f.Episodes, f.OmittedMoments, f.openEpisodes = episodes, left, map[episodeKey]*Episode{}
}

// applyStart applies the first event of a start.
func (f *Fleet) applyStart(n *Node, e *Event) {
	n.Starts++
	n.Version = e.Name
	if e.Rules != nil {
		f.Rules = *e.Rules
	}
	f.addMoment(Moment{e.At, e.Node, 0, MomentStart, ""})
}

// countAttemptEnd counts a failed attempt at its server.
func (f *Fleet) countAttemptEnd(s *Server, code control.Code) {
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

// countOutcome counts the outcome of a call at the time of its arrival. Calls whose arrival is not recorded are ignored.
func (f *Fleet) countOutcome(n *Node, e *Event) {
	if e.Kind == Established {
		f.server(e.Server).Established++
	}
	call, ok := n.calls[e.Call]
	if !ok {
		return
	}
	delete(n.calls, e.Call)
	switch e.Kind {
	case Refused:
		f.count(n, call.at, call.class, Counts{Refused: 1})
	case Failed:
		f.count(n, call.at, call.class, Counts{Failed: 1})
	case Gone:
		f.count(n, call.at, call.class, Counts{Gone: 1})
	case Established:
		delay, class := e.Span, f.class(call.class)
		if class.Aim == 0 || delay <= class.Aim {
			f.count(n, call.at, call.class, Counts{Served: 1})
			f.addWorth(call.at, call.class, false, 1)
		} else {
			f.count(n, call.at, call.class, Counts{Late: 1})
			f.addWorth(call.at, call.class, false, class.LateWorth)
		}
		if b := f.bin(call.at); b != nil {
			if b.Delay == nil {
				b.Delay = hdrhistogram.New(1, maxDelayMillis, 2)
			}
			b.Delay.RecordValue(int64(min(max(delay/1000, 1), maxDelayMillis)))
		}
	}
}

// ClassOf returns the class of an open call of a gatekeeper, -1 if the call is unknown.
func (f *Fleet) ClassOf(node, call string) int {
	if n := f.Nodes[node]; n != nil {
		if arrival, ok := n.calls[call]; ok {
			return arrival.class
		}
	}
	return -1
}

// class returns the parameters of a class by its index.
func (f *Fleet) class(i int) Class {
	if i >= 0 && i < len(f.Rules.Classes) {
		return f.Rules.Classes[i]
	}
	return Class{Name: "unknown"}
}

// applyView applies a gatekeeper's new view of a server.
func (f *Fleet) applyView(n *Node, e *Event) {
	s := f.server(e.Server)
	s.LongestWait = max(s.LongestWait, e.Span)
	if b := f.bin(e.At); b != nil {
		if b.Views == nil {
			b.Views = map[ViewKey]View{}
		}
		v := b.Views[ViewKey{e.Node, e.Server}]
		v.Level.add(float64(e.Level))
		v.Wait.add(float64(e.Span))
		b.Views[ViewKey{e.Node, e.Server}] = v
	}
	previous := n.levels[e.Server]
	n.levels[e.Server] = e.Level
	if previous < 2 && e.Level >= 2 {
		s.Gated++
		f.addMoment(Moment{e.At, e.Node, e.Server, MomentGate, ""})
	} else if previous >= 2 && e.Level < 2 {
		f.addMoment(Moment{e.At, e.Node, e.Server, MomentOpen, ""})
	}
}

// applyServer applies the state of a server from an inventory, once for all gatekeepers that report it.
func (f *Fleet) applyServer(e *Event) {
	s := f.server(e.Server)
	if s.reportedState == nil {
		s.reportedState = map[reportedState]control.Micros{}
	}
	// All gatekeepers report the same change, some of them seconds later, with the server's start by their own clocks.
	since := e.Since
	if sameStart(since, s.Since) {
		since = s.Since
	}
	at, reported := s.reportedState[reportedState{e.State, since}]
	s.reportedState[reportedState{e.State, since}] = e.At
	if reported && e.At-at < maxReportDelay {
		return
	}
	known := s.Name != ""
	if known && s.State == e.State && s.Since == since {
		return // a gatekeeper that has just started reports a state that is already known
	}
	s.Name, s.Cell, s.State, s.Since = e.Name, e.N, e.State, since
	if known || e.State != control.Ready || e.Since > 0 {
		detail := e.State.String()
		if e.State == control.Ready && e.Since > 0 {
			detail = "started again"
		}
		f.addMoment(Moment{e.At, "", e.Server, MomentServer, detail})
	}
}

// count adds counts to a class's total, to the gatekeeper, and to the bin of the call's arrival.
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

// addWorth adds the worth of a call to the second of its arrival. Seconds are kept as long as their calls may still be
// answered.
func (f *Fleet) addWorth(at control.Micros, class int, offered bool, part float64) {
	s := int64(at / 1e6)
	if len(f.seconds) == 0 {
		f.firstSecond = s
	}
	if s < f.firstSecond {
		return
	}
	for int64(len(f.seconds)) <= s-f.firstSecond {
		f.seconds = append(f.seconds, second{})
	}
	w := part * f.class(class).Worth
	if offered {
		f.seconds[s-f.firstSecond].offered += w
	} else {
		f.seconds[s-f.firstSecond].served += w
	}
	const retainedSeconds = int(maxCallDuration/1e6) + worstSpanSeconds
	if len(f.seconds) > 2*retainedSeconds {
		f.findWorst(len(f.seconds) - retainedSeconds)
	}
}

// findWorst compares the spans that begin within the first seconds, up to the given number, with the worst span so far, and
// removes those seconds.
func (f *Fleet) findWorst(seconds int) {
	for i := 0; i < seconds && i+worstSpanSeconds <= len(f.seconds); i++ {
		offered, served := 0.0, 0.0
		for _, s := range f.seconds[i : i+worstSpanSeconds] {
			offered += s.offered
			served += s.served
		}
		if offered > 0 && (!f.WorstSpan.Known || served/offered < f.WorstSpan.Part) {
			f.WorstSpan = WorstSpan{control.Micros((f.firstSecond + int64(i)) * 1e6), offered, served / offered, true}
		}
	}
	seconds = min(seconds, len(f.seconds))
	f.seconds = slices.Clone(f.seconds[seconds:])
	f.firstSecond += int64(seconds)
}

// Finalize finishes the evaluation after the last event: WorstSpan is final, and calls that are still open stay open.
func (f *Fleet) Finalize() { f.findWorst(len(f.seconds)) }

// removeOldCalls removes calls whose end is missing in the records.
func (f *Fleet) removeOldCalls() {
	for _, n := range f.Nodes {
		for id, call := range n.calls {
			if f.To-call.at > maxCallDuration {
				delete(n.calls, id)
			}
		}
	}
}

// WorstClass returns the class with the lowest fraction of its calls served within their aim, and that fraction; the class
// is -1 if no calls were offered.
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

// ServerList returns the servers in order of their numbers.
func (f *Fleet) ServerList() []*Server {
	list := make([]*Server, 0, len(f.Servers))
	for _, id := range sortedIDs(f.Servers) {
		list = append(list, f.Servers[id])
	}
	return list
}

// NodeList returns the gatekeepers in order of their names.
func (f *Fleet) NodeList() []*Node {
	list := make([]*Node, 0, len(f.Nodes))
	for _, n := range f.Nodes {
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b *Node) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
