// Package node assembles one gatekeeper: the core, its fronts, the store and the sources of its list of servers. Commands,
// tests and tools use it to run gatekeepers in process.
package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control/fleetview"
	"beammux/control/outlier"
	"beammux/internal/admin"
	"beammux/internal/config"
	"beammux/internal/counting"
	"beammux/internal/ejection"
	"beammux/internal/fleet"
	"beammux/internal/limits"
	"beammux/internal/protocol/bus"
	"beammux/internal/protocol/jsonl"
	"beammux/internal/protocol/sip"
	"beammux/internal/record"
	"beammux/internal/routing"
	"beammux/internal/store"
	"beammux/internal/transport"
)

// Key prefixes of the store's records, and names of the sources of the list of servers.
const (
	configurationKey = "configuration/"
	dialogKey        = "dialog/"

	fromBus   = "bus"
	fromFile  = "inventory file"
	fromStore = "inventory in store"
)

// Times of a drain.
const (
	acceptFor      = 500 * time.Millisecond // after SIGTERM, new connections are accepted for this long
	settleAfter    = 700 * time.Millisecond // after SIGTERM, time until the answers to open calls are bounded
	flushTimeout   = 300 * time.Millisecond // bounds the writing of queued output at the end
	settleInterval = 5 * time.Millisecond   // between checks for connections that are still in use
	killMargin     = 200 * time.Millisecond // answers are due this long before the process may be killed
	abortDelay     = 30 * time.Millisecond  // after the time at which answers are due, set-ups that have none are ended
	exitMargin     = 100 * time.Millisecond // the last parts are stopped this long before the process may be killed
)

// Node is one running gatekeeper.
type Node struct {
	cfg           *config.Config
	deploy        *config.Deploy
	log           logrus.FieldLogger
	core          *routing.Core
	list          *routing.List
	front         *jsonl.Front
	listener      *transport.Listener
	bus           *bus.Reader
	agent         *sip.Agent // nil while the SIP front is disabled
	store         *store.Node
	records       *record.Recorder // nil if disabled
	hub           *admin.Hub       // nil if the console socket is disabled
	calls         atomic.Value     // version of the limits of calls in force, a string
	ops           operators
	exporter      *exporter
	fleet         *fleet.Fleet             // nil if disabled
	counters      *counting.Counters       // nil if the fleet is disabled
	limits        *limits.Limiter          // of the whole fleet; nil if disabled
	leaseMembers  atomic.Pointer[[]string] // addresses of the store members that grant leases; empty for this gatekeeper's own store
	outliers      *ejection.Monitor        // nil if disabled
	settings      settings                 // from the deploy file and the control machines
	publishers    sync.WaitGroup           // goroutines that publish to the fleet
	lastSummaries []fleetview.Summary      // as last returned by summaries
	stop          context.CancelFunc
	removalDelay  time.Duration // of servers that a reloaded or imported inventory lacks

	lastListed []outlier.Server // as last returned by listedServers
}

// Addr returns the address that callers connect to.
func (n *Node) Addr() string { return n.listener.Addr().String() }
