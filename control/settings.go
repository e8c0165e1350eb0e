package control

import (
	"fmt"

	"github.com/valyala/fastjson"
)

// Site is a decoded settings object: the settings of this package and those of the programs around it.
type Site struct {
	Settings
	ClassNames             []string
	TenantNames            []string
	ReportNames            []string // field names as written; same order as Settings.Report
	TellsWait              bool
	SecondCopies           bool // two attempts of one call may be in flight at once
	DialTimeout, KeepAlive Micros
	AnswerSlack            Micros // time past its deadline that a final answer may take
	DrainGrace             Micros // time after the start of a drain within which set-ups may still be sent
}

// SettingsError reports an invalid value of a settings key. Key is empty if the whole object is invalid.
type SettingsError struct{ Key, Problem string }

// Error implements the error interface.
func (e *SettingsError) Error() string {
	if e.Key == "" {
		return e.Problem
	}
	return "key " + e.Key + " " + e.Problem
}

// fieldNames maps the names of report fields in the settings.
var fieldNames = map[string]Field{
	"spare": Spare, "total": Total, "lat_ms": WaitMs, "q": Queue, "busy": Busy,
	// the operators' names for the same values
	"x0": Spare, "x1": Total, "latency_ms": WaitMs, "queue": Queue, "util": Busy,
}

// ParseField returns the field with a given name in the settings, or Ignored if the name is not known.
func ParseField(name string) Field { return fieldNames[name] }

// repeatNames maps the names of repeat conditions in the settings.
var repeatNames = map[string]Repeat{"read_like": Idempotent, "idempotency_key": IdempotentByKey, "non_idempotent": NonIdempotent}

// ParseSite parses the JSON text of a settings object.
func ParseSite(text string) (*Site, error) {
	v, err := fastjson.Parse(text)
	if err != nil {
		return nil, &SettingsError{"", "not a JSON object: " + err.Error()}
	}
	return DecodeSite(v)
}

// DecodeSite decodes a settings object. Unknown keys are ignored, absent ones are zero.
func DecodeSite(v *fastjson.Value) (*Site, error) {
	if v == nil || v.Type() != fastjson.TypeObject {
		return nil, &SettingsError{"", "not a JSON object"}
	}
	var d decoder
	site := &Site{Settings: Settings{
		Gatekeepers: d.int(v, "balancers"), Position: -1, OwnCell: -1, OverShareWorth: d.float(v, "over-share-worth"),
		AttemptsCap: d.int(v, "bounds", "attempts-cap"), Cancel: d.bool(v, "bounds", "cancel"),
		RetryAfter: d.bool(v, "bounds", "retry-after"), SubscribeList: d.text(v, "discovery") == "subscribe",
		MaxRetryAfter: d.micros(v, "bounds", "max-retry-after-us"),
		ReleaseGuard:  d.micros(v, "extra", "release-guard-us"), ResendGap: d.micros(v, "extra", "t1-us"),
		FallMultiple: d.float(v, "guarantees", "fall-multiple"), FallTime: d.micros(v, "guarantees", "fall-us"),
		StartCapacity: d.float(v, "guarantees", "start-capacity"), WarmWithin: d.micros(v, "guarantees", "warm-within-us"),
	}}
	site.TellsWait = d.bool(v, "extra", "tells-wait")
	site.SecondCopies = d.bool(v, "bounds", "second-copies")
	site.DialTimeout, site.KeepAlive = d.micros(v, "bounds", "dial-timeout-us"), d.micros(v, "bounds", "keepalive-us")
	site.AnswerSlack = d.micros(v, "guarantees", "answer-slack-us")
	site.DrainGrace = d.micros(v, "guarantees", "drain-grace-us")
	if v.Exists("position") {
		site.Position = d.int(v, "position")
	}
	if v.Exists("extra", "here") {
		site.OwnCell = d.int(v, "extra", "here")
	}
	pools := d.array(v, "extra", "skilled-pools")
	for i, classValue := range d.array(v, "classes") {
		d.prefix = fmt.Sprintf("classes[%d].", i)
		name := d.text(classValue, "repeat")
		repeat, ok := repeatNames[name]
		if !ok {
			d.fail("repeat", fmt.Sprintf("is not known: %q", name))
		}
		class := Class{LatencyTarget: d.micros(classValue, "aim-us"), Deadline: d.micros(classValue, "deadline-us"),
			Worth: d.float(classValue, "worth"), LateWorth: d.float(classValue, "late-worth"), Repeat: repeat}
		site.ClassNames = append(site.ClassNames, d.text(classValue, "name"))
		d.prefix = ""
		if i < len(pools) && pools[i].Type() != fastjson.TypeNull {
			class.Pools = []int{}
			for _, pool := range d.array(pools[i]) {
				class.Pools = append(class.Pools, d.int(pool))
			}
		}
		site.Classes = append(site.Classes, class)
	}
	for _, tenant := range d.array(v, "tenants") {
		site.Tenants = append(site.Tenants, Tenant{QuotaPerS: d.float(tenant, "quota-per-s")})
		site.TenantNames = append(site.TenantNames, string(tenant.GetStringBytes("name")))
	}
	for _, field := range d.array(v, "report", "fields") {
		name := d.text(field)
		site.ReportNames = append(site.ReportNames, name)
		site.Report = append(site.Report, ParseField(name))
	}
	return site, d.err
}

// decoder reads typed values and keeps the first error.
type decoder struct {
	prefix string
	err    error
}

// fail records an error of a key unless there is an earlier one.
func (d *decoder) fail(key, problem string) {
	if d.err == nil {
		d.err = &SettingsError{d.prefix + key, problem}
	}
}

// lookup returns the value at a path of keys if it has one of the types, or nil if it is absent, null or of another type.
func (d *decoder) lookup(v *fastjson.Value, keys []string, kinds ...fastjson.Type) *fastjson.Value {
	key := ""
	for i, name := range keys {
		if v.Type() != fastjson.TypeObject {
			d.fail(key, "has a wrong type")
			return nil
		}
		if i > 0 {
			key += "."
		}
		key += name
		if v = v.Get(name); v == nil || v.Type() == fastjson.TypeNull {
			return nil
		}
	}
	for _, kind := range kinds {
		if v.Type() == kind {
			return v
		}
	}
	d.fail(key, "has a wrong type")
	return nil
}

func (d *decoder) float(v *fastjson.Value, keys ...string) float64 {
	if v = d.lookup(v, keys, fastjson.TypeNumber); v == nil {
		return 0
	}
	return v.GetFloat64()
}

func (d *decoder) micros(v *fastjson.Value, keys ...string) Micros {
	return Micros(d.float(v, keys...))
}

func (d *decoder) int(v *fastjson.Value, keys ...string) int { return int(d.float(v, keys...)) }

func (d *decoder) bool(v *fastjson.Value, keys ...string) bool {
	v = d.lookup(v, keys, fastjson.TypeTrue, fastjson.TypeFalse)
	return v != nil && v.GetBool()
}

func (d *decoder) text(v *fastjson.Value, keys ...string) string {
	if v = d.lookup(v, keys, fastjson.TypeString); v == nil {
		return ""
	}
	return string(v.GetStringBytes())
}

func (d *decoder) array(v *fastjson.Value, keys ...string) []*fastjson.Value {
	if v = d.lookup(v, keys, fastjson.TypeArray); v == nil {
		return nil
	}
	return v.GetArray()
}
