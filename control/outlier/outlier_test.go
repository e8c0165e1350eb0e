package outlier

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"beammux/control"
)

// fleet is a few members that observe servers and receive each other's evidence without delay.
type fleet struct {
	names        []string
	list         []Server
	detectors    map[string]*Detector
	observations map[string]map[uint32]*Observation // SuccessAge and FailureAge hold times, not ages
	now          control.Micros
}

func newFleet(members, servers int) *fleet {
	f := &fleet{detectors: map[string]*Detector{}, observations: map[string]map[uint32]*Observation{}, now: 1e9}
	for i := range members {
		name := fmt.Sprint("g", i)
		f.names = append(f.names, name)
		f.detectors[name] = New(name, 0.3)
		f.observations[name] = map[uint32]*Observation{}
	}
	for i := range servers {
		f.list = append(f.list, Server{ID: uint32(i + 1)})
	}
	return f
}

// observe records attempts of a member at a server.
func (f *fleet) observe(member string, server uint32, successes, failures float64) {
	observation := f.observations[member][server]
	if observation == nil {
		observation = &Observation{Server: server, SuccessAge: -1, FailureAge: -1}
		f.observations[member][server] = observation
	}
	observation.Successes, observation.Failures = observation.Successes+successes, observation.Failures+failures
	if successes > 0 {
		observation.SuccessAge, observation.FailureStreak = f.now, 0
	}
	if failures > 0 {
		observation.FailureAge, observation.FailureStreak = f.now, observation.FailureStreak+int(failures)
	}
}

// evidence returns what all members publish now.
func (f *fleet) evidence() (all []Evidence) {
	for _, name := range f.names {
		e := Evidence{Member: name}
		votes := f.detectors[name].Votes(f.now)
		for _, s := range f.observations[name] {
			published := *s
			published.VoteRemaining = votes[s.Server]
			delete(votes, s.Server)
			if s.SuccessAge >= 0 {
				published.SuccessAge = f.now - s.SuccessAge
			}
			if s.FailureAge >= 0 {
				published.FailureAge = f.now - s.FailureAge
			}
			e.Servers = append(e.Servers, published)
		}
		for id, remaining := range votes {
			e.Servers = append(e.Servers, Observation{Server: id, SuccessAge: -1, FailureAge: -1, VoteRemaining: remaining})
		}
		all = append(all, e)
	}
	return all
}

// advance advances the time by span, with an update of each member every 200 ms. Counts decay roughly as with DecayTime.
func (f *fleet) advance(span control.Micros) {
	for end := f.now + span; f.now < end; {
		f.now += 200_000
		for _, byServer := range f.observations {
			for _, s := range byServer {
				s.Successes, s.Failures = s.Successes*0.967, s.Failures*0.967
			}
		}
		all := f.evidence()
		for _, name := range f.names {
			f.detectors[name].Update(f.now, all, f.list, f.names)
		}
	}
}

// phase returns the phase of a server at a member.
func (f *fleet) phase(member string, server uint32) Phase {
	for _, ejection := range f.detectors[member].Ejections(f.now) {
		if ejection.Server == server {
			return ejection.Phase
		}
	}
	return Healthy
}

// succeedExcept records successes of every member at every server that is not excluded.
func (f *fleet) succeedExcept(excluded ...uint32) {
	for _, name := range f.names {
		for _, s := range f.list {
			if !slices.Contains(excluded, s.ID) {
				f.observe(name, s.ID, 2, 0)
			}
		}
	}
}

// Two witnesses eject a server at all members, a failed trial ejects it for twice as long, and a successful trial ends it.
func TestEjectionAndTrial(t *testing.T) {
	f := newFleet(6, 8)
	f.succeedExcept(3)
	f.observe("g0", 3, 0, 9)
	f.advance(400_000)
	require.Equal(t, Healthy, f.phase("g1", 3), "one member alone never ejects a server, whatever it reports")
	f.observe("g1", 3, 0, 1)
	f.observe("g2", 3, 0, 1)
	f.advance(400_000) // to vote, and to receive the votes
	for _, name := range f.names {
		require.Equal(t, Ejected, f.phase(name, 3), name)
	}
	// No member sends set-ups to the server, so no evidence is fresh: the ejection ends and the first prober tries the server.
	f.advance(BaseEjectionTime + 200_000)
	membersByLimit := map[int]int{}
	for _, name := range f.names {
		require.Equal(t, Trial, f.phase(name, 3))
		membersByLimit[f.detectors[name].inFlightLimit(3, f.detectors[name].servers[3], f.names)]++
	}
	require.Equal(t, map[int]int{1: firstProbers, 0: 6 - firstProbers}, membersByLimit)
	// The trial fails: the server is ejected again, for twice as long.
	f.now += 1
	f.observe(selectProbers(3, f.names, 1)[0], 3, 0, 1)
	f.advance(200_000)
	require.Equal(t, Ejected, f.phase("g5", 3))
	f.advance(BaseEjectionTime + 400_000)
	require.Equal(t, Ejected, f.phase("g5", 3))
	f.advance(BaseEjectionTime)
	require.Equal(t, Trial, f.phase("g5", 3))
	// The trial succeeds: the limit rises in steps, then the server is healthy.
	for range 8 {
		f.succeedExcept()
		f.advance(trialStepTime)
	}
	require.Equal(t, Healthy, f.phase("g5", 3))
}

