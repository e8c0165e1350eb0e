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
	Check   callsCheckCmd   `cmd:"" help:"Validate a file's time-outs and attempts; exit 1 and print every error if any is invalid."`
	Explain callsExplainCmd `cmd:"" help:"Show the limits of a call, the rule that sets each limit, and the call's worst course."`
	Diff    callsDiffCmd    `cmd:"" help:"Show the changes of a new file by class and route; exit 1 if there are any."`
}

// loadPolicy reads a deploy file and validates its section "calls" against the settings of a configuration.
func loadPolicy(file, configuration string) (*config.Config, *config.Deploy, *retry.Policy, error) {
	cfg, err := config.Load(configuration)
	if err != nil {
		return nil, nil, nil, err
	}
	if _, err := os.Stat(file); err != nil { // only a gatekeeper may start without a deploy file
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
	_, _, policy, err := loadPolicy(c.File, c.Config)
	faults, invalid := err.(jsonfile.Faults)
	switch {
	case c.JSON && (err == nil || invalid):
		if printErr := printJSON(map[string]any{"file": c.File, "good": err == nil, "calls": policy.Version(),
			"faults": append(jsonfile.Faults{}, faults...)}); printErr != nil {
			return printErr
		}
		if invalid {
			return silentExit(1)
		}
	case err != nil:
		return err
	case policy == nil:
		fmt.Printf("%s: good: no limits of its own, those of the settings apply\n", c.File)
	default:
		fmt.Printf("%s: good: %d classes, %d routes, version %s\n", c.File, len(policy.File().Classes), len(policy.File().Routes), policy.Version())
	}
	return nil
}

type callsExplainCmd struct {
	File        string `arg:"" help:"Deploy file (JSON)."`
	Config      string `help:"Configuration file (JSON) with the deployment's settings." env:"PROXY_CONFIG" required:""`
	Class       string `help:"Class of the call." required:""`
	Number      string `help:"Called number." required:""`
	FirstChoice int    `help:"Cell of the first-choice server; -1: none." default:"-1"`
	Again       bool   `help:"The call was cut and is repeated."`
	JSON        bool   `help:"Print JSON."`
}

// explanation is the output of calls explain.
type explanation struct {
	Class   string        `json:"class"`
	Route   string        `json:"route,omitempty"`
	Version string        `json:"version"`
	Limits  []configValue `json:"limits"`
	Budget  string        `json:"budget"`
	Worst   []courseStep  `json:"worst_course"`
}

// configValue is a value in force and where it was set.
type configValue struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	From  string `json:"from"`
	Where string `json:"where,omitempty"`
}

// courseStep is one attempt of a call's worst course.
type courseStep struct {
	Attempt int    `json:"attempt"`
	StartMs int64  `json:"start_ms"`
	EndMs   int64  `json:"end_ms"`
	Outcome string `json:"outcome"`
	WaitMs  int64  `json:"wait_ms"`
}

func (c callsExplainCmd) Run() error {
	cfg, deploy, policy, err := loadPolicy(c.File, c.Config)
	if err != nil {
		return err
	}
	class := slices.Index(cfg.Site.ClassNames, c.Class)
	if class < 0 {
		return fmt.Errorf("%s: the settings define no class %q, only %s%s", c.Config, c.Class,
			strings.Join(cfg.Site.ClassNames, ", "), jsonfile.Hint(c.Class, cfg.Site.ClassNames))
	}
	if policy == nil { // no section calls: the limits of the settings are shown instead
		var faults []retry.Fault
		if policy, faults = retry.Compile(&retry.File{}, retry.RulesFromSettings(cfg.Site)); len(faults) > 0 {
			return fmt.Errorf("%s: %s", c.Config, faults[0].What)
		}
	}
	limits := policy.Resolve(class, c.Number, c.FirstChoice, c.Again)
	explained := explanation{Class: c.Class, Route: limits.Name, Version: policy.Version(), Budget: policy.File().Budget.String(),
		Limits: limitValues(limits, deploy)}
	for i, s := range policy.Worst(limits) {
		explained.Worst = append(explained.Worst, courseStep{i + 1, milliseconds(s.Start), milliseconds(s.End), s.Code.String(), milliseconds(s.Wait)})
	}
	if c.JSON {
		return printJSON(explained)
	}
	rule := "no route: the class's limits"
	if limits.Route >= 0 {
		path := fmt.Sprintf("calls.routes[%d]", limits.Route)
		rule = fmt.Sprintf("route %q (%s, %s)", limits.Name, path, deploy.Position(path))
	}
	fmt.Printf("%s to %s: %s\n\n", c.Class, c.Number, rule)
	printValues(explained.Limits)
	fmt.Printf("\nbudget: %s\n\nworst course\n", explained.Budget)
	for _, s := range explained.Worst {
		fmt.Printf("  %6d ms  attempt %d is sent\n  %6d ms  attempt %d ended: %s", s.StartMs, s.Attempt, s.EndMs, s.Attempt, s.Outcome)
		if s.WaitMs > 0 {
			fmt.Printf("; wait %d ms", s.WaitMs)
		}
		fmt.Println()
	}
	if len(explained.Worst) > 0 {
		fmt.Printf("  %6d ms  the call gets its final answer\n", explained.Worst[len(explained.Worst)-1].EndMs)
	}
	return nil
}

// milliseconds converts microseconds to milliseconds.
func milliseconds(m control.Micros) int64 { return int64(m / 1000) }

// limitValues lists the limits of a call and where each was set.
func limitValues(limits *retry.Resolved, deploy *config.Deploy) (list []configValue) {
	for parameter := range retry.ParameterCount {
		value, from := parameter.FormatValue(limits.Values[parameter]), limits.From[parameter]
		switch {
		case limits.Values[parameter] != 0:
		case parameter == retry.AttemptTimeout || parameter == retry.GiveUp:
			from = "the call's end"
		case parameter == retry.RetryWait:
			from += ", but at least the release guard"
		}
		list = append(list, configValue{parameter.String(), value, from, deploy.Position(limits.From[parameter] + "." + parameter.String())})
	}
	return list
}

// printValues prints values as a table.
func printValues(list []configValue) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, f := range list {
		fmt.Fprintf(w, "  %s\t%s\t%s\t%s\n", f.Key, f.Value, f.From, f.Where)
	}
	w.Flush()
}

type callsDiffCmd struct {
	Old    string `arg:"" help:"Deploy file in force."`
	New    string `arg:"" help:"New deploy file."`
	Config string `help:"Configuration file (JSON) with the deployment's settings." env:"PROXY_CONFIG" required:""`
	JSON   bool   `help:"Print JSON."`
}

func (c callsDiffCmd) Run() error {
	cfg, _, before, err := loadPolicy(c.Old, c.Config)
	if err != nil {
		return withExitCode(err, 2)
	}
	_, _, after, err := loadPolicy(c.New, c.Config)
	if err != nil {
		return withExitCode(err, 2)
	}
	changes := retry.Diff(before, after, retry.RulesFromSettings(cfg.Site))
	if c.JSON {
		if err := printJSON(append([]retry.Change{}, changes...)); err != nil {
			return err
		}
	} else {
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		for _, change := range changes {
			calls := "all calls"
			if change.Class != "" {
				calls = change.Class
			}
			if change.Route != "" {
				calls += fmt.Sprintf(" by route %q", change.Route)
			}
			orNone := func(s string) string {
				if s == "" {
					return "none"
				}
				return s
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t-> %s\n", calls, change.Property, orNone(change.Before), orNone(change.After))
		}
		w.Flush()
	}
	if len(changes) > 0 {
		return silentExit(1)
	}
	return nil
}
