package scalelab

import (
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
}

// Point is one size: a value for each seed, in the seeds' order.
type Point struct {
	N      int       `json:"n"`
	Values []float64 `json:"values"`
	Seeds  []uint64  `json:"seeds"`
}

// SeriesFile is the file.
type SeriesFile struct {
	Series []Series `json:"series"`
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
		figure{"all_met", "s", ofGatekeepers, func(r *Report) (float64, bool) { return r.Membership.AllMetS, r.Shape.Control == 0 }},
		figure{"fewest_met", "1", ofGatekeepers, func(r *Report) (float64, bool) { return float64(r.Membership.FewestUp), r.Shape.Control == 0 }},
	)
}

// SeriesOf puts the reports of runs without faults together, by what the gatekeepers had. A run that was stopped, or broke a
// rule, is refused: its figures are not to be used.
func SeriesOf(reports []*Report) (*SeriesFile, error) {
	file := &SeriesFile{Series: []Series{}}
	reports = slices.Clone(reports)
	slices.SortStableFunc(reports, func(a, b *Report) int {
		return cmp.Or(cmp.Compare(strings.Join(a.Shape.With, "+"), strings.Join(b.Shape.With, "+")),
			cmp.Compare(a.Shape.Gatekeepers, b.Shape.Gatekeepers), cmp.Compare(a.Shape.Seed, b.Shape.Seed))
	})
	for _, r := range reports {
		if !r.Held() || len(r.Faults) > 0 {
			return nil, fmt.Errorf("%s: stopped, a rule broken, or with faults: not for a series", r.Command)
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
	s.Command, s.Date, s.Beside = r.Command, r.Date, r.Beside
	if n := len(s.Points); n == 0 || s.Points[n-1].N != r.Shape.Gatekeepers {
		s.Points = append(s.Points, Point{N: r.Shape.Gatekeepers})
	}
	p := &s.Points[len(s.Points)-1]
	p.Values, p.Seeds = append(p.Values, value), append(p.Seeds, r.Shape.Seed)
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
