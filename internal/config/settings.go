package config

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"beammux/control"
	"beammux/control/retry"
	"beammux/control/scope"
	"beammux/internal/inventory"
	"beammux/internal/jsonfile"
	"beammux/internal/routing"
)

// CheckSettings says what is wrong with a settings record, or nil. With a site the record is proved against its rules and
// names; without one only its form is checked. What a gatekeeper must have for it (gossip, a shared store) is not known
// here: the gatekeeper refuses what it lacks. The error is jsonfile.Faults where the fault has a place, with the record's
// key as the file's name, or where it is the key that is at fault.
func CheckSettings(key string, value []byte, site *control.Site) error {
	k, err := scope.ParseKey(key)
	if err != nil {
		return keyFaults(key, err)
	}
	switch k.Section {
	case scope.SectionCalls:
		_, err = ParseCalls(key, value, site)
	case scope.SectionLimits:
		_, err = ParseLimits(key, value, site, Features{Gossip: true, Store: true})
	case scope.SectionInventory:
		_, err = ParseInventory(key, value)
	}
	return err
}

// keyFaults makes one line of what is wrong with a key, with what was probably meant and what is possible.
func keyFaults(key string, err error) error {
	var e *scope.KeyError
	if !errors.As(err, &e) {
		return err
	}
	hint := ""
	switch parts := strings.Split(key, "/"); e.Fault {
	case scope.UnknownScope:
		hint = jsonfile.Hint(parts[1], scopeKinds())
	case scope.UnknownSection:
		hint = jsonfile.Hint(parts[len(parts)-1], scope.Sections())
	}
	return jsonfile.Faults{{File: key, Reason: "is no key of settings" + hint + ": " + e.Advice()}}
}

func scopeKinds() []string {
	var names []string
	for k := scope.All; k <= scope.Gatekeeper; k++ {
		names = append(names, k.String())
	}
	return names
}

// ParseCalls reads the section calls, kept by itself: JSON as the deploy file's key calls. Without a site it is read, not
// proved, and the policy is nil. name stands for the file in faults.
func ParseCalls(name string, text []byte, site *control.Site) (*retry.Policy, error) {
	f, err := jsonfile.ParseUnder(name, text, "calls")
	if err != nil {
		return nil, err
	}
	d := &Deploy{file: f}
	d.readCalls(f.Root)
	if site != nil {
		d.prove(site)
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return d.Calls, nil
}

// ParseLimits reads the section limits, kept by itself: JSON as the deploy file's key fleet.limits. Without a site, names of
// classes and tenants are not looked up.
func ParseLimits(name string, text []byte, site *control.Site, around Features) (*Limits, error) {
	f, err := jsonfile.ParseUnder(name, text, "fleet.limits")
	if err != nil {
		return nil, err
	}
	d := &Deploy{file: f}
	if f.Is(f.Root, jsonfile.Object) {
		d.limits(f.Root, site, around)
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return d.Limits, nil
}

// inventoryForms are the endings that the first line of a section inventory may name.
var inventoryForms = []string{".csv", ".yaml", ".yml"}

// IsInventoryFormat tells whether an ending is one that tells the form of an inventory.
func IsInventoryFormat(ending string) bool {
	return slices.ContainsFunc(inventoryForms, func(known string) bool { return strings.EqualFold(known, ending) })
}

// ParseInventory reads the section inventory: a first line with the ending of a file (.csv or .yaml), which tells the form,
// then the text. Lines in faults are those of the value: its first line is line 1.
func ParseInventory(name string, value []byte) ([]routing.Host, error) {
	ending, text, _ := bytes.Cut(value, []byte("\n"))
	form := strings.TrimSpace(string(ending))
	if !IsInventoryFormat(form) {
		what := fmt.Sprintf("the first line is %.40q, must be %s: the form of the lines after it", form, strings.Join(inventoryForms, ", "))
		return nil, jsonfile.Faults{{File: name, Line: 1, Col: 1, Reason: what}}
	}
	hosts, err := inventory.Parse(name+form, text)
	var fault *inventory.Error
	if errors.As(err, &fault) {
		return nil, jsonfile.Faults{{File: name, Line: fault.Line + 1, Col: 1, Path: fault.Key, Reason: fault.What}}
	}
	if err == nil && len(hosts) == 0 {
		what := "names no server; to leave the list to the gatekeepers' own files, delete the record"
		return nil, jsonfile.Faults{{File: name, Line: 1, Col: 1, Reason: what}}
	}
	return hosts, err
}

// InventoryRecord makes the value of a section inventory of a file's text; ending is the file's.
func InventoryRecord(ending string, text []byte) []byte {
	return append([]byte(ending+"\n"), text...)
}
