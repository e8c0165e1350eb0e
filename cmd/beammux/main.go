// Command beammux is the gatekeeper.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"beammux/internal/config"
	"beammux/internal/jsonfile"
	"beammux/internal/store"
)

type cli struct {
	LogLevel  string `help:"Least level that is logged." enum:"debug,info,warn,error" default:"info" env:"BEAMMUX_LOG"`
	LogFormat string `help:"Form of log lines." enum:"text,json" default:"text" env:"BEAMMUX_LOG_FORMAT"`

	Serve       serveCmd       `cmd:"" help:"Run the gatekeeper."`
	Version     versionCmd     `cmd:"" help:"Print the version."`
	CheckConfig checkConfigCmd `cmd:"" help:"Read a configuration and say whether it is good."`
	Calls       callsCmd       `cmd:"" help:"Time-outs and attempts in the deploy file."`
	Config      configCmd      `cmd:"" help:"What is in force."`
	Report      reportCmd      `cmd:"" help:"Make an incident report of records; exit 1 if a rule was broken."`
	Records     recordsCmd     `cmd:"" help:"Records of what gatekeepers knew and did."`
	Console     consoleCmd     `cmd:"" help:"Watch a fleet on a terminal, live or from its records."`
	Incident    incidentCmd    `cmd:"" help:"Incidents to try things out on."`
	Store       storeCmd       `cmd:"" help:"The replicated store: ask members, read their files."`
	Inventory   inventoryCmd   `cmd:"" help:"Lists of servers as configuration tools keep them."`
	Fleet       fleetCmd       `cmd:"" help:"The fleet as a gatekeeper sees it."`
	Control     controlCmd     `cmd:"" help:"Control machines: they hold the settings that gatekeepers follow."`
	Lab         labCmd         `cmd:"" help:"Laboratories on loopback: many processes, stand-ins and faults."`
}

type versionCmd struct{}

func (versionCmd) Run() error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				version = s.Value
			}
		}
	}
	fmt.Println("beammux", version)
	return nil
}

type checkConfigCmd struct {
	File     string `arg:"" help:"Configuration file (JSON)." env:"PROXY_CONFIG"`
	Deploy   string `help:"The project's own file: SIP front, store, inventory." default:"deploy/beammux.json" env:"BEAMMUX_DEPLOY"`
	Settings string `help:"Check the value of a settings record in this file too, as a control machine does before it commits it; needs --key." placeholder:"FILE"`
	Key      string `help:"Key of that record, as settings/all/calls."`
}

func (c checkConfigCmd) Run() error {
	cfg, err := config.Load(c.File)
	if err != nil {
		return err
	}
	if _, err := config.LoadDeploy(c.Deploy, cfg.Site); err != nil {
		return err
	}
	if c.Settings != "" || c.Key != "" {
		if err := checkSettings(c.Key, c.Settings, cfg.Site); err != nil {
			return err
		}
	}
	fmt.Printf("%s: good: gatekeeper %s at %s, %d classes, %d events known\n", c.File, cfg.Name, cfg.Listen,
		len(cfg.Site.Classes), len(cfg.KnownEvents))
	return nil
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("beammux"), kong.Description("Gatekeeper for call set-up at shared menu servers."),
		kong.UsageOnError())
	level, _ := logrus.ParseLevel(c.LogLevel)
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetLevel(level)
	const stamp = "2006-01-02T15:04:05.000Z07:00"
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, TimestampFormat: stamp})
	if c.LogFormat == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: stamp})
	}
	ctx.BindTo(log, (*logrus.FieldLogger)(nil))
	if err := ctx.Run(); err != nil {
		os.Exit(complain(os.Stderr, err))
	}
}

// exit is an end without a word but with a code.
type exit int

func (e exit) Error() string { return fmt.Sprintf("exit %d", int(e)) }

// coded is an error with an exit code of its own.
type coded struct {
	error
	code int
}

func (c coded) Unwrap() error { return c.error }

func fault(err error, code int) error { return coded{err, code} }

// complain writes an error and gives the exit code. Faults of a file are lines that an editor can follow.
func complain(w io.Writer, err error) int {
	var e exit
	if errors.As(err, &e) {
		return int(e)
	}
	var faults jsonfile.Faults
	var refused *store.Refused
	if errors.As(err, &faults) {
		fmt.Fprintln(w, faults)
	} else if errors.As(err, &refused) {
		fmt.Fprintln(w, refused)
	} else {
		fmt.Fprintln(w, "beammux:", err)
	}
	var c coded
	if errors.As(err, &c) {
		return c.code
	}
	return 1
}

// printLine prints a JSON object on a line of its own.
func printLine(v any) error { return json.NewEncoder(os.Stdout).Encode(v) }

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
