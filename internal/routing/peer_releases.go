package routing

import (
	"slices"

	"github.com/sirupsen/logrus"
)

// pendingRelease is the release of an attempt that waits for a connection.
type pendingRelease struct {
	AttemptRef
	cause int
}

// releaseEarlierAttempts sends the releases that wait for a call, before a further attempt of that call: after it, the release would
// end that attempt where the server identifies a call by its id alone.
func (p *Peer) releaseEarlierAttempts(c *peerConn, id string) {
	p.pendingReleases = slices.DeleteFunc(p.pendingReleases, func(r pendingRelease) bool {
		if r.id != id {
			return false
		}
		c.conn.Release(r.AttemptRef, r.cause)
		return true
	})
}

// releaseAfterRetirement handles the release of a call at a server that was removed from the list. If another server has its address,
// that one may hold the call, because the set-up has reached it there, and is sent the release. Otherwise the release is dropped.
func (p *Peer) releaseAfterRetirement(r pendingRelease) {
	if by := p.replacement; by != nil {
		p.core.Post(func() { p.core.releaseAgain(by.peer, r.AttemptRef, r.cause) })
		return
	}
	p.core.endings.Info("release to a removed server dropped", logrus.Fields{"call": r.id, "server": p.server})
}

// release ends the call that an attempt has established at the server, on the proven connection with the fewest attempts in flight. Without one the
// release is queued; for a server that was removed from the list see releaseAfterRetirement.
func (p *Peer) release(r AttemptRef, cause int) {
	p.Post(func() {
		var best *peerConn
		for _, c := range p.conns {
			if c.proven && (best == nil || len(c.inFlight) < len(best.inFlight)) {
				best = c
			}
		}
		switch {
		case best != nil:
			best.conn.Release(r, cause)
		case p.gone():
			p.releaseAfterRetirement(pendingRelease{r, cause})
		case !p.releaseWaits(r):
			p.core.endings.Info("release waits for a connection to the server", logrus.Fields{"call": r.id, "server": p.server})
			p.pendingReleases = append(p.pendingReleases, pendingRelease{r, cause})
			p.connect()
		}
	})
}

// releaseWaits reports whether the release of an attempt waits for a connection.
func (p *Peer) releaseWaits(waiting AttemptRef) bool {
	return slices.ContainsFunc(p.pendingReleases, func(r pendingRelease) bool { return r.AttemptRef == waiting })
}
