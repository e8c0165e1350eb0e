// Package liveness decides whether a server is alive from the times at which anything was received from it. It is for servers
// that send a message on each new connection, and mostly at regular intervals on the open ones. A connection alone proves
// nothing: the kernel of a machine accepts connections for a process that hangs, and an open connection to a lost machine stays
// open. It does no I/O and reads no clock.
package liveness

import "beammux/control"

// TickInterval is the time between calls of Detector.Tick.
const TickInterval control.Micros = 500_000

// Times of silence. The calls of a server that vanished must be released within 8 s of its end, also on a machine that is busy.
const (
	lostAfter       control.Micros = 6_000_000 // the server is lost
	minSuspectAfter control.Micros = 1_500_000 // bounds of the silence after which the server is suspected
	maxSuspectAfter control.Micros = 3_000_000 // it leaves time for several checks before the server is lost
	suspectGaps                    = 2.5       // silence, as a multiple of the longest recent gap, after which it is suspected
	gapDecay                       = 0.9       // by which the longest gap shrinks with each message
)

// Status is what a Detector concludes.
type Status int

// The conclusions. Unknown is that of a server from which nothing was received yet, or nothing since it was lost.
const (
	Unknown Status = iota
	Alive
	Suspect // silent for longer than usual: a new connection, on which a server that is alive sends a message, decides
	Lost    // silent for so long that its calls are over
)

// Detector follows one server. The zero value has received nothing.
type Detector struct {
	known      bool
	heardAt    control.Micros
	tickedAt   control.Micros
	longestGap control.Micros // between messages, decaying
}

// Heard records that a message was received.
func (d *Detector) Heard(now control.Micros) {
	if d.known {
		decayed := control.Micros(gapDecay * float64(d.longestGap))
		d.longestGap = max(now-d.heardAt, decayed)
	} else {
		d.tickedAt = now
	}
	d.known, d.heardAt = true, now
}

// Tick returns the server's status and is called every TickInterval while that is not Unknown. It reports Lost once; after that the
// status is Unknown until the next message. A time in which this process did not run is no silence of the server: what arrived
// meanwhile is still unread.
func (d *Detector) Tick(now control.Micros) Status {
	if !d.known {
		return Unknown
	}
	if sinceTick := now - d.tickedAt; sinceTick > 2*TickInterval {
		d.heardAt = min(now, d.heardAt+sinceTick-TickInterval)
	}
	d.tickedAt = now
	switch silence := now - d.heardAt; {
	case silence >= lostAfter:
		*d = Detector{}
		return Lost
	case silence >= d.suspectAfter():
		return Suspect
	}
	return Alive
}

// suspectAfter returns the silence after which the server is suspected.
func (d *Detector) suspectAfter() control.Micros {
	return min(max(control.Micros(suspectGaps*float64(d.longestGap)), minSuspectAfter), maxSuspectAfter)
}
