package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"

	"beammux/internal/config"
	"beammux/internal/node"
)

type serveCmd struct {
	Config string `help:"Configuration file (JSON)." env:"PROXY_CONFIG" required:""`
	Listen string `help:"Address for callers; overrides the configuration's listen." env:"PROXY_LISTEN"`
	Admin  string `name:"admin-addr" help:"Operators' HTTP address, HOST:PORT; overrides the configuration's admin_addr." env:"PROXY_ADMIN_ADDR"`
	Deploy string `help:"Deploy file (JSON): SIP front, store, inventory." default:"deploy/beammux.json" env:"BEAMMUX_DEPLOY"`
}

func (s serveCmd) Run(log logrus.FieldLogger) error {
	// The handlers are installed before anything else: an early SIGHUP without a handler would end the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg, err := config.Load(s.Config)
	if err != nil {
		return err
	}
	deploy, err := config.LoadDeploy(s.Deploy, cfg.Site)
	if err != nil {
		return err
	}
	if s.Listen != "" {
		cfg.Listen = s.Listen
	}
	if s.Admin != "" {
		if err := config.CheckAdminAddr(s.Admin); err != nil {
			return fmt.Errorf("$PROXY_ADMIN_ADDR (--admin-addr): %v", err)
		}
		cfg.AdminAddr = s.Admin
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	applyResourceLimits(cfg)
	gatekeeper, err := node.Start(ctx, cfg, deploy, log.WithField("node", cfg.Name))
	if err != nil && ctx.Err() != nil {
		log.WithError(err).Info("stopped before the gatekeeper served")
		return nil
	}
	if err != nil {
		return err
	}
	terminated, drained := ctx.Done(), make(chan struct{})
	for { // SIGHUP is handled until the end: the server list must stay current during the drain too
		select {
		case <-hup:
			gatekeeper.Reload(s.Config, s.Deploy)
		case <-terminated:
			terminated = nil
			go func() {
				defer close(drained)
				gatekeeper.Drain()
			}()
		case <-drained:
			return nil
		}
	}
}

// applyResourceLimits applies the configured processor and memory limits to the Go runtime.
func applyResourceLimits(cfg *config.Config) {
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(cfg.Cores+0.5)))
	}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(node.RuntimeMemory(cfg.MemoryMB))
	}
}
