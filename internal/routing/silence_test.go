package routing

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/control"
)

// reportingServer is a fake server that announces itself and reports on all of its connections, until it is replaced at its address by
// another process.
type reportingServer struct {
	multiConnServer
	vanished int // connections before this one are silent
}

func (s *reportingServer) Announces(string) bool { return true }

// report sends a report on each connection of the process that has the address.
func (s *reportingServer) report() {
	for _, conn := range s.conns[s.vanished:] {
		if conn.closed == 0 && conn.events != nil {
			conn.events.Report(nil)
		}
	}
}

func newReportingHarness() (*harness, *reportingServer) {
	server := &reportingServer{}
	h := &harness{core: NewCore(settings(), 1, nil, discardLogger())}
	h.list = NewList(h.core, server, discardLogger())
	h.setState("a", 0, control.Ready)
	synctest.Wait()
	return h, server
}

// carrying returns the connection on which a set-up is in flight.
func (s *reportingServer) carrying(t *testing.T, id string) *fakeServer {
	t.Helper()
	for _, conn := range s.conns {
		if _, ok := conn.inFlight[id]; ok && conn.closed == 0 {
			return conn
		}
	}
	require.Fail(t, "no connection carries set-up "+id)
	return nil
}

// releasesReceived returns how many releases of a call were received.
func (s *reportingServer) releasesReceived(id string) (n int) {
	for _, conn := range s.conns {
		n += conn.releasesReceived[id]
	}
	return n
}

// run advances the time, with a report every half second.
func (s *reportingServer) run(h *harness, d time.Duration) {
	for ; d > 0; d -= 500 * time.Millisecond {
		s.report()
		h.sleep(500 * time.Millisecond)
	}
}

// Guards against calls left standing at a process that another one has followed at the address, and against the end of those at the
// second.
func TestCallsOfAnEarlierProcessAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, server := newReportingHarness()
		defer h.stop()
		old := h.call("1", time.Second)
		server.conns[0].answer("1", "")
		server.run(h, 3*time.Second)
		server.vanished = 1
		server.conns[0].events.Silent()
		h.sleep(2 * time.Second)
		current := h.call("2", 2*time.Second)
		require.NotContains(t, server.conns[0].setups, "2", "a set-up on a silent connection")
		second := server.carrying(t, "2")
		second.answer("2", "")
		server.run(h, 6*time.Second)
		require.Equal(t, 1, old.releases)
		require.Equal(t, 1, server.conns[0].closed)
		require.Equal(t, 1, server.releasesReceived("1"), "the process may be the same")
		server.run(h, 10*time.Second)
		require.Zero(t, current.releases)
		second.events.Released("2", CauseNormal, nil)
		synctest.Wait()
		require.Equal(t, 1, current.releases)
	})
}

// Guards against the end of calls at a server that shows that it is the same: by a message on a connection that was silent, or by the
// release of one of its calls on a new one.
func TestCallsOfAServerThatGoesOnAreKept(t *testing.T) {
	for _, byRelease := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			h, server := newReportingHarness()
			defer h.stop()
			c, other := h.call("1", time.Second), h.call("2", time.Second)
			for _, conn := range server.conns {
				for id := range conn.inFlight {
					conn.answer(id, "")
				}
			}
			synctest.Wait()
			require.True(t, c.established && other.established)
			server.run(h, 3*time.Second)
			server.vanished = len(server.conns)
			for _, conn := range server.conns {
				conn.events.Silent()
			}
			h.sleep(2 * time.Second)
			server.run(h, 2*time.Second)
			if byRelease {
				server.conns[len(server.conns)-1].events.Released("2", CauseNormal, nil)
			} else {
				server.vanished = 0
			}
			server.run(h, 20*time.Second)
			require.Zero(t, c.releases, "by release %v", byRelease)
		})
	}
}

// Guards against set-ups that stay in flight on a connection that is silent: it is closed, which gives them up.
func TestSilentConnectionWithSetupsIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, server := newReportingHarness()
		defer h.stop()
		c := h.call("1", 3*time.Second)
		server.conns[0].events.Silent()
		synctest.Wait()
		require.Equal(t, 1, server.conns[0].closed)
		h.sleep(4 * time.Second)
		require.Equal(t, 1, c.finalAnswers)
		require.Equal(t, 1, server.releasesReceived("1"), "the server may have answered it")
	})
}

// Guards against a silent connection that is kept for good where the server is alive on others.
func TestSilentConnectionIsClosedInTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, server := newReportingHarness()
		defer h.stop()
		server.run(h, time.Second)
		server.conns[0].events.Silent()
		h.sleep(100 * time.Millisecond)
		server.vanished = 1
		server.run(h, 10*time.Second)
		require.Equal(t, 1, server.conns[0].closed)
	})
}

// Guards against a release that a server writes, as a partition heals, on a connection that was closed meanwhile: it comes on the next
// connection that is opened after that, so one is opened, also where as many are open as are allowed.
func TestConnectionCollectsReleasesAfterASilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, server := newReportingHarness()
		defer h.stop()
		p := h.list.hosts["a"].peer
		server.run(h, time.Second)
		for range server.MaxConns("") {
			p.Post(p.connect)
			synctest.Wait()
		}
		server.run(h, time.Second)
		server.silent = true
		h.sleep(4 * time.Second) // a connection is closed so that another one can be opened
		server.silent = false
		require.Greater(t, len(server.conns), server.MaxConns(""))
		server.report()
		synctest.Wait()
		h.sleep(lateReleaseDelay - 10*time.Millisecond)
		dialed := len(server.conns)
		h.sleep(20 * time.Millisecond)
		require.Len(t, server.conns, dialed+1, "connections after the server is back")
		server.run(h, 5*time.Second)
		require.Len(t, server.conns, dialed+1, "no further ones follow")
		open := 0
		for _, conn := range server.conns {
			open += 1 - conn.closed
		}
		require.LessOrEqual(t, open, server.MaxConns(""))
	})
}
