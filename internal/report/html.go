package report

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"strings"
	"time"
	"unicode"

	"beammux/control"
	"beammux/internal/history"
)

//go:embed page.tmpl
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"clock": clock,
	"stamp": func(at control.Micros) string {
		return time.UnixMicro(int64(at)).UTC().Format("2006-01-02 15:04:05.000")
	},
	"sec": func(m control.Micros) string { return fmt.Sprintf("%.2f s", float64(m)/1e6) },
	"mb":  func(b float64) string { return fmt.Sprintf("%.0f MB", b/(1<<20)) },
}).Parse(pageText))

// Plots are drawn in these units; the page scales them to its width.
const (
	plotWidth  = 1000.0
	plotLeft   = 56.0
	plotRight  = 8.0
	plotHeight = 150.0
	plotTop    = 8.0
	axisHeight = 22.0
	stripRow   = 14.0
)

// HTML writes the page: one file without any outside reference or script. All text that comes from records is escaped by
// the template, and control characters, which HTML can't hold, are replaced.
func (r *Report) HTML(w io.Writer) error {
	course, left := r.Timeline()
	f := r.Fleet
	var text bytes.Buffer
	err := page.Execute(&text, map[string]any{
		"R": r, "F": f, "Summary": r.Summary(), "Course": course, "CourseLeft": left, "Plots": r.plots(),
		"Servers": f.ServerList(), "Nodes": f.NodeList(), "Width": f.Width / 1e6, "ClockNote": clockNote,
		"Classes": r.classRows(), "Verdicts": r.verdicts(),
	})
	if err == nil {
		_, err = w.Write(bytes.Map(func(c rune) rune {
			if unicode.IsControl(c) && c != '\n' && c != '\t' {
				return unicode.ReplacementChar
			}
			return c
		}, text.Bytes()))
	}
	return err
}

type classRow struct {
	Name string
	history.Counts
	Part string
}

func (r *Report) classRows() (rows []classRow) {
	for i, c := range r.Fleet.Totals {
		rows = append(rows, classRow{r.className(i), c, fmt.Sprintf("%.1f%%", 100*float64(c.Served)/math.Max(float64(c.Offered), 1))})
	}
	return rows
}

func (r *Report) verdicts() string {
	n := map[history.Verdict]int{}
	for _, f := range r.Findings {
		n[f.Verdict]++
	}
	if n[history.Held] == len(r.Findings) {
		return "Each of the five rules held"
	}
	return fmt.Sprintf("Of the five rules %d held, %d were broken, %d are not shown", n[history.Held], n[history.Broken], n[history.Inconclusive])
}

// Plot is one figure of the page.
type Plot struct {
	ID, Title, Desc string
	SVG             template.HTML // made of numbers and of words of this file alone
	Legend          []LegendEntry
}

// LegendEntry explains one line or colour.
type LegendEntry struct{ Class, Text string }

// drawing builds the shapes of one plot.
type drawing struct {
	strings.Builder
	from, to control.Micros
	height   float64
}

func (r *Report) drawing(height float64) *drawing {
	return &drawing{from: r.Fleet.From, to: max(r.Fleet.To, r.Fleet.From+1), height: height}
}

func (d *drawing) x(at control.Micros) float64 {
	at = min(max(at, d.from), d.to)
	return plotLeft + (plotWidth-plotLeft-plotRight)*float64(at-d.from)/float64(d.to-d.from)
}

// shade marks the gaps: restarts and lost records.
func (d *drawing) shade(gaps []history.Gap) {
	for _, g := range gaps {
		kind := "restart"
		if g.Hides {
			kind = "hidden"
		}
		x := d.x(g.From)
		fmt.Fprintf(d, `<rect class="gap %s" x="%.1f" y="%.1f" width="%.1f" height="%.1f"/>`, kind, x, plotTop, math.Max(d.x(g.To)-x, 1.5), d.height)
	}
}

// steps are the spans between two marks of the time axis, in seconds.
var steps = []int64{1, 2, 5, 10, 15, 30, 60, 120, 300, 600, 900, 1800, 3600, 7200, 14400, 43200, 86400}

