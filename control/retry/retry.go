// Package retry holds what the operators' file says on time-outs and attempts: the limits of each call, which rule of
// the file gives them, the budget of further attempts, and the proof that no course of a call under them breaks a rule.
//
// It does no I/O and reads no clock. Whether a call is tried again is decided by package control, which asks the limits
// that a call brings along. The terms are those of retry policies in proxies: an attempt has a time-out, a call has a
// number of attempts, outcomes on which to retry, a wait (back-off) with jitter, and all calls share a retry budget.
package retry

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"beammux/control"
)

// Parameter names one of the values that the file can set.
type Parameter int

// The figures. Their names in the file are those of String.
const (
	Attempts       Parameter = iota // most attempts of a call, the first included
	AttemptTimeout                  // microseconds after which an attempt is given up
	RetryWait                       // microseconds between the end of an attempt and the next
	RetryJitter                     // microseconds: the most that is added to the wait, drawn evenly
	GiveUp                          // microseconds from a call's arrival to its final answer
	RetryOn                         // a control.Outcomes
	ParameterCount                  // their number
)

var figureNames = [ParameterCount]string{"attempts", "attempt_timeout_ms", "retry_wait_ms", "retry_jitter_ms", "give_up_ms", "retry_on"}

func (f Parameter) String() string { return figureNames[f] }

// Values are figures that one part of the file sets; 0 is one that it leaves open.
type Values [ParameterCount]int64

// InvalidValue stands for a figure that the file sets to what is none. Such a file is refused; the proof leaves out what
// hangs on the figure.
const InvalidValue = -1

// FormatValue gives a value as the file would say it.
func (f Parameter) FormatValue(v int64) string {
	switch f {
	case Attempts:
		return strconv.FormatInt(v, 10)
	case RetryOn:
		return strings.Join(OutcomeNames(control.Outcomes(v)), " ")
	case AttemptTimeout, GiveUp:
		if v == 0 { // to the call's end
			return "-"
		}
	}
	return strconv.FormatInt(v/1000, 10)
}

// outcomes are the ends that the file can name, by the names of control.Code.
var outcomes = []control.Code{control.Full, control.Unreachable, control.NotSent, control.TimedOut, control.Cut, control.Cancelled, control.Failed}

// OutcomeNames gives the words of the file for a set of ends, or for all of them where the set is empty.
func OutcomeNames(set control.Outcomes) (names []string) {
	for _, o := range outcomes {
		if set == 0 || set.Has(o) {
			names = append(names, o.String())
		}
	}
	return names
}

// ParseOutcome gives the end that a word of the file stands for.
func ParseOutcome(name string) (control.Code, bool) {
	for _, o := range outcomes {
		if o.String() == name {
			return o, true
		}
	}
	return 0, false
}

// Match says which calls a route takes. What is left out takes all.
type Match struct {
	Class       string // "": any
	Number      string // number called: whole, or its first digits before a final "*"; "": any
	FirstChoice *int   // cell; nil: any
	Again       *bool  // whether the call was cut before and comes again; nil: any
}

// Route sets figures for the calls that it matches.
type Route struct {
	Name string
	Match
	Values
}

// ClassValues are the figures of one class.
type ClassValues struct {
	Name string
	Values
}

// BudgetConfig bound the further attempts of all calls together over a moving window of 10 s.
type BudgetConfig struct {
	Ratio   float64 // of the first attempts, over 0 to 1
	MinPerS int     // that are always allowed, a second; 1 to 10,000
	Burst   int     // that may go at the same moment; 1 to 10,000
}

// File is the section "calls" of the operators' file as it stands there.
type File struct {
	Defaults     Values
	Classes      []ClassValues
	Routes       []Route
	Budget       *BudgetConfig
	SecondCopies bool
}

// Rules are what the deployment's settings say on attempts.
type Rules struct {
	Names        []string // of the classes
	Classes      []control.Class
	AttemptsCap  int
	ReleaseGuard control.Micros
	ResendGap    control.Micros // 0: nothing is sent again
	SecondCopies bool
}

