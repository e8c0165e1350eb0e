// Package locality decides how much of a gatekeeper's traffic goes to the menu servers of which distance: its own zone, its
// own region, elsewhere. It does no I/O and reads no clock. Which server of a distance takes a call stays the module's
// decision, and its rules on gated and cold servers hold whatever is decided here.
//
// Terms and the sharing-out are those of Envoy's locality-weighted load balancing with priority levels: health of a level,
// overprovisioning factor, panic threshold. What is added: a zone is declared failed and restored in common, by the votes
// that the members tell each other; both ways have hysteresis; and traffic returns to a restored zone no faster than its
// servers get warm.
package locality

import (
	"cmp"
	"slices"

	"beammux/control"
)

// Settings are the figures of the decision. The zero value of each is replaced by the default in parentheses.
type Settings struct {
	Zone, Region       string
	Overprovision      float64        // a level takes all traffic while its health times this is 1 or more (1.4)
	Panic              float64        // with less health than this in all levels together, distance counts no more (0.25)
	FailBelow          float64        // part of a zone's servers that can take set-ups, below which a member votes it failed (0.4)
	RestoreAbove       float64        // and from which it votes it restored (0.7)
	FailAfter          control.Micros // for so long without a break (500 ms)
	RestoreAfter       control.Micros // (2 s)
	LocalOverrideAfter control.Micros // a member that alone can't use a zone goes by its own view after this (2 s)
	StartCapacity      float64        // of a cold server: the settings' start-capacity
	WarmWithin         control.Micros // the settings' warm-within
}

func (s Settings) withDefaults() Settings {
	s.Overprovision = cmp.Or(s.Overprovision, 1.4)
	s.Panic = cmp.Or(s.Panic, 0.25)
	s.FailBelow = cmp.Or(s.FailBelow, 0.4)
	s.RestoreAbove = cmp.Or(s.RestoreAbove, 0.7)
	s.FailAfter = cmp.Or(s.FailAfter, 500000)
	s.RestoreAfter = cmp.Or(s.RestoreAfter, 2000000)
	s.LocalOverrideAfter = cmp.Or(s.LocalOverrideAfter, 2000000)
	return s
}

// Priority is a distance: 0 is nearest.
type Priority int

// The priorities.
const (
	SameZone Priority = iota
	SameRegion
	Elsewhere
	Priorities
)

var priorityNames = [Priorities]string{"own zone", "own region", "elsewhere"}

func (p Priority) String() string {
	if p < 0 || p >= Priorities {
		return "unknown"
	}
	return priorityNames[p]
}

// Server is one menu server as the list and this member's module hold it.
type Server struct {
	ID           uint32
	Zone, Region string
	Available    bool // it takes set-ups: ready on the list, below level 2
}

// Vote is what one member holds of a zone.
type Vote struct {
	Member string
	Zone   string
	Health float64 // part of the zone's servers that can take set-ups, as it sees them
	Failed bool    // with its hysteresis
}

// State is what is held of a zone in common.
type State uint8

// The states.
const (
	Healthy   State = iota
	Failed          // no traffic goes there
	Returning       // restored: traffic comes back by stages
)

var stateNames = [...]string{"healthy", "failed", "returning"}

func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Decider tells who decided a zone's state.
type Decider uint8

// Who decides.
const (
	DecidedByVotes Decider = iota // the members' votes
	DecidedLocally                // this member alone: it is cut off from the fleet, or from the zone alone
)

func (b Decider) String() string { return [...]string{"common", "own"}[min(int(b), 1)] }

// Zone is a zone as it is held now.
type Zone struct {
	Name, Region              string
	Priority                  Priority
	Servers                   int
	Health                    float64 // median of the members' votes, or the own one
	State                     State
	DecidedBy                 Decider
	Since                     control.Micros // of the state
	VotesFailed, VotesHealthy int            // members that vote it failed, and not
	MaxShare                  float64        // most of this member's traffic that it may get: less than 1 while it returns
}

// Input is what is known at one moment.
type Input struct {
	Servers []Server
	Votes   []Vote // of the other members that are up; each told with its last summary
	Peers   int    // members that should be there beside this one: with none of them up, it is cut off
	PeersUp int    // of them, those that are up
}

