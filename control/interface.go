package control

// Micros is a time or a duration in whole microseconds. Times are passed in by the caller of Handle.
type Micros int64

// Repeat is the condition under which set-ups of a class may be sent again.
type Repeat int

// The values of Repeat: an Idempotent call may be sent again freely, an IdempotentByKey one within the scope of its key, a
// NonIdempotent one only if no server has worked on it.
const (
	Idempotent Repeat = iota
	IdempotentByKey
	NonIdempotent
)

// Field identifies one value of a load report.
type Field int

// The values of a load report. An Ignored value is not used by this package.
const (
	Ignored Field = iota
	Spare         // free agents of the pool
	Total         // agents of the pool
	WaitMs        // wait at the processor, milliseconds
	Queue         // messages waiting at the processor
	Busy          // processor utilization, 0 to 1
)

// Class describes a class of calls.
type Class struct {
	LatencyTarget, Deadline Micros
	Worth, LateWorth        float64 // worth of a call; factor on it past the latency target or on a repeat
	Repeat                  Repeat
	Pools                   []int // cells that can take the class; nil means all
}

// Tenant describes a customer account.
type Tenant struct {
	QuotaPerS float64 // calls per second; a tenant's share is its part of the sum over all tenants
}

// Settings holds the configuration of a gatekeeper, fixed at its start.
type Settings struct {
	Gatekeepers, Position             int // number of gatekeepers; index of this one from 0, -1 if not known
	OwnCell                           int // cell of the own exchange, which takes no calls; -1 if none
	Classes                           []Class
	Tenants                           []Tenant
	OverShareWorth                    float64 // factor on the worth of calls beyond a tenant's share
	AttemptsCap                       int     // attempts per call at most
	Cancel, RetryAfter, SubscribeList bool    // may cancel attempts; send Retry-After; follow changes of the list
	MaxRetryAfter                     Micros
	ReleaseGuard, ResendGap           Micros  // wait after an outcome in Guarded; resend interval, 0 if not known
	Report                            []Field // order of the values in a load report
	FallMultiple, StartCapacity       float64 // cold budget in parts of capacity; initial part of warm capacity
	FallTime, WarmWithin              Micros  // window of the cold budget; time from start until warm
}

// State is the state of a server on the list.
type State int

// The states of a server.
const (
	Gone State = iota
	Ready
	Draining
)

// Outcomes is a set of Codes.
type Outcomes uint16

// OutcomesOf returns the set of the given codes.
func OutcomesOf(codes ...Code) (set Outcomes) {
	for _, c := range codes {
		set |= 1 << c
	}
	return set
}

// Has reports whether the set contains a code.
func (o Outcomes) Has(c Code) bool { return o>>c&1 != 0 }

// Sets of codes that the rules refer to.
const (
	Guarded    = Outcomes(1<<TimedOut | 1<<Cut | 1<<Cancelled)                // the release guard starts at these
	MayHaveRun = Guarded | 1<<Failed                                          // a server may have worked on the call
	Retryable  = MayHaveRun | 1<<Full | 1<<Unreachable | Outcomes(1<<NotSent) // a further attempt is possible after these
)

// Limits bound the attempts of one call as configured by the operators, and do not change during the call. A zero value
// leaves the bound to the settings and the caller. Package retry creates them and proves them against the rules.
type Limits struct {
	Attempts       int      // number including the first, at most Settings.AttemptsCap
	AttemptTimeout Micros   // time after which an attempt is abandoned; 0: at the end of the call
	Wait, Jitter   Micros   // before the next attempt: Wait plus a uniform random part of Jitter
	GiveUp         Micros   // time limit of a call from its arrival; the receiver of the call applies it to Deadline
	RetryOn        Outcomes // outcomes after which a further attempt is allowed
	Budget         Budget   // nil: retries are not limited
}

// Budget bounds the retries of all calls of a gatekeeper together.
type Budget interface {
	First(now Micros, class int)     // counts a first attempt
	Take(now Micros, class int) bool // takes one retry; false: the call must be refused
}

// Quota bounds the rate of calls by the operators' limits. Take is called once per call, when a server has been selected for
// its first attempt: never for a call that is refused anyway, nor after a server has worked on the call.
type Quota interface {
	Take(now Micros) (ok bool, wait Micros) // not ok: the call must be refused with Retry-After wait
}

