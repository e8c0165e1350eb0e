package node

import (
	"context"
	"net"
	"sync/atomic"
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

// Descriptor counts and the default dial timeout.
const (
	reservedDescriptors = 24   // descriptors reserved for neither callers nor servers
	defaultDescriptors  = 1024 // if the configuration sets no limit
	minDescriptors      = 8    // minimum for callers and servers together, however low the limit is
	callerShare         = 8    // the share limit/callerShare is reserved for new callers
	defaultDialTimeout  = 500 * time.Millisecond
)

// Start starts a gatekeeper. When it returns, known servers are loaded and callers are accepted. The operators' address opens
// first and answers "not ready" until then. If the list of servers is only in the store, Start waits for the store without a
// timeout, until startCtx is done, and then returns the cause; all other waits are short.
func Start(startCtx context.Context, cfg *config.Config, deploy *config.Deploy, log logrus.FieldLogger) (*Node, error) {
	ctx, stop := context.WithCancel(context.Background())
	n := &Node{cfg: cfg, deploy: deploy, log: log, stop: stop, ops: operators{started: time.Now()},
		removalDelay: defaultRemovalDelay}
	if err := n.open(ctx, startCtx); err != nil {
		n.cleanUp()
		return nil, err
	}
	if err := n.store.TakeOver(); err != nil {
		n.cleanUp()
		return nil, err
	}
	n.serve(ctx)
	return n, nil
}

// open opens all parts in the order of their dependencies.
func (n *Node) open(ctx, startCtx context.Context) error {
	network := n.networkLimits()
	if err := n.openCore(ctx, network); err != nil {
		return err
	}
	if err := n.openOperators(network); err != nil {
		return err
	}
	if err := n.openStore(startCtx); err != nil {
		return err
	}
	if err := n.openServers(startCtx, network); err != nil {
		return err
	}
	if err := n.openListeners(ctx, network); err != nil {
		return err
	}
	if err := n.openFleet(ctx); err != nil {
		return err
	}
	return n.openLimits()
}

// cleanUp closes the parts that a failed start has opened.
func (n *Node) cleanUp() {
	n.stop()
	if n.listener != nil {
		n.listener.Close()
		if n.agent != nil {
			n.agent.Close()
		}
		n.closeFleetFeatures()
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

// networkLimits holds the limits that all connections of both fronts share.
type networkLimits struct {
	budget    *transport.Budget
	timeout   time.Duration // of a dial
	memory    transport.ClientMemory
	scheduler *transport.Scheduler
	agent     *atomic.Pointer[sip.Agent] // for the scheduler; empty until the SIP front is open
}

// networkLimits derives the limits from the configuration.
func (n *Node) networkLimits() networkLimits {
	descriptors := n.cfg.Sockets
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	reserved := reservedDescriptors
	if n.cfg.AdminAddr != "" {
		reserved += ops.MaxOpenConns + 1 // the operators' connections and listener count towards the same limit
	}
	if n.deploy.Control != nil {
		reserved += settingsDescriptors
	}
	timeout := time.Duration(n.cfg.Site.DialTimeout) * time.Microsecond
	if timeout <= 0 {
		timeout = defaultDialTimeout
	}
	agent := &atomic.Pointer[sip.Agent]{}
	return networkLimits{agent: agent, budget: transport.NewBudget(max(minDescriptors, descriptors-reserved), descriptors/callerShare), timeout: timeout,
		memory: clientMemory(n.cfg.MemoryMB, descriptors, n.deploy.SIPUDP != ""), scheduler: n.newScheduler(agent)}
}

// openCore creates the core with its records and metrics, and the JSON lines front.
func (n *Node) openCore(ctx context.Context, network networkLimits) error {
	recorder, err := n.openRecords()
	if err != nil {
		return err
	}
	n.core = routing.NewCore(n.cfg.Site.Settings, n.cfg.Seed, recorder, n.log)
	n.exporter = newExporter(n.core.Stats(), n.cfg.Site.ClassNames)
	if err := n.observeCalls(); err != nil {
		return err
	}
	n.startRecords(ctx)
	n.settings.file = sections{calls: n.deploy.Calls, limits: n.deploy.Limits}
	n.core.SetLimits(n.deploy.Calls)
	n.calls.Store(n.deploy.Calls.Version())
	n.front = jsonl.NewFront(orphanAwareCore{n.core, n}, n.cfg.Site.ClassNames, n.log)
	n.front.Scheduler = network.scheduler
	if n.outliers != nil {
		n.front.Seen = n.outliers.ObserveCaller
	}
	return nil
}

// observeCalls sets up the counting of calls and the outlier detection of servers if the fleet is enabled.
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

// openServers opens the dialers to servers, loads the known servers and the stored memory of them, and follows the control
// machines' settings.
func (n *Node) openServers(startCtx context.Context, network networkLimits) error {
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
	return n.openSettings(startCtx)
}

// openAgent opens the SIP front and restores the dialogs that the store holds.
func (n *Node) openAgent(network networkLimits) error {
	var deadlines []control.Micros
	for _, c := range n.cfg.Site.Classes {
		deadlines = append(deadlines, c.Deadline)
	}
	records := newDialogWriter(n.store, n.cfg.Name, n.log)
	o := sip.Options{Classes: n.cfg.Site.ClassNames, Deadlines: deadlines,
		DefaultClass: n.deploy.DefaultClass, Reports: n.cfg.Site.ReportNames, DialTimeout: network.timeout, Budget: network.budget,
		Memory: network.memory, Scheduler: network.scheduler, Dialogs: records, Log: n.log}
	if n.outliers != nil {
		o.OnFirstMessage, o.IsBlocked = n.outliers.ObserveCaller, n.outliers.Blocked
	}
	n.agent = sip.NewAgent(n.core, o)
	network.agent.Store(n.agent)
	if err := n.agent.Listen(n.deploy.SIPUDP, n.deploy.SIPTCP); err != nil {
		return err
	}
	n.restoreDialogs(records)
	return nil
}

// openListeners opens the callers' address, the SIP front to callers, and the console socket.
func (n *Node) openListeners(ctx context.Context, network networkLimits) (err error) {
	if n.listener, err = transport.Listen(n.cfg.Listen, network.budget); err != nil {
		return err
	}
	n.listener.Memory = network.memory
	if n.agent != nil {
		n.agent.Serve()
		n.log.WithFields(logrus.Fields{"udp": n.agent.Addr("UDP"), "tcp": n.agent.Addr("TCP")}).Info("SIP front serving")
		if n.deploy.SIPUDP != "" && n.agent.Addr("UDP") == "" {
			n.awaitAddress(ctx, "sip.udp", n.deploy.SIPUDP, n.agent.BindUDP)
		}
	}
	n.bus = n.newBusReader(network.timeout)
	if n.deploy.Console == "" {
		return nil
	}
	err = n.hub.Listen(n.deploy.Console)
	if isInUse(err) {
		n.awaitAddress(ctx, "console.listen", n.deploy.Console, func() error { return n.hub.Listen(n.deploy.Console) })
		return nil
	}
	if err != nil {
		return err
	}
	n.log.WithField("listen", n.hub.Addr()).Info("console socket serving")
	return nil
}

// newBusReader returns the reader of the event bus, which updates the list of servers.
func (n *Node) newBusReader(dialTimeout time.Duration) *bus.Reader {
	var firstByte atomic.Int64 // nanoseconds
	n.exporter.addBus(func() time.Duration { return time.Duration(firstByte.Load()) })
	return &bus.Reader{FirstByte: func(d time.Duration) { firstByte.Store(int64(d)) }, Addr: n.cfg.Bus, LastOffset: n.cfg.LastOffset, Log: n.log,
		Apply: func(u routing.Update) {
			u.Source = fromBus
			n.list.Apply(u, nil)
		},
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", addr)
		}}
}

// serve starts the goroutines that run until the shutdown. Callers are accepted from now on.
func (n *Node) serve(ctx context.Context) {
	if n.outliers != nil {
		n.listener.IsBlocked = n.outliers.Blocked
	}
	go n.bus.Run(ctx)
	go n.remember(ctx)
	n.startEvacuation(ctx)
	go n.listener.Serve(n.front.Serve)
	n.ops.serving.Store(true)
	n.log.WithFields(logrus.Fields{"listen": n.Addr(), "calls": n.calls.Load()}).Info("serving")
}
