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
	Held         Verdict = "held"
	Broken       Verdict = "broken"
	Inconclusive Verdict = "not shown" // a gap hides events that the check needs, or the records do not suffice
)

// The names of the rules, in order.
const (
	RuleAnswer        = "one final answer in time"
	RuleSingleAttempt = "never two attempts at once"
	RuleDrain         = "nothing new to a draining server"
	RuleColdServer    = "no cold server pushed over"
	RuleReleaseGuard  = "release awaited"
)

// ruleNames are the names of the rules in the order of the findings.
var ruleNames = []string{RuleAnswer, RuleSingleAttempt, RuleDrain, RuleColdServer, RuleReleaseGuard}

// Evidence describes one violation of a rule.
type Evidence struct {
	Node        string         `json:"gatekeeper,omitempty"`
	Call        string         `json:"call,omitempty"`
	Server      uint32         `json:"server,omitempty"`
	At          control.Micros `json:"at"`
	Description string         `json:"what"`
}

// Finding is the result of checking one rule against the records.
type Finding struct {
	Rule     string     `json:"rule"`
	Verdict  Verdict    `json:"verdict"`
	Why      string     `json:"why,omitempty"` // reason for the verdict Inconclusive
	Evidence []Evidence `json:"evidence"`
	Count    int        `json:"count"` // number of all violations; Evidence holds the first ones
}

// Parameters of the check.
const (
	maxEvidence        = 100                     // violations listed per rule
	SocketSlack        = control.Micros(50000)   // extension of each time limit on sockets (PROTOCOL, the rules on sockets)
	ClockSlack         = control.Micros(100000)  // maximum difference between the clocks of gatekeepers
	endedRetention     = control.Micros(2000000) // time for which ends of attempts are kept in addition to the release guard
	capacityWindow     = control.Micros(5000000) // span over which the answers of a warm server are counted to estimate its capacity
	minCapacityAnswers = 20                      // minimum number of answers in that span for an estimate
	coldMinimum        = 2                       // set-ups allowed in any window: they overload no server, whatever its capacity
)

// Checker checks the rules against the events of a fleet, merged by time. Events of one gatekeeper must arrive in the
// order in which they were recorded; those of different gatekeepers may be out of order by ClockSlack. It keeps only
// open calls, so its memory doesn't grow with time.
type Checker struct {
	rules          Rules
	nodes          map[string]*nodeState
	findings       [5]Finding
	hidingGaps     []Gap // the first gaps that hide events
	hidingGapCount int
	now            control.Micros
	servers        map[uint32]*serverHistory
	capacity       map[uint32]float64 // set-ups per second of servers whose capacity is known from another source
	events         int
}

// attemptEnd is the end of an attempt. The release guard runs since then.
type attemptEnd struct {
	since   control.Micros
	attempt int
}

// nodeState is the state of one gatekeeper in the checker.
type nodeState struct {
	calls      map[string]*openCall
	ended      map[string]attemptEnd // begin of the release guard, for calls of which further attempts may be sent
	states     map[uint32]listed
	incomplete bool // a gap hid events, so states may be incomplete
}

// listed is the state of a server in the inventory, with the time since which it applies.
type listed struct {
	state control.State
	since control.Micros
}

// openCall is the state of a call in the checker.
type openCall struct {
	receivedAt    control.Micros
	deadline      control.Micros
	attempt       int // attempt in flight, -1 if none
	endedAttempts int // number of attempts that have ended
	server        uint32
	answered      bool
}

// serverHistory holds the starts of a server and the set-ups that all gatekeepers sent to it while it was cold.
type serverHistory struct {
	startedAt     control.Micros   // last start, 0 if it is long past
	sent          []control.Micros // set-ups while it was cold after that start
	earlierPhases []coldPhase
	answers       []control.Micros // answers within the last capacityWindow
	maxRate       float64          // highest rate of answers while it was warm, per second
}

// coldPhase is the cold phase after one start of a server: the time of the start and the times of the set-ups.
type coldPhase struct {
	startedAt control.Micros
	setups    []control.Micros
}

// NewChecker returns a checker. capacities holds the set-ups per second that warm servers can handle, where that is
// known from another source than the records, as in a test; it may be nil.
func NewChecker(capacities map[uint32]float64) *Checker {
	c := &Checker{nodes: map[string]*nodeState{}, servers: map[uint32]*serverHistory{}, capacity: capacities}
	for i, name := range ruleNames {
		c.findings[i] = Finding{Rule: name, Evidence: []Evidence{}}
	}
	return c
}

