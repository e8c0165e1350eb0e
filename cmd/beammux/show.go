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
	Show configShowCmd `cmd:"" help:"Show everything that a start with these files would put in force, and where each value comes from."`
}

type configShowCmd struct {
	Config string `help:"Configuration file (JSON)." env:"PROXY_CONFIG" required:""`
	Listen string `help:"Address for callers, in place of the configuration's." env:"PROXY_LISTEN"`
	Deploy string `help:"The project's own file." default:"deploy/beammux.json" env:"BEAMMUX_DEPLOY"`
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
	var all []figure
	add := func(key string, value any, from string) {
		all = append(all, figure{Key: key, Value: fmt.Sprint(value), From: from})
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
	s := cfg.Site
	settings := c.Config + ": settings"
	add("settings.classes", strings.Join(s.ClassNames, " "), settings)
	add("settings.balancers", s.Gatekeepers, settings)
	add("settings.bounds.attempts-cap", s.AttemptsCap, settings)
	add("settings.bounds.cancel", s.Cancel, settings)
	add("settings.bounds.retry-after", s.RetryAfter, settings)
	add("settings.bounds.max-retry-after-us", s.MaxRetryAfter, settings)
	add("settings.bounds.second-copies", s.SecondCopies, settings)
	add("settings.extra.release-guard-us", s.ReleaseGuard, settings)
	add("settings.extra.t1-us", s.ResendGap, settings)
	own := func(key, value string) {
		from := deploy.Position(key)
		if from == "" {
			from = "default: off"
		}
		add(key, value, from)
	}
	own("sip.udp", deploy.SIPUDP)
	own("sip.tcp", deploy.SIPTCP)
	own("sip.default_class", deploy.DefaultClass)
	own("store.node", deploy.StoreNode)
	own("store.listen", deploy.StoreListen)
	var peers []string
	for _, p := range deploy.StorePeers {
		peers = append(peers, p.Node+"="+p.Address)
	}
	own("store.peers", strings.Join(peers, " "))
	own("store.dir", deploy.StoreDir)
	own("store.sync", deploy.StoreSync)
	own("store.join", fmt.Sprint(deploy.StoreJoin))
	own("inventory", deploy.Inventory)
	if configuration, c := c.Config, deploy.Control; c != nil { // what the control machines name wins over this file: `fleet view` shows it
		add("control.name", cmp.Or(c.Name, cfg.Name), cmp.Or(deploy.Position("control.name"), configuration))
		own("control.region", c.Region)
		own("control.zone", c.Zone)
		own("control.service", c.Service)
		var replicas []string
		for _, r := range c.Replicas {
			replicas = append(replicas, r.Name+"="+r.Address)
		}
		own("control.replicas", strings.Join(replicas, " "))
		own("control.dir", c.Dir)
	}
	add("calls", policy.Version(), "version in force")
	if policy != nil {
		own("calls.second_copies", fmt.Sprint(policy.File().SecondCopies))
		own("calls.budget", policy.File().Budget.String())
	}
	for _, r := range policy.All() {
		name := "calls of " + s.ClassNames[r.Class]
		if r.Route >= 0 {
			name += fmt.Sprintf(" by route %q", r.Name)
		}
		for _, f := range figures(r, deploy) {
			f.Key = name + ": " + f.Key
			all = append(all, f)
		}
	}
	if c.JSON {
		return printJSON(all)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, f := range all {
		from := f.Where
		if from == "" {
			from = f.From
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", f.Key, f.Value, from)
	}
	return w.Flush()
}
