package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// FaultRun is one run of the scale laboratory with a fault, as docs/measured/scale.json holds it beside the series.
type FaultRun struct {
	N         int             `json:"n"` // gatekeepers
	Seed      uint64          `json:"seed"`
	RulesHeld bool            `json:"held"` // every rule of the judge
	Faults    []InjectedFault `json:"faults"`

	CommitToInForce    float64 `json:"in_force_from_commit_max_s"`        // s, the slowest of all changes at all gatekeepers
	OutageEndToInForce float64 `json:"in_force_from_end_of_outage_max_s"` // s, where an outage of the gatekeeper lay between; 0: none did
	StartToInForce     float64 `json:"start_to_in_force_max_s"`           // s, first settings after a gatekeeper's start
	ControlCPU         float64 `json:"control_cpu_share_max"`             // of a core, the busiest control machine
	Command            string  `json:"command"`
}

// InjectedFault is a fault that was played in a run.
type InjectedFault struct {
	Kind             string  `json:"kind"`
	MaxSessionShares float64 `json:"sessions_max_over_share"` // most sessions at a control machine, in shares
}

// faultRunsOfKind are those of a kind of fault, by seed.
func (m *Model) faultRunsOfKind(kind string) (runs []FaultRun) {
	for _, r := range m.runs {
		if slices.ContainsFunc(r.Faults, func(f InjectedFault) bool { return f.Kind == kind }) {
			runs = append(runs, r)
		}
	}
	return runs
}

// evidence names the runs that have shown kinds of faults, or says that none has.
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

// faultTable gives what the runs of each kind of fault have shown: the worst of all seeds.
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

func faultCells(kind string, runs []FaultRun) []string {
	var sizes, seeds []string
	var commitToInForce, outageEndToInForce, startToInForce, maxSessionShares float64
	broken := 0
	for _, r := range runs {
		sizes, seeds = append(sizes, formatNumber(float64(r.N))), append(seeds, fmt.Sprint(r.Seed))
		commitToInForce, outageEndToInForce, startToInForce = max(commitToInForce, r.CommitToInForce), max(outageEndToInForce, r.OutageEndToInForce), max(startToInForce, r.StartToInForce)
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
	if outageEndToInForce > 0 {
		fromOutage = formatQuantity(outageEndToInForce, "s")
	}
	slices.Sort(sizes)
	return []string{kind, strings.Join(slices.Compact(sizes), " and "), strings.Join(seeds, ", "), rules, formatQuantity(commitToInForce, "s"),
		fromOutage, formatQuantity(startToInForce, "s"), formatNumber(maxSessionShares)}
}
