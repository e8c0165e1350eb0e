package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLabDecisionWritesSeries(t *testing.T) {
	file := filepath.Join(t.TempDir(), "decision.json")
	out, errs, code := run(t, "lab", "decision", "--only", "quota_take", "--repeats", "2", "--span", "1ms", "--json", file)
	require.Zero(t, code, errs)
	require.Contains(t, out, "quota_take_us at 2200: ")
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	var report struct {
		Series []struct {
			Name, Unit, Of, Command, Date, Beside string
			Points                                []struct {
				N      int
				Values []float64
			}
		}
	}
	require.NoError(t, json.Unmarshal(text, &report))
	require.Len(t, report.Series, 1)
	s := report.Series[0]
	require.Equal(t, []string{"quota_take_us", "us", "rules"}, []string{s.Name, s.Unit, s.Of})
	require.True(t, strings.HasPrefix(s.Command, "bin/beammux lab decision --only quota_take"), s.Command)
	require.Contains(t, s.Beside, "load average")
	require.Len(t, s.Date, len("2026-12-02"))
	require.Len(t, s.Points, 6)
	for _, p := range s.Points {
		require.Len(t, p.Values, 2, "at %d", p.N)
		require.Positive(t, p.Values[0])
	}
}

func TestLabLatencyBadInput(t *testing.T) {
	for _, row := range []struct{ args, want string }{
		{"latency --sizes 0", "--sizes: 0 is not between 1 and 4000"},
		{"latency --rates=-1", "--rates: -1 is not between 0 and 2000"},
		{"latency --repeats 0", "each must be at least 1"},
		{"latency --length 0s", "--length, --warm, --state-every, --setup: must be over 0"},
		{"latency --append --sizes 34", "--append: "},
		{"decision --repeats 0", "--repeats must be at least 1"},
		{"decision --only no-such-step", "--only: no series"},
	} {
		_, errs, code := run(t, append([]string{"lab"}, strings.Fields(row.args)...)...)
		require.Equal(t, 1, code, row.args)
		require.Contains(t, errs, row.want, row.args)
	}
}
