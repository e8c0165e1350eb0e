// Package routing is the core: calls, servers and the list, without any wire. The decisions are those of package
// control; here they are carried out, and what happens on the wire is reported back to it.
//
// Its actors each have one goroutine and a mailbox: the Core (the module), the List, and one Peer for each server.
package routing

import (
	"time"

	"beammux/control"
)

// clock is the only clock of the core. It returns Unix microseconds as of its start and goes on evenly from there: when the
// system's clock is set, waits, rates and deadlines of this process stay what they were.
type clock struct {
	wall      func() time.Time
	startedAt time.Time
}

func newClock() clock { return clock{time.Now, time.Now()} }

func (c *clock) now() control.Micros {
	return control.Micros((c.startedAt.UnixNano() + int64(time.Since(c.startedAt))) / 1000)
}

// fromUnix converts a Unix time that another machine sent just now to this clock. 0 stays 0.
func (c *clock) fromUnix(unix control.Micros) control.Micros {
	if unix == 0 {
		return 0
	}
	return max(1, c.now()-control.Micros(c.wall().UnixMicro())+unix)
}

// span turns microseconds into a time.Duration.
func span(m control.Micros) time.Duration { return time.Duration(m) * time.Microsecond }
