package scalelab

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
)

// Series is one figure by number of gatekeepers, as stored in docs/measured/scale.json.
type Series struct {
	Name    string  `json:"name"`
	Unit    string  `json:"unit"`
	Of      string  `json:"of"`   // gatekeepers, control machines, or settings
	With    string  `json:"with"` // what the gatekeepers run besides configuration
	Command string  `json:"command"`
	Date    string  `json:"date"`
	Beside  string  `json:"beside"`
	Points  []Point `json:"points"`

	loadNotes  []string   // distinct Report.Beside texts of the runs
	otherCores [2]float64 // cores used by other processes: minimum and maximum over the runs
}

// seriesCommand returns the command line without the parts that differ between the runs of a series.
func seriesCommand(command string) string {
	var kept []string
	words := strings.Fields(command)
	for i := 0; i < len(words); i++ {
		switch words[i] {
		case "--gatekeepers":
			kept, i = append(kept, words[i], "N"), i+1
		case "--seed":
			kept, i = append(kept, words[i], "SEED"), i+1
		case "--json", "--beside", "--dir":
			for i+1 < len(words) && !strings.HasPrefix(words[i+1], "--") {
				i++
			}
		default:
			kept = append(kept, words[i])
		}
	}
	return strings.Join(kept, " ")
}

// addLoad updates Beside with the other load during a run: its own description and the measured use of cores.
func (s *Series) addLoad(r *Report) {
	if len(s.Points) == 0 {
		s.otherCores = [2]float64{r.Machine.OtherCores, r.Machine.OtherCores}
	}
	s.otherCores[0], s.otherCores[1] = min(s.otherCores[0], r.Machine.OtherCores), max(s.otherCores[1], r.Machine.OtherCores)
	s.Beside = fmt.Sprintf("other processes used %.1f to %.1f of %d cores", s.otherCores[0], s.otherCores[1], r.Machine.Cores)
	if r.Beside != "" && !slices.Contains(s.loadNotes, r.Beside) {
		s.loadNotes = append(s.loadNotes, r.Beside)
	}
	s.Beside = strings.Join(append(slices.Clone(s.loadNotes), s.Beside), "; ")
}

// Point is one number of gatekeepers, with a value for each seed in the order of Seeds.
type Point struct {
	N      int       `json:"n"`
	Values []float64 `json:"values"`
	Seeds  []uint64  `json:"seeds"`
}

// SeriesFile is the content of a series file.
type SeriesFile struct {
	Series    []Series   `json:"series"`
	FaultRuns []FaultRun `json:"fault_runs"`
}

// FaultRun is the summary of a run with faults.
type FaultRun struct {
	Faults      []FaultReport  `json:"faults"`
	N           int            `json:"n"`
	Seed        uint64         `json:"seed"`
	Passed      bool           `json:"held"`
	Violations  map[string]int `json:"broken"` // number of violations by rule
	Changes     int            `json:"changes"`
	CommitP99S  float64        `json:"in_force_from_commit_p99_s"`
	CommitMaxS  float64        `json:"in_force_from_commit_max_s"`
	HealedP99S  float64        `json:"in_force_from_end_of_outage_p99_s"`
	HealedMaxS  float64        `json:"in_force_from_end_of_outage_max_s"`
	StartMaxS   float64        `json:"start_to_in_force_max_s"`
	Refusals    int            `json:"refusals"`
	StuckCutOff int            `json:"stuck_watchers_cut_off"`
	StuckLeft   int            `json:"stuck_watchers_left"`
	ControlCPU  float64        `json:"control_cpu_share_max"`
	ControlRSS  float64        `json:"control_resident_max"`
	OtherCores  float64        `json:"other_cores"` // used by all other processes of the machine
	Command     string         `json:"command"`
	Date        string         `json:"date"`
	Program     string         `json:"program"`
}

// faultRunOf summarizes the report of a run with faults.
func faultRunOf(r *Report) FaultRun {
	f := FaultRun{Faults: r.Faults, N: r.Shape.Gatekeepers, Seed: r.Shape.Seed, Passed: r.Passed(), Violations: map[string]int{}, Changes: r.Settings.Changes,
		CommitP99S: r.Settings.FromCommit.P99, CommitMaxS: r.Settings.FromCommit.Max, HealedP99S: r.Settings.AfterOutage.P99, HealedMaxS: r.Settings.AfterOutage.Max,
		StartMaxS: r.Gatekeepers.StartToInForce.Max, Refusals: r.Settings.Refusals, StuckCutOff: r.Settings.StuckWatchersCutOff, StuckLeft: r.Settings.StuckWatchersLeft,
		ControlCPU: r.Control.CPUShare.Max, ControlRSS: r.Control.ResidentBytes.Max, OtherCores: r.Machine.OtherCores,
		Command: seriesCommand(r.Command), Date: r.Date, Program: r.Program}
	for rule, n := range r.Judge.Counts {
		if n > 0 {
			f.Violations[rule] = n
		}
	}
	return f
}

