package fleetcheck

import (
	"fmt"

	"beammux/control"
)

// RuleReleased is that an established call which is over is released to its caller in time.
const RuleReleased = "a call that is over is released to its caller"

// Limits of the protocol ("The rules on sockets") for the release of an established call that is over, with the slack of AnswerSlack.
const (
	afterRelease = control.Micros(1_000_000) + AnswerSlack // from the server's release
	afterLoss    = control.Micros(8_000_000) + AnswerSlack // from an end of which no release could be sent
)

// EstablishedCalls checks RuleReleased from what callers and servers saw. A release is due from a gatekeeper that runs and can be reached by its
// callers. Faults between gatekeepers and servers excuse no missing release: while they last, and where the gatekeeper was started
// since, the release is due later.
type EstablishedCalls struct {
	callerPrefix string
	now          control.Micros
	calls        map[string]*establishedCall
	down         faultSpans // by gatekeeper: not ready
	paused       faultSpans // by gatekeeper
	links        linkSpans
	unconnected  faultSpans                // by gatekeeper: a network fault ended its callers' connection, and they have opened no other
	removedAt    map[string]control.Micros // by server that the list has removed
	started      map[string][]control.Micros
	answeredBy   map[string]string // last server that answered a call
	callersLeft  control.Micros    // 0: not yet
}

// establishedCall is a call that was established for its caller.
type establishedCall struct {
	id, gatekeeper, server string
	place                  Place
	establishedAt          control.Micros
	releasedAt             control.Micros // read by the caller; 0: not
	serverReleasedAt       control.Micros // written by the server; 0: not
	serverLostAt           control.Micros // 0: not
}

// NewEstablishedCalls returns the invariant. The names of the callers' processes, and of no others, begin with callerPrefix.
func NewEstablishedCalls(callerPrefix string) *EstablishedCalls {
	return &EstablishedCalls{callerPrefix: callerPrefix, calls: map[string]*establishedCall{}, down: faultSpans{}, paused: faultSpans{},
		unconnected: faultSpans{},
		links:       newLinkSpans(), removedAt: map[string]control.Micros{}, started: map[string][]control.Micros{}, answeredBy: map[string]string{}}
}

// Rule implements Invariant.
func (s *EstablishedCalls) Rule() string { return RuleReleased }

// Event implements Invariant.
func (s *EstablishedCalls) Event(e *Event, _ func(Evidence)) {
	s.now = max(s.now, e.At)
	call := s.calls[e.Call]
	switch e.Kind {
	case Ready:
		s.down.end(e.Process, e.At)
		s.started[e.Process] = append(s.started[e.Process], e.At)
	case Stopped, Crashed:
		s.down.begin(e.Process, e.At)
		s.paused.end(e.Process, e.At)
	case Paused:
		s.paused.begin(e.Process, e.At)
	case Resumed:
		s.paused.end(e.Process, e.At)
	case LinkFaulty, LinkHealed:
		s.links.event(e)
	case ClientDisconnected:
		if s.links.cutsOffCallers(e.Process, s.callerPrefix, e.At, e.At) {
			s.unconnected.begin(e.Process, e.At)
		}
	case ClientConnected:
		s.unconnected.end(e.Process, e.At)
	case CallersLeft:
		s.callersLeft = e.At
	case Listed:
		if e.What == "removed" {
			s.removedAt[e.Process] = e.At
		}
	case ServerEstablished:
		s.answeredBy[e.Call] = e.Process
	case Established:
		s.calls[e.Call] = &establishedCall{id: e.Call, gatekeeper: e.Process, server: s.answeredBy[e.Call], place: e.Place, establishedAt: e.At}
	}
	if call == nil {
		return
	}
	switch e.Kind {
	case Released:
		if call.releasedAt == 0 {
			call.releasedAt = e.At
		}
	case ServerReleased:
		if e.Process == call.server { // another one holds only an earlier attempt, whose answer was lost
			call.serverReleasedAt = e.At
		}
	case ServerLost:
		if e.Process == call.server {
			call.serverLostAt = e.At
		}
	}
}

