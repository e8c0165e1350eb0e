// Package script defines the fault scripts of the fleet laboratory: the fleet, the length of the run, and the faults with
// their times. A script is a YAML file that can be edited by hand or generated from a seed; the same seed generates the
// same bytes.
//
//	version: 1
//	seed: 7
//	gatekeepers: 4
//	servers: 6
//	zones: 2
//	store_members: 3
//	load: 0.6          # of the servers' capacity
//	length: 12s
//	faults:
//	  - {at: 3s, for: 2s, fault: kill, target: g2, state: same}
//	  - {at: 6s, for: 3s, fault: partition, from: zone:a, to: zone:b}
package script

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"beammux/internal/jsonfile"
)

// Version is the format version that Parse accepts; the other constants bound the size and the length of a run.
const (
	Version         = 1
	MaxGatekeepers  = 32
	MaxServers      = 64
	MaxZones        = 8
	MaxStoreMembers = 7
	MaxLength       = 2 * time.Hour
	maxFaults       = 500
	maxLoad         = 3
	maxPart         = 1
	maxFactor       = 100
	maxBytes        = 1 << 30
)

// Duration is a time span that is written to YAML as text, such as 250ms or 3s.
type Duration time.Duration

// MarshalYAML implements yaml.Marshaler.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// String implements fmt.Stringer.
func (d Duration) String() string { return time.Duration(d).String() }

// Script describes one run.
type Script struct {
	Version     int      `yaml:"version"`
	Seed        uint64   `yaml:"seed"`
	Gatekeepers int      `yaml:"gatekeepers"`
	Servers     int      `yaml:"servers"`
	Zones       int      `yaml:"zones"`
	Members     int      `yaml:"store_members"`        // number of gatekeepers, the first ones, that share a store; each other one has its own
	Load        float64  `yaml:"load"`                 // rate of first calls, as a multiple of the servers' total capacity
	Length      Duration `yaml:"length"`               // time during which callers make calls
	Fleet       bool     `yaml:"fleet,omitempty"`      // gatekeepers take part in fleet gossip
	Limits      *Limits  `yaml:"limits,omitempty"`     // fleet-wide limit on all calls
	Verdicts    bool     `yaml:"verdicts,omitempty"`   // fleet verdicts on servers are enabled
	GiveUp      float64  `yaml:"give_up,omitempty"`    // part of the attempts that callers cancel soon after they were sent
	KeepUsing   bool     `yaml:"keep_using,omitempty"` // callers use open connections also after a failed health check
	Homes       []Home   `yaml:"homes,omitempty"`      // gatekeepers that receive first calls, by time; empty: all
	Faults      []Fault  `yaml:"faults"`
}

// Limits is the fleet-wide limit that applies to all calls.
type Limits struct {
	Mode  string  `yaml:"mode"` // leased, near, alone, or fixed: alone with the limit divided by the number of gatekeepers
	PerS  float64 `yaml:"per_s"`
	Burst float64 `yaml:"burst"`
}

// Home selects the gatekeepers that receive first calls from a time on.
type Home struct {
	At Duration `yaml:"at"` // since the start of calls
	To string   `yaml:"to"` // selector of gatekeepers
}

// Fault is one fault of a script. Its kind determines which fields apply.
type Fault struct {
	At        Duration `yaml:"at"`               // since the start of calls
	For       Duration `yaml:"for"`              // after this time it is undone: the process is started or resumed, the links are restored
	Kind      string   `yaml:"fault"`            // one of Kinds
	Target    string   `yaml:"target,omitempty"` // selector of processes
	From      string   `yaml:"from,omitempty"`   // selectors of the two ends of links
	To        string   `yaml:"to,omitempty"`
	State     string   `yaml:"state,omitempty"` // same or empty: stored state with which a gatekeeper is restarted
	Delay     Duration `yaml:"delay,omitempty"`
	Jitter    Duration `yaml:"jitter,omitempty"`
	Part      float64  `yaml:"part,omitempty"`        // of datagrams, set-ups or calls, by kind; 0 to 1
	Slow      float64  `yaml:"slow,omitempty"`        // factor by which processing times grow
	Number    string   `yaml:"number,omitempty"`      // number whose lines are all busy; Part of the calls go there
	Factor    float64  `yaml:"factor,omitempty"`      // by which limits are multiplied
	Rate      int      `yaml:"bytes_per_s,omitempty"` // bandwidth cap
	Bytes     int      `yaml:"bytes,omitempty"`       // after which a connection is reset; 0: open connections are reset at once
	Removed   Duration `yaml:"removed,omitempty"`     // after which the list names a vanished server as removed; 0: never
	Listed    Duration `yaml:"listed,omitempty"`      // from the start of a server at the address of a vanished one until the list names it
	How       string   `yaml:"how,omitempty"`         // one of vanishings: what new connections to a vanished server meet
	KillAfter Duration `yaml:"kill_after,omitempty"`  // from SIGTERM to SIGKILL; 0: stopTimeout of the laboratory
	Series    bool     `yaml:"series,omitempty"`      // further signals or operators' requests follow the first one closely
	Line      int      `yaml:"-"`                     // in the file, counted from 1
}

// Name returns a description of the fault for logs and reports.
func (f Fault) Name() string {
	subject := f.Target
	if subject == "" {
		subject = f.From + " to " + f.To
	}
	return fmt.Sprintf("%s %s at %s for %s", f.Kind, subject, f.At, f.For)
}

