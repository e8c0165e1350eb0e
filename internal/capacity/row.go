package capacity

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Missing is the carrier of a row whose mechanism no package implements.
const Missing = "**missing**"

// Row is one line of a role's table: what a mechanism needs at the planned size, and what it may use. Its carrier is the
// package that implements the mechanism.
type Row struct {
	Label           string // mechanism and resource
	Unit            string
	Need            string // formula
	Budget          string // formula; empty without a budget
	Carrier         string // package, and name where needed, or Missing
	PreviousCarrier string // carrier before configuration was delivered by watch, if it differs from Carrier
}

// Verdict is the result of comparing a need with its budget.
type Verdict int

// Verdicts. A need is Uncertain if it is within the budget and the upper bound of its interval is not.
const (
	NoBudget Verdict = iota
	Pass
	Uncertain
	Fail
	Unmeasured
)

// String returns the verdict in the wording of the page.
func (v Verdict) String() string {
	return [...]string{"", "pass", "uncertain", "**fail**", "not measured"}[v]
}

// Result is a row with its computed columns.
type Result struct {
	Row
	Figure        *Figure      // nil if a series of the need is not measured
	MissingSeries *NotMeasured // nil if all series of the need are measured
	BudgetValue   float64
	Headroom      float64 // budget / need; at least 1 is within the budget
	Verdict       Verdict
}

// Compute evaluates the need and the budget of a row. A need that is not measured is no error; it has the verdict Unmeasured.
func (m *Model) Compute(r Row) (*Result, error) {
	result := &Result{Row: r}
	figure, err := m.Evaluate(r.Need)
	if errors.As(err, &result.MissingSeries) {
		result.Verdict = Unmeasured
		if r.Budget != "" {
			_, err = m.budget(r, result)
			return result, err
		}
		return result, nil
	}
	if err != nil {
		return nil, err
	}
	result.Figure = figure
	if r.Budget == "" {
		return result, nil
	}
	budget, err := m.budget(r, result)
	if err != nil {
		return nil, err
	}
	result.Headroom = budget / figure.Value
	result.Verdict = verdictOf(figure.Estimate, budget)
	return result, nil
}

// budget evaluates a row's budget, which must be a formula over inputs alone, and stores it in the result.
func (m *Model) budget(r Row, result *Result) (float64, error) {
	f, err := m.Evaluate(r.Budget)
	if err != nil {
		return 0, fmt.Errorf("budget of %s: %w", r.Label, err)
	}
	result.BudgetValue = f.Value
	return f.Value, nil
}

// verdictOf compares a need with its budget.
func verdictOf(need Estimate, budget float64) Verdict {
	switch {
	case need.Value > budget:
		return Fail
	case need.High > budget:
		return Uncertain
	}
	return Pass
}

// law describes what a figure is based on: the law and the measured sizes of each of its series.
func (f *Figure) law() string {
	var all []string
	for _, s := range f.Sources {
		text := s.law()
		if !slices.Contains(all, text) {
			all = append(all, text)
		}
	}
	if len(all) == 0 {
		return "inputs alone"
	}
	return strings.Join(all, "; ")
}

// law describes the law of the series, its measured sizes, and how far the size lies beyond the largest of them.
func (s Source) law() string {
	points := s.Series.Points
	last := points[len(points)-1].N
	law := "no law"
	if s.Fit != nil {
		law = s.Fit.Chosen.Law.String()
	}
	if len(points) == 1 {
		return law + ", run at " + formatNumber(last) + " alone"
	}
	text := fmt.Sprintf("%s, %s to %s (%d sizes)", law, formatNumber(points[0].N), formatNumber(last), len(points))
	if s.Size > last {
		text += fmt.Sprintf(", %s times beyond", formatNumber(s.Size/last))
	}
	return text
}

// carrierCell returns the present and the previous carrier of the row.
func (r *Result) carrierCell() string {
	if r.PreviousCarrier == "" {
		return r.Carrier
	}
	return r.Carrier + "; before: " + r.PreviousCarrier
}

// cells returns the row's columns in the table of its role.
func (r *Result) cells(number int) []string {
	cells := []string{fmt.Sprint(number), r.Label, "", "none stated", "", "", r.carrierCell()}
	if r.Row.Budget != "" {
		cells[3] = formatQuantity(r.BudgetValue, r.Unit)
	}
	if r.Figure == nil {
		cells[2], cells[4] = Unmeasured.String(), Unmeasured.String()
		return cells
	}
	cells[2] = formatEstimate(r.Figure.Estimate, r.Unit)
	if r.Row.Budget != "" {
		cells[4] = formatHeadroom(r.Headroom) + " " + r.Verdict.String()
	}
	cells[5] = r.Figure.law()
	return cells
}
