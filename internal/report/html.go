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

// pageTemplate is the source of the page's template.
//
//go:embed page.tmpl
var pageTemplate string

// page is the parsed template of the page.
var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"clock": clockTime,
	"stamp": func(at control.Micros) string {
		return time.UnixMicro(int64(at)).UTC().Format("2006-01-02 15:04:05.000")
	},
	"sec": func(m control.Micros) string { return fmt.Sprintf("%.2f s", float64(m)/1e6) },
	"mb":  func(b float64) string { return fmt.Sprintf("%.0f MB", b/(1<<20)) },
}).Parse(pageTemplate))

// Dimensions of plots in SVG user units; the page scales plots to its width.
const (
	plotWidth   = 1000.0
	plotLeft    = 56.0
	plotRight   = 8.0
	plotHeight  = 150.0
	plotTop     = 8.0
	axisHeight  = 22.0
	stripHeight = 14.0
)

// HTML writes the page as a single file without external references or scripts. The template escapes all text from
// records, and control characters, which are not allowed in HTML, are replaced.
func (r *Report) HTML(w io.Writer) error {
	timeline, omitted := r.Timeline()
	f := r.Fleet
	var text bytes.Buffer
	err := page.Execute(&text, map[string]any{
		"R": r, "F": f, "Summary": r.Summary(), "Course": timeline, "CourseLeft": omitted, "Plots": r.plots(),
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

// classRow is one row of the table of classes.
type classRow struct {
	Name string
	history.Counts
	Part string
}

// classRows returns the table of classes.
func (r *Report) classRows() (rows []classRow) {
	for i, c := range r.Fleet.Totals {
		rows = append(rows, classRow{r.className(i), c, fmt.Sprintf("%.1f%%", 100*float64(c.Served)/math.Max(float64(c.Offered), 1))})
	}
	return rows
}

// verdicts summarizes the verdicts on the rules.
func (r *Report) verdicts() string {
	n := map[history.Verdict]int{}
	for _, f := range r.Findings {
		n[f.Verdict]++
	}
	if n[history.Held] == len(r.Findings) {
		return "Each of the five rules held"
	}
	return fmt.Sprintf("Of the five rules, %d held, %d were broken, and %d are not shown", n[history.Held], n[history.Broken], n[history.Inconclusive])
}

// Plot is one figure of the page.
type Plot struct {
	ID, Title, Desc string
	SVG             template.HTML // contains only numbers, constant text and escaped names
	Legend          []LegendEntry
}

// LegendEntry is an entry in a plot's key: the CSS class of a line or colour, and its meaning.
type LegendEntry struct{ Class, Text string }

// plotDrawing builds the SVG shapes of one plot.
type plotDrawing struct {
	strings.Builder
	from, to control.Micros
	height   float64
}

// plotDrawing returns an empty drawing of the given height over the time range of the report.
func (r *Report) plotDrawing(height float64) *plotDrawing {
	return &plotDrawing{from: r.Fleet.From, to: max(r.Fleet.To, r.Fleet.From+1), height: height}
}

// x returns the horizontal position of a time.
func (d *plotDrawing) x(at control.Micros) float64 {
	at = min(max(at, d.from), d.to)
	return plotLeft + (plotWidth-plotLeft-plotRight)*float64(at-d.from)/float64(d.to-d.from)
}

// drawGaps draws the gaps: planned restarts and lost records.
func (d *plotDrawing) drawGaps(gaps []history.Gap) {
	for _, g := range gaps {
		kind := "restart"
		if g.Hides {
			kind = "hidden"
		}
		x := d.x(g.From)
		fmt.Fprintf(d, `<rect class="gap %s" x="%.1f" y="%.1f" width="%.1f" height="%.1f"/>`, kind, x, plotTop, math.Max(d.x(g.To)-x, 1.5), d.height)
	}
}

// tickIntervals are the possible distances between two ticks of the time axis, in seconds.
var tickIntervals = []int64{1, 2, 5, 10, 15, 30, 60, 120, 300, 600, 900, 1800, 3600, 7200, 14400, 43200, 86400}

// drawTimeAxis draws the time axis with at most about ten ticks.
func (d *plotDrawing) drawTimeAxis() {
	step := tickIntervals[len(tickIntervals)-1]
	for _, s := range tickIntervals {
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
			x, plotTop, bottom, math.Min(math.Max(x, plotLeft), plotWidth-32), bottom+16, clockTime(control.Micros(at*1e6)))
	}
}

// drawValueAxis draws the ticks of the vertical axis and returns the function from a value to its vertical position.
func (d *plotDrawing) drawValueAxis(maximum float64, unit string) func(float64) float64 {
	if maximum <= 0 {
		maximum = 1
	}
	magnitude := math.Pow(10, math.Floor(math.Log10(maximum)))
	for _, m := range []float64{1, 2, 5, 10} {
		if magnitude*m >= maximum {
			maximum = magnitude * m
			break
		}
	}
	y := func(v float64) float64 { return plotTop + d.height*(1-math.Min(v/maximum, 1)) }
	for _, part := range []float64{0.5, 1} {
		fmt.Fprintf(d, `<path class="tick" d="M%.1f %.1fH%.1f"/><text x="%.1f" y="%.1f" text-anchor="end">%g%s</text>`,
			plotLeft, y(maximum*part), plotWidth-plotRight, plotLeft-4, y(maximum*part)+4, maximum*part, unit)
	}
	return y
}

// drawLine draws one value per bin; NaN interrupts the line.
func (d *plotDrawing) drawLine(class string, width control.Micros, values []float64, y func(float64) float64) {
	command := "M"
	fmt.Fprintf(d, `<path class="line %s" d="`, class)
	for i, v := range values {
		if math.IsNaN(v) {
			command = "M"
			continue
		}
		at := d.from + control.Micros(i)*width
		fmt.Fprintf(d, "%s%.1f %.1fH%.1f", command, d.x(at), y(v), d.x(at+width))
		command = "L"
	}
	d.WriteString(`"/>`)
}

// svg returns the complete SVG element with its accessible title and description.
func (d *plotDrawing) svg(id, title, desc string) template.HTML {
	height := plotTop + d.height + axisHeight
	return template.HTML(fmt.Sprintf(`<svg viewBox="0 0 %g %g" role="img" aria-labelledby="%s-t %s-d"><title id="%s-t">%s</title><desc id="%s-d">%s</desc>%s</svg>`,
		plotWidth, height, id, id, id, template.HTMLEscapeString(title), id, template.HTMLEscapeString(desc), d.String()))
}

// plots returns all plots: set-ups of each class, delays, and the views of each server.
func (r *Report) plots() (plots []Plot) {
	f := r.Fleet
	if f.Events == 0 {
		return nil
	}
	perSecond := 1e6 / float64(f.Width)
	for i := range f.Totals {
		series := map[string][]float64{}
		maximum := 0.0
		for _, b := range f.Bins {
			var c history.Counts
			if i < len(b.Classes) {
				c = b.Classes[i]
			}
			for name, n := range map[string]int{"offered": c.Offered, "served": c.Served, "refused": c.Refused, "failed": c.Failed + c.Late} {
				series[name] = append(series[name], float64(n)*perSecond)
			}
			maximum = math.Max(maximum, float64(c.Offered)*perSecond)
		}
		d := r.plotDrawing(plotHeight)
		d.drawGaps(f.Gaps)
		y := d.drawValueAxis(maximum, "/s")
		for _, name := range []string{"offered", "served", "refused", "failed"} {
			d.drawLine(name, f.Width, series[name], y)
		}
		d.drawTimeAxis()
		id, title := fmt.Sprintf("class-%d", i), "Set-ups of "+r.className(i)
		c := f.Totals[i]
		desc := fmt.Sprintf("Set-ups per second by their time of arrival: %d offered, %d established in time, %d late, %d refused, %d failed. At most %.1f per second were offered.",
			c.Offered, c.Served, c.Late, c.Refused, c.Failed, maximum)
		plots = append(plots, Plot{id, title, desc, d.svg(id, title, desc), []LegendEntry{{"offered", "offered"}, {"served", "established in time"},
			{"refused", "refused"}, {"failed", "failed or late"}}})
	}
	plots = append(plots, r.delays())
	for _, s := range f.ServerList() {
		plots = append(plots, r.views(s)...)
	}
	return plots
}

// delays plots quantiles of the set-up delay.
func (r *Report) delays() Plot {
	f := r.Fleet
	quantiles := []float64{50, 95, 99}
	values := make([][]float64, len(quantiles))
	maximum, worst := 0.0, 0.0
	for _, b := range f.Bins {
		for i, q := range quantiles {
			v := math.NaN()
			if b.Delay != nil {
				v = float64(b.Delay.ValueAtQuantile(q)) / 1000
				maximum = math.Max(maximum, v)
				worst = math.Max(worst, float64(b.Delay.Max())/1000)
			}
			values[i] = append(values[i], v)
		}
	}
	d := r.plotDrawing(plotHeight)
	d.drawGaps(f.Gaps)
	y := d.drawValueAxis(maximum, " s")
	for i, class := range []string{"q50", "q95", "q99"} {
		d.drawLine(class, f.Width, values[i], y)
	}
	d.drawTimeAxis()
	desc := fmt.Sprintf("Time from the arrival of a set-up to its answer, for established calls: the median, the 95th and the 99th percentile. The longest took %.1f s.", worst)
	return Plot{"delay", "Set-up delay", desc, d.svg("delay", "Set-up delay", desc), []LegendEntry{{"q50", "median"}, {"q95", "95%"}, {"q99", "99%"}}}
}

// views plots the gatekeepers' views of a server: a strip of levels for each gatekeeper, and the longest wait of all.
func (r *Report) views(s *history.Server) []Plot {
	f := r.Fleet
	nodes := f.NodeList()
	var viewers []string
	for _, n := range nodes {
		if slices.ContainsFunc(f.Bins, func(b history.Bin) bool { _, ok := b.Views[history.ViewKey{Node: n.Name, Server: s.ID}]; return ok }) {
			viewers = append(viewers, n.Name)
		}
	}
	if len(viewers) == 0 {
		return nil
	}
	name := r.serverName(s.ID)
	strips := r.plotDrawing(stripHeight * float64(len(viewers)))
	waits := make([]float64, len(f.Bins))
	for i := range waits {
		waits[i] = math.NaN()
	}
	gated := 0
	for row, node := range viewers {
		top := plotTop + stripHeight*float64(row)
		fmt.Fprintf(strips, `<text x="%.1f" y="%.1f" text-anchor="end">%s</text>`, plotLeft-4, top+stripHeight-3, template.HTMLEscapeString(truncateName(node)))
		level, from := -1, 0
		flush := func(to int) {
			if level > 0 {
				x := strips.x(f.From + control.Micros(from)*f.Width)
				fmt.Fprintf(strips, `<rect class="level l%d" x="%.1f" y="%.1f" width="%.1f" height="%.1f"/>`, min(level, 4), x, top+1,
					math.Max(strips.x(f.From+control.Micros(to)*f.Width)-x, 0.8), stripHeight-2)
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
	strips.drawGaps(f.Gaps)
	strips.drawTimeAxis()
	id := fmt.Sprintf("levels-%d", s.ID)
	title := "Level of " + name + " in the view of each gatekeeper"
	desc := fmt.Sprintf("One row for each of %d gatekeepers, with the highest level in each interval. From level 2 on, no new set-ups are sent. Gated %d times in total.", len(viewers), s.Gated)
	key := []LegendEntry{{"l1", "level 1"}, {"l2", "level 2: gated"}, {"l3", "level 3"}, {"l4", "level 4"}}
	plots := []Plot{{id, title, desc, strips.svg(id, title, desc), key}}

	last := math.NaN()
	maximum := 0.0
	for i, w := range waits { // a view remains valid until the next one is recorded
		if math.IsNaN(w) {
			waits[i] = last
		} else {
			last = w
			maximum = math.Max(maximum, w)
		}
	}
	d := r.plotDrawing(plotHeight / 2)
	d.drawGaps(f.Gaps)
	d.drawLine("wait", f.Width, waits, d.drawValueAxis(maximum, " s"))
	d.drawTimeAxis()
	id = fmt.Sprintf("wait-%d", s.ID)
	title = "Wait at " + name
	desc = fmt.Sprintf("The longest wait for its processor that any gatekeeper estimated in each interval; %.2f s at most.", maximum)
	return append(plots, Plot{id, title, desc, d.svg(id, title, desc), []LegendEntry{{"wait", "longest estimated wait"}}})
}

// truncateName truncates a name to fit the margin of a plot.
func truncateName(s string) string {
	if r := []rune(s); len(r) > 8 {
		return string(r[:7]) + "…"
	}
	return s
}
