package config

import (
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"strings"
	"unicode"

	"beammux/internal/jsonfile"
)

// Control is the section control: how a gatekeeper follows its settings from the control machines.
type Control struct {
	Name    string // of this gatekeeper; "": the configuration's
	Region  string // "": it follows no region's settings
	Zone    string // "": no zone's
	Service string // "": no service's
	// Replicas are the control machines that it may ask, at least one.
	Replicas []Replica
	// Dir is the folder in which the last good settings are kept over a restart; "": they are not kept.
	Dir string
}

// Replica is one control machine, as a gatekeeper reaches it.
type Replica struct{ Name, Address, Zone, Region string }

// mostReplicas is the greatest number of control machines that a file may name.
const mostReplicas = 128

// settingsDir is the folder within store.dir in which the last good settings are kept, where the section names none.
const settingsDir = "settings"

// control reads the section control. The section store has been read before it.
func (d *Deploy) control(v *jsonfile.Value) {
	f := d.file
	m := f.Members(v, "name", "region", "zone", "service", "replicas", "dir")
	if v.Kind != jsonfile.Object {
		return
	}
	c := &Control{Name: scopeName(f, m[0]), Region: scopeName(f, m[1]), Zone: scopeName(f, m[2]), Service: scopeName(f, m[3]),
		Dir: f.String(m[5])}
	switch {
	case m[4] == nil:
		f.Fault(v.Path, "replicas is missing: the control machines")
	case f.Is(m[4], jsonfile.Array):
		c.Replicas = replicas(f, m[4])
	}
	if m[5] == nil && d.StoreDir != "" {
		c.Dir = filepath.Join(d.StoreDir, settingsDir)
	}
	d.Control = c
}

// replicas reads the list of control machines.
func replicas(f *jsonfile.File, v *jsonfile.Value) []Replica {
	switch {
	case len(v.Items) == 0:
		f.Fault(v.Path, "is empty; name at least one control machine, or leave the section out")
	case len(v.Items) > mostReplicas:
		f.Fault(v.Path, fmt.Sprintf("%d control machines, over %d", len(v.Items), mostReplicas))
	}
	var all []Replica
	places := map[string]int{}
	for i, item := range v.Items {
		m := f.Members(item, "name", "address", "zone", "region")
		if item.Kind != jsonfile.Object {
			continue
		}
		r := Replica{Name: scopeName(f, m[0]), Address: hostPort(f, m[1]), Zone: scopeName(f, m[2]), Region: scopeName(f, m[3])}
		if m[0] == nil || m[1] == nil {
			f.Fault(item.Path, "name or address is missing")
		}
		if first, again := places[r.Name]; again && r.Name != "" {
			f.Fault(m[0].Path, fmt.Sprintf("%q is the name of replicas[%d] already", r.Name, first))
		}
		places[r.Name] = i
		all = append(all, r)
	}
	return all
}

// scopeName reads a name that may stand in the key of a settings record; "" if it is absent or at fault.
func scopeName(f *jsonfile.File, v *jsonfile.Value) string {
	name := f.String(v)
	if v == nil || v.Kind != jsonfile.String {
		return ""
	}
	unfit := func(r rune) bool { return r == '/' || unicode.IsSpace(r) || unicode.IsControl(r) }
	if name == "" || len(name) > mostFleetName || strings.ContainsFunc(name, unfit) {
		f.Fault(v.Path, fmt.Sprintf("must have 1 to %d characters without white space and /", mostFleetName))
		return ""
	}
	return name
}

// hostPort reads an address to connect to; "" if it is absent or at fault.
func hostPort(f *jsonfile.File, v *jsonfile.Value) string {
	address := f.String(v)
	if v == nil || v.Kind != jsonfile.String {
		return ""
	}
	host, port, err := net.SplitHostPort(address)
	if n, e := strconv.ParseUint(port, 10, 16); err != nil || host == "" || e != nil || n == 0 {
		f.Fault(v.Path, fmt.Sprintf("%q is not HOST:PORT", address))
		return ""
	}
	return address
}
