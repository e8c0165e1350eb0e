package history

import (
	"fmt"
	"slices"

	"beammux/control"
)

// Verdict is the result of checking a rule.
type Verdict string

// The verdicts.
const (
	Held     Verdict = "held"
	Broken   Verdict = "broken"
	NotShown Verdict = "not shown" // a gap hides events that the check needs, or the records do not suffice
)

// The names of the rules, in order.
const (
	RuleAnswer  = "one final answer in time"
	RuleOne     = "never two attempts at once"
	RuleDrain   = "nothing new to a draining server"
	RuleCold    = "no cold server pushed over"
	RuleRelease = "release awaited"
)

var ruleNames = []string{RuleAnswer, RuleOne, RuleDrain, RuleCold, RuleRelease}

// Evidence describes one violation of a rule.
type Evidence struct {
	Node   string         `json:"gatekeeper,omitempty"`
	Call   string         `json:"call,omitempty"`
	Server uint32         `json:"server,omitempty"`
	At     control.Micros `json:"at"`
	What   string         `json:"what"`
}

// Finding is the result of checking one rule against the records.
type Finding struct {
	Rule     string     `json:"rule"`
	Verdict  Verdict    `json:"verdict"`
	Why      string     `json:"why,omitempty"` // reason for the verdict NotShown
	Evidence []Evidence `json:"evidence"`
	Count    int        `json:"count"` // number of all violations; Evidence holds the first ones
}

// Parameters of the check.
const (
	evidenceMost  = 100                     // violations listed per rule
	SocketSlack   = control.Micros(50000)   // extension of each time limit on sockets (PROTOCOL, the rules on sockets)
	ClockSlack    = control.Micros(100000)  // maximum difference between the clocks of gatekeepers
	rememberEnded = control.Micros(2000000) // time for which ends of attempts are kept in addition to the release guard
	capacitySpan  = control.Micros(5000000) // span over which the answers of a warm server are counted to estimate its capacity
	capacityLeast = 20                      // minimum number of answers in that span for an estimate
	coldFree      = 2                       // set-ups allowed in any window: they overload no server, whatever its capacity
)

// Checker checks the rules against the events of a fleet, merged by time. Events of one gatekeeper must arrive in the
// order in which they were recorded; those of different gatekeepers may be out of order by ClockSlack. It keeps only
// open calls, so its memory doesn't grow with time.
type Checker struct {
	rules    Rules
	nodes    map[string]*checked
	found    [5]Finding
	hidden   []Gap // the first gaps that hide events
	gaps     int
	now      control.Micros
	cold     map[uint32]*coldServer
	capacity map[uint32]float64 // set-ups per second of servers whose capacity is known from another source
	seen     int
}

// ending is the end of an attempt, at which the release guard begins.
type ending struct {
	at      control.Micros
	attempt int
}

// checked is the state of one gatekeeper in the checker.
type checked struct {
	calls  map[string]*openCall
	ended  map[string]ending // begin of the release guard, for calls of which further attempts may be sent
	states map[uint32]told
	dirty  bool // a gap hid events, so states may be incomplete
}

// told is the state of a server in the inventory and the time since which it holds.
type told struct {
	state control.State
	at    control.Micros
}

// openCall is the state of a call in the checker.
type openCall struct {
	taken    control.Micros
	deadline control.Micros
	attempt  int // attempt in flight, -1 if none
	over     int // number of attempts that have ended
	server   uint32
	answered bool
}

// coldServer holds the starts of a server and the set-ups that all gatekeepers sent to it while it was cold.
type coldServer struct {
	since   control.Micros   // last start, 0 if it is long past
	sent    []control.Micros // set-ups while it was cold after that start
	before  []coldSpell
	answers []control.Micros // answers within the last capacitySpan
	best    float64          // highest rate of answers while it was warm, per second
}

// coldSpell is the cold phase after one start of a server: the time of the start and the times of the set-ups.
type coldSpell struct {
	since control.Micros
	sent  []control.Micros
}

// NewChecker returns a checker. capacities gives the set-ups per second that warm servers can handle, where that is known
// from another source than the records, as in a test; it may be nil.
func NewChecker(capacities map[uint32]float64) *Checker {
	c := &Checker{nodes: map[string]*checked{}, cold: map[uint32]*coldServer{}, capacity: capacities}
	for i, name := range ruleNames {
		c.found[i] = Finding{Rule: name, Evidence: []Evidence{}}
	}
	return c
}

