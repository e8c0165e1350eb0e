// Package latencylab measures the cost of a call: the added latency and processor time of a gatekeeper process, and the
// duration of the computations behind a call or a lease renewal at growing sizes. All measurements run on loopback and end by
// themselves.
package latencylab

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"
)

// Point holds the measured values of a series at one size, one value for each repetition.
type Point struct {
	N      int       `json:"n"`
	Values []float64 `json:"values"`
	Note   string    `json:"note,omitempty"` // why values are missing or not comparable
}

// Series is a quantity measured as a function of a size. Other programs fit a cost model to it.
type Series struct {
	Name    string  `json:"name"`
	Unit    string  `json:"unit"`
	Of      string  `json:"of"`      // what Point.N counts
	Command string  `json:"command"` // command that measured it
	Date    string  `json:"date"`    // UTC, YYYY-MM-DD
	Beside  string  `json:"beside"`  // other load on the machine
	Points  []Point `json:"points"`
}

// Report is the content of a JSON file of measurements.
type Report struct {
	Series []Series `json:"series"`
	Fits   []Fit    `json:"fits,omitempty"`
	Runs   []*Run   `json:"runs,omitempty"`
}

// Stamp sets the command, the date and the description of other load on all series. If the report has runs, the description
// is derived from the load averages that they recorded.
func (report *Report) Stamp(command, otherLoad string, now time.Time) {
	if len(report.Runs) > 0 {
		otherLoad = describeRunLoad(report.Runs)
	}
	for i := range report.Series {
		report.Series[i].Command, report.Series[i].Beside = command, otherLoad
		report.Series[i].Date = now.UTC().Format(time.DateOnly)
	}
}

// Command returns the command that measured the report's series, or "" if there are none.
func (report *Report) Command() string {
	if len(report.Series) == 0 {
		return ""
	}
	return report.Series[0].Command
}

// describeRunLoad describes the other load on the machine: the range of load averages before the runs, and the highest steal
// time.
func describeRunLoad(runs []*Run) string {
	minLoad, maxLoad := math.Inf(1), 0.0
	maxStolen := 0.0
	for _, r := range runs {
		first, _, _ := strings.Cut(r.Load, " ")
		if load, err := strconv.ParseFloat(first, 64); err == nil {
			minLoad, maxLoad = min(minLoad, load), max(maxLoad, load)
		}
		maxStolen = max(maxStolen, r.StealCores)
	}
	text := fmt.Sprintf("load average (1 min) of %d cores before the %d runs: %.1f to %.1f", runtime.NumCPU(), len(runs), minLoad, maxLoad)
	if maxStolen > 0 { // runs of earlier versions do not record it
		text += fmt.Sprintf("; the host took up to %.1f cores", maxStolen)
	}
	return text
}

// WriteFile writes the report as indented JSON.
func (report *Report) WriteFile(path string) error {
	text, err := json.MarshalIndent(report, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// ReadFile reads a report that WriteFile wrote.
func ReadFile(path string) (*Report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	report := &Report{}
	if err := json.Unmarshal(text, report); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return report, nil
}

// LoadAverage returns the machine's load average over 1 and 5 minutes, or "unknown".
func LoadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return "unknown"
	}
	return fields[0] + " and " + fields[1]
}

// DescribeLoad describes the other load on the machine by the load averages before and after a measurement.
func DescribeLoad(before, after string, cores int) string {
	return fmt.Sprintf("load average (1 min, 5 min) of %d cores: %s before, %s after", cores, before, after)
}
