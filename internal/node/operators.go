package node

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"beammux/control"
	"beammux/control/drain"
	"beammux/control/fleetview"
	"beammux/internal/ops"
)

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
