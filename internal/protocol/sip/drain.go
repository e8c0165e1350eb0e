package sip

import (
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

// RefuseSetups makes the agent refuse the set-ups that arrive on TCP connections from now on, so that these can be closed, or serve them
// again. Set-ups in datagrams hold no connection.
func (a *Agent) RefuseSetups(refuse bool) { a.Post(func() { a.refusingOnConns = refuse }) }

// Sweep applies the decision of decide to each TCP connection of a caller on which no call is established. A call is not released: its
// dialog does not end with the connection, and the caller may have no other way to be reached, so such a connection stays open.
func (a *Agent) Sweep(decide func(transport.Usage) drain.Decision) {
	a.Post(func() {
		established := a.establishedCalls()
		for _, c := range a.tcpConns {
			if !a.isServerConn(c) && !established[c] {
				a.applyDecision(c, decide(c.Usage()))
			}
		}
	})
}

// applyDecision applies a decision to the TCP connection of a caller.
func (a *Agent) applyDecision(c *transport.Conn, decision drain.Decision) {
	switch decision {
	case drain.Close, drain.ReleaseCalls:
		c.FinishIdle()
	case drain.EndSetups:
		a.abortCalls(c)
		c.FinishAnswered()
	case drain.Cut:
		c.Close()
	}
}

// abortCalls ends the pending set-ups of a connection.
func (a *Agent) abortCalls(c *transport.Conn) {
	for _, call := range a.pendingCalls {
		if call.conn == c {
			a.core.Abort(call.id, call)
		}
	}
}

// establishedCalls returns the TCP connections on which a call is established.
func (a *Agent) establishedCalls() map[*transport.Conn]bool {
	established := map[*transport.Conn]bool{}
	for _, d := range a.dialogs {
		if f, ok := d.flow.(*tcpFlow); ok {
			established[f.conn] = true
		}
	}
	return established
}

// ClientConnections returns what the callers' TCP connections are used for, without established calls.
func (a *Agent) ClientConnections() []transport.Usage {
	if a.tcp == nil {
		return nil
	}
	return a.tcp.Usages()
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