// figure is one figure of a report. read reports false if the run did not measure it.
type figure struct {
	name, unit, subject string
	read                func(r *Report) (float64, bool)
}

// spreadFigures returns three figures of a distribution: the name with _p50, _p99 and _max.
func spreadFigures(name, unit, subject string, read func(r *Report) Spread) []figure {
	percentile := func(suffix string, value func(s Spread) float64) figure {
		return figure{name + suffix, unit, subject, func(r *Report) (float64, bool) {
			s := read(r)
			return value(s), s.Count > 0 && s.Max > 0
		}}
	}
	return []figure{percentile("_p50", func(s Spread) float64 { return s.P50 }), percentile("_p99", func(s Spread) float64 { return s.P99 }),
		percentile("_max", func(s Spread) float64 { return s.Max })}
}

// Values of Series.Of.
const (
	subjectGatekeepers = "gatekeepers"
	subjectControl     = "control machines"
	subjectSettings    = "settings"
)

// figures returns the figures that make up the series.
func figures() []figure {
	spreads := []struct {
		name, unit, of string
		read           func(r *Report) Spread
	}{
		{"settings_bytes_per_s_received", "B/s", subjectGatekeepers, func(r *Report) Spread { return r.Gatekeepers.ReceivedPerS }},
		{"settings_bytes_per_s_sent", "B/s", subjectGatekeepers, func(r *Report) Spread { return r.Gatekeepers.SentPerS }},
		{"gossip_bytes_per_s_sent", "B/s", subjectGatekeepers, func(r *Report) Spread { return r.Gatekeepers.GossipPerS }},
		{"lease_bytes_per_s", "B/s", subjectGatekeepers, func(r *Report) Spread { return r.Gatekeepers.LeasesPerS }},
		{"cpu_share", "cores", subjectGatekeepers, func(r *Report) Spread { return r.Gatekeepers.CPUShare }},
		{"heap", "B", subjectGatekeepers, func(r *Report) Spread { return r.Gatekeepers.HeapBytes }},
		{"resident", "B", subjectGatekeepers, func(r *Report) Spread { return r.Gatekeepers.ResidentBytes }},
		{"goroutines", "1", subjectGatekeepers, func(r *Report) Spread { return r.Gatekeepers.Goroutines }},
		{"descriptors", "1", subjectGatekeepers, func(r *Report) Spread { return r.Gatekeepers.Descriptors }},
		{"start_to_in_force", "s", subjectGatekeepers, func(r *Report) Spread { return r.Gatekeepers.StartToInForce }},
		{"cpu_share", "cores", subjectControl, func(r *Report) Spread { return r.Control.CPUShare }},
		{"resident", "B", subjectControl, func(r *Report) Spread { return r.Control.ResidentBytes }},
		{"heap", "B", subjectControl, func(r *Report) Spread { return r.Control.HeapBytes }},
		{"goroutines", "1", subjectControl, func(r *Report) Spread { return r.Control.Goroutines }},
		{"descriptors", "1", subjectControl, func(r *Report) Spread { return r.Control.Descriptors }},
		{"bytes_per_s_read", "B/s", subjectControl, func(r *Report) Spread { return r.Control.ReadPerS }},
		{"bytes_per_s_written", "B/s", subjectControl, func(r *Report) Spread { return r.Control.WrittenPerS }},
		{"sessions", "1", subjectControl, func(r *Report) Spread { return r.Control.Sessions }},
		{"in_force_from_commit", "s", subjectSettings, func(r *Report) Spread { return r.Settings.FromCommit }},
		{"in_force_from_put", "s", subjectSettings, func(r *Report) Spread { return r.Settings.FromWrite }},
		{"put", "s", subjectSettings, func(r *Report) Spread { return r.Settings.WriteTime }},
	}
	var all []figure
	for _, s := range spreads {
		all = append(all, spreadFigures(s.name, s.unit, s.of, s.read)...)
	}
	return append(all,
		figure{"sessions_max_over_share", "1", subjectControl, func(r *Report) (float64, bool) { return r.Control.MaxSessionsOverShare, r.Shape.Control > 0 }},
		figure{"session_bytes_per_s_sent", "B/s", subjectControl, func(r *Report) (float64, bool) { return r.Control.SessionBytesPerS, r.Shape.Control > 0 }},
		figure{"registers_that_count_part_mean", "part", subjectGatekeepers, func(r *Report) (float64, bool) {
			return r.Membership.FreshRegisters.Mean, r.Membership.FreshRegisters.Count > 0
		}},
		figure{"all_met", "s", subjectGatekeepers, func(r *Report) (float64, bool) { return r.Membership.AllUpS, r.Membership.AllUpS > 0 }},
		figure{"fewest_met", "1", subjectGatekeepers, func(r *Report) (float64, bool) { return float64(r.Membership.FewestUp), r.Shape.Control == 0 }},
	)
}

