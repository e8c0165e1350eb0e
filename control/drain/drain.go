// Package drain decides what a gatekeeper does while operators send its clients away (evacuate) and take them back
// (rejoin): whether it reports ready, and which connections of its callers it closes. It does no I/O and reads no clock;
// the node calls it with the time and executes its decisions.
//
// After the first "not ready" the front still routes new connections here for a short while, and uses kept connections
// for as long as they are open. So nothing is refused because of the drain: every request is served by the same rules as
// before, and a connection is closed once no answer is pending on it and it has been quiet for a moment. That moment is
// short compared to the 4 s after which no connection may be held idle, and long enough that a set-up that the front is
// writing on a new connection is read and not cut off.
//
// Rejected alternative: refusing set-ups once evacuated. It would turn away clients that another gatekeeper would have
// served, and the front stops sending by itself; to move kept clients, the front needs idle connections to be closed.
package drain

import "beammux/control"

// Delays of the drain. QuietPeriod is how long a connection without a pending answer stays open after its last use, or after
// the evacuation if that was later. ReleaseDelay is the time from the evacuation until calls that still stand on a
// connection are released, so that it can be closed.
const (
	QuietPeriod  control.Micros = 300_000
	ReleaseDelay control.Micros = 2_000_000
)

// CloseBy is the time from the evacuation by which no client may be connected any more, by the operators' terms.
const CloseBy control.Micros = 4_000_000

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

// Overdue reports whether the time by which an evacuated gatekeeper must have closed its clients' connections has passed.
func (d *Drain) Overdue(now control.Micros) bool {
	return d.evacuated && !d.shuttingDown && now-d.since >= CloseBy
}

// Decision is the decision on one caller's connection.
type Decision int

// The decisions on a connection.
const (
	KeepOpen     Decision = iota
	Close                 // no answer is pending: close it once the queued data is written
	ReleaseCalls          // release the calls that stand on it towards both sides, then close it
	Decisions             // number of decisions
)

var decisionNames = [Decisions]string{"keep_open", "close", "release_calls"}

// String returns the name of the decision in logs and metrics.
func (d Decision) String() string { return decisionNames[d] }

// DecideConnection decides on a caller's connection. lastUsed is when it last carried a message or an answer; answerPending
// means that a set-up on it waits for its answer; callStanding means that a call set up on it still stands.
//
// The front counts against the gatekeeper any connection that is still open 4 s after the evacuation and is idle or has
// carried a request in the last 2 s. So until ReleaseDelay a connection with standing calls is kept, and their releases
// are sent on it as they arrive; after that the gatekeeper releases these calls and closes the connection, which leaves
// 2 s for the answers still pending on the others.
func (d *Drain) DecideConnection(now, lastUsed control.Micros, answerPending, callStanding bool) Decision {
	switch {
	case !d.evacuated || answerPending:
		return KeepOpen
	case callStanding && now-d.since >= ReleaseDelay && !d.shuttingDown:
		return ReleaseCalls
	case !callStanding && now-max(lastUsed, d.since) >= QuietPeriod:
		return Close
	}
	return KeepOpen
}
