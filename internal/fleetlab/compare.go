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

// Spread is the least, the median and the most of some measurements; N 0 where there is none.
type Spread struct {
	N      int     `json:"N"`
	Least  float64 `json:"Least"`
	Median float64 `json:"Median"`
	Most   float64 `json:"Most"`
}

func spread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	v := slices.Sorted(slices.Values(values))
	return Spread{len(v), v[0], v[len(v)/2], v[len(v)-1]}
}

func (s Spread) String() string {
	if s.N == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f (%.2f to %.2f)", s.Median, s.Least, s.Most)
}

// Size is what runs with as many gatekeepers came to.
type Size struct {
	Gatekeepers int               `json:"gatekeepers"`
	Runs        int               `json:"runs"`
	Held        int               `json:"runs_held"`
	Joined      Spread            `json:"views_agree_after_start_s"`
	Noticed     map[string]Spread `json:"noticed_s"` // by the kind of fault and its place in the script
	Agreed      map[string]Spread `json:"agreed_s"`
	Missing     map[string]int    `json:"never_agreed"`
	Packets     Spread            `json:"packets_per_s"` // sent by a member's gossip while nothing was wrong
	Bytes       Spread            `json:"bytes_per_s"`
	CPU         Spread            `json:"cpu_part"` // of a core, by each process over its life
	Memory      Spread            `json:"memory_mib"`
	CalmHours   float64           `json:"calm_member_hours"`
	Suspicions  int               `json:"suspicions_while_calm"`
	GivenUp     int               `json:"given_up_while_calm"`
}

const (
	calmAfter = control.Micros(15000000) // a fault's marks are over so long after it
	leastSpan = control.Micros(1000000)
)

var usedIn = regexp.MustCompile(`cpu ([0-9.]+) s, memory at most ([0-9]+) KiB`)

// Compare reads runs and puts them together by the number of gatekeepers.
func Compare(dirs []string) ([]Size, error) {
	sizes := map[int]*gathered{}
	for _, dir := range dirs {
		text, err := os.ReadFile(filepath.Join(dir, summaryFile))
		if err != nil {
			return nil, err
		}
		var kept struct {
			Joined float64 `json:"views_agree_after_s"`
		}
		if err := json.Unmarshal(text, &kept); err != nil {
			return nil, fmt.Errorf("%s: %w", filepath.Join(dir, summaryFile), err)
		}
		sum, err := Check(dir)
		if err != nil {
			return nil, err
		}
		sum.Joined = kept.Joined
		s, err := script.Load(filepath.Join(dir, "script.yaml"))
		if err != nil {
			return nil, err
		}
		events, err := readEvents(dir, s)
		if err != nil {
			return nil, err
		}
		g := sizes[sum.Gatekeepers]
		if g == nil {
			g = &gathered{noticed: map[string][]float64{}, agreed: map[string][]float64{}}
			g.Gatekeepers, g.Missing = sum.Gatekeepers, map[string]int{}
			sizes[sum.Gatekeepers] = g
		}
		g.take(sum, s, events)
	}
	var out []Size
	for _, g := range sizes {
		out = append(out, g.size())
	}
	slices.SortFunc(out, func(a, b Size) int { return cmp.Compare(a.Gatekeepers, b.Gatekeepers) })
	return out, nil
}

type gathered struct {
	Size
	joined, packets, bytes, cpu, memory []float64
	noticed, agreed                     map[string][]float64
}

