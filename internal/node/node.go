// Package node ties one gatekeeper together: the core, its fronts, the store and what feeds its list of servers.
// Commands, tests and tools run gatekeepers in process through it.
package node

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/control/fleetview"
	"beammux/control/outlier"
	"beammux/internal/admin"
	"beammux/internal/config"
	"beammux/internal/counting"
	"beammux/internal/ejection"
	"beammux/internal/fleet"
	"beammux/internal/limits"
	"beammux/internal/ops"
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
	ownFiles    = 24                     // descriptors that are neither callers' nor servers'
	plainFiles  = 1024
	dialTimeout = 500 * time.Millisecond
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

// Start brings a gatekeeper up. It takes callers once it returns: known servers are loaded by then. The operators'
// address opens first, and says not ready until then. Where the store alone holds the list of servers, Start waits for
// the store as long as that takes, or until the end of begin, whose cause it then returns; nothing else in it waits long.
func Start(begin context.Context, cfg *config.Config, deploy *config.Deploy, log logrus.FieldLogger) (_ *Node, err error) {
	ctx, stop := context.WithCancel(context.Background())
	n := &Node{cfg: cfg, deploy: deploy, log: log, stop: stop, ops: operators{started: time.Now()}}
	defer func() {
		if err != nil {
			stop()
			if n.ops.server != nil {
				n.ops.server.Close()
			}
			n.closeSettings()
			if n.store != nil {
				n.store.Close()
			}
			n.closeRecords()
		}
	}()
	files := cfg.Sockets
	if files <= 0 {
		files = plainFiles
	}
	own := ownFiles
	if cfg.Admin != "" {
		own += ops.ConnsMost + 1 // the operators' connections and listener are descriptors of the same limit
	}
	if deploy.Control != nil {
		own += settingsFiles
	}
	budget := transport.NewBudget(max(8, files-own), files/8)
	timeout := time.Duration(cfg.Site.DialTimeout) * time.Microsecond
	if timeout <= 0 {
		timeout = dialTimeout
	}
	recorder, err := n.openRecords()
	if err != nil {
		return nil, err
	}
	n.core = routing.NewCore(cfg.Site.Settings, cfg.Seed, recorder, log)
	n.figures = newFigures(n.core.Figures(), cfg.Site.ClassNames)
	if deploy.Fleet != nil {
		n.counters = counting.New(counting.Options{Classes: len(cfg.Site.Classes), Tenants: len(cfg.Site.Tenants)})
		observers := []routing.Observer{n.counters}
		if deploy.Fleet.MaxOut > 0 {
			if n.outliers, err = n.newOutlierMonitor(); err != nil {
				return nil, err
			}
			observers = append(observers, n.outliers)
		}
		n.core.SetObservers(observers...)
	}
	n.startRecords(ctx)
	n.settings.file = sections{calls: deploy.Calls, limits: deploy.Limits}
	n.core.SetLimits(deploy.Calls)
	n.calls.Store(deploy.Calls.Version())
	n.front = jsonl.NewFront(restarted{n.core, n}, cfg.Site.ClassNames, log)
	if n.outliers != nil {
		n.front.Seen = n.outliers.ObserveCaller
	}
	if err = n.openOperators(); err != nil {
		return nil, err
	}
	if err = n.openStore(begin); err != nil {
		return nil, err
	}
	d := &dialer{platform: &sip.PlatformDialer{Budget: budget, Timeout: timeout, Classes: cfg.Site.ClassNames,
		Reports: cfg.Site.ReportNames, Log: log}}
	if deploy.SIPUDP != "" || deploy.SIPTCP != "" {
		var deadlines []control.Micros
		for _, c := range cfg.Site.Classes {
			deadlines = append(deadlines, c.Deadline)
		}
		records := newDialogs(n.store, cfg.Name, log)
		n.agent = sip.NewAgent(n.core, sip.Options{Classes: cfg.Site.ClassNames, Deadlines: deadlines,
			DefaultClass: deploy.DefaultClass, Reports: cfg.Site.ReportNames, DialTimeout: timeout, Budget: budget,
			Dialogs: records, Log: log})
		if err = n.agent.Listen(deploy.SIPUDP, deploy.SIPTCP); err != nil {
			return nil, err
		}
		d.agent = n.agent
		n.restoreDialogs(records)
	}
	n.core.SetOrphans(n)
	n.list = routing.NewList(n.core, d, log)
	if err = n.loadServers(); err != nil {
		return nil, err
	}
	n.recall()
	if err = n.openSettings(begin); err != nil {
		return nil, err
	}
	if n.listener, err = transport.Listen(cfg.Listen, budget); err != nil {
		return nil, err
	}
	if n.agent != nil {
		n.agent.Serve()
		log.WithFields(logrus.Fields{"udp": n.agent.Addr("UDP"), "tcp": n.agent.Addr("TCP")}).Info("SIP front serving")
	}
	n.bus = &bus.Reader{Addr: cfg.Bus, Last: cfg.Last, Log: log,
		Apply: func(u routing.Update) {
			u.Source = fromBus
			n.list.Apply(u, nil)
		},
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{Timeout: timeout}).DialContext(ctx, "tcp", addr)
		}}
	if deploy.Console != "" {
		if err = n.hub.Listen(deploy.Console); err != nil {
			n.listener.Close()
			return nil, err
		}
		log.WithField("listen", n.hub.Addr()).Info("console socket serving")
	}
	if err = n.openFleet(ctx); err == nil {
		err = n.openLimits()
	}
	if err != nil {
		n.listener.Close()
		if n.agent != nil {
			n.agent.Close()
		}
		n.closeShared()
		if n.fleet != nil {
			n.fleet.Close()
		}
		return nil, err
	}
	if n.outliers != nil {
		n.listener.Away = n.outliers.Blocked
	}
	go n.bus.Run(ctx)
	go n.remember(ctx)
	go n.sweep(ctx)
	go n.listener.Serve(n.front.Serve)
	n.ops.up.Store(true)
	log.WithFields(logrus.Fields{"listen": n.Addr(), "calls": n.calls.Load()}).Info("serving")
	return n, nil
}

// Addr is the address at which callers connect.
func (n *Node) Addr() string { return n.listener.Addr().String() }
