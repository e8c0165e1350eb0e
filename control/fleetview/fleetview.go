// Package fleetview holds one gatekeeper's view of its fleet: the members, their zones and states, and what each member
// reports about the menu servers. It does no I/O and reads no clock: events go in, changes come out. The events are
// produced by package fleet (gossip by SWIM with suspicion and incarnation numbers).
//
// A member's report about a server is a hint. It is kept here for decisions of the fleet; it never overrides the module's
// own rules on cold and gated servers, and nothing in this package reaches the module.
package fleetview

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"

	"beammux/control"
)

// State is the state that a member reports of itself.
type State uint8

// The states of a member.
const (
	Starting State = iota
	Ready
	Draining // evacuated: the member sends its clients away
	Leaving  // the member is shutting down as planned
)

var stateNames = [...]string{"starting", "ready", "draining", "leaving"}

// String returns the name of the state.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Health is the health of a member as judged by the fleet.
type Health uint8

// The healths of a member.
const (
	Alive   Health = iota
	Suspect        // the member did not answer a probe of this member; it may refute the suspicion
	Dead           // the member did not refute the suspicion in time
	Left           // the member announced that it leaves
)

var healthNames = [...]string{"alive", "suspect", "dead", "left"}

// AllHealths lists all healths, in order.
var AllHealths = []Health{Alive, Suspect, Dead, Left}

// String returns the name of the health.
func (h Health) String() string {
	if int(h) >= len(healthNames) {
		return "unknown"
	}
	return healthNames[h]
}

// MarshalText implements encoding.TextMarshaler.
func (h Health) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// Up reports whether a member with this health takes part in the fleet: it is alive, or suspected and not yet declared
// dead.
func (h Health) Up() bool { return h == Alive || h == Suspect }

// Summary is what a member reports about one menu server.
type Summary struct {
	Server uint32         `cbor:"1,keyasint" json:"server"`
	Level  int            `cbor:"2,keyasint" json:"level"`  // congestion level, 0 to 4; the server is gated at 2 or more
	Age    control.Micros `cbor:"3,keyasint" json:"age_us"` // time since the member last received data about the server, when the summary was made
}

// Member is one gatekeeper as seen by this one.
type Member struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Program string `json:"program"`  // version of the program
	Start   uint64 `json:"start_ms"` // start time in Unix ms; a later start under the same name is a new member
	Seq     uint64 `json:"seq"`      // sequence number of its own metadata since its start
	State   State  `json:"state"`
	Address string `json:"address"`

	Health     Health         `json:"health"`
	Since      control.Micros `json:"since_us"` // when the health last changed
	Servers    []Summary      `json:"servers"`
	ServersSeq uint64         `json:"servers_seq"`
	ServersAt  control.Micros `json:"servers_at_us"`
}

// Kind is the kind of an event.
type Kind uint8

// The kinds of events. The comments name the fields of Event that each uses besides Name.
const (
	EventAlive         Kind = iota + 1 // the member is alive; Member: its own metadata
	EventSuspected                     // the member did not answer a probe
	EventProbeAnswered                 // the member answered a probe
	EventDead                          // the fleet has declared the member dead
	EventLeft                          // the member left
	EventSummaries                     // the member published summaries; Member.Start, ServersSeq, Servers
	EventLocalState                    // state of the local member; Member.State, Servers
	EventTick                          // time has passed
)

// Event is an event that this member received or detected.
type Event struct {
	Kind   Kind
	Name   string
	Member Member
}

// Change is one change of the view. A reaped member is no longer part of the view.
type Change struct {
	Name   string
	Health Health
	State  State
	Reaped bool
	Joined bool // the member was unknown or has returned with a new start
}

// View is the view of one member. It is not safe for concurrent use.
type View struct {
	self      string
	reapAfter control.Micros
	members   map[string]*Member
	version   uint64
}

// New returns the view of a member that knows only itself. Dead members and members that left are forgotten after
// reapAfter.
func New(self Member, now, reapAfter control.Micros) *View {
	v := &View{self: self.Name, reapAfter: reapAfter, members: map[string]*Member{}, version: 1}
	self.Health, self.Since = Alive, now
	v.members[self.Name] = &self
	return v
}

// Apply processes one event and returns the resulting changes.
func (v *View) Apply(now control.Micros, e Event) []Change {
	if e.Kind == EventTick {
		return v.tick(now)
	}
	m := v.members[e.Name]
	if e.Name == v.self && e.Kind != EventLocalState {
		return nil // reports of others about this member are refuted, not applied
	}
	switch e.Kind {
	case EventLocalState:
		return v.applyLocalState(now, m, e)
	case EventAlive:
		return v.applyAlive(now, m, e)
	case EventSummaries:
		if m != nil && e.Member.Start == m.Start && e.Member.ServersSeq > m.ServersSeq {
			m.ServersSeq, m.ServersAt, m.Servers = e.Member.ServersSeq, now, slices.Clone(e.Member.Servers)
		}
		return nil
	}
	if m == nil {
		return nil
	}
	health := map[Kind]Health{EventSuspected: Suspect, EventProbeAnswered: Alive, EventDead: Dead, EventLeft: Left}[e.Kind]
	if e.Kind == EventSuspected && m.Health != Alive || e.Kind == EventProbeAnswered && m.Health != Suspect ||
		(e.Kind == EventDead || e.Kind == EventLeft) && !m.Health.Up() {
		return nil // only EventAlive revives a dead member
	}
	return v.setHealth(now, m, health, false)
}

