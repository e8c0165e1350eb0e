package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Limits for set-ups of a client that has left, by the operators' pages.
const (
	sentOnLimit  = 100*time.Millisecond + socketTolerance // after its close, for an attempt to begin
	releaseGuard = 300*time.Millisecond - socketTolerance // between the end of an attempt and the next one of the same call
)

// guardedClass returns the settings of oneClass with a release guard of 300 ms.
func guardedClass() string {
	return strings.TrimSuffix(oneClass, "}") + `,"extra":{"here":-1,"release-guard-us":300000,"t1-us":500000}}`
}

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
	f := startFloodTargetWith(t, guardedClass())
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

// comeAgain has clients send a set-up, leave soon after, and send it again with its id on a new connection. It returns the ids.
func (f *floodTarget) comeAgain() (ids []string) {
	const clients = 20
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			for end := time.Now().Add(900 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				id := randomID()
				mu.Lock()
				ids = append(ids, id)
				mu.Unlock()
				for range 2 {
					conn, err := net.Dial("tcp", f.jsonAddr)
					if err != nil {
						continue
					}
					fmt.Fprintf(conn, `{"msg":"open","sid":%q,"attrs":{"class":"menu-view","left":"3000","key":"1"},"text":"offer"}`+"\n", id)
					time.Sleep(rand.N(8 * time.Millisecond))
					conn.Close()
				}
			}
		})
	}
	wg.Wait()
	return ids
}

// requireNoneRanTwice requires that no call's set-up reached the server again within the release guard.
func (f *floodTarget) requireNoneRanTwice(t *testing.T, ids []string) {
	t.Helper()
	time.Sleep(1500 * time.Millisecond)
	f.server.mu.Lock()
	defer f.server.mu.Unlock()
	ran, twice := 0, 0
	for _, id := range ids {
		times := f.server.invites[id]
		ran += min(1, len(times))
		if len(times) > 1 && times[1].Sub(times[0]) < releaseGuard {
			twice++
		}
	}
	t.Logf("%d ids, %d ran, %d of them again within the release guard", len(ids), ran, twice)
	require.Positive(t, ran)
	require.Zero(t, twice)
}

// Guards against an id that runs twice when its client has left and comes again at the same process.
func TestSameIDAgainAtOneProcess(t *testing.T) {
	f := startFloodTargetWith(t, guardedClass())
	defer close(f.stop)
	f.server.capacity = 0
	f.requireNoneRanTwice(t, f.comeAgain())
}

// Guards against an id that runs twice when its client has left and comes again at the other process of a hand-over.
func TestSameIDAgainInAHandOver(t *testing.T) {
	f := startFloodTargetWith(t, guardedClass())
	defer close(f.stop)
	f.server.capacity = 0
	file := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(file, []byte(f.config(f.jsonAddr, guardedClass())), 0o600))
	cmd := newProgram("serve", "--log-format", "json", "--admin-addr", freeAddress(t))
	cmd.Env = append(cmd.Env, "PROXY_CONFIG="+file)
	startUntilLogged(t, cmd, "serving")
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	time.AfterFunc(300*time.Millisecond, func() { f.process.Signal(syscall.SIGTERM) })
	f.requireNoneRanTwice(t, f.comeAgain())
}
