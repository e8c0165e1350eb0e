package node

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/internal/protocol/sip/siptest"
)

// Guards against an evacuation whose connections no metric shows: what keeps each client's connection open must be visible.
func TestMetricsShowWhatKeepsConnectionsOpen(t *testing.T) {
	n := operatorsNode(t)
	server := withServer(t, n, 700*time.Millisecond)
	dial(t, n)
	busy := dial(t, n)
	sendSetup(busy, "00000000000000b1", "1", 3000)
	server.Wait("INVITE", siptest.IsMethod("INVITE"))
	shows := func(line string) func() bool {
		return func() bool {
			_, text := operatorsRequest(t, n, "GET", "/api/telemetry")
			return strings.Contains(text, line+"\n")
		}
	}
	require.Eventually(t, shows(`proxy_client_connections{front="json",state="idle"} 1`), time.Second, 10*time.Millisecond)
	require.True(t, shows(`proxy_client_connections{front="json",state="unanswered"} 1`)())
	operatorsRequest(t, n, "POST", "/api/evacuate")
	require.Eventually(t, shows(`proxy_client_connections{front="json",state="idle"} 0`), time.Second, 10*time.Millisecond)
	require.Eventually(t, shows(`proxy_client_connections{front="json",state="established"} 1`), time.Second, 10*time.Millisecond)
	require.False(t, shows(`proxy_evacuation_decisions_total{decision="close"} 0`)())
	require.True(t, shows(`proxy_evacuation_overdue_total 0`)())
}
