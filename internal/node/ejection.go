package node

import (
	"cmp"
	"time"

	"beammux/control"
	"beammux/control/outlier"
	"beammux/internal/ejection"
)

// newOutlierMonitor returns the outlier monitor of this gatekeeper. openFleet starts it once the gossip layer runs.
func (n *Node) newOutlierMonitor() (*ejection.Monitor, error) {
	return ejection.New(ejection.Options{Name: cmp.Or(n.deploy.Fleet.Name, n.cfg.Name, "beammux"), MaxEjected: n.deploy.Fleet.MaxKeptOut,
		Servers: n.listedServers, SetInFlightLimit: n.core.SetInFlightLimit, SetBusyNumber: n.core.SetBusy, Now: n.core.Now, Log: n.log})
}

// listedServers returns the servers on the list, or its previous result if the core does not answer within summaryTimeout.
func (n *Node) listedServers() []outlier.Server {
	answer := make(chan []outlier.Server, 1)
	n.core.Views(func(views []control.View, _ control.Micros) {
		var servers []outlier.Server
		for _, v := range views {
			servers = append(servers, outlier.Server{ID: v.Server, Since: v.Since, Level: v.Level})
		}
		answer <- servers
	})
	select {
	case n.lastListed = <-answer:
	case <-time.After(summaryTimeout):
	}
	return n.lastListed
}
