package retry

import (
	"fmt"
	"slices"
	"strings"

	"beammux/control"
)

// Delays of a running gatekeeper that the proof allows for.
const (
	SocketSlack      = control.Micros(50000)  // greatest delay until the end of an attempt is reported by its socket
	TickSlack        = control.Micros(50000)  // greatest delay until the control module sends a waiting attempt
	defaultResendGap = control.Micros(500000) // T1 of RFC 3261, section 17.1.1.1, used if the settings have no ResendGap
)

// ends lists the outcomes of a failed attempt. The time-out is first, since it is the one to show among courses that are
// otherwise alike.
var ends = []control.Code{control.TimedOut, control.Cut, control.Cancelled, control.Failed, control.Full, control.Unreachable, control.NotSent}

// Step is one attempt within a course. Times count from the arrival of the call.
type Step struct {
	Start, End control.Micros // End is the time at which the end is known
	Code       control.Code
	Wait       control.Micros // time from End to the next attempt; 0 after the last
}

// Course is one possible sequence of attempts of a call when every attempt fails.
type Course []Step

// End returns the time at which the end of the last attempt is known, or 0 without attempts.
func (c Course) End() control.Micros {
	if len(c) == 0 {
		return 0
	}
	return c[len(c)-1].End
}

// String formats the course in one line, with times in milliseconds.
func (c Course) String() string {
	var parts []string
	for i, s := range c {
		parts = append(parts, fmt.Sprintf("attempt %d at %d %s at %d", i+1, s.Start/1000, s.Code, s.End/1000))
	}
	return strings.Join(parts, ", ")
}

// proof explores the courses of calls and collects a fault for each rule that a course breaks. A fault of one value is reported
// once, for the first calls that it was found for.
type proof struct {
	rules   Rules
	found   []Fault
	similar []int // by fault: number of further routes or classes with the same fault
	done    map[proven]bool
	breach  func(rule breach, c Course)
}

// proven identifies limits that need to be proven only once: the same values of the same origin, for a class with the same rules.
type proven struct {
	Values
	from     [ParameterCount]string
	repeat   control.Repeat
	deadline control.Micros
}

// breach is a rule that a course breaks.
type breach int

const (
	outlastsCall       breach = iota // an attempt is in flight when the call is given up
	startsTooLate                    // an attempt starts too late to be established before the call is given up
	withinReleaseGuard               // a retry is sent within the release guard
	forbiddenRepeat                  // a retry is sent although an attempt may have run and the class forbids repetition
)

// newProof returns a proof without faults.
func newProof(rules Rules) *proof {
	return &proof{rules: rules, done: map[proven]bool{}}
}

// faults returns all faults found.
func (p *proof) faults() []Fault {
	for i, n := range p.similar {
		if n > 0 {
			p.found[i].What += fmt.Sprintf(" (and %d more with the same fault)", n)
		}
	}
	return p.found
}

// fault records a fault of a parameter, once for each place in the file.
func (p *proof) fault(r *Resolved, f Parameter, what string) {
	path := r.From[f] + "." + f.String()
	i := slices.IndexFunc(p.found, func(other Fault) bool { return other.Path == path })
	if i >= 0 {
		p.similar[i]++
		return
	}
	p.found, p.similar = append(p.found, Fault{Path: path, What: what}), append(p.similar, 0)
}

// cause returns the parameter to name in a fault: the first of the given ones that the file sets, else the first.
func cause(r *Resolved, parameters ...Parameter) Parameter {
	for _, f := range parameters {
		if r.IsSet(f) {
			return f
		}
	}
	return parameters[0]
}

