// Package scope decides which settings records of the store apply to one gatekeeper. A record is written for a scope: all
// gatekeepers, those of a region, of a zone, of a service, or a single one. For each section of the settings the record
// of the narrowest scope applies; it replaces the section of wider scopes as a whole. The package is pure: it does no I/O
// and reads no clock.
package scope

import (
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Prefix is the common prefix of the keys of all settings records.
const Prefix = "settings/"

// The sections of the settings.
const (
	SectionCalls     = "calls"     // JSON, in the format of the key "calls" of the deploy file
	SectionLimits    = "limits"    // JSON, in the format of the key "fleet.limits" of the deploy file
	SectionInventory = "inventory" // the file extension ".csv" or ".yaml" on the first line, followed by the text of the file
)

var sections = []string{SectionCalls, SectionLimits, SectionInventory}

// Sections returns the names of all sections.
func Sections() []string { return slices.Clone(sections) }

// Kind is a kind of scope. A greater kind is narrower.
type Kind int

// The kinds of scope, from wide to narrow.
const (
	All Kind = iota
	Region
	Zone
	Service
	Gatekeeper
)

var kindNames = [...]string{"all", "region", "zone", "service", "gatekeeper"}

// String returns the name of the kind as used in keys.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// MaxNameLength is the maximum length in bytes of the name of a gatekeeper, region, zone or service.
const MaxNameLength = 128

// Key is the parsed key of a settings record.
type Key struct {
	Kind    Kind
	Name    string // name of the region, zone, service or gatekeeper; "" for All
	Section string
}

// String returns the key as stored: settings/all/SECTION or settings/KIND/NAME/SECTION.
func (k Key) String() string { return scopePrefix(k.Kind, k.Name) + k.Section }

// scopePrefix returns the common prefix of all keys of one scope.
func scopePrefix(kind Kind, name string) string {
	if kind == All {
		return Prefix + kind.String() + "/"
	}
	return Prefix + kind.String() + "/" + name + "/"
}

// ParseKey parses the key of a settings record. The error is a *KeyError.
func ParseKey(key string) (Key, error) {
	rest, ok := strings.CutPrefix(key, Prefix)
	if !ok {
		return Key{}, &KeyError{key, MissingPrefix}
	}
	parts := strings.Split(rest, "/")
	kind := slices.Index(kindNames[:], parts[0])
	if kind < 0 {
		return Key{}, &KeyError{key, UnknownScope}
	}
	k := Key{Kind: Kind(kind)}
	wantParts := 3
	if k.Kind == All {
		wantParts = 2
	}
	if len(parts) != wantParts {
		return Key{}, &KeyError{key, WrongPartCount}
	}
	k.Section = parts[wantParts-1]
	if k.Kind != All {
		k.Name = parts[1]
		if !validName(k.Name) {
			return Key{}, &KeyError{key, InvalidName}
		}
	}
	if !slices.Contains(sections, k.Section) {
		return Key{}, &KeyError{key, UnknownSection}
	}
	return k, nil
}

// validName reports whether a name is valid in a key: 1 to MaxNameLength bytes of UTF-8 without slashes, spaces and control
// characters.
func validName(name string) bool {
	if name == "" || len(name) > MaxNameLength || !utf8.ValidString(name) {
		return false
	}
	return !strings.ContainsFunc(name, func(r rune) bool {
		return r == '/' || unicode.IsSpace(r) || !unicode.IsPrint(r)
	})
}

// Target identifies a gatekeeper for the selection of scopes. An empty name means that it is in no such region, zone or
// service.
type Target struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
}

// Check returns an error if a name of the target is not valid in a key. The error is a *NameError.
func (t Target) Check() error {
	for kind := Region; kind <= Gatekeeper; kind++ {
		if scopeName := t.scopeName(kind); scopeName != "" && !validName(scopeName) {
			return &NameError{kind, scopeName}
		}
	}
	return nil
}

// scopeName returns the name of the target's scope of a kind, or "" if it has none.
func (t Target) scopeName(kind Kind) string {
	switch kind {
	case Region:
		return t.Region
	case Zone:
		return t.Zone
	case Service:
		return t.Service
	case Gatekeeper:
		return t.Name
	}
	return ""
}

// Prefixes returns the key prefixes of the target's scopes, widest first, without those whose name is empty.
func (t Target) Prefixes() []string {
	prefixes := []string{scopePrefix(All, "")}
	for kind := Region; kind <= Gatekeeper; kind++ {
		if scopeName := t.scopeName(kind); scopeName != "" {
			prefixes = append(prefixes, scopePrefix(kind, scopeName))
		}
	}
	return prefixes
}

// covers reports whether a key belongs to one of the target's scopes.
func (t Target) covers(k Key) bool { return k.Kind == All || k.Name == t.scopeName(k.Kind) }

// Record is one record of the store.
type Record struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Resolve returns the records that apply to a target, by section: the narrowest among the records of its scopes. A
// section without a record is missing in the map; for it the file of the gatekeeper itself applies. Ignored are records
// of other scopes, records whose key cannot be parsed (a later version may have written them) and records without a
// value, which are deleted. If two records have the same key, the one with the higher revision counts. The order of the
// records makes no difference.
func Resolve(t Target, records []Record) map[string]Record {
	newest := make(map[Key]Record, len(records))
	for _, r := range records {
		k, err := ParseKey(r.Key)
		if err != nil || !t.covers(k) {
			continue
		}
		if other, ok := newest[k]; ok && other.Revision >= r.Revision {
			continue
		}
		newest[k] = r
	}
	narrowest := make(map[string]Kind, len(sections))
	resolved := make(map[string]Record, len(sections))
	for k, r := range newest {
		if len(r.Value) == 0 {
			continue
		}
		if kind, ok := narrowest[k.Section]; ok && kind > k.Kind {
			continue
		}
		narrowest[k.Section] = k.Kind
		resolved[k.Section] = r
	}
	return resolved
}
