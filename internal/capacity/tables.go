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

// tables are the computed parts of the page, by the name in their markers.
func (m *Model) tables() map[string]func() (string, error) {
	all := map[string]func() (string, error){
		"inputs": m.inputTable, "derived": m.derivedTable, "measured": m.measuredTable, "series": m.seriesTable,
		"formulas": m.formulaTable, "first": m.firstTable, "failures": m.failureTable, "fault-runs": m.faultTable, "placement": m.placementTable,
		"quorum": quorumTable, "write-latency": m.writeLatencyTable, "commands": m.commandTable,
	}
	for _, role := range roles {
		all[role.Table] = func() (string, error) { return m.roleTable(role) }
	}
	return all
}

func (m *Model) inputTable() (string, error) {
	var rows [][]string
	for _, one := range m.Inputs.Inputs {
		rows = append(rows, []string{one.Name, number(one.Value), one.Unit, one.Changeable, one.About})
	}
	return markdown([]string{"input", "value", "unit", "from", "what it is"}, rows), nil
}

func (m *Model) derivedTable() (string, error) {
	var rows [][]string
	for _, d := range m.Derived {
		f, err := m.Evaluate(d.Expression)
		if err != nil {
			return "", err
		}
		rows = append(rows, []string{d.Name, "`" + d.Expression + "`", quantity(f.Value, d.Unit), d.About})
	}
	return markdown([]string{"name", "formula", "value", "what it is"}, rows), nil
}

var seriesInFormula = regexp.MustCompile(`at\("([^"]+)"`)

