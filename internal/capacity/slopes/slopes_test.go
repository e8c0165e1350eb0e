package slopes

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"beammux/internal/capacity"
)

// newTestRun returns a run with short times and two repetitions.
func newTestRun(t *testing.T) *run {
	t.Helper()
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	return &run{Options: Options{Repetitions: 2, Command: "test", Beside: "a test", Log: quiet}, ctx: ctx, dir: t.TempDir(),
		started: time.Now(), times: times{idle: 50 * time.Millisecond, converge: 20 * time.Second, settle: 200 * time.Millisecond, window: 300 * time.Millisecond}}
}

// values returns the values of a series at a size.
func (r *run) values(t *testing.T, name string, size float64) []float64 {
	t.Helper()
	s := r.findSeries(name)
	require.NotNil(t, s, name)
	for _, p := range s.Points {
		if p.N == size {
			return p.Values
		}
	}
	t.Fatalf("%s has no size %v", name, size)
	return nil
}

// With three voters and a non-voter, times and bytes of commits are positive, and the leader sends each record to the three others.
func TestCommits(t *testing.T) {
	r := newTestRun(t)
	require.NoError(t, r.measureCommitGroup("members", "disk", 3, 1, true))
	for _, name := range []string{"commit_p50", "commit_p99", "commit_processor", "idle_bytes"} {
		values := r.values(t, "store.disk.members."+name, 4)
		require.Len(t, values, 2)
		for _, v := range values {
			require.Positive(t, v, name)
		}
	}
	for _, sent := range r.values(t, "store.disk.members.commit_bytes", 4) {
		require.Greater(t, sent, 3.0*recordBytes)
		require.Less(t, sent, 30.0*recordBytes)
	}
}

// Each record extends the log by at least its own size.
func TestLogBytes(t *testing.T) {
	r := newTestRun(t)
	require.NoError(t, r.measureLogBytes())
	require.Greater(t, r.values(t, "store.log_bytes", 1000)[0], 1000.0)
	require.Greater(t, r.values(t, "store.log_bytes", 10000)[0], 10000.0)
}

// A snapshot contains every record, and a member that joins with an empty directory receives all of them.
func TestSnapshotAndCatchUp(t *testing.T) {
	r := newTestRun(t)
	g, err := r.startReplicas("snapshots", 1, 0, true, "interval")
	require.NoError(t, err)
	defer g.close()
	require.NoError(t, r.writeRecords(g.nodes[0], 0, 5))
	require.NoError(t, r.measureSnapshot(g, 5)) // at an index of one digit, so that its name sorts after that of the next snapshot
	require.NoError(t, r.writeRecords(g.nodes[0], 5, 200))
	require.NoError(t, r.measureSnapshot(g, 200))
	require.NoError(t, r.measureCatchUp(g, 200, 0))
	require.NoError(t, r.measureCatchUp(g, 200, 1)) // the first new member is removed, so that another one can join
	require.Greater(t, r.values(t, "store.snapshot_bytes", 200)[0], 200.0*snapshotRecordBytes)
	require.Len(t, r.values(t, "store.catch_up_time", 200), 2)
	require.Len(t, g.nodes, 1)
}

// Members converge and publish, and their traffic and processor time are counted.
func TestGossip(t *testing.T) {
	r := newTestRun(t)
	require.NoError(t, r.measureMembers(4))
	require.Len(t, r.values(t, "gossip.bytes_sent", 4), 2)
	for _, name := range []string{"gossip.bytes_sent", "gossip.packets_sent", "gossip.processor"} {
		require.Positive(t, r.values(t, name, 4)[0], name)
	}
}

// For members that do not converge in time, the size has a note and no values, and the run continues.
func TestGossipThatDoesNotConverge(t *testing.T) {
	r := newTestRun(t)
	r.times.converge = -time.Second
	require.NoError(t, r.measureMembers(3))
	s := r.findSeries("gossip.bytes_sent")
	require.NotNil(t, s)
	require.Empty(t, s.Points[0].Values)
	require.Contains(t, s.Points[0].Note, "not met within")
}

// The lease table has an entry for every holder.
func TestLeases(t *testing.T) {
	r := newTestRun(t)
	require.NoError(t, r.measureHolders(10))
	require.NoError(t, r.measureHolders(20))
	ten, twenty := r.values(t, "leases.table_bytes", 10)[0], r.values(t, "leases.table_bytes", 20)[0]
	require.InDelta(t, 2*ten, twenty, 0.1*twenty)
	require.Positive(t, r.values(t, "leases.request", 10)[0])
}

// A gatekeeper opens one connection to each known server, and its telemetry is measured.
func TestFigures(t *testing.T) {
	r := newTestRun(t)
	require.NoError(t, r.measureGatekeeper(7))
	require.Equal(t, []float64{7}, r.values(t, "servers.connections", 7))
	require.Greater(t, r.values(t, "telemetry.bytes", 7)[0], 100.0)
}

// Invalid options are rejected before anything is started; a cancelled context ends the run.
func TestRunOptions(t *testing.T) {
	_, err := Run(t.Context(), Options{Repetitions: 2})
	require.EqualError(t, err, "2 repetitions: at least 3")
	_, err = Run(t.Context(), Options{Repetitions: 3, Groups: []string{"all"}})
	require.EqualError(t, err, `"all" is no group; there are commits, snapshots, gossip, leases, figures`)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	_, err = Run(ended, Options{Repetitions: 3, Groups: []string{"leases"}, Log: quiet, Dir: t.TempDir()})
	require.ErrorIs(t, err, context.Canceled)
}

// Package capacity can parse the file of a run.
func TestParseFileOfRun(t *testing.T) {
	r := newTestRun(t)
	for n := range 5 {
		for range 3 {
			r.add("s", "us", "records", float64(n+1), float64(10*n))
		}
	}
	r.loadSamples = []string{"1 2 3", "4 5 6"}
	text, err := json.Marshal(r.file())
	require.NoError(t, err)
	f, err := capacity.ParseFile("f", text)
	require.NoError(t, err)
	require.Equal(t, "a test; load averages (1, 5, 15 minutes) at the start and after each group: 1 2 3; 4 5 6", f.Series[0].Beside)
	require.Len(t, f.Series[0].Points, 5)
	require.Len(t, f.Series[0].Points[0].Values, 3)
}

// Quantiles calculated by hand.
func TestQuantile(t *testing.T) {
	var all []time.Duration
	for i := 100; i > 0; i-- {
		all = append(all, time.Duration(i)*time.Microsecond)
	}
	require.Equal(t, 51.0, quantile(all, 0.5))
	require.Equal(t, 100.0, quantile(all, 0.99))
	require.Equal(t, 7.0, quantile([]time.Duration{7 * time.Microsecond}, 0.99))
}
