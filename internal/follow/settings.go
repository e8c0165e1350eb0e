package follow

import (
	"maps"
	"slices"
	"strings"
	"time"

	"beammux/control/advice"
	"beammux/control/scope"
)

// settings holds the records of a gatekeeper's scopes, the candidate in force and the last refusal.
type settings struct {
	self  scope.Target
	apply func(Candidate) error
	// beforeApply and changed save the state on disk if they are set: beforeApply before a candidate is tried, changed after the
	// state has changed.
	beforeApply func(Candidate)
	changed     func()

	records         map[string]scope.Record // by key
	recordsRevision uint64                  // revision at which records last changed
	inForce         Candidate
	since           time.Time // when the sections of inForce were put in force; zero: none ever were
	sectionList     []Section // sections of inForce, shared with Status: replaced, never modified
	lastGood        Candidate // the last candidate that was put in force, including before a restart
	refused         *refusal  // the candidate that the records resolve to, if it was refused
}

// refusal is a candidate that could not be put in force. It isn't tried again while the records resolve to it.
type refusal struct {
	Revision uint64              `json:"revision"`
	Fault    string              `json:"fault"`
	Advice   string              `json:"advice,omitempty"`
	Sections map[string]recordID `json:"sections"`
}

// recordID identifies one version of a record in the store.
type recordID struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// recordIDs returns the identity of each section's record.
func recordIDs(sections map[string]scope.Record) map[string]recordID {
	ids := make(map[string]recordID, len(sections))
	for name, r := range sections {
		ids[name] = recordID{r.Key, r.Revision}
	}
	return ids
}

// replace replaces all records by those of a snapshot at a revision.
func (s *settings) replace(revision uint64, records []scope.Record) {
	newRecords := make(map[string]scope.Record, len(records))
	for _, r := range records {
		if len(r.Value) > 0 {
			newRecords[r.Key] = r
		}
	}
	unchanged := maps.EqualFunc(s.records, newRecords, func(a, b scope.Record) bool { return a.Revision == b.Revision })
	if !unchanged {
		s.records, s.recordsRevision = newRecords, revision
	}
	s.evaluate(revision, !unchanged)
}

// change applies the records of one transaction. A record without a value is deleted.
func (s *settings) change(revision uint64, records []scope.Record) {
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(s.records, r.Key)
		} else {
			s.records[r.Key] = r
		}
	}
	s.recordsRevision = revision
	s.evaluate(revision, true)
}

// advance records that the records have not changed up to a revision.
func (s *settings) advance(revision uint64) { s.evaluate(revision, false) }

// evaluate resolves the records and tries the resulting candidate, if it differs from the one in force and from the one that was
// refused. changed reports whether the records have changed.
func (s *settings) evaluate(revision uint64, changed bool) {
	if !changed {
		if s.refused == nil {
			s.inForce.Revision = revision
		}
		return
	}
	sections := scope.Resolve(s.self, s.sortedRecords())
	ids := recordIDs(sections)
	switch {
	case maps.Equal(ids, recordIDs(s.inForce.Sections)):
		s.inForce.Revision = revision
		s.refused = nil
	case s.refused != nil && maps.Equal(ids, s.refused.Sections):
	default:
		c := Candidate{revision, sections}
		if s.beforeApply != nil {
			s.beforeApply(c)
		}
		s.tryCandidate(c)
	}
	if s.changed != nil {
		s.changed()
	}
}

// tryCandidate applies a candidate, records whether it was put in force or refused, and reports whether it was put in force.
func (s *settings) tryCandidate(c Candidate) bool {
	if err := s.apply(c); err != nil {
		s.refuse(c, err)
		return false
	}
	s.inForce, s.lastGood, s.refused = c, c, nil
	s.since, s.sectionList = time.Now(), listSections(c)
	return true
}

// refuse records that a candidate was refused with err.
func (s *settings) refuse(c Candidate, err error) {
	s.refused = &refusal{c.Revision, err.Error(), advice.Of(err), recordIDs(c.Sections)}
}

// restore loads a saved state without putting any candidate in force.
func (s *settings) restore(saved savedState) {
	for _, r := range saved.Records {
		s.records[r.Key] = r
	}
	s.recordsRevision, s.lastGood, s.refused = saved.Revision, saved.Good, saved.Refused
}

// applyLastGood puts the last good candidate in force, unless the one in force is at least as new. It keeps a refusal that was
// recorded before.
func (s *settings) applyLastGood() {
	if s.inForce.Revision >= s.lastGood.Revision {
		return
	}
	if len(s.lastGood.Sections) == 0 {
		s.inForce = s.lastGood
		return
	}
	previousRefusal := s.refused // refers to the current records and takes precedence over a refusal of s.lastGood
	s.tryCandidate(s.lastGood)
	if previousRefusal != nil {
		s.refused = previousRefusal
	}
}

// sortedRecords returns the records in the order of their keys.
func (s *settings) sortedRecords() []scope.Record {
	return slices.SortedFunc(maps.Values(s.records), func(a, b scope.Record) int { return strings.Compare(a.Key, b.Key) })
}
