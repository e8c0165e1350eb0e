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
	KeepUsing   bool     `yaml:"keep_using,omitempty"` // callers use open connections whatever their health checks say
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

// parser collects the problems that are found in a script.
type parser struct {
	name   string
	faults jsonfile.Faults
}

// addFault records a problem at a node.
func (p *parser) addFault(n *yaml.Node, key, message string) {
	p.faults = append(p.faults, jsonfile.Fault{File: p.name, Line: n.Line, Col: n.Column, Path: key, Reason: message})
}

// mapping passes each known key of a mapping node, with its full path, to handle and returns the values by key. Unknown
// and duplicate keys are recorded as problems.
func (p *parser) mapping(n *yaml.Node, path string, known []string, handle func(key string, v *yaml.Node)) (values map[string]*yaml.Node) {
	values = map[string]*yaml.Node{}
	if n.Kind != yaml.MappingNode {
		p.addFault(n, path, "must be a mapping of keys")
		return values
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, v := n.Content[i], n.Content[i+1]
		fullPath := strings.TrimPrefix(path+"."+key.Value, ".")
		switch {
		case !slices.Contains(known, key.Value):
			p.addFault(key, fullPath, "is not known"+jsonfile.Hint(key.Value, known))
		case values[key.Value] != nil:
			p.addFault(key, fullPath, "appears more than once")
		default:
			values[key.Value] = v
			handle(fullPath, v)
		}
	}
	return values
}

// integer parses a whole number from lowest to highest.
func (p *parser) integer(key string, v *yaml.Node, lowest, highest int) int {
	n, err := strconv.Atoi(v.Value)
	if v.Kind != yaml.ScalarNode || err != nil || n < lowest || n > highest {
		p.addFault(v, key, fmt.Sprintf("%q is not a whole number from %d to %d", v.Value, lowest, highest))
	}
	return n
}

// positiveNumber parses a number greater than 0 and at most highest.
func (p *parser) positiveNumber(key string, v *yaml.Node, highest float64) float64 {
	n, err := strconv.ParseFloat(v.Value, 64)
	if v.Kind != yaml.ScalarNode || err != nil || !(n > 0 && n <= highest) {
		p.addFault(v, key, fmt.Sprintf("%q is not a number greater than 0 and at most %g", v.Value, highest))
	}
	return n
}

// duration parses a time span from 0 to highest.
func (p *parser) duration(key string, v *yaml.Node, highest time.Duration) Duration {
	d, err := time.ParseDuration(v.Value)
	if v.Kind != yaml.ScalarNode || err != nil || d < 0 || d > highest {
		p.addFault(v, key, fmt.Sprintf("%q is not a duration of at most %v, such as 250ms or 3s", v.Value, highest))
	}
	return Duration(d)
}

// boolean parses true or false.
func (p *parser) boolean(key string, v *yaml.Node) bool {
	value, err := strconv.ParseBool(v.Value)
	if err != nil {
		p.addFault(v, key, fmt.Sprintf("%q is neither true nor false", v.Value))
	}
	return value
}

