// Package admission decides how fast a control machine takes new sessions, and how fast it sends snapshots. Both are bounded
// by token buckets. A client that is refused gets a slot: it is asked to come back in the time after which the buckets will
// hold a token for it, behind all that were refused before it. So the refused arrive at the rate at which they are taken,
// not all at once again, and who obeys is taken at its slot. The package is pure: time is passed in, and one controller is
// not safe for concurrent use.
package admission

import (
	"math"

	"beammux/control"
)

// Limits of one control machine. Rates are per second; with a rate of 0 the bucket bounds nothing. A burst of less than 1
// counts as 1.
type Limits struct {
	SessionsPerSecond  float64
	SessionsBurst      int
	SnapshotsPerSecond float64
	SnapshotsBurst     int
}

const (
	// Grace is how long after its slot a client is still expected. Then its slot is given up.
	Grace = control.Micros(5e6)
	// MaxSlots is how many refused clients can hold a slot; those beyond it are asked to come back behind all of them.
	MaxSlots = 16384
)

// Request is a client that asks for a session.
type Request struct {
	Client   string // a name by which the client is known again; "": it gets no slot
	Snapshot bool   // it needs a snapshot, not only the changes since a revision
}

// Decision is the answer to a Request.
type Decision struct {
	Admitted   bool
	ComeBackIn control.Micros // if not admitted; at least 1
}

// Controller decides on requests.
type Controller struct {
	sessions, snapshots bucket
	slots               map[string]slot
	held                [2]int // slots, by slot.snapshot: without, with
	now                 control.Micros
	sweptAt             control.Micros
}

// slot is the time at which a refused client is expected.
type slot struct {
	at       control.Micros
	snapshot bool
}

// New makes a controller with full buckets.
func New(l Limits) *Controller {
	return &Controller{sessions: newBucket(l.SessionsPerSecond, l.SessionsBurst),
		snapshots: newBucket(l.SnapshotsPerSecond, l.SnapshotsBurst), slots: map[string]slot{}}
}

// Admit decides on a request at a time. A time before that of an earlier call counts as that one.
func (c *Controller) Admit(now control.Micros, r Request) Decision {
	c.advance(now)
	s, expected := c.slots[r.Client]
	switch {
	case expected && s.at > c.now: // too early: the slot stays as it is
		return Decision{ComeBackIn: s.at - c.now}
	case expected:
		c.release(r.Client)
		if c.takes(r, 0, 0) {
			c.spend(r)
			return Decision{Admitted: true}
		}
		return c.refuse(r, c.due(false), c.due(true))
	case c.takes(r, c.held[0]+c.held[1], c.held[1]):
		c.spend(r)
		return Decision{Admitted: true}
	}
	return c.refuse(r, c.held[0]+c.held[1], c.held[1])
}

// Defer gives a slot to a client whose session is ended, so that it comes back then.
func (c *Controller) Defer(now control.Micros, r Request) (comeBackIn control.Micros) {
	c.advance(now)
	if s, ok := c.slots[r.Client]; ok && s.at > c.now {
		return s.at - c.now
	}
	c.release(r.Client)
	return c.refuse(r, c.held[0]+c.held[1], c.held[1]).ComeBackIn
}

// takes tells whether the buckets hold a token for a request, beside those for so many others.
func (c *Controller) takes(r Request, sessions, snapshots int) bool {
	return c.sessions.holds(sessions+1) && (!r.Snapshot || c.snapshots.holds(snapshots+1))
}

func (c *Controller) spend(r Request) {
	c.sessions.spend()
	if r.Snapshot {
		c.snapshots.spend()
	}
}

// refuse gives a client a slot behind so many others of each bucket.
func (c *Controller) refuse(r Request, sessions, snapshots int) Decision {
	in := c.sessions.until(sessions + 1)
	if r.Snapshot {
		in = max(in, c.snapshots.until(snapshots+1))
	}
	in = max(in, 1)
	if r.Client != "" && len(c.slots) < MaxSlots {
		c.slots[r.Client] = slot{c.now + in, r.Snapshot}
		c.held[index(r.Snapshot)]++
	}
	return Decision{ComeBackIn: in}
}

func (c *Controller) release(client string) {
	if s, ok := c.slots[client]; ok {
		delete(c.slots, client)
		c.held[index(s.snapshot)]--
	}
}

// due counts the slots whose time has come; with a snapshot only, if so asked.
func (c *Controller) due(snapshot bool) (count int) {
	for _, s := range c.slots {
		if s.at <= c.now && (s.snapshot || !snapshot) {
			count++
		}
	}
	return count
}

// advance brings the buckets up to a time and gives up the slots of clients that did not come.
func (c *Controller) advance(now control.Micros) {
	c.now = max(c.now, now)
	c.sessions.advance(c.now)
	c.snapshots.advance(c.now)
	if c.now-c.sweptAt < Grace/4 {
		return
	}
	c.sweptAt = c.now
	for client, s := range c.slots {
		if s.at+Grace < c.now {
			c.release(client)
		}
	}
}

func index(snapshot bool) int {
	if snapshot {
		return 1
	}
	return 0
}

// bucket is a token bucket.
type bucket struct {
	perMicro, burst, tokens float64
	at                      control.Micros
	begun                   bool
}

func newBucket(perSecond float64, burst int) bucket {
	b := bucket{perMicro: perSecond / 1e6, burst: float64(max(burst, 1))}
	b.tokens = b.burst
	return b
}

func (b *bucket) bounds() bool { return b.perMicro > 0 }

func (b *bucket) advance(now control.Micros) {
	if b.begun {
		b.tokens = min(b.burst, b.tokens+b.perMicro*float64(now-b.at))
	}
	b.begun, b.at = true, now
}

// roundOff is how much a bucket may lack of a token that it should hold by its own reckoning.
const roundOff = 1e-6

func (b *bucket) holds(tokens int) bool { return !b.bounds() || b.tokens >= float64(tokens)-roundOff }

func (b *bucket) spend() {
	if b.bounds() {
		b.tokens--
	}
}

// until is the time after which so many tokens have come to the bucket, if it were not capped.
func (b *bucket) until(tokens int) control.Micros {
	if !b.bounds() || b.holds(tokens) {
		return 0
	}
	return control.Micros(math.Ceil((float64(tokens) - b.tokens) / b.perMicro))
}
