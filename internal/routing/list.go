package routing

import (
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/internal/actor"
	"beammux/internal/history"
)

// Host is one server as given by a source of the list.
type Host struct {
	Name  string
	Addr  string
	Cell  int
	State control.State
	Since control.Micros // Unix time of the start of its process
}

// Update is a change of the list. With Complete it is the complete list of its source: servers of that source that it does not
// name are removed. Servers of other sources are not affected. RemovalDelay is that of a source whose lists may be incomplete; see
// deferredChange.
type Update struct {
	Source       string
	Complete     bool
	Hosts        []Host
	RemovalDelay time.Duration
}

// List is the actor that owns the list of servers and their peers. It is updated by event buses and inventories.
type List struct {
	*actor.Actor
	core      *Core
	dialer    Dialer
	log       logrus.FieldLogger
	hosts     map[string]*listedHost
	holders   map[string][]*listedHost // by the endpoint of their address
	replaced  map[string]replacedHost  // servers whose address another server has, by name
	namesByID map[uint32]string
}

// listedHost is a server on the list.
type listedHost struct {
	Host
	source string
	id     uint32
	peer   *Peer
	since  control.Micros // Host.Since by the core's clock, converted once

	deferred *deferredChange // nil if none waits
}

// NewList returns an empty list that reports its changes to core.
func NewList(core *Core, dialer Dialer, log logrus.FieldLogger) *List {
	return &List{Actor: actor.New(), core: core, dialer: dialer, log: log, hosts: map[string]*listedHost{},
		holders: map[string][]*listedHost{}, replaced: map[string]replacedHost{}, namesByID: map[uint32]string{}}
}

// End stops the list and its peers and closes their connections. Established calls are left alone, without any
// notification. It is called when the process ends.
func (l *List) End() {
	l.Post(func() {
		for _, h := range l.hosts {
			h.peer.shutdown()
		}
		l.Stop()
	})
}

// Apply applies a change to the list. done, if not nil, is called from the core's actor after the module has received the
// change.
func (l *List) Apply(u Update, done func()) {
	l.Post(func() {
		l.apply(u)
		if done != nil {
			l.core.Post(done)
		}
	})
}

// listChange collects the changed entries of one update for the module.
type listChange struct {
	list    *List
	named   map[string]bool // servers that the update names
	entries []control.Entry
	removed []*Peer // peers of removed servers, which retire once the module knows the change
}

// add adds the changed entry of a server.
func (c *listChange) add(name string, e control.Entry) {
	c.entries = append(c.entries, e)
	c.list.record(name, e)
}

// apply applies a change to the list and passes the changed entries to the module.
func (l *List) apply(u Update) {
	change := &listChange{list: l, named: map[string]bool{}}
	for _, h := range u.Hosts {
		change.named[h.Name] = true
	}
	if l.defers(u, change) {
		u.Hosts = l.deferMoves(u)
	}
	for _, h := range u.Hosts {
		l.removeMoved(h, change)
	}
	for _, h := range u.Hosts {
		l.applyHost(u.Source, h, change)
	}
	if u.Complete {
		l.removeUnnamed(u, change)
	}
	l.listAgain(change)
	l.publish(change)
}

// publish passes the changed entries to the module, and then retires the peers of removed servers: the module must know the change before
// it decides again on the set-ups that these give back.
func (l *List) publish(change *listChange) {
	peers := map[uint32]*Peer{}
	for _, h := range l.hosts {
		peers[h.id] = h.peer
	}
	l.core.Post(func() {
		l.core.peers = peers
		l.core.targetsCountedAt = -viewInterval // the list's size is counted at once
		l.core.handle(control.List{Delta: true, Entries: change.entries})
	})
	for _, p := range change.removed {
		p.Post(p.retire)
	}
}

// removeUnnamed removes the servers of a source that its complete list does not name.
func (l *List) removeUnnamed(u Update, change *listChange) {
	for name, old := range l.hosts {
		switch {
		case old.source != u.Source || change.named[name]:
		case u.RemovalDelay > 0:
			l.deferChange(old, u, nil)
		default:
			l.remove(old, change)
		}
	}
	for name, old := range l.replaced {
		if old.source == u.Source && !change.named[name] {
			delete(l.replaced, name)
		}
	}
}

// removeMoved removes a server that an update names as gone or at another address. All of an update's are removed first, so that
// their addresses are free for its other servers.
func (l *List) removeMoved(h Host, change *listChange) {
	entry := l.hosts[h.Name]
	if entry != nil && (h.State == control.Gone || entry.Addr != h.Addr) {
		l.remove(entry, change)
	}
	if h.State == control.Gone {
		delete(l.replaced, h.Name)
	}
}

// applyHost applies one entry of an update. It updates the peer's state before the module's, so that nothing is sent in
// between on the old state.
func (l *List) applyHost(source string, h Host, change *listChange) {
	if h.State == control.Gone || l.isReplaced(source, h) {
		return
	}
	entry := l.hosts[h.Name]
	if entry == nil {
		entry = l.newEntry(h)
		l.replaceHolders(h, entry, change)
		l.hosts[h.Name] = entry
		l.holders[entry.peer.endpoint] = append(l.holders[entry.peer.endpoint], entry)
	} else if h.Since != entry.Since {
		entry.since = l.core.clock.fromUnix(h.Since)
		if h.Since > entry.Since { // the process was restarted: calls established at the old one have ended
			p, since := entry.peer, entry.since
			l.core.Post(func() { l.core.serverLostBefore(p, since, serverRestarted) })
		}
	}
	entry.cancelDeferred()
	entry.Host, entry.source = h, source
	entry.peer.setState(h.State)
	change.add(h.Name, control.Entry{Server: entry.id, Cell: h.Cell, State: h.State, Since: entry.since})
}

// newEntry returns an entry with a new peer.
func (l *List) newEntry(h Host) *listedHost {
	id := l.serverID(h.Name)
	log := l.log.WithFields(logrus.Fields{"server": h.Name, "address": h.Addr})
	return &listedHost{id: id, peer: newPeer(l.core, id, h.Addr, l.dialer, log), since: l.core.clock.fromUnix(h.Since)}
}

// record records the state of a server on the list.
func (l *List) record(name string, e control.Entry) {
	l.core.note(history.Event{Kind: history.Listed, Server: e.Server, Name: name, State: e.State, N: int64(e.Cell), Since: e.Since})
}

// remove removes a server from the list and ends its peer.
func (l *List) remove(h *listedHost, change *listChange) {
	h.cancelDeferred()
	delete(l.hosts, h.Name)
	l.removeHolder(h)
	h.peer.stopSending()
	change.removed = append(change.removed, h.peer)
	change.add(h.Name, control.Entry{Server: h.id, Cell: h.Cell, State: control.Gone, Since: h.since})
}

// serverID returns the id of a server: the hexadecimal number in its name (s-00c41f7a), or else a hash of the name. An
// id that another name already has is incremented. The id of a name does not change while this process runs.
func (l *List) serverID(name string) uint32 {
	_, digits, _ := strings.Cut(name, "-")
	n, err := strconv.ParseUint(digits, 16, 32)
	id := uint32(n)
	if err != nil {
		h := fnv.New32a()
		h.Write([]byte(name))
		id = h.Sum32()
	}
	for l.namesByID[id] != "" && l.namesByID[id] != name {
		id++
	}
	l.namesByID[id] = name
	return id
}
