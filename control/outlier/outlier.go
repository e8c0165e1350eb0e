// Package outlier detects menu servers that fail far more often than their peers and ejects them: the members of the fleet
// send no set-ups to an ejected server until it has passed a trial. The package does no I/O and reads no clock.
//
// Each member of the fleet publishes its evidence: the successes and failures of its attempts by server, decayed over
// DecayTime. Each member computes the ejections from all evidence that it receives. A server is an outlier when enough
// members, each with enough evidence of its own, see it fail, and the fleet sees it fail far more often than its peers. The
// measure is relative, so that overload of all servers ejects none. An ejection lasts BaseEjectionTime from the newest
// failure, and only fresh evidence extends it. A trial follows: a few members send one set-up each, and as these succeed
// every member may send more, in steps. docs/design-verdicts.md compares the options and derives the bounds.
//
// An ejection only withholds set-ups. It never lifts a limit of the control module, a cold server's budget, or a drain.
package outlier

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"beammux/control"
)

// Thresholds of the detection. Rates and shares are fractions of 1.
const (
	DecayTime        = control.Micros(6000000)  // time constant of the exponential decay of evidence
	BaseEjectionTime = control.Micros(4000000)  // duration from the newest failure; doubled by each failed trial
	MaxEjectionTime  = control.Micros(32000000) // upper bound of the doubled duration
	trialStepTime    = control.Micros(1000000)  // least duration of one step of a trial

	// Conditions for a member to be a witness against a server.
	minMemberFailures    = 0.6 // decayed failures: one within the last three seconds
	minMemberFailureRate = 0.5 // failure rate of the member's attempts at the server

	// Conditions for a server to be an outlier by its failure rate.
	minWitnesses            = 2    // members
	minWitnessShare         = 0.6  // share of the members with evidence on the server
	minFleetFailureRate     = 0.5  // failure rate of the fleet's attempts at the server
	minMedianMultiple       = 3    // failure rate of the server, as a multiple of the median of its peers
	medianMultipleThreshold = 0.15 // up to this median failure rate of the peers, the multiple is not required
	minFleetFailures        = 2.0  // decayed failures of the fleet at the server

	// Conditions for a server to be an outlier because it hangs.
	minMissingAnswers = 7.0 // answers expected at the server's own rate that did not arrive
	minUnanswered     = 3   // attempts since the server's last answer, of all witnesses together

	minHealthyPeers = 0.6                     // share of the server's peers that must answer meanwhile, with no attempt overdue
	maxRecentAge    = control.Micros(2000000) // evidence up to this age decides whether a peer is healthy
	maxVoteAge      = control.Micros(3000000) // age of the oldest vote that can still arrive

	// A member is isolated when most of its servers fail for it but not for the other members: its links are bad, or it
	// reports false evidence.
	isolatedFailingShare    = 0.5 // share of the member's servers that fail for it
	isolatedPeerFailureRate = 0.2 // greatest failure rate that the other members see at these servers
	isolatedMinServers      = 3   // servers on which the member has evidence

	minSuccesses = 0.01 // least success count of a member that has ever received an answer

	firstProbers   = 1                       // members that send a set-up at the start of a trial
	addProberEvery = control.Micros(2000000) // one more member sends a set-up for each such interval without an outcome
)

// Observation is the evidence of one member on one server. Counts decay over DecayTime; an age is -1 if there was no such
// event.
type Observation struct {
	Server        uint32         `cbor:"1,keyasint"`
	Successes     float64        `cbor:"2,keyasint,omitempty"` // attempts that were answered
	Failures      float64        `cbor:"3,keyasint,omitempty"` // attempts that failed, were cut or timed out
	SuccessAge    control.Micros `cbor:"4,keyasint"`           // since the newest answer
	FailureAge    control.Micros `cbor:"5,keyasint"`           // since the newest failed or overdue attempt was sent
	FailureStreak int            `cbor:"6,keyasint,omitempty"` // failures since the newest answer
	VoteRemaining control.Micros `cbor:"7,keyasint,omitempty"` // remaining time of the member's vote for ejection; 0: no vote
}

// Evidence holds the observations of one member that is up, published at least Age ago.
type Evidence struct {
	Member  string
	Age     control.Micros
	Servers []Observation
}

// Phase is the state of a server in the ejection life cycle.
type Phase uint8

// Phases of a server.
const (
	Healthy Phase = iota
	Ejected       // receives no set-ups
	Trial         // the ejection has ended: receives few set-ups, and more with each success
)

var phaseNames = [...]string{"clear", "out", "trial"}

// String returns the phase's name in logs and in GET /api/fleet.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// MarshalText implements encoding.TextMarshaler.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// trialLimits holds, by step, how many set-ups a member may have in flight at a server on trial.
var trialLimits = [...]int{1, 1, 2, 4}

// Unlimited is the value of Change.MaxInFlight for a healthy server.
const Unlimited = -1

