// Command lab runs measurements of the gatekeeper on the loopback interface. It is not part of the gatekeeper.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"

	"beammux/internal/lab"
)

type cli struct {
	Records  recordsCmd  `cmd:"" help:"Write the records that a fleet would write in a number of hours, as input for measurements of reports."`
	Cost     costCmd     `cmd:"" help:"Measure the processor time of a gatekeeper with and without records."`
	Restart  restartCmd  `cmd:"" help:"Restart all gatekeepers at once while a server is slow, and compare warm with cold starts."`
	Overload overloadCmd `cmd:"" help:"Offer more calls than slowed-down servers can take, and compare limits of calls."`
}

type overloadCmd struct {
	Seed        uint64        `help:"Seed of arrivals and holding times." default:"1"`
	Runs        int           `help:"Runs of each variant, with seeds from --seed on." default:"3"`
	Gatekeepers int           `default:"4"`
	Servers     int           `default:"3"`
	Length      time.Duration `help:"Length of each run." default:"30s"`
	Load        float64       `help:"Offered load as a multiple of the servers' capacity." default:"1.2"`
	Slow        float64       `help:"Factor by which the servers slow down for 10 s." default:"4"`
	JSON        bool          `help:"Print JSON."`
}

// variants are the limits of calls that are compared. The two with five attempts differ only in the retry budget.
var variants = []struct{ Name, Calls string }{
	{"today's behaviour", ""},
	{"5 attempts, no budget", `{"defaults":{"attempts":5,"attempt_timeout_ms":800,"retry_wait_ms":300,"retry_jitter_ms":100,
"retry_on":["full","unreachable","not_sent","timed_out","cut","cancelled","failed"]}}`},
	{"5 attempts, budget", `{"defaults":{"attempts":5,"attempt_timeout_ms":800,"retry_wait_ms":300,"retry_jitter_ms":100,
"retry_on":["full","unreachable","not_sent","timed_out","cut","cancelled","failed"]},"budget":{"ratio":0.2,"min_per_s":1,"burst":10}}`},
}

// result is the outcome of one run of a variant.
type result struct {
	Variant string `json:"variant"`
	Seed    uint64 `json:"seed"`
	*lab.Outcome
}

func (c overloadCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var rows []result
	for run := range c.Runs {
		for _, v := range variants {
			seed := c.Seed + uint64(run)
			fmt.Fprintf(os.Stderr, "lab: run %d of %d: %s\n", len(rows)+1, c.Runs*len(variants), v.Name)
			outcome, err := lab.Overload{Seed: seed, Gatekeepers: c.Gatekeepers, Servers: c.Servers, Length: c.Length, SlowFrom: c.Length / 5,
				SlowFor: 10 * time.Second, Slow: c.Slow, Load: c.Load, Calls: v.Calls}.Run(ctx)
			if err != nil {
				return err
			}
			rows = append(rows, result{v.Name, seed, outcome})
		}
	}
	if c.JSON {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(rows)
	}
	fmt.Printf("%-22s %4s %6s %8s %8s %7s %7s %7s %10s %7s %7s\n", "variant", "seed", "first", "per call", "per sent", "served", "slow", "diet", "unanswered", "p50 s", "p99 s")
	for _, r := range rows {
		fmt.Printf("%-22s %4d %6d %8.2f %8.2f %7.3f %7.3f %7.3f %10d %7.2f %7.2f\n", r.Variant, r.Seed, r.First, r.SetupsPerCall, r.SetupsPerAttempt, r.ServedShare, r.ServedInSlowSpan,
			r.ServedByClass["diet-order"], r.Unanswered, r.P50, r.P99)
	}
	return nil
}

type recordsCmd struct {
	Out         string  `help:"Directory for the records." required:"" type:"path"`
	Seed        uint64  `default:"1"`
	Hours       float64 `default:"6"`
	Gatekeepers int     `default:"8"`
	PerS        float64 `help:"Calls per second over all gatekeepers." default:"65"`
}

func (c recordsCmd) Run() error {
	written, err := lab.Records{Dir: c.Out, Seed: c.Seed, Hours: c.Hours, Gatekeepers: c.Gatekeepers, PerS: c.PerS}.Write(func(node string, events int) {
		fmt.Fprintf(os.Stderr, "lab: %s: %d records\n", node, events)
	})
	fmt.Println(written, "records")
	return err
}

type restartCmd struct {
	Seeds    int  `help:"Number of seeds, from 1 on." default:"10"`
	Together int  `help:"Runs executed at the same time." default:"5"`
	JSON     bool `help:"Print JSON."`
}

func (c restartCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	rows := make([]*lab.RestartResult, 2*c.Seeds)
	var g errgroup.Group
	g.SetLimit(c.Together)
	for i := range rows {
		g.Go(func() (err error) {
			rows[i], err = lab.Restart{Seed: uint64(i/2 + 1), Warm: i%2 == 1}.Run(ctx)
			fmt.Fprintf(os.Stderr, "lab: run %d of %d finished\n", i+1, len(rows))
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	fmt.Printf("%4s %-5s %7s %7s %7s %7s %9s\n", "seed", "", "served", "setups", "full", "wasted", "serving s")
	for _, r := range rows {
		startKind := "cold"
		if r.Warm {
			startKind = "warm"
		}
		fmt.Printf("%4d %-5s %7.3f %7d %7d %7d %9.3f\n", r.Seed, startKind, r.ServedShare, r.Setups, r.TurnedAway, r.Wasted, r.SecondsToServing)
	}
	return nil
}

type costCmd struct {
	Program string        `help:"Gatekeeper program to measure." default:"bin/beammux" type:"path"`
	PerS    float64       `help:"Calls per second." default:"200"`
	Length  time.Duration `help:"Length of each run." default:"15s"`
	Runs    int           `help:"Runs with records, and as many without." default:"2"`
}

func (c costCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	for run := range c.Runs {
		for _, records := range []bool{run%2 == 1, run%2 == 0} { // alternates which kind runs first
			cost, err := lab.Cost{Program: c.Program, PerS: c.PerS, Length: c.Length, Seed: uint64(run + 1)}.Run(ctx, records)
			if err != nil {
				return err
			}
			fmt.Printf("records %-5t  %d calls  %6.1f us a call  %5.2f%% of a core\n", records, cost.Calls, float64(cost.PerCall.Nanoseconds())/1000, 100*cost.CoreShare)
		}
	}
	return nil
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("lab"), kong.Description("Measurements of beammux on loopback."), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		os.Exit(1)
	}
}
