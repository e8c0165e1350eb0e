// Package judge checks the log of a run for gatekeepers that did not follow the settings correctly: a gatekeeper must never go
// back to an older revision, never apply a mix of two changes or a change that it must refuse, and have every change in force
// in time. The package does no I/O and reads no clock.
package judge

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Change is one transaction. It writes all sections of the run with the same marker. Times are relative to the start of the run.
type Change struct {
	Marker       uint64
	Revision     uint64        // of the acknowledged write
	WriteStarted time.Duration // first write attempt
	Committed    time.Duration // acknowledgement of the write
	Refusable    bool          // the gatekeepers in Log.Refusing must refuse the change
	// Restamped are further revisions of the same records, assigned when they were restored to a new store.
	Restamped []uint64
}

// Section is the content of one section of a candidate.
type Section struct {
	Marker   uint64
	Revision uint64 // of the record
}

// Applied is a candidate that a gatekeeper has put in force.
type Applied struct {
	Gatekeeper string
	StartCount int // number of starts of the gatekeeper so far
	At         time.Duration
	Revision   uint64 // of the candidate
	Sections   []Section
}

// Refusal is a candidate that a gatekeeper refused.
type Refusal struct {
	Gatekeeper string
	At         time.Duration
	Marker     uint64
}

// Outage is a period in which a gatekeeper was down, or partitioned from the other regions by the fault script. To is 0 for an
// outage that did not end during the run.
type Outage struct {
	Gatekeeper string
	From, To   time.Duration
}

// Log is the record of a run.
type Log struct {
	Gatekeepers []string
	Refusing    map[string]bool
	Sections    int // number of sections that each change writes
	Changes     []Change
	Applied     []Applied
	Refusals    []Refusal
	Outages     []Outage
	End         time.Duration // end of the recording
	TimeLimit   time.Duration // time limit for a change to be in force, from its commit or from the end of an outage
}

// Rule is the name of a rule, as it appears in reports.
type Rule string

// The rules that a run can break.
const (
	WentBack          Rule = "old revision after new"  // a section went back to an earlier record
	OutOfOrder        Rule = "applied out of order"    // a candidate was applied after one of a higher revision
	AppliedTwice      Rule = "applied twice"           // the same records were applied again without a restart
	MixedChanges      Rule = "mix of two revisions"    // the sections of a candidate belong to different changes
	NeverWritten      Rule = "never written"           // a marker or revision that was not written in the run
	AppliedRefused    Rule = "refused one held"        // a gatekeeper applied a change that it must refuse
	RefusalMissing    Rule = "refusal missing"         // no gatekeeper refused a change that some must refuse
	Late              Rule = "in force too late"       // a change came into force later than Log.TimeLimit allows
	Lost              Rule = "lost"                    // neither the change nor a later one came into force
	UnexpectedRefusal Rule = "refused without a cause" // a gatekeeper refused a change that it must apply
)

// Rules returns all rules.
func Rules() []Rule {
	return []Rule{WentBack, OutOfOrder, AppliedTwice, MixedChanges, NeverWritten, AppliedRefused, RefusalMissing, Late, Lost, UnexpectedRefusal}
}

// Violation is one breach of a rule by one gatekeeper. At is relative to the start of the run.
type Violation struct {
	Rule       Rule          `json:"rule"`
	Gatekeeper string        `json:"gatekeeper,omitempty"`
	Marker     uint64        `json:"marker,omitempty"`
	At         time.Duration `json:"at_ns"`
	Detail     string        `json:"detail"`
}

// String formats the violation for the text report.
func (v Violation) String() string {
	return fmt.Sprintf("%v: %s: %s, change %d: %s", v.At, v.Rule, v.Gatekeeper, v.Marker, v.Detail)
}

// Delay is the time that one change took to come into force at one gatekeeper.
type Delay struct {
	Marker      uint64
	Gatekeeper  string
	AfterCommit time.Duration // from the acknowledged commit; 0 if the change was in force before the acknowledgement
	AfterWrite  time.Duration // from the first write attempt
	Outage      bool          // the gatekeeper had an outage in that time, which AfterCommit and AfterWrite include
	AfterOutage time.Duration // from the end of the outage; 0 without an outage
}

// Verdict is the result of Check.
type Verdict struct {
	Counts  map[Rule]int // number of violations; every rule has an entry
	Listed  []Violation  // the first violations, at most maxListed
	Delays  []Delay
	Skipped int // pairs of change and gatekeeper where a later change came into force instead
	NotDue  int // pairs of change and gatekeeper that were not due by the end of the run
}

// maxListed is the limit of Verdict.Listed.
const maxListed = 20

// Passed reports whether no rule was broken.
func (v *Verdict) Passed() bool {
	for _, count := range v.Counts {
		if count > 0 {
			return false
		}
	}
	return true
}

