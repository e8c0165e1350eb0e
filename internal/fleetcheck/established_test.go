package fleetcheck

import (
	"testing"

	"github.com/stretchr/testify/require"

	"beammux/control"
)

// millis is a time of a test in microseconds.
func millis(n int) control.Micros { return control.Micros(n) * 1000 }

// timed returns an event with a time.
func timed(n int, e Event) Event {
	e.At = millis(n)
	return e
}

// judgeEvents returns the evidence of an invariant on events.
func judgeEvents(i Invariant, events ...Event) (found []Evidence) {
	report := func(e Evidence) { found = append(found, e) }
	for _, e := range events {
		i.Event(&e, report)
	}
	i.End(report)
	return found
}

// The start of each case: gatekeeper g1 is ready, and call c is established at s1 through it.
var established = []Event{timed(0, Event{Kind: Ready, Process: "g1"}), timed(100, Event{Kind: ServerEstablished, Process: "s1", Call: "c"}),
	timed(110, Event{Kind: Established, Process: "g1", Call: "c"})}

func TestEstablishedCalls(t *testing.T) {
	lost := func(n int) Event { return timed(n, Event{Kind: ServerLost, Process: "s1", Call: "c"}) }
	released := func(n int) Event { return timed(n, Event{Kind: ServerReleased, Process: "s1", Call: "c"}) }
	read := func(n int) Event { return timed(n, Event{Kind: Released, Process: "g1", Call: "c"}) }
	link := func(n int, kind Kind, a, b string) Event { return timed(n, Event{Kind: kind, Process: a, Peer: b}) }
	end := timed(60_000, Event{Kind: Tried, Process: "g1", Call: "other"})
	for _, c := range []struct {
		name   string
		events []Event
		broken bool
	}{
		{"still stands", nil, false},
		{"released, read in time", []Event{released(1000), read(2149)}, false},
		{"released, read too late", []Event{released(1000), read(2151)}, true},
		{"released, never read", []Event{released(1000)}, true},
		{"another server ends an earlier attempt", []Event{timed(1000, Event{Kind: ServerReleased, Process: "s2", Call: "c"})}, false},
		{"server lost, read in time", []Event{lost(1000), read(9149)}, false},
		{"server lost, read too late", []Event{lost(1000), read(9151)}, true},
		{"server lost, never read", []Event{lost(1000)}, true},
		{"server lost, gatekeeper started since the call", []Event{timed(500, Event{Kind: Stopped, Process: "g1"}), timed(900, Event{Kind: Ready, Process: "g1"}), lost(1000)}, false},
		{"server lost, never read, gatekeeper stopped at the end", []Event{lost(1000), timed(59_000, Event{Kind: Stopped, Process: "g1"})}, true},
		{"server lost, read too late, gatekeeper started again later", []Event{lost(1000), read(9151), timed(20_000, Event{Kind: Stopped, Process: "g1"}),
			timed(21_000, Event{Kind: Ready, Process: "g1"})}, true},
		{"released, read too late, gatekeeper stopped at the end", []Event{released(1000), read(2151), timed(59_000, Event{Kind: Stopped, Process: "g1"})}, true},
		{"released behind a cut, read in time after the heal", []Event{link(900, LinkFaulty, "g1", "s1"), released(1000), link(4000, LinkHealed, "g1", "s1"), read(12_000)}, false},
		{"released behind a cut, never read", []Event{link(900, LinkFaulty, "g1", "s1"), released(1000), link(4000, LinkHealed, "g1", "s1")}, true},
		{"connection reset, read in time after the next one", []Event{link(500, LinkFaulty, "front-a", "g1"), timed(600, Event{Kind: ClientDisconnected, Process: "g1"}),
			link(700, LinkHealed, "front-a", "g1"), released(1000), timed(5000, Event{Kind: ClientConnected, Process: "g1"}), read(6149)}, false},
		{"connection reset, read too late after the next one", []Event{link(500, LinkFaulty, "front-a", "g1"), timed(600, Event{Kind: ClientDisconnected, Process: "g1"}),
			link(700, LinkHealed, "front-a", "g1"), released(1000), timed(5000, Event{Kind: ClientConnected, Process: "g1"}), read(6151)}, true},
		{"connection reset and opened again before the release", []Event{link(300, LinkFaulty, "front-a", "g1"), timed(400, Event{Kind: ClientDisconnected, Process: "g1"}),
			timed(500, Event{Kind: ClientConnected, Process: "g1"}), link(700, LinkHealed, "front-a", "g1"), released(1000), read(2151)}, true},
		{"connection closed by the gatekeeper", []Event{timed(600, Event{Kind: ClientDisconnected, Process: "g1"}), released(1000),
			timed(5000, Event{Kind: ClientConnected, Process: "g1"}), read(5100)}, true},
		{"callers cut off", []Event{link(900, LinkFaulty, "front-a", "g1"), released(1000), link(5000, LinkHealed, "front-a", "g1")}, false},
		{"callers cut off both ways, one way longer", []Event{link(900, LinkFaulty, "front-a", "g1"), link(900, LinkFaulty, "g1", "front-a"),
			link(950, LinkHealed, "g1", "front-a"), released(3000), link(5000, LinkHealed, "front-a", "g1")}, false},
		{"started since, server removed before it released", []Event{timed(500, Event{Kind: Stopped, Process: "g1"}), timed(900, Event{Kind: Ready, Process: "g1"}),
			timed(1000, Event{Kind: Listed, Process: "s1", What: "removed"}), released(2000)}, false},
		{"server removed before it released", []Event{timed(1000, Event{Kind: Listed, Process: "s1", What: "removed"}), released(2000)}, true},
		{"started since, server still listed", []Event{timed(500, Event{Kind: Stopped, Process: "g1"}), timed(900, Event{Kind: Ready, Process: "g1"}), released(2000)}, true},
		{"callers left before it was due", []Event{released(1000), timed(2149, Event{Kind: CallersLeft})}, false},
		{"callers left after it was due", []Event{released(1000), timed(2151, Event{Kind: CallersLeft})}, true},
		{"server lost, callers left after it was due", []Event{lost(1000), timed(9151, Event{Kind: CallersLeft})}, true},
		{"gatekeeper killed", []Event{released(1000), timed(1100, Event{Kind: Stopped, Process: "g1"})}, false},
	} {
		events := append(append(append([]Event(nil), established...), c.events...), end)
		require.Equal(t, c.broken, len(judgeEvents(NewEstablishedCalls("front"), events...)) > 0, c.name)
	}
}

