package capacity

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Model is what the page is computed from.
type Model struct {
	Inputs  *Inputs
	Derived []Derivation
	fits    map[string]*Fit // by key; of those that have a law
	series  map[string]*Series
	runs    []FaultRun // with faults
}

// Derivation is a number that follows from inputs, and from derivations before it.
type Derivation struct{ Name, Unit, Expression, About string }

// NotMeasured says that a figure depends on series that are not there, or that have no law and were not run at the size.
type NotMeasured struct{ Series []string }

func (e *NotMeasured) Error() string { return "not measured: " + strings.Join(e.Series, ", ") }

// Advice implements advice.Error.
func (e *NotMeasured) Advice() string {
	return "measure the series at five sizes or more, or at the planned size, and put its file into docs/measured"
}

// ExpressionError says that a formula of the page can't be read.
type ExpressionError struct{ Expression, Problem string }

func (e *ExpressionError) Error() string {
	return fmt.Sprintf("formula %q: %s", e.Expression, e.Problem)
}

// Advice implements advice.Error.
func (e *ExpressionError) Advice() string {
	return `a formula has numbers, names of inputs, + - * /, and the functions at("SERIES", SIZE), pow, ceil, max, min`
}

// NewModel fits all series. Each key may be there once.
func NewModel(in *Inputs, files ...*File) (*Model, error) {
	m := &Model{Inputs: in, Derived: derivations, fits: map[string]*Fit{}, series: map[string]*Series{}}
	for _, file := range files {
		m.runs = append(m.runs, file.FaultRuns...)
		for i := range file.Series {
			s := &file.Series[i]
			if m.series[s.Key()] != nil {
				return nil, fmt.Errorf("series %q is there twice", s.Key())
			}
			m.series[s.Key()] = s
			if fit, err := FitSeries(s); err == nil { // without a law the sizes that were run count alone
				m.fits[s.Key()] = fit
			}
		}
	}
	return m, nil
}

// Figure is what a formula gives: an estimate, and the series behind it.
type Figure struct {
	Estimate
	Sources []Source
}

// Source is one series that a figure was taken from, at a size.
type Source struct {
	Series *Series
	Fit    *Fit // nil: no law, taken from the run at that size
	Size   float64
}

// Evaluate computes a formula. The interval is taken by putting the least, and then the greatest, values of all series into it.
func (m *Model) Evaluate(expression string) (*Figure, error) {
	tree, err := parser.ParseExpr(expression)
	if err != nil {
		return nil, &ExpressionError{expression, err.Error()}
	}
	e := &evaluation{model: m, expression: expression}
	var values [3]float64
	for i, pick := range []func(Estimate) float64{
		func(e Estimate) float64 { return e.Value },
		func(e Estimate) float64 { return e.Low },
		func(e Estimate) float64 { return e.High }} {
		e.pick, e.sources = pick, nil
		if values[i], err = e.value(tree); err != nil {
			return nil, err
		}
	}
	if len(e.missing) > 0 {
		slices.Sort(e.missing)
		return nil, &NotMeasured{slices.Compact(e.missing)}
	}
	return &Figure{Estimate{values[0], slices.Min(values[:]), slices.Max(values[:])}, e.sources}, nil
}

// evaluation is one pass over a formula.
type evaluation struct {
	model      *Model
	expression string
	pick       func(Estimate) float64
	sources    []Source
	missing    []string
}

func (e *evaluation) errorf(format string, args ...any) (float64, error) {
	return 0, &ExpressionError{e.expression, fmt.Sprintf(format, args...)}
}

func (e *evaluation) value(tree ast.Expr) (float64, error) {
	switch t := tree.(type) {
	case *ast.ParenExpr:
		return e.value(t.X)
	case *ast.BasicLit:
		if t.Kind == token.INT || t.Kind == token.FLOAT {
			return strconv.ParseFloat(t.Value, 64)
		}
	case *ast.Ident:
		return e.resolveName(t.Name)
	case *ast.BinaryExpr:
		return e.binary(t)
	case *ast.CallExpr:
		return e.call(t)
	}
	return e.errorf("holds what is neither number, name, operator nor function")
}

func (e *evaluation) resolveName(name string) (float64, error) {
	if v, ok := e.model.Inputs.Value(name); ok {
		return v, nil
	}
	for _, d := range e.model.Derived {
		if d.Name == name {
			f, err := e.model.Evaluate(d.Expression)
			if err != nil {
				return 0, err
			}
			return e.pick(f.Estimate), nil
		}
	}
	return e.errorf("no input is named %q", name)
}

func (e *evaluation) binary(t *ast.BinaryExpr) (float64, error) {
	x, err := e.value(t.X)
	if err != nil {
		return 0, err
	}
	y, err := e.value(t.Y)
	if err != nil {
		return 0, err
	}
	switch t.Op {
	case token.ADD:
		return x + y, nil
	case token.SUB:
		return x - y, nil
	case token.MUL:
		return x * y, nil
	case token.QUO:
		return x / y, nil
	}
	return e.errorf("operator %s", t.Op)
}

var functions = map[string]func(a, b float64) float64{"pow": math.Pow, "max": math.Max, "min": math.Min}

func (e *evaluation) call(t *ast.CallExpr) (float64, error) {
	name, ok := t.Fun.(*ast.Ident)
	if !ok {
		return e.errorf("calls what is no function")
	}
	if name.Name == "at" {
		return e.seriesValue(t.Args)
	}
	var args []float64
	for _, a := range t.Args {
		v, err := e.value(a)
		if err != nil {
			return 0, err
		}
		args = append(args, v)
	}
	switch f := functions[name.Name]; {
	case name.Name == "ceil" && len(args) == 1:
		return math.Ceil(args[0]), nil
	case f != nil && len(args) == 2:
		return f(args[0], args[1]), nil
	}
	return e.errorf("no function %s with %d arguments", name.Name, len(args))
}

// seriesValue is at("SERIES", SIZE): what the runs gave at that size, or else what the fit gives there.
func (e *evaluation) seriesValue(args []ast.Expr) (float64, error) {
	if len(args) != 2 {
		return e.errorf("at has a series and a size")
	}
	text, ok := args[0].(*ast.BasicLit)
	if !ok || text.Kind != token.STRING {
		return e.errorf("the first argument of at is no text")
	}
	name, err := strconv.Unquote(text.Value)
	if err != nil {
		return e.errorf("%v", err)
	}
	size, err := e.value(args[1])
	if err != nil {
		return 0, err
	}
	source, estimate, err := e.model.At(name, size)
	if err != nil {
		e.missing = append(e.missing, name)
		return 0, nil
	}
	e.sources = append(e.sources, source)
	return e.pick(estimate), nil
}

// At gives a series' value at a size: the median and the range of the runs of just that size, or else the fit's
// extrapolation.
func (m *Model) At(name string, size float64) (Source, Estimate, error) {
	s, fit := m.series[name], m.fits[name]
	if s == nil {
		return Source{}, Estimate{}, &NotMeasured{[]string{name}}
	}
	for _, p := range s.Points {
		if p.N == size {
			return Source{s, fit, size}, Estimate{p.Median(), slices.Min(p.Values), slices.Max(p.Values)}, nil
		}
	}
	if fit == nil {
		return Source{}, Estimate{}, &NotMeasured{[]string{name}}
	}
	return Source{s, fit, size}, fit.At(size), nil
}