// seriesNames are those of the series that a formula of the page uses and that were measured, in order.
func (m *Model) seriesNames() (names []string) {
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

// seriesTable gives each series' law, and how well it fits.
func (m *Model) seriesTable() (string, error) {
	var rows [][]string
	for _, name := range m.seriesNames() {
		s, fit := m.series[name], m.fits[name]
		if fit == nil {
			_, err := FitSeries(s)
			rows = append(rows, []string{name, s.Unit, withoutLaw(err), "", "", ""})
			continue
		}
		var others []string
		for _, c := range fit.Candidates {
			if c.Plausible && c.Law != fit.Chosen.Law {
				others = append(others, c.Law.String())
			}
		}
		rows = append(rows, []string{name, s.Unit, fit.Chosen.Law.String() + ": " + fit.Chosen.formula(),
			percent(fit.Chosen.Residual) + " / " + percent(fit.Chosen.Error), percent(fit.Spread), strings.Join(others, ", ")})
	}
	return markdown([]string{"series", "unit", "law, n is the size", "residual / foretold", "spread", "others not ruled out"}, rows), nil
}

// withoutLaw says why a series has none.
func withoutLaw(err error) string {
	var few *TooFewSizes
	var none *NoLaw
	switch {
	case errors.As(err, &few):
		return fmt.Sprintf("none: %d of %d sizes", few.Sizes, LeastSizes)
	case errors.As(err, &none):
		return fmt.Sprintf("none fits: the best, %s, leaves %s", none.Best, percent(none.Residual))
	}
	return ""
}

// formula writes a law with its numbers.
func (c Candidate) formula() string {
	if c.Law == Constant {
		return number(c.Offset)
	}
	term := [...]string{Logarithmic: "ln n", Linear: "n", Square: "n^2"}[c.Law]
	sign := " + "
	if c.Slope < 0 {
		sign = " - "
	}
	return number(c.Offset) + sign + number(math.Abs(c.Slope)) + " " + term
}

func percent(part float64) string { return number(100*part) + "%" }

// measuredTable gives the median of each size of each series.
func (m *Model) measuredTable() (string, error) {
	var rows [][]string
	for _, name := range m.seriesNames() {
		s := m.series[name]
		var points []string
		repetitions := 0
		for _, p := range s.Points {
			points = append(points, number(p.N)+": "+number(p.Median()))
			repetitions = max(repetitions, len(p.Values))
		}
		rows = append(rows, []string{name, s.Unit, s.Of, strings.Join(points, "; "), fmt.Sprint(repetitions), s.Date})
	}
	return markdown([]string{"series", "unit", "size counts", "size: median", "values", "date"}, rows), nil
}

// commandTable gives the commands that measure the series again, and what ran beside them. The files name it for each series.
func (m *Model) commandTable() (string, error) {
	byCommand := map[string][]string{}
	var commands []string
	for _, name := range m.seriesNames() {
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
	return markdown([]string{"series", "command", "what ran beside it"}, rows), nil
}

// results computes all rows of a role.
func (m *Model) results(role Role) (all []*Result, err error) {
	for _, row := range role.Rows {
		result, err := m.Compute(row)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", row.What, err)
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
	return markdown([]string{"", "what", "need", "budget", "headroom", "law, sizes", "carried by"}, rows), nil
}

// formulaTable gives the formulas of all rows, by role and number.
func (m *Model) formulaTable() (string, error) {
	var rows [][]string
	for _, role := range roles {
		for i, r := range role.Rows {
			rows = append(rows, []string{fmt.Sprintf("%s %d", role.Table, i+1), "`" + r.Need + "`", r.Budget})
		}
	}
	return markdown([]string{"row", "need", "budget"}, rows), nil
}

// firstTable lists the rows that do not hold or had no carrier: those without a carrier first, then by headroom.
func (m *Model) firstTable() (string, error) {
	type open struct {
		*Result
		role string
	}
	var all []open
	for _, role := range roles {
		results, err := m.results(role)
		if err != nil {
			return "", err
		}
		for _, r := range results {
			if r.wasMissing() || r.Verdict == Fail || r.Verdict == Uncertain {
				all = append(all, open{r, role.Title})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b open) int {
		if a.wasMissing() != b.wasMissing() {
			if a.wasMissing() {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Headroom, b.Headroom)
	})
	var rows [][]string
	for _, o := range all {
		ratio := ""
		if o.Figure != nil {
			ratio = headroom(o.Headroom) + " "
		}
		rows = append(rows, []string{o.role, o.What, ratio + o.Verdict.String(), o.carrier()})
	}
	return markdown([]string{"role", "row", "headroom", "carried by"}, rows), nil
}

// wasMissing tells whether nothing carries the row, or did before configuration was delivered.
func (r *Result) wasMissing() bool { return r.Carrier == Missing || r.Before == Missing }

// headroom writes a ratio.
func headroom(ratio float64) string {
	if math.IsInf(ratio, 0) || math.IsNaN(ratio) {
		return "no need"
	}
	return number(ratio) + "x"
}

func (m *Model) failureTable() (string, error) {
	var rows [][]string
	for _, f := range failureRows {
		shown := []string{f.Tests}
		if len(f.Kinds) > 0 {
			shown = append(shown, m.shown(f.Kinds))
		}
		if f.NotRun != "" {
			shown = append(shown, f.NotRun+": "+notRun)
		}
		cells := []string{f.What, f.Lost, f.GoesOn, f.Right, f.Load, strings.Join(slices.DeleteFunc(shown, func(s string) bool { return s == "" }), "; ")}
		for i := range cells {
			var err error
			if cells[i], err = m.fill(cells[i]); err != nil {
				return "", err
			}
		}
		rows = append(rows, cells)
	}
	return markdown([]string{"failure", "lost", "goes on", "right again", "load of the recovery", "shown by"}, rows), nil
}

var placeholder = regexp.MustCompile(`\{\{(\S+) ([^}]+)\}\}`)

// fill computes {{UNIT FORMULA}} in a text.
func (m *Model) fill(text string) (filled string, err error) {
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
		return estimated(f.Estimate, parts[1])
	})
	return filled, err
}

// placementTable says where the control machines stand. The inputs must count as many.
func (m *Model) placementTable() (string, error) {
	machines := Placement()
	for name, count := range map[string]int{"control_machines": len(machines), "voters": Voters(machines),
		"zones": len(zonesOf(machines)), "regions": len(regionsOf(machines))} {
		if v, _ := m.Inputs.Value(name); v != float64(count) {
			return "", fmt.Errorf("input %s is %v, and %d are placed", name, v, count)
		}
	}
	var rows [][]string
	for _, zone := range zonesOf(machines) {
		var voters, others int
		region := ""
		for _, m := range machines {
			switch {
			case m.Zone != zone:
				continue
			case m.Votes:
				voters++
			default:
				others++
			}
			region = m.Region
		}
		rows = append(rows, []string{region, zone, fmt.Sprint(voters), fmt.Sprint(others)})
	}
	return markdown([]string{"region", "zone", "vote", "do not vote"}, rows), nil
}

// quorumTable counts the failures of each kind that leave a quorum, and names those that do not.
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
		if HasQuorum(machines, f.Left(machines)) {
			c.survived++
		} else {
			c.lost = append(c.lost, f.What)
		}
	}
	var rows [][]string
	for _, kind := range kinds {
		c := counts[kind]
		rows = append(rows, []string{kind, fmt.Sprint(c.all), fmt.Sprint(c.survived), strings.Join(c.lost, "; ")})
	}
	return markdown([]string{"lost at once", "cases", "writes go on", "writes stop at the loss of"}, rows), nil
}

// writeLatencyTable gives the network's part of a write's time by where the leader is and what is lost.
func (m *Model) writeLatencyTable() (string, error) {
	trips, err := m.roundTrips()
	if err != nil {
		return "", err
	}
	machines := Placement()
	regions := regionsOf(machines)
	head := []string{"leader in", "nothing lost"}
	for _, region := range regions {
		head = append(head, "region "+region+" lost")
	}
	var rows [][]string
	for _, region := range regions {
		leader := machines[slices.IndexFunc(machines, func(x Machine) bool { return x.Region == region && x.Votes })]
		row := []string{region, commitCell(machines, machines, leader, trips)}
		for _, lost := range regions {
			failure := Failure{Lost: in(Machine.region, lost)}
			if lost == region {
				row = append(row, "")
				continue
			}
			row = append(row, commitCell(machines, failure.Left(machines), leader, trips))
		}
		rows = append(rows, row)
	}
	return markdown(head, rows), nil
}

func commitCell(all, left []Machine, leader Machine, t RoundTrips) string {
	ms, ok := CommitRoundTrip(all, left, leader, t)
	if !ok {
		return "no quorum"
	}
	return quantity(ms, "ms")
}

func (m *Model) roundTrips() (t RoundTrips, err error) {
	t.Regions = map[[2]string]float64{}
	for name, set := range map[string]func(float64){
		"round_trip_a_b":  func(v float64) { t.Regions[[2]string{"a", "b"}] = v },
		"round_trip_a_c":  func(v float64) { t.Regions[[2]string{"a", "c"}] = v },
		"round_trip_b_c":  func(v float64) { t.Regions[[2]string{"b", "c"}] = v },
		"round_trip_zone": func(v float64) { t.Zone = v },
	} {
		v, ok := m.Inputs.Value(name)
		if !ok {
			return t, fmt.Errorf("no input is named %q", name)
		}
		set(v)
	}
	return t, nil
}
