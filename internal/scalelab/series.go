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

// Series is one figure against the number of gatekeepers, as docs/measured/scale.json holds it.
type Series struct {
	Name    string  `json:"name"`
	Unit    string  `json:"unit"`
	Of      string  `json:"of"`   // gatekeepers, control machines, or settings
	With    string  `json:"with"` // what the gatekeepers have beside configuration
	Command string  `json:"command"`
	Date    string  `json:"date"`
	Beside  string  `json:"beside"`
	Points  []Point `json:"points"`

	words  []string   // what the runs said ran beside them, each once
	others [2]float64 // cores that other processes used: least and most over the runs
}

// seriesCommand is the command without what differs from run to run.
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

// beside says what else ran, in the run's words and as the machine's counters had it.
func (s *Series) beside(r *Report) {
	if len(s.Points) == 0 {
		s.others = [2]float64{r.Machine.OtherCores, r.Machine.OtherCores}
	}
	s.others[0], s.others[1] = min(s.others[0], r.Machine.OtherCores), max(s.others[1], r.Machine.OtherCores)
	s.Beside = fmt.Sprintf("other processes used %.1f to %.1f of %d cores", s.others[0], s.others[1], r.Machine.Cores)
	if r.Beside != "" && !slices.Contains(s.words, r.Beside) {
		s.words = append(s.words, r.Beside)
	}
	s.Beside = strings.Join(append(slices.Clone(s.words), s.Beside), "; ")
}

// Point is one size: a value for each seed, in the seeds' order.
type Point struct {
	N      int       `json:"n"`
	Values []float64 `json:"values"`
	Seeds  []uint64  `json:"seeds"`
}

// SeriesFile is the file.
type SeriesFile struct {
	Series    []Series   `json:"series"`
	FaultRuns []FaultRun `json:"fault_runs"`
}

// FaultRun is a run with faults.
type FaultRun struct {
	Faults      []FaultReport  `json:"faults"`
	N           int            `json:"n"`
	Seed        uint64         `json:"seed"`
	Held        bool           `json:"held"`
	Broken      map[string]int `json:"broken"` // rules, with how often
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
	OtherCores  float64        `json:"other_cores"` // used by everything else on the machine
	Command     string         `json:"command"`
	Date        string         `json:"date"`
	Program     string         `json:"program"`
}

// faultRunOf takes from a report what a table of failures needs.
func faultRunOf(r *Report) FaultRun {
	f := FaultRun{Faults: r.Faults, N: r.Shape.Gatekeepers, Seed: r.Shape.Seed, Held: r.Passed(), Broken: map[string]int{}, Changes: r.Settings.Changes,
		CommitP99S: r.Settings.FromCommit.P99, CommitMaxS: r.Settings.FromCommit.Max, HealedP99S: r.Settings.Healed.P99, HealedMaxS: r.Settings.Healed.Max,
		StartMaxS: r.Gatekeepers.StartToInForce.Max, Refusals: r.Settings.Refusals, StuckCutOff: r.Settings.CutOff, StuckLeft: r.Settings.StuckNotCut,
		ControlCPU: r.Control.CPUShare.Max, ControlRSS: r.Control.ResidentBytes.Max, OtherCores: r.Machine.OtherCores,
		Command: seriesCommand(r.Command), Date: r.Date, Program: r.Program}
	for rule, n := range r.Judge.Counts {
		if n > 0 {
			f.Broken[rule] = n
		}
	}
	return f
}

// figure reads one figure of a report.
type figure struct {
	name, unit, of string
	read           func(r *Report) (float64, bool)
}

// spread gives three figures of a spread: the name with _p50, _p99 and _max.
func spreadFigures(name, unit, of string, read func(r *Report) Spread) []figure {
	part := func(suffix string, value func(s Spread) float64) figure {
		return figure{name + suffix, unit, of, func(r *Report) (float64, bool) {
			s := read(r)
			return value(s), s.Of > 0 && s.Max > 0
		}}
	}
	return []figure{part("_p50", func(s Spread) float64 { return s.P50 }), part("_p99", func(s Spread) float64 { return s.P99 }),
		part("_max", func(s Spread) float64 { return s.Max })}
}

const (
	ofGatekeepers = "gatekeepers"
	ofControl     = "control machines"
	ofSettings    = "settings"
)

