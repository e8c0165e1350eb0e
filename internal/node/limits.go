package node

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"beammux/internal/limits"
	"beammux/internal/store"
)

// openLimits puts the fleet's limits in force if the deploy file or the control machines' settings define any. With control
// machines the limiter is opened even without limits, since they may arrive at any time.
func (n *Node) openLimits() error {
	n.settings.mu.Lock()
	defer n.settings.mu.Unlock()
	d := n.settings.inForce().limits
	if d == nil && n.deploy.Control == nil {
		return nil
	}
	o := limits.Options{Name: cmp.Or(n.cfg.Name, "beammux"), Start: uint64(time.Now().UnixMilli()), Limits: quotaLimits(d), Now: n.core.Now, Log: n.log}
	if n.deploy.Fleet != nil {
		o.Name = cmp.Or(n.deploy.Fleet.Name, o.Name)
	}
	if n.fleet != nil {
		o.Gossip, o.Start = n.fleet, n.fleet.Start()
	}
	n.leaseMembers.Store(leaseAddresses(d))
	if len(*n.leaseMembers.Load()) > 0 || n.storeShared() || n.deploy.Control != nil {
		o.Lease = n.newLeaser()
	}
	l, err := limits.Open(o)
	if err != nil {
		return err
	}
	n.limits = l
	n.core.SetQuotas(l)
	n.exporter.setLimits(o.Limits, l)
	n.log.WithField("rules", len(o.Limits.Rules)).Info("limits of the fleet in force")
	return nil
}

// newLeaser returns a function that requests leases from the store members that the limits in force name, or from this
// gatekeeper's own store if they name none. After a failed request it moves to the next member.
func (n *Node) newLeaser() limits.Leaser {
	var next atomic.Uint32
	return func(ctx context.Context, request []byte) ([]byte, error) {
		addresses := *n.leaseMembers.Load()
		if len(addresses) == 0 {
			return n.store.Reduce(ctx, limits.LeaseKey, request)
		}
		ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
		defer cancel()
		i := next.Load()
		answer, err := store.ReduceAt(ctx, addresses[int(i)%len(addresses)], limits.LeaseKey, request)
		if err != nil {
			next.CompareAndSwap(i, i+1)
		}
		return answer, err
	}
}

// leaseTimeout bounds a lease request to one member; a lease lasts 1.5 s.
const leaseTimeout = 600 * time.Millisecond

// closeFleetFeatures closes the parts that depend on the fleet or the control machines: settings, limits and outlier detection.
func (n *Node) closeFleetFeatures() {
	n.closeSettings()
	if n.limits != nil {
		n.limits.Close()
	}
	if n.outliers != nil {
		n.outliers.Close()
	}
}
