package sip_test

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/internal/protocol/sip"
	. "beammux/internal/protocol/sip/siptest"
)

type observation struct {
	address    string
	wellFormed bool
}

// Each caller's TCP connection is observed once, by what it brings first: a message, or what can't be read. Datagrams are not,
// since their address may be anybody's, and neither are the connections to servers. A caller's address that is to be away has
// its connections closed at once, and its datagrams are served as before.
func TestCallersAreObserved(t *testing.T) {
	seen := make(chan observation, 16)
	var away atomic.Bool
	server := New(t, answering)
	b := newBenchWith(t, 5*time.Second, func(o *sip.Options) {
		o.OnFirstMessage = func(address string, wellFormed bool) { seen <- observation{address, wellFormed} }
		o.IsBlocked = func(string) bool { return away.Load() }
	}, host("s-1", server.URI("TCP"), 0))
	next := func(want bool) {
		t.Helper()
		select {
		case o := <-seen:
			require.Equal(t, observation{"127.0.0.1", want}, o)
		case <-time.After(10 * time.Second):
			t.Fatal("a connection was not observed")
		}
	}
	address := b.agent.Addr("TCP")

	caller := New(t, nil)
	send := caller.Send("TCP", address, caller.Invite("TCP", "good", "4711", ""))
	caller.Wait("answer", Status(200, "INVITE"))
	next(true)
	send(caller.Invite("TCP", "again", "4711", ""))
	caller.Wait("another answer on the same connection", func(m *sip.Message) bool {
		return Status(200, "INVITE")(m) && m.Get("Call-ID") == "again"
	})

	bad, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer bad.Close()
	_, err = io.WriteString(bad, "what is this\r\n\r\n")
	require.NoError(t, err)
	next(false)

	datagram := caller.Send("UDP", b.agent.Addr("UDP"), caller.Invite("UDP", "datagram", "4711", ""))
	caller.Wait("answer to a datagram", func(m *sip.Message) bool { return Status(200, "INVITE")(m) && m.Get("Call-ID") == "datagram" })

	away.Store(true)
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err = bufio.NewReader(c).ReadByte()
	require.ErrorIs(t, err, io.EOF, "it is closed at once")
	datagram(caller.Invite("UDP", "later", "4711", ""))
	caller.Wait("answer to a datagram of one that is away", func(m *sip.Message) bool { return Status(200, "INVITE")(m) && m.Get("Call-ID") == "later" })
	require.Empty(t, seen, "one observation for each of the two connections")
}
