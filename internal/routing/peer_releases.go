package routing

import (
	"slices"

	"github.com/sirupsen/logrus"
)

// pendingRelease is a release that waits for a connection.
type pendingRelease struct {
	id    string
	cause int
}

// releaseEarlierAttempt sends a release that waits for a call, before a further attempt of that call: after it, the release would
// end that attempt.
func (p *Peer) releaseEarlierAttempt(c *peerConn, id string) {
	for i, r := range p.pendingReleases {
		if r.id == id {
			p.pendingReleases = slices.Delete(p.pendingReleases, i, i+1)
			c.conn.Release(r.id, r.cause)
			return
		}
	}
}

// releaseAfterRetirement handles the release of a call at a server that was removed from the list. If another server has its address,
// that one may hold the call, because the set-up has reached it there, and is sent the release. Otherwise the release is dropped.
func (p *Peer) releaseAfterRetirement(r pendingRelease) {
	if by := p.replacement; by != nil {
		p.core.Post(func() { p.core.releaseAgain(by.peer, r.id, r.cause) })
		return
	}
	p.core.endings.Info("release to a removed server dropped", logrus.Fields{"call": r.id, "server": p.server})
}

// release ends an established call at the server, on the proven connection with the fewest attempts in flight. Without one the
// release is queued; for a server that was removed from the list see releaseAfterRetirement.
func (p *Peer) release(id string, cause int) {
	p.Post(func() {
		var best *peerConn
		for _, c := range p.conns {
			if c.proven && (best == nil || len(c.inFlight) < len(best.inFlight)) {
				best = c
			}
		}
		switch {
		case best != nil:
			best.conn.Release(id, cause)
		case p.gone():
			p.releaseAfterRetirement(pendingRelease{id, cause})
		case !p.releaseWaits(id):
			p.core.endings.Info("release waits for a connection to the server", logrus.Fields{"call": id, "server": p.server})
			p.pendingReleases = append(p.pendingReleases, pendingRelease{id, cause})
			p.connect()
		}
	})
}

// releaseWaits reports whether the release of a call waits for a connection.
func (p *Peer) releaseWaits(id string) bool {
	return slices.ContainsFunc(p.pendingReleases, func(r pendingRelease) bool { return r.id == id })
}
