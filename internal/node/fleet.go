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

// openFleet joins the fleet's gossip if the deploy file configures a fleet.
func (n *Node) openFleet(ctx context.Context) error {
	d := n.deploy.Fleet
	if d == nil {
		return nil
	}
	o := fleet.Options{Name: cmp.Or(d.Name, n.cfg.Name, "beammux"), Zone: d.Zone, Region: d.Region, Group: d.Group, RegisterBytes: d.RegisterBytesPerS, Program: programVersion(), Bind: d.Bind,
		Advertise: d.Advertise, Seeds: d.Seeds, Keys: d.Keys, Via: d.Via, ReapAfter: d.ReapAfter, State: fleetview.Ready, Summaries: n.summaries, Log: n.log}
	f, err := fleet.Open(o)
	if err != nil {
		return err
	}
	n.fleet = f
	n.exporter.addFleet(f)
	n.exporter.addRegisters(f)
	n.publishers.Go(func() { n.publishRates(ctx) })
	if n.outliers != nil {
		n.outliers.Open(f)
		n.exporter.addEjections(n.outliers)
	}
	n.log.WithField("listen", f.Addr()).Info("fleet listening")
	return nil
}

// programVersion returns the version control revision that this program was built from, or "unknown".
func programVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value[:min(len(s.Value), 12)]
			}
		}
	}
	return "unknown"
}

// summaryTimeout bounds the wait for the core's view of its servers.
const summaryTimeout = 500 * time.Millisecond

// summaries returns this gatekeeper's view of the servers, or its previous result if the core does not answer within
// summaryTimeout. The fleet distributes it to the other members as a hint.
func (n *Node) summaries() []fleetview.Summary {
	answer := make(chan []fleetview.Summary, 1)
	n.core.Views(func(views []control.View, now control.Micros) {
		var result []fleetview.Summary
		for _, v := range views {
			s := fleetview.Summary{Server: v.Server, Level: v.Level, Age: -1}
			if v.LastHeard > 0 {
				s.Age = now - v.LastHeard
			}
			result = append(result, s)
		}
		answer <- result
	})
	select {
	case n.lastSummaries = <-answer:
	case <-time.After(summaryTimeout):
	}
	return slices.Clone(n.lastSummaries)
}

// ClassRates holds the rates of calls of one class, in calls per second, by outcome.
type ClassRates struct {
	Arrived     float64 `cbor:"1,keyasint" json:"arrived"`
	Established float64 `cbor:"2,keyasint" json:"stood"`
	Refused     float64 `cbor:"3,keyasint" json:"refused"`
	Failed      float64 `cbor:"4,keyasint" json:"failed"`
}

// FleetRates holds the call rates of the whole fleet, summed over the rates that its members publish.
type FleetRates struct {
	Members int                   `json:"members"`   // members included: alive, with a recent register
	Oldest  control.Micros        `json:"oldest_us"` // lower bound of the age of the oldest of these rates
	Classes map[string]ClassRates `json:"classes"`   // by class name
}

// FleetStatus is the response body of GET /api/fleet.
type FleetStatus struct {
	fleet.Status
	Calls  FleetRates     `json:"calls"`
	Limits *limits.Status `json:"limits,omitempty"`

	Verdicts *ejection.Status `json:"verdicts,omitempty"`

	Settings *follow.Status `json:"settings,omitempty"` // received from the control machines
}

// ratesInterval is the interval at which this gatekeeper publishes its call rates.
const ratesInterval = 500 * time.Millisecond

// publishRates publishes this gatekeeper's call rates until ctx is done.
func (n *Node) publishRates(ctx context.Context) {
	tick := time.NewTicker(ratesInterval)
	defer tick.Stop()
	for {
		rates := map[string]ClassRates{}
		for i, c := range n.counters.Rates(n.core.Now()).Classes {
			name := "unknown"
			if i < len(n.cfg.Site.ClassNames) {
				name = n.cfg.Site.ClassNames[i]
			}
			if c[counting.Arrived] > minRate {
				rates[name] = ClassRates{rounded(c[counting.Arrived]), rounded(c[counting.Established]), rounded(c[counting.Refused]), rounded(c[counting.Failed])}
			}
		}
		if encoded, err := sortedCBOR.Marshal(rates); err == nil {
			n.fleet.Publish(registers.Rates, encoded) // the fleet logs its errors
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

const minRate = 0.005 // calls per second; lower rates are not published

// rounded returns v rounded to two decimals.
func rounded(v float64) float64 { return math.Round(v*100) / 100 }

// sortedCBOR encodes equal values to equal bytes, and each floating-point number in its shortest exact form.
var sortedCBOR = func() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortCanonical, ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// fleetRates sums the rates that members publish. A register that cannot be decoded is skipped.
func (n *Node) fleetRates() FleetRates {
	total := FleetRates{Classes: map[string]ClassRates{}}
	for _, r := range n.fleet.Read(registers.Rates) {
		var rates map[string]ClassRates
		if err := cbor.Unmarshal(r.Value, &rates); err != nil {
			continue
		}
		total.Members++
		total.Oldest = max(total.Oldest, r.Age)
		for name, c := range rates {
			sum := total.Classes[name]
			total.Classes[name] = ClassRates{sum.Arrived + c.Arrived, sum.Established + c.Established, sum.Refused + c.Refused, sum.Failed + c.Failed}
		}
	}
	return total
}

// Fleet implements ops.Gatekeeper. It reports false if this gatekeeper neither belongs to a fleet nor follows control machines.
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

// publishState publishes this member's state if the fleet is enabled.
func (n *Node) publishState(s fleetview.State) {
	if n.fleet != nil {
		n.fleet.SetState(s)
	}
}