// A server that answered eight attempts a second and then stops answering is ejected within a second, by three unanswered
// attempts of two members, although most of its evidence is good. It is not ejected while one member still gets answers.
func TestHangingServer(t *testing.T) {
	for _, answers := range []bool{false, true} {
		f := newFleet(6, 8)
		for range 30 {
			f.succeedExcept()
			f.advance(200_000)
		}
		for round := range 6 {
			f.succeedExcept(3)
			if round == 1 {
				f.observe("g0", 3, 0, 2)
				f.observe("g1", 3, 0, 1)
			}
			if answers {
				f.observe("g5", 3, 1, 0)
			}
			f.advance(200_000)
		}
		want := Ejected
		if answers {
			want = Healthy
		}
		require.Equal(t, want, f.phase("g4", 3), "one member gets answers: %v", answers)
	}
}

// No server is ejected for overload of all servers, for the failures of one isolated member, or for those of half of the members.
func TestNoEjection(t *testing.T) {
	requirePhase := func(f *fleet, phase Phase, message string) {
		t.Helper()
		for _, name := range f.names {
			for _, s := range f.list {
				require.Equal(t, phase, f.phase(name, s.ID), message)
			}
		}
	}
	f := newFleet(6, 8)
	for _, name := range f.names {
		for _, s := range f.list {
			f.observe(name, s.ID, 1, 2)
		}
	}
	f.advance(1e6)
	requirePhase(f, Healthy, "all servers are slow at once: overload ejects none")

	f = newFleet(6, 8)
	f.succeedExcept()
	for _, s := range f.list { // a member with false evidence or bad links
		f.observations["g4"][s.ID].Successes = 0
		f.observe("g4", s.ID, 0, 9)
	}
	f.advance(1e6)
	requirePhase(f, Healthy, "one member alone reports that all servers fail")
	for _, name := range f.names {
		require.Equal(t, []string{"g4"}, f.detectors[name].Isolated())
	}

	f = newFleet(6, 8)
	f.succeedExcept(3)
	for i, name := range f.names {
		if i%2 == 0 {
			f.observe(name, 3, 0, 3)
		} else {
			f.observe(name, 3, 3, 0)
		}
	}
	f.advance(1e6)
	requirePhase(f, Healthy, "the server fails only for the half of the members whose links are bad")
}

// Evidence on a former process of a server does not eject the server after a restart.
func TestRestartedServer(t *testing.T) {
	f := newFleet(4, 4)
	f.succeedExcept(2)
	for _, name := range f.names {
		f.observe(name, 2, 0, 3)
	}
	f.advance(400_000)
	require.Equal(t, Ejected, f.phase("g0", 2))
	f.list[1].Since = f.now
	f.advance(600_000)
	require.Equal(t, Healthy, f.phase("g0", 2))
}

