package fleetlab

import (
	"math/rand/v2"
	"strings"
	"time"

	"beammux/internal/fleetcheck"
	"beammux/internal/fleetlab/script"
	"beammux/internal/lab"
)

// homes gives the places of the gatekeepers that first calls come to now; nil: everywhere.
func (f *fleet) homes() (at []int) {
	to := ""
	for _, h := range f.s.Homes {
		if time.Since(f.began) >= time.Duration(h.At) {
			to = h.To
		}
	}
	if to == "" {
		return nil
	}
	for _, name := range f.selected(to) {
		for _, g := range f.gatekeepers {
			if g.name == name {
				at = append(at, g.index)
			}
		}
	}
	return at
}

// load is what the callers offer: each first call comes to a gatekeeper of a zone, and its first choice is a server there.
func (f *fleet) load() lab.Load {
	zones := make([][2][]int, f.s.Zones) // gatekeepers and servers
	for i := range f.s.Gatekeepers {
		zones[i%f.s.Zones][0] = append(zones[i%f.s.Zones][0], i)
	}
	for i := range f.s.Servers {
		zones[i%f.s.Zones][1] = append(zones[i%f.s.Zones][1], i)
	}
	kinds := map[lab.ObservationKind]fleetcheck.Kind{lab.Tried: fleetcheck.Tried, lab.Established: fleetcheck.Established, lab.Refused: fleetcheck.Refused,
		lab.Failed: fleetcheck.Failed, lab.SecondAnswer: fleetcheck.ExtraAnswer, lab.Unanswered: fleetcheck.Expired,
		lab.Broken: fleetcheck.Broken, lab.Unsent: fleetcheck.Unsent, lab.LateAnswer: fleetcheck.AnsweredLate}
	return lab.Load{Seed: f.s.Seed, Gatekeepers: f.s.Gatekeepers, Servers: f.s.Servers, Length: time.Duration(f.s.Length),
		PerS: f.s.Load * lab.PlatformWork().Capacity() * float64(f.s.Servers),
		FirstTarget: func(rng *rand.Rand) (home, dest int) {
			z := zones[rng.IntN(len(zones))]
			if at := f.homes(); at != nil {
				return at[rng.IntN(len(at))], z[1][rng.IntN(len(z[1]))]
			}
			return z[0][rng.IntN(len(z[0]))], z[1][rng.IntN(len(z[1]))]
		},
		Key: func(rng *rand.Rand) string {
			if e := f.engaged.Load(); e != nil && rng.Float64() < e.Part {
				return e.Number
			}
			return ""
		},
		RetryTarget: func(rng *rand.Rand) int {
			if at := f.homes(); at != nil {
				return at[rng.IntN(len(at))]
			}
			return -1
		},
		Observer: func(e lab.Observation) {
			kind, ok := kinds[e.Kind]
			if !ok {
				return
			}
			l := line{Call: e.Call, Class: e.Class, Span: e.Span.Microseconds(), What: strings.TrimSpace(e.Body)}
			if e.Gatekeeper >= 0 {
				l.Process = script.Gatekeeper(e.Gatekeeper)
			}
			f.calls.note(kind, l)
		}}
}
