// Package registers keeps what the gatekeepers of a fleet publish to each other: one register for each topic and origin, of which
// the newest wins, by the origin's start and the sequence within it. That is a state-based CRDT (a map of last-writer-wins
// registers with a single writer each): merging is commutative, associative and idempotent, so gossip in any order, twice or
// late never counts a thing twice. It does no I/O and reads no clock.
//
// Ages. A register carries how old it is at least: its age when it was sent. Time on the wire is not in it, so a register is
// never younger than it is held to be by more than that time; of two copies of one register the older age is the truer one.
// What is older than its topic's Stale no longer counts, and neither does what a member that is not up has said.
package registers

import (
	"cmp"
	"maps"
	"slices"

	"beammux/control"
)

// Topic names what a register is about. Numbers are part of the wire and never used again.
type Topic uint8

// The topics.
const (
	Rates    Topic = 1 // calls a second by outcome and class
	Limits   Topic = 2 // demand under shared limits
	Evidence Topic = 3 // of servers, numbers and callers
	Ranges   Topic = 4 // where in the number range load lies
	Numbers  Topic = 5 // whose lines are all busy
	Callers  Topic = 6 // that send what can't be read
)

var topicNames = map[Topic]string{Rates: "rates", Limits: "limits", Evidence: "evidence", Ranges: "ranges", Numbers: "numbers", Callers: "callers"}

