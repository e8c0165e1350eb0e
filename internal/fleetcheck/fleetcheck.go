// Package fleetcheck checks a run of many gatekeepers against the rules of a fleet. Its input are events observed from outside
// (at callers, servers, processes, links) and the gatekeepers' own records; its output are findings. It does no I/O and reads
// no clock. Package history checks the five rules on a single gatekeeper from its records. This package adds the rules that
// need observations from outside, and invariants of the whole fleet, which implement the Invariant interface.
//
// The rules and figures are those of the protocol ("The rules on sockets", "Figures") and of the design. A rule binds a process
// that runs and is reachable. Missing answers are excused while a gatekeeper is killed or paused or the link to its callers is
// faulty, and so is an answer that is late by no more than its process, or the laboratory, was measured to have waited for a
// processor. Nothing else is excused; in particular not faults between a gatekeeper and servers, the event bus or peers.
package fleetcheck

import (
	"fmt"
	"slices"
	"strings"

	"beammux/control"
	"beammux/internal/history"
)

// Kind is the kind of an event.
type Kind uint8

// The kinds of events, with the fields of Event that each uses besides At and Place.
const (
	Ready               Kind = iota + 1 // Process accepts callers
	StopRequested                       // Process received SIGTERM
	Stopped                             // Process was killed on purpose, or ended after SIGTERM
	Crashed                             // Process ended by itself; What describes how
	Paused                              // Process received SIGSTOP
	Resumed                             // Process received SIGCONT
	LinkFaulty                          // a fault begins on the traffic from Process to Peer or on connections opened in that direction
	LinkHealed                          // that fault ends
	Logged                              // Process wrote a log line; Level, What, and Peer and Health if it concerns a member
	Tried                               // Call was sent to Process; Span is the time allowed for its answer
	Established                         // Call was established by Process, a final answer; What is the session description
	Refused                             // Call was refused, a final answer
	Failed                              // Call failed, a final answer
	ExtraAnswer                         // Call received another final answer; What names it
	Expired                             // Call received no answer within its time
	Broken                              // Call's connection ended without an answer
	Unsent                              // no gatekeeper was found for Call
	ServerEstablished                   // server Process established Call; What is the session description
	FaultBegan                          // a fault begins; What is its name
	FaultEnded                          // a fault ends; What is its name
	ViewRead                            // Process has a view of the fleet with hash What and members Peer up (names separated by spaces)
	RateRead                            // Process counts Value calls per second from the reports of members Peer; the oldest is at least Span old
	LimitChanged                        // the files of gatekeepers Process (names separated by spaces) allow Value calls per second and a burst of Class
	DemandMoved                         // callers now place first calls at gatekeepers Process (names separated by +)
	VerdictsRead                        // Process excludes servers Peer (their numbers), busy numbers Class and client addresses Call
	AnsweredLate                        // Call received its first answer from Process after its time
	ProcessorDelayed                    // runnable threads of Process (or Laboratory) waited for a processor in the last Value seconds: Span in all, one of them Class microseconds
	VerdictPhaseChanged                 // Process logged that its verdict on server Peer (its number) entered phase What
	GaveUp                              // the caller cancelled Call before its answer: none is due any more
	Released                            // the caller read the release of Call
	ServerReleased                      // server Process wrote the release of Call
	ServerLost                          // server Process was lost with Call established or in progress
	ServerSetup                         // a set-up of Call arrived whole at server Process, from gatekeeper Peer
	Listed                              // the list of servers names Process in state What: up, draining or removed
	CallersLeft                         // the trial is over: all callers close their connections
	Evacuated                           // Process has answered an evacuate request of the operators with yes
	Rejoined                            // Process has answered a rejoin request of the operators with yes
	ClientConnected                     // the callers have opened their connection to Process
	ClientDisconnected                  // the callers' connection to Process has ended
	kindCount
)

