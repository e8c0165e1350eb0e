// Package outlier detects menu servers that fail far more than their peers, and ejects them: the fleet keeps set-ups away
// from a server until it has proved itself in a trial. The package does no I/O and reads no clock.
//
// Each member of the fleet publishes its evidence: the successes and failures of its attempts by server, decayed over
// DecayTime. Each member works out the ejections from all evidence that it receives. A server is an outlier when enough
// members, each with enough evidence of its own, see it fail, and the fleet sees it fail far more often than its peers. The
// measure is relative, so that overload of all servers ejects none. An ejection lasts BaseEjectionTime from the newest
// failure, and only fresh evidence extends it. A trial follows: few members send one set-up each, and with their success
// every member may send more in steps. docs/design-verdicts.md compares the options and argues the bounds.
//
// An ejection only keeps set-ups away. It never lifts a limit of the control module, a cold server's budget, or a drain.
package outlier

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"beammux/control"
)

// Thresholds of the detection.
const (
	DecayTime        = control.Micros(6000000)  // time constant of the exponential decay of evidence
	BaseEjectionTime = control.Micros(4000000)  // from the newest failure; doubled by each failed trial
	MaxEjectionTime  = control.Micros(32000000) // limit of that doubling
	trialStepTime    = control.Micros(1000000)  // least time in one step of a trial

	// What makes a member a witness against a server.
	minMemberFailures    = 0.6 // decayed failures: one within the last three seconds
	minMemberFailureRate = 0.5 // part of its attempts there that failed

	// What makes a server an outlier by its failure rate.
	minWitnesses          = 2    // members
	minWitnessShare       = 0.6  // part of the members with evidence of the server
	minFleetFailureRate   = 0.5  // part of the fleet's attempts there that failed
	minMedianMultiple     = 3    // failure rate there, over the median rate of its peers
	maxUnquestionedMedian = 0.15 // median rate of the peers under which that multiple is not required
	minFleetFailures      = 2.0  // decayed failures of the fleet there

	// What makes a server an outlier by its silence.
	minMissingAnswers = 7.0 // answers due at its own rate that did not come
	minUnanswered     = 3   // attempts since its last answer, of all witnesses together

	minHealthyPeers = 0.6                     // part of its peers that must answer meanwhile, with no attempt overdue
	recent          = control.Micros(2000000) // age of evidence that says whether a peer is healthy
	maxVoteAge      = control.Micros(3000000) // of the oldest vote that can still arrive

	// A member for which most servers fail that do not fail the others is isolated: its links are bad, or it lies.
	isolatedFailingShare    = 0.5 // part of its servers that fail it
	isolatedPeerFailureRate = 0.2 // failure rate that the other members see at these, at most
	isolatedMinServers      = 3   // servers with evidence of the member

	leastSuccess = 0.01 // of a member that has had an answer, however long ago

	firstProbers   = 1                       // members that send a set-up at the start of a trial
	addProberEvery = control.Micros(2000000) // one member more for each such time without an outcome
)

// Observation is what one member has observed of one server. Counts decay over DecayTime; ages are -1 where there was none.
type Observation struct {
	Server        uint32         `cbor:"1,keyasint"`
	Successes     float64        `cbor:"2,keyasint,omitempty"` // attempts answered
	Failures      float64        `cbor:"3,keyasint,omitempty"` // attempts that failed, were cut or timed out
	SuccessAge    control.Micros `cbor:"4,keyasint"`           // since the newest answer
	FailureAge    control.Micros `cbor:"5,keyasint"`           // since the newest attempt was sent that failed or is overdue
	FailureStreak int            `cbor:"6,keyasint,omitempty"` // failures since the newest answer
	VoteRemaining control.Micros `cbor:"7,keyasint,omitempty"` // how long the member still votes for ejection, 0: it does not
}

// Evidence is what one member that is up published, at least Age ago.
type Evidence struct {
	Member  string
	Age     control.Micros
	Servers []Observation
}

// Phase is a server's place in the course of an ejection.
type Phase uint8

// The phases.
const (
	Healthy Phase = iota
	Ejected       // no set-ups
	Trial         // the ejection has ended: few set-ups, more with each success
)

var phaseNames = [...]string{"clear", "out", "trial"}

