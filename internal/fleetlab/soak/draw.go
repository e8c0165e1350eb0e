// Package soak runs short, dense trials of the fleet laboratory, one for each seed: a handful of gatekeepers with one to three
// faults at a time, the next within a second or two of the last. A trial is a script of package script, drawn from its seed.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"beammux/internal/fleetlab/script"
	"beammux/internal/jsonfile"
)

// Bounds of a trial.
const (
	MinLength      = 20 * time.Second
	MaxLength      = 60 * time.Second
	firstFaultAt   = 2 * time.Second
	quietTail      = 9500 * time.Millisecond // after the last fault: a release is due within 8 s
	minGap         = 400 * time.Millisecond  // between the starts of two faults
	maxGap         = 2 * time.Second
	maxAtOnce      = 3                       // faults
	earliestKill   = 3700 * time.Millisecond // from SIGTERM to SIGKILL: the longest deadline, counted as 3 s, and 0.7 s
	startTime      = time.Second             // for a gatekeeper to be started again
	giveUpShare    = 0.05                    // of the attempts, in a trial whose callers give up early
	minPiece       = 100                     // bytes of a message that passes in pieces
	maxPiece       = 400
	maxPieceGapMs  = 3
	trialStream    = 0x736f616b             // random stream that sets trials apart from other uses of the seed
	minListed      = 210 * time.Millisecond // from the start of a server until the list names it
	maxListed      = 6 * time.Second
	removalAfter   = 14 * time.Second // from a silent loss until the list names the server as removed, at most
	minServers     = 3
	maxServers     = 6
	minMembers     = 2
	maxMembers     = 6
	halfOfTrials   = 0.5
	minLoad        = 30 // percent of the servers' capacity
	maxLoadSpread  = 50
	minBusyLoad    = 85 // percent, in a busy trial
	maxBusySpread  = 30
	busyTrials     = 0.33                    // share of the trials
	longEvacuation = 4500 * time.Millisecond // past the time by which no client may be connected
)

// groups holds the kinds of faults by the name of their group.
var groups = map[string][]string{
	"shutdowns": {"term", "term", "kill", "pause", "hup"},
	"operators": {"evacuate"},
	"replaced":  {"replace"},
	"servers":   {"vanish", "vanish", "hang", "lose", "remove", "slow"},
	"discovery": {"bus-silent", "bus-refuses", "bus-hangs", "bus-resets", "drain", "remove"},
	"answers":   {"spoil"},
	"clients":   {"rude", "front-resets", "crowd"},
	"network":   {"partition", "server-cut", "server-resets", "server-refuses", "server-late", "front-cut"},
	"bytes":     {"front-pieces", "server-pieces", "server-resets-midway", "front-slow"},
}

