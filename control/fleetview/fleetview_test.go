package fleetview

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"beammux/control"
)

func self() Member { return Member{Name: "me", Zone: "a", Start: 5, State: Ready} }

func aliveEvent(name string, start, seq uint64, s State) Event {
	return Event{Kind: EventAlive, Name: name, Member: Member{Start: start, Seq: seq, State: s, Zone: "a", Address: name + ":1"}}
}

// The health and state of a member after each event of a sequence.
func TestMemberLifecycle(t *testing.T) {
	v := New(self(), 0, 1000)
	for i, step := range []struct {
		at     control.Micros
		event  Event
		health Health
		state  State
		change bool
	}{
		{1, aliveEvent("x", 10, 1, Ready), Alive, Ready, true},
		{2, aliveEvent("x", 10, 1, Draining), Alive, Ready, false}, // same sequence number
		{3, aliveEvent("x", 10, 2, Draining), Alive, Draining, true},
		{4, aliveEvent("x", 10, 1, Ready), Alive, Draining, false}, // older
		{5, Event{Kind: EventSuspected, Name: "x"}, Suspect, Draining, true},
		{6, Event{Kind: EventProbeAnswered, Name: "x"}, Alive, Draining, true},
		{7, Event{Kind: EventProbeAnswered, Name: "x"}, Alive, Draining, false},
		{8, Event{Kind: EventSuspected, Name: "x"}, Suspect, Draining, true},
		{9, Event{Kind: EventDead, Name: "x"}, Dead, Draining, true},
		{10, Event{Kind: EventSuspected, Name: "x"}, Dead, Draining, false},
		{11, Event{Kind: EventProbeAnswered, Name: "x"}, Dead, Draining, false},
		{12, Event{Kind: EventLeft, Name: "x"}, Dead, Draining, false},
		{13, aliveEvent("x", 10, 2, Draining), Alive, Draining, true}, // suspicion refuted
		{14, aliveEvent("x", 11, 1, Ready), Alive, Ready, true},       // new start under the same name
		{15, aliveEvent("x", 10, 9, Leaving), Alive, Ready, false},    // from the earlier start
		{16, Event{Kind: EventLeft, Name: "x"}, Left, Ready, true},
		{1015, Event{Kind: EventTick}, Left, Ready, false},
	} {
		changes := v.Apply(step.at, step.event)
		m := v.members["x"]
		if m.Health != step.health || m.State != step.state || len(changes) > 0 != step.change {
			t.Fatalf("step %d: %v %v, changes %+v", i, m.Health, m.State, changes)
		}
	}
	if c := v.Apply(1016, Event{Kind: EventTick}); len(c) != 1 || !c[0].Reaped || v.members["x"] != nil {
		t.Errorf("the member is not reaped: %+v", c)
	}
}

func TestNewestSummariesAreKept(t *testing.T) {
	v := New(self(), 0, 1000)
	v.Apply(1, aliveEvent("x", 10, 1, Ready))
	publish := func(start, seq uint64, level int) {
		v.Apply(2, Event{Kind: EventSummaries, Name: "x", Member: Member{Start: start, ServersSeq: seq, Servers: []Summary{{Server: 7, Level: level}}}})
	}
	publish(10, 2, 3)
	publish(10, 1, 0) // older than the last one
	publish(9, 5, 0)  // from another start
	if got := v.Members()[1].Servers; len(got) != 1 || got[0].Level != 3 {
		t.Errorf("%+v", got)
	}
	v.Apply(3, aliveEvent("x", 11, 1, Ready))
	if got := v.Members()[1].Servers; got != nil {
		t.Errorf("a new start keeps the summaries of the earlier one: %+v", got)
	}
}

