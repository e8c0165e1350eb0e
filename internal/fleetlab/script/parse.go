package script

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"beammux/internal/jsonfile"
)

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
