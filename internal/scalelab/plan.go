// Package scalelab implements the scale laboratory: it runs a control plane of real processes and many hollow gatekeepers on
// loopback, injects faults, measures the cost of control at a number of gatekeepers, and checks how settings come into force.
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

// Limits of a run. MaxProcesses includes the control machines, the hollow processes and the laboratory itself.
const (
	MaxProcesses   = 100
	MaxGatekeepers = 20000
	MaxLength      = time.Hour
	MaxControl     = 80
	MaxHollow      = 16
)

// Options are the parameters of a run.
type Options struct {
	Program         string // path of the beammux executable
	Env             []string
	Dir             string // directory for files and logs; must exist
	Gatekeepers     int
	Control         int // number of control machines; 0: no control plane
	Voters          int // number of control machines with a vote
	Regions         int
	Zones           int
	Services        int
	HollowProcesses int // number of processes that run the gatekeepers
	Seed            uint64
	Length          time.Duration // measured time
	ChangesADay     float64
	Factor          float64 // multiplies ChangesADay; 0 counts as 1
	RecordBytes     int     // size of each of the two records of a change
	// RegisterBytes is the most bytes of registers that a gatekeeper sends per second; 0: no limit.
	RegisterBytes float64
	Faults        []script.Fault
	With          With
	Admission     Admission
	Site          string // file of a gatekeeper's configuration that changes are checked against; "": only their form is checked
	Beside        string // other load on the machine, as described by the user
	Command       string // command line, for the report
	Progress      func(at time.Duration, what string)
}

// With selects the parts of a gatekeeper's control side that run besides configuration.
type With struct {
	Membership, Registers, Limits bool
	Groups                        bool // each service has its own gossip group
}

// Admission is the admission control of a control machine for sessions and snapshots.
type Admission struct {
	Sessions       int     `json:"sessions,omitempty"` // limit of concurrent sessions; 0: no limit
	SessionsPerS   float64 `json:"sessions_per_s"`
	SessionsBurst  int     `json:"sessions_burst"`
	SnapshotsPerS  float64 `json:"snapshots_per_s"`
	SnapshotsBurst int     `json:"snapshots_burst"`
}

// Check returns an error that names the flag of the first invalid option.
func (o *Options) Check() error {
	for _, bound := range []struct {
		flag           string
		v, least, most int
	}{
		{"gatekeepers", o.Gatekeepers, 1, MaxGatekeepers}, {"control", o.Control, 0, MaxControl}, {"voters", o.Voters, min(1, o.Control), o.Control},
		{"regions", o.Regions, 1, 64}, {"zones", o.Zones, o.Regions, 256}, {"services", o.Services, 1, 4096}, {"processes", o.HollowProcesses, 1, MaxHollow},
		{"record-bytes", o.RecordBytes, 0, 1 << 20},
	} {
		if bound.v < bound.least || bound.v > bound.most {
			return fmt.Errorf("--%s: %d is not %d to %d", bound.flag, bound.v, bound.least, bound.most)
		}
	}
	switch {
	case o.Length < time.Second || o.Length > MaxLength:
		return fmt.Errorf("--length: %v is not 1s to %v", o.Length, MaxLength)
	case !(o.ChangesADay >= 0 && o.ChangesADay*o.Factor <= 86400*100):
		return errors.New("--changes-per-day: must be 0 to 100 changes a second")
	case o.Control == 0 && (o.With.Limits || !o.With.Membership):
		return errors.New("--control: 0 needs --with membership, and no limits")
	case o.With.Registers && !o.With.Membership:
		return errors.New("--with: registers requires membership")
	case o.With.Groups && !o.With.Membership:
		return errors.New("--with: groups requires membership")
	}
	if end := script.End(o.Faults); end > o.Length {
		return fmt.Errorf("--length: %v is too short, the faults end at %v", o.Length, end)
	}
	return nil
}

// Zones and regions are named by their numbers. Zones are assigned to regions round robin.
func regionName(zone, regions int) string { return fmt.Sprintf("r%d", zone%regions+1) }
func zoneName(zone int) string            { return fmt.Sprintf("z%d", zone+1) }

// plan is the placement of the control machines and gatekeepers of a run.
type plan struct {
	machines    []machineSpec
	gatekeepers []hollow.Gatekeeper
}

// machineSpec is the placement of one control machine.
type machineSpec struct {
	hollow.Replica
	voter bool
}

// gatekeepersPerRefuser is the number of gatekeepers per gatekeeper that refuses refusable changes.
const gatekeepersPerRefuser = 10

// newPlan assigns names, zones and regions round robin: zones to regions, control machines and gatekeepers to zones. The voters
// are the first control machines, so they are spread over the regions as evenly as possible.
func newPlan(o *Options) plan {
	var p plan
	for i := range o.Control {
		zone := i % o.Zones
		p.machines = append(p.machines, machineSpec{hollow.Replica{Name: fmt.Sprintf("c%02d", i+1), Zone: zoneName(zone),
			Region: regionName(zone, o.Regions)}, i < o.Voters})
	}
	refusals := script.Contains(o.Faults, script.Refuse)
	for i := range o.Gatekeepers {
		zone := i % o.Zones
		g := hollow.Gatekeeper{Name: fmt.Sprintf("g%05d", i+1), Zone: zoneName(zone), Region: regionName(zone, o.Regions),
			Service: fmt.Sprintf("s%02d", i/o.Zones%o.Services+1), Refuses: refusals && i%gatekeepersPerRefuser == gatekeepersPerRefuser-1}
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

// The range of listening ports, below the ephemeral ports of the kernel: a run opens thousands of connections.
const (
	firstPort = 15000
	lastPort  = 31000
)

// freePorts returns n unused ports, searched from a port that depends on the seed.
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
		return nil, fmt.Errorf("found only %d of %d free ports", len(found), n)
	}
	return found, nil
}

// neededDescriptors returns the most file descriptors that a hollow process needs: for each gatekeeper one session and its
// replacement, two listening sockets and streams for gossip, and one connection for leases; and some for the process itself.
func neededDescriptors(o *Options) int {
	perGatekeeper := 2
	if o.With.Membership {
		perGatekeeper += 6
	}
	if o.With.Limits {
		perGatekeeper++
	}
	share := (o.Gatekeepers + o.HollowProcesses - 1) / o.HollowProcesses
	return share*perGatekeeper + 64
}

// startSpread returns the time over which the starts of the gatekeepers are spread; 0: all start at the same time.
func (o *Options) startSpread() time.Duration {
	if script.Contains(o.Faults, script.StartAtOnce) {
		return 0
	}
	const startsPerSecond = 150
	return max(time.Second, time.Duration(float64(o.Gatekeepers)/startsPerSecond*float64(time.Second)))
}

// progress reports a step of the run, if the caller wants progress.
func (o *Options) progress(at time.Duration, step string) {
	if o.Progress != nil {
		o.Progress(at, step)
	}
}

// changeInterval returns the time between two changes; 0: no changes are written.
func (o *Options) changeInterval() time.Duration {
	rate := o.ChangesADay * cmp.Or(o.Factor, 1)
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(24*time.Hour) / rate)
}
