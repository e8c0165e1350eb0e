// Package scalelab is the scale laboratory: a control plane of real processes and many hollow gatekeepers on loopback, with
// faults between them. It measures what control costs at a number of gatekeepers, and judges how settings came into force.
package scalelab

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"time"

	"beammux/internal/scalelab/hollow"
	"beammux/internal/scalelab/script"
)

// Bounds of a run: processes, of which control machines and hollow processes make up all but the laboratory itself.
const (
	MostProcesses   = 100
	MostGatekeepers = 20000
	MostLength      = time.Hour
	MostControl     = 80
	MostHollow      = 16
)

// Options say what is run.
type Options struct {
	Program         string // path of this program
	Env             []string
	Dir             string // for files and logs; it must exist
	Gatekeepers     int
	Control         int // machines; 0: no control plane
	Voters          int
	Regions         int
	Zones           int
	Services        int
	HollowProcesses int // processes that hold the gatekeepers
	Seed            uint64
	Length          time.Duration // of the measured time
	ChangesADay     float64
	Factor          float64 // changes come so many times as often
	RecordBytes     int     // of each of the two records of a change
	// RegisterBytes bounds what a gatekeeper sends of registers, bytes a second; 0: no bound.
	RegisterBytes float64
	Faults        []script.Fault
	With          With
	Admission     Admission
	Site          string // a gatekeeper's configuration by which changes are checked; "": by their form alone
	Beside        string // what else ran on the machine, as the caller knows it
	Command       string // as it was called, for the report
	Progress      func(at time.Duration, what string)
}

// With says what a gatekeeper's control side has beside configuration.
type With struct {
	Membership, Registers, Limits bool
	Groups                        bool // the gossip is split by service
}

// Admission is a control machine's rate of new sessions and snapshots.
type Admission struct {
	Sessions       int     `json:"sessions,omitempty"` // at a time; 0: no bound
	SessionsPerS   float64 `json:"sessions_per_s"`
	SessionsBurst  int     `json:"sessions_burst"`
	SnapshotsPerS  float64 `json:"snapshots_per_s"`
	SnapshotsBurst int     `json:"snapshots_burst"`
}

// Check says what is wrong with the options, by the flag's name.
func (o *Options) Check() error {
	for _, bound := range []struct {
		flag           string
		v, least, most int
	}{
		{"gatekeepers", o.Gatekeepers, 1, MostGatekeepers}, {"control", o.Control, 0, MostControl}, {"voters", o.Voters, min(1, o.Control), o.Control},
		{"regions", o.Regions, 1, 64}, {"zones", o.Zones, o.Regions, 256}, {"services", o.Services, 1, 4096}, {"processes", o.HollowProcesses, 1, MostHollow},
		{"record-bytes", o.RecordBytes, 0, 1 << 20},
	} {
		if bound.v < bound.least || bound.v > bound.most {
			return fmt.Errorf("--%s: %d is not %d to %d", bound.flag, bound.v, bound.least, bound.most)
		}
	}
	switch {
	case o.Length < time.Second || o.Length > MostLength:
		return fmt.Errorf("--length: %v is not 1s to %v", o.Length, MostLength)
	case !(o.ChangesADay >= 0 && o.ChangesADay*o.Factor <= 86400*100):
		return errors.New("--changes-per-day: must be 0 to 100 changes a second")
	case o.Control == 0 && (o.With.Limits || !o.With.Membership):
		return errors.New("--control: 0 needs --with membership, and no limits")
	case o.With.Registers && !o.With.Membership:
		return errors.New("--with: registers ride on membership")
	case o.With.Groups && !o.With.Membership:
		return errors.New("--with: groups are those of membership")
	}
	if end := script.End(o.Faults); end > o.Length {
		return fmt.Errorf("--length: %v, and the faults end at %v", o.Length, end)
	}
	return nil
}

// Zones and regions are named by their numbers; the zones are dealt out over the regions.
func regionName(zone, regions int) string { return fmt.Sprintf("r%d", zone%regions+1) }
func zoneName(zone int) string            { return fmt.Sprintf("z%d", zone+1) }

// plan lays out the run.
type plan struct {
	machines    []machineSpec
	gatekeepers []hollow.Gatekeeper
}

// machineSpec is one control machine.
type machineSpec struct {
	hollow.Replica
	voter bool
}

// refusesEvery: one gatekeeper of so many refuses the changes that are marked for it.
const refusesEvery = 10

// lay places control machines and gatekeepers: the zones are dealt out over the regions and both over the zones, so that the
// first voters stand in regions as evenly as can be.
func lay(o *Options) plan {
	var p plan
	for i := range o.Control {
		zone := i % o.Zones
		p.machines = append(p.machines, machineSpec{hollow.Replica{Name: fmt.Sprintf("c%02d", i+1), Zone: zoneName(zone),
			Region: regionName(zone, o.Regions)}, i < o.Voters})
	}
	refusals := script.Has(o.Faults, script.Refuse)
	for i := range o.Gatekeepers {
		zone := i % o.Zones
		g := hollow.Gatekeeper{Name: fmt.Sprintf("g%05d", i+1), Zone: zoneName(zone), Region: regionName(zone, o.Regions),
			Service: fmt.Sprintf("s%02d", i/o.Zones%o.Services+1), Refuses: refusals && i%refusesEvery == refusesEvery-1}
		if o.With.Membership {
			g.Bind = "127.0.0.1:0"
		}
		if o.With.Groups {
			g.Group = g.Service
		}
		p.gatekeepers = append(p.gatekeepers, g)
	}
	return p
}

// Where ports are taken from: below those that the kernel hands out to connections, of which a run has thousands.
const (
	firstPort = 15000
	lastPort  = 31000
)

// freePorts finds ports that nobody listens at, beginning at one that the seed gives.
func freePorts(n int, seed uint64) ([]int, error) {
	var found []int
	for i := 0; i < lastPort-firstPort && len(found) < n; i++ {
		port := firstPort + int((seed*7919+uint64(i))%(lastPort-firstPort))
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		l.Close()
		found = append(found, port)
	}
	if len(found) < n {
		return nil, fmt.Errorf("%d free ports of %d", len(found), n)
	}
	return found, nil
}

// needDescriptors is how many a hollow process needs at most: for each gatekeeper a session and one that takes its place, for
// gossip two sockets that listen and streams, for leases a connection; and some of its own.
func needDescriptors(o *Options) int {
	each := 2
	if o.With.Membership {
		each += 6
	}
	if o.With.Limits {
		each++
	}
	share := (o.Gatekeepers + o.HollowProcesses - 1) / o.HollowProcesses
	return share*each + 64
}

// startOver is the time over which the gatekeepers start, where they don't at once.
func (o *Options) startOver() time.Duration {
	if script.Has(o.Faults, script.StartAtOnce) {
		return 0
	}
	const startsPerSecond = 150
	return max(time.Second, time.Duration(float64(o.Gatekeepers)/startsPerSecond*float64(time.Second)))
}

func (o *Options) progress(at time.Duration, what string) {
	if o.Progress != nil {
		o.Progress(at, what)
	}
}

// changeEvery is the time between two changes; 0: none come.
func (o *Options) changeEvery() time.Duration {
	rate := o.ChangesADay * cmp.Or(o.Factor, 1)
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(24*time.Hour) / rate)
}
