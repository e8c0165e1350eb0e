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

// Quiet is how long a connection with nothing owed on it stays open once the gatekeeper is evacuated.
const Quiet control.Micros = 300_000

// Drain is the state of one gatekeeper: serving, or evacuated since a time. The zero value serves.
type Drain struct {
	evacuated bool
	since     control.Micros
	changes   int
}

// Evacuate sends clients away from now on. A second call changes nothing: the first time holds.
func (d *Drain) Evacuate(now control.Micros) {
	if !d.evacuated {
		d.evacuated, d.since = true, now
		d.changes++
	}
}

// Rejoin takes clients again at once.
func (d *Drain) Rejoin(now control.Micros) {
	if d.evacuated {
		d.evacuated, d.since = false, now
		d.changes++
	}
}

// Ready tells whether the gatekeeper says that it takes clients.
func (d *Drain) Ready() bool { return !d.evacuated }

// Evacuated tells whether clients are sent away, and since when.
func (d *Drain) Evacuated() (bool, control.Micros) { return d.evacuated, d.since }

// Changes counts the changes between ready and not ready, for the figures.
func (d *Drain) Changes() int { return d.changes }

// Close tells whether a caller's connection is to be closed now. owed: a set-up on it waits for its answer; used: when
// it last carried a message or an answer.
func (d *Drain) Close(now, used control.Micros, owed bool) bool {
	return d.evacuated && !owed && now-max(used, d.since) >= Quiet
}
