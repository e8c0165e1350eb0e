package store

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// serveWith returns a configure function for newControlGroup that changes each member's ServeOptions.
func serveWith(change func(s *ServeOptions)) func(int, *Options) {
	return func(_ int, o *Options) { change(o.Serve) }
}

// A client whose revision is no longer in the history gets a snapshot; other clients get only the later changes.
func TestHistoryTooOld(t *testing.T) {
	g := newControlGroup(t, 1, 0, serveWith(func(s *ServeOptions) { s.HistorySize = 3 }))
	var revisions []uint64
	for i := range 6 {
		revisions = append(revisions, g.put(fmt.Sprint("settings/", i), "v"))
	}
	c := watchSession(t, g.address(0), WatchRequest{After: revisions[1]})
	e := c.next(Snapshot)
	require.Equal(t, revisions[5], e.Revision)
	require.Len(t, e.Records, 6)
	c = watchSession(t, g.address(0), WatchRequest{After: revisions[2]})
	for i := 3; i < 6; i++ {
		require.Equal(t, revisions[i], c.next(Change).Revision)
	}
}

// Clients never see a part of a transaction, neither in a snapshot that is taken during writes nor after a resume.
func TestTransactionsAreAtomicForClients(t *testing.T) {
	g := newControlGroup(t, 1, 0, nil)
	ctx, stop := context.WithTimeout(t.Context(), 1500*time.Millisecond) // duration of the writes
	defer stop()
	written := make(chan struct{})
	go func() {
		defer close(written)
		for i := 0; ctx.Err() == nil; i++ {
			value := []byte(fmt.Sprint(i))
			g.nodes[0].Transact(ctx, []Write{{Key: "settings/a", Value: value}, {Key: "settings/b", Value: value}, {Key: "settings/c", Value: value, Delete: i%2 == 0}})
		}
	}()
	events, snapshots := 0, 0
	for after := uint64(0); ctx.Err() == nil; {
		c := watchSession(t, g.address(0), WatchRequest{After: after})
		for range 5 {
			e := <-c.events
			if e.Kind == Heartbeat || len(e.Records) == 0 {
				continue
			}
			events++
			held := map[string]string{}
			for _, r := range e.Records {
				held[r.Key] = string(r.Value)
			}
			require.Equal(t, held["settings/a"], held["settings/b"], "%+v", e)
			if c, ok := held["settings/c"]; ok && c != "" {
				require.Equal(t, held["settings/a"], c, "%+v", e)
			}
			after = e.Revision
			if e.Kind == Snapshot {
				snapshots++
			}
		}
		c.leave()
		if events%3 == 0 {
			after = 0
		}
	}
	<-written
	require.Greater(t, events, 20)
	require.Greater(t, snapshots, 3)
}

// smallBufferListener is a listener whose connections have small send buffers.
type smallBufferListener struct{ net.Listener }

func (l smallBufferListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		err = c.(*net.TCPConn).SetWriteBuffer(16 << 10)
	}
	return c, err
}

// dialSmallBuffer connects with a small receive buffer.
func dialSmallBuffer(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err == nil {
		err = c.(*net.TCPConn).SetReadBuffer(16 << 10)
	}
	return c, err
}

// slowGroup starts one control machine with a short history and small buffers, for tests with slow clients.
func slowGroup(t *testing.T) *controlGroup {
	return newControlGroup(t, 1, 0, func(_ int, o *Options) {
		o.Serve.HistorySize = 4
		o.Listener = smallBufferListener{o.Listener}
	})
}

// oversizedValue is a value that exceeds the buffers of a connection.
var oversizedValue = strings.Repeat("x", 128<<10)

// The session of a client that reads too slowly ends with *WatcherTooSlow, even if the client sends reports before it reads the
// error. The client resumes with a snapshot.
func TestSlowWatcher(t *testing.T) {
	g := slowGroup(t)
	g.put("settings/a", "begin")
	var last uint64
	reports := make(chan WatchReport)
	begun, changes := false, 0
	err := WatchSession(testContext(t), dialSmallBuffer, g.address(0), WatchRequest{Prefixes: []string{"settings/"}, Session: SessionInfo{Name: "slow"}}, reports, func(e WatchEvent) error {
		require.GreaterOrEqual(t, e.Revision, last)
		last = e.Revision
		switch {
		case e.Kind == Heartbeat && !begun:
			begun = true
			g.put("settings/a", "first")
		case e.Kind == Change && changes == 0: // the client does not read during these writes
			changes++
			for i := range 8 {
				g.put("settings/a", fmt.Sprint(i, oversizedValue))
			}
		case e.Kind == Change:
			for range 10 {
				reports <- WatchReport{InForce: e.Revision}
				time.Sleep(20 * time.Millisecond)
			}
		}
		return nil
	})
	var slow *WatcherTooSlow
	require.ErrorAs(t, err, &slow)
	c := watchSession(t, g.address(0), WatchRequest{After: last, Session: SessionInfo{Name: "slow"}})
	e := c.next(Snapshot)
	require.Greater(t, e.Revision, last)
	require.Len(t, e.Records, 1)
}

