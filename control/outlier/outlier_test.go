package outlier

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"beammux/control"
)

// fleet is a few members that see servers and hear each other at once.
type fleet struct {
	names        []string
	list         []Server
	detectors    map[string]*Detector
	observations map[string]map[uint32]*Observation // ages as times of the last
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

func (f *fleet) see(member string, server uint32, good, bad float64) {
	s := f.observations[member][server]
	if s == nil {
		s = &Observation{Server: server, SuccessAge: -1, FailureAge: -1}
		f.observations[member][server] = s
	}
	s.Successes, s.Failures = s.Successes+good, s.Failures+bad
	if good > 0 {
		s.SuccessAge, s.FailureStreak = f.now, 0
	}
	if bad > 0 {
		s.FailureAge, s.FailureStreak = f.now, s.FailureStreak+int(bad)
	}
}

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
		for id, left := range votes {
			e.Servers = append(e.Servers, Observation{Server: id, SuccessAge: -1, FailureAge: -1, VoteRemaining: left})
		}
		all = append(all, e)
	}
	return all
}

// pass lets time go by, with a round of each member each 200 ms. Memory fades as the tallies do, roughly.
func (f *fleet) pass(span control.Micros) {
	for end := f.now + span; f.now < end; {
		f.now += 200_000
		for _, by := range f.observations {
			for _, s := range by {
				s.Successes, s.Failures = s.Successes*0.967, s.Failures*0.967
			}
		}
		all := f.evidence()
		for _, name := range f.names {
			f.detectors[name].Update(f.now, all, f.list, f.names)
		}
	}
}

func (f *fleet) phase(member string, server uint32) Phase {
	for _, v := range f.detectors[member].Ejections(f.now) {
		if v.Server == server {
			return v.Phase
		}
	}
	return Healthy
}

// work gives every member answers of every server but those in without.
func (f *fleet) work(without ...uint32) {
	for _, name := range f.names {
		for _, s := range f.list {
			if !slices.Contains(without, s.ID) {
				f.see(name, s.ID, 2, 0)
			}
		}
	}
}

func TestConviction(t *testing.T) {
	f := newFleet(6, 8)
	f.work(3)
	f.see("g0", 3, 0, 9)
	f.pass(400_000)
	require.Equal(t, Healthy, f.phase("g1", 3), "one member alone never convicts, however much it says")
	f.see("g1", 3, 0, 1)
	f.see("g2", 3, 0, 1)
	f.pass(400_000) // to vote, and to hear the votes
	for _, name := range f.names {
		require.Equal(t, Ejected, f.phase(name, 3), name)
	}
	// Nobody sends there, so nothing is fresh: it ends, and two members try it.
	f.pass(BaseEjectionTime + 200_000)
	room := map[int]int{}
	for _, name := range f.names {
		require.Equal(t, Trial, f.phase(name, 3))
		room[f.detectors[name].inFlightLimit(3, f.detectors[name].servers[3], f.names)]++
	}
	require.Equal(t, map[int]int{1: firstProbers, 0: 6 - firstProbers}, room)
	// It fails: out again, for twice as long.
	f.now += 1
	f.see(probersOf(3, f.names, 1)[0], 3, 0, 1)
	f.pass(200_000)
	require.Equal(t, Ejected, f.phase("g5", 3))
	f.pass(BaseEjectionTime + 400_000)
	require.Equal(t, Ejected, f.phase("g5", 3))
	f.pass(BaseEjectionTime)
	require.Equal(t, Trial, f.phase("g5", 3))
	// They succeed: room by steps, then clear.
	for range 8 {
		f.work()
		f.pass(trialStepTime)
	}
	require.Equal(t, Healthy, f.phase("g5", 3))
}

// A server that answered eight a second and ceases to answer anybody is convicted within a second by two members' three
// attempts without an answer, though most of what is remembered of it is good; not while one answer comes.
func TestHang(t *testing.T) {
	for _, answers := range []bool{false, true} {
		f := newFleet(6, 8)
		for range 30 {
			f.work()
			f.pass(200_000)
		}
		for k := range 6 {
			f.work(3)
			if k == 1 {
				f.see("g0", 3, 0, 2)
				f.see("g1", 3, 0, 1)
			}
			if answers {
				f.see("g5", 3, 1, 0)
			}
			f.pass(200_000)
		}
		want := Ejected
		if answers {
			want = Healthy
		}
		require.Equal(t, want, f.phase("g4", 3), "one answers: %v", answers)
	}
}

