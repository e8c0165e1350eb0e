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

// Records generates the records that a fleet would write in a number of hours, without running it: calls at a rate that
// follows a daily wave, occasional failed attempts, servers gated in bursts, and a planned restart of each gatekeeper every
// hour. The generated records violate no rule of package history.
type Records struct {
	Dir         string
	Seed        uint64
	Hours       float64
	Gatekeepers int
	PerS        float64 // calls per second over all gatekeepers
}

// Write writes the records and returns the number of events. progress, if not nil, is called after each gatekeeper.
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

// node writes the records of gatekeeper n, starting at a time, and returns the number of events.
func (o Records) node(n int, from control.Micros) (events int, err error) {
	rng := rand.New(rand.NewPCG(o.Seed, uint64(n)))
	var r *record.Recorder
	recordEvent := func(at control.Micros, e history.Event) {
		e.At = at
		r.Record(e)
		if events++; events%4096 == 0 {
			r.Flush() // records are generated faster than a gatekeeper writes them
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
		recordEvent(at, history.Event{Kind: history.Started, Rules: rules, Name: "none"})
		for s := range uint32(3) {
			recordEvent(at, history.Event{Kind: history.Listed, Server: s + 1, Name: fmt.Sprintf("s-%08x", s+1), State: control.Ready, N: int64(s)})
		}
		return nil
	}
	end := from + control.Micros(o.Hours*3600e6)
	restart := from + control.Micros((float64(n)+1)/float64(o.Gatekeepers)*3600e6)
	if err := start(from); err != nil {
		return 0, err
	}
	at, lastViewed := from, from
	for i := 0; at < end; i++ {
		wave := 1 + 0.3*math.Sin(float64(at-from)/3600e6)
		at += control.Micros(rng.ExpFloat64() / (o.PerS / float64(o.Gatekeepers) * wave) * 1e6)
		if at >= restart {
			recordEvent(at, history.Event{Kind: history.Draining})
			recordEvent(at, history.Event{Kind: history.Finished})
			r.Close()
			at += 2e6
			restart += 3600e6
			if err := start(at); err != nil {
				return events, err
			}
		}
		overloaded := math.Mod(float64(at-from)/60e6, 20) < 1 // overloaded in one minute of twenty
		if at-lastViewed > 500000 {
			lastViewed = at
			for s := range uint32(3) {
				e := history.Event{Kind: history.Viewed, Server: s + 1, Span: control.Micros(rng.ExpFloat64() * 40000)}
				if overloaded {
					e.Level, e.Span = rng.IntN(4), control.Micros(400000*rng.Float64())
				}
				recordEvent(at, e)
			}
		}
		o.writeCall(rng, recordEvent, at, fmt.Sprintf("%08x%08x", n, i), overloaded)
	}
	recordEvent(end+5e6, history.Event{Kind: history.Finished})
	r.Close()
	return events, nil
}

// writeCall writes the records of one call in order, all with the time of its end.
func (o Records) writeCall(rng *rand.Rand, recordEvent func(control.Micros, history.Event), at control.Micros, id string, overloaded bool) {
	class := min(int(rng.ExpFloat64()), len(classes)-1)
	server := uint32(rng.IntN(3) + 1)
	recordEvent(at, history.Event{Kind: history.Received, Call: id, Class: class, Value: classes[class].worth, Span: 3200000})
	switch {
	case overloaded && rng.IntN(3) == 0:
		recordEvent(at, history.Event{Kind: history.Refused, Call: id, Span: 1500000})
	case rng.IntN(200) == 0:
		recordEvent(at, history.Event{Kind: history.Sent, Call: id, Server: server})
		recordEvent(at, history.Event{Kind: history.Ended, Call: id, Server: server, Code: control.Full})
		recordEvent(at, history.Event{Kind: history.Refused, Call: id, Span: 1500000})
	default:
		recordEvent(at, history.Event{Kind: history.Sent, Call: id, Server: server})
		recordEvent(at, history.Event{Kind: history.Established, Call: id, Server: server, Span: control.Micros(60000 + rng.ExpFloat64()*50000)})
		recordEvent(at, history.Event{Kind: history.Reported, Server: server, Values: []float64{rng.Float64(), 3}})
		recordEvent(at, history.Event{Kind: history.Released, Call: id, Server: server, N: 16})
	}
}
