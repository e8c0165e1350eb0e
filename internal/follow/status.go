package follow

import (
	"time"

	"beammux/control/scope"
)

// Status is how a follower stands.
type Status struct {
	// InForce is the revision up to which what is in force is current; 0: nothing of the store is in force.
	InForce uint64 `json:"in_force"`
	// Seen is the highest revision that any control machine said to this gatekeeper, also before a restart with Dir.
	Seen uint64 `json:"seen"`
	// Since is when the sections in force were put in force; zero: never.
	Since time.Time `json:"since,omitzero"`
	// Age is the time since a control machine with a leader last said that what is held is current; -1: never.
	Age time.Duration `json:"age_ns"`
	// Connected tells whether there is a session, and Replica with which control machine.
	Connected bool   `json:"connected"`
	Replica   string `json:"replica,omitempty"`
	// Kept tells that what is in force comes from Dir and no control machine has confirmed it since the start.
	Kept     bool      `json:"kept,omitempty"`
	Sections []Section `json:"sections"`
	Refused  *Refused  `json:"refused,omitempty"`
	// Fleet is what the control machines last said of all gatekeepers; nil: nothing yet.
	Fleet *FleetCounts `json:"fleet,omitempty"`
	// Fault is why there is no session, and Advice what an operator can do about it.
	Fault  string `json:"fault,omitempty"`
	Advice string `json:"advice,omitempty"`
	// DirFault is what is wrong with Dir.
	DirFault string `json:"dir_fault,omitempty"`
}

// Section is the record of a section in force.
type Section struct {
	Section  string `json:"section"`
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Refused is a candidate that was not put in force.
type Refused struct {
	Revision uint64 `json:"revision"`
	Fault    string `json:"fault"`
	Advice   string `json:"advice,omitempty"`
}

// Status tells how the follower stands. Safe for concurrent use.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.status
	s.Age = -1
	if !f.wordAt.IsZero() {
		s.Age = max(0, time.Since(f.wordAt))
	}
	return s
}

// publish brings the status up to date with the machine and the settings.
func (f *Follower) publish() {
	replica, connected := f.machine.Current()
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.status
	s.InForce, s.Since = f.settings.inForce.Revision, f.settings.since
	s.Seen = f.machine.Seen()
	s.Connected, s.Replica = connected, replica.Name
	if connected {
		s.Fault, s.Advice, s.Kept = "", "", false
	}
	if f.disk != nil {
		s.DirFault = f.disk.fault
	}
	s.Sections = sectionsOf(f.settings.inForce)
	s.Refused = nil
	if r := f.settings.refused; r != nil {
		s.Refused = &Refused{r.Revision, r.Fault, r.Advice}
	}
}

// sectionsOf lists the sections of a candidate in the order of scope.Sections.
func sectionsOf(c Candidate) []Section {
	list := []Section{}
	for _, name := range scope.Sections() {
		if r, ok := c.Sections[name]; ok {
			list = append(list, Section{name, r.Key, r.Revision})
		}
	}
	return list
}
