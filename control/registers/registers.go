// Package registers stores the values that the gatekeepers of a fleet publish to each other by gossip: one register for each
// topic and origin. The newest value wins, by the start of the origin's process and the sequence number within it. This is a
// state-based CRDT, a map of last-writer-wins registers with a single writer each. Merging is commutative, associative and
// idempotent, so gossip may arrive in any order, more than once or late without being counted twice. The package does no I/O
// and reads no clock.
//
// Ages: a register carries its age at the time it was sent. The time on the wire is not included, so a register may be older
// than its age says by that time, and of two copies of one register the greater age is more accurate. A register older than
// the MaxAge of its topic no longer counts, nor does a register whose origin is not up.
package registers

import (
	"cmp"
	"maps"
	"slices"

	"beammux/control"
)

// Topic identifies the subject of a register. The numbers are part of the wire format and are never reused.
type Topic uint8

// Topics of registers.
const (
	Rates    Topic = 1 // calls per second by outcome and class
	Limits   Topic = 2 // demand under limits shared by the fleet
	Evidence Topic = 3 // successes and failures by server
	Ranges   Topic = 4 // distribution of load over the number range
	Numbers  Topic = 5 // numbers whose lines are all busy
	Callers  Topic = 6 // callers that send unreadable messages
)

var topicNames = map[Topic]string{Rates: "rates", Limits: "limits", Evidence: "evidence", Ranges: "ranges", Numbers: "numbers", Callers: "callers"}