func (t Topic) String() string {
	if name, ok := topicNames[t]; ok {
		return name
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler.
func (t Topic) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// Spec bounds a topic.
type Spec struct {
	MaxBytes        int            // most of a value
	MinInterval     control.Micros // least time between changes that are sent, times the members by membersAtFullPace
	RefreshInterval control.Micros // an unchanged value is sent again after this, since silence must not pass for no change
	MaxAge          control.Micros // a register of this age no longer counts
}

// Bounds of a book.
const (
	maxOrigins        = 1024 // of others, for each topic
	maxNameLength     = 64   // bytes of an origin's name
	membersAtFullPace = 16   // up to so many members publish at a topic's full pace; of more, each does so less often
)

// Register is the state of one origin under one topic.
type Register struct {
	Topic  Topic
	Origin string
	Start  uint64         // of the origin's process: a later start wins over any sequence of an earlier one
	Seq    uint64         // counts the origin's values under the topic, from 1
	Age    control.Micros // at least so old when it was handed over
	Value  []byte
}

// newer tells whether a comes after b from the same origin.
func newer(a, b *Register) bool { return a.Start > b.Start || a.Start == b.Start && a.Seq > b.Seq }

type received struct {
	Register
	publishedAt control.Micros // at the latest, by this member's clock
}

type ownRegister struct {
	received
	handedOverAt control.Micros // when it was last handed over
	changed      bool
}

// Replica holds the registers of one member. It is not safe for concurrent use.
type Replica struct {
	self     string
	start    uint64
	specs    map[Topic]Spec
	own      map[Topic]*ownRegister
	others   map[Topic]map[string]*received
	newCount int64
	oldCount int64
}

// New makes the book of a member. Topics that are not in specs are not kept: a member of an older build passes over them.
func New(self string, start uint64, specs map[Topic]Spec) *Replica {
	b := &Replica{self: self, start: start, specs: specs, own: map[Topic]*ownRegister{}, others: map[Topic]map[string]*received{}}
	for t := range specs {
		b.others[t] = map[string]*received{}
	}
	return b
}

// Put sets this member's own value under a topic. The book keeps the slice.
func (b *Replica) Put(now control.Micros, t Topic, value []byte) error {
	spec, ok := b.specs[t]
	if !ok {
		return &Unset{t}
	}
	if len(value) > spec.MaxBytes {
		return &TooLarge{t, b.self, len(value), spec.MaxBytes}
	}
	o := b.own[t]
	if o == nil {
		o = &ownRegister{received: received{Register: Register{Topic: t, Origin: b.self, Start: b.start}}, handedOverAt: now - spec.RefreshInterval}
		b.own[t] = o
	}
	// The sequence counts what is sent: a value that was not sent yet is replaced in its place. A value that is put again is
	// as fresh as a new one, and is sent again at Refresh.
	if !o.changed && !slices.Equal(o.Value, value) {
		o.changed = true
	}
	o.Value, o.publishedAt = value, now
	return nil
}

// Due returns the own registers to be sent now in a fleet of so many members: changed ones at their topic's pace, the others
// after Refresh.
func (b *Replica) Due(now control.Micros, members int) (due []Register) {
	for _, t := range b.topics() {
		o, spec := b.own[t], b.specs[t]
		if o == nil {
			continue
		}
		interval := control.Micros(max(1, float64(members)/membersAtFullPace) * float64(spec.MinInterval))
		since := now - o.handedOverAt
		if !(o.changed && since >= interval || since >= max(interval, spec.RefreshInterval)) {
			continue
		}
		o.Seq++
		o.handedOverAt, o.changed = now, false
		due = append(due, o.copy(now))
	}
	return due
}

func (h *received) copy(now control.Micros) Register {
	r := h.Register
	r.Age = max(0, now-h.publishedAt)
	return r
}

func (b *Replica) topics() []Topic { return slices.Sorted(maps.Keys(b.specs)) }

// Merge takes a received register. It returns whether that is new, and to be passed on. Topics that the book does not carry
// are ignored without an error: a newer build may have more.
func (b *Replica) Merge(now control.Micros, r Register) (news bool, err error) {
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
		return false, nil // of an earlier process of this name; or nobody counts it any more
	}
	at := now - r.Age
	h := b.others[r.Topic][r.Origin]
	switch {
	case h == nil:
		if len(b.others[r.Topic]) >= maxOrigins {
			return false, &Crowded{r.Origin, maxOrigins}
		}
	case newer(&r, &h.Register):
	default:
		b.oldCount++
		if r.Start == h.Start && r.Seq == h.Seq {
			h.publishedAt = min(h.publishedAt, at)
		}
		return false, nil
	}
	r.Age = 0
	b.others[r.Topic][r.Origin] = &received{r, at}
	b.newCount++
	return true, nil
}

// State returns every register that still counts by its age, for another member's Merge.
func (b *Replica) State(now control.Micros) (all []Register) {
	for _, t := range b.topics() {
		if o := b.own[t]; o != nil && o.Seq > 0 && !o.changed && now-o.publishedAt <= b.specs[t].MaxAge {
			all = append(all, o.copy(now))
		}
		for _, name := range b.origins(t) {
			if h := b.others[t][name]; now-h.publishedAt <= b.specs[t].MaxAge {
				all = append(all, h.copy(now))
			}
		}
	}
	return all
}

func (b *Replica) origins(t Topic) []string { return slices.Sorted(maps.Keys(b.others[t])) }

// Read returns what counts under a topic now: the own value, and those of members that are up with that start and not older
// than Stale; by origin.
func (b *Replica) Read(now control.Micros, t Topic, up func(origin string, start uint64) bool) (all []Register) {
	stale := b.specs[t].MaxAge
	if o := b.own[t]; o != nil && now-o.publishedAt <= stale {
		all = append(all, o.copy(now))
	}
	for _, name := range b.origins(t) {
		if h := b.others[t][name]; now-h.publishedAt <= stale && up(name, h.Start) {
			all = append(all, h.copy(now))
		}
	}
	slices.SortFunc(all, func(a, b Register) int { return cmp.Compare(a.Origin, b.Origin) })
	return all
}

// Prune drops what has long ceased to count, so that names of the past use no memory. Copies of it that still circulate are
// older than Stale and are not accepted again.
func (b *Replica) Prune(now control.Micros) {
	for t, all := range b.others {
		for name, h := range all {
			if now-h.publishedAt > 4*b.specs[t].MaxAge {
				delete(all, name)
			}
		}
	}
}

// Counts returns how many received registers were new, and how many were duplicates or late.
func (b *Replica) Counts() (news, old int64) { return b.newCount, b.oldCount }