func TestDelistedServers(t *testing.T) {
	setup := func(n int) Event { return timed(n, Event{Kind: ServerSetup, Process: "s1", Peer: "g1", Call: "c"}) }
	listed := func(n int, state string) Event { return timed(n, Event{Kind: Listed, Process: "s1", What: state}) }
	bus := func(n int, kind Kind) Event { return timed(n, Event{Kind: kind, Process: "g1", Peer: "bus"}) }
	for _, c := range []struct {
		name   string
		events []Event
		broken bool
	}{
		{"in the grace", []Event{listed(1000, "draining"), setup(1400)}, false},
		{"after the grace", []Event{listed(1000, "draining"), setup(1401)}, true},
		{"removed after draining", []Event{listed(1000, "draining"), listed(1300, "removed"), setup(1500)}, true},
		{"up again", []Event{listed(1000, "draining"), listed(1300, "up"), setup(5000)}, false},
		{"discovery down, 7 s", []Event{bus(500, LinkFaulty), listed(1000, "removed"), setup(8400)}, false},
		{"discovery down, over 7 s", []Event{bus(500, LinkFaulty), listed(1000, "removed"), setup(8401)}, true},
		{"6 s after discovery is back", []Event{bus(100, LinkFaulty), bus(900, LinkHealed), listed(1000, "removed"), setup(7400)}, false},
		{"over 6 s after discovery is back", []Event{bus(100, LinkFaulty), bus(900, LinkHealed), listed(1000, "removed"), setup(7401)}, true},
	} {
		events := append([]Event{timed(0, Event{Kind: Ready, Process: "g1"})}, c.events...)
		require.Equal(t, c.broken, len(judgeEvents(NewDelistedServers("bus"), events...)) > 0, c.name)
	}
}