func (g *gathered) take(sum *Summary, s *script.Script, events []fleetcheck.Event) {
	g.Runs++
	if sum.Verdict == "held" {
		g.Held++
	}
	if sum.Joined > 0 {
		g.joined = append(g.joined, sum.Joined)
	}
	var calm []span
	for _, f := range sum.Faults {
		calm = append(calm, span{f.From, f.To + calmAfter})
		number, rest, _ := strings.Cut(f.Fault, " ")
		kind, _, _ := strings.Cut(rest, " ")
		name := number + " " + kind
		if f.Noticed >= 0 {
			g.noticed[name] = append(g.noticed[name], float64(f.Noticed)/1e6)
		}
		if f.Agreed >= 0 {
			g.agreed[name] = append(g.agreed[name], float64(f.Agreed)/1e6)
		} else if s.Fleet {
			g.Missing[name]++
		}
	}
	quiet := func(at control.Micros) bool {
		return !slices.ContainsFunc(calm, func(s span) bool { return at >= s.from && at <= s.to })
	}
	type sample struct {
		at             control.Micros
		packets, bytes float64
	}
	last, started := map[string]sample{}, map[string]control.Micros{}
	rates := map[string]*[3]float64{} // packets, bytes, microseconds
	ending := map[string]bool{}
	for _, e := range events {
		switch e.Kind {
		case fleetcheck.Ready:
			started[e.Process] = e.At
			delete(ending, e.Process)
		case fleetcheck.StopRequested:
			ending[e.Process] = true
		case fleetcheck.Stopped:
			if m := usedIn.FindStringSubmatch(e.What); m != nil && e.At-started[e.Process] > 5e6 {
				cpu, _ := strconv.ParseFloat(m[1], 64)
				kib, _ := strconv.ParseFloat(m[2], 64)
				g.cpu = append(g.cpu, cpu/(float64(e.At-started[e.Process])/1e6))
				g.memory = append(g.memory, kib/1024)
			}
		case fleetcheck.ViewRead:
			var now sample
			now.at = e.At
			fmt.Sscan(e.Class, &now.packets, &now.bytes)
			was, ok := last[e.Process]
			last[e.Process] = now
			if ok && now.packets >= was.packets && quiet(was.at) && quiet(now.at) && now.at-was.at < leastSpan {
				r := rates[e.Process]
				if r == nil {
					r = &[3]float64{}
					rates[e.Process] = r
				}
				r[0] += now.packets - was.packets
				r[1] += now.bytes - was.bytes
				r[2] += float64(now.at - was.at)
			}
		case fleetcheck.Logged:
			if !quiet(e.At) || ending[e.Process] || started[e.Process] == 0 {
				continue
			}
			if e.What == "fleet: member given up" {
				g.GivenUp++
			} else if strings.HasPrefix(e.What, "fleet: member changed") && e.Level == "info" && e.Health == "suspect" {
				g.Suspicions++
			}
		}
	}
	for _, r := range rates {
		if r[2] >= float64(leastSpan) {
			g.packets = append(g.packets, r[0]/r[2]*1e6)
			g.bytes = append(g.bytes, r[1]/r[2]*1e6)
			g.CalmHours += r[2] / 3600e6
		}
	}
}

// span is a time in which something was wrong.
type span struct{ from, to control.Micros }

func (g *gathered) size() Size {
	s := g.Size
	s.Joined, s.Packets, s.Bytes, s.CPU, s.Memory = spread(g.joined), spread(g.packets), spread(g.bytes), spread(g.cpu), spread(g.memory)
	s.Noticed, s.Agreed = map[string]Spread{}, map[string]Spread{}
	for name, v := range g.noticed {
		s.Noticed[name] = spread(v)
	}
	for name, v := range g.agreed {
		s.Agreed[name] = spread(v)
	}
	return s
}

// CompareTable gives sizes as text: medians, and the least and most in parentheses.
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
	row("views agree after the start, s", func(s Size) string { return s.Joined.String() })
	names := map[string]bool{}
	for _, s := range sizes {
		for name := range s.Agreed {
			names[name] = true
		}
		for name := range s.Missing {
			names[name] = true
		}
	}
	for _, name := range sorted(names) {
		row(name+": noticed by all, s", func(s Size) string { return s.Noticed[name].String() })
		row(name+": views agree again, s", func(s Size) string {
			text := s.Agreed[name].String()
			if n := s.Missing[name]; n > 0 {
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

func sorted(names map[string]bool) []string {
	out := make([]string, 0, len(names))
	for name := range names {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// ComparePlot draws what a member's gossip sends against the size of the fleet, as SVG.
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