// script parses the root mapping.
func (p *parser) script(n *yaml.Node, s *Script) {
	known := []string{"version", "seed", "gatekeepers", "servers", "zones", "store_members", "load", "length", "fleet", "limits", "verdicts", "give_up", "keep_using", "homes", "faults"}
	const requiredCount = 8 // the first requiredCount keys must be present
	var faults, homes *yaml.Node
	values := p.mapping(n, "", known, func(key string, v *yaml.Node) {
		switch key {
		case "version":
			if s.Version = p.integer(key, v, 0, 1<<30); s.Version != Version {
				p.addFault(v, key, fmt.Sprintf("is %s, but this program supports version %d", v.Value, Version))
			}
		case "seed":
			seed, err := strconv.ParseUint(v.Value, 10, 64)
			if s.Seed = seed; err != nil {
				p.addFault(v, key, fmt.Sprintf("%q is not a whole number of 64 bits", v.Value))
			}
		case "gatekeepers":
			s.Gatekeepers = p.integer(key, v, 1, MaxGatekeepers)
		case "servers":
			s.Servers = p.integer(key, v, 1, MaxServers)
		case "zones":
			s.Zones = p.integer(key, v, 1, MaxZones)
		case "store_members":
			s.Members = p.integer(key, v, 0, MaxStoreMembers)
		case "load":
			s.Load = p.positiveNumber(key, v, maxLoad)
		case "length":
			s.Length = p.duration(key, v, MaxLength)
		case "verdicts":
			s.Verdicts = p.boolean(key, v)
		case "fleet":
			s.Fleet = p.boolean(key, v)
		case "keep_using":
			s.KeepUsing = p.boolean(key, v)
		case "limits":
			s.Limits = p.limits(v, key)
		case "give_up":
			s.GiveUp = p.positiveNumber(key, v, maxPart)
		case "homes":
			homes = v
		case "faults":
			faults = v
		}
	})
	if n.Kind != yaml.MappingNode {
		return
	}
	for _, key := range known[:requiredCount] {
		if values[key] == nil {
			p.addFault(n, key, "is missing")
		}
	}
	if len(p.faults) == 0 {
		if err := s.shape(); err != nil {
			p.addFault(n, "", err.Error())
		}
	}
	if homes != nil {
		p.homes(homes, s)
	}
	if faults == nil {
		return
	}
	if faults.Kind != yaml.SequenceNode {
		p.addFault(faults, "faults", "must be a list")
		return
	}
	if len(faults.Content) > maxFaults {
		p.addFault(faults, "faults", fmt.Sprintf("has %d faults; the limit is %d", len(faults.Content), maxFaults))
		return
	}
	valid := len(p.faults) == 0
	for i, item := range faults.Content {
		s.Faults = append(s.Faults, p.fault(item, fmt.Sprintf("faults[%d]", i), s, valid))
	}
}

// limits parses the limits section.
func (p *parser) limits(n *yaml.Node, path string) *Limits {
	l := &Limits{}
	known := []string{"mode", "per_s", "burst"}
	values := p.mapping(n, path, known, func(key string, v *yaml.Node) {
		switch key[strings.LastIndexByte(key, '.')+1:] {
		case "mode":
			if l.Mode = v.Value; !slices.Contains(limitModes, l.Mode) {
				p.addFault(v, key, fmt.Sprintf("%q is none of %s%s", v.Value, strings.Join(limitModes, ", "), jsonfile.Hint(v.Value, limitModes)))
			}
		case "per_s":
			l.PerS = p.positiveNumber(key, v, maxBytes)
		case "burst":
			l.Burst = p.positiveNumber(key, v, maxBytes)
		}
	})
	for _, key := range known {
		if values[key] == nil && n.Kind == yaml.MappingNode {
			p.addFault(n, path+"."+key, "is missing")
		}
	}
	return l
}

var errNoLimits = errors.New("reload changes limits, but the script has none")

var limitModes = []string{"leased", "near", "alone", "fixed"}

