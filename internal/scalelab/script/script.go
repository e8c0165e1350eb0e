// Package script parses the fault scripts of the scale laboratory: which faults are injected, and when. A script is a YAML file,
// or names of kinds joined with "+", each at its default time.
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
	maxFaults = 100
	maxTime   = time.Hour
	maxDelay  = time.Second
	maxCount  = 100000
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

// defaultFaults are the parameters of a fault that is given by its name alone.
var defaultFaults = map[Kind]Fault{
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
	names := make([]string, 0, len(defaultFaults))
	for kind := range defaultFaults {
		names = append(names, string(kind))
	}
	slices.Sort(names)
	return names
}

// Error is an error in a script.
type Error struct {
	File    string // "" for names given on the command line
	Line    int    // 0: the error concerns the whole file
	Message string
}

func (e *Error) Error() string {
	switch {
	case e.File == "":
		return "--faults: " + e.Message
	case e.Line == 0:
		return e.File + ": " + e.Message
	}
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Message)
}

// Advice implements advice.Error.
func (e *Error) Advice() string {
	return "give kinds joined with +, or a YAML file; the kinds are " + strings.Join(Kinds(), ", ")
}

// Load parses the value of --faults: "" for no faults, kinds joined with "+", or the name of a file (which contains a "." or a
// "/").
func Load(spec string) ([]Fault, error) {
	if spec == "" {
		return nil, nil
	}
	if strings.ContainsAny(spec, "./") {
		text, err := os.ReadFile(spec)
		if err != nil {
			return nil, &Error{File: spec, Message: "cannot be read: " + err.Error()}
		}
		return Parse(spec, text)
	}
	var faults []Fault
	for _, name := range strings.Split(spec, "+") {
		fault, ok := defaultFaults[Kind(name)]
		if !ok {
			return nil, &Error{Message: fmt.Sprintf("%q is no kind of fault%s", name, jsonfile.Hint(name, Kinds()))}
		}
		fault.Kind = Kind(name)
		faults = append(faults, fault)
	}
	return faults, nil
}

// faultItem is a fault as it is written in the file.
type faultItem struct {
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
		return nil, &Error{File: file, Message: strings.TrimPrefix(err.Error(), "yaml: ")}
	}
	if len(document.Faults) > maxFaults {
		return nil, &Error{File: file, Message: fmt.Sprintf("%d faults, the limit is %d", len(document.Faults), maxFaults)}
	}
	var faults []Fault
	for i := range document.Faults {
		fault, err := parseFault(&document.Faults[i])
		if err != nil {
			return nil, &Error{File: file, Line: document.Faults[i].Line, Message: err.Error()}
		}
		faults = append(faults, fault)
	}
	return faults, nil
}

// parseFault parses one fault of a script file.
func parseFault(node *yaml.Node) (Fault, error) {
	var item faultItem
	text, err := yaml.Marshal(node)
	if err == nil {
		decoder := yaml.NewDecoder(bytes.NewReader(text))
		decoder.KnownFields(true)
		err = decoder.Decode(&item)
	}
	if err != nil {
		return Fault{}, errors.New(strings.TrimPrefix(err.Error(), "yaml: "))
	}
	fault, ok := defaultFaults[Kind(item.Fault)]
	if !ok {
		return Fault{}, fmt.Errorf("fault %q is no kind%s", item.Fault, jsonfile.Hint(item.Fault, Kinds()))
	}
	fault.Kind, fault.Region = Kind(item.Fault), item.Region
	if item.Count < 0 || item.Count > maxCount {
		return Fault{}, fmt.Errorf("count is %d, must be 0 to %d", item.Count, maxCount)
	}
	if item.Count > 0 {
		fault.Count = item.Count
	}
	for _, field := range []struct {
		name, text string
		value      *time.Duration
		limit      time.Duration
	}{{"at", item.At, &fault.At, maxTime}, {"for", item.For, &fault.For, maxTime}, {"delay", item.Delay, &fault.Delay, maxDelay}} {
		if field.text == "" {
			continue
		}
		duration, err := time.ParseDuration(field.text)
		if err != nil || duration < 0 || duration > field.limit {
			return Fault{}, fmt.Errorf("%s is %q, must be a duration from 0 to %v, such as 10s", field.name, field.text, field.limit)
		}
		*field.value = duration
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

// Contains reports whether a script contains a fault of the kind.
func Contains(faults []Fault, kind Kind) bool {
	return slices.ContainsFunc(faults, func(f Fault) bool { return f.Kind == kind })
}