func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// MarshalText implements encoding.TextMarshaler.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// trialLimits are the set-ups that a member may have in flight at a server on trial, by step.
var trialLimits = [...]int{1, 1, 2, 4}

// Unlimited is the MaxInFlight of a healthy server.
const Unlimited = -1

// server is the state of one server at this member.
type server struct {
	phase        Phase
	since        control.Micros // start of the phase, or of the step of a trial
	until        control.Micros // end of the phase Ejected
	voteUntil    control.Micros // end of this member's own vote for ejection
	ejectionTime control.Micros
	step         int
	failureRate  float64 // of the fleet's attempts, at the last update
	witnesses    []string
	reason       string
	startedAt    control.Micros // start of the process that the evidence is of
}

// Server is one server on the list.
type Server struct {
	ID    uint32
	Since control.Micros // its last start as the list says
	Level int            // of congestion, as this member's control module estimates it
}

// Ejection is one that is in force, as operators read it. The JSON names are part of GET /api/fleet.
type Ejection struct {
	Server      uint32         `json:"server"`
	Phase       Phase          `json:"phase"`
	Remaining   control.Micros `json:"left_us,omitempty"` // end of the phase Ejected
	Step        int            `json:"step,omitempty"`
	FailureRate float64        `json:"failed"` // of the fleet's attempts
	Witnesses   []string       `json:"witnesses"`
	Reason      string         `json:"reason"`
}

// Change is an ejection that began, changed its phase or ended.
type Change struct {
	Ejection
	MaxInFlight int // set-ups that this member may have in flight there: 0 none, Unlimited any
}

// Detector works out the ejections for one member. It is not safe for concurrent use.
type Detector struct {
	self       string
	maxEjected float64 // part of the servers that may be ejected at once
	servers    map[uint32]*server
	isolated   []string
	now        control.Micros
}

// New makes a detector for the member named self. At most the part maxEjected of the servers is ejected at once, but always
// one may be.
func New(self string, maxEjected float64) *Detector {
	return &Detector{self: self, maxEjected: maxEjected, servers: map[uint32]*server{}}
}

