// Package locality decides how much of a gatekeeper's traffic goes to the menu servers of each distance: its own zone,
// its own region, elsewhere. It does no I/O and reads no clock. The choice of a server within a distance stays with the
// module, and its rules on gated and cold servers apply whatever is decided here.
//
// The terms and the distribution are those of Envoy's locality-weighted load balancing with priority levels: health of a
// level, overprovisioning factor, panic threshold. Three things are added: a zone is declared failed and restored
// jointly, by votes that the members exchange; both directions have hysteresis; and traffic returns to a restored zone no
// faster than its servers warm up.
package locality

import (
	"cmp"
	"slices"

	"beammux/control"
)

// Settings configures a Balancer. Zero values are replaced by the defaults in parentheses.
type Settings struct {
	Zone, Region       string
	Overprovision      float64        // a level takes all traffic while its health times this factor is at least 1 (1.4)
	Panic              float64        // if all levels together have less health than this, distance is ignored (0.25)
	FailBelow          float64        // a member votes a zone failed if a lower part of its servers can take set-ups (0.4)
	RestoreAbove       float64        // and votes it restored from this part on (0.7)
	FailAfter          control.Micros // how long health must stay below FailBelow (500 ms)
	RestoreAfter       control.Micros // how long health must stay at RestoreAbove or more (2 s)
	LocalOverrideAfter control.Micros // a member that alone cannot use a zone follows its own view after this time (2 s)
	StartCapacity      float64        // capacity of a cold server, 0 to 1: the setting start-capacity
	WarmWithin         control.Micros // time until a cold server is warm: the setting warm-within
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

// Priority is the priority level of a distance; 0 is the nearest.
type Priority int

// The priority levels, and their number.
const (
	SameZone Priority = iota
	SameRegion
	Elsewhere
	Priorities
)

var priorityNames = [Priorities]string{"own zone", "own region", "elsewhere"}

// String returns the name of the priority level.
func (p Priority) String() string {
	if p < 0 || p >= Priorities {
		return "unknown"
	}
	return priorityNames[p]
}

// Server is one menu server, by the server list and the state in this member's module.
type Server struct {
	ID           uint32
	Zone, Region string
	Available    bool // it takes set-ups: ready on the list and below level 2
}

// Vote is one member's assessment of a zone.
type Vote struct {
	Member string
	Zone   string
	Health float64 // part of the zone's servers that can take set-ups, as seen by the member
	Failed bool    // the vote, after hysteresis
}

// State is the state of a zone.
type State uint8

// The states of a zone.
const (
	Healthy   State = iota
	Failed          // the zone gets no traffic
	Returning       // restored: traffic returns gradually
)

var stateNames = [...]string{"healthy", "failed", "returning"}

// String returns the name of the state.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Decider is the origin of the decision on a zone's state.
type Decider uint8

// The origins of a decision.
const (
	DecidedByVotes Decider = iota // the members' votes decided
	DecidedLocally                // this member decided alone: it is cut off from the fleet, or it alone cannot use the zone
)

// String returns the name of the origin.
func (b Decider) String() string { return [...]string{"common", "own"}[min(int(b), 1)] }

// Zone is the current assessment of a zone.
type Zone struct {
	Name, Region              string
	Priority                  Priority
	Servers                   int
	Health                    float64 // median of the health in the members' votes, or this member's own value
	State                     State
	Decider                   Decider
	Since                     control.Micros // when the state last changed
	VotesFailed, VotesHealthy int            // number of members that vote the zone failed, and not failed
	MaxShare                  float64        // largest part of this member's traffic that the zone may get: less than 1 while it returns
}

// Input is the input of one step.
type Input struct {
	Servers []Server
	Votes   []Vote // votes of the other members that are up, as last received
	Peers   int    // number of expected members besides this one; if none of them is up, this member is cut off
	PeersUp int    // number of these that are up
}

// Output is the result of one step.
type Output struct {
	Votes   []Vote              // this member's votes, to be sent to the others; Member is not set
	Zones   []Zone              // sorted by name
	Loads   [Priorities]float64 // parts of the traffic by priority level, at most 1 in total; not valid in panic mode
	Panic   bool                // panic mode: distance is ignored, any open server may be used
	Changes []Zone              // zones whose state or decider changed in this step
}

// Balancer makes the decisions of one member. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	zones    map[string]*zoneState
}

// zoneState is a zone with the state that only this member has of it.
type zoneState struct {
	Zone
	localHealth        float64        // health as seen by this member
	votesFailed        bool           // this member's vote is failed
	pastThresholdSince control.Micros // since when localHealth is past the threshold for changing the vote; 0: it is not
	disagreesSince     control.Micros // since when this member votes failed and the majority does not; 0: they agree
	listed             bool           // the server list names a server of the zone
}

// New returns a Balancer without zones.
func New(s Settings) *Balancer {
	return &Balancer{settings: s.withDefaults(), zones: map[string]*zoneState{}}
}

// Step processes the input at a time and returns the decisions. Times must not decrease.
func (b *Balancer) Step(now control.Micros, in Input) Output {
	b.updateLocalVotes(now, in.Servers)
	var out Output
	isolated := in.Peers > 0 && in.PeersUp == 0
	for _, name := range b.names() {
		z := b.zones[name]
		previous := z.Zone
		b.decide(now, z, in.Votes, isolated)
		z.MaxShare = b.maxShare(now, z)
		if z.State != previous.State || z.Decider != previous.Decider {
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

// names returns the names of all zones, sorted.
func (b *Balancer) names() []string {
	names := make([]string, 0, len(b.zones))
	for name := range b.zones {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// priority returns the priority level of a zone.
func (b *Balancer) priority(zone, region string) Priority {
	switch {
	case zone == b.settings.Zone:
		return SameZone
	case region != "" && region == b.settings.Region:
		return SameRegion
	}
	return Elsewhere
}

// updateLocalVotes updates this member's view of each zone, and its votes with hysteresis.
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
		if !z.listed { // the list no longer names a server of the zone
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

// decide counts the votes and sets the state of a zone. A zone fails once more than half of the members that have an
// opinion of it, including this one, vote it failed, and is restored once less than half do. With exactly half, a split
// vote, the state does not change. A member that is cut off from the fleet follows its own vote, and so does a member
// that alone cannot use a zone for LocalOverrideAfter: its own links may be cut, and it must not refuse calls that others
// could carry.
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
	failed := z.State == Failed && z.Decider == DecidedByVotes
	switch {
	case z.VotesFailed > z.VotesHealthy:
		failed = true
	case z.VotesFailed < z.VotesHealthy:
		failed = false
	case z.Decider == DecidedLocally: // a split vote after a local decision: this member's own vote breaks the tie
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
	z.Decider = decider
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

// maxShare returns the largest part of a member's traffic that a zone may get: none while it is failed; while it returns,
// the capacity that its servers have reached if they came back cold (from start-capacity, rising linearly until they are
// warm).
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

// loads distributes the traffic over the priority levels, nearest first (Envoy, priority levels): a level gets what its
// health times the overprovisioning factor allows, the next level gets the rest. What a returning zone adds to its level
// is limited to its share. If all levels together cannot take everything, the levels without a returning zone get the
// remainder (Envoy normalizes over all levels). If there are none of those, the parts add up to less than 1, and the
// excess is refused.
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
