package fleetcheck

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEvacuations(t *testing.T) {
	at := func(n int, kind Kind) Event { return timed(n, Event{Kind: kind, Process: "g1"}) }
	tried := func(n int, call string) Event { return timed(n, Event{Kind: Tried, Process: "g1", Call: call}) }
	answered := func(n int, call string) Event { return timed(n, Event{Kind: Established, Process: "g1", Call: call}) }
	link := func(n int, kind Kind) Event { return timed(n, Event{Kind: kind, Process: "front-a", Peer: "g1"}) }
	for _, c := range []struct {
		name   string
		events []Event
		broken bool
	}{
		{"closed in time", []Event{tried(1500, "c"), answered(1600, "c"), at(5149, ClientDisconnected)}, false},
		{"held idle", []Event{tried(1500, "c"), answered(1600, "c"), at(5151, ClientDisconnected)}, true},
		{"held with a recent request", []Event{tried(4000, "c"), at(5300, ClientDisconnected)}, true},
		{"held with an old request", []Event{tried(3100, "c"), answered(5300, "c"), at(5310, ClientDisconnected)}, false},
		{"rejoined", []Event{at(4000, Rejoined)}, false},
		{"evacuated again, the first time counts", []Event{at(3000, Evacuated), at(6000, ClientDisconnected)}, true},
		{"evacuated again after a rejoin", []Event{at(2000, Rejoined), at(3000, Evacuated), at(6500, ClientDisconnected)}, false},
		{"shut down meanwhile", []Event{at(2000, StopRequested)}, false},
		{"killed meanwhile", []Event{at(2000, Stopped)}, false},
		{"paused meanwhile", []Event{at(2000, Paused), at(2500, Resumed)}, false},
		{"callers cut off", []Event{link(2000, LinkFaulty), link(2500, LinkHealed)}, false},
		{"opened late and held", []Event{at(2000, ClientDisconnected), at(2500, ClientConnected)}, true},
	} {
		events := append([]Event{at(0, Ready), at(100, ClientConnected), at(1000, Evacuated)}, c.events...)
		events = append(events, timed(60_000, Event{Kind: Tried, Process: "g2", Call: "other"}))
		require.Equal(t, c.broken, len(judgeEvents(NewEvacuations("front-"), events...)) > 0, c.name)
	}
}