var kindNames = [kindCount]string{"", "ready", "asked", "stopped", "crashed", "paused", "woken", "troubled", "healed", "logged", "tried",
	"stood", "refused", "failed", "second", "expired", "broken", "unsent", "given", "fault from", "fault to", "viewed", "heard", "limited", "moved", "judged", "late", "delayed", "changed",
	"gave up", "released", "server released", "server lost", "server setup", "listed", "callers left",
	"evacuated", "rejoined", "connected", "disconnected"}

// String returns the name of the kind as written to event files.
func (k Kind) String() string {
	if k >= kindCount {
		return "unknown"
	}
	return kindNames[k]
}

// ParseKind returns the kind with the given name; ok is false if there is none.
func ParseKind(name string) (k Kind, ok bool) {
	i := slices.Index(kindNames[:], name)
	return Kind(max(i, 0)), i > 0
}

// Place is the source position of an event: the file and line from which it was read.
type Place struct {
	File string `json:"file"`
	Line int    `json:"line"`
}

// String returns the place as FILE:LINE.
func (p Place) String() string { return fmt.Sprintf("%s:%d", p.File, p.Line) }

// Event is one observation. Times are Unix microseconds of the laboratory machine's single clock. The meaning of most fields
// depends on Kind.
type Event struct {
	At      control.Micros
	Kind    Kind
	Process string
	Peer    string
	Call    string
	Class   string
	Level   string
	Health  string // health of a member in a log line
	What    string
	Span    control.Micros
	Value   float64
	Place   Place
}

// The rules that this package checks, in addition to the five of package history.
const (
	RuleFinal   = "each caller gets one final answer"
	RuleServed  = "served only what a server answered"
	RuleGated   = "no new set-ups to a gated server"
	RuleNoCrash = "no process ends by itself"
	RuleLog     = "no panic and no missed decision in a log"
	RuleGivenUp = "no member given up that runs and is reached"
)

// Tolerances of the check.
const (
	AnswerSlack     = control.Micros(50000 + 100000) // 50 ms that the protocol allows on sockets, and 100 ms for a loaded laboratory machine
	closeCrossing   = control.Micros(50000)          // the caller resends a set-up whose connection closes this soon after it was sent (protocol)
	acceptAfterStop = control.Micros(700000)         // calls that arrive later than this after SIGTERM need no answer (protocol)
	recoveryGrace   = control.Micros(300000)         // after a process resumes or starts, or a link heals, delayed messages may still arrive late
	maxEvidence     = 20                             // pieces of evidence kept for each rule
)

// Evidence describes one violation of a rule.
type Evidence struct {
	At      control.Micros `json:"at"`
	Process string         `json:"process"`
	Call    string         `json:"call,omitempty"`
	Place   string         `json:"place"`
	What    string         `json:"what"`
}

// String returns the evidence as one line of text.
func (e Evidence) String() string {
	s := fmt.Sprintf("%s %s", e.Process, e.Place)
	if e.Call != "" {
		s += " call " + e.Call
	}
	return s + ": " + e.What
}

// Finding is the result of one rule for a run.
type Finding struct {
	Rule     string          `json:"rule"`
	Verdict  history.Verdict `json:"verdict"`
	Why      string          `json:"why,omitempty"`
	Count    int             `json:"count"`
	Excused  int             `json:"excused,omitempty"` // violations that are excused by a fault or a delay
	Evidence []Evidence      `json:"evidence,omitempty"`
}

// Invariant is an additional rule on the fleet. Event is called for each event in order of time, End once at the end. Both pass
// violations to the given function.
type Invariant interface {
	Rule() string
	Event(e *Event, report func(Evidence))
	End(report func(Evidence))
}

// RecordInvariant is an Invariant that also receives the gatekeepers' own records, merged into the events by time.
type RecordInvariant interface {
	Invariant
	Record(e *history.Event, place Place, report func(Evidence))
}

// span is an interval, for example of a fault; to is 0 while the interval is open.
type span struct{ from, to control.Micros }

// overlaps reports whether a span overlaps with the interval between two times.
func overlaps(spans []span, from, to control.Micros) bool {
	for _, s := range spans {
		if s.from <= to && (s.to == 0 || s.to >= from) {
			return true
		}
	}
	return false
}