// server is the state of one server at this member.
type server struct {
	phase        Phase
	since        control.Micros // start of the phase, or of the current step of a trial
	until        control.Micros // end of the ejection, in phase Ejected
	voteUntil    control.Micros // end of this member's own vote for ejection
	ejectionTime control.Micros
	step         int
	failureRate  float64 // of the fleet's attempts, as of the last update
	witnesses    []string
	reason       string
	startedAt    control.Micros // start of the server process that the evidence is about
}

// Server is one entry of the server list.
type Server struct {
	ID    uint32
	Since control.Micros // last start of the server according to the list
	Level int            // congestion level, as estimated by this member's control module
}

// Ejection describes the ejection of one server to operators. The JSON names are part of GET /api/fleet.
type Ejection struct {
	Server      uint32         `json:"server"`
	Phase       Phase          `json:"phase"`
	Remaining   control.Micros `json:"left_us,omitempty"` // time until the end of the ejection, in phase Ejected
	Step        int            `json:"step,omitempty"`
	FailureRate float64        `json:"failed"` // of the fleet's attempts
	Witnesses   []string       `json:"witnesses"`
	Reason      string         `json:"reason"`
}

// Change reports an ejection that began, changed its phase or ended.
type Change struct {
	Ejection
	MaxInFlight int // set-ups that this member may have in flight at the server; 0: none, Unlimited: any number
}

// Detector computes the ejections for one member. It is not safe for concurrent use.
type Detector struct {
	self       string
	maxEjected float64 // share of the servers that may be ejected at the same time
	servers    map[uint32]*server
	isolated   []string
	now        control.Micros
}

// New returns a detector for the member named self. At most the share maxEjected of the servers is ejected at the same time,
// but one ejection is always allowed.
func New(self string, maxEjected float64) *Detector {
	return &Detector{self: self, maxEjected: maxEjected, servers: map[uint32]*server{}}
}

// Update applies the evidence that is valid now, the server list and the names of the members that are up, and returns the
// ejections that changed.
func (d *Detector) Update(now control.Micros, all []Evidence, list []Server, up []string) (changes []Change) {
	d.now = now
	evidence := combine(now, all, list, nil)
	if d.isolated = isolatedMembers(all, evidence); len(d.isolated) > 0 {
		evidence = combine(now, all, list, d.isolated)
	}
	limitBefore := map[uint32]int{}
	ids := make([]uint32, 0, len(d.servers))
	for id, s := range d.servers {
		index := slices.IndexFunc(list, func(listed Server) bool { return listed.ID == id })
		if index < 0 || list[index].Since != s.startedAt {
			delete(d.servers, id)
			if s.phase != Healthy {
				changes = append(changes, Change{Ejection{Server: id, Reason: "the server left the list or restarted"}, Unlimited})
			}
		}
	}
	for _, listed := range list {
		id := listed.ID
		total := evidence[id]
		s := d.servers[id]
		if s == nil && total == nil {
			continue
		}
		if s == nil {
			s = &server{ejectionTime: BaseEjectionTime, startedAt: listed.Since}
			d.servers[id] = s
		}
		if total == nil {
			total = &fleetEvidence{}
			evidence[id] = total
		}
		ids = append(ids, id)
		limitBefore[id] = d.inFlightLimit(id, s, up)
		s.failureRate, s.witnesses = total.failureRate(), total.witnesses
	}
	slices.Sort(ids)
	phaseBefore := map[uint32]Phase{}
	r := newRound(now, evidence)
	for _, id := range ids {
		phaseBefore[id] = d.servers[id].phase
		d.advance(r, id)
	}
	d.limitEjected(ids, len(list))
	for _, id := range ids {
		s := d.servers[id]
		if limit := d.inFlightLimit(id, s, up); limit != limitBefore[id] || s.phase != phaseBefore[id] {
			changes = append(changes, Change{d.ejection(now, id), limit})
		}
		if s.phase == Healthy && evidence[id].successes+evidence[id].failures < 0.01 {
			delete(d.servers, id)
		}
	}
	return changes
}

