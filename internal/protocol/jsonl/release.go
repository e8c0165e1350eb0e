package jsonl

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/internal/loglimit"
	"beammux/internal/transport"
)

// Bounds of the delivery of releases.
const (
	releaseTimeout     = 8 * time.Second        // from the end of a call, for its release to reach its caller
	maxPendingReleases = 4096                   // releases that are not confirmed
	minConfirmWait     = 400 * time.Millisecond // for a confirmation, before a release is sent again; it doubles each time
	roundInterval      = 100 * time.Millisecond // between rounds, while there are connections on which a release was not sent yet
	maxRoundSize       = 16                     // copies of a release in one round
	manyCopies         = 64                     // copies of a release after which its rounds become rare
	maxSweepCopies     = 1024                   // releases that one sweep sends again; the others wait for the next
	sweepInterval      = 100 * time.Millisecond // between looks at the releases that are not confirmed
	enoughUnconfirmed  = 8                      // releases that expire without any confirmation, until none is expected any more
)

// release is the release of an established call on its way to a caller. It is sent in rounds, first on the connection on which it most
// likely arrives, then on up to twice as many others in each round, so that it reaches its caller soon whichever connection that is.
type release struct {
	id        string
	data      []byte
	setupConn *conn  // of the call's set-up; nil if it is not known
	address   string // of the caller that set up the call; empty if it is not known
	expires   time.Time
	conn      *conn   // first connection of the last round; nil while the release waits for a connection
	tried     []*conn // where it was sent
	copies    int     // number of times it was sent
	roundSize int     // copies in the next round
	waiting   bool    // there was no connection to send it on
	resendAt  time.Time
	wait      time.Duration // for a confirmation, once it was sent on all connections
	sentAt    time.Time     // when it was first sent
	overdue   bool          // counted in conn.unconfirmed
	presumed  bool          // taken for confirmed while the connection of the set-up stays open
	confirmed bool
}

// peerKind is what a connection has shown its client to be.
type peerKind int

// The kinds of clients.
const (
	unknownPeer peerKind = iota
	healthCheck          // it has sent a probe, and no set-up
	callerPeer           // it has sent a set-up
)

// releaseDelivery sends releases to callers until they are confirmed. No connection owns an established call: its release goes on the
// connection of its set-up, or else on that of another caller. A release that is written has not arrived: its connection may have
// ended, or lead to a client that reads nothing. Callers confirm releases by the message "closed". The protocol leaves them free to
// do so: if none ever does, a release that is written on the connection of its set-up, and that stays open, counts as confirmed.
type releaseDelivery struct {
	log *loglimit.Limiter

	mu       sync.Mutex
	conns    []*conn             // open connections, oldest first
	pending  []*release          // not confirmed, by the end of the call; confirmed ones are removed later
	byID     map[string]*release // those of pending that are not confirmed
	confirms bool                // a caller has confirmed a release
	expired  int                 // releases that were sent and not confirmed in time
	copies   int                 // releases sent, each time counted
	sweeping bool                // the next look at pending is scheduled
}

func newReleaseDelivery(log *loglimit.Limiter) *releaseDelivery {
	return &releaseDelivery{log: log, byID: map[string]*release{}}
}

// addConn adds an open connection. Releases that wait for one are sent on it once it has shown that it is a caller's, or, while
// no caller is connected, with the next look at them.
func (d *releaseDelivery) addConn(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns = append(d.conns, c)
	d.hasten(c, time.Now().Add(roundInterval))
}

// hasten brings the next round of the releases forward that may be for the caller of a connection: all that are not on their way on the
// connection of their set-up, and were not sent on this one.
func (d *releaseDelivery) hasten(c *conn, at time.Time) {
	for _, r := range d.pending {
		if !r.confirmed && !r.isOnSetupConn() && !slices.Contains(r.tried, c) && at.Before(r.resendAt) {
			r.resendAt = at
		}
	}
}