// SeriesOf combines the reports of runs without faults into series, grouped by With, and lists the runs with faults. It returns
// an error for a run that was stopped, and for a run without faults that broke a rule: their figures are not valid.
func SeriesOf(reports []*Report) (*SeriesFile, error) {
	file := &SeriesFile{Series: []Series{}, FaultRuns: []FaultRun{}}
	reports = slices.Clone(reports)
	slices.SortStableFunc(reports, func(a, b *Report) int {
		return cmp.Or(cmp.Compare(strings.Join(a.Shape.With, "+"), strings.Join(b.Shape.With, "+")),
			cmp.Compare(a.Shape.Gatekeepers, b.Shape.Gatekeepers), cmp.Compare(a.Shape.Seed, b.Shape.Seed))
	})
	for _, r := range reports {
		switch {
		case r.Stopped || len(r.Faults) == 0 && !r.Passed():
			return nil, fmt.Errorf("%s: the run was stopped or broke a rule and cannot be used for a series", r.Command)
		case len(r.Faults) > 0:
			file.FaultRuns = append(file.FaultRuns, faultRunOf(r))
			continue
		}
		for _, f := range figures() {
			if value, ok := f.read(r); ok {
				file.addPoint(r, f, value)
			}
		}
	}
	return file, nil
}

// addPoint adds the value of one figure of a report to its series.
func (file *SeriesFile) addPoint(r *Report, f figure, value float64) {
	with := strings.Join(r.Shape.With, "+")
	index := slices.IndexFunc(file.Series, func(s Series) bool { return s.Name == f.name && s.Of == f.subject && s.With == with })
	if index < 0 {
		index = len(file.Series)
		file.Series = append(file.Series, Series{Name: f.name, Unit: f.unit, Of: f.subject, With: with})
	}
	s := &file.Series[index]
	s.Command, s.Date = seriesCommand(r.Command), r.Date
	s.addLoad(r)
	if n := len(s.Points); n == 0 || s.Points[n-1].N != r.Shape.Gatekeepers {
		s.Points = append(s.Points, Point{N: r.Shape.Gatekeepers})
	}
	p := &s.Points[len(s.Points)-1]
	p.Values, p.Seeds = append(p.Values, value), append(p.Seeds, r.Shape.Seed)
}

// Marshal encodes the file as JSON with one line per point, so that a diff shows each changed point.
func (file *SeriesFile) Marshal() ([]byte, error) {
	var b bytes.Buffer
	b.WriteString("{\"series\": [\n")
	for i, s := range file.Series {
		points := s.Points
		s.Points = []Point{}
		head, err := json.Marshal(s)
		if err != nil {
			return nil, err
		}
		b.Write(bytes.TrimSuffix(head, []byte("]}")))
		for j, p := range points {
			text, err := json.Marshal(p)
			if err != nil {
				return nil, err
			}
			b.WriteString(separator(j) + "\n  ")
			b.Write(text)
		}
		b.WriteString("]}" + separator(len(file.Series)-1-i) + "\n")
	}
	b.WriteString("],\n\"fault_runs\": [")
	for i, run := range file.FaultRuns {
		text, err := json.Marshal(run)
		if err != nil {
			return nil, err
		}
		b.WriteString(separator(i) + "\n")
		b.Write(text)
	}
	b.WriteString("]}\n")
	return b.Bytes(), nil
}

// separator returns the separator between list elements, "" if none remain.
func separator(remaining int) string {
	if remaining == 0 {
		return ""
	}
	return ","
}

// LoadReports loads the report files of runs.
func LoadReports(files []string) (reports []*Report, err error) {
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		r := &Report{}
		if err := json.Unmarshal(text, r); err != nil {
			return nil, fmt.Errorf("%s: is no report of a run: %w", file, err)
		}
		reports = append(reports, r)
	}
	return reports, nil
}
