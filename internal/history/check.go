package history

import (
	"fmt"
	"slices"

	"beammux/control"
)

// Verdict tells whether a rule held.
type Verdict string

// The verdicts.
const (
	Held         Verdict = "held"
	Broken       Verdict = "broken"
	Inconclusive Verdict = "not shown" // a gap hides what would decide it, or nothing decides it
)

// The names of the rules, in order.
const (
	RuleAnswer        = "one final answer in time"
	RuleSingleAttempt = "never two attempts at once"
	RuleDrain         = "nothing new to a draining server"
	RuleColdServer    = "no cold server pushed over"
	RuleReleaseGuard  = "release awaited"
)

var ruleNames = []string{RuleAnswer, RuleSingleAttempt, RuleDrain, RuleColdServer, RuleReleaseGuard}

// Evidence is one break of a rule.
type Evidence struct {
	Node        string         `json:"gatekeeper,omitempty"`
	Call        string         `json:"call,omitempty"`
	Server      uint32         `json:"server,omitempty"`
	At          control.Micros `json:"at"`
	Description string         `json:"what"`
}

// Finding is what the records show of one rule.
type Finding struct {
	Rule     string     `json:"rule"`
	Verdict  Verdict    `json:"verdict"`
	Why      string     `json:"why,omitempty"` // of "not shown", or what "held" rests on
	Evidence []Evidence `json:"evidence"`
	Count    int        `json:"count"` // of all breaks; Evidence has the first of them
}

// Figures of the check.
const (
	evidenceMost  = 100                     // kept for each rule
	SocketSlack   = control.Micros(50000)   // by which each limit is longer on sockets (PROTOCOL, the rules on sockets)
	ClockSlack    = control.Micros(100000)  // by which clocks of gatekeepers may differ
	rememberEnded = control.Micros(2000000) // ends of attempts are kept for this much more than the release guard
	capacitySpan  = control.Micros(5000000) // over which a warm server's answers show what it can do
	capacityLeast = 20                      // answers within it that are believed
	coldFree      = 2                       // set-ups that push nothing over, whatever it can do
)

// Checker judges the rules by the events of a fleet, merged by time. Events of one gatekeeper must come in its own order;
// those of several may be out of order by ClockSlack. It keeps what is open alone, so its memory doesn't grow with time.
type Checker struct {
	rules    Rules
	nodes    map[string]*checked
	found    [5]Finding
	hidden   []Gap // the first of them
	gaps     int
	now      control.Micros
	cold     map[uint32]*coldServer
	capacity map[uint32]float64 // of a server whose capacity is known from elsewhere, set-ups a second
	seen     int
}

// ending is the end of an attempt from which the release guard counts.
type ending struct {
	at      control.Micros
	attempt int
}

// checked is what the checker knows of one gatekeeper.
type checked struct {
	calls  map[string]*openCall
	ended  map[string]ending // when the release guard began, for calls that still may be sent
	states map[uint32]told
	dirty  bool // a gap hid events: what is not known may have been told there
}

type told struct {
	state control.State
	at    control.Micros
}

type openCall struct {
	taken    control.Micros
	deadline control.Micros
	attempt  int // that is out, -1 if none
	over     int // attempts that have ended
	server   uint32
	answered bool
}

// coldServer is a server over all gatekeepers, as far as its starts are concerned.
type coldServer struct {
	since   control.Micros   // its last start, 0 if long ago
	sent    []control.Micros // while it was cold after that
	before  []coldSpell
	answers []control.Micros // of the last capacitySpan
	best    float64          // most answers a second seen while it was warm
}

type coldSpell struct {
	since control.Micros
	sent  []control.Micros
}

// NewChecker makes a checker. capacities gives set-ups a second that warm servers can do, where that is known from
// elsewhere than the records, as in a test; it may be nil.
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

func (c *Checker) breaks(rule string, e Evidence) {
	f := &c.found[slices.Index(ruleNames, rule)]
	f.Count++
	if len(f.Evidence) < evidenceMost {
		f.Evidence = append(f.Evidence, e)
	}
}

