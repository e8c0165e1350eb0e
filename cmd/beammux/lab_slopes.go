package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/internal/capacity"
	"beammux/internal/capacity/slopes"
)

// labSlopesCmd measures the series in docs/measured, from which docs/CAPACITY.md is computed.
type labSlopesCmd struct {
	JSON        string   `help:"File to write the series to; default: standard output." type:"path"`
	Only        []string `help:"Groups to measure: commits, snapshots, gossip, leases, figures; default: all."`
	Repetitions int      `help:"Values at each size, at least 3." default:"3"`
	Dir         string   `help:"Directory for the stores' files, on the disk to measure; removed at the end. Default: the directory for temporary files." type:"path"`
	Beside      string   `help:"Other load on this machine, noted in the result." default:"nothing known"`
}

// Run measures the series and writes them.
func (c labSlopesCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	quiet := logrus.New()
	quiet.SetOutput(io.Discard) // hundreds of members log changes of their peers
	began := time.Now()
	file, err := slopes.Run(ctx, slopes.Options{Groups: c.Only, Repetitions: c.Repetitions, Dir: c.Dir, Beside: c.Beside,
		Command: c.commandLine(), Log: quiet, Progress: func(text string) {
			fmt.Fprintf(os.Stderr, "slopes: %5.1f s: %s\n", time.Since(began).Seconds(), text)
		}})
	if file == nil {
		return err
	}
	return errors.Join(err, c.write(file)) // series measured before an error are written too
}

// write writes the series to the file of --json, or prints them.
func (c labSlopesCmd) write(file *capacity.File) error {
	if c.JSON == "" {
		return printJSON(file)
	}
	text, err := json.MarshalIndent(file, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.JSON, append(text, '\n'), 0o644)
}

// commandLine returns the command line that repeats the measurement.
func (c labSlopesCmd) commandLine() string {
	command := "beammux lab slopes"
	if len(c.Only) > 0 {
		command += " --only " + strings.Join(c.Only, ",")
	}
	return fmt.Sprintf("%s --repetitions %d --json FILE", command, c.Repetitions)
}
