package store

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// unreadValueSize is the size of a value that fits into both buffers of a small connection together, but not into the receive
// buffer alone.
const unreadValueSize = 36 << 10

// A change is sent when it is applied, not with the next heartbeat; a session with other prefixes is not woken.
func TestChangeIsSentAtOnce(t *testing.T) {
	g := newControlGroup(t, 1, 0, serveWith(func(s *ServeOptions) { s.HeartbeatInterval = time.Hour }))
	g.put("settings/a/1", "1")
	c := watchSession(t, g.address(0), WatchRequest{Prefixes: []string{"settings/a/"}})
	other := watchSession(t, g.address(0), WatchRequest{Prefixes: []string{"settings/b/"}, Session: SessionInfo{Name: "g2"}})
	c.next(Snapshot)
	c.next(Heartbeat)
	other.next(Snapshot)
	other.next(Heartbeat)
	for i := range 20 {
		revision := g.put("settings/a/1", fmt.Sprint(i))
		require.Equal(t, revision, c.next(Change).Revision)
	}
	require.Empty(t, other.events)
}

// A client that reads but never answers a heartbeat is dropped; one that answers stays connected.
func TestSilentClientIsDropped(t *testing.T) {
	t.Parallel()
	g := newControlGroup(t, 1, 0, nil)
	g.put("settings/a", "1")
	c := watchSession(t, g.address(0), WatchRequest{Session: SessionInfo{Name: "answers"}})
	c.next(Snapshot)
	data, err := json.Marshal(command{Op: opWatch, Watch: &WatchRequest{Prefixes: []string{"settings/"}, Session: SessionInfo{Name: "silent"}}})
	require.NoError(t, err)
	silent, err := net.Dial("tcp", g.address(0))
	require.NoError(t, err)
	defer silent.Close()
	_, err = silent.Write(append(append([]byte{forwardByte}, data...), '\n'))
	require.NoError(t, err)
	began := time.Now()
	silent.SetReadDeadline(began.Add(30 * time.Second))
	in := bufio.NewReader(silent)
	for err == nil {
		_, err = in.ReadBytes('\n')
	}
	every := 50 * time.Millisecond
	require.InDelta(t, idleTimeoutFor(every).Seconds(), time.Since(began).Seconds(), 3)
	time.Sleep(10 * every)
	listed, err := SessionsFrom(testContext(t), nil, g.address(0))
	require.NoError(t, err)
	require.Len(t, listed, 1)
	require.Equal(t, "answers", listed[0].Name)
	require.Empty(t, c.ended)
}

// A report made before the first heartbeat does not block its sender, and is sent with that heartbeat.
func TestReportBeforeFirstHeartbeat(t *testing.T) {
	g := newControlGroup(t, 1, 0, serveWith(func(s *ServeOptions) { s.HeartbeatInterval = 2 * time.Second }))
	g.put("settings/a", "1")
	reports := make(chan WatchReport)
	ctx, cancel := context.WithCancel(testContext(t))
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		ended <- WatchSession(ctx, nil, g.address(0), WatchRequest{Prefixes: []string{"settings/"}}, reports, func(e WatchEvent) error {
			if e.Kind == Snapshot {
				reports <- WatchReport{InForce: e.Revision}
			}
			return nil
		})
	}()
	require.Eventually(t, func() bool {
		listed, err := SessionsFrom(testContext(t), nil, g.address(0))
		return err == nil && len(listed) == 1 && listed[0].Report.InForce > 0
	}, 5*time.Second, 10*time.Millisecond)
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
}

