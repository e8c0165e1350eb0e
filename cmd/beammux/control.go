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
	Serve    controlServeCmd    `cmd:"" help:"Run a control machine: a member of the store from which gatekeepers receive their settings."`
	Check    controlCheckCmd    `cmd:"" help:"Read a control machine's file and report whether it is valid."`
	Sessions controlSessionsCmd `cmd:"" help:"List the gatekeepers that follow their settings at a control machine, with the revision that each has in force."`
}

type controlServeCmd struct {
	File  string `help:"The control machine's file (JSON)." required:""`
	Admin string `name:"admin-addr" help:"Operators' HTTP address, HOST:PORT; overrides the file's admin_addr."`
}

func (c controlServeCmd) Run(log logrus.FieldLogger) error {
	hup := make(chan os.Signal, 1) // installed first: an early SIGHUP without a handler would end the process
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
	machine, err := controlmachine.Start(ctx, cfg, log)
	if err != nil && ctx.Err() != nil {
		log.WithError(err).Info("stopped before the control machine was ready")
		return nil
	}
	if err != nil {
		return err
	}
	for {
		select {
		case <-hup:
			machine.Reload(c.File)
		case <-ctx.Done():
			machine.Drain()
			return nil
		}
	}
}

type controlCheckCmd struct {
	File string `arg:"" help:"The control machine's file (JSON)."`
}

func (c controlCheckCmd) Run() error {
	machine, err := config.LoadControlMachine(c.File)
	if err != nil {
		return err
	}
	validation := "settings are validated against " + machine.GatekeeperConfig
	if machine.Site == nil {
		validation = "only the syntax of settings is checked: the file names no gatekeeper's configuration"
	}
	fmt.Printf("%s: good: control machine %s at %s, %d members; %s\n", c.File, machine.Name, machine.Store.Listen, len(machine.Store.Peers), validation)
	return nil
}

type controlSessionsCmd struct{ memberFlags }

func (c controlSessionsCmd) Run() error {
	return c.request(func(ctx context.Context) error {
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

// oneLine replaces line breaks, so that a text fits in one line of a table.
func oneLine(s string) string { return strings.ReplaceAll(s, "\n", "; ") }
