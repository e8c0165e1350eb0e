// Package relay forwards TCP connections and UDP datagrams between processes on loopback and injects network faults.
// A Link forwards the traffic that one process opens to one service of another. The Network owns all links, identifies their
// ends by process name, and holds the condition of each direction, so that a partition or a one-way cut takes effect on
// every affected link at once.
//
// Faults imitate the behaviour of the kernel on a real network, so that the process under test cannot distinguish them:
//
//   - a cut direction buffers TCP data and delivers it after the heal, as retransmission would; datagrams are lost;
//   - a dead process refuses connections: the listeners of its links are closed while their ports stay reserved;
//   - a lost machine leaves open connections silent and drops the first packet of new ones;
//   - a black hole accepts connections and never answers, like an overloaded host behind a load balancer;
//   - a reset is an RST (SO_LINGER 0), possibly in the middle of a message.
//
// All sockets are bound to 127.0.0.1.
package relay

import (
	"errors"
	"fmt"
	"time"
)

// Condition describes the network faults in one direction between two processes. The zero value forwards everything without delay.
type Condition struct {
	Cut       bool          // nothing passes: TCP data waits for the heal, datagrams are lost
	Delay     time.Duration // added to everything that passes
	Jitter    time.Duration // maximum additional delay, uniformly distributed; TCP data stays in order
	BytesPerS int           // bandwidth limit; 0: unlimited
	PieceSize int           // TCP data passes in pieces of this many bytes; 0: as it comes
	PieceGap  time.Duration // between two pieces
	Loss      float64       // fraction of datagrams that are lost, 0 to 1
	Duplicate float64       // fraction of datagrams that are delivered twice, 0 to 1
	Reorder   float64       // fraction of datagrams that are held back by another 2 x (Delay + Jitter), at least 5 ms, so that later ones overtake them
}

// Bounds of a condition, which bound the duration of a fault test.
const (
	MaxDelay = 30 * time.Second
	maxRate  = 1 << 30
)

// Check returns an error if a field of the condition is out of range.
func (c Condition) Check() error {
	for _, p := range []struct {
		name string
		v    float64
	}{{"loss", c.Loss}, {"duplicate", c.Duplicate}, {"reorder", c.Reorder}} {
		if !(p.v >= 0 && p.v <= 1) {
			return fmt.Errorf("%s is %v, must be a fraction from 0 to 1", p.name, p.v)
		}
	}
	switch {
	case c.Delay < 0 || c.Delay > MaxDelay || c.Jitter < 0 || c.Jitter > MaxDelay:
		return fmt.Errorf("delay and jitter must be 0 to %v", MaxDelay)
	case c.PieceSize < 0 || c.PieceGap < 0 || c.PieceGap > MaxDelay:
		return fmt.Errorf("pieces must have 0 bytes or more, with gaps of 0 to %v", MaxDelay)
	case c.BytesPerS < 0 || c.BytesPerS > maxRate:
		return errors.New("bytes per second must be 0 to 2^30")
	}
	return nil
}

// isZero reports whether the condition forwards everything unchanged.
func (c Condition) isZero() bool { return c == Condition{} }

// Mode is the way a link treats connections, in addition to the conditions of its two directions.
type Mode int

// The modes of a link.
const (
	Open      Mode = iota // connections are forwarded
	Refuse                // new connections are refused, open ones are reset
	BlackHole             // connections are accepted and never answered; open ones stop forwarding
	Lost                  // connections never come up, like those to a machine without power; open ones stop forwarding
)
