// Package retry implements the retry policy of the deploy file: the limits of each call, the part of the file that sets each of
// them, the retry budget, and a proof that no possible sequence of attempts of a call under these limits breaks a rule.
//
// The package does no I/O and reads no clock. Package control decides whether a call is retried, by the limits attached to the
// call. The terms are those of retry policies in proxies: an attempt has a time-out, a call has a number of attempts, outcomes
// on which to retry, and a wait (back-off) with jitter, and all calls share a retry budget.
package retry

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"beammux/control"
)

// Parameter identifies one parameter of the retry policy.
type Parameter int

// Parameters of the retry policy. String returns their keys in the file.
const (
	Attempts       Parameter = iota // greatest number of attempts of a call, including the first
	AttemptTimeout                  // microseconds after which an attempt is abandoned
	RetryWait                       // microseconds between the end of an attempt and the next attempt
	RetryJitter                     // microseconds: greatest addition to the wait, drawn from a uniform distribution
	GiveUp                          // microseconds from a call's arrival to its final answer
	RetryOn                         // outcomes on which to retry, as control.Outcomes
	ParameterCount                  // number of parameters
)

var parameterKeys = [ParameterCount]string{"attempts", "attempt_timeout_ms", "retry_wait_ms", "retry_jitter_ms", "give_up_ms", "retry_on"}

// String returns the parameter's key in the file.
func (f Parameter) String() string { return parameterKeys[f] }

// Values holds the parameters that one part of the file sets; 0: not set.
type Values [ParameterCount]int64

// InvalidValue is the value of a parameter that the file sets to an invalid value. Such a file is refused. The proof skips limits
// with such a value.
const InvalidValue = -1

// FormatValue formats a value as in the file.
func (f Parameter) FormatValue(v int64) string {
	switch f {
	case Attempts:
		return strconv.FormatInt(v, 10)
	case RetryOn:
		return strings.Join(OutcomeNames(control.Outcomes(v)), " ")
	case AttemptTimeout, GiveUp:
		if v == 0 { // until the end of the call
			return "-"
		}
	}
	return strconv.FormatInt(v/1000, 10)
}

// outcomes lists the outcomes of an attempt that the file may name, by the names of control.Code.
var outcomes = []control.Code{control.Full, control.Unreachable, control.NotSent, control.TimedOut, control.Cut, control.Cancelled, control.Failed}

// OutcomeNames returns the names in the file of a set of outcomes, or of all outcomes if the set is empty.
func OutcomeNames(set control.Outcomes) (names []string) {
	for _, o := range outcomes {
		if set == 0 || set.Has(o) {
			names = append(names, o.String())
		}
	}
	return names
}

// ParseOutcome returns the outcome with a name in the file, and whether there is one.
func ParseOutcome(name string) (control.Code, bool) {
	for _, o := range outcomes {
		if o.String() == name {
			return o, true
		}
	}
	return 0, false
}

// Match selects the calls of a route. A condition that is not set matches all calls.
type Match struct {
	Class       string // "": any
	Number      string // called number, or a prefix followed by "*"; "": any
	FirstChoice *int   // cell of first choice; nil: any
	Again       *bool  // whether the call was cut before and is set up again; nil: any
}

// Route sets parameters for the calls that it matches.
type Route struct {
	Name string
	Match
	Values
}

// ClassValues sets parameters for the calls of one class.
type ClassValues struct {
	Name string
	Values
}

// BudgetConfig configures the retry budget, which bounds the retries of all calls together over a sliding window of 10 s.
type BudgetConfig struct {
	Ratio   float64 // retries allowed per first attempt; above 0, at most 1
	MinPerS int     // retries per second that are always allowed; 1 to 10,000
	Burst   int     // retries allowed at the same moment; 1 to 10,000
}

// File is the parsed section "calls" of the deploy file.
type File struct {
	Defaults     Values
	Classes      []ClassValues
	Routes       []Route
	Budget       *BudgetConfig
	SecondCopies bool
}