// node returns the state of a gatekeeper, which it creates if needed.
func (c *Checker) node(name string) *nodeState {
	n := c.nodes[name]
	if n == nil {
		n = &nodeState{calls: map[string]*openCall{}, ended: map[string]attemptEnd{}, states: map[uint32]listed{}}
		c.nodes[name] = n
	}
	return n
}

// addViolation records a violation of a rule.
func (c *Checker) addViolation(rule string, e Evidence) {
	f := &c.findings[slices.Index(ruleNames, rule)]
	f.Count++
	if len(f.Evidence) < maxEvidence {
		f.Evidence = append(f.Evidence, e)
	}
}

// Gap processes a gap. It must be called in order with Event: after the events before the gap, before those after it.
func (c *Checker) Gap(g Gap) {
	n := c.node(g.Node)
	if g.Hides {
		c.hidingGapCount++
		if len(c.hidingGaps) < maxEvidence {
			c.hidingGaps = append(c.hidingGaps, g)
		}
	}
	if g.Why == Restart {
		// The state of the process is lost, and the rules apply to running gatekeepers only. Calls that were still open at
		// a planned shutdown have been reported at Finished.
		n.calls, n.ended, n.states, n.incomplete = map[string]*openCall{}, map[string]attemptEnd{}, map[uint32]listed{}, false
		return
	}
	// Ends, answers and new attempts of these calls may be hidden in the gap: the calls are no longer checked.
	n.calls, n.ended, n.incomplete = map[string]*openCall{}, map[string]attemptEnd{}, true
}

// Event processes one event.
func (c *Checker) Event(e *Event) {
	c.events++
	c.now = max(c.now, e.At)
	n := c.node(e.Node)
	switch e.Kind {
	case Started, Continued:
		if e.Rules != nil {
			c.rules = *e.Rules
		}
	case Received:
		if call := n.calls[e.Call]; call != nil && !call.answered {
			c.addViolation(RuleAnswer, Evidence{e.Node, e.Call, 0, e.At, "received again before its final answer"})
		}
		n.calls[e.Call] = &openCall{receivedAt: e.At, deadline: e.At + e.Span, attempt: -1}
	case Sent:
		c.sent(n, e)
	case Ended:
		if call := n.calls[e.Call]; call != nil {
			call.endedAttempts = max(call.endedAttempts, e.Attempt+1)
			if call.attempt == e.Attempt {
				call.attempt = -1
			}
		}
		if control.Guarded.Has(e.Code) {
			n.ended[e.Call] = attemptEnd{e.At, e.Attempt}
		}
	case Established, Refused, Failed:
		c.answered(n, e)
	case Gone:
		delete(n.calls, e.Call)
	case Listed:
		c.listed(n, e)
	case Finished:
		for id, call := range n.calls {
			if !call.answered {
				c.addViolation(RuleAnswer, Evidence{e.Node, id, 0, e.At, "no final answer at the planned shutdown of the gatekeeper"})
			}
		}
		n.calls = map[string]*openCall{}
	}
	if c.events%4096 == 0 {
		c.removeOldCalls()
	}
}

// answerTolerance returns how long after the deadline a final answer still counts as in time.
func (c *Checker) answerTolerance() control.Micros { return c.rules.AnswerSlack + SocketSlack }

// sent handles a Sent event: it checks the rules on attempts, the release guard and draining servers.
func (c *Checker) sent(n *nodeState, e *Event) {
	call := n.calls[e.Call]
	if call != nil && e.Attempt < call.endedAttempts {
		return // abandoned while it was being sent: its CANCEL follows on the same connection
	}
	if call != nil {
		if call.attempt >= 0 && call.attempt != e.Attempt {
			c.addViolation(RuleSingleAttempt, Evidence{e.Node, e.Call, e.Server, e.At, fmt.Sprintf("attempt %d sent to server %d while attempt %d is in flight to server %d",
				e.Attempt, e.Server, call.attempt, call.server)})
		}
		if call.answered {
			c.addViolation(RuleAnswer, Evidence{e.Node, e.Call, e.Server, e.At, "sent after its final answer"})
		}
		call.attempt, call.server = e.Attempt, e.Server
	}
	if end, ok := n.ended[e.Call]; ok {
		if call == nil && e.Attempt <= end.attempt {
			return // the caller has withdrawn the call: this is the same attempt, abandoned while it was being sent
		}
		if gap := e.At - end.since; gap < c.rules.ReleaseGuard {
			c.addViolation(RuleReleaseGuard, Evidence{e.Node, e.Call, e.Server, e.At, fmt.Sprintf("sent %d ms after the end of an attempt that may have been executed", gap/1000)})
		}
		delete(n.ended, e.Call)
	}
	if s, ok := n.states[e.Server]; ok && s.state != control.Ready && e.At > s.since+c.rules.DrainGrace+SocketSlack {
		c.addViolation(RuleDrain, Evidence{e.Node, e.Call, e.Server, e.At, fmt.Sprintf("sent %d ms after the inventory reported server %d as %s",
			(e.At-s.since)/1000, e.Server, s.state)})
	}
	if s := c.servers[e.Server]; s != nil && e.At < s.startedAt+c.rules.WarmWithin {
		s.sent = append(s.sent, e.At)
	}
}

