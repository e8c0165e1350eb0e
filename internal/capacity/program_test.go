package capacity

import (
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"beammux/control"
	"beammux/control/quota"
	"beammux/control/registers"
	"beammux/control/session"
	"beammux/internal/fleet"
	"beammux/internal/ops"
	"beammux/internal/protocol/sip"
)

// Inputs that are constants of the program are those of the code, as far as the code exports them.
func TestInputsOfTheProgram(t *testing.T) {
	in, err := ParseInputs(inputsFile, []byte(sources(t)[inputsFile]))
	require.NoError(t, err)
	seconds := func(m control.Micros) float64 { return float64(m) / 1e6 }
	for name, want := range map[string]float64{
		"lease_every":            seconds(quota.RenewInterval),
		"heartbeat_within":       seconds(session.DefaultHeartbeatWithin),
		"register_every":         seconds(fleet.Topics[registers.Rates].Every),
		"register_stale":         seconds(fleet.Topics[registers.Rates].Stale),
		"evidence_every":         seconds(fleet.Topics[registers.Evidence].Every),
		"evidence_stale":         seconds(fleet.Topics[registers.Evidence].Stale),
		"connections_per_server": float64((&sip.PlatformDialer{}).MaxConns("")),
		"own_descriptors":        24 + ops.ConnsMost + 1,
	} {
		got, ok := in.Value(name)
		require.True(t, ok, name)
		require.Equal(t, want, got, name)
	}
}

var packagePath = regexp.MustCompile(`\b(internal|control)(/[a-z]+)+`)

// Packages that the page names are there.
func TestCarriersAreThere(t *testing.T) {
	named := 0
	there := func(text string) {
		for _, path := range packagePath.FindAllString(text, -1) {
			named++
			info, err := os.Stat("../../" + path)
			require.NoError(t, err, text)
			require.True(t, info.IsDir(), text)
		}
	}
	for _, role := range roles {
		for _, row := range role.Rows {
			there(row.Carrier)
		}
	}
	for _, f := range failureRows {
		there(f.Right + f.Run)
	}
	for _, one := range sources(t) {
		in, err := ParseInputs(inputsFile, []byte(one))
		if err != nil {
			continue
		}
		for _, i := range in.Inputs {
			there(i.About)
		}
	}
	require.Greater(t, named, 30)
}
