package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/control/drain"
	"beammux/internal/loglimit"
	"beammux/internal/transport"
)

// sweepInterval is the interval at which callers' connections are checked while the gatekeeper is evacuated.
const sweepInterval = 100 * time.Millisecond

// evacuation closes callers' connections while the gatekeeper is evacuated, as package drain decides, and reports on it. Its counts
// are safe for concurrent use; all else belongs to the goroutine of run.
type evacuation struct {
	node      *Node
	log       *loglimit.Limiter // log of connections that are ended or overdue
	decisions [drain.Decisions]atomic.Int64
	overdue   atomic.Int64 // connections found open past drain.CloseBy, counted at each sweep
	ready     bool         // at the last sweep
	refusing  bool         // set-ups are refused since the last sweep
	completed bool         // all connections have closed since the evacuation
}

// newEvacuation returns the evacuation of a gatekeeper that accepts callers.
func newEvacuation(n *Node) *evacuation {
	return &evacuation{node: n, log: loglimit.New(n.log), ready: true}
}

// startEvacuation starts the sweeps and registers their metrics.
func (n *Node) startEvacuation(ctx context.Context) {
	e := newEvacuation(n)
	n.exporter.addConnections("json", n.listener.Usages)
	if n.agent != nil {
		n.exporter.addConnections("sip", n.agent.ClientConnections)
	}
	n.exporter.addEvacuation(e)
	go e.run(ctx)
}

// run sweeps the connections periodically until ctx is done.
func (e *evacuation) run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		e.sweep()
	}
}

// sweep applies the decisions of the drain state to all callers' connections.
func (e *evacuation) sweep() {
	n := e.node
	n.ops.mu.Lock()
	state, now := n.ops.drain, n.ops.now()
	n.ops.mu.Unlock()
	if n.agent != nil && state.Ready() != e.ready {
		n.setAgentReady(state.Ready())
	}
	e.refuseSetups(state.RefusesSetups(now))
	if e.ready = state.Ready(); e.ready {
		e.completed = false
		return
	}
	if state.RefusesSetups(now) {
		n.front.ReleaseDisconnected()
	}
	decide := func(usage transport.Usage) drain.Decision { return e.decide(state, now, usage) }
	n.front.Sweep(decide)
	if n.agent != nil {
		n.agent.Sweep(decide)
	}
	e.noteCompletion(state, now)
}

// refuseSetups makes both fronts refuse the set-ups that arrive on connections, or serve them again.
func (e *evacuation) refuseSetups(refuse bool) {
	e.node.front.RefuseSetups(refuse)
	if refuse == e.refusing {
		return
	}
	e.refusing = refuse
	if e.node.agent != nil {
		e.node.agent.RefuseSetups(refuse)
	}
	if refuse {
		e.node.log.WithField("connections", len(e.node.listener.Usages())).Info("evacuation: new set-ups are refused, calls are released")
	}
}

// decide decides on one connection, counts the decision, and logs what it ends and connections that are overdue.
func (e *evacuation) decide(state drain.Drain, now control.Micros, usage transport.Usage) drain.Decision {
	connection := drain.Connection{OpenedAt: e.sinceStart(usage.OpenedAt), LastUsed: e.sinceStart(usage.LastUsed),
		Unanswered: usage.Unanswered > 0, Receiving: usage.Receiving, Established: usage.Established > 0}
	decision := state.DecideConnection(now, connection)
	e.decisions[decision].Add(1)
	fields := logrus.Fields{"caller": usage.Remote, "unanswered": usage.Unanswered, "established": usage.Established, "receiving": usage.Receiving,
		"decision": decision.String(), "age_ms": time.Since(usage.OpenedAt).Milliseconds(), "unused_ms": time.Since(usage.LastUsed).Milliseconds()}
	switch {
	case state.Overdue(now, connection):
		e.overdue.Add(1)
		e.log.Warn("evacuation: connection of a client is open past its time", fields)
	case decision == drain.EndSetups && usage.Unanswered > 0, decision == drain.Cut:
		e.log.Info("evacuation: connection of a client is ended with what is open on it", fields)
	}
	return decision
}

// noteCompletion logs, once for each evacuation, that no connection of a client in JSON lines is left.
func (e *evacuation) noteCompletion(state drain.Drain, now control.Micros) {
	if e.completed || len(e.node.listener.Usages()) > 0 {
		return
	}
	e.completed = true
	_, since := state.Evacuated()
	e.node.log.WithField("after_ms", int64(now-since)/1000).Info("evacuated: no client is connected")
}

// sinceStart converts a time to the clock of the drain state.
func (e *evacuation) sinceStart(t time.Time) control.Micros {
	return control.Micros(t.Sub(e.node.ops.started) / time.Microsecond)
}

// setAgentReady makes the health checks of SIP clients pass or fail.
func (n *Node) setAgentReady(ready bool) {
	if ready {
		n.agent.Rejoin()
	} else {
		n.agent.Drain()
	}
}