func TestNoVerdict(t *testing.T) {
	all := func(f *fleet, phase Phase, why string) {
		t.Helper()
		for _, name := range f.names {
			for _, s := range f.list {
				require.Equal(t, phase, f.phase(name, s.ID), why)
			}
		}
	}
	f := newFleet(6, 8)
	for _, name := range f.names {
		for _, s := range f.list {
			f.see(name, s.ID, 1, 2)
		}
	}
	f.pass(1e6)
	all(f, Healthy, "all servers are slow at once: overload ejects none")

	f = newFleet(6, 8)
	f.work()
	for _, s := range f.list { // a liar, or one whose links are bad
		f.observations["g4"][s.ID].Successes = 0
		f.see("g4", s.ID, 0, 9)
	}
	f.pass(1e6)
	all(f, Healthy, "one member says that all fail")
	for _, name := range f.names {
		require.Equal(t, []string{"g4"}, f.detectors[name].Isolated())
	}

	f = newFleet(6, 8)
	f.work(3)
	for i, name := range f.names {
		if i%2 == 0 {
			f.see(name, 3, 0, 3)
		} else {
			f.see(name, 3, 3, 0)
		}
	}
	f.pass(1e6)
	all(f, Healthy, "slow for half of the members by their links alone")
}

// A server that started anew is not held to what its former process did.
func TestStartedAnew(t *testing.T) {
	f := newFleet(4, 4)
	f.work(2)
	for _, name := range f.names {
		f.see(name, 2, 0, 3)
	}
	f.pass(400_000)
	require.Equal(t, Ejected, f.phase("g0", 2))
	f.list[1].Since = f.now
	f.pass(600_000)
	require.Equal(t, Healthy, f.phase("g0", 2))
}

// Over every course of evidence, also of liars, with evidence late and members that come and go: no more than the part of the
// servers is out, no ejection is older than its expiry, no server is ejected by one member alone, and members with the same
// evidence come to the same.
func TestGuards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const members, servers = 5, 7
		f := newFleet(members, servers)
		member := rapid.IntRange(0, members-1)
		id := rapid.Uint32Range(1, servers)
		liar := f.names[member.Draw(t, "liar")]
		honest := map[uint32]map[string]bool{} // failures that others than the liar saw
		last := map[uint32]control.Micros{}
		t.Repeat(map[string]func(*rapid.T){
			"good": func(t *rapid.T) { f.see(f.names[member.Draw(t, "who")], id.Draw(t, "server"), 2, 0) },
			"bad": func(t *rapid.T) {
				who, s := f.names[member.Draw(t, "who")], id.Draw(t, "server")
				f.see(who, s, 0, rapid.Float64Range(1, 6).Draw(t, "bad"))
				last[s] = f.now
				if honest[s] == nil {
					honest[s] = map[string]bool{}
				}
				honest[s][who] = true
			},
			"lie": func(t *rapid.T) {
				for s := range uint32(servers) {
					f.see(liar, s+1, 0, 9)
					last[s+1] = f.now
				}
			},
			"time": func(t *rapid.T) { f.pass(control.Micros(rapid.IntRange(1, 30).Draw(t, "rounds")) * 200_000) },
			"restart": func(t *rapid.T) {
				name := f.names[member.Draw(t, "who")]
				f.detectors[name], f.observations[name] = New(name, 0.3), map[uint32]*Observation{}
			},
			"": func(t *rapid.T) {
				for _, name := range f.names {
					out := 0
					for _, v := range f.detectors[name].Ejections(f.now) {
						if v.Phase != Ejected {
							continue
						}
						out++
						if f.now-last[v.Server] > MaxEjectionTime || v.Remaining > MaxEjectionTime {
							t.Fatalf("%s holds %d out, %d us after its last failure", name, v.Server, f.now-last[v.Server])
						}
						delete(honest[v.Server], liar)
						if len(honest[v.Server]) == 0 {
							t.Fatalf("%s holds %d out, by the liar %s alone", name, v.Server, liar)
						}
					}
					if most := 2; out > most {
						t.Fatalf("%d of %d servers are out", out, servers)
					}
				}
			},
		})
	})
}

