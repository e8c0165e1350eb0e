// Package fleetview is one gatekeeper's view of its fleet: who is a member, in which zone, in what state, and what each
// sees of the menu servers. It does no I/O and reads no clock: events in, changes out. What tells the events (gossip, by
// SWIM with suspicion and incarnation numbers) is package fleet's.
//
// What a member says of a server is a hint. It is kept here for decisions of the fleet; the module's own rules on cold and
// gated servers never give way to it, and nothing here reaches the module.
package fleetview

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"

	"beammux/control"
)

// State is what a member says of itself.
type State uint8

// The states.
const (
	Starting State = iota
	Ready
	Draining // evacuated: it sends its clients away
	Leaving  // it ends as planned
)

var stateNames = [...]string{"starting", "ready", "draining", "leaving"}

func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Health is what the fleet holds of a member.
type Health uint8

// The healths.
const (
	Alive   Health = iota
	Suspect        // it did not answer this member's probe; it may refute
	Dead           // it did not refute in time
	Left           // it said that it leaves
)

var healthNames = [...]string{"alive", "suspect", "dead", "left"}

// AllHealths are all of them, in order.
var AllHealths = []Health{Alive, Suspect, Dead, Left}

func (h Health) String() string {
	if int(h) >= len(healthNames) {
		return "unknown"
	}
	return healthNames[h]
}

// MarshalText implements encoding.TextMarshaler.
func (h Health) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// Up tells whether a member counts as one that takes part: alive, or suspected and not yet given up.
func (h Health) Up() bool { return h == Alive || h == Suspect }

// Summary is what a member sees of one menu server.
type Summary struct {
	Server uint32         `cbor:"1,keyasint" json:"server"`
	Level  int            `cbor:"2,keyasint" json:"level"`  // congestion level, 0 to 4; it is gated at 2 or more
	Age    control.Micros `cbor:"3,keyasint" json:"age_us"` // since the member heard of the server, as of the summary's time
}

// Member is one gatekeeper as this one knows it.
type Member struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Program string `json:"program"`  // version of the program
	Start   uint64 `json:"start_ms"` // Unix ms of its start: a later one under the same name is a new member
	Seq     uint64 `json:"seq"`      // counts what it has said of itself since its start
	State   State  `json:"state"`
	Address string `json:"address"`

	Health     Health         `json:"health"`
	Since      control.Micros `json:"since_us"` // of its health
	Servers    []Summary      `json:"servers"`
	ServersSeq uint64         `json:"servers_seq"`
	ServersAt  control.Micros `json:"servers_at_us"`
}

// Kind tells what an event is.
type Kind uint8

// The kinds, with the fields of Event that each uses beside Name.
const (
	EventAlive         Kind = iota + 1 // Member: it is alive, and says this of itself
	EventSuspected                     // its probe was not answered
	EventProbeAnswered                 // it answered a probe
	EventDead                          // the fleet has given it up
	EventLeft                          // it left
	EventSummaries                     // Member.Start, ToldSeq, Servers: what it sees of servers
	EventLocalState                    // Member.State, Servers: what this member says of itself
	EventTick                          // time has passed
)

// Event is something that this member received or noticed.
type Event struct {
	Kind   Kind
	Name   string
	Member Member
}

// Change is one change of the view: who became what. Reaped members are gone from it.
type Change struct {
	Name   string
	Health Health
	State  State
	Reaped bool
	Joined bool // it was not known, or comes back with a new start
}

// View is the view of one member. It is not safe for use by several goroutines.
type View struct {
	self    string
	reap    control.Micros
	members map[string]*Member
	version uint64
}

// New makes the view of a member that knows itself alone; dead members and those that left are forgotten after reap.
func New(self Member, now, reap control.Micros) *View {
	v := &View{self: self.Name, reap: reap, members: map[string]*Member{}, version: 1}
	self.Health, self.Since = Alive, now
	v.members[self.Name] = &self
	return v
}

// Apply takes one event and gives what it changed.
func (v *View) Apply(now control.Micros, e Event) []Change {
	if e.Kind == EventTick {
		return v.tick(now)
	}
	m := v.members[e.Name]
	if e.Name == v.self && e.Kind != EventLocalState {
		return nil // what others say of this member is refuted, not believed
	}
	switch e.Kind {
	case EventLocalState:
		return v.own(now, m, e)
	case EventAlive:
		return v.met(now, m, e)
	case EventSummaries:
		if m != nil && e.Member.Start == m.Start && e.Member.ServersSeq > m.ServersSeq {
			m.ServersSeq, m.ServersAt, m.Servers = e.Member.ServersSeq, now, slices.Clone(e.Member.Servers)
		}
		return nil
	}
	if m == nil {
		return nil
	}
	to := map[Kind]Health{EventSuspected: Suspect, EventProbeAnswered: Alive, EventDead: Dead, EventLeft: Left}[e.Kind]
	if e.Kind == EventSuspected && m.Health != Alive || e.Kind == EventProbeAnswered && m.Health != Suspect ||
		(e.Kind == EventDead || e.Kind == EventLeft) && !m.Health.Up() {
		return nil // a dead member comes back by Met alone
	}
	return v.turn(now, m, to, false)
}

