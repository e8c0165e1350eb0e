package fleetlab

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/go-analyze/charts"

	"beammux/control"
	"beammux/internal/fleetcheck"
	"beammux/internal/fleetlab/script"
)

// Spread is the minimum, median and maximum of N measurements. With N 0 the others are meaningless.
type Spread struct {
	N      int     `json:"N"`
	Least  float64 `json:"Least"`
	Median float64 `json:"Median"`
	Most   float64 `json:"Most"`
}

// newSpread returns the spread of values.
func newSpread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	v := slices.Sorted(slices.Values(values))
	return Spread{len(v), v[0], v[len(v)/2], v[len(v)-1]}
}

// String returns the median with the minimum and maximum in parentheses, or "-" if there are no measurements.
func (s Spread) String() string {
	if s.N == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f (%.2f to %.2f)", s.Median, s.Least, s.Most)
}

// Size is the aggregated result of all runs with one number of gatekeepers.
type Size struct {
	Gatekeepers int               `json:"gatekeepers"`
	Runs        int               `json:"runs"`
	Held        int               `json:"runs_held"`
	AgreedAfter Spread            `json:"views_agree_after_start_s"`
	Noticed     map[string]Spread `json:"noticed_s"` // by the number of the fault in the script and its kind
	Agreed      map[string]Spread `json:"agreed_s"`
	NeverAgreed map[string]int    `json:"never_agreed"`
	Packets     Spread            `json:"packets_per_s"` // sent by one member's gossip while no fault was active
	Bytes       Spread            `json:"bytes_per_s"`
	CPU         Spread            `json:"cpu_part"` // share of a core that a process used over its lifetime
	Memory      Spread            `json:"memory_mib"`
	CalmHours   float64           `json:"calm_member_hours"`
	Suspicions  int               `json:"suspicions_while_calm"`
	GivenUp     int               `json:"given_up_while_calm"`
}

const (
	calmDelay  = control.Micros(15000000) // after the end of a fault, until its effects are assumed to be over
	sampleSpan = control.Micros(1000000)  // longest distance of two samples, and shortest total time, that a rate is computed from
)

// usagePattern matches the usage that fleet.handleExit adds to the event of an exit.
var usagePattern = regexp.MustCompile(`cpu ([0-9.]+) s, memory at most ([0-9]+) KiB`)

// Compare reads the runs in dirs and aggregates them by number of gatekeepers, in ascending order.
func Compare(dirs []string) ([]Size, error) {
	sizes := map[int]*sizeSamples{}
	for _, dir := range dirs {
		text, err := os.ReadFile(filepath.Join(dir, summaryFile))
		if err != nil {
			return nil, err
		}
		var stored struct {
			AgreedAfter float64 `json:"views_agree_after_s"`
		}
		if err := json.Unmarshal(text, &stored); err != nil {
			return nil, fmt.Errorf("%s: %w", filepath.Join(dir, summaryFile), err)
		}
		summary, err := Check(dir)
		if err != nil {
			return nil, err
		}
		summary.AgreedAfter = stored.AgreedAfter
		s, err := script.Load(filepath.Join(dir, "script.yaml"))
		if err != nil {
			return nil, err
		}
		events, err := readEvents(dir, s)
		if err != nil {
			return nil, err
		}
		g := sizes[summary.Gatekeepers]
		if g == nil {
			g = &sizeSamples{noticed: map[string][]float64{}, agreed: map[string][]float64{}}
			g.Gatekeepers, g.NeverAgreed = summary.Gatekeepers, map[string]int{}
			sizes[summary.Gatekeepers] = g
		}
		g.add(summary, s, events)
	}
	var result []Size
	for _, g := range sizes {
		result = append(result, g.size())
	}
	slices.SortFunc(result, func(a, b Size) int { return cmp.Compare(a.Gatekeepers, b.Gatekeepers) })
	return result, nil
}

// sizeSamples collects the measurements of all runs with one number of gatekeepers.
type sizeSamples struct {
	Size
	agreedAfter, packets, bytes, cpu, memory []float64
	noticed, agreed                          map[string][]float64
}

