package config

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"beammux/internal/jsonfile"
)

// badSettings are records that no control machine may commit, each with the line that is reported first.
var badSettings = []struct{ key, value, want string }{
	{"settings/all/calls", ``, `settings/all/calls:1:1: the file is empty`},
	{"settings/all/calls", `[]`, `settings/all/calls:1:1: calls: is an array, must be an object`},
	{"settings/all/calls", "{\n \"defaults\": {\"atempts\": 3}}", `settings/all/calls:2:15: calls.defaults.atempts: unknown key; did you mean "attempts"?`},
	{"settings/zone/z/calls", `{"defaults":{"attempts":6}}`, `settings/zone/z/calls:1:14: calls.defaults.attempts: 6 is over 5, the most that the deployment allows`},
	{"settings/all/calls", `{"classes":{"menu-vew":{"attempts":1}}}`, `settings/all/calls:1:13: calls.classes.menu-vew: the settings name no such class: "menu-vew"; did you mean "menu-view"?`},
	{"settings/all/limits", `{"parts":4}`, `settings/all/limits:1:1: fleet.limits: rules is missing`},
	{"settings/all/limits", `3`, `settings/all/limits:1:1: fleet.limits: is a number, must be an object`},
	{"settings/region/r/limits", "{\"parts\":4,\"rules\":[{\"name\":\"a\",\"mode\":\"near\",\n\"per_s\":0}]}", `settings/region/r/limits:2:1: fleet.limits.rules[0].per_s: 0 is under 0.001`},
	{"settings/all/limits", `{"parts":4,"rules":[{"name":"a","mode":"alone","per_s":9,"match":{"class":"voice"}}]}`, `settings/all/limits:1:67: fleet.limits.rules[0].match.class: the settings name no such class: "voice"`},
	{"settings/gatekeeper/g/inventory", "name,address\n", `settings/gatekeeper/g/inventory:1:1: the first line is "name,address", must be .csv, .yaml, .yml`},
	{"settings/gatekeeper/g/inventory", ".csv\nname,address\ns-1,nowhere\n", `settings/gatekeeper/g/inventory:3:1: address: not host and port: "nowhere"`},
	{"settings/all/inventory", ".csv\nname\n", `settings/all/inventory:2:1: address: missing in the header`},
	{"settings/all/inventory", ".yaml\nall: {hosts: {s-1: {}}}\n", `settings/all/inventory:2:1: address: missing`},
	{"settings/all/inventory", ".csv\nname,address\n", `settings/all/inventory:1:1: names no server; to leave the list to the gatekeepers' own files, delete the record`},
	{"settings/all/inventory", "", `settings/all/inventory:1:1: the first line is ""`},
}

func TestBadSettings(t *testing.T) {
	for _, row := range badSettings {
		err := CheckSettings(row.key, []byte(row.value), site())
		require.Error(t, err, row.value)
		require.IsType(t, jsonfile.Faults{}, err, row.value)
		first, _, _ := strings.Cut(err.Error(), "\n")
		require.True(t, strings.HasPrefix(first, row.want), "%s\n got %s\nwant %s", row.value, first, row.want)
	}
}

// Keys that no gatekeeper would follow are refused before anything is committed, with what was meant.
func TestBadSettingsKeys(t *testing.T) {
	for key, want := range map[string]string{
		"settings/all/cals":          `did you mean "calls"?`,
		"settings/zne/z/calls":       `did you mean "zone"?`,
		"settings/zone/calls":        "settings/zone/calls",
		"settings/all/x/calls":       "settings/all/x/calls",
		"settings/gatekeeper//calls": "settings/gatekeeper//calls",
		"settings/":                  "settings/",
	} {
		err := CheckSettings(key, []byte(`{}`), site())
		require.ErrorContains(t, err, want, key)
		require.NotContains(t, err.Error(), "\n", key)
	}
}

// What is good passes; without a site names are not looked up, and form is checked all the same.
func TestGoodSettings(t *testing.T) {
	for key, value := range map[string]string{
		"settings/all/calls":          `{"defaults":{"attempts":2}}`,
		"settings/zone/z1/limits":     `{"parts":4,"rules":[{"name":"a","mode":"leased","per_s":9},{"name":"b","mode":"near","per_s":9,"match":{"class":"billing"}}]}`,
		"settings/service/s/limits":   `{"parts":4,"rules":[]}`,
		"settings/region/r/inventory": ".csv\nname,address\ns-1,127.0.0.1:9\n",
		"settings/all/inventory":      ".yaml\nall: {hosts: {s-1: {address: \"127.0.0.1:9\"}}}\n",
	} {
		require.NoError(t, CheckSettings(key, []byte(value), site()), key)
	}
	require.NoError(t, CheckSettings("settings/all/calls", []byte(`{"classes":{"voice":{"attempts":9}}}`), nil))
	require.NoError(t, CheckSettings("settings/all/limits", []byte(`{"parts":4,"rules":[{"name":"a","mode":"alone","per_s":9,"match":{"class":"voice"}}]}`), nil))
	var faults jsonfile.Faults
	require.True(t, errors.As(CheckSettings("settings/all/calls", []byte(`{"x":1}`), nil), &faults))
	require.Equal(t, 1, faults[0].Line)
}

// A gatekeeper refuses limits that need what it does not have.
func TestLimitsNeedWhatIsAround(t *testing.T) {
	near := []byte(`{"parts":4,"rules":[{"name":"a","mode":"near","per_s":9}]}`)
	leased := []byte(`{"parts":4,"rules":[{"name":"a","mode":"leased","per_s":9}]}`)
	_, err := ParseLimits("k", near, site(), Features{Store: true})
	require.ErrorContains(t, err, "k:1:33: fleet.limits.rules[0].mode: near needs the fleet's gossip")
	_, err = ParseLimits("k", leased, site(), Features{Gossip: true})
	require.ErrorContains(t, err, "k:1:33: fleet.limits.rules[0].mode: leased needs a store")
	l, err := ParseLimits("k", near, site(), Features{Gossip: true})
	require.NoError(t, err)
	require.Len(t, l.Rules, 1)
}
