// Package relay carries TCP connections and UDP datagrams between two processes on loopback and injects faults on the way.
// One Link carries what one process opens to another; the Network knows every link, names the ends, and holds the
// condition of each direction, so that a partition or a one-way cut reaches every link it concerns at once.
//
// What a fault looks like follows what the kernel does on a real network, so that a process under test can't tell:
//
//   - a cut direction keeps what TCP sends and delivers it at the heal, as retransmission would; datagrams are lost;
//   - a dead process refuses: its links' listeners are closed while the port stays reserved;
//   - a black hole accepts and never answers, like a full host behind a balancer;
//   - a reset is an RST (SO_LINGER 0), also in the middle of a message.
//
// Everything stays on 127.0.0.1.
package relay

import (
	"errors"
	"fmt"
	"time"
)

// Condition is the state of one direction between two processes. The zero value passes all at once.
type Condition struct {
	Cut       bool          // nothing passes: TCP waits for the heal, datagrams are lost
	Delay     time.Duration // added to what passes
	Jitter    time.Duration // and up to so much more, drawn evenly; TCP stays in order
	BytesPerS int           // 0: no cap
	Loss      float64       // part of the datagrams lost
	Duplicate float64       // part that comes twice
	Reorder   float64       // part held back until after the next ones, by 2 x (Delay + Jitter), 5 ms at least
}

// Bounds of a condition: a fault test is bounded in time.
const (
	MaxDelay = 30 * time.Second
	maxRate  = 1 << 30
)

// Check says what is wrong with a condition, if anything.
func (c Condition) Check() error {
	for _, p := range []struct {
		name string
		v    float64
	}{{"loss", c.Loss}, {"duplicate", c.Duplicate}, {"reorder", c.Reorder}} {
		if !(p.v >= 0 && p.v <= 1) {
			return fmt.Errorf("%s is %v, not a part from 0 to 1", p.name, p.v)
		}
	}
	switch {
	case c.Delay < 0 || c.Delay > MaxDelay || c.Jitter < 0 || c.Jitter > MaxDelay:
		return fmt.Errorf("delay and jitter must be 0 to %v", MaxDelay)
	case c.BytesPerS < 0 || c.BytesPerS > maxRate:
		return errors.New("bytes a second must be 0 to 2^30")
	}
	return nil
}

// passes tells whether a condition leaves everything as it is.
func (c Condition) passes() bool { return c == Condition{} }

// Mode is how a link treats connections, beside the conditions of its two directions.
type Mode int

// The doors.
const (
	Open      Mode = iota
	Refuse         // connections are refused, and those that are open are reset
	BlackHole      // connections are taken and nothing is ever answered; those that are open fall silent
)
