package control

// View is what a gatekeeper estimates of one server now.
type View struct {
	Server    uint32
	Level     int
	Wait      Micros  // at its processor
	Shed      float64 // part of the calls, the least worth first, that is kept from it
	LastHeard Micros  // last sign of life of it, by this gatekeeper's clock; 0: none
	Since     Micros  // its last start as the list tells it, 0 if long ago
}

// Views appends the estimates of each server on its list, in order of their numbers.
func (c *Controller) Views(views []View) []View {
	for _, srv := range c.servers {
		views = append(views, View{srv.id, srv.level, Micros(srv.wait), srv.shed, srv.lastHeard, srv.since})
	}
	return views
}

// Gated tells whether the server takes no new set-ups at its level: the gatekeeper avoids it.
func (v View) Gated() bool { return v.Level >= gateLevel }
