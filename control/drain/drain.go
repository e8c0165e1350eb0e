// Package drain decides what a gatekeeper does while operators send its clients away (evacuate) and take them back
// (rejoin): whether it reports ready, and which connections of its callers it closes. It does no I/O and reads no clock;
// the node calls it with the time and executes its decisions.
//
// After the first "not ready" the front still routes new connections here for a short while, and uses kept connections
// for as long as they are open. By CloseBy no client may be connected any more. That must not depend on what clients do, so
// an evacuation has stages with fixed ends:
//
//   - Until ReleaseDelay every request is served by the same rules as before, and a connection is closed once it has been quiet
//     for QuietPeriod, with no answer pending and no call standing on it.
//   - Then set-ups that arrive are refused, and a connection is closed, with its calls released, once no answer is pending.
//     Until AnswerDelay one on which a message is being received stays open.
//   - From AnswerDelay on the pending set-ups are ended.
//   - From CutDelay on a connection that is still open is closed at once.
//
// Rejected alternatives: refusing set-ups once evacuated, which turns away clients that this gatekeeper can still serve; waiting
// for a moment without a pending answer, which a client whose set-ups overlap never leaves; not reading from the connection, since
// the set-ups that are unread at its close are lost.
package drain

import "beammux/control"

// QuietPeriod is how long a connection without a pending answer stays open after its last use, after the evacuation, and after it
// was opened: long enough that a set-up that the front is writing on a new connection is read and not cut off.
const QuietPeriod control.Micros = 300_000

// Times from the evacuation to its stages. Set-ups that arrive before ReleaseDelay have until AnswerDelay for their answer.
const (
	ReleaseDelay control.Micros = 2_000_000 // set-ups are refused, standing calls are released
	AnswerDelay  control.Micros = 3_400_000 // pending set-ups are ended
	CutDelay     control.Micros = 3_800_000 // connections are closed without writing what is queued
	CloseBy      control.Micros = 4_000_000 // no client may be connected any more, by the operators' terms
)

// Drain is the state of one gatekeeper: serving, or evacuated since a time. The zero value is serving.
type Drain struct {
	evacuated    bool
	shuttingDown bool
	since        control.Micros
}

// Evacuate starts sending clients away. Further calls have no effect: the time of the first one counts.
func (d *Drain) Evacuate(now control.Micros) {
	if !d.evacuated {
		d.evacuated, d.since = true, now
	}
}

// Shutdown is Evacuate for a process that is shutting down: it cannot rejoin, and no call is released for the drain. Standing
// calls outlive the process; their connections stay open as long as it runs, since releases that arrive in that time are
// sent on them.
func (d *Drain) Shutdown(now control.Micros) {
	d.Evacuate(now)
	d.shuttingDown = true
}

// Rejoin takes clients again immediately, unless the process is shutting down.
func (d *Drain) Rejoin(now control.Micros) {
	if d.evacuated && !d.shuttingDown {
		d.evacuated, d.since = false, now
	}
}

// Ready reports whether the gatekeeper takes clients.
func (d *Drain) Ready() bool { return !d.evacuated }

// Evacuated reports whether clients are sent away, and since when.
func (d *Drain) Evacuated() (bool, control.Micros) { return d.evacuated, d.since }

// Overdue reports whether the time has passed by which an evacuated gatekeeper must have closed a connection. One that was opened late
// has as long as the last stages take.
func (d *Drain) Overdue(now control.Micros, c Connection) bool {
	return d.evacuated && !d.shuttingDown && now-d.since >= CloseBy && now-c.OpenedAt >= QuietPeriod+CloseBy-AnswerDelay
}

// RefusesSetups reports whether set-ups that arrive on callers' connections are refused, so that these can be closed.
func (d *Drain) RefusesSetups(now control.Micros) bool {
	return d.evacuated && !d.shuttingDown && now-d.since >= ReleaseDelay
}

// Connection is what the decision on a caller's connection depends on.
type Connection struct {
	OpenedAt    control.Micros
	LastUsed    control.Micros // when it last carried a message or an answer
	Unanswered  bool           // a set-up on it waits for its answer
	Receiving   bool           // a message has begun and is not complete
	Established bool           // a call that was set up on it is still open
}

// Decision is the decision on one caller's connection.
type Decision int

// The decisions on a connection.
const (
	KeepOpen     Decision = iota
	Close                 // no answer is pending: close it once the queued data is written
	ReleaseCalls          // release the calls that stand on it towards both sides, then close it
	EndSetups             // end its pending set-ups, release its calls, then close it even if input is unread
	Cut                   // close it at once
	Decisions             // number of decisions
)

var decisionNames = [Decisions]string{"keep_open", "close", "release_calls", "end_setups", "cut"}

// String returns the name of the decision in logs and metrics.
func (d Decision) String() string { return decisionNames[d] }

// DecideConnection decides on a caller's connection. A process that is shutting down ends set-ups and connections by itself.
func (d *Drain) DecideConnection(now control.Micros, c Connection) Decision {
	elapsed, age := now-d.since, now-c.OpenedAt
	if !d.evacuated || age < QuietPeriod {
		return KeepOpen
	}
	if !d.shuttingDown {
		switch {
		case elapsed >= CutDelay && age >= QuietPeriod+CutDelay-AnswerDelay:
			return Cut
		case elapsed >= AnswerDelay:
			return EndSetups
		case elapsed >= ReleaseDelay && !c.Unanswered && !c.Receiving:
			return ReleaseCalls
		}
	}
	if c.Unanswered || c.Receiving || c.Established || now-max(c.LastUsed, d.since) < QuietPeriod {
		return KeepOpen
	}
	return Close
}
