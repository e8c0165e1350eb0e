package capacity

import (
	"fmt"
	"go/parser"
	"go/token"
	"math"
	"math/rand/v2"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"beammux/control/advice"
)

var testSizes = []float64{24, 100, 400, 1100, 2200}

// seriesOf returns a series of a function's values at sizes, with noise relative to the value.
func seriesOf(name string, sizes []float64, noise float64, f func(n float64) float64) *Series {
	random := rand.New(rand.NewPCG(1, 2))
	s := &Series{Name: name, Unit: "us", Of: "servers", Command: "c", Date: "2026-12-02", Beside: "nothing"}
	for _, n := range sizes {
		p := Point{N: n}
		for range 3 {
			p.Values = append(p.Values, f(n)*(1+noise*(2*random.Float64()-1)))
		}
		s.Points = append(s.Points, p)
	}
	return s
}

// Each law is found from exact values and from values with 3% noise.
func TestFitFindsTheLaw(t *testing.T) {
	for law, f := range map[Law]func(n float64) float64{
		Constant:    func(float64) float64 { return 40 },
		Logarithmic: func(n float64) float64 { return 5 + 20*math.Log(n) },
		Linear:      func(n float64) float64 { return 5 + 0.1*n },
		Square:      func(n float64) float64 { return 5 + 0.001*n*n },
	} {
		for _, noise := range []float64{0, 0.03} {
			fit, err := FitSeries(seriesOf("s", testSizes, noise, f))
			require.NoError(t, err)
			require.Equal(t, law, fit.Chosen.Law, "%v with %v", law, noise)
			e := fit.At(4400)
			require.InEpsilon(t, f(4400), e.Value, 0.01+2*noise, "%v with %v", law, noise)
			require.LessOrEqual(t, e.Low, f(4400)*1.0001)
			require.GreaterOrEqual(t, e.High, f(4400)*0.9999)
		}
	}
}

// A linear law calculated by hand: 2 + 3 n at five sizes, which is 6,602 at 2,200.
func TestFitByHand(t *testing.T) {
	fit, err := FitSeries(seriesOf("s", []float64{1, 2, 3, 4, 5}, 0, func(n float64) float64 { return 2 + 3*n }))
	require.NoError(t, err)
	require.InDelta(t, 2, fit.Chosen.Offset, 1e-9)
	require.InDelta(t, 3, fit.Chosen.Slope, 1e-9)
	require.InDelta(t, 6602, fit.At(2200).Value, 1e-6)
	// Weighted mean calculated by hand: values 10, 20 at sizes 1, 2 with weights 1/100 and 1/400 have the weighted mean 12.
	l := fitLine(Constant, []sample{{1, 10, 0.01}, {2, 20, 0.0025}})
	require.InDelta(t, 12, l.offset, 1e-12)
}

// With sizes that do not distinguish a linear from a logarithmic law, the interval covers both.
func TestIntervalCoversLawsNotRuledOut(t *testing.T) {
	s := seriesOf("s", []float64{10, 11, 12, 13, 14}, 0.2, func(n float64) float64 { return 10 + n })
	fit, err := FitSeries(s)
	require.NoError(t, err)
	e := fit.At(2200)
	plausible := 0
	for _, c := range fit.Candidates {
		if c.Plausible {
			plausible++
			require.GreaterOrEqual(t, e.High, max(0, c.line.valueAt(2200)))
			require.LessOrEqual(t, e.Low, max(0, c.line.valueAt(2200)))
		}
	}
	require.Greater(t, plausible, 1)
}

// Beyond the largest measured size the value is not below the median there, even if the law is; at smaller sizes it follows the law.
func TestExtrapolationIsNotBelowTheLargestSize(t *testing.T) {
	s := &Series{Name: "s", Unit: "MB"}
	for i, v := range []float64{36, 35, 33, 34, 34, 39} {
		s.Points = append(s.Points, Point{N: []float64{50, 100, 200, 400, 1000, 2200}[i], Values: []float64{v}})
	}
	fit, err := FitSeries(s)
	require.NoError(t, err)
	require.Equal(t, Constant, fit.Chosen.Law)
	require.Equal(t, 39.0, fit.At(4400).Value)
	require.GreaterOrEqual(t, fit.At(4400).High, 39.0)
	require.Less(t, fit.At(2000).Value, 36.0)
}

