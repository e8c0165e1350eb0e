package hollow

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"beammux/internal/store"
)

// Watchers that the control machine has cut off are counted separately from those that are still open.
func TestStuckWatchersCutOff(t *testing.T) {
	if testing.Short() {
		t.Skip("takes several seconds")
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	n, err := store.Open(store.Options{Node: "c1", Listener: l, Peers: []store.Peer{{Node: "c1", Address: l.Addr().String()}}, Log: log,
		Serve: &store.ServeOptions{Name: "c1", HeartbeatInterval: 100 * time.Millisecond}})
	require.NoError(t, err)
	defer n.Close()
	require.NoError(t, n.WaitReady(t.Context()))

	fresh := openStuckWatchers(t.Context(), l.Addr().String(), 3)
	require.Eventually(t, func() bool { return len(fresh.list(context.Background())) == 3 }, 5*time.Second, 20*time.Millisecond)
	cutOff, others := fresh.shutDown(t.Context())
	require.Zero(t, cutOff)
	require.Equal(t, 3, others)

	old := openStuckWatchers(t.Context(), l.Addr().String(), 3)
	time.Sleep(admissionDelay + 100*time.Millisecond)
	require.Eventually(t, func() bool { return len(old.list(context.Background())) == 0 }, 20*time.Second, 100*time.Millisecond)
	cutOff, others = old.shutDown(t.Context())
	require.Equal(t, 3, cutOff)
	require.Zero(t, others)
}