// Gap takes a gap at its place among the events: after what came before it, before what came after.
func (c *Checker) Gap(g Gap) {
	n := c.node(g.Node)
	if g.Hides {
		c.gaps++
		if len(c.hidden) < evidenceMost {
			c.hidden = append(c.hidden, g)
		}
	}
	if g.Why == Restart {
		// What the process that ended held is gone: a rule binds gatekeepers that run. After a planned end nothing may be
		// open; that was seen at Finished.
		n.calls, n.ended, n.states, n.dirty = map[string]*openCall{}, map[string]ending{}, map[uint32]told{}, false
		return
	}
	// Ends, answers and new attempts of these calls may lie in the gap: they are judged no more.
	n.calls, n.ended, n.dirty = map[string]*openCall{}, map[string]ending{}, true
}

// Event takes one event.
func (c *Checker) Event(e *Event) {
	c.seen++
	c.now = max(c.now, e.At)
	n := c.node(e.Node)
	switch e.Kind {
	case Started, Continued:
		if e.Rules != nil {
			c.rules = *e.Rules
		}
	case Received:
		if k := n.calls[e.Call]; k != nil && !k.answered {
			c.breaks(RuleAnswer, Evidence{e.Node, e.Call, 0, e.At, "taken again before its final answer"})
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
				c.breaks(RuleAnswer, Evidence{e.Node, id, 0, e.At, "no final answer when the gatekeeper ended as planned"})
			}
		}
		n.calls = map[string]*openCall{}
	}
	if c.seen%4096 == 0 {
		c.sweep()
	}
}

// limit is how long a final answer may take past the deadline.
func (c *Checker) limit() control.Micros { return c.rules.AnswerSlack + SocketSlack }

func (c *Checker) sent(n *checked, e *Event) {
	k := n.calls[e.Call]
	if k != nil && e.Attempt < k.over {
		return // given up while it was on its way out: its CANCEL follows it on the same line
	}
	if k != nil {
		if k.attempt >= 0 && k.attempt != e.Attempt {
			c.breaks(RuleSingleAttempt, Evidence{e.Node, e.Call, e.Server, e.At, fmt.Sprintf("attempt %d sent to server %d while attempt %d is out at server %d",
				e.Attempt, e.Server, k.attempt, k.server)})
		}
		if k.answered {
			c.breaks(RuleAnswer, Evidence{e.Node, e.Call, e.Server, e.At, "sent after its final answer"})
		}
		k.attempt, k.server = e.Attempt, e.Server
	}
	if end, ok := n.ended[e.Call]; ok {
		if k == nil && e.Attempt <= end.attempt {
			return // its caller has gone since: the same attempt, given up while it was on its way out
		}
		if gap := e.At - end.at; gap < c.rules.ReleaseGuard {
			c.breaks(RuleReleaseGuard, Evidence{e.Node, e.Call, e.Server, e.At, fmt.Sprintf("sent %d ms after an attempt that may have run ended", gap/1000)})
		}
		delete(n.ended, e.Call)
	}
	if s, ok := n.states[e.Server]; ok && s.state != control.Ready && e.At > s.at+c.rules.DrainGrace+SocketSlack {
		c.breaks(RuleDrain, Evidence{e.Node, e.Call, e.Server, e.At, fmt.Sprintf("sent %d ms after the list was heard to call server %d %s",
			(e.At-s.at)/1000, e.Server, s.state)})
	}
	if s := c.cold[e.Server]; s != nil && e.At < s.since+c.rules.WarmWithin {
		s.sent = append(s.sent, e.At)
	}
}

func (c *Checker) answered(n *checked, e *Event) {
	if e.Kind == Established {
		c.stood(e)
	}
	k := n.calls[e.Call]
	if k == nil { // taken before the records begin, or in a gap
		return
	}
	switch {
	case k.answered:
		c.breaks(RuleAnswer, Evidence{e.Node, e.Call, 0, e.At, "a second final answer: " + e.Kind.String()})
	case e.At > k.deadline+c.limit():
		c.breaks(RuleAnswer, Evidence{e.Node, e.Call, 0, e.At, fmt.Sprintf("%s %d ms after its caller had given up", e.Kind, (e.At-k.deadline)/1000)})
	}
	if e.Kind != Established && k.attempt >= 0 {
		c.breaks(RuleSingleAttempt, Evidence{e.Node, e.Call, k.server, e.At, fmt.Sprintf("%s while attempt %d is out at server %d", e.Kind, k.attempt, k.server)})
	}
	k.answered, k.attempt = true, -1
}

