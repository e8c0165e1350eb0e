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

// CheckSettings returns an error if a settings record is invalid. With a site the record is checked against its rules and
// names; if site is nil, only the syntax is checked. The features that a gatekeeper needs for the record (gossip, a shared
// store) are assumed here: the gatekeeper itself refuses a record that needs a feature it lacks. The error is of type
// jsonfile.Faults if the fault has a position, with the record's key as the file name, or if the key itself is invalid.
func CheckSettings(key string, value []byte, site *control.Site) error {
	parsed, err := scope.ParseKey(key)
	if err != nil {
		return explainKeyError(key, err)
	}
	switch parsed.Section {
	case scope.SectionCalls:
		_, err = ParseCalls(key, value, site)
	case scope.SectionLimits:
		_, err = ParseLimits(key, value, site, Features{Gossip: true, Store: true})
	case scope.SectionInventory:
		_, err = ParseInventory(key, value)
	}
	return err
}

// explainKeyError returns a one-line error for an invalid key, with the closest valid word and the valid alternatives.
func explainKeyError(key string, err error) error {
	var e *scope.KeyError
	if !errors.As(err, &e) {
		return err
	}
	hint := ""
	switch parts := strings.Split(key, "/"); e.Fault {
	case scope.UnknownScope:
		hint = jsonfile.Hint(parts[1], scopeKindNames())
	case scope.UnknownSection:
		hint = jsonfile.Hint(parts[len(parts)-1], scope.Sections())
	}
	return jsonfile.Faults{{File: key, Reason: "is no key of settings" + hint + ": " + e.Advice()}}
}

// scopeKindNames returns the names of all kinds of scope.
func scopeKindNames() []string {
	var names []string
	for k := scope.All; k <= scope.Gatekeeper; k++ {
		names = append(names, k.String())
	}
	return names
}

// ParseCalls reads a settings record of the section calls: JSON in the form of the deploy file's key calls. If site is nil,
// only the syntax is checked, and the policy is nil. name is the file name in faults.
func ParseCalls(name string, text []byte, site *control.Site) (*retry.Policy, error) {
	f, err := jsonfile.ParseUnder(name, text, "calls")
	if err != nil {
		return nil, err
	}
	d := &Deploy{source: f}
	d.readCalls(f.Root)
	if site != nil {
		d.compileCalls(site)
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return d.Calls, nil
}

// ParseLimits reads a settings record of the section limits: JSON in the form of the deploy file's key fleet.limits. If site
// is nil, the names of classes and tenants are not checked. name is the file name in faults.
func ParseLimits(name string, text []byte, site *control.Site, features Features) (*Limits, error) {
	f, err := jsonfile.ParseUnder(name, text, "fleet.limits")
	if err != nil {
		return nil, err
	}
	d := &Deploy{source: f}
	if f.Expect(f.Root, jsonfile.Object) {
		d.readLimits(f.Root, site, features)
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return d.Limits, nil
}

// inventoryFormats are the file extensions that the first line of an inventory record may hold.
var inventoryFormats = []string{".csv", ".yaml", ".yml"}

// IsInventoryFormat reports whether a file extension is one of an inventory format.
func IsInventoryFormat(extension string) bool {
	return slices.ContainsFunc(inventoryFormats, func(known string) bool { return strings.EqualFold(known, extension) })
}

// ParseInventory reads a settings record of the section inventory. The first line is a file extension (.csv, .yaml or .yml),
// which selects the format of the lines after it. Line numbers in faults count that first line as line 1.
func ParseInventory(name string, value []byte) ([]routing.Host, error) {
	extension, text, _ := bytes.Cut(value, []byte("\n"))
	format := strings.TrimSpace(string(extension))
	if !IsInventoryFormat(format) {
		reason := fmt.Sprintf("the first line is %.40q, must be %s: the format of the lines after it", format, strings.Join(inventoryFormats, ", "))
		return nil, jsonfile.Faults{{File: name, Line: 1, Col: 1, Reason: reason}}
	}
	hosts, err := inventory.Parse(name+format, text)
	var fault *inventory.Error
	if errors.As(err, &fault) {
		return nil, jsonfile.Faults{{File: name, Line: fault.Line + 1, Col: 1, Path: fault.Key, Reason: fault.Reason}}
	}
	if err == nil && len(hosts) == 0 {
		reason := "lists no servers; delete the record to use the gatekeepers' own files"
		return nil, jsonfile.Faults{{File: name, Line: 1, Col: 1, Reason: reason}}
	}
	return hosts, err
}

// InventoryRecord returns the value of an inventory record with the contents of a file. ending is the file's extension.
func InventoryRecord(extension string, text []byte) []byte {
	return append([]byte(extension+"\n"), text...)
}