// advance applies the evidence to the phase of a server.
func (d *Detector) advance(r *round, id uint32) {
	s, total, now := d.servers[id], r.evidence[id], r.now
	outlier, reason := r.isOutlier(id)
	switch s.phase {
	case Healthy:
		if s.since > 0 && now-s.since > 2*MaxEjectionTime {
			s.ejectionTime = BaseEjectionTime // healthy for long: earlier failed trials no longer count
		}
		if outlier && now-total.lastFailure < s.ejectionTime {
			s.voteUntil, s.reason = max(s.voteUntil, total.lastFailure+s.ejectionTime), reason
		}
		if s.voteUntil > now {
			total.recordVote(d.self, s.voteUntil)
		}
		// The votes of minWitnesses members eject the server at every member that receives them, even if the evidence that the
		// member itself holds would not suffice.
		if votes, until := s.votes(now, now, total); votes >= minWitnesses {
			if s.voteUntil <= now {
				s.reason = fmt.Sprintf("%d members vote to eject it", votes)
			}
			s.phase, s.since, s.until = Ejected, now, until
		}
	case Ejected:
		if total.failed {
			s.until = max(s.until, min(total.lastFailure, now)+s.ejectionTime)
		}
		if now >= s.until {
			s.phase, s.since, s.step, s.voteUntil = Trial, now, 0, 0
			s.reason = "the ejection ended without fresh evidence: on trial"
		}
	case Trial:
		failures, successes := total.outcomesSince(s.since)
		votes, until := s.votes(now, now+trialStepTime, total) // votes about to end belong to the previous ejection and do not count
		switch {
		case failures >= minWitnesses || failures > 0 && successes == 0 && s.step == 0:
			s.ejectionTime = min(2*s.ejectionTime, MaxEjectionTime)
			s.phase, s.since, s.until = Ejected, now, total.lastFailure+s.ejectionTime
			s.voteUntil = s.until // members in a later step of their trial may not see the failures
			s.reason = fmt.Sprintf("the trial failed at %d members", failures)
		case votes >= minWitnesses: // the voters eject it again and send it nothing: no further failures can end this trial
			s.phase, s.since, s.until = Ejected, now, until
			s.reason = fmt.Sprintf("%d members vote to eject it during its trial", votes)
		case failures == 0 && successes > 0 && now-s.since >= trialStepTime:
			s.since = now
			if s.step++; s.step == len(trialLimits) {
				s.phase, s.step, s.reason = Healthy, 0, "tried, and it answers"
			}
		}
	}
}

// votes returns the number of members whose vote for ejection ends later than after, and the end of the last such vote.
// Votes about the server process before the last start do not count.
func (s *server) votes(now, after control.Micros, total *fleetEvidence) (count int, until control.Micros) {
	if s.startedAt > 0 && now-s.startedAt <= maxVoteAge {
		return 0, 0
	}
	for i := range total.members {
		if end := total.members[i].voteUntil; end > after {
			count++
			until = max(until, end)
		}
	}
	return count, until
}

// limitEjected readmits the servers with the lowest failure rates when too many servers are ejected.
func (d *Detector) limitEjected(ids []uint32, listed int) {
	var ejected []uint32
	for _, id := range ids {
		if d.servers[id].phase == Ejected {
			ejected = append(ejected, id)
		}
	}
	maxEjected := max(1, int(d.maxEjected*float64(listed)))
	if len(ejected) <= maxEjected {
		return
	}
	slices.SortFunc(ejected, func(x, y uint32) int {
		return cmp.Or(cmp.Compare(d.servers[y].failureRate, d.servers[x].failureRate), cmp.Compare(x, y))
	})
	for _, id := range ejected[maxEjected:] {
		s := d.servers[id]
		s.phase, s.reason = Healthy, fmt.Sprintf("%d servers ejected, at most %d of %d allowed: readmitted, its failure rate is lower", len(ejected), maxEjected, listed)
	}
}

// inFlightLimit returns how many set-ups this member may have in flight at a server.
func (d *Detector) inFlightLimit(id uint32, s *server, up []string) int {
	switch s.phase {
	case Ejected:
		return 0
	case Trial:
		if s.step == 0 && !slices.Contains(selectProbers(id, up, firstProbers+int((d.now-s.since)/addProberEvery)), d.self) {
			return 0
		}
		return trialLimits[s.step]
	}
	return Unlimited
}

// selectProbers returns the members that send the first set-ups of a trial. It uses rendezvous hashing, so that members with the
// same view of which members are up choose the same ones without exchanging messages.
func selectProbers(id uint32, up []string, count int) (names []string) {
	remaining := slices.Clone(up)
	for range min(count, len(up)) {
		// A new hash is built for the remaining names, since the library's Remove panics on the last node (index out of range).
		name := rendezvous.New(remaining, xxhash.Sum64String).Lookup(fmt.Sprint("server ", id))
		names = append(names, name)
		remaining = slices.DeleteFunc(remaining, func(n string) bool { return n == name })
	}
	return names
}

// ejection returns the current ejection state of a known server.
func (d *Detector) ejection(now control.Micros, id uint32) Ejection {
	s := d.servers[id]
	result := Ejection{Server: id, Phase: s.phase, Step: s.step, FailureRate: s.failureRate, Witnesses: slices.Clone(s.witnesses), Reason: s.reason}
	if s.phase == Ejected {
		result.Remaining = max(0, s.until-now)
	}
	return result
}

// Ejections returns the servers that are ejected or on trial, sorted by ID.
func (d *Detector) Ejections(now control.Micros) []Ejection {
	all := []Ejection{}
	for id, s := range d.servers {
		if s.phase != Healthy {
			all = append(all, d.ejection(now, id))
		}
	}
	slices.SortFunc(all, func(x, y Ejection) int { return cmp.Compare(x.Server, y.Server) })
	return all
}

// Votes returns the servers that this member votes to eject, each with the remaining time of the vote.
func (d *Detector) Votes(now control.Micros) map[uint32]control.Micros {
	all := map[uint32]control.Micros{}
	for id, s := range d.servers {
		if s.voteUntil > now {
			all[id] = s.voteUntil - now
		}
	}
	return all
}

// Isolated returns the members whose evidence is ignored because most of their servers fail for them but not for the others.
func (d *Detector) Isolated() []string { return d.isolated }
