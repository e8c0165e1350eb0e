// Package judge decides from the log of a run whether every gatekeeper followed the settings as it must: never back, never a
// mix of two changes, never a change that it refused, and everything in force in time. It does no I/O and reads no clock.
package judge

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Change is one transaction. It writes every section of the run, all with the same marker.
type Change struct {
	Marker    uint64
	Revision  uint64        // as acknowledged
	Began     time.Duration // when the write was first tried, since the run began
	Committed time.Duration // when it was acknowledged
	Refusable bool          // the gatekeepers in Log.Refusing must refuse it
	// Restamped are further revisions at which its records stand: those of a store that was made anew with them.
	Restamped []uint64
}

// Section is what one section of a candidate held.
type Section struct {
	Marker   uint64
	Revision uint64 // of the record
}

// Applied is a candidate that a gatekeeper put in force.
type Applied struct {
	Gatekeeper string
	Life       int // counts the starts of the gatekeeper
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

// Outage is a time in which a gatekeeper was down, or cut off from the leader's region by the fault script.
type Outage struct {
	Gatekeeper string
	From, To   time.Duration
}

// Log is all that was seen in a run.
type Log struct {
	Gatekeepers []string
	Refusing    map[string]bool
	Sections    int // that each change writes
	Changes     []Change
	Applied     []Applied
	Refusals    []Refusal
	Outages     []Outage
	End         time.Duration // nothing was seen after it
	Within      time.Duration // a change must be in force so long after its commit, or after the end of an outage
}

// Rule names what was broken.
type Rule string

// The rules.
const (
	Back        Rule = "old revision after new"  // a section fell back to an earlier record
	OutOfOrder  Rule = "applied out of order"    // a candidate of an earlier revision came after a later one
	Twice       Rule = "applied twice"           // the same records again within one life
	Mix         Rule = "mix of two revisions"    // two sections of a candidate are of different changes
	Unknown     Rule = "never written"           // a marker or revision that nobody wrote
	HeldRefused Rule = "refused one held"        // a change in force where it must be refused
	NotRefused  Rule = "refusal missing"         // a change that reached nobody who must refuse it
	Late        Rule = "in force too late"       // in force, but after Log.Within
	Lost        Rule = "lost"                    // neither it nor a later one came into force
	Sent        Rule = "refused without a cause" // a change refused where it must be taken
)

// Rules lists them.
func Rules() []Rule {
	return []Rule{Back, OutOfOrder, Twice, Mix, Unknown, HeldRefused, NotRefused, Late, Lost, Sent}
}

// Violation is one rule broken by one gatekeeper.
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

// Delay is how long one change took at one gatekeeper.
type Delay struct {
	Marker     uint64
	Gatekeeper string
	Commit     time.Duration // from the acknowledged commit; 0 where it was in force before the acknowledgement
	Put        time.Duration // from the start of the write
	Outage     bool          // an outage of the gatekeeper lay between: Commit and Put hold it; see Healed
	Healed     time.Duration // from the end of the outage, 0 without one
}

// Verdict is what the judge found.
type Verdict struct {
	Counts  map[Rule]int // by rule, each rule present
	First   []Violation  // the first mostNamed
	Delays  []Delay
	Skipped int // pairs of change and gatekeeper where a later change came into force in its place
	Open    int // pairs that the run ended too early to judge
}

const mostNamed = 20

// Held tells whether no rule was broken.
func (v *Verdict) Held() bool {
	for _, n := range v.Counts {
		if n > 0 {
			return false
		}
	}
	return true
}

func (v *Verdict) broken(rule Rule, gatekeeper string, marker uint64, at time.Duration, detail string) {
	v.Counts[rule]++
	if len(v.First) < mostNamed {
		v.First = append(v.First, Violation{rule, gatekeeper, marker, at, detail})
	}
}

// Check judges a run.
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

type checker struct {
	Log
	verdict  *Verdict
	byMarker map[uint64]span
	applied  map[string][]Applied
	outages  map[string][]Outage
}

// span holds the revisions that a change can have: a write whose answer was lost is written again under the same marker, so
// each revision above the change before it and up to the acknowledged one may carry it.
type span struct {
	above, upTo uint64
	restamped   []uint64
	refusable   bool
}

// holds tells whether records of the change can have a revision.
func (s span) holds(revision uint64) bool {
	return revision > s.above && revision <= s.upTo || slices.Contains(s.restamped, revision)
}

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

// order checks each candidate against those before it.
func (c *checker) order(gatekeeper string) {
	var highest uint64
	var newest, last []uint64 // record revisions: the newest of each section, and those of the candidate before
	life := -1
	for _, a := range c.applied[gatekeeper] {
		c.content(a)
		if a.Revision < highest {
			c.broken(OutOfOrder, a, fmt.Sprintf("candidate %d after %d", a.Revision, highest))
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
			c.broken(Twice, a, fmt.Sprintf("records %v again", now))
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

// content checks one candidate by itself.
func (c *checker) content(a Applied) {
	if len(a.Sections) != c.Sections {
		c.broken(Mix, a, fmt.Sprintf("%d sections of %d", len(a.Sections), c.Sections))
	}
	for _, s := range a.Sections {
		if s != a.Sections[0] {
			c.broken(Mix, a, fmt.Sprintf("sections of changes %d at revision %d and %d at %d", a.Sections[0].Marker, a.Sections[0].Revision, s.Marker, s.Revision))
			break
		}
	}
	for _, s := range a.Sections {
		known, ok := c.byMarker[s.Marker]
		if !ok || !known.holds(s.Revision) || s.Revision > a.Revision {
			c.broken(Unknown, a, fmt.Sprintf("change %d at revision %d in candidate %d", s.Marker, s.Revision, a.Revision))
			break
		}
		if known.refusable && c.Refusing[a.Gatekeeper] {
			c.broken(HeldRefused, a, "in force where it must be refused")
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

// times checks when each change was in force at a gatekeeper: it, or a later one in its place.
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
			c.verdict.broken(Late, gatekeeper, change.Marker, at, fmt.Sprintf("%v after it was due", at-due))
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

// missing is a change that never came into force, and neither did a later one.
func (c *checker) missing(gatekeeper string, change Change, due time.Duration) {
	if due > c.End {
		c.verdict.Open++
		return
	}
	c.verdict.broken(Lost, gatekeeper, change.Marker, c.End, fmt.Sprintf("committed at %v, due at %v", change.Committed, due))
}

// dueBehindRefused is due, but that a change which reached a gatekeeper together with a later one that it must refuse can only
// come into force with the next one that it takes.
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

// due tells when a change that was seen in force at a time must have been so at a gatekeeper, and when the last outage in
// between ended, 0 if there was none.
func (c *checker) due(gatekeeper string, committed, seen time.Duration) (due, healed time.Duration) {
	due = committed + c.Within
	for _, o := range c.outages[gatekeeper] {
		to := o.To
		if to == 0 { // it never ended
			to = math.MaxInt64 / 2
		}
		if o.From <= due && o.From < seen && to > committed {
			healed = to
			due = max(due, to+c.Within)
		}
	}
	return due, healed
}

// refusals checks that each refusal has its cause, and that each change to be refused was refused where it could be.
func (c *checker) refusals() {
	refused := map[uint64]bool{}
	for _, r := range c.Refusals {
		known, ok := c.byMarker[r.Marker]
		if !ok || !known.refusable || !c.Refusing[r.Gatekeeper] {
			c.verdict.broken(Sent, r.Gatekeeper, r.Marker, r.At, "this gatekeeper must take it")
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
