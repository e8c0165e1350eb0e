// Package control decides, for one gatekeeper, where each call goes or that it is refused.
//
// This file is the whole interface: settings, events, actions and types. The decisions are in control.go.
package control

// Micros is a time or a span in whole microseconds. Clock times come from the caller alone.
type Micros int64

// Repeat says how far a class's set-ups may be sent again.
type Repeat int

// A ReadLike call may be sent again freely; a Keyed one within its key's scope; an Once one only while nothing ran.
const (
	Idempotent Repeat = iota
	IdempotentByKey
	NonIdempotent
)

// Field names one value of a load report.
type Field int

// The values that a report can hold. Ignored is one that the module does not use.
const (
	Ignored Field = iota
	Spare         // free agents of the pool
	Total         // agents of the pool
	WaitMs        // wait at the processor, milliseconds
	Queue         // messages waiting at the processor
	Busy          // used part of the processor, 0 to 1
)

// Class describes one class of call.
type Class struct {
	LatencyTarget, Deadline Micros
	Worth, LateWorth        float64
	Repeat                  Repeat
	Pools                   []int // cells that can take it; nil means all
}

// Tenant describes one customer account.
type Tenant struct {
	QuotaPerS float64
}

// Settings are the facts that a gatekeeper knows when it starts.
type Settings struct {
	Gatekeepers, Position             int // how many there are, and the index of this one among them, from 0, or -1 where it is not known
	OwnCell                           int // cell of the own exchange, which takes no calls; -1: none
	Classes                           []Class
	Tenants                           []Tenant
	OverShareWorth                    float64
	AttemptsCap                       int
	Cancel, RetryAfter, SubscribeList bool
	MaxRetryAfter                     Micros
	ReleaseGuard, ResendGap           Micros
	Report                            []Field
	FallMultiple, StartCapacity       float64
	FallTime, WarmWithin              Micros
}

// State is what the list says of a server.
type State int

// The states of a server.
const (
	Gone State = iota
	Ready
	Draining
)

// Outcomes is a set of ends of an attempt.
type Outcomes uint16

// OutcomesOf makes a set.
func OutcomesOf(codes ...Code) (set Outcomes) {
	for _, c := range codes {
		set |= 1 << c
	}
	return set
}

// Has tells whether an end is in the set.
func (o Outcomes) Has(c Code) bool { return o>>c&1 != 0 }

// Sets of ends that the rules turn on.
const (
	Guarded    = Outcomes(1<<TimedOut | 1<<Cut | 1<<Cancelled)                // the release guard counts from these
	MayHaveRun = Guarded | 1<<Failed                                          // a server may have worked on it
	Retryable  = MayHaveRun | 1<<Full | 1<<Unreachable | Outcomes(1<<NotSent) // after these a call can be tried again
)

// Limits bound the attempts of one call where the operators' file sets any. They stay the same while the call lives.
// Zero figures leave a bound to the settings and the caller. Package retry makes them and proves them against the rules.
type Limits struct {
	Attempts       int      // the first included, never over Settings.AttemptsCap
	AttemptTimeout Micros   // after which an attempt is given up; 0: at the call's end
	Wait, Jitter   Micros   // between an attempt and the next: at least Wait, and up to Jitter more, drawn evenly
	GiveUp         Micros   // of a call from its arrival, applied to Deadline by who takes it in
	RetryOn        Outcomes // ends after which a further attempt may go
	Budget         Budget   // nil: further attempts are not counted
}

// Budget bounds the further attempts of all calls of a gatekeeper together.
type Budget interface {
	First(now Micros, class int)     // a first attempt goes out
	Take(now Micros, class int) bool // a further one wants to; false: the call is to be refused
}

// Quota bounds calls by limits of the operators. It is asked once a call, when its first attempt has found a server: so it is
// never asked for what is refused anyway, and never after a server has worked on the call.
type Quota interface {
	Take(now Micros) (ok bool, wait Micros) // not ok: the call is to be refused, with the advice to stay away for wait
}

func (s State) String() string { return [...]string{"gone", "up", "draining"}[min(max(int(s), 0), 2)] }

// Entry is one server in a list.
type Entry struct {
	Server uint32
	Cell   int
	State  State
	Since  Micros // last start, 0 if long ago
}

// Event is one of the types below.
type Event interface{}

// Start is the first event of a controller's life.
type Start struct{}

// List brings a list of servers: all of them, or where Delta is set only those that changed. Failed has no entries.
type List struct {
	Delta, Failed bool
	Entries       []Entry
}

// Call is a new call that needs one final answer before Deadline.
type Call struct {
	ID                      string
	Class, Tenant           int
	Key                     string
	Deadline                Micros
	FirstChoice             int // cell
	Repeat, Transit, WasCut bool
	Excess                  bool    // more than its listener admits: to be refused at once
	Limits                  *Limits // nil: those of the settings
	Quota                   Quota   // nil: none
}

// CallEstablished says that a set-up succeeded: the call is established.
type CallEstablished struct {
	ID      string
	Attempt int
	Server  uint32
	Elapsed Micros
}

// Code tells how an attempt ended.
type Code int

// The ends of an attempt.
const (
	OK Code = iota
	Failed
	Full
	TimedOut
	Unreachable
	Cut
	Cancelled
	NotSent
)

func (c Code) String() string {
	if int(c) < 0 || int(c) >= len(codeNames) {
		return "unknown"
	}
	return codeNames[c]
}

var codeNames = [...]string{"ok", "failed", "full", "timed_out", "unreachable", "cut", "cancelled", "not_sent"}

// Reasons that go with a Code.
const (
	NoAgent       = 1
	ProcessorFull = 3
	LinesBusy     = 4
)

// AttemptEnded is the end of an attempt.
type AttemptEnded struct {
	ID         string
	Attempt    int
	Server     uint32
	Code       Code
	Elapsed    Micros
	Settled    bool
	Reason     int // without RetryAfter
	RetryAfter Micros
	Report     []float64
}

// Status is the answer to a probe, or a report sent unasked (Took is 0 then).
type Status struct {
	Server  uint32
	Code    Code
	Elapsed Micros
	Report  []float64
}

// InFlightLimit bounds the set-ups that this gatekeeper may have in flight at a server which the fleet has ejected: 0 none, under 0
// any number. It only keeps set-ups away: the module's own rules hold beside it.
type InFlightLimit struct {
	Server uint32
	Max    int
}

// BusyNumber says that the fleet holds all lines of a number to be busy, by an answer at a time.
type BusyNumber struct {
	Key string
	At  Micros
}

// Withdrawn says that nothing more is owed for a call.
type Withdrawn struct{ ID string }

// Timer is the return of a Defer.
type Timer struct{ Key string }

// Peer is a message from another gatekeeper.
type Peer struct {
	From int
	Data []byte
}

// ActionKind says what an Action does.
type ActionKind int

// The actions.
const (
	Send     ActionKind = iota // start a set-up of ID at Server, given up after Wait (0: at the call's end)
	Refuse                     // final answer, turned away; Wait is the advice to stay away (0: none)
	Fail                       // final answer, given up
	Cancel                     // stop waiting for Attempt of ID
	SetTimer                   // ask for Timer Key at time At
	Watch                      // subscribe to list changes
	Log                        // log line Text
)

// Action is one decision. Fields that its Kind does not use are zero.
type Action struct {
	Kind    ActionKind
	ID      string
	Server  uint32
	Attempt int
	Wait    Micros
	At      Micros
	Key     string
	Text    string
}
