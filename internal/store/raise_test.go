package store

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// For any commands, and any restarts from a snapshot: revisions increase with each entry, no record's revision is above that of
// the machine, a raise sets every record to one revision above the requested one, and a restored member gives the same results
// as one that was not restored.
func TestRaisedRevisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, twin := newMachine(), newMachine()
		index, last := uint64(0), uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "entries") {
			index += uint64(rapid.IntRange(1, 3).Draw(t, "gap")) // raft's no-ops and configurations take indexes too
			c := command{Op: opPut, Key: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), Value: []byte{byte(index)}}
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				c = command{Op: opRaise, At: last + uint64(rapid.IntRange(0, 20).Draw(t, "above"))}
			case 1:
				c = command{Op: opRaise, At: last - uint64(rapid.IntRange(0, int(last)).Draw(t, "below"))}
			case 2:
				c = command{Op: opDelete, Key: c.Key}
			}
			data, err := json.Marshal(c)
			require.NoError(t, err)
			r := m.Apply(&raft.Log{Index: index, Data: data}).(result)
			require.Equal(t, r, twin.Apply(&raft.Log{Index: index, Data: data}))
			require.Greater(t, r.Revision, last)
			require.Equal(t, r.Revision, m.lastRevision())
			require.Equal(t, index, m.lastIndex())
			for _, record := range m.list("") {
				require.LessOrEqual(t, record.Revision, r.Revision)
				if c.Op == opRaise && c.At >= last && r.Revision == c.At+1 && r.Revision > last+3 {
					require.Equal(t, r.Revision, record.Revision)
				}
			}
			if c.Op == opRaise {
				require.Greater(t, r.Revision, c.At)
			}
			last = r.Revision
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				twin = restoredFromJSON(t, m)
			}
			require.Equal(t, m.list(""), twin.list(""))
		}
	})
}

// restoredFromJSON returns a machine restored from the snapshot of another.
func restoredFromJSON(t require.TestingT, m *machine) *machine {
	taken, err := m.Snapshot()
	require.NoError(t, err)
	text, err := json.Marshal(taken)
	require.NoError(t, err)
	again := newMachine()
	require.NoError(t, again.Restore(io.NopCloser(bytes.NewReader(text))))
	require.Equal(t, m.lastIndex(), again.lastIndex())
	require.Equal(t, m.lastRevision(), again.lastRevision())
	return again
}

// A snapshot of a group that was never raised has the format of versions without raises. Snapshots of a later version or with
// an offset above the revision are rejected.
func TestSnapshotOfRaisedRevisions(t *testing.T) {
	m := newMachine()
	m.Apply(&raft.Log{Index: 4, Data: []byte(`{"op":"put","key":"a","value":"eA=="}`)})
	taken, err := m.Snapshot()
	require.NoError(t, err)
	text, err := json.Marshal(taken)
	require.NoError(t, err)
	require.JSONEq(t, `{"version":1,"applied":4,"records":[{"key":"a","value":"eA==","revision":4}]}`, string(text))
	for _, bad := range []string{`{"version":3,"applied":9}`, `{"version":2,"applied":9,"offset":10}`} {
		require.Error(t, newMachine().Restore(io.NopCloser(bytes.NewBufferString(bad))), bad)
	}
}