// End implements Invariant.
func (s *EstablishedCalls) End(report func(Evidence)) {
	for _, call := range s.calls {
		due, why := s.due(call)
		readable := s.callersLeft == 0 || due < s.callersLeft
		if due == 0 || !readable || s.excused(call, due) {
			continue
		}
		switch {
		case call.releasedAt > due:
			report(s.evidence(call, fmt.Sprintf("%s; its caller read the release %d ms too late", why, (call.releasedAt-due)/1000)))
		case call.releasedAt == 0 && s.now > due:
			report(s.evidence(call, why+"; its caller read no release"))
		}
	}
}

func (s *EstablishedCalls) evidence(call *establishedCall, what string) Evidence {
	return Evidence{At: call.establishedAt, Process: call.gatekeeper, Call: call.id, Place: call.place.String(),
		What: fmt.Sprintf("established at %d ms, %s", call.establishedAt/1000, what)}
}

// due returns by when the caller must have read the release of a call, and why; 0 if the call is not over.
func (s *EstablishedCalls) due(call *establishedCall) (due control.Micros, why string) {
	switch {
	case call.serverReleasedAt > 0 && s.endedBy(call, call.serverReleasedAt) && s.removedBetween(call.server, call.establishedAt, call.serverReleasedAt):
		// The gatekeeper does not know the call, which an earlier process set up, and has no connection to the server.
	case call.serverReleasedAt > 0:
		why = fmt.Sprintf("released by %s at %d ms", call.server, call.serverReleasedAt/1000)
		link := linkName(call.gatekeeper, call.server)
		if s.links.during(link, call.serverReleasedAt, call.serverReleasedAt+afterRelease) || s.endedBy(call, call.serverReleasedAt+afterRelease) {
			// The release was lost or waits for a connection: it comes with the next one, or the gatekeeper takes the server for lost.
			healed := max(call.serverReleasedAt, s.links.lastEnd(link, s.now), s.lastStart(call))
			return healed + afterLoss, why
		}
		// Without a connection of its callers the gatekeeper can send no release.
		connected := s.unconnected.lastEnd(call.gatekeeper, s.now)
		if s.unconnected.during(call.gatekeeper, call.serverReleasedAt, call.serverReleasedAt+afterRelease) {
			return max(call.serverReleasedAt, connected) + afterRelease, why
		}
		return call.serverReleasedAt + afterRelease, why
	case call.serverLostAt > 0 && !s.endedBy(call, call.serverLostAt+afterLoss):
		return call.serverLostAt + afterLoss, fmt.Sprintf("lost with %s at %d ms", call.server, call.serverLostAt/1000)
	}
	return 0, ""
}

// endedBy reports whether the gatekeeper's process that set up a call ended by a time: the next one does not know the call.
func (s *EstablishedCalls) endedBy(call *establishedCall, at control.Micros) bool {
	return s.down.during(call.gatekeeper, call.establishedAt, at)
}

// removedBetween reports whether the list removed a server between two times.
func (s *EstablishedCalls) removedBetween(server string, from, to control.Micros) bool {
	at := s.removedAt[server]
	return from < at && at < to
}

// lastStart returns when the call's gatekeeper was last ready.
func (s *EstablishedCalls) lastStart(call *establishedCall) (at control.Micros) {
	for _, ready := range s.started[call.gatekeeper] {
		at = max(at, ready)
	}
	return at
}

// excused reports whether a call's gatekeeper could not send its release to its callers by a time.
func (s *EstablishedCalls) excused(call *establishedCall, due control.Micros) bool {
	from := max(call.serverReleasedAt, call.serverLostAt)
	if s.down.during(call.gatekeeper, from, due) || s.paused.during(call.gatekeeper, from, due) {
		return true
	}
	return s.links.cutsOffCallers(call.gatekeeper, s.callerPrefix, from, due)
}
