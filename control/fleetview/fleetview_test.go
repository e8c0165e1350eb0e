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

func met(name string, start, seq uint64, s State) Event {
	return Event{Kind: EventAlive, Name: name, Member: Member{Start: start, Seq: seq, State: s, Zone: "a", Address: name + ":1"}}
}

// What a member's course of events makes of it, step by step.
func TestCourseOfAMember(t *testing.T) {
	v := New(self(), 0, 1000)
	for i, step := range []struct {
		at     control.Micros
		event  Event
		health Health
		state  State
		change bool
	}{
		{1, met("x", 10, 1, Ready), Alive, Ready, true},
		{2, met("x", 10, 1, Draining), Alive, Ready, false}, // nothing new said
		{3, met("x", 10, 2, Draining), Alive, Draining, true},
		{4, met("x", 10, 1, Ready), Alive, Draining, false}, // older
		{5, Event{Kind: EventSuspected, Name: "x"}, Suspect, Draining, true},
		{6, Event{Kind: EventProbeAnswered, Name: "x"}, Alive, Draining, true},
		{7, Event{Kind: EventProbeAnswered, Name: "x"}, Alive, Draining, false},
		{8, Event{Kind: EventSuspected, Name: "x"}, Suspect, Draining, true},
		{9, Event{Kind: EventDead, Name: "x"}, Dead, Draining, true},
		{10, Event{Kind: EventSuspected, Name: "x"}, Dead, Draining, false},
		{11, Event{Kind: EventProbeAnswered, Name: "x"}, Dead, Draining, false},
		{12, Event{Kind: EventLeft, Name: "x"}, Dead, Draining, false},
		{13, met("x", 10, 2, Draining), Alive, Draining, true}, // refuted
		{14, met("x", 11, 1, Ready), Alive, Ready, true},       // the same name, a new start
		{15, met("x", 10, 9, Leaving), Alive, Ready, false},    // from before it
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
		t.Errorf("not forgotten: %+v", c)
	}
}

func TestSummariesAreTheNewest(t *testing.T) {
	v := New(self(), 0, 1000)
	v.Apply(1, met("x", 10, 1, Ready))
	told := func(start, seq uint64, level int) {
		v.Apply(2, Event{Kind: EventSummaries, Name: "x", Member: Member{Start: start, ServersSeq: seq, Servers: []Summary{{Server: 7, Level: level}}}})
	}
	told(10, 2, 3)
	told(10, 1, 0) // overtaken
	told(9, 5, 0)  // of another start
	if got := v.Members()[1].Servers; len(got) != 1 || got[0].Level != 3 {
		t.Errorf("%+v", got)
	}
	v.Apply(3, met("x", 11, 1, Ready))
	if got := v.Members()[1].Servers; got != nil {
		t.Errorf("a new start keeps what the old one said: %+v", got)
	}
}

// Over every sequence of events: the view is what a plain model makes of them; this member is always up in its own view and
// what others say of it changes nothing; no start is replaced by an earlier one; the version grows with every change and
// only then; and two members that were told the same have the same hash, in whatever order they were told.
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
					e = met(name, start, seq, state)
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
					r.Fatalf("this member became %+v", me)
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
				// Another member that is told the outcome alone, in another order, agrees.
				other := New(Member{Name: "you"}, 0, 50)
				delete(other.members, "you")
				names := slices.Sorted(maps.Keys(model))
				slices.Reverse(names)
				for _, name := range names {
					f := model[name]
					other.Apply(0, met(name, f.start, f.seq, f.state))
					if !f.health.Up() {
						other.Apply(0, Event{Kind: EventDead, Name: name})
					}
				}
				me := self()
				other.members["me"] = &me
				if other.Hash() != v.Hash() {
					r.Fatalf("two members with the same view differ: %+v and %+v", v.Members(), other.Members())
				}
			},
		})
	})
}

// Whatever two members differ in, their hashes do too.
func TestHashTellsDifferences(t *testing.T) {
	hashes := map[uint64]string{}
	for name, events := range map[string][]Event{
		"alone": nil, "x": {met("x", 1, 1, Ready)}, "x draining": {met("x", 1, 1, Draining)}, "x later": {met("x", 2, 1, Ready)},
		"y": {met("y", 1, 1, Ready)}, "both": {met("x", 1, 1, Ready), met("y", 1, 1, Ready)},
	} {
		v := New(self(), 0, 1000)
		for _, e := range events {
			v.Apply(0, e)
		}
		if other, taken := hashes[v.Hash()]; taken {
			t.Errorf("%s and %s have one hash", name, other)
		}
		hashes[v.Hash()] = name
	}
	v, w := New(self(), 0, 1000), New(self(), 0, 1000)
	v.Apply(0, met("x", 1, 1, Ready))
	v.Apply(1, Event{Kind: EventDead, Name: "x"})
	if v.Hash() != w.Hash() || fmt.Sprint(v.DeadAddresses()) != "[x:1]" {
		t.Errorf("a dead member counts, or is not looked for: %v", v.DeadAddresses())
	}
}
