// Package latencylab measures what one call costs: the added latency and processor time of a gatekeeper process, and the time
// of the pure steps that a call or a renewal runs, at growing sizes. All of it runs on loopback and ends by itself.
package latencylab

import (
	"encoding/json"
	"fmt"
	"os"
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

// Stamp sets the command, the date and what ran beside the measurement on all series.
func (r *Report) Stamp(command, beside string, now time.Time) {
	for i := range r.Series {
		r.Series[i].Command, r.Series[i].Beside = command, beside
		r.Series[i].Date = now.UTC().Format(time.DateOnly)
	}
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

// Beside describes what else ran, from the load averages before and after a measurement.
func Beside(before, after string, cores int) string {
	return fmt.Sprintf("load average (1 min, 5 min) of %d cores: %s before, %s after; other work ran on the machine", cores, before, after)
}
