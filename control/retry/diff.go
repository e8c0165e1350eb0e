package retry

import (
	"fmt"
	"slices"
	"strings"
)

// Change is one difference between two policies for calls of one class.
type Change struct {
	Class    string `json:"class,omitempty"` // empty: all calls
	Route    string `json:"route,omitempty"` // name of the route; empty: calls that match no route
	Property string `json:"what"`            // a parameter, or match, order, budget or second_copies
	Before   string `json:"before"`          // empty: not present before
	After    string `json:"after"`           // empty: not present after
}

// Diff returns the changes from one policy to another, by class and route. Routes are identified by name. A nil policy has the
// limits of the settings.
func Diff(before, after *Policy, rules Rules) (changes []Change) {
	defaults := func(p *Policy) *Policy {
		if p == nil {
			p, _ = Compile(&File{}, rules)
		}
		return p
	}
	before, after = defaults(before), defaults(after)
	add := func(class, route, what, x, y string) {
		if x != y {
			changes = append(changes, Change{class, route, what, x, y})
		}
	}
	addValues := func(class, route string, x, y *Resolved) {
		for f := range ParameterCount {
			add(class, route, f.String(), f.FormatValue(x.Values[f]), f.FormatValue(y.Values[f]))
		}
	}
	add("", "", "second_copies", fmt.Sprint(before.file.SecondCopies), fmt.Sprint(after.file.SecondCopies))
	add("", "", "budget", before.file.Budget.String(), after.file.Budget.String())
	for c, class := range rules.Names {
		addValues(class, "", before.defaults[c], after.defaults[c])
		namesBefore, namesAfter := before.routeNames(c), after.routeNames(c)
		for _, name := range namesAfter {
			y := after.routes[c][slices.Index(namesAfter, name)].Resolved
			if i := slices.Index(namesBefore, name); i >= 0 {
				x := before.routes[c][i].Resolved
				add(class, name, "match", before.file.Routes[x.Route].Match.String(), after.file.Routes[y.Route].Match.String())
				addValues(class, name, x, y)
			} else { // before, these calls had the limits of their class
				add(class, name, "match", "", after.file.Routes[y.Route].Match.String())
				addValues(class, name, before.defaults[c], y)
			}
		}
		for i, name := range namesBefore {
			if !slices.Contains(namesAfter, name) {
				x := before.routes[c][i].Resolved
				add(class, name, "match", before.file.Routes[x.Route].Match.String(), "")
				addValues(class, name, x, after.defaults[c])
			}
		}
		missing := func(others []string) func(string) bool {
			return func(name string) bool { return !slices.Contains(others, name) }
		}
		x, y := slices.DeleteFunc(slices.Clone(namesBefore), missing(namesAfter)), slices.DeleteFunc(slices.Clone(namesAfter), missing(namesBefore))
		add(class, "", "order", strings.Join(x, ", "), strings.Join(y, ", "))
	}
	return changes
}

// routeNames returns the names of the routes that can match calls of a class, in order.
func (p *Policy) routeNames(class int) (names []string) {
	for _, r := range p.routes[class] {
		names = append(names, r.Name)
	}
	return names
}

// String describes the matched calls.
func (m Match) String() string {
	var words []string
	if m.Class != "" {
		words = append(words, "class "+m.Class)
	}
	if m.Number != "" {
		words = append(words, "number "+m.Number)
	}
	if m.FirstChoice != nil {
		words = append(words, fmt.Sprintf("first choice %d", *m.FirstChoice))
	}
	if m.Again != nil {
		words = append(words, fmt.Sprintf("again %t", *m.Again))
	}
	if len(words) == 0 {
		return "all calls"
	}
	return strings.Join(words, ", ")
}

// String describes the budget; a nil one is "none".
func (b *BudgetConfig) String() string {
	if b == nil {
		return "none"
	}
	return fmt.Sprintf("further attempts at most %g of first ones over 10 s, at least %d/s, %d at once", b.Ratio, b.MinPerS, b.Burst)
}
