package control

// Learned is what a gatekeeper has learned about its servers and its traffic; it holds no calls. A gatekeeper saves it when
// it stops and may restore it at its next start. Package warm ages and checks it in between.
type Learned struct {
	At        Micros          `json:"at"`   // time of the estimates, Unix microseconds
	BaseDelay float64         `json:"base"` // us; lowest set-up delay observed
	LossRate  float64         `json:"loss"` // part of the set-ups that were lost
	BestRate  float64         `json:"unit"` // highest own rate of answers per agent of a warm server, per second
	WorthMix  []float64       `json:"mix"`  // recent arrivals by worth
	Servers   []LearnedServer `json:"servers"`
}

// LearnedServer is the saved estimate of one server.
type LearnedServer struct {
	Server uint32  `json:"server"`
	Since  Micros  `json:"since"` // last start, 0 if long ago
	Wait   float64 `json:"wait"`  // us; estimate of the wait at the processor
	Shed   float64 `json:"thin"`  // part of the calls, those of least worth, that are not sent to it
	Spare  float64 `json:"spare"` // free agents, -1 if not known
	Total  float64 `json:"total"` // agents, 0 if not known
}

// Recall is an event that restores the aged Learned of an earlier run in a gatekeeper that has just started and has received
// its list of servers.
type Recall struct{ Learned }

// Learned returns the current estimates of this gatekeeper.
func (c *Controller) Learned() Learned {
	learned := Learned{At: c.now, BaseDelay: c.baseDelay, LossRate: c.lossRate, BestRate: c.bestRate, WorthMix: append([]float64(nil), c.worthMix[:]...)}
	for _, srv := range c.servers {
		if srv.state != Gone {
			learned.Servers = append(learned.Servers, LearnedServer{srv.id, srv.since, srv.wait, min(max(srv.shed, 0), 1), srv.freeAgents, srv.totalAgents})
		}
	}
	return learned
}

// restoreLearned restores saved estimates. The list takes precedence: a server that is not on it, has started since, or is
// cold keeps its initial estimate, and the budget of a cold server depends on rates observed since this start only.
func (c *Controller) restoreLearned(learned Learned) {
	c.baseDelay, c.lossRate, c.bestRate = max(learned.BaseDelay, 0), min(max(learned.LossRate, 0), 1), max(c.bestRate, learned.BestRate)
	c.worthTotal, c.mixDecayedAt = 0, c.now
	for i := range c.worthMix {
		if i < len(learned.WorthMix) {
			c.worthMix[i] = max(learned.WorthMix[i], 0)
		}
		c.worthTotal += c.worthMix[i]
	}
	for _, saved := range learned.Servers {
		srv := c.findServer(saved.Server)
		if srv == nil || srv.state != Ready || srv.since != saved.Since || c.isCold(srv) {
			continue
		}
		srv.wait, srv.waitAtTick, srv.shed = max(saved.Wait, 0), max(saved.Wait, 0), min(max(saved.Shed, 0), 1)
		srv.waitObservedAt, srv.shedLoweredAt = c.now, c.now
		srv.freeAgents, srv.totalAgents = saved.Spare, max(saved.Total, 0)
		c.updateLevel(srv)
	}
}
