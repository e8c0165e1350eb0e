package control

import (
	"cmp"
	"slices"
)

// server is this gatekeeper's estimate of one server.
type server struct {
	id             uint32
	cell           int
	state          State
	since          Micros
	level          int
	wait           float64     // us; estimate of the wait at the processor
	waitObservedAt Micros      // time of the latest observation of the wait
	silentFallTime Micros      // time without observations after which the level falls by one
	shed           float64     // part of the calls, those of least worth, that are not sent to it
	waitAtTick     float64     // us; wait at the last tick
	shedLoweredAt  Micros      // when an observation last lowered shed
	inFlight       []*openCall // calls with an unanswered set-up, oldest first
	freeAgents     float64     // -1 if not known
	totalAgents    float64     // 0 if not known: the only measure of a server's size
	reported       [2]float64  // queue and utilization of its processor in the latest report
	rate           float64     // own set-ups answered per second, at rateUpdatedAt
	rateUpdatedAt  Micros
	slotEnd        Micros  // end of the current slot of this gatekeeper's share
	slotRemaining  int     // set-ups remaining in this slot
	shareSum       float64 // sum of the share over all slots, from an offset of this gatekeeper's own
	lastAnswered   Micros  // when the latest answered set-up was sent: servers answer in order
	lastHeard      Micros  // last sign of life
	loggedAt       Micros
	maxInFlight    int // InFlightLimit.Max of this server
}

// findServer returns the server with a number, or nil. The servers are sorted by number.
func (c *Controller) findServer(id uint32) *server {
	i, ok := slices.BinarySearchFunc(c.servers, id,
		func(srv *server, id uint32) int { return cmp.Compare(srv.id, id) })
	if ok {
		return c.servers[i]
	}
	return nil
}

// applyList applies a full or partial list of servers. A server that is gone is kept until no set-up to it
// is in flight, then dropped.
func (c *Controller) applyList(list List) {
	if list.Failed {
		if c.settings.SubscribeList {
			c.emit(Action{Kind: SetTimer, At: c.now + silentFallBase, Key: "watch"})
		}
		return
	}
	if !list.Delta {
		for _, srv := range c.servers {
			if !slices.ContainsFunc(list.Entries, func(e Entry) bool { return e.Server == srv.id }) {
				srv.state = Gone
			}
		}
	}
	for _, e := range list.Entries {
		c.applyEntry(e)
	}
	gone := func(srv *server) bool { return srv.state == Gone && len(srv.inFlight) == 0 }
	c.servers = slices.DeleteFunc(c.servers, gone)
}

// applyEntry adds or updates one server of the list.
func (c *Controller) applyEntry(e Entry) {
	srv := c.findServer(e.Server)
	if srv == nil {
		if e.State == Gone {
			return
		}
		srv = c.reset(&server{id: e.Server})
		c.servers = append(c.servers, srv)
		slices.SortFunc(c.servers, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	} else if e.Since > srv.since {
		c.reset(srv) // same number, new process: earlier estimates do not apply
	}
	if e.State == Draining && srv.state == Ready {
		c.logServer(srv, "drains: no new set-ups")
	}
	srv.cell, srv.state, srv.since = e.Cell, e.State, e.Since
	if c.isCold(srv) && srv.state == Ready {
		c.logServer(srv, "is cold: set-ups are kept to a budget")
	}
}

// reset sets a server to its initial estimate; the set-ups in flight and the number of agents remain.
func (c *Controller) reset(srv *server) *server {
	*srv = server{id: srv.id, inFlight: srv.inFlight, freeAgents: -1, waitObservedAt: c.now,
		rateUpdatedAt: c.now, totalAgents: srv.totalAgents, maxInFlight: -1}
	srv.slotEnd = c.now + Micros(c.rng.Float64()*float64(c.shareSlot)) // spread over gatekeepers
	srv.shareSum = shareOffset(srv.id, c.settings.Position)
	if c.settings.Position < 0 { // position not known: random offset
		srv.shareSum = c.rng.Float64()
	}
	srv.silentFallTime = Micros(silentFallBase * (1 + fallJitter*c.rng.Float64()))
	return srv
}
