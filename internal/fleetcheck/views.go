package fleetcheck

import (
	"slices"
	"strings"

	"beammux/control"
)

// givenUp is what a gatekeeper logs when its fleet gives a member up.
const givenUp = "fleet: member given up"

// Figures of the views.
const (
	staleAfter = control.Micros(2000000)  // a view not read for so long says nothing; a busy machine may miss some readings
	stays      = control.Micros(1000000)  // agreement that does not last so long is none
	troubleFor = control.Micros(15000000) // trouble among gatekeepers may give a member up so long after it
)

// agree follows whether the gatekeepers that run hold the fleet to be the same, and to be themselves.
type agree struct {
	running map[string]bool // ready, and not paused
	views   map[string]seenView
	is      bool
	turns   []turn
	trouble control.Micros            // when trouble between gatekeepers was last on
	open    int                       // ways between gatekeepers that are in trouble now
	down    map[string]control.Micros // when a gatekeeper was last not running
}

type seenView struct {
	at       control.Micros
	hash, up string
}

type turn struct {
	at control.Micros
	is bool
}

func (c *Checker) agreement(e *Event) {
	a := &c.agree
	if a.running == nil {
		a.running, a.views, a.down = map[string]bool{}, map[string]seenView{}, map[string]control.Micros{}
	}
	switch e.Kind {
	case Ready, Resumed:
		a.running[e.Process] = true
		a.down[e.Process] = e.At
	case Stopped, Crashed, Paused, StopRequested:
		delete(a.running, e.Process)
		a.down[e.Process] = e.At
	case LinkFaulty, LinkHealed:
		if strings.HasPrefix(e.Process, c.front) || strings.HasPrefix(e.Peer, c.front) {
			return
		}
		a.trouble = e.At
		if e.Kind == LinkFaulty {
			a.open++
		} else {
			a.open--
		}
		return
	case ViewRead:
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

// holds tells whether every gatekeeper that runs was lately seen to hold the same view, with just those up.
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

// broken gives the first time from one on at which agreement was lost, or the end.
func (a *agree) broken(from, end control.Micros) control.Micros {
	for _, t := range a.turns {
		if !t.is && t.at >= from {
			return t.at
		}
	}
	return end
}

// since gives the first time from one on at which agreement begins or is there already, and lasts: for a second, or to an
// end that cuts it short; -1 if there is none.
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

// agreed puts the times of the views to the faults.
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
		next := c.now // the next fault may end an agreement that would have lasted
		for _, o := range faults {
			if o.From > from {
				next = min(next, o.From)
			}
		}
		if at := c.agree.since(from+1, c.now, next); at >= 0 {
			f.Agreed, f.AgreedAt = at-from, at
		}
	}
	return faults
}

// givenUp judges a member that was given up: it must not have run, or there was trouble among the gatekeepers.
func (c *Checker) givenUp(e *Event, evidence Evidence) {
	a := &c.agree
	lately := func(at control.Micros, known bool) bool { return known && e.At-at < troubleFor }
	memberAt, memberKnown := a.down[e.Peer]
	ownAt, ownKnown := a.down[e.Process]
	if !a.running[e.Peer] || !a.running[e.Process] || a.open > 0 || a.trouble > 0 && e.At-a.trouble < troubleFor ||
		lately(memberAt, memberKnown && memberAt > c.course.begin) || lately(ownAt, ownKnown && ownAt > c.course.begin) {
		c.rule(RuleGivenUp).Excused++
		return
	}
	c.broke(RuleGivenUp, evidence)
}
