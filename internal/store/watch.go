package store

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"
)

// WatchKind is the kind of a WatchEvent.
type WatchKind int

const (
	// Snapshot contains all records under the session's prefixes at the event's revision. It replaces the client's records.
	Snapshot WatchKind = iota + 1
	// Change contains all records of one transaction under the session's prefixes. Deleted records have a nil Value.
	Change
	// Heartbeat contains no records: the client has received all changes up to the event's revision.
	Heartbeat
)

// watchKinds maps kinds to their names on the wire.
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

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error for an unknown kind, such as one of a later version.
func (k *WatchKind) UnmarshalText(text []byte) error {
	for kind, name := range watchKinds {
		if name == string(text) {
			*k = kind
			return nil
		}
	}
	return fmt.Errorf("store: unknown watch event kind %q", text)
}

// SessionInfo identifies the gatekeeper of a session and its location.
type SessionInfo struct {
	Name    string `json:"name"`
	Region  string `json:"region,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Service string `json:"service,omitempty"`
}

// WatchRequest is the request that opens a session.
type WatchRequest struct {
	Prefixes []string    `json:"prefixes"`        // of the keys to follow; at least one
	After    uint64      `json:"after,omitempty"` // highest revision that the client holds; 0: none, so the session starts with a Snapshot
	Session  SessionInfo `json:"session"`
}

// WatchEvent is one event of a session. After handling it, the client has all changes under the session's prefixes up to
// Revision. Revisions never decrease within a session.
type WatchEvent struct {
	Kind     WatchKind
	Revision uint64
	Records  []Record     // of Snapshot, ordered by key, and of Change, in the order of the writes
	Fleet    *FleetCounts // of Heartbeat, once the replica has collected them

	// Age, of Heartbeat, is the time since the replica's last contact with the group's leader; 0 at the leader. A replica
	// without a leader continues to serve its records, and only Age shows how outdated they may be.
	Age time.Duration
	// Every, of Heartbeat, is the interval at which the replica sends heartbeats.
	Every time.Duration
}

// WatchReport is the state that a gatekeeper reports on its session's connection.
type WatchReport struct {
	InForce uint64 `json:"in_force"`          // revision that the gatekeeper has put in force
	Refused uint64 `json:"refused,omitempty"` // revision that it last refused; 0: none since InForce
	Fault   string `json:"fault,omitempty"`   // reason of the refusal, with line and key
}

// FleetCounts is the sum of the session counts of all control machines. A session is holding if its gatekeeper has the last
// change under its prefixes in force, and behind from the sending of the change until then. All sessions of a replica that
// lacks the newest change are behind. Sessions of an unreachable replica are not counted.
type FleetCounts struct {
	Revision     uint64        `json:"revision"` // of the newest change of a served record
	Sessions     int           `json:"sessions"`
	Holding      int           `json:"holding"`
	Behind       int           `json:"behind"`
	Refused      int           `json:"refused"` // sessions that have refused the last change; in neither Holding nor Behind
	OldestBehind time.Duration `json:"oldest_behind_ns"`
	Replicas     int           `json:"replicas"` // control machines whose sessions are counted
	Unreachable  int           `json:"unheard"`  // control machines that did not answer
}

// SessionStatus is the state of one session of a control machine.
type SessionStatus struct {
	SessionInfo
	Report  WatchReport `json:"report"`
	Since   time.Time   `json:"since"`   // start of the session by the control machine's clock
	Sent    uint64      `json:"sent"`    // revision up to which all changes have been sent
	Target  uint64      `json:"target"`  // revision of the last change under its prefixes
	Replica string      `json:"replica"` // name of the control machine
}

// Dial opens a connection, with the contract of net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// AdmissionOptions limits the sessions that a control machine admits. Rates are per second; a rate of 0 is unlimited.
type AdmissionOptions struct {
	Sessions           int // open at the same time; 0: the program's own limit
	SessionsPerSecond  float64
	SessionsBurst      int
	SnapshotsPerSecond float64
	SnapshotsBurst     int
}

// ServeOptions configures a member that serves watch sessions (a control machine).
type ServeOptions struct {
	Name, Zone, Region string
	Admission          AdmissionOptions
	Prefix             string        // of the keys that sessions may follow and that the history covers; "": all keys
	HeartbeatInterval  time.Duration // 0: 1 s
	HistorySize        int           // transactions kept for sessions to resume from; 0: 1024
	HistoryBytes       int           // limit of the bytes of their records; 0: 64 MiB
	ReportInterval     time.Duration // interval at which the other control machines' counts are collected; 0: 1 s
}

// Defaults of ServeOptions.
const (
	defaultHeartbeatInterval = time.Second
	defaultHistorySize       = 1024
	defaultHistoryBytes      = 64 << 20
	defaultReportInterval    = time.Second
)

// withDefaults returns the options with defaults in place of zero values.
func (o ServeOptions) withDefaults() ServeOptions {
	setDefault := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	setDefault(&o.HeartbeatInterval, defaultHeartbeatInterval)
	setDefault(&o.ReportInterval, defaultReportInterval)
	if o.HistorySize <= 0 {
		o.HistorySize = defaultHistorySize
	}
	if o.HistoryBytes <= 0 {
		o.HistoryBytes = defaultHistoryBytes
	}
	return o
}

// idleTimeoutFor returns how long each side of a session waits for a line of the other, given the heartbeat interval. A client
// answers each heartbeat with a report.
func idleTimeoutFor(every time.Duration) time.Duration { return 3*every + writeTimeout }

// wireRecord is the encoding of a record in an event. Deleted distinguishes a deleted record from one with an empty value.
type wireRecord struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// record returns the decoded record: its value is nil only if it was deleted.
func (r wireRecord) record() Record {
	switch {
	case r.Deleted:
		r.Value = nil
	case r.Value == nil:
		r.Value = []byte{}
	}
	return Record{r.Key, r.Value, r.Revision}
}

// wireEvent is the encoding of a WatchEvent.
type wireEvent struct {
	Kind     WatchKind     `json:"kind"`
	Revision uint64        `json:"revision"`
	Records  []wireRecord  `json:"records,omitempty"`
	Fleet    *FleetCounts  `json:"fleet,omitempty"`
	Age      time.Duration `json:"age_ns,omitempty"`
	Every    time.Duration `json:"every_ns,omitempty"`
}

// event returns the decoded event.
func (w *wireEvent) event() WatchEvent {
	e := WatchEvent{Kind: w.Kind, Revision: w.Revision, Fleet: w.Fleet, Age: w.Age, Every: w.Every}
	for _, r := range w.Records {
		e.Records = append(e.Records, r.record())
	}
	return e
}

// line returns the encoded event: one line of JSON, as json.Encoder would write a result.
func (w *wireEvent) line() []byte {
	text, err := json.Marshal(result{Event: w})
	if err != nil { // unreachable: the fields are strings, bytes and numbers
		panic(err)
	}
	return append(text, '\n')
}
