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

// Shape says which fleet a script is drawn for.
type Shape struct {
	Gatekeepers, Servers, Zones, Members int
	Load                                 float64
	Fleet                                bool
	Limits                               *Limits // nil: none
}

// ParseKinds reads a list of kinds as a command has it: all, or names with + between. all leaves out those that concern
// datagrams alone, which are drawn where they are named.
func ParseKinds(text string) ([]string, error) {
	if text == "all" {
		return slices.DeleteFunc(Kinds(), func(k string) bool { return kinds[k].udp || kinds[k].named }), nil
	}
	var out []string
	for name := range strings.SplitSeq(text, "+") {
		if _, ok := kinds[name]; !ok {
			return nil, fmt.Errorf("%q is none of all, %s%s", name, strings.Join(Kinds(), ", "), jsonfile.Hint(name, Kinds()))
		}
		out = append(out, name)
	}
	return out, nil
}

// How faults are drawn.
const (
	firstAt  = 4 * time.Second // the fleet is warm by then, and what it does without faults is known
	shortest = 1500 * time.Millisecond
	longest  = 3500 * time.Millisecond
	gapLeast = 2 * time.Second // between the end of a fault and the next, where they do not overlap
	gapMost  = 4 * time.Second
	overlap  = 0.2 // part of the faults that begin while the one before is on
	afterAll = 6 * time.Second
)

// Draw draws a script: each kind once, in an order, at times and on targets that come from the seed alone.
func Draw(seed uint64, shape Shape, names []string) (*Script, error) {
	s := &Script{Version: Version, Seed: seed, Gatekeepers: shape.Gatekeepers, Servers: shape.Servers, Zones: shape.Zones,
		Members: shape.Members, Load: shape.Load, Fleet: shape.Fleet, Limits: shape.Limits, Length: 1}
	if err := s.shape(); err != nil {
		return nil, err
	}
	if s.Limits == nil && slices.Contains(names, "reload") {
		return nil, errReload
	}
	rng := rand.New(rand.NewPCG(seed, 0x666c656574)) // the fleet's own stream
	span := func(from, to time.Duration) time.Duration {
		return (from + time.Duration(rng.Int64N(int64(to-from)+1))).Round(10 * time.Millisecond)
	}
	names = slices.Clone(names)
	slices.Sort(names)
	rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	at, end := firstAt, firstAt
	for i, name := range names {
		f := Fault{At: Duration(at), For: Duration(span(shortest, longest)), Kind: name}
		s.target(rng, &f)
		s.Faults = append(s.Faults, f)
		end = max(end, at+time.Duration(f.For))
		if i+1 < len(names) && rng.Float64() < overlap {
			at += span(300*time.Millisecond, time.Duration(f.For))
		} else {
			at = end + span(gapLeast, gapMost)
		}
	}
	s.Length = Duration(end + afterAll)
	return s, nil
}

// target draws what a fault acts on, and its figures.
func (s *Script) target(rng *rand.Rand, f *Fault) {
	gatekeeper := func() string { return Gatekeeper(rng.IntN(s.Gatekeepers)) }
	zone := func() string { return Zone(rng.IntN(s.Zones)) }
	one := func(names ...string) string { return names[rng.IntN(len(names))] }
	whole := func(from, to int) int { return from + rng.IntN(to-from+1) }
	// links draws what a gatekeeper opens: to the servers of a zone, to all, to the bus, or what callers open to it.
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
	case "pause":
		f.Target = gatekeeper()
	case "reload":
		f.Target, f.Factor = "gatekeepers", float64(whole(4, 9))/10
	case "lose":
		f.Target = one(Server(rng.IntN(s.Servers)), "servers@"+zone())
	case "slow":
		f.Target, f.Slow = one(Server(rng.IntN(s.Servers)), "servers@"+zone()), float64(whole(2, 4))
	case "drain", "hang":
		f.Target = Server(rng.IntN(s.Servers))
	case "ill":
		f.Target, f.Part = Server(rng.IntN(s.Servers)), float64(whole(6, 10))/10
	case "engaged":
		f.Target, f.Number, f.Part = "servers", "5550"+strconv.Itoa(whole(100, 999)), float64(whole(1, 4))/10
	case "lie", "rude":
		f.Target = gatekeeper()
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
