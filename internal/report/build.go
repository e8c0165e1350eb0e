// Package report makes of a fleet's records what people read after an incident: findings on the rules, tables, and an
// HTML page in one file.
package report

import (
	"encoding/json"
	"io"
	"slices"
	"time"

	"beammux/control"
	"beammux/internal/history"
	"beammux/internal/record"
)

// lookBack is how far before the asked range events are taken in for the check: calls that are open at its beginning.
const lookBack = 30 * time.Second

// Options say what a report covers.
type Options struct {
	Dirs     []string
	From, To time.Time        // zero: all
	Progress func(events int) // called now and then, if not nil
}

// Report is all that a page shows.
type Report struct {
	Fleet          *history.Fleet
	Findings       []history.Finding
	Stats          []record.Stats
	BuildTime      time.Duration
	GeneratedAt    time.Time
	RequestedRange [2]time.Time
}

// Build reads the records and judges them. Its memory is that of the fleet's state, whatever the time covered.
func Build(o Options) (*Report, error) {
	began := time.Now()
	in, err := record.NewReader(o.Dirs...)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	from, to := control.Micros(0), control.Micros(1<<62)
	if !o.From.IsZero() {
		from = control.Micros(o.From.UnixMicro())
	}
	if !o.To.IsZero() {
		to = control.Micros(o.To.UnixMicro())
	}
	early := from - control.Micros(lookBack.Microseconds())
	r := &Report{Fleet: history.NewFleet(), GeneratedAt: began, RequestedRange: [2]time.Time{o.From, o.To}}
	checker := history.NewChecker(nil)
	for n := 0; ; n++ {
		item, err := in.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
		if o.Progress != nil && n%500000 == 0 && n > 0 {
			o.Progress(n)
		}
		if g := item.Gap; g != nil {
			if g.To >= early && g.From <= to {
				checker.Gap(*g)
				if g.To >= from {
					r.Fleet.Gap(*g)
				}
			}
			continue
		}
		e := item.Event
		state := e.Kind == history.Started || e.Kind == history.Continued || e.Kind == history.Listed || e.Kind == history.Reloaded
		if e.At > to || e.At < early && !state {
			continue
		}
		checker.Event(e)
		switch {
		case e.At >= from:
			r.Fleet.Event(e)
		case state:
			r.Fleet.ApplyBaseline(e)
		}
	}
	r.Fleet.Finalize()
	r.Findings = checker.Findings()
	for i := range r.Findings {
		f := &r.Findings[i]
		f.Evidence = slices.DeleteFunc(f.Evidence, func(e history.Evidence) bool { return e.At < from })
	}
	for _, n := range in.Nodes {
		r.Stats = append(r.Stats, n.Stats)
	}
	r.BuildTime = time.Since(began)
	return r, nil
}

// Broken tells whether any rule was broken.
func (r *Report) Broken() bool {
	return slices.ContainsFunc(r.Findings, func(f history.Finding) bool { return f.Verdict == history.Broken })
}

// JSON writes the findings, gaps and tables. Times are Unix microseconds.
func (r *Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(map[string]any{
		"rules":       r.Findings,
		"gaps":        append([]history.Gap{}, r.Fleet.Gaps...),
		"gatekeepers": r.Fleet.NodeList(),
		"servers":     r.Fleet.ServerList(),
		"worst_10s":   r.Fleet.WorstSpan,
		"records":     r.Stats,
		"from":        r.Fleet.From,
		"to":          r.Fleet.To,
		"clock_slack": map[string]any{"us": history.ClockSlack, "note": clockNote},
	})
}

const clockNote = "clocks of gatekeepers may differ by some 100 ms: events of different gatekeepers that are closer than that may stand in the wrong order; the check of cold servers allows for it, the other rules are judged within one gatekeeper"