// open reports whether the last span is still open.
func open(spans []span) bool { return len(spans) > 0 && spans[len(spans)-1].to == 0 }

// process holds the events at one process that may excuse a missing answer.
type process struct {
	down         []span           // while not ready or paused, extended by recoveryGrace
	stopRequests []control.Micros // times of SIGTERM
	link         []span           // faults on the link to or from its callers
	faulty       map[string]bool  // directions of that link that are impaired, by their first process
}

// sentCall is the event of a call together with the gatekeeper to which the call was sent.
type sentCall struct {
	Event
	gatekeeper string
}

// possibleViolation violates a rule unless it is excused, which is decided at the end, when all faults and delays are known.
type possibleViolation struct {
	rule     string
	from     control.Micros // beginning of the interval in which a fault excuses it
	deadline control.Micros // time at which a late answer was due; 0: waits for a processor do not excuse it
	answered control.Micros // time of the late answer; 0: not before the end of the caller's time
	Evidence
}

// Checker checks the events of a run, which it receives in order of time.
type Checker struct {
	callerPrefix       string
	processes          map[string]*process
	pendingCalls       map[string]sentCall // calls without an outcome
	answers            map[string]sentCall // final answers by call
	finalKinds         map[string]Kind     // outcomes by call
	serverAnswers      map[string]string   // session descriptions by call, from the servers
	possibleViolations []possibleViolation
	findings           map[string]*Finding
	order              []string // rules in order of findings
	invariants         []Invariant
	records            *history.Checker
	stats              Stats
	now                control.Micros // time of the latest event
	timeline           timeline
	logged             bool // whether any log was read
	viewAgreement      viewAgreement
	delays             delays
}

// Stats counts the calls of a run by outcome.
type Stats struct {
	Tries       int `json:"tries"`
	Established int `json:"stood"`
	Refused     int `json:"refused"`
	Failed      int `json:"failed"`
	Unanswered  int `json:"unanswered"`
	Broken      int `json:"broken"`
	Unsent      int `json:"unsent"`
	Gated       int `json:"setups_to_gated_servers"`
}

// New returns a checker. The names of the callers' processes, and of no others, begin with callerPrefix. capacities holds the set-ups
// per second of each warm server, by its number in the records.
func New(callerPrefix string, capacities map[uint32]float64, invariants ...Invariant) *Checker {
	c := &Checker{callerPrefix: callerPrefix, processes: map[string]*process{}, pendingCalls: map[string]sentCall{}, answers: map[string]sentCall{}, finalKinds: map[string]Kind{}, serverAnswers: map[string]string{},
		findings: map[string]*Finding{}, invariants: invariants, records: history.NewChecker(capacities)}
	for _, rule := range []string{RuleFinal, RuleServed, RuleGated, RuleNoCrash, RuleLog, RuleGivenUp} {
		c.rule(rule)
	}
	for _, i := range invariants {
		c.rule(i.Rule())
	}
	return c
}

// rule returns the finding of a rule and creates it if needed.
func (c *Checker) rule(name string) *Finding {
	f := c.findings[name]
	if f == nil {
		f = &Finding{Rule: name}
		c.findings[name] = f
		c.order = append(c.order, name)
	}
	return f
}

// addViolation counts a violation of a rule and keeps the first maxEvidence pieces of evidence.
func (c *Checker) addViolation(rule string, e Evidence) {
	f := c.rule(rule)
	f.Count++
	if len(f.Evidence) < maxEvidence {
		f.Evidence = append(f.Evidence, e)
	}
}

// process returns the state of a process and creates it if needed.
func (c *Checker) process(name string) *process {
	p := c.processes[name]
	if p == nil {
		p = &process{}
		c.processes[name] = p
	}
	return p
}

