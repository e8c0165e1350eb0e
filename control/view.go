package control

// View is a gatekeeper's current estimate of one server.
type View struct {
	Server    uint32
	Level     int
	Wait      Micros  // at its processor
	Shed      float64 // part of the calls, those of least worth, that are not sent to it
	LastHeard Micros  // last sign of life, by this gatekeeper's clock; 0: none
	Since     Micros  // last start according to the list, 0 if long ago
}

// Views appends the estimates of all servers on the list to views, ordered by server number.
func (c *Controller) Views(views []View) []View {
	for _, srv := range c.servers {
		views = append(views, View{srv.id, srv.level, Micros(srv.wait), srv.shed, srv.lastHeard, srv.since})
	}
	return views
}

// Gated reports whether the level of the server excludes it from new set-ups.
func (v View) Gated() bool { return v.Level >= gateLevel }
