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

// Limits is the section fleet.limits: limits of the whole fleet.
type Limits struct {
	quota.Limits
	Store []string // where the store's members are reached, where this gatekeeper is none; "": its own
}

// Bounds of the section.
const (
	mostParts = 1024
	mostPerS  = 1e6
	mostOpen  = 1 << 20
	mostShare = 0.9
	mostFloor = 0.5
)

// plainFloor is the part of a leased limit that all gatekeepers together may spend without a lease, where the file does not say.
const plainFloor = 0.02

// Features says what a gatekeeper has that limits of the whole fleet may need.
type Features struct {
	Gossip bool // it takes part in the fleet's gossip
	Store  bool // it is a member of a store that the fleet shares
}

// limits reads the section. Without a site, names of classes and tenants are not looked up.
func (d *Deploy) limits(v *jsonfile.Value, site *control.Site, around Features) {
	f, l := d.file, &Limits{}
	m := f.Members(v, "parts", "store", "rules")
	if v.Kind != jsonfile.Object {
		return
	}
	l.Parts = int(f.Whole(m[0], 1, mostParts))
	if m[0] == nil {
		f.Fault(v.Path, "parts is missing: the gatekeepers that run at most")
	}
	if f.Is(m[1], jsonfile.Array) {
		for _, item := range m[1].Items {
			if addr := f.String(item); addr != "" {
				l.Store = append(l.Store, addr)
			}
		}
	}
	l.MayUseReserve = dearest(site)
	if m[2] == nil {
		f.Fault(v.Path, "rules is missing")
	}
	if f.Is(m[2], jsonfile.Array) {
		if len(m[2].Items) > mostRoutes {
			f.Fault(m[2].Path, fmt.Sprintf("%d rules, over %d", len(m[2].Items), mostRoutes))
		}
		for _, item := range m[2].Items {
			r := d.limit(item, l, site, around)
			if slices.ContainsFunc(l.Rules, func(o quota.Rule) bool { return o.Name == r.Name && r.Name != "" }) {
				f.Fault(item.Path+".name", fmt.Sprintf("%q is the name of a rule above already", r.Name))
			}
			l.Rules = append(l.Rules, r)
		}
	}
	d.Limits = l
}

// dearest tells of each class whether none has a greater worth.
func dearest(site *control.Site) []bool {
	if site == nil {
		return nil
	}
	best := 0.0
	for _, c := range site.Classes {
		best = max(best, c.Worth)
	}
	var dear []bool
	for _, c := range site.Classes {
		dear = append(dear, c.Worth == best)
	}
	return dear
}

// limit reads one rule.
func (d *Deploy) limit(v *jsonfile.Value, l *Limits, site *control.Site, around Features) quota.Rule {
	f := d.file
	m := f.Members(v, "name", "match", "mode", "per_s", "burst", "open", "reserve", "floor")
	r := quota.Rule{Name: f.String(m[0]), Tenant: -1, Class: -1, Prefix: true, PerS: f.Number(m[3], 0.001, mostPerS),
		Burst: f.Number(m[4], 1, mostPerS), Open: int(f.Whole(m[5], 1, mostOpen)), Reserve: f.Number(m[6], 0, mostShare),
		Floor: f.Number(m[7], 0, mostFloor)}
	if v.Kind != jsonfile.Object {
		return r
	}
	switch {
	case m[0] == nil:
		f.Fault(v.Path, "name is missing")
	case m[0].Kind == jsonfile.String && (r.Name == "" || len(r.Name) > mostFleetName || strings.ContainsAny(r.Name, " \t\n")):
		f.Fault(m[0].Path, fmt.Sprintf("must have 1 to %d characters without white space", mostFleetName))
	}
	d.limitMatch(m[1], &r, site)
	mode, known := quota.ParseMode(f.String(m[2]))
	switch {
	case m[2] == nil:
		f.Fault(v.Path, "mode is missing: "+strings.Join(quota.ModeNames(), ", "))
	case m[2].Kind == jsonfile.String && !known:
		f.Fault(m[2].Path, fmt.Sprintf("%q is none of %s%s", m[2].Text, strings.Join(quota.ModeNames(), ", "), jsonfile.Hint(m[2].Text, quota.ModeNames())))
	}
	r.Mode = mode
	if m[3] == nil && m[5] == nil {
		f.Fault(v.Path, "per_s and open are missing: it would limit nothing")
	}
	if m[4] != nil && m[3] == nil {
		f.Fault(m[4].Path, "is the burst of per_s, which is missing")
	}
	if m[7] != nil && mode != quota.Leased && known {
		f.Fault(m[7].Path, "is for the mode leased")
	}
	if m[7] == nil {
		r.Floor = plainFloor
	}
	if m[4] == nil {
		r.Burst = max(math.Ceil(r.PerS), float64(l.Parts))
	}
	shared := mode != quota.Alone && l.Parts > 0
	if shared && m[4] != nil && r.Burst > 0 && r.Burst < float64(l.Parts) {
		f.Fault(m[4].Path, fmt.Sprintf("%g is under the %d parts: each gatekeeper must be able to hold one call", r.Burst, l.Parts))
	}
	if shared && r.Open > 0 && r.Open < l.Parts {
		f.Fault(m[5].Path, fmt.Sprintf("%d is under the %d parts: each gatekeeper must be able to hold one call", r.Open, l.Parts))
	}
	switch {
	case mode == quota.Near && !around.Gossip:
		f.Fault(m[2].Path, "near needs the fleet's gossip: zone and bind are missing beside limits")
	case mode == quota.Leased && len(l.Store) == 0 && !around.Store:
		f.Fault(m[2].Path, "leased needs a store that the fleet shares: name store.peers, or the members' addresses in fleet.limits.store")
	}
	return r
}

func (d *Deploy) limitMatch(v *jsonfile.Value, r *quota.Rule, site *control.Site) {
	f := d.file
	m := f.Members(v, "tenant", "class", "number")
	var tenants, classes []string
	if site != nil {
		tenants, classes = site.TenantNames, site.ClassNames
	}
	name := func(v *jsonfile.Value, what string, known []string) int {
		if !f.Is(v, jsonfile.String) || site == nil {
			return -1
		}
		i := slices.Index(known, v.Text)
		if i < 0 {
			f.Fault(v.Path, fmt.Sprintf("the settings name no such %s: %q%s", what, v.Text, jsonfile.Hint(v.Text, known)))
		}
		return i
	}
	r.Tenant, r.Class = name(m[0], "tenant", tenants), name(m[1], "class", classes)
	if number := f.String(m[2]); m[2] != nil && m[2].Kind == jsonfile.String {
		r.Number, r.Prefix = strings.CutSuffix(number, "*")
		switch {
		case number == "":
			f.Fault(m[2].Path, "is empty; leave it out to match any number")
		case strings.Contains(r.Number, "*"):
			f.Fault(m[2].Path, fmt.Sprintf("%q: a * stands only at the end, for any further digits", number))
		case !routing.ValidKey(r.Number):
			f.Fault(m[2].Path, fmt.Sprintf("%q can't be a number called", number))
		}
	}
}
