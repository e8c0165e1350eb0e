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

// reasonBehind is the size of a value that a small connection holds whole, but not in the buffer of the side that is to read.
const reasonBehind = 36 << 10

// A change is sent when it is applied, not with the next heartbeat; a session whose prefixes it has nothing of is not woken.
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

// A client that takes what it is sent and never answers a heartbeat is dropped; one that answers stays.
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
	require.InDelta(t, silenceAfter(every).Seconds(), time.Since(began).Seconds(), 3)
	time.Sleep(10 * every)
	listed, err := SessionsFrom(within(t), nil, g.address(0))
	require.NoError(t, err)
	require.Len(t, listed, 1)
	require.Equal(t, "answers", listed[0].Name)
	require.Empty(t, c.ended)
}

// A report that is made before the first heartbeat holds nobody up, and is sent with it.
func TestReportFromSnapshot(t *testing.T) {
	g := newControlGroup(t, 1, 0, serveWith(func(s *ServeOptions) { s.HeartbeatInterval = 2 * time.Second }))
	g.put("settings/a", "1")
	reports := make(chan WatchReport)
	ctx, cancel := context.WithCancel(within(t))
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
		listed, err := SessionsFrom(within(t), nil, g.address(0))
		return err == nil && len(listed) == 1 && listed[0].Report.InForce > 0
	}, 5*time.Second, 10*time.Millisecond)
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
}

// The reason why a session ends reaches a client that has not read all before it yet, and goes on reporting meanwhile: the
// control machine must not close a connection on which reports come in, which would discard what is still to be sent.
func TestReasonReachesClientThatReports(t *testing.T) {
	g := slowGroup(t)
	held := g.put("settings/a", big[:reasonBehind])
	data, err := json.Marshal(command{Op: opWatch, Watch: &WatchRequest{Prefixes: []string{"settings/"}, Session: SessionInfo{Name: "reports"}}})
	require.NoError(t, err)
	c, err := dialSmall(t.Context(), "tcp", g.address(0))
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write(append(append([]byte{forwardByte}, data...), '\n'))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		listed, err := SessionsFrom(within(t), nil, g.address(0))
		return err == nil && len(listed) == 1 && listed[0].Sent == held
	}, 5*time.Second, 5*time.Millisecond)
	require.NoError(t, g.nodes[0].fsm.Restore(io.NopCloser(strings.NewReader(fmt.Sprintf(`{"version":1,"applied":%d}`, held+100)))))
	for range 5 { // while the reason is on its way
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

// A client ends a session whose control machine falls silent, such as one that is paused.
func TestSilentControlMachineIsLeft(t *testing.T) {
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
	require.ErrorAs(t, c.end(), &network)
	require.True(t, network.Timeout())
}

// A client ends a session in which the revision falls.
func TestFallingRevisionEndsSession(t *testing.T) {
	low := wireEvent{Kind: Snapshot, Revision: 3}
	var behind *ReplicaBehind
	require.ErrorAs(t, watchSession(t, answering(t, string(low.line())), WatchRequest{After: 4}).end(), &behind)
	require.Equal(t, ReplicaBehind{Have: 3, Want: 4}, *behind)
}

// A member that ends closes what it had open to the others, and the others' goroutines for it end.
func TestCloseLeavesNothing(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	nodes := group(t, 3)
	_, err := nodes[0].Put(within(t), "k", nil)
	require.NoError(t, err)
	for _, n := range nodes {
		n.Close()
	}
}

// A replica that is too far behind for the log gets raft's snapshot under its sessions: they are ended, resume with one
// snapshot, and a follower at that replica never holds a mix.
func TestInstalledSnapshotUnderSessions(t *testing.T) {
	g := newControlGroup(t, 1, 1, func(_ int, o *Options) { o.Dir, o.Sync = t.TempDir(), SyncInterval })
	all := &oracle{}
	write := func(from, count int) {
		for i := from; i < from+count; i++ {
			writes := []Write{{Key: "settings/a", Value: []byte(fmt.Sprint(i))}, {Key: "settings/b", Value: []byte(fmt.Sprint(i))}}
			revision, err := g.nodes[0].Transact(within(t), writes)
			require.NoError(t, err)
			all.note(revision, writes)
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
	g.cut(1, true)
	write(1, trailing+200)
	require.NoError(t, g.nodes[0].Compact())
	g.cut(1, false)
	reached()
	write(trailing+201, 5)
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
	require.Less(t, changes, trailing, "the changes were sent one by one")
}