func (d *drawing) axis() {
	step := steps[len(steps)-1]
	for _, s := range steps {
		if int64(d.to-d.from)/1e6/s <= 9 {
			step = s
			break
		}
	}
	bottom := plotTop + d.height
	fmt.Fprintf(d, `<path class="axis" d="M%.1f %.1fH%.1f"/>`, plotLeft, bottom, plotWidth-plotRight)
	for at := (int64(d.from)/1e6/step + 1) * step; at*1e6 <= int64(d.to); at += step {
		x := d.x(control.Micros(at * 1e6))
		fmt.Fprintf(d, `<path class="tick" d="M%.1f %.1fV%.1f"/><text x="%.1f" y="%.1f" text-anchor="middle">%s</text>`,
			x, plotTop, bottom, math.Min(math.Max(x, plotLeft), plotWidth-32), bottom+16, clock(control.Micros(at*1e6)))
	}
}

// scale draws the marks of the other axis and gives the height of a value.
func (d *drawing) scale(most float64, unit string) func(float64) float64 {
	if most <= 0 {
		most = 1
	}
	round := math.Pow(10, math.Floor(math.Log10(most)))
	for _, m := range []float64{1, 2, 5, 10} {
		if round*m >= most {
			most = round * m
			break
		}
	}
	y := func(v float64) float64 { return plotTop + d.height*(1-math.Min(v/most, 1)) }
	for _, part := range []float64{0.5, 1} {
		fmt.Fprintf(d, `<path class="tick" d="M%.1f %.1fH%.1f"/><text x="%.1f" y="%.1f" text-anchor="end">%g%s</text>`,
			plotLeft, y(most*part), plotWidth-plotRight, plotLeft-4, y(most*part)+4, most*part, unit)
	}
	return y
}

// line draws values of bins; NaN breaks it.
func (d *drawing) line(class string, width control.Micros, values []float64, y func(float64) float64) {
	pen := "M"
	fmt.Fprintf(d, `<path class="line %s" d="`, class)
	for i, v := range values {
		if math.IsNaN(v) {
			pen = "M"
			continue
		}
		at := d.from + control.Micros(i)*width
		fmt.Fprintf(d, "%s%.1f %.1fH%.1f", pen, d.x(at), y(v), d.x(at+width))
		pen = "L"
	}
	d.WriteString(`"/>`)
}

func (d *drawing) svg(id, title, desc string) template.HTML {
	height := plotTop + d.height + axisHeight
	return template.HTML(fmt.Sprintf(`<svg viewBox="0 0 %g %g" role="img" aria-labelledby="%s-t %s-d"><title id="%s-t">%s</title><desc id="%s-d">%s</desc>%s</svg>`,
		plotWidth, height, id, id, id, template.HTMLEscapeString(title), id, template.HTMLEscapeString(desc), d.String()))
}

func (r *Report) plots() (plots []Plot) {
	f := r.Fleet
	if f.Events == 0 {
		return nil
	}
	perS := 1e6 / float64(f.Width)
	for i := range f.Totals {
		series := map[string][]float64{}
		most := 0.0
		for _, b := range f.Bins {
			var c history.Counts
			if i < len(b.Classes) {
				c = b.Classes[i]
			}
			for name, n := range map[string]int{"offered": c.Offered, "served": c.Served, "refused": c.Refused, "failed": c.Failed + c.Late} {
				series[name] = append(series[name], float64(n)*perS)
			}
			most = math.Max(most, float64(c.Offered)*perS)
		}
		d := r.drawing(plotHeight)
		d.shade(f.Gaps)
		y := d.scale(most, "/s")
		for _, name := range []string{"offered", "served", "refused", "failed"} {
			d.line(name, f.Width, series[name], y)
		}
		d.axis()
		id, title := fmt.Sprintf("class-%d", i), "Set-ups of "+r.className(i)
		c := f.Totals[i]
		desc := fmt.Sprintf("Set-ups a second by the time they were taken: %d offered, %d stood in time, %d late, %d refused, %d failed. At most %.1f a second were offered.",
			c.Offered, c.Served, c.Late, c.Refused, c.Failed, most)
		plots = append(plots, Plot{id, title, desc, d.svg(id, title, desc), []LegendEntry{{"offered", "offered"}, {"served", "stood in time"},
			{"refused", "refused"}, {"failed", "failed or late"}}})
	}
	plots = append(plots, r.delays())
	for _, s := range f.ServerList() {
		plots = append(plots, r.views(s)...)
	}
	return plots
}

