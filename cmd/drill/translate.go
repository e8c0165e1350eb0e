package main

import (
	"bufio"
	"fmt"
	"io"

	"beammux/control"
	"beammux/internal/wire"
)

var codes = map[string]control.Code{
	"OK": control.OK, "INTERNAL": control.Failed, "RESOURCE_EXHAUSTED": control.Full,
	"DEADLINE_EXCEEDED": control.TimedOut, "UNAVAILABLE": control.Unreachable, "ABORTED": control.Cut,
	"CANCELLED": control.Cancelled, "TOO_LATE": control.NotSent,
}

// instance is one front: its module and whether a told wait comes in its reasons.
type instance struct {
	module    *control.Controller
	tellsWait bool
}

// host holds the instances of this process and the numbered lists of the current input.
type host struct {
	instances map[int64]*instance
	rosters   map[int64][]control.Entry
	now       control.Micros
	open      bool // inside a batch
	out       *bufio.Writer
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	h := host{instances: map[int64]*instance{}, rosters: map[int64][]control.Entry{}, out: bufio.NewWriter(out)}
	r := wire.NewReader(in)
	for {
		m, err := r.Next()
		if err == io.EOF {
			if h.open {
				return &wire.Error{Line: m.Line, Reason: "input ends inside a batch"}
			}
			return nil
		}
		if err == nil {
			err = h.line(&m, r)
		}
		if err != nil {
			return err
		}
	}
}

func (h *host) line(m *wire.Message, r *wire.Reader) error {
	if m.Name == "mark" {
		clock, err := m.Int("clock-us")
		if err == nil && h.open {
			err = m.FieldError("mark", "the batch before has no eob")
		}
		h.now, h.open = control.Micros(clock), true
		return err
	}
	if !h.open {
		return m.FieldError(m.Name, "outside a batch")
	}
	switch m.Name {
	case "eob":
		h.open = false
		h.out.WriteString("ready\n")
		return h.out.Flush()
	case "census":
		return h.census(m, r)
	}
	i, err := m.Int("i")
	if err != nil {
		return err
	}
	switch m.Name {
	case "retire":
		delete(h.instances, i)
		return nil
	case "new_instance":
		return h.start(m, i)
	}
	event, err := h.event(m, i)
	if err != nil || event == nil {
		return err
	}
	at := h.instances[i]
	if at == nil {
		return m.FieldError("i", fmt.Sprintf("no instance %d", i))
	}
	h.handle(i, at, event)
	return nil
}

// handle runs the module. A panic in it becomes the wire's own fault action.
func (h *host) handle(i int64, at *instance, event control.Event) {
	defer func() {
		if p := recover(); p != nil {
			h.out.Write(wire.NewLine("internal_error").Int("i", i).Text("line", fmt.Sprint(p)).Encode())
		}
	}()
	for _, a := range at.module.Handle(h.now, event) {
		h.out.Write(encode(i, a))
	}
}

func (h *host) start(m *wire.Message, i int64) error {
	seed, err := m.Unsigned("nonce64")
	if err != nil {
		return err
	}
	text, err := m.Text("settings")
	if err != nil {
		return err
	}
	site, err := control.ParseSite(text)
	if err != nil {
		return m.FieldError("settings", err.Error())
	}
	at := &instance{control.New(site.Settings, seed), site.TellsWait}
	h.instances[i] = at
	h.handle(i, at, control.Start{})
	return nil
}

func (h *host) census(m *wire.Message, r *wire.Reader) error {
	id, err := m.Int("roster-id")
	if err != nil {
		return err
	}
	n, err := m.Int("items")
	if err != nil {
		return err
	}
	if n < 0 {
		return m.FieldError("items", "negative")
	}
	var list []control.Entry
	for range n {
		e, err := r.Next()
		if err != nil {
			if err == io.EOF {
				return e.FieldError("server", "input ends inside a census")
			}
			return err
		}
		if e.Name != "server" {
			return e.FieldError(e.Name, "a server line was due")
		}
		var p parts
		entry := control.Entry{Server: p.server(&e), Cell: int(p.int(&e, "cell")),
			State: control.State(p.int(&e, "phase")), Since: control.Micros(p.intOr(&e, "since-us"))}
		if p.err == nil && (entry.State < control.Gone || entry.State > control.Draining) {
			p.err = e.FieldError("phase", "not 0, 1 or 2")
		}
		if p.err != nil {
			return p.err
		}
		list = append(list, entry)
	}
	h.rosters[id] = list
	return nil
}

// parts reads fields and keeps the first fault.
type parts struct{ err error }

func keep[T any](p *parts, v T, err error) T {
	if p.err == nil {
		p.err = err
	}
	return v
}

