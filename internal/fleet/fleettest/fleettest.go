// Package fleettest provides an in-process gossip for tests, in which members see each other's values immediately.
package fleettest

import (
	"sync"

	"beammux/control/registers"
)

// Gossip holds the published value of each member. The zero value is empty and ready to use.
type Gossip struct {
	mu      sync.Mutex
	values  map[string][]byte
	members []string
}

// SetValue sets the value of a member; it is used for every topic.
func (g *Gossip) SetValue(name string, value []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.values == nil {
		g.values = map[string][]byte{}
	}
	g.values[name] = value
}

// SetUp sets the names of the members that are up.
func (g *Gossip) SetUp(names ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members = names
}

// Member returns the gossip as seen by the named member.
func (g *Gossip) Member(name string) Member { return Member{g, name} }

// Member is one member of a Gossip. It stands in for *fleet.Fleet.
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

// UpNames returns the names of the members that are up.
func (m Member) UpNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members
}

// UpCount returns the number of members that are up.
func (m Member) UpCount() int { return len(m.UpNames()) }
