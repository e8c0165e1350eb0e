package retry

import (
	"fmt"
	"slices"
	"strings"
)

// matcher is a Match prepared for fast evaluation. It does not include the class, which the caller has compared before.
type matcher struct {
	number string
	prefix bool // number is a prefix of the matching numbers
	first  int  // cell, or anyCell
	again  int8 // 0 no, 1 yes, -1 any
}

// anyCell is the value of matcher.first that matches all cells.
const anyCell = -1 << 31

// newMatcher returns the matcher of a Match.
func newMatcher(m Match) matcher {
	result := matcher{first: anyCell, again: -1}
	result.number, result.prefix = strings.CutSuffix(m.Number, "*")
	if m.Number == "" {
		result.prefix = true
	}
	if m.FirstChoice != nil {
		result.first = *m.FirstChoice
	}
	if m.Again != nil {
		result.again = 0
		if *m.Again {
			result.again = 1
		}
	}
	return result
}

// matchesExceptNumber reports whether the conditions other than the number match.
func (m *matcher) matchesExceptNumber(cell int, again int8) bool {
	return (m.first == anyCell || m.first == cell) && (m.again < 0 || m.again == again)
}

// matches reports whether all conditions match.
func (m *matcher) matches(number string, cell int, again int8) bool {
	if !m.matchesExceptNumber(cell, again) {
		return false
	}
	if m.prefix {
		return strings.HasPrefix(number, m.number)
	}
	return number == m.number
}

// coversNumbers reports whether m matches every number that o matches.
func (m *matcher) coversNumbers(other *matcher) bool {
	if m.prefix {
		return strings.HasPrefix(other.number, m.number)
	}
	return !other.prefix && other.number == m.number
}

// coveredRoutes returns a fault for each route that never matches, because earlier routes match all its calls. It enumerates the
// classes, the cells that the routes name (plus one that represents all others) and both values of "again", so it also finds
// routes that are covered only by several earlier ones together. Numbers can't be enumerated, so the numbers of a route are
// covered only if a single earlier route matches all of them.
func (p *Policy) coveredRoutes() (faults []Fault) {
	cells := []int{anyCell + 1} // represents all cells that no route names
	for _, r := range p.file.Routes {
		if r.FirstChoice != nil && !slices.Contains(cells, *r.FirstChoice) {
			cells = append(cells, *r.FirstChoice)
		}
	}
	matchers := make([]matcher, len(p.file.Routes))
	for i, r := range p.file.Routes {
		matchers[i] = newMatcher(r.Match)
	}
	// taker returns the first route before i that matches all such calls of route i, or -1.
	coveringRoute := func(i int, class string, cell int, again int8) int {
		for earlier := range i {
			other, c := &matchers[earlier], p.file.Routes[earlier].Class
			if (c == "" || c == class) && other.matchesExceptNumber(cell, again) && other.coversNumbers(&matchers[i]) {
				return earlier
			}
		}
		return -1
	}
	for i, r := range p.file.Routes {
		reachable, coveredBy := false, []int{}
		for _, class := range p.rules.Names {
			for _, cell := range cells {
				for again := range int8(2) {
					if r.Class != "" && r.Class != class || !matchers[i].matchesExceptNumber(cell, again) {
						continue
					}
					earlier := coveringRoute(i, class, cell, again)
					reachable = reachable || earlier < 0
					if earlier >= 0 && !slices.Contains(coveredBy, earlier) {
						coveredBy = append(coveredBy, earlier)
					}
				}
			}
		}
		if reachable || len(coveredBy) == 0 {
			continue
		}
		slices.Sort(coveredBy)
		var names []string
		for _, earlier := range coveredBy {
			names = append(names, fmt.Sprintf("routes[%d] (%q)", earlier, p.file.Routes[earlier].Name))
		}
		faults = append(faults, Fault{Path: fmt.Sprintf("calls.routes[%d]", i),
			What: fmt.Sprintf("%q can never match: %s before it takes all its calls", r.Name, strings.Join(names, " with "))})
	}
	return faults
}
