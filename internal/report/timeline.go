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
	maxSentences  = 80                   // maximum number of sentences
	restartWithin = control.Micros(60e6) // maximum time from a planned shutdown to the start for both to count as a restart
)

// Sentence is one entry in the timeline of an incident.
type Sentence struct {
	At     control.Micros
	Text   string
	weight int
}

// Timeline returns the timeline of the incident in sentences, in order of time. If there are more than 80, it selects those
// of the highest weight: gaps, changes of servers and limits, then the most frequent moments. omitted is the number of
// left-out sentences plus the number of moments that the fleet did not keep.
func (r *Report) Timeline() (sentences []Sentence, omitted int) {
	shutdowns := map[*history.Episode]*history.Episode{} // planned shutdowns, by the start that followed
	merged := map[*history.Episode]bool{}
	for i, start := range r.Fleet.Episodes {
		for j := i - 1; start.Type == history.MomentStart && j >= 0 && start.At-r.Fleet.Episodes[j].At < restartWithin; j-- {
			e := r.Fleet.Episodes[j]
			if !merged[e] && sameNodes(e.Nodes, start.Nodes) {
				switch e.Type {
				case history.MomentEnd:
					shutdowns[start] = e
					merged[e] = true
				case history.MomentDrain:
					merged[e] = true
				}
			}
		}
	}
	for _, e := range r.Fleet.Episodes {
		if merged[e] {
			continue
		}
		text, weight := r.sentence(e, shutdowns[e])
		sentences = append(sentences, Sentence{e.At, text, weight})
	}
	if len(sentences) > maxSentences {
		omitted = len(sentences) - maxSentences
		slices.SortStableFunc(sentences, func(a, b Sentence) int { return b.weight - a.weight })
		sentences = sentences[:maxSentences]
		slices.SortStableFunc(sentences, func(a, b Sentence) int { return int(min(max(a.At-b.At, -1), 1)) })
	}
	return sentences, omitted + r.Fleet.OmittedMoments
}

// sameNodes reports whether two lists contain the same gatekeepers.
func sameNodes(a, b []string) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(n string) bool { return !slices.Contains(b, n) })
}

// sentence returns the sentence for an episode, with its weight. ended is the planned shutdown before a start, or nil.
func (r *Report) sentence(e, ended *history.Episode) (text string, weight int) {
	nodes, server, duration := formatNodes(e.Nodes, len(r.Fleet.Nodes)), r.serverName(e.Server), ""
	if span := e.Last - e.At; span >= 1e6 {
		duration = " over " + formatSpan(span)
	}
	weight = e.Count
	switch e.Type {
	case history.MomentStart:
		text = nodes + " started" + duration
		if ended != nil {
			text = fmt.Sprintf("%s restarted as planned%s", nodes, duration)
		}
	case history.MomentEnd:
		text = nodes + " shut down as planned" + duration
	case history.MomentDrain:
		text = nodes + " began a planned shutdown" + duration
	case history.MomentReload:
		text, weight = fmt.Sprintf("%s applied the call limits %s%s", nodes, e.Detail, duration), 1e6
	case history.MomentServer:
		text, weight = fmt.Sprintf("The inventory reported %s as %s", server, e.Detail), 1e6
	case history.MomentGate:
		text = fmt.Sprintf("%s stopped sending to %s, which was overloaded: %d times%s", nodes, server, e.Count, duration)
	case history.MomentGap:
		text, weight = fmt.Sprintf("Records of %s are incomplete from here (%s)", nodes, e.Detail), 1e7
	default:
		text = e.Type
	}
	return text + ".", weight
}

// formatNodes names the gatekeepers, or their number if there are many.
func formatNodes(nodes []string, total int) string {
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

// serverName returns the name of a server in sentences, or its number if the name is not known.
func (r *Report) serverName(id uint32) string {
	if s := r.Fleet.Servers[id]; s != nil && s.Name != "" {
		return "server " + s.Name
	}
	return fmt.Sprintf("server %d", id)
}

// Summary returns up to three sentences that summarize the incident.
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
		return []string{"There are no calls in the records of this time range."}
	}
	part := func(n int) string { return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(all.Offered)) }
	sentences := []string{fmt.Sprintf("%s received %d set-ups in %s: %s were established in time, %s late, %s were refused, %s failed and %s were withdrawn.",
		plural(len(f.Nodes), "gatekeeper"), all.Offered, formatSpan(f.To-f.From), part(all.Served), part(all.Late),
		part(all.Refused), part(all.Failed), part(all.Gone))}
	if f.WorstSpan.Known {
		sentences = append(sentences, fmt.Sprintf("The worst 10 seconds began at %s: %.0f%% of the offered worth was served.", clockTime(f.WorstSpan.From), 100*f.WorstSpan.Part))
	}
	if class, p := f.WorstClass(); class >= 0 {
		sentences = append(sentences, fmt.Sprintf("The worst class was %s: %.1f%% were established in time.", r.className(class), 100*p))
	}
	return sentences
}

// plural returns a number with its noun.
func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// formatSpan formats a span in hours and minutes, or in seconds if it is short.
func formatSpan(m control.Micros) string {
	s := int64(m / 1e6)
	if s < 120 {
		return fmt.Sprintf("%d s", s)
	}
	if s < 7200 {
		return fmt.Sprintf("%d min", s/60)
	}
	return fmt.Sprintf("%d h %d min", s/3600, s%3600/60)
}

// className returns the name of a class, or its index if the rules do not name it.
func (r *Report) className(i int) string {
	if i < len(r.Fleet.Rules.Classes) {
		return r.Fleet.Rules.Classes[i].Name
	}
	return fmt.Sprintf("class %d", i)
}

// clockTime formats the time of day in UTC.
func clockTime(at control.Micros) string { return time.UnixMicro(int64(at)).UTC().Format("15:04:05") }
