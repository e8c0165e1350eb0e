// Package drain decides what a gatekeeper does while operators send its clients away (evacuate) and take them back
// (rejoin): whether it says it is ready, and which of its callers' connections it closes. It does no I/O and reads no
// clock; the node asks it with the time and carries out what it says.
//
// After the first "not ready" the front still leads new connections here for a short while, and uses kept connections
// for as long as they are open. So nothing is refused for the drain: every request that comes is served by the same rules
// as before, and a connection is closed once nothing is owed on it and it has been quiet for a moment. The moment is
// short against the 4 s by which no connection may be held idle, and long enough that a set-up that the front is
// writing on a fresh connection is read, not cut.
//
// Rejected: refusing set-ups once evacuated. It turns clients away that another gatekeeper would have served, and the
// front stops sending by itself; closing idle connections is what it needs to move kept clients.
package drain

import "beammux/control"

// Quiet is how long a connection with nothing owed on it stays open once the gatekeeper is evacuated. Cut is when
// calls that still stand on a connection are released, so that it can close.
const (
	QuietPeriod  control.Micros = 300_000
	ReleaseDelay control.Micros = 2_000_000
)

// Drain is the state of one gatekeeper: serving, or evacuated since a time. The zero value serves.
type Drain struct {
	evacuated bool
	ending    bool
	since     control.Micros
}

// Evacuate sends clients away from now on. A second call changes nothing: the first time holds.
func (d *Drain) Evacuate(now control.Micros) {
	if !d.evacuated {
		d.evacuated, d.since = true, now
	}
}

// Shutdown is Evacuate for a process that ends: there is no rejoin, and no call is released for it. What stands goes on without the
// process; its connections stay while that lives, since releases that come meanwhile are told there.
func (d *Drain) Shutdown(now control.Micros) {
	d.Evacuate(now)
	d.ending = true
}

// Rejoin takes clients again at once, unless the process ends.
func (d *Drain) Rejoin(now control.Micros) {
	if d.evacuated && !d.ending {
		d.evacuated, d.since = false, now
	}
}

// Ready tells whether the gatekeeper says that it takes clients.
func (d *Drain) Ready() bool { return !d.evacuated }

// Evacuated tells whether clients are sent away, and since when.
func (d *Drain) Evacuated() (bool, control.Micros) { return d.evacuated, d.since }

// Decision is what becomes of one caller's connection.
type Decision int

const (
	KeepOpen     Decision = iota
	Close                 // nothing is owed on it: closed once what is queued is written
	ReleaseCalls          // the calls that came on it and stand are released towards both sides, then it is closed
)

// DecideConnection decides of a caller's connection. used: when it last carried a message or an answer; owed: a set-up on it
// waits for its answer; standing: a call that came on it stands.
//
// The front holds against the gatekeeper any connection still open 4 s after the evacuate that is idle or has carried a
// request in the last 2 s. So up to Cut a connection whose calls stand is kept, and their releases are told there as they
// come; from Cut on those calls are released by the gatekeeper and the connection closes, which leaves 2 s for the
// answers still owed on the others.
func (d *Drain) DecideConnection(now, lastUsed control.Micros, answerPending, callStanding bool) Decision {
	switch {
	case !d.evacuated || answerPending:
		return KeepOpen
	case callStanding && now-d.since >= ReleaseDelay && !d.ending:
		return ReleaseCalls
	case !callStanding && now-max(lastUsed, d.since) >= QuietPeriod:
		return Close
	}
	return KeepOpen
}
