// Package node ties one gatekeeper together: the core, its fronts, the store and what feeds its list of servers.
// Commands, tests and tools run gatekeepers in process through it.
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

// Further keys of the store and names of the list's sources.
const (
	configurationKey = "configuration/"
	dialogKey        = "dialog/"

	fromBus   = "bus"
	fromFile  = "inventory file"
	fromStore = "inventory in store"
)

const (
	takeFor     = 500 * time.Millisecond // after SIGTERM new connections are taken for this long
	openFor     = 700 * time.Millisecond // and set-ups on open ones
	flushFor    = 300 * time.Millisecond // for what is queued at the end
	settleEvery = 5 * time.Millisecond   // between looks at what is left at the end
	killSlack   = 200 * time.Millisecond // an answer is on its way by so much before the process may be killed
)

// Node is one running gatekeeper: the core, its fronts and what feeds its list.
type Node struct {
	cfg      *config.Config
	deploy   *config.Deploy
	log      logrus.FieldLogger
	core     *routing.Core
	list     *routing.List
	front    *jsonl.Front
	listener *transport.Listener
	bus      *bus.Reader
	agent    *sip.Agent // nil while the SIP front is off
	store    *store.Node
	records  *record.Recorder // nil: off
	hub      *admin.Hub       // nil: nobody records or watches
	calls    atomic.Value     // version of the limits in force, a string
	ops      operators
	figures  *figures
	fleet    *fleet.Fleet             // nil: off
	counters *counting.Counters       // nil: off
	limits   *limits.Limiter          // of the whole fleet; nil: off
	leaseAt  atomic.Pointer[[]string] // where the limits in force name members of a store; none: this gatekeeper's own
	outliers *ejection.Monitor        // nil: off
	settings settings                 // that the deploy file and the control machines give
	telling  sync.WaitGroup           // what publishes to the fleet
	lastSeen []fleetview.Summary      // of the servers, as last told to the fleet
	stop     context.CancelFunc

	lastListed []outlier.Server // as last returned by listedServers
}

// Addr is the address at which callers connect.
func (n *Node) Addr() string { return n.listener.Addr().String() }
