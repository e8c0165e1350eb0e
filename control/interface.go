package control

// Micros is a time or a duration in whole microseconds. All times of a controller are on one clock, that of
// the times passed to Handle.
type Micros int64

// Repeat is the condition under which a set-up of a class may be sent again after a server may have worked
// on it.
type Repeat int

// The values of Repeat. An Idempotent call may be sent again, a NonIdempotent one may not. An IdempotentByKey
// call may be sent again within the scope of its key; this package treats it as NonIdempotent.
const (
	Idempotent Repeat = iota
	IdempotentByKey
	NonIdempotent
)

// Field identifies one value of a load report.
type Field int

// The values of a load report. Ignored stands for any value that this package does not use.
const (
	Ignored Field = iota
	Spare         // free agents of the pool
	Total         // agents of the pool
	WaitMs        // wait of a message at the processor, milliseconds
	Queue         // messages waiting at the processor
	Busy          // processor utilization, 0 to 1
)

// Class describes a class of calls.
type Class struct {
	// LatencyTarget is the set-up time up to which a call has its full worth. Deadline is how long a caller
	// keeps trying, from its first try.
	LatencyTarget, Deadline Micros
	// Worth is the worth of a call. LateWorth is a factor on it, applied to a call that can no longer meet
	// its latency target and to a repeated call of the same caller.
	Worth, LateWorth float64
	Repeat           Repeat
	Pools            []int // cells whose servers can take calls of the class; nil: all cells
}

// Tenant describes a customer account.
type Tenant struct {
	QuotaPerS float64 // calls per second; the tenant's share of all calls is this part of the sum
}

// Settings holds the configuration of a gatekeeper, fixed at its start.
type Settings struct {
	Gatekeepers, Position int // number of gatekeepers; index of this one, from 0, or -1 if not known
	OwnCell               int // cell of this gatekeeper's exchange, which takes no calls; -1 if none
	Classes               []Class
	Tenants               []Tenant
	OverShareWorth        float64 // factor on the worth of calls beyond a tenant's share
	AttemptsCap           int     // maximum number of attempts per call
	// Cancel allows Cancel actions, RetryAfter a Retry-After time in refusals, SubscribeList Watch actions.
	Cancel, RetryAfter, SubscribeList bool
	MaxRetryAfter                     Micros
	// ReleaseGuard is the minimum time from an outcome in Guarded to the next attempt. ResendGap is the time
	// after which an unanswered set-up is retransmitted, 0 if not known.
	ReleaseGuard, ResendGap Micros
	Report                  []Field // order of the values in a load report
	// A cold server may get FallMultiple times its current capacity within each window of FallTime. Its
	// capacity grows from the part StartCapacity of the warm capacity at its start to all of it after
	// WarmWithin.
	FallMultiple, StartCapacity float64
	FallTime, WarmWithin        Micros
}

// State is the state of a server on the list.
type State int