// Rules holds the settings of the deployment that bound a retry policy.
type Rules struct {
	Names        []string // class names
	Classes      []control.Class
	AttemptsCap  int
	ReleaseGuard control.Micros
	ResendGap    control.Micros // interval after which a set-up is retransmitted; 0: never
	SecondCopies bool
}

// RulesFromSettings extracts the rules from the settings.
func RulesFromSettings(s *control.Site) Rules {
	return Rules{Names: s.ClassNames, Classes: s.Classes, AttemptsCap: s.AttemptsCap, ReleaseGuard: s.ReleaseGuard,
		ResendGap: s.ResendGap, SecondCopies: s.SecondCopies}
}

// Fault is one reason to refuse a file. Path locates the value at fault, as in calls.routes[0].attempts, and What describes the
// fault. If the value is an unknown name, UnknownName holds it and KnownNames the known ones.
type Fault struct {
	Path, What  string
	UnknownName string
	KnownNames  []string
}

// FromSettings is the origin, in Resolved.From, of a value that the file does not set.
const FromSettings = "settings"

// Resolved holds the limits of the calls of one class that match one route, or that match no route.
type Resolved struct {
	Class  int
	Route  int    // index in the file; -1: calls that match no route
	Name   string // name of the route
	Limits control.Limits
	Values Values                 // values in force; 0: no bound
	From   [ParameterCount]string // origin of each value: the path of a part of the file, or FromSettings
}

// Policy determines the limits of calls. It is immutable except for the counts of its budget, which only one goroutine may use.
// A nil Policy returns no limits, and those of the settings apply.
type Policy struct {
	file     File
	rules    Rules
	defaults []*Resolved // by class: limits of calls that match no route
	routes   [][]route   // by class: routes that can match a call of the class, in order
	budget   *Budget
	version  string
}

// route is a route of the file with its limits for one class.
type route struct {
	matcher
	*Resolved
}

