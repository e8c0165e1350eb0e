package store

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"
)

// WatchKind says what a WatchEvent brings.
type WatchKind int

const (
	// Snapshot has all records under the session's prefixes at the event's revision. It replaces whatever the client held.
	Snapshot WatchKind = iota + 1
	// Change has all records of one transaction under the session's prefixes, deleted ones with a nil Value.
	Change
	// Heartbeat has no records: the client holds all that there is up to its revision.
	Heartbeat
)

var watchKinds = map[WatchKind]string{Snapshot: "snapshot", Change: "change", Heartbeat: "heartbeat"}

// String implements fmt.Stringer.
func (k WatchKind) String() string {
	if name, ok := watchKinds[k]; ok {
		return name
	}
	return fmt.Sprint("kind ", int(k))
}

// MarshalText implements encoding.TextMarshaler.
func (k WatchKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. A kind of a later version is an error.
func (k *WatchKind) UnmarshalText(text []byte) error {
	for kind, name := range watchKinds {
		if name == string(text) {
			*k = kind
			return nil
		}
	}
	return fmt.Errorf("store: unknown kind of event %q", text)
}

// SessionInfo names the gatekeeper of a session and where it stands.
type SessionInfo struct {
	Name    string `json:"name"`
	Region  string `json:"region,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Service string `json:"service,omitempty"`
}

// WatchRequest opens a session.
type WatchRequest struct {
	Prefixes []string    `json:"prefixes"`        // of the keys that are followed; at least one
	After    uint64      `json:"after,omitempty"` // the highest revision that the client holds; 0: none, a Snapshot comes first
	Session  SessionInfo `json:"session"`
}

// WatchEvent is one event of a session. Once it is handled, all changes under the session's prefixes up to Revision have
// been handled. Revisions of a session never fall.
type WatchEvent struct {
	Kind     WatchKind
	Revision uint64
	Records  []Record     // of Snapshot and Change; ordered by key in a Snapshot, as written in a Change
	Fleet    *FleetCounts // of Heartbeat, once the replica has gathered them

	// Of Heartbeat: the time since the replica last had word from the group's leader; 0 at the leader. A replica that lost
	// its leader goes on serving what it holds, and only this says how old that may be.
	Age time.Duration
	// Of Heartbeat: the interval at which the replica sends them.
	Every time.Duration
}

// WatchReport is what a gatekeeper reports on its session's connection.
type WatchReport struct {
	InForce uint64 `json:"in_force"`          // revision that is in force
	Refused uint64 `json:"refused,omitempty"` // revision that it last refused; 0: none since InForce
	Fault   string `json:"fault,omitempty"`   // why, with line and key
}

// FleetCounts counts the sessions of all control machines together. A session holds the configuration if the last change
// under its prefixes is in force at it; it is behind from the moment at which the change was sent until then. Sessions of a
// replica that lacks the newest change are behind. Sessions of a replica that could not be asked are in no count.
type FleetCounts struct {
	Revision     uint64        `json:"revision"` // of the newest change of a record that is served
	Sessions     int           `json:"sessions"`
	Holding      int           `json:"holding"`
	Behind       int           `json:"behind"`
	Refused      int           `json:"refused"` // of those that do not hold it, those that have refused it
	OldestBehind time.Duration `json:"oldest_behind_ns"`
	Replicas     int           `json:"replicas"` // control machines that are counted
	Unreachable  int           `json:"unheard"`  // control machines that could not be asked
}

// SessionStatus is one session of a control machine.
type SessionStatus struct {
	SessionInfo
	Report  WatchReport `json:"report"`
	Since   time.Time   `json:"since"`   // when the session began, by the control machine's clock
	Sent    uint64      `json:"sent"`    // revision up to which all has been sent
	Target  uint64      `json:"target"`  // revision of the last change under its prefixes
	Replica string      `json:"replica"` // name of the control machine
}

// Dial makes a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// AdmissionOptions bound how fast a control machine takes sessions. Rates are per second; a rate of 0 bounds nothing.
type AdmissionOptions struct {
	Sessions           int // most at a time; 0: as many as the program can hold
	SessionsPerSecond  float64
	SessionsBurst      int
	SnapshotsPerSecond float64
	SnapshotsBurst     int
}

// ServeOptions make a member a control machine: it serves watch sessions.
type ServeOptions struct {
	Name, Zone, Region string
	Admission          AdmissionOptions
	Prefix             string        // sessions may follow keys under it; history is kept of these alone. "": all keys
	HeartbeatInterval  time.Duration // 0: 1 s
	HistorySize        int           // transactions that are kept for sessions to resume from; 0: 1024
	HistoryBytes       int           // and bytes of their records at most; 0: 64 MiB
	ReportInterval     time.Duration // how often the other control machines' counts are gathered; 0: 1 s
}

const (
	heartbeatEvery = time.Second
	historySize    = 1024
	historyBytes   = 64 << 20
	reportEvery    = time.Second
)

// withDefaults fills in what was left out.
func (o ServeOptions) withDefaults() ServeOptions {
	fill := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	fill(&o.HeartbeatInterval, heartbeatEvery)
	fill(&o.ReportInterval, reportEvery)
	if o.HistorySize <= 0 {
		o.HistorySize = historySize
	}
	if o.HistoryBytes <= 0 {
		o.HistoryBytes = historyBytes
	}
	return o
}

// silenceAfter is how long a side waits for a line of the other, given the interval of heartbeats: a client answers each.
func silenceAfter(every time.Duration) time.Duration { return 3*every + writeWithin }

// wireRecord is a record of an event. A record with an empty value is not a deleted one.
type wireRecord struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func (r wireRecord) record() Record {
	switch {
	case r.Deleted:
		r.Value = nil
	case r.Value == nil:
		r.Value = []byte{}
	}
	return Record{r.Key, r.Value, r.Revision}
}

// wireEvent is a WatchEvent in a line of the client port.
type wireEvent struct {
	Kind     WatchKind     `json:"kind"`
	Revision uint64        `json:"revision"`
	Records  []wireRecord  `json:"records,omitempty"`
	Fleet    *FleetCounts  `json:"fleet,omitempty"`
	Age      time.Duration `json:"age_ns,omitempty"`
	Every    time.Duration `json:"every_ns,omitempty"`
}

func (w *wireEvent) event() WatchEvent {
	e := WatchEvent{Kind: w.Kind, Revision: w.Revision, Fleet: w.Fleet, Age: w.Age, Every: w.Every}
	for _, r := range w.Records {
		e.Records = append(e.Records, r.record())
	}
	return e
}

// line is an event as it is sent: one line of JSON, as json.Encoder would write a result.
func (w *wireEvent) line() []byte {
	text, err := json.Marshal(result{Event: w})
	if err != nil { // strings, bytes and numbers
		panic(err)
	}
	return append(text, '\n')
}
