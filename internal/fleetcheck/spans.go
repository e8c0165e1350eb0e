package fleetcheck

import (
	"strings"

	"beammux/control"
)

// faultSpans records, by name, when something was impaired. The zero value holds no span.
type faultSpans map[string][]span

// begin opens a span, unless one is open.
func (s faultSpans) begin(name string, at control.Micros) {
	if !open(s[name]) {
		s[name] = append(s[name], span{from: at})
	}
}

// end closes the open span, if there is one.
func (s faultSpans) end(name string, at control.Micros) {
	if open(s[name]) {
		s[name][len(s[name])-1].to = at
	}
}

// during reports whether a span overlaps the interval between two times.
func (s faultSpans) during(name string, from, to control.Micros) bool {
	return overlaps(s[name], from, to)
}

// lastEnd returns when the last of the spans that began by a time ended: 0 without any, and the time itself while one is open.
func (s faultSpans) lastEnd(name string, at control.Micros) (end control.Micros) {
	for _, sp := range s[name] {
		switch {
		case sp.from > at:
		case sp.to == 0 || sp.to > at:
			return at
		default:
			end = max(end, sp.to)
		}
	}
	return end
}

// linkSpans records when the link between two processes was impaired, in either direction.
type linkSpans struct {
	faultSpans
	faulty map[string]map[string]bool // directions that are impaired, by link
}

func newLinkSpans() linkSpans {
	return linkSpans{faultSpans: faultSpans{}, faulty: map[string]map[string]bool{}}
}

// event records the begin or the end of a fault in one direction. The link is impaired until both directions are whole.
func (l linkSpans) event(e *Event) {
	name, direction := linkName(e.Process, e.Peer), e.Process
	switch e.Kind {
	case LinkFaulty:
		if l.faulty[name] == nil {
			l.faulty[name] = map[string]bool{}
		}
		l.faulty[name][direction] = true
		l.begin(name, e.At)
	case LinkHealed:
		delete(l.faulty[name], direction)
		if len(l.faulty[name]) == 0 {
			l.end(name, e.At)
		}
	}
}

// cutsOffCallers reports whether the link between a gatekeeper and callers was impaired in an interval. The names of the callers'
// processes begin with callerPrefix.
func (l linkSpans) cutsOffCallers(gatekeeper, callerPrefix string, from, to control.Micros) bool {
	for name := range l.faultSpans {
		a, b, _ := strings.Cut(name, " ")
		isCallers := strings.HasPrefix(a, callerPrefix) || strings.HasPrefix(b, callerPrefix)
		if isCallers && (a == gatekeeper || b == gatekeeper) && l.during(name, from, to) {
			return true
		}
	}
	return false
}

// linkName is the name of the link between two processes, whichever of them opens connections.
func linkName(a, b string) string {
	if a > b {
		a, b = b, a
	}
	return a + " " + b
}
