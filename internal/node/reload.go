package node

import (
	"strings"

	"github.com/sirupsen/logrus"

	"beammux/internal/config"
	"beammux/internal/inventory"
	"beammux/internal/routing"
)

// Reload reads configuration, inventory and limits of calls again, and moves to the event bus that the configuration names.
// Sections that the control machines' settings contain keep those values. If any file is invalid, nothing changes. The core's
// settings and the listening addresses are fixed for the life of the process.
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
	if n.deploy.Limits == nil && n.deploy.Control == nil && deploy.Limits != nil {
		n.log.Warn("reload: fleet.limits is new; it takes effect at the next start")
	}
	n.bus.SetAddr(cfg.Bus)
	before := n.fileHosts()
	current, fromRecords := n.reloadSections(sections{calls: deploy.Calls, limits: deploy.Limits, hosts: hosts})
	if deploy.Inventory != "" {
		n.rereadIfIncomplete(deploy.Inventory, before, hosts)
	}
	n.recordConfiguration(cfg)
	log := n.log.WithFields(logrus.Fields{"bus": cfg.Bus, "servers": len(current.hosts), "calls": current.calls.Version()})
	if len(fromRecords) > 0 {
		log = log.WithField("from_control_machines", strings.Join(fromRecords, " "))
	}
	log.Info("reloaded event bus, inventory and limits of calls; other changes take effect at the next start")
}