// add adds the measurements of one run.
func (g *sizeSamples) add(summary *Summary, s *script.Script, events []fleetcheck.Event) {
	g.Runs++
	if summary.Verdict == "held" {
		g.Held++
	}
	if summary.AgreedAfter > 0 {
		g.agreedAfter = append(g.agreedAfter, summary.AgreedAfter)
	}
	var disturbances []interval
	for _, f := range summary.Faults {
		disturbances = append(disturbances, interval{f.From, f.To + calmDelay})
		number, rest, _ := strings.Cut(f.Fault, " ")
		kind, _, _ := strings.Cut(rest, " ")
		name := number + " " + kind
		if f.Noticed >= 0 {
			g.noticed[name] = append(g.noticed[name], float64(f.Noticed)/1e6)
		}
		if f.Agreed >= 0 {
			g.agreed[name] = append(g.agreed[name], float64(f.Agreed)/1e6)
		} else if s.Fleet {
			g.NeverAgreed[name]++
		}
	}
	isCalm := func(at control.Micros) bool {
		return !slices.ContainsFunc(disturbances, func(s interval) bool { return at >= s.from && at <= s.to })
	}
	type sample struct {
		at             control.Micros
		packets, bytes float64
	}
	lastSample, started := map[string]sample{}, map[string]control.Micros{}
	rates := map[string]*[3]float64{} // packets, bytes, microseconds
	stopping := map[string]bool{}
	for _, e := range events {
		switch e.Kind {
		case fleetcheck.Ready:
			started[e.Process] = e.At
			delete(stopping, e.Process)
		case fleetcheck.StopRequested:
			stopping[e.Process] = true
		case fleetcheck.Stopped:
			if m := usagePattern.FindStringSubmatch(e.What); m != nil && e.At-started[e.Process] > 5e6 {
				cpu, _ := strconv.ParseFloat(m[1], 64)
				kib, _ := strconv.ParseFloat(m[2], 64)
				g.cpu = append(g.cpu, cpu/(float64(e.At-started[e.Process])/1e6))
				g.memory = append(g.memory, kib/1024)
			}
		case fleetcheck.ViewRead:
			var current sample
			current.at = e.At
			fmt.Sscan(e.Class, &current.packets, &current.bytes)
			previous, ok := lastSample[e.Process]
			lastSample[e.Process] = current
			if ok && current.packets >= previous.packets && isCalm(previous.at) && isCalm(current.at) && current.at-previous.at < sampleSpan {
				rate := rates[e.Process]
				if rate == nil {
					rate = &[3]float64{}
					rates[e.Process] = rate
				}
				rate[0] += current.packets - previous.packets
				rate[1] += current.bytes - previous.bytes
				rate[2] += float64(current.at - previous.at)
			}
		case fleetcheck.Logged:
			if !isCalm(e.At) || stopping[e.Process] || started[e.Process] == 0 {
				continue
			}
			if e.What == "fleet: member given up" {
				g.GivenUp++
			} else if strings.HasPrefix(e.What, "fleet: member changed") && e.Level == "info" && e.Health == "suspect" {
				g.Suspicions++
			}
		}
	}
	for _, rate := range rates {
		if rate[2] >= float64(sampleSpan) {
			g.packets = append(g.packets, rate[0]/rate[2]*1e6)
			g.bytes = append(g.bytes, rate[1]/rate[2]*1e6)
			g.CalmHours += rate[2] / 3600e6
		}
	}
}

// interval is a time in which a fault or its effects were present.
type interval struct{ from, to control.Micros }

// size returns the aggregated result.
func (g *sizeSamples) size() Size {
	s := g.Size
	s.AgreedAfter, s.Packets, s.Bytes, s.CPU, s.Memory = newSpread(g.agreedAfter), newSpread(g.packets), newSpread(g.bytes), newSpread(g.cpu), newSpread(g.memory)
	s.Noticed, s.Agreed = map[string]Spread{}, map[string]Spread{}
	for name, v := range g.noticed {
		s.Noticed[name] = newSpread(v)
	}
	for name, v := range g.agreed {
		s.Agreed[name] = newSpread(v)
	}
	return s
}

// CompareTable formats sizes as a text table, with medians and, in parentheses, minimum and maximum.
func CompareTable(sizes []Size) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 4, 2, ' ', 0)
	row := func(name string, f func(Size) string) {
		fmt.Fprint(w, name)
		for _, s := range sizes {
			fmt.Fprint(w, "\t", f(s))
		}
		fmt.Fprintln(w, "\t")
	}
	row("gatekeepers", func(s Size) string { return strconv.Itoa(s.Gatekeepers) })
	row("runs, of them held", func(s Size) string { return fmt.Sprintf("%d, %d", s.Runs, s.Held) })
	row("views agree after the start, s", func(s Size) string { return s.AgreedAfter.String() })
	names := map[string]bool{}
	for _, s := range sizes {
		for name := range s.Agreed {
			names[name] = true
		}
		for name := range s.NeverAgreed {
			names[name] = true
		}
	}
	for _, name := range sortedNames(names) {
		row(name+": noticed by all, s", func(s Size) string { return s.Noticed[name].String() })
		row(name+": views agree again, s", func(s Size) string {
			text := s.Agreed[name].String()
			if n := s.NeverAgreed[name]; n > 0 {
				text += fmt.Sprintf(", never in %d", n)
			}
			return text
		})
	}
	row("gossip packets a second, a member", func(s Size) string { return s.Packets.String() })
	row("gossip bytes a second, a member", func(s Size) string { return s.Bytes.String() })
	row("part of a core, a process", func(s Size) string { return s.CPU.String() })
	row("memory at most, MiB, a process", func(s Size) string { return s.Memory.String() })
	row("calm member hours", func(s Size) string { return fmt.Sprintf("%.2f", s.CalmHours) })
	row("suspicions, given up while calm", func(s Size) string { return fmt.Sprintf("%d, %d", s.Suspicions, s.GivenUp) })
	w.Flush()
	return b.String()
}

// sortedNames returns the keys of a set, sorted.
func sortedNames(names map[string]bool) []string {
	out := make([]string, 0, len(names))
	for name := range names {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// ComparePlot plots the gossip traffic of a member against the size of the fleet, as SVG.
func ComparePlot(sizes []Size) ([]byte, error) {
	values, labels := make([][]float64, 2), []string{}
	for _, s := range sizes {
		values[0] = append(values[0], s.Packets.Median)
		values[1] = append(values[1], s.Bytes.Median/100)
		labels = append(labels, strconv.Itoa(s.Gatekeepers))
	}
	p, err := charts.LineRender(values,
		charts.TitleTextOptionFunc("Sent by a member's gossip while nothing is wrong, against the size of the fleet"),
		charts.XAxisLabelsOptionFunc(labels), charts.LegendLabelsOptionFunc([]string{"packets a second", "hundreds of bytes a second"}),
		charts.DimensionsOptionFunc(800, 400),
		func(o *charts.ChartOption) {
			o.OutputFormat = charts.ChartOutputSVG
			o.Legend.Offset = charts.OffsetStr{Left: charts.PositionRight, Top: "24"}
		})
	if err != nil {
		return nil, err
	}
	return p.Bytes()
}
