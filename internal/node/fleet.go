package node

import (
	"cmp"
	"context"
	"math"
	"runtime/debug"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"beammux/control"
	"beammux/control/fleetview"
	"beammux/control/registers"
	"beammux/internal/counting"
	"beammux/internal/ejection"
	"beammux/internal/fleet"
	"beammux/internal/follow"
	"beammux/internal/limits"
)

// openFleet joins the fleet's gossip, where the deploy file names it.
func (n *Node) openFleet(ctx context.Context) error {
	d := n.deploy.Fleet
	if d == nil {
		return nil
	}
	o := fleet.Options{Name: cmp.Or(d.Name, n.cfg.Name, "beammux"), Zone: d.Zone, Region: d.Region, Group: d.Group, RegisterBytes: d.RegisterBytesPerS, Program: program(), Bind: d.Bind,
		Advertise: d.Advertise, Seeds: d.Seeds, Keys: d.Keys, Via: d.Via, ReapAfter: d.ReapAfter, State: fleetview.Ready, Summaries: n.summaries, Log: n.log}
	f, err := fleet.Open(o)
	if err != nil {
		return err
	}
	n.fleet = f
	n.figures.addFleet(f)
	n.figures.addRegisters(f)
	n.telling.Go(func() { n.tellRates(ctx) })
	if n.outliers != nil {
		n.outliers.Open(f)
		n.figures.addEjections(n.outliers)
	}
	n.log.WithField("listen", f.Addr()).Info("fleet listening")
	return nil
}

// program is the version of this program, as far as the build knows it.
func program() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value[:min(len(s.Value), 12)]
			}
		}
	}
	return "unknown"
}

const summaryWithin = 500 * time.Millisecond

// summaries is what this gatekeeper sees of the servers: a hint for the others. A core that is too busy to say so in time
// says what it said last.
func (n *Node) summaries() []fleetview.Summary {
	answer := make(chan []fleetview.Summary, 1)
	n.core.Views(func(views []control.View, now control.Micros) {
		var out []fleetview.Summary
		for _, v := range views {
			s := fleetview.Summary{Server: v.Server, Level: v.Level, Age: -1}
			if v.LastHeard > 0 {
				s.Age = now - v.LastHeard
			}
			out = append(out, s)
		}
		answer <- out
	})
	select {
	case n.lastSeen = <-answer:
	case <-time.After(summaryWithin):
	}
	return slices.Clone(n.lastSeen)
}

// ClassRates are calls of one class, a second.
type ClassRates struct {
	Arrived     float64 `cbor:"1,keyasint" json:"arrived"`
	Established float64 `cbor:"2,keyasint" json:"stood"`
	Refused     float64 `cbor:"3,keyasint" json:"refused"`
	Failed      float64 `cbor:"4,keyasint" json:"failed"`
}

// FleetRates are calls of the whole fleet, as its members tell them.
type FleetRates struct {
	Members int                   `json:"members"`   // that count: up, and heard lately
	Oldest  control.Micros        `json:"oldest_us"` // age of the oldest of these rates, at least
	Classes map[string]ClassRates `json:"classes"`   // a second
}

// FleetStatus is what GET /api/fleet answers.
type FleetStatus struct {
	fleet.Status
	Calls  FleetRates     `json:"calls"`
	Limits *limits.Status `json:"limits,omitempty"`

	Verdicts *ejection.Status `json:"verdicts,omitempty"`

	Settings *follow.Status `json:"settings,omitempty"` // of the control machines
}

const ratesEvery = 500 * time.Millisecond

// tellRates publishes what this gatekeeper sees of calls, until the end.
func (n *Node) tellRates(ctx context.Context) {
	tick := time.NewTicker(ratesEvery)
	defer tick.Stop()
	for {
		own := map[string]ClassRates{}
		for i, c := range n.counters.Rates(n.core.Now()).Classes {
			name := "unknown"
			if i < len(n.cfg.Site.ClassNames) {
				name = n.cfg.Site.ClassNames[i]
			}
			if c[counting.Arrived] > leastRate {
				own[name] = ClassRates{rounded(c[counting.Arrived]), rounded(c[counting.Established]), rounded(c[counting.Refused]), rounded(c[counting.Failed])}
			}
		}
		if text, err := sortedCBOR.Marshal(own); err == nil {
			n.fleet.Publish(registers.Rates, text) // what is wrong with it, the fleet logs
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

const leastRate = 0.005 // a second; less is told as none

func rounded(v float64) float64 { return math.Round(v*100) / 100 }

// sortedCBOR writes equal values as equal bytes, and numbers as short as they are exact.
var sortedCBOR = func() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortCanonical, ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// fleetRates adds up what members tell. One register that can't be read is passed over alone.
func (n *Node) fleetRates() FleetRates {
	all := FleetRates{Classes: map[string]ClassRates{}}
	for _, r := range n.fleet.Read(registers.Rates) {
		var told map[string]ClassRates
		if err := cbor.Unmarshal(r.Value, &told); err != nil {
			continue
		}
		all.Members++
		all.Oldest = max(all.Oldest, r.Age)
		for name, c := range told {
			sum := all.Classes[name]
			all.Classes[name] = ClassRates{sum.Arrived + c.Arrived, sum.Established + c.Established, sum.Refused + c.Refused, sum.Failed + c.Failed}
		}
	}
	return all
}

// Fleet implements ops.Gatekeeper.
func (n *Node) Fleet() (any, bool) {
	settings := n.settingsStatus()
	if n.fleet == nil && settings == nil {
		return nil, false
	}
	st := FleetStatus{Settings: settings}
	if n.fleet != nil {
		st.Status, st.Calls = n.fleet.Status(), n.fleetRates()
	} else {
		st.Status = fleet.Status{Name: n.settingsName(), Members: []fleetview.Member{}, Registers: []fleet.RegisterStatus{}, Faults: []fleet.Fault{}}
	}
	if n.limits != nil {
		l := n.limits.Status()
		st.Limits = &l
	}
	if n.outliers != nil {
		v := n.outliers.Status()
		st.Verdicts = &v
	}
	return st, true
}

// tellFleet says what this member is now, where there is a fleet.
func (n *Node) tellFleet(s fleetview.State) {
	if n.fleet != nil {
		n.fleet.SetState(s)
	}
}
