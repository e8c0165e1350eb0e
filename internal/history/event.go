// Package history defines the events in a gatekeeper's records, rebuilds the state of a fleet from them, and checks the
// rules against them. It does no I/O and reads no clock; package record stores the events in files.
package history

import "beammux/control"

// Kind is the type of an event. Kinds are part of the format of records and are never renumbered.
type Kind uint8

// The kinds of events, with the fields of Event that each uses in addition to At, Kind and Seq.
const (
	Started       Kind = 1 + iota // Rules, Name (version of limits): the first event of a start
	Received                      // Call, Class, Value (worth), Span (time until the caller gives up), Repeated: a call arrived
	Sent                          // Call, Attempt, Server, Level (at the decision): the first byte of a set-up is about to be sent
	Ended                         // Call, Attempt, Server, Code, Span (since it was sent): an attempt ended without an established call
	Established                   // Call, Attempt, Server, Span (since the call arrived): final answer, the call is established
	Refused                       // Call, Span (advised retry delay): final answer
	Failed                        // Call: final answer
	Gone                          // Call: withdrawn by its caller before the final answer; no answer is due
	Released                      // Call, Server, N (cause): an established call ended
	Viewed                        // Server, Level, Span (estimated wait), Value (fraction of the calls withheld from it)
	Reported                      // Server, Values: an accepted load report, in the order of Rules.Reports
	Listed                        // Server, Name, State, N (cell), Since: the inventory's entry of a server
	Reloaded                      // Name (version of limits in force)
	ResourceUsage                 // Values: memory in bytes, descriptors, open calls
	Draining                      // a planned shutdown has begun
	Finished                      // a planned shutdown is complete; the next event is the next start
	Dropped                       // N (events lost), Span (since the first of them): the queue was full
	Continued                     // Rules, Name: records begin with a later segment, since older ones were removed
	Admitted                      // Call, Class: admitted by the limits of the fleet
	kinds
)

// kindNames are the names of the kinds in JSON output.
var kindNames = [kinds]string{"", "started", "taken", "sent", "ended", "stood", "refused", "failed", "gone", "released", "viewed",
	"reported", "told", "reloaded", "used", "draining", "finished", "dropped",
	"continued", "admitted"}

// String returns the name of the kind in JSON output, "unknown" for an undefined kind.
func (k Kind) String() string {
	if k == 0 || k >= kinds {
		return "unknown"
	}
	return kindNames[k]
}

// Final reports whether the kind is a final answer.
func (k Kind) Final() bool { return k == Established || k == Refused || k == Failed }

// Event is one event at one gatekeeper. Times and spans are in microseconds; At is Unix time by the clock of that
// gatekeeper. Fields that a kind doesn't use are zero.
type Event struct {
	At       control.Micros `cbor:"1,keyasint" json:"-"`
	Kind     Kind           `cbor:"2,keyasint" json:"-"`
	Seq      uint64         `cbor:"3,keyasint" json:"seq,omitempty"` // number of the event within its start, from 1, dropped ones included
	Call     string         `cbor:"4,keyasint,omitempty" json:"call,omitempty"`
	Class    int            `cbor:"5,keyasint,omitempty" json:"class,omitempty"`   // index into Rules.Classes, -1 for a class that is not in it
	Attempt  int            `cbor:"6,keyasint,omitempty" json:"attempt,omitempty"` // from 0
	Server   uint32         `cbor:"7,keyasint,omitempty" json:"server,omitempty"`
	Code     control.Code   `cbor:"8,keyasint,omitempty" json:"-"`
	Span     control.Micros `cbor:"9,keyasint,omitempty" json:"span_us,omitempty"`
	Value    float64        `cbor:"10,keyasint,omitempty" json:"value,omitempty"`
	Level    int            `cbor:"11,keyasint,omitempty" json:"level,omitempty"`
	Name     string         `cbor:"12,keyasint,omitempty" json:"name,omitempty"`
	State    control.State  `cbor:"13,keyasint,omitempty" json:"-"`
	N        int64          `cbor:"14,keyasint,omitempty" json:"n,omitempty"`
	Since    control.Micros `cbor:"15,keyasint,omitempty" json:"since_us,omitempty"` // last start of a server, 0 if it is long past
	Repeated bool           `cbor:"16,keyasint,omitempty" json:"again,omitempty"`    // the call was cut and is a repetition
	Values   []float64      `cbor:"17,keyasint,omitempty" json:"values,omitempty"`
	Rules    *Rules         `cbor:"18,keyasint,omitempty" json:"rules,omitempty"`

	Node  string `cbor:"-" json:"-"`     // gatekeeper, from the header of the file that the event was read from
	Start uint64 `cbor:"-" json:"start"` // number of the start, unique for the gatekeeper within a folder
}

// Rules are the parameters of the rules. They are recorded once at each start, so that a report needs no other file.
type Rules struct {
	Classes       []Class        `cbor:"1,keyasint"`
	Reports       []string       `cbor:"2,keyasint"` // names of the fields of load reports
	Fronts        int            `cbor:"3,keyasint"` // number of gatekeepers
	AnswerSlack   control.Micros `cbor:"4,keyasint"` // time after a caller's deadline in which an answer still counts as in time
	DrainGrace    control.Micros `cbor:"5,keyasint"`
	ReleaseGuard  control.Micros `cbor:"6,keyasint"`
	FallMultiple  float64        `cbor:"7,keyasint"`
	FallTime      control.Micros `cbor:"8,keyasint"`
	StartCapacity float64        `cbor:"9,keyasint"`
	WarmWithin    control.Micros `cbor:"10,keyasint"`
}

// Class holds the parameters of a class of calls.
type Class struct {
	Name      string         `cbor:"1,keyasint"`
	Aim       control.Micros `cbor:"2,keyasint"`
	Worth     float64        `cbor:"3,keyasint"`
	LateWorth float64        `cbor:"4,keyasint"`
}

// Why is the cause of a gap.
type Why string

// The causes of a gap.
const (
	Restart Why = "restart" // between two starts
	Lost    Why = "dropped" // the queue was full
	Damaged Why = "damaged" // files are missing or can't be read
)

// Gap is a time span in which a gatekeeper's records are missing or incomplete. Hides reports whether events may be missing;
// it is false after a planned shutdown, when nothing happened that is not recorded.
type Gap struct {
	Node  string         `json:"gatekeeper"`
	From  control.Micros `json:"from"`
	To    control.Micros `json:"to"`
	Why   Why            `json:"why"`
	Hides bool           `json:"hides"`
	Count int64          `json:"records,omitempty"` // number of events known to be lost
}
