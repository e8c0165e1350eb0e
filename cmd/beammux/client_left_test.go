package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Limits for set-ups of a client that has left, by the operators' pages.
const (
	sentOnLimit  = 100*time.Millisecond + socketTolerance // after its close, for an attempt to begin
	releaseGuard = 300*time.Millisecond - socketTolerance // between the end of an attempt and the next one of the same call
)

// leavingClient sends set-ups on one connection, and closes it with most of them unread by the gatekeeper.
type leavingClient struct {
	ids    []string
	closed time.Time
}

// sendAndLeave sends set-ups and closes the connection at once.
func (c *leavingClient) sendAndLeave(t *testing.T, addr string) {
	var lines strings.Builder
	for _, id := range c.ids {
		fmt.Fprintf(&lines, `{"msg":"open","sid":%q,"attrs":{"class":"menu-view","left":"3000","key":"1"},"text":%q}`+"\n", id, "offer")
	}
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	io.WriteString(conn, lines.String())
	c.closed = time.Now()
	conn.Close()
}

// Guards against work for clients that have left: of set-ups that were unread when their client closed its connection none begins later
// than the limit, and an id that comes again on a new connection does not run while its first attempt does, nor within the release guard.
func TestSetupsOfClientsThatLeftAreNotSentOn(t *testing.T) {
	f := startFloodTarget(t)
	defer close(f.stop)
	f.server.capacity = 0
	const rounds, clients, setups = 3, 4, 5000
	var all []*leavingClient
	for range rounds {
		var wg sync.WaitGroup
		for range clients {
			first := &leavingClient{}
			for range setups {
				first.ids = append(first.ids, randomID())
			}
			again := &leavingClient{ids: first.ids[:setups/10]}
			all = append(all, first)
			wg.Go(func() {
				first.sendAndLeave(t, f.jsonAddr)
				again.sendAndLeave(t, f.jsonAddr)
			})
		}
		wg.Wait()
	}
	time.Sleep(2 * time.Second)
	f.server.mu.Lock()
	defer f.server.mu.Unlock()
	begun, late, twice := 0, 0, 0
	var worst time.Duration
	for _, c := range all {
		for i, id := range c.ids {
			times := f.server.invites[id]
			begun += len(times)
			if i >= setups/10 && len(times) > 0 {
				worst = max(worst, times[0].Sub(c.closed))
				if times[0].Sub(c.closed) > sentOnLimit {
					late++
				}
			}
			if len(times) > 1 && times[1].Sub(times[0]) < releaseGuard {
				twice++
			}
		}
	}
	t.Logf("%d of %d set-ups were sent on, %d of them late, the last %v after the close; %d ran twice", begun, rounds*clients*setups, late, worst, twice)
	require.Zero(t, late, "set-ups that were sent on after their client had left")
	require.Zero(t, twice, "calls that ran again within the release guard")
}
