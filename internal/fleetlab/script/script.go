// Package script holds the fault scripts of the fleet laboratory: which fleet, for how long, and which faults at which
// times. A script is a YAML file that people read and write; a seed draws one, and the same seed draws the same bytes.
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

// Bounds of a script: a run is bounded in time and size.
const (
	Version        = 1
	MostGatekeeper = 32
	MostServers    = 64
	MostZones      = 8
	MostMembers    = 7
	MostLength     = 2 * time.Hour
	mostFaults     = 500
	mostLoad       = 3
	mostPart       = 1
	mostSlow       = 100
	mostBytes      = 1 << 30
)

// Duration is a span as YAML has it: 250ms, 3s.
type Duration time.Duration

// MarshalYAML implements yaml.Marshaler.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

func (d Duration) String() string { return time.Duration(d).String() }

// Script is one run.
type Script struct {
	Version     int      `yaml:"version"`
	Seed        uint64   `yaml:"seed"`
	Gatekeepers int      `yaml:"gatekeepers"`
	Servers     int      `yaml:"servers"`
	Zones       int      `yaml:"zones"`
	Members     int      `yaml:"store_members"`      // of the gatekeepers, the first ones share a store; the others have one each
	Load        float64  `yaml:"load"`               // first calls, in the servers' capacity
	Length      Duration `yaml:"length"`             // for how long calls come
	Fleet       bool     `yaml:"fleet,omitempty"`    // the gatekeepers keep a view of the fleet
	Limits      *Limits  `yaml:"limits,omitempty"`   // of the fleet: one rule for all calls
	Verdicts    bool     `yaml:"verdicts,omitempty"` // of the fleet on servers
	Homes       []Home   `yaml:"homes,omitempty"`    // where calls come to, from when on; everywhere, if none
	Faults      []Fault  `yaml:"faults"`
}

// Limits is the rule of the fleet for all calls.
type Limits struct {
	Mode  string  `yaml:"mode"` // leased, near, alone; fixed: alone with the limit divided by the gatekeepers
	PerS  float64 `yaml:"per_s"`
	Burst float64 `yaml:"burst"`
}

// Home says where first calls come to from a time on.
type Home struct {
	At Duration `yaml:"at"` // since the first call
	To string   `yaml:"to"` // gatekeepers
}

// Fault is one fault. Which fields it has depends on its kind.
type Fault struct {
	At     Duration `yaml:"at"`               // since the first call
	For    Duration `yaml:"for"`              // then it is taken back: the process started, woken, the links healed
	Kind   string   `yaml:"fault"`            // one of Kinds
	Target string   `yaml:"target,omitempty"` // processes
	From   string   `yaml:"from,omitempty"`   // links
	To     string   `yaml:"to,omitempty"`
	State  string   `yaml:"state,omitempty"` // same or empty: with what a gatekeeper is started again
	Delay  Duration `yaml:"delay,omitempty"`
	Jitter Duration `yaml:"jitter,omitempty"`
	Part   float64  `yaml:"part,omitempty"`        // of datagrams
	Slow   float64  `yaml:"slow,omitempty"`        // times longer that all work takes
	Number string   `yaml:"number,omitempty"`      // whose lines are all busy, and a part of the calls go there
	Factor float64  `yaml:"factor,omitempty"`      // by which limits are multiplied
	Rate   int      `yaml:"bytes_per_s,omitempty"` // cap
	Bytes  int      `yaml:"bytes,omitempty"`       // after which a connection is reset; 0: those that are open, at once
	Line   int      `yaml:"-"`                     // of the file, from 1
}

// Name names a fault in logs and reports.
func (f Fault) Name() string {
	what := f.Target
	if what == "" {
		what = f.From + " to " + f.To
	}
	return fmt.Sprintf("%s %s at %s for %s", f.Kind, what, f.At, f.For)
}

// What a fault's kind acts on.
type class int

const (
	onGatekeepers class = iota
	onServers
	onLinks
)

type kind struct {
	class class
	needs []string // keys beside at, for, fault and those of its class
	also  []string // keys that it may have
	udp   bool     // concerns datagrams alone
	named bool     // drawn only where it is named
}

