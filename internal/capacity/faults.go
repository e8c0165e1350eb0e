package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// FaultRun is one run of the scale laboratory with faults, as stored in docs/measured/scale.json beside the series.
type FaultRun struct {
	N         int             `json:"n"` // gatekeepers
	Seed      uint64          `json:"seed"`
	RulesHeld bool            `json:"held"` // the run met every rule of the judge
	Faults    []InjectedFault `json:"faults"`

	CommitToInForce    float64 `json:"in_force_from_commit_max_s"`        // s, maximum over all changes and gatekeepers
	OutageEndToInForce float64 `json:"in_force_from_end_of_outage_max_s"` // s, maximum from the end of a gatekeeper's outage that delayed a change; 0 without one
	StartToInForce     float64 `json:"start_to_in_force_max_s"`           // s, maximum for the first settings after a gatekeeper's start
	ControlCPU         float64 `json:"control_cpu_share_max"`             // fraction of a core used by the busiest control machine
	Command            string  `json:"command"`
}

// InjectedFault is a fault that was injected in a run.
type InjectedFault struct {
	Kind             string  `json:"kind"`
	MaxSessionShares float64 `json:"sessions_max_over_share"` // maximum number of sessions at a control machine, divided by its share
}

// faultRunsOfKind returns the runs with a fault of the given kind, in the order of the files.
func (m *Model) faultRunsOfKind(kind string) (runs []FaultRun) {
	for _, r := range m.runs {
		if slices.ContainsFunc(r.Faults, func(f InjectedFault) bool { return f.Kind == kind }) {
			runs = append(runs, r)
		}
	}
	return runs
}

// evidence lists the laboratory options that inject the given kinds of faults, and marks the kinds of which there is no run.
func (m *Model) evidence(kinds []string) string {
	var all []string
	for _, kind := range kinds {
		text := "`--faults " + kind + "`"
		if len(m.faultRunsOfKind(kind)) == 0 {
			text += ": " + notRun
		}
		all = append(all, text)
	}
	return strings.Join(all, "; ")
}

// faultTable renders the results of the runs by kind of fault: the worst over all seeds.
func (m *Model) faultTable() (string, error) {
	var kinds []string
	for _, r := range m.runs {
		for _, f := range r.Faults {
			kinds = append(kinds, f.Kind)
		}
	}
	slices.Sort(kinds)
	var rows [][]string
	for _, kind := range slices.Compact(kinds) {
		rows = append(rows, faultCells(kind, m.faultRunsOfKind(kind)))
	}
	return markdownTable([]string{"fault", "gatekeepers", "seeds", "rules of the judge", "in force", "from the end of an outage", "after a start", "shares"}, rows), nil
}

// faultCells returns the columns of one kind of fault in the table of fault runs.
func faultCells(kind string, runs []FaultRun) []string {
	var sizes, seeds []string
	var inForce, afterOutage, afterStart, maxSessionShares float64
	broken := 0
	for _, r := range runs {
		sizes, seeds = append(sizes, formatNumber(float64(r.N))), append(seeds, fmt.Sprint(r.Seed))
		inForce, afterOutage, afterStart = max(inForce, r.CommitToInForce), max(afterOutage, r.OutageEndToInForce), max(afterStart, r.StartToInForce)
		for _, f := range r.Faults {
			maxSessionShares = max(maxSessionShares, f.MaxSessionShares)
		}
		if !r.RulesHeld {
			broken++
		}
	}
	rules, fromOutage := "all held", "no outage"
	if broken > 0 {
		rules = fmt.Sprintf("**broken in %d of %d**", broken, len(runs))
	}
	if afterOutage > 0 {
		fromOutage = formatQuantity(afterOutage, "s")
	}
	slices.Sort(sizes)
	return []string{kind, strings.Join(slices.Compact(sizes), " and "), strings.Join(seeds, ", "), rules, formatQuantity(inForce, "s"),
		fromOutage, formatQuantity(afterStart, "s"), formatNumber(maxSessionShares)}
}
