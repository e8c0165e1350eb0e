package locality

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"beammux/control"
)

const second = control.Micros(1000000)

var testSettings = Settings{Zone: "a", Region: "r", StartCapacity: 0.33, WarmWithin: 15 * second}

// servers returns four servers per zone, of which a number is available. Zones a and b are in region r, c is in another
// region.
func servers(available map[string]int) (out []Server) {
	for i, zone := range []string{"a", "b", "c"} {
		region := map[string]string{"a": "r", "b": "r", "c": "q"}[zone]
		for k := range 4 {
			out = append(out, Server{ID: uint32(10*i + k), Zone: zone, Region: region, Available: k < available[zone]})
		}
	}
	return out
}

func votes(zone string, failed, healthy int) (out []Vote) {
	for i := range failed + healthy {
		v := Vote{Member: fmt.Sprint("m", i), Zone: zone, Failed: i < failed, Health: 1}
		if v.Failed {
			v.Health = 0
		}
		out = append(out, v)
	}
	return out
}

func findZone(t *testing.T, o Output, name string) Zone {
	t.Helper()
	for _, z := range o.Zones {
		if z.Name == name {
			return z
		}
	}
	t.Fatalf("no zone %q", name)
	return Zone{}
}

func approxEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// Distribution by level: 1.4 times the health of a level stays there, the rest goes to the next distance.
func TestLoads(t *testing.T) {
	for _, row := range []struct {
		available map[string]int
		loads     [Priorities]float64
		panic     bool
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
		o := New(testSettings).Step(0, Input{Servers: servers(row.available)}) // within the hysteresis: no zone is failed yet
		ok := o.Panic == row.panic
		for p := range o.Loads {
			ok = ok && (row.panic || approxEqual(o.Loads[p], row.loads[p]))
		}
		if !ok {
			t.Errorf("%v: %v, panic %v", row.available, o.Loads, o.Panic)
		}
	}
}

// A zone is declared failed if more than half of the members vote so, and restored if more than half vote against it; a
// split vote does not change it.
func TestVotes(t *testing.T) {
	b := New(testSettings)
	all := servers(map[string]int{"a": 4, "b": 4, "c": 4})
	state := func(at control.Micros, failed, not int, want State) Output {
		t.Helper()
		o := b.Step(at, Input{Servers: all, Votes: votes("a", failed, not), Peers: failed + not, PeersUp: failed + not})
		if z := findZone(t, o, "a"); z.State != want || z.Decider != DecidedByVotes {
			t.Fatalf("%d votes failed, %d votes healthy and the local one: %v by %v", failed, not, z.State, z.Decider)
		}
		return o
	}
	state(0, 1, 1, Healthy)
	state(1, 2, 1, Healthy) // 2 to 2 with the local vote
	o := state(2, 3, 1, Failed)
	if o.Loads != [Priorities]float64{0, 1, 0} || len(o.Changes) != 1 {
		t.Errorf("failed: %v, changes %+v", o.Loads, o.Changes)
	}
	state(3, 2, 1, Failed) // split vote: no change
	state(4, 1, 1, Returning)
}

// A member's own vote has hysteresis in both directions, and does not change for a flapping zone.
func TestHysteresis(t *testing.T) {
	b := New(testSettings)
	step := func(at control.Micros, available int) bool {
		o := b.Step(at, Input{Servers: servers(map[string]int{"a": available, "b": 4, "c": 4})})
		return o.Votes[0].Failed
	}
	for i, row := range []struct {
		at        control.Micros
		available int
		failed    bool
	}{
		{0, 4, false}, {1 * second, 1, false}, {1*second + 499999, 1, false}, {1*second + 500000, 1, true},
		{2 * second, 2, true}, {3 * second, 3, true}, {4 * second, 2, true}, {5 * second, 3, true}, {7*second - 1, 4, true}, {7 * second, 4, false},
		{8 * second, 1, false}, {8*second + 400000, 2, false}, {8*second + 800000, 1, false}, {9*second + 299999, 1, false}, {9*second + 300000, 1, true},
	} {
		if got := step(row.at, row.available); got != row.failed {
			t.Fatalf("step %d at %d with %d able: failed %v", i, row.at, row.available, got)
		}
	}
}

