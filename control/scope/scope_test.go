package scope

import (
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"beammux/control/advice"
)

var target = Target{Name: "g7", Region: "north", Zone: "n1", Service: "billing"}

func TestPrefixes(t *testing.T) {
	require.Equal(t, []string{"settings/all/", "settings/region/north/", "settings/zone/n1/", "settings/service/billing/", "settings/gatekeeper/g7/"}, target.Prefixes())
	require.Equal(t, []string{"settings/all/", "settings/zone/n1/"}, Target{Zone: "n1"}.Prefixes())
	require.Equal(t, []string{"settings/all/"}, Target{}.Prefixes())
}

func TestParseKey(t *testing.T) {
	for key, want := range map[string]Key{
		"settings/all/calls":                    {All, "", SectionCalls},
		"settings/region/R/calls":               {Region, "R", SectionCalls},
		"settings/zone/Z/limits":                {Zone, "Z", SectionLimits},
		"settings/service/S.a-b/inventory":      {Service, "S.a-b", SectionInventory},
		"settings/gatekeeper/G:1/calls":         {Gatekeeper, "G:1", SectionCalls},
		"settings/gatekeeper/gåta/calls":        {Gatekeeper, "gåta", SectionCalls},
		"settings/region/all/inventory":         {Region, "all", SectionInventory},
		"settings/service/calls/limits":         {Service, "calls", SectionLimits},
		"settings/zone/" + long(128) + "/calls": {Zone, long(128), SectionCalls},
	} {
		got, err := ParseKey(key)
		require.NoError(t, err, key)
		require.Equal(t, want, got)
		require.Equal(t, key, got.String())
	}
	for key, want := range map[string]KeyFault{
		"":                                      MissingPrefix,
		"settings":                              MissingPrefix,
		"Settings/all/calls":                    MissingPrefix,
		"inventory/all/calls":                   MissingPrefix,
		"settings/":                             UnknownScope,
		"settings//calls":                       UnknownScope,
		"settings/rack/r1/calls":                UnknownScope,
		"settings/All/calls":                    UnknownScope,
		"settings/all":                          WrongPartCount,
		"settings/all/x/calls":                  WrongPartCount,
		"settings/zone/calls":                   WrongPartCount,
		"settings/zone/a/b/calls":               WrongPartCount,
		"settings/zone/n1/calls/":               WrongPartCount,
		"settings/zone//calls":                  InvalidName,
		"settings/zone/a b/calls":               InvalidName,
		"settings/zone/a\x00/calls":             InvalidName,
		"settings/zone/a\xff/calls":             InvalidName,
		"settings/zone/" + long(129) + "/calls": InvalidName,
		"settings/all/":                         UnknownSection,
		"settings/all/verdicts":                 UnknownSection,
		"settings/zone/n1/":                     UnknownSection,
		"settings/zone/n1/Calls":                UnknownSection,
	} {
		_, err := ParseKey(key)
		var fault *KeyError
		require.ErrorAs(t, err, &fault, key)
		require.Equal(t, KeyError{key, want}, *fault)
		require.NotContains(t, err.Error(), "\n")
		require.Greater(t, len(advice.Of(err)), 25)
	}
}

func long(n int) string { return strings.Repeat("x", n) }

func TestTargetCheck(t *testing.T) {
	require.NoError(t, target.Check())
	require.NoError(t, Target{}.Check())
	for _, bad := range []Target{{Name: "a/b"}, {Region: "a b"}, {Zone: "\n"}, {Service: long(129)}} {
		err := bad.Check()
		var fault *NameError
		require.ErrorAs(t, err, &fault)
		require.Greater(t, len(advice.Of(err)), 25)
	}
}

// A narrower record replaces the section whole; a deleted one uncovers the wider one.
func TestResolve(t *testing.T) {
	records := []Record{
		{"settings/all/calls", []byte("1"), 1},
		{"settings/all/limits", []byte("2"), 2},
		{"settings/zone/n1/calls", []byte("3"), 3},
		{"settings/zone/n2/calls", []byte("4"), 4},       // of another zone
		{"settings/gatekeeper/g7/later", []byte("5"), 5}, // of a later version
		{"settings/service/billing/calls", []byte("6"), 1},
		{"settings/gatekeeper/g7/calls", nil, 7}, // deleted
	}
	want := map[string]Record{SectionCalls: records[5], SectionLimits: records[1]}
	require.Equal(t, want, Resolve(target, records))
	records[5] = Record{records[5].Key, nil, 8}
	want[SectionCalls] = records[2]
	require.Equal(t, want, Resolve(target, records))
	require.Equal(t, map[string]Record{SectionCalls: records[0], SectionLimits: records[1]}, Resolve(Target{}, records))
	require.Empty(t, Resolve(target, nil))
}

// naive is the rule as it is written: from the widest scope to the narrowest, each key's newest record replaces what was there.
func naive(t Target, records []Record) map[string]Record {
	resolved := map[string]Record{}
	for _, prefix := range t.Prefixes() {
		for _, section := range Sections() {
			var found *Record
			for i, r := range records {
				if r.Key == prefix+section && (found == nil || r.Revision > found.Revision) {
					found = &records[i]
				}
			}
			if found != nil && len(found.Value) > 0 {
				resolved[section] = *found
			}
		}
	}
	return resolved
}

// For random targets and records Resolve gives what the naive rule gives, in whichever order the records come.
func TestResolveModel(t *testing.T) {
	name := rapid.SampledFrom([]string{"", "a", "b", "all", "calls"})
	rapid.Check(t, func(t *rapid.T) {
		who := Target{name.Draw(t, "name"), name.Draw(t, "region"), name.Draw(t, "zone"), name.Draw(t, "service")}
		var records []Record
		for i := range rapid.IntRange(0, 40).Draw(t, "records") {
			k := Key{Kind(rapid.IntRange(int(All), int(Gatekeeper)).Draw(t, "kind")), "", rapid.SampledFrom(append(Sections(), "later")).Draw(t, "section")}
			if k.Kind != All {
				k.Name = name.Draw(t, "of")
			}
			var value []byte
			if rapid.IntRange(0, 3).Draw(t, "deleted") > 0 {
				value = []byte{byte(i)}
			}
			// A revision of the store writes a key once.
			records = append(records, Record{k.String(), value, uint64(i + 1)})
		}
		mixed := rapid.Permutation(records).Draw(t, "mixed")
		want := naive(who, records)
		if diff := cmp.Diff(want, Resolve(who, mixed)); diff != "" {
			t.Fatal(diff)
		}
		// What it resolves to needs no more than the records under the target's prefixes.
		followed := slices.DeleteFunc(slices.Clone(records), func(r Record) bool {
			return !slices.ContainsFunc(who.Prefixes(), func(p string) bool { return strings.HasPrefix(r.Key, p) })
		})
		if diff := cmp.Diff(want, Resolve(who, followed)); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Every text is either refused, or is exactly the key that its parts give.
func TestParseKeyModel(t *testing.T) {
	part := rapid.SampledFrom([]string{"settings", "all", "zone", "gatekeeper", "", "n1", "calls", "limits", " ", "\x7f"})
	rapid.Check(t, func(t *rapid.T) {
		key := strings.Join(rapid.SliceOfN(part, 0, 6).Draw(t, "parts"), "/")
		k, err := ParseKey(key)
		if err == nil && k.String() != key {
			t.Fatalf("%q is read as %+v, whose key is %q", key, k, k.String())
		}
	})
}
