// Package bus reads the platform's event bus: the list of servers, as numbered server-sent events.
package bus

import (
	"fmt"

	"github.com/valyala/fastjson"

	"beammux/control"
	"beammux/internal/routing"
)

// Event is one numbered change of the list. Update is nil for an event that does not concern the list.
type Event struct {
	Offset int64
	Update *routing.Update
}

var states = map[string]control.State{"up": control.Ready, "draining": control.Draining, "removed": control.Gone}

// Parse reads the data of one event.
func Parse(p *fastjson.Parser, data []byte) (Event, error) {
	v, err := p.ParseBytes(data)
	if err != nil {
		return Event{}, fmt.Errorf("not JSON: %w", err)
	}
	return Decode(v)
}

// Decode reads one event. Unknown keys are passed over; what the list can't do without must be there.
func Decode(v *fastjson.Value) (Event, error) {
	offset := v.Get("offset")
	if offset == nil {
		return Event{}, fmt.Errorf("key offset is missing")
	}
	n, err := offset.Int64()
	if err != nil || n < 0 {
		return Event{}, fmt.Errorf("key offset is not a count")
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
		return e, fmt.Errorf("key topology.hosts is not a list")
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