func (c *Checker) node(name string) *checked {
	n := c.nodes[name]
	if n == nil {
		n = &checked{calls: map[string]*openCall{}, ended: map[string]ending{}, states: map[uint32]told{}}
		c.nodes[name] = n
	}
	return n
}

// breaks records a violation of a rule.
func (c *Checker) breaks(rule string, e Evidence) {
	f := &c.found[slices.Index(ruleNames, rule)]
	f.Count++
	if len(f.Evidence) < evidenceMost {
		f.Evidence = append(f.Evidence, e)
	}
}

// Gap processes a gap. It must be called in order with Event: after the events before the gap, before those after it.
func (c *Checker) Gap(g Gap) {
	n := c.node(g.Node)
	if g.Hides {
		c.gaps++
		if len(c.hidden) < evidenceMost {
			c.hidden = append(c.hidden, g)
		}
	}
	if g.Why == Restart {
		// The state of the process is lost, and the rules apply to running gatekeepers only. Calls that were still open at
		// a planned shutdown have been reported at Finished.
		n.calls, n.ended, n.states, n.dirty = map[string]*openCall{}, map[string]ending{}, map[uint32]told{}, false
		return
	}
	// Ends, answers and new attempts of these calls may be hidden in the gap: the calls are no longer checked.
	n.calls, n.ended, n.dirty = map[string]*openCall{}, map[string]ending{}, true
}

// Event processes one event.
func (c *Checker) Event(e *Event) {
	c.seen++
	c.now = max(c.now, e.At)
	n := c.node(e.Node)
	switch e.Kind {
	case Started, Continued:
		if e.Rules != nil {
			c.rules = *e.Rules
		}
	case Taken:
		if k := n.calls[e.Call]; k != nil && !k.answered {
			c.breaks(RuleAnswer, Evidence{e.Node, e.Call, 0, e.At, "received again before its final answer"})
		}
		n.calls[e.Call] = &openCall{taken: e.At, deadline: e.At + e.Span, attempt: -1}
	case Sent:
		c.sent(n, e)
	case Ended:
		if k := n.calls[e.Call]; k != nil {
			k.over = max(k.over, e.Attempt+1)
			if k.attempt == e.Attempt {
				k.attempt = -1
			}
		}
		if control.Guarded.Has(e.Code) {
			n.ended[e.Call] = ending{e.At, e.Attempt}
		}
	case Established, Refused, Failed:
		c.answered(n, e)
	case Gone:
		delete(n.calls, e.Call)
	case Listed:
		c.told(n, e)
	case Finished:
		for id, k := range n.calls {
			if !k.answered {
				c.breaks(RuleAnswer, Evidence{e.Node, id, 0, e.At, "no final answer at the planned shutdown of the gatekeeper"})
			}
		}
		n.calls = map[string]*openCall{}
	}
	if c.seen%4096 == 0 {
		c.sweep()
	}
}

// limit returns how long after the deadline a final answer still counts as in time.
func (c *Checker) limit() control.Micros { return c.rules.AnswerSlack + SocketSlack }

// sent checks a set-up against the rules on attempts, the release guard and draining servers.
func (c *Checker) sent(n *checked, e *Event) {
	k := n.calls[e.Call]
	if k != nil && e.Attempt < k.over {
		return // abandoned while it was being sent: its CANCEL follows on the same connection
	}
	if k != nil {
		if k.attempt >= 0 && k.attempt != e.Attempt {
			c.breaks(RuleOne, Evidence{e.Node, e.Call, e.Server, e.At, fmt.Sprintf("attempt %d sent to server %d while attempt %d is in flight to server %d",
				e.Attempt, e.Server, k.attempt, k.server)})
		}
		if k.answered {
			c.breaks(RuleAnswer, Evidence{e.Node, e.Call, e.Server, e.At, "sent after its final answer"})
		}
		k.attempt, k.server = e.Attempt, e.Server
	}
	if end, ok := n.ended[e.Call]; ok {
		if k == nil && e.Attempt <= end.attempt {
			return // the caller has withdrawn the call: this is the same attempt, abandoned while it was being sent
		}
		if gap := e.At - end.at; gap < c.rules.ReleaseGuard {
			c.breaks(RuleRelease, Evidence{e.Node, e.Call, e.Server, e.At, fmt.Sprintf("sent %d ms after the end of an attempt that may have been executed", gap/1000)})
		}
		delete(n.ended, e.Call)
	}
	if s, ok := n.states[e.Server]; ok && s.state != control.Ready && e.At > s.at+c.rules.DrainGrace+SocketSlack {
		c.breaks(RuleDrain, Evidence{e.Node, e.Call, e.Server, e.At, fmt.Sprintf("sent %d ms after the inventory reported server %d as %s",
			(e.At-s.at)/1000, e.Server, s.state)})
	}
	if s := c.cold[e.Server]; s != nil && e.At < s.since+c.rules.WarmWithin {
		s.sent = append(s.sent, e.At)
	}
}

