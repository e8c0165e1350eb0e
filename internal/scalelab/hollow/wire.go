// Package hollow implements a process of the scale laboratory that runs many hollow gatekeepers: gatekeepers without callers
// and servers, of which only the control side runs, with the production code and real sockets. The laboratory writes a
// configuration and commands to the standard input and reads events from the standard output, one JSON object per line.
package hollow

import "time"

// Config is the configuration of the process, the first line of the standard input.
type Config struct {
	RunStart      int64         `json:"began"` // start of the run in Unix nanoseconds; times of events are relative to it
	Gatekeepers   []Gatekeeper  `json:"gatekeepers"`
	Replicas      []Replica     `json:"replicas"` // control machines; without any, no settings are followed
	Dir           string        `json:"dir"`      // parent directory of the gatekeepers' settings caches; "": no caches
	Seed          uint64        `json:"seed"`
	DelayRegions  bool          `json:"shaped"` // connections between regions are delayed by Latency
	Latency       time.Duration `json:"latency"`
	StartSpread   time.Duration `json:"start_over"`     // time over which the starts of the gatekeepers are spread
	Site          string        `json:"site"`           // file of a gatekeeper's configuration that settings are checked against; "": the form alone is checked
	Membership    bool          `json:"membership"`     // gatekeepers join a gossip (internal/fleet)
	RegisterBytes float64       `json:"register_bytes"` // most bytes of registers that a gatekeeper sends per second; 0: no limit
	Registers     bool          `json:"registers"`      // each gatekeeper publishes a register of registerBytes every second
	Limits        bool          `json:"limits"`         // gatekeepers lease limits from the control machines (internal/limits)
	Parts         int           `json:"parts"`          // number of gatekeepers that share the limits
	// Groups are the gossip groups by name: one per service, or a single one with an empty name.
	Groups map[string]Group `json:"groups"`
}

// Group is one gossip group. Seeds are the addresses that new members join.
type Group struct {
	Seeds   []string `json:"seeds"`
	Members int      `json:"members"`
}

// Gatekeeper is one hollow gatekeeper.
type Gatekeeper struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
	Refuses bool   `json:"refuses,omitempty"` // refuses changes that are marked as refusable
	Bind    string `json:"bind,omitempty"`    // gossip address
	Group   string `json:"group,omitempty"`   // gossip group
}

// Replica is a control machine.
type Replica struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
}

// Action is the kind of a command.
type Action string

// The kinds of commands.
const (
	CutRegion         Action = "cut"     // partition Region from the others
	HealRegion        Action = "heal"    // end the partition of Region
	RestartGatekeeper Action = "restart" // stop the gatekeeper Name and start it again after DownTime
	OpenStuckWatchers Action = "watch"   // open Count stuck watchers at the control machine at Address
	Count             Action = "count"   // report Counters
	Stop              Action = "stop"    // exit
)

// Command is a line of the standard input.
type Command struct {
	Operation Action        `json:"do"`
	Region    string        `json:"region,omitempty"`
	Name      string        `json:"name,omitempty"`
	DownTime  time.Duration `json:"down,omitempty"`
	Address   string        `json:"address,omitempty"`
	Count     int           `json:"count,omitempty"`
	Mark      int           `json:"mark,omitempty"` // of Count: repeated in Counters
}

// EventKind is the kind of an event.
type EventKind string

// The kinds of events.
const (
	CandidateApplied    EventKind = "in-force" // a gatekeeper put a candidate in force
	CandidateRefused    EventKind = "refused"  // a gatekeeper refused a candidate
	GatekeeperUp        EventKind = "up"       // a gatekeeper is starting
	GatekeeperDown      EventKind = "down"     // a gatekeeper is stopping for a restart
	PeriodicFigures     EventKind = "pulse"    // periodic figures of the process, once per second
	CountersReported    EventKind = "counted"  // the response to Count
	StuckWatchersResult EventKind = "watchers" // result for the stuck watchers, at the end of the run
)

// Event is a line of the standard output. At is relative to the start of the run.
type Event struct {
	Kind            EventKind     `json:"kind"`
	At              time.Duration `json:"at,omitempty"`
	Name            string        `json:"name,omitempty"`
	StartCount      int           `json:"life,omitempty"`
	Revision        uint64        `json:"revision,omitempty"`
	Sections        []Section     `json:"sections,omitempty"`
	Marker          uint64        `json:"marker,omitempty"`
	PeriodicFigures *Figures      `json:"pulse,omitempty"`
	Counters        *Counters     `json:"counters,omitempty"`
	CutOff          int           `json:"cut_off,omitempty"` // of StuckWatchersResult: how many sessions the control machine ended
	NotCutOff       int           `json:"open,omitempty"`    // of StuckWatchersResult: how many sessions it did not end
}

// Section is the content of one section of a candidate.
type Section struct {
	Marker   uint64 `json:"marker"`
	Revision uint64 `json:"revision"`
}

// Figures are the resource usage of the process and the state of its gatekeepers.
type Figures struct {
	CPU            time.Duration  `json:"cpu"`
	Heap           int64          `json:"heap"` // bytes of live objects and of objects not yet collected
	Resident       int64          `json:"resident"`
	Goroutines     int            `json:"goroutines"`
	Descriptors    int            `json:"descriptors"`
	Sessions       map[string]int `json:"sessions,omitempty"` // number of sessions by name of the control machine
	InForce        int            `json:"in_force"`           // gatekeepers with settings in force
	Behind         int            `json:"behind"`             // gatekeepers whose own status is that they may be behind
	FewestUp       int            `json:"met"`                // fewest members that a gatekeeper considers up
	MostMissing    int            `json:"missing"`            // most members of its group that a gatekeeper does not consider up
	MostUnexpected int            `json:"strangers"`          // most members in excess of its group's size that a gatekeeper considers up
}

// Counters are the response to Count.
type Counters struct {
	Mark        int                `json:"mark"`
	At          time.Duration      `json:"at"`
	CPU         time.Duration      `json:"cpu"`
	Gatekeepers []GatekeeperCounts `json:"gatekeepers"`
}

// GatekeeperCounts are the counters of a gatekeeper since the start of the process.
type GatekeeperCounts struct {
	Name                 string `json:"name"`
	Sent                 int64  `json:"sent"`            // bytes, settings connections
	Received             int64  `json:"received"`        // bytes, settings connections
	ConnectionsOpened    int64  `json:"opened"`          // settings connections
	GossipBytes          int64  `json:"gossip"`          // bytes sent by gossip
	LeaseBytes           int64  `json:"leases"`          // bytes of lease requests and responses
	InForce              uint64 `json:"in_force"`        // revision in force
	HighestSeen          uint64 `json:"highest"`         // highest revision seen
	MembersUp            int    `json:"met"`             // members that the gatekeeper considers up
	FreshRegisters       int    `json:"fresh"`           // members whose rates register is fresh enough to count, itself included
	OldestRegisterMicros int64  `json:"oldest_register"` // age of the oldest of these registers in microseconds
}
