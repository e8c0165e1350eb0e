package fleetlab

import (
	"math/rand/v2"
	"strings"
	"time"

	"beammux/internal/fleetcheck"
	"beammux/internal/fleetlab/script"
	"beammux/internal/lab"
)

// homeIndexes returns the indexes of the gatekeepers that receive first calls now, or nil for all.
func (f *fleet) homeIndexes() (indexes []int) {
	to := ""
	for _, h := range f.s.Homes {
		if time.Since(f.startedAt) >= time.Duration(h.At) {
			to = h.To
		}
	}
	if to == "" {
		return nil
	}
	for _, name := range f.selected(to) {
		for _, g := range f.gatekeepers {
			if g.name == name {
				indexes = append(indexes, g.index)
			}
		}
	}
	return indexes
}

// load returns the load of the callers: each first call goes to a gatekeeper of a random zone and prefers a server of that
// zone. Observed events are recorded.
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
		lab.Connected: fleetcheck.ClientConnected, lab.Disconnected: fleetcheck.ClientDisconnected, lab.Broken: fleetcheck.Broken, lab.GaveUp: fleetcheck.GaveUp, lab.Ended: fleetcheck.Released, lab.Unsent: fleetcheck.Unsent, lab.LateAnswer: fleetcheck.AnsweredLate}
	return lab.Load{Seed: f.s.Seed, Gatekeepers: f.s.Gatekeepers, Servers: f.s.Servers, Length: time.Duration(f.s.Length),
		GiveUpShare: f.s.GiveUp, KeepUsing: f.s.KeepUsing,
		PerS: f.s.Load * lab.PlatformWork().Capacity() * float64(f.s.Servers),
		FirstTarget: func(rng *rand.Rand) (home, dest int) {
			z := zones[rng.IntN(len(zones))]
			if indexes := f.homeIndexes(); indexes != nil {
				return indexes[rng.IntN(len(indexes))], z[1][rng.IntN(len(z[1]))]
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
			if indexes := f.homeIndexes(); indexes != nil {
				return indexes[rng.IntN(len(indexes))]
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
			f.calls.record(kind, l)
		}}
}