// A fit of any exact law predicts its values, and the interval contains them.
func TestFitPredictsExactLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		law := rapid.SampledFrom(Laws).Draw(t, "law")
		offset, slope := rapid.Float64Range(1, 1000).Draw(t, "offset"), rapid.Float64Range(0.01, 100).Draw(t, "slope")
		f := func(n float64) float64 { return offset + slope*law.regressor(n) }
		fit, err := FitSeries(seriesOf("s", testSizes, 0, f))
		if err != nil {
			t.Fatal(err)
		}
		if fit.Chosen.Law > law {
			t.Fatalf("values of law %v were fitted to %v", law, fit.Chosen.Law)
		}
		e := fit.At(5000)
		if fit.Chosen.Law == law && math.Abs(e.Value-f(5000)) > 1e-6*f(5000) {
			t.Fatalf("predicted %v, want %v", e.Value, f(5000))
		}
		if e.Low > f(5000)*(1+1e-6) || e.High < f(5000)*(1-1e-6) {
			t.Fatalf("interval of %+v does not contain %v", e, f(5000))
		}
	})
}

// A series with four sizes is not fitted; the error has an advice.
func TestFitRefusesFewSizes(t *testing.T) {
	_, err := FitSeries(seriesOf("decision", testSizes[:4], 0, func(n float64) float64 { return n }))
	require.EqualError(t, err, `series "decision" has 4 sizes; a fit requires at least 5`)
	require.NotEmpty(t, advice.Of(err))
}

// Series of one name are distinguished by Of and With in a file that has the key "with".
func TestSeriesKey(t *testing.T) {
	f, err := ParseFile("scale.json", []byte(`{"series":[
		{"name":"heap_max","unit":"B","of":"gatekeepers","with":"","command":"c","date":"d","beside":"b","points":[{"n":100,"values":[1],"seeds":[7]}]},
		{"name":"heap_max","unit":"B","of":"gatekeepers","with":"membership","command":"c","date":"d","beside":"b","points":[{"n":100,"values":[2]}]},
		{"name":"heap_max","unit":"B","of":"control machines","with":"","command":"c","date":"d","beside":"b","points":[{"n":100,"values":[3]}]}]}`))
	require.NoError(t, err)
	m, err := NewModel(&Inputs{}, f)
	require.NoError(t, err)
	for key, want := range map[string]float64{"heap_max of gatekeepers": 1, "heap_max of gatekeepers with membership": 2, "heap_max of control machines": 3} {
		got, err := m.Evaluate(`at("` + key + `", 100)`)
		require.NoError(t, err)
		require.Equal(t, want, got.Value)
	}
	_, err = NewModel(&Inputs{}, f, f)
	require.EqualError(t, err, `duplicate series "heap_max of gatekeepers"`)
}

// The table of fault runs has the worst value over all seeds and marks broken rules; kinds of faults without a run are marked.
func TestFaultRuns(t *testing.T) {
	f, err := ParseFile("scale.json", []byte(`{"series":[],"fault_runs":[
		{"n":2200,"seed":1,"held":true,"faults":[{"kind":"kill-leader","sessions_max_over_share":1.2}],"in_force_from_commit_max_s":2.1,"start_to_in_force_max_s":1},
		{"n":2200,"seed":2,"held":true,"faults":[{"kind":"kill-leader","sessions_max_over_share":1.4}],"in_force_from_commit_max_s":1.5,"start_to_in_force_max_s":1.1},
		{"n":400,"seed":1,"held":false,"faults":[{"kind":"cut-region","sessions_max_over_share":1.3}],"in_force_from_commit_max_s":3,"in_force_from_end_of_outage_max_s":6.5,"start_to_in_force_max_s":1}]}`))
	require.NoError(t, err)
	m, err := NewModel(&Inputs{}, f)
	require.NoError(t, err)
	require.Equal(t, "`--faults kill-leader`; `--faults refuse`: not run", m.evidence([]string{"kill-leader", "refuse"}))
	got, err := m.Render("<!-- table:fault-runs -->\n<!-- end -->\n")
	require.NoError(t, err)
	require.Contains(t, got, "| cut-region | 400 | 1 | **broken in 1 of 1** | 3 s | 6.5 s | 1 s | 1.3 |\n")
	require.Contains(t, got, "| kill-leader | 2,200 | 1, 2 | all held | 2.1 s | no outage | 1.1 s | 1.4 |\n")
}

// A step follows no law: its measured sizes have values, and no other size is extrapolated.
func TestFitRefusesAStep(t *testing.T) {
	step := &Series{Name: "step", Unit: "origins"}
	for i, v := range []float64{0, 0, 0, 0, 76, 1176} {
		step.Points = append(step.Points, Point{N: []float64{16, 34, 100, 400, 1100, 2200}[i], Values: []float64{v}})
	}
	_, err := FitSeries(step)
	var none *NoLaw
	require.ErrorAs(t, err, &none)
	require.Equal(t, "step", none.Series)
	require.NotEmpty(t, advice.Of(err))
	m := testModel(t, step)
	f, err := m.Evaluate(`at("step", gatekeepers)`)
	require.NoError(t, err)
	require.Equal(t, 1176.0, f.Value)
	_, err = m.Evaluate(`at("step", 4400)`)
	require.EqualError(t, err, "not measured: step")
}

