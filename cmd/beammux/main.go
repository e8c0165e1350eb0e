// Command beammux is the gatekeeper.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"beammux/internal/config"
)

type cli struct {
	LogLevel string `help:"Least level that is logged." enum:"debug,info,warn,error" default:"info" env:"BEAMMUX_LOG"`

	Serve       serveCmd       `cmd:"" help:"Run the gatekeeper."`
	Version     versionCmd     `cmd:"" help:"Print the version."`
	CheckConfig checkConfigCmd `cmd:"" help:"Read a configuration and say whether it is good."`
	Inventory   inventoryCmd   `cmd:"" help:"Lists of servers as configuration tools keep them."`
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
	File   string `arg:"" help:"Configuration file (JSON)." env:"PROXY_CONFIG"`
	Deploy string `help:"The project's own file: SIP front, store, inventory." default:"deploy/beammux.json" env:"BEAMMUX_DEPLOY"`
}

func (c checkConfigCmd) Run() error {
	cfg, err := config.Load(c.File)
	if err != nil {
		return err
	}
	if _, err := config.LoadDeploy(c.Deploy); err != nil {
		return err
	}
	fmt.Printf("%s: good: gatekeeper %s at %s, %d classes, %d events known\n", c.File, cfg.Name, cfg.Listen,
		len(cfg.Site.Classes), len(cfg.Known))
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
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	ctx.BindTo(log, (*logrus.FieldLogger)(nil))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "beammux:", err)
		os.Exit(1)
	}
}
