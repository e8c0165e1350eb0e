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
	Listen string `help:"Address for callers, in place of the configuration's." env:"PROXY_LISTEN"`
	Admin  string `name:"admin-addr" help:"Operators' HTTP address, HOST:PORT, in place of the configuration's admin_addr." env:"PROXY_ADMIN_ADDR"`
	Deploy string `help:"The project's own file: SIP front, store, inventory." default:"deploy/beammux.json" env:"BEAMMUX_DEPLOY"`
}

func (s serveCmd) Run(log logrus.FieldLogger) error {
	// First of all: uncaught, a signal that comes early would end the process.
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
	limits(cfg)
	n, err := node.Start(ctx, cfg, deploy, log.WithField("node", cfg.Name))
	if err != nil && ctx.Err() != nil {
		log.WithError(err).Info("ended before it served")
		return nil
	}
	if err != nil {
		return err
	}
	term, drained := ctx.Done(), make(chan struct{})
	for { // SIGHUP counts to the end: while it drains, the list must not fall silent either
		select {
		case <-hup:
			n.Reload(s.Config, s.Deploy)
		case <-term:
			term = nil
			go func() {
				defer close(drained)
				n.Drain()
			}()
		case <-drained:
			return nil
		}
	}
}

// limits keeps the runtime within what the machine gives.
func limits(cfg *config.Config) {
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(cfg.Cores+0.5)))
	}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 7 / 10)
	}
}
