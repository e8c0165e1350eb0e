package node

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/internal/config"
	"beammux/internal/counting"
	"beammux/internal/ops"
	"beammux/internal/protocol/bus"
	"beammux/internal/protocol/jsonl"
	"beammux/internal/protocol/sip"
	"beammux/internal/routing"
	"beammux/internal/transport"
)

// Descriptors and times of a gatekeeper whose configuration says nothing of them.
const (
	ownFiles    = 24   // descriptors that are neither callers' nor servers'
	plainFiles  = 1024 // where the configuration has no limit
	leastFiles  = 8    // for callers and servers together, however low the limit is
	callersPart = 8    // of the limit, one part in so many is kept for new callers
	dialTimeout = 500 * time.Millisecond
)

// Start brings a gatekeeper up. It takes callers once it returns: known servers are loaded by then. The operators'
// address opens first, and says not ready until then. Where the store alone holds the list of servers, Start waits for
// the store as long as that takes, or until the end of begin, whose cause it then returns; nothing else in it waits long.
func Start(begin context.Context, cfg *config.Config, deploy *config.Deploy, log logrus.FieldLogger) (*Node, error) {
	ctx, stop := context.WithCancel(context.Background())
	n := &Node{cfg: cfg, deploy: deploy, log: log, stop: stop, ops: operators{started: time.Now()}}
	if err := n.open(ctx, begin); err != nil {
		n.abandon()
		return nil, err
	}
	n.serve(ctx)
	return n, nil
}

// open opens all parts in the order in which they need each other.
func (n *Node) open(ctx, begin context.Context) error {
	network := n.networkLimits()
	if err := n.openCore(ctx); err != nil {
		return err
	}
	if err := n.openOperators(); err != nil {
		return err
	}
	if err := n.openStore(begin); err != nil {
		return err
	}
	if err := n.openServers(begin, network); err != nil {
		return err
	}
	if err := n.openListeners(network); err != nil {
		return err
	}
	if err := n.openFleet(ctx); err != nil {
		return err
	}
	return n.openLimits()
}

// abandon closes what was opened by a start that failed.
func (n *Node) abandon() {
	n.stop()
	if n.listener != nil {
		n.listener.Close()
		if n.agent != nil {
			n.agent.Close()
		}
		n.closeShared()
	}
	if n.fleet != nil {
		n.fleet.Close()
	}
	if n.ops.server != nil {
		n.ops.server.Close()
	}
	n.closeSettings()
	if n.store != nil {
		n.store.Close()
	}
	n.closeRecords()
}

// networkLimits are what all connections share.
type networkLimits struct {
	budget  *transport.Budget
	timeout time.Duration // of a dial
}

func (n *Node) networkLimits() networkLimits {
	files := n.cfg.Sockets
	if files <= 0 {
		files = plainFiles
	}
	own := ownFiles
	if n.cfg.AdminAddr != "" {
		own += ops.MaxOpenConns + 1 // the operators' connections and listener are descriptors of the same limit
	}
	if n.deploy.Control != nil {
		own += settingsFiles
	}
	timeout := time.Duration(n.cfg.Site.DialTimeout) * time.Microsecond
	if timeout <= 0 {
		timeout = dialTimeout
	}
	return networkLimits{transport.NewBudget(max(leastFiles, files-own), files/callersPart), timeout}
}

// openCore makes the core with its records and figures, and the platform's front.
func (n *Node) openCore(ctx context.Context) error {
	recorder, err := n.openRecords()
	if err != nil {
		return err
	}
	n.core = routing.NewCore(n.cfg.Site.Settings, n.cfg.Seed, recorder, n.log)
	n.figures = newFigures(n.core.Stats(), n.cfg.Site.ClassNames)
	if err := n.observeCalls(); err != nil {
		return err
	}
	n.startRecords(ctx)
	n.settings.file = sections{calls: n.deploy.Calls, limits: n.deploy.Limits}
	n.core.SetLimits(n.deploy.Calls)
	n.calls.Store(n.deploy.Calls.Version())
	n.front = jsonl.NewFront(restarted{n.core, n}, n.cfg.Site.ClassNames, n.log)
	if n.outliers != nil {
		n.front.Seen = n.outliers.ObserveCaller
	}
	return nil
}

