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
	Marker    uint64
	Revision  uint64        // of the acknowledged write
	Began     time.Duration // first write attempt
	Committed time.Duration // acknowledgement of the write
	Refusable bool          // the gatekeepers in Log.Refusing must refuse the change
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
	Life       int // number of starts of the gatekeeper so far
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
	Within      time.Duration // time limit for a change to be in force, from its commit or from the end of an outage
}

// Rule is the name of a rule, as it appears in reports.
type Rule string

// The rules that a run can break.
const (
	Back        Rule = "old revision after new"  // a section went back to an earlier record
	OutOfOrder  Rule = "applied out of order"    // a candidate was applied after one of a higher revision
	Twice       Rule = "applied twice"           // the same records were applied again without a restart
	Mix         Rule = "mix of two revisions"    // the sections of a candidate belong to different changes
	Unknown     Rule = "never written"           // a marker or revision that was not written in the run
	HeldRefused Rule = "refused one held"        // a gatekeeper applied a change that it must refuse
	NotRefused  Rule = "refusal missing"         // no gatekeeper refused a change that some must refuse
	Late        Rule = "in force too late"       // a change came into force later than Log.Within allows
	Lost        Rule = "lost"                    // neither the change nor a later one came into force
	Sent        Rule = "refused without a cause" // a gatekeeper refused a change that it must apply
)

// Rules returns all rules.
func Rules() []Rule {
	return []Rule{Back, OutOfOrder, Twice, Mix, Unknown, HeldRefused, NotRefused, Late, Lost, Sent}
}

// Violation is one breach of a rule by one gatekeeper. At is relative to the start of the run.
type Violation struct {
	Rule       Rule          `json:"rule"`
	Gatekeeper string        `json:"gatekeeper,omitempty"`
	Marker     uint64        `json:"marker,omitempty"`
	At         time.Duration `json:"at_ns"`
	Detail     string        `json:"detail"`
}

func (v Violation) String() string {
	return fmt.Sprintf("%v: %s: %s, change %d: %s", v.At, v.Rule, v.Gatekeeper, v.Marker, v.Detail)
}

// Delay is the time that one change took to come into force at one gatekeeper.
type Delay struct {
	Marker     uint64
	Gatekeeper string
	Commit     time.Duration // from the acknowledged commit; 0 if the change was in force before the acknowledgement
	Put        time.Duration // from the first write attempt
	Outage     bool          // the gatekeeper had an outage in that time, which Commit and Put include
	Healed     time.Duration // from the end of the outage; 0 without an outage
}

// Verdict is the result of Check.
type Verdict struct {
	Counts  map[Rule]int // number of violations; every rule has an entry
	First   []Violation  // the first violations, at most mostNamed
	Delays  []Delay
	Skipped int // pairs of change and gatekeeper where a later change came into force instead
	Open    int // pairs of change and gatekeeper that were not due by the end of the run
}

// mostNamed is the limit of Verdict.First.
const mostNamed = 20

// Held reports whether no rule was broken.
func (v *Verdict) Held() bool {
	for _, n := range v.Counts {
		if n > 0 {
			return false
		}
	}
	return true
}

