package main

import (
	"cmp"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"beammux/internal/config"
)

type configCmd struct {
	Show configShowCmd `cmd:"" help:"Show all values that a start with these files would put in force, and the origin of each."`
}

type configShowCmd struct {
	Config string `help:"Configuration file (JSON)." env:"PROXY_CONFIG" required:""`
	Listen string `help:"Address for callers; overrides the configuration's listen." env:"PROXY_LISTEN"`
	Deploy string `help:"Deploy file (JSON)." default:"deploy/beammux.json" env:"BEAMMUX_DEPLOY"`
	JSON   bool   `help:"Print JSON."`
}

func (c configShowCmd) Run() error {
	cfg, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	deploy, err := config.LoadDeploy(c.Deploy, cfg.Site)
	if err != nil {
		return err
	}
	policy := deploy.Calls
	var values []configValue
	add := func(key string, value any, from string) {
		values = append(values, configValue{Key: key, Value: fmt.Sprint(value), From: from})
	}
	add("name", cfg.Name, c.Config)
	if c.Listen != "" {
		add("listen", c.Listen, "--listen or PROXY_LISTEN")
	} else {
		add("listen", cfg.Listen, c.Config)
	}
	add("bus", cfg.Bus, c.Config)
	add("limits.cores", cfg.Cores, c.Config)
	add("limits.memory_mb", cfg.MemoryMB, c.Config)
	add("limits.sockets", cfg.Sockets, c.Config)
	site := cfg.Site
	settings := c.Config + ": settings"
	add("settings.classes", strings.Join(site.ClassNames, " "), settings)
	add("settings.balancers", site.Gatekeepers, settings)
	add("settings.bounds.attempts-cap", site.AttemptsCap, settings)
	add("settings.bounds.cancel", site.Cancel, settings)
	add("settings.bounds.retry-after", site.RetryAfter, settings)
	add("settings.bounds.max-retry-after-us", site.MaxRetryAfter, settings)
	add("settings.bounds.second-copies", site.SecondCopies, settings)
	add("settings.extra.release-guard-us", site.ReleaseGuard, settings)
	add("settings.extra.t1-us", site.ResendGap, settings)
	addDeploy := func(key, value string) {
		from := deploy.Position(key)
		if from == "" {
			from = "default: off"
		}
		add(key, value, from)
	}
	addDeploy("sip.udp", deploy.SIPUDP)
	addDeploy("sip.tcp", deploy.SIPTCP)
	addDeploy("sip.default_class", deploy.DefaultClass)
	addDeploy("store.node", deploy.StoreNode)
	addDeploy("store.listen", deploy.StoreListen)
	var peers []string
	for _, p := range deploy.StorePeers {
		peers = append(peers, p.Node+"="+p.Address)
	}
	addDeploy("store.peers", strings.Join(peers, " "))
	addDeploy("store.dir", deploy.StoreDir)
	addDeploy("store.sync", deploy.StoreSync)
	addDeploy("store.join", fmt.Sprint(deploy.StoreJoin))
	addDeploy("inventory", deploy.Inventory)
	if configuration, c := c.Config, deploy.Control; c != nil { // settings of the control machines override this file; `fleet view` shows them
		add("control.name", cmp.Or(c.Name, cfg.Name), cmp.Or(deploy.Position("control.name"), configuration))
		addDeploy("control.region", c.Region)
		addDeploy("control.zone", c.Zone)
		addDeploy("control.service", c.Service)
		var replicas []string
		for _, r := range c.Replicas {
			replicas = append(replicas, r.Name+"="+r.Address)
		}
		addDeploy("control.replicas", strings.Join(replicas, " "))
		addDeploy("control.dir", c.Dir)
	}
	add("calls", policy.Version(), "version in force")
	if policy != nil {
		addDeploy("calls.second_copies", fmt.Sprint(policy.File().SecondCopies))
		addDeploy("calls.budget", policy.File().Budget.String())
	}
	for _, r := range policy.All() {
		name := "calls of " + site.ClassNames[r.Class]
		if r.Route >= 0 {
			name += fmt.Sprintf(" by route %q", r.Name)
		}
		for _, f := range limitValues(r, deploy) {
			f.Key = name + ": " + f.Key
			values = append(values, f)
		}
	}
	if c.JSON {
		return printJSON(values)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, f := range values {
		from := f.Where
		if from == "" {
			from = f.From
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", f.Key, f.Value, from)
	}
	return w.Flush()
}
