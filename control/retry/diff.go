package retry

import (
	"fmt"
	"slices"
	"strings"
)

// Change is one difference between two policies for calls of one class.
type Change struct {
	Class    string `json:"class,omitempty"` // none: for all calls
	Route    string `json:"route,omitempty"` // name; none: calls that no route takes
	Property string `json:"what"`            // a figure, match, order, budget or second_copies
	Before   string `json:"before"`          // empty: there was none
	After    string `json:"after"`           // empty: there is none any more
}

// Diff tells what a new policy changes for which class and route. Routes are known by their names. Either may be nil: then
// all is as the settings say.
func Diff(before, after *Policy, rules Rules) (changes []Change) {
	plain := func(p *Policy) *Policy {
		if p == nil {
			p, _ = Compile(&File{}, rules)
		}
		return p
	}
	before, after = plain(before), plain(after)
	add := func(class, route, what, x, y string) {
		if x != y {
			changes = append(changes, Change{class, route, what, x, y})
		}
	}
	figures := func(class, route string, x, y *Resolved) {
		for f := range ParameterCount {
			add(class, route, f.String(), f.FormatValue(x.Values[f]), f.FormatValue(y.Values[f]))
		}
	}
	add("", "", "second_copies", fmt.Sprint(before.file.SecondCopies), fmt.Sprint(after.file.SecondCopies))
	add("", "", "budget", before.file.Budget.String(), after.file.Budget.String())
	for c, class := range rules.Names {
		figures(class, "", before.plain[c], after.plain[c])
		was, is := before.named(c), after.named(c)
		for _, name := range is {
			y := after.routes[c][slices.Index(is, name)].Resolved
			if i := slices.Index(was, name); i >= 0 {
				x := before.routes[c][i].Resolved
				add(class, name, "match", before.file.Routes[x.Route].Match.String(), after.file.Routes[y.Route].Match.String())
				figures(class, name, x, y)
			} else { // its calls had the limits of their class
				add(class, name, "match", "", after.file.Routes[y.Route].Match.String())
				figures(class, name, before.plain[c], y)
			}
		}
		for i, name := range was {
			if !slices.Contains(is, name) {
				x := before.routes[c][i].Resolved
				add(class, name, "match", before.file.Routes[x.Route].Match.String(), "")
				figures(class, name, x, after.plain[c])
			}
		}
		missing := func(of []string) func(string) bool {
			return func(name string) bool { return !slices.Contains(of, name) }
		}
		x, y := slices.DeleteFunc(slices.Clone(was), missing(is)), slices.DeleteFunc(slices.Clone(is), missing(was))
		add(class, "", "order", strings.Join(x, ", "), strings.Join(y, ", "))
	}
	return changes
}

// named gives the names of the routes that can take a class's calls, in order.
func (p *Policy) named(class int) (names []string) {
	for _, r := range p.routes[class] {
		names = append(names, r.Name)
	}
	return names
}

// String gives a match as words.
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

// String gives a budget as words; a nil one as none.
func (b *BudgetConfig) String() string {
	if b == nil {
		return "none"
	}
	return fmt.Sprintf("further attempts at most %g of first ones over 10 s, at least %d/s, %d at once", b.Ratio, b.MinPerS, b.Burst)
}
