package capacity

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Missing is the carrier of a row that nothing carries.
const Missing = "**missing**"

// Row is one line of a role's table: what a mechanism needs at the planned size, and what it may use.
type Row struct {
	Name            string
	Unit            string
	Need            string // formula
	Budget          string // formula; "": none is stated
	Carrier         string // package and name, or Missing
	PreviousCarrier string // carrier before configuration was delivered by watch, where it was another one
}

// Verdict tells whether a need is within its budget.
type Verdict int

// Verdicts. A need whose interval crosses the budget is Uncertain.
const (
	NoBudget Verdict = iota
	Pass
	Uncertain
	Fail
	Unmeasured
)

// String is the verdict as the page has it.
func (v Verdict) String() string {
	return [...]string{"", "pass", "uncertain", "**fail**", "not measured"}[v]
}

// Result is a row computed.
type Result struct {
	Row
	Figure        *Figure // nil where something is not measured
	MissingSeries *NotMeasured
	BudgetValue   float64 // the budget
	Headroom      float64 // budget / need: over 1 is within
	Verdict       Verdict
}

// Compute gives the derived columns of a row.
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

// budget evaluates a row's budget, which must not depend on what was measured.
func (m *Model) budget(r Row, result *Result) (float64, error) {
	f, err := m.Evaluate(r.Budget)
	if err != nil {
		return 0, fmt.Errorf("budget of %s: %w", r.Name, err)
	}
	result.BudgetValue = f.Value
	return f.Value, nil
}

func verdictOf(need Estimate, budget float64) Verdict {
	switch {
	case need.Value > budget:
		return Fail
	case need.High > budget:
		return Uncertain
	}
	return Pass
}

// law tells where a figure comes from: the law and the sizes that were run.
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

// carrierCell is what carries the row now, and what did before.
func (r *Result) carrierCell() string {
	if r.PreviousCarrier == "" {
		return r.Carrier
	}
	return r.Carrier + "; before: " + r.PreviousCarrier
}

// cells are the row as the page has it.
func (r *Result) cells(number int) []string {
	cells := []string{fmt.Sprint(number), r.Name, "", "none stated", "", "", r.carrierCell()}
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
