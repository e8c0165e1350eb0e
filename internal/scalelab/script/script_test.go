package script

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLoadKinds(t *testing.T) {
	faults, err := Load("kill-leader+cut-region")
	require.NoError(t, err)
	require.Equal(t, []Fault{{At: 10 * time.Second, For: 10 * time.Second, Kind: KillLeader}, {At: 10 * time.Second, For: time.Minute, Kind: CutRegion}}, faults)
	require.Equal(t, 70*time.Second, End(faults))
	require.True(t, Contains(faults, CutRegion))
	require.False(t, Contains(faults, Restart))
	none, err := Load("")
	require.NoError(t, err)
	require.Empty(t, none)
}

func TestParseFile(t *testing.T) {
	faults, err := Parse("f.yaml", []byte("faults:\n- {at: 3s, fault: restart, count: 7, for: 1m}\n- {fault: latency, delay: 35ms}\n"))
	require.NoError(t, err)
	require.Equal(t, []Fault{{At: 3 * time.Second, For: time.Minute, Kind: Restart, Count: 7}, {Kind: Latency, Delay: 35 * time.Millisecond}}, faults)
}

func TestInvalidScriptErrors(t *testing.T) {
	for text, want := range map[string]string{
		"faults:\n- {fault: restart}\n- {fault: kill-leder}\n": `f.yaml:3: fault "kill-leder" is no kind; did you mean "kill-leader"?`,
		"faults:\n- {fault: restart, at: soon}\n":              `f.yaml:2: at is "soon", must be a duration from 0 to 1h0m0s, such as 10s`,
		"faults:\n- {fault: restart, count: -1}\n":             `f.yaml:2: count is -1, must be 0 to 100000`,
		"faults:\n- {fault: latency, delay: 5s}\n":             `f.yaml:2: delay is "5s", must be a duration from 0 to 1s, such as 10s`,
		"fault:\n- {fault: latency}\n":                         `f.yaml: unmarshal errors`,
		"faults:\n- {fault: latency, much: 1}\n":               `f.yaml:2: unmarshal errors`,
		"faults: [\n":                                          `f.yaml: `,
	} {
		_, err := Parse("f.yaml", []byte(text))
		require.ErrorContains(t, err, want)
		var typed *Error
		require.True(t, errors.As(err, &typed))
		require.Contains(t, typed.Advice(), "kill-leader")
	}
	_, err := Load("kill-leader+paus-control")
	require.ErrorContains(t, err, `"paus-control" is no kind of fault`)
	_, err = Load("./no-such-file.yaml")
	require.ErrorContains(t, err, "cannot be read")
}