// addViolation counts a violation and lists it if there is room.
func (v *Verdict) addViolation(rule Rule, gatekeeper string, marker uint64, at time.Duration, detail string) {
	v.Counts[rule]++
	if len(v.Listed) < maxListed {
		v.Listed = append(v.Listed, Violation{rule, gatekeeper, marker, at, detail})
	}
}

// Check checks the log of a run against all rules.
func Check(l Log) *Verdict {
	v := &Verdict{Counts: map[Rule]int{}}
	for _, rule := range Rules() {
		v.Counts[rule] = 0
	}
	c := newChecker(l, v)
	for _, gatekeeper := range l.Gatekeepers {
		c.checkOrder(gatekeeper)
		c.checkTimes(gatekeeper)
	}
	c.checkRefusals()
	slices.SortStableFunc(v.Listed, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return v
}

// checker checks one run. The maps by gatekeeper are sorted by time.
type checker struct {
	Log
	verdict  *Verdict
	byMarker map[uint64]revisionSet
	applied  map[string][]Applied
	outages  map[string][]Outage
}

// revisionSet is the set of revisions that the records of a change can have. A write whose response was lost is repeated with
// the same marker, so each revision above that of the preceding change, up to the acknowledged one, can belong to the change.
type revisionSet struct {
	after, upTo uint64
	restamped   []uint64
	refusable   bool
}

// contains reports whether records of the change can have the revision.
func (s revisionSet) contains(revision uint64) bool {
	return revision > s.after && revision <= s.upTo || slices.Contains(s.restamped, revision)
}

// newChecker indexes the log by marker and by gatekeeper, and sorts it.
func newChecker(l Log, v *Verdict) *checker {
	c := &checker{Log: l, verdict: v, byMarker: map[uint64]revisionSet{}, applied: map[string][]Applied{}, outages: map[string][]Outage{}}
	c.Changes = slices.Clone(l.Changes)
	slices.SortFunc(c.Changes, func(a, b Change) int { return cmp.Compare(a.Revision, b.Revision) })
	previous := uint64(0)
	for _, change := range c.Changes {
		c.byMarker[change.Marker] = revisionSet{previous, change.Revision, change.Restamped, change.Refusable}
		previous = change.Revision
	}
	for _, a := range l.Applied {
		c.applied[a.Gatekeeper] = append(c.applied[a.Gatekeeper], a)
	}
	for _, o := range l.Outages {
		c.outages[o.Gatekeeper] = append(c.outages[o.Gatekeeper], o)
	}
	for _, all := range c.applied {
		slices.SortStableFunc(all, func(a, b Applied) int { return cmp.Compare(a.At, b.At) })
	}
	for _, all := range c.outages {
		slices.SortFunc(all, func(a, b Outage) int { return cmp.Compare(a.From, b.From) })
	}
	return c
}

// checkOrder checks each candidate of a gatekeeper against the preceding ones.
func (c *checker) checkOrder(gatekeeper string) {
	var highest uint64
	var highestBySection, previous []uint64 // revisions by section: the highest so far, and those of the preceding candidate
	startCount := -1
	for _, a := range c.applied[gatekeeper] {
		c.checkContent(a)
		if a.Revision < highest {
			c.addViolation(OutOfOrder, a, fmt.Sprintf("candidate of revision %d after revision %d", a.Revision, highest))
		}
		highest = max(highest, a.Revision)
		revisions := make([]uint64, len(a.Sections))
		for i, s := range a.Sections {
			revisions[i] = s.Revision
			if i < len(highestBySection) && s.Revision < highestBySection[i] {
				c.addViolation(WentBack, a, fmt.Sprintf("section %d at revision %d after %d", i, s.Revision, highestBySection[i]))
			}
		}
		if a.StartCount == startCount && slices.Equal(revisions, previous) {
			c.addViolation(AppliedTwice, a, fmt.Sprintf("records of revisions %v again", revisions))
		}
		for i := range revisions {
			if i == len(highestBySection) {
				highestBySection = append(highestBySection, 0)
			}
			highestBySection[i] = max(highestBySection[i], revisions[i])
		}
		previous, startCount = revisions, a.StartCount
	}
}

// checkContent checks one candidate without regard to others.
func (c *checker) checkContent(a Applied) {
	if len(a.Sections) != c.Sections {
		c.addViolation(MixedChanges, a, fmt.Sprintf("%d sections instead of %d", len(a.Sections), c.Sections))
	}
	for _, s := range a.Sections {
		if s != a.Sections[0] {
			c.addViolation(MixedChanges, a, fmt.Sprintf("sections of change %d at revision %d and of change %d at revision %d", a.Sections[0].Marker, a.Sections[0].Revision, s.Marker, s.Revision))
			break
		}
	}
	for _, s := range a.Sections {
		allowed, ok := c.byMarker[s.Marker]
		if !ok || !allowed.contains(s.Revision) || s.Revision > a.Revision {
			c.addViolation(NeverWritten, a, fmt.Sprintf("change %d at revision %d in a candidate of revision %d", s.Marker, s.Revision, a.Revision))
			break
		}
		if allowed.refusable && c.Refusing[a.Gatekeeper] {
			c.addViolation(AppliedRefused, a, "in force at a gatekeeper that must refuse it")
			break
		}
	}
}

// addViolation adds a violation by an applied candidate, with the marker of its first section.
func (c *checker) addViolation(rule Rule, applied Applied, detail string) {
	marker := uint64(0)
	if len(applied.Sections) > 0 {
		marker = applied.Sections[0].Marker
	}
	c.verdict.addViolation(rule, applied.Gatekeeper, marker, applied.At, detail)
}

// checkTimes checks that each change, or a later one instead, came into force at a gatekeeper in time.
func (c *checker) checkTimes(gatekeeper string) {
	applied := c.applied[gatekeeper]
	next := 0
	for i, change := range c.Changes {
		if change.Refusable && c.Refusing[gatekeeper] {
			continue
		}
		for next < len(applied) && applied[next].Revision < change.Revision {
			next++
		}
		inForceAt := time.Duration(math.MaxInt64)
		if next < len(applied) {
			inForceAt = applied[next].At
		}
		due, outageEnd := c.dueAfterRefusals(gatekeeper, i, inForceAt)
		if next == len(applied) {
			c.reportMissing(gatekeeper, change, due)
			continue
		}
		at := applied[next].At
		if at > due {
			c.verdict.addViolation(Late, gatekeeper, change.Marker, at, fmt.Sprintf("%v after the time limit", at-due))
		}
		if len(applied[next].Sections) > 0 && applied[next].Sections[0].Marker != change.Marker {
			c.verdict.Skipped++
		}
		delay := Delay{Marker: change.Marker, Gatekeeper: gatekeeper, AfterCommit: max(0, at-change.Committed), AfterWrite: max(0, at-change.WriteStarted)}
		if outageEnd > 0 {
			delay.Outage, delay.AfterOutage = true, max(0, at-outageEnd)
		}
		c.verdict.Delays = append(c.verdict.Delays, delay)
	}
}

// reportMissing reports a change that did not come into force, and no later one either, as lost, or as not due if the run ended
// before its time limit.
func (c *checker) reportMissing(gatekeeper string, change Change, due time.Duration) {
	if due > c.End {
		c.verdict.NotDue++
		return
	}
	c.verdict.addViolation(Lost, gatekeeper, change.Marker, c.End, fmt.Sprintf("committed at %v, due at %v", change.Committed, due))
}

// dueAfterRefusals is like due, but takes refusals into account: a change that reaches a gatekeeper together with a later one
// that the gatekeeper must refuse only comes into force with the next change that it applies.
func (c *checker) dueAfterRefusals(gatekeeper string, i int, inForceAt time.Duration) (due, outageEnd time.Duration) {
	due, outageEnd = c.due(gatekeeper, c.Changes[i].Committed, inForceAt)
	if !c.Refusing[gatekeeper] {
		return due, outageEnd
	}
	for i++; i < len(c.Changes) && c.Changes[i].Refusable && c.Changes[i].Committed < due; i++ {
		if i+1 == len(c.Changes) {
			return math.MaxInt64, outageEnd
		}
		due, outageEnd = c.due(gatekeeper, c.Changes[i+1].Committed, inForceAt)
	}
	return due, outageEnd
}

// due returns the time by which a change must be in force at a gatekeeper, and the end of the last outage between its commit
// and inForceAt, the time at which it came into force; outageEnd is 0 without an outage.
func (c *checker) due(gatekeeper string, committed, inForceAt time.Duration) (due, outageEnd time.Duration) {
	due = committed + c.TimeLimit
	for _, outage := range c.outages[gatekeeper] {
		to := outage.To
		if to == 0 { // not over at the end of the run
			to = math.MaxInt64 / 2
		}
		if outage.From <= due && outage.From < inForceAt && to > committed {
			outageEnd = to
			due = max(due, to+c.TimeLimit)
		}
	}
	return due, outageEnd
}

// checkRefusals checks that each refusal was expected, and that each refusable change was refused by some gatekeeper.
func (c *checker) checkRefusals() {
	refused := map[uint64]bool{}
	for _, refusal := range c.Refusals {
		allowed, ok := c.byMarker[refusal.Marker]
		if !ok || !allowed.refusable || !c.Refusing[refusal.Gatekeeper] {
			c.verdict.addViolation(UnexpectedRefusal, refusal.Gatekeeper, refusal.Marker, refusal.At, "the gatekeeper must apply the change")
			continue
		}
		refused[refusal.Marker] = true
	}
	if len(c.Refusing) == 0 {
		return
	}
	for _, change := range c.Changes {
		if change.Refusable && !refused[change.Marker] && change.Committed+c.TimeLimit <= c.End {
			c.verdict.addViolation(RefusalMissing, "", change.Marker, change.Committed, "no gatekeeper refused it")
		}
	}
}