// Event processes one event.
func (c *Checker) Event(e *Event) {
	c.now = max(c.now, e.At)
	evidence := func(what string) Evidence { return Evidence{e.At, e.Process, e.Call, e.Place.String(), what} }
	switch e.Kind {
	case Ready, Resumed:
		if p := c.process(e.Process); open(p.down) {
			p.down[len(p.down)-1].to = e.At + recoveryGrace
		}
		if e.Kind == Ready {
			c.timeline.ready(e)
		}
	case StopRequested:
		p := c.process(e.Process)
		p.stopRequests = append(p.stopRequests, e.At)
	case Stopped, Paused, Crashed:
		if p := c.process(e.Process); !open(p.down) {
			p.down = append(p.down, span{from: e.At})
		}
		if e.Kind == Crashed {
			c.addViolation(RuleNoCrash, evidence(e.What))
		}
		c.timeline.down(e)
	case LinkFaulty, LinkHealed:
		c.link(e)
	case Logged:
		c.logged = true
		if e.What == memberGivenUp {
			c.memberGivenUp(e, evidence("gave up "+e.Peer+", which was running and reachable"))
		}
		c.log(e, evidence)
	case Tried:
		c.stats.Tries++
		c.pendingCalls[e.Call] = sentCall{*e, e.Process}
		c.timeline.tried(e)
	case Established, Refused, Failed:
		c.answered(e, evidence)
	case ExtraAnswer:
		c.extraAnswer(e, evidence("a second final answer: "+e.What))
	case Expired, Broken:
		c.unanswered(e, evidence)
	case GaveUp:
		delete(c.pendingCalls, e.Call)
	case Unsent:
		c.stats.Unsent++
		c.timeline.outcome(e, false)
	case AnsweredLate:
		c.delays.answered(e)
	case ProcessorDelayed:
		c.delays.add(e)
	case ServerEstablished:
		c.serverAnswers[e.Call] = e.What
	case FaultBegan, FaultEnded:
		c.timeline.fault(e)
	}
	c.updateAgreement(e)
	for _, i := range c.invariants {
		i.Event(e, func(ev Evidence) { c.addViolation(i.Rule(), ev) })
	}
}

// link records faults on links between callers and a gatekeeper. Faults on other links excuse nothing.
func (c *Checker) link(e *Event) {
	gatekeeper := ""
	switch {
	case strings.HasPrefix(e.Process, c.callerPrefix):
		gatekeeper = e.Peer
	case strings.HasPrefix(e.Peer, c.callerPrefix):
		gatekeeper = e.Process
	default:
		return
	}
	p := c.process(gatekeeper)
	if e.Kind == LinkFaulty {
		if p.faulty == nil {
			p.faulty = map[string]bool{}
		}
		p.faulty[e.Process] = true
		if !open(p.link) {
			p.link = append(p.link, span{from: e.At})
		}
		return
	}
	delete(p.faulty, e.Process)
	if len(p.faulty) == 0 && open(p.link) {
		p.link[len(p.link)-1].to = e.At + recoveryGrace
	}
}

// log checks a log line of a process. "no decision by the deadline" means that the core failed a call because the module did not
// decide in time, which is excused for a process that was paused shortly before.
func (c *Checker) log(e *Event, evidence func(string) Evidence) {
	switch {
	case e.Level == "panic" || e.Level == "fatal":
		c.addViolation(RuleLog, evidence(e.Level+": "+e.What))
	case e.Level == "error" && isModuleFailure(e.What):
		c.possibleViolations = append(c.possibleViolations, possibleViolation{rule: RuleLog, from: e.At - 5e6, Evidence: evidence(e.What)})
	}
}

// isModuleFailure reports whether a log message is about a missed decision or a panic of the module.
func isModuleFailure(what string) bool {
	const missed, panicked = "no decision by the deadline", "module panicked"
	return len(what) >= len(missed) && what[:len(missed)] == missed || len(what) >= len(panicked) && what[:len(panicked)] == panicked
}

