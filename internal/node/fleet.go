package node

import (
	"cmp"
	"runtime/debug"
	"slices"
	"time"

	"beammux/control"
	"beammux/control/fleetview"
	"beammux/internal/fleet"
)

// openFleet joins the fleet's gossip, where the deploy file names it.
func (n *Node) openFleet() error {
	d := n.deploy.Fleet
	if d == nil {
		return nil
	}
	o := fleet.Options{Name: cmp.Or(d.Name, n.cfg.Name, "beammux"), Zone: d.Zone, Region: d.Region, Program: program(), Bind: d.Bind,
		Advertise: d.Advertise, Seeds: d.Seeds, Keys: d.Keys, Via: d.Via, ReapAfter: d.ReapAfter, State: fleetview.Ready, Summaries: n.summaries, Log: n.log}
	f, err := fleet.Open(o)
	if err != nil {
		return err
	}
	n.fleet = f
	n.figures.addFleet(f)
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
			if v.Heard > 0 {
				s.Age = now - v.Heard
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

// Fleet implements ops.Gatekeeper.
func (n *Node) Fleet() (any, bool) {
	if n.fleet == nil {
		return nil, false
	}
	return n.fleet.Status(), true
}

// tellFleet says what this member is now, where there is a fleet.
func (n *Node) tellFleet(s fleetview.State) {
	if n.fleet != nil {
		n.fleet.SetState(s)
	}
}
