// Package inventory reads lists of servers in the formats of configuration tools: CSV with a header, or YAML in the form
// of an Ansible inventory.
package inventory

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"beammux/control"
	"beammux/internal/routing"
)

// The fields of a server. Other fields are ignored.
//
//	name      the server's id; in YAML the host's name
//	address   host and port; in YAML ansible_host and ansible_port may replace it
//	cell      number of the cell (0 if absent)
//	state     up (if absent), draining or removed
//	transport platform (if absent), udp or tcp; udp and tcp select SIP over that transport
//	since_ms  start of a server that started late, in Unix milliseconds, or 0
const (
	fieldName      = "name"
	fieldAddress   = "address"
	fieldCell      = "cell"
	fieldState     = "state"
	fieldTransport = "transport"
	fieldSince     = "since_ms"
)

// Error reports a fault in an inventory. Line is 0 and Key empty if they are unknown.
type Error struct {
	File   string
	Line   int
	Key    string
	Reason string
}

func (e *Error) Error() string {
	s := e.File
	if e.Line > 0 {
		s += fmt.Sprintf(":%d", e.Line)
	}
	if e.Key != "" {
		s += ": key " + e.Key
	}
	return s + ": " + e.Reason
}

// Load reads an inventory file. Its extension selects the format.
func Load(file string) ([]routing.Host, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{File: file, Reason: "can't be read: " + err.Error()}
	}
	return Parse(file, text)
}

// Parse reads the contents of an inventory file. The extension of its name selects the format. Errors are of type *Error.
func Parse(file string, text []byte) ([]routing.Host, error) {
	var hosts []routing.Host
	var err error
	switch extension := strings.ToLower(filepath.Ext(file)); extension {
	case ".csv":
		hosts, err = parseCSV(text)
	case ".yaml", ".yml":
		hosts, err = parseYAML(text)
	default:
		err = &Error{Reason: fmt.Sprintf("extension %q is neither .csv nor .yaml", extension)}
	}
	if err != nil {
		e := &Error{}
		if !errors.As(err, &e) {
			e.Reason = err.Error()
		}
		e.File = file
		return nil, e
	}
	return hosts, nil
}

// field is a value and its line in the file.
type field struct {
	value string
	line  int
}

var states = map[string]control.State{"": control.Ready, "up": control.Ready, "draining": control.Draining,
	"removed": control.Gone}

// newHost builds a server from its fields. line is the line of errors that concern an absent field.
func newHost(name string, line int, fields map[string]field) (h routing.Host, err error) {
	fault := func(key, reason string) (routing.Host, error) {
		faultLine := line
		if f, ok := fields[key]; ok {
			faultLine = f.line
		}
		return routing.Host{}, &Error{Line: faultLine, Key: key, Reason: reason}
	}
	get := func(key string) string { return strings.TrimSpace(fields[key].value) }
	if h.Name = strings.TrimSpace(name); h.Name == "" {
		return fault(fieldName, "missing")
	}
	addr, key := get(fieldAddress), fieldAddress
	if addr == "" && get("ansible_host") != "" {
		key = "ansible_host"
		port := get("ansible_port")
		if port == "" {
			port = "5060"
		}
		addr = net.JoinHostPort(get("ansible_host"), port)
	}
	if addr == "" {
		return fault(fieldAddress, "missing")
	}
	if hostPart, port, err := net.SplitHostPort(addr); err != nil || hostPart == "" {
		return fault(key, fmt.Sprintf("not host and port: %q", addr))
	} else if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fault(key, fmt.Sprintf("not a port: %q", port))
	}
	switch transport := strings.ToLower(get(fieldTransport)); transport {
	case "", "platform":
		h.Addr = addr
	case "udp", "tcp":
		h.Addr = "sip:" + addr + ";transport=" + transport
	default:
		return fault(fieldTransport, fmt.Sprintf("not platform, udp or tcp: %q", transport))
	}
	state, ok := states[strings.ToLower(get(fieldState))]
	if !ok {
		return fault(fieldState, fmt.Sprintf("not up, draining or removed: %q", get(fieldState)))
	}
	h.State = state
	if v := get(fieldCell); v != "" {
		if h.Cell, err = strconv.Atoi(v); err != nil || h.Cell < 0 {
			return fault(fieldCell, fmt.Sprintf("not a number: %q", v))
		}
	}
	if v := get(fieldSince); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 0 || n > 1<<50 {
			return fault(fieldSince, fmt.Sprintf("not a Unix millisecond: %q", v))
		}
		h.Since = control.Micros(n) * 1000
	}
	return h, nil
}

// parseCSV reads a CSV file whose first line names the fields.
func parseCSV(text []byte) ([]routing.Host, error) {
	r := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(text, []byte("\ufeff"))))
	r.Comment, r.TrimLeadingSpace = '#', true
	header, err := r.Read()
	if err == io.EOF {
		return nil, &Error{Line: 1, Reason: "no header"}
	}
	if err != nil {
		return nil, csvError(err)
	}
	for i := range header {
		header[i] = strings.ToLower(strings.TrimSpace(header[i]))
		if header[i] != "" && slices.Contains(header[:i], header[i]) {
			return nil, &Error{Line: 1, Key: header[i], Reason: "listed twice in the header"}
		}
	}
	for _, key := range []string{fieldName, fieldAddress} {
		if !slices.Contains(header, key) {
			return nil, &Error{Line: 1, Key: key, Reason: "missing in the header"}
		}
	}
	var hosts []routing.Host
	lines := map[string]int{}
	for {
		row, err := r.Read()
		if err == io.EOF {
			return hosts, nil
		}
		if err != nil {
			return nil, csvError(err)
		}
		fields := map[string]field{}
		for i, v := range row {
			line, _ := r.FieldPos(i)
			fields[header[i]] = field{v, line}
		}
		line, _ := r.FieldPos(0)
		h, err := newHost(fields[fieldName].value, line, fields)
		if err != nil {
			return nil, err
		}
		if first := lines[h.Name]; first > 0 {
			return nil, &Error{Line: line, Key: fieldName, Reason: fmt.Sprintf("%q is already defined in line %d", h.Name, first)}
		}
		lines[h.Name] = line
		hosts = append(hosts, h)
	}
}

