package sip_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/internal/protocol/sip"
	. "beammux/internal/protocol/sip/siptest"
	"beammux/internal/transport"
)

// boundedFixture is a fixture whose callers share a budget for requests of a size on each transport.
func boundedFixture(t *testing.T, limit int, server *UserAgent) (*fixture, transport.ClientMemory) {
	t.Helper()
	memory := transport.ClientMemory{Requests: transport.NewMemoryBudget(limit, 1), Datagrams: transport.NewMemoryBudget(limit, 1)}
	return newFixtureWith(t, 2*time.Second, func(o *sip.Options) { o.Memory = memory }, host("s-1", server.URI("TCP"), 0)), memory
}

func used(m transport.ClientMemory) int { return m.Requests.Used() + m.Datagrams.Used() }

// Guards against memory that a client of set-ups fills: beyond its part, an INVITE is refused at once and leaves no state, and all memory is
// returned once the transactions have ended.
func TestInvitesBeyondTheMemoryAreRefused(t *testing.T) {
	forEachTransport(t, func(t *testing.T, proto string) {
		server := New(t, tryingOnly)
		b, memory := boundedFixture(t, 512<<10, server)
		caller := New(t, nil)
		body := strings.Repeat("x", 10<<10)
		const calls = 20
		for i := range calls {
			caller.Send(proto, b.agent.Addr(proto), caller.Invite(proto, fmt.Sprint("call-", i), "4711", body))
		}
		refused := caller.Wait("503", Status(503, "INVITE")).Msg
		require.NotEmpty(t, refused.Get("Retry-After"))
		require.LessOrEqual(t, used(memory), 512<<10)
		require.Less(t, server.Transactions(IsMethod("INVITE")), calls, "refused set-ups are sent to no server")
		require.Eventually(t, func() bool { return used(memory) == 0 }, 10*time.Second, 10*time.Millisecond, "memory that is not returned")
	})
}

// Guards against memory that requests other than INVITE fill: what can be processed again when it is retransmitted leaves no state.
func TestRequestsWithoutACallLeaveNoState(t *testing.T) {
	forEachTransport(t, func(t *testing.T, proto string) {
		server := New(t, answering)
		b, memory := boundedFixture(t, 512<<10, server)
		for i, method := range []string{"OPTIONS", "BYE", "CANCEL", "NOTIFY", "FROBNICATE"} {
			caller := New(t, nil)
			m := caller.Invite(proto, "call-"+method, "4711", "")
			m.Method = method
			m.Set("CSeq", fmt.Sprintf("%d %s", i+1, method))
			send := caller.Send(proto, b.agent.Addr(proto), m)
			isAnswer := func(m *sip.Message) bool { return m.Status >= 200 }
			first := caller.Wait("response to "+method, isAnswer).Msg
			require.Zero(t, used(memory), method)
			send(m)
			require.Eventually(t, func() bool { return caller.Count(isAnswer) == 2 }, 5*time.Second, time.Millisecond, method)
			for _, repeated := range caller.Received() {
				require.Equal(t, first.Get("To"), repeated.Msg.Get("To"), "the response to a repeated request is the same")
			}
		}
	})
}

// Guards against heads of very many fields, which occupy far more memory and time than their bytes: they are refused before they are parsed.
func TestHeadOfManyFieldsIsRefused(t *testing.T) {
	lines := "OPTIONS sip:a@net SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:9;branch=z9hG4bK1\r\nFrom: <sip:a@net>;tag=1\r\nTo: <sip:a@net>\r\nCall-ID: 1\r\nCSeq: 1 OPTIONS\r\n"
	m, err := sip.Parse([]byte(lines + strings.Repeat("a:b\r\n", 2000) + "\r\n"))
	require.ErrorIs(t, err, sip.ErrMalformed)
	require.Less(t, len(m.Header["A"]), 128, "a part of the head, for the answer")
	m, err = sip.Parse([]byte(lines + "Via: " + strings.Repeat("a;b,", 2000) + "\r\n\r\n"))
	require.ErrorIs(t, err, sip.ErrMalformed)
	require.Nil(t, m)
	_, err = sip.Parse([]byte(lines + strings.Repeat("a:b\r\n", 100) + "\r\n"))
	require.NoError(t, err)
}
