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

// Two of three gatekeepers see one of four servers fail: the third is told to keep away too, before it has sent anything there;
// evidence that can't be read is passed over, and one that lies ejects nobody and is shown that it is isolated.
func TestMonitors(t *testing.T) {
	names := []string{"g1", "g2", "g3"}
	g := &fleettest.Gossip{}
	g.SetUp(names...)
	g.SetValue("x", []byte{0xff})
	g.SetValue("y", []byte("hello"))
	began := time.Now()
	now := func() control.Micros { return 1e9 + control.Micros(time.Since(began).Microseconds()) }
	servers := []outlier.Server{{ID: 1}, {ID: 2}, {ID: 3}, {ID: 4}}
	lie := filepath.Join(t.TempDir(), "lie")
	var mu sync.Mutex
	rooms := map[string]map[uint32]int{}
	monitors := map[string]*Monitor{}
	for _, name := range names {
		if name == "g3" {
			t.Setenv(FalseEvidenceVariable, lie)
		}
		log, _ := logtest.NewNullLogger()
		rooms[name] = map[uint32]int{}
		j, err := New(Options{Name: name, MaxEjected: 0.3, Now: now, Log: log, Servers: func() []outlier.Server { return servers },
			SetBusyNumber: func(number string, _ control.Micros) {
				mu.Lock()
				rooms[name][0]++
				require.Equal(t, "555", number)
				mu.Unlock()
			},
			SetInFlightLimit: func(v control.InFlightLimit) { mu.Lock(); rooms[name][v.Server] = v.Max; mu.Unlock() }})
		require.NoError(t, err)
		monitors[name] = j
		j.Open(g.Member(name))
		defer j.Close()
	}
	see := func(what counting.Kind, server uint32, names ...string) {
		for _, name := range names {
			monitors[name].Observe(now(), counting.Event{Kind: what, Server: server})
			monitors[name].Observe(now(), counting.Event{Kind: what, Server: server})
		}
	}
	for _, s := range []uint32{1, 3, 4} {
		see(counting.Answered, s, "g1", "g2", "g3")
	}
	require.NoError(t, os.WriteFile(lie, nil, 0o600))
	require.Eventually(t, func() bool { s := monitors["g3"].Status(); return len(s.Isolated) == 1 && s.Advice != "" }, 10*time.Second, 5*time.Millisecond)
	require.Empty(t, monitors["g1"].Status().Servers)
	require.NoError(t, os.Remove(lie))
	see(counting.Errored, 2, "g1", "g2")
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		for _, r := range rooms {
			if room, ok := r[2]; !ok || room != 0 {
				return false
			}
		}
		return true
	}, 10*time.Second, 5*time.Millisecond, "all three keep away")
	for _, name := range names[:2] {
		monitors[name].Observe(now(), counting.Event{Kind: counting.Busy, Number: "555"})
	}
	require.Eventually(t, func() bool { mu.Lock(); defer mu.Unlock(); return rooms["g3"][0] > 0 }, 10*time.Second, 5*time.Millisecond)
	n, ever := monitors["g3"].Count(outlier.Ejected)
	require.Equal(t, 1, n)
	require.Equal(t, int64(1), ever)
}
