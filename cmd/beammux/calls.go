package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"beammux/control"
	"beammux/control/retry"
	"beammux/internal/config"
	"beammux/internal/jsonfile"
)

type callsCmd struct {
	Check   callsCheckCmd   `cmd:"" help:"Prove a file's time-outs and attempts against the rules; exit 1 with every fault."`
	Explain callsExplainCmd `cmd:"" help:"Show the limits of a call, the rule that gave each, and the call's worst course."`
	Diff    callsDiffCmd    `cmd:"" help:"Show what a new file changes for which class and route; exit 1 if anything."`
}

// compiled reads a deploy file and proves its section "calls" against a configuration's settings.
func compiled(file, configuration string) (*config.Config, *config.Deploy, *retry.Policy, error) {
	cfg, err := config.Load(configuration)
	if err != nil {
		return nil, nil, nil, err
	}
	if _, err := os.Stat(file); err != nil { // that it may be absent is for a gatekeeper alone
		return nil, nil, nil, fmt.Errorf("%s: can't be read: %w", file, err)
	}
	deploy, err := config.LoadDeploy(file, cfg.Site)
	if err != nil {
		return nil, nil, nil, err
	}
	return cfg, deploy, deploy.Calls, nil
}

type callsCheckCmd struct {
	File   string `arg:"" help:"Deploy file (JSON)."`
	Config string `help:"Configuration file (JSON) with the deployment's settings." env:"PROXY_CONFIG" required:""`
	JSON   bool   `help:"Print JSON."`
}

func (c callsCheckCmd) Run() error {
	_, _, policy, err := compiled(c.File, c.Config)
	faults, form := err.(jsonfile.Faults)
	switch {
	case c.JSON && (err == nil || form):
		if e := printJSON(map[string]any{"file": c.File, "good": err == nil, "calls": policy.Version(),
			"faults": append(jsonfile.Faults{}, faults...)}); e != nil {
			return e
		}
		if form {
			return exit(1)
		}
	case err != nil:
		return err
	case policy == nil:
		fmt.Printf("%s: good: no limits of its own, those of the settings hold\n", c.File)
	default:
		fmt.Printf("%s: good: %d classes, %d routes, version %s\n", c.File, len(policy.File().Classes), len(policy.File().Routes), policy.Version())
	}
	return nil
}

type callsExplainCmd struct {
	File        string `arg:"" help:"Deploy file (JSON)."`
	Config      string `help:"Configuration file (JSON) with the deployment's settings." env:"PROXY_CONFIG" required:""`
	Class       string `help:"Class of the call." required:""`
	Number      string `help:"Number called." required:""`
	FirstChoice int    `help:"Cell of the server of first choice." default:"-1"`
	Again       bool   `help:"The call was cut and comes again."`
	JSON        bool   `help:"Print JSON."`
}

// explanation is what explain prints.
type explanation struct {
	Class   string       `json:"class"`
	Route   string       `json:"route,omitempty"`
	Version string       `json:"version"`
	Limits  []figure     `json:"limits"`
	Budget  string       `json:"budget"`
	Worst   []courseStep `json:"worst_course"`
}

type figure struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	From  string `json:"from"`
	Where string `json:"where,omitempty"`
}

type courseStep struct {
	Attempt int    `json:"attempt"`
	StartMs int64  `json:"start_ms"`
	EndMs   int64  `json:"end_ms"`
	Outcome string `json:"outcome"`
	WaitMs  int64  `json:"wait_ms"`
}

