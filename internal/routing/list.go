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

// Host is one server as a list names it.
type Host struct {
	Name  string
	Addr  string
	Cell  int
	State control.State
	Since control.Micros
}

// Update is one change of the list, or where Whole is set all that its source knows. Servers of other sources stay.
type Update struct {
	Source   string
	Complete bool
	Hosts    []Host
}

// List is the actor that owns the list of servers and their peers. Buses and inventories feed it.
type List struct {
	*actor.Actor
	core    *Core
	dialer  Dialer
	log     logrus.FieldLogger
	hosts   map[string]*listed
	idNames map[uint32]string
}

type listed struct {
	Host
	source string
	id     uint32
	peer   *Peer
	since  control.Micros // Host.Since by the core's clock, converted once
}

// NewList makes an empty list whose changes go to a core.
func NewList(core *Core, dialer Dialer, log logrus.FieldLogger) *List {
	return &List{Actor: actor.New(), core: core, dialer: dialer, log: log, hosts: map[string]*listed{},
		idNames: map[uint32]string{}}
}

// End stops the list, its peers and their connections. Established calls stay as they are: nobody is notified. It is called
// when the process ends.
func (l *List) End() {
	l.Post(func() {
		for _, h := range l.hosts {
			h.peer.end()
		}
		l.Stop()
	})
}

// Apply takes a change. done, if not nil, is called when the module has it.
func (l *List) Apply(u Update, done func()) {
	l.Post(func() {
		l.apply(u)
		if done != nil {
			l.core.Post(done)
		}
	})
}

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
		l.core.countedAt = -viewInterval // the list's size is counted at once
		l.core.handle(control.List{Delta: true, Entries: entries})
	})
}

// applyHost takes one entry. The peer hears of its state before the module does, so that nothing stale slips out between.
func (l *List) applyHost(source string, h Host) (control.Entry, bool) {
	old := l.hosts[h.Name]
	if h.State == control.Gone {
		if old == nil {
			return control.Entry{}, false
		}
		l.remove(old)
		return control.Entry{Server: old.id, Cell: h.Cell, State: control.Gone, Since: old.since}, true
	}
	if old != nil && old.Addr != h.Addr { // moved: what was known of the old address no longer holds
		l.remove(old)
		old = nil
	}
	if old == nil {
		id := l.serverID(h.Name)
		log := l.log.WithFields(logrus.Fields{"server": h.Name, "address": h.Addr})
		old = &listed{id: id, peer: newPeer(l.core, id, h.Addr, l.dialer, log)}
		old.since = l.core.clock.fromUnix(h.Since)
		l.hosts[h.Name] = old
	} else if h.Since != old.Since {
		old.since = l.core.clock.fromUnix(h.Since)
		if h.Since > old.Since { // a new process under the same id: established calls at the old one are over
			p, since := old.peer, old.since
			l.core.Post(func() { l.core.serverDied(p, since, false) })
		}
	}
	old.Host, old.source = h, source
	old.peer.set(h.State)
	return control.Entry{Server: old.id, Cell: h.Cell, State: h.State, Since: old.since}, true
}

// record notes in the records what the list says of a server.
func (l *List) record(name string, e control.Entry) {
	l.core.note(history.Event{Kind: history.Listed, Server: e.Server, Name: name, State: e.State, N: int64(e.Cell), Since: e.Since})
}

func (l *List) remove(h *listed) {
	delete(l.hosts, h.Name)
	h.peer.set(control.Gone)
}

// serverID gives a server the number that its name holds (s-00c41f7a), else one made from the name. It stays the same
// for as long as this process lives.
func (l *List) serverID(name string) uint32 {
	_, digits, _ := strings.Cut(name, "-")
	n, err := strconv.ParseUint(digits, 16, 32)
	id := uint32(n)
	if err != nil {
		h := fnv.New32a()
		h.Write([]byte(name))
		id = h.Sum32()
	}
	for l.idNames[id] != "" && l.idNames[id] != name {
		id++
	}
	l.idNames[id] = name
	return id
}
