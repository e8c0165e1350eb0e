package routing

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// AttemptRef identifies one attempt of a call, which was sent to one server.
type AttemptRef struct {
	id            string
	attemptNumber int
}

// Attempt is one attempt to set up a call at one server, as handed to the connection.
type Attempt struct {
	AttemptRef
	Class    int
	Key      string       // called number
	Body     []byte       // session description
	Deadline time.Time    // the attempt is not sent after it
	level    int          // the server's level in the module's view at the decision; 0 without a recorder
	givenUp  *atomic.Bool // set once the core has given up the attempt
	caller   Caller
}

// abandoned reports whether the attempt has been given up or its caller is gone, so it must not be sent.
func (a *Attempt) abandoned() bool {
	return a.givenUp != nil && a.givenUp.Load() || a.caller != nil && a.caller.Gone()
}

// NewAttemptRef returns the reference to the attempt of a call with the given id and attempt number.
func NewAttemptRef(id string, number int) AttemptRef { return AttemptRef{id, number} }

// NewAttempt returns the attempt of a call with the given id and attempt number.
func NewAttempt(id string, number int) Attempt { return Attempt{AttemptRef: AttemptRef{id, number}} }

// ID returns the id of the call.
func (r AttemptRef) ID() string { return r.id }

// Number returns the number of the attempt; the attempts of a call are counted from 0.
func (r AttemptRef) Number() int { return r.attemptNumber }

// ServerConn is an open connection to one server. Its methods must not block; events on it are reported to the
// ServerEvents that it was opened with.
type ServerConn interface {
	// Setup sends a set-up. stillWanted is called just before its first byte is written; if it returns false, nothing is written
	// and the set-up is reported as NotSent. Over UDP stillWanted is called before each retransmission too; if it returns false
	// then, the set-up fails, but not as NotSent, because the server may have received it.
	Setup(a Attempt, stillWanted func() bool)
	// Cancel gives up a set-up: no further copy is sent. If an answer arrives later, the connection either reports it or
	// releases the call itself.
	Cancel(id string)
	// Release ends the call that an attempt has established at the server, with a Q.850 cause. It must not end that of another attempt,
	// as far as the protocol can tell them apart.
	Release(r AttemptRef, cause int)
	Close()
}

// ServerEvents receives the events on a connection to a server. It is safe for concurrent use.
type ServerEvents interface {
	Answered(a Attempt, body []byte)                 // the call is established
	Failed(a Attempt, o Outcome)                     // the attempt ended without an established call
	Released(id string, cause int, report []float64) // the server ended an established call
	Report(report []float64)                         // the server sent a load report without a request
	ReleaseLost(r AttemptRef, cause int)             // the server has not confirmed the release of an attempt, and may not have read it
	Silent()                                         // the server's messages stay away; the connection is still open
	Down(err error)                                  // the connection is closed
	Sync()                                           // blocks until the events that were reported before are handled
}

// ErrSilent is the error of an open connection on which the server's messages stay away.
var ErrSilent = errors.New("connection is silent")

// Dialer opens connections to servers.
type Dialer interface {
	Dial(ctx context.Context, addr string, events ServerEvents) (ServerConn, error)
	// MaxConns returns the largest useful number of concurrent connections to one server.
	MaxConns(addr string) int
	// Announces reports whether a server sends a message on each new connection before anything else. Only that message then
	// proves that the server is alive; otherwise the connection itself does.
	Announces(addr string) bool
	// Endpoint returns the transport and address to which an address leads, in a form that is equal for equal endpoints. One process at
	// a time listens there.
	Endpoint(addr string) string
}
