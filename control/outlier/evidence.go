package outlier

import (
	"fmt"
	"math"
	"slices"

	"beammux/control"
)

// memberEvidence is what one member has observed of one server, of its present process alone.
type memberEvidence struct {
	member                   string
	successes, failures      float64
	succeeded, failed        bool
	lastSuccess, lastFailure control.Micros // where it succeeded, and where it failed
	failureStreak            int
	voteUntil                control.Micros // end of its vote for ejection; 0: it does not vote
}

// observed is an observation of a member as it counts now: what it saw before the start of the server's process does not.
func observed(now control.Micros, e *Evidence, o *Observation, startedAt control.Micros) memberEvidence {
	m := memberEvidence{member: e.Member}
	if o.SuccessAge >= 0 && now-e.Age-o.SuccessAge >= startedAt {
		m.succeeded, m.lastSuccess = true, now-e.Age-o.SuccessAge
		m.successes = max(o.Successes, leastSuccess)
	}
	if o.FailureAge >= 0 && now-e.Age-o.FailureAge >= startedAt {
		m.failed, m.lastFailure = true, now-e.Age-o.FailureAge
		m.failures, m.failureStreak = max(0, o.Failures), max(1, o.FailureStreak)
	}
	if left := min(o.VoteRemaining, MaxEjectionTime) - e.Age; left > 0 {
		m.voteUntil = now + left
	}
	return m
}

// enough tells whether there is enough of it to count the member among the observers of the server.
func (m *memberEvidence) enough() bool { return m.successes+m.failures >= minMemberFailures }

// witness tells whether the member is a witness against the server.
func (m *memberEvidence) witness() bool {
	return m.enough() && m.failures >= minMemberFailures && m.failures >= minMemberFailureRate*(m.successes+m.failures)
}

// fleetEvidence is the evidence of all members on one server, without that of isolated members.
type fleetEvidence struct {
	successes, failures      float64
	members                  []memberEvidence
	observers                int      // members with enough evidence
	witnesses                []string // those of them that see it fail
	lastSuccess, lastFailure control.Micros
	succeeded, failed        bool
	congested                bool // this member's own control module holds it at a congestion level
}

func (e *fleetEvidence) add(m memberEvidence) {
	e.members = append(e.members, m)
	e.successes += m.successes
	e.failures += m.failures
	if m.enough() {
		e.observers++
	}
	if m.witness() {
		e.witnesses = append(e.witnesses, m.member)
	}
	if m.succeeded && (!e.succeeded || m.lastSuccess > e.lastSuccess) {
		e.succeeded, e.lastSuccess = true, m.lastSuccess
	}
	if m.failed && (!e.failed || m.lastFailure > e.lastFailure) {
		e.failed, e.lastFailure = true, m.lastFailure
	}
}

// vote sets the end of a member's vote for ejection.
func (e *fleetEvidence) vote(member string, until control.Micros) {
	for i := range e.members {
		if e.members[i].member == member {
			e.members[i].voteUntil = until
			return
		}
	}
	e.members = append(e.members, memberEvidence{member: member, voteUntil: until})
}

func (e *fleetEvidence) failureRate() float64 { return failureRate(e.successes, e.failures) }

func failureRate(successes, failures float64) float64 {
	if successes+failures <= 0 {
		return 0
	}
	return failures / (successes + failures)
}

// combine adds up the evidence of all members but those excluded, by server.
func combine(now control.Micros, all []Evidence, list []Server, excluded []string) map[uint32]*fleetEvidence {
	combined := map[uint32]*fleetEvidence{}
	startedAt, congested := map[uint32]control.Micros{}, map[uint32]bool{}
	for _, s := range list {
		startedAt[s.ID], congested[s.ID] = s.Since, s.Level > 0
	}
	for i := range all {
		e := &all[i]
		if slices.Contains(excluded, e.Member) {
			continue
		}
		for k := range e.Servers {
			o := &e.Servers[k]
			total := combined[o.Server]
			if total == nil {
				total = &fleetEvidence{members: make([]memberEvidence, 0, len(all)), congested: congested[o.Server]}
				combined[o.Server] = total
			}
			total.add(observed(now, e, o, startedAt[o.Server]))
		}
	}
	return combined
}

// isolatedMembers finds members for which most servers fail that do not fail the others. The evidence of the others on a server
// is that of all members without the one's own, so the members are gone through once, however many they are.
func isolatedMembers(all []Evidence, everyone map[uint32]*fleetEvidence) (isolated []string) {
	if len(all) < 3 { // of two, nobody can tell which
		return nil
	}
	own := sumByMember(everyone)
	for _, e := range all {
		observed, failing := 0, 0
		for _, s := range e.Servers {
			total, own := everyone[s.Server], own[memberServer{e.Member, s.Server}]
			successes, failures := total.successes-own.successes, total.failures-own.failures
			if s.Successes+s.Failures < minMemberFailures || successes+failures < 1 {
				continue
			}
			observed++
			if s.Failures >= minMemberFailureRate*(s.Successes+s.Failures) && failureRate(successes, failures) < isolatedPeerFailureRate {
				failing++
			}
		}
		if observed >= isolatedMinServers && float64(failing) > isolatedFailingShare*float64(observed) {
			isolated = append(isolated, e.Member)
		}
	}
	return isolated
}

