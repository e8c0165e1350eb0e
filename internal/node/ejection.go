package node

import (
	"cmp"
	"time"

	"beammux/control"
	"beammux/control/outlier"
	"beammux/internal/ejection"
)

// newOutlierMonitor makes the outlier detection of this gatekeeper. It starts once the gossip runs.
func (n *Node) newOutlierMonitor() (*ejection.Monitor, error) {
	return ejection.New(ejection.Options{Name: cmp.Or(n.deploy.Fleet.Name, n.cfg.Name, "beammux"), MaxEjected: n.deploy.Fleet.MaxKeptOut,
		Servers: n.listedServers, SetInFlightLimit: n.core.SetInFlightLimit, SetBusyNumber: n.core.SetBusy, Now: n.core.Now, Log: n.log})
}

// listedServers returns the servers on the list; those returned last while the core is too busy to answer.
func (n *Node) listedServers() []outlier.Server {
	answer := make(chan []outlier.Server, 1)
	n.core.Views(func(views []control.View, _ control.Micros) {
		var out []outlier.Server
		for _, v := range views {
			out = append(out, outlier.Server{ID: v.Server, Since: v.Since, Level: v.Level})
		}
		answer <- out
	})
	select {
	case n.lastListed = <-answer:
	case <-time.After(summaryWithin):
	}
	return n.lastListed
}