// Invariants under random evidence, with one member that reports false failures, and with restarts of members: no more than
// the allowed share of the servers is ejected, no ejection outlives its end, and no server is ejected by one member alone.
func TestEjectionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const members, servers = 5, 7
		f := newFleet(members, servers)
		member := rapid.IntRange(0, members-1)
		id := rapid.Uint32Range(1, servers)
		falseReporter := f.names[member.Draw(t, "false reporter")]
		honestWitnesses := map[uint32]map[string]bool{} // members that really saw a failure
		lastFailure := map[uint32]control.Micros{}
		t.Repeat(map[string]func(*rapid.T){
			"good": func(t *rapid.T) { f.observe(f.names[member.Draw(t, "member")], id.Draw(t, "server"), 2, 0) },
			"bad": func(t *rapid.T) {
				observer, s := f.names[member.Draw(t, "member")], id.Draw(t, "server")
				f.observe(observer, s, 0, rapid.Float64Range(1, 6).Draw(t, "bad"))
				lastFailure[s] = f.now
				if honestWitnesses[s] == nil {
					honestWitnesses[s] = map[string]bool{}
				}
				honestWitnesses[s][observer] = true
			},
			"false report": func(t *rapid.T) {
				for s := range uint32(servers) {
					f.observe(falseReporter, s+1, 0, 9)
					lastFailure[s+1] = f.now
				}
			},
			"time": func(t *rapid.T) { f.advance(control.Micros(rapid.IntRange(1, 30).Draw(t, "rounds")) * 200_000) },
			"restart": func(t *rapid.T) {
				name := f.names[member.Draw(t, "member")]
				f.detectors[name], f.observations[name] = New(name, 0.3), map[uint32]*Observation{}
			},
			"": func(t *rapid.T) {
				for _, name := range f.names {
					ejected := 0
					for _, ejection := range f.detectors[name].Ejections(f.now) {
						if ejection.Phase != Ejected {
							continue
						}
						ejected++
						if f.now-lastFailure[ejection.Server] > MaxEjectionTime || ejection.Remaining > MaxEjectionTime {
							t.Fatalf("%s ejects server %d, %d us after its last failure", name, ejection.Server, f.now-lastFailure[ejection.Server])
						}
						delete(honestWitnesses[ejection.Server], falseReporter)
						if len(honestWitnesses[ejection.Server]) == 0 {
							t.Fatalf("%s ejects server %d by the false evidence of %s alone", name, ejection.Server, falseReporter)
						}
					}
					if maxEjected := 2; ejected > maxEjected {
						t.Fatalf("%d of %d servers are ejected", ejected, servers)
					}
				}
			},
		})
	})
}

// A number is busy for the fleet when two members report it, until the newest busy answer is old or a call to the number is
// established. Evidence of isolated members is ignored.
func TestBusyNumbers(t *testing.T) {
	now := control.Micros(1e9)
	evidence := func(member string, age, busy, good control.Micros) NumberEvidence {
		return NumberEvidence{member, age, []NumberObservation{{"555", 1, busy, good}}}
	}
	for i, row := range []struct {
		all       []NumberEvidence
		isolated  []string
		remaining control.Micros // 0: not busy
	}{
		{[]NumberEvidence{evidence("a", 0, 1e6, -1)}, nil, 0},
		{[]NumberEvidence{evidence("a", 0, 1e6, -1), evidence("b", 2e5, 1e6, -1)}, nil, 4e6},
		{[]NumberEvidence{evidence("a", 0, 1e6, -1), evidence("b", 1e6, 4e6, -1)}, nil, 0},
		{[]NumberEvidence{evidence("a", 0, 1e6, -1), evidence("b", 0, 2e6, 5e5)}, nil, 0},
		{[]NumberEvidence{evidence("a", 0, 1e6, 3e6), evidence("b", 0, 2e6, -1)}, nil, 4e6},
		{[]NumberEvidence{evidence("a", 0, 1e6, -1), evidence("b", 0, 1e6, -1)}, []string{"b"}, 0},
		{[]NumberEvidence{evidence("a", 0, -1, -1), evidence("b", 0, 1e6, -1)}, nil, 0},
	} {
		got := BusyNumbers(now, row.all, row.isolated)
		if row.remaining == 0 {
			require.Empty(t, got, i)
			continue
		}
		require.Len(t, got, 1, i)
		require.Equal(t, row.remaining, got[0].Remaining, i)
	}
}

// An address is blocked when two members report it, for CallerBlockTime from the newest failed connection. It is not blocked by
// one member alone, nor if connections of good callers come from it too.
func TestCallerFilter(t *testing.T) {
	evidence := func(member string, good, bad float64, age control.Micros) CallerEvidence {
		return CallerEvidence{member, 0, []CallerObservation{{"10.0.0.9", good, bad, age}}}
	}
	now := control.Micros(1e9)
	require.Empty(t, NewCallerFilter().Update(now, []CallerEvidence{evidence("a", 0, 50, 0)}), "one member alone")
	require.Empty(t, NewCallerFilter().Update(now, []CallerEvidence{evidence("a", 0, 5, 0), evidence("b", 3, 5, 0)}), "connections of good callers too")
	require.Empty(t, NewCallerFilter().Update(now, []CallerEvidence{evidence("a", 0, 5, 0), evidence("b", 0, 1, 0)}), "too few failures at b")
	filter := NewCallerFilter()
	blocked := filter.Update(now, []CallerEvidence{evidence("a", 0, 5, 1e6), evidence("b", 0, 5, 2e6)})
	require.Len(t, blocked, 1)
	require.Equal(t, CallerBlockTime-1e6, blocked[0].Remaining)
	require.Len(t, filter.Update(now+5e6, []CallerEvidence{evidence("a", 0, 2, 6e6), evidence("b", 0, 2, 7e6)}), 1, "the block holds while its evidence decays")
	require.Empty(t, filter.Update(now+9e6, nil), "the block ends")
}

