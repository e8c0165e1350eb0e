package session

import (
	"slices"
	"strings"

	"beammux/control/scope"
)

// Rank returns the replicas in the order in which a gatekeeper prefers them: those of its zone, then those of its region,
// then the others. Within each of these tiers the order is that of rendezvous hashing: gatekeepers spread evenly over a
// tier, the gatekeepers of a lost replica spread evenly over the remaining ones, and no others move.
func Rank(self scope.Target, replicas []Replica) []Replica {
	ranked := slices.Clone(replicas)
	slices.SortFunc(ranked, func(a, b Replica) int {
		if d := tier(self, a) - tier(self, b); d != 0 {
			return d
		}
		scoreA, scoreB := score(self.Name, a.Name), score(self.Name, b.Name)
		switch {
		case scoreA > scoreB:
			return -1
		case scoreA < scoreB:
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	return ranked
}

// The tiers, best first.
const (
	sameZone = iota
	sameRegion
	elsewhere
)

// tier returns the tier of a replica for a gatekeeper.
func tier(self scope.Target, r Replica) int {
	switch {
	case self.Zone != "" && r.Zone == self.Zone && r.Region == self.Region:
		return sameZone
	case self.Region != "" && r.Region == self.Region:
		return sameRegion
	}
	return elsewhere
}

// score returns the rendezvous weight of a replica for a gatekeeper: the finalizer of SplitMix64 over FNV-1a of both
// names.
func score(gatekeeper, replica string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for _, name := range [...]string{gatekeeper, "\x00", replica} {
		for i := range len(name) {
			h = (h ^ uint64(name[i])) * prime
		}
	}
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
