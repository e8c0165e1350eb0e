package transport

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// dialLoopback returns a client's connection, which the test closes at its end.
func dialLoopback(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

// Guards against a client that keeps others waiting: between two turns of a client, each of the others has at most two.
func TestTurnsAreSharedBetweenClients(t *testing.T) {
	const floods, turns = 20, 50
	var synced atomic.Int64
	s := NewScheduler(1, func() { synced.Add(1) })
	var processed atomic.Int64
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for range floods {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					s.Do(func() { processed.Add(1) })
				}
			}
		})
	}
	require.Eventually(t, func() bool { return processed.Load() > floods }, 5*time.Second, time.Millisecond)
	worst := int64(0)
	for range turns {
		before := processed.Load()
		s.Do(func() { worst = max(worst, processed.Load()-before) })
	}
	close(stop)
	wg.Wait()
	require.LessOrEqual(t, worst, int64(2*floods))
	require.Equal(t, processed.Load()+turns, synced.Load(), "each turn begins when the work of earlier ones is done")
}
