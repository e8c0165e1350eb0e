package follow

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"beammux/control/scope"
	"beammux/control/session"
	"beammux/internal/store"
)

// controlEnv makes the test binary a control machine: it prints its address and serves until its input ends.
const controlEnv = "BEAMMUX_FOLLOW_TEST_CONTROL"

func TestMain(m *testing.M) {
	if os.Getenv(controlEnv) != "" {
		if err := serveControl(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	goleak.VerifyTestMain(m)
}

func serveControl() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	address := l.Addr().String()
	n, err := store.Open(store.Options{Node: "c0", Listener: l, Peers: []store.Peer{{Node: "c0", Address: address}}, Log: quiet(),
		Serve: &store.ServeOptions{Name: "c0", Prefix: scope.Prefix}})
	if err != nil {
		return err
	}
	defer n.Close()
	fmt.Println(address)
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}

// controlProcess starts a control machine as a process of its own, and gives its address.
func controlProcess(tb testing.TB) string {
	tb.Helper()
	cmd := exec.Command(os.Args[0], "-test.run=^$")
	cmd.Env = append(os.Environ(), controlEnv+"=1")
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	require.NoError(tb, err)
	out, err := cmd.StdoutPipe()
	require.NoError(tb, err)
	require.NoError(tb, cmd.Start())
	tb.Cleanup(func() {
		in.Close()
		cmd.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(tb, err)
	return strings.TrimSpace(line)
}

// countedConn counts bytes.
type countedConn struct {
	net.Conn
	read, written *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// idle is what followers cost while nothing changes, for each.
type idle struct {
	bytes, goroutines, cpuMicros, read, written float64 // heap and stacks; the last three a second
}

// measureIdle opens followers that share a control machine in another process, each with 20 kB of settings, and lets them be.
func measureIdle(tb testing.TB, followers int, length time.Duration) idle {
	tb.Helper()
	address := controlProcess(tb)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	revision, err := store.TransactTo(ctx, address, []store.Write{{Key: scope.Prefix + "all/inventory", Value: []byte(strings.Repeat("x", 20<<10))}})
	require.NoError(tb, err)
	var read, written atomic.Int64
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countedConn{c, &read, &written}, err
	}
	bytesBefore, goroutinesBefore := heap(), runtime.NumGoroutine()
	var all []*Follower
	for i := range followers {
		f, err := Open(Options{
			Self:     scope.Target{Name: fmt.Sprintf("gatekeeper-%04d", i), Region: "r", Zone: "z", Service: "s"},
			Replicas: []session.Replica{{Name: "c0", Address: address, Zone: "z", Region: "r"}},
			Dial:     dial, Apply: func(Candidate) error { return nil }, Log: quiet(), Seed: 1,
			Timing: session.Timing{HeartbeatTimeout: 30e6, ConnectTimeout: 30e6},
		})
		require.NoError(tb, err)
		all = append(all, f)
	}
	defer func() {
		for _, f := range all {
			f.Close()
		}
	}()
	for _, f := range all {
		for deadline := time.Now().Add(patience); f.Status().InForce < revision; time.Sleep(time.Millisecond) {
			require.True(tb, time.Now().Before(deadline))
		}
	}
	time.Sleep(2 * time.Second)
	var m idle
	cpuBefore, readBefore, writtenBefore, begun := cpu(), read.Load(), written.Load(), time.Now()
	time.Sleep(length)
	each := func(total float64) float64 { return total / float64(followers) }
	seconds := time.Since(begun).Seconds()
	m.cpuMicros = each(float64((cpu() - cpuBefore).Microseconds()) / seconds)
	m.read = each(float64(read.Load()-readBefore) / seconds)
	m.written = each(float64(written.Load()-writtenBefore) / seconds)
	m.goroutines = each(float64(runtime.NumGoroutine() - goroutinesBefore))
	m.bytes = each(float64(heap()) - float64(bytesBefore))
	return m
}

// While nothing changes a follower costs heartbeats alone: a small part of what control may spend at a gatekeeper (6 KB/s, 1.8% of
// a core, 32 MB).
func TestIdle(t *testing.T) {
	if testing.Short() {
		t.Skip("measures for some seconds")
	}
	m := measureIdle(t, 20, 3*time.Second)
	t.Logf("each: %.0f bytes, %.1f goroutines, %.0f us of a core a second, %.0f B/s read, %.0f B/s written", m.bytes, m.goroutines, m.cpuMicros, m.read, m.written)
	require.Less(t, m.read+m.written, 600., "bytes a second: a tenth of the budget")
	require.Positive(t, m.read, "no heartbeats were counted")
	require.Less(t, m.cpuMicros, 1800., "processor time: a tenth of the budget")
	require.Less(t, m.goroutines, 6.)
	require.Less(t, m.bytes, float64(1<<20))
}

// BenchmarkIdle measures what a follower costs while nothing changes, 300 in one process. Run it with -benchtime 1x.
func BenchmarkIdle(b *testing.B) {
	m := measureIdle(b, 300, 10*time.Second)
	b.ReportMetric(m.bytes, "B/follower")
	b.ReportMetric(m.goroutines, "goroutines/follower")
	b.ReportMetric(m.cpuMicros, "us-of-a-core/s")
	b.ReportMetric(m.read, "B-read/s")
	b.ReportMetric(m.written, "B-written/s")
}