// Groups returns the names of the groups of faults, sorted.
func Groups() []string {
	names := make([]string, 0, len(groups))
	for name := range groups {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ParseGroups parses a list of groups from the command line: "all", or names joined by "+".
func ParseGroups(text string) ([]string, error) {
	if text == "all" {
		return Groups(), nil
	}
	names := strings.Split(text, "+")
	for _, name := range names {
		if groups[name] == nil {
			return nil, fmt.Errorf("%q is none of all, %s%s", name, strings.Join(Groups(), ", "), jsonfile.Hint(name, Groups()))
		}
	}
	return names, nil
}

// drawer draws one trial.
type drawer struct {
	rng *rand.Rand
	s   *script.Script
}

// Draw draws the trial of a seed from groups of faults. The same seed gives the same trial.
func Draw(seed uint64, length time.Duration, groupNames []string) *script.Script {
	d := &drawer{rng: rand.New(rand.NewPCG(seed, trialStream))}
	gatekeepers := d.between(minMembers, maxMembers)
	d.s = &script.Script{Version: script.Version, Seed: seed, Gatekeepers: gatekeepers, Servers: d.between(minServers, maxServers), Zones: 1,
		Members: min(3, gatekeepers), Load: d.load(), Length: script.Duration(length)}
	d.s.KeepUsing = true
	if d.rng.Float64() < halfOfTrials {
		d.s.GiveUp = giveUpShare
	}
	last := length - quietTail
	for at := firstFaultAt; at < last; at += d.span(minGap, maxGap) {
		if d.activeAt(at) >= maxAtOnce {
			continue
		}
		group := groups[groupNames[d.rng.IntN(len(groupNames))]]
		d.add(group[d.rng.IntN(len(group))], at, last)
	}
	return d.s
}

// load returns the rate of first calls, as a part of the servers' capacity.
func (d *drawer) load() float64 {
	if d.rng.Float64() < busyTrials {
		return float64(minBusyLoad+d.rng.IntN(maxBusySpread)) / 100
	}
	return float64(minLoad+d.rng.IntN(maxLoadSpread)) / 100
}

func (d *drawer) between(low, high int) int { return low + d.rng.IntN(high-low+1) }

func (d *drawer) span(low, high time.Duration) time.Duration {
	return (low + time.Duration(d.rng.Int64N(int64(high-low)+1))).Round(10 * time.Millisecond)
}

// activeAt returns the number of faults that are on at a time.
func (d *drawer) activeAt(at time.Duration) (n int) {
	for _, f := range d.s.Faults {
		if time.Duration(f.At) <= at && at < time.Duration(f.At+f.For) {
			n++
		}
	}
	return n
}

// add adds a fault that ends by a time.
func (d *drawer) add(name string, at, end time.Duration) {
	f := script.Fault{At: script.Duration(at), Kind: name}
	gatekeeper := script.Gatekeeper(d.rng.IntN(d.s.Gatekeepers))
	server := script.Server(d.rng.IntN(d.s.Servers))
	front := script.Front + d.s.ZoneOf(gatekeeper)
	low, high := 500*time.Millisecond, 5*time.Second
	link := func(kind, from, to string) { f.Kind, f.From, f.To = kind, from, to }
	switch name {
	case "term":
		f.Target, f.State, f.KillAfter = gatekeeper, "same", script.Duration(earliestKill)
		f.Series = d.rng.IntN(2) == 0
		low, high = earliestKill+200*time.Millisecond, earliestKill+startTime
	case "evacuate":
		f.Target, f.Series = gatekeeper, d.rng.IntN(3) == 0
		if d.rng.IntN(3) > 0 {
			low = longEvacuation
		}
		high = 8 * time.Second
	case "kill":
		f.Target, f.State = gatekeeper, "same"
		high = startTime
	case "pause":
		f.Target = gatekeeper
		low = 100 * time.Millisecond
	case "vanish":
		f.Target, f.How = server, []string{script.MachineLost, script.ProcessHung}[d.rng.IntN(2)]
		low, high = 7*time.Second, 14*time.Second
	case "replace":
		f.Target, f.Listed = server, script.Duration(d.span(minListed, maxListed))
		low, high = 300*time.Millisecond, 7*time.Second
	case "hang", "remove", "drain", "lose":
		f.Target = server
	case "slow":
		f.Target, f.Slow = server, float64(d.between(2, 4))
	case "rude", "crowd", "hup":
		f.Target = gatekeeper
	case "spoil":
		f.Target, f.Part = server, float64(d.between(1, 5))/10
	case "bus-silent":
		link("cut", script.Bus, gatekeeper)
		high = 9 * time.Second
	case "bus-refuses":
		link("refuse", "gatekeepers", script.Bus)
		high = 9 * time.Second
	case "bus-hangs":
		link("blackhole", "gatekeepers", script.Bus)
		high = 9 * time.Second
	case "bus-resets":
		link("reset", "gatekeepers", script.Bus)
		f.Bytes = d.between(200, 1500)
	case "partition":
		link("partition", gatekeeper, "servers+bus")
		high = 8 * time.Second
	case "server-cut":
		link("cut", gatekeeper, server)
		if d.rng.IntN(2) == 0 {
			f.From, f.To = f.To, f.From
		}
		high = 12 * time.Second
	case "server-resets":
		link("reset", "gatekeepers", "servers")
	case "server-resets-midway":
		link("reset", "gatekeepers", "servers")
		f.Bytes = d.between(300, 4000)
	case "server-refuses":
		link("refuse", "gatekeepers", server)
	case "server-late":
		link("delay", "gatekeepers", server)
		f.Delay, f.Jitter = script.Duration(d.span(50*time.Millisecond, 400*time.Millisecond)), script.Duration(50*time.Millisecond)
	case "server-pieces":
		link("pieces", server, "gatekeepers")
		f.Bytes, f.Delay = d.between(minPiece, maxPiece), script.Duration(d.between(1, maxPieceGapMs))*script.Duration(time.Millisecond)
	case "front-resets":
		link("reset", front, gatekeeper)
		if d.rng.IntN(2) == 0 {
			f.Bytes = d.between(300, 4000)
		}
	case "front-cut":
		link("partition", front, gatekeeper)
		high = 4 * time.Second
	case "front-pieces":
		link("pieces", front, gatekeeper)
		f.Bytes, f.Delay = d.between(minPiece, maxPiece), script.Duration(d.between(1, maxPieceGapMs))*script.Duration(time.Millisecond)
	case "front-slow":
		link("bandwidth", front, gatekeeper)
		f.Rate = d.between(48, 96) << 10 // some times what callers send: the rest of a longer queue would outlast the fault
	}
	f.For = script.Duration(min(d.span(low, high), end-at))
	if time.Duration(f.For) < low {
		return // too little of the trial is left for it
	}
	if name == "vanish" && d.rng.IntN(3) > 0 {
		f.Removed = f.For / 2
	}
	if name == "replace" && d.rng.IntN(2) > 0 {
		f.Removed = script.Duration(d.span(minGap, removalAfter))
	}
	d.s.Faults = append(d.s.Faults, f)
}
