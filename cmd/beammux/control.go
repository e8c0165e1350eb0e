package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/internal/config"
	"beammux/internal/controlmachine"
	"beammux/internal/store"
)

type controlCmd struct {
	Serve    controlServeCmd    `cmd:"" help:"Run a control machine: a member of the store that gatekeepers follow their settings at."`
	Check    controlCheckCmd    `cmd:"" help:"Read a control machine's file and say whether it is good."`
	Sessions controlSessionsCmd `cmd:"" help:"The gatekeepers that follow their settings at a control machine, and what each has in force."`
}

type controlServeCmd struct {
	File  string `help:"The control machine's file (JSON)." required:""`
	Admin string `name:"admin-addr" help:"Operators' HTTP address, HOST:PORT, in place of the file's admin_addr."`
}

func (c controlServeCmd) Run(log logrus.FieldLogger) error {
	hup := make(chan os.Signal, 1) // first of all: uncaught, a signal that comes early would end the process
	signal.Notify(hup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg, err := config.LoadControlMachine(c.File)
	if err != nil {
		return err
	}
	if c.Admin != "" {
		if err := config.CheckAdminAddr(c.Admin); err != nil {
			return fmt.Errorf("--admin-addr: %v", err)
		}
		cfg.AdminAddr = c.Admin
	}
	log = log.WithField("node", cfg.Name)
	m, err := controlmachine.Start(ctx, cfg, log)
	if err != nil && ctx.Err() != nil {
		log.WithError(err).Info("ended before it was ready")
		return nil
	}
	if err != nil {
		return err
	}
	for {
		select {
		case <-hup:
			m.Reload(c.File)
		case <-ctx.Done():
			m.Drain()
			return nil
		}
	}
}

type controlCheckCmd struct {
	File string `arg:"" help:"The control machine's file (JSON)."`
}

func (c controlCheckCmd) Run() error {
	m, err := config.LoadControlMachine(c.File)
	if err != nil {
		return err
	}
	proof := "settings are proved against " + m.GatekeeperConfig
	if m.Site == nil {
		proof = "only the form of settings is checked: no gatekeeper's configuration is named"
	}
	fmt.Printf("%s: good: control machine %s at %s, %d members; %s\n", c.File, m.Name, m.Store.Listen, len(m.Store.Peers), proof)
	return nil
}

type controlSessionsCmd struct{ member }

func (c controlSessionsCmd) Run() error {
	return c.ask(func(ctx context.Context) error {
		sessions, err := store.SessionsFrom(ctx, nil, c.Store)
		if err != nil {
			return err
		}
		if c.JSON {
			return printJSON(append([]store.SessionStatus{}, sessions...))
		}
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "gatekeeper\tservice\tzone\tregion\tsince\tin force\tto hold\trefused")
		for _, s := range sessions {
			refused := "-"
			if s.Report.Refused > 0 {
				refused = fmt.Sprintf("%d: %s", s.Report.Refused, s.Report.Fault)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", printable(s.Name), s.Service, s.Zone, s.Region,
				s.Since.UTC().Format(time.TimeOnly), s.Report.InForce, s.Target, oneLine(refused))
		}
		return w.Flush()
	})
}

// oneLine keeps a text with several lines in one line of a table.
func oneLine(s string) string { return strings.ReplaceAll(s, "\n", "; ") }
