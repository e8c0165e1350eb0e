package sip

import (
	"time"

	"beammux/control/drain"
	"beammux/internal/transport"
)

// Drain makes the agent answer health checks (OPTIONS) with 503 from now on. It still accepts set-ups, because only the
// decision module decides whether a set-up is refused.
func (a *Agent) Drain() { a.Post(func() { a.draining = true }) }

// Rejoin makes the agent pass health checks again after Drain.
func (a *Agent) Rejoin() { a.Post(func() { a.draining = false }) }

// TurnAway makes the agent refuse all new set-ups, because the process exits once the earlier ones are answered.
func (a *Agent) TurnAway() { a.Post(func() { a.refusing = true }) }

// Sweep closes the callers' TCP connections that decide wants closed. decide receives the time of the last use, whether a set-up waits for
// its answer and whether a call is established on the connection. Such a call is not released: its dialog does not end with the connection,
// and the caller may have no other way to be reached, so the connection stays open.
func (a *Agent) Sweep(decide func(used time.Time, unanswered, established bool) drain.Decision) {
	a.Post(func() {
		unanswered, established := a.connsInUse()
		for _, c := range a.tcpConns {
			if !a.isServerConn(c) && decide(c.LastUsed(), unanswered[c], established[c]) == drain.Close {
				c.FinishIdle()
			}
		}
	})
}

// connsInUse returns the TCP connections on which a set-up waits for its answer, and those on which a call is established.
func (a *Agent) connsInUse() (unanswered, established map[*transport.Conn]bool) {
	unanswered, established = map[*transport.Conn]bool{}, map[*transport.Conn]bool{}
	for _, call := range a.pendingCalls {
		unanswered[call.conn] = true
	}
	for _, d := range a.dialogs {
		if f, ok := d.flow.(*tcpFlow); ok {
			established[f.conn] = true
		}
	}
	return unanswered, established
}

// isServerConn reports whether a TCP connection leads to a server.
func (a *Agent) isServerConn(c *transport.Conn) bool {
	for _, server := range a.serverConns {
		if f, ok := server.flow.(*tcpFlow); ok && f.conn == c {
			return true
		}
	}
	return false
}