// answered processes the first final answer to a call.
func (c *Checker) answered(e *Event, evidence func(string) Evidence) {
	if previous, answeredBefore := c.finalKinds[e.Call]; answeredBefore {
		c.addViolation(RuleFinal, evidence(fmt.Sprintf("a second final answer (%d after %d)", e.Kind, previous)))
		return
	}
	c.finalKinds[e.Call] = e.Kind
	sent, known := c.pendingCalls[e.Call]
	delete(c.pendingCalls, e.Call)
	if !known {
		c.addViolation(RuleFinal, evidence("an answer to a set-up that no caller sent"))
		return
	}
	c.answers[e.Call] = sentCall{*e, sent.gatekeeper}
	switch e.Kind {
	case Established:
		c.stats.Established++
		if body, ok := c.serverAnswers[e.Call]; !ok || body != e.What {
			c.addViolation(RuleServed, evidence(fmt.Sprintf("served %q, but the servers answered %q", e.What, body)))
		}
	case Refused:
		c.stats.Refused++
	default:
		c.stats.Failed++
	}
	c.timeline.outcome(e, e.Kind == Established)
	if late := e.At - (sent.At + sent.Span + AnswerSlack); late > 0 {
		c.possibleViolations = append(c.possibleViolations, possibleViolation{RuleFinal, sent.At, sent.At + sent.Span, e.At, evidence(fmt.Sprintf("answered %d ms after its caller's deadline", late/1000))})
	}
}

// unanswered processes the end of a call that received no final answer.
func (c *Checker) unanswered(e *Event, evidence func(string) Evidence) {
	sent, known := c.pendingCalls[e.Call]
	delete(c.pendingCalls, e.Call)
	if !known { // no gatekeeper was found for it: counted as Unsent
		return
	}
	if e.Kind == Expired {
		c.stats.Unanswered++
	} else {
		c.stats.Broken++
	}
	c.timeline.outcome(e, false)
	c.finalKinds[e.Call] = e.Kind
	what, due := "no final answer by its caller's deadline", sent.At+sent.Span
	if e.Kind == Broken {
		due = 0
		if e.At-sent.At <= closeCrossing {
			return
		}
		what = fmt.Sprintf("its connection ended without an answer %d ms after the call was sent", (e.At-sent.At)/1000)
	}
	c.possibleViolations = append(c.possibleViolations, possibleViolation{RuleFinal, sent.At, due, 0, evidence(what)})
}

// extraAnswer checks another answer to a call that has its final answer. A release is excused if the process restarted since: the
// new process does not know the call, while a server whose answer was lost still considers it established, and the process
// forwards the server's release (protocol, "The rules on sockets": an established call is released to its client).
func (c *Checker) extraAnswer(e *Event, evidence Evidence) {
	answer, known := c.answers[e.Call]
	if known {
		evidence.Process = answer.gatekeeper
	}
	if _, established := c.serverAnswers[e.Call]; e.What == "close" && known && established {
		c.possibleViolations = append(c.possibleViolations, possibleViolation{rule: RuleFinal, from: answer.At, Evidence: evidence})
		return
	}
	c.addViolation(RuleFinal, evidence)
}

// excused reports whether a fault at a process excuses a missing answer in the interval between two times.
func (c *Checker) excused(name string, from, to control.Micros) bool {
	p := c.process(name)
	if overlaps(p.down, from, to) || overlaps(p.link, from, to) {
		return true
	}
	for _, stopRequested := range p.stopRequests {
		if from > stopRequested+acceptAfterStop && !c.readySince(p, stopRequested, from) {
			return true
		}
	}
	return false
}

// readySince reports whether a process that received SIGTERM at stopRequested is ready again by a time.
func (c *Checker) readySince(p *process, stopRequested, by control.Micros) bool {
	for _, d := range p.down {
		if d.from >= stopRequested && d.to != 0 && d.to <= by {
			return true
		}
	}
	return false
}

// Record processes one event of a gatekeeper's own records, merged into the events by time; place is its source position.
func (c *Checker) Record(e *history.Event, place Place) {
	c.records.Event(e)
	if e.Kind == history.Received {
		c.delays.taken(e)
	}
	c.gated(e, place)
	for _, i := range c.invariants {
		if r, ok := i.(RecordInvariant); ok {
			r.Record(e, place, func(ev Evidence) { c.addViolation(i.Rule(), ev) })
		}
	}
}

// Gap processes a gap in the records.
func (c *Checker) Gap(g history.Gap) { c.records.Gap(g) }

