package follow

import (
	"maps"
	"slices"
	"strings"
	"time"

	"beammux/control/advice"
	"beammux/control/scope"
)

// settings are the records of a gatekeeper's scopes, what of them is in force, and what was refused.
type settings struct {
	self  scope.Target
	apply func(Candidate) error
	// beforeApply and changed, where set, keep the state on disk: before a candidate is tried, and when the state has changed.
	beforeApply func(Candidate)
	changed     func()

	records   map[string]scope.Record // by key
	recordsAt uint64                  // the revision at which they last changed
	inForce   Candidate
	since     time.Time // of inForce's sections; zero: none was ever put in force
	listed    []Section // inForce's sections, for the status; replaced, never changed
	good      Candidate // the last one that was put in force, now or before a restart
	refused   *refusal  // what the records resolve to, if that can't be put in force
}

// refusal is a candidate that could not be put in force. While the records resolve to it, it isn't tried again.
type refusal struct {
	Revision uint64              `json:"revision"`
	Fault    string              `json:"fault"`
	Advice   string              `json:"advice,omitempty"`
	Sections map[string]identity `json:"sections"`
}

// identity tells a record from every other one of the store.
type identity struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

func identities(sections map[string]scope.Record) map[string]identity {
	ids := make(map[string]identity, len(sections))
	for name, r := range sections {
		ids[name] = identity{r.Key, r.Revision}
	}
	return ids
}

// replace takes over a snapshot: all records at a revision.
func (s *settings) replace(revision uint64, records []scope.Record) {
	fresh := make(map[string]scope.Record, len(records))
	for _, r := range records {
		if len(r.Value) > 0 {
			fresh[r.Key] = r
		}
	}
	same := maps.EqualFunc(s.records, fresh, func(a, b scope.Record) bool { return a.Revision == b.Revision })
	if !same {
		s.records, s.recordsAt = fresh, revision
	}
	s.evaluate(revision, !same)
}

// change takes over the records of one transaction; those without a value are deleted.
func (s *settings) change(revision uint64, records []scope.Record) {
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(s.records, r.Key)
		} else {
			s.records[r.Key] = r
		}
	}
	s.recordsAt = revision
	s.evaluate(revision, true)
}

// advance notes that nothing has changed up to a revision.
func (s *settings) advance(revision uint64) { s.evaluate(revision, false) }

// evaluate puts in force what the records resolve to, if that has changed.
func (s *settings) evaluate(revision uint64, changed bool) {
	if !changed {
		if s.refused == nil {
			s.inForce.Revision = revision
		}
		return
	}
	sections := scope.Resolve(s.self, s.sorted())
	ids := identities(sections)
	switch {
	case maps.Equal(ids, identities(s.inForce.Sections)):
		s.inForce.Revision = revision
		s.refused = nil
	case s.refused != nil && maps.Equal(ids, s.refused.Sections):
	default:
		c := Candidate{revision, sections}
		if s.beforeApply != nil {
			s.beforeApply(c)
		}
		s.try(c)
	}
	if s.changed != nil {
		s.changed()
	}
}

// try has a candidate put in force, or notes that it was refused.
func (s *settings) try(c Candidate) bool {
	if err := s.apply(c); err != nil {
		s.refuse(c, err)
		return false
	}
	s.inForce, s.good, s.refused = c, c, nil
	s.since, s.listed = time.Now(), sectionsOf(c)
	return true
}

func (s *settings) refuse(c Candidate, err error) {
	s.refused = &refusal{c.Revision, err.Error(), advice.Of(err), identities(c.Sections)}
}

// restore takes over a kept state. Nothing of it is in force yet.
func (s *settings) restore(k kept) {
	for _, r := range k.Records {
		s.records[r.Key] = r
	}
	s.recordsAt, s.good, s.refused = k.Revision, k.Good, k.Refused
}

// enforceGood puts the last good candidate in force, unless a newer one is.
func (s *settings) enforceGood() {
	if s.inForce.Revision >= s.good.Revision {
		return
	}
	if len(s.good.Sections) == 0 {
		s.inForce = s.good
		return
	}
	newer := s.refused // what the records resolve to, where that was refused already
	s.try(s.good)
	if newer != nil {
		s.refused = newer
	}
}

// sorted gives the records in the order of their keys.
func (s *settings) sorted() []scope.Record {
	return slices.SortedFunc(maps.Values(s.records), func(a, b scope.Record) int { return strings.Compare(a.Key, b.Key) })
}
