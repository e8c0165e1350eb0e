package node

import (
	"strings"

	"github.com/sirupsen/logrus"

	"beammux/internal/config"
	"beammux/internal/history"
	"beammux/internal/inventory"
	"beammux/internal/routing"
)

// Reload reads configuration, inventory and limits of calls again and goes on at the event bus that the configuration
// names. A bad file leaves all as it was. The module's settings and the listening addresses are fixed for the life of the process.
func (n *Node) Reload(file, deployFile string) {
	cfg, err := config.Load(file)
	if err != nil {
		n.log.WithError(err).Error("reload: configuration is bad, last good one kept")
		return
	}
	deploy, err := config.LoadDeploy(deployFile, n.cfg.Site)
	if err != nil {
		for line := range strings.SplitSeq(err.Error(), "\n") {
			n.log.WithField("error", line).Error("reload: deploy file is bad, last good one kept")
		}
		return
	}
	var hosts []routing.Host
	if deploy.Inventory != "" {
		if hosts, err = inventory.Load(deploy.Inventory); err != nil {
			n.log.WithError(err).Error("reload: inventory is bad, last good one kept")
			return
		}
	}
	n.core.SetLimits(deploy.Calls)
	n.calls.Store(deploy.Calls.Version())
	n.changeLimits(deploy.Limits)
	n.core.Note(history.Event{Kind: history.Reloaded, Name: deploy.Calls.Version()})
	n.bus.Move(cfg.Bus)
	n.list.Apply(routing.Update{Source: fromFile, Whole: true, Hosts: hosts}, nil)
	n.recordConfiguration(cfg)
	n.log.WithFields(logrus.Fields{"bus": cfg.Bus, "servers": len(hosts), "calls": deploy.Calls.Version()}).
		Info("reloaded event bus, inventory and limits of calls; other changes take effect at the next start")
}