// String returns the topic's name in messages.
func (t Topic) String() string {
	if name, ok := topicNames[t]; ok {
		return name
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler.
func (t Topic) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// Spec sets the size bound and the timing of a topic.
type Spec struct {
	MaxBytes        int            // greatest size of a value
	MinInterval     control.Micros // least time between sent changes; grows in proportion above membersAtFullPace members
	RefreshInterval control.Micros // time after which an unchanged value is sent again, so that silence is not taken for no change
	MaxAge          control.Micros // age after which a register no longer counts
}

// Bounds of a Replica.
const (
	maxOrigins        = 1024 // other members held for each topic
	maxNameLength     = 64   // bytes of an origin's name
	membersAtFullPace = 16   // fleet size up to which each member publishes every Spec.MinInterval; in larger fleets each does so less often
)

// Register is the value of one origin under one topic.
type Register struct {
	Topic  Topic
	Origin string
	Start  uint64         // start of the origin's process; a later start wins over any sequence number of an earlier one
	Seq    uint64         // sequence number of the value at the origin under the topic, from 1
	Age    control.Micros // least age when the register was handed over
	Value  []byte
}

// newer reports whether a supersedes b, given that both have the same origin.
func newer(a, b *Register) bool { return a.Start > b.Start || a.Start == b.Start && a.Seq > b.Seq }

// heldRegister is a register held by this member.
type heldRegister struct {
	Register
	publishedAt control.Micros // latest possible time of publication, by this member's clock
}

// ownRegister is a register of which this member is the origin.
type ownRegister struct {
	heldRegister
	handedOverAt control.Micros // time when Due last returned it
	changed      bool
}

// Replica holds the registers of one member. It is not safe for concurrent use.
type Replica struct {
	self            string
	start           uint64
	specs           map[Topic]Spec
	own             map[Topic]*ownRegister
	others          map[Topic]map[string]*heldRegister
	acceptedCount   int64
	supersededCount int64
}

// New returns the empty replica of the member named self, whose process has the given start. Topics without a spec are ignored, so
// that an older build can run beside a newer one with more topics.
func New(self string, start uint64, specs map[Topic]Spec) *Replica {
	b := &Replica{self: self, start: start, specs: specs, own: map[Topic]*ownRegister{}, others: map[Topic]map[string]*heldRegister{}}
	for t := range specs {
		b.others[t] = map[string]*heldRegister{}
	}
	return b
}

// Put sets this member's own value under a topic. The replica keeps a reference to the slice. Errors are *Unset and *TooLarge.
func (b *Replica) Put(now control.Micros, t Topic, value []byte) error {
	spec, ok := b.specs[t]
	if !ok {
		return &Unset{t}
	}
	if len(value) > spec.MaxBytes {
		return &TooLarge{t, b.self, len(value), spec.MaxBytes}
	}
	register := b.own[t]
	if register == nil {
		register = &ownRegister{heldRegister: heldRegister{Register: Register{Topic: t, Origin: b.self, Start: b.start}}, handedOverAt: now - spec.RefreshInterval}
		b.own[t] = register
	}
	// The sequence number counts sent values, so a value that was not sent yet is replaced without a new number. An equal value
	// renews the publication time and is sent again after RefreshInterval.
	if !register.changed && !slices.Equal(register.Value, value) {
		register.changed = true
	}
	register.Value, register.publishedAt = value, now
	return nil
}

// Due returns this member's registers that are to be sent now, in a fleet of the given size: changed ones at the pace of their
// topic, the others after RefreshInterval.
func (b *Replica) Due(now control.Micros, members int) (due []Register) {
	for _, t := range b.topics() {
		register, spec := b.own[t], b.specs[t]
		if register == nil {
			continue
		}
		interval := control.Micros(max(1, float64(members)/membersAtFullPace) * float64(spec.MinInterval))
		since := now - register.handedOverAt
		if !(register.changed && since >= interval || since >= max(interval, spec.RefreshInterval)) {
			continue
		}
		register.Seq++
		register.handedOverAt, register.changed = now, false
		due = append(due, register.copy(now))
	}
	return due
}

// copy returns the register with its age as of now.
func (h *heldRegister) copy(now control.Micros) Register {
	r := h.Register
	r.Age = max(0, now-h.publishedAt)
	return r
}

// topics returns the topics in order.
func (b *Replica) topics() []Topic { return slices.Sorted(maps.Keys(b.specs)) }

// Merge applies a received register. It reports whether the register is new, so that it is to be passed on. Topics without a
// spec are ignored without an error, since a newer build may have more. Errors are *BadOrigin, *TooLarge, *Doubled and
// *Crowded.
func (b *Replica) Merge(now control.Micros, r Register) (isNew bool, err error) {
	spec, ok := b.specs[r.Topic]
	if !ok {
		return false, nil
	}
	switch {
	case r.Origin == "" || len(r.Origin) > maxNameLength:
		return false, &BadOrigin{len(r.Origin)}
	case len(r.Value) > spec.MaxBytes:
		return false, &TooLarge{r.Topic, r.Origin, len(r.Value), spec.MaxBytes}
	case r.Origin == b.self && r.Start > b.start:
		return false, &Doubled{r.Origin, r.Start, b.start}
	case r.Origin == b.self || r.Age < 0 || r.Age > spec.MaxAge:
		return false, nil // from an earlier process of this member, or with an age at which no member counts it
	}
	published := now - r.Age
	held := b.others[r.Topic][r.Origin]
	switch {
	case held == nil:
		if len(b.others[r.Topic]) >= maxOrigins {
			return false, &Crowded{r.Origin, maxOrigins}
		}
	case newer(&r, &held.Register):
	default:
		b.supersededCount++
		if r.Start == held.Start && r.Seq == held.Seq {
			held.publishedAt = min(held.publishedAt, published)
		}
		return false, nil
	}
	r.Age = 0
	b.others[r.Topic][r.Origin] = &heldRegister{r, published}
	b.acceptedCount++
	return true, nil
}

// State returns all registers that are not stale, for Merge at another member.
func (b *Replica) State(now control.Micros) (all []Register) {
	for _, t := range b.topics() {
		if register := b.own[t]; register != nil && register.Seq > 0 && !register.changed && now-register.publishedAt <= b.specs[t].MaxAge {
			all = append(all, register.copy(now))
		}
		for _, name := range b.origins(t) {
			if held := b.others[t][name]; now-held.publishedAt <= b.specs[t].MaxAge {
				all = append(all, held.copy(now))
			}
		}
	}
	return all
}

// origins returns the other members with a register under a topic, sorted by name.
func (b *Replica) origins(t Topic) []string { return slices.Sorted(maps.Keys(b.others[t])) }

// Read returns the registers that count under a topic now, sorted by origin. These are this member's own and those of origins
// that up reports to be up with that start; none is older than MaxAge.
func (b *Replica) Read(now control.Micros, t Topic, up func(origin string, start uint64) bool) (all []Register) {
	stale := b.specs[t].MaxAge
	if register := b.own[t]; register != nil && now-register.publishedAt <= stale {
		all = append(all, register.copy(now))
	}
	for _, name := range b.origins(t) {
		if held := b.others[t][name]; now-held.publishedAt <= stale && up(name, held.Start) {
			all = append(all, held.copy(now))
		}
	}
	slices.SortFunc(all, func(a, b Register) int { return cmp.Compare(a.Origin, b.Origin) })
	return all
}

// Prune deletes registers that have been stale for long, so that names of former members use no memory. Copies that still
// circulate are older than MaxAge and are not accepted again.
func (b *Replica) Prune(now control.Micros) {
	for t, all := range b.others {
		for name, held := range all {
			if now-held.publishedAt > 4*b.specs[t].MaxAge {
				delete(all, name)
			}
		}
	}
}

// Counts returns the number of received registers that were new, and of those that were duplicates or superseded.
func (b *Replica) Counts() (accepted, superseded int64) { return b.acceptedCount, b.supersededCount }
