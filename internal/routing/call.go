package routing

import (
	"strings"
	"sync/atomic"
	"time"

	"beammux/control"
)

// Causes (Q.850) of a release.
const (
	CauseNormal  = 16 // the call came to its end, or its set-up was given up
	CauseCongest = 34 // refused: trying again is harmless
	CauseFailed  = 41 // failed or cut
)

// Setup is a call as a front took it in.
type Setup struct {
	ID          string
	Class       int    // place in the settings, -1 for one that they don't name
	Tenant      int    // place in the settings, -1 where its front knows none
	Key         string // number called
	FirstChoice int    // cell
	WasCut      bool
	TimeLeft    time.Duration // how long the caller still waits
	Body        []byte        // description, passed on unchanged
	Excess      bool          // more than its front takes at a time: it is refused at once, and goes to no server
}

// ValidKey tells whether a called number is valid in a request line. Servers close on what they can't read, and take
// along what else is open on that connection.
func ValidKey(key string) bool {
	for i := range len(key) {
		c := key[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && strings.IndexByte("-_.!~*'()&=+$,;?/%", c) < 0 {
			return false
		}
	}
	return len(key) <= maxKey
}

// MaxBody is the longest description: with its headers it must fit into a message of 16 KiB.
const MaxBody = 15 << 10

const maxKey = 128

// Caller is the front's end of one call. Its methods are called by the core's actor and must not block. Answer,
// Refuse and Fail are the final answer: one of them is called once, unless the call is withdrawn first.
type Caller interface {
	// Gone tells whether the caller has closed its connection or cancelled. The front says so at once and withdraws the call
	// as well: the withdrawal is what ends the call, in its turn; Gone keeps an attempt that is ahead of it in a mailbox or
	// a write queue from beginning. Any goroutine may ask.
	Gone() bool
	Answer(body []byte) bool // the call is established; false if the caller can no longer be reached
	Refuse(wait time.Duration)
	Fail()
	Release(cause int) // an established call is over
}

// Orphans takes releases of calls that the core does not know: they stood before this process started.
type Orphans interface{ Orphan(id string, cause int) }

type attempt struct {
	number  int
	server  uint32
	peer    *Peer
	sentAt  control.Micros
	expiry  *time.Timer
	givenUp *atomic.Bool // given up: what of it was not written yet never is
}

type call struct {
	Setup
	caller        Caller
	arrived       control.Micros
	deadline      control.Micros
	attempts      int
	current       *attempt // attempt in flight, or the one that established the call
	established   bool
	establishedAt control.Micros
	deadlineTimer *time.Timer
	graceEnds     control.Micros // of the module, past the deadline
	graces        int            // granted anew
	quota         Quota
	admission     *admission // nil: nothing bounds it
	lateAnswer    bool       // an abandoned attempt was answered late by the server where another is in flight
}

const (
	decisionGrace     = 15 * time.Millisecond // past a caller's deadline; then the core itself answers
	graceStall        = 5 * time.Millisecond  // a timer that is later by so much says that the process stood still
	maxGraces         = 20                    // granted anew to one call
	endedCallLifetime = 2 * time.Minute       // ids of calls that are over: a repeated release is passed on once
	maxEndedCalls     = 1 << 16               // so many at most, the newest, whatever the callers do
)
