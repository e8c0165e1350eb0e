package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"beammux/control"
	"beammux/control/quota"
	"beammux/internal/limits"
	"beammux/internal/store"
)

const (
	leaseHeld    = control.Micros(3600e6) // long enough that the table stays full while it is measured
	leasesTimed  = 100
	leaseRule    = "ward-7"
	leasePerS    = 1000
	leaseWanted  = 3
	leasesWithin = 20 * time.Second
)

// measureLeases times one request for a lease at the leader of a single member in memory, by how many hold a lease.
func measureLeases(r *run) error {
	for _, holders := range []int{50, 100, 200, 400, 800, 1600, 2200} {
		if err := r.leasesOf(holders); err != nil {
			return fmt.Errorf("%d holders: %w", holders, err)
		}
		r.progress("leases: %d holders", holders)
	}
	return nil
}

func (r *run) leasesOf(holders int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	n, err := store.Open(store.Options{Node: "leases", Listener: l, Log: r.Log,
		Peers:    []store.Peer{{Node: "leases", Address: l.Addr().String()}},
		Reducers: map[string]store.Reducer{limits.LeaseKey: quota.Reduce}})
	if err != nil {
		return err
	}
	defer n.Close()
	ready, cancel := context.WithTimeout(r.ctx, replicaReadyWithin)
	defer cancel()
	if err := n.WaitReady(ready); err != nil {
		return err
	}
	for i := range holders {
		if err := r.lease(n, i, 1); err != nil {
			return err
		}
	}
	table, _ := n.Get(limits.LeaseKey)
	for repetition := range r.Repetitions {
		var took []time.Duration
		processor := processorTime()
		for i := range leasesTimed {
			began := time.Now()
			if err := r.lease(n, i%holders, uint64(2+repetition*leasesTimed+i)); err != nil {
				return err
			}
			took = append(took, time.Since(began))
		}
		used := processorTime() - processor
		r.add("leases.request", "us", "holders of a lease", float64(holders), quantile(took, 0.5))
		r.add("leases.processor", "us", "holders of a lease", float64(holders), float64(used.Microseconds())/leasesTimed)
		r.add("leases.table_bytes", "B", "holders of a lease", float64(holders), float64(len(table.Value)))
	}
	return nil
}

// lease renews one holder's lease on one rule.
func (r *run) lease(n *store.Node, holder int, sequence uint64) error {
	request, err := json.Marshal(quota.Request{Member: fmt.Sprintf("gatekeeper-%04d", holder), Incarnation: 1, Seq: sequence, Duration: leaseHeld,
		Capacities: []quota.CapacityRequest{{Name: leaseRule, Capacity: leasePerS, Keep: leaseWanted, Want: leaseWanted}}})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.ctx, leasesWithin)
	defer cancel()
	_, err = n.Reduce(ctx, limits.LeaseKey, request)
	return err
}