func (p *parts) int(m *wire.Message, name string) int64 {
	v, err := m.Int(name)
	return keep(p, v, err)
}

func (p *parts) intOr(m *wire.Message, name string) int64 {
	v, err := m.IntOr(name, 0)
	return keep(p, v, err)
}

func (p *parts) server(m *wire.Message) uint32 {
	v, err := m.ServerNumber("server")
	return keep(p, v, err)
}

func (p *parts) text(m *wire.Message, name string) string {
	v, err := m.Text(name)
	return keep(p, v, err)
}

func (p *parts) bool(m *wire.Message, name string) bool {
	v, err := m.BoolOr(name, false)
	return keep(p, v, err)
}

func (p *parts) row(m *wire.Message) []float64 {
	v, err := m.Floats("stats")
	return keep(p, v, err)
}

func (p *parts) code(m *wire.Message) control.Code {
	name := p.text(m, "code")
	code, ok := codes[name]
	if !ok && p.err == nil {
		p.err = m.FieldError("code", fmt.Sprintf("not known: %q", name))
	}
	return code
}

// event translates one line; nil for a message that is not known.
func (h *host) event(m *wire.Message, i int64) (control.Event, error) {
	var p parts
	var e control.Event
	switch m.Name {
	case "backends_changed":
		kind := p.int(m, "kind")
		l := control.List{Delta: kind == 0, Failed: kind == 3}
		if !l.Failed {
			id := p.int(m, "roster-id")
			list, ok := h.rosters[id]
			if p.err == nil && !ok {
				p.err = m.FieldError("roster-id", fmt.Sprintf("no census %d", id))
			}
			l.Entries = list
		}
		if p.err == nil && (kind < 0 || kind > 3) {
			p.err = m.FieldError("kind", "not 0 to 3")
		}
		e = l
	case "knock":
		c := control.Call{ID: p.text(m, "request-id"), Class: int(p.int(m, "category")),
			Tenant: int(p.intOr(m, "client-group")), Key: m.TextOr("target-key", ""),
			Deadline: control.Micros(p.int(m, "drop-dead-us")), FirstChoice: int(p.intOr(m, "far-end")),
			Repeat: p.bool(m, "repeat"), Transit: p.bool(m, "in-transit"), WasCut: p.bool(m, "again")}
		e = c
	case "opened":
		e = control.CallEstablished{ID: p.text(m, "request-id"), Attempt: int(p.int(m, "try")), Server: p.server(m),
			Elapsed: control.Micros(p.int(m, "took-us"))}
	case "resolved":
		o := control.AttemptEnded{ID: p.text(m, "request-id"), Attempt: int(p.int(m, "try")), Server: p.server(m),
			Code: p.code(m), Elapsed: control.Micros(p.intOr(m, "took-us")), Settled: p.bool(m, "settled"),
			Reason: int(p.intOr(m, "reason")), Report: p.row(m)}
		if at := h.instances[i]; at != nil && at.tellsWait {
			o.RetryAfter = control.Micros(o.Reason/16) * 1000
			o.Reason %= 16
		}
		e = o
	case "status_back":
		e = control.Status{Server: p.server(m), Code: p.code(m), Elapsed: control.Micros(p.intOr(m, "took-us")),
			Report: p.row(m)}
	case "withdrawn":
		e = control.Withdrawn{ID: p.text(m, "request-id")}
	case "timeout_fired":
		e = control.Timer{Key: p.text(m, "key-back")}
	case "peer":
		data, err := m.Bytes("raw")
		e = control.Peer{From: int(p.int(m, "src-peer")), Data: keep(&p, data, err)}
	}
	return e, p.err
}

// encode writes one action as a line.
func encode(i int64, a control.Action) []byte {
	line := func(name string) *wire.Line { return wire.NewLine(name).Int("i", i) }
	switch a.Kind {
	case control.Send:
		return line("transmit").Text("request-id", a.ID).Int("try-for-us", int64(a.Wait)).
			Int("server", int64(a.Server)).Encode()
	case control.Refuse:
		return line("shed").Text("request-id", a.ID).Int("come-back-us", int64(a.Wait)).Encode()
	case control.Fail:
		return line("report_failure").Text("request-id", a.ID).Encode()
	case control.Cancel:
		return line("retract").Text("request-id", a.ID).Int("try", int64(a.Attempt)).Encode()
	case control.SetTimer:
		return line("defer").Int("time-us", int64(a.At)).Text("key-back", a.Key).Encode()
	case control.Watch:
		return line("watch").Int("on", 1).Encode()
	case control.Log:
		return line("note_down").Text("line", a.Text).Encode()
	}
	panic(fmt.Sprintf("drill: unknown action %d", a.Kind))
}