// The states of a server.
const (
	Gone     State = iota // no longer on the list
	Ready                 // may get set-ups
	Draining              // gets no new set-ups
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

// Sets of outcomes with a common meaning.
const (
	// Guarded holds the outcomes after which the next attempt waits for Settings.ReleaseGuard.
	Guarded = Outcomes(1<<TimedOut | 1<<Cut | 1<<Cancelled)
	// MayHaveRun holds the outcomes after which a server may have worked on the call.
	MayHaveRun = Guarded | 1<<Failed
	// Retryable holds the outcomes after which a further attempt is possible.
	Retryable = MayHaveRun | 1<<Full | 1<<Unreachable | Outcomes(1<<NotSent)
)

// Limits are the operators' bounds on the attempts of one call. They do not change during the call. Package
// retry creates them and verifies that they follow the rules of the settings.
type Limits struct {
	Attempts       int      // number including the first, at most Settings.AttemptsCap; 0 counts as 1
	AttemptTimeout Micros   // timeout of each attempt; 0: the end of the call
	Wait, Jitter   Micros   // delay before the next attempt: Wait plus a uniform random part of Jitter
	GiveUp         Micros   // time limit of a call from its arrival; already included in Call.Deadline
	RetryOn        Outcomes // outcomes after which a further attempt is allowed
	Budget         Budget   // nil: retries are not limited
}

// Budget bounds the retries of all calls of a gatekeeper together.
type Budget interface {
	First(now Micros, class int)     // counts the first attempt of a call
	Take(now Micros, class int) bool // takes one retry if the budget has one left; false: no retry is allowed
}

// Quota is the operators' limit on the rate of calls. Take is called once per call, when a server has been
// selected for its first attempt. It is not called for a call that is refused for another reason.
type Quota interface {
	Take(now Micros) (ok bool, wait Micros) // not ok: the call is refused, wait is its Retry-After time
}

// String returns the name of the state: "gone", "up" for Ready, or "draining".
func (s State) String() string { return [...]string{"gone", "up", "draining"}[min(max(int(s), 0), 2)] }

// Entry is one server in a list.
type Entry struct {
	Server uint32
	Cell   int
	State  State
	Since  Micros // time of the server's last start; 0: long ago, the server is warm
}

// Event is an input of Controller.Handle: Start, List, Call, CallEstablished, AttemptEnded, Status,
// InFlightLimit, BusyNumber, Withdrawn, Timer or Recall. Handle ignores events of other types.
type Event interface{}

// Start is the first event of a controller.
type Start struct{}

// List is the result of a request for the list of servers. It holds all servers, or only the changed ones
// if Delta is set. Failed reports that the request failed; there are no entries then.
type List struct {
	Delta, Failed bool
	Entries       []Entry
}

// Call is a new call, which needs exactly one final answer before Deadline.
type Call struct {
	ID            string
	Class, Tenant int    // indexes in the settings
	Key           string // called number, "" if not known
	Deadline      Micros
	FirstChoice   int // preferred cell
	// Repeat is set if the caller has tried this call before, and WasCut if it replaces an established call
	// that was cut. A Transit call may be sent to servers of cell FirstChoice only.
	Repeat, Transit, WasCut bool
	Excess                  bool    // exceeds the limit of the listener that accepted it: refused immediately
	Limits                  *Limits // nil: the limits of the settings
	Quota                   Quota   // nil: none
}

// CallEstablished reports that a set-up succeeded: the call is established.
type CallEstablished struct {
	ID      string
	Attempt int // counted from 0
	Server  uint32
	Elapsed Micros // from sending the set-up to receiving its answer
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
	Cancelled        // the gatekeeper cancelled the attempt
	NotSent          // the set-up was not sent
)

// String returns the name of the code, or "unknown".
func (c Code) String() string {
	if int(c) < 0 || int(c) >= len(codeNames) {
		return "unknown"
	}
	return codeNames[c]
}

// codeNames are the names of the codes in settings and messages.
var codeNames = [...]string{"ok", "failed", "full", "timed_out", "unreachable", "cut",
	"cancelled", "not_sent"}

// Values of AttemptEnded.Reason, which qualify a Code.
const (
	NoAgent       = 1 // Full: no free agent in the pool
	ProcessorFull = 3 // Full: the processor is overloaded
	LinesBusy     = 4 // Failed: all lines of the number are busy
)

// AttemptEnded reports the end of an attempt without success, or the end of a call that is Settled, such as
// an established one.
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

// Status is the answer to a probe, or an unsolicited load report, for which Elapsed is 0.
type Status struct {
	Server  uint32
	Code    Code
	Elapsed Micros
	Report  []float64
}

// InFlightLimit limits the set-ups that this gatekeeper may have in flight to a server that the gatekeepers
// have jointly ejected. Max is the limit: 0 allows none, a negative value removes the limit. The limits
// that this package computes itself still apply.
type InFlightLimit struct {
	Server uint32
	Max    int
}

// BusyNumber reports that, according to the fleet, all lines of the number Key were busy at time At.
type BusyNumber struct {
	Key string
	At  Micros
}

// Withdrawn reports that a call no longer needs a final answer, because its caller has cancelled it or the
// program around this package has answered it.
type Withdrawn struct{ ID string }

// Timer reports that the timer requested by a SetTimer action has fired.
type Timer struct{ Key string }

// Peer is a message from another gatekeeper. Handle ignores it.
type Peer struct {
	From int
	Data []byte
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	Send     ActionKind = iota // send a set-up of ID to Server with timeout Wait (0: end of the call)
	Refuse                     // final answer: refused; Wait is the Retry-After time (0: none)
	Fail                       // final answer: failed
	Cancel                     // cancel Attempt of ID
	SetTimer                   // request the event Timer with Key at time At
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
