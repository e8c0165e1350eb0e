package config

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"beammux/control"
	"beammux/control/quota"
	"beammux/internal/jsonfile"
	"beammux/internal/routing"
)

// Limits is the section fleet.limits: the limits of the whole fleet.
type Limits struct {
	quota.Limits
	Store []string // addresses of the store's members, for a gatekeeper that is no member; empty: its own store
}

// Bounds of the section fleet.limits.
const (
	maxParts     = 1024
	maxPerSecond = 1e6
	maxOpen      = 1 << 20
	maxReserve   = 0.9
	maxFloor     = 0.5
)

// defaultFloor is the default fraction of a leased limit that all gatekeepers together may use without a lease.
const defaultFloor = 0.02

// Features lists the features of a gatekeeper that limits of the whole fleet may require.
type Features struct {
	Gossip bool // the gatekeeper takes part in the fleet's gossip
	Store  bool // the gatekeeper is a member of a store that the fleet shares
}

// readLimits reads the section fleet.limits. If site is nil, the names of classes and tenants are not checked.
func (d *Deploy) readLimits(v *jsonfile.Value, site *control.Site, features Features) {
	f, limits := d.source, &Limits{}
	members := f.Members(v, "parts", "store", "rules")
	if v.Kind != jsonfile.Object {
		return
	}
	limits.Parts = int(f.Int(members[0], 1, maxParts))
	if members[0] == nil {
		f.AddFault(v.Path, "parts is missing: the maximum number of gatekeepers that run")
	}
	if f.Expect(members[1], jsonfile.Array) {
		for _, item := range members[1].Items {
			if addr := f.String(item); addr != "" {
				limits.Store = append(limits.Store, addr)
			}
		}
	}
	limits.MayUseReserve = hasGreatestWorth(site)
	if members[2] == nil {
		f.AddFault(v.Path, "rules is missing")
	}
	if f.Expect(members[2], jsonfile.Array) {
		if len(members[2].Items) > maxRoutes {
			f.AddFault(members[2].Path, fmt.Sprintf("%d rules, over %d", len(members[2].Items), maxRoutes))
		}
		for _, item := range members[2].Items {
			rule := d.readLimitRule(item, limits, site, features)
			if slices.ContainsFunc(limits.Rules, func(other quota.Rule) bool { return other.Name == rule.Name && rule.Name != "" }) {
				f.AddFault(item.Path+".name", fmt.Sprintf("%q is already the name of an earlier rule", rule.Name))
			}
			limits.Rules = append(limits.Rules, rule)
		}
	}
	d.Limits = limits
}

// hasGreatestWorth reports for each class whether it has the greatest worth of all classes.
func hasGreatestWorth(site *control.Site) []bool {
	if site == nil {
		return nil
	}
	greatest := 0.0
	for _, c := range site.Classes {
		greatest = max(greatest, c.Worth)
	}
	var flags []bool
	for _, c := range site.Classes {
		flags = append(flags, c.Worth == greatest)
	}
	return flags
}