// class is the type of object that a kind of fault acts on.
type class int

const (
	onGatekeepers class = iota
	onServers
	onLinks
)

// kindSpec describes the keys of a kind of fault.
type kindSpec struct {
	class         class
	required      []string // keys in addition to at, for, fault and those of the class
	optional      []string // further keys that are allowed
	datagramsOnly bool     // affects only datagrams
	explicitOnly  bool     // generated only on explicit request, not for "all"
}

var kinds = map[string]kindSpec{
	"kill":      {class: onGatekeepers, optional: []string{"state"}},
	"term":      {class: onGatekeepers, optional: []string{"state", "kill_after", "series"}},
	"evacuate":  {class: onGatekeepers, optional: []string{"series"}, explicitOnly: true},
	"pause":     {class: onGatekeepers},
	"reload":    {class: onGatekeepers, required: []string{"factor"}, explicitOnly: true},
	"lose":      {class: onServers},
	"slow":      {class: onServers, required: []string{"slow"}},
	"drain":     {class: onServers},
	"vanish":    {class: onServers, required: []string{"how"}, optional: []string{"removed"}, explicitOnly: true},
	"replace":   {class: onServers, required: []string{"listed"}, optional: []string{"removed"}, explicitOnly: true},
	"remove":    {class: onServers, explicitOnly: true},
	"hang":      {class: onServers, explicitOnly: true},
	"ill":       {class: onServers, required: []string{"part"}, explicitOnly: true},
	"engaged":   {class: onServers, required: []string{"number", "part"}, explicitOnly: true},
	"rude":      {class: onGatekeepers, explicitOnly: true},
	"crowd":     {class: onGatekeepers, explicitOnly: true},
	"hup":       {class: onGatekeepers, explicitOnly: true},
	"spoil":     {class: onServers, required: []string{"part"}, explicitOnly: true},
	"lie":       {class: onGatekeepers, explicitOnly: true},
	"partition": {class: onLinks},
	"cut":       {class: onLinks},
	"delay":     {class: onLinks, required: []string{"delay"}, optional: []string{"jitter"}},
	"bandwidth": {class: onLinks, required: []string{"bytes_per_s"}},
	"pieces":    {class: onLinks, required: []string{"bytes", "delay"}, explicitOnly: true},
	"reset":     {class: onLinks, optional: []string{"bytes"}},
	"blackhole": {class: onLinks},
	"refuse":    {class: onLinks},
	"loss":      {class: onLinks, required: []string{"part"}, datagramsOnly: true},
	"duplicate": {class: onLinks, required: []string{"part"}, datagramsOnly: true},
	"reorder":   {class: onLinks, required: []string{"part"}, datagramsOnly: true},
}

// Ways in which a server vanishes.
const (
	MachineLost = "lost" // new connections never come up
	ProcessHung = "hung" // new connections are accepted and stay silent
)

var vanishings = []string{MachineLost, ProcessHung}

// Kinds returns the names of all kinds of faults, sorted.
func Kinds() []string {
	names := make([]string, 0, len(kinds))
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Load reads a script file. The error lists every problem of the file, one a line, as FILE:LINE:COL: key: message.
func Load(file string) (*Script, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, text)
}

// Parse parses the text of a script; name stands for the file name in errors. Errors are as for Load.
func Parse(name string, text []byte) (*Script, error) {
	p := &parser{name: name}
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		line := 0
		message := strings.TrimPrefix(err.Error(), "yaml: ")
		if rest, ok := strings.CutPrefix(message, "line "); ok {
			number, after, _ := strings.Cut(rest, ": ")
			if n, err := strconv.Atoi(number); err == nil {
				line, message = n, after
			}
		}
		return nil, jsonfile.Faults{{File: name, Line: line, Col: 1, Reason: message}}
	}
	if len(doc.Content) == 0 {
		return nil, jsonfile.Faults{{File: name, Line: 1, Col: 1, Reason: "is empty"}}
	}
	s := &Script{}
	p.script(doc.Content[0], s)
	if len(p.faults) > 0 {
		slices.SortStableFunc(p.faults, func(a, b jsonfile.Fault) int { return a.Line - b.Line })
		return nil, p.faults
	}
	return s, nil
}

// Marshal returns the script as YAML. Equal scripts yield equal bytes.
func (s *Script) Marshal() []byte {
	var b bytes.Buffer
	e := yaml.NewEncoder(&b)
	e.SetIndent(2)
	if err := e.Encode(s); err != nil { // impossible: a script holds only numbers and strings
		panic(err)
	}
	e.Close()
	return b.Bytes()
}

// shape validates constraints between several keys.
func (s *Script) shape() error {
	switch {
	case s.Zones > s.Gatekeepers || s.Zones > s.Servers:
		return errors.New("zones: each zone needs a gatekeeper and a server")
	case s.Members > s.Gatekeepers:
		return errors.New("store_members: exceeds the number of gatekeepers")
	case s.Verdicts && !s.Fleet:
		return errors.New("verdicts: they are distributed by the fleet's gossip, but fleet is not true")
	case s.Length <= 0:
		return errors.New("length: must be greater than 0")
	}
	return nil
}

var errNoLimits = errors.New("reload changes limits, but the script has none")

var limitModes = []string{"leased", "near", "alone", "fixed"}
