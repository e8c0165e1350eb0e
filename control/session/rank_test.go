package session

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"beammux/control/scope"
)

func names(replicas []Replica) (list []string) {
	for _, r := range replicas {
		list = append(list, r.Name)
	}
	return list
}

// The own zone ranks before the own region, and that before all others. Zones of two regions may have the same name.
func TestRankTiers(t *testing.T) {
	replicas := []Replica{
		{Name: "far", Zone: "z9", Region: "south"}, {Name: "region", Zone: "z2", Region: "north"}, {Name: "namesake", Zone: "z1", Region: "south"},
		{Name: "zone", Zone: "z1", Region: "north"}, {Name: "nowhere"},
	}
	got := names(Rank(scope.Target{Name: "g", Zone: "z1", Region: "north"}, replicas))
	require.Equal(t, []string{"zone", "region"}, got[:2])
	require.ElementsMatch(t, []string{"far", "namesake", "nowhere"}, got[2:])
	// For a gatekeeper without zone and region all replicas are in one tier; those without zone and region have no priority.
	leads := 0
	for i := range 1000 {
		if Rank(scope.Target{Name: fmt.Sprint("g", i)}, replicas)[0].Name == "nowhere" {
			leads++
		}
	}
	require.InDelta(t, 200, leads, 5*math.Sqrt(1000*0.2*0.8))
}

// Gatekeepers are spread evenly over a tier, and those of a lost replica over the remaining ones: within five standard
// deviations of the binomial distribution, which chance alone exceeds once in a million runs.
func TestRankSpreads(t *testing.T) {
	const gatekeepers, machines = 6000, 6
	var replicas []Replica
	for i := range machines {
		replicas = append(replicas, Replica{Name: fmt.Sprint("control-", i)})
	}
	first, second := map[string]int{}, map[[2]string]int{}
	for i := range gatekeepers {
		ranked := Rank(scope.Target{Name: fmt.Sprintf("gatekeeper-%04d", i)}, replicas)
		first[ranked[0].Name]++
		second[[2]string{ranked[0].Name, ranked[1].Name}]++
	}
	requireWithin := func(count int, all float64, part float64) {
		require.InDelta(t, all*part, count, 5*math.Sqrt(all*part*(1-part)))
	}
	require.Len(t, first, machines)
	for _, count := range first {
		requireWithin(count, gatekeepers, 1./machines)
	}
	require.Len(t, second, machines*(machines-1))
	for pair, count := range second {
		requireWithin(count, float64(first[pair[0]]), 1./(machines-1))
	}
}

// A replica that is lost or added does not change the order of the others, so no clients of other replicas move.
func TestRankIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]string{"", "a", "b"})
		self := scope.Target{Name: rapid.String().Draw(t, "name"), Zone: name.Draw(t, "zone"), Region: name.Draw(t, "region")}
		var replicas []Replica
		for i := range rapid.IntRange(1, 13).Draw(t, "replicas") {
			replicas = append(replicas, Replica{Name: fmt.Sprint("c", i), Zone: name.Draw(t, "z"), Region: name.Draw(t, "r")})
		}
		ranked := Rank(self, replicas)
		shuffled := rapid.Permutation(replicas).Draw(t, "mixed")
		require.Equal(t, ranked, Rank(self, shuffled))
		lost := rapid.IntRange(0, len(replicas)-1).Draw(t, "lost")
		rest := slices.Delete(slices.Clone(ranked), lost, lost+1)
		require.Equal(t, rest, Rank(self, slices.DeleteFunc(shuffled, func(r Replica) bool { return r == ranked[lost] })))
		for i := range len(ranked) - 1 {
			require.LessOrEqual(t, tier(self, ranked[i]), tier(self, ranked[i+1]))
		}
	})
}
