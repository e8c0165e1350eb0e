// Package routing is the core: calls, servers and the list, without any wire. The decisions are those of package
// control; here they are carried out, and what happens on the wire is told back.
//
// Its actors each have one goroutine and a mailbox: the Core (the module), the List, and one Peer for each server.
package routing

import (
	"time"

	"beammux/control"
)

// Now is the system's clock in Unix microseconds, the only clock of the core.
func Now() control.Micros { return control.Micros(time.Now().UnixMicro()) }

// span turns microseconds into a time.Duration.
func span(m control.Micros) time.Duration { return time.Duration(m) * time.Microsecond }
