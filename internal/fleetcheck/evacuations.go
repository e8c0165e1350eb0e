package fleetcheck

import (
	"fmt"

	"beammux/control"
)

// RuleEvacuated is that an evacuated gatekeeper holds no client's connection past its time.
const RuleEvacuated = "an evacuated gatekeeper holds no client's connection"

// Times of the operators' pages for an evacuation.
const (
	evacuatedWithin = control.Micros(4_000_000) + AnswerSlack // from the answer to the request until no connection is held
	recentRequest   = control.Micros(2_000_000)               // a connection with a request that is not older is held
)

// Evacuations checks RuleEvacuated from what operators and callers saw: when the time has passed, the callers' connection to the gatekeeper
// must have ended, or all that is open on it must be older requests.
type Evacuations struct {
	callerPrefix string
	gatekeepers  map[string]*evacuatedGatekeeper
	unanswered   map[string]string // gatekeeper of each call without an answer
	links        linkSpans
	paused       faultSpans
}

// evacuatedGatekeeper is what is known of one gatekeeper and the callers' connection to it.
type evacuatedGatekeeper struct {
	evacuatedAt control.Micros // 0: not evacuated, or checked
	connected   bool
	lastSent    control.Micros // of the last set-up
	unanswered  int            // set-ups
}

// NewEvacuations returns the invariant. The names of the callers' processes, and of no others, begin with callerPrefix.
func NewEvacuations(callerPrefix string) *Evacuations {
	return &Evacuations{callerPrefix: callerPrefix, gatekeepers: map[string]*evacuatedGatekeeper{}, unanswered: map[string]string{},
		links: newLinkSpans(), paused: faultSpans{}}
}

// Rule implements Invariant.
func (i *Evacuations) Rule() string { return RuleEvacuated }

// Event implements Invariant.
func (i *Evacuations) Event(e *Event, report func(Evidence)) {
	for name, g := range i.gatekeepers {
		if due := g.evacuatedAt + evacuatedWithin; g.evacuatedAt > 0 && e.At > due {
			i.check(name, g, due, report)
			g.evacuatedAt = 0
		}
	}
	switch e.Kind {
	case LinkFaulty, LinkHealed:
		i.links.event(e)
		return
	case Paused:
		i.paused.begin(e.Process, e.At)
		return
	case Resumed:
		i.paused.end(e.Process, e.At)
		return
	case Established, Refused, Failed, Expired, Broken, GaveUp:
		i.answered(e.Call)
		return
	}
	if e.Process != "" {
		i.gatekeeper(e.Process).event(e)
	}
	if e.Kind == Tried {
		i.unanswered[e.Call] = e.Process
	}
}

// gatekeeper returns the state of a gatekeeper.
func (i *Evacuations) gatekeeper(name string) *evacuatedGatekeeper {
	g := i.gatekeepers[name]
	if g == nil {
		g = &evacuatedGatekeeper{}
		i.gatekeepers[name] = g
	}
	return g
}

// answered records that no answer to a call is pending any more.
func (i *Evacuations) answered(call string) {
	if name, pending := i.unanswered[call]; pending {
		delete(i.unanswered, call)
		i.gatekeeper(name).unanswered--
	}
}

// event records an event of the gatekeeper or of the callers' connection to it.
func (g *evacuatedGatekeeper) event(e *Event) {
	switch e.Kind {
	case Evacuated:
		if g.evacuatedAt == 0 { // the time of the first request counts
			g.evacuatedAt = e.At
		}
	case Rejoined, StopRequested, Stopped, Crashed:
		g.evacuatedAt = 0
	case ClientConnected:
		g.connected = true
	case ClientDisconnected:
		g.connected = false
	case Tried:
		g.lastSent = e.At
		g.unanswered++
	}
}

// check checks a gatekeeper at the time by which no connection may be held.
func (i *Evacuations) check(name string, g *evacuatedGatekeeper, due control.Micros, report func(Evidence)) {
	if !g.connected || g.unanswered > 0 && due-g.lastSent > recentRequest || i.excused(name, g.evacuatedAt, due) {
		return
	}
	report(Evidence{At: due, Process: name, What: fmt.Sprintf("evacuated at %d ms and the callers' connection is open; last set-up %d ms before, %d unanswered",
		g.evacuatedAt/1000, (due-g.lastSent)/1000, g.unanswered)})
}

// excused reports whether the gatekeeper was paused, or its callers could not see the end of their connection.
func (i *Evacuations) excused(name string, from, to control.Micros) bool {
	return i.paused.during(name, from, to) || i.links.cutsOffCallers(name, i.callerPrefix, from, to)
}

// End implements Invariant.
func (i *Evacuations) End(func(Evidence)) {}