// String returns the name of the state.
func (s State) String() string { return [...]string{"gone", "up", "draining"}[min(max(int(s), 0), 2)] }

// Entry is one server in a list.
type Entry struct {
	Server uint32
	Cell   int
	State  State
	Since  Micros // last start, 0 if long ago
}

// Event is one of the event types of this package, such as Start, List and Call.
type Event interface{}

// Start is the first event of a controller.
type Start struct{}

// List is a list of servers: all of them, or the changed ones if Delta is set. It has no entries if Failed is set.
type List struct {
	Delta, Failed bool
	Entries       []Entry
}

// Call is a new call, which needs exactly one final answer before Deadline.
type Call struct {
	ID                      string
	Class, Tenant           int    // indexes in the settings
	Key                     string // called number, "" if not known
	Deadline                Micros
	FirstChoice             int     // preferred cell
	Repeat, Transit, WasCut bool    // not the caller's first try; only to FirstChoice; set up again after a cut
	Excess                  bool    // over the limit of its listener: refused immediately
	Limits                  *Limits // nil: the limits of the settings
	Quota                   Quota   // nil: none
}

// CallEstablished reports that a set-up succeeded: the call is established.
type CallEstablished struct {
	ID      string
	Attempt int // counted from 0
	Server  uint32
	Elapsed Micros // from the set-up to its answer
}

// Code is the outcome of an attempt.
type Code int

// The outcomes of an attempt.
const (
	OK          Code = iota
	Failed           // the server answered with a failure
	Full             // the server refused the set-up, see Reason
	TimedOut         // no answer in time
	Unreachable      // no connection to the server
	Cut              // the connection was lost while the attempt was in flight
	Cancelled        // the gatekeeper cancelled it
	NotSent          // it did not leave the gatekeeper
)

// String returns the name of the code, or "unknown".
func (c Code) String() string {
	if int(c) < 0 || int(c) >= len(codeNames) {
		return "unknown"
	}
	return codeNames[c]
}

// codeNames are the names of the codes in settings and messages.
var codeNames = [...]string{"ok", "failed", "full", "timed_out", "unreachable", "cut", "cancelled", "not_sent"}

// Values of AttemptEnded.Reason, which qualify a Code.
const (
	NoAgent       = 1 // Full: no free agent in the pool
	ProcessorFull = 3 // Full: the processor is overloaded
	LinesBusy     = 4 // Failed: all lines of the number are busy
)

// AttemptEnded reports the end of an attempt, or with Settled the end of an established call.
type AttemptEnded struct {
	ID         string
	Attempt    int // counted from 0
	Server     uint32
	Code       Code
	Elapsed    Micros // from the start of the attempt
	Settled    bool   // the call needs no further attempt or answer
	Reason     int    // qualifies Code, 0 if none
	RetryAfter Micros
	Report     []float64 // load report in the order of Settings.Report, -1 for a missing value
}

// Status is the answer to a probe, or an unsolicited report (Elapsed is 0 then).
type Status struct {
	Server  uint32
	Code    Code
	Elapsed Micros
	Report  []float64
}

// InFlightLimit limits the set-ups that this gatekeeper may have in flight to a server that the fleet has ejected: 0 means
// none, a negative value no limit. It applies in addition to the limits of this package.
type InFlightLimit struct {
	Server uint32
	Max    int
}

// BusyNumber reports that, according to the fleet, all lines of a number were busy at a time.
type BusyNumber struct {
	Key string
	At  Micros
}

// Withdrawn reports that a call no longer needs a final answer.
type Withdrawn struct{ ID string }

// Timer reports that the timer requested by a SetTimer action has fired.
type Timer struct{ Key string }

// Peer is a message from another gatekeeper.
type Peer struct {
	From int
	Data []byte
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	Send     ActionKind = iota // start a set-up of ID at Server, abandoned after Wait (0: at the end of the call)
	Refuse                     // final answer: refused; Wait is the Retry-After time (0: none)
	Fail                       // final answer: failed
	Cancel                     // cancel Attempt of ID
	SetTimer                   // request Timer Key at time At
	Watch                      // subscribe to changes of the list
	Log                        // write log line Text
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
