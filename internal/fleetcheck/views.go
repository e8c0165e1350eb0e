package fleetcheck

import (
	"slices"
	"strings"

	"beammux/control"
)

// memberGivenUp is the log message of a gatekeeper that removes an unreachable member from its fleet.
const memberGivenUp = "fleet: member given up"

// Parameters of the views.
const (
	viewMaxAge     = control.Micros(2000000)  // age at which a view is no longer used; a busy machine may miss some readings
	minAgreement   = control.Micros(1000000)  // minimum duration of agreement
	faultAftermath = control.Micros(15000000) // time after a fault between gatekeepers in which a member may still be given up because of it
)

// viewAgreement tracks whether all running gatekeepers have the same view of the fleet, with just themselves as its members.
type viewAgreement struct {
	running      map[string]bool           // ready, and not paused
	views        map[string]viewReading    // latest view of each gatekeeper
	agreed       bool                      // whether they agree now
	changes      []agreementChange         // changes between agreement and disagreement
	lastFault    control.Micros            // last beginning or end of a fault between gatekeepers
	activeFaults int                       // directions between gatekeepers that have a fault now
	lastDown     map[string]control.Micros // last time at which a gatekeeper stopped or started running
}

// viewReading is a view of the fleet as read from a gatekeeper.
type viewReading struct {
	at       control.Micros
	hash, up string // up: names of the members that are up, sorted, separated by spaces
}

// agreementChange is a change between agreement and disagreement.
type agreementChange struct {
	at     control.Micros
	agreed bool
}

// updateAgreement updates the agreement of views for an event.
func (c *Checker) updateAgreement(e *Event) {
	a := &c.viewAgreement
	if a.running == nil {
		a.running, a.views, a.lastDown = map[string]bool{}, map[string]viewReading{}, map[string]control.Micros{}
	}
	switch e.Kind {
	case Ready, Resumed:
		a.running[e.Process] = true
		a.lastDown[e.Process] = e.At
	case Stopped, Crashed, Paused, StopRequested:
		delete(a.running, e.Process)
		a.lastDown[e.Process] = e.At
	case LinkFaulty, LinkHealed:
		if strings.HasPrefix(e.Process, c.callerPrefix) || strings.HasPrefix(e.Peer, c.callerPrefix) {
			return
		}
		a.lastFault = e.At
		if e.Kind == LinkFaulty {
			a.activeFaults++
		} else {
			a.activeFaults--
		}
		return
	case ViewRead:
		a.views[e.Process] = viewReading{e.At, e.What, e.Peer}
	default:
		return
	}
	if len(a.views) == 0 {
		return
	}
	if agreed := a.allAgree(e.At); agreed != a.agreed {
		a.agreed = agreed
		a.changes = append(a.changes, agreementChange{e.At, agreed})
	}
}

// allAgree reports whether recent views of all running gatekeepers are the same and have just these gatekeepers up.
func (a *viewAgreement) allAgree(now control.Micros) bool {
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
		if !ok || now-v.at > viewMaxAge || v.up != all || i > 0 && v.hash != hash {
			return false
		}
		hash = v.hash
	}
	return true
}

// firstLoss returns the first time not before from at which agreement was lost, or end if there is none.
func (a *viewAgreement) firstLoss(from, end control.Micros) control.Micros {
	for _, change := range a.changes {
		if !change.agreed && change.at >= from {
			return change.at
		}
	}
	return end
}

// firstLasting returns the first time in [from, before) at which lasting agreement exists, or -1 if there is none. Agreement is
// lasting if it holds for minAgreement or until end.
func (a *viewAgreement) firstLasting(from, before, end control.Micros) control.Micros {
	for i, change := range a.changes {
		until := end
		if i+1 < len(a.changes) {
			until = a.changes[i+1].at
		}
		at := max(change.at, from)
		if change.agreed && until > from && at < before && (until-at >= minAgreement || at < end && until >= end) {
			return at
		}
	}
	return -1
}

// addViewTimes fills in the times of the faults that derive from the views.
func (c *Checker) addViewTimes(faults []Settled) []Settled {
	for i := range faults {
		f := &faults[i]
		f.Noticed, f.Agreed = -1, -1
		if f.To == 0 || len(c.viewAgreement.views) == 0 {
			continue
		}
		if at := c.viewAgreement.firstLasting(c.viewAgreement.firstLoss(f.From, c.now), f.To, c.now); at >= 0 {
			f.Noticed = at - f.From
		}
		from := f.To
		for _, spans := range c.timeline.notReady {
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
		if at := c.viewAgreement.firstLasting(from+1, c.now, next); at >= 0 {
			f.Agreed, f.AgreedAt = at-from, at
		}
	}
	return faults
}

// memberGivenUp checks that a member that was given up was not running, or that there was a fault among the gatekeepers.
func (c *Checker) memberGivenUp(e *Event, evidence Evidence) {
	a := &c.viewAgreement
	recent := func(at control.Micros, known bool) bool { return known && e.At-at < faultAftermath }
	memberAt, memberKnown := a.lastDown[e.Peer]
	ownAt, ownKnown := a.lastDown[e.Process]
	if !a.running[e.Peer] || !a.running[e.Process] || a.activeFaults > 0 || a.lastFault > 0 && e.At-a.lastFault < faultAftermath ||
		recent(memberAt, memberKnown && memberAt > c.timeline.begin) || recent(ownAt, ownKnown && ownAt > c.timeline.begin) {
		c.rule(RuleGivenUp).Excused++
		return
	}
	c.addViolation(RuleGivenUp, evidence)
}
