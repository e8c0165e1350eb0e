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
	leaseDuration     = control.Micros(3600e6) // longer than a measurement, so that no lease expires during it
	timedLeases       = 100
	leaseCapacityName = "ward-7"
	leaseCapacityPerS = 1000
	leaseWant         = 3
	leaseTimeout      = 20 * time.Second
)

// measureLeases measures one lease request at a store with a single member in memory, for several numbers of lease holders.
func measureLeases(r *run) error {
	for _, holders := range []int{50, 100, 200, 400, 800, 1600, 2200} {
		if err := r.measureHolders(holders); err != nil {
			return fmt.Errorf("%d holders: %w", holders, err)
		}
		r.progress("leases: %d holders", holders)
	}
	return nil
}

// measureHolders measures lease requests with a number of holders.
func (r *run) measureHolders(holders int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	node, err := store.Open(store.Options{Node: "leases", Listener: listener, Log: r.Log,
		Peers:    []store.Peer{{Node: "leases", Address: listener.Addr().String()}},
		Reducers: map[string]store.Reducer{limits.LeaseKey: quota.Reduce}})
	if err != nil {
		return err
	}
	defer node.Close()
	readyCtx, cancel := context.WithTimeout(r.ctx, replicaReadyTimeout)
	defer cancel()
	if err := node.WaitReady(readyCtx); err != nil {
		return err
	}
	for i := range holders {
		if err := r.renewLease(node, i, 1); err != nil {
			return err
		}
	}
	table, _ := node.Get(limits.LeaseKey)
	for repetition := range r.Repetitions {
		var durations []time.Duration
		cpuBefore := cpuTime()
		for i := range timedLeases {
			started := time.Now()
			if err := r.renewLease(node, i%holders, uint64(2+repetition*timedLeases+i)); err != nil {
				return err
			}
			durations = append(durations, time.Since(started))
		}
		cpuUsed := cpuTime() - cpuBefore
		r.add("leases.request", "us", "holders of a lease", float64(holders), quantile(durations, 0.5))
		r.add("leases.processor", "us", "holders of a lease", float64(holders), float64(cpuUsed.Microseconds())/timedLeases)
		r.add("leases.table_bytes", "B", "holders of a lease", float64(holders), float64(len(table.Value)))
	}
	return nil
}

// renewLease requests or renews one holder's lease on one capacity.
func (r *run) renewLease(n *store.Node, holder int, sequence uint64) error {
	request, err := json.Marshal(quota.Request{Member: fmt.Sprintf("gatekeeper-%04d", holder), Incarnation: 1, Seq: sequence, Duration: leaseDuration,
		Capacities: []quota.CapacityRequest{{Name: leaseCapacityName, Capacity: leaseCapacityPerS, Keep: leaseWant, Want: leaseWant}}})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.ctx, leaseTimeout)
	defer cancel()
	_, err = n.Reduce(ctx, limits.LeaseKey, request)
	return err
}