// Output is what follows.
type Output struct {
	Votes   []Vote              // this member's own, to be told to the others; Member is not set
	Zones   []Zone              // by name
	Loads   [Priorities]float64 // parts of the traffic, 1 in all; meaningless in panic
	Panic   bool                // distance counts no more: any server that is open
	Changes []Zone              // whose state or decider has changed by this step
}

// Balancer is the decision of one member. It is not safe for use by several goroutines.
type Balancer struct {
	settings Settings
	zones    map[string]*zoneState
}

type zoneState struct {
	Zone
	localHealth        float64        // health as this member sees it
	votesFailed        bool           // this member's: failed
	pastThresholdSince control.Micros // the own health is beyond the other threshold since then; 0: it is not
	disagreesSince     control.Micros // the own vote is failed and the common state is not, since then; 0: no
	listed             bool
}

// New makes a balancer.
func New(s Settings) *Balancer {
	return &Balancer{settings: s.withDefaults(), zones: map[string]*zoneState{}}
}

// Step takes what is known at a time. Times never go back.
func (b *Balancer) Step(now control.Micros, in Input) Output {
	b.updateLocalVotes(now, in.Servers)
	var out Output
	isolated := in.Peers > 0 && in.PeersUp == 0
	for _, name := range b.sortedNames() {
		z := b.zones[name]
		previous := z.Zone
		b.decide(now, z, in.Votes, isolated)
		z.MaxShare = b.maxShare(now, z)
		if z.State != previous.State || z.DecidedBy != previous.DecidedBy {
			if z.State != previous.State {
				z.Since = now
			}
			out.Changes = append(out.Changes, z.Zone)
		}
		out.Zones = append(out.Zones, z.Zone)
		out.Votes = append(out.Votes, Vote{Zone: name, Health: z.localHealth, Failed: z.votesFailed})
	}
	out.Loads, out.Panic = b.loads(out.Zones)
	return out
}

