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

// Model holds the inputs, series, fits and fault runs from which the page is computed.
type Model struct {
	Inputs  *Inputs
	Derived []Derivation
	fits    map[string]*Fit    // by key of the series; only for series that follow a law
	series  map[string]*Series // by key
	runs    []FaultRun         // runs of the scale laboratory with faults
}

// Derivation is a number that is computed from inputs and from other derivations.
type Derivation struct{ Name, Unit, Expression, About string }

// NotMeasured is the error for a figure that depends on series that are absent, or that follow no law and were not measured
// at the requested size.
type NotMeasured struct{ Series []string }

func (e *NotMeasured) Error() string { return "not measured: " + strings.Join(e.Series, ", ") }

// Advice implements advice.Error.
func (e *NotMeasured) Advice() string {
	return "measure the series at five or more sizes, or at the planned size, and add its file to docs/measured"
}

// ExpressionError is the error for a formula that cannot be evaluated.
type ExpressionError struct{ Expression, Problem string }

func (e *ExpressionError) Error() string {
	return fmt.Sprintf("formula %q: %s", e.Expression, e.Problem)
}

// Advice implements advice.Error.
func (e *ExpressionError) Advice() string {
	return `a formula consists of numbers, names of inputs, + - * /, and the functions at("SERIES", SIZE), pow, ceil, max, min`
}

// NewModel returns a model of the inputs and of the files' series and fault runs. It fits all series, and returns an error if
// two series have the same key.
func NewModel(in *Inputs, files ...*File) (*Model, error) {
	m := &Model{Inputs: in, Derived: derivations, fits: map[string]*Fit{}, series: map[string]*Series{}}
	for _, file := range files {
		m.runs = append(m.runs, file.FaultRuns...)
		for i := range file.Series {
			s := &file.Series[i]
			if m.series[s.Key()] != nil {
				return nil, fmt.Errorf("duplicate series %q", s.Key())
			}
			m.series[s.Key()] = s
			if fit, err := FitSeries(s); err == nil { // a series without a law has values only at its measured sizes
				m.fits[s.Key()] = fit
			}
		}
	}
	return m, nil
}

// Figure is the result of a formula: an estimate and the series that it is based on.
type Figure struct {
	Estimate
	Sources []Source
}

// Source is a series, at a size, that a figure is based on.
type Source struct {
	Series *Series
	Fit    *Fit // nil for a series without a law, whose measured value at Size is used
	Size   float64
}

// Evaluate computes a formula. The interval comes from evaluating the formula with the lower bounds, and then with the upper
// bounds, of all series. The error is an *ExpressionError or a *NotMeasured.
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

// evaluation is one pass over the syntax tree of a formula.
type evaluation struct {
	model      *Model
	expression string
	pick       func(Estimate) float64 // selects the value, or a bound of its interval
	sources    []Source
	missing    []string // keys of series without a value
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
	return e.errorf("an element is not a number, name, operator or function call")
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
	return e.errorf("unknown input %q", name)
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
	return e.errorf("unsupported operator %s", t.Op)
}

// functions are the functions of two arguments that a formula may call.
var functions = map[string]func(a, b float64) float64{"pow": math.Pow, "max": math.Max, "min": math.Min}

func (e *evaluation) call(t *ast.CallExpr) (float64, error) {
	name, ok := t.Fun.(*ast.Ident)
	if !ok {
		return e.errorf("the called expression is not a function name")
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
	return e.errorf("unknown function %s with %d arguments", name.Name, len(args))
}

// seriesValue evaluates at("SERIES", SIZE): the measured value at that size, or else the value of the fit there. It records a
// series without a value in e.missing and returns 0 for it.
func (e *evaluation) seriesValue(args []ast.Expr) (float64, error) {
	if len(args) != 2 {
		return e.errorf("at requires a series and a size")
	}
	text, ok := args[0].(*ast.BasicLit)
	if !ok || text.Kind != token.STRING {
		return e.errorf("the first argument of at is not a string")
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

// At returns the value of the series with key name at a size: the median and range of the values measured at exactly that
// size, or else the estimate of the fit. The error is a *NotMeasured.
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