// stood notes what a warm server is seen to do: at least that is its capacity.
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

func (c *Checker) told(n *checked, e *Event) {
	was, known := n.states[e.Server]
	if !known || was.state == control.Ready || e.State == control.Ready {
		n.states[e.Server] = told{e.State, e.At}
	} else {
		n.states[e.Server] = told{e.State, was.at} // drained and then gone: the grace counts from the first
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

// sameStart tells whether two gatekeepers, each by its own clock, speak of the same start of a server.
func sameStart(a, b control.Micros) bool { return max(a-b, b-a) <= 2*ClockSlack }

// sweep forgets calls that are over and judges those that should be.
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

func (c *Checker) unanswered(node, id string, k *openCall) {
	c.breaks(RuleAnswer, Evidence{node, id, 0, k.deadline, "no final answer by the time its caller gave up"})
}

// Findings judges what is left at the end of the records and gives all five rules. Calls that are open where a
// gatekeeper's records end, and whose callers still wait then, decide nothing.
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
			f.Verdict, f.Why = Inconclusive, "there are no records"
		case c.rules.ReleaseGuard == 0 && c.rules.FallTime == 0 && len(c.rules.Classes) == 0:
			f.Verdict, f.Why = Inconclusive, "no start is recorded, so the figures of the rules are not known"
		case c.gaps > 0:
			f.Verdict, f.Why = Inconclusive, fmt.Sprintf("%d gaps hide events, the first at %s (%s)", c.gaps, c.hidden[0].Node, c.hidden[0].Why)
		case f.Verdict == "":
			f.Verdict = Held
		}
	}
	return out
}

// InterimFindings gives the rules in the middle of the records: what is open is not judged yet, and neither are cold servers, so
// "held" is said of what has been seen.
func (c *Checker) InterimFindings() []Finding {
	out := slices.Clone(c.found[:])
	for i := range out {
		switch {
		case out[i].Count > 0:
			out[i].Verdict = Broken
		case c.gaps > 0 || c.seen == 0 || out[i].Rule == RuleColdServer:
			out[i].Verdict = Inconclusive
		default:
			out[i].Verdict = Held
		}
	}
	return out
}

// judgeCold goes through each window of the rule's length after a server's start. What a server can do is told nowhere;
// what it answered once warm is the least that it can, and under a limit made of that the rule held for certain. Over it,
// nothing is shown, unless the capacity is known from elsewhere. Windows are longer by the clocks' difference.
func (c *Checker) judgeCold() {
	f := &c.found[slices.Index(ruleNames, RuleColdServer)]
	most := 0.0
	for _, s := range c.cold {
		most = max(most, s.best)
	}
	for _, id := range sortedIDs(c.cold) {
		s := c.cold[id]
		capacity, known := c.capacity[id]
		if !known {
			if capacity = s.best; capacity == 0 { // it did not get warm: those it joined tell
				capacity = most
			}
		}
		for _, spell := range append(s.before, coldSpell{s.since, s.sent}) {
			at, what := c.overrun(spell, capacity)
			switch {
			case what == "":
			case known:
				c.breaks(RuleColdServer, Evidence{"", "", id, at, what})
			case f.Verdict == "":
				f.Verdict = Inconclusive
				f.Why = fmt.Sprintf("server %d: %s by what it was seen to answer, and what it can do is told nowhere", id, what)
			}
		}
	}
}

// overrun finds the first window that holds more set-ups than a capacity allows.
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
			return at, fmt.Sprintf("%d set-ups within %d ms, %d ms after its start; %.1f are allowed", n, window/1000, age/1000, limit)
		}
	}
	return 0, ""
}

func sortedIDs[V any](m map[uint32]V) []uint32 {
	ids := make([]uint32, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
