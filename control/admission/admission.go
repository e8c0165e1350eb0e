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
	// SlotGracePeriod is how long after its slot a client is still expected. Then its slot is given up.
	SlotGracePeriod = control.Micros(5e6)
	// MaxSlots is how many refused clients can hold a slot.
	MaxSlots = 16384
)

// Request is a client that asks for a session.
type Request struct {
	Client        string // a name by which the client is known again; "": it can hold no slot
	NeedsSnapshot bool   // it needs a snapshot, not only the changes since a revision
}

// Decision is the answer to a Request.
type Decision struct {
	Admitted   bool
	Full       bool           // as many sessions are open as may be: the client is to go elsewhere, and holds no slot
	RetryAfter control.Micros // if not admitted and not full; at least 1
}

// Controller decides on requests.
type Controller struct {
	now    control.Micros
	most   int // open sessions; 0: no bound
	open   int
	tokens buckets
	slots  map[string]slot
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
	return &Controller{most: l.Sessions, tokens: newBuckets(l), slots: map[string]slot{}}
}

// Admit decides on a request at a time. A time before that of an earlier call counts as that one. Each session that is admitted
// has to be ended with End.
func (c *Controller) Admit(now control.Micros, r Request) Decision {
	c.advance(now)
	if c.most > 0 && c.open >= c.most {
		delete(c.slots, r.Client)
		return Decision{Full: true}
	}
	s, held := c.slots[r.Client]
	if held && s.at > c.now { // too early: the slot stays as it is
		return Decision{RetryAfter: s.at - c.now}
	}
	delete(c.slots, r.Client)
	if !c.harmless(r, held) {
		return Decision{RetryAfter: c.assign(r)}
	}
	c.tokens.spend(r.NeedsSnapshot)
	c.open++
	return Decision{Admitted: true}
}

// Release says that a session which was admitted is over.
func (c *Controller) Release() { c.open-- }

// Defer gives a slot to a client whose session has to end, and reports in what time it is.
func (c *Controller) Defer(now control.Micros, r Request) (retryAfter control.Micros) {
	c.advance(now)
	if s, held := c.slots[r.Client]; held && s.at > c.now {
		return s.at - c.now
	}
	delete(c.slots, r.Client)
	return c.assign(r)
}

// advance brings the buckets up to a time, and gives up slots whose clients did not come.
func (c *Controller) advance(now control.Micros) {
	c.now = max(c.now, now)
	c.tokens.advance(c.now)
	for len(c.expected) > 0 && c.expected[0].at < c.now {
		c.late = append(c.late, c.expected[0])
		c.expected = c.expected[1:]
	}
	for len(c.late) > 0 && (!c.holds(c.late[0]) || c.late[0].at+SlotGracePeriod < c.now) {
		if c.holds(c.late[0]) {
			delete(c.slots, c.late[0].client)
		}
		c.late = c.late[1:]
	}
}

// holds reports whether a slot is still its client's.
func (c *Controller) holds(s slot) bool { return c.slots[s.client] == s }

// harmless reports whether a request can be admitted now so that all who come at their slots are admitted too. One without a
// slot of its own must also leave the tokens for those who are late.
func (c *Controller) harmless(r Request, held bool) bool {
	tokens := c.tokens
	if !tokens.hold(r.NeedsSnapshot) {
		return false
	}
	tokens.spend(r.NeedsSnapshot)
	if !held {
		for _, s := range c.late {
			if !c.holds(s) {
				continue
			}
			if !tokens.hold(s.snapshot) {
				return false
			}
			tokens.spend(s.snapshot)
		}
	}
	for _, s := range c.expected {
		if !c.holds(s) {
			continue
		}
		tokens.advance(s.at)
		if !tokens.hold(s.snapshot) {
			return false
		}
		tokens.spend(s.snapshot)
	}
	return true
}

// assign gives a client the first slot behind all others, and reports in what time it is.
func (c *Controller) assign(r Request) control.Micros {
	tokens, s := c.tokens, slot{r.Client, c.now + 1, r.NeedsSnapshot}
	for _, other := range c.expected {
		if !c.holds(other) {
			continue
		}
		tokens.advance(other.at)
		tokens.spend(other.snapshot)
		s.at = max(s.at, other.at+tokens.spacing(other.snapshot && r.NeedsSnapshot))
	}
	s.at = max(s.at, tokens.ready(r.NeedsSnapshot))
	if r.Client != "" && len(c.slots) < MaxSlots {
		c.slots[r.Client] = s
		c.expected = append(c.expected, s)
	}
	return s.at - c.now
}