// answered handles a final answer.
func (c *Checker) answered(n *nodeState, e *Event) {
	if e.Kind == Established {
		c.countEstablished(e)
	}
	call := n.calls[e.Call]
	if call == nil { // received before the records begin, or in a gap
		return
	}
	switch {
	case call.answered:
		c.addViolation(RuleAnswer, Evidence{e.Node, e.Call, 0, e.At, "second final answer: " + e.Kind.String()})
	case e.At > call.deadline+c.answerTolerance():
		c.addViolation(RuleAnswer, Evidence{e.Node, e.Call, 0, e.At, fmt.Sprintf("%s %d ms after the caller's deadline", e.Kind, (e.At-call.deadline)/1000)})
	}
	if e.Kind != Established && call.attempt >= 0 {
		c.addViolation(RuleSingleAttempt, Evidence{e.Node, e.Call, call.server, e.At, fmt.Sprintf("%s while attempt %d is in flight to server %d", e.Kind, call.attempt, call.server)})
	}
	call.answered, call.attempt = true, -1
}

// countEstablished counts an established call of a warm server. The highest rate of them is a lower bound of its capacity.
func (c *Checker) countEstablished(e *Event) {
	s := c.servers[e.Server]
	if s == nil {
		s = &serverHistory{}
		c.servers[e.Server] = s
	}
	if s.startedAt > 0 && e.At < s.startedAt+c.rules.WarmWithin {
		return
	}
	s.answers = append(s.answers, e.At)
	first := 0
	for first < len(s.answers) && s.answers[first] <= e.At-capacityWindow {
		first++
	}
	s.answers = s.answers[first:]
	if len(s.answers) >= minCapacityAnswers {
		s.maxRate = max(s.maxRate, float64(len(s.answers))*1e6/float64(capacityWindow))
	}
}

// listed handles a Listed event: it records the state and the start of a server.
func (c *Checker) listed(n *nodeState, e *Event) {
	previous, known := n.states[e.Server]
	if !known || previous.state == control.Ready || e.State == control.Ready {
		n.states[e.Server] = listed{e.State, e.At}
	} else {
		n.states[e.Server] = listed{e.State, previous.since} // drained and then gone: the grace period begins with the first of them
	}
	s := c.servers[e.Server]
	if s == nil {
		s = &serverHistory{}
		c.servers[e.Server] = s
	}
	if e.Since > s.startedAt && !sameStart(e.Since, s.startedAt) {
		if len(s.sent) > 0 {
			s.earlierPhases = append(s.earlierPhases, coldPhase{s.startedAt, s.sent})
		}
		s.startedAt, s.sent, s.answers = e.Since, nil, nil
	}
}

// sameStart reports whether two times, each by the clock of another gatekeeper, are the same start of a server.
func sameStart(a, b control.Micros) bool { return max(a-b, b-a) <= 2*ClockSlack }

// removeOldCalls removes finished calls and reports those without a final answer long after their deadline.
func (c *Checker) removeOldCalls() {
	for name, n := range c.nodes {
		for id, call := range n.calls {
			switch {
			case call.answered && c.now > call.deadline+c.answerTolerance()+endedRetention:
				delete(n.calls, id)
			case !call.answered && c.now > call.deadline+c.answerTolerance()+endedRetention+ClockSlack:
				c.reportUnanswered(name, id, call)
				delete(n.calls, id)
			}
		}
		for id, end := range n.ended {
			if c.now > end.since+c.rules.ReleaseGuard+endedRetention {
				delete(n.ended, id)
			}
		}
	}
}

