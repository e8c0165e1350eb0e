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

// gatekeeper drives one controller by hand and keeps its actions.
type gatekeeper struct {
	t    *testing.T
	c    *Controller
	now  Micros
	acts []Action
	tick Micros
	n    int
}

func newGatekeeper(t *testing.T, set Settings) *gatekeeper {
	f := &gatekeeper{t: t, c: New(set, 7), now: 1e9}
	f.do(Start{})
	return f
}

func (f *gatekeeper) do(e Event) []Action {
	acts := append([]Action(nil), f.c.Handle(f.now, e)...)
	for _, a := range acts {
		if a.Kind == SetTimer && a.Key == "tick" {
			f.tick = a.At
		}
	}
	f.acts = append(f.acts, acts...)
	return acts
}

// notes counts the log lines that begin with a text.
func (f *gatekeeper) notes(prefix string) (n int) {
	for _, a := range f.acts {
		if a.Kind == Log && strings.HasPrefix(a.Text, prefix) {
			n++
		}
	}
	return n
}

// pass advances the time, with the timers that were asked for.
func (f *gatekeeper) pass(span Micros) {
	end := f.now + span
	for f.tick > 0 && f.tick <= end {
		f.now, f.tick = f.tick, 0
		f.do(Timer{"tick"})
	}
	f.now = end
}

func (f *gatekeeper) servers(entries ...Entry) { f.do(List{Entries: entries}) }

// call offers a call and gives the first server it went to, or 0 if it was refused.
func (f *gatekeeper) call(class, choice int) (string, uint32) {
	f.n++
	id := fmt.Sprintf("c%04d", f.n)
	for _, a := range f.do(Call{ID: id, Class: class, Deadline: f.now + 3e6, FirstChoice: choice}) {
		if a.Kind == Send {
			return id, a.Server
		}
	}
	return id, 0
}

func (f *gatekeeper) answer(id string, s uint32, took Micros) {
	f.pass(took)
	f.do(CallEstablished{ID: id, Server: s, Elapsed: took})
}

// warmGatekeeper makes a gatekeeper with two servers that has had enough calls answered at both to have rates.
func warmGatekeeper(t *testing.T) *gatekeeper {
	f := newGatekeeper(t, testSettings())
	f.servers(two...)
	for i := range 60 {
		id, s := f.call(0, i%2)
		f.answer(id, s, 5e4)
	}
	f.acts = nil
	f.c.startedAt -= 2 * startTime // it has been up for a while
	return f
}

// report ends an old call at a server with a report of its wait.
func (f *gatekeeper) report(s uint32, waitMs float64) {
	f.do(AttemptEnded{ID: "old", Server: s, Code: OK, Settled: true, Report: []float64{90, 100, waitMs}})
}

func (f *gatekeeper) count(do ActionKind) int {
	n := 0
	for _, a := range f.acts {
		if a.Kind == do {
			n++
		}
	}
	return n
}

var two = []Entry{{Server: 10, Cell: 0, State: Ready}, {Server: 20, Cell: 1, State: Ready}}
