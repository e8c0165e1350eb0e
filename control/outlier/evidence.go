package outlier

import (
	"fmt"
	"math"
	"slices"

	"beammux/control"
)

// memberEvidence is the evidence of one member on one server. It covers the server's current process only.
type memberEvidence struct {
	member                   string
	successes, failures      float64
	succeeded, failed        bool
	lastSuccess, lastFailure control.Micros // valid if succeeded, and if failed
	failureStreak            int
	voteUntil                control.Micros // end of the member's vote for ejection; 0: no vote
}

// newMemberEvidence converts a member's observation to evidence as of now. Events before the start of the server's process are
// ignored.
func newMemberEvidence(now control.Micros, e *Evidence, o *Observation, startedAt control.Micros) memberEvidence {
	m := memberEvidence{member: e.Member}
	if o.SuccessAge >= 0 && now-e.Age-o.SuccessAge >= startedAt {
		m.succeeded, m.lastSuccess = true, now-e.Age-o.SuccessAge
		m.successes = max(o.Successes, minSuccesses)
	}
	if o.FailureAge >= 0 && now-e.Age-o.FailureAge >= startedAt {
		m.failed, m.lastFailure = true, now-e.Age-o.FailureAge
		m.failures, m.failureStreak = max(0, o.Failures), max(1, o.FailureStreak)
	}
	if remaining := min(o.VoteRemaining, MaxEjectionTime) - e.Age; remaining > 0 {
		m.voteUntil = now + remaining
	}
	return m
}

// isObserver reports whether there is enough evidence to count the member as an observer of the server.
func (m *memberEvidence) isObserver() bool { return m.successes+m.failures >= minMemberFailures }

// isWitness reports whether the member is a witness against the server.
func (m *memberEvidence) isWitness() bool {
	return m.isObserver() && m.failures >= minMemberFailures && m.failures >= minMemberFailureRate*(m.successes+m.failures)
}

// fleetEvidence is the evidence of all members on one server; isolated members are excluded.
type fleetEvidence struct {
	successes, failures      float64
	members                  []memberEvidence
	observers                int      // members with enough evidence
	witnesses                []string // observers that see the server fail
	lastSuccess, lastFailure control.Micros
	succeeded, failed        bool
	congested                bool // this member's control module estimates a congestion level above 0
}

// add includes the evidence of one member in the totals.
func (e *fleetEvidence) add(m memberEvidence) {
	e.members = append(e.members, m)
	e.successes += m.successes
	e.failures += m.failures
	if m.isObserver() {
		e.observers++
	}
	if m.isWitness() {
		e.witnesses = append(e.witnesses, m.member)
	}
	if m.succeeded && (!e.succeeded || m.lastSuccess > e.lastSuccess) {
		e.succeeded, e.lastSuccess = true, m.lastSuccess
	}
	if m.failed && (!e.failed || m.lastFailure > e.lastFailure) {
		e.failed, e.lastFailure = true, m.lastFailure
	}
}

// recordVote records a member's vote for ejection and its end.
func (e *fleetEvidence) recordVote(member string, until control.Micros) {
	for i := range e.members {
		if e.members[i].member == member {
			e.members[i].voteUntil = until
			return
		}
	}
	e.members = append(e.members, memberEvidence{member: member, voteUntil: until})
}

// failureRate returns the failure rate of the fleet's attempts at the server.
func (e *fleetEvidence) failureRate() float64 { return failureRate(e.successes, e.failures) }

// failureRate returns the fraction of attempts that failed, and 0 if there were none.
func failureRate(successes, failures float64) float64 {
	if successes+failures <= 0 {
		return 0
	}
	return failures / (successes + failures)
}

// combine sums the evidence of all members by server, except that of the excluded members.
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
		for j := range e.Servers {
			o := &e.Servers[j]
			total := combined[o.Server]
			if total == nil {
				total = &fleetEvidence{members: make([]memberEvidence, 0, len(all)), congested: congested[o.Server]}
				combined[o.Server] = total
			}
			total.add(newMemberEvidence(now, e, o, startedAt[o.Server]))
		}
	}
	return combined
}

