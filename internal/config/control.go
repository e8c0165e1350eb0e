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

// Control is the section control of a deploy file: it configures how a gatekeeper follows its settings from the control
// machines.
type Control struct {
	Name    string // of this gatekeeper; "": as in the configuration
	Region  string // "": the gatekeeper follows no settings of a region
	Zone    string // "": no settings of a zone
	Service string // "": no settings of a service
	// Replicas are the control machines that the gatekeeper may connect to, at least one.
	Replicas []Replica
	// Dir is the directory that keeps the last valid settings across a restart; "": they are not kept.
	Dir string
}

// Replica is the name, address and location of one control machine.
type Replica struct{ Name, Address, Zone, Region string }

// maxReplicas is the maximum number of control machines in a file.
const maxReplicas = 128

// settingsDir is the directory within store.dir that keeps the last valid settings if the section has no dir.
const settingsDir = "settings"

// readControl reads the section control. It must run after the section store has been read, since dir defaults to a
// directory in store.dir.
func (d *Deploy) readControl(v *jsonfile.Value) {
	f := d.source
	members := f.Members(v, "name", "region", "zone", "service", "replicas", "dir")
	if v.Kind != jsonfile.Object {
		return
	}
	section := &Control{Name: readScopeName(f, members[0]), Region: readScopeName(f, members[1]), Zone: readScopeName(f, members[2]), Service: readScopeName(f, members[3]),
		Dir: f.String(members[5])}
	switch {
	case members[4] == nil:
		f.AddFault(v.Path, "replicas is missing: list the control machines")
	case f.Expect(members[4], jsonfile.Array):
		section.Replicas = readReplicas(f, members[4])
	}
	if members[5] == nil && d.StoreDir != "" {
		section.Dir = filepath.Join(d.StoreDir, settingsDir)
	}
	d.Control = section
}

// readReplicas reads the list of control machines and reports duplicate names.
func readReplicas(f *jsonfile.File, v *jsonfile.Value) []Replica {
	switch {
	case len(v.Items) == 0:
		f.AddFault(v.Path, "is empty; list at least one control machine, or omit the section")
	case len(v.Items) > maxReplicas:
		f.AddFault(v.Path, fmt.Sprintf("%d control machines, over %d", len(v.Items), maxReplicas))
	}
	var list []Replica
	indexByName := map[string]int{}
	for i, item := range v.Items {
		members := f.Members(item, "name", "address", "zone", "region")
		if item.Kind != jsonfile.Object {
			continue
		}
		r := Replica{Name: readScopeName(f, members[0]), Address: readHostPort(f, members[1]), Zone: readScopeName(f, members[2]), Region: readScopeName(f, members[3])}
		if members[0] == nil || members[1] == nil {
			f.AddFault(item.Path, "name or address is missing")
		}
		if first, duplicate := indexByName[r.Name]; duplicate && r.Name != "" {
			f.AddFault(members[0].Path, fmt.Sprintf("%q is the name of replicas[%d] already", r.Name, first))
		}
		indexByName[r.Name] = i
		list = append(list, r)
	}
	return list
}

// readScopeName reads a name that is valid in the key of a settings record. It returns "" if the name is absent or invalid.
func readScopeName(f *jsonfile.File, v *jsonfile.Value) string {
	name := f.String(v)
	if v == nil || v.Kind != jsonfile.String {
		return ""
	}
	forbidden := func(r rune) bool { return r == '/' || unicode.IsSpace(r) || unicode.IsControl(r) }
	if name == "" || len(name) > maxFleetNameLength || strings.ContainsFunc(name, forbidden) {
		f.AddFault(v.Path, fmt.Sprintf("must have 1 to %d characters without white space and /", maxFleetNameLength))
		return ""
	}
	return name
}

// readHostPort reads an address to connect to. It returns "" if the address is absent or invalid.
func readHostPort(f *jsonfile.File, v *jsonfile.Value) string {
	address := f.String(v)
	if v == nil || v.Kind != jsonfile.String {
		return ""
	}
	host, port, err := net.SplitHostPort(address)
	if n, e := strconv.ParseUint(port, 10, 16); err != nil || host == "" || e != nil || n == 0 {
		f.AddFault(v.Path, fmt.Sprintf("%q is not HOST:PORT", address))
		return ""
	}
	return address
}
