package report

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"beammux/control"
	"beammux/internal/history"
)

const (
	tellMost      = 80                   // sentences of a course
	restartWithin = control.Micros(60e6) // a start so soon after a planned end is a restart
)

// Sentence is one step of an incident's course.
type Sentence struct {
	At     control.Micros
	Text   string
	weight int
}

// Timeline tells an incident in words, in order. Of more than 80 sentences those that weigh most are told: gaps, changes of
// servers and limits, then what happened most often. left is the number of the others.
func (r *Report) Timeline() (told []Sentence, left int) {
	restarted := map[*history.Episode]*history.Episode{} // starts, by the planned end before
	hidden := map[*history.Episode]bool{}
	for i, start := range r.Fleet.Episodes {
		for j := i - 1; start.Type == history.MomentStart && j >= 0 && start.At-r.Fleet.Episodes[j].At < restartWithin; j-- {
			e := r.Fleet.Episodes[j]
			if !hidden[e] && sameNodes(e.Nodes, start.Nodes) {
				switch e.Type {
				case history.MomentEnd:
					restarted[start] = e
					hidden[e] = true
				case history.MomentDrain:
					hidden[e] = true
				}
			}
		}
	}
	for _, e := range r.Fleet.Episodes {
		if hidden[e] {
			continue
		}
		text, weight := r.tell(e, restarted[e])
		told = append(told, Sentence{e.At, text, weight})
	}
	if len(told) > tellMost {
		left = len(told) - tellMost
		slices.SortStableFunc(told, func(a, b Sentence) int { return b.weight - a.weight })
		told = told[:tellMost]
		slices.SortStableFunc(told, func(a, b Sentence) int { return int(min(max(a.At-b.At, -1), 1)) })
	}
	return told, left + r.Fleet.OmittedMoments
}

func sameNodes(a, b []string) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(n string) bool { return !slices.Contains(b, n) })
}

// tell gives an episode as a sentence, with its weight.
func (r *Report) tell(e, ended *history.Episode) (text string, weight int) {
	who, server, over := nodesText(e.Nodes, len(r.Fleet.Nodes)), r.serverName(e.Server), ""
	if span := e.Last - e.At; span >= 1e6 {
		over = " over " + spanText(span)
	}
	weight = e.Count
	switch e.Type {
	case history.MomentStart:
		text = who + " started" + over
		if ended != nil {
			text = fmt.Sprintf("%s restarted as planned%s", who, over)
		}
	case history.MomentEnd:
		text = who + " ended as planned" + over
	case history.MomentDrain:
		text = who + " began a planned end" + over
	case history.MomentReload:
		text, weight = fmt.Sprintf("%s put limits of calls %s in force%s", who, e.Detail, over), 1e6
	case history.MomentServer:
		text, weight = fmt.Sprintf("The list called %s %s", server, e.Detail), 1e6
	case history.MomentGate:
		text = fmt.Sprintf("%s held back from %s, which was overloaded: %d times%s", who, server, e.Count, over)
	case history.MomentGap:
		text, weight = fmt.Sprintf("Records of %s are incomplete from here (%s)", who, e.Detail), 1e7
	default:
		text = e.Type
	}
	return text + ".", weight
}

func nodesText(nodes []string, total int) string {
	switch {
	case len(nodes) == 0:
		return "A gatekeeper"
	case len(nodes) == 1:
		return "Gatekeeper " + nodes[0]
	case len(nodes) == total:
		return fmt.Sprintf("All %d gatekeepers", total)
	case len(nodes) <= 4:
		return "Gatekeepers " + strings.Join(nodes[:len(nodes)-1], ", ") + " and " + nodes[len(nodes)-1]
	}
	return fmt.Sprintf("%d gatekeepers", len(nodes))
}

func (r *Report) serverName(id uint32) string {
	if s := r.Fleet.Servers[id]; s != nil && s.Name != "" {
		return "server " + s.Name
	}
	return fmt.Sprintf("server %d", id)
}

// Summary is the incident in three sentences.
func (r *Report) Summary() []string {
	f := r.Fleet
	var all history.Counts
	for _, c := range f.Totals {
		all.Offered += c.Offered
		all.Served += c.Served
		all.Late += c.Late
		all.Refused += c.Refused
		all.Failed += c.Failed
		all.Gone += c.Gone
	}
	if all.Offered == 0 {
		return []string{"There are no calls in the records of this time."}
	}
	part := func(n int) string { return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(all.Offered)) }
	out := []string{fmt.Sprintf("%s took %d set-ups in %s: %s stood in time, %s stood late, %s were refused, %s failed and %s were withdrawn.",
		plural(len(f.Nodes), "gatekeeper"), all.Offered, spanText(f.To-f.From), part(all.Served), part(all.Late),
		part(all.Refused), part(all.Failed), part(all.Gone))}
	if f.WorstSpan.Known {
		out = append(out, fmt.Sprintf("The worst 10 seconds began at %s: %.0f%% of the worth offered stood.", clock(f.WorstSpan.From), 100*f.WorstSpan.Part))
	}
	if class, p := f.WorstClass(); class >= 0 {
		out = append(out, fmt.Sprintf("The worst class was %s: %.1f%% stood in time.", r.className(class), 100*p))
	}
	return out
}

func plural(n int, what string) string {
	if n == 1 {
		return "1 " + what
	}
	return fmt.Sprintf("%d %ss", n, what)
}

// spanText gives a span in hours and minutes, or in seconds where it is short.
func spanText(m control.Micros) string {
	s := int64(m / 1e6)
	if s < 120 {
		return fmt.Sprintf("%d s", s)
	}
	if s < 7200 {
		return fmt.Sprintf("%d min", s/60)
	}
	return fmt.Sprintf("%d h %d min", s/3600, s%3600/60)
}

func (r *Report) className(i int) string {
	if i < len(r.Fleet.Rules.Classes) {
		return r.Fleet.Rules.Classes[i].Name
	}
	return fmt.Sprintf("class %d", i)
}

func clock(at control.Micros) string { return time.UnixMicro(int64(at)).UTC().Format("15:04:05") }