// reportUnanswered records a call without a final answer.
func (c *Checker) reportUnanswered(node, id string, call *openCall) {
	c.addViolation(RuleAnswer, Evidence{node, id, 0, call.deadline, "no final answer by the caller's deadline"})
}

// Findings checks the remaining calls at the end of the records and returns the results of all five rules. Calls that are
// open where a gatekeeper's records end, and whose deadline has not passed by then, do not count.
func (c *Checker) Findings() []Finding {
	for name, n := range c.nodes {
		for id, call := range n.calls {
			if !call.answered && c.now > call.deadline+c.answerTolerance()+ClockSlack {
				c.reportUnanswered(name, id, call)
			}
		}
		n.calls = map[string]*openCall{}
	}
	c.checkColdServers()
	result := slices.Clone(c.findings[:])
	for i := range result {
		f := &result[i]
		slices.SortStableFunc(f.Evidence, func(a, b Evidence) int { return int(min(max(a.At-b.At, -1), 1)) })
		switch {
		case f.Count > 0:
			f.Verdict = Broken
		case c.events == 0:
			f.Verdict, f.Why = Inconclusive, "there are no records"
		case c.rules.ReleaseGuard == 0 && c.rules.FallTime == 0 && len(c.rules.Classes) == 0:
			f.Verdict, f.Why = Inconclusive, "no start is recorded, so the parameters of the rules are not known"
		case c.hidingGapCount > 0:
			f.Verdict, f.Why = Inconclusive, fmt.Sprintf("%d gaps hide events, the first at %s (%s)", c.hidingGapCount, c.hidingGaps[0].Node, c.hidingGaps[0].Why)
		case f.Verdict == "":
			f.Verdict = Held
		}
	}
	return result
}

// InterimFindings returns interim results: open calls and cold servers are not yet checked, so "held" covers only the events
// processed so far.
func (c *Checker) InterimFindings() []Finding {
	result := slices.Clone(c.findings[:])
	for i := range result {
		switch {
		case result[i].Count > 0:
			result[i].Verdict = Broken
		case c.hidingGapCount > 0 || c.events == 0 || result[i].Rule == RuleColdServer:
			result[i].Verdict = Inconclusive
		default:
			result[i].Verdict = Held
		}
	}
	return result
}

// checkColdServers checks each window of the rule's length after a server's start. The records do not contain a server's
// capacity; the rate at which it answered once it was warm is a lower bound. If the limit derived from that bound is kept,
// the rule held. If it is exceeded, the verdict is Inconclusive, unless the capacity is known from another source. Windows
// are extended by the maximum difference between clocks.
func (c *Checker) checkColdServers() {
	f := &c.findings[slices.Index(ruleNames, RuleColdServer)]
	highestRate := 0.0
	for _, s := range c.servers {
		highestRate = max(highestRate, s.maxRate)
	}
	for _, id := range sortedIDs(c.servers) {
		s := c.servers[id]
		capacity, known := c.capacity[id]
		if !known {
			if capacity = s.maxRate; capacity == 0 { // it never became warm: use the highest rate of all servers
				capacity = highestRate
			}
		}
		for _, phase := range append(s.earlierPhases, coldPhase{s.startedAt, s.sent}) {
			at, description := c.findOverload(phase, capacity)
			switch {
			case description == "":
			case known:
				c.addViolation(RuleColdServer, Evidence{"", "", id, at, description})
			case f.Verdict == "":
				f.Verdict = Inconclusive
				f.Why = fmt.Sprintf("server %d: %s by the observed answer rate, and its capacity is not recorded", id, description)
			}
		}
	}
}

// findOverload finds the first window with more set-ups than the capacity allows. It returns the time of the set-up that
// exceeds the limit and a description, which is empty if there is no such window.
func (c *Checker) findOverload(phase coldPhase, capacity float64) (at control.Micros, description string) {
	window := c.rules.FallTime + 2*ClockSlack
	slices.Sort(phase.setups)
	first := 0
	for i, at := range phase.setups {
		for phase.setups[first] <= at-window {
			first++
		}
		age := max(phase.setups[first]-phase.startedAt, 0)
		warmed := min(float64(age)/float64(max(c.rules.WarmWithin, 1)), 1)
		limit := c.rules.FallMultiple * (c.rules.StartCapacity + (1-c.rules.StartCapacity)*warmed) * capacity * float64(window) / 1e6
		if n := i - first + 1; float64(n) > max(limit, coldMinimum) {
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
