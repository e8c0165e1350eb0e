package latencylab

import (
	"context"
	"fmt"
	"slices"
)

// Plan is a set of latency runs: each repetition of each rate at each number of servers.
type Plan struct {
	Latency             // what is common to all runs
	Sizes     []int     // servers that the gatekeeper knows
	Rates     []float64 // calls a second; 0: nothing but the servers' states
	Repeats   int
	Progress  func(*Run) // each run as it ends; may be nil
	MaxActive int        // servers that take calls, at most
}

// Run plays the plan. Repetitions go round: each size and rate once, then again, so that a busy spell of the machine does not
// fall on one of them alone. On the end of the context it returns what it has, with the context's error.
func (p Plan) Run(ctx context.Context) (*Report, error) {
	report := &Report{}
	var err error
	for repeat := range p.Repeats {
		for _, size := range p.Sizes {
			for _, rate := range p.Rates {
				one := p.Latency
				one.Servers, one.PerSecond, one.Active = size, rate, min(p.MaxActive, size)
				one.Seed = p.Seed + uint64(repeat)
				var run *Run
				if run, err = one.Run(ctx); err != nil {
					break
				}
				report.Runs = append(report.Runs, run)
				if p.Progress != nil {
					p.Progress(run)
				}
			}
			if err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	report.Collect()
	return report, err
}

// figure is one value of a run that becomes a series.
type figure struct {
	name, unit string
	of         func(*Run) (value float64, known bool)
}

func added(f func(*Added) float64) func(*Run) (float64, bool) {
	return func(r *Run) (float64, bool) {
		if r.Added == nil {
			return 0, false
		}
		return f(r.Added), true
	}
}

func calm(f func(*Calm) float64) func(*Run) (float64, bool) {
	return func(r *Run) (float64, bool) {
		if r.Added == nil || r.Added.Calm == nil {
			return 0, false
		}
		return f(r.Added.Calm), true
	}
}

// latencyFigures are series of the servers known, at each rate.
var latencyFigures = []figure{
	{"direct_p50", "ms", added0(func(r *Run) float64 { return r.Direct.P50 })},
	{"direct_p99", "ms", added0(func(r *Run) float64 { return r.Direct.P99 })},
	{"through_p50", "ms", added0(func(r *Run) float64 { return r.Through.P50 })},
	{"through_p99", "ms", added0(func(r *Run) float64 { return r.Through.P99 })},
	{"added_p50", "ms", added(func(a *Added) float64 { return a.P50 })},
	{"added_p99", "ms", added(func(a *Added) float64 { return a.P99 })},
	{"added_p999", "ms", added(func(a *Added) float64 { return a.P999 })},
	{"added_difference_of_p99", "ms", added(func(a *Added) float64 { return a.DiffP99 })},
	{"chain19_p50", "ms", added(func(a *Added) float64 { return a.Chain[0] })},
	{"chain19_p99", "ms", added(func(a *Added) float64 { return a.Chain[1] })},
	{"calm_added_p50", "ms", calm(func(c *Calm) float64 { return c.P50 })},
	{"calm_added_p99", "ms", calm(func(c *Calm) float64 { return c.P99 })},
	{"calm_added_p999", "ms", calm(func(c *Calm) float64 { return c.P999 })},
	{"calm_chain19_p50", "ms", calm(func(c *Calm) float64 { return c.Chain[0] })},
	{"calm_chain19_p99", "ms", calm(func(c *Calm) float64 { return c.Chain[1] })},
	{"not_answered", "part", func(r *Run) (float64, bool) {
		return 1 - float64(r.Through.Established)/float64(max(1, r.Through.Calls)), r.Through.Calls > 0
	}},
}

// added0 gives a figure of runs in which some pair was answered.
func added0(f func(*Run) float64) func(*Run) (float64, bool) {
	return func(r *Run) (float64, bool) { return f(r), r.Added != nil }
}

// sizeFigures are series of the servers known, over the runs at the highest rate.
var sizeFigures = []figure{
	{"resident_mb", "MB", func(r *Run) (float64, bool) { return r.ResidentMB, true }},
	{"descriptors_held", "descriptors", func(r *Run) (float64, bool) { return float64(r.DescriptorsHeld), true }},
	{"seconds_to_serving", "s", func(r *Run) (float64, bool) { return r.SecondsToServing, true }},
}

// PlannedDescriptors is the limit of a gatekeeper on the platform. Series of runs with another limit say so in their names.
const PlannedDescriptors = 1024

// Collect makes the series and fits of all runs, in place of those that were there.
func (report *Report) Collect() {
	report.Series, report.Fits = nil, nil
	limits := distinct(report.Runs, func(r *Run) int { return r.Descriptors })
	for _, limit := range limits {
		suffix := ""
		if limit != PlannedDescriptors {
			suffix = fmt.Sprintf("_with_%d_descriptors", limit)
		}
		runs := slices.DeleteFunc(slices.Clone(report.Runs), func(r *Run) bool { return r.Descriptors != limit })
		report.collect(runs, suffix)
	}
}

// collect makes the series of runs with one limit of descriptors.
func (report *Report) collect(runs []*Run, suffix string) {
	sizes := distinct(runs, func(r *Run) int { return r.Servers })
	rates := distinct(runs, func(r *Run) int { return int(r.PerSecond) })
	for _, rate := range rates {
		if rate == 0 {
			continue
		}
		for _, f := range latencyFigures {
			name := fmt.Sprintf("%s_%s_at_%d_per_s%s", f.name, f.unit, rate, suffix)
			report.series(name, f, "servers known", sizes, runs,
				func(r *Run, n int) bool { return int(r.PerSecond) == rate && r.Servers == n })
		}
	}
	highest := rates[len(rates)-1]
	for _, f := range sizeFigures {
		report.series(f.name+suffix, f, "servers known", sizes, runs,
			func(r *Run, n int) bool { return int(r.PerSecond) == highest && r.Servers == n })
	}
	core := figure{"core_part", "of a core", func(r *Run) (float64, bool) { return r.CoreShare, true }}
	for _, size := range sizes {
		name := fmt.Sprintf("core_part_at_%d_servers%s", size, suffix)
		report.series(name, core, "calls a second", rates, runs,
			func(r *Run, n int) bool { return r.Servers == size && int(r.PerSecond) == n })
		report.fit(name, size, runs)
	}
}

// distinct gives the different values of runs in ascending order.
func distinct(runs []*Run, of func(*Run) int) (all []int) {
	for _, r := range runs {
		all = append(all, of(r))
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func (report *Report) series(name string, f figure, of string, sizes []int, runs []*Run, in func(r *Run, n int) bool) {
	s := Series{Name: name, Unit: f.unit, Of: of}
	for _, n := range sizes {
		point := Point{N: n, Values: []float64{}}
		for _, r := range runs {
			if value, known := f.of(r); known && in(r, n) {
				point.Values = append(point.Values, value)
			}
		}
		if len(point.Values) > 0 {
			s.Points = append(s.Points, point)
		}
	}
	if len(s.Points) > 0 {
		report.Series = append(report.Series, s)
	}
}

// fit puts a line through the processor time of the runs at one size, by calls a second that were answered: a call that was
// never taken costs the gatekeeper little. With fewer than three rates there is no fit.
func (report *Report) fit(name string, size int, runs []*Run) {
	var x, y []float64
	rates := map[float64]bool{}
	for _, r := range runs {
		if r.Servers == size {
			rates[r.PerSecond] = true
			x, y = append(x, float64(r.Through.Established)/r.Seconds), append(y, r.CoreShare)
		}
	}
	if len(rates) < ratesForFit {
		return
	}
	fixed, slope, worst := FitLine(x, y)
	report.Fits = append(report.Fits, Fit{Name: name, Unit: "of a core", Of: "answered calls a second",
		Fixed: fixed, Slope: slope, Worst: worst, N: len(x)})
}

// ratesForFit is how many different rates a line is put through at least.
const ratesForFit = 3
