package control

// Learned is what a gatekeeper has learned of its servers and its traffic, without any call: what it saves at its end and may
// restore at its next start. Package warm says how much of it still counts then.
type Learned struct {
	At        Micros          `json:"at"`   // when it was so, Unix microseconds
	BaseDelay float64         `json:"base"` // us; lowest set-up delay seen
	LossRate  float64         `json:"loss"` // part of the set-ups that were lost
	BestRate  float64         `json:"unit"` // own answers a second for each agent of a warm server, at best
	WorthMix  []float64       `json:"mix"`  // recent arrivals by worth
	Servers   []LearnedServer `json:"servers"`
}

// LearnedServer is what is known of one server.
type LearnedServer struct {
	Server uint32  `json:"server"`
	Since  Micros  `json:"since"` // its last start, 0 if long ago
	Wait   float64 `json:"wait"`  // us; estimate of the wait at its processor
	Shed   float64 `json:"thin"`  // part of the calls, the least worth first, kept from it
	Spare  float64 `json:"spare"` // free agents, -1 if not known
	Total  float64 `json:"total"` // agents, 0 if not known
}

// Recall is an event: it gives a gatekeeper that has just started, and has its list, what it had learned before, already aged.
type Recall struct{ Learned }

// Learned returns what this gatekeeper has learned.
func (c *Controller) Learned() Learned {
	l := Learned{At: c.now, BaseDelay: c.baseDelay, LossRate: c.lossRate, BestRate: c.bestRate, WorthMix: append([]float64(nil), c.worthMix[:]...)}
	for _, s := range c.servers {
		if s.state != Gone {
			l.Servers = append(l.Servers, LearnedServer{s.id, s.since, s.wait, min(max(s.shed, 0), 1), s.spare, s.total})
		}
	}
	return l
}

// recall restores what was learned. The list takes precedence: a server that is not on it, has started since,
// or is cold gets nothing, and a cold server's budget counts by what has been seen since this start alone.
func (c *Controller) recall(l Learned) {
	c.baseDelay, c.lossRate, c.bestRate = max(l.BaseDelay, 0), min(max(l.LossRate, 0), 1), max(c.bestRate, l.BestRate)
	c.worthTotal, c.mixDecayedAt = 0, c.now
	for i := range c.worthMix {
		if i < len(l.WorthMix) {
			c.worthMix[i] = max(l.WorthMix[i], 0)
		}
		c.worthTotal += c.worthMix[i]
	}
	for _, k := range l.Servers {
		s := c.find(k.Server)
		if s == nil || s.state != Ready || s.since != k.Since || c.cold(s) {
			continue
		}
		s.wait, s.waitAtTick, s.shed = max(k.Wait, 0), max(k.Wait, 0), min(max(k.Shed, 0), 1)
		s.waitSeenAt, s.shedAt = c.now, c.now
		s.spare, s.total = k.Spare, max(k.Total, 0)
		c.updateLevel(s)
	}
}
