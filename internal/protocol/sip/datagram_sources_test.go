package sip

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/internal/transport"
)

func sourceAt(port int) *net.UDPAddr { return &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port} }

// Guards against a source whose datagrams keep those of others waiting or fill the memory, and against a server whose responses are dropped
// because clients have taken all.
func TestDatagramsWaitBySource(t *testing.T) {
	const limit = 64 << 10
	memory := transport.NewMemoryBudget(limit, 1)
	turn := make(chan struct{})
	handled := make(chan int, 2*maxSourceDatagrams)
	d := newDatagramSources(memory, func(s *datagramSource, _ []byte) {
		<-turn
		handled <- s.addr.(*net.UDPAddr).Port
	})
	for port := range 2 * maxWaitingSources {
		for range 2 * maxSourceDatagrams {
			d.add(sourceAt(port+1), make([]byte, 1000))
		}
	}
	require.LessOrEqual(t, memory.Used(), limit)
	const server = 5060
	d.servers.Store(sourceKey(sourceAt(server)), true)
	d.add(sourceAt(server), []byte("SIP/2.0 200 OK"))
	close(turn)
	require.Eventually(t, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.removeIdle()
		return len(d.sources) == 0
	}, 5*time.Second, time.Millisecond, "sources that are handled leave nothing")
	require.Zero(t, memory.Used())
	found := false
	for len(handled) > 0 {
		found = <-handled == server || found
	}
	require.True(t, found, "the server's datagram was handled")
}