// broken counts a violation and lists it if there is room.
func (v *Verdict) broken(rule Rule, gatekeeper string, marker uint64, at time.Duration, detail string) {
	v.Counts[rule]++
	if len(v.First) < mostNamed {
		v.First = append(v.First, Violation{rule, gatekeeper, marker, at, detail})
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
		c.order(gatekeeper)
		c.times(gatekeeper)
	}
	c.refusals()
	slices.SortStableFunc(v.First, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return v
}

// checker checks one run. The maps by gatekeeper are sorted by time.
type checker struct {
	Log
	verdict  *Verdict
	byMarker map[uint64]span
	applied  map[string][]Applied
	outages  map[string][]Outage
}

// span is the set of revisions that the records of a change can have. A write whose response was lost is repeated with the
// same marker, so each revision above that of the preceding change, up to the acknowledged one, can belong to the change.
type span struct {
	above, upTo uint64
	restamped   []uint64
	refusable   bool
}

// holds reports whether records of the change can have the revision.
func (s span) holds(revision uint64) bool {
	return revision > s.above && revision <= s.upTo || slices.Contains(s.restamped, revision)
}

// newChecker indexes the log by marker and by gatekeeper, and sorts it.
func newChecker(l Log, v *Verdict) *checker {
	c := &checker{Log: l, verdict: v, byMarker: map[uint64]span{}, applied: map[string][]Applied{}, outages: map[string][]Outage{}}
	c.Changes = slices.Clone(l.Changes)
	slices.SortFunc(c.Changes, func(a, b Change) int { return cmp.Compare(a.Revision, b.Revision) })
	before := uint64(0)
	for _, change := range c.Changes {
		c.byMarker[change.Marker] = span{before, change.Revision, change.Restamped, change.Refusable}
		before = change.Revision
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

// order checks each candidate of a gatekeeper against the preceding ones.
func (c *checker) order(gatekeeper string) {
	var highest uint64
	var newest, last []uint64 // revisions by section: the highest so far, and those of the preceding candidate
	life := -1
	for _, a := range c.applied[gatekeeper] {
		c.content(a)
		if a.Revision < highest {
			c.broken(OutOfOrder, a, fmt.Sprintf("candidate of revision %d after revision %d", a.Revision, highest))
		}
		highest = max(highest, a.Revision)
		now := make([]uint64, len(a.Sections))
		for i, s := range a.Sections {
			now[i] = s.Revision
			if i < len(newest) && s.Revision < newest[i] {
				c.broken(Back, a, fmt.Sprintf("section %d at revision %d after %d", i, s.Revision, newest[i]))
			}
		}
		if a.Life == life && slices.Equal(now, last) {
			c.broken(Twice, a, fmt.Sprintf("records of revisions %v again", now))
		}
		for i := range now {
			if i == len(newest) {
				newest = append(newest, 0)
			}
			newest[i] = max(newest[i], now[i])
		}
		last, life = now, a.Life
	}
}

// content checks one candidate without regard to others.
func (c *checker) content(a Applied) {
	if len(a.Sections) != c.Sections {
		c.broken(Mix, a, fmt.Sprintf("%d sections instead of %d", len(a.Sections), c.Sections))
	}
	for _, s := range a.Sections {
		if s != a.Sections[0] {
			c.broken(Mix, a, fmt.Sprintf("sections of change %d at revision %d and of change %d at revision %d", a.Sections[0].Marker, a.Sections[0].Revision, s.Marker, s.Revision))
			break
		}
	}
	for _, s := range a.Sections {
		known, ok := c.byMarker[s.Marker]
		if !ok || !known.holds(s.Revision) || s.Revision > a.Revision {
			c.broken(Unknown, a, fmt.Sprintf("change %d at revision %d in a candidate of revision %d", s.Marker, s.Revision, a.Revision))
			break
		}
		if known.refusable && c.Refusing[a.Gatekeeper] {
			c.broken(HeldRefused, a, "in force at a gatekeeper that must refuse it")
			break
		}
	}
}

func (c *checker) broken(rule Rule, a Applied, detail string) {
	marker := uint64(0)
	if len(a.Sections) > 0 {
		marker = a.Sections[0].Marker
	}
	c.verdict.broken(rule, a.Gatekeeper, marker, a.At, detail)
}

// times checks that each change, or a later one instead, came into force at a gatekeeper in time.
func (c *checker) times(gatekeeper string) {
	applied := c.applied[gatekeeper]
	next := 0
	for i, change := range c.Changes {
		if change.Refusable && c.Refusing[gatekeeper] {
			continue
		}
		for next < len(applied) && applied[next].Revision < change.Revision {
			next++
		}
		seen := time.Duration(math.MaxInt64)
		if next < len(applied) {
			seen = applied[next].At
		}
		due, healed := c.dueBehindRefused(gatekeeper, i, seen)
		if next == len(applied) {
			c.missing(gatekeeper, change, due)
			continue
		}
		at := applied[next].At
		if at > due {
			c.verdict.broken(Late, gatekeeper, change.Marker, at, fmt.Sprintf("%v after the time limit", at-due))
		}
		if len(applied[next].Sections) > 0 && applied[next].Sections[0].Marker != change.Marker {
			c.verdict.Skipped++
		}
		d := Delay{Marker: change.Marker, Gatekeeper: gatekeeper, Commit: max(0, at-change.Committed), Put: max(0, at-change.Began)}
		if healed > 0 {
			d.Outage, d.Healed = true, max(0, at-healed)
		}
		c.verdict.Delays = append(c.verdict.Delays, d)
	}
}

// missing handles a change that did not come into force, with no later one in force either.
func (c *checker) missing(gatekeeper string, change Change, due time.Duration) {
	if due > c.End {
		c.verdict.Open++
		return
	}
	c.verdict.broken(Lost, gatekeeper, change.Marker, c.End, fmt.Sprintf("committed at %v, due at %v", change.Committed, due))
}

// dueBehindRefused is like due, but takes refusals into account: a change that reaches a gatekeeper together with a later one
// that the gatekeeper must refuse only comes into force with the next change that it applies.
func (c *checker) dueBehindRefused(gatekeeper string, i int, seen time.Duration) (due, healed time.Duration) {
	due, healed = c.due(gatekeeper, c.Changes[i].Committed, seen)
	if !c.Refusing[gatekeeper] {
		return due, healed
	}
	for i++; i < len(c.Changes) && c.Changes[i].Refusable && c.Changes[i].Committed < due; i++ {
		if i+1 == len(c.Changes) {
			return math.MaxInt64, healed
		}
		due, healed = c.due(gatekeeper, c.Changes[i+1].Committed, seen)
	}
	return due, healed
}

// due returns the time by which a change must be in force at a gatekeeper, and the end of the last outage between its commit
// and seen, the time at which it came into force; healed is 0 without an outage.
func (c *checker) due(gatekeeper string, committed, seen time.Duration) (due, healed time.Duration) {
	due = committed + c.Within
	for _, o := range c.outages[gatekeeper] {
		to := o.To
		if to == 0 { // not over at the end of the run
			to = math.MaxInt64 / 2
		}
		if o.From <= due && o.From < seen && to > committed {
			healed = to
			due = max(due, to+c.Within)
		}
	}
	return due, healed
}

// refusals checks that each refusal was expected, and that each refusable change was refused by some gatekeeper.
func (c *checker) refusals() {
	refused := map[uint64]bool{}
	for _, r := range c.Refusals {
		known, ok := c.byMarker[r.Marker]
		if !ok || !known.refusable || !c.Refusing[r.Gatekeeper] {
			c.verdict.broken(Sent, r.Gatekeeper, r.Marker, r.At, "the gatekeeper must apply the change")
			continue
		}
		refused[r.Marker] = true
	}
	if len(c.Refusing) == 0 {
		return
	}
	for _, change := range c.Changes {
		if change.Refusable && !refused[change.Marker] && change.Committed+c.Within <= c.End {
			c.verdict.broken(NotRefused, "", change.Marker, change.Committed, "no gatekeeper refused it")
		}
	}
}
