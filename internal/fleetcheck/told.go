package fleetcheck

import (
	"fmt"

	"beammux/control"
)

// RuleTold is that nothing is sent to a server that the list has taken out.
const RuleTold = "no set-up to a server that the list has taken out"

// Times of the protocol and the operators' pages for changes of the list.
const (
	toldAfter     = control.Micros(7_000_000) // a change counts as told, whether it arrived or not
	toldAfterHeal = control.Micros(6_000_000) // the same after calls to discovery that failed, from when it could be reached
	drainGrace    = control.Micros(250_000)   // in which sends to a server that was taken out must stop
)

// Told checks RuleTold from the arrival of set-ups at servers.
type Told struct {
	bus      string
	outSince map[string]control.Micros // by server that is draining or removed
	links    linkSpans
	ready    map[string]control.Micros // by gatekeeper
	paused   faultSpans
}

// NewTold returns the invariant. bus is the name of discovery's process.
func NewTold(bus string) *Told {
	return &Told{bus: bus, outSince: map[string]control.Micros{}, links: newLinkSpans(), ready: map[string]control.Micros{}, paused: faultSpans{}}
}

// Rule implements Invariant.
func (t *Told) Rule() string { return RuleTold }

// Event implements Invariant.
func (t *Told) Event(e *Event, report func(Evidence)) {
	switch e.Kind {
	case Ready:
		t.ready[e.Process] = e.At
	case Paused:
		t.paused.begin(e.Process, e.At)
	case Resumed, Stopped, Crashed:
		t.paused.end(e.Process, e.At)
	case LinkFaulty, LinkHealed:
		t.links.event(e)
	case Listed:
		if e.What == "up" {
			delete(t.outSince, e.Process)
		} else if _, out := t.outSince[e.Process]; !out {
			t.outSince[e.Process] = e.At
		}
	case ServerSetup:
		if since, out := t.outSince[e.Process]; out {
			t.setup(e, since, report)
		}
	}
}

// setup checks a set-up that arrived at a server which was taken out.
func (t *Told) setup(e *Event, since control.Micros, report func(Evidence)) {
	link := linkName(e.Peer, t.bus)
	told := max(since, t.ready[e.Peer])
	if healed := t.links.lastEnd(link, e.At); healed > 0 && healed+toldAfterHeal > since {
		told = max(told, min(since+toldAfter, max(since, healed)+toldAfterHeal))
	}
	server := linkName(e.Peer, e.Process)
	late := e.At - told - drainGrace - AnswerSlack
	if late <= 0 || t.links.during(server, since, e.At) || t.paused.during(e.Peer, since, e.At) {
		return // in time, or held up on its way after it was sent
	}
	report(Evidence{At: e.At, Process: e.Peer, Call: e.Call, Place: e.Place.String(),
		What: fmt.Sprintf("sent to %s %d ms after it was told that the list had taken it out", e.Process, (e.At-told)/1000)})
}

// End implements Invariant.
func (t *Told) End(func(Evidence)) {}