// observeCalls has calls counted, and servers judged by them, where the fleet is on.
func (n *Node) observeCalls() (err error) {
	if n.deploy.Fleet == nil {
		return nil
	}
	n.counters = counting.New(counting.Options{Classes: len(n.cfg.Site.Classes), Tenants: len(n.cfg.Site.Tenants)})
	observers := []routing.Observer{n.counters}
	if n.deploy.Fleet.MaxKeptOut > 0 {
		if n.outliers, err = n.newOutlierMonitor(); err != nil {
			return err
		}
		observers = append(observers, n.outliers)
	}
	n.core.SetObservers(observers...)
	return nil
}

// openServers opens the ways to servers, loads the servers that are known, and what was learned of them.
func (n *Node) openServers(begin context.Context, network networkLimits) error {
	site := n.cfg.Site
	d := &dialer{platform: &sip.PlatformDialer{Budget: network.budget, Timeout: network.timeout, Classes: site.ClassNames,
		Reports: site.ReportNames, Log: n.log}}
	if n.deploy.SIPUDP != "" || n.deploy.SIPTCP != "" {
		if err := n.openAgent(network); err != nil {
			return err
		}
		d.agent = n.agent
	}
	n.core.SetOrphans(n)
	n.list = routing.NewList(n.core, d, n.log)
	if err := n.loadServers(); err != nil {
		return err
	}
	n.recall()
	return n.openSettings(begin)
}

// openAgent opens the SIP front with the dialogs that the store holds.
func (n *Node) openAgent(network networkLimits) error {
	var deadlines []control.Micros
	for _, c := range n.cfg.Site.Classes {
		deadlines = append(deadlines, c.Deadline)
	}
	records := newDialogs(n.store, n.cfg.Name, n.log)
	o := sip.Options{Classes: n.cfg.Site.ClassNames, Deadlines: deadlines,
		DefaultClass: n.deploy.DefaultClass, Reports: n.cfg.Site.ReportNames, DialTimeout: network.timeout, Budget: network.budget,
		Dialogs: records, Log: n.log}
	if n.outliers != nil {
		o.OnFirstMessage, o.IsBlocked = n.outliers.ObserveCaller, n.outliers.Blocked
	}
	n.agent = sip.NewAgent(n.core, o)
	if err := n.agent.Listen(n.deploy.SIPUDP, n.deploy.SIPTCP); err != nil {
		return err
	}
	n.restoreDialogs(records)
	return nil
}

// openListeners opens the callers' address, the SIP front to callers, and the console's.
func (n *Node) openListeners(network networkLimits) (err error) {
	if n.listener, err = transport.Listen(n.cfg.Listen, network.budget); err != nil {
		return err
	}
	if n.agent != nil {
		n.agent.Serve()
		n.log.WithFields(logrus.Fields{"udp": n.agent.Addr("UDP"), "tcp": n.agent.Addr("TCP")}).Info("SIP front serving")
	}
	n.bus = n.newBusReader(network.timeout)
	if n.deploy.Console == "" {
		return nil
	}
	if err := n.hub.Listen(n.deploy.Console); err != nil {
		return err
	}
	n.log.WithField("listen", n.hub.Addr()).Info("console socket serving")
	return nil
}

// newBusReader makes the reader of the event bus, which changes the list.
func (n *Node) newBusReader(dialWithin time.Duration) *bus.Reader {
	return &bus.Reader{Addr: n.cfg.Bus, LastOffset: n.cfg.LastOffset, Log: n.log,
		Apply: func(u routing.Update) {
			u.Source = fromBus
			n.list.Apply(u, nil)
		},
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{Timeout: dialWithin}).DialContext(ctx, "tcp", addr)
		}}
}

// serve starts what runs until the end: callers are taken from now on.
func (n *Node) serve(ctx context.Context) {
	if n.outliers != nil {
		n.listener.IsBlocked = n.outliers.Blocked
	}
	go n.bus.Run(ctx)
	go n.remember(ctx)
	go n.sweep(ctx)
	go n.listener.Serve(n.front.Serve)
	n.ops.up.Store(true)
	n.log.WithFields(logrus.Fields{"listen": n.Addr(), "calls": n.calls.Load()}).Info("serving")
}