// A recreated group has lower revisions than its clients hold: it rejects their sessions with *ReplicaBehind, and the members'
// status shows the highest revision that a client holds. Once the group is raised above it, clients get all records in one
// snapshot from every member, voter or not, and later writes as changes.
func TestRaiseForClientsOfAnEarlierGroup(t *testing.T) {
	t.Parallel()
	const held = 5000
	g := newControlGroup(t, 3, 1, nil)
	g.put("settings/a", "1")
	g.putAll("settings/b", "2")
	var behind *ReplicaBehind
	for i := range g.nodes {
		require.ErrorAs(t, watchSession(t, g.address(i), WatchRequest{After: held}).waitEnd(), &behind)
		require.Equal(t, uint64(held), behind.Want)
		s, err := StatusFrom(testContext(t), g.address(i))
		require.NoError(t, err)
		require.Equal(t, uint64(held), s.MaxClientRevision)
	}
	open := watchSession(t, g.address(3), WatchRequest{Session: SessionInfo{Name: "g2"}})
	open.next(Snapshot)
	revision, err := RaiseTo(testContext(t), g.address(3), held)
	require.NoError(t, err)
	require.Equal(t, uint64(held+1), revision)
	again, err := RaiseTo(testContext(t), g.address(0), held)
	require.NoError(t, err)
	require.Greater(t, again, revision, "the second call added an entry but did not raise")
	require.Less(t, again, revision+10)
	var back *ComeBack
	require.ErrorAs(t, open.waitEnd(), &back, "the session must reconnect for a snapshot")
	for i, n := range g.nodes {
		require.NoError(t, n.fsm.wait(testContext(t), revision))
		c := watchSession(t, g.address(i), WatchRequest{After: held})
		e := c.next(Snapshot)
		require.GreaterOrEqual(t, e.Revision, revision)
		require.Len(t, e.Records, 2)
		require.Equal(t, revision, e.Records[1].Revision, "settings/b, which was last written before the raise")
		s, err := StatusFrom(testContext(t), g.address(i))
		require.NoError(t, err)
		require.Zero(t, s.MaxClientRevision)
		after := g.putAll("settings/a", fmt.Sprint("after ", i))
		require.Greater(t, after, revision)
		require.Equal(t, after, c.next(Change).Revision)
	}
}

// Raised revisions survive a restart from the log and a restart from a snapshot.
func TestRaiseSurvivesRestarts(t *testing.T) {
	dir := t.TempDir()
	n := openDurable(t, dir)
	_, err := n.Put(testContext(t), "a", []byte("1"))
	require.NoError(t, err)
	raised, err := n.Raise(testContext(t), 10_000)
	require.NoError(t, err)
	require.Equal(t, uint64(10_001), raised)
	for _, compact := range []bool{false, true} {
		if compact {
			require.NoError(t, n.Compact())
		}
		n.Close()
		n = openDurable(t, dir)
		require.NoError(t, n.WaitReady(testContext(t)))
		r, ok := n.Get("a")
		require.True(t, ok)
		require.Equal(t, raised, r.Revision)
		after, err := n.Put(testContext(t), "b", nil)
		require.NoError(t, err)
		require.Greater(t, after, raised)
	}
	require.NoError(t, n.Close())
	held, err := Inspect(dir)
	require.NoError(t, err)
	require.Len(t, held.Records, 2)
	require.Equal(t, raised, held.Records[0].Revision)
}

// A raise fails while a member is down, because its version is unknown. A raise above MaxRaise fails too.
func TestRaiseWithMemberDown(t *testing.T) {
	g := newControlGroup(t, 3, 0, nil)
	g.putAll("settings/a", "1")
	before := g.nodes[0].fsm.lastRevision()
	var bad *BadRequest
	_, err := RaiseTo(testContext(t), g.address(0), MaxRaise+1)
	require.ErrorAs(t, err, &bad)
	away := (g.leader() + 1) % 3
	g.nodes[away].Close()
	var missing *MemberAway
	began := time.Now()
	_, err = RaiseTo(testContext(t), g.address((away+1)%3), 5000)
	require.ErrorAs(t, err, &missing)
	require.Equal(t, g.peers[away].Node, missing.Member)
	require.Less(t, time.Since(began), 5*time.Second, "the error must come at once")
	require.Less(t, g.nodes[(away+1)%3].fsm.lastRevision(), before+10)
}

