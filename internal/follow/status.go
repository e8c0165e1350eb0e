package follow

import (
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control/scope"
	"beammux/internal/store"
)

// Status is the state of a follower.
type Status struct {
	// InForce is the revision up to which the settings in force are known to be current; 0 if no settings of the store are in
	// force.
	InForce uint64 `json:"in_force"`
	// Seen is the highest revision received from any control machine, including those before a restart if Options.Dir is set.
	Seen uint64 `json:"seen"`
	// Since is when the sections in force were put in force; the zero time if none ever were.
	Since time.Time `json:"since,omitzero"`
	// Age is the time since a control machine in contact with its leader last confirmed that the records are current; -1 if
	// none has.
	Age time.Duration `json:"age_ns"`
	// Connected reports whether there is a session. Replica names its control machine.
	Connected bool   `json:"connected"`
	Replica   string `json:"replica,omitempty"`
	// RestoredFromDir reports whether the settings in force were loaded from Options.Dir, and no session was established since the start.
	RestoredFromDir bool      `json:"kept,omitempty"`
	Sections        []Section `json:"sections"` // the sections in force
	Refused         *Refused  `json:"refused,omitempty"`
	// Fleet holds the counts over all gatekeepers that a control machine last reported; nil if none has.
	Fleet *store.FleetCounts `json:"fleet,omitempty"`
	// Fault is the reason why there is no session. Advice is what an operator can do about it.
	Fault  string `json:"fault,omitempty"`
	Advice string `json:"advice,omitempty"`
	// DirFault is the last error with a file of Options.Dir; the next successful write clears it.
	DirFault string `json:"dir_fault,omitempty"`
}

// Section identifies the record of a section in force.
type Section struct {
	Section  string `json:"section"`
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Refused describes a candidate that was not put in force.
type Refused struct {
	Revision uint64 `json:"revision"`
	Fault    string `json:"fault"`
	Advice   string `json:"advice,omitempty"`
}

// Status returns the state of the follower. It is safe for concurrent use.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.status
	s.Age = -1
	if !f.leaderContactTime.IsZero() {
		s.Age = max(0, time.Since(f.leaderContactTime))
	}
	return s
}

// recordLeaderContact records that the records were current at a time at which a control machine was in contact with its
// leader. counts are the counts of the fleet that came with this, or nil.
func (f *Follower) recordLeaderContact(contactTime time.Time, counts *store.FleetCounts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if contactTime.After(f.leaderContactTime) {
		f.leaderContactTime = contactTime
	}
	if counts != nil {
		f.status.Fleet = counts
	}
}

// lastLeaderContact returns the last time at which a control machine in contact with its leader confirmed that the records are
// current; the zero time if none has.
func (f *Follower) lastLeaderContact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaderContactTime
}

// updateStatus updates the status, and logs a change of the session.
func (f *Follower) updateStatus() {
	replica, connected := f.machine.Current()
	f.mu.Lock()
	s := &f.status
	wasConnected, previousReplica := s.Connected, s.Replica
	s.InForce, s.Since, s.Sections = f.settings.inForce.Revision, f.settings.since, f.settings.sectionList
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
	case connected && (!wasConnected || previousReplica != replica.Name):
		f.log.WithFields(logrus.Fields{"replica": replica.Name, "revision": f.machine.HighestRevision()}).Info("following settings from a control machine")
	case !connected && wasConnected:
		f.log.WithFields(logrus.Fields{"replica": previousReplica, "fault": f.fault, "advice": f.advice}).
			Warn("not connected to any control machine: settings stay as they are")
	}
}

// status returns the refusal in the form reported by Status.
func (r *refusal) status() *Refused {
	if r == nil {
		return nil
	}
	return &Refused{r.Revision, r.Fault, r.Advice}
}

// listSections returns the sections of a candidate in the order of scope.Sections.
func listSections(c Candidate) []Section {
	list := []Section{}
	for _, name := range scope.Sections() {
		if r, ok := c.Sections[name]; ok {
			list = append(list, Section{name, r.Key, r.Revision})
		}
	}
	return list
}
