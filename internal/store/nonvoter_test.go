package store

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Non-voters of the first configuration hold all records, accept writes and are listed as learners, but never vote or lead:
// without a majority of the voters no leader is elected, however many non-voters are up.
func TestNonVotersNeverVote(t *testing.T) {
	t.Parallel()
	g := newControlGroup(t, 3, 3, nil)
	ctx := testContext(t)
	revision, err := TransactTo(ctx, g.address(4), []Write{{Key: "settings/a", Value: []byte("1")}})
	require.NoError(t, err)
	for i, n := range g.nodes {
		require.NoError(t, n.fsm.wait(ctx, revision))
		s, err := StatusFrom(ctx, g.address(i))
		require.NoError(t, err)
		require.Len(t, s.Members, 6)
		for k, m := range s.Members {
			require.Equal(t, Member{g.peers[k].Node, g.peers[k].Address, k < 3}, m)
		}
	}
	term := g.nodes[4].raft.CurrentTerm()
	leader := g.leader()
	require.Less(t, leader, 3)
	g.nodes[leader].Close()
	g.nodes[(leader+1)%3].Close()
	time.Sleep(5 * defaultElectionTimeout) // long enough for an election, if non-voters could vote or be candidates
	for i, n := range g.nodes {
		if i != leader && i != (leader+1)%3 {
			require.False(t, n.Leader(), i)
		}
		if i >= 3 {
			require.Equal(t, "Follower", n.raft.State().String())
			r, ok := n.Get("settings/a")
			require.True(t, ok)
			require.Equal(t, revision, r.Revision)
		}
	}
	require.Equal(t, term, g.nodes[4].raft.CurrentTerm(), "a non-voter started an election")
	c := watchSession(t, g.address(5), WatchRequest{After: revision})
	require.Equal(t, revision, c.next(Heartbeat).Revision)
}

// An in-memory non-voter that restarts gets all records from the leader again.
func TestNonVoterRestarts(t *testing.T) {
	g := newControlGroup(t, 1, 1, nil)
	revision := g.putAll("settings/a", "1")
	g.nodes[1].Close()
	l := listenAgain(t, g.address(1))
	g.start(1, l)
	require.NoError(t, g.nodes[1].fsm.wait(testContext(t), revision))
	require.NoError(t, g.nodes[1].WaitReady(testContext(t)))
	require.Len(t, watchSession(t, g.address(1), WatchRequest{}).next(Snapshot).Records, 1)
}

// Voters start an election only after Options.Election without contact with the leader.
func TestElectionTime(t *testing.T) {
	t.Parallel()
	const long = 3 * time.Second
	g := newControlGroup(t, 3, 0, func(_ int, o *Options) { o.Election = long })
	leader := g.leader()
	require.NoError(t, g.nodes[(leader+1)%3].WaitReady(testContext(t)))
	g.nodes[leader].Close()
	closedAt := time.Now()
	require.Eventually(t, func() bool { return g.nodes[(leader+1)%3].Leader() || g.nodes[(leader+2)%3].Leader() }, 10*long, 10*time.Millisecond)
	require.Greater(t, time.Since(closedAt), long*8/10, "a follower started an election too early, even if its last contact was a tenth of the time before the close")
}

// A write through a member whose leader was partitioned succeeds: it is sent to the next leader as soon as there is one.
func TestWriteWhileLeaderIsCutOff(t *testing.T) {
	g := newControlGroup(t, 3, 0, nil)
	g.putAll("settings/a", "1")
	for range 3 {
		leader := g.leader()
		through := g.address((leader + 1) % 3)
		require.Eventually(t, func() bool {
			s, err := StatusFrom(testContext(t), through)
			return err == nil && s.Leader == g.address(leader)
		}, 5*time.Second, time.Millisecond)
		g.disconnect(leader, true)
		_, err := TransactTo(testContext(t), through, []Write{{Key: "settings/a", Value: []byte("2")}})
		require.NoError(t, err)
		g.disconnect(leader, false)
		require.Eventually(t, func() bool { return !g.nodes[leader].Leader() }, 5*time.Second, time.Millisecond)
	}
}
