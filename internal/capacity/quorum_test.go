package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The placement has 13 machines, five voters (2 + 2 + 1 by region), at most one voter and at least two machines in a zone.
func TestPlacement(t *testing.T) {
	machines := Placement()
	require.Len(t, machines, 13)
	require.Equal(t, 5, Voters(machines))
	require.Len(t, zoneNames(machines), 6)
	require.Len(t, machineNames(machines), 13)
	byRegion, byZone, votersByZone := map[string]int{}, map[string]int{}, map[string]int{}
	for _, m := range machines {
		byZone[m.Zone]++
		if m.Voter {
			byRegion[m.Region]++
			votersByZone[m.Zone]++
		}
	}
	require.Equal(t, map[string]int{"a": 2, "b": 2, "c": 1}, byRegion)
	for zone, count := range byZone {
		require.GreaterOrEqual(t, count, 2, zone)
		require.LessOrEqual(t, votersByZone[zone], 1, zone)
	}
}

// The number of failures that leave a quorum, for every kind. The expected numbers are calculated by hand.
func TestQuorumOfEveryFailure(t *testing.T) {
	machines := Placement()
	type count struct{ all, survived int }
	counts := map[string]count{}
	for _, f := range Failures(machines) {
		c := counts[f.Kind]
		c.all++
		if HasQuorum(machines, f.Remaining(machines)) {
			c.survived++
		}
		counts[f.Kind] = c
	}
	require.Equal(t, map[string]count{
		"one machine":                {13, 13},
		"two machines":               {78, 78}, // 13 x 12 / 2
		"one zone":                   {6, 6},
		"two zones":                  {15, 15}, // 6 x 5 / 2; each holds one voter at most
		"three zones":                {20, 10}, // with c2, which has no voter, two are lost: 5 x 4 / 2 cases
		"one region":                 {3, 3},
		"one region and one machine": {26, 20}, // 9 + 9 + 8; a or b lost and one of the three other voters: 2 x 3 stop it
	}, counts)
}

// Two regions that reach each other have a majority; one region alone has none.
func TestQuorumOfPartedRegions(t *testing.T) {
	machines := Placement()
	for _, region := range regionNames(machines) {
		parted := Failure{Lost: fieldIn(Machine.region, region)}
		others := parted.Remaining(machines)
		require.True(t, HasQuorum(machines, others), "without %s", region)
		alone := Failure{Lost: func(m Machine) bool { return m.Region != region }}.Remaining(machines)
		require.False(t, HasQuorum(machines, alone), "%s alone", region)
	}
	require.False(t, HasQuorum(machines, nil))
}

// The network's part of a write's latency, calculated by hand: the second answer of the other voters, with 20, 35 and 45 ms between
// regions and 1 ms within a region.
func TestCommitRoundTrip(t *testing.T) {
	machines := Placement()
	trips := RoundTrips{WithinRegion: 1, BetweenRegions: map[[2]string]float64{{"a", "b"}: 20, {"a", "c"}: 35, {"b", "c"}: 45}}
	leaders := map[string]Machine{}
	for _, m := range machines {
		if m.Voter {
			leaders[m.Region] = m
		}
	}
	for _, c := range []struct {
		leader, lost string
		want         float64
	}{
		{"a", "", 20}, {"b", "", 20}, {"c", "", 35}, // c: both of a answer after 35
		{"a", "b", 35}, {"a", "c", 20}, {"b", "a", 45}, {"b", "c", 20}, {"c", "a", 45}, {"c", "b", 35},
	} {
		left := Failure{Lost: fieldIn(Machine.region, c.lost)}.Remaining(machines)
		got, ok := CommitRoundTrip(machines, left, leaders[c.leader], trips)
		require.True(t, ok, "%+v", c)
		require.Equal(t, c.want, got, "%+v", c)
	}
	alone := Failure{Lost: fieldIn(Machine.region, "a", "c")}.Remaining(machines)
	_, ok := CommitRoundTrip(machines, alone, leaders["b"], trips)
	require.False(t, ok)
	ms, ok := CommitRoundTrip(machines[:1], machines[:1], machines[0], trips)
	require.True(t, ok)
	require.Zero(t, ms)
}
