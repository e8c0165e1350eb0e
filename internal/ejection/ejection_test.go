package ejection

import (
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"beammux/control"
	"beammux/control/outlier"
	"beammux/internal/counting"
	"beammux/internal/fleet/fleettest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Two of three gatekeepers observe that one of four servers fails: the third ejects the server too, before it has sent anything
// to it. Evidence that can't be decoded is ignored. A gatekeeper that publishes false evidence ejects no server and reports that
// it is isolated.
func TestMonitorsShareEvidence(t *testing.T) {
	names := []string{"g1", "g2", "g3"}
	g := &fleettest.Gossip{}
	g.SetUp(names...)
	g.SetValue("x", []byte{0xff})
	g.SetValue("y", []byte("hello"))
	began := time.Now()
	now := func() control.Micros { return 1e9 + control.Micros(time.Since(began).Microseconds()) }
	servers := []outlier.Server{{ID: 1}, {ID: 2}, {ID: 3}, {ID: 4}}
	falseEvidenceFile := filepath.Join(t.TempDir(), "lie")
	var mu sync.Mutex
	inFlightLimits := map[string]map[uint32]int{}
	monitors := map[string]*Monitor{}
	for _, name := range names {
		if name == "g3" {
			t.Setenv(FalseEvidenceVariable, falseEvidenceFile)
		}
		log, _ := logtest.NewNullLogger()
		inFlightLimits[name] = map[uint32]int{}
		monitor, err := New(Options{Name: name, MaxEjected: 0.3, Now: now, Log: log, Servers: func() []outlier.Server { return servers },
			SetBusyNumber: func(number string, _ control.Micros) {
				mu.Lock()
				inFlightLimits[name][0]++
				require.Equal(t, "555", number)
				mu.Unlock()
			},
			SetInFlightLimit: func(v control.InFlightLimit) { mu.Lock(); inFlightLimits[name][v.Server] = v.Max; mu.Unlock() }})
		require.NoError(t, err)
		monitors[name] = monitor
		monitor.Open(g.Member(name))
		defer monitor.Close()
	}
	observe := func(kind counting.Kind, server uint32, names ...string) {
		for _, name := range names {
			monitors[name].Observe(now(), counting.Event{Kind: kind, Server: server})
			monitors[name].Observe(now(), counting.Event{Kind: kind, Server: server})
		}
	}
	for _, s := range []uint32{1, 3, 4} {
		observe(counting.Answered, s, "g1", "g2", "g3")
	}
	require.NoError(t, os.WriteFile(falseEvidenceFile, nil, 0o600))
	require.Eventually(t, func() bool { s := monitors["g3"].Status(); return len(s.Isolated) == 1 && s.Advice != "" }, 10*time.Second, 5*time.Millisecond)
	require.Empty(t, monitors["g1"].Status().Servers)
	require.NoError(t, os.Remove(falseEvidenceFile))
	observe(counting.Errored, 2, "g1", "g2")
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		for _, r := range inFlightLimits {
			if limit, ok := r[2]; !ok || limit != 0 {
				return false
			}
		}
		return true
	}, 10*time.Second, 5*time.Millisecond, "all three eject the server")
	for _, name := range names[:2] {
		monitors[name].Observe(now(), counting.Event{Kind: counting.Busy, Number: "555"})
	}
	require.Eventually(t, func() bool { mu.Lock(); defer mu.Unlock(); return inFlightLimits["g3"][0] > 0 }, 10*time.Second, 5*time.Millisecond)
	n, total := monitors["g3"].Count(outlier.Ejected)
	require.Equal(t, 1, n)
	require.Equal(t, int64(1), total)
}
