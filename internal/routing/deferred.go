package routing

import (
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
)

// An inventory is a file that somebody edits, and may be read half-saved: servers at its end are missing then, and fields of the last
// one. Such a list is well-formed. A source whose lists may be incomplete gives its updates a RemovalDelay: what would remove a server
// that is known waits for that time, and a list that names the server as before cancels it.

// deferredChange is the removal of a server, or its move to another address, that waits.
type deferredChange struct {
	timer  *time.Timer
	source string
	moved  *Host // the server at its other address; nil for a removal
}

// cancelDeferred cancels the change of a server that waits, if any.
func (h *listedHost) cancelDeferred() {
	if h.deferred != nil {
		h.deferred.timer.Stop()
		h.deferred = nil
	}
}

// defers reports whether moves of an update wait: it lacks known servers, or the last server that it names has moved.
func (l *List) defers(u Update, change *listChange) bool {
	if u.RemovalDelay == 0 || len(u.Hosts) == 0 {
		return false
	}
	for name, old := range l.hosts {
		if old.source == u.Source && !change.named[name] {
			return true
		}
	}
	return l.isMoved(u.Hosts[len(u.Hosts)-1])
}

// deferMoves lets the moves of an update wait, and returns its other hosts.
func (l *List) deferMoves(u Update) (others []Host) {
	for _, h := range u.Hosts {
		if h.State != control.Gone && l.isMoved(h) {
			l.deferChange(l.hosts[h.Name], u, &h)
		} else {
			others = append(others, h)
		}
	}
	return others
}

// isMoved reports whether a host is listed at another address.
func (l *List) isMoved(h Host) bool {
	entry := l.hosts[h.Name]
	return entry != nil && entry.Addr != h.Addr
}

// deferChange lets the removal of a server wait, or its move if moved is not nil. The same change that already waits is not put off.
func (l *List) deferChange(h *listedHost, u Update, moved *Host) {
	if d := h.deferred; d != nil && (d.moved == nil && moved == nil || d.moved != nil && moved != nil && *d.moved == *moved) {
		return
	}
	h.cancelDeferred()
	d := &deferredChange{source: u.Source, moved: moved}
	d.timer = l.After(u.RemovalDelay, func() {
		if h.deferred == d && l.hosts[h.Name] == h {
			l.applyDeferred(h, d)
		}
	})
	h.deferred = d
	l.log.WithFields(logrus.Fields{"server": h.Name, "address": h.Addr, "source": u.Source, "removed": moved == nil,
		"wait_ms": u.RemovalDelay.Milliseconds()}).Warn("inventory no longer names a server as before: kept for now, it may be half-saved")
}

// applyDeferred applies a change that has waited for its time.
func (l *List) applyDeferred(h *listedHost, d *deferredChange) {
	change := &listChange{list: l, named: map[string]bool{h.Name: d.moved != nil}}
	l.remove(h, change)
	if d.moved != nil {
		l.applyHost(d.source, *d.moved, change)
	}
	l.listAgain(change)
	l.publish(change)
}