func (r *Report) delays() Plot {
	f := r.Fleet
	quantiles := []float64{50, 95, 99}
	values := make([][]float64, len(quantiles))
	most, worst := 0.0, 0.0
	for _, b := range f.Bins {
		for i, q := range quantiles {
			v := math.NaN()
			if b.Delay != nil {
				v = float64(b.Delay.ValueAtQuantile(q)) / 1000
				most = math.Max(most, v)
				worst = math.Max(worst, float64(b.Delay.Max())/1000)
			}
			values[i] = append(values[i], v)
		}
	}
	d := r.drawing(plotHeight)
	d.shade(f.Gaps)
	y := d.scale(most, " s")
	for i, class := range []string{"q50", "q95", "q99"} {
		d.line(class, f.Width, values[i], y)
	}
	d.axis()
	desc := fmt.Sprintf("Time from a set-up's arrival to its answer, of those that stood: the median, the 95th and the 99th of 100. The longest took %.1f s.", worst)
	return Plot{"delay", "Set-up delay", desc, d.svg("delay", "Set-up delay", desc), []LegendEntry{{"q50", "median"}, {"q95", "95%"}, {"q99", "99%"}}}
}

// views draws what each gatekeeper believed of a server: a strip of levels for each, and the longest wait over them.
func (r *Report) views(s *history.Server) []Plot {
	f := r.Fleet
	nodes := f.NodeList()
	var seen []string
	for _, n := range nodes {
		if slices.ContainsFunc(f.Bins, func(b history.Bin) bool { _, ok := b.Views[history.ViewKey{Node: n.Name, Server: s.ID}]; return ok }) {
			seen = append(seen, n.Name)
		}
	}
	if len(seen) == 0 {
		return nil
	}
	name := r.serverName(s.ID)
	strips := r.drawing(stripRow * float64(len(seen)))
	waits := make([]float64, len(f.Bins))
	for i := range waits {
		waits[i] = math.NaN()
	}
	gated := 0
	for row, node := range seen {
		top := plotTop + stripRow*float64(row)
		fmt.Fprintf(strips, `<text x="%.1f" y="%.1f" text-anchor="end">%s</text>`, plotLeft-4, top+stripRow-3, template.HTMLEscapeString(short(node)))
		level, from := -1, 0
		flush := func(to int) {
			if level > 0 {
				x := strips.x(f.From + control.Micros(from)*f.Width)
				fmt.Fprintf(strips, `<rect class="level l%d" x="%.1f" y="%.1f" width="%.1f" height="%.1f"/>`, min(level, 4), x, top+1,
					math.Max(strips.x(f.From+control.Micros(to)*f.Width)-x, 0.8), stripRow-2)
			}
		}
		last := 0
		for i, b := range f.Bins {
			now := last
			if v, ok := b.Views[history.ViewKey{Node: node, Server: s.ID}]; ok {
				now, last = int(v.Level.Highest), int(v.Level.Highest)
				if v.Level.Lowest < 2 {
					last = int(v.Level.Lowest)
				}
				w := v.Wait.Highest / 1e6
				if math.IsNaN(waits[i]) || w > waits[i] {
					waits[i] = w
				}
			}
			if now >= 2 {
				gated++
			}
			if now != level {
				flush(i)
				level, from = now, i
			}
		}
		flush(len(f.Bins))
	}
	strips.shade(f.Gaps)
	strips.axis()
	id := fmt.Sprintf("levels-%d", s.ID)
	title := "Level of " + name + " as believed by each gatekeeper"
	desc := fmt.Sprintf("A row for each of %d gatekeepers; the highest level in each span. From level 2 on nothing new is sent. Gated %d times in all.", len(seen), s.Gated)
	key := []LegendEntry{{"l1", "level 1"}, {"l2", "level 2: gated"}, {"l3", "level 3"}, {"l4", "level 4"}}
	out := []Plot{{id, title, desc, strips.svg(id, title, desc), key}}

	last := math.NaN()
	most := 0.0
	for i, w := range waits { // what was believed holds until it is seen anew
		if math.IsNaN(w) {
			waits[i] = last
		} else {
			last = w
			most = math.Max(most, w)
		}
	}
	d := r.drawing(plotHeight / 2)
	d.shade(f.Gaps)
	d.line("wait", f.Width, waits, d.scale(most, " s"))
	d.axis()
	id = fmt.Sprintf("wait-%d", s.ID)
	title = "Wait at " + name
	desc = fmt.Sprintf("The longest wait at its processor that any gatekeeper believed in each span; %.2f s at most.", most)
	return append(out, Plot{id, title, desc, d.svg(id, title, desc), []LegendEntry{{"wait", "longest wait believed"}}})
}

// short keeps a name within the margin of a plot.
func short(s string) string {
	if r := []rune(s); len(r) > 8 {
		return string(r[:7]) + "…"
	}
	return s
}