// answered checks a final answer.
func (c *Checker) answered(n *checked, e *Event) {
	if e.Kind == Established {
		c.stood(e)
	}
	k := n.calls[e.Call]
	if k == nil { // received before the records begin, or in a gap
		return
	}
	switch {
	case k.answered:
		c.breaks(RuleAnswer, Evidence{e.Node, e.Call, 0, e.At, "second final answer: " + e.Kind.String()})
	case e.At > k.deadline+c.limit():
		c.breaks(RuleAnswer, Evidence{e.Node, e.Call, 0, e.At, fmt.Sprintf("%s %d ms after the caller's deadline", e.Kind, (e.At-k.deadline)/1000)})
	}
	if e.Kind != Established && k.attempt >= 0 {
		c.breaks(RuleOne, Evidence{e.Node, e.Call, k.server, e.At, fmt.Sprintf("%s while attempt %d is in flight to server %d", e.Kind, k.attempt, k.server)})
	}
	k.answered, k.attempt = true, -1
}

// stood counts an established call of a warm server: the highest rate of them is a lower bound of its capacity.
func (c *Checker) stood(e *Event) {
	s := c.cold[e.Server]
	if s == nil {
		s = &coldServer{}
		c.cold[e.Server] = s
	}
	if s.since > 0 && e.At < s.since+c.rules.WarmWithin {
		return
	}
	s.answers = append(s.answers, e.At)
	first := 0
	for first < len(s.answers) && s.answers[first] <= e.At-capacitySpan {
		first++
	}
	s.answers = s.answers[first:]
	if len(s.answers) >= capacityLeast {
		s.best = max(s.best, float64(len(s.answers))*1e6/float64(capacitySpan))
	}
}

// told records the state and the start of a server from the inventory.
func (c *Checker) told(n *checked, e *Event) {
	was, known := n.states[e.Server]
	if !known || was.state == control.Ready || e.State == control.Ready {
		n.states[e.Server] = told{e.State, e.At}
	} else {
		n.states[e.Server] = told{e.State, was.at} // drained and then gone: the grace period begins with the first of them
	}
	s := c.cold[e.Server]
	if s == nil {
		s = &coldServer{}
		c.cold[e.Server] = s
	}
	if e.Since > s.since && !sameStart(e.Since, s.since) {
		if len(s.sent) > 0 {
			s.before = append(s.before, coldSpell{s.since, s.sent})
		}
		s.since, s.sent, s.answers = e.Since, nil, nil
	}
}

// sameStart reports whether two times, each by the clock of another gatekeeper, are the same start of a server.
func sameStart(a, b control.Micros) bool { return max(a-b, b-a) <= 2*ClockSlack }

// sweep removes finished calls and reports those without a final answer long after their deadline.
func (c *Checker) sweep() {
	for name, n := range c.nodes {
		for id, k := range n.calls {
			switch {
			case k.answered && c.now > k.deadline+c.limit()+rememberEnded:
				delete(n.calls, id)
			case !k.answered && c.now > k.deadline+c.limit()+rememberEnded+ClockSlack:
				c.unanswered(name, id, k)
				delete(n.calls, id)
			}
		}
		for id, end := range n.ended {
			if c.now > end.at+c.rules.ReleaseGuard+rememberEnded {
				delete(n.ended, id)
			}
		}
	}
}

// unanswered records a call without a final answer.
func (c *Checker) unanswered(node, id string, k *openCall) {
	c.breaks(RuleAnswer, Evidence{node, id, 0, k.deadline, "no final answer by the caller's deadline"})
}

