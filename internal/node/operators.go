package node

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"beammux/control"
	"beammux/control/drain"
	"beammux/control/fleetview"
	"beammux/internal/ops"
)

// sweepInterval is the interval at which callers' connections are checked while the gatekeeper is evacuated.
const sweepInterval = 100 * time.Millisecond

// operators holds the state that operators' requests change: whether the gatekeeper accepts clients. The drain package makes
// the decisions.
type operators struct {
	serving atomic.Bool // Start has finished and callers are accepted
	mu      sync.Mutex
	drain   drain.Drain
	started time.Time
	server  *ops.Server
}

// now returns the time since the start of the gatekeeper.
func (o *operators) now() control.Micros {
	return control.Micros(time.Since(o.started) / time.Microsecond)
}

// Ready implements ops.Gatekeeper. It reports whether Start has finished and clients are accepted.
func (n *Node) Ready() bool {
	n.ops.mu.Lock()
	defer n.ops.mu.Unlock()
	return n.ops.serving.Load() && n.ops.drain.Ready()
}

// Evacuate implements ops.Gatekeeper. Health probes of clients fail from now on, and each connection is closed once no answer
// is pending on it.
func (n *Node) Evacuate() { n.startDrain((*drain.Drain).Evacuate) }

// startDrain applies a transition of the drain state that stops accepting clients, and reports it to the fleet.
func (n *Node) startDrain(transition func(*drain.Drain, control.Micros)) {
	n.ops.mu.Lock()
	transition(&n.ops.drain, n.ops.now())
	n.ops.mu.Unlock()
	n.front.Drain()
	n.publishState(fleetview.Draining)
	n.log.Info("evacuating: clients are sent away")
}

// Rejoin implements ops.Gatekeeper. Clients are accepted again unless the process is shutting down.
func (n *Node) Rejoin() {
	n.ops.mu.Lock()
	n.ops.drain.Rejoin(n.ops.now())
	ready := n.ops.drain.Ready()
	n.ops.mu.Unlock()
	if !ready { // shutting down
		return
	}
	n.front.Rejoin()
	n.publishState(fleetview.Ready)
	n.log.Info("rejoined: clients are taken again")
}

// WriteMetrics implements ops.Gatekeeper.
func (n *Node) WriteMetrics(w io.Writer) { n.exporter.write(w) }

// sweep closes callers' connections while the gatekeeper is evacuated, as the drain state decides, until ctx is done.
func (n *Node) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	ready := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		n.ops.mu.Lock()
		state, elapsed := n.ops.drain, n.ops.now()
		n.ops.mu.Unlock()
		if n.agent != nil && state.Ready() != ready {
			n.setAgentReady(state.Ready())
		}
		if ready = state.Ready(); ready {
			continue
		}
		decide := func(lastUsed time.Time, pending, established bool) drain.Decision {
			return state.DecideConnection(elapsed, control.Micros(lastUsed.Sub(n.ops.started)/time.Microsecond), pending, established)
		}
		n.front.Sweep(decide)
		if n.agent != nil {
			n.agent.Sweep(decide)
		}
	}
}

// setAgentReady makes the health checks of SIP clients pass or fail.
func (n *Node) setAgentReady(ready bool) {
	if ready {
		n.agent.Rejoin()
	} else {
		n.agent.Drain()
	}
}

// openOperators starts to serve the operators' address if one is configured.
func (n *Node) openOperators(network networkLimits) error {
	if n.cfg.AdminAddr == "" {
		return nil
	}
	s, err := ops.Listen(n.cfg.AdminAddr, n, network.scheduler, n.log)
	if err != nil {
		return err
	}
	n.ops.server = s
	n.log.WithField("listen", s.Addr()).Info("operators' address serving")
	return nil
}

// OperatorsAddr returns the address of the operators' server, or "" if it is disabled.
func (n *Node) OperatorsAddr() string {
	if n.ops.server == nil {
		return ""
	}
	return n.ops.server.Addr()
}
