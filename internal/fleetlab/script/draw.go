package script

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"beammux/internal/jsonfile"
)

// Shape describes the fleet that a generated script is for.
type Shape struct {
	Gatekeepers, Servers, Zones, Members int
	Load                                 float64
	Fleet                                bool
	Limits                               *Limits // nil: no limits
}

// ParseKinds parses a list of fault kinds from the command line: "all", or kind names joined by "+". "all" omits the kinds
// that affect only datagrams and those that are generated only on explicit request.
func ParseKinds(text string) ([]string, error) {
	if text == "all" {
		return slices.DeleteFunc(Kinds(), func(k string) bool { return kinds[k].datagramsOnly || kinds[k].explicitOnly }), nil
	}
	var selected []string
	for name := range strings.SplitSeq(text, "+") {
		if _, ok := kinds[name]; !ok {
			return nil, fmt.Errorf("%q is none of all, %s%s", name, strings.Join(Kinds(), ", "), jsonfile.Hint(name, Kinds()))
		}
		selected = append(selected, name)
	}
	return selected, nil
}

// Bounds of the times of generated faults.
const (
	firstFaultAt       = 4 * time.Second // by then the fleet is warm and its behaviour without faults has been observed
	minFaultDuration   = 1500 * time.Millisecond
	maxFaultDuration   = 3500 * time.Millisecond
	minGap             = 2 * time.Second // between the end of one fault and the start of the next, unless they overlap
	maxGap             = 4 * time.Second
	overlapProbability = 0.2 // probability that a fault begins while the previous one is active
	quietTail          = 6 * time.Second
)

// Draw generates a script with one fault of each kind. Order, times and targets depend only on the seed.
func Draw(seed uint64, shape Shape, names []string) (*Script, error) {
	s := &Script{Version: Version, Seed: seed, Gatekeepers: shape.Gatekeepers, Servers: shape.Servers, Zones: shape.Zones,
		Members: shape.Members, Load: shape.Load, Fleet: shape.Fleet, Limits: shape.Limits, Length: 1}
	if err := s.shape(); err != nil {
		return nil, err
	}
	if s.Limits == nil && slices.Contains(names, "reload") {
		return nil, errNoLimits
	}
	rng := rand.New(rand.NewPCG(seed, 0x666c656574)) // stream number that sets scripts apart from other uses of the seed
	randomDuration := func(from, to time.Duration) time.Duration {
		return (from + time.Duration(rng.Int64N(int64(to-from)+1))).Round(10 * time.Millisecond)
	}
	names = slices.Clone(names)
	slices.Sort(names)
	rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	start, end := firstFaultAt, firstFaultAt
	for i, name := range names {
		f := Fault{At: Duration(start), For: Duration(randomDuration(minFaultDuration, maxFaultDuration)), Kind: name}
		s.setTarget(rng, &f)
		s.Faults = append(s.Faults, f)
		end = max(end, start+time.Duration(f.For))
		if i+1 < len(names) && rng.Float64() < overlapProbability {
			start += randomDuration(300*time.Millisecond, time.Duration(f.For))
		} else {
			start = end + randomDuration(minGap, maxGap)
		}
	}
	s.Length = Duration(end + quietTail)
	return s, nil
}

// setTarget chooses the target of a fault and its parameters at random.
func (s *Script) setTarget(rng *rand.Rand, f *Fault) {
	gatekeeper := func() string { return Gatekeeper(rng.IntN(s.Gatekeepers)) }
	zone := func() string { return Zone(rng.IntN(s.Zones)) }
	one := func(names ...string) string { return names[rng.IntN(len(names))] }
	whole := func(from, to int) int { return from + rng.IntN(to-from+1) }
	// links chooses connections that gatekeepers open to the servers of a zone or to the bus, or that callers open to a
	// gatekeeper.
	links := func() {
		switch rng.IntN(4) {
		case 0:
			f.From, f.To = gatekeeper(), "servers@"+zone()
		case 1:
			f.From, f.To = "gatekeepers@"+zone(), "servers@"+zone()
		case 2:
			f.From, f.To = "gatekeepers", Bus
		case 3:
			g := gatekeeper()
			f.From, f.To = Front+s.ZoneOf(g), g
		}
	}
	switch f.Kind {
	case "kill", "term":
		f.Target, f.State = gatekeeper(), one("same", "empty")
		if f.Kind == "kill" && rng.IntN(4) == 0 {
			f.Target = "gatekeepers"
		}
	case "evacuate", "pause":
		f.Target = gatekeeper()
	case "reload":
		f.Target, f.Factor = "gatekeepers", float64(whole(4, 9))/10
	case "lose":
		f.Target = one(Server(rng.IntN(s.Servers)), "servers@"+zone())
	case "slow":
		f.Target, f.Slow = one(Server(rng.IntN(s.Servers)), "servers@"+zone()), float64(whole(2, 4))
	case "drain", "hang", "remove":
		f.Target = Server(rng.IntN(s.Servers))
	case "vanish":
		f.Target, f.How = Server(rng.IntN(s.Servers)), one(vanishings...)
		if rng.IntN(3) > 0 {
			f.Removed = Duration(f.For) / 2
		}
	case "replace":
		f.Target, f.Listed = Server(rng.IntN(s.Servers)), Duration(whole(2, 25))*Duration(100*time.Millisecond)
		if rng.IntN(2) == 0 {
			f.Removed = f.For + Duration(time.Second)
		}
	case "ill":
		f.Target, f.Part = Server(rng.IntN(s.Servers)), float64(whole(6, 10))/10
	case "engaged":
		f.Target, f.Number, f.Part = "servers", "5550"+strconv.Itoa(whole(100, 999)), float64(whole(1, 4))/10
	case "lie", "rude", "crowd", "hup":
		f.Target = gatekeeper()
	case "spoil":
		f.Target, f.Part = Server(rng.IntN(s.Servers)), float64(whole(1, 5))/10
	case "partition":
		if a := rng.IntN(s.Zones); s.Zones > 1 && rng.IntN(2) == 0 {
			f.From, f.To = "zone:"+Zone(a), "zone:"+Zone((a+1+rng.IntN(s.Zones-1))%s.Zones)
		} else {
			f.From, f.To = gatekeeper(), "servers+bus"
		}
	case "cut":
		links()
		if rng.IntN(2) == 0 {
			f.From, f.To = f.To, f.From
		}
	case "delay":
		links()
		f.Delay, f.Jitter = Duration(whole(10, 150))*Duration(time.Millisecond), Duration(whole(1, 50))*Duration(time.Millisecond)
	case "bandwidth":
		links()
		f.Rate = whole(4, 64) << 10
	case "pieces":
		links()
		f.Bytes, f.Delay = whole(32, 200), Duration(whole(1, 3))*Duration(time.Millisecond)
	case "reset":
		links()
		if f.Bytes = whole(200, 4000); rng.IntN(2) == 0 {
			f.Bytes = 0
		}
	case "loss", "duplicate", "reorder":
		f.From, f.To, f.Part = "gatekeepers", "gatekeepers", float64(whole(5, 40))/100
	default: // blackhole, refuse
		links()
	}
}
