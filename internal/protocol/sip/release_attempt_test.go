package sip_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/internal/protocol/sip"
	. "beammux/internal/protocol/sip/siptest"
	"beammux/internal/routing"
)

// Guards against a call that is never released towards its caller: the release of an attempt at a server that died waits there, and ended
// the call's later attempt at another server once the first was back.
func TestReleaseOfADeadServersAttemptLeavesTheLaterOne(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().String()
	other := New(t, answering)
	b := newFixture(t, 5*time.Second, host("s-1", "sip:"+addr+";transport=tcp", 0))
	caller := New(t, nil)
	invite := caller.Invite("UDP", "abc", "4711", "offer")
	caller.Send("UDP", b.agent.Addr("UDP"), invite)
	conn, err := listener.Accept()
	require.NoError(t, err)
	m, err := sip.NewConnReader(conn, time.Second).Next()
	require.NoError(t, err)
	require.Equal(t, "INVITE", m.Method)
	b.apply(routing.Update{Complete: true, Hosts: []routing.Host{host("s-1", "sip:"+addr+";transport=tcp", 0), host("s-2", other.URI("TCP"), 0)}})
	listener.Close()
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
	ok := caller.Wait("answer of the other server", Status(200, "INVITE")).Msg
	caller.Send("UDP", b.agent.Addr("UDP"), InDialog(invite, ok, "ACK", 1))
	other.Wait("ACK", IsMethod("ACK"))

	listener, err = net.Listen("tcp", addr)
	require.NoError(t, err)
	defer listener.Close()
	conn, err = listener.Accept() // the waiting release is due
	require.NoError(t, err)
	defer conn.Close()
	time.Sleep(300 * time.Millisecond)
	require.Zero(t, other.Count(IsMethod("BYE")), "the release ended the call at the other server")
	require.Zero(t, caller.Count(IsMethod("BYE")))
}