// readLimitRule reads one rule of the section. l holds the parts and the store, which are read before the rules.
func (d *Deploy) readLimitRule(v *jsonfile.Value, limits *Limits, site *control.Site, features Features) quota.Rule {
	f := d.source
	members := f.Members(v, "name", "match", "mode", "per_s", "burst", "open", "reserve", "floor")
	rule := quota.Rule{Name: f.String(members[0]), Tenant: -1, Class: -1, Prefix: true, PerS: f.Number(members[3], 0.001, maxPerSecond),
		Burst: f.Number(members[4], 1, maxPerSecond), Open: int(f.Int(members[5], 1, maxOpen)), Reserve: f.Number(members[6], 0, maxReserve),
		Floor: f.Number(members[7], 0, maxFloor)}
	if v.Kind != jsonfile.Object {
		return rule
	}
	switch {
	case members[0] == nil:
		f.AddFault(v.Path, "name is missing")
	case members[0].Kind == jsonfile.String && (rule.Name == "" || len(rule.Name) > maxFleetNameLength || strings.ContainsAny(rule.Name, " \t\n")):
		f.AddFault(members[0].Path, fmt.Sprintf("must have 1 to %d characters without white space", maxFleetNameLength))
	}
	d.readLimitMatch(members[1], &rule, site)
	mode, known := quota.ParseMode(f.String(members[2]))
	switch {
	case members[2] == nil:
		f.AddFault(v.Path, "mode is missing: "+strings.Join(quota.ModeNames(), ", "))
	case members[2].Kind == jsonfile.String && !known:
		f.AddFault(members[2].Path, fmt.Sprintf("%q is none of %s%s", members[2].Text, strings.Join(quota.ModeNames(), ", "), jsonfile.Hint(members[2].Text, quota.ModeNames())))
	}
	rule.Mode = mode
	if members[3] == nil && members[5] == nil {
		f.AddFault(v.Path, "per_s and open are missing: the rule would limit nothing")
	}
	if members[4] != nil && members[3] == nil {
		f.AddFault(members[4].Path, "requires per_s, which is missing")
	}
	if members[7] != nil && mode != quota.Leased && known {
		f.AddFault(members[7].Path, "is valid only with the mode leased")
	}
	if members[7] == nil {
		rule.Floor = defaultFloor
	}
	if members[4] == nil {
		rule.Burst = max(math.Ceil(rule.PerS), float64(limits.Parts))
	}
	shared := mode != quota.Alone && limits.Parts > 0
	if shared && members[4] != nil && rule.Burst > 0 && rule.Burst < float64(limits.Parts) {
		f.AddFault(members[4].Path, fmt.Sprintf("%g is under the %d parts: each gatekeeper must be able to hold one call", rule.Burst, limits.Parts))
	}
	if shared && rule.Open > 0 && rule.Open < limits.Parts {
		f.AddFault(members[5].Path, fmt.Sprintf("%d is under the %d parts: each gatekeeper must be able to hold one call", rule.Open, limits.Parts))
	}
	switch {
	case mode == quota.Near && !features.Gossip:
		f.AddFault(members[2].Path, "near needs the fleet's gossip: zone and bind are missing beside limits")
	case mode == quota.Leased && len(limits.Store) == 0 && !features.Store:
		f.AddFault(members[2].Path, "leased needs a store that the fleet shares: name store.peers, or the members' addresses in fleet.limits.store")
	}
	return rule
}

// readLimitMatch reads the condition of a rule into r.
func (d *Deploy) readLimitMatch(v *jsonfile.Value, rule *quota.Rule, site *control.Site) {
	f := d.source
	members := f.Members(v, "tenant", "class", "number")
	var tenants, classes []string
	if site != nil {
		tenants, classes = site.TenantNames, site.ClassNames
	}
	indexOf := func(v *jsonfile.Value, kind string, known []string) int {
		if !f.Expect(v, jsonfile.String) || site == nil {
			return -1
		}
		i := slices.Index(known, v.Text)
		if i < 0 {
			f.AddFault(v.Path, fmt.Sprintf("the settings name no such %s: %q%s", kind, v.Text, jsonfile.Hint(v.Text, known)))
		}
		return i
	}
	rule.Tenant, rule.Class = indexOf(members[0], "tenant", tenants), indexOf(members[1], "class", classes)
	if number := f.String(members[2]); members[2] != nil && members[2].Kind == jsonfile.String {
		rule.Number, rule.Prefix = strings.CutSuffix(number, "*")
		switch {
		case number == "":
			f.AddFault(members[2].Path, "is empty; omit it to match any number")
		case strings.Contains(rule.Number, "*"):
			f.AddFault(members[2].Path, fmt.Sprintf("%q: a * is valid only at the end, for any further digits", number))
		case !routing.ValidKey(rule.Number):
			f.AddFault(members[2].Path, fmt.Sprintf("%q is not a valid called number", number))
		}
	}
}
