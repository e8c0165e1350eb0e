// Package node ties one gatekeeper together: the core, its fronts, the store and what feeds its list of servers.
// Commands, tests and tools run gatekeepers in process through it.
package node

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/control/drain"
	"beammux/control/fleetview"
	"beammux/control/history"
	"beammux/control/quota"
	"beammux/control/verdict"
	"beammux/internal/actor"
	"beammux/internal/admin"
	"beammux/internal/config"
	"beammux/internal/counting"
	"beammux/internal/fleet"
	"beammux/internal/inventory"
	"beammux/internal/limits"
	"beammux/internal/ops"
	"beammux/internal/protocol/bus"
	"beammux/internal/protocol/jsonl"
	"beammux/internal/protocol/sip"
	"beammux/internal/record"
	"beammux/internal/routing"
	"beammux/internal/store"
	"beammux/internal/transport"
	"beammux/internal/verdicts"
)

// InventoryKey is the store's record that holds an imported inventory: the ending of the file, a line feed, its text.
const InventoryKey = "inventory"

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
	judge    *verdicts.Judge          // nil: off
	settings settings                 // that the deploy file and the control machines give
	telling  sync.WaitGroup           // what publishes to the fleet
	lastSeen []fleetview.Summary      // of the servers, as last told to the fleet
	stop     context.CancelFunc

	lastListed []verdict.Server // as last read by the judge
}

// dialer picks the dialect by the form of a server's address.
type dialer struct {
	platform *sip.PlatformDialer
	agent    *sip.Agent
}

// Lines implements routing.Dialer.
func (d *dialer) Lines(addr string) int { return d.dialect(addr).Lines(addr) }

// Dial implements routing.Dialer.
func (d *dialer) Dial(ctx context.Context, addr string, events routing.LineEvents) (routing.Line, error) {
	return d.dialect(addr).Dial(ctx, addr, events)
}

func (d *dialer) dialect(addr string) routing.Dialer {
	switch {
	case !strings.HasPrefix(addr, "sip:"):
		return d.platform
	case d.agent == nil:
		return noDialer{}
	}
	return d.agent
}

// noDialer stands for the SIP front while that is off.
type noDialer struct{}

func (noDialer) Lines(string) int { return 1 }

