package locality

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"beammux/control"
)

const sec = control.Micros(1000000)

var plain = Settings{Zone: "a", Region: "r", StartCapacity: 0.33, WarmWithin: 15 * sec}

// servers makes four servers a zone, of which some are able: a and b are in region r, c in another.
func servers(able map[string]int) (out []Server) {
	for i, zone := range []string{"a", "b", "c"} {
		region := map[string]string{"a": "r", "b": "r", "c": "q"}[zone]
		for k := range 4 {
			out = append(out, Server{ID: uint32(10*i + k), Zone: zone, Region: region, Able: k < able[zone]})
		}
	}
	return out
}

func votes(zone string, failed, not int) (out []Vote) {
	for i := range failed + not {
		v := Vote{Member: fmt.Sprint("m", i), Zone: zone, Failed: i < failed, Health: 1}
		if v.Failed {
			v.Health = 0
		}
		out = append(out, v)
	}
	return out
}

func find(t *testing.T, o Output, name string) Zone {
	t.Helper()
	for _, z := range o.Zones {
		if z.Name == name {
			return z
		}
	}
	t.Fatalf("no zone %q", name)
	return Zone{}
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// The sharing-out, level by level: 1.4 times the health stays near, the rest goes to the next distance.
func TestLoads(t *testing.T) {
	for _, row := range []struct {
		able  map[string]int
		loads [Priorities]float64
		panic bool
	}{
		{map[string]int{"a": 4, "b": 4, "c": 4}, [Priorities]float64{1, 0, 0}, false},
		{map[string]int{"a": 3, "b": 4, "c": 4}, [Priorities]float64{1, 0, 0}, false},
		{map[string]int{"a": 2, "b": 4, "c": 4}, [Priorities]float64{0.7, 0.3, 0}, false},
		{map[string]int{"a": 2, "b": 0, "c": 4}, [Priorities]float64{0.7, 0, 0.3}, false},
		{map[string]int{"a": 2, "b": 2, "c": 0}, [Priorities]float64{0.7, 0.3, 0}, false},
		{map[string]int{"a": 2, "b": 0, "c": 1}, [Priorities]float64{0.7, 0, 0.3}, false},
		{map[string]int{"a": 1, "b": 1, "c": 0}, [Priorities]float64{}, true},
		{map[string]int{"a": 2, "b": 1, "c": 0}, [Priorities]float64{0.7, 0.3, 0}, false},
	} {
		o := New(plain).Step(0, Input{Servers: servers(row.able)}) // the hysteresis has not run out: no zone is failed yet
		ok := o.Panic == row.panic
		for p := range o.Loads {
			ok = ok && (row.panic || near(o.Loads[p], row.loads[p]))
		}
		if !ok {
			t.Errorf("%v: %v, panic %v", row.able, o.Loads, o.Panic)
		}
	}
}

// A zone is declared failed by more than half of the members' votes and restored by more than half; a split view leaves it.
func TestVotes(t *testing.T) {
	b := New(plain)
	all := servers(map[string]int{"a": 4, "b": 4, "c": 4})
	state := func(at control.Micros, failed, not int, want State) Output {
		t.Helper()
		o := b.Step(at, Input{Servers: all, Votes: votes("a", failed, not), Others: failed + not, Up: failed + not})
		if z := find(t, o, "a"); z.State != want || z.By != Common {
			t.Fatalf("%d for and %d against, and this one against: %v by %v", failed, not, z.State, z.By)
		}
		return o
	}
	state(0, 1, 1, Healthy)
	state(1, 2, 1, Healthy) // with this one's own: 2 to 2
	o := state(2, 3, 1, Failed)
	if o.Loads != [Priorities]float64{0, 1, 0} || len(o.Changes) != 1 {
		t.Errorf("failed: %v, changes %+v", o.Loads, o.Changes)
	}
	state(3, 2, 1, Failed) // a split view: it stays
	state(4, 1, 1, Returning)
}

// The member's own vote has hysteresis both ways, and a flapping zone does not turn it.
func TestHysteresis(t *testing.T) {
	b := New(plain)
	step := func(at control.Micros, able int) bool {
		o := b.Step(at, Input{Servers: servers(map[string]int{"a": able, "b": 4, "c": 4})})
		return o.Votes[0].Failed
	}
	for i, row := range []struct {
		at     control.Micros
		able   int
		failed bool
	}{
		{0, 4, false}, {1 * sec, 1, false}, {1*sec + 499999, 1, false}, {1*sec + 500000, 1, true},
		{2 * sec, 2, true}, {3 * sec, 3, true}, {4 * sec, 2, true}, {5 * sec, 3, true}, {7*sec - 1, 4, true}, {7 * sec, 4, false},
		{8 * sec, 1, false}, {8*sec + 400000, 2, false}, {8*sec + 800000, 1, false}, {9*sec + 299999, 1, false}, {9*sec + 300000, 1, true},
	} {
		if got := step(row.at, row.able); got != row.failed {
			t.Fatalf("step %d at %d with %d able: failed %v", i, row.at, row.able, got)
		}
	}
}

// Traffic returns to a restored zone by stages: no more than a cold zone can do, rising until it is warm.
func TestStagedReturn(t *testing.T) {
	b := New(plain)
	all := servers(map[string]int{"a": 4, "b": 4, "c": 4})
	b.Step(0, Input{Servers: all, Votes: votes("a", 3, 0), Others: 3, Up: 3})
	at := func(now control.Micros) Output {
		return b.Step(now, Input{Servers: all, Votes: votes("a", 0, 3), Others: 3, Up: 3})
	}
	if o := at(1 * sec); find(t, o, "a").State != Returning || !near(o.Loads[OwnZone], 0.33) || !near(o.Loads[OwnRegion], 0.67) {
		t.Errorf("at first: %+v %v", o.Zones, o.Loads)
	}
	if o := at(1*sec + 7500000); !near(o.Loads[OwnZone], 0.665) {
		t.Errorf("half way: %v", o.Loads)
	}
	if o := at(16 * sec); find(t, o, "a").State != Healthy || !near(o.Loads[OwnZone], 1) {
		t.Errorf("warm: %+v %v", o.Zones, o.Loads)
	}
}

// A member that is cut off from the fleet goes by its own view and says so, and goes back to the common one; so does one
// that alone can't use a zone that the others can.
func TestOwnView(t *testing.T) {
	b := New(plain)
	all := map[string]int{"a": 4, "b": 4, "c": 4}
	lost := map[string]int{"a": 0, "b": 4, "c": 4}
	others := votes("a", 0, 3)
	b.Step(0, Input{Servers: servers(all), Votes: others, Others: 3, Up: 3})
	b.Step(1*sec, Input{Servers: servers(lost), Votes: others, Others: 3, Up: 3})
	var o Output
	for now := 1*sec + 100000; now < 1*sec+2500000; now += 100000 { // its vote turns after 0.5 s, its patience ends 2 s later
		o = b.Step(now, Input{Servers: servers(lost), Votes: others, Others: 3, Up: 3})
		if z := find(t, o, "a"); z.State != Healthy || z.By != Common {
			t.Fatalf("at %d: %+v", now, z)
		}
	}
	o = b.Step(1*sec+2500000, Input{Servers: servers(lost), Votes: others, Others: 3, Up: 3})
	if z := find(t, o, "a"); z.State != Failed || z.By != Own || o.Loads[OwnRegion] != 1 {
		t.Errorf("alone with it: %+v %v", z, o.Loads)
	}
	for now := 4 * sec; now <= 7*sec; now += sec {
		o = b.Step(now, Input{Servers: servers(all), Votes: others, Others: 3, Up: 3})
	}
	if z := find(t, o, "a"); z.State != Returning || z.By != Common {
		t.Errorf("its links are back: %+v", z)
	}
	c := New(plain)
	c.Step(0, Input{Servers: servers(lost), Others: 3})
	o = c.Step(1*sec, Input{Servers: servers(lost), Others: 3})
	if z := find(t, o, "a"); z.State != Failed || z.By != Own {
		t.Errorf("cut off: %+v", z)
	}
}

// Over every sequence of what may be known: the parts are 0 to 1 and make up 1 in all unless every distance that is left has
// a returning zone; a distance whose zones have all failed gets nothing; a distance with one returning zone and no other
// gets no more than its servers can do cold; and two members with the same votes hold every zone alike.
func TestLoadsOverAllSequences(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		one, two := New(plain), New(plain)
		now := control.Micros(1)
		r.Repeat(map[string]func(*rapid.T){"step": func(r *rapid.T) {
			now += control.Micros(rapid.IntRange(0, 3_000_000).Draw(r, "passed"))
			able := map[string]int{}
			var told []Vote
			for _, zone := range []string{"a", "b", "c"} {
				able[zone] = rapid.IntRange(0, 4).Draw(r, zone)
				told = append(told, votes(zone, rapid.IntRange(0, 3).Draw(r, "for "+zone), rapid.IntRange(0, 3).Draw(r, "against "+zone))...)
			}
			in := Input{Servers: servers(able), Votes: told, Others: 6, Up: 6}
			o := one.Step(now, in)
			other := two.Step(now, in)
			for i, z := range o.Zones {
				if w := other.Zones[i]; z != w {
					r.Fatalf("two members differ: %+v and %+v", z, w)
				}
			}
			if o.Panic {
				return
			}
			sum, free := 0.0, false
			for p, load := range o.Loads {
				if load < 0 || load > 1+1e-9 {
					r.Fatalf("loads %v", o.Loads)
				}
				sum += load
				failed, returning, healthy := 0, 0, 0
				share := 0.0
				for _, z := range o.Zones {
					if z.Priority == Priority(p) {
						switch z.State {
						case Failed:
							failed++
						case Returning:
							returning++
							share = z.Share
						case Healthy:
							healthy++
							free = free || z.Health > 0
						}
					}
				}
				if healthy+returning == 0 && load > 0 {
					r.Fatalf("%v gets %v: all its zones have failed", Priority(p), load)
				}
				if returning == 1 && healthy+failed == 0 && load > share+1e-9 {
					r.Fatalf("%v gets %v: its servers can do %v", Priority(p), load, share)
				}
			}
			if free && math.Abs(sum-1) > 1e-9 && !anyReturns(o) || sum > 1+1e-9 {
				r.Fatalf("loads %v make %v", o.Loads, sum)
			}
		}})
	})
}

func anyReturns(o Output) bool {
	for _, z := range o.Zones {
		if z.State == Returning {
			return true
		}
	}
	return false
}
