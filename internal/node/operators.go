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

const sweepEvery = 100 * time.Millisecond // how often connections are looked at while evacuated

// operators holds what the operators' calls change: whether the gatekeeper takes clients. The decisions are drain's.
type operators struct {
	up      atomic.Bool // Start is through: callers are taken
	mu      sync.Mutex
	drain   drain.Drain
	started time.Time
	server  *ops.Server
}

func (o *operators) now() control.Micros {
	return control.Micros(time.Since(o.started) / time.Microsecond)
}

// Ready implements ops.Gatekeeper: yes once Start has returned and while clients are not sent away.
func (n *Node) Ready() bool {
	n.ops.mu.Lock()
	defer n.ops.mu.Unlock()
	return n.ops.up.Load() && n.ops.drain.Ready()
}

// Evacuate implements ops.Gatekeeper: the front's tests fail and connections close once nothing is owed on them.
func (n *Node) Evacuate() { n.sendAway((*drain.Drain).Evacuate) }

func (n *Node) sendAway(how func(*drain.Drain, control.Micros)) {
	n.ops.mu.Lock()
	how(&n.ops.drain, n.ops.now())
	n.ops.mu.Unlock()
	n.front.Drain()
	n.tellFleet(fleetview.Draining)
	n.log.Info("evacuating: clients are sent away")
}

// Rejoin implements ops.Gatekeeper.
func (n *Node) Rejoin() {
	n.ops.mu.Lock()
	n.ops.drain.Rejoin(n.ops.now())
	ready := n.ops.drain.Ready()
	n.ops.mu.Unlock()
	if !ready { // it ends
		return
	}
	n.front.Rejoin()
	n.tellFleet(fleetview.Ready)
	n.log.Info("rejoined: clients are taken again")
}

// WriteMetrics implements ops.Gatekeeper.
func (n *Node) WriteMetrics(w io.Writer) { n.figures.write(w) }

// sweep closes callers' connections as drain says while the gatekeeper is evacuated.
func (n *Node) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		n.ops.mu.Lock()
		d, at := n.ops.drain, n.ops.now()
		n.ops.mu.Unlock()
		if d.Ready() {
			continue
		}
		n.front.Sweep(func(used time.Time, owed, standing bool) drain.Decision {
			return d.DecideConnection(at, control.Micros(used.Sub(n.ops.started)/time.Microsecond), owed, standing)
		})
	}
}

// openOperators binds the operators' address, if one is set.
func (n *Node) openOperators() error {
	if n.cfg.AdminAddr == "" {
		return nil
	}
	s, err := ops.Listen(n.cfg.AdminAddr, n, n.log)
	if err != nil {
		return err
	}
	n.ops.server = s
	n.log.WithField("listen", s.Addr()).Info("operators' address serving")
	return nil
}

// OperatorsAddr is where the operators' address listens, or "" where it is off.
func (n *Node) OperatorsAddr() string {
	if n.ops.server == nil {
		return ""
	}
	return n.ops.server.Addr()
}
