// Package script parses the fault scripts of the scale laboratory: which faults are injected, and when. A script is a YAML file, or
// names of kinds joined with "+", each at its default time.
//
//	faults:
//	  - {at: 10s, for: 10s, fault: kill-leader}
//	  - {at: 30s, for: 60s, fault: cut-region, region: r2}
package script

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"beammux/internal/jsonfile"
)

// Kind is the name of a kind of fault.
type Kind string

// The kinds of faults. At, For, Count and Delay are fields of Fault.
const (
	KillLeader   Kind = "kill-leader"   // the leader is killed and started again after For
	KillZone     Kind = "kill-zone"     // two control machines of a zone are killed and started again after For
	CutRegion    Kind = "cut-region"    // a region is partitioned from the others for For
	Latency      Kind = "latency"       // a one-way delay of Delay between regions, for the whole run
	Restart      Kind = "restart"       // Count gatekeepers are restarted, spread over For
	StartAtOnce  Kind = "start-at-once" // all gatekeepers start at the same time
	Refuse       Kind = "refuse"        // a tenth of the gatekeepers refuse every third change within For
	StuckWatcher Kind = "stuck-watcher" // Count watchers never read from their connection, from At on
	PauseControl Kind = "pause-control" // a control machine that is not the leader is suspended for For
	PauseLeader  Kind = "pause-leader"  // the leader is suspended for For
	LoseRack     Kind = "lose-rack"     // Count gatekeepers and one control machine of a zone fail at the same time, for For
	LoseZone     Kind = "lose-zone"     // all gatekeepers and control machines of a zone fail at the same time, for For
	// RemakeControl kills all control machines and removes their data; after For a new group restores the records of a backup.
	RemakeControl Kind = "remake-control"
)

// Limits of a script.
const (
	mostFaults = 100
	mostAt     = time.Hour
	mostDelay  = time.Second
	mostCount  = 100000
)

// Fault is one fault of a script. At is relative to the start of the measured time.
type Fault struct {
	At     time.Duration
	For    time.Duration
	Kind   Kind
	Region string        // of cut-region; "": chosen at random
	Count  int           // of restart, stuck-watcher and lose-rack
	Delay  time.Duration // of latency
}

// usual are the parameters of a fault that is given by its name alone.
var usual = map[Kind]Fault{
	KillLeader:   {At: 10 * time.Second, For: 10 * time.Second},
	KillZone:     {At: 10 * time.Second, For: 20 * time.Second},
	CutRegion:    {At: 10 * time.Second, For: 60 * time.Second},
	Latency:      {Delay: 20 * time.Millisecond},
	Restart:      {At: 5 * time.Second, For: 2 * time.Minute, Count: 240},
	StartAtOnce:  {},
	Refuse:       {At: 5 * time.Second, For: 30 * time.Second},
	StuckWatcher: {At: 5 * time.Second, Count: 4},
	PauseControl: {At: 10 * time.Second, For: 10 * time.Second},
	PauseLeader:  {At: 10 * time.Second, For: 10 * time.Second},
	LoseRack:     {At: 10 * time.Second, For: 20 * time.Second, Count: 40},
	LoseZone:     {At: 10 * time.Second, For: 20 * time.Second},

	RemakeControl: {At: 10 * time.Second, For: 5 * time.Second},
}

// Kinds returns the names of all kinds, sorted.
func Kinds() []string {
	names := make([]string, 0, len(usual))
	for kind := range usual {
		names = append(names, string(kind))
	}
	slices.Sort(names)
	return names
}

// Error is an error in a script.
type Error struct {
	File string // "" for names given on the command line
	Line int    // 0: the error concerns the whole file
	What string
}

func (e *Error) Error() string {
	switch {
	case e.File == "":
		return "--faults: " + e.What
	case e.Line == 0:
		return e.File + ": " + e.What
	}
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.What)
}

// Advice implements advice.Error.
func (e *Error) Advice() string {
	return "give kinds joined with +, or a YAML file; the kinds are " + strings.Join(Kinds(), ", ")
}

