package soak

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/internal/fleetlab"
	"beammux/internal/fleetlab/script"
)

// The short soak of CI: a trial for each group of faults, and mixed ones.
const (
	firstSeed      = 1
	mixedTrials    = 6
	trialsAtOnce   = 3
	shortestFaults = 3 // of a trial
)

// The same seed draws the same bytes, and each trial is a valid script whose faults end in time for the releases that are due then.
func TestDraw(t *testing.T) {
	for seed := range uint64(200) {
		s := Draw(seed, MinLength, Groups())
		require.Equal(t, string(s.Marshal()), string(Draw(seed, MinLength, Groups()).Marshal()))
		parsed, err := script.Parse("trial", s.Marshal())
		require.NoError(t, err)
		require.Len(t, parsed.Faults, len(s.Faults))
		for _, f := range parsed.Faults {
			require.LessOrEqual(t, time.Duration(f.At+f.For), MinLength-quietTail)
		}
	}
}

func TestParseGroups(t *testing.T) {
	all, err := ParseGroups("all")
	require.NoError(t, err)
	require.Equal(t, Groups(), all)
	some, err := ParseGroups("servers+network")
	require.NoError(t, err)
	require.Equal(t, []string{"servers", "network"}, some)
	_, err = ParseGroups("servers+netwrok")
	require.ErrorContains(t, err, "netwrok")
	require.ErrorContains(t, err, "network")
}

// Guards against broken rules in short, dense trials: faults of every group, alone and mixed, on real processes.
func TestShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes for a minute or two")
	}
	program, err := fleetlab.Build("../../..", t.TempDir())
	require.NoError(t, err)
	slots := make(chan struct{}, trialsAtOnce)
	play := func(name string, seed uint64, groups []string) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			s := Draw(seed, MinLength, groups)
			require.GreaterOrEqual(t, len(s.Faults), shortestFaults)
			trial := Play(t.Context(), program, filepath.Join(t.TempDir(), "trial"), s)
			require.True(t, trial.Held(), "seed %d, faults %s\n%s", seed, strings.Join(trial.Faults, "; "), trial.result())
		})
	}
	for _, group := range Groups() {
		play(group, firstSeed, []string{group})
	}
	for i := range uint64(mixedTrials) {
		play(fmt.Sprintf("mixed %d", i), firstSeed+i, Groups())
	}
}
