package latencylab

import (
	"fmt"
	"time"

	"beammux/control"
	"beammux/internal/lab"
)

// Parameters of the traffic under which a decision is measured.
const (
	callInterval = control.Micros(5236)  // time between calls: 191 per second
	setupDelay   = control.Micros(30000) // set-up delay of the servers
	warmUpCalls  = 2500                  // about 13 s: enough for trusted rate estimates and the first server samples
	tickInterval = control.Micros(50000) // tick interval of the module
)

// DecisionSite returns the settings object for a fleet of the given size with which decisions are measured.
func DecisionSite(gatekeepers int) (*control.Site, error) {
	return control.ParseSite(lab.Settings(gatekeepers))
}

// Decider drives a controller in a steady state, in which it knows a number of servers and its calls are answered.
type Decider struct {
	control  *control.Controller
	servers  int
	now      control.Micros
	next     int
	nextTick control.Micros
	Refused  int // calls refused since the warm-up
}

// NewDecider returns a Decider whose controller knows the given number of servers and has been warmed up.
func NewDecider(servers, gatekeepers int) (*Decider, error) {
	site, err := DecisionSite(gatekeepers)
	if err != nil {
		return nil, err
	}
	d := &Decider{control: control.New(site.Settings, 1), servers: servers, now: 1e6}
	d.apply(d.control.Handle(d.now, control.Start{}))
	d.apply(d.control.Handle(d.now, control.List{Entries: entries(servers)}))
	for range warmUpCalls {
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

// apply records when the next tick is due and counts refusals. It returns the server of a Send action, or 0 if there is none.
func (d *Decider) apply(actions []control.Action) (server uint32) {
	for _, a := range actions {
		switch {
		case a.Kind == control.SetTimer && a.Key == "tick":
			d.nextTick = a.At
		case a.Kind == control.Send:
			server = a.Server
		case a.Kind == control.Refuse:
			d.Refused++
		}
	}
	return server
}

// Call processes one call from its arrival to its end and returns the duration of the routing decision alone. Ticks that
// are due are run but not included in it.
func (d *Decider) Call() time.Duration {
	d.now += callInterval
	d.tick()
	d.next++
	id := fmt.Sprintf("%016x", d.next)
	event := control.Call{ID: id, Deadline: d.now + 3200000, Key: id, FirstChoice: d.next * 7 % d.servers}
	start := time.Now()
	actions := d.control.Handle(d.now, event)
	elapsed := time.Since(start)
	if server := d.apply(actions); server != 0 {
		d.now += setupDelay / 100 // the clock advances by less than the delay, so that the call rate is kept
		d.apply(d.control.Handle(d.now, control.CallEstablished{ID: id, Server: server, Elapsed: setupDelay}))
		d.apply(d.control.Handle(d.now, control.AttemptEnded{ID: id, Server: server, Code: control.OK, Settled: true,
			Report: []float64{0.3, 1}}))
	}
	return elapsed
}

// tick runs the module's tick if it is due and returns its duration, or 0 if it is not due.
func (d *Decider) tick() time.Duration {
	if d.nextTick == 0 || d.now < d.nextTick {
		return 0
	}
	d.nextTick = 0
	start := time.Now()
	actions := d.control.Handle(d.now, control.Timer{Key: "tick"})
	elapsed := time.Since(start)
	d.apply(actions)
	return elapsed
}

// Tick runs the next tick while a call is open and returns the duration of the tick.
func (d *Decider) Tick() time.Duration {
	d.next++
	id := fmt.Sprintf("%016x", d.next)
	d.apply(d.control.Handle(d.now, control.Call{ID: id, Deadline: d.now + 3200000, Key: id, FirstChoice: d.next % d.servers}))
	d.now += tickInterval
	elapsed := d.tick()
	d.apply(d.control.Handle(d.now, control.Withdrawn{ID: id}))
	return elapsed
}

// Change applies two list changes, in which a server drains and becomes ready again, and returns the mean duration of one.
func (d *Decider) Change() time.Duration {
	d.next++
	e := control.Entry{Server: uint32(d.next%d.servers + 1), Cell: d.next % d.servers, State: control.Draining}
	start := time.Now()
	d.apply(d.control.Handle(d.now, control.List{Delta: true, Entries: []control.Entry{e}}))
	e.State = control.Ready
	d.apply(d.control.Handle(d.now, control.List{Delta: true, Entries: []control.Entry{e}}))
	return time.Since(start) / 2
}