// drawEvidence draws the evidence that members publish. Members may disagree on a server, report false evidence, or list a server
// twice.
func drawEvidence(t *rapid.T) (all []Evidence, list []Server) {
	for i := range rapid.IntRange(1, 6).Draw(t, "servers") {
		list = append(list, Server{ID: uint32(i + 1), Since: control.Micros(rapid.IntRange(0, 2).Draw(t, "since")) * 99e5})
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "members") {
		e := Evidence{Member: fmt.Sprint("g", i), Age: control.Micros(rapid.IntRange(0, 1e6).Draw(t, "age"))}
		for range rapid.IntRange(0, 8).Draw(t, "observations") {
			e.Servers = append(e.Servers, Observation{Server: uint32(rapid.IntRange(1, len(list)).Draw(t, "server")),
				Successes: float64(rapid.IntRange(0, 64).Draw(t, "successes")) / 16, Failures: float64(rapid.IntRange(0, 64).Draw(t, "failures")) / 16,
				SuccessAge: control.Micros(rapid.IntRange(-1, 4).Draw(t, "success age")) * 5e5, FailureAge: control.Micros(rapid.IntRange(-1, 4).Draw(t, "failure age")) * 5e5})
		}
		all = append(all, e)
	}
	return all, list
}

// contradicted returns the evidence of a member that failed at every server, and of others that succeeded at all of them.
func contradicted(list []Server) []Evidence {
	const observations = 100
	failing := Evidence{Member: "failing"}
	var others []Evidence
	for _, s := range list {
		failing.Servers = append(failing.Servers, Observation{Server: s.ID, Failures: observations})
	}
	for i := range 4 {
		other := Evidence{Member: fmt.Sprint("succeeding", i)}
		for _, s := range list {
			other.Servers = append(other.Servers, Observation{Server: s.ID, Successes: observations})
		}
		others = append(others, other)
	}
	return append(others, failing)
}

// isolatedPairwise compares each member with the summed evidence of all others, computed separately for each.
func isolatedPairwise(now control.Micros, all []Evidence, list []Server) (isolated []string) {
	if len(all) < 3 {
		return nil
	}
	for _, e := range all {
		others := combine(now, all, list, []string{e.Member})
		observed, failing := 0, 0
		for _, s := range e.Servers {
			total := others[s.Server]
			if s.Successes+s.Failures < minMemberFailures || total == nil || total.successes+total.failures < 1 {
				continue
			}
			observed++
			if s.Failures >= minMemberFailureRate*(s.Successes+s.Failures) && total.failureRate() < isolatedPeerFailureRate {
				failing++
			}
		}
		if observed >= isolatedMinServers && float64(failing) > isolatedFailingShare*float64(observed) {
			isolated = append(isolated, e.Member)
		}
	}
	return isolated
}

// The isolated members and the healthy peers are the same whether the evidence of the others is summed for each member and
// server or derived from the total.
func TestTotalsMatchPairwiseSums(t *testing.T) {
	const now = control.Micros(1e7)
	found := 0
	rapid.Check(t, func(t *rapid.T) {
		all, list := drawEvidence(t)
		if rapid.Bool().Draw(t, "with a contradicted member") {
			all = append(all, contradicted(list)...)
		}
		everyone := combine(now, all, list, nil)
		want := isolatedPairwise(now, all, list)
		found += len(want)
		require.Equal(t, want, isolatedMembers(all, everyone))
		r := newRound(now, everyone)
		for _, l := range list {
			peers, healthy := 0, 0
			for other, e := range everyone {
				if other != l.ID && e.isPeer() {
					peers++
				}
				if other != l.ID && e.isHealthy(now) {
					healthy++
				}
			}
			gotHealthy, gotPeers, _ := r.healthyPeers(l.ID)
			require.Equal(t, [2]int{healthy, peers}, [2]int{gotHealthy, gotPeers})
		}
	})
	require.Positive(t, found, "no draw had an isolated member")
}
