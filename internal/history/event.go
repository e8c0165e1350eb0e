// Package history is what a gatekeeper's records mean: the events, the state of a fleet that they rebuild, and the check
// of the rules on them. It does no I/O and reads no clock; package record keeps events in files.
package history

import "beammux/control"

// Kind tells what an event records. Kinds are part of the format of records: they are never renumbered.
type Kind uint8

// The kinds, with the fields of Event that each uses beside At, Kind and Seq.
const (
	Started       Kind = 1 + iota // Rules, Name (version of limits): the first event of a start
	Received                      // Call, Class, Value (worth), Span (time its caller gives it), Again
	Sent                          // Call, Attempt, Server, Level (held when it was decided): the first byte of a set-up is about to go out
	Ended                         // Call, Attempt, Server, Code, Span (since it was sent): an attempt is over without standing
	Established                   // Call, Attempt, Server, Span (since the call was taken): final answer, the call stands
	Refused                       // Call, Span (wait told): final answer
	Failed                        // Call: final answer
	Gone                          // Call: withdrawn by its caller before the final answer; none is owed
	Released                      // Call, Server, N (cause): a call that stood is over
	Viewed                        // Server, Level, Span (wait believed), Value (part of the calls kept from it)
	Reported                      // Server, Values: a load report as it was believed, in the order of Rules.Reports
	Listed                        // Server, Name, State, N (cell), Since: what the list says of a server
	Reloaded                      // Name (version of limits in force)
	ResourceUsage                 // Values: memory in bytes, descriptors, calls open
	Draining                      // a planned end has begun
	Finished                      // a planned end is over; nothing follows but the next start
	Dropped                       // N (events lost), Span (since the first of them): the queue was full
	Continued                     // Rules, Name: records begin here with a later segment, since older ones were removed
	Admitted                      // Call, Class: limits of the fleet let it in
	kinds
)

var kindNames = [kinds]string{"", "started", "taken", "sent", "ended", "stood", "refused", "failed", "gone", "released", "viewed",
	"reported", "told", "reloaded", "used", "draining", "finished", "dropped",
	"continued", "admitted"}

func (k Kind) String() string {
	if k == 0 || k >= kinds {
		return "unknown"
	}
	return kindNames[k]
}

// Final tells whether a kind is a final answer.
func (k Kind) Final() bool { return k == Established || k == Refused || k == Failed }

// Event is one thing that happened at one gatekeeper. Times and spans are in microseconds, At as Unix time by the clock
// of that gatekeeper. Fields that a kind doesn't use are zero.
type Event struct {
	At       control.Micros `cbor:"1,keyasint" json:"-"`
	Kind     Kind           `cbor:"2,keyasint" json:"-"`
	Seq      uint64         `cbor:"3,keyasint" json:"seq,omitempty"` // counts the events of a start from 1, dropped ones included
	Call     string         `cbor:"4,keyasint,omitempty" json:"call,omitempty"`
	Class    int            `cbor:"5,keyasint,omitempty" json:"class,omitempty"`   // place in Rules.Classes, -1 for one that they don't name
	Attempt  int            `cbor:"6,keyasint,omitempty" json:"attempt,omitempty"` // from 0
	Server   uint32         `cbor:"7,keyasint,omitempty" json:"server,omitempty"`
	Code     control.Code   `cbor:"8,keyasint,omitempty" json:"-"`
	Span     control.Micros `cbor:"9,keyasint,omitempty" json:"span_us,omitempty"`
	Value    float64        `cbor:"10,keyasint,omitempty" json:"value,omitempty"`
	Level    int            `cbor:"11,keyasint,omitempty" json:"level,omitempty"`
	Name     string         `cbor:"12,keyasint,omitempty" json:"name,omitempty"`
	State    control.State  `cbor:"13,keyasint,omitempty" json:"-"`
	N        int64          `cbor:"14,keyasint,omitempty" json:"n,omitempty"`
	Since    control.Micros `cbor:"15,keyasint,omitempty" json:"since_us,omitempty"` // last start of a server, 0 if long ago
	Repeated bool           `cbor:"16,keyasint,omitempty" json:"again,omitempty"`    // the call was cut and comes again
	Values   []float64      `cbor:"17,keyasint,omitempty" json:"values,omitempty"`
	Rules    *Rules         `cbor:"18,keyasint,omitempty" json:"rules,omitempty"`

	Node  string `cbor:"-" json:"-"`     // gatekeeper, by the file that the event was read from
	Start uint64 `cbor:"-" json:"start"` // which of its starts, counted by its folder
}

// Rules are the figures that the rules turn on, recorded once at each start so that a report needs no other file.
type Rules struct {
	Classes       []Class        `cbor:"1,keyasint"`
	Reports       []string       `cbor:"2,keyasint"` // fields of load reports
	Fronts        int            `cbor:"3,keyasint"` // gatekeepers in all
	AnswerSlack   control.Micros `cbor:"4,keyasint"` // past a caller's deadline
	DrainGrace    control.Micros `cbor:"5,keyasint"`
	ReleaseGuard  control.Micros `cbor:"6,keyasint"`
	FallMultiple  float64        `cbor:"7,keyasint"`
	FallTime      control.Micros `cbor:"8,keyasint"`
	StartCapacity float64        `cbor:"9,keyasint"`
	WarmWithin    control.Micros `cbor:"10,keyasint"`
}

// Class is what a report needs of a class.
type Class struct {
	Name      string         `cbor:"1,keyasint"`
	Aim       control.Micros `cbor:"2,keyasint"`
	Worth     float64        `cbor:"3,keyasint"`
	LateWorth float64        `cbor:"4,keyasint"`
}

// Why tells the cause of a gap.
type Why string

// The causes of a gap.
const (
	Restart Why = "restart" // between two starts
	Lost    Why = "dropped" // the queue was full
	Damaged Why = "damaged" // files are missing or can't be read
)

// Gap is a time of which a gatekeeper's records tell nothing, or not all. Hides is unset where a planned end came before
// it: then nothing happened there that is not recorded.
type Gap struct {
	Node  string         `json:"gatekeeper"`
	From  control.Micros `json:"from"`
	To    control.Micros `json:"to"`
	Why   Why            `json:"why"`
	Hides bool           `json:"hides"`
	Count int64          `json:"records,omitempty"` // known to be lost
}