// applyLocalState applies the state and the server summaries of this member itself.
func (v *View) applyLocalState(now control.Micros, m *Member, e Event) []Change {
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

// applyAlive applies a member's own metadata. Only newer metadata counts: that of a later start, or with a higher
// sequence number of the same start. A dead member is alive again.
func (v *View) applyAlive(now control.Micros, m *Member, e Event) []Change {
	received := e.Member
	received.Name = e.Name
	switch {
	case m == nil || received.Start > m.Start:
		received.Health, received.Since, received.Servers, received.ServersSeq, received.ServersAt = Alive, now, nil, 0, 0
		v.members[e.Name] = &received
		v.version++
		return []Change{{Name: received.Name, Health: Alive, State: received.State, Joined: true}}
	case received.Start < m.Start:
		return nil
	}
	if m.Health != Alive {
		changes := v.setHealth(now, m, Alive, false)
		v.updateMetadata(m, received)
		changes[0].State = m.State
		return changes
	}
	if !v.updateMetadata(m, received) {
		return nil
	}
	v.version++
	return []Change{{Name: m.Name, Health: m.Health, State: m.State}}
}

// updateMetadata applies newer metadata of a member and reports whether this changes the view.
func (v *View) updateMetadata(m *Member, received Member) bool {
	if received.Seq <= m.Seq {
		return false
	}
	viewChanged := m.State != received.State || m.Zone != received.Zone || m.Region != received.Region || m.Program != received.Program
	m.Seq, m.State, m.Zone, m.Region, m.Program, m.Address = received.Seq, received.State, received.Zone, received.Region, received.Program, received.Address
	return viewChanged
}

// setHealth sets the health of a member and returns the change.
func (v *View) setHealth(now control.Micros, m *Member, health Health, reaped bool) []Change {
	m.Health, m.Since = health, now
	v.version++
	return []Change{{Name: m.Name, Health: health, State: m.State, Reaped: reaped}}
}

// tick forgets members that have been dead or gone for reapAfter.
func (v *View) tick(now control.Micros) (changes []Change) {
	for _, name := range v.names() {
		if m := v.members[name]; !m.Health.Up() && now-m.Since >= v.reapAfter {
			delete(v.members, name)
			v.version++
			changes = append(changes, Change{Name: name, Health: m.Health, State: m.State, Reaped: true})
		}
	}
	return changes
}

// names returns the names of all members, sorted.
func (v *View) names() []string {
	names := make([]string, 0, len(v.members))
	for name := range v.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Version returns the number of changes of this view, including the initial one. Versions of different members' views are
// not comparable.
func (v *View) Version() uint64 { return v.version }

// Hash returns a hash that is equal for two members whose views agree on which members are up, and on their places and
// states. Suspicions, dead members and server summaries are not included: they differ between members and change from
// moment to moment. Members of different versions compare it, so its input must not change.
func (v *View) Hash() uint64 {
	h := fnv.New64a()
	var buffer [8]byte
	writeString := func(s string) {
		binary.BigEndian.PutUint64(buffer[:], uint64(len(s)))
		h.Write(buffer[:])
		h.Write([]byte(s))
	}
	for _, name := range v.names() {
		m := v.members[name]
		if !m.Health.Up() {
			continue
		}
		for _, s := range []string{m.Name, m.Zone, m.Region, m.Program} {
			writeString(s)
		}
		binary.BigEndian.PutUint64(buffer[:], m.Start)
		h.Write(buffer[:])
		h.Write([]byte{byte(m.State)})
	}
	return h.Sum64()
}

// Members returns copies of all members, sorted by name.
func (v *View) Members() []Member {
	copies := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		c := *m
		c.Servers = slices.Clone(m.Servers)
		copies = append(copies, c)
	}
	slices.SortFunc(copies, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return copies
}

// ForEachUp calls f for each member that is up; f must not retain or modify it.
func (v *View) ForEachUp(f func(*Member)) {
	for _, m := range v.members {
		if m.Health.Up() {
			f(m)
		}
	}
}

// Self returns this member.
func (v *View) Self() Member { return *v.members[v.self] }

// Count returns the number of members with a given health.
func (v *View) Count(health Health) (n int) {
	for _, m := range v.members {
		if m.Health == health {
			n++
		}
	}
	return n
}

// DeadAddresses returns the addresses of members that are dead and not yet forgotten. A member that was partitioned from them
// tries to rejoin through these addresses. Members that left are not included.
func (v *View) DeadAddresses() (addresses []string) {
	for _, name := range v.names() {
		if m := v.members[name]; m.Health == Dead && m.Address != "" {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}
