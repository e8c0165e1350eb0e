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

// labSlopesCmd measures series for docs/measured, which docs/CAPACITY.md is computed from.
type labSlopesCmd struct {
	JSON        string   `help:"File to write the series to; the standard output if not set." type:"path"`
	Only        []string `help:"Groups to measure: commits, snapshots, gossip, leases, figures; all if not set."`
	Repetitions int      `help:"Values at each size, 3 or more." default:"3"`
	Dir         string   `help:"Folder, on the disk to measure, for the stores' files; removed at the end. The default for temporary files if not set." type:"path"`
	Beside      string   `help:"What else runs on this machine, for the record." default:"nothing known"`
}

// Run implements the command.
func (c labSlopesCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	quiet := logrus.New()
	quiet.SetOutput(io.Discard) // hundreds of members speak of each other
	began := time.Now()
	file, err := slopes.Run(ctx, slopes.Options{Groups: c.Only, Repetitions: c.Repetitions, Dir: c.Dir, Beside: c.Beside,
		Command: c.again(), Log: quiet, Progress: func(text string) {
			fmt.Fprintf(os.Stderr, "slopes: %5.1f s: %s\n", time.Since(began).Seconds(), text)
		}})
	if file == nil {
		return err
	}
	return errors.Join(err, c.write(file)) // what was measured before an error is kept
}

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

// again is the command that measures the same.
func (c labSlopesCmd) again() string {
	command := "beammux lab slopes"
	if len(c.Only) > 0 {
		command += " --only " + strings.Join(c.Only, ",")
	}
	return fmt.Sprintf("%s --repetitions %d --json FILE", command, c.Repetitions)
}