func (v *View) own(now control.Micros, m *Member, e Event) []Change {
	m.ServersAt, m.Servers = now, slices.Clone(e.Member.Servers)
	m.ServersSeq++
	if m.State == e.Member.State {
		return nil
	}
	m.State = e.Member.State
	m.Seq++
	v.version++
	return []Change{{Name: m.Name, Health: m.Health, State: m.State}}
}

// met takes what a member says of itself. Only what is newer counts: a later start, or more said since the same start. A
// member that was given up and is met again is alive again.
func (v *View) met(now control.Micros, m *Member, e Event) []Change {
	n := e.Member
	n.Name = e.Name
	switch {
	case m == nil || n.Start > m.Start:
		n.Health, n.Since, n.Servers, n.ServersSeq, n.ServersAt = Alive, now, nil, 0, 0
		v.members[e.Name] = &n
		v.version++
		return []Change{{Name: n.Name, Health: Alive, State: n.State, Joined: true}}
	case n.Start < m.Start:
		return nil
	}
	if m.Health != Alive {
		changes := v.turn(now, m, Alive, false)
		v.said(m, n)
		changes[0].State = m.State
		return changes
	}
	if !v.said(m, n) {
		return nil
	}
	v.version++
	return []Change{{Name: m.Name, Health: m.Health, State: m.State}}
}

// said takes what a member newly says of itself, and tells whether that changes the view.
func (v *View) said(m *Member, n Member) bool {
	if n.Seq <= m.Seq {
		return false
	}
	moved := m.State != n.State || m.Zone != n.Zone || m.Region != n.Region || m.Program != n.Program
	m.Seq, m.State, m.Zone, m.Region, m.Program, m.Address = n.Seq, n.State, n.Zone, n.Region, n.Program, n.Address
	return moved
}

func (v *View) turn(now control.Micros, m *Member, to Health, reaped bool) []Change {
	m.Health, m.Since = to, now
	v.version++
	return []Change{{Name: m.Name, Health: to, State: m.State, Reaped: reaped}}
}

func (v *View) tick(now control.Micros) (changes []Change) {
	for _, name := range v.names() {
		if m := v.members[name]; !m.Health.Up() && now-m.Since >= v.reap {
			delete(v.members, name)
			v.version++
			changes = append(changes, Change{Name: name, Health: m.Health, State: m.State, Reaped: true})
		}
	}
	return changes
}

func (v *View) names() []string {
	names := make([]string, 0, len(v.members))
	for name := range v.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Version counts the changes of this member's view, itself included. Versions of two members say nothing of each other.
func (v *View) Version() uint64 { return v.version }

// Hash is the same for two members that agree on who is up, where and in what state. What is merely suspected, who is dead,
// and what is said of servers is not in it: those differ from member to member and moment to moment.
func (v *View) Hash() uint64 {
	h := fnv.New64a()
	var n [8]byte
	text := func(s string) {
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	for _, name := range v.names() {
		m := v.members[name]
		if !m.Health.Up() {
			continue
		}
		for _, s := range []string{m.Name, m.Zone, m.Region, m.Program} {
			text(s)
		}
		binary.BigEndian.PutUint64(n[:], m.Start)
		h.Write(n[:])
		h.Write([]byte{byte(m.State)})
	}
	return h.Sum64()
}

// Members gives copies of all members, sorted by name.
func (v *View) Members() []Member {
	out := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		c := *m
		c.Servers = slices.Clone(m.Servers)
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// ForEachUp hands each member that is up to f, which must not keep or change it.
func (v *View) ForEachUp(f func(*Member)) {
	for _, m := range v.members {
		if m.Health.Up() {
			f(m)
		}
	}
}

// Self gives this member.
func (v *View) Self() Member { return *v.members[v.self] }

// Count gives how many members are of a health.
func (v *View) Count(h Health) (n int) {
	for _, m := range v.members {
		if m.Health == h {
			n++
		}
	}
	return n
}

// DeadAddresses gives the addresses of members that are dead and not yet forgotten: who was cut off from them tries them again. One
// that left is not waited for.
func (v *View) DeadAddresses() (addresses []string) {
	for _, name := range v.names() {
		if m := v.members[name]; m.Health == Dead && m.Address != "" {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}