// isolatedMembers returns the members for which most servers fail that do not fail for the other members. The evidence of the
// others on a server is the total of all members minus the member's own, so that one pass over the members suffices.
func isolatedMembers(all []Evidence, everyone map[uint32]*fleetEvidence) (isolated []string) {
	if len(all) < 3 { // of two members that disagree, neither can be singled out
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

// memberServer identifies the evidence of one member on one server.
type memberServer struct {
	member string
	server uint32
}

// outcomes holds decayed counts of attempts.
type outcomes struct{ successes, failures float64 }

// sumByMember sums the evidence of each member on each server, since a member may list a server more than once.
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

// round holds the evidence of one update.
type round struct {
	now      control.Micros
	evidence map[uint32]*fleetEvidence
	peers    int // servers with evidence
	healthy  int // peers that answer and have no recent attempt that failed or is overdue
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

// isPeer reports whether there is enough evidence on a server to compare other servers with it.
func (e *fleetEvidence) isPeer() bool { return e.successes+e.failures >= 1 }

// isHealthy reports whether a peer answers, is not congested, and has no recent attempt that failed or is overdue.
func (e *fleetEvidence) isHealthy(now control.Micros) bool {
	return e.isPeer() && e.succeeded && now-e.lastSuccess < maxRecentAge && !(e.failed && now-e.lastFailure < maxRecentAge) && !e.congested
}

// healthyPeers counts the other servers with evidence, and the healthy ones among them. It reports ok as false if too few are
// healthy. No server is an outlier then, since the cause is overload or a shared fault.
func (r *round) healthyPeers(id uint32) (healthy, peers int, ok bool) {
	healthy, peers = r.healthy, r.peers
	if total := r.evidence[id]; total != nil {
		if total.isPeer() {
			peers--
		}
		if total.isHealthy(r.now) {
			healthy--
		}
	}
	return healthy, peers, peers > 0 && float64(healthy) >= minHealthyPeers*float64(peers)
}

// isHanging reports whether a server has stopped answering all members while its peers answer, with the reason: answers
// expected at its own rate did not arrive, and attempts sent since its last answer are unanswered. By chance, as many answers
// are missing in one of 1,000 gaps.
func (r *round) isHanging(id uint32) (bool, string) {
	total := r.evidence[id]
	if !total.succeeded {
		return false, ""
	}
	// The expected rate is the one at the last answer, so the decay since then is undone.
	gap := float64(r.now-total.lastSuccess) / float64(DecayTime)
	expected := total.successes * math.Exp(min(gap, 3)) * gap
	members, streak := 0, 0
	for i := range total.members {
		if m := &total.members[i]; m.failed && m.lastFailure > total.lastSuccess {
			members++
			streak += m.failureStreak
		}
	}
	if members < minWitnesses || streak < minUnanswered || expected < minMissingAnswers {
		return false, ""
	}
	healthy, peers, ok := r.healthyPeers(id)
	if !ok {
		return false, ""
	}
	return true, fmt.Sprintf("%.0f expected answers are missing, %d attempts of %d members are unanswered, and %d of %d peers are healthy",
		expected, streak, members, healthy, peers)
}

// isOutlier reports whether the evidence makes a server an outlier, with the reason.
func (r *round) isOutlier(id uint32) (bool, string) {
	if hanging, reason := r.isHanging(id); hanging {
		return true, reason
	}
	total := r.evidence[id]
	if _, _, ok := r.healthyPeers(id); !ok {
		return false, ""
	}
	if len(total.witnesses) < minWitnesses || float64(len(total.witnesses)) < minWitnessShare*float64(total.observers) || total.failures < minFleetFailures || total.failureRate() < minFleetFailureRate {
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
	if median > medianMultipleThreshold && total.failureRate() < minMedianMultiple*median {
		return false, ""
	}
	return true, fmt.Sprintf("%.0f%% of the attempts fail, %d of %d members are witnesses, the median failure rate is %.0f%% at %d peers",
		100*total.failureRate(), len(total.witnesses), total.observers, 100*median, len(peers))
}

// outcomesSince counts the members with a failure later than since, and those with a success.
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