func (c callsExplainCmd) Run() error {
	cfg, deploy, policy, err := compiled(c.File, c.Config)
	if err != nil {
		return err
	}
	class := slices.Index(cfg.Site.ClassNames, c.Class)
	if class < 0 {
		return fmt.Errorf("%s: the settings name no class %q, but %s%s", c.Config, c.Class,
			strings.Join(cfg.Site.ClassNames, ", "), jsonfile.Hint(c.Class, cfg.Site.ClassNames))
	}
	if policy == nil { // no section: what the settings say, shown the same way
		var faults []retry.Fault
		if policy, faults = retry.Compile(&retry.File{}, retry.RulesFromSettings(cfg.Site)); len(faults) > 0 {
			return fmt.Errorf("%s: %s", c.Config, faults[0].What)
		}
	}
	r := policy.Resolve(class, c.Number, c.FirstChoice, c.Again)
	e := explanation{Class: c.Class, Route: r.Name, Version: policy.Version(), Budget: policy.File().Budget.String(),
		Limits: figures(r, deploy)}
	for i, s := range policy.Worst(r) {
		e.Worst = append(e.Worst, courseStep{i + 1, ms(s.Start), ms(s.End), s.Code.String(), ms(s.Wait)})
	}
	if c.JSON {
		return printJSON(e)
	}
	rule := "no route: the class's limits"
	if r.Route >= 0 {
		path := fmt.Sprintf("calls.routes[%d]", r.Route)
		rule = fmt.Sprintf("route %q (%s, %s)", r.Name, path, deploy.Position(path))
	}
	fmt.Printf("%s to %s: %s\n\n", c.Class, c.Number, rule)
	printFigures(e.Limits)
	fmt.Printf("\nbudget: %s\n\nworst course\n", e.Budget)
	for _, s := range e.Worst {
		fmt.Printf("  %6d ms  attempt %d is sent\n  %6d ms  attempt %d ended: %s", s.StartMs, s.Attempt, s.EndMs, s.Attempt, s.Outcome)
		if s.WaitMs > 0 {
			fmt.Printf("; wait %d ms", s.WaitMs)
		}
		fmt.Println()
	}
	if len(e.Worst) > 0 {
		fmt.Printf("  %6d ms  the call gets its final answer\n", e.Worst[len(e.Worst)-1].EndMs)
	}
	return nil
}

func ms(m control.Micros) int64 { return int64(m / 1000) }

// figures lists limits with where each came from.
func figures(r *retry.Resolved, deploy *config.Deploy) (list []figure) {
	for f := range retry.ParameterCount {
		value, from := f.FormatValue(r.Values[f]), r.From[f]
		switch {
		case r.Values[f] != 0:
		case f == retry.AttemptTimeout || f == retry.GiveUp:
			from = "the call's end"
		case f == retry.RetryWait:
			from += ", but at least the release guard"
		}
		list = append(list, figure{f.String(), value, from, deploy.Position(r.From[f] + "." + f.String())})
	}
	return list
}

func printFigures(list []figure) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, f := range list {
		fmt.Fprintf(w, "  %s\t%s\t%s\t%s\n", f.Key, f.Value, f.From, f.Where)
	}
	w.Flush()
}

type callsDiffCmd struct {
	Old    string `arg:"" help:"Deploy file in force."`
	New    string `arg:"" help:"Deploy file to come."`
	Config string `help:"Configuration file (JSON) with the deployment's settings." env:"PROXY_CONFIG" required:""`
	JSON   bool   `help:"Print JSON."`
}

func (c callsDiffCmd) Run() error {
	cfg, _, before, err := compiled(c.Old, c.Config)
	if err != nil {
		return fault(err, 2)
	}
	_, _, after, err := compiled(c.New, c.Config)
	if err != nil {
		return fault(err, 2)
	}
	changes := retry.Diff(before, after, retry.RulesFromSettings(cfg.Site))
	if c.JSON {
		if err := printJSON(append([]retry.Change{}, changes...)); err != nil {
			return err
		}
	} else {
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		for _, x := range changes {
			who := "all calls"
			if x.Class != "" {
				who = x.Class
			}
			if x.Route != "" {
				who += fmt.Sprintf(" by route %q", x.Route)
			}
			none := func(s string) string {
				if s == "" {
					return "none"
				}
				return s
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t-> %s\n", who, x.Property, none(x.Before), none(x.After))
		}
		w.Flush()
	}
	if len(changes) > 0 {
		return exit(1)
	}
	return nil
}
