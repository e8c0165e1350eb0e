package capacity

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
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

// Inputs that are constants of the program equal the constants in the code, as far as the code exports them.
func TestInputsMatchProgram(t *testing.T) {
	in, err := ParseInputs(inputsFile, []byte(sources(t)[inputsFile]))
	require.NoError(t, err)
	seconds := func(m control.Micros) float64 { return float64(m) / 1e6 }
	for name, want := range map[string]float64{
		"lease_every":            seconds(quota.RenewInterval),
		"heartbeat_within":       seconds(session.DefaultHeartbeatTimeout),
		"register_every":         seconds(fleet.Topics[registers.Rates].MinInterval),
		"register_stale":         seconds(fleet.Topics[registers.Rates].MaxAge),
		"evidence_every":         seconds(fleet.Topics[registers.Evidence].MinInterval),
		"evidence_stale":         seconds(fleet.Topics[registers.Evidence].MaxAge),
		"connections_per_server": float64((&sip.PlatformDialer{}).MaxConns("")),
		"own_descriptors":        24 + ops.MaxOpenConns + 1,
	} {
		got, ok := in.Value(name)
		require.True(t, ok, name)
		require.Equal(t, want, got, name)
	}
}

// packagePath matches the path of a package in a text of the page.
var packagePath = regexp.MustCompile(`\b(internal|control)(/[a-z]+)+`)

// Every test that the page names exists.
func TestNamedTestsAreThere(t *testing.T) {
	testName := regexp.MustCompile(`Test\w+`)
	found := 0
	for _, f := range failureRows {
		for _, name := range testName.FindAllString(f.Tests, -1) {
			found++
			require.True(t, testExists(t, name), name)
		}
	}
	require.Greater(t, found, 8)
	require.False(t, testExists(t, "TestNoneOfThisName"))
}

// testExists reports whether one of the packages whose tests the page names has the test function.
func testExists(t *testing.T, name string) bool {
	t.Helper()
	for _, pattern := range []string{"*_test.go", "../../control/session/*_test.go", "../../cmd/beammux/*_test.go", "../scalelab/*_test.go"} {
		files, err := filepath.Glob(pattern)
		require.NoError(t, err)
		for _, file := range files {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			if strings.Contains(string(text), "func "+name+"(t *testing.T)") {
				return true
			}
		}
	}
	return false
}

// Every package that the page names exists.
func TestCarriersExist(t *testing.T) {
	named := 0
	requirePackages := func(text string) {
		for _, path := range packagePath.FindAllString(text, -1) {
			named++
			info, err := os.Stat("../../" + path)
			require.NoError(t, err, text)
			require.True(t, info.IsDir(), text)
		}
	}
	for _, role := range roles {
		for _, row := range role.Rows {
			requirePackages(row.Carrier)
		}
	}
	for _, f := range failureRows {
		requirePackages(f.Recovery + f.Tests)
	}
	for _, source := range sources(t) {
		in, err := ParseInputs(inputsFile, []byte(source))
		if err != nil {
			continue
		}
		for _, i := range in.Inputs {
			requirePackages(i.About)
		}
	}
	require.Greater(t, named, 30)
}
