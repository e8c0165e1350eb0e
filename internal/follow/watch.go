package follow

import (
	"context"
	"net"
	"time"

	"beammux/control/scope"
)

// PLACEHOLDER: the types of the store's client, as the contract has them, until internal/store brings them.

type Dial func(ctx context.Context, network, address string) (net.Conn, error)

type WatchKind int

const (
	Snapshot WatchKind = iota
	Change
	Heartbeat
)

type WatchEvent struct {
	Kind     WatchKind
	Revision uint64
	Records  []scope.Record
	Fleet    *FleetCounts
}

type SessionInfo struct{ Name, Region, Zone, Service string }

type WatchRequest struct {
	Prefixes []string
	After    uint64
	Session  SessionInfo
}

type WatchReport struct {
	InForce, Refused uint64
	Fault            string
}

type FleetCounts struct {
	Revision                           uint64
	Sessions, Holding, Behind, Refused int
	OldestBehind                       time.Duration
}
