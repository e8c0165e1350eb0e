package control

import (
	"math"
	"slices"
)

// Parameter of the server selection.
const (
	headroomPower = 4 // exponent with which headroom decreases as the wait grows
)

// selectServer returns a server of the lowest congestion level among those that accept the call, or nil if
// none does. At that level it prefers the cell of the call's first choice, else it selects at random by
// headroom.
func (c *Controller) selectServer(call *openCall) *server {
	rank := c.rank(call)
	var best *server
	bestKey := math.Inf(1)
	for _, srv := range c.servers {
		if !c.accepts(srv, call, rank) {
			continue
		}
		// The lowest key wins: 0 for the first choice, else exponentially distributed with headroom as the
		// rate, which selects with probabilities proportional to headroom. Selection of the shortest wait
		// would lead all gatekeepers with few reports to the smallest servers, whose waits they know least
		// about.
		key := c.rng.ExpFloat64() / c.headroom(srv)
		if srv.cell == call.FirstChoice {
			key = 0
		}
		if best == nil || srv.level < best.level || srv.level == best.level && key < bestKey {
			best, bestKey = srv, key
		}
	}
	return best
}

// headroom returns the weight of a server among second choices: its free agents, reduced by the part of
// calls shed and by the wait.
func (c *Controller) headroom(srv *server) float64 {
	available := max(1, srv.totalAgents)
	if srv.totalAgents > 0 && srv.freeAgents >= 0 {
		available = srv.freeAgents + agentReserve*srv.totalAgents
	}
	return available * (1 - srv.shed) * math.Pow(1+agentReserve-min(1, srv.wait/c.gateWait), headroomPower)
}

// accepts reports whether a server can take a call now. rank is the part of recent calls that are worth
// less than the call; the server sheds calls whose rank is below its shed part.
func (c *Controller) accepts(srv *server, call *openCall, rank float64) bool {
	switch {
	case srv.state != Ready, srv.level >= gateLevel, slices.Contains(call.tried, srv.id),
		srv.cell == c.settings.OwnCell:
		return false
	case call.Transit && srv.cell != call.FirstChoice:
		return false
	case c.class(call).Pools != nil && !slices.Contains(c.class(call).Pools, srv.cell):
		return false
	case srv.maxInFlight >= 0 && len(srv.inFlight) >= srv.maxInFlight:
		return false
	case c.countUnanswered(srv) >= c.inFlightLimit(srv):
		return false
	case (c.isCold(srv) || srv.cell != call.FirstChoice && c.bestRate > 0 && !c.justStarted()) &&
		!c.withinShare(srv):
		return false
	}
	return rank >= srv.shed
}
