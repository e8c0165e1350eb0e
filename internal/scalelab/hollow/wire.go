// Package hollow is a process of the scale laboratory that holds many gatekeepers without callers and servers: of each, the
// control side alone, with the real code and real sockets. The laboratory writes commands to its standard input and reads
// what happened from its standard output, a JSON object a line.
package hollow

import "time"

// Config is the first line of the standard input.
type Config struct {
	Began         int64         `json:"began"` // of the run, Unix ns: times of events count from it
	Gatekeepers   []Gatekeeper  `json:"gatekeepers"`
	Replicas      []Replica     `json:"replicas"` // control machines; none: no configuration is followed
	Dir           string        `json:"dir"`      // each gatekeeper keeps its last good settings in a folder of its own in it; "": none does
	Seed          uint64        `json:"seed"`
	Shaped        bool          `json:"shaped"` // connections between regions can be delayed
	Latency       time.Duration `json:"latency"`
	StartOver     time.Duration `json:"start_over"`     // the gatekeepers start spread over this
	Site          string        `json:"site"`           // a gatekeeper's configuration, by which settings are checked; "": not checked
	Membership    bool          `json:"membership"`     // internal/fleet
	RegisterBytes float64       `json:"register_bytes"` // that each sends a second at most; 0: no bound
	Registers     bool          `json:"registers"`      // one register of registerBytes a second for each
	Limits        bool          `json:"limits"`         // internal/limits, with leases through the control machines
	Parts         int           `json:"parts"`          // gatekeepers that share the limits
	// Groups are the gossips that the gatekeepers take part in, by name; one without a name where it is not split by service.
	Groups map[string]Group `json:"groups"`
}

// Group is one gossip.
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
	Refuses bool   `json:"refuses,omitempty"` // changes that are marked as refusable, as a differing site would
	Bind    string `json:"bind,omitempty"`    // of the gossip
	Group   string `json:"group,omitempty"`   // that it takes part in
}

// Replica is a control machine.
type Replica struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
}

// Action names a command.
type Action string

// The commands.
const (
	Cut     Action = "cut"     // Region is cut off
	Heal    Action = "heal"    // and no more
	Restart Action = "restart" // the gatekeeper Name is ended, and started again after Down
	Watch   Action = "watch"   // Count watchers that read nothing at Address
	Count   Action = "count"   // ask for Counters
	Stop    Action = "stop"    // end
)

// Command is a line of the standard input.
type Command struct {
	Do      Action        `json:"do"`
	Region  string        `json:"region,omitempty"`
	Name    string        `json:"name,omitempty"`
	Down    time.Duration `json:"down,omitempty"`
	Address string        `json:"address,omitempty"`
	Count   int           `json:"count,omitempty"`
	Mark    int           `json:"mark,omitempty"` // of Count: the answer carries it
}

// EventKind names what happened.
type EventKind string

// The events.
const (
	InForce  EventKind = "in-force" // a candidate came into force
	Refused  EventKind = "refused"
	Up       EventKind = "up" // a gatekeeper has started
	Down     EventKind = "down"
	Pulse    EventKind = "pulse"    // once a second
	Counted  EventKind = "counted"  // the answer to Count
	Watchers EventKind = "watchers" // those that read nothing, at the end
)

// Event is a line of the standard output.
type Event struct {
	Kind     EventKind     `json:"kind"`
	At       time.Duration `json:"at,omitempty"`
	Name     string        `json:"name,omitempty"`
	Life     int           `json:"life,omitempty"`
	Revision uint64        `json:"revision,omitempty"`
	Sections []Section     `json:"sections,omitempty"`
	Marker   uint64        `json:"marker,omitempty"`
	Pulse    *Figures      `json:"pulse,omitempty"`
	Counters *Counters     `json:"counters,omitempty"`
	CutOff   int           `json:"cut_off,omitempty"` // of Watchers: how many the machine cut off
	Open     int           `json:"open,omitempty"`    // and how many not
}

// Section is what one section of a candidate held.
type Section struct {
	Marker   uint64 `json:"marker"`
	Revision uint64 `json:"revision"`
}

// Figures are the process's own, of all its gatekeepers together.
type Figures struct {
	CPU         time.Duration  `json:"cpu"`
	Heap        int64          `json:"heap"` // bytes of live and not yet collected objects
	Resident    int64          `json:"resident"`
	Goroutines  int            `json:"goroutines"`
	Descriptors int            `json:"descriptors"`
	Sessions    map[string]int `json:"sessions,omitempty"` // by the name of the control machine
	InForce     int            `json:"in_force"`           // gatekeepers that have any settings in force
	Behind      int            `json:"behind"`             // gatekeepers that say of themselves that they may be behind
	Met         int            `json:"met"`                // fewest members that a gatekeeper holds to be up
	Missing     int            `json:"missing"`            // most members of its gossip that a gatekeeper does not hold to be up
	Strangers   int            `json:"strangers"`          // most members beyond those of its gossip that a gatekeeper holds to be up
}

// Counters are those of each gatekeeper.
type Counters struct {
	Mark        int                `json:"mark"`
	At          time.Duration      `json:"at"`
	CPU         time.Duration      `json:"cpu"`
	Gatekeepers []GatekeeperCounts `json:"gatekeepers"`
}

// GatekeeperCounts are a gatekeeper's counters since its process began.
type GatekeeperCounts struct {
	Name     string `json:"name"`
	Sent     int64  `json:"sent"`
	Received int64  `json:"received"`
	Opened   int64  `json:"opened"` // connections
	Gossip   int64  `json:"gossip"` // bytes that its gossip sent
	Leases   int64  `json:"leases"` // bytes both ways of lease requests
	InForce  uint64 `json:"in_force"`
	Highest  uint64 `json:"highest"`
	Met      int    `json:"met"`             // members that it holds to be up
	Fresh    int    `json:"fresh"`           // members whose register of rates counts here, its own among them
	Oldest   int64  `json:"oldest_register"` // us, the oldest of these
}
