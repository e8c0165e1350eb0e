package routing

import (
	"slices"

	"github.com/sirupsen/logrus"

	"beammux/control"
)

// One process at a time listens at an address. A server whose address the list gives to another server has therefore ended, even if
// the list still names it: a process that answers at the address is the other server's.

// replacedHost is a server that the list still names, but whose address it has given to another server.
type replacedHost struct {
	Host
	source string
	since  control.Micros // Host.Since of the server that has the address
}

// isReplaced reports whether another server has taken the address of a host on an update, so that the host is not listed. A process
// of the host that started later, or at another address, is.
func (l *List) isReplaced(source string, h Host) bool {
	if old, ok := l.replaced[h.Name]; ok {
		if old.Addr == h.Addr && h.Since <= old.since {
			l.replaced[h.Name] = replacedHost{h, source, old.since}
			return true
		}
		delete(l.replaced, h.Name)
	}
	for _, holder := range l.holders[l.dialer.Endpoint(h.Addr)] {
		if holder.Name != h.Name && h.Since < holder.Since {
			l.replaced[h.Name] = replacedHost{h, source, holder.Since}
			return true
		}
	}
	return false
}

// replaceHolders removes the servers that were listed at the address of a new entry: the new server has it now. Where one update names
// several servers at an address and nothing tells which started last, all of them are listed.
func (l *List) replaceHolders(h Host, entry *listedHost, change *listChange) {
	for _, old := range slices.Clone(l.holders[entry.peer.endpoint]) {
		if old.Since == h.Since && change.named[old.Name] {
			continue
		}
		l.log.WithFields(logrus.Fields{"server": old.Name, "address": old.Addr, "by": h.Name}).Info("server replaced at its address")
		l.replaced[old.Name] = replacedHost{old.Host, old.source, h.Since}
		old.peer.replaceBy(entry.peer, entry.since)
		l.remove(old, change)
	}
}

// removeHolder removes a server from those at its address.
func (l *List) removeHolder(h *listedHost) {
	endpoint := h.peer.endpoint
	l.holders[endpoint] = slices.DeleteFunc(l.holders[endpoint], func(o *listedHost) bool { return o == h })
	if len(l.holders[endpoint]) == 0 {
		delete(l.holders, endpoint)
	}
}

// listAgain lists the replaced servers whose address is free again, unless the server that had it started later than they did.
func (l *List) listAgain(change *listChange) {
	for name, old := range l.replaced {
		if len(l.holders[l.dialer.Endpoint(old.Addr)]) == 0 && old.Since >= old.since {
			delete(l.replaced, name)
			l.applyHost(old.source, old.Host, change)
		}
	}
}

// replacement is the server that has taken the address of a peer.
type replacement struct {
	peer  *Peer
	since control.Micros // start of its process by the list; 0 if not known
}

// replaceBy records which server has taken the address. It is called before the peer is retired.
func (p *Peer) replaceBy(next *Peer, since control.Micros) {
	p.Post(func() { p.replacement = &replacement{next, since} })
}

// serverReplaced handles the calls established at a server whose address another server has taken. Calls that were set up through
// the old server's connections after the new process had started are established at the new one, and stay. All others are over.
func (c *Core) serverReplaced(p *Peer, by replacement) {
	for _, call := range c.calls {
		if by.since > 0 && call.established && call.current.peer == p && call.current.answeredOn.connectedAt >= by.since {
			call.current.peer, call.current.answeredOn = by.peer, &peerConn{peer: by.peer, connectedAt: by.since}
		}
	}
	c.serverLost(p, serverReplaced)
}