// csvError converts an error of the CSV parser, which carries a line, to an Error.
func csvError(err error) error {
	e := &csv.ParseError{}
	if errors.As(err, &e) {
		return &Error{Line: e.Line, Reason: e.Err.Error()}
	}
	return err
}

// ansible collects the hosts of all groups. A host in several groups has the variables of each of them.
type ansible struct {
	names []string
	hosts map[string]*ansibleHost
	depth int
}

// ansibleHost is a host with the variables of its groups and its own.
type ansibleHost struct {
	line      int
	fields    map[string]field
	ownFields map[string]field // variables of the host itself, which override those of its groups
}

const maxGroupDepth = 32 // nested groups; bounds the recursion of an alias that contains itself

// parseYAML reads an Ansible inventory.
func parseYAML(text []byte) ([]routing.Host, error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return nil, yamlError(err)
	}
	if len(doc.Content) == 0 {
		return nil, &Error{Line: 1, Reason: "no inventory"}
	}
	a := &ansible{hosts: map[string]*ansibleHost{}}
	err := forEachPair(doc.Content[0], "inventory", func(key, value *yaml.Node) error {
		return a.readGroup(key.Value, value, nil)
	})
	if err != nil {
		return nil, err
	}
	var hosts []routing.Host
	for _, name := range a.names {
		entry := a.hosts[name]
		for key, f := range entry.ownFields {
			entry.fields[key] = f
		}
		h, err := newHost(name, entry.line, entry.fields)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

// yamlError converts an error of the YAML parser to an Error with the line that its text names.
func yamlError(err error) error {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	if rest, ok := strings.CutPrefix(text, "line "); ok {
		if digits, reason, ok := strings.Cut(rest, ": "); ok {
			if n, err := strconv.Atoi(digits); err == nil {
				return &Error{Line: n, Reason: reason}
			}
		}
	}
	return &Error{Reason: strings.ReplaceAll(text, "\n", " ")}
}

// forEachPair calls f for each pair of a mapping, with aliases resolved. A null is an empty mapping.
func forEachPair(n *yaml.Node, name string, f func(key, value *yaml.Node) error) error {
	for n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		return nil
	}
	if n.Kind != yaml.MappingNode {
		return &Error{Line: n.Line, Key: name, Reason: "not a mapping"}
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		if seen[key.Value] {
			return &Error{Line: key.Line, Key: key.Value, Reason: "defined twice"}
		}
		seen[key.Value] = true
		for value.Kind == yaml.AliasNode {
			value = value.Alias
		}
		if err := f(key, value); err != nil {
			return err
		}
	}
	return nil
}

// readVariables adds the scalar variables of a mapping to a map.
func readVariables(n *yaml.Node, name string, into map[string]field) error {
	return forEachPair(n, name, func(key, value *yaml.Node) error {
		if value.Kind == yaml.ScalarNode && value.Tag != "!!null" {
			into[key.Value] = field{value.Value, value.Line}
		}
		return nil
	})
}

// readGroup reads a group with its hosts and child groups. above holds the variables of the groups that contain it.
func (a *ansible) readGroup(name string, n *yaml.Node, inherited map[string]field) error {
	if a.depth++; a.depth > maxGroupDepth {
		return &Error{Line: n.Line, Key: name, Reason: "groups are nested too deep"}
	}
	defer func() { a.depth-- }()
	sections := map[string]*yaml.Node{}
	err := forEachPair(n, name, func(key, value *yaml.Node) error {
		sections[key.Value] = value
		return nil
	})
	if err != nil {
		return err
	}
	vars := map[string]field{}
	for key, f := range inherited {
		vars[key] = f
	}
	if v := sections["vars"]; v != nil {
		if err := readVariables(v, "vars", vars); err != nil {
			return err
		}
	}
	if v := sections["hosts"]; v != nil {
		err := forEachPair(v, "hosts", func(key, value *yaml.Node) error { return a.readHost(key, value, vars) })
		if err != nil {
			return err
		}
	}
	if v := sections["children"]; v != nil {
		return forEachPair(v, "children", func(key, value *yaml.Node) error { return a.readGroup(key.Value, value, vars) })
	}
	return nil
}

// readHost adds a host of a group with the variables of that group.
func (a *ansible) readHost(key, value *yaml.Node, vars map[string]field) error {
	if strings.ContainsAny(key.Value, "[]") {
		return &Error{Line: key.Line, Key: key.Value, Reason: "ranges of hosts are not supported"}
	}
	entry := a.hosts[key.Value]
	if entry == nil {
		entry = &ansibleHost{line: key.Line, fields: map[string]field{}, ownFields: map[string]field{}}
		a.hosts[key.Value] = entry
		a.names = append(a.names, key.Value)
	}
	for k, f := range vars {
		entry.fields[k] = f
	}
	return readVariables(value, key.Value, entry.ownFields)
}