type memberServer struct {
	member string
	server uint32
}

type outcomes struct{ successes, failures float64 }

// sumByMember adds up what each member has observed of each server; a member may name one more than once.
func sumByMember(everyone map[uint32]*fleetEvidence) map[memberServer]outcomes {
	sums := map[memberServer]outcomes{}
	for id, total := range everyone {
		for i := range total.members {
			m := &total.members[i]
			sum := sums[memberServer{m.member, id}]
			sums[memberServer{m.member, id}] = outcomes{sum.successes + m.successes, sum.failures + m.failures}
		}
	}
	return sums
}

// round is the evidence of one update.
type round struct {
	now      control.Micros
	evidence map[uint32]*fleetEvidence
	peers    int // servers with evidence
	healthy  int // those of them that answer and have no recent attempt that failed or is overdue
}

func newRound(now control.Micros, evidence map[uint32]*fleetEvidence) *round {
	r := &round{now: now, evidence: evidence}
	for _, e := range evidence {
		if e.isPeer() {
			r.peers++
		}
		if e.isHealthy(now) {
			r.healthy++
		}
	}
	return r
}

// isPeer tells whether there is enough evidence on a server to compare others with it.
func (e *fleetEvidence) isPeer() bool { return e.successes+e.failures >= 1 }

// isHealthy tells whether a peer answers and has no recent attempt that failed or is overdue.
func (e *fleetEvidence) isHealthy(now control.Micros) bool {
	return e.isPeer() && e.succeeded && now-e.lastSuccess < recent && !(e.failed && now-e.lastFailure < recent) && !e.congested
}

// healthyPeers counts the other servers with evidence, and those of them that are healthy. Where too few are healthy (ok is
// false) no server is an outlier: that is overload, or a shared fault.
func (r *round) healthyPeers(id uint32) (healthy, peers int, ok bool) {
	healthy, peers = r.healthy, r.peers
	if own := r.evidence[id]; own != nil {
		if own.isPeer() {
			peers--
		}
		if own.isHealthy(r.now) {
			healthy--
		}
	}
	return healthy, peers, peers > 0 && float64(healthy) >= minHealthyPeers*float64(peers)
}

// isHanging tells whether a server has ceased to answer all members while its peers answer, and why: answers due at its own
// rate did not come, and attempts sent since its last answer have none. By chance so many are missing once in 1,000 gaps.
func (r *round) isHanging(id uint32) (bool, string) {
	own := r.evidence[id]
	if !own.succeeded {
		return false, ""
	}
	// The rate is that at its last answer: the decay since then is undone.
	gap := float64(r.now-own.lastSuccess) / float64(DecayTime)
	due := own.successes * math.Exp(min(gap, 3)) * gap
	members, streak := 0, 0
	for i := range own.members {
		if m := &own.members[i]; m.failed && m.lastFailure > own.lastSuccess {
			members++
			streak += m.failureStreak
		}
	}
	if members < minWitnesses || streak < minUnanswered || due < minMissingAnswers {
		return false, ""
	}
	healthy, peers, ok := r.healthyPeers(id)
	if !ok {
		return false, ""
	}
	return true, fmt.Sprintf("%.0f answers are missing, %d attempts of %d members have had none, and %d of its %d peers answer as they do",
		due, streak, members, healthy, peers)
}

// isOutlier tells whether the evidence makes a server an outlier, and why.
func (r *round) isOutlier(id uint32) (bool, string) {
	if hanging, reason := r.isHanging(id); hanging {
		return true, reason
	}
	own := r.evidence[id]
	if _, _, ok := r.healthyPeers(id); !ok {
		return false, ""
	}
	if len(own.witnesses) < minWitnesses || float64(len(own.witnesses)) < minWitnessShare*float64(own.observers) || own.failures < minFleetFailures || own.failureRate() < minFleetFailureRate {
		return false, ""
	}
	var peers []float64
	for other, e := range r.evidence {
		if other != id && e.isPeer() {
			peers = append(peers, e.failureRate())
		}
	}
	if len(peers) == 0 {
		return false, ""
	}
	slices.Sort(peers)
	median := peers[len(peers)/2]
	if median > maxUnquestionedMedian && own.failureRate() < minMedianMultiple*median {
		return false, ""
	}
	return true, fmt.Sprintf("%.0f%% of the attempts of %d of %d members fail there, %.0f%% at the median of its %d peers",
		100*own.failureRate(), len(own.witnesses), own.observers, 100*median, len(peers))
}

// outcomesSince counts the members with a failure after a time, and those with a success.
func (e *fleetEvidence) outcomesSince(since control.Micros) (failures, successes int) {
	for i := range e.members {
		m := &e.members[i]
		if m.failed && m.lastFailure > since {
			failures++
		}
		if m.succeeded && m.lastSuccess > since {
			successes++
		}
	}
	return failures, successes
}
