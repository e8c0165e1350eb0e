package retry

import (
	"fmt"
	"slices"
	"strings"

	"beammux/control"
)

// Figures of the running gatekeeper that the proof counts with.
const (
	SocketSlack = control.Micros(50000)  // by so much an end may be told late on sockets
	TickSlack   = control.Micros(50000)  // by so much the module may be late to send what it held
	plainStand  = control.Micros(500000) // T1 of RFC 3261, 17.1.1.1, where the settings name no gap of their own
)

// ends are the ways in which an attempt fails. A time-out comes first: of courses alike it is the one to show.
var ends = []control.Code{control.TimedOut, control.Cut, control.Cancelled, control.Failed, control.Full, control.Unreachable, control.NotSent}

// Step is one attempt within a course. Times count from the arrival of the call.
type Step struct {
	Start, End control.Micros // End is when it is known to have ended
	Code       control.Code
	Wait       control.Micros // from End to the next attempt; 0 after the last
}

// Course is one way that a call can go when every attempt fails.
type Course []Step

// End is when the last attempt of the course is known to have ended.
func (c Course) End() control.Micros {
	if len(c) == 0 {
		return 0
	}
	return c[len(c)-1].End
}

// String gives the course in one line, in milliseconds.
func (c Course) String() string {
	var parts []string
	for i, s := range c {
		parts = append(parts, fmt.Sprintf("attempt %d at %d %s at %d", i+1, s.Start/1000, s.Code, s.End/1000))
	}
	return strings.Join(parts, ", ")
}

// proof goes through the courses of calls and gathers the rules that any of them breaks. A fault of one value is told
// once, with the first calls that it was seen for.
type proof struct {
	rules  Rules
	found  []Fault
	more   []int // calls of further routes or classes that the same fault was seen for
	done   map[proven]bool
	breach func(rule breach, c Course)
}

// proven marks what needs no second proof: the same values from the same places in a class of the same rules.
type proven struct {
	Values
	from     [ParameterCount]string
	repeat   control.Repeat
	deadline control.Micros
}

type breach int

const (
	outlasts breach = iota // an attempt is out when the caller has given up
	noTime                 // an attempt begins too late to stand
	tooSoon                // sent again within the release guard
	repeated               // sent again though it may have run and must not be repeated
)

func newProof(rules Rules) *proof {
	return &proof{rules: rules, done: map[proven]bool{}}
}

func (p *proof) faults() []Fault {
	for i, n := range p.more {
		if n > 0 {
			p.found[i].What += fmt.Sprintf(" (and %d more like it)", n)
		}
	}
	return p.found
}

func (p *proof) fault(r *Resolved, f Parameter, what string) {
	path := r.From[f] + "." + f.String()
	i := slices.IndexFunc(p.found, func(o Fault) bool { return o.Path == path })
	if i >= 0 {
		p.more[i]++
		return
	}
	p.found, p.more = append(p.found, Fault{Path: path, What: what}), append(p.more, 0)
}

// cause picks the figure to blame: the first of those that the file sets.
func cause(r *Resolved, figures ...Parameter) Parameter {
	for _, f := range figures {
		if r.IsSet(f) {
			return f
		}
	}
	return figures[0]
}

// check proves the limits of one class's calls by one route.
func (p *proof) check(r *Resolved) {
	class := p.rules.Classes[r.Class]
	key := proven{r.Values, r.From, class.Repeat, class.Deadline}
	if p.done[key] {
		return
	}
	p.done[key] = true
	who := p.rules.who(r)
	ms := func(m control.Micros) string { return fmt.Sprintf("%d ms", m/1000) }
	l := &r.Limits
	if r.IsSet(Attempts) && l.Attempts > p.rules.AttemptsCap {
		p.fault(r, Attempts, fmt.Sprintf("%d is over %d, the most that the deployment allows", l.Attempts, p.rules.AttemptsCap))
		l.Attempts = p.rules.AttemptsCap // the file is refused; what else breaks a rule is told too
	}
	if slices.Min(r.Values[:]) < 0 {
		return
	}
	if r.IsSet(GiveUp) && l.GiveUp > class.Deadline && class.Deadline > 0 {
		p.fault(r, GiveUp, fmt.Sprintf("%s outlasts the callers: %s are given up by them after %s", ms(l.GiveUp), who, ms(class.Deadline)))
		l.GiveUp = class.Deadline
	}
	seen := map[breach]bool{}
	p.breach = func(b breach, c Course) {
		if seen[b] {
			return
		}
		seen[b] = true
		at := c[len(c)-1]
		switch b {
		case outlasts:
			p.fault(r, cause(r, AttemptTimeout, GiveUp), fmt.Sprintf("an attempt of %s lasts %s and outlasts the call, which is given up after %s",
				who, ms(l.AttemptTimeout), ms(l.GiveUp)))
		case noTime:
			p.fault(r, cause(r, Attempts, AttemptTimeout), fmt.Sprintf("attempt %d of %s has no time left to stand: sent %s after the call came, "+
				"with %s until it is given up at %s (%s needed): %s", len(c), who, ms(at.Start), ms(max(0, l.GiveUp-at.Start)), ms(l.GiveUp),
				ms(p.stand(r)), c[:len(c)-1]))
		case tooSoon:
			p.fault(r, cause(r, RetryWait), fmt.Sprintf("%s sends %s again within %s (the release guard) of an attempt that may have run: %s",
				ms(l.Wait), who, ms(p.rules.ReleaseGuard), c))
		case repeated:
			p.fault(r, cause(r, RetryOn), fmt.Sprintf("%s would be repeated, which their class forbids once an attempt may have run: %s", who, c))
		}
	}
	if l.AttemptTimeout > 0 && l.GiveUp > 0 && l.AttemptTimeout > l.GiveUp {
		p.breach(outlasts, Course{{End: l.AttemptTimeout, Code: control.TimedOut}})
		return
	}
	p.explore(r, func(Course) {})
}

