package node

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"beammux/internal/limits"
	"beammux/internal/store"
)

// openLimits puts the fleet's limits in force, where the deploy file or the settings of the control machines name any. With
// control machines it is open also without any limits, since those may come at any time.
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
	n.leaseAt.Store(leaseAddresses(d))
	if len(*n.leaseAt.Load()) > 0 || n.storeShared() || n.deploy.Control != nil {
		o.Lease = n.leaser()
	}
	l, err := limits.Open(o)
	if err != nil {
		return err
	}
	n.limits = l
	n.core.SetQuotas(l)
	n.figures.setLimits(o.Limits, l)
	n.log.WithField("rules", len(o.Limits.Rules)).Info("limits of the fleet in force")
	return nil
}

// leaser asks the members of the store that the limits in force name, the next one after one that did not answer, or this
// gatekeeper's own store where they name none.
func (n *Node) leaser() limits.Leaser {
	var at atomic.Uint32
	return func(ctx context.Context, request []byte) ([]byte, error) {
		addresses := *n.leaseAt.Load()
		if len(addresses) == 0 {
			return n.store.Reduce(ctx, limits.LeaseKey, request)
		}
		ctx, cancel := context.WithTimeout(ctx, leaseWithin)
		defer cancel()
		i := at.Load()
		answer, err := store.ReduceAt(ctx, addresses[int(i)%len(addresses)], limits.LeaseKey, request)
		if err != nil {
			at.CompareAndSwap(i, i+1)
		}
		return answer, err
	}
}

const leaseWithin = 600 * time.Millisecond // at one member; a lease lasts 1.5 s

// closeShared ends what is decided with the fleet.
func (n *Node) closeShared() {
	n.closeSettings()
	if n.limits != nil {
		n.limits.Close()
	}
	if n.outliers != nil {
		n.outliers.Close()
	}
}