// With a size of 0 the logarithmic law is no candidate.
func TestFitWithSizeZero(t *testing.T) {
	fit, err := FitSeries(seriesOf("s", []float64{0, 50, 100, 191, 382}, 0, func(n float64) float64 { return 3 + n }))
	require.NoError(t, err)
	require.Equal(t, Linear, fit.Chosen.Law)
	require.Len(t, fit.Candidates, 3)
}

func testModel(t *testing.T, series ...*Series) *Model {
	t.Helper()
	in, err := ParseInputs("inputs", []byte(`{"inputs":[
		{"name":"gatekeepers","unit":"number","value":2200,"changeable":"plan","about":"a"},
		{"name":"budget","unit":"us","value":430,"changeable":"plan","about":"a"}]}`))
	require.NoError(t, err)
	file := &File{}
	for _, s := range series {
		file.Series = append(file.Series, *s)
	}
	m, err := NewModel(in, file)
	require.NoError(t, err)
	m.Derived = []Derivation{{"half", "number", "gatekeepers / 2", "a"}}
	return m
}

// Values of formulas calculated by hand, and errors of invalid formulas.
func TestEvaluate(t *testing.T) {
	m := testModel(t, seriesOf("linear", testSizes, 0, func(n float64) float64 { return 2 + 3*n }))
	for expression, want := range map[string]float64{
		"gatekeepers": 2200, "half - 100": 1000, "(1 + 0.2) * 10": 12, "pow(1.2, 2)": 1.44, "ceil(2200 / 65)": 34,
		"max(1, 2) + min(1, 2)": 3, `at("linear", gatekeepers)`: 6602, `at("linear", 4400) / 2`: 6601,
	} {
		f, err := m.Evaluate(expression)
		require.NoError(t, err, expression)
		require.InDelta(t, want, f.Value, 1e-6, expression)
		require.LessOrEqual(t, f.Low, f.Value)
		require.GreaterOrEqual(t, f.High, f.Value)
	}
	for expression, want := range map[string]string{
		"nothing":       `unknown input "nothing"`,
		"1 +":           "expected operand",
		"1 % 2":         "unsupported operator %",
		"sin(1)":        "unknown function sin with 1 arguments",
		"at(linear, 1)": "the first argument of at is not a string",
		`at("linear")`:  "at requires a series and a size",
		`"text"`:        "an element is not a number, name, operator or function call",
		"m.f(1)":        "the called expression is not a function name",
		"pow(1)":        "unknown function pow with 1 arguments",
	} {
		_, err := m.Evaluate(expression)
		require.ErrorContains(t, err, want, expression)
		require.NotEmpty(t, advice.Of(err))
	}
	_, err := m.Evaluate(`at("b", 1) + at("a", 1) + at("b", 2)`)
	require.EqualError(t, err, "not measured: a, b")
	require.NotEmpty(t, advice.Of(err))
}

// A measured size has its own median and range, also with too few sizes for a law.
func TestEvaluateAtMeasuredSize(t *testing.T) {
	few := &Series{Name: "few", Unit: "ms", Points: []Point{{N: 34, Values: []float64{1, 5, 3}}, {N: 2200, Values: []float64{9, 7, 8}}}}
	m := testModel(t, few)
	f, err := m.Evaluate(`at("few", gatekeepers)`)
	require.NoError(t, err)
	require.Equal(t, Estimate{8, 7, 9}, f.Estimate)
	require.Equal(t, "no law, 34 to 2,200 (2 sizes)", f.law())
	require.Equal(t, "linear, 24 to 2,200 (5 sizes), 2 times beyond", Source{
		Series: seriesOf("s", testSizes, 0, func(n float64) float64 { return n }), Fit: &Fit{Chosen: Candidate{Law: Linear}}, Size: 4400}.law())
	_, err = m.Evaluate(`at("few", 100)`)
	require.EqualError(t, err, "not measured: few")
}

// Headroom is budget divided by need. A need over the budget fails; a need whose interval exceeds the budget is uncertain.
func TestCompute(t *testing.T) {
	m := testModel(t, seriesOf("linear", testSizes, 0, func(n float64) float64 { return 0.1 * n }),
		&Series{Name: "wide", Unit: "us", Points: []Point{{N: 2200, Values: []float64{100, 400, 500}}}})
	for _, c := range []struct {
		need, budget string
		headroom     float64
		verdict      Verdict
	}{
		{`at("linear", gatekeepers)`, "budget", 430.0 / 220, Pass},
		{`at("linear", 2 * gatekeepers)`, "budget", 430.0 / 440, Fail},
		{`at("wide", gatekeepers)`, "budget", 430.0 / 400, Uncertain},
		{`at("absent", gatekeepers)`, "budget", 0, Unmeasured},
		{"gatekeepers", "", 0, NoBudget},
	} {
		r, err := m.Compute(Row{Label: "w", Unit: "us", Need: c.need, Budget: c.budget})
		require.NoError(t, err)
		require.InDelta(t, c.headroom, r.Headroom, 1e-6, c.need)
		require.Equal(t, c.verdict, r.Verdict, c.need)
	}
	_, err := m.Compute(Row{Label: "w", Need: "gatekeepers", Budget: `at("absent", 1)`})
	require.EqualError(t, err, "budget of w: not measured: absent")
}