// Model test over sequences of events: the view equals that of a simple model; this member is always up in its own view,
// and reports about it have no effect; a start is never replaced by an earlier one; the version grows exactly when there
// are changes; and two members that received the same facts in any order have the same hash.
func TestAgainstAModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		type fact struct {
			start, seq uint64
			state      State
			health     Health
		}
		v, model := New(self(), 0, 50), map[string]fact{}
		now, lastVersion := control.Micros(0), v.Version()
		since := map[string]control.Micros{}
		r.Repeat(map[string]func(*rapid.T){
			"event": func(r *rapid.T) {
				now += control.Micros(rapid.IntRange(0, 20).Draw(r, "passed"))
				name := rapid.SampledFrom([]string{"me", "x", "y"}).Draw(r, "name")
				e := Event{Kind: rapid.SampledFrom([]Kind{EventAlive, EventSuspected, EventProbeAnswered, EventDead, EventLeft, EventTick}).Draw(r, "kind"), Name: name}
				start, seq := uint64(rapid.IntRange(1, 3).Draw(r, "start")), uint64(rapid.IntRange(1, 3).Draw(r, "seq"))
				state := State(rapid.IntRange(0, 3).Draw(r, "state"))
				if e.Kind == EventAlive {
					e = aliveEvent(name, start, seq, state)
				}
				before := maps.Clone(model)
				f, known := model[name]
				switch {
				case e.Kind == EventTick:
					for name, f := range model {
						if !f.health.Up() && now-since[name] >= 50 {
							delete(model, name)
						}
					}
				case name == "me":
				case e.Kind == EventAlive && (!known || start > f.start):
					model[name] = fact{start, seq, state, Alive}
				case e.Kind == EventAlive && start == f.start:
					if seq > f.seq {
						f.seq, f.state = seq, state
					}
					f.health = Alive
					model[name] = f
				case !known || e.Kind == EventAlive:
				case e.Kind == EventSuspected && f.health == Alive:
					f.health = Suspect
					model[name] = f
				case e.Kind == EventProbeAnswered && f.health == Suspect:
					f.health = Alive
					model[name] = f
				case (e.Kind == EventDead || e.Kind == EventLeft) && f.health.Up():
					f.health = map[Kind]Health{EventDead: Dead, EventLeft: Left}[e.Kind]
					model[name] = f
				}
				for name, f := range model {
					if before[name].health != f.health || before[name].start != f.start {
						since[name] = now
					}
				}
				changes := v.Apply(now, e)
				if grew := v.Version() > lastVersion; grew != (len(changes) > 0) {
					r.Fatalf("version %d after %d, changes %+v", v.Version(), lastVersion, changes)
				}
				lastVersion = v.Version()
			},
			"": func(r *rapid.T) {
				if me := v.Self(); me.Health != Alive || me.State != Ready || me.Start != 5 {
					r.Fatalf("the local member has changed: %+v", me)
				}
				got := map[string]fact{}
				for _, m := range v.Members() {
					if m.Name != "me" {
						got[m.Name] = fact{m.Start, m.Seq, m.State, m.Health}
					}
				}
				if !maps.Equal(got, model) {
					r.Fatalf("view %v, model %v", got, model)
				}
				// Another member that receives only the final facts, in another order, has the same hash.
				other := New(Member{Name: "you"}, 0, 50)
				delete(other.members, "you")
				names := slices.Sorted(maps.Keys(model))
				slices.Reverse(names)
				for _, name := range names {
					f := model[name]
					other.Apply(0, aliveEvent(name, f.start, f.seq, f.state))
					if !f.health.Up() {
						other.Apply(0, Event{Kind: EventDead, Name: name})
					}
				}
				me := self()
				other.members["me"] = &me
				if other.Hash() != v.Hash() {
					r.Fatalf("the hashes of two members with the same view differ: %+v and %+v", v.Members(), other.Members())
				}
			},
		})
	})
}

// Views that differ have different hashes; dead members do not count.
func TestHashDistinguishesViews(t *testing.T) {
	hashes := map[uint64]string{}
	for name, events := range map[string][]Event{
		"alone": nil, "x": {aliveEvent("x", 1, 1, Ready)}, "x draining": {aliveEvent("x", 1, 1, Draining)}, "x later": {aliveEvent("x", 2, 1, Ready)},
		"y": {aliveEvent("y", 1, 1, Ready)}, "both": {aliveEvent("x", 1, 1, Ready), aliveEvent("y", 1, 1, Ready)},
	} {
		v := New(self(), 0, 1000)
		for _, e := range events {
			v.Apply(0, e)
		}
		if other, taken := hashes[v.Hash()]; taken {
			t.Errorf("%s and %s have the same hash", name, other)
		}
		hashes[v.Hash()] = name
	}
	v, w := New(self(), 0, 1000), New(self(), 0, 1000)
	v.Apply(0, aliveEvent("x", 1, 1, Ready))
	v.Apply(1, Event{Kind: EventDead, Name: "x"})
	if v.Hash() != w.Hash() || fmt.Sprint(v.DeadAddresses()) != "[x:1]" {
		t.Errorf("a dead member changes the hash, or its address is not listed: %v", v.DeadAddresses())
	}
}
