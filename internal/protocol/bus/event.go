// Package bus reads the platform's event bus, which sends changes of the list of servers as numbered server-sent events.
package bus

import (
	"fmt"

	"github.com/valyala/fastjson"

	"beammux/control"
	"beammux/internal/routing"
)

// Event is one numbered event. Update is its change of the list of servers, or nil if it has none.
type Event struct {
	Offset int64
	Update *routing.Update
}

// states are the states of a server by the values of the key health.
var states = map[string]control.State{"up": control.Ready, "draining": control.Draining, "removed": control.Gone}

// Parse decodes the data of one event with p.
func Parse(p *fastjson.Parser, data []byte) (Event, error) {
	v, err := p.ParseBytes(data)
	if err != nil {
		return Event{}, fmt.Errorf("not JSON: %w", err)
	}
	return Decode(v)
}

// Decode decodes one event. Unknown keys are ignored. Missing keys that the list requires are errors.
func Decode(v *fastjson.Value) (Event, error) {
	offset := v.Get("offset")
	if offset == nil {
		return Event{}, fmt.Errorf("key offset is missing")
	}
	n, err := offset.Int64()
	if err != nil || n < 0 {
		return Event{}, fmt.Errorf("key offset is not a non-negative integer")
	}
	e := Event{Offset: n}
	t := v.Get("topology")
	if t == nil {
		return e, nil
	}
	if t.Type() != fastjson.TypeObject {
		return e, fmt.Errorf("key topology is not an object")
	}
	hosts := t.Get("hosts")
	if hosts == nil || hosts.Type() != fastjson.TypeArray {
		return e, fmt.Errorf("key topology.hosts is not an array")
	}
	u := &routing.Update{Complete: t.GetBool("whole")}
	for i, h := range hosts.GetArray() {
		host, err := decodeHost(h)
		if err != nil {
			return e, fmt.Errorf("topology.hosts[%d]: %w", i, err)
		}
		u.Hosts = append(u.Hosts, host)
	}
	e.Update = u
	return e, nil
}

// decodeHost decodes one server.
func decodeHost(v *fastjson.Value) (routing.Host, error) {
	h := routing.Host{Name: string(v.GetStringBytes("host")), Addr: string(v.GetStringBytes("dial")),
		Cell: v.GetInt("block"), Since: control.Micros(v.GetFloat64("born_ms") * 1000)}
	state, ok := states[string(v.GetStringBytes("health"))]
	h.State = state
	switch {
	case h.Name == "":
		return h, fmt.Errorf("key host is missing")
	case !ok:
		return h, fmt.Errorf("key health is not known: %q", v.GetStringBytes("health"))
	case h.Addr == "" && state != control.Gone:
		return h, fmt.Errorf("key dial is missing")
	}
	return h, nil
}