// Update takes the evidence that counts now, the servers on the list and the members that are up, and returns what changed.
func (d *Detector) Update(now control.Micros, all []Evidence, list []Server, up []string) (changes []Change) {
	d.now = now
	evidence := combine(now, all, list, nil)
	if d.isolated = isolatedMembers(all, evidence); len(d.isolated) > 0 {
		evidence = combine(now, all, list, d.isolated)
	}
	limitBefore := map[uint32]int{}
	ids := make([]uint32, 0, len(d.servers))
	for id, s := range d.servers {
		at := slices.IndexFunc(list, func(l Server) bool { return l.ID == id })
		if at < 0 || list[at].Since != s.startedAt {
			delete(d.servers, id)
			if s.phase != Healthy {
				changes = append(changes, Change{Ejection{Server: id, Reason: "it has gone, or started anew"}, Unlimited})
			}
		}
	}
	for _, l := range list {
		id := l.ID
		own := evidence[id]
		s := d.servers[id]
		if s == nil && own == nil {
			continue
		}
		if s == nil {
			s = &server{ejectionTime: BaseEjectionTime, startedAt: l.Since}
			d.servers[id] = s
		}
		if own == nil {
			own = &fleetEvidence{}
			evidence[id] = own
		}
		ids = append(ids, id)
		limitBefore[id] = d.inFlightLimit(id, s, up)
		s.failureRate, s.witnesses = own.failureRate(), own.witnesses
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

// advance moves a server through the phases by the evidence.
func (d *Detector) advance(r *round, id uint32) {
	s, own, now := d.servers[id], r.evidence[id], r.now
	outlier, reason := r.isOutlier(id)
	switch s.phase {
	case Healthy:
		if s.since > 0 && now-s.since > 2*MaxEjectionTime {
			s.ejectionTime = BaseEjectionTime // long healthy: earlier failed trials no longer count
		}
		if outlier && now-own.lastFailure < s.ejectionTime {
			s.voteUntil, s.reason = max(s.voteUntil, own.lastFailure+s.ejectionTime), reason
		}
		if s.voteUntil > now {
			own.vote(d.self, s.voteUntil)
		}
		// In force by the votes of minWitnesses members at whoever receives them, also where the own evidence alone would not do.
		if votes, until := s.votes(now, now, own); votes >= minWitnesses {
			if s.voteUntil <= now {
				s.reason = fmt.Sprintf("by the votes of %d members", votes)
			}
			s.phase, s.since, s.until = Ejected, now, until
		}
	case Ejected:
		if own.failed {
			s.until = max(s.until, min(own.lastFailure, now)+s.ejectionTime)
		}
		if now >= s.until {
			s.phase, s.since, s.step, s.voteUntil = Trial, now, 0, 0
			s.reason = "its verdict has ended without fresh evidence: it is tried"
		}
	case Trial:
		failures, successes := own.outcomesSince(s.since)
		votes, until := s.votes(now, now+trialStepTime, own) // the end of a vote on the ejection before does not count
		switch {
		case failures >= minWitnesses || failures > 0 && successes == 0 && s.step == 0:
			s.ejectionTime = min(2*s.ejectionTime, MaxEjectionTime)
			s.phase, s.since, s.until = Ejected, now, own.lastFailure+s.ejectionTime
			s.voteUntil = s.until // members in a later step of their trial may not see the failures
			s.reason = fmt.Sprintf("tried and failed %d members", failures)
		case votes >= minWitnesses: // others eject it anew and send nothing there: no further failures can end this trial
			s.phase, s.since, s.until = Ejected, now, until
			s.reason = fmt.Sprintf("on trial, and by the votes of %d members", votes)
		case failures == 0 && successes > 0 && now-s.since >= trialStepTime:
			s.since = now
			if s.step++; s.step == len(trialLimits) {
				s.phase, s.step, s.reason = Healthy, 0, "tried, and it answers"
			}
		}
	}
}

// votes counts the members that vote for ejection until after a time, and gives the end of the last vote. Votes on the process
// before the server's last start do not count.
func (s *server) votes(now, after control.Micros, own *fleetEvidence) (count int, until control.Micros) {
	if s.startedAt > 0 && now-s.startedAt <= maxVoteAge {
		return 0, 0
	}
	for i := range own.members {
		if at := own.members[i].voteUntil; at > after {
			count++
			until = max(until, at)
		}
	}
	return count, until
}

// limitEjected readmits the servers with the lowest failure rates where too many are ejected.
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
		s.phase, s.reason = Healthy, fmt.Sprintf("%d are out, and %d of %d may be: the least bad come back", len(ejected), maxEjected, listed)
	}
}

// inFlightLimit is how many set-ups this member may have in flight at a server.
func (d *Detector) inFlightLimit(id uint32, s *server, up []string) int {
	switch s.phase {
	case Ejected:
		return 0
	case Trial:
		if s.step == 0 && !slices.Contains(probersOf(id, up, firstProbers+int((d.now-s.since)/addProberEvery)), d.self) {
			return 0
		}
		return trialLimits[s.step]
	}
	return Unlimited
}

// probersOf names the members that send the first set-ups of a trial: by rendezvous hashing, so that members which agree on
// who is up choose the same without a message.
func probersOf(id uint32, up []string, most int) (names []string) {
	rest := slices.Clone(up)
	for range min(most, len(up)) {
		// The library's Remove fails on the last node (index out of range): a new one for the rest is as good.
		name := rendezvous.New(rest, xxhash.Sum64String).Lookup(fmt.Sprint("server ", id))
		names = append(names, name)
		rest = slices.DeleteFunc(rest, func(n string) bool { return n == name })
	}
	return names
}

func (d *Detector) ejection(now control.Micros, id uint32) Ejection {
	s := d.servers[id]
	v := Ejection{Server: id, Phase: s.phase, Step: s.step, FailureRate: s.failureRate, Witnesses: slices.Clone(s.witnesses), Reason: s.reason}
	if s.phase == Ejected {
		v.Remaining = max(0, s.until-now)
	}
	return v
}

// Ejections returns the servers that are ejected or on trial, by number.
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

// Votes returns the servers that this member votes to eject, each with the time for which the vote still holds.
func (d *Detector) Votes(now control.Micros) map[uint32]control.Micros {
	all := map[uint32]control.Micros{}
	for id, s := range d.servers {
		if s.voteUntil > now {
			all[id] = s.voteUntil - now
		}
	}
	return all
}

// Isolated returns the members whose evidence does not count now: most servers fail them that do not fail the others.
func (d *Detector) Isolated() []string { return d.isolated }
