package capacity

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
)

// tables returns the functions that render the tables of the page, by the name in their markers.
func (m *Model) tables() map[string]func() (string, error) {
	all := map[string]func() (string, error){
		"inputs": m.inputTable, "derived": m.derivedTable, "measured": m.measuredTable, "series": m.seriesTable,
		"formulas": m.formulaTable, "first": m.shortfallTable, "failures": m.failureTable, "fault-runs": m.faultTable, "placement": m.placementTable,
		"quorum": quorumTable, "write-latency": m.writeLatencyTable, "commands": m.commandTable,
	}
	for _, role := range roles {
		all[role.Table] = func() (string, error) { return m.roleTable(role) }
	}
	return all
}

func (m *Model) inputTable() (string, error) {
	var rows [][]string
	for _, input := range m.Inputs.Inputs {
		rows = append(rows, []string{input.Name, formatNumber(input.Value), input.Unit, input.Changeable, input.About})
	}
	return markdownTable([]string{"input", "value", "unit", "from", "what it is"}, rows), nil
}

func (m *Model) derivedTable() (string, error) {
	var rows [][]string
	for _, d := range m.Derived {
		f, err := m.Evaluate(d.Expression)
		if err != nil {
			return "", err
		}
		rows = append(rows, []string{d.Name, "`" + d.Expression + "`", formatQuantity(f.Value, d.Unit), d.About})
	}
	return markdownTable([]string{"name", "formula", "value", "what it is"}, rows), nil
}

// seriesInFormula matches a series in a formula; the submatch is its key.
var seriesInFormula = regexp.MustCompile(`at\("([^"]+)"`)