// A number is busy for all by two members' word, until the newest of it is old, a call to it stands, or they are isolated.
func TestBusyNumbers(t *testing.T) {
	now := control.Micros(1e9)
	says := func(member string, age, busy, good control.Micros) NumberEvidence {
		return NumberEvidence{member, age, []NumberObservation{{"555", 1, busy, good}}}
	}
	for i, row := range []struct {
		all      []NumberEvidence
		isolated []string
		left     control.Micros // 0: not busy
	}{
		{[]NumberEvidence{says("a", 0, 1e6, -1)}, nil, 0},
		{[]NumberEvidence{says("a", 0, 1e6, -1), says("b", 2e5, 1e6, -1)}, nil, 4e6},
		{[]NumberEvidence{says("a", 0, 1e6, -1), says("b", 1e6, 4e6, -1)}, nil, 0},
		{[]NumberEvidence{says("a", 0, 1e6, -1), says("b", 0, 2e6, 5e5)}, nil, 0},
		{[]NumberEvidence{says("a", 0, 1e6, 3e6), says("b", 0, 2e6, -1)}, nil, 4e6},
		{[]NumberEvidence{says("a", 0, 1e6, -1), says("b", 0, 1e6, -1)}, []string{"b"}, 0},
		{[]NumberEvidence{says("a", 0, -1, -1), says("b", 0, 1e6, -1)}, nil, 0},
	} {
		got := BusyNumbers(now, row.all, row.isolated)
		if row.left == 0 {
			require.Empty(t, got, i)
			continue
		}
		require.Len(t, got, 1, i)
		require.Equal(t, row.left, got[0].Remaining, i)
	}
}

// An address is turned away by two members' word, for CallerSpan from the newest bad connection; not where good callers come from
// it too, and not by one member alone.
func TestDoor(t *testing.T) {
	says := func(member string, good, bad float64, age control.Micros) CallerEvidence {
		return CallerEvidence{member, 0, []CallerObservation{{"10.0.0.9", good, bad, age}}}
	}
	now := control.Micros(1e9)
	require.Empty(t, NewCallerFilter().Update(now, []CallerEvidence{says("a", 0, 50, 0)}), "one alone")
	require.Empty(t, NewCallerFilter().Update(now, []CallerEvidence{says("a", 0, 5, 0), says("b", 3, 5, 0)}), "good ones too")
	require.Empty(t, NewCallerFilter().Update(now, []CallerEvidence{says("a", 0, 5, 0), says("b", 0, 1, 0)}), "too little of b")
	d := NewCallerFilter()
	away := d.Update(now, []CallerEvidence{says("a", 0, 5, 1e6), says("b", 0, 5, 2e6)})
	require.Len(t, away, 1)
	require.Equal(t, CallerBlockTime-1e6, away[0].Remaining)
	require.Len(t, d.Update(now+5e6, []CallerEvidence{says("a", 0, 2, 6e6), says("b", 0, 2, 7e6)}), 1, "it holds while what brought it is forgotten")
	require.Empty(t, d.Update(now+9e6, nil), "and ends")
}

// drawEvidence draws what members publish: some see a server fail that others do not, some lie, some name a server twice.
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

// isolatedByHand compares each member with all others, gone through anew for each.
func isolatedByHand(now control.Micros, all []Evidence, list []Server) (isolated []string) {
	if len(all) < 3 {
		return nil
	}
	for _, e := range all {
		others := combine(now, all, list, []string{e.Member})
		seen, failing := 0, 0
		for _, s := range e.Servers {
			o := others[s.Server]
			if s.Successes+s.Failures < minMemberFailures || o == nil || o.successes+o.failures < 1 {
				continue
			}
			seen++
			if s.Failures >= minMemberFailureRate*(s.Successes+s.Failures) && o.failureRate() < isolatedPeerFailureRate {
				failing++
			}
		}
		if seen >= isolatedMinServers && float64(failing) > isolatedFailingShare*float64(seen) {
			isolated = append(isolated, e.Member)
		}
	}
	return isolated
}

// Isolated members, and healthy peers, are the same whether the evidence of the others is added up for each or taken from the
// whole.
func TestSumsAreThoseOfTheOthers(t *testing.T) {
	const now = control.Micros(1e7)
	found := 0
	rapid.Check(t, func(t *rapid.T) {
		all, list := drawEvidence(t)
		everyone := combine(now, all, list, nil)
		want := isolatedByHand(now, all, list)
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
