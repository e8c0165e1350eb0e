// Package fleettest is a gossip for tests, in which members of one process receive each other's values at once.
package fleettest

import (
	"sync"

	"beammux/control/registers"
)

// Gossip holds the values of all members. The zero value has none.
type Gossip struct {
	mu      sync.Mutex
	values  map[string][]byte
	members []string
}

// SetValue sets the value of a member, for all topics.
func (g *Gossip) SetValue(name string, value []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.values == nil {
		g.values = map[string][]byte{}
	}
	g.values[name] = value
}

// SetUp names the members that are up.
func (g *Gossip) SetUp(names ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members = names
}

// Member is one member's end.
func (g *Gossip) Member(name string) Member { return Member{g, name} }

// Member is one member's end of a Gossip, as *fleet.Fleet is of the real one.
type Member struct {
	*Gossip
	name string
}

// Publish sets the value of this member.
func (m Member) Publish(_ registers.Topic, value []byte) error {
	m.SetValue(m.name, value)
	return nil
}

// Read returns the values of all members, with age 0.
func (m Member) Read(t registers.Topic) (all []registers.Register) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, v := range m.values {
		all = append(all, registers.Register{Topic: t, Origin: name, Value: v})
	}
	return all
}

// UpNames returns the members that are up.
func (m Member) UpNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members
}

// UpCount counts them.
func (m Member) UpCount() int { return len(m.UpNames()) }