// A client that reads nothing blocks neither writes nor other sessions, does not make memory grow with the writes, and is
// disconnected.
func TestClientThatNeverReads(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	g := slowGroup(t)
	defer g.close()
	g.put("settings/a", "begin")
	const silent = 10
	for i := range silent {
		data, err := json.Marshal(command{Op: opWatch, Watch: &WatchRequest{Prefixes: []string{"settings/"}, Session: SessionInfo{Name: fmt.Sprint("s", i)}}})
		require.NoError(t, err)
		c, err := dialSmallBuffer(t.Context(), "tcp", g.address(0))
		require.NoError(t, err)
		defer c.Close()
		_, err = c.Write(append(append([]byte{forwardByte}, data...), '\n'))
		require.NoError(t, err)
	}
	reader := watchSession(t, g.address(0), WatchRequest{Session: SessionInfo{Name: "reader"}})
	reader.next(Snapshot)
	sessions := func() int {
		s, err := SessionsFrom(testContext(t), nil, g.address(0))
		require.NoError(t, err)
		return len(s)
	}
	require.Eventually(t, func() bool { return sessions() == silent+1 }, 5*time.Second, 5*time.Millisecond)
	const writes = 40
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range writes {
		began := time.Now()
		revision := g.put("settings/a", fmt.Sprint(i, oversizedValue))
		require.Equal(t, revision, reader.next(Change).Revision)
		require.Less(t, time.Since(began), writeTimeout, "a silent session delays a write")
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	// Each write adds an encoded entry to raft's in-memory log. Queues of the silent sessions would take ten times as much.
	grown, written := int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(writes*len(oversizedValue))
	t.Logf("heap grew by %d KB over %d KB of writes with %d silent sessions", grown>>10, written>>10, silent)
	require.Less(t, grown, 4*written)
	require.Eventually(t, func() bool { return sessions() == 1 }, 3*writeTimeout, 20*time.Millisecond, "silent sessions are not disconnected")
	reader.leave()
}

// A replica with a lower revision than the client answers *ReplicaBehind after a short wait; one that catches up within that
// wait serves the session.
func TestReplicaBehind(t *testing.T) {
	t.Parallel()
	g := newControlGroup(t, 3, 1, nil)
	revision := g.put("settings/a", "1")
	require.NoError(t, g.nodes[3].fsm.wait(testContext(t), revision))
	g.disconnect(3, true)
	ahead := g.put("settings/a", "2")
	began := time.Now()
	var behind *ReplicaBehind
	require.ErrorAs(t, watchSession(t, g.address(3), WatchRequest{After: ahead}).waitEnd(), &behind)
	require.Equal(t, ReplicaBehind{Have: revision, Want: ahead}, *behind)
	require.InDelta(t, catchUpTimeout.Seconds(), time.Since(began).Seconds(), 1)

	c := watchSession(t, g.address(3), WatchRequest{After: revision})
	c.until(func(e WatchEvent) bool { return e.Revision == revision })
	waits := watchSession(t, g.address(3), WatchRequest{After: ahead})
	time.Sleep(catchUpTimeout / 10)
	g.disconnect(3, false)
	// An unconditional write that is retried after a lost answer may be applied twice; then ahead is the second revision.
	change := c.next(Change)
	require.Greater(t, change.Revision, revision)
	for change.Revision < ahead {
		require.Equal(t, "2", string(change.Records[0].Value))
		change = c.next(Change)
	}
	require.Equal(t, ahead, change.Revision)
	require.Equal(t, "2", string(change.Records[0].Value))
	waits.until(func(e WatchEvent) bool { return e.Revision == ahead })
}

// A replica without a leader continues to serve its records, and its heartbeats contain the time since the last contact.
func TestAgeWithoutLeader(t *testing.T) {
	g := newControlGroup(t, 3, 1, nil)
	revision := g.put("settings/a", "1")
	require.NoError(t, g.nodes[3].fsm.wait(testContext(t), revision))
	c := watchSession(t, g.address(3), WatchRequest{})
	c.next(Snapshot)
	e := c.until(func(e WatchEvent) bool { return e.Age < 300*time.Millisecond })
	require.Equal(t, 50*time.Millisecond, e.Every)
	g.disconnect(3, true)
	cutAt := time.Now()
	c.until(func(e WatchEvent) bool { return e.Age > 700*time.Millisecond })
	require.Greater(t, time.Since(cutAt), 300*time.Millisecond)
	late := watchSession(t, g.address(3), WatchRequest{Session: SessionInfo{Name: "g2"}})
	require.Len(t, late.next(Snapshot).Records, 1)
	g.disconnect(3, false)
	c.until(func(e WatchEvent) bool { return e.Age < 300*time.Millisecond })
	leader := watchSession(t, g.address(g.leader()), WatchRequest{Session: SessionInfo{Name: "g3"}})
	require.Zero(t, leader.next(Snapshot).Age)
	require.Zero(t, leader.next(Heartbeat).Age)
}

// When raft restores a snapshot while a session is open, the session ends with *ComeBack before any of the new state is sent,
// and the client gets that state as one snapshot when it reconnects.
func TestRestoreUnderSession(t *testing.T) {
	g := newControlGroup(t, 1, 0, nil)
	held := g.put("settings/a", "1")
	c := watchSession(t, g.address(0), WatchRequest{})
	c.next(Snapshot)
	other := newMachine()
	for i := range 50 {
		other.Apply(logEntry(t, uint64(i)+held+100, command{Op: opPut, Key: fmt.Sprint("settings/", i), Value: []byte("new")}))
	}
	s, err := other.Snapshot()
	require.NoError(t, err)
	sink := &memSink{}
	require.NoError(t, s.Persist(sink))
	require.NoError(t, g.nodes[0].fsm.Restore(io.NopCloser(&sink.Buffer)))
	var back *ComeBack
	require.ErrorAs(t, c.waitEnd(), &back)
	close(c.events)
	for e := range c.events {
		require.Equal(t, Heartbeat, e.Kind, "a part of the new state was sent")
		require.LessOrEqual(t, e.Revision, held)
	}
	require.Less(t, back.After, time.Second)
	time.Sleep(back.After)
	e := watchSession(t, g.address(0), WatchRequest{After: held}).next(Snapshot)
	require.Len(t, e.Records, 50)
	require.Equal(t, held+149, e.Revision)
}

// Sessions at other members continue when the leader is closed, and miss no change.
func TestSessionsSurviveLeaderLoss(t *testing.T) {
	g := newControlGroup(t, 3, 1, nil)
	g.putAll("settings/a", "1")
	leader := g.leader()
	member := (leader + 1) % 3
	sessions := []*client{watchSession(t, g.address(member), WatchRequest{}), watchSession(t, g.address(3), WatchRequest{Session: SessionInfo{Name: "g2"}})}
	for _, c := range sessions {
		c.next(Snapshot)
	}
	g.nodes[leader].Close()
	revision, err := g.nodes[member].Transact(testContext(t), []Write{{Key: "settings/a", Value: []byte("2")}})
	require.NoError(t, err)
	for _, c := range sessions {
		e := c.next(Change)
		require.Equal(t, revision, e.Revision)
		require.Equal(t, "2", string(e.Records[0].Value))
		c.until(func(e WatchEvent) bool { return e.Revision >= revision })
	}
}

// Beyond its admission rates a control machine answers *ComeBack with a delay, and admits clients that return after it.
func TestAdmissionOfSessions(t *testing.T) {
	g := newControlGroup(t, 1, 0, serveWith(func(s *ServeOptions) {
		s.Admission = AdmissionOptions{SessionsPerSecond: 5, SessionsBurst: 3, SnapshotsPerSecond: 5, SnapshotsBurst: 3}
	}))
	require.NoError(t, g.nodes[0].WaitReady(testContext(t)))
	g.put("settings/a", "1")
	const clients = 8
	began := time.Now()
	admitted := make(chan time.Duration, clients)
	refused := make(chan time.Duration, clients)
	ctx, cancel := context.WithCancel(testContext(t))
	defer cancel()
	for i := range clients {
		go func() {
			for ctx.Err() == nil {
				r := WatchRequest{Prefixes: []string{"settings/"}, Session: SessionInfo{Name: fmt.Sprint("g", i)}}
				first := true
				err := WatchSession(ctx, nil, g.address(0), r, nil, func(WatchEvent) error {
					if first {
						admitted <- time.Since(began)
					}
					first = false
					return nil
				})
				if back, ok := err.(*ComeBack); ok {
					refused <- back.After
					time.Sleep(back.After)
				}
			}
		}()
	}
	var last time.Duration
	for range clients {
		select {
		case last = <-admitted:
		case <-time.After(15 * time.Second):
			t.Fatal("not all clients were admitted")
		}
	}
	require.Greater(t, last, 900*time.Millisecond, "at 5 per second, the five clients beyond the burst need a second")
	require.Len(t, refused, clients-3, "a client that returned after its delay was refused again")
}

// Requests that can't be served are refused with *BadRequest.
func TestBadSessions(t *testing.T) {
	g := newControlGroup(t, 1, 0, nil)
	var bad *BadRequest
	for _, prefixes := range [][]string{{}, {"settings/", "secrets/"}, make([]string, maxPrefixes+1)} {
		require.ErrorAs(t, watchSession(t, g.address(0), WatchRequest{Prefixes: prefixes}).waitEnd(), &bad, "%q", prefixes)
	}
}

// A member that has no leader and has not replayed its log serves no session.
func TestNotReadyServesNoSession(t *testing.T) {
	t.Parallel()
	g := newControlGroup(t, 1, 0, func(_ int, o *Options) {
		o.Peers = append(o.Peers, Peer{Node: "absent", Address: "127.0.0.1:1"})
	})
	require.ErrorIs(t, watchSession(t, g.address(0), WatchRequest{}).waitEnd(), ErrNotReady)
}

// startFixedAnswer starts a listener that answers each command with a fixed text, to simulate a member of an earlier version. It
// returns its address.
func startFixedAnswer(t *testing.T, text string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { // raft connects too, and gets no answer
				defer c.Close()
				c.SetDeadline(time.Now().Add(5 * time.Second))
				if _, err := bufio.NewReader(c).ReadBytes('\n'); err == nil {
					io.WriteString(c, text)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Clients recognize the answers of members of an earlier version and don't take them for success.
func TestEarlierVersions(t *testing.T) {
	var earlier *EarlierVersion
	_, err := TransactTo(testContext(t), startFixedAnswer(t, `{"revision":7}`), []Write{{Key: "a"}})
	require.ErrorAs(t, err, &earlier)
	var not *NotControl
	err = watchSession(t, startFixedAnswer(t, `{"records":[{"key":"settings/a","value":"MQ==","revision":3}]}`), WatchRequest{}).waitEnd()
	require.ErrorAs(t, err, &not)
	_, err = SessionsFrom(testContext(t), nil, startFixedAnswer(t, `{"status":{"node":"old"}}`))
	require.ErrorAs(t, err, &not)
}

// The leader commits no transaction while a reachable member runs an earlier version.
func TestNoTransactionWithEarlierMember(t *testing.T) {
	old := startFixedAnswer(t, `{"status":{"node":"old","state":"Follower"}}`)
	g := newControlGroup(t, 3, 0, func(_ int, o *Options) {
		o.Peers = append(append([]Peer{}, o.Peers...), Peer{Node: "old", Address: old, NonVoter: true})
	})
	for i := range g.nodes {
		_, err := TransactTo(testContext(t), g.address(i), []Write{{Key: "settings/a"}})
		var earlier *EarlierVersion
		require.ErrorAs(t, err, &earlier)
		require.Equal(t, "old", earlier.Member)
	}
	require.Empty(t, g.nodes[0].List(""))
	_, err := PutTo(testContext(t), g.address(0), "settings/a", nil, nil)
	require.NoError(t, err)
}

// The plain watch of earlier clients works at a control machine.
func TestPlainWatchAtControlMachine(t *testing.T) {
	g := newControlGroup(t, 1, 0, nil)
	require.NoError(t, g.nodes[0].WaitReady(testContext(t)))
	ctx, cancel := context.WithCancel(testContext(t))
	received, ended := make(chan Record, 8), make(chan error, 1)
	go func() { ended <- WatchFrom(ctx, g.address(0), "settings/", func(r Record) { received <- r }) }()
	require.Eventually(t, func() bool { // until the watch is established
		g.put("settings/a", "1")
		return len(received) > 0
	}, 10*time.Second, 10*time.Millisecond)
	require.Equal(t, "settings/a", (<-received).Key)
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
}
