// Package admission decides how many sessions a control machine holds, how fast it admits new ones, and how fast it sends
// snapshots. Both rates are limited by token buckets. A refused client gets a slot, a time at which the buckets will hold
// its tokens, and is asked to retry then. Slots are spaced as the rates require, so that refused clients return at the
// rate at which they are admitted instead of all at once, and no other client is admitted at the expense of a slot: a
// client that retries at its slot is admitted. The package is pure: the time is passed in.
package admission

import "beammux/control"

// Limits holds the limits of one control machine. Rates are per second; a rate of 0 means no limit. A burst below
// MinBurst counts as MinBurst.
type Limits struct {
	Sessions           int // maximum number of open sessions; 0: no limit
	SessionsPerSecond  float64
	SessionsBurst      int
	SnapshotsPerSecond float64
	SnapshotsBurst     int
}

// Parameters of the admission.
const (
	// MinBurst is the smallest burst. With a smaller one, a client that arrives a moment after its slot would take the
	// token of the next client.
	MinBurst = 2
	// SlotGracePeriod is how long after its slot a client is still expected. After that the slot expires.
	SlotGracePeriod = control.Micros(5e6)
	// MaxSlots is the maximum number of refused clients that hold a slot.
	MaxSlots = 16384
)

// Request is a request for a session.
type Request struct {
	Client        string // name that identifies the client on retries; "": the client cannot hold a slot
	NeedsSnapshot bool   // the client needs a snapshot, not only the changes since a revision
}

// Decision is the response to a Request.
type Decision struct {
	Admitted   bool
	Full       bool           // the session limit is reached: the client must go elsewhere and holds no slot
	RetryAfter control.Micros // time until the slot, if neither Admitted nor Full; at least 1
}

// Controller decides on requests. It is not safe for concurrent use.
type Controller struct {
	now         control.Micros
	maxSessions int // maximum number of open sessions; 0: no limit
	open        int
	tokens      buckets
	slots       map[string]slot
	// expected holds the slots from now on, and late the earlier ones whose clients have not arrived yet. Both are
	// ordered by time. A slot that its client has used or lost is removed from slots at once, and from these lists only
	// when its turn comes.
	expected, late []slot
}

// slot is the time at which a refused client is expected.
type slot struct {
	client   string
	at       control.Micros
	snapshot bool
}

// New returns a controller with full buckets.
func New(l Limits) *Controller {
	return &Controller{maxSessions: l.Sessions, tokens: newBuckets(l), slots: map[string]slot{}}
}

// Admit decides on a request at a time. A time before that of an earlier call counts as the earlier one. Each admitted
// session must be released with Release.
func (c *Controller) Admit(now control.Micros, r Request) Decision {
	c.advance(now)
	if c.maxSessions > 0 && c.open >= c.maxSessions {
		delete(c.slots, r.Client)
		return Decision{Full: true}
	}
	s, held := c.slots[r.Client]
	if held && s.at > c.now { // too early: the client keeps its slot
		return Decision{RetryAfter: s.at - c.now}
	}
	delete(c.slots, r.Client)
	if !c.canAdmit(r, held) {
		return Decision{RetryAfter: c.assignSlot(r)}
	}
	c.tokens.take(r.NeedsSnapshot)
	c.open++
	return Decision{Admitted: true}
}

// Release records that an admitted session has ended.
func (c *Controller) Release() { c.open-- }

// Defer gives a slot to a client whose session must end, and returns the time until the slot.
func (c *Controller) Defer(now control.Micros, r Request) (retryAfter control.Micros) {
	c.advance(now)
	if s, held := c.slots[r.Client]; held && s.at > c.now {
		return s.at - c.now
	}
	delete(c.slots, r.Client)
	return c.assignSlot(r)
}

// advance advances the buckets to a time and expires the slots whose clients did not arrive.
func (c *Controller) advance(now control.Micros) {
	c.now = max(c.now, now)
	c.tokens.advance(c.now)
	for len(c.expected) > 0 && c.expected[0].at < c.now {
		c.late = append(c.late, c.expected[0])
		c.expected = c.expected[1:]
	}
	for len(c.late) > 0 && (!c.isCurrent(c.late[0]) || c.late[0].at+SlotGracePeriod < c.now) {
		if c.isCurrent(c.late[0]) {
			delete(c.slots, c.late[0].client)
		}
		c.late = c.late[1:]
	}
}

// isCurrent reports whether a slot still belongs to its client.
func (c *Controller) isCurrent(s slot) bool { return c.slots[s.client] == s }

// canAdmit reports whether a request can be admitted now without taking tokens from clients that arrive at their slots. A
// client without a slot must also leave tokens for the late clients.
func (c *Controller) canAdmit(r Request, held bool) bool {
	tokens := c.tokens
	if !tokens.hasTokens(r.NeedsSnapshot) {
		return false
	}
	tokens.take(r.NeedsSnapshot)
	if !held {
		for _, s := range c.late {
			if !c.isCurrent(s) {
				continue
			}
			if !tokens.hasTokens(s.snapshot) {
				return false
			}
			tokens.take(s.snapshot)
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
		tokens.take(s.snapshot)
	}
	return true
}

// assignSlot gives a client the first slot after all others, and returns the time until the slot.
func (c *Controller) assignSlot(r Request) control.Micros {
	tokens, s := c.tokens, slot{r.Client, c.now + 1, r.NeedsSnapshot}
	for _, other := range c.expected {
		if !c.isCurrent(other) {
			continue
		}
		tokens.advance(other.at)
		tokens.take(other.snapshot)
		s.at = max(s.at, other.at+tokens.spacing(other.snapshot && r.NeedsSnapshot))
	}
	s.at = max(s.at, tokens.readyAt(r.NeedsSnapshot))
	if r.Client != "" && len(c.slots) < MaxSlots {
		c.slots[r.Client] = s
		c.expected = append(c.expected, s)
	}
	return s.at - c.now
}
