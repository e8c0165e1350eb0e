package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/control/drain"
	"beammux/internal/config"
	"beammux/internal/protocol/sip"
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

// Terms of the operators and of the protocol for an evacuation.
const (
	evacuatedWithin = 4*time.Second + 50*time.Millisecond // from the call until no connection is held
	crossing        = 50 * time.Millisecond               // a set-up that crosses the close of its connection is sent again
)

// Guards against SIP connections over TCP that an evacuated gatekeeper holds past their time because INVITEs on them overlap.
func TestEvacuationEndsSIPConnectionsInUse(t *testing.T) {
	n := testNode(t, &config.Deploy{SIPTCP: "127.0.0.1:0", DefaultClass: "menu-view"})
	withServer(t, n, time.Hour)
	client := siptest.New(t, nil)
	conn, err := net.Dial("tcp", n.agent.Addr("TCP"))
	require.NoError(t, err)
	defer conn.Close()
	final := make(chan map[string]int, 1) // final responses by Call-ID, once the connection has ended
	go func() {
		responses := map[string]int{}
		for in := sip.NewReader(bufio.NewReader(conn)); ; {
			m, err := in.Next()
			if err != nil {
				final <- responses
				return
			}
			if m.Status >= 200 {
				responses[m.Get("Call-ID")]++
			}
		}
	}()
	var sent []string
	sentAt := map[string]time.Time{}
	var endedAt time.Time
	var responses map[string]int
	n.Evacuate()
	evacuatedAt := time.Now()
	for i := 0; responses == nil; i++ {
		id := fmt.Sprintf("overlapping-%d", i)
		sent, sentAt[id] = append(sent, id), time.Now()
		conn.Write(client.Invite("TCP", id, "1", "").Set("Expires", "3").Append(nil))
		select {
		case responses = <-final:
			endedAt = time.Now()
		case <-time.After(70 * time.Millisecond):
		}
		require.Less(t, time.Since(evacuatedAt), evacuatedWithin, "the connection is open, %d INVITEs sent", len(sent))
	}
	for _, id := range sent {
		require.True(t, responses[id] == 1 || responses[id] == 0 && endedAt.Sub(sentAt[id]) <= crossing,
			"%s: %d final responses, the connection ended %v later", id, responses[id], endedAt.Sub(sentAt[id]))
	}
}

// metric returns the value of a metric.
func metric(t *testing.T, n *Node, name string) (value float64) {
	t.Helper()
	var text strings.Builder
	n.WriteMetrics(&text)
	_, rest, found := strings.Cut("\n"+text.String(), "\n"+name+" ")
	require.True(t, found, "no metric %s", name)
	_, err := fmt.Sscan(rest, &value)
	require.NoError(t, err)
	return value
}

// Guards against warnings about clients that connect to a gatekeeper long after it was evacuated: such a connection is closed soon, and is
// not overdue.
func TestConnectionsToAnEvacuatedGatekeeperAreClosedSoon(t *testing.T) {
	n := operatorsNode(t)
	n.Evacuate()
	time.Sleep(time.Duration(drain.CloseBy) * time.Microsecond)
	for range 3 {
		c := dial(t, n)
		opened := time.Now()
		c.SetReadDeadline(opened.Add(time.Second))
		_, err := c.Read(make([]byte, 1))
		require.Equal(t, io.EOF, err)
		require.Less(t, time.Since(opened), time.Second)
	}
	require.Zero(t, metric(t, n, "proxy_evacuation_overdue_total"))
}
