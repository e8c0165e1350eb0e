package capacity

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
)

// File is one file of measured series in docs/measured.
type File struct {
	Series    []Series   `json:"series"`
	FaultRuns []FaultRun `json:"fault_runs,omitempty"`
}

// Series holds the measured values of one cost at several sizes.
type Series struct {
	Name    string  `json:"name"`
	Unit    string  `json:"unit"`    // of the values
	Of      string  `json:"of"`      // items that the size counts: members, records, servers known
	Command string  `json:"command"` // command that repeats the measurement
	Date    string  `json:"date"`    // YYYY-MM-DD
	Beside  string  `json:"beside"`  // other load on the machine during the measurement
	Points  []Point `json:"points"`  // in increasing order of size

	// With names the parts that ran in the measured processes beside the mechanism. A file with this key uses one name for
	// several series, which Of and With distinguish.
	With *string `json:"with,omitempty"`
}

// Key returns the name of the series in formulas.
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

// Point is one size, with one value per repetition. A point without values has a note with the reason, and counts as a size
// that was not measured.
type Point struct {
	N      float64   `json:"n"`
	Values []float64 `json:"values"`
	Note   string    `json:"note,omitempty"`
}

// Median returns the median of the repetitions. Laws are fitted to it because one slow repetition on a busy machine hardly
// changes it.
func (p Point) Median() float64 {
	values := slices.Clone(p.Values)
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}

// Spread returns the difference of the greatest and the least value as a fraction of the median, or 0 if the median is 0.
func (p Point) Spread() float64 {
	median := math.Abs(p.Median())
	if median == 0 {
		return 0
	}
	return (slices.Max(p.Values) - slices.Min(p.Values)) / median
}

// ParseFile decodes a file of series, checks each series, and drops the sizes without values. It ignores other keys of the
// file, such as single runs and fits of the measuring command. name is the file name for errors, which are of type *FileError.
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

// decode unmarshals the JSON text of the named file.
func decode(name string, text []byte, into any) error {
	if err := json.Unmarshal(text, into); err != nil {
		return &FileError{File: name, Err: err}
	}
	return nil
}

// check returns an error if a required key is empty, sizes are not increasing, or a value is missing or not finite.
func (s *Series) check() error {
	for _, field := range []struct{ name, value string }{{"name", s.Name}, {"unit", s.Unit}, {"of", s.Of},
		{"command", s.Command}, {"date", s.Date}, {"beside", s.Beside}} {
		if field.value == "" {
			return fmt.Errorf("series %q: key %s is missing or empty", s.Name, field.name)
		}
	}
	if len(s.Points) == 0 {
		return fmt.Errorf("series %q: no points", s.Name)
	}
	last := -1.0
	for _, p := range s.Points {
		if p.N < 0 || !(p.N > last) || math.IsInf(p.N, 0) {
			return fmt.Errorf("series %q: size %v after %v: sizes must be at least 0 and increasing", s.Name, p.N, last)
		}
		last = p.N
		if len(p.Values) == 0 && p.Note == "" {
			return fmt.Errorf("series %q: size %v has neither values nor a note", s.Name, p.N)
		}
		for _, v := range p.Values {
			if math.IsNaN(v) || math.IsInf(v, 0) {
				return fmt.Errorf("series %q: value %v at size %v is not finite", s.Name, v, p.N)
			}
		}
	}
	return nil
}

// FileError is the error for an invalid file of inputs or series.
type FileError struct {
	File string
	Err  error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Err) }

func (e *FileError) Unwrap() error { return e.Err }

// Advice implements advice.Error.
func (e *FileError) Advice() string {
	return "correct the file, or repeat the measurement with the command given in the series"
}