// Load parses the value of --faults: "" for no faults, kinds joined with "+", or the name of a file (which contains a "." or a
// "/").
func Load(what string) ([]Fault, error) {
	if what == "" {
		return nil, nil
	}
	if strings.ContainsAny(what, "./") {
		text, err := os.ReadFile(what)
		if err != nil {
			return nil, &Error{File: what, What: "cannot be read: " + err.Error()}
		}
		return Parse(what, text)
	}
	var faults []Fault
	for _, name := range strings.Split(what, "+") {
		fault, ok := usual[Kind(name)]
		if !ok {
			return nil, &Error{What: fmt.Sprintf("%q is no kind of fault%s", name, jsonfile.Hint(name, Kinds()))}
		}
		fault.Kind = Kind(name)
		faults = append(faults, fault)
	}
	return faults, nil
}

// item is a fault as it is written in the file.
type item struct {
	At     string `yaml:"at"`
	For    string `yaml:"for"`
	Fault  string `yaml:"fault"`
	Region string `yaml:"region"`
	Count  int    `yaml:"count"`
	Delay  string `yaml:"delay"`
}

// Parse parses the text of a script file. file is its name, for errors.
func Parse(file string, text []byte) ([]Fault, error) {
	var document struct {
		Faults []yaml.Node `yaml:"faults"`
	}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(&document); err != nil && !errors.Is(err, io.EOF) {
		return nil, &Error{File: file, What: strings.TrimPrefix(err.Error(), "yaml: ")}
	}
	if len(document.Faults) > mostFaults {
		return nil, &Error{File: file, What: fmt.Sprintf("%d faults, the limit is %d", len(document.Faults), mostFaults)}
	}
	var faults []Fault
	for i := range document.Faults {
		fault, err := parseOne(&document.Faults[i])
		if err != nil {
			return nil, &Error{File: file, Line: document.Faults[i].Line, What: err.Error()}
		}
		faults = append(faults, fault)
	}
	return faults, nil
}

func parseOne(node *yaml.Node) (Fault, error) {
	var in item
	text, err := yaml.Marshal(node)
	if err == nil {
		decoder := yaml.NewDecoder(bytes.NewReader(text))
		decoder.KnownFields(true)
		err = decoder.Decode(&in)
	}
	if err != nil {
		return Fault{}, errors.New(strings.TrimPrefix(err.Error(), "yaml: "))
	}
	fault, ok := usual[Kind(in.Fault)]
	if !ok {
		return Fault{}, fmt.Errorf("fault %q is no kind%s", in.Fault, jsonfile.Hint(in.Fault, Kinds()))
	}
	fault.Kind, fault.Region = Kind(in.Fault), in.Region
	if in.Count < 0 || in.Count > mostCount {
		return Fault{}, fmt.Errorf("count is %d, must be 0 to %d", in.Count, mostCount)
	}
	if in.Count > 0 {
		fault.Count = in.Count
	}
	for _, span := range []struct {
		name, text string
		to         *time.Duration
		most       time.Duration
	}{{"at", in.At, &fault.At, mostAt}, {"for", in.For, &fault.For, mostAt}, {"delay", in.Delay, &fault.Delay, mostDelay}} {
		if span.text == "" {
			continue
		}
		d, err := time.ParseDuration(span.text)
		if err != nil || d < 0 || d > span.most {
			return Fault{}, fmt.Errorf("%s is %q, must be a duration from 0 to %v, such as 10s", span.name, span.text, span.most)
		}
		*span.to = d
	}
	return fault, nil
}

// End returns the time at which the last fault of a script ends.
func End(faults []Fault) (end time.Duration) {
	for _, fault := range faults {
		end = max(end, fault.At+fault.For)
	}
	return end
}

// Has reports whether a script contains a fault of the kind.
func Has(faults []Fault, kind Kind) bool {
	return slices.ContainsFunc(faults, func(f Fault) bool { return f.Kind == kind })
}