// isOnSetupConn reports whether the release was sent last on the connection of the call's set-up.
func (r *release) isOnSetupConn() bool { return r.conn != nil && r.conn == r.setupConn }

// noteKind records what a connection has shown its client to be. To a caller the releases are sent that wait for a connection or
// were sent to clients that are not known to be callers.
func (d *releaseDelivery) noteKind(c *conn, kind peerKind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.kind >= kind {
		return
	}
	c.kind = kind
	if kind != callerPeer {
		d.hasten(c, time.Now())
		return
	}
	for _, r := range d.pending {
		if !r.confirmed && !r.isOnSetupConn() && !slices.Contains(r.tried, c) && d.send(r, c) {
			r.startRound(c)
		}
	}
}

// removeConn removes a connection that has ended, and sends the releases that were sent on it and not confirmed again.
func (d *releaseDelivery) removeConn(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns = slices.DeleteFunc(d.conns, func(o *conn) bool { return o == c })
	for _, r := range d.pending {
		if r.conn == c && !r.confirmed {
			d.sendAgain(r)
		}
	}
}

// deliver sends the release of a call: on the connection of its set-up, if that is known and open, else on that of another caller.
func (d *releaseDelivery) deliver(m Message, setupConn *conn) {
	r := &release{id: m.ID, data: m.Append(nil), setupConn: setupConn, expires: time.Now().Add(releaseTimeout), wait: minConfirmWait,
		roundSize: 1}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending = append(d.pending, r)
	d.byID[r.id] = r
	for len(d.pending) > maxPendingReleases {
		d.forget(d.pending[0])
		d.pending[0] = nil
		d.pending = d.pending[1:]
	}
	if setupConn != nil {
		r.address = transport.AddressOf(setupConn.RemoteAddr())
	}
	if setupConn != nil && d.send(r, setupConn) {
		r.startRound(setupConn)
	} else {
		d.sendAgain(r)
	}
	d.scheduleSweep()
}

// confirm records that a caller has read the release of a call.
func (d *releaseDelivery) confirm(id string, c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.byID[id]; r != nil {
		d.confirms, c.confirms = true, true
		d.forget(r)
	}
}

// stop ends the delivery of the release of a call that its caller has ended.
func (d *releaseDelivery) stop(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.byID[id]; r != nil {
		d.forget(r)
	}
}

// forget ends the delivery of a release.
func (d *releaseDelivery) forget(r *release) {
	r.confirmed = true
	if d.byID[r.id] == r {
		delete(d.byID, r.id)
	}
}

// send sends a release on a connection, unless that has ended. If the connection ends before the release is written, removeConn
// sends it again.
func (d *releaseDelivery) send(r *release, c *conn) bool {
	if c.PeerClosed() || c.Send(transport.Packet{Data: r.data}) != nil {
		return false
	}
	if r.copies == 0 {
		r.sentAt = time.Now()
	}
	d.copies++
	r.copies++
	if !slices.Contains(r.tried, c) {
		r.tried = append(r.tried, c)
	}
	return true
}

// startRound records that a round has begun with a connection, and leaves its client time to confirm.
func (r *release) startRound(first *conn) {
	r.conn, r.presumed, r.waiting = first, false, false
	r.resendAt = time.Now().Add(minConfirmWait)
	r.roundSize = min(2*r.roundSize, maxRoundSize)
}

// sendAgain sends a release on the connections on which it most likely arrives. Without any, it waits for the next.
func (d *releaseDelivery) sendAgain(r *release) {
	isFirst := r.copies == 0
	var first *conn
	sent, untried := 0, 0
	for _, c := range r.ranked(d.conns) {
		wasTried := slices.Contains(r.tried, c)
		switch {
		case sent == r.roundSize && !wasTried:
			untried++
		case sent == r.roundSize, sent > 0 && wasTried:
		case d.send(r, c):
			sent++
			if first == nil {
				first = c
			}
		}
	}
	if first == nil {
		d.awaitConn(r)
		return
	}
	d.log.Info("release sent on another connection than its call's", logrus.Fields{"call": r.id, "caller": first.RemoteAddr(),
		"sent": r.copies})
	r.startRound(first)
	switch {
	case isFirst:
	case untried > 0 && r.copies < manyCopies:
		r.resendAt = time.Now().Add(roundInterval)
	default:
		r.resendAt = time.Now().Add(r.wait)
		r.wait *= 2
	}
}