func (noDialer) Dial(_ context.Context, addr string, _ routing.LineEvents) (routing.Line, error) {
	return nil, fmt.Errorf("server %s needs the SIP front, which is off", addr)
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
			if n.judge, err = n.newJudge(); err != nil {
				return nil, err
			}
			observers = append(observers, n.judge)
		}
		n.core.SetObservers(observers...)
	}
	n.startRecords(ctx)
	n.settings.file = sections{calls: deploy.Calls, limits: deploy.Limits}
	n.core.SetLimits(deploy.Calls)
	n.calls.Store(deploy.Calls.Version())
	n.front = jsonl.NewFront(restarted{n.core, n}, cfg.Site.ClassNames, log)
	if n.judge != nil {
		n.front.Seen = n.judge.Caller
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
	if n.judge != nil {
		n.listener.Away = n.judge.Away
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

// Import puts an inventory into force as if it had been imported into the store; name tells the form by its ending.
func (n *Node) Import(name string, text []byte) error {
	hosts, err := inventory.Parse(name, text)
	if err != nil {
		return err
	}
	loaded := make(chan struct{})
	n.list.Apply(routing.Update{Source: fromStore, Whole: true, Hosts: hosts}, func() { close(loaded) })
	<-loaded
	return nil
}

// Close ends the gatekeeper at once, without answering what is open. Drain is the way to end one that serves.
func (n *Node) Close() {
	if n.ops.server != nil {
		n.ops.server.Close()
	}
	n.listener.Close()
	if n.agent != nil {
		n.agent.Close()
	}
	n.stop()
	n.endRouting()
	n.closeShared()
	n.telling.Wait()
	if n.fleet != nil {
		n.fleet.Close()
	}
	n.store.Close()
	n.closeRecords()
}

// endRouting stops the list, its lines and the core: nothing is owed any more.
func (n *Node) endRouting() {
	n.list.End()
	n.core.Post(n.core.Stop)
}

// loadServers gives the list what is known at the start and waits until the module has it.
func (n *Node) loadServers() error {
	var updates []routing.Update
	for _, e := range n.cfg.Known {
		if e.Update != nil {
			u := *e.Update
			u.Source = fromBus
			updates = append(updates, u)
		}
	}
	if n.deploy.Inventory != "" {
		hosts, err := inventory.Load(n.deploy.Inventory)
		if err != nil {
			return err
		}
		n.settings.file.hosts = hosts
		updates = append(updates, routing.Update{Source: fromFile, Whole: true, Hosts: hosts})
	}
	var loaded sync.WaitGroup
	for _, u := range updates {
		loaded.Add(1)
		n.list.Apply(u, loaded.Done)
	}
	loaded.Wait()
	n.store.Watch(InventoryKey, n.imported)
	if r, ok := n.store.Get(InventoryKey); ok {
		n.imported(r)
	}
	return nil
}

// imported takes an inventory from the store. A bad one leaves the list as it is.
func (n *Node) imported(r store.Record) {
	if r.Key != InventoryKey || r.Value == nil {
		return
	}
	hosts, err := parseImported(r.Value)
	if err != nil {
		n.log.WithError(err).Error("inventory in store is bad, last good one kept")
		return
	}
	n.list.Apply(routing.Update{Source: fromStore, Whole: true, Hosts: hosts}, nil)
	n.log.WithFields(logrus.Fields{"servers": len(hosts), "revision": r.Revision}).Info("inventory taken from store")
}

// parseImported reads the record that an import wrote.
func parseImported(value []byte) ([]routing.Host, error) {
	ext, text, _ := bytes.Cut(value, []byte("\n"))
	return inventory.Parse("store:inventory"+string(ext), text)
}

// Reload reads configuration, inventory and limits of calls again and goes on at the event bus that the configuration
// names. Sections that the control machines' settings name stay as those say. A bad file leaves all as it was. The module's settings and the listening addresses are fixed for the life of the process.
func (n *Node) Reload(file, deployFile string) {
	cfg, err := config.Load(file)
	if err != nil {
		n.log.WithError(err).Error("reload: configuration is bad, last good one kept")
		return
	}
	deploy, err := config.LoadDeploy(deployFile, n.cfg.Site)
	if err != nil {
		for line := range strings.SplitSeq(err.Error(), "\n") {
			n.log.WithField("error", line).Error("reload: deploy file is bad, last good one kept")
		}
		return
	}
	var hosts []routing.Host
	if deploy.Inventory != "" {
		if hosts, err = inventory.Load(deploy.Inventory); err != nil {
			n.log.WithError(err).Error("reload: inventory is bad, last good one kept")
			return
		}
	}
	if n.deploy.Limits == nil && n.deploy.Control == nil && deploy.Limits != nil {
		n.log.Warn("reload: fleet.limits is new; it takes effect at the next start")
	}
	n.bus.Move(cfg.Bus)
	now, delivered := n.reloadSections(sections{calls: deploy.Calls, limits: deploy.Limits, hosts: hosts})
	n.recordConfiguration(cfg)
	log := n.log.WithFields(logrus.Fields{"bus": cfg.Bus, "servers": len(now.hosts), "calls": now.calls.Version()})
	if len(delivered) > 0 {
		log = log.WithField("from_control_machines", strings.Join(delivered, " "))
	}
	log.Info("reloaded event bus, inventory and limits of calls; other changes take effect at the next start")
}

// Orphan passes on the release of a call that stood before this process started.
func (n *Node) Orphan(id string, cause int) {
	if n.agent == nil {
		n.front.Orphan(id, cause)
		return
	}
	n.agent.Orphan(id, cause, func() { n.front.Orphan(id, cause) })
}

// restarted is the core as the JSON front sees it: it also ends calls that stand at SIP servers since before this
// process started.
type restarted struct {
	*routing.Core
	node *Node
}

func (r restarted) Hangup(id string, cause int, caller routing.Caller, done func(known bool)) {
	r.Core.Hangup(id, cause, caller, func(known bool) {
		if !known && r.node.agent != nil {
			r.node.agent.OrphanHangup(id, cause)
		}
		done(known)
	})
}

// Drain answers all that was taken, then ends.
func (n *Node) Drain() {
	n.log.Info("draining: answering what was taken")
	n.core.Note(history.Event{Kind: history.Draining})
	n.sendAway((*drain.Drain).End)
	n.tellFleet(fleetview.Leaving)
	if n.agent != nil {
		n.agent.Drain()
	}
	time.Sleep(takeFor)
	n.listener.Stop()
	time.Sleep(openFor - takeFor)
	n.settle()
	n.listener.Finish(flushFor)
	if n.agent != nil {
		n.agent.Close()
	}
	n.stop()
	n.closeShared()
	n.telling.Wait()
	if n.fleet != nil {
		n.fleet.Leave()
	}
	if n.ops.server != nil {
		n.ops.server.Close()
	}
	n.store.Close()
	n.core.Note(history.Event{Kind: history.Finished})
	n.endRouting()
	n.closeRecords()
	n.log.Info("drained")
}

// settle waits until nothing is owed and no connection is left on which something could come to be: what is read after the
// last look at "nothing is owed" is on a connection that stays open until it is answered too. Callers who go on sending on the
// connections that are kept are served meanwhile, and have their answers before the process may be killed; but they don't
// hold it: past half of that time what still comes is refused, and bytes that nobody has read keep no connection open.
func (n *Node) settle() {
	left := n.restartTime()
	n.core.AnswerWithin(max(0, left-killSlack))
	var late atomic.Bool
	goOn := time.AfterFunc(left/2, func() {
		late.Store(true)
		n.front.TurnAway()
		if n.agent != nil {
			n.agent.TurnAway()
		}
	})
	defer goOn.Stop()
	for {
		drained := make(chan struct{})
		n.core.Drained(func() { close(drained) })
		<-drained
		if n.listener.FinishIdle(late.Load()) {
			return
		}
		time.Sleep(settleEvery)
	}
}

// restartTime is what a planned restart gives at the least, past openFor, until SIGKILL: the longest deadline, 3 s at most.
func (n *Node) restartTime() time.Duration {
	longest := control.Micros(0)
	for _, c := range n.cfg.Site.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(time.Duration(longest)*time.Microsecond, 3*time.Second)
}

// ---- Store ----

func (n *Node) openStore(begin context.Context) error {
	o := store.Options{Node: n.deploy.StoreNode, Dir: n.deploy.StoreDir, Sync: n.deploy.StoreSync,
		Join: n.deploy.StoreJoin, Via: n.deploy.StoreVia, Log: n.log, Reducers: map[string]store.Reducer{limits.LeaseKey: quota.Reduce}}
	if o.Node == "" {
		o.Node = n.cfg.Name
	}
	if o.Node == "" {
		o.Node = "beammux"
	}
	for _, p := range n.deploy.StorePeers {
		o.Peers = append(o.Peers, store.Peer{Node: p.Node, Address: p.Address})
	}
	if len(o.Peers) > 0 || o.Join {
		l, err := net.Listen("tcp", n.deploy.StoreListen)
		if err != nil {
			return err
		}
		o.Listener = l
		n.log.WithField("listen", l.Addr().String()).Info("store listening")
	}
	s, err := store.Open(o)
	if err != nil {
		if o.Listener != nil {
			o.Listener.Close()
		}
		return err
	}
	n.store = s
	if o.Dir != "" || o.Listener != nil {
		if err := n.awaitStore(begin); err != nil {
			return err
		}
	}
	n.recordConfiguration(n.cfg)
	return nil
}

// storeReadyWithin bounds how long a start waits for a store that it can serve without. A group without a majority must
// not keep a gatekeeper from its callers where the inventory file or the event bus names its servers: past it, the
// gatekeeper serves with those, and takes the store's records as they are applied.
const storeReadyWithin = 10 * time.Second

const sayEvery = 10 * time.Second // how often a start that goes on waiting says so

// onlyInStore tells whether the store alone can name the gatekeeper's servers: then it holds what the gatekeeper needs.
func (n *Node) onlyInStore() bool {
	return n.deploy.Inventory == "" && n.cfg.Bus == "" && len(n.cfg.Known) == 0
}

// awaitStore holds the start until the member has replayed its log and caught up with a leader, so that `serving` and a
// yes to /api/ready never come while the store would answer from an older state.
func (n *Node) awaitStore(begin context.Context) error {
	began := time.Now()
	within := storeReadyWithin
	if n.onlyInStore() {
		within = time.Second // then it is said, and the wait goes on
	}
	for {
		ctx, cancel := context.WithTimeout(begin, within)
		err := n.store.WaitReady(ctx)
		cancel()
		log := n.log.WithField("waited_ms", time.Since(began).Milliseconds())
		switch {
		case err == nil:
			st := n.store.Status()
			log.WithFields(logrus.Fields{"records": st.Records, "applied": st.Applied}).Info("store ready")
			return nil
		case begin.Err() != nil:
			return fmt.Errorf("start ended while it waited for the store: %w", context.Cause(begin))
		case !n.onlyInStore():
			log.WithError(err).Warn("store: not ready; serving with the inventory file and the event bus, the store's records follow")
			return nil
		}
		log.WithError(err).Warn("store: not ready; the start waits, since it alone holds the list of servers")
		within = sayEvery
	}
}

const storeWithin = 10 * time.Second

// recordConfiguration notes in the store what this gatekeeper runs with. Nothing waits for it.
func (n *Node) recordConfiguration(cfg *config.Config) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeWithin)
		defer cancel()
		if _, err := n.store.Put(ctx, configurationKey+cfg.Name, cfg.Text); err != nil {
			n.log.WithError(err).Warn("store: configuration not recorded")
		}
	}()
}

