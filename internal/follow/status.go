package follow

import (
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control/scope"
	"beammux/internal/store"
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
	// RestoredFromDir tells that what is in force comes from Dir, and that there was no session since the start.
	RestoredFromDir bool      `json:"kept,omitempty"`
	Sections        []Section `json:"sections"` // in force
	Refused         *Refused  `json:"refused,omitempty"`
	// Fleet is what the control machines last said of all gatekeepers; nil: nothing yet.
	Fleet *store.FleetCounts `json:"fleet,omitempty"`
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

// setWord notes that a control machine with word from its leader at a time said that what is held is current.
func (f *Follower) setWord(at time.Time, fleet *store.FleetCounts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.wordAt) {
		f.wordAt = at
	}
	if fleet != nil {
		f.status.Fleet = fleet
	}
}

// word is when a control machine with a leader last said that what is held is current; zero: never.
func (f *Follower) word() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wordAt
}

// publish brings the status up to date, and logs when the session has changed.
func (f *Follower) publish() {
	replica, connected := f.machine.Current()
	f.mu.Lock()
	s := &f.status
	wasConnected, was := s.Connected, s.Replica
	s.InForce, s.Since, s.Sections = f.settings.inForce.Revision, f.settings.since, f.settings.listed
	s.Seen = f.machine.HighestRevision()
	s.Connected, s.Replica = connected, replica.Name
	s.Fault, s.Advice = f.fault, f.advice
	if connected {
		s.Fault, s.Advice, s.RestoredFromDir = "", "", false
	}
	if f.disk != nil {
		s.DirFault = f.disk.fault
	}
	s.Refused = f.settings.refused.status()
	f.mu.Unlock()
	switch {
	case connected && (!wasConnected || was != replica.Name):
		f.log.WithFields(logrus.Fields{"replica": replica.Name, "revision": f.machine.HighestRevision()}).Info("settings are followed")
	case !connected && wasConnected:
		f.log.WithFields(logrus.Fields{"replica": was, "fault": f.fault, "advice": f.advice}).
			Warn("no control machine is connected: settings stay as they are")
	}
}

// status is a refusal as the status tells it.
func (r *refusal) status() *Refused {
	if r == nil {
		return nil
	}
	return &Refused{r.Revision, r.Fault, r.Advice}
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
