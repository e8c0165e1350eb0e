package latencylab

import (
	"fmt"
	"time"

	"beammux/control"
	"beammux/internal/lab"
)

// Figures of the traffic under which a decision is measured.
const (
	decisionGap  = control.Micros(5236)  // between calls: 191 a second
	decisionTook = control.Micros(30000) // set-up delay that servers answer with
	warmCalls    = 2500                  // some 13 s: the rates are believed and the first lots are drawn
	tickSpan     = control.Micros(50000) // of the module
)

// DecisionSite is a settings object for a fleet of so many gatekeepers, with which decisions are measured.
func DecisionSite(gatekeepers int) (*control.Site, error) {
	return control.ParseSite(lab.Settings(gatekeepers))
}

// Decider is a controller in a steady state with a number of servers known, driven by answered calls.
type Decider struct {
	control *control.Controller
	servers int
	now     control.Micros
	next    int
	tickAt  control.Micros
	Refused int
}

// NewDecider warms a controller up with a number of servers.
func NewDecider(servers, gatekeepers int) (*Decider, error) {
	site, err := DecisionSite(gatekeepers)
	if err != nil {
		return nil, err
	}
	d := &Decider{control: control.New(site.Settings, 1), servers: servers, now: 1e6}
	d.take(d.control.Handle(d.now, control.Start{}))
	d.take(d.control.Handle(d.now, control.List{Entries: entries(servers)}))
	for range warmCalls {
		d.Call()
	}
	d.Refused = 0
	return d, nil
}

func entries(servers int) []control.Entry {
	all := make([]control.Entry, servers)
	for i := range all {
		all[i] = control.Entry{Server: uint32(i + 1), Cell: i, State: control.Ready}
	}
	return all
}

// take notes when the next tick is due and returns the server of a Send, 0 without one.
func (d *Decider) take(actions []control.Action) (server uint32) {
	for _, a := range actions {
		switch {
		case a.Kind == control.SetTimer && a.Key == "tick":
			d.tickAt = a.At
		case a.Kind == control.Send:
			server = a.Server
		case a.Kind == control.Refuse:
			d.Refused++
		}
	}
	return server
}

// Call lets one call arrive, be answered and end, and returns the time of the decision where it goes. Ticks that are due
// meanwhile run outside of that time.
func (d *Decider) Call() time.Duration {
	d.now += decisionGap
	d.tick()
	d.next++
	id := fmt.Sprintf("%016x", d.next)
	call := control.Call{ID: id, Deadline: d.now + 3200000, Key: id, FirstChoice: d.next * 7 % d.servers}
	start := time.Now()
	actions := d.control.Handle(d.now, call)
	took := time.Since(start)
	if server := d.take(actions); server != 0 {
		d.now += decisionTook / 100 // the clock goes on less than the delay, so that calls keep their pace
		d.take(d.control.Handle(d.now, control.CallEstablished{ID: id, Server: server, Elapsed: decisionTook}))
		d.take(d.control.Handle(d.now, control.AttemptEnded{ID: id, Server: server, Code: control.OK, Settled: true,
			Report: []float64{0.3, 1}}))
	}
	return took
}

// tick runs the module's tick if it is due and returns the time of it.
func (d *Decider) tick() time.Duration {
	if d.tickAt == 0 || d.now < d.tickAt {
		return 0
	}
	d.tickAt = 0
	start := time.Now()
	actions := d.control.Handle(d.now, control.Timer{Key: "tick"})
	took := time.Since(start)
	d.take(actions)
	return took
}

// Tick lets a call arrive that stays open and the next tick pass, and returns the time of the tick.
func (d *Decider) Tick() time.Duration {
	d.next++
	id := fmt.Sprintf("%016x", d.next)
	d.take(d.control.Handle(d.now, control.Call{ID: id, Deadline: d.now + 3200000, Key: id, FirstChoice: d.next % d.servers}))
	d.now += tickSpan
	took := d.tick()
	d.take(d.control.Handle(d.now, control.Withdrawn{ID: id}))
	return took
}

// Change lets the list tell of one server that drains and is up again, and returns the time of one such change.
func (d *Decider) Change() time.Duration {
	d.next++
	e := control.Entry{Server: uint32(d.next%d.servers + 1), Cell: d.next % d.servers, State: control.Draining}
	start := time.Now()
	d.take(d.control.Handle(d.now, control.List{Delta: true, Entries: []control.Entry{e}}))
	e.State = control.Ready
	d.take(d.control.Handle(d.now, control.List{Delta: true, Entries: []control.Entry{e}}))
	return time.Since(start) / 2
}
