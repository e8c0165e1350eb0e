package routing

import (
	"hash/fnv"
	"strconv"
	"strings"

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
// name are removed. Servers of other sources are not affected.
type Update struct {
	Source   string
	Complete bool
	Hosts    []Host
}

// List is the actor that owns the list of servers and their peers. It is updated by event buses and inventories.
type List struct {
	*actor.Actor
	core      *Core
	dialer    Dialer
	log       logrus.FieldLogger
	hosts     map[string]*listedHost
	namesByID map[uint32]string
}

// listedHost is a server on the list.
type listedHost struct {
	Host
	source string
	id     uint32
	peer   *Peer
	since  control.Micros // Host.Since by the core's clock, converted once
}

// NewList returns an empty list that reports its changes to core.
func NewList(core *Core, dialer Dialer, log logrus.FieldLogger) *List {
	return &List{Actor: actor.New(), core: core, dialer: dialer, log: log, hosts: map[string]*listedHost{},
		namesByID: map[uint32]string{}}
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

// apply applies a change to the list and passes the changed entries to the module.
func (l *List) apply(u Update) {
	entries := make([]control.Entry, 0, len(u.Hosts))
	named := map[string]bool{}
	for _, h := range u.Hosts {
		named[h.Name] = true
		if e, ok := l.applyHost(u.Source, h); ok {
			entries = append(entries, e)
			l.record(h.Name, e)
		}
	}
	if u.Complete {
		for name, old := range l.hosts {
			if old.source == u.Source && !named[name] {
				l.remove(old)
				e := control.Entry{Server: old.id, Cell: old.Cell, State: control.Gone}
				entries = append(entries, e)
				l.record(name, e)
			}
		}
	}
	peers := map[uint32]*Peer{}
	for _, h := range l.hosts {
		peers[h.id] = h.peer
	}
	l.core.Post(func() {
		l.core.peers = peers
		l.core.targetsCountedAt = -viewInterval // the list's size is counted at once
		l.core.handle(control.List{Delta: true, Entries: entries})
	})
}

// applyHost applies one entry of an update. It updates the peer's state before the module's, so that nothing is sent in
// between on the old state.
func (l *List) applyHost(source string, h Host) (control.Entry, bool) {
	entry := l.hosts[h.Name]
	if h.State == control.Gone {
		if entry == nil {
			return control.Entry{}, false
		}
		l.remove(entry)
		return control.Entry{Server: entry.id, Cell: h.Cell, State: control.Gone, Since: entry.since}, true
	}
	if entry != nil && entry.Addr != h.Addr { // the address has changed: start over with a new peer
		l.remove(entry)
		entry = nil
	}
	if entry == nil {
		id := l.serverID(h.Name)
		log := l.log.WithFields(logrus.Fields{"server": h.Name, "address": h.Addr})
		entry = &listedHost{id: id, peer: newPeer(l.core, id, h.Addr, l.dialer, log)}
		entry.since = l.core.clock.fromUnix(h.Since)
		l.hosts[h.Name] = entry
	} else if h.Since != entry.Since {
		entry.since = l.core.clock.fromUnix(h.Since)
		if h.Since > entry.Since { // the process was restarted: calls established at the old one have ended
			p, since := entry.peer, entry.since
			l.core.Post(func() { l.core.serverLostBefore(p, since, serverRestarted) })
		}
	}
	entry.Host, entry.source = h, source
	entry.peer.setState(h.State)
	return control.Entry{Server: entry.id, Cell: h.Cell, State: h.State, Since: entry.since}, true
}

// record records the state of a server on the list.
func (l *List) record(name string, e control.Entry) {
	l.core.note(history.Event{Kind: history.Listed, Server: e.Server, Name: name, State: e.State, N: int64(e.Cell), Since: e.Since})
}

// remove removes a server from the list and ends its peer.
func (l *List) remove(h *listedHost) {
	delete(l.hosts, h.Name)
	h.peer.setState(control.Gone)
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
