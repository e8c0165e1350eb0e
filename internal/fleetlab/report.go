package fleetlab

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-analyze/charts"

	"beammux/control"
	"beammux/internal/fleetcheck"
)

// writeReport writes the table and the plots of a run into its folder: report.txt, course.svg and course.png.
func (s *Summary) writeReport(dir string) error {
	if err := os.WriteFile(filepath.Join(dir, "report.txt"), []byte(s.Table()), 0o644); err != nil {
		return err
	}
	if len(s.Course) < 2 {
		return nil
	}
	for kind, name := range map[string]string{charts.ChartOutputSVG: "course.svg", charts.ChartOutputPNG: "course.png"} {
		image, err := s.plot(kind)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, name), image, 0o644)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// Table formats the result of a run as text: the outcomes of calls, each fault with its recovery time, and each rule.
func (s *Summary) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d gatekeepers, %d servers, %d zones; rules %s", s.Seed, s.Gatekeepers, s.Servers, s.Zones, s.Verdict)
	if s.Stopped {
		b.WriteString(" (stopped before its time)")
	}
	b.WriteString("\n")
	if o := s.Outcome; o != nil {
		fmt.Fprintf(&b, "worth served %.3f of %.0f; first calls %d; set-up delay p50 %.3f s, p99 %.3f s\n", o.ServedShare, o.Offered, o.First, o.P50, o.P99)
	}
	t := s.Stats
	fmt.Fprintf(&b, "tries %d: stood %d, refused %d, failed %d, unanswered %d, connection ended %d; found no gatekeeper %d; set-ups to gated servers %d\n",
		t.Tries, t.Established, t.Refused, t.Failed, t.Unanswered, t.Broken, t.Unsent, t.Gated)
	if len(s.StartTimes) > 0 {
		fmt.Fprintf(&b, "ready after: first start %.2f to %.2f s\n", slices.Min(s.StartTimes), slices.Max(s.StartTimes))
	}
	if s.AgreedAfter > 0 {
		fmt.Fprintf(&b, "all views of the fleet agree %.2f s after all were ready\n", s.AgreedAfter)
	}
	if d := s.Disturbance; d.Count > 0 {
		fmt.Fprintf(&b, "disturbance: held up for a processor %d times, the longest %d ms (%s)\n", d.Count, d.Longest/1000, d.Process)
	}
	w := tabwriter.NewWriter(&b, 0, 4, 2, ' ', 0)
	if len(s.Faults) > 0 {
		fmt.Fprintln(w, "\nfault\tstood before\tduring\tsettled after\tnoticed after\tviews agree after\t")
		for _, f := range s.Faults {
			settled := "not in the run"
			if f.SettleTime >= 0 {
				settled = fmt.Sprintf("%.1f s", float64(f.SettleTime)/1e6)
			}
			note := ""
			if f.Overlapped {
				note = "beside another"
			}
			fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%s\t%s\t%s\t%s\n", f.Fault, f.ShareBefore, f.ShareDuring, settled, seconds(f.Noticed), seconds(f.Agreed), note)
		}
	}
	fmt.Fprintln(w, "\nrule\tverdict\tbroken\texcused\t")
	for _, f := range s.Findings {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", f.Rule, f.Verdict, f.Count, f.Excused, f.Why)
	}
	w.Flush()
	if s.First != nil {
		fmt.Fprintf(&b, "\nfirst broken: %s\n  at %s: %s\n", s.Rule, time.UnixMicro(int64(s.First.At)).UTC().Format("15:04:05.000000"), s.First)
	}
	return b.String()
}

// seconds formats a duration in seconds, or "-" if it is negative (never).
func seconds(t control.Micros) string {
	if t < 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f s", float64(t)/1e6)
}

const bucketsPerPoint = 5 // buckets of the time series per point of the plot, that is half a second

// plot plots the outcomes of the tries sent in each half second and the number of active faults.
func (s *Summary) plot(kind string) ([]byte, error) {
	names := []string{"stood", "refused", "failed or unanswered", "faults on"}
	values := make([][]float64, len(names))
	var labels []string
	for i := 0; i < len(s.Course); i += bucketsPerPoint {
		var sum fleetcheck.Bucket
		for _, b := range s.Course[i:min(i+bucketsPerPoint, len(s.Course))] {
			sum.Established += b.Established
			sum.Refused += b.Refused
			sum.Failed += b.Failed + b.Lost
		}
		at := s.Course[i].At
		on := 0
		for _, f := range s.Faults {
			if f.From < at+5e5 && (f.To == 0 || f.To > at) {
				on++
			}
		}
		for k, v := range []int{sum.Established, sum.Refused, sum.Failed, on} {
			values[k] = append(values[k], float64(v))
		}
		labels = append(labels, fmt.Sprintf("%.1f", float64(at-s.Course[0].At)/1e6))
	}
	p, err := charts.LineRender(values,
		charts.TitleTextOptionFunc(fmt.Sprintf("Tries sent in each half second, by what became of them (seed %d, %d gatekeepers)", s.Seed, s.Gatekeepers)),
		charts.XAxisLabelsOptionFunc(labels),
		charts.LegendLabelsOptionFunc(names),
		charts.DimensionsOptionFunc(1200, 500),
		func(o *charts.ChartOption) {
			o.OutputFormat = kind
			o.Symbol.Shape = charts.SymbolNone
			o.LineStrokeWidth = 1.5
			o.Legend.Offset = charts.OffsetStr{Left: charts.PositionRight, Top: "24"}
			o.XAxis.LabelCount = min(len(labels), 20)
		})
	if err != nil {
		return nil, err
	}
	return p.Bytes()
}
