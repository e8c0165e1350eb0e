package capacity

import (
	"fmt"
	"slices"
)

// Machine is one control machine and where it stands.
type Machine struct {
	Name, Region, Zone string
	Voter              bool
}

// Placement is where all control machines stand: five voters over three regions so that no region holds three of them,
// and eight that do not vote, so that each zone has at least two machines.
func Placement() []Machine {
	var all []Machine
	for _, zone := range []struct {
		region, name      string
		voters, nonVoters int
	}{
		{"a", "a1", 1, 1}, {"a", "a2", 1, 1},
		{"b", "b1", 1, 1}, {"b", "b2", 1, 1},
		{"c", "c1", 1, 1}, {"c", "c2", 0, 3},
	} {
		for i := range zone.voters + zone.nonVoters {
			all = append(all, Machine{Name: fmt.Sprintf("%s-%d", zone.name, i+1), Region: zone.region, Zone: zone.name,
				Voter: i < zone.voters})
		}
	}
	return all
}

// Voters counts the machines that vote.
func Voters(machines []Machine) (count int) {
	for _, m := range machines {
		if m.Voter {
			count++
		}
	}
	return count
}

// HasQuorum tells whether the machines that are left, and reach each other, are a majority of all voters.
func HasQuorum(all, remaining []Machine) bool { return 2*Voters(remaining) > Voters(all) }

// Failure is what is lost at once.
type Failure struct {
	Kind string // what is enumerated
	Name string
	Lost func(Machine) bool
}

// Failures enumerates what the page tells of: every machine, pair of machines, zone, pair of zones, region, region with
// one more machine, and three zones.
func Failures(machines []Machine) (all []Failure) {
	names, zones, regions := machineNames(machines), zoneNames(machines), regionNames(machines)
	for i, one := range names {
		all = append(all, Failure{"one machine", one, fieldIn(Machine.name, one)})
		for _, other := range names[i+1:] {
			all = append(all, Failure{"two machines", one + " and " + other, fieldIn(Machine.name, one, other)})
		}
	}
	for i, one := range zones {
		all = append(all, Failure{"one zone", one, fieldIn(Machine.zone, one)})
		for j, other := range zones[i+1:] {
			all = append(all, Failure{"two zones", one + " and " + other, fieldIn(Machine.zone, one, other)})
			for _, third := range zones[i+j+2:] {
				all = append(all, Failure{"three zones", one + ", " + other + " and " + third, fieldIn(Machine.zone, one, other, third)})
			}
		}
	}
	for _, region := range regions {
		all = append(all, Failure{"one region", region, fieldIn(Machine.region, region)})
		for _, m := range machines {
			if m.Region != region {
				inRegion, alone := fieldIn(Machine.region, region), fieldIn(Machine.name, m.Name)
				all = append(all, Failure{"one region and one machine", region + " and " + m.Name,
					func(x Machine) bool { return inRegion(x) || alone(x) }})
			}
		}
	}
	return all
}

func (m Machine) name() string   { return m.Name }
func (m Machine) zone() string   { return m.Zone }
func (m Machine) region() string { return m.Region }

// fieldIn tells of a machine whether a field of it is among some values.
func fieldIn(field func(Machine) string, values ...string) func(Machine) bool {
	return func(m Machine) bool { return slices.Contains(values, field(m)) }
}

func machineNames(machines []Machine) []string { return distinctValues(machines, Machine.name) }
func zoneNames(machines []Machine) []string    { return distinctValues(machines, Machine.zone) }
func regionNames(machines []Machine) []string  { return distinctValues(machines, Machine.region) }

func distinctValues(machines []Machine, field func(Machine) string) (all []string) {
	for _, m := range machines {
		if !slices.Contains(all, field(m)) {
			all = append(all, field(m))
		}
	}
	return all
}

// Remaining is what a failure leaves.
func (f Failure) Remaining(machines []Machine) (remaining []Machine) {
	for _, m := range machines {
		if !f.Lost(m) {
			remaining = append(remaining, m)
		}
	}
	return remaining
}

// RoundTrips are the times there and back between two machines, in milliseconds.
type RoundTrips struct {
	WithinRegion   float64               // between two machines of one region
	BetweenRegions map[[2]string]float64 // between two regions, in the order of their names
}

func (t RoundTrips) between(a, b Machine) float64 {
	if a.Region == b.Region {
		return t.WithinRegion
	}
	return t.BetweenRegions[[2]string{min(a.Region, b.Region), max(a.Region, b.Region)}]
}

// CommitRoundTrip is how long a leader waits on the network for one write: until as many other voters have answered as
// make a majority with it. ok is unset where that many are not left.
func CommitRoundTrip(all, remaining []Machine, leader Machine, t RoundTrips) (ms float64, ok bool) {
	neededAnswers := Voters(all) / 2 // beside the leader
	var answers []float64
	for _, m := range remaining {
		if m.Voter && m.Name != leader.Name {
			answers = append(answers, t.between(leader, m))
		}
	}
	if len(answers) < neededAnswers {
		return 0, false
	}
	if neededAnswers == 0 {
		return 0, true
	}
	slices.Sort(answers)
	return answers[neededAnswers-1], true
}