func figures() []figure {
	spreads := []struct {
		name, unit, of string
		read           func(r *Report) Spread
	}{
		{"settings_bytes_per_s_received", "B/s", ofGatekeepers, func(r *Report) Spread { return r.Gatekeepers.ReceivedPerS }},
		{"settings_bytes_per_s_sent", "B/s", ofGatekeepers, func(r *Report) Spread { return r.Gatekeepers.SentPerS }},
		{"gossip_bytes_per_s_sent", "B/s", ofGatekeepers, func(r *Report) Spread { return r.Gatekeepers.GossipPerS }},
		{"lease_bytes_per_s", "B/s", ofGatekeepers, func(r *Report) Spread { return r.Gatekeepers.LeasesPerS }},
		{"cpu_share", "cores", ofGatekeepers, func(r *Report) Spread { return r.Gatekeepers.CPUShare }},
		{"heap", "B", ofGatekeepers, func(r *Report) Spread { return r.Gatekeepers.HeapBytes }},
		{"resident", "B", ofGatekeepers, func(r *Report) Spread { return r.Gatekeepers.ResidentBytes }},
		{"goroutines", "1", ofGatekeepers, func(r *Report) Spread { return r.Gatekeepers.Goroutines }},
		{"descriptors", "1", ofGatekeepers, func(r *Report) Spread { return r.Gatekeepers.Descriptors }},
		{"start_to_in_force", "s", ofGatekeepers, func(r *Report) Spread { return r.Gatekeepers.StartToInForce }},
		{"cpu_share", "cores", ofControl, func(r *Report) Spread { return r.Control.CPUShare }},
		{"resident", "B", ofControl, func(r *Report) Spread { return r.Control.ResidentBytes }},
		{"heap", "B", ofControl, func(r *Report) Spread { return r.Control.HeapBytes }},
		{"goroutines", "1", ofControl, func(r *Report) Spread { return r.Control.Goroutines }},
		{"descriptors", "1", ofControl, func(r *Report) Spread { return r.Control.Descriptors }},
		{"bytes_per_s_read", "B/s", ofControl, func(r *Report) Spread { return r.Control.ReadPerS }},
		{"bytes_per_s_written", "B/s", ofControl, func(r *Report) Spread { return r.Control.WrittenPerS }},
		{"sessions", "1", ofControl, func(r *Report) Spread { return r.Control.Sessions }},
		{"in_force_from_commit", "s", ofSettings, func(r *Report) Spread { return r.Settings.FromCommit }},
		{"in_force_from_put", "s", ofSettings, func(r *Report) Spread { return r.Settings.FromPut }},
		{"put", "s", ofSettings, func(r *Report) Spread { return r.Settings.PutCommit }},
	}
	var all []figure
	for _, s := range spreads {
		all = append(all, spreadFigures(s.name, s.unit, s.of, s.read)...)
	}
	return append(all,
		figure{"sessions_max_over_share", "1", ofControl, func(r *Report) (float64, bool) { return r.Control.MaxOverShare, r.Shape.Control > 0 }},
		figure{"session_bytes_per_s_sent", "B/s", ofControl, func(r *Report) (float64, bool) { return r.Control.SessionsPerS, r.Shape.Control > 0 }},
		figure{"registers_that_count_part_mean", "part", ofGatekeepers, func(r *Report) (float64, bool) { return r.Membership.Fresh.Mean, r.Membership.Fresh.Of > 0 }},
		figure{"all_met", "s", ofGatekeepers, func(r *Report) (float64, bool) { return r.Membership.AllMetS, r.Membership.AllMetS > 0 }},
		figure{"fewest_met", "1", ofGatekeepers, func(r *Report) (float64, bool) { return float64(r.Membership.FewestUp), r.Shape.Control == 0 }},
	)
}

// SeriesOf puts the reports of runs without faults together, by what the gatekeepers had, and lists those with faults. A run
// that was stopped is refused, and one without faults that broke a rule: its figures are not to be used.
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
			return nil, fmt.Errorf("%s: stopped, or a rule broken: not for a series", r.Command)
		case len(r.Faults) > 0:
			file.FaultRuns = append(file.FaultRuns, faultRunOf(r))
			continue
		}
		for _, f := range figures() {
			if value, ok := f.read(r); ok {
				file.add(r, f, value)
			}
		}
	}
	return file, nil
}

func (file *SeriesFile) add(r *Report, f figure, value float64) {
	with := strings.Join(r.Shape.With, "+")
	at := slices.IndexFunc(file.Series, func(s Series) bool { return s.Name == f.name && s.Of == f.of && s.With == with })
	if at < 0 {
		at = len(file.Series)
		file.Series = append(file.Series, Series{Name: f.name, Unit: f.unit, Of: f.of, With: with})
	}
	s := &file.Series[at]
	s.Command, s.Date = seriesCommand(r.Command), r.Date
	s.beside(r)
	if n := len(s.Points); n == 0 || s.Points[n-1].N != r.Shape.Gatekeepers {
		s.Points = append(s.Points, Point{N: r.Shape.Gatekeepers})
	}
	p := &s.Points[len(s.Points)-1]
	p.Values, p.Seeds = append(p.Values, value), append(p.Seeds, r.Shape.Seed)
}

// Marshal writes the file with a line for each point, so that a change of one is seen in a comparison.
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

// separator is what stands between the parts of a list, "" for none.
func separator(left int) string {
	if left == 0 {
		return ""
	}
	return ","
}

// LoadReports reads reports that runs have written.
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
