package fleetcheck

import (
	"slices"
	"strings"

	"beammux/control"
)

// givenUp is the log message of a gatekeeper that removes an unreachable member from its fleet.
const givenUp = "fleet: member given up"

// Parameters of the views.
const (
	staleAfter = control.Micros(2000000)  // age at which a view is no longer used; a busy machine may miss some readings
	stays      = control.Micros(1000000)  // minimum duration of agreement
	troubleFor = control.Micros(15000000) // time after a fault between gatekeepers in which a member may still be given up because of it
)

// agree tracks whether all running gatekeepers have the same view of the fleet, with just themselves as its members.
type agree struct {
	running map[string]bool           // ready, and not paused
	views   map[string]seenView       // latest view of each gatekeeper
	is      bool                      // whether they agree now
	turns   []turn                    // changes between agreement and disagreement
	trouble control.Micros            // last beginning or end of a fault between gatekeepers
	open    int                       // directions between gatekeepers that have a fault now
	down    map[string]control.Micros // last time at which a gatekeeper stopped or started running
}

// seenView is a view of the fleet as read from a gatekeeper.
type seenView struct {
	at       control.Micros
	hash, up string // up: names of the members that are up, sorted, separated by spaces
}

// turn is a change between agreement and disagreement.
type turn struct {
	at control.Micros
	is bool
}

// agreement updates the agreement of views for an event.
func (c *Checker) agreement(e *Event) {
	a := &c.agree
	if a.running == nil {
		a.running, a.views, a.down = map[string]bool{}, map[string]seenView{}, map[string]control.Micros{}
	}
	switch e.Kind {
	case Ready, Woken:
		a.running[e.Process] = true
		a.down[e.Process] = e.At
	case Stopped, Crashed, Paused, Asked:
		delete(a.running, e.Process)
		a.down[e.Process] = e.At
	case Troubled, Healed:
		if strings.HasPrefix(e.Process, c.front) || strings.HasPrefix(e.Peer, c.front) {
			return
		}
		a.trouble = e.At
		if e.Kind == Troubled {
			a.open++
		} else {
			a.open--
		}
		return
	case Viewed:
		a.views[e.Process] = seenView{e.At, e.What, e.Peer}
	default:
		return
	}
	if len(a.views) == 0 {
		return
	}
	if is := a.holds(e.At); is != a.is {
		a.is = is
		a.turns = append(a.turns, turn{e.At, is})
	}
}

// holds reports whether recent views of all running gatekeepers are the same and have just these gatekeepers up.
func (a *agree) holds(now control.Micros) bool {
	names := make([]string, 0, len(a.running))
	for name := range a.running {
		names = append(names, name)
	}
	if len(names) == 0 {
		return false
	}
	slices.Sort(names)
	all, hash := strings.Join(names, " "), ""
	for i, name := range names {
		v, ok := a.views[name]
		if !ok || now-v.at > staleAfter || v.up != all || i > 0 && v.hash != hash {
			return false
		}
		hash = v.hash
	}
	return true
}

// broken returns the first time not before from at which agreement was lost, or end if there is none.
func (a *agree) broken(from, end control.Micros) control.Micros {
	for _, t := range a.turns {
		if !t.is && t.at >= from {
			return t.at
		}
	}
	return end
}

// since returns the first time not before from, and before before, at which lasting agreement exists. Agreement is lasting if it
// holds for the minimum duration or until end. It returns -1 if there is none.
func (a *agree) since(from, before, end control.Micros) control.Micros {
	for i, t := range a.turns {
		until := end
		if i+1 < len(a.turns) {
			until = a.turns[i+1].at
		}
		at := max(t.at, from)
		if t.is && until > from && at < before && (until-at >= stays || at < end && until >= end) {
			return at
		}
	}
	return -1
}

// agreed fills in the times of the faults that derive from the views.
func (c *Checker) agreed(faults []Settled) []Settled {
	for i := range faults {
		f := &faults[i]
		f.Noticed, f.Agreed = -1, -1
		if f.To == 0 || len(c.agree.views) == 0 {
			continue
		}
		if at := c.agree.since(c.agree.broken(f.From, c.now), f.To, c.now); at >= 0 {
			f.Noticed = at - f.From
		}
		from := f.To
		for _, spans := range c.course.notReady {
			for _, s := range spans {
				if s.from >= f.From && s.from <= f.To && s.to != 0 {
					from = max(from, s.to)
				}
			}
		}
		next := c.now // the next fault may end an agreement before the minimum duration
		for _, o := range faults {
			if o.From > from {
				next = min(next, o.From)
			}
		}
		if at := c.agree.since(from+1, c.now, next); at >= 0 {
			f.Agreed, f.Whole = at-from, at
		}
	}
	return faults
}

// givenUp checks that a member that was given up was not running, or that there was a fault among the gatekeepers.
func (c *Checker) givenUp(e *Event, evidence Evidence) {
	a := &c.agree
	lately := func(at control.Micros, known bool) bool { return known && e.At-at < troubleFor }
	memberAt, memberKnown := a.down[e.Peer]
	ownAt, ownKnown := a.down[e.Process]
	if !a.running[e.Peer] || !a.running[e.Process] || a.open > 0 || a.trouble > 0 && e.At-a.trouble < troubleFor ||
		lately(memberAt, memberKnown && memberAt > c.course.begin) || lately(ownAt, ownKnown && ownAt > c.course.begin) {
		c.rule(RuleGiven).Excused++
		return
	}
	c.broke(RuleGiven, evidence)
}