// RulesFromSettings takes the rules out of the settings.
func RulesFromSettings(s *control.Site) Rules {
	return Rules{Names: s.ClassNames, Classes: s.Classes, AttemptsCap: s.AttemptsCap, ReleaseGuard: s.ReleaseGuard,
		ResendGap: s.ResendGap, SecondCopies: s.SecondCopies}
}

// Fault is one reason to refuse a file. Path names the value that is at fault, as in calls.routes[0].attempts. Where
// Word is set it is a name that is not known, and Known has those that are.
type Fault struct {
	Path, What  string
	UnknownName string
	KnownNames  []string
}

// FromSettings is the origin of a value that the file does not set.
const FromSettings = "settings"

// Resolved are the limits of the calls of one class that one route takes, or none.
type Resolved struct {
	Class  int
	Route  int // place in the file, -1 for calls that no route takes
	Name   string
	Limits control.Limits
	Values Values                 // in force; 0 where nothing bounds a figure
	From   [ParameterCount]string // where each value came from: the path of a part of the file, or Settings
}

// Policy answers which limits a call has. It is immutable but for the counts of its budget, which is used by one
// goroutine alone. A nil Policy gives no limits: those of the settings hold.
type Policy struct {
	file    File
	rules   Rules
	plain   []*Resolved // by class
	routes  [][]route   // by class: those that can take a call of it, in order
	budget  *Budget
	version string
}

type route struct {
	matcher
	*Resolved
}

// Compile resolves and proves a file. With any fault there is no policy.
func Compile(file *File, rules Rules) (*Policy, []Fault) {
	if file == nil {
		return nil, nil
	}
	p := &Policy{file: *file, rules: rules}
	faults := p.names()
	if file.SecondCopies && !rules.SecondCopies {
		faults = append(faults, Fault{Path: "calls.second_copies", What: "true is refused: a call would have two attempts " +
			"out at once, which the deployment's settings (bounds.second-copies) forbid"})
	}
	faults = append(faults, p.covered()...)
	if file.Budget != nil {
		p.budget = NewBudget(*file.Budget, rules.Classes)
	}
	proof := newProof(rules)
	for c := range rules.Classes {
		plain := p.resolve(c, -1)
		p.plain = append(p.plain, plain)
		proof.check(plain)
		var routes []route
		for r := range file.Routes {
			if m := file.Routes[r].Match; m.Class == "" || m.Class == rules.Names[c] {
				resolved := p.resolve(c, r)
				proof.check(resolved)
				routes = append(routes, route{newMatcher(m), resolved})
			}
		}
		p.routes = append(p.routes, routes)
	}
	if faults = append(faults, proof.faults()...); len(faults) > 0 {
		return nil, faults
	}
	p.version = p.hash()
	return p, nil
}

// names looks for classes that the settings don't name and for routes of one name.
func (p *Policy) names() (faults []Fault) {
	known := func(path, name string) {
		if !slices.Contains(p.rules.Names, name) {
			faults = append(faults, Fault{Path: path, What: "the settings name no such class: " + strconv.Quote(name),
				UnknownName: name, KnownNames: p.rules.Names})
		}
	}
	for _, c := range p.file.Classes {
		known("calls.classes."+c.Name, c.Name)
	}
	for i, r := range p.file.Routes {
		path := fmt.Sprintf("calls.routes[%d]", i)
		if r.Class != "" {
			known(path+".match.class", r.Class)
		}
		for j, other := range p.file.Routes[:i] {
			if other.Name == r.Name {
				faults = append(faults, Fault{Path: path + ".name", What: fmt.Sprintf("%q is the name of routes[%d] already", r.Name, j)})
				break
			}
		}
	}
	return faults
}

