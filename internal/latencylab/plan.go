package latencylab

import (
	"context"
	"fmt"
	"slices"
)

// Plan is a set of latency runs: each repetition of each rate at each number of servers.
type Plan struct {
	Latency             // parameters common to all runs
	Sizes     []int     // numbers of servers known to the gatekeeper
	Rates     []float64 // calls per second; 0: only state reports of the servers
	Repeats   int
	Progress  func(*Run) // receives each run when it ends; may be nil
	MaxActive int        // maximum number of servers that receive calls
}

// Run performs all runs of the plan. Each repetition covers all sizes and rates before the next begins, so that a busy period
// of the machine does not affect only one of them. If a run fails or the context ends, Run returns the report of the
// completed runs with the error.
func (p Plan) Run(ctx context.Context) (*Report, error) {
	report := &Report{}
	var err error
	for repeat := range p.Repeats {
		for _, size := range p.Sizes {
			for _, rate := range p.Rates {
				single := p.Latency
				single.Servers, single.PerSecond, single.Active = size, rate, min(p.MaxActive, size)
				single.Seed = p.Seed + uint64(repeat)
				var run *Run
				if run, err = single.Run(ctx); err != nil {
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

// figure is a value of a run that is collected into a series.
type figure struct {
	name, unit string
	of         func(*Run) (value float64, known bool)
}

func ifAdded(f func(*Added) float64) func(*Run) (float64, bool) {
	return func(r *Run) (float64, bool) {
		if r.Added == nil {
			return 0, false
		}
		return f(r.Added), true
	}
}

func ifCalm(f func(*Calm) float64) func(*Run) (float64, bool) {
	return func(r *Run) (float64, bool) {
		if r.Added == nil || r.Added.Calm == nil {
			return 0, false
		}
		return f(r.Added.Calm), true
	}
}

// latencyFigures are collected over the number of known servers, for each rate.
var latencyFigures = []figure{
	{"direct_p50", "ms", ifPaired(func(r *Run) float64 { return r.Direct.P50 })},
	{"direct_p99", "ms", ifPaired(func(r *Run) float64 { return r.Direct.P99 })},
	{"through_p50", "ms", ifPaired(func(r *Run) float64 { return r.Through.P50 })},
	{"through_p99", "ms", ifPaired(func(r *Run) float64 { return r.Through.P99 })},
	{"added_p50", "ms", ifAdded(func(a *Added) float64 { return a.P50 })},
	{"added_p99", "ms", ifAdded(func(a *Added) float64 { return a.P99 })},
	{"added_p999", "ms", ifAdded(func(a *Added) float64 { return a.P999 })},
	{"added_difference_of_p99", "ms", ifAdded(func(a *Added) float64 { return a.DiffP99 })},
	{"chain19_p50", "ms", ifAdded(func(a *Added) float64 { return a.Chain[0] })},
	{"chain19_p99", "ms", ifAdded(func(a *Added) float64 { return a.Chain[1] })},
	{"calm_added_p50", "ms", ifCalm(func(c *Calm) float64 { return c.P50 })},
	{"calm_added_p99", "ms", ifCalm(func(c *Calm) float64 { return c.P99 })},
	{"calm_added_p999", "ms", ifCalm(func(c *Calm) float64 { return c.P999 })},
	{"calm_chain19_p50", "ms", ifCalm(func(c *Calm) float64 { return c.Chain[0] })},
	{"calm_chain19_p99", "ms", ifCalm(func(c *Calm) float64 { return c.Chain[1] })},
	{"not_answered", "part", func(r *Run) (float64, bool) {
		return 1 - float64(r.Through.Established)/float64(max(1, r.Through.Calls)), r.Through.Calls > 0
	}},
}

// ifPaired returns a figure that is known only for runs in which both calls of some pair were established.
func ifPaired(f func(*Run) float64) func(*Run) (float64, bool) {
	return func(r *Run) (float64, bool) { return f(r), r.Added != nil }
}

// sizeFigures are collected over the number of known servers, from the runs at the highest rate.
var sizeFigures = []figure{
	{"resident_mb", "MB", func(r *Run) (float64, bool) { return r.ResidentMB, true }},
	{"descriptors_held", "descriptors", func(r *Run) (float64, bool) { return float64(r.DescriptorsHeld), true }},
	{"seconds_to_serving", "s", func(r *Run) (float64, bool) { return r.SecondsToServing, true }},
}

// PlannedDescriptors is the descriptor limit of a gatekeeper on the platform. The names of series from runs with another
// limit contain that limit.
const PlannedDescriptors = 1024

// Collect computes the series and fits of all runs and replaces the previous ones.
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

// collect appends the series and fits of runs that have the same descriptor limit.
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

// distinct returns the distinct values of runs in ascending order.
func distinct(runs []*Run, of func(*Run) int) (all []int) {
	for _, r := range runs {
		all = append(all, of(r))
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// series appends a series with one point for each size. in selects the runs of a point.
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

// fit fits a line to the processor time of the runs at one size over the rate of established calls: a call that the
// gatekeeper does not accept costs it little. It adds no fit for fewer than minRatesForFit rates.
func (report *Report) fit(name string, size int, runs []*Run) {
	var x, y []float64
	rates := map[float64]bool{}
	for _, r := range runs {
		if r.Servers == size {
			rates[r.PerSecond] = true
			x, y = append(x, float64(r.Through.Established)/r.Seconds), append(y, r.CoreShare)
		}
	}
	if len(rates) < minRatesForFit {
		return
	}
	fixed, slope, worst := FitLine(x, y)
	report.Fits = append(report.Fits, Fit{Name: name, Unit: "of a core", Of: "answered calls a second",
		Fixed: fixed, Slope: slope, Worst: worst, N: len(x)})
}

// minRatesForFit is the minimum number of distinct rates for a fit.
const minRatesForFit = 3