// usedSeries returns the sorted keys of the measured series that the rows' formulas use.
func (m *Model) usedSeries() (names []string) {
	for _, role := range roles {
		for _, row := range role.Rows {
			for _, found := range seriesInFormula.FindAllStringSubmatch(row.Need, -1) {
				if m.series[found[1]] != nil {
					names = append(names, found[1])
				}
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// seriesTable renders the law of each series and how well it fits.
func (m *Model) seriesTable() (string, error) {
	var rows [][]string
	for _, name := range m.usedSeries() {
		s, fit := m.series[name], m.fits[name]
		if fit == nil {
			_, err := FitSeries(s)
			rows = append(rows, []string{name, s.Unit, noLawReason(err), "", "", ""})
			continue
		}
		var others []string
		for _, c := range fit.Candidates {
			if c.Plausible && c.Law != fit.Chosen.Law {
				others = append(others, c.Law.String())
			}
		}
		rows = append(rows, []string{name, s.Unit, fit.Chosen.Law.String() + ": " + fit.Chosen.formula(),
			formatPercent(fit.Chosen.Residual) + " / " + formatPercent(fit.Chosen.PredictionError), formatPercent(fit.Spread), strings.Join(others, ", ")})
	}
	return markdownTable([]string{"series", "unit", "law, n is the size", "residual / foretold", "spread", "others not ruled out"}, rows), nil
}

// noLawReason describes the error of a series that has no law.
func noLawReason(err error) string {
	var few *TooFewSizes
	var none *NoLaw
	switch {
	case errors.As(err, &few):
		return fmt.Sprintf("none: %d of %d sizes", few.Sizes, MinSizes)
	case errors.As(err, &none):
		return fmt.Sprintf("none fits: the best, %s, leaves %s", none.Best, formatPercent(none.Residual))
	}
	return ""
}

// formula formats a law with its fitted parameters.
func (c Candidate) formula() string {
	if c.Law == Constant {
		return formatNumber(c.Offset)
	}
	term := [...]string{Logarithmic: "ln n", Linear: "n", Square: "n^2"}[c.Law]
	sign := " + "
	if c.Slope < 0 {
		sign = " - "
	}
	return formatNumber(c.Offset) + sign + formatNumber(math.Abs(c.Slope)) + " " + term
}

func formatPercent(fraction float64) string { return formatNumber(100*fraction) + "%" }

// measuredTable renders the median of each size of each series.
func (m *Model) measuredTable() (string, error) {
	var rows [][]string
	for _, name := range m.usedSeries() {
		s := m.series[name]
		var points []string
		repetitions := 0
		for _, p := range s.Points {
			points = append(points, formatNumber(p.N)+": "+formatNumber(p.Median()))
			repetitions = max(repetitions, len(p.Values))
		}
		rows = append(rows, []string{name, s.Unit, s.Of, strings.Join(points, "; "), fmt.Sprint(repetitions), s.Date})
	}
	return markdownTable([]string{"series", "unit", "size counts", "size: median", "values", "date"}, rows), nil
}

// commandTable renders the commands that repeat the measurements, and the other load on the machine, as given in the files.
func (m *Model) commandTable() (string, error) {
	byCommand := map[string][]string{}
	var commands []string
	for _, name := range m.usedSeries() {
		command := m.series[name].Command
		if byCommand[command] == nil {
			commands = append(commands, command)
		}
		byCommand[command] = append(byCommand[command], name)
	}
	var rows [][]string
	for _, command := range commands {
		names := byCommand[command]
		series := names[0]
		if len(names) > 1 {
			series += fmt.Sprintf(" and %d more", len(names)-1)
		}
		rows = append(rows, []string{series, "`" + command + "`", m.series[names[0]].Beside})
	}
	return markdownTable([]string{"series", "command", "what ran beside it"}, rows), nil
}

// results computes all rows of a role.
func (m *Model) results(role Role) (all []*Result, err error) {
	for _, row := range role.Rows {
		result, err := m.Compute(row)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", row.Label, err)
		}
		all = append(all, result)
	}
	return all, nil
}

func (m *Model) roleTable(role Role) (string, error) {
	results, err := m.results(role)
	if err != nil {
		return "", err
	}
	var rows [][]string
	for i, r := range results {
		rows = append(rows, r.cells(i+1))
	}
	return markdownTable([]string{"", "what", "need", "budget", "headroom", "law, sizes", "carried by"}, rows), nil
}

// formulaTable renders the formulas of all rows, by role and number.
func (m *Model) formulaTable() (string, error) {
	var rows [][]string
	for _, role := range roles {
		for i, r := range role.Rows {
			rows = append(rows, []string{fmt.Sprintf("%s %d", role.Table, i+1), "`" + r.Need + "`", r.Budget})
		}
	}
	return markdownTable([]string{"row", "need", "budget"}, rows), nil
}

// shortfallTable lists the rows that fail or are uncertain, and those that lack or lacked a carrier. The latter come first, then
// rows are sorted by headroom.
func (m *Model) shortfallTable() (string, error) {
	type shortfall struct {
		*Result
		role string
	}
	var all []shortfall
	for _, role := range roles {
		results, err := m.results(role)
		if err != nil {
			return "", err
		}
		for _, r := range results {
			if r.lackedCarrier() || r.Verdict == Fail || r.Verdict == Uncertain {
				all = append(all, shortfall{r, role.Title})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b shortfall) int {
		if a.lackedCarrier() != b.lackedCarrier() {
			if a.lackedCarrier() {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Headroom, b.Headroom)
	})
	var rows [][]string
	for _, row := range all {
		ratio := ""
		if row.Figure != nil {
			ratio = formatHeadroom(row.Headroom) + " "
		}
		rows = append(rows, []string{row.role, row.Label, ratio + row.Verdict.String(), row.carrierCell()})
	}
	return markdownTable([]string{"role", "row", "headroom", "carried by"}, rows), nil
}

// lackedCarrier reports whether no package implements the mechanism, or none did before configuration was delivered by watch.
func (r *Result) lackedCarrier() bool { return r.Carrier == Missing || r.PreviousCarrier == Missing }

// formatHeadroom formats the ratio of budget to need.
func formatHeadroom(ratio float64) string {
	if math.IsInf(ratio, 0) || math.IsNaN(ratio) {
		return "no need"
	}
	return formatNumber(ratio) + "x"
}

func (m *Model) failureTable() (string, error) {
	var rows [][]string
	for _, f := range failureRows {
		evidence := []string{f.Tests}
		if len(f.FaultKinds) > 0 {
			evidence = append(evidence, m.evidence(f.FaultKinds))
		}
		if f.NotRun != "" {
			evidence = append(evidence, f.NotRun+": "+notRun)
		}
		cells := []string{f.Failure, f.Lost, f.Unaffected, f.Recovery, f.RecoveryLoad, strings.Join(slices.DeleteFunc(evidence, func(s string) bool { return s == "" }), "; ")}
		for i := range cells {
			var err error
			if cells[i], err = m.fillPlaceholders(cells[i]); err != nil {
				return "", err
			}
		}
		rows = append(rows, cells)
	}
	return markdownTable([]string{"failure", "lost", "goes on", "right again", "load of the recovery", "shown by"}, rows), nil
}

// placeholder matches {{UNIT FORMULA}}.
var placeholder = regexp.MustCompile(`\{\{(\S+) ([^}]+)\}\}`)

// fillPlaceholders replaces each {{UNIT FORMULA}} in a text by the computed figure.
func (m *Model) fillPlaceholders(text string) (filled string, err error) {
	filled = placeholder.ReplaceAllStringFunc(text, func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		f, e := m.Evaluate(parts[2])
		var missing *NotMeasured
		switch {
		case errors.As(e, &missing):
			return Unmeasured.String()
		case e != nil:
			err = e
			return found
		}
		return formatEstimate(f.Estimate, parts[1])
	})
	return filled, err
}

// placementTable renders the voters and non-voters of each zone. It returns an error if the inputs have other counts.
func (m *Model) placementTable() (string, error) {
	machines := Placement()
	for name, count := range map[string]int{"control_machines": len(machines), "voters": Voters(machines),
		"zones": len(zoneNames(machines)), "regions": len(regionNames(machines))} {
		if v, _ := m.Inputs.Value(name); v != float64(count) {
			return "", fmt.Errorf("input %s is %v, but the placement has %d", name, v, count)
		}
	}
	var rows [][]string
	for _, zone := range zoneNames(machines) {
		var voters, others int
		region := ""
		for _, m := range machines {
			switch {
			case m.Zone != zone:
				continue
			case m.Voter:
				voters++
			default:
				others++
			}
			region = m.Region
		}
		rows = append(rows, []string{region, zone, fmt.Sprint(voters), fmt.Sprint(others)})
	}
	return markdownTable([]string{"region", "zone", "vote", "do not vote"}, rows), nil
}

// quorumTable renders the number of failures of each kind that leave a quorum, and the names of those that do not.
func quorumTable() (string, error) {
	machines := Placement()
	type count struct {
		all, survived int
		lost          []string
	}
	counts := map[string]*count{}
	var kinds []string
	for _, f := range Failures(machines) {
		c := counts[f.Kind]
		if c == nil {
			c = &count{}
			counts[f.Kind] = c
			kinds = append(kinds, f.Kind)
		}
		c.all++
		if HasQuorum(machines, f.Remaining(machines)) {
			c.survived++
		} else {
			c.lost = append(c.lost, f.Name)
		}
	}
	var rows [][]string
	for _, kind := range kinds {
		c := counts[kind]
		rows = append(rows, []string{kind, fmt.Sprint(c.all), fmt.Sprint(c.survived), strings.Join(c.lost, "; ")})
	}
	return markdownTable([]string{"lost at once", "cases", "writes go on", "writes stop at the loss of"}, rows), nil
}

// writeLatencyTable renders the network's part of the latency of a write, by the region of the leader and the lost region.
func (m *Model) writeLatencyTable() (string, error) {
	trips, err := m.roundTrips()
	if err != nil {
		return "", err
	}
	machines := Placement()
	regions := regionNames(machines)
	head := []string{"leader in", "nothing lost"}
	for _, region := range regions {
		head = append(head, "region "+region+" lost")
	}
	var rows [][]string
	for _, region := range regions {
		leader := machines[slices.IndexFunc(machines, func(x Machine) bool { return x.Region == region && x.Voter })]
		row := []string{region, commitCell(machines, machines, leader, trips)}
		for _, lost := range regions {
			failure := Failure{Lost: fieldIn(Machine.region, lost)}
			if lost == region {
				row = append(row, "")
				continue
			}
			row = append(row, commitCell(machines, failure.Remaining(machines), leader, trips))
		}
		rows = append(rows, row)
	}
	return markdownTable(head, rows), nil
}

// commitCell formats the network's part of the latency of a write.
func commitCell(all, remaining []Machine, leader Machine, t RoundTrips) string {
	ms, ok := CommitRoundTrip(all, remaining, leader, t)
	if !ok {
		return "no quorum"
	}
	return formatQuantity(ms, "ms")
}

// roundTrips reads the round-trip times from the inputs.
func (m *Model) roundTrips() (t RoundTrips, err error) {
	t.BetweenRegions = map[[2]string]float64{}
	for name, assign := range map[string]func(float64){
		"round_trip_a_b":  func(v float64) { t.BetweenRegions[[2]string{"a", "b"}] = v },
		"round_trip_a_c":  func(v float64) { t.BetweenRegions[[2]string{"a", "c"}] = v },
		"round_trip_b_c":  func(v float64) { t.BetweenRegions[[2]string{"b", "c"}] = v },
		"round_trip_zone": func(v float64) { t.WithinRegion = v },
	} {
		v, ok := m.Inputs.Value(name)
		if !ok {
			return t, fmt.Errorf("unknown input %q", name)
		}
		assign(v)
	}
	return t, nil
}
