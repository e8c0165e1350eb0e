package outlier

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// A member that still has a server on trial when the server hangs again must adopt the ejection voted by the others, at each
// step of the trial. The others no longer send set-ups to the server, so no further failures can end the trial.
func TestVotesEndTrial(t *testing.T) {
	for step := range trialLimits {
		t.Run(fmt.Sprint("step ", step), func(t *testing.T) {
			f := newFleet(4, 5)
			detector := f.detectors["g0"]
			detector.servers[1] = &server{phase: Trial, step: step, since: f.now, ejectionTime: BaseEjectionTime}
			f.now += trialStepTime / 2
			evidence := []Evidence{
				{Member: "g0", Servers: []Observation{{Server: 1, Successes: 2, Failures: 1, SuccessAge: 400_000, FailureAge: 200_000, FailureStreak: 1}}},
				{Member: "g1", Servers: []Observation{{Server: 1, SuccessAge: -1, FailureAge: -1, VoteRemaining: 3_000_000}}},
			}
			detector.Update(f.now, evidence, f.list, f.names)
			require.Equal(t, Trial, detector.servers[1].phase, "one vote is not enough")
			evidence = append(evidence, Evidence{Member: "g2", Servers: []Observation{{Server: 1, SuccessAge: -1, FailureAge: -1, VoteRemaining: 2_000_000}}})
			changes := detector.Update(f.now, evidence, f.list, f.names)
			require.Equal(t, Ejected, detector.servers[1].phase)
			require.Equal(t, f.now+3_000_000, detector.servers[1].until)
			require.Len(t, changes, 1)
			require.Zero(t, changes[0].MaxInFlight)
		})
	}
}

// Members whose trial of a server fails eject it again, and so does a member whose trial was one step ahead and saw no failure.
func TestFailedTrialEjectsAtAllMembers(t *testing.T) {
	f := newFleet(4, 5)
	for i, name := range f.names {
		s := &server{phase: Trial, since: f.now - trialStepTime/2, ejectionTime: BaseEjectionTime}
		if i == 0 {
			s.step, s.since = 1, f.now+1
		}
		f.detectors[name].servers[1] = s
	}
	f.observe("g1", 1, 0, 1)
	f.observe("g2", 1, 0, 1)
	f.advance(1_000_000)
	for _, name := range f.names {
		require.Equal(t, Ejected, f.phase(name, 1), name)
	}
	f.advance(MaxEjectionTime)
	for _, name := range f.names {
		require.Equal(t, Trial, f.phase(name, 1), "the new ejection ends at %s", name)
	}
}
