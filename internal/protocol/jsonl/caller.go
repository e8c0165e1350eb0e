package jsonl

import (
	"strconv"
	"sync/atomic"
	"time"

	"beammux/internal/routing"
	"beammux/internal/transport"
)

// caller implements routing.Caller for one call.
type caller struct {
	front     *Front
	conn      *conn
	id        string
	reserved  int // bytes of the connection's account that the set-up holds
	cancelled atomic.Bool
}

// Memory of a set-up.
const (
	setupOverhead   = 2 << 10 // bytes of the state of a set-up, without its description
	bodyCopies      = 3       // of the description: that of the core, that in a write queue, and the server's answer
	withdrawnMemory = 1 << 10 // bytes of the state of a set-up that was given up
)

// reserve reserves the memory of a set-up with a description of a length. It reports false if the client holds too much.
func (c *caller) reserve(body int) bool {
	n := setupOverhead + bodyCopies*body
	if !c.conn.Requests().Reserve(n) {
		return false
	}
	c.reserved = n
	return true
}

// releaseWithdrawn releases the memory of a set-up that was given up: its state only after servers can't answer it any more.
func (c *caller) releaseWithdrawn() {
	if c.reserved > 0 {
		c.conn.Requests().Release(c.reserved - withdrawnMemory)
		c.conn.Requests().ReleaseAfter(withdrawnMemory, routing.LateAnswerTime)
	}
}

// Gone implements routing.Caller. It reports whether the caller cancelled the call or left.
func (c *caller) Gone() bool { return c.cancelled.Load() || c.conn.PeerClosed() }

// Answer implements routing.Caller: it sends the server's answer and reports whether it is queued.
func (c *caller) Answer(body []byte) bool {
	c.front.addCall(c)
	defer c.conn.removeSetup(c) // after the answer is queued, since a connection without open set-ups may be closed
	m := Message{Type: "ready", ID: c.id, Text: string(body)}
	err := c.conn.Send(transport.Packet{Data: m.Append(nil), Done: func(err error) {
		if err != nil { // the caller has not received the answer and would never end the call
			c.front.removeCall(c.id)
			c.front.core.Hangup(c.id, causeNormal, nil, func(bool) {})
		}
	}})
	if err != nil {
		c.front.removeCall(c.id)
	}
	return err == nil
}

// Refuse implements routing.Caller: it refuses the call, with the wait until a retry if that is a millisecond or more.
func (c *caller) Refuse(wait time.Duration) {
	defer c.conn.removeSetup(c)
	m := Message{Type: "close", ID: c.id, Code: routing.CauseCongest}
	if ms := wait.Milliseconds(); ms > 0 {
		m.Attrs = map[string]string{"wait": strconv.FormatInt(ms, 10)}
	}
	c.conn.send(m)
}

// Fail implements routing.Caller: it reports that the call failed.
func (c *caller) Fail() {
	defer c.conn.removeSetup(c)
	c.conn.send(Message{Type: "close", ID: c.id, Code: routing.CauseFailed})
}

// Release implements routing.Caller: it reports the end of an established call.
func (c *caller) Release(cause int) {
	c.front.removeCall(c.id)
	c.front.releases.deliver(Message{Type: "close", ID: c.id, Code: cause}, c.conn)
}