// awaitConn lets a release wait for a connection.
func (d *releaseDelivery) awaitConn(r *release) {
	r.conn = nil
	if !r.waiting {
		r.waiting = true
		d.log.Info("release waits for a connection of a caller", logrus.Fields{"call": r.id})
	}
}

// Ranks of a connection for a release. The sum counts; each is more than those below it together.
const (
	rankConfirms      = 1 << iota // it has confirmed releases before
	rankSameAddress               // it comes from the address of the call's set-up
	rankNoHealthCheck             // it has not sent a probe without a set-up; a caller may do that too
	rankCaller                    // it is a caller's
	rankUntried                   // the release was not sent on it yet
)

// ranked returns the connections, the one on which the release most likely arrives first.
func (r *release) ranked(conns []*conn) []*conn {
	ranked := slices.Clone(conns)
	slices.Reverse(ranked) // the newest first, among equals
	slices.SortStableFunc(ranked, func(a, b *conn) int { return r.rank(b) - r.rank(a) })
	return ranked
}

// rank returns how likely a release arrives on a connection; the highest is the best.
func (r *release) rank(c *conn) (rank int) {
	if c.confirms {
		rank += rankConfirms
	}
	if r.address != "" && transport.AddressOf(c.RemoteAddr()) == r.address {
		rank += rankSameAddress
	}
	if !slices.Contains(r.tried, c) {
		rank += rankUntried
	}
	if c.kind != healthCheck {
		rank += rankNoHealthCheck
	}
	if c.kind == callerPeer {
		rank += rankCaller
	}
	return rank
}

// scheduleSweep schedules the next look at the pending releases, if there are any.
func (d *releaseDelivery) scheduleSweep() {
	if d.sweeping || len(d.pending) == 0 {
		return
	}
	d.sweeping = true
	time.AfterFunc(sweepInterval, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.sweeping = false
		d.sweep(time.Now())
		d.scheduleSweep()
	})
}

// sweep sends releases again that were not confirmed in time, and gives up those that have expired.
func (d *releaseDelivery) sweep(now time.Time) {
	limit := d.copies + maxSweepCopies
	for _, r := range d.pending {
		switch {
		case r.confirmed:
		case now.After(r.expires):
			d.expire(r)
		case d.copies >= limit:
		case r.conn == nil:
			d.sendAgain(r)
		case r.presumed, now.Before(r.resendAt):
		case r.isOnSetupConn() && (!d.confirms && d.expired >= enoughUnconfirmed || r.readerConfirmsNone()):
			r.presumed = true
		default:
			d.sendAgain(r)
		}
	}
	d.prune()
}

// readerConfirmsNone reports whether the client on the connection of the call's set-up reads releases and confirms none: it has sent
// messages after it was sent several. Copies on the connections of others would only load these.
func (r *release) readerConfirmsNone() bool {
	c := r.setupConn
	if c.confirms || !c.receivedAfter(r.sentAt) {
		return false
	}
	if !r.overdue {
		r.overdue = true
		c.unconfirmed++
	}
	return c.unconfirmed > enoughUnconfirmed
}

// expire gives up a release that no caller has confirmed in time.
func (d *releaseDelivery) expire(r *release) {
	d.forget(r)
	if r.presumed {
		return
	}
	d.log.Warn("release not confirmed by any caller", logrus.Fields{"call": r.id, "sent": r.copies})
	if r.conn != nil {
		d.expired++
	}
}

// prune removes the confirmed releases from pending.
func (d *releaseDelivery) prune() {
	d.pending = slices.DeleteFunc(d.pending, func(r *release) bool { return r.confirmed })
}