// restoreDialogs takes back the calls that stood before this process started, where the group still knows them. Its
// records arrive once this member has caught up with the group.
func (n *Node) restoreDialogs(own *dialogs) {
	take := func(r store.Record) {
		if r.Value == nil || own.wrote(r.Key) {
			return
		}
		if err := n.agent.Restore(r.Value); err != nil {
			n.log.WithError(err).WithField("record", r.Key).Warn("store: dialog can't be read")
		}
	}
	n.store.Watch(own.prefix, take)
	for _, r := range n.store.List(own.prefix) {
		take(r)
	}
}

// dialogs writes records of dialogs in order, from a goroutine of its own: no call waits for the store.
type dialogs struct {
	*actor.Actor
	store  store.Store
	prefix string
	log    logrus.FieldLogger
	own    sync.Map // keys that this process put and has not deleted: it needs no record to know them
}

func newDialogs(s store.Store, node string, log logrus.FieldLogger) *dialogs {
	return &dialogs{Actor: actor.New(), store: s, prefix: dialogKey + node + "/", log: log}
}

func (d *dialogs) wrote(key string) bool {
	_, ok := d.own.Load(key)
	return ok
}

func (d *dialogs) write(what string, f func(context.Context) error) {
	d.Post(func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeWithin)
		defer cancel()
		if err := f(ctx); err != nil {
			d.log.WithError(err).Warn("store: dialog not " + what)
		}
	})
}

func (d *dialogs) Put(key string, value []byte) {
	d.own.Store(d.prefix+key, nil)
	d.write("recorded", func(ctx context.Context) error {
		_, err := d.store.Put(ctx, d.prefix+key, value)
		return err
	})
}

func (d *dialogs) Delete(key string) {
	d.write("deleted", func(ctx context.Context) error {
		defer d.own.Delete(d.prefix + key) // not before: the record may be committed only now
		return d.store.Delete(ctx, d.prefix+key)
	})
}