// homes parses the homes list.
func (p *parser) homes(n *yaml.Node, s *Script) {
	if n.Kind != yaml.SequenceNode {
		p.addFault(n, "homes", "must be a list")
		return
	}
	for i, item := range n.Content {
		path, h := fmt.Sprintf("homes[%d]", i), Home{}
		values := p.mapping(item, path, []string{"at", "to"}, func(key string, v *yaml.Node) {
			if strings.HasSuffix(key, ".at") {
				h.At = p.duration(key, v, MaxLength)
				return
			}
			h.To = v.Value
			if err := s.checkSelector(v.Value, onGatekeepers); err != nil {
				p.addFault(v, key, err.Error())
			}
		})
		if item.Kind == yaml.MappingNode && (values["at"] == nil || values["to"] == nil) {
			p.addFault(item, path, "at or to is missing")
		}
		s.Homes = append(s.Homes, h)
	}
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

// fault parses one element of the faults list. valid reports whether the keys that describe the fleet are valid, so that
// selectors can be checked against it.
func (p *parser) fault(n *yaml.Node, path string, s *Script, valid bool) Fault {
	f := Fault{Line: n.Line}
	known := []string{"at", "for", "fault", "target", "from", "to", "state", "delay", "jitter", "part", "slow", "bytes_per_s", "bytes", "factor", "number",
		"removed", "listed", "how", "kill_after", "series"}
	values := p.mapping(n, path, known, func(key string, v *yaml.Node) {
		switch key[strings.LastIndexByte(key, '.')+1:] {
		case "at":
			f.At = p.duration(key, v, MaxLength)
		case "for":
			f.For = p.duration(key, v, MaxLength)
		case "fault":
			f.Kind = v.Value
		case "target":
			f.Target = v.Value
		case "from":
			f.From = v.Value
		case "to":
			f.To = v.Value
		case "state":
			if f.State = v.Value; f.State != "same" && f.State != "empty" {
				p.addFault(v, key, fmt.Sprintf("%q is neither same nor empty", v.Value))
			}
		case "removed":
			f.Removed = p.duration(key, v, MaxLength)
		case "listed":
			f.Listed = p.duration(key, v, MaxLength)
		case "kill_after":
			f.KillAfter = p.duration(key, v, 30*time.Second)
		case "series":
			f.Series = p.boolean(key, v)
		case "how":
			if f.How = v.Value; !slices.Contains(vanishings, f.How) {
				p.addFault(v, key, fmt.Sprintf("%q is none of %s%s", v.Value, strings.Join(vanishings, ", "), jsonfile.Hint(v.Value, vanishings)))
			}
		case "delay":
			f.Delay = p.duration(key, v, 30*time.Second)
		case "jitter":
			f.Jitter = p.duration(key, v, 30*time.Second)
		case "part":
			f.Part = p.positiveNumber(key, v, maxPart)
		case "number":
			if f.Number = v.Value; f.Number == "" || len(f.Number) > 32 {
				p.addFault(v, key, "must have 1 to 32 characters")
			}
		case "factor":
			f.Factor = p.positiveNumber(key, v, maxFactor)
		case "slow":
			f.Slow = p.positiveNumber(key, v, maxFactor)
		case "bytes_per_s":
			f.Rate = p.integer(key, v, 1, maxBytes)
		case "bytes":
			f.Bytes = p.integer(key, v, 0, maxBytes)
		}
	})
	if n.Kind != yaml.MappingNode {
		return f
	}
	spec, ok := kinds[f.Kind]
	if !ok {
		position := n
		if values["fault"] != nil {
			position = values["fault"]
		}
		p.addFault(position, path+".fault", fmt.Sprintf("%q is none of %s%s", f.Kind, strings.Join(Kinds(), ", "), jsonfile.Hint(f.Kind, Kinds())))
		return f
	}
	targetKeys := []string{"target"}
	if spec.class == onLinks {
		targetKeys = []string{"from", "to"}
	}
	required := append(append([]string{"at", "for", "fault"}, targetKeys...), spec.required...)
	for _, key := range required {
		if values[key] == nil {
			p.addFault(n, path+"."+key, "is required for "+f.Kind)
		}
	}
	for key, v := range values {
		if !slices.Contains(required, key) && !slices.Contains(spec.optional, key) {
			p.addFault(v, path+"."+key, "does not apply to "+f.Kind)
		}
	}
	if values["for"] != nil && f.For == 0 {
		p.addFault(values["for"], path+".for", "must be greater than 0")
	}
	if f.Kind == "reload" && s.Limits == nil {
		p.addFault(n, path, errNoLimits.Error())
	}
	if valid {
		for _, key := range targetKeys {
			if v := values[key]; v != nil {
				if err := s.checkSelector(v.Value, spec.class); err != nil {
					p.addFault(v, path+"."+key, err.Error())
				}
			}
		}
	}
	return f
}
