// Package admission decides how many sessions a control machine holds, how fast it takes new ones, and how fast it sends
// snapshots. Both rates are bounded by token buckets. A client that is refused gets a slot, a time of its own at which the buckets will hold its tokens, and is
// asked to come back then. Slots are as far apart as the rates allow, so that the refused arrive at the rate at which they
// are admitted, not all at once again, and nobody else is admitted at the cost of a slot: a client that comes at its slot is
// admitted. The package is pure: time is passed in. A controller is not safe for concurrent use.
package admission

import "beammux/control"

// Limits of one control machine. Rates are per second; with a rate of 0 the bucket bounds nothing. A burst of less than
// MinBurst counts as MinBurst.
type Limits struct {
	Sessions           int // most at a time; 0: no bound
	SessionsPerSecond  float64
	SessionsBurst      int
	SnapshotsPerSecond float64
	SnapshotsBurst     int
}

const (
	// MinBurst is the least burst. With less, a client that comes a moment after its slot would cost the next its token.
	MinBurst = 2
	// Grace is how long after its slot a client is still expected. Then its slot is given up.
	Grace = control.Micros(5e6)
	// MaxSlots is how many refused clients can hold a slot.
	MaxSlots = 16384
)

// Request is a client that asks for a session.
type Request struct {
	Client   string // a name by which the client is known again; "": it can hold no slot
	Snapshot bool   // it needs a snapshot, not only the changes since a revision
}

// Decision is the answer to a Request.
type Decision struct {
	Admitted   bool
	Full       bool           // as many sessions are open as may be: the client is to go elsewhere, and holds no slot
	ComeBackIn control.Micros // if not admitted and not full; at least 1
}

// Controller decides on requests.
type Controller struct {
	now         control.Micros
	maxSessions int // open sessions; 0: no bound
	open        int
	tokens      buckets
	slots       map[string]slot
	// expected are the slots from now on, and late those before whose clients did not come yet. Both are ordered by time; a
	// slot that its client has used or lost is left in them until its turn, and is not in slots any more.
	expected, late []slot
}

// slot is the time at which a refused client is expected.
type slot struct {
	client   string
	at       control.Micros
	snapshot bool
}

// New makes a controller with full buckets.
func New(l Limits) *Controller {
	return &Controller{maxSessions: l.Sessions, tokens: newBuckets(l), slots: map[string]slot{}}
}

// Admit decides on a request at a time. A time before that of an earlier call counts as that one. Each session that is admitted
// has to be ended with End.
func (c *Controller) Admit(now control.Micros, r Request) Decision {
	c.advance(now)
	if c.maxSessions > 0 && c.open >= c.maxSessions {
		delete(c.slots, r.Client)
		return Decision{Full: true}
	}
	s, held := c.slots[r.Client]
	if held && s.at > c.now { // too early: the slot stays as it is
		return Decision{ComeBackIn: s.at - c.now}
	}
	delete(c.slots, r.Client)
	if !c.canAdmit(r, held) {
		return Decision{ComeBackIn: c.assignSlot(r)}
	}
	c.tokens.takeTokens(r.Snapshot)
	c.open++
	return Decision{Admitted: true}
}

// End says that a session which was admitted is over.
func (c *Controller) End() { c.open-- }

// Defer gives a slot to a client whose session has to end, and reports in what time it is.
func (c *Controller) Defer(now control.Micros, r Request) (comeBackIn control.Micros) {
	c.advance(now)
	if s, held := c.slots[r.Client]; held && s.at > c.now {
		return s.at - c.now
	}
	delete(c.slots, r.Client)
	return c.assignSlot(r)
}

// advance brings the buckets up to a time, and gives up slots whose clients did not come.
func (c *Controller) advance(now control.Micros) {
	c.now = max(c.now, now)
	c.tokens.advance(c.now)
	for len(c.expected) > 0 && c.expected[0].at < c.now {
		c.late = append(c.late, c.expected[0])
		c.expected = c.expected[1:]
	}
	for len(c.late) > 0 && (!c.isCurrent(c.late[0]) || c.late[0].at+Grace < c.now) {
		if c.isCurrent(c.late[0]) {
			delete(c.slots, c.late[0].client)
		}
		c.late = c.late[1:]
	}
}

// isCurrent reports whether a slot is still its client's.
func (c *Controller) isCurrent(s slot) bool { return c.slots[s.client] == s }

// canAdmit reports whether a request can be admitted now so that all who come at their slots are admitted too. One without a
// slot of its own must also leave the tokens for those who are late.
func (c *Controller) canAdmit(r Request, held bool) bool {
	tokens := c.tokens
	if !tokens.hasTokens(r.Snapshot) {
		return false
	}
	tokens.takeTokens(r.Snapshot)
	if !held {
		for _, s := range c.late {
			if !c.isCurrent(s) {
				continue
			}
			if !tokens.hasTokens(s.snapshot) {
				return false
			}
			tokens.takeTokens(s.snapshot)
		}
	}
	for _, s := range c.expected {
		if !c.isCurrent(s) {
			continue
		}
		tokens.advance(s.at)
		if !tokens.hasTokens(s.snapshot) {
			return false
		}
		tokens.takeTokens(s.snapshot)
	}
	return true
}

// assignSlot gives a client the first slot behind all others, and reports in what time it is.
func (c *Controller) assignSlot(r Request) control.Micros {
	tokens, s := c.tokens, slot{r.Client, c.now + 1, r.Snapshot}
	for _, other := range c.expected {
		if !c.isCurrent(other) {
			continue
		}
		tokens.advance(other.at)
		tokens.takeTokens(other.snapshot)
		s.at = max(s.at, other.at+tokens.spacing(other.snapshot && r.Snapshot))
	}
	s.at = max(s.at, tokens.readyAt(r.Snapshot))
	if r.Client != "" && len(c.slots) < MaxSlots {
		c.slots[r.Client] = s
		c.expected = append(c.expected, s)
	}
	return s.at - c.now
}
