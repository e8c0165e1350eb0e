// Package inventory reads lists of servers as configuration tools keep them: CSV with a header, or YAML in the form of
// an Ansible inventory.
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

// The fields of a server. Others are passed over.
//
//	name      the server's id; in YAML the host's name
//	address   host and port; in YAML ansible_host and ansible_port will do
//	cell      number of the pool (0 if absent)
//	state     up (if absent), draining or removed
//	transport platform (if absent), udp or tcp: the latter two are full SIP
//	since_ms  Unix millisecond of a late start, or 0
const (
	fieldName      = "name"
	fieldAddress   = "address"
	fieldCell      = "cell"
	fieldState     = "state"
	fieldTransport = "transport"
	fieldSince     = "since_ms"
)

// Error is a fault by file, line and key.
type Error struct {
	File string
	Line int
	Key  string
	What string
}

func (e *Error) Error() string {
	s := e.File
	if e.Line > 0 {
		s += fmt.Sprintf(":%d", e.Line)
	}
	if e.Key != "" {
		s += ": key " + e.Key
	}
	return s + ": " + e.What
}

// Load reads a file; its ending tells the form.
func Load(file string) ([]routing.Host, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{File: file, What: "can't be read: " + err.Error()}
	}
	return Parse(file, text)
}

// Parse reads the text of a file of that name.
func Parse(file string, text []byte) ([]routing.Host, error) {
	var hosts []routing.Host
	var err error
	switch ext := strings.ToLower(filepath.Ext(file)); ext {
	case ".csv":
		hosts, err = parseCSV(text)
	case ".yaml", ".yml":
		hosts, err = parseYAML(text)
	default:
		err = &Error{What: fmt.Sprintf("ending %q is neither .csv nor .yaml", ext)}
	}
	if err != nil {
		e := &Error{}
		if !errors.As(err, &e) {
			e.What = err.Error()
		}
		e.File = file
		return nil, e
	}
	return hosts, nil
}

// field is one value and where it stands.
type field struct {
	value string
	line  int
}

var states = map[string]control.State{"": control.Ready, "up": control.Ready, "draining": control.Draining,
	"removed": control.Gone}

// host makes a server of its fields.
func host(name string, line int, fields map[string]field) (h routing.Host, err error) {
	fault := func(key, what string) (routing.Host, error) {
		at := line
		if f, ok := fields[key]; ok {
			at = f.line
		}
		return routing.Host{}, &Error{Line: at, Key: key, What: what}
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

func parseCSV(text []byte) ([]routing.Host, error) {
	r := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(text, []byte("\ufeff"))))
	r.Comment, r.TrimLeadingSpace = '#', true
	header, err := r.Read()
	if err == io.EOF {
		return nil, &Error{Line: 1, What: "no header"}
	}
	if err != nil {
		return nil, csvError(err)
	}
	for i := range header {
		header[i] = strings.ToLower(strings.TrimSpace(header[i]))
		if header[i] != "" && slices.Contains(header[:i], header[i]) {
			return nil, &Error{Line: 1, Key: header[i], What: "named twice in the header"}
		}
	}
	for _, key := range []string{fieldName, fieldAddress} {
		if !slices.Contains(header, key) {
			return nil, &Error{Line: 1, Key: key, What: "missing in the header"}
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
		h, err := host(fields[fieldName].value, line, fields)
		if err != nil {
			return nil, err
		}
		if first := lines[h.Name]; first > 0 {
			return nil, &Error{Line: line, Key: fieldName, What: fmt.Sprintf("%q stands in line %d already", h.Name, first)}
		}
		lines[h.Name] = line
		hosts = append(hosts, h)
	}
}

func csvError(err error) error {
	e := &csv.ParseError{}
	if errors.As(err, &e) {
		return &Error{Line: e.Line, What: e.Err.Error()}
	}
	return err
}

// ansible collects the hosts of groups; a host in several groups has the variables of all.
type ansible struct {
	order []string
	hosts map[string]*ansibleHost
	depth int
}

type ansibleHost struct {
	line   int
	fields map[string]field
	own    map[string]field // set at the host itself: they win over those of groups
}

const deepest = 32 // nested groups: guards against an alias that contains itself

func parseYAML(text []byte) ([]routing.Host, error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return nil, yamlError(err)
	}
	if len(doc.Content) == 0 {
		return nil, &Error{Line: 1, What: "no inventory"}
	}
	a := &ansible{hosts: map[string]*ansibleHost{}}
	err := each(doc.Content[0], "inventory", func(key, value *yaml.Node) error {
		return a.group(key.Value, value, nil)
	})
	if err != nil {
		return nil, err
	}
	var hosts []routing.Host
	for _, name := range a.order {
		entry := a.hosts[name]
		for key, f := range entry.own {
			entry.fields[key] = f
		}
		h, err := host(name, entry.line, entry.fields)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

// yamlError takes the line out of a fault of the parser.
func yamlError(err error) error {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	if rest, ok := strings.CutPrefix(text, "line "); ok {
		if digits, what, ok := strings.Cut(rest, ": "); ok {
			if n, err := strconv.Atoi(digits); err == nil {
				return &Error{Line: n, What: what}
			}
		}
	}
	return &Error{What: strings.ReplaceAll(text, "\n", " ")}
}

// each goes through a mapping; null is an empty one.
func each(n *yaml.Node, what string, f func(key, value *yaml.Node) error) error {
	for n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		return nil
	}
	if n.Kind != yaml.MappingNode {
		return &Error{Line: n.Line, Key: what, What: "not a mapping"}
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		if seen[key.Value] {
			return &Error{Line: key.Line, Key: key.Value, What: "given twice"}
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

func variables(n *yaml.Node, what string, into map[string]field) error {
	return each(n, what, func(key, value *yaml.Node) error {
		if value.Kind == yaml.ScalarNode && value.Tag != "!!null" {
			into[key.Value] = field{value.Value, value.Line}
		}
		return nil
	})
}

func (a *ansible) group(name string, n *yaml.Node, above map[string]field) error {
	if a.depth++; a.depth > deepest {
		return &Error{Line: n.Line, Key: name, What: "groups are nested too deep"}
	}
	defer func() { a.depth-- }()
	parts := map[string]*yaml.Node{}
	err := each(n, name, func(key, value *yaml.Node) error {
		parts[key.Value] = value
		return nil
	})
	if err != nil {
		return err
	}
	vars := map[string]field{}
	for key, f := range above {
		vars[key] = f
	}
	if v := parts["vars"]; v != nil {
		if err := variables(v, "vars", vars); err != nil {
			return err
		}
	}
	if v := parts["hosts"]; v != nil {
		err := each(v, "hosts", func(key, value *yaml.Node) error { return a.host(key, value, vars) })
		if err != nil {
			return err
		}
	}
	if v := parts["children"]; v != nil {
		return each(v, "children", func(key, value *yaml.Node) error { return a.group(key.Value, value, vars) })
	}
	return nil
}

func (a *ansible) host(key, value *yaml.Node, vars map[string]field) error {
	if strings.ContainsAny(key.Value, "[]") {
		return &Error{Line: key.Line, Key: key.Value, What: "ranges of hosts are not supported"}
	}
	h := a.hosts[key.Value]
	if h == nil {
		h = &ansibleHost{line: key.Line, fields: map[string]field{}, own: map[string]field{}}
		a.hosts[key.Value] = h
		a.order = append(a.order, key.Value)
	}
	for k, f := range vars {
		h.fields[k] = f
	}
	return variables(value, key.Value, h.own)
}