var kinds = map[string]kind{
	"kill":      {class: onGatekeepers, also: []string{"state"}},
	"term":      {class: onGatekeepers, also: []string{"state"}},
	"pause":     {class: onGatekeepers},
	"reload":    {class: onGatekeepers, needs: []string{"factor"}, named: true},
	"lose":      {class: onServers},
	"slow":      {class: onServers, needs: []string{"slow"}},
	"drain":     {class: onServers},
	"hang":      {class: onServers, named: true},
	"ill":       {class: onServers, needs: []string{"part"}, named: true},
	"engaged":   {class: onServers, needs: []string{"number", "part"}, named: true},
	"rude":      {class: onGatekeepers, named: true},
	"lie":       {class: onGatekeepers, named: true},
	"partition": {class: onLinks},
	"cut":       {class: onLinks},
	"delay":     {class: onLinks, needs: []string{"delay"}, also: []string{"jitter"}},
	"bandwidth": {class: onLinks, needs: []string{"bytes_per_s"}},
	"reset":     {class: onLinks, also: []string{"bytes"}},
	"blackhole": {class: onLinks},
	"refuse":    {class: onLinks},
	"loss":      {class: onLinks, needs: []string{"part"}, udp: true},
	"duplicate": {class: onLinks, needs: []string{"part"}, udp: true},
	"reorder":   {class: onLinks, needs: []string{"part"}, udp: true},
}

// Kinds lists the kinds of faults, sorted.
func Kinds() []string {
	names := make([]string, 0, len(kinds))
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Load reads a script. The error holds every fault of the file, one in a line, as FILE:LINE:COL: key: what.
func Load(file string) (*Script, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, text)
}

