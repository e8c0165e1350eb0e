package control

import (
	"math"
	"slices"
)

// Parameter of the selection.
const (
	headroomPower = 4 // power by which headroom falls with the wait
)

// selectServer returns the first choice if it is at level 0, else another server at level 0, else one at
// level 1, or nil if no server accepts the call.
func (c *Controller) selectServer(call *openCall) *server {
	rank := c.rank(call)
	var best *server
	bestDraw := math.Inf(1)
	for _, srv := range c.servers {
		if !c.accepts(srv, call, rank) {
			continue
		}
		// Alternatives to the first choice are drawn at random, weighted by headroom. By the shortest wait,
		// gatekeepers with few reports would all choose the smallest servers, whose waits are known least.
		draw := c.rng.ExpFloat64() / c.headroom(srv)
		if srv.cell == call.FirstChoice {
			draw = 0
		}
		if best == nil || srv.level < best.level || srv.level == best.level && draw < bestDraw {
			best, bestDraw = srv, draw
		}
	}
	return best
}

// headroom returns the relative capacity of a server for second choices: free agents, less with more wait.
func (c *Controller) headroom(srv *server) float64 {
	available := max(1, srv.totalAgents)
	if srv.totalAgents > 0 && srv.freeAgents >= 0 {
		available = srv.freeAgents + agentReserve*srv.totalAgents
	}
	return available * (1 - srv.shed) * math.Pow(1+agentReserve-min(1, srv.wait/c.gateWait), headroomPower)
}

// accepts reports whether a server can take a call of a given rank now.
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
