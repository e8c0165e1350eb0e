// Package routing is the core of the gatekeeper: it keeps the calls, the servers and the list of servers, independent of any
// wire protocol. Package control makes the decisions; this package carries them out and reports network events back to it.
//
// The actors are the Core, which owns the decision module, the List, and one Peer for each server. Each has one goroutine
// and a mailbox.
package routing

import (
	"time"

	"beammux/control"
)

// clock is the only clock of the core. It starts from the Unix time in microseconds and then follows the monotonic clock:
// a step of the system clock does not change the waits, rates and deadlines of this process.
type clock struct {
	wall      func() time.Time
	startedAt time.Time
}

func newClock() clock { return clock{time.Now, time.Now()} }

func (c *clock) now() control.Micros {
	return control.Micros((c.startedAt.UnixNano() + int64(time.Since(c.startedAt))) / 1000)
}

// fromUnix converts a Unix time that another machine has just sent to this clock. It returns 0 for 0.
func (c *clock) fromUnix(unix control.Micros) control.Micros {
	if unix == 0 {
		return 0
	}
	return max(1, c.now()-control.Micros(c.wall().UnixMicro())+unix)
}

// span converts microseconds to a time.Duration.
func span(m control.Micros) time.Duration { return time.Duration(m) * time.Microsecond }