// gated checks that no set-up is sent to a server that its gatekeeper considers gated (level 2 or more). It uses the level recorded
// with the decision. The periodic views in the records are too coarse: between two of them a level may fall with a report and
// rise again with the next delay.
func (c *Checker) gated(e *history.Event, place Place) {
	if e.Kind != history.Sent || !(control.View{Level: e.Level}).Gated() {
		return
	}
	c.stats.Gated++
	c.addViolation(RuleGated, Evidence{e.At, e.Node, e.Call, place.String(),
		fmt.Sprintf("sent to server %d, which it held at level %d", e.Server, e.Level)})
}

// Result is the outcome of the check of a run.
type Result struct {
	Findings []Finding `json:"findings"`
	Stats    Stats     `json:"stats"`
	Faults   []Settled `json:"faults"`
	Course   []Bucket  `json:"-"`
	First    *Evidence `json:"first_broken,omitempty"` // the earliest violation
	Rule     string    `json:"first_broken_rule,omitempty"`

	Disturbance Disturbance `json:"disturbance"`
}

// Held reports whether no rule was violated.
func (r *Result) Held() bool { return r.First == nil }

// Result decides on the remaining possible violations and returns the outcome. The checker must not be used afterwards.
func (c *Checker) Result() *Result {
	for _, i := range c.invariants {
		i.End(func(ev Evidence) { c.addViolation(i.Rule(), ev) })
	}
	for _, s := range c.possibleViolations {
		if c.excused(s.Process, s.from, s.At) || s.deadline > 0 && c.delays.explains(s.Call, s.Process, s.from, s.deadline, s.answered) {
			c.rule(s.rule).Excused++
			continue
		}
		c.addViolation(s.rule, s.Evidence)
	}
	c.possibleViolations = nil
	c.addRecordFindings()
	r := &Result{Disturbance: c.delays.disturbed, Stats: c.stats, Faults: c.addViewTimes(c.timeline.settledFaults()), Course: c.timeline.buckets()}
	for _, name := range c.order {
		f := c.findings[name]
		slices.SortStableFunc(f.Evidence, func(a, b Evidence) int { return int(min(max(a.At-b.At, -1), 1)) })
		switch {
		case f.Count > 0:
			f.Verdict = history.Broken
		case f.Verdict != "":
		case (name == RuleFinal || name == RuleServed) && c.stats.Tries == 0:
			f.Verdict, f.Why = history.Inconclusive, "no calls were sent"
		case name == RuleGivenUp && len(c.viewAgreement.views) == 0:
			f.Verdict, f.Why = history.Inconclusive, "no view of the fleet was read"
		case name == RuleLog && !c.logged:
			f.Verdict, f.Why = history.Inconclusive, "no log was read"
		default:
			f.Verdict = history.Held
		}
		if len(f.Evidence) > 0 && (r.First == nil || f.Evidence[0].At < r.First.At) {
			r.First, r.Rule = &f.Evidence[0], name
		}
		r.Findings = append(r.Findings, *f)
	}
	return r
}

// addRecordFindings adds the findings of package history. Late answers of a process that was paused or delayed are excused.
func (c *Checker) addRecordFindings() {
	for _, recordFinding := range c.records.Findings() {
		f := c.rule("records: " + recordFinding.Rule)
		f.Why = recordFinding.Why
		if recordFinding.Verdict != history.Broken {
			f.Verdict = recordFinding.Verdict
			continue
		}
		for _, e := range recordFinding.Evidence {
			if recordFinding.Rule == history.RuleAnswer && (c.excused(e.Node, e.At-10e6, e.At) || c.delays.explainsRecord(e.Node, e.Call, e.At)) {
				f.Excused++
				continue
			}
			c.addViolation(f.Rule, Evidence{e.At, e.Node, e.Call, "records/" + e.Node, e.Description})
		}
		f.Count += recordFinding.Count - len(recordFinding.Evidence)
		if f.Count == 0 {
			f.Verdict = history.Held
			f.Why = "all violations are excused"
		}
	}
}
