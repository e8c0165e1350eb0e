package jsonl

import (
	"errors"
	"maps"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"beammux/internal/transport"
)

// conn is a connection of a caller with its unanswered set-ups.
type conn struct {
	*transport.Conn
	mu         sync.Mutex
	open       map[string]*caller
	setupEnded chan struct{} // signalled when a set-up ends
	excess     bool          // new set-ups are excess; only for the reading goroutine
	kind       peerKind      // guarded by releaseDelivery
	confirms   bool          // a release was confirmed on it; guarded by releaseDelivery
	// unconfirmed is how many releases were not confirmed in time although the client continued to send; guarded by releaseDelivery
	unconfirmed int
	receivedAt  atomic.Int64 // when the last message was received, in Unix nanoseconds
}

// receivedAfter reports whether a message was received after a time.
func (c *conn) receivedAfter(t time.Time) bool { return c.receivedAt.Load() > t.UnixNano() }

// send queues a message and reports whether that succeeded.
func (c *conn) send(m Message) bool {
	return c.Send(transport.Packet{Data: m.Append(nil)}) == nil
}

// addSetup records an open set-up. It reports false if this side is closing the connection.
func (c *conn) addSetup(setup *caller) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.Hold() {
		return false
	}
	c.open[setup.id] = setup
	return true
}

// takeSetup removes a set-up from the open ones, and reports whether it was one.
func (c *conn) takeSetup(setup *caller) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[setup.id] != setup {
		return false
	}
	delete(c.open, setup.id)
	c.Unhold()
	return true
}

// removeSetup removes a set-up that has its final answer.
func (c *conn) removeSetup(setup *caller) {
	if c.takeSetup(setup) {
		c.Requests().Release(setup.reserved)
	}
	c.signalEnded()
}

// withdrawSetup removes a set-up that its caller has given up. Servers may still answer it, so part of its memory stays reserved.
func (c *conn) withdrawSetup(setup *caller) {
	if c.takeSetup(setup) {
		setup.releaseWithdrawn()
	}
	c.signalEnded()
}

// signalEnded signals that a set-up has ended.
func (c *conn) signalEnded() {
	select {
	case c.setupEnded <- struct{}{}:
	default:
	}
}

// openSetup returns the open set-up with an id, or nil.
func (c *conn) openSetup(id string) *caller {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[id]
}

// openSetups returns the unanswered set-ups.
func (c *conn) openSetups() []*caller {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.open))
}

// openCount returns the number of unanswered set-ups.
func (c *conn) openCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// awaitOpen blocks until at most maximum set-ups are open, limit or left fires, or the connection ends.
func (c *conn) awaitOpen(maximum int, limit <-chan time.Time, left <-chan struct{}) {
	for c.openCount() > maximum {
		select {
		case <-c.setupEnded:
		case <-limit:
			return
		case <-left:
			return
		case <-c.Closed():
			return
		}
	}
}

// limitOpen limits the open set-ups of a flood. The reader must not stop reading, since only at the end of the input it
// learns that the caller has left. From maxOpenSetups open set-ups on, after a short wait, further ones are marked as
// excess, until no more than half as many are open. At 2*maxOpenSetups the reader waits for the core to refuse some.
func (c *conn) limitOpen() {
	switch n := c.openCount(); {
	case n <= maxOpenSetups/2:
		c.excess = false
	case n >= 2*maxOpenSetups:
		c.awaitOpen(2*maxOpenSetups-1, nil, nil)
	case n >= maxOpenSetups && !c.excess:
		c.awaitOpen(maxOpenSetups-1, time.After(excessDelay), nil)
		c.excess = c.openCount() >= maxOpenSetups
	}
}

// awaitAnswers waits, at most settleTimeout, until the open set-ups are answered before the connection closes. Further input
// is read and discarded in order to detect that the caller leaves.
func (c *conn) awaitAnswers() {
	deadline := time.Now().Add(settleTimeout)
	c.SetReadDeadline(deadline)
	left := make(chan struct{})
	go func() {
		defer close(left)
		for discarded := make([]byte, 4<<10); ; time.Sleep(discardInterval) {
			if _, err := c.Read(discarded); err != nil {
				return
			}
		}
	}()
	c.awaitOpen(0, time.After(time.Until(deadline)), left)
	c.SetReadDeadline(time.Now())
	<-left
}

// readLine reads a line within the time-outs. firstDeadline is the deadline of the connection's first message, and
// zero after it.
func (c *conn) readLine(r *Reader, firstDeadline time.Time) ([]byte, error) {
	for {
		limit := firstDeadline
		if firstDeadline.IsZero() {
			limit = time.Now().Add(idleTimeout)
		}
		c.SetReadDeadline(limit)
		err := r.Wait()
		if errors.Is(err, os.ErrDeadlineExceeded) && c.InUse() {
			continue // a caller waits for an answer or has an established call
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.SetReadDeadline(time.Now().Add(idleReadTimeout))
			err = r.Wait()
		}
		if err != nil {
			return nil, err
		}
		c.NoteMessageBegun()
		if firstDeadline.IsZero() {
			c.SetReadDeadline(time.Now().Add(messageTimeout))
		}
		return r.nextLine()
	}
}