// stand is the least time in which a set-up can stand: until it would be sent again, or its time-out if shorter.
func (p *proof) stand(r *Resolved) control.Micros {
	least := p.rules.ResendGap
	if least <= 0 {
		least = plainStand
	}
	if t := r.Limits.AttemptTimeout; t > 0 {
		least = min(least, t)
	}
	return least
}

// explore goes through every course of a call: every order of ends, each at its earliest and its latest, waits with no
// jitter and with all of it, slack of sockets and of the module left out and in. Courses that have come to the same
// point (attempts sent, time, whether one may have run) go on alike, so each point is gone on from once.
func (p *proof) explore(r *Resolved, visit func(Course)) {
	type point struct {
		tries int
		start control.Micros
		ran   bool
	}
	l, class := r.Limits, p.rules.Classes[r.Class]
	limit := l.AttemptTimeout
	if limit == 0 || l.GiveUp > 0 && limit > l.GiveUp {
		limit = l.GiveUp
	}
	been := map[point]bool{}
	var course Course
	var from func(start control.Micros, ran bool)
	from = func(start control.Micros, ran bool) {
		at := point{len(course), start, ran}
		if been[at] {
			return
		}
		been[at] = true
		// Without a time-out of its own an attempt lasts to the call's end, and a further one goes only where it can stand.
		if late := l.GiveUp > 0 && start+p.stand(r) > l.GiveUp; late && len(course) > 0 {
			if l.AttemptTimeout > 0 {
				p.breach(noTime, append(slices.Clone(course), Step{Start: start}))
			}
			return
		}
		for _, code := range ends {
			end := start + limit
			if l.GiveUp > 0 {
				end = min(end, l.GiveUp)
			}
			times := []control.Micros{end + SocketSlack, end, start}
			if code == control.TimedOut {
				times = times[:2]
			}
			ran := ran || control.MayHaveRun.Has(code)
			for _, end := range times {
				course = append(course, Step{Start: start, End: end, Code: code})
				visit(course)
				if len(course) < l.Attempts && l.RetryOn.Has(code) && (code != control.TimedOut || l.AttemptTimeout > 0) {
					if ran && class.Repeat != control.Idempotent {
						p.breach(repeated, course)
					}
					for _, w := range p.waits(l, code) {
						course[len(course)-1].Wait = w
						if control.Guarded.Has(code) && w < p.rules.ReleaseGuard {
							p.breach(tooSoon, course)
							continue
						}
						from(end+w, ran)
					}
				}
				course = course[:len(course)-1]
			}
		}
	}
	from(0, false)
}

// waits gives the longest and the shortest wait after an end. A wait that the file sets is taken at its word; else the
// module waits for the release guard where the rules ask for it.
func (p *proof) waits(l control.Limits, code control.Code) []control.Micros {
	least, most := l.Wait, l.Wait+l.Jitter
	if l.Wait == 0 && control.Guarded.Has(code) {
		least = p.rules.ReleaseGuard
		most = max(most, least)
	}
	return []control.Micros{most + TickSlack, least}
}

// Worst gives the course that ends last, and so keeps a caller waiting longest without an answer.
func (p *Policy) Worst(r *Resolved) (worst Course) {
	proof := newProof(p.rules)
	proof.breach = func(breach, Course) {}
	proof.explore(r, func(c Course) {
		if len(worst) == 0 || c.End() > worst.End() || c.End() == worst.End() && len(c) > len(worst) {
			worst = slices.Clone(c)
		}
	})
	return worst
}