func (b *Balancer) sortedNames() []string {
	names := make([]string, 0, len(b.zones))
	for name := range b.zones {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (b *Balancer) priority(zone, region string) Priority {
	switch {
	case zone == b.settings.Zone:
		return SameZone
	case region != "" && region == b.settings.Region:
		return SameRegion
	}
	return Elsewhere
}

// updateLocalVotes takes this member's view of each zone, and its vote with hysteresis.
func (b *Balancer) updateLocalVotes(now control.Micros, servers []Server) {
	for _, z := range b.zones {
		z.listed, z.Servers, z.localHealth = false, 0, 0
	}
	for _, s := range servers {
		z := b.zones[s.Zone]
		if z == nil {
			z = &zoneState{Zone: Zone{Name: s.Zone, Since: now}}
			b.zones[s.Zone] = z
		}
		if !z.listed {
			z.listed, z.Region, z.Priority = true, s.Region, b.priority(s.Zone, s.Region)
		}
		z.Servers++
		if s.Available {
			z.localHealth++
		}
	}
	for name, z := range b.zones {
		if !z.listed { // the list names no server there any more
			delete(b.zones, name)
			continue
		}
		z.localHealth /= float64(z.Servers)
		pastThreshold, delay := z.localHealth < b.settings.FailBelow, b.settings.FailAfter
		if z.votesFailed {
			pastThreshold, delay = z.localHealth >= b.settings.RestoreAbove, b.settings.RestoreAfter
		}
		switch {
		case !pastThreshold:
			z.pastThresholdSince = 0
		case z.pastThresholdSince == 0:
			z.pastThresholdSince = max(now, 1)
		}
		if pastThreshold && now-z.pastThresholdSince >= delay {
			z.votesFailed, z.pastThresholdSince = !z.votesFailed, 0
		}
	}
}

// decide counts the votes. A zone is failed once more than half of the members that say anything of it vote so, this one
// included, and restored once less than half do. With just half, which is a split view, it stays what it is. A member that
// is cut off from the fleet goes by its own vote, and so does one that alone can't use a zone for some time: it may be its
// own links that are cut, and it must not refuse what others could carry.
func (b *Balancer) decide(now control.Micros, z *zoneState, votes []Vote, isolated bool) {
	z.VotesFailed, z.VotesHealthy = 0, 0
	health := []float64{z.localHealth}
	count := func(failed bool) {
		if failed {
			z.VotesFailed++
		} else {
			z.VotesHealthy++
		}
	}
	count(z.votesFailed)
	for _, v := range votes {
		if v.Zone == z.Name {
			count(v.Failed)
			health = append(health, v.Health)
		}
	}
	failed := z.State == Failed && z.DecidedBy == DecidedByVotes
	switch {
	case z.VotesFailed > z.VotesHealthy:
		failed = true
	case z.VotesFailed < z.VotesHealthy:
		failed = false
	case z.DecidedBy == DecidedLocally: // a split view after a time of its own: its own vote breaks it
		failed = z.votesFailed
	}
	decider := DecidedByVotes
	switch {
	case isolated:
		failed, decider = z.votesFailed, DecidedLocally
		z.disagreesSince = 0
	case !z.votesFailed || failed:
		z.disagreesSince = 0
	case z.disagreesSince == 0:
		z.disagreesSince = max(now, 1)
	}
	if z.disagreesSince > 0 && now-z.disagreesSince >= b.settings.LocalOverrideAfter {
		failed, decider = true, DecidedLocally
	}
	z.DecidedBy = decider
	switch {
	case failed:
		z.State = Failed
	case z.State == Failed:
		z.State, z.Since = Returning, now
	case z.State == Returning && now-z.Since >= b.settings.WarmWithin:
		z.State = Healthy
	}
	z.Health = z.localHealth
	if decider == DecidedByVotes {
		slices.Sort(health)
		z.Health = health[(len(health)-1)/2]
	}
}

// maxShare is the most of a member's traffic that a zone may get: none while it is failed; while it returns, what its servers
// can do by now if they came back cold (the settings' start-capacity, rising evenly until they are warm).
func (b *Balancer) maxShare(now control.Micros, z *zoneState) float64 {
	switch z.State {
	case Failed:
		return 0
	case Returning:
		if b.settings.WarmWithin <= 0 {
			return 1
		}
		age := min(float64(now-z.Since)/float64(b.settings.WarmWithin), 1)
		return b.settings.StartCapacity + (1-b.settings.StartCapacity)*age
	}
	return 1
}

// loads shares the traffic out over the distances, nearest first (Envoy, priority levels): a level gets what its health
// times the overprovisioning factor allows, the next one what is left. What a returning zone adds to its level is held to
// its share. Where all levels together can't take all, those without a returning zone get the rest (Envoy normalizes over
// all); with none of those, the parts stay under 1, and what is over them is refused.
func (b *Balancer) loads(zones []Zone) (loads [Priorities]float64, panicMode bool) {
	var levelServers, health [Priorities]float64
	var hasReturning [Priorities]bool
	availableServers, servers := 0.0, 0.0
	for _, z := range zones {
		n := float64(z.Servers)
		levelServers[z.Priority] += n
		servers += n
		switch z.State {
		case Healthy:
			health[z.Priority] += b.settings.Overprovision * z.Health * n
			availableServers += z.Health * n
		case Returning:
			health[z.Priority] += min(b.settings.Overprovision*z.Health, z.MaxShare) * n
			hasReturning[z.Priority] = true
			availableServers += z.Health * n
		}
	}
	if servers == 0 || availableServers/servers < b.settings.Panic {
		return loads, true
	}
	remaining, steadyHealth := 1.0, 0.0
	for p := range loads {
		if levelServers[p] > 0 {
			health[p] = min(health[p]/levelServers[p], 1)
		}
		loads[p] = min(remaining, health[p])
		remaining -= loads[p]
		if !hasReturning[p] {
			steadyHealth += health[p]
		}
	}
	if remaining > 0 && steadyHealth > 0 {
		for p := range loads {
			if !hasReturning[p] {
				loads[p] += remaining * health[p] / steadyHealth
			}
		}
	}
	return loads, false
}
