package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"beammux/control"
	"beammux/internal/history"
	"beammux/internal/record"
)

// Records writes records as a fleet would in so many hours, without playing them: calls at a daily wave, attempts that fail
// now and then, servers gated in bursts, a planned restart of each gatekeeper every hour. Every rule holds in them.
type Records struct {
	Dir         string
	Seed        uint64
	Hours       float64
	Gatekeepers int
	PerS        float64 // calls a second over all gatekeepers
}

// Write writes them and tells how many there are.
func (o Records) Write(progress func(node string, events int)) (total int, err error) {
	from := control.Micros(time.Date(2026, 12, 1, 16, 0, 0, 0, time.UTC).UnixMicro())
	for n := range o.Gatekeepers {
		events, err := o.node(n, from)
		if err != nil {
			return total, err
		}
		total += events
		if progress != nil {
			progress(nodeName(n), events)
		}
	}
	return total, nil
}

func nodeName(n int) string { return fmt.Sprintf("g%d", n+1) }

func (o Records) node(n int, from control.Micros) (events int, err error) {
	rng := rand.New(rand.NewPCG(o.Seed, uint64(n)))
	var r *record.Recorder
	note := func(at control.Micros, e history.Event) {
		e.At = at
		r.Record(e)
		if events++; events%4096 == 0 {
			r.Flush() // a gatekeeper's records come slower than these
		}
	}
	start := func(at control.Micros) error {
		if r, err = record.NewRecorder(record.Options{Dir: o.Dir, Node: nodeName(n)}); err != nil {
			return err
		}
		rules := &history.Rules{Fronts: o.Gatekeepers, DrainGrace: 250000, ReleaseGuard: 300000, FallMultiple: 2, FallTime: 1e6,
			StartCapacity: 0.33, WarmWithin: 15e6}
		for _, c := range classes {
			rules.Classes = append(rules.Classes, history.Class{Name: c.name, Aim: control.Micros(c.aim.Microseconds()), Worth: c.worth, LateWorth: lateWorth})
		}
		note(at, history.Event{Kind: history.Started, Rules: rules, Name: "none"})
		for s := range uint32(3) {
			note(at, history.Event{Kind: history.Listed, Server: s + 1, Name: fmt.Sprintf("s-%08x", s+1), State: control.Ready, N: int64(s)})
		}
		return nil
	}
	end := from + control.Micros(o.Hours*3600e6)
	restart := from + control.Micros((float64(n)+1)/float64(o.Gatekeepers)*3600e6)
	if err := start(from); err != nil {
		return 0, err
	}
	at, looked := from, from
	for i := 0; at < end; i++ {
		wave := 1 + 0.3*math.Sin(float64(at-from)/3600e6)
		at += control.Micros(rng.ExpFloat64() / (o.PerS / float64(o.Gatekeepers) * wave) * 1e6)
		if at >= restart {
			note(at, history.Event{Kind: history.Draining})
			note(at, history.Event{Kind: history.Finished})
			r.Close()
			at += 2e6
			restart += 3600e6
			if err := start(at); err != nil {
				return events, err
			}
		}
		pressed := math.Mod(float64(at-from)/60e6, 20) < 1 // a minute in twenty
		if at-looked > 500000 {
			looked = at
			for s := range uint32(3) {
				e := history.Event{Kind: history.Viewed, Server: s + 1, Span: control.Micros(rng.ExpFloat64() * 40000)}
				if pressed {
					e.Level, e.Span = rng.IntN(4), control.Micros(400000*rng.Float64())
				}
				note(at, e)
			}
		}
		o.call(rng, note, at, fmt.Sprintf("%08x%08x", n, i), pressed)
	}
	note(end+5e6, history.Event{Kind: history.Finished})
	r.Close()
	return events, nil
}

// call writes the records of one call, all at the time it is over but in their order.
func (o Records) call(rng *rand.Rand, note func(control.Micros, history.Event), at control.Micros, id string, pressed bool) {
	class := min(int(rng.ExpFloat64()), len(classes)-1)
	server := uint32(rng.IntN(3) + 1)
	note(at, history.Event{Kind: history.Received, Call: id, Class: class, Value: classes[class].worth, Span: 3200000})
	switch {
	case pressed && rng.IntN(3) == 0:
		note(at, history.Event{Kind: history.Refused, Call: id, Span: 1500000})
	case rng.IntN(200) == 0:
		note(at, history.Event{Kind: history.Sent, Call: id, Server: server})
		note(at, history.Event{Kind: history.Ended, Call: id, Server: server, Code: control.Full})
		note(at, history.Event{Kind: history.Refused, Call: id, Span: 1500000})
	default:
		note(at, history.Event{Kind: history.Sent, Call: id, Server: server})
		note(at, history.Event{Kind: history.Established, Call: id, Server: server, Span: control.Micros(60000 + rng.ExpFloat64()*50000)})
		note(at, history.Event{Kind: history.Reported, Server: server, Values: []float64{rng.Float64(), 3}})
		note(at, history.Event{Kind: history.Released, Call: id, Server: server, N: 16})
	}
}
