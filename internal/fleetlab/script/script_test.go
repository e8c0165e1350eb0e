package script

import (
	"bytes"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const head = "version: 1\nseed: 7\ngatekeepers: 4\nservers: 6\nzones: 2\nstore_members: 3\nload: 0.6\nlength: 12s\n"

// Parse reports every problem of a file with its line and key in one pass, and bad input does not panic.
func TestBadScripts(t *testing.T) {
	for text, want := range map[string]string{
		"":                                   "f:1:1: is empty",
		"- a":                                "f:1:1: must be a mapping of keys",
		"version: [":                         "f:1:1: did not find expected node content",
		"a: &x [*x]":                         "f:1:1: a: is not known",
		strings.Replace(head, "1", "2", 1):   "f:1:10: version: is 2, but this program supports version 1",
		strings.Replace(head, "4", "33", 1):  `f:3:14: gatekeepers: "33" is not a whole number from 1 to 32`,
		strings.Replace(head, "7", "-1", 1):  `f:2:7: seed: "-1" is not a whole number of 64 bits`,
		strings.Replace(head, "12s", "3", 1): `f:8:9: length: "3" is not a duration of at most 2h0m0s, such as 250ms or 3s`,
		strings.Replace(head, "zones: 2", "zones: 5", 1):                "f:1:1: zones: each zone needs a gatekeeper and a server",
		strings.Replace(head, "store_members: 3", "store_member: 3", 1): `f:6:1: store_member: is not known; did you mean "store_members"?`,
		head + "seed: 8\n":        "f:9:1: seed: appears more than once",
		head + "faults: 3\n":      "f:9:9: faults: must be a list",
		head + "faults:\n  - 3\n": "f:10:5: faults[0]: must be a mapping of keys",
		head + "faults:\n  - {at: 1s, for: 1s, fault: kil, target: g1}":                   `did you mean "kill"?`,
		head + "faults:\n  - {at: 1s, fault: kill, target: g1}":                           "f:10:5: faults[0].for: is required for kill",
		head + "faults:\n  - {at: 1s, for: 0s, fault: kill, target: g1}":                  "f:10:19: faults[0].for: must be greater than 0",
		head + "faults:\n  - {at: 1s, for: 1s, fault: kill, target: g5}":                  `faults[0].target: "g5" matches no process of this fleet`,
		head + "faults:\n  - {at: 1s, for: 1s, fault: kill, target: s1}":                  `faults[0].target: "s1": s1 is not a gatekeeper`,
		head + "faults:\n  - {at: 1s, for: 1s, fault: lose, target: zone:a}":              "g1 is not a menu server",
		head + "faults:\n  - {at: 1s, for: 1s, fault: cut, from: zone:c, to: all}":        `there is no zone "c"`,
		head + "faults:\n  - {at: 1s, for: 1s, fault: pause, target: g1, delay: 3s}":      "faults[0].delay: does not apply to pause",
		head + "faults:\n  - {at: 1s, for: 1s, fault: loss, from: g1, to: g2, part: 1.5}": `faults[0].part: "1.5" is not a number greater than 0 and at most 1`,
		head + "faults:\n  - {at: 1s, for: 1s, fault: kill, target: g1, state: new}":      `"new" is neither same nor empty`,
	} {
		_, err := Parse("f", []byte(text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
	_, err := Parse("f", []byte("version: 3\ngatekeepers: 0\nfaults:\n  - {fault: x}\n"))
	if err == nil || strings.Count(err.Error(), "\n") < 8 {
		t.Errorf("not all problems reported in one pass: %v", err)
	}
}

func TestSelect(t *testing.T) {
	s := &Script{Gatekeepers: 3, Servers: 4, Zones: 2}
	for selector, want := range map[string]string{
		"g2": "g2", "zone:a": "g1 g3 s1 s3 front-a", "servers@b": "s2 s4", "gatekeepers": "g1 g2 g3", "bus+g1+gatekeepers@a": "bus g1 g3",
		"fronts": "front-a front-b", "all@b": "g2 s2 s4 front-b",
	} {
		got, err := s.Select(selector)
		if err != nil || strings.Join(got, " ") != want {
			t.Errorf("%s: %v %v", selector, got, err)
		}
	}
	for _, bad := range []string{"", "g4", "g1@a", "zone:c", "servers@", "g1+", "s0"} {
		if got, err := s.Select(bad); err == nil {
			t.Errorf("%q selected %v, want an error", bad, got)
		}
	}
}

// For every fleet, the same seed generates the same bytes, and the generated script is valid and parses back unchanged.
func TestDraw(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		g, v := rapid.IntRange(1, MaxGatekeepers).Draw(r, "gatekeepers"), rapid.IntRange(1, MaxServers).Draw(r, "servers")
		shape := Shape{Gatekeepers: g, Servers: v, Zones: rapid.IntRange(1, min(g, v, MaxZones)).Draw(r, "zones"),
			Members: rapid.IntRange(0, min(g, MaxStoreMembers)).Draw(r, "members"), Load: 0.5, Limits: &Limits{Mode: "near", PerS: 50, Burst: 60}}
		names := Kinds()
		a, err := Draw(seed, shape, names)
		if err != nil {
			r.Fatal(err)
		}
		b, _ := Draw(seed, shape, names)
		if !bytes.Equal(a.Marshal(), b.Marshal()) {
			r.Fatal("the same seed generated two different scripts")
		}
		back, err := Parse("drawn", a.Marshal())
		if err != nil {
			r.Fatalf("%v in\n%s", err, a.Marshal())
		}
		for i := range back.Faults {
			back.Faults[i].Line = 0
		}
		if !reflect.DeepEqual(a, back) {
			r.Fatalf("parsed back as %+v, want %+v", back, a)
		}
		if len(a.Faults) != len(names) {
			r.Fatalf("%d faults for %d kinds", len(a.Faults), len(names))
		}
		for _, f := range a.Faults {
			if f.At < Duration(firstFaultAt) || f.At+f.For+Duration(quietTail) > a.Length {
				r.Fatalf("fault %s is not within the run of %s", f.Name(), a.Length)
			}
		}
	})
	one, _ := Draw(1, Shape{4, 6, 2, 3, 0.6, false, &Limits{Mode: "near", PerS: 50, Burst: 60}}, Kinds())
	two, _ := Draw(2, Shape{4, 6, 2, 3, 0.6, false, &Limits{Mode: "near", PerS: 50, Burst: 60}}, Kinds())
	if bytes.Equal(one.Marshal(), two.Marshal()) {
		t.Error("two seeds generated the same script")
	}
}
