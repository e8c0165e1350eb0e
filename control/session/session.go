// Package session decides how one gatekeeper keeps a session with a control machine: which machine to use, when to
// connect, when to give a session up, when to move to a better machine, and which events to accept. It is a pure state
// machine: the caller passes in the time and the events, and executes the returned actions.
package session

import (
	"beammux/control"
	"beammux/control/scope"
)

// Replica is a control machine.
type Replica struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
}

// Timing holds the durations that control a session. A zero field means its default.
type Timing struct {
	MaxStartDelay    control.Micros // longest delay before the first attempt; spreads gatekeepers that start at the same time
	ConnectTimeout   control.Micros // longest time from the start of an attempt to its first event
	HeartbeatTimeout control.Micros // a session without an event for this long, or for MaxMissedHeartbeats intervals if that is longer, is given up
	BackoffBase      control.Micros // longest delay before an attempt in the first round
	BackoffCap       control.Micros // longest delay before an attempt in any round
	StableAfter      control.Micros // a session that has lasted this long resets the backoff
	ReturnInterval   control.Micros // longest time between two attempts to move to a preferred replica
	LeaderlessAfter  control.Micros // a replica without a leader for longer than this is left if another one has a leader
	LeaderlessHold   control.Micros // time before a replica found without a leader is tried again while the current one has no leader either
	BehindHold       control.Micros // shortest time before a lagging replica is tried again (longest: twice this); also the lower bound of End.RetryAfter
	MaxRetryAfter    control.Micros // longest End.RetryAfter that is waited for; with a longer one another replica is tried
	FaultHold        control.Micros // time before a replica that violated the protocol is tried again
}

// The defaults of Timing.
const (
	DefaultMaxStartDelay    control.Micros = 250e3
	DefaultConnectTimeout   control.Micros = 3e6
	DefaultHeartbeatTimeout control.Micros = 5e6
	DefaultBackoffBase      control.Micros = 1e6
	DefaultBackoffCap       control.Micros = 8e6
	DefaultStableAfter      control.Micros = 10e6
	DefaultReturnInterval   control.Micros = 60e6
	DefaultLeaderlessAfter  control.Micros = 5e6
	DefaultLeaderlessHold   control.Micros = 30e6
	DefaultBehindHold       control.Micros = 500e3
	DefaultMaxRetryAfter    control.Micros = 5e6
	DefaultFaultHold        control.Micros = 30e6
)

// MaxMissedHeartbeats is the number of heartbeat intervals announced by the replica after which a session without an event
// is given up.
const MaxMissedHeartbeats = 3

// FirstRoundAttempts is the number of consecutive attempts in the first round at a replica that defers the session for a
// short time, before the next replica is tried. LaterRoundAttempts is that number in later rounds: one attempt, and a
// second one at the announced time.
const (
	FirstRoundAttempts = 3
	LaterRoundAttempts = 2
)

// WithDefaults returns the timing with zero fields replaced by their defaults.
func (t Timing) WithDefaults() Timing {
	for _, f := range []struct {
		field *control.Micros
		value control.Micros
	}{
		{&t.MaxStartDelay, DefaultMaxStartDelay},
		{&t.ConnectTimeout, DefaultConnectTimeout},
		{&t.HeartbeatTimeout, DefaultHeartbeatTimeout},
		{&t.BackoffBase, DefaultBackoffBase},
		{&t.BackoffCap, DefaultBackoffCap},
		{&t.StableAfter, DefaultStableAfter},
		{&t.ReturnInterval, DefaultReturnInterval},
		{&t.LeaderlessAfter, DefaultLeaderlessAfter},
		{&t.LeaderlessHold, DefaultLeaderlessHold},
		{&t.BehindHold, DefaultBehindHold},
		{&t.MaxRetryAfter, DefaultMaxRetryAfter},
		{&t.FaultHold, DefaultFaultHold},
	} {
		if *f.field <= 0 {
			*f.field = f.value
		}
	}
	return t
}

// Options configures a Machine.
type Options struct {
	Self            scope.Target
	Replicas        []Replica // in any order
	Timing          Timing
	Random          func() float64 // returns uniformly distributed numbers in [0, 1)
	HeldRevision    uint64         // revision of the stored records of the gatekeeper's prefixes; 0: it has none
	HighestRevision uint64         // highest revision received before; records with a lower HeldRevision are not used
}

// EventKind is the kind of an event of a session.
type EventKind int

// The kinds of events; they correspond to those of the store.
const (
	Snapshot  EventKind = iota // all records under the prefixes at a revision
	Change                     // the records of one transaction
	Heartbeat                  // no records: there are no further changes up to the revision
)

// Event describes an event received from a replica, without its records.
type Event struct {
	Kind              EventKind
	Revision          uint64
	LeaderlessFor     control.Micros // of a Heartbeat: time since the replica last heard from a leader
	HeartbeatInterval control.Micros // of a Heartbeat: interval at which the replica sends heartbeats; 0: not announced
}

// Reason is the reason why a session has ended.
type Reason int

// The reasons for the end of a session.
const (
	Lost          Reason = iota // the connection failed or could not be established
	TooSlow                     // the replica closed it because the gatekeeper did not read fast enough
	RetryLater                  // the replica admits no more sessions for some time
	Behind                      // the replica has not reached the requested revision
	ProtocolError               // the peer is not a control machine or violated the protocol
	Full                        // the replica has reached its session limit: other replicas are tried

	timedOut // no event arrived in time
)

// End describes the end of a session.
type End struct {
	Reason     Reason
	RetryAfter control.Micros // of RetryLater: when the replica may be tried again
}

// ActionType is the type of an Action.
type ActionType int

// The types of actions.
const (
	Connect ActionType = iota // open session Session with Replica from StartRevision (0: it begins with a snapshot)
	Close                     // close session Session; its further events are not passed to the machine
	Accept                    // apply all records, if any, of the event being handled
)

// Action is an action that the caller must execute. Fields that its type does not use are zero.
type Action struct {
	Type          ActionType
	Session       uint64 // starts at 1 and is never reused
	Replica       Replica
	StartRevision uint64
}
