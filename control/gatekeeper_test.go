package control

import (
	"fmt"
	"strings"
	"testing"
)

func testSettings() Settings {
	return Settings{
		Gatekeepers: 4, OwnCell: -1, AttemptsCap: 4, Cancel: true, RetryAfter: true, MaxRetryAfter: 2e6,
		ReleaseGuard: 3e5, ResendGap: 4e5, OverShareWorth: 0.1,
		Report: []Field{Spare, Total, WaitMs}, FallMultiple: 2, StartCapacity: 0.3, FallTime: 2e6, WarmWithin: 13e6,
		Classes: []Class{
			{LatencyTarget: 1.5e6, Deadline: 9e6, Worth: 1, LateWorth: 0.25},
			{LatencyTarget: 1.2e6, Deadline: 6e6, Worth: 8, LateWorth: 0.25},
		},
	}
}

// gatekeeper feeds one controller with events and records its actions.
type gatekeeper struct {
	t         *testing.T
	c         *Controller
	now       Micros
	actions   []Action
	nextTick  Micros
	callCount int
}

func newGatekeeper(t *testing.T, settings Settings) *gatekeeper {
	gk := &gatekeeper{t: t, c: New(settings, 7), now: 1e9}
	gk.handle(Start{})
	return gk
}

func (gk *gatekeeper) handle(e Event) []Action {
	actions := append([]Action(nil), gk.c.Handle(gk.now, e)...)
	for _, a := range actions {
		if a.Kind == SetTimer && a.Key == "tick" {
			gk.nextTick = a.At
		}
	}
	gk.actions = append(gk.actions, actions...)
	return actions
}

// countNotes counts the log lines with a prefix.
func (gk *gatekeeper) countNotes(prefix string) (n int) {
	for _, a := range gk.actions {
		if a.Kind == Log && strings.HasPrefix(a.Text, prefix) {
			n++
		}
	}
	return n
}

// advance moves the time forward by span and fires the requested timers on the way.
func (gk *gatekeeper) advance(span Micros) {
	end := gk.now + span
	for gk.nextTick > 0 && gk.nextTick <= end {
		gk.now, gk.nextTick = gk.nextTick, 0
		gk.handle(Timer{"tick"})
	}
	gk.now = end
}

func (gk *gatekeeper) servers(entries ...Entry) { gk.handle(List{Entries: entries}) }

// openCall offers a new call and returns its ID and the first server that it was sent to, or 0 if it was refused.
func (gk *gatekeeper) openCall(class, firstChoice int) (string, uint32) {
	gk.callCount++
	id := fmt.Sprintf("c%04d", gk.callCount)
	for _, a := range gk.handle(Call{ID: id, Class: class, Deadline: gk.now + 3e6, FirstChoice: firstChoice}) {
		if a.Kind == Send {
			return id, a.Server
		}
	}
	return id, 0
}

// answer establishes a call after a time.
func (gk *gatekeeper) answer(id string, s uint32, elapsed Micros) {
	gk.advance(elapsed)
	gk.handle(CallEstablished{ID: id, Server: s, Elapsed: elapsed})
}

// warmGatekeeper returns a gatekeeper that has had enough calls answered by two servers to know rates.
func warmGatekeeper(t *testing.T) *gatekeeper {
	gk := newGatekeeper(t, testSettings())
	gk.servers(twoServers...)
	for i := range 60 {
		id, s := gk.openCall(0, i%2)
		gk.answer(id, s, 5e4)
	}
	gk.actions = nil
	gk.c.startedAt -= 2 * startPhase // past its start phase
	return gk
}

// reportWait ends an earlier call at a server with a report of the wait.
func (gk *gatekeeper) reportWait(server uint32, waitMs float64) {
	gk.handle(AttemptEnded{ID: "old", Server: server, Code: OK, Settled: true, Report: []float64{90, 100, waitMs}})
}

// count returns the number of recorded actions of a kind.
func (gk *gatekeeper) count(kind ActionKind) int {
	n := 0
	for _, a := range gk.actions {
		if a.Kind == kind {
			n++
		}
	}
	return n
}

// twoServers are two ready servers in cells 0 and 1.
var twoServers = []Entry{{Server: 10, Cell: 0, State: Ready}, {Server: 20, Cell: 1, State: Ready}}