// A restore is atomic for clients: a client with a higher revision than the new group gets no record until all are restored.
// KeepRevisions leaves the revisions unchanged, and without Over a record that the group already holds is kept.
func TestRestoreIsAtomicForClients(t *testing.T) {
	old := newControlGroup(t, 1, 0, nil)
	for i := range 30 {
		old.put(fmt.Sprintf("settings/%02d", i), "old")
	}
	b, err := BackupFrom(testContext(t), old.address(0))
	require.NoError(t, err)
	require.GreaterOrEqual(t, b.Revision, uint64(30))
	held := b.Revision + 100 // a client may hold changes that the backup lacks
	file := filepath.Join(t.TempDir(), "backup")
	require.NoError(t, b.Write(file))
	b, err = ReadBackup(file)
	require.NoError(t, err)

	recreated := newControlGroup(t, 1, 0, nil)
	recreated.put("settings/00", "own")
	require.Error(t, watchSession(t, recreated.address(0), WatchRequest{After: held}).waitEnd())
	done, err := b.Restore(testContext(t), recreated.address(0), RestoreOptions{})
	require.NoError(t, err)
	require.Equal(t, 29, done.Written)
	require.Equal(t, 1, done.Kept)
	require.Greater(t, done.Revision, held)
	e := watchSession(t, recreated.address(0), WatchRequest{After: held}).next(Snapshot)
	require.Len(t, e.Records, 30)
	require.Equal(t, "own", string(e.Records[0].Value))
	for _, r := range e.Records {
		require.Equal(t, done.Revision, r.Revision)
	}

	again, err := b.Restore(testContext(t), recreated.address(0), RestoreOptions{Over: true, KeepRevisions: true})
	require.NoError(t, err)
	require.Equal(t, Restored{Written: 30}, again)
	r, ok := recreated.nodes[0].Get("settings/00")
	require.True(t, ok)
	require.Equal(t, "old", string(r.Value))
	require.Less(t, r.Revision, done.Revision+100)
}

// A backup that is too large for one transaction is split into parts of at most restorePartSize bytes.
func TestBackupParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Backup{}
		for i := range rapid.IntRange(0, 12).Draw(t, "records") {
			size := rapid.SampledFrom([]int{0, 10, restorePartSize / 3, restorePartSize - 20, restorePartSize + 1}).Draw(t, "size")
			b.Records = append(b.Records, Record{Key: fmt.Sprint("k", i), Value: make([]byte, size)})
		}
		var all []Record
		for _, part := range b.parts() {
			require.NotEmpty(t, part)
			size := 0
			for _, r := range part {
				size += len(r.Key) + len(r.Value)
			}
			require.True(t, size <= restorePartSize || len(part) == 1, "%d bytes in %d records", size, len(part))
			all = append(all, part...)
		}
		require.Equal(t, len(b.Records), len(all))
		for i := range all {
			require.Equal(t, b.Records[i].Key, all[i].Key)
		}
	})
}

// A control machine at its session limit refuses sessions with *SessionsFull, and admits one again once another has left.
func TestSessionsFull(t *testing.T) {
	g := newControlGroup(t, 1, 0, serveWith(func(s *ServeOptions) { s.Admission.Sessions = 2 }))
	g.put("settings/a", "1")
	one := watchSession(t, g.address(0), WatchRequest{Session: SessionInfo{Name: "g1"}})
	one.next(Snapshot)
	watchSession(t, g.address(0), WatchRequest{Session: SessionInfo{Name: "g2"}}).next(Snapshot)
	var full *SessionsFull
	require.ErrorAs(t, watchSession(t, g.address(0), WatchRequest{Session: SessionInfo{Name: "g3"}}).waitEnd(), &full)
	require.Equal(t, 2, full.Limit)
	one.leave()
	require.Eventually(t, func() bool {
		sessions, err := SessionsFrom(testContext(t), nil, g.address(0))
		return err == nil && len(sessions) == 1
	}, 10*time.Second, 10*time.Millisecond)
	watchSession(t, g.address(0), WatchRequest{Session: SessionInfo{Name: "g3"}}).next(Snapshot)
}
