// Command beammux runs and operates the gatekeeper, its control machines and its test laboratories.
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
	LogLevel  string `help:"Lowest level that is logged." enum:"debug,info,warn,error" default:"info" env:"BEAMMUX_LOG"`
	LogFormat string `help:"Format of log lines." enum:"text,json" default:"text" env:"BEAMMUX_LOG_FORMAT"`

	Serve       serveCmd       `cmd:"" help:"Run the gatekeeper."`
	Version     versionCmd     `cmd:"" help:"Print the version."`
	CheckConfig checkConfigCmd `cmd:"" help:"Read a configuration and report whether it is valid."`
	Calls       callsCmd       `cmd:"" help:"Check, explain and compare the time-outs and attempts in deploy files."`
	Config      configCmd      `cmd:"" help:"Show the configuration in force."`
	Report      reportCmd      `cmd:"" help:"Make an incident report from records; exit 1 if a rule was broken."`
	Records     recordsCmd     `cmd:"" help:"Verify and print the event records of gatekeepers."`
	Console     consoleCmd     `cmd:"" help:"Watch a fleet on a terminal, live or from its records."`
	Incident    incidentCmd    `cmd:"" help:"Simulated incidents."`
	Store       storeCmd       `cmd:"" help:"The replicated store: query and change running members, inspect their files."`
	Inventory   inventoryCmd   `cmd:"" help:"Server lists as configuration tools write them."`
	Fleet       fleetCmd       `cmd:"" help:"Show the fleet as a gatekeeper sees it."`
	Control     controlCmd     `cmd:"" help:"Control machines, which hold the settings that gatekeepers follow."`
	Lab         labCmd         `cmd:"" help:"Laboratories on loopback: many processes, fake servers and injected faults."`
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
	Deploy   string `help:"Deploy file (JSON): SIP front, store, inventory." default:"deploy/beammux.json" env:"BEAMMUX_DEPLOY"`
	Settings string `help:"Also check the value of a settings record in this file, as a control machine does before it commits the record; needs --key." placeholder:"FILE"`
	Key      string `help:"Key of that record, for example settings/all/calls."`
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
	const timestampFormat = "2006-01-02T15:04:05.000Z07:00"
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, TimestampFormat: timestampFormat})
	if c.LogFormat == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timestampFormat})
	}
	ctx.BindTo(log, (*logrus.FieldLogger)(nil))
	if err := ctx.Run(); err != nil {
		os.Exit(reportError(os.Stderr, err))
	}
}

// silentExit is an error that ends the program with an exit code and prints nothing.
type silentExit int

func (e silentExit) Error() string { return fmt.Sprintf("exit %d", int(e)) }

// exitError is an error with its own exit code.
type exitError struct {
	error
	code int
}

func (c exitError) Unwrap() error { return c.error }

// withExitCode attaches an exit code to an error.
func withExitCode(err error, code int) error { return exitError{err, code} }

// reportError prints an error and returns the exit code. Errors in a file are printed as lines with file, line and column, which
// editors can follow.
func reportError(w io.Writer, err error) int {
	var e silentExit
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
	var c exitError
	if errors.As(err, &c) {
		return c.code
	}
	return 1
}

// printJSONLine prints a value as a JSON object on one line.
func printJSONLine(v any) error { return json.NewEncoder(os.Stdout).Encode(v) }

// printJSON prints a value as indented JSON.
func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