// Compile builds the policy of a file and checks that no course of a call under it breaks a rule. It returns either the policy or
// all faults found. Without a file it returns neither.
func Compile(file *File, rules Rules) (*Policy, []Fault) {
	if file == nil {
		return nil, nil
	}
	p := &Policy{file: *file, rules: rules}
	faults := p.nameFaults()
	if file.SecondCopies && !rules.SecondCopies {
		faults = append(faults, Fault{Path: "calls.second_copies", What: "true is refused: a call would have two attempts " +
			"out at once, which the deployment's settings (bounds.second-copies) forbid"})
	}
	faults = append(faults, p.coveredRoutes()...)
	if file.Budget != nil {
		p.budget = NewBudget(*file.Budget, rules.Classes)
	}
	proof := newProof(rules)
	for c := range rules.Classes {
		defaults := p.resolve(c, -1)
		p.defaults = append(p.defaults, defaults)
		proof.check(defaults)
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

// nameFaults returns a fault for each class that the settings do not name and for each route with the name of an earlier one.
func (p *Policy) nameFaults() (faults []Fault) {
	requireKnown := func(path, name string) {
		if !slices.Contains(p.rules.Names, name) {
			faults = append(faults, Fault{Path: path, What: "the settings name no such class: " + strconv.Quote(name),
				UnknownName: name, KnownNames: p.rules.Names})
		}
	}
	for _, c := range p.file.Classes {
		requireKnown("calls.classes."+c.Name, c.Name)
	}
	for i, r := range p.file.Routes {
		path := fmt.Sprintf("calls.routes[%d]", i)
		if r.Class != "" {
			requireKnown(path+".match.class", r.Class)
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

// resolve determines the limits of the calls of a class that match a route. Each parameter is taken from the route, else from the
// class, else from the defaults, else from the settings.
func (p *Policy) resolve(class, routeIndex int) *Resolved {
	classSettings := p.rules.Classes[class]
	r := &Resolved{Class: class, Route: routeIndex, Values: Values{Attempts: int64(p.rules.AttemptsCap), GiveUp: int64(classSettings.Deadline),
		RetryOn: int64(control.Retryable)}}
	if classSettings.Repeat != control.Idempotent { // a call of this class must not be repeated if it may have run
		r.Values[RetryOn] = int64(control.Retryable &^ control.MayHaveRun)
	}
	for f := range ParameterCount {
		r.From[f] = FromSettings
	}
	apply := func(path string, v Values) {
		for f, value := range v {
			if value != 0 {
				r.Values[f], r.From[f] = value, path
			}
		}
	}
	apply("calls.defaults", p.file.Defaults)
	for _, c := range p.file.Classes {
		if c.Name == p.rules.Names[class] {
			apply("calls.classes."+c.Name, c.Values)
		}
	}
	if routeIndex >= 0 {
		r.Name = p.file.Routes[routeIndex].Name
		apply(fmt.Sprintf("calls.routes[%d]", routeIndex), p.file.Routes[routeIndex].Values)
	}
	micros := func(f Parameter) control.Micros { return control.Micros(r.Values[f]) }
	r.Limits = control.Limits{Attempts: int(r.Values[Attempts]), AttemptTimeout: micros(AttemptTimeout), Wait: micros(RetryWait),
		Jitter: micros(RetryJitter), GiveUp: micros(GiveUp), RetryOn: control.Outcomes(r.Values[RetryOn])}
	if p.budget != nil {
		r.Limits.Budget = p.budget
	}
	return r
}

// IsSet reports whether the file sets a parameter, in the route, the class or the defaults.
func (r *Resolved) IsSet(f Parameter) bool { return r.From[f] != FromSettings }

// subject describes the calls that the limits are for.
func (u *Rules) subject(r *Resolved) string {
	if r.Route < 0 {
		return u.Names[r.Class] + " calls"
	}
	return fmt.Sprintf("%s calls by route %q", u.Names[r.Class], r.Name)
}

// For returns the limits of a call: those of the first matching route, else those of its class. It does not allocate. A class
// unknown to the settings has no limits.
func (p *Policy) For(class int, number string, firstChoice int, again bool) *control.Limits {
	if r := p.Resolve(class, number, firstChoice, again); r != nil {
		return &r.Limits
	}
	return nil
}

// Resolve is like For, and also returns the origin of each value.
func (p *Policy) Resolve(class int, number string, firstChoice int, again bool) *Resolved {
	if p == nil || class < 0 || class >= len(p.defaults) {
		return nil
	}
	var wasCut int8
	if again {
		wasCut = 1
	}
	routes := p.routes[class]
	for i := range routes {
		if routes[i].matches(number, firstChoice, wasCut) {
			return routes[i].Resolved
		}
	}
	return p.defaults[class]
}

// All returns the limits of each class without a route, and of each route with each class that it can match, in the order of the
// file.
func (p *Policy) All() (all []*Resolved) {
	if p == nil {
		return nil
	}
	all = append(all, p.defaults...)
	for _, routes := range p.routes {
		for _, r := range routes {
			all = append(all, r.Resolved)
		}
	}
	return all
}

// File returns the file that the policy was compiled from.
func (p *Policy) File() *File { return &p.file }

// Version returns a hash of all limits that a call can have, as 16 hex digits (XXH64), or "none" without a policy. White space, the
// order of keys and the names of routes do not affect it.
func (p *Policy) Version() string {
	if p == nil {
		return "none"
	}
	return p.version
}

// hash computes Version from the limits, the conditions of the routes and the budget.
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

// InheritCounts continues with the budget counts of the policy that was in force before, so that a reload does not reset the budget. Both
// policies then share the counts, so calls that began under the old policy count in both.
func (p *Policy) InheritCounts(old *Policy) {
	if p != nil && old != nil && p.budget != nil && old.budget != nil {
		p.budget.counts = old.budget.counts
	}
}
