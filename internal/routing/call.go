package routing

import (
	"strings"
	"sync/atomic"
	"time"

	"beammux/control"
)

// Causes (Q.850) of a release.
const (
	CauseNormal  = 16 // the call ended normally, or its set-up was given up
	CauseCongest = 34 // the call was refused; it is safe to retry it
	CauseFailed  = 41 // the call failed or was cut
)

// Setup is a call as received by a front.
type Setup struct {
	ID          string
	Class       int    // index in the settings; -1 for a class that they do not name
	Tenant      int    // index in the settings; -1 if the front knows no tenant
	Key         string // called number
	FirstChoice int    // preferred cell
	WasCut      bool
	TimeLeft    time.Duration // how long the caller still waits
	Body        []byte        // session description, passed on unchanged
	Excess      bool          // exceeds the set-ups that the front accepts at a time: refused at once, sent to no server
}

// ValidKey reports whether a called number is valid in a request line. A server closes the connection on a message that it
// can't parse, which cuts the other set-ups on that connection.
func ValidKey(key string) bool {
	for i := range len(key) {
		c := key[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && strings.IndexByte("-_.!~*'()&=+$,;?/%", c) < 0 {
			return false
		}
	}
	return len(key) <= maxKey
}

// MaxBody is the largest session description, in bytes: with its headers it must fit into a message of 16 KiB.
const MaxBody = 15 << 10

const maxKey = 128 // bytes of a called number

// Caller is the front's side of one call. Its methods are called by the core's actor and must not block. Answer,
// Refuse and Fail are the final answer: exactly one of them is called, once, unless the call is withdrawn first.
type Caller interface {
	// Gone reports whether the caller has closed its connection or cancelled. It returns true as soon as the front knows, and
	// the front withdraws the call as well. The withdrawal ends the call when the core processes it; until then Gone prevents
	// the start of an attempt that is ahead of the withdrawal in a mailbox or a write queue. It is safe for concurrent use.
	Gone() bool
	// Answer reports that the call is established. It returns false if the caller can no longer be reached.
	Answer(body []byte) bool
	// Refuse rejects the call; the caller should not retry before wait has passed.
	Refuse(wait time.Duration)
	Fail()
	// Release ends an established call with a Q.850 cause.
	Release(cause int)
}

// Orphans receives releases of calls that the core does not know: they were established before this process started.
type Orphans interface{ Orphan(id string, cause int) }

// attempt is one attempt of a call at one server.
type attempt struct {
	number  int
	server  uint32
	peer    *Peer
	sentAt  control.Micros
	expiry  *time.Timer
	givenUp *atomic.Bool // set once the attempt is given up: nothing of it is written after that
	// answeredOn is the connection that carried the answer. It is set once the call is established.
	answeredOn *peerConn
	// overtaken is the server's release of the call, if that has arrived before the answer: they may come on different connections.
	overtaken *serverRelease
}

// serverRelease is the release of an established call by its server.
type serverRelease struct {
	cause  int
	report []float64
}

// callState is a call in the core's table.
type callState struct {
	Setup
	caller        Caller
	arrived       control.Micros
	deadline      control.Micros
	attempts      int
	current       *attempt // attempt in flight, or the one that established the call
	established   bool
	establishedAt control.Micros
	deadlineTimer *time.Timer
	graceEnds     control.Micros // end of the module's grace period, which follows the deadline
	graceRenewals int            // how often the grace period was renewed
	quota         Quota
	admission     *admission  // nil if no quota applies
	lateAnswer    *AttemptRef // an abandoned attempt that was answered late by the server where another is in flight; nil if there is none
}

// refOf returns the reference to an attempt of the call.
func (call *callState) refOf(a *attempt) AttemptRef { return AttemptRef{call.ID, a.number} }

const (
	// decisionGrace is how long after a caller's deadline the module may still decide; then the core itself answers.
	decisionGrace = 15 * time.Millisecond
	// stallThreshold is the delay of a timer that indicates a stall of the process.
	stallThreshold = 5 * time.Millisecond
	// maxGraceRenewals is how often the grace period of one call is renewed.
	maxGraceRenewals = 20
	// endedCallLifetime is how long the id of an ended call is remembered, so that a repeated release is passed on once.
	endedCallLifetime = 2 * time.Minute
	// maxEndedCalls bounds the remembered ids, independent of the load from callers. The newest are kept.
	maxEndedCalls = 1 << 16
)