// Findings checks the remaining calls at the end of the records and returns the results of all five rules. Calls that are
// open where a gatekeeper's records end, and whose deadline has not passed by then, do not count.
func (c *Checker) Findings() []Finding {
	for name, n := range c.nodes {
		for id, k := range n.calls {
			if !k.answered && c.now > k.deadline+c.limit()+ClockSlack {
				c.unanswered(name, id, k)
			}
		}
		n.calls = map[string]*openCall{}
	}
	c.judgeCold()
	out := slices.Clone(c.found[:])
	for i := range out {
		f := &out[i]
		slices.SortStableFunc(f.Evidence, func(a, b Evidence) int { return int(min(max(a.At-b.At, -1), 1)) })
		switch {
		case f.Count > 0:
			f.Verdict = Broken
		case c.seen == 0:
			f.Verdict, f.Why = NotShown, "there are no records"
		case c.rules.ReleaseGuard == 0 && c.rules.FallTime == 0 && len(c.rules.Classes) == 0:
			f.Verdict, f.Why = NotShown, "no start is recorded, so the parameters of the rules are not known"
		case c.gaps > 0:
			f.Verdict, f.Why = NotShown, fmt.Sprintf("%d gaps hide events, the first at %s (%s)", c.gaps, c.hidden[0].Node, c.hidden[0].Why)
		case f.Verdict == "":
			f.Verdict = Held
		}
	}
	return out
}

// SoFar returns interim results: open calls and cold servers are not yet checked, so "held" covers only the events
// processed so far.
func (c *Checker) SoFar() []Finding {
	out := slices.Clone(c.found[:])
	for i := range out {
		switch {
		case out[i].Count > 0:
			out[i].Verdict = Broken
		case c.gaps > 0 || c.seen == 0 || out[i].Rule == RuleCold:
			out[i].Verdict = NotShown
		default:
			out[i].Verdict = Held
		}
	}
	return out
}

// judgeCold checks each window of the rule's length after a server's start. The records do not contain a server's capacity;
// the rate that it answered once warm is a lower bound. If a limit derived from that bound is kept, the rule held. If it is
// exceeded, the result is open, unless the capacity is known from another source. Windows are extended by the maximum
// difference between clocks.
func (c *Checker) judgeCold() {
	f := &c.found[slices.Index(ruleNames, RuleCold)]
	most := 0.0
	for _, s := range c.cold {
		most = max(most, s.best)
	}
	for _, id := range sortedIDs(c.cold) {
		s := c.cold[id]
		capacity, known := c.capacity[id]
		if !known {
			if capacity = s.best; capacity == 0 { // it never became warm: the highest rate of the other servers stands in
				capacity = most
			}
		}
		for _, spell := range append(s.before, coldSpell{s.since, s.sent}) {
			at, what := c.overrun(spell, capacity)
			switch {
			case what == "":
			case known:
				c.breaks(RuleCold, Evidence{"", "", id, at, what})
			case f.Verdict == "":
				f.Verdict = NotShown
				f.Why = fmt.Sprintf("server %d: %s by the observed answer rate, and its capacity is not recorded", id, what)
			}
		}
	}
}

// overrun returns the first window with more set-ups than the capacity allows, as the time of the set-up that exceeds the
// limit and a description, which is empty if there is no such window.
func (c *Checker) overrun(spell coldSpell, capacity float64) (at control.Micros, what string) {
	window := c.rules.FallTime + 2*ClockSlack
	slices.Sort(spell.sent)
	first := 0
	for i, at := range spell.sent {
		for spell.sent[first] <= at-window {
			first++
		}
		age := max(spell.sent[first]-spell.since, 0)
		warmed := min(float64(age)/float64(max(c.rules.WarmWithin, 1)), 1)
		limit := c.rules.FallMultiple * (c.rules.StartCapacity + (1-c.rules.StartCapacity)*warmed) * capacity * float64(window) / 1e6
		if n := i - first + 1; float64(n) > max(limit, coldFree) {
			return at, fmt.Sprintf("%d set-ups within %d ms, %d ms after its start; the limit is %.1f", n, window/1000, age/1000, limit)
		}
	}
	return 0, ""
}

// sortedIDs returns the keys of a map in ascending order.
func sortedIDs[V any](m map[uint32]V) []uint32 {
	ids := make([]uint32, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
