// Package latencylab measures what one call costs: the added latency and processor time of a gatekeeper process, and the time
// of the pure steps that a call or a renewal runs, at growing sizes. All of it runs on loopback and ends by itself.
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

// Point holds the measured values of one series at one size, one value for each repetition.
type Point struct {
	N      int       `json:"n"`
	Values []float64 `json:"values"`
	Note   string    `json:"note,omitempty"` // why values are missing or not comparable
}

// Series is one figure measured against a size. Other programs fit a cost model to it.
type Series struct {
	Name    string  `json:"name"`
	Unit    string  `json:"unit"`
	Of      string  `json:"of"`      // what Point.N counts
	Command string  `json:"command"` // that gave it
	Date    string  `json:"date"`    // UTC, YYYY-MM-DD
	Beside  string  `json:"beside"`  // what else ran on the machine
	Points  []Point `json:"points"`
}

// Report is the content of a JSON file of measurements.
type Report struct {
	Series []Series `json:"series"`
	Fits   []Fit    `json:"fits,omitempty"`
	Runs   []*Run   `json:"runs,omitempty"`
}

// Stamp sets the commands, the date and what ran beside the measurement on all series. Where the report holds runs, what ran
// beside them is taken from the load averages that they noted.
func (r *Report) Stamp(command, beside string, now time.Time) {
	if len(r.Runs) > 0 {
		beside = besideRuns(r.Runs)
	}
	for i := range r.Series {
		r.Series[i].Command, r.Series[i].Beside = command, beside
		r.Series[i].Date = now.UTC().Format(time.DateOnly)
	}
}

// Command gives the command that the series of a report came by; "" where it has none.
func (r *Report) Command() string {
	if len(r.Series) == 0 {
		return ""
	}
	return r.Series[0].Command
}

// besideRuns tells what ran on the machine beside runs: the load averages before them, and what its host took from it.
func besideRuns(runs []*Run) string {
	least, most := math.Inf(1), 0.0
	mostStolen := 0.0
	for _, r := range runs {
		first, _, _ := strings.Cut(r.Load, " ")
		if load, err := strconv.ParseFloat(first, 64); err == nil {
			least, most = min(least, load), max(most, load)
		}
		mostStolen = max(mostStolen, r.StealCores)
	}
	text := fmt.Sprintf("load average (1 min) of %d cores before the %d runs: %.1f to %.1f", runtime.NumCPU(), len(runs), least, most)
	if mostStolen > 0 { // runs of earlier versions do not tell it
		text += fmt.Sprintf("; the host took up to %.1f cores", mostStolen)
	}
	return text
}

// WriteFile writes the report as indented JSON.
func (r *Report) WriteFile(path string) error {
	text, err := json.MarshalIndent(r, "", " ")
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

// LoadAverage reads the machine's load average over 1 and 5 minutes.
func LoadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return "unknown"
	}
	return fields[0] + " and " + fields[1]
}

// DescribeLoad describes what else ran, from the load averages before and after a measurement.
func DescribeLoad(before, after string, cores int) string {
	return fmt.Sprintf("load average (1 min, 5 min) of %d cores: %s before, %s after", cores, before, after)
}
