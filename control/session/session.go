// Package session decides how one gatekeeper keeps a session with a control machine: which machine, when to connect, when
// to give a session up, when to move to a better machine, and which events to accept. It is a state machine: the caller
// hands in the time and what happened, and carries out the actions that come back. Pure.
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

// Timing holds the times of a session. A zero field means its default.
type Timing struct {
	MaxStartDelay    control.Micros // longest wait before the first attempt, for many gatekeepers that start at once
	ConnectTimeout   control.Micros // from an attempt's start to its first event
	HeartbeatTimeout control.Micros // without an event a session is given up; or after HeartbeatsMissed of them, if that is longer
	BackoffBase      control.Micros // longest wait before an attempt in the first round
	BackoffCap       control.Micros // longest wait before an attempt in any round
	StableAfter      control.Micros // a session that has lasted so long resets the backoff
	ReturnInterval   control.Micros // longest time between two attempts to move to a preferred replica
	LeaderlessAfter  control.Micros // a replica without a leader for longer is left if another is better
	LeaderlessHold   control.Micros // how long a replica found without a leader isn't tried in place of another such one
	BehindHold       control.Micros // how long a replica that lags isn't tried, at least; at most twice as long. Also the shortest "come back in"
	MaxRetryAfter    control.Micros // longest "come back in" that is waited for; with a longer one another replica is tried meanwhile
	FaultHold        control.Micros // how long a replica that broke the protocol isn't tried
}

// The default times.
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

// MaxMissedHeartbeats is how many heartbeats, at the interval that the replica states, a session goes on without.
const MaxMissedHeartbeats = 3

// SameTries is how often in a row a replica that says "come back in" a short time is asked in the first round before the next
// one is tried, and LaterTries in later rounds: once, and at the time that it said.
const (
	FirstRoundAttempts = 3
	LaterRoundAttempts = 2
)

// WithDefaults gives the timing with defaults in place of its zero fields.
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

// Options say whose session it is.
type Options struct {
	Self            scope.Target
	Replicas        []Replica // in any order
	Timing          Timing
	Random          func() float64 // evenly in [0, 1)
	HeldRevision    uint64         // up to which revision the gatekeeper holds the records of its prefixes from before; 0: it holds none
	HighestRevision uint64         // highest revision that it has seen before; records of a Held below it are of no use
}

// EventKind is the kind of an event of a session.
type EventKind int

// The kinds of events, as the store's.
const (
	Snapshot  EventKind = iota // all records under the prefixes at a revision
	Change                     // the records of one transaction
	Heartbeat                  // no records: nothing more has changed up to a revision
)

// Event is what a replica sent, without its records.
type Event struct {
	Kind              EventKind
	Revision          uint64
	LeaderlessFor     control.Micros // of a Heartbeat: how long the replica has been without word from a leader
	HeartbeatInterval control.Micros // of a Heartbeat: the interval at which the replica sends them; 0: not said
}

// Reason tells why a session has ended.
type Reason int

// The reasons of an end.
const (
	Lost          Reason = iota // the connection broke, or was not made
	TooSlow                     // the replica cut it off, since the gatekeeper did not read in time
	RetryLater                  // the replica admits no more sessions for a time
	Behind                      // the replica holds less than the revision asked for
	ProtocolError               // the replica is no control machine, or broke the protocol
	Full                        // the replica holds as many sessions as it may: the others are tried

	noAnswer // no event in time
)

// End is the end of a session.
type End struct {
	Reason     Reason
	RetryAfter control.Micros // of ComeBack
}

// ActionType names what an Action does.
type ActionType int

// The actions.
const (
	Connect ActionType = iota // start session Session with Replica, from revision After (0: a snapshot comes first)
	Close                     // end session Session; nothing that it brings is handed in any more
	Accept                    // the event that was handed in: its records, if any, are to be taken over, whole
)

// Action is one thing to carry out. Fields that its Do does not use are zero.
type Action struct {
	Type          ActionType
	Session       uint64 // from 1, never used twice
	Replica       Replica
	StartRevision uint64
}
