package capacity

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
)

// File is one file of measured series, as it lies in docs/measured.
type File struct {
	Series    []Series   `json:"series"`
	FaultRuns []FaultRun `json:"fault_runs,omitempty"`
}

// Series is what was measured of one cost at several sizes.
type Series struct {
	Name    string  `json:"name"`
	Unit    string  `json:"unit"`    // of the values
	Of      string  `json:"of"`      // what the size counts: members, records, servers known
	Command string  `json:"command"` // that measures it again
	Date    string  `json:"date"`    // YYYY-MM-DD
	Beside  string  `json:"beside"`  // what else ran on the machine
	Points  []Point `json:"points"`  // by growing size

	// With is what the measured processes had beside the mechanism. A file that has this key uses a name for several
	// series, which are told apart by Of and With.
	With *string `json:"with,omitempty"`
}

// Key is the name by which formulas know the series.
func (s *Series) Key() string {
	if s.With == nil {
		return s.Name
	}
	key := s.Name + " of " + s.Of
	if *s.With != "" {
		key += " with " + *s.With
	}
	return key
}

// Point is one size, with a value of each repetition. Without values it says by its note why there are none, and counts as
// a size that was not run.
type Point struct {
	N      float64   `json:"n"`
	Values []float64 `json:"values"`
	Note   string    `json:"note,omitempty"`
}

// Median of the repetitions. It is what a law is fitted to: one slow repetition on a busy machine does not move it.
func (p Point) Median() float64 {
	values := slices.Clone(p.Values)
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}

// Spread is the distance between the greatest and the least value, as a part of the median; 0 where the median is 0.
func (p Point) Spread() float64 {
	median := math.Abs(p.Median())
	if median == 0 {
		return 0
	}
	return (slices.Max(p.Values) - slices.Min(p.Values)) / median
}

// ParseFile reads a file of series, checks each of them and drops the sizes without values. Other keys of the file (single
// runs, fits of the measuring command) are passed over.
func ParseFile(name string, text []byte) (*File, error) {
	var f File
	if err := decode(name, text, &f); err != nil {
		return nil, err
	}
	for i := range f.Series {
		if err := f.Series[i].check(); err != nil {
			return nil, &FileError{File: name, Err: err}
		}
		f.Series[i].Points = slices.DeleteFunc(f.Series[i].Points, func(p Point) bool { return len(p.Values) == 0 })
	}
	return &f, nil
}

func decode(name string, text []byte, into any) error {
	if err := json.Unmarshal(text, into); err != nil {
		return &FileError{File: name, Err: err}
	}
	return nil
}

func (s *Series) check() error {
	for _, field := range []struct{ name, value string }{{"name", s.Name}, {"unit", s.Unit}, {"of", s.Of},
		{"command", s.Command}, {"date", s.Date}, {"beside", s.Beside}} {
		if field.value == "" {
			return fmt.Errorf("series %q: key %s is absent or empty", s.Name, field.name)
		}
	}
	if len(s.Points) == 0 {
		return fmt.Errorf("series %q: no points", s.Name)
	}
	last := -1.0
	for _, p := range s.Points {
		if p.N < 0 || !(p.N > last) || math.IsInf(p.N, 0) {
			return fmt.Errorf("series %q: size %v after %v: sizes are at least 0 and grow", s.Name, p.N, last)
		}
		last = p.N
		if len(p.Values) == 0 && p.Note == "" {
			return fmt.Errorf("series %q: neither values nor a note at size %v", s.Name, p.N)
		}
		for _, v := range p.Values {
			if math.IsNaN(v) || math.IsInf(v, 0) {
				return fmt.Errorf("series %q: value %v at size %v is no number", s.Name, v, p.N)
			}
		}
	}
	return nil
}

// FileError says which of the page's files is at fault.
type FileError struct {
	File string
	Err  error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Err) }

func (e *FileError) Unwrap() error { return e.Err }

// Advice implements advice.Error.
func (e *FileError) Advice() string {
	return "correct the file, or measure the series again with the command that it names"
}