// Traffic returns to a restored zone gradually: at first as much as cold servers can take, rising until they are warm.
func TestStagedReturn(t *testing.T) {
	b := New(testSettings)
	all := servers(map[string]int{"a": 4, "b": 4, "c": 4})
	b.Step(0, Input{Servers: all, Votes: votes("a", 3, 0), Peers: 3, PeersUp: 3})
	at := func(now control.Micros) Output {
		return b.Step(now, Input{Servers: all, Votes: votes("a", 0, 3), Peers: 3, PeersUp: 3})
	}
	if o := at(1 * second); findZone(t, o, "a").State != Returning || !approxEqual(o.Loads[SameZone], 0.33) || !approxEqual(o.Loads[SameRegion], 0.67) {
		t.Errorf("at the start of the return: %+v %v", o.Zones, o.Loads)
	}
	if o := at(1*second + 7500000); !approxEqual(o.Loads[SameZone], 0.665) {
		t.Errorf("half of the warm-up time: %v", o.Loads)
	}
	if o := at(16 * second); findZone(t, o, "a").State != Healthy || !approxEqual(o.Loads[SameZone], 1) {
		t.Errorf("after the warm-up time: %+v %v", o.Zones, o.Loads)
	}
}

// A member that is cut off from the fleet follows its own view, reports this, and later returns to the majority; so does
// a member that alone cannot use a zone.
func TestLocalOverride(t *testing.T) {
	b := New(testSettings)
	all := map[string]int{"a": 4, "b": 4, "c": 4}
	without := map[string]int{"a": 0, "b": 4, "c": 4}
	others := votes("a", 0, 3)
	b.Step(0, Input{Servers: servers(all), Votes: others, Peers: 3, PeersUp: 3})
	b.Step(1*second, Input{Servers: servers(without), Votes: others, Peers: 3, PeersUp: 3})
	var o Output
	for now := 1*second + 100000; now < 1*second+2500000; now += 100000 { // its vote changes after 0.5 s, the local override starts 2 s later
		o = b.Step(now, Input{Servers: servers(without), Votes: others, Peers: 3, PeersUp: 3})
		if z := findZone(t, o, "a"); z.State != Healthy || z.Decider != DecidedByVotes {
			t.Fatalf("at %d: %+v", now, z)
		}
	}
	o = b.Step(1*second+2500000, Input{Servers: servers(without), Votes: others, Peers: 3, PeersUp: 3})
	if z := findZone(t, o, "a"); z.State != Failed || z.Decider != DecidedLocally || o.Loads[SameRegion] != 1 {
		t.Errorf("zone unusable for this member alone: %+v %v", z, o.Loads)
	}
	for now := 4 * second; now <= 7*second; now += second {
		o = b.Step(now, Input{Servers: servers(all), Votes: others, Peers: 3, PeersUp: 3})
	}
	if z := findZone(t, o, "a"); z.State != Returning || z.Decider != DecidedByVotes {
		t.Errorf("links restored: %+v", z)
	}
	c := New(testSettings)
	c.Step(0, Input{Servers: servers(without), Peers: 3})
	o = c.Step(1*second, Input{Servers: servers(without), Peers: 3})
	if z := findZone(t, o, "a"); z.State != Failed || z.Decider != DecidedLocally {
		t.Errorf("cut off: %+v", z)
	}
}

// Property test over input sequences: each part is between 0 and 1, and the sum is 1 unless a zone is returning; a level
// whose zones have all failed gets nothing; a level with one returning zone and no other zone gets no more than the share
// of that zone; and two members with the same votes have the same zones.
func TestLoadsOverAllSequences(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		first, second := New(testSettings), New(testSettings)
		now := control.Micros(1)
		r.Repeat(map[string]func(*rapid.T){"step": func(r *rapid.T) {
			now += control.Micros(rapid.IntRange(0, 3_000_000).Draw(r, "passed"))
			available := map[string]int{}
			var received []Vote
			for _, zone := range []string{"a", "b", "c"} {
				available[zone] = rapid.IntRange(0, 4).Draw(r, zone)
				received = append(received, votes(zone, rapid.IntRange(0, 3).Draw(r, "for "+zone), rapid.IntRange(0, 3).Draw(r, "against "+zone))...)
			}
			in := Input{Servers: servers(available), Votes: received, Peers: 6, PeersUp: 6}
			o := first.Step(now, in)
			other := second.Step(now, in)
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
							share = z.MaxShare
						case Healthy:
							healthy++
							free = free || z.Health > 0
						}
					}
				}
				if healthy+returning == 0 && load > 0 {
					r.Fatalf("%v gets %v although all its zones have failed", Priority(p), load)
				}
				if returning == 1 && healthy+failed == 0 && load > share+1e-9 {
					r.Fatalf("%v gets %v, its servers can take %v", Priority(p), load, share)
				}
			}
			if free && math.Abs(sum-1) > 1e-9 && !anyReturns(o) || sum > 1+1e-9 {
				r.Fatalf("loads %v add up to %v", o.Loads, sum)
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
