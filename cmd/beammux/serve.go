package main

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/internal/config"
	"beammux/internal/protocol/bus"
	"beammux/internal/protocol/jsonl"
	"beammux/internal/protocol/sip"
	"beammux/internal/routing"
	"beammux/internal/transport"
)

const (
	takeFor     = 500 * time.Millisecond // after SIGTERM new connections are taken for this long
	openFor     = 700 * time.Millisecond // and set-ups on open ones
	flushFor    = 300 * time.Millisecond // for what is queued at the end
	ownFiles    = 24                     // descriptors that are neither callers' nor servers'
	plainFiles  = 1024
	dialTimeout = 500 * time.Millisecond
)

type serveCmd struct {
	Config string `help:"Configuration file (JSON)." env:"PROXY_CONFIG" required:""`
	Listen string `help:"Address for callers, in place of the configuration's." env:"PROXY_LISTEN"`
}

func (s serveCmd) Run(log logrus.FieldLogger) error {
	cfg, err := config.Load(s.Config)
	if err != nil {
		return err
	}
	if s.Listen != "" {
		cfg.Listen = s.Listen
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return serve(ctx, cfg, log.WithField("node", cfg.Name))
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

func serve(ctx context.Context, cfg *config.Config, log logrus.FieldLogger) error {
	limits(cfg)
	files := cfg.Sockets
	if files <= 0 {
		files = plainFiles
	}
	budget := transport.NewBudget(max(8, files-ownFiles), files/8)
	seed := cfg.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	timeout := time.Duration(cfg.Site.DialTimeout) * time.Microsecond
	if timeout <= 0 {
		timeout = dialTimeout
	}
	core := routing.NewCore(cfg.Site.Settings, seed, log)
	front := jsonl.NewFront(core, cfg.Site.ClassNames, log)
	core.SetOrphans(front)
	dialer := &sip.PlatformDialer{Budget: budget, Timeout: timeout, Classes: cfg.Site.ClassNames,
		Reports: cfg.Site.ReportNames, Log: log}
	list := routing.NewList(core, dialer, log)

	var loaded sync.WaitGroup
	for _, e := range cfg.Known {
		if e.Update != nil {
			loaded.Add(1)
			list.Apply(*e.Update, loaded.Done)
		}
	}
	loaded.Wait()
	listener, err := transport.Listen(cfg.Listen, budget)
	if err != nil {
		return err
	}
	if cfg.Bus != "" {
		r := &bus.Reader{Addr: cfg.Bus, Last: cfg.Last, Log: log,
			Apply: func(u routing.Update) { list.Apply(u, nil) },
			Dial: func(ctx context.Context, addr string) (net.Conn, error) {
				return (&net.Dialer{Timeout: timeout}).DialContext(ctx, "tcp", addr)
			}}
		go r.Run(context.WithoutCancel(ctx)) // drains of servers count to the end
	}
	go listener.Serve(front.Serve)
	log.WithField("listen", listener.Addr().String()).Info("serving")

	<-ctx.Done()
	log.Info("draining: answering what was taken")
	front.Drain()
	time.Sleep(takeFor)
	listener.Close()
	time.Sleep(openFor - takeFor)
	drained := make(chan struct{}, 1)
	core.Drained(func() {
		select {
		case drained <- struct{}{}:
		default:
		}
	})
	<-drained
	listener.Finish(flushFor)
	log.Info("drained")
	return nil
}
