package controlmachine

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"beammux/control"
	"beammux/internal/config"
	"beammux/internal/porttest"
	"beammux/internal/store"
)

// testSite returns a site that allows at most three attempts per call.
func testSite(t *testing.T) *control.Site {
	t.Helper()
	s, err := control.ParseSite(`{"bounds":{"attempts-cap":3},"classes":[{"name":"menu-view","repeat":"read_like","deadline-us":9000000}]}`)
	require.NoError(t, err)
	return s
}

// Check reports all faults of all writes, and skips deletes and other records. Without a site it checks only the structure.
func TestCheck(t *testing.T) {
	writes := []store.Write{
		{Key: "settings/all/calls", Value: []byte(`{"defaults":{"attempts":4}}`)},
		{Key: "settings/zone/z/limits", Value: []byte("{\"parts\":1,\n\"rule\":[]}")},
		{Key: "settings/all/unknown", Delete: true},
		{Key: "inventory", Value: []byte("anything")},
		{Key: "settingsx", Value: nil},
		{Key: "settings/", Value: []byte("{}")},
	}
	err := Check(writes, testSite(t))
	require.Error(t, err)
	require.Equal(t, []string{
		"settings/all/calls:1:14: calls.defaults.attempts: 4 is over 3, the most that the deployment allows",
		"settings/zone/z/limits:1:1: fleet.limits: rules is missing",
		`settings/zone/z/limits:2:1: fleet.limits.rule: unknown key; did you mean "rules"?`,
		"settings/: is no key of settings: the scope is one of all, region, zone, service, gatekeeper: for instance settings/zone/NAME/limits",
	}, strings.Split(err.Error(), "\n"))
	require.NoError(t, Check(writes[:1], nil))
	require.Error(t, Check(writes[1:2], nil))
	require.NoError(t, Check(writes[2:5], testSite(t)))
}

// singleMachineConfig returns the configuration of a group of one control machine.
func singleMachineConfig(t *testing.T) *config.ControlMachine {
	t.Helper()
	address := porttest.Reserve(t)
	return &config.ControlMachine{Name: "c1", AdminAddr: "127.0.0.1:0", Store: config.Store{Node: "c1", Listen: address,
		Peers: []config.StorePeer{{Node: "c1", Address: address}}}}
}

// A machine reports ready after its start and not ready while it drains, and leaves no goroutine behind.
func TestMachineReadiness(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	log, lines := logtest.NewNullLogger()
	m, err := Start(t.Context(), singleMachineConfig(t), log)
	require.NoError(t, err)
	require.True(t, m.Ready())
	require.NotEmpty(t, m.OperatorsAddr())
	var figures strings.Builder
	m.WriteMetrics(&figures)
	require.Contains(t, figures.String(), "proxy_control_ready 1\n")
	require.Contains(t, figures.String(), "proxy_control_leads 1\n")
	drained := make(chan struct{})
	go func() { defer close(drained); m.Drain() }()
	require.Eventually(t, func() bool { return !m.Ready() }, 5*time.Second, time.Millisecond)
	<-drained
	require.Equal(t, "drained", lines.LastEntry().Message)
}

// A start that waits for its group returns an error when its context is done, and leaves no goroutine behind.
func TestStartCanceled(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	cfg := singleMachineConfig(t)
	cfg.Store.Peers = append(cfg.Store.Peers, config.StorePeer{Node: "c2", Address: "127.0.0.1:1"})
	log, _ := logtest.NewNullLogger()
	log.SetLevel(logrus.PanicLevel)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err := Start(ctx, cfg, log)
	require.ErrorContains(t, err, "start canceled while waiting for the group")
}