// The error that ends a session reaches a client that has unread data before it and still sends reports: closing the
// connection while reports arrive would reset it and discard the data that is still to be sent.
func TestReasonReachesClientThatReports(t *testing.T) {
	g := slowGroup(t)
	held := g.put("settings/a", oversizedValue[:unreadValueSize])
	data, err := json.Marshal(command{Op: opWatch, Watch: &WatchRequest{Prefixes: []string{"settings/"}, Session: SessionInfo{Name: "reports"}}})
	require.NoError(t, err)
	c, err := dialSmallBuffer(t.Context(), "tcp", g.address(0))
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write(append(append([]byte{forwardByte}, data...), '\n'))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		listed, err := SessionsFrom(testContext(t), nil, g.address(0))
		return err == nil && len(listed) == 1 && listed[0].Sent == held
	}, 5*time.Second, 5*time.Millisecond)
	require.NoError(t, g.nodes[0].fsm.Restore(io.NopCloser(strings.NewReader(fmt.Sprintf(`{"version":1,"applied":%d}`, held+100)))))
	for range 5 { // while the error is in transit
		time.Sleep(20 * time.Millisecond)
		c.Write([]byte("{}\n"))
	}
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	in := json.NewDecoder(c)
	for {
		var r result
		require.NoError(t, in.Decode(&r))
		if r.Fault != "" {
			var back *ComeBack
			require.ErrorAs(t, r.error(""), &back)
			return
		}
	}
}

// A client ends a session whose control machine sends nothing, for example because it is paused.
func TestSilentControlMachineEndsSession(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		beat := wireEvent{Kind: Heartbeat, Revision: 3, Every: 50 * time.Millisecond}
		c.Write(beat.line())
		for in := bufio.NewReader(c); err == nil; {
			_, err = in.ReadBytes('\n')
		}
	}()
	c := watchSession(t, l.Addr().String(), WatchRequest{After: 3})
	c.next(Heartbeat)
	var network net.Error
	require.ErrorAs(t, c.waitEnd(), &network)
	require.True(t, network.Timeout())
}

// A client ends a session in which the revision decreases.
func TestFallingRevisionEndsSession(t *testing.T) {
	low := wireEvent{Kind: Snapshot, Revision: 3}
	var behind *ReplicaBehind
	require.ErrorAs(t, watchSession(t, startFixedAnswer(t, string(low.line())), WatchRequest{After: 4}).waitEnd(), &behind)
	require.Equal(t, ReplicaBehind{Have: 3, Want: 4}, *behind)
}

// Closing a member closes its connections to the other members and ends their goroutines for it.
func TestCloseReleasesConnections(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	nodes := openGroup(t, 3)
	_, err := nodes[0].Put(testContext(t), "k", nil)
	require.NoError(t, err)
	for _, n := range nodes {
		n.Close()
	}
}

// A replica that is too far behind for the log gets a snapshot from raft while it serves sessions: the sessions end and resume
// with one snapshot, and a follower at that replica never holds a mixture of the old and the new state.
func TestInstalledSnapshotUnderSessions(t *testing.T) {
	g := newControlGroup(t, 1, 1, func(_ int, o *Options) { o.Dir, o.Sync = t.TempDir(), SyncInterval })
	all := &oracle{}
	write := func(from, count int) {
		for i := from; i < from+count; i++ {
			writes := []Write{{Key: "settings/a", Value: []byte(fmt.Sprint(i))}, {Key: "settings/b", Value: []byte(fmt.Sprint(i))}}
			revision, err := g.nodes[0].Transact(testContext(t), writes)
			require.NoError(t, err)
			all.record(revision, writes)
		}
	}
	write(0, 1)
	f := &follower{name: "f", prefixes: []string{"settings/"}, pick: func() string { return g.address(1) }}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var running sync.WaitGroup
	running.Go(func() { f.run(ctx) })
	reached := func() {
		newest := all.revisions[len(all.revisions)-1]
		require.Eventually(t, func() bool { return f.reached(newest) }, 20*time.Second, 5*time.Millisecond)
	}
	reached()
	g.disconnect(1, true)
	write(1, trailingLogs+200)
	require.NoError(t, g.nodes[0].Compact())
	g.disconnect(1, false)
	reached()
	write(trailingLogs+201, 5)
	reached()
	stop()
	running.Wait()
	require.True(t, g.nodes[1].sessions.history.wasReset(0), "raft installed no snapshot")
	f.check(t, all)
	changes := 0
	for _, e := range f.events {
		if e.kind == Change {
			changes++
		}
	}
	require.Less(t, changes, trailingLogs, "the changes were sent one by one")
}
