package fleetlab

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// heardRates returns the recorded call rates of each gatekeeper's view, in order.
func heardRates(t *testing.T, sum *Summary) map[string][]line {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(sum.Dir, "run.jsonl"))
	require.NoError(t, err)
	all := map[string][]line{}
	for row := range bytes.Lines(text) {
		var l line
		require.NoError(t, json.Unmarshal(row, &l))
		if l.Kind == "heard" {
			all[l.Process] = append(all[l.Process], l)
		}
	}
	return all
}

// Registers between processes whose messages are lost, duplicated, delayed and reordered, and whose members die and return.
// RuleRates checks that no call is counted twice and no dead member counts; the cases check that registers arrive at all.
func TestFleetRegisters(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes for some seconds")
	}
	program(t)
	four := "gatekeepers: 4\nservers: 4\nzones: 2\nstore_members: 0\nfleet: true\n"
	all := "g1 g2 g3 g4"
	t.Run("lost, duplicated, delayed and reordered", func(t *testing.T) {
		t.Parallel()
		sum := runAndCheck(t, four+"length: 14s\nfaults:\n  - {at: 1s, for: 11s, fault: loss, from: gatekeepers, to: gatekeepers, part: 0.3}\n"+
			"  - {at: 1s, for: 11s, fault: duplicate, from: gatekeepers, to: gatekeepers, part: 0.3}\n"+
			"  - {at: 1s, for: 11s, fault: reorder, from: gatekeepers, to: gatekeepers, part: 0.3}\n"+
			"  - {at: 1s, for: 11s, fault: delay, from: gatekeepers, to: gatekeepers, delay: 40ms, jitter: 40ms}\n")
		for name, rows := range heardRates(t, sum) {
			last := rows[len(rows)-1]
			require.Equal(t, all, last.Peer, "%s, after %d samples", name, len(rows))
			require.Greater(t, last.Value, 10.0, name)
		}
	})
	t.Run("a member dies and returns during a partition", func(t *testing.T) {
		t.Parallel()
		sum := runAndCheck(t, four+"length: 24s\nfaults:\n  - {at: 2s, for: 12s, fault: kill, target: g2}\n"+
			"  - {at: 4s, for: 9s, fault: partition, from: g1, to: g3+g4}\n")
		rows := heardRates(t, sum)["g3"]
		alone := false
		for _, r := range rows {
			alone = alone || r.Peer == "g3 g4"
		}
		require.True(t, alone, "g3 never counted only g4 and itself")
		require.Equal(t, all, rows[len(rows)-1].Peer)
		require.True(t, strings.Contains(log(t, sum, "g3"), "fleet: member given up"))
	})
}
