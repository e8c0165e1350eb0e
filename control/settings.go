package control

import (
	"fmt"

	"github.com/valyala/fastjson"
)

// Site is one settings object, read once: what the module needs and what the programs around it need.
type Site struct {
	Settings
	ClassNames             []string
	TenantNames            []string
	ReportNames            []string // as in the object; Settings.Report has the same order
	TellsWait              bool
	SecondCopies           bool // two attempts of one call may be out at once
	DialTimeout, KeepAlive Micros
	AnswerSlack            Micros
	DrainGrace             Micros
}

// SettingsError names the key that is at fault.
type SettingsError struct{ Key, What string }

func (e *SettingsError) Error() string {
	if e.Key == "" {
		return e.What
	}
	return "key " + e.Key + " " + e.What
}

var fieldNames = map[string]Field{
	"spare": Spare, "total": Total, "lat_ms": WaitMs, "q": Queue, "busy": Busy,
	// the operators' own words for the same values
	"x0": Spare, "x1": Total, "latency_ms": WaitMs, "queue": Queue, "util": Busy,
}

// ParseField gives the value that a report's field name stands for; Ignored for one not used.
func ParseField(name string) Field { return fieldNames[name] }

var repeatNames = map[string]Repeat{"read_like": Idempotent, "idempotency_key": IdempotentByKey, "non_idempotent": NonIdempotent}

// ParseSite reads a settings object from its text.
func ParseSite(text string) (*Site, error) {
	v, err := fastjson.Parse(text)
	if err != nil {
		return nil, &SettingsError{"", "not a JSON object: " + err.Error()}
	}
	return DecodeSite(v)
}

// DecodeSite reads a settings object. Unknown keys are passed over, absent ones are zero.
func DecodeSite(v *fastjson.Value) (*Site, error) {
	if v == nil || v.Type() != fastjson.TypeObject {
		return nil, &SettingsError{"", "not a JSON object"}
	}
	var d decoder
	s := &Site{Settings: Settings{
		Gatekeepers: d.int(v, "balancers"), Position: -1, OwnCell: -1, OverShareWorth: d.float(v, "over-share-worth"),
		AttemptsCap: d.int(v, "bounds", "attempts-cap"), Cancel: d.bool(v, "bounds", "cancel"),
		RetryAfter: d.bool(v, "bounds", "retry-after"), SubscribeList: d.text(v, "discovery") == "subscribe",
		MaxRetryAfter: d.micros(v, "bounds", "max-retry-after-us"),
		ReleaseGuard:  d.micros(v, "extra", "release-guard-us"), ResendGap: d.micros(v, "extra", "t1-us"),
		FallMultiple: d.float(v, "guarantees", "fall-multiple"), FallTime: d.micros(v, "guarantees", "fall-us"),
		StartCapacity: d.float(v, "guarantees", "start-capacity"), WarmWithin: d.micros(v, "guarantees", "warm-within-us"),
	}}
	s.TellsWait = d.bool(v, "extra", "tells-wait")
	s.SecondCopies = d.bool(v, "bounds", "second-copies")
	s.DialTimeout, s.KeepAlive = d.micros(v, "bounds", "dial-timeout-us"), d.micros(v, "bounds", "keepalive-us")
	s.AnswerSlack = d.micros(v, "guarantees", "answer-slack-us")
	s.DrainGrace = d.micros(v, "guarantees", "drain-grace-us")
	if v.Exists("position") {
		s.Position = d.int(v, "position")
	}
	if v.Exists("extra", "here") {
		s.OwnCell = d.int(v, "extra", "here")
	}
	pools := d.array(v, "extra", "skilled-pools")
	for k, c := range d.array(v, "classes") {
		d.prefix = fmt.Sprintf("classes[%d].", k)
		name := d.text(c, "repeat")
		repeat, ok := repeatNames[name]
		if !ok {
			d.fault("repeat", fmt.Sprintf("is not known: %q", name))
		}
		class := Class{LatencyTarget: d.micros(c, "aim-us"), Deadline: d.micros(c, "deadline-us"),
			Worth: d.float(c, "worth"), LateWorth: d.float(c, "late-worth"), Repeat: repeat}
		s.ClassNames = append(s.ClassNames, d.text(c, "name"))
		d.prefix = ""
		if k < len(pools) && pools[k].Type() != fastjson.TypeNull {
			class.Pools = []int{}
			for _, p := range d.array(pools[k]) {
				class.Pools = append(class.Pools, d.int(p))
			}
		}
		s.Classes = append(s.Classes, class)
	}
	for _, t := range d.array(v, "tenants") {
		s.Tenants = append(s.Tenants, Tenant{QuotaPerS: d.float(t, "quota-per-s")})
		s.TenantNames = append(s.TenantNames, string(t.GetStringBytes("name")))
	}
	for _, f := range d.array(v, "report", "fields") {
		name := d.text(f)
		s.ReportNames = append(s.ReportNames, name)
		s.Report = append(s.Report, ParseField(name))
	}
	return s, d.err
}

// decoder reads typed values and keeps the first fault.
type decoder struct {
	prefix string
	err    error
}

func (d *decoder) fault(key, what string) {
	if d.err == nil {
		d.err = &SettingsError{d.prefix + key, what}
	}
}

// at gives the value under the keys if it has the type; one that is absent or null is nil.
func (d *decoder) at(v *fastjson.Value, keys []string, kinds ...fastjson.Type) *fastjson.Value {
	key := ""
	for i, k := range keys {
		if v.Type() != fastjson.TypeObject {
			d.fault(key, "has a wrong type")
			return nil
		}
		if i > 0 {
			key += "."
		}
		key += k
		if v = v.Get(k); v == nil || v.Type() == fastjson.TypeNull {
			return nil
		}
	}
	for _, kind := range kinds {
		if v.Type() == kind {
			return v
		}
	}
	d.fault(key, "has a wrong type")
	return nil
}

func (d *decoder) float(v *fastjson.Value, keys ...string) float64 {
	if v = d.at(v, keys, fastjson.TypeNumber); v == nil {
		return 0
	}
	return v.GetFloat64()
}

func (d *decoder) micros(v *fastjson.Value, keys ...string) Micros {
	return Micros(d.float(v, keys...))
}

func (d *decoder) int(v *fastjson.Value, keys ...string) int { return int(d.float(v, keys...)) }

func (d *decoder) bool(v *fastjson.Value, keys ...string) bool {
	v = d.at(v, keys, fastjson.TypeTrue, fastjson.TypeFalse)
	return v != nil && v.GetBool()
}

func (d *decoder) text(v *fastjson.Value, keys ...string) string {
	if v = d.at(v, keys, fastjson.TypeString); v == nil {
		return ""
	}
	return string(v.GetStringBytes())
}

func (d *decoder) array(v *fastjson.Value, keys ...string) []*fastjson.Value {
	if v = d.at(v, keys, fastjson.TypeArray); v == nil {
		return nil
	}
	return v.GetArray()
}
