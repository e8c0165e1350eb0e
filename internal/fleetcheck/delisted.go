package fleetcheck

import (
	"fmt"

	"beammux/control"
)

// RuleDelisted is that nothing is sent to a server that the list has taken out.
const RuleDelisted = "no set-up to a server that the list has taken out"

// Times of the protocol and the operators' pages for changes of the list.
const (
	notifiedAfter     = control.Micros(7_000_000) // a gatekeeper counts as notified of a change, whether it arrived or not
	notifiedAfterHeal = control.Micros(6_000_000) // the same after calls to discovery that failed, from when it could be reached
	drainGrace        = control.Micros(250_000)   // in which sends to a server that was taken out must stop
)

// DelistedServers checks RuleDelisted from the arrival of set-ups at servers.
type DelistedServers struct {
	bus      string
	outSince map[string]control.Micros // by server that is draining or removed
	links    linkSpans
	ready    map[string]control.Micros // by gatekeeper
	paused   faultSpans
}

// NewDelistedServers returns the invariant. bus is the name of discovery's process.
func NewDelistedServers(bus string) *DelistedServers {
	return &DelistedServers{bus: bus, outSince: map[string]control.Micros{}, links: newLinkSpans(), ready: map[string]control.Micros{}, paused: faultSpans{}}
}

// Rule implements Invariant.
func (t *DelistedServers) Rule() string { return RuleDelisted }

// Event implements Invariant.
func (t *DelistedServers) Event(e *Event, report func(Evidence)) {
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
func (t *DelistedServers) setup(e *Event, since control.Micros, report func(Evidence)) {
	link := linkName(e.Peer, t.bus)
	notified := max(since, t.ready[e.Peer])
	if healed := t.links.lastEnd(link, e.At); healed > 0 && healed+notifiedAfterHeal > since {
		notified = max(notified, min(since+notifiedAfter, max(since, healed)+notifiedAfterHeal))
	}
	server := linkName(e.Peer, e.Process)
	late := e.At - notified - drainGrace - AnswerSlack
	if late <= 0 || t.links.during(server, since, e.At) || t.paused.during(e.Peer, since, e.At) {
		return // in time, or held up on its way after it was sent
	}
	report(Evidence{At: e.At, Process: e.Peer, Call: e.Call, Place: e.Place.String(),
		What: fmt.Sprintf("sent to %s %d ms after it was notified that the list had taken it out", e.Process, (e.At-notified)/1000)})
}

// End implements Invariant.
func (t *DelistedServers) End(func(Evidence)) {}