// resolve works out the limits of a class's calls that a route takes: each figure is the route's, else the class's, else
// the default, else what the settings say.
func (p *Policy) resolve(class, at int) *Resolved {
	k := p.rules.Classes[class]
	r := &Resolved{Class: class, Route: at, Values: Values{Attempts: int64(p.rules.AttemptsCap), GiveUp: int64(k.Deadline),
		RetryOn: int64(control.Retryable)}}
	if k.Repeat != control.Idempotent { // it may not be repeated once it may have run
		r.Values[RetryOn] = int64(control.Retryable &^ control.MayHaveRun)
	}
	for f := range ParameterCount {
		r.From[f] = FromSettings
	}
	take := func(path string, v Values) {
		for f, x := range v {
			if x != 0 {
				r.Values[f], r.From[f] = x, path
			}
		}
	}
	take("calls.defaults", p.file.Defaults)
	for _, c := range p.file.Classes {
		if c.Name == p.rules.Names[class] {
			take("calls.classes."+c.Name, c.Values)
		}
	}
	if at >= 0 {
		r.Name = p.file.Routes[at].Name
		take(fmt.Sprintf("calls.routes[%d]", at), p.file.Routes[at].Values)
	}
	us := func(f Parameter) control.Micros { return control.Micros(r.Values[f]) }
	r.Limits = control.Limits{Attempts: int(r.Values[Attempts]), AttemptTimeout: us(AttemptTimeout), Wait: us(RetryWait),
		Jitter: us(RetryJitter), GiveUp: us(GiveUp), RetryOn: control.Outcomes(r.Values[RetryOn])}
	if p.budget != nil {
		r.Limits.Budget = p.budget
	}
	return r
}

// IsSet tells whether the file sets a figure, by the route, the class or the defaults.
func (r *Resolved) IsSet(f Parameter) bool { return r.From[f] != FromSettings }

// who names the calls that limits are for.
func (u *Rules) who(r *Resolved) string {
	if r.Route < 0 {
		return u.Names[r.Class] + " calls"
	}
	return fmt.Sprintf("%s calls by route %q", u.Names[r.Class], r.Name)
}

// For gives the limits of a call: those of the first route that matches, else its class's. It allocates nothing. A class
// that the settings don't name has none.
func (p *Policy) For(class int, number string, firstChoice int, again bool) *control.Limits {
	if r := p.Resolve(class, number, firstChoice, again); r != nil {
		return &r.Limits
	}
	return nil
}

// Resolve is For with where each value came from.
func (p *Policy) Resolve(class int, number string, firstChoice int, again bool) *Resolved {
	if p == nil || class < 0 || class >= len(p.plain) {
		return nil
	}
	var cut int8
	if again {
		cut = 1
	}
	routes := p.routes[class]
	for i := range routes {
		if routes[i].takes(number, firstChoice, cut) {
			return routes[i].Resolved
		}
	}
	return p.plain[class]
}

// All gives the limits of each class without a route and of each route with each class that it takes, in file order.
func (p *Policy) All() (all []*Resolved) {
	if p == nil {
		return nil
	}
	all = append(all, p.plain...)
	for _, routes := range p.routes {
		for _, r := range routes {
			all = append(all, r.Resolved)
		}
	}
	return all
}

// File gives what the policy was made of.
func (p *Policy) File() *File { return &p.file }

// Version names the limits in force: 16 hex digits (XXH64) over all that a call can be given, or "none" without a policy.
// Spaces, order of keys and names of routes don't change it.
func (p *Policy) Version() string {
	if p == nil {
		return "none"
	}
	return p.version
}

func (p *Policy) hash() string {
	h := xxhash.New()
	for _, r := range p.All() {
		fmt.Fprintln(h, r.Class, r.Route, r.Values)
		if r.Route >= 0 {
			m := p.file.Routes[r.Route].Match
			fmt.Fprintf(h, "%q", m.Number)
			if m.FirstChoice != nil {
				fmt.Fprint(h, " first ", *m.FirstChoice)
			}
			if m.Again != nil {
				fmt.Fprint(h, " again ", *m.Again)
			}
		}
	}
	if p.file.Budget != nil {
		fmt.Fprint(h, *p.file.Budget)
	}
	fmt.Fprint(h, p.file.SecondCopies)
	return fmt.Sprintf("%016x", h.Sum64())
}

// InheritCounts goes on with the counts of the policy that was in force before, so that a reload is no fresh start for the
// budget. Calls that began under the old one still count in it and in this one, since both share the counts.
func (p *Policy) InheritCounts(old *Policy) {
	if p != nil && old != nil && p.budget != nil && old.budget != nil {
		p.budget.counts = old.budget.counts
	}
}
