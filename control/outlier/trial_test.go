package outlier

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// A member whose trial of a server is not over when the server hangs anew takes the ejection of the others, at each step of the
// trial: they send nothing there any more, so that no further failures can end its trial.
func TestVotesEndATrial(t *testing.T) {
	for step := range trialLimits {
		t.Run(fmt.Sprint("step ", step), func(t *testing.T) {
			f := newFleet(4, 5)
			late := f.detectors["g0"]
			late.servers[1] = &server{phase: Trial, step: step, since: f.now, ejectionTime: BaseEjectionTime}
			f.now += trialStepTime / 2
			evidence := []Evidence{
				{Member: "g0", Servers: []Observation{{Server: 1, Successes: 2, Failures: 1, SuccessAge: 400_000, FailureAge: 200_000, FailureStreak: 1}}},
				{Member: "g1", Servers: []Observation{{Server: 1, SuccessAge: -1, FailureAge: -1, VoteRemaining: 3_000_000}}},
			}
			late.Update(f.now, evidence, f.list, f.names)
			require.Equal(t, Trial, late.servers[1].phase, "one vote is not enough")
			evidence = append(evidence, Evidence{Member: "g2", Servers: []Observation{{Server: 1, SuccessAge: -1, FailureAge: -1, VoteRemaining: 2_000_000}}})
			changes := late.Update(f.now, evidence, f.list, f.names)
			require.Equal(t, Ejected, late.servers[1].phase)
			require.Equal(t, f.now+3_000_000, late.servers[1].until)
			require.Len(t, changes, 1)
			require.Zero(t, changes[0].MaxInFlight)
		})
	}
}

// Members whose trials fail eject the server anew, and so does one whose trial was a step ahead and did not see it.
func TestAFailedTrialIsEverybodys(t *testing.T) {
	f := newFleet(4, 5)
	for i, name := range f.names {
		s := &server{phase: Trial, since: f.now - trialStepTime/2, ejectionTime: BaseEjectionTime}
		if i == 0 {
			s.step, s.since = 1, f.now+1
		}
		f.detectors[name].servers[1] = s
	}
	f.see("g1", 1, 0, 1)
	f.see("g2", 1, 0, 1)
	f.pass(1_000_000)
	for _, name := range f.names {
		require.Equal(t, Ejected, f.phase(name, 1), name)
	}
	f.pass(MaxEjectionTime)
	for _, name := range f.names {
		require.Equal(t, Trial, f.phase(name, 1), "and its end comes for %s", name)
	}
}