// check proves the limits of the calls of one class that match one route.
func (p *proof) check(r *Resolved) {
	class := p.rules.Classes[r.Class]
	key := proven{r.Values, r.From, class.Repeat, class.Deadline}
	if p.done[key] {
		return
	}
	p.done[key] = true
	subject := p.rules.subject(r)
	ms := func(m control.Micros) string { return fmt.Sprintf("%d ms", m/1000) }
	limits := &r.Limits
	if r.IsSet(Attempts) && limits.Attempts > p.rules.AttemptsCap {
		p.fault(r, Attempts, fmt.Sprintf("%d is over %d, the most that the deployment allows", limits.Attempts, p.rules.AttemptsCap))
		limits.Attempts = p.rules.AttemptsCap // the file is refused anyway; continue with a valid value to find other faults
	}
	if slices.Min(r.Values[:]) < 0 {
		return
	}
	if r.IsSet(GiveUp) && limits.GiveUp > class.Deadline && class.Deadline > 0 {
		p.fault(r, GiveUp, fmt.Sprintf("%s outlasts the callers: %s are given up by them after %s", ms(limits.GiveUp), subject, ms(class.Deadline)))
		limits.GiveUp = class.Deadline
	}
	seen := map[breach]bool{}
	p.breach = func(b breach, c Course) {
		if seen[b] {
			return
		}
		seen[b] = true
		last := c[len(c)-1]
		switch b {
		case outlastsCall:
			p.fault(r, cause(r, AttemptTimeout, GiveUp), fmt.Sprintf("an attempt of %s lasts %s and outlasts the call, which is given up after %s",
				subject, ms(limits.AttemptTimeout), ms(limits.GiveUp)))
		case startsTooLate:
			p.fault(r, cause(r, Attempts, AttemptTimeout), fmt.Sprintf("attempt %d of %s has no time left to stand: sent %s after the call came, "+
				"with %s until it is given up at %s (%s needed): %s", len(c), subject, ms(last.Start), ms(max(0, limits.GiveUp-last.Start)), ms(limits.GiveUp),
				ms(p.minSetupTime(r)), c[:len(c)-1]))
		case withinReleaseGuard:
			p.fault(r, cause(r, RetryWait), fmt.Sprintf("%s sends %s again within %s (the release guard) of an attempt that may have run: %s",
				ms(limits.Wait), subject, ms(p.rules.ReleaseGuard), c))
		case forbiddenRepeat:
			p.fault(r, cause(r, RetryOn), fmt.Sprintf("%s would be repeated, which their class forbids once an attempt may have run: %s", subject, c))
		}
	}
	if limits.AttemptTimeout > 0 && limits.GiveUp > 0 && limits.AttemptTimeout > limits.GiveUp {
		p.breach(outlastsCall, Course{{End: limits.AttemptTimeout, Code: control.TimedOut}})
		return
	}
	p.explore(r, func(Course) {})
}

// minSetupTime returns the least time that a set-up needs to be established: the time until it would be retransmitted, or its
// time-out if that is shorter.
func (p *proof) minSetupTime(r *Resolved) control.Micros {
	least := p.rules.ResendGap
	if least <= 0 {
		least = defaultResendGap
	}
	if t := r.Limits.AttemptTimeout; t > 0 {
		least = min(least, t)
	}
	return least
}

// explore visits every course of a call: every sequence of outcomes, each at its earliest and its latest time, with the least and
// the greatest jitter, and with and without the slack of sockets and of the control module. Courses that reach the same point
// (attempts sent, time, whether one may have run) continue alike, so each point is explored once.
func (p *proof) explore(r *Resolved, visit func(Course)) {
	type point struct {
		tries      int
		start      control.Micros
		mayHaveRun bool
	}
	limits, class := r.Limits, p.rules.Classes[r.Class]
	maxDuration := limits.AttemptTimeout
	if maxDuration == 0 || limits.GiveUp > 0 && maxDuration > limits.GiveUp {
		maxDuration = limits.GiveUp
	}
	visited := map[point]bool{}
	var course Course
	var exploreFrom func(start control.Micros, mayHaveRun bool)
	exploreFrom = func(start control.Micros, mayHaveRun bool) {
		current := point{len(course), start, mayHaveRun}
		if visited[current] {
			return
		}
		visited[current] = true
		// An attempt without a time-out of its own lasts until the end of the call. A retry is sent only if it has the time to be
		// established.
		if late := limits.GiveUp > 0 && start+p.minSetupTime(r) > limits.GiveUp; late && len(course) > 0 {
			if limits.AttemptTimeout > 0 {
				p.breach(startsTooLate, append(slices.Clone(course), Step{Start: start}))
			}
			return
		}
		for _, code := range ends {
			end := start + maxDuration
			if limits.GiveUp > 0 {
				end = min(end, limits.GiveUp)
			}
			times := []control.Micros{end + SocketSlack, end, start}
			if code == control.TimedOut {
				times = times[:2]
			}
			mayHaveRun := mayHaveRun || control.MayHaveRun.Has(code)
			for _, end := range times {
				course = append(course, Step{Start: start, End: end, Code: code})
				visit(course)
				if len(course) < limits.Attempts && limits.RetryOn.Has(code) && (code != control.TimedOut || limits.AttemptTimeout > 0) {
					if mayHaveRun && class.Repeat != control.Idempotent {
						p.breach(forbiddenRepeat, course)
					}
					for _, wait := range p.waits(limits, code) {
						course[len(course)-1].Wait = wait
						if control.Guarded.Has(code) && wait < p.rules.ReleaseGuard {
							p.breach(withinReleaseGuard, course)
							continue
						}
						exploreFrom(end+wait, mayHaveRun)
					}
				}
				course = course[:len(course)-1]
			}
		}
	}
	exploreFrom(0, false)
}

// waits returns the longest and the shortest wait after an outcome. A wait set by the file is used as it is. Otherwise the control
// module waits for the release guard if the outcome requires it.
func (p *proof) waits(limits control.Limits, code control.Code) []control.Micros {
	shortest, longest := limits.Wait, limits.Wait+limits.Jitter
	if limits.Wait == 0 && control.Guarded.Has(code) {
		shortest = p.rules.ReleaseGuard
		longest = max(longest, shortest)
	}
	return []control.Micros{longest + TickSlack, shortest}
}

// Worst returns the course that ends last, and so keeps a caller waiting longest for an answer.
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
