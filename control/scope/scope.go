// Package scope decides which settings records of the store hold for one gatekeeper. A record is written for a scope: all
// gatekeepers, those of a region, of a zone, of a service, or a single one. For each section of the settings the record of
// the narrowest scope holds; it replaces the section of the wider scopes whole. Pure.
package scope

import (
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Prefix is what the keys of all settings records begin with.
const Prefix = "settings/"

// The sections of the settings.
const (
	SectionCalls     = "calls"     // JSON, as the deploy file's key "calls"
	SectionLimits    = "limits"    // JSON, as the deploy file's key "fleet.limits"
	SectionInventory = "inventory" // the file ending ".csv" or ".yaml" in the first line, then the text of the file
)

var sections = []string{SectionCalls, SectionLimits, SectionInventory}

// Sections lists the names of all sections.
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

// String gives the kind's name in a key.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// MaxName is the length in bytes of the longest name of a gatekeeper, region, zone or service.
const MaxName = 128

// Key is the key of a settings record, in its parts.
type Key struct {
	Kind    Kind
	Name    string // the name of the region, zone, service or gatekeeper; "" of All
	Section string
}

// String gives the key as it stands in the store: settings/all/SECTION or settings/KIND/NAME/SECTION.
func (k Key) String() string { return scopePrefix(k.Kind, k.Name) + k.Section }

// scopePrefix is what all keys of one scope begin with.
func scopePrefix(kind Kind, of string) string {
	if kind == All {
		return Prefix + kind.String() + "/"
	}
	return Prefix + kind.String() + "/" + of + "/"
}

// ParseKey reads the key of a settings record. The error is a *KeyError.
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
	want := 3
	if k.Kind == All {
		want = 2
	}
	if len(parts) != want {
		return Key{}, &KeyError{key, WrongPartCount}
	}
	k.Section = parts[want-1]
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

// validName tells whether a name can stand in a key: 1 to MaxName bytes of UTF-8, without a slash, spaces or control characters.
func validName(name string) bool {
	if name == "" || len(name) > MaxName || !utf8.ValidString(name) {
		return false
	}
	return !strings.ContainsFunc(name, func(r rune) bool {
		return r == '/' || unicode.IsSpace(r) || !unicode.IsPrint(r)
	})
}

// Target is a gatekeeper, as far as scopes need it. It is in no region, zone or service whose name is empty.
type Target struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
}

// Check tells whether the names of a target can stand in keys. The error is a *NameError.
func (t Target) Check() error {
	for kind := Region; kind <= Gatekeeper; kind++ {
		if of := t.of(kind); of != "" && !validName(of) {
			return &NameError{kind, of}
		}
	}
	return nil
}

// of is the name of the target's scope of a kind, "" where it has none.
func (t Target) of(kind Kind) string {
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

// Prefixes gives the key prefixes of the target's scopes, widest first. Scopes without a name are left out.
func (t Target) Prefixes() []string {
	prefixes := []string{scopePrefix(All, "")}
	for kind := Region; kind <= Gatekeeper; kind++ {
		if of := t.of(kind); of != "" {
			prefixes = append(prefixes, scopePrefix(kind, of))
		}
	}
	return prefixes
}

// holds tells whether a key is of one of the target's scopes.
func (t Target) holds(k Key) bool { return k.Kind == All || k.Name == t.of(k.Kind) }

// Record is one record of the store.
type Record struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Resolve gives the records that hold for a target, by section: of the records of its scopes the narrowest. A section
// without a record is not in the map: for it the gatekeeper's own file holds. Left out are records of other scopes, those
// whose key can't be parsed (a later version may have written it) and those without a value, which are deleted ones. Of
// two records of one key the one with the higher revision counts. The order of the records makes no difference.
func Resolve(t Target, records []Record) map[string]Record {
	newest := make(map[Key]Record, len(records))
	for _, r := range records {
		k, err := ParseKey(r.Key)
		if err != nil || !t.holds(k) {
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