// Parse is Load for a text that has been read.
func Parse(name string, text []byte) (*Script, error) {
	p := &parser{name: name}
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		line := 0
		what := strings.TrimPrefix(err.Error(), "yaml: ")
		if rest, ok := strings.CutPrefix(what, "line "); ok {
			number, after, _ := strings.Cut(rest, ": ")
			if n, err := strconv.Atoi(number); err == nil {
				line, what = n, after
			}
		}
		return nil, jsonfile.Faults{{File: name, Line: line, Col: 1, Reason: what}}
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

// Marshal gives the bytes of a script: the same ones for the same script.
func (s *Script) Marshal() []byte {
	var b bytes.Buffer
	e := yaml.NewEncoder(&b)
	e.SetIndent(2)
	if err := e.Encode(s); err != nil { // numbers and strings alone
		panic(err)
	}
	e.Close()
	return b.Bytes()
}

type parser struct {
	name   string
	faults jsonfile.Faults
}

func (p *parser) fault(n *yaml.Node, key, what string) {
	p.faults = append(p.faults, jsonfile.Fault{File: p.name, Line: n.Line, Col: n.Column, Path: key, Reason: what})
}

// members hands each key of a mapping to take, which tells whether it knows it.
func (p *parser) members(n *yaml.Node, path string, known []string, take func(key string, v *yaml.Node)) (at map[string]*yaml.Node) {
	at = map[string]*yaml.Node{}
	if n.Kind != yaml.MappingNode {
		p.fault(n, path, "must be a mapping of keys")
		return at
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, v := n.Content[i], n.Content[i+1]
		full := strings.TrimPrefix(path+"."+key.Value, ".")
		switch {
		case !slices.Contains(known, key.Value):
			p.fault(key, full, "is not known"+jsonfile.Hint(key.Value, known))
		case at[key.Value] != nil:
			p.fault(key, full, "stands twice")
		default:
			at[key.Value] = v
			take(full, v)
		}
	}
	return at
}

func (p *parser) whole(key string, v *yaml.Node, least, most int) int {
	n, err := strconv.Atoi(v.Value)
	if v.Kind != yaml.ScalarNode || err != nil || n < least || n > most {
		p.fault(v, key, fmt.Sprintf("%q is not a whole number from %d to %d", v.Value, least, most))
	}
	return n
}

func (p *parser) number(key string, v *yaml.Node, most float64) float64 {
	n, err := strconv.ParseFloat(v.Value, 64)
	if v.Kind != yaml.ScalarNode || err != nil || !(n > 0 && n <= most) {
		p.fault(v, key, fmt.Sprintf("%q is not a number over 0 and up to %g", v.Value, most))
	}
	return n
}

func (p *parser) span(key string, v *yaml.Node, most time.Duration) Duration {
	d, err := time.ParseDuration(v.Value)
	if v.Kind != yaml.ScalarNode || err != nil || d < 0 || d > most {
		p.fault(v, key, fmt.Sprintf("%q is not a span up to %v, as 250ms or 3s", v.Value, most))
	}
	return Duration(d)
}

func (p *parser) script(n *yaml.Node, s *Script) {
	known := []string{"version", "seed", "gatekeepers", "servers", "zones", "store_members", "load", "length", "fleet", "limits", "verdicts", "homes", "faults"}
	const needed = 8 // of them, the first
	var faults, homes *yaml.Node
	at := p.members(n, "", known, func(key string, v *yaml.Node) {
		switch key {
		case "version":
			if s.Version = p.whole(key, v, 0, 1<<30); s.Version != Version {
				p.fault(v, key, fmt.Sprintf("is %s, this program reads %d", v.Value, Version))
			}
		case "seed":
			seed, err := strconv.ParseUint(v.Value, 10, 64)
			if s.Seed = seed; err != nil {
				p.fault(v, key, fmt.Sprintf("%q is not a whole number of 64 bits", v.Value))
			}
		case "gatekeepers":
			s.Gatekeepers = p.whole(key, v, 1, MostGatekeeper)
		case "servers":
			s.Servers = p.whole(key, v, 1, MostServers)
		case "zones":
			s.Zones = p.whole(key, v, 1, MostZones)
		case "store_members":
			s.Members = p.whole(key, v, 0, MostMembers)
		case "load":
			s.Load = p.number(key, v, mostLoad)
		case "length":
			s.Length = p.span(key, v, MostLength)
		case "verdicts":
			on, err := strconv.ParseBool(v.Value)
			if s.Verdicts = on; err != nil {
				p.fault(v, key, fmt.Sprintf("%q is neither true nor false", v.Value))
			}
		case "fleet":
			on, err := strconv.ParseBool(v.Value)
			if s.Fleet = on; err != nil {
				p.fault(v, key, fmt.Sprintf("%q is neither true nor false", v.Value))
			}
		case "limits":
			s.Limits = p.limits(v, key)
		case "homes":
			homes = v
		case "faults":
			faults = v
		}
	})
	if n.Kind != yaml.MappingNode {
		return
	}
	for _, key := range known[:needed] {
		if at[key] == nil {
			p.fault(n, key, "is missing")
		}
	}
	if len(p.faults) == 0 {
		if err := s.shape(); err != nil {
			p.fault(n, "", err.Error())
		}
	}
	if homes != nil {
		p.homes(homes, s)
	}
	if faults == nil {
		return
	}
	if faults.Kind != yaml.SequenceNode {
		p.fault(faults, "faults", "must be a list")
		return
	}
	if len(faults.Content) > mostFaults {
		p.fault(faults, "faults", fmt.Sprintf("%d faults, over %d", len(faults.Content), mostFaults))
		return
	}
	sound := len(p.faults) == 0
	for i, item := range faults.Content {
		s.Faults = append(s.Faults, p.one(item, fmt.Sprintf("faults[%d]", i), s, sound))
	}
}

func (p *parser) limits(n *yaml.Node, path string) *Limits {
	l := &Limits{}
	known := []string{"mode", "per_s", "burst"}
	at := p.members(n, path, known, func(key string, v *yaml.Node) {
		switch key[strings.LastIndexByte(key, '.')+1:] {
		case "mode":
			if l.Mode = v.Value; !slices.Contains(limitModes, l.Mode) {
				p.fault(v, key, fmt.Sprintf("%q is none of %s%s", v.Value, strings.Join(limitModes, ", "), jsonfile.Hint(v.Value, limitModes)))
			}
		case "per_s":
			l.PerS = p.number(key, v, mostBytes)
		case "burst":
			l.Burst = p.number(key, v, mostBytes)
		}
	})
	for _, key := range known {
		if at[key] == nil && n.Kind == yaml.MappingNode {
			p.fault(n, path+"."+key, "is missing")
		}
	}
	return l
}

var errReload = errors.New("reload changes limits, and the script has none")

var limitModes = []string{"leased", "near", "alone", "fixed"}

func (p *parser) homes(n *yaml.Node, s *Script) {
	if n.Kind != yaml.SequenceNode {
		p.fault(n, "homes", "must be a list")
		return
	}
	for i, item := range n.Content {
		path, h := fmt.Sprintf("homes[%d]", i), Home{}
		at := p.members(item, path, []string{"at", "to"}, func(key string, v *yaml.Node) {
			if strings.HasSuffix(key, ".at") {
				h.At = p.span(key, v, MostLength)
				return
			}
			h.To = v.Value
			if err := s.fits(v.Value, onGatekeepers); err != nil {
				p.fault(v, key, err.Error())
			}
		})
		if item.Kind == yaml.MappingNode && (at["at"] == nil || at["to"] == nil) {
			p.fault(item, path, "at or to is missing")
		}
		s.Homes = append(s.Homes, h)
	}
}

// shape checks what spans several keys.
func (s *Script) shape() error {
	switch {
	case s.Zones > s.Gatekeepers || s.Zones > s.Servers:
		return errors.New("zones: each must have a gatekeeper and a server")
	case s.Members > s.Gatekeepers:
		return errors.New("store_members: there are not so many gatekeepers")
	case s.Verdicts && !s.Fleet:
		return errors.New("verdicts: they are told by the fleet's gossip, and fleet is not true")
	case s.Length <= 0:
		return errors.New("length: must be over 0")
	}
	return nil
}

func (p *parser) one(n *yaml.Node, path string, s *Script, sound bool) Fault {
	f := Fault{Line: n.Line}
	known := []string{"at", "for", "fault", "target", "from", "to", "state", "delay", "jitter", "part", "slow", "bytes_per_s", "bytes", "factor", "number"}
	at := p.members(n, path, known, func(key string, v *yaml.Node) {
		switch key[strings.LastIndexByte(key, '.')+1:] {
		case "at":
			f.At = p.span(key, v, MostLength)
		case "for":
			f.For = p.span(key, v, MostLength)
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
				p.fault(v, key, fmt.Sprintf("%q is neither same nor empty", v.Value))
			}
		case "delay":
			f.Delay = p.span(key, v, 30*time.Second)
		case "jitter":
			f.Jitter = p.span(key, v, 30*time.Second)
		case "part":
			f.Part = p.number(key, v, mostPart)
		case "number":
			if f.Number = v.Value; f.Number == "" || len(f.Number) > 32 {
				p.fault(v, key, "must have 1 to 32 characters")
			}
		case "factor":
			f.Factor = p.number(key, v, mostSlow)
		case "slow":
			f.Slow = p.number(key, v, mostSlow)
		case "bytes_per_s":
			f.Rate = p.whole(key, v, 1, mostBytes)
		case "bytes":
			f.Bytes = p.whole(key, v, 0, mostBytes)
		}
	})
	if n.Kind != yaml.MappingNode {
		return f
	}
	k, ok := kinds[f.Kind]
	if !ok {
		where := n
		if at["fault"] != nil {
			where = at["fault"]
		}
		p.fault(where, path+".fault", fmt.Sprintf("%q is none of %s%s", f.Kind, strings.Join(Kinds(), ", "), jsonfile.Hint(f.Kind, Kinds())))
		return f
	}
	ends := []string{"target"}
	if k.class == onLinks {
		ends = []string{"from", "to"}
	}
	needs := append(append([]string{"at", "for", "fault"}, ends...), k.needs...)
	for _, key := range needs {
		if at[key] == nil {
			p.fault(n, path+"."+key, "is missing for "+f.Kind)
		}
	}
	for key, v := range at {
		if !slices.Contains(needs, key) && !slices.Contains(k.also, key) {
			p.fault(v, path+"."+key, "is not for "+f.Kind)
		}
	}
	if at["for"] != nil && f.For == 0 {
		p.fault(at["for"], path+".for", "must be over 0: a fault ends")
	}
	if f.Kind == "reload" && s.Limits == nil {
		p.fault(n, path, errReload.Error())
	}
	if sound {
		for _, key := range ends {
			if v := at[key]; v != nil {
				if err := s.fits(v.Value, k.class); err != nil {
					p.fault(v, path+"."+key, err.Error())
				}
			}
		}
	}
	return f
}
