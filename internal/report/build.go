// Package report creates an incident report from a fleet's records: findings on the rules, tables, and an HTML page in a
// single file.
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

// checkLeadTime is how long before the requested range the check begins, so that it covers the calls that are open at the
// beginning of the range.
const checkLeadTime = 30 * time.Second

// Options select the records that a report covers.
type Options struct {
	Dirs     []string
	From, To time.Time        // zero: unlimited
	Progress func(events int) // called periodically with the number of items read, if not nil
}

// Report is the content of a report.
type Report struct {
	Fleet          *history.Fleet
	Findings       []history.Finding
	Stats          []record.Stats
	BuildTime      time.Duration
	GeneratedAt    time.Time
	RequestedRange [2]time.Time
}

// Build reads the records and checks the rules. Its memory depends on the size of the fleet, not on the time covered.
func Build(o Options) (*Report, error) {
	began := time.Now()
	reader, err := record.NewReader(o.Dirs...)
	if err != nil {
		return nil, err
	}
	defer reader.Close()
	from, to := control.Micros(0), control.Micros(1<<62)
	if !o.From.IsZero() {
		from = control.Micros(o.From.UnixMicro())
	}
	if !o.To.IsZero() {
		to = control.Micros(o.To.UnixMicro())
	}
	checkFrom := from - control.Micros(checkLeadTime.Microseconds())
	r := &Report{Fleet: history.NewFleet(), GeneratedAt: began, RequestedRange: [2]time.Time{o.From, o.To}}
	checker := history.NewChecker(nil)
	for n := 0; ; n++ {
		item, err := reader.Next()
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
			if g.To >= checkFrom && g.From <= to {
				checker.Gap(*g)
				if g.To >= from {
					r.Fleet.Gap(*g)
				}
			}
			continue
		}
		e := item.Event
		isState := e.Kind == history.Started || e.Kind == history.Continued || e.Kind == history.Listed || e.Kind == history.Reloaded
		if e.At > to || e.At < checkFrom && !isState {
			continue
		}
		checker.Event(e)
		switch {
		case e.At >= from:
			r.Fleet.Event(e)
		case isState:
			r.Fleet.ApplyBaseline(e)
		}
	}
	r.Fleet.Finalize()
	r.Findings = checker.Findings()
	for i := range r.Findings {
		f := &r.Findings[i]
		f.Evidence = slices.DeleteFunc(f.Evidence, func(e history.Evidence) bool { return e.At < from })
	}
	for _, n := range reader.Nodes {
		r.Stats = append(r.Stats, n.Stats)
	}
	r.BuildTime = time.Since(began)
	return r, nil
}

// Broken reports whether any rule was broken.
func (r *Report) Broken() bool {
	return slices.ContainsFunc(r.Findings, func(f history.Finding) bool { return f.Verdict == history.Broken })
}

// JSON writes the findings, gaps and tables as JSON. Times are in Unix microseconds.
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

// clockNote explains the effect of clock differences to the readers of a report.
const clockNote = "clocks of gatekeepers may differ by about 100 ms: events of different gatekeepers that are closer than that may appear in the wrong order; the check of cold servers allows for it, the other rules are checked for each gatekeeper alone"