// Every formula of the page can be evaluated, and every budget depends on inputs alone.
func TestRowsOfThePage(t *testing.T) {
	m, err := modelOf(sources(t))
	require.NoError(t, err)
	for _, role := range roles {
		for _, row := range role.Rows {
			_, err := m.Compute(row)
			require.NoError(t, err, "%s: %s", role.Table, row.Label)
			require.NotEmpty(t, row.Carrier, row.Label)
		}
	}
}

// The error for an invalid file names the file and the series.
func TestInvalidFiles(t *testing.T) {
	series := func(rest string) string {
		return `{"series":[{"name":"s","unit":"us","of":"n","command":"c","date":"d","beside":"b",` + rest + `}]}`
	}
	for text, want := range map[string]string{
		"{":                          "f.json: unexpected end of JSON input",
		`{"series":[{"name":"s"}]}`:  `f.json: series "s": key unit is missing or empty`,
		series(`"points":[]`):        `f.json: series "s": no points`,
		series(`"points":[{"n":5}]`): `f.json: series "s": size 5 has neither values nor a note`,
		series(`"points":[{"n":5,"values":[1]},{"n":5,"values":[1]}]`): `f.json: series "s": size 5 after 5: sizes must be at least 0 and increasing`,
	} {
		_, err := ParseFile("f.json", []byte(text))
		require.EqualError(t, err, want)
		require.NotEmpty(t, advice.Of(err))
	}
	f, err := ParseFile("f.json", []byte(series(`"points":[{"n":1,"values":[],"note":"no run"},{"n":5,"values":[2]}],"more":1`)))
	require.NoError(t, err)
	require.Len(t, f.Series[0].Points, 1)
	for text, want := range map[string]string{
		`{"inputs":[{"name":"a","unit":"u","value":1,"changeable":"c","about":"a"},{"name":"a","unit":"u","value":1,"changeable":"c","about":"a"}]}`: `i.json: duplicate input "a"`,
		`{"inputs":[{"name":"a","unit":"u","value":-1,"changeable":"c","about":"a"}]}`:                                                               `i.json: input "a": value -1 is not a finite number of at least 0`,
		`{"inputs":[{"name":"a"}]}`: `i.json: input "a": name, unit, changeable and about are required`,
	} {
		_, err := ParseInputs("i.json", []byte(text))
		require.EqualError(t, err, want)
	}
	_, err = NewModel(&Inputs{}, f, f)
	require.EqualError(t, err, `duplicate series "s"`)
}

// Figures are formatted with three significant digits in a suitable unit.
func TestQuantity(t *testing.T) {
	for want, got := range map[string]string{
		"8.75 KB/s": formatQuantity(8750, "B/s"), "264 KB": formatQuantity(264071, "B"), "18.4 ms": formatQuantity(18408, "us"),
		"2.29 min": formatQuantity(137.5, "s"), "2,200": formatQuantity(2200, "number"), "31.9 times": formatQuantity(31.948, "times"),
		"0.0324 a second": formatQuantity(0.032407, "1/s"), "0": formatQuantity(0, "number"), "420,000": formatNumber(420000), "123,500": formatNumber(123456),
		"-5.2": formatNumber(-5.2), "0.00012": formatNumber(0.00012), "8 us (7 to 9)": formatEstimate(Estimate{8, 7, 9}, "us"),
		"8 us": formatEstimate(Estimate{8, 7.99, 8.01}, "us"), "3.2e-06": formatNumber(0.0000032),
	} {
		require.Equal(t, want, got)
	}
}

// The package does no I/O and reads no clock: it imports none of the packages for it.
func TestPure(t *testing.T) {
	files, err := filepath.Glob("*.go")
	require.NoError(t, err)
	read := 0
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		read++
		f, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
		require.NoError(t, err)
		for _, i := range f.Imports {
			name, err := strconv.Unquote(i.Path.Value)
			require.NoError(t, err)
			root, _, _ := strings.Cut(name, "/")
			require.NotContains(t, []string{"net", "os", "io", "time", "syscall", "bufio", "log", "math/rand", "beammux"}, root, fmt.Sprint(file, " imports ", name))
		}
	}
	require.Greater(t, read, 8)
}
