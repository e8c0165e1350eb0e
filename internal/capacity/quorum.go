package capacity

import (
	"fmt"
	"slices"
)

// Machine is one control machine and its location.
type Machine struct {
	Name, Region, Zone string
	Voter              bool
}

// Placement returns all control machines with their locations: five voters in three regions, so that no region holds three of
// them, and eight non-voters, so that each zone has at least two machines.
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

// Voters returns the number of machines that vote.
func Voters(machines []Machine) (count int) {
	for _, m := range machines {
		if m.Voter {
			count++
		}
	}
	return count
}

// HasQuorum reports whether the remaining machines, which reach each other, include a majority of all voters.
func HasQuorum(all, remaining []Machine) bool { return 2*Voters(remaining) > Voters(all) }

// Failure is a simultaneous loss of machines.
type Failure struct {
	Kind string             // kind of loss that Failures enumerates, such as "one zone"
	Name string             // lost machines, zones and regions
	Lost func(Machine) bool // reports whether a machine is lost
}

// Failures enumerates the failures in the quorum table of the page: every loss of a machine, two machines, a zone, two zones,
// three zones, a region, and a region and one more machine.
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

// fieldIn returns a function that reports whether a field of a machine is one of the values.
func fieldIn(field func(Machine) string, values ...string) func(Machine) bool {
	return func(m Machine) bool { return slices.Contains(values, field(m)) }
}

func machineNames(machines []Machine) []string { return distinctValues(machines, Machine.name) }
func zoneNames(machines []Machine) []string    { return distinctValues(machines, Machine.zone) }
func regionNames(machines []Machine) []string  { return distinctValues(machines, Machine.region) }

// distinctValues returns the different values of a field, in the order of the machines.
func distinctValues(machines []Machine, field func(Machine) string) (all []string) {
	for _, m := range machines {
		if !slices.Contains(all, field(m)) {
			all = append(all, field(m))
		}
	}
	return all
}

// Remaining returns the machines that are not lost.
func (f Failure) Remaining(machines []Machine) (remaining []Machine) {
	for _, m := range machines {
		if !f.Lost(m) {
			remaining = append(remaining, m)
		}
	}
	return remaining
}

// RoundTrips holds the network round-trip times between two machines, in milliseconds.
type RoundTrips struct {
	WithinRegion   float64               // between two machines of one region
	BetweenRegions map[[2]string]float64 // between two regions; the names in a key are in lexical order
}

// between returns the round-trip time between two machines.
func (t RoundTrips) between(a, b Machine) float64 {
	if a.Region == b.Region {
		return t.WithinRegion
	}
	return t.BetweenRegions[[2]string{min(a.Region, b.Region), max(a.Region, b.Region)}]
}

// CommitRoundTrip returns how long a leader waits on the network for one write: until enough of the other voters have answered
// to form a majority with it. ok is false if too few voters remain.
func CommitRoundTrip(all, remaining []Machine, leader Machine, t RoundTrips) (ms float64, ok bool) {
	neededAnswers := Voters(all) / 2 // of voters other than the leader
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
