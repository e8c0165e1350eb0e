package jsonl

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// deliveryLimit is the time in which a release must reach its caller on any of the open connections. Together with the 6.5 s after which
// the loss of a server is detected it stays under the 8 s of the protocol.
const deliveryLimit = time.Second

const probeLine = `{"msg":"probe","sid":"00000000000000ff","attrs":{},"code":0}` + "\n"

// establish sets up a call on a connection and returns the function that releases it.
func (b *bench) establish(conn net.Conn, call string) (release func(cause int)) {
	b.t.Helper()
	_, err := io.WriteString(conn, open(call))
	require.NoError(b.t, err)
	<-b.core.opened
	k := <-b.core.callers
	require.True(b.t, k.Answer(nil))
	return k.Release
}

// connectOthers opens connections of callers that have calls of their own and ignore releases of other calls.
func (b *bench) connectOthers(n int) {
	b.t.Helper()
	for i := range n {
		conn, _ := b.loopback()
		b.establish(conn, fmt.Sprintf("%016x", i+1))
		go io.Copy(io.Discard, conn)
	}
}

// requireRelease reads a connection until the release of a call, which must arrive within a time.
func (b *bench) requireRelease(conn net.Conn, call string, within time.Duration) {
	b.t.Helper()
	conn.SetReadDeadline(time.Now().Add(within))
	for in := NewReader(bufio.NewReader(conn)); ; {
		m, err := in.Next()
		require.NoError(b.t, err, "the release does not arrive within %v", within)
		if m.Type == "close" && m.ID == call {
			return
		}
	}
}

// Guards against a release that arrives late because it is sent on one connection after another: the caller has come again and sends only
// probes, or nothing, while other callers are connected.
func TestReleaseReachesAnyOfManyConnectionsInTime(t *testing.T) {
	for _, others := range []int{0, 1, 5, 12, 30} {
		for _, first := range []string{probeLine, ""} {
			for _, opens := range []string{"before the release", "after the release"} {
				t.Run(fmt.Sprintf("%d others, sends %q, %s", others, first, opens), func(t *testing.T) {
					t.Parallel()
					b := newLargeBench(t)
					before, ended := b.loopback()
					release := b.establish(before, id)
					b.connectOthers(others)
					before.Close()
					<-ended
					if opens == "after the release" {
						release(16)
						time.Sleep(2 * deliveryLimit)
					}
					again, _ := b.loopback()
					io.WriteString(again, first)
					if opens == "before the release" {
						release(16)
					}
					b.requireRelease(again, id, deliveryLimit)
				})
			}
		}
	}
}

// Guards against a release that is taken for delivered, because callers here confirm none, although its connection ends.
func TestReleaseToACallerThatNeverConfirmsIsSentAgain(t *testing.T) {
	for _, others := range []int{0, 3} {
		t.Run(fmt.Sprintf("%d others", others), func(t *testing.T) {
			t.Parallel()
			b := newLargeBench(t)
			b.front.releases.expired = enoughUnconfirmed
			b.connectOthers(others)
			before, ended := b.loopback()
			release := b.establish(before, id)
			release(16)
			time.Sleep(2 * time.Second)
			before.Close()
			<-ended
			time.Sleep(2 * time.Second)
			again, _ := b.loopback()
			io.WriteString(again, open("00000000000000aa"))
			b.requireRelease(again, id, deliveryLimit)
		})
	}
}
