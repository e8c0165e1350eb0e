package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"beammux/control"
	"beammux/internal/history"
	"beammux/internal/lab"
	"beammux/internal/record"
	"beammux/internal/report"
)

type recordsCmd struct {
	Verify recordsVerifyCmd `cmd:"" help:"Read all records and report counts, gaps and damage; exit 1 on damage."`
	Cat    recordsCatCmd    `cmd:"" help:"Print records in time order."`
}

type recordsVerifyCmd struct {
	Dir  []string `arg:"" help:"Directories of records."`
	JSON bool     `help:"Print JSON."`
}

func (c recordsVerifyCmd) Run() error {
	r, err := record.NewReader(c.Dir...)
	if err != nil {
		return err
	}
	defer r.Close()
	for {
		if _, err := r.Next(); err == io.EOF {
			break
		} else if err != nil {
			return err
		}
	}
	var all []record.Stats
	damaged := false
	for _, n := range r.Nodes {
		all = append(all, n.Stats)
		damaged = damaged || len(n.Damage) > 0
	}
	if c.JSON {
		if err := printJSON(all); err != nil {
			return err
		}
	} else {
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "gatekeeper\tsegments\tstarts\trecords\tgaps\ttorn bytes\tdamage")
		for _, s := range all {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n", printable(s.Node), s.Segments, s.Starts, s.Records, s.Gaps, s.TornBytes, len(s.Damage))
		}
		w.Flush()
		for _, s := range all {
			for _, d := range s.Damage {
				fmt.Printf("%s: byte %d: %s\n", d.File, d.Offset, d.Description)
			}
		}
	}
	if damaged {
		return silentExit(1)
	}
	return nil
}

type recordsCatCmd struct {
	Dir    []string `arg:"" help:"Directories of records."`
	Call   string   `help:"Print only records of this call."`
	Server int64    `help:"Print only records of this server (its number)." default:"-1"`
	JSON   bool     `help:"Print one JSON object per line."`
}

// eventLine is an event as records cat prints it.
type eventLine struct {
	Time string `json:"time"`
	Node string `json:"gatekeeper"`
	Kind string `json:"kind"`
	Code string `json:"code,omitempty"`  // set for history.Ended
	List string `json:"state,omitempty"` // set for history.Listed
	history.Event
}

// newEventLine converts an event to its printed form.
func newEventLine(e *history.Event) eventLine {
	l := eventLine{Time: formatTime(e.At), Node: e.Node, Kind: e.Kind.String(), Event: *e}
	switch e.Kind {
	case history.Ended:
		l.Code = e.Code.String()
	case history.Listed:
		l.List = e.State.String()
	}
	return l
}

func (c recordsCatCmd) Run() error {
	r, err := record.NewReader(c.Dir...)
	if err != nil {
		return err
	}
	defer r.Close()
	encode := json.NewEncoder(os.Stdout)
	for {
		item, err := r.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if g := item.Gap; g != nil {
			if c.JSON {
				err = encode.Encode(map[string]any{"gap": g})
			} else {
				_, err = fmt.Printf("%s  %s  -- gap of %d ms: %s\n", formatTime(g.From), printable(g.Node), (g.To-g.From)/1000, g.Why)
			}
		} else if e := item.Event; (c.Call == "" || e.Call == c.Call) && (c.Server < 0 || int64(e.Server) == c.Server) {
			if c.JSON {
				err = encode.Encode(newEventLine(e))
			} else {
				_, err = fmt.Printf("%s  %s  %s\n", formatTime(e.At), printable(e.Node), describeEvent(e))
			}
		}
		if err != nil {
			return err
		}
	}
}

// formatTime formats a time as RFC 3339 with milliseconds, in UTC.
func formatTime(at control.Micros) string {
	return time.UnixMicro(int64(at)).UTC().Format("2006-01-02T15:04:05.000Z")
}

// printable quotes a text that holds control characters, so that texts of callers and files can't send commands to a terminal.
func printable(s string) string {
	if q := strconv.QuoteToGraphic(s); q != `"`+s+`"` {
		return q
	}
	return s
}

// describeEvent returns an event as text, without its time.
func describeEvent(e *history.Event) string {
	parts := []string{e.Kind.String()}
	add := func(format string, args ...any) { parts = append(parts, fmt.Sprintf(format, args...)) }
	if e.Call != "" {
		add("call %s", printable(e.Call))
	}
	switch e.Kind {
	case history.Received:
		add("class %d, for %d ms", e.Class, e.Span/1000)
	case history.Sent:
		add("attempt %d to server %d", e.Attempt, e.Server)
	case history.Ended:
		add("attempt %d at server %d: %s after %d ms", e.Attempt, e.Server, e.Code, e.Span/1000)
	case history.Established:
		add("at server %d after %d ms", e.Server, e.Span/1000)
	case history.Refused:
		add("told to wait %d ms", e.Span/1000)
	case history.Released:
		add("at server %d, cause %d", e.Server, e.N)
	case history.Viewed:
		add("server %d at level %d, wait %d ms", e.Server, e.Level, e.Span/1000)
	case history.Reported:
		add("server %d %v", e.Server, e.Values)
	case history.Listed:
		add("server %d (%s) %s", e.Server, printable(e.Name), e.State)
	case history.Started, history.Reloaded, history.Continued:
		add("limits %s", printable(e.Name))
	case history.ResourceUsage:
		add("%v", e.Values)
	case history.Dropped:
		add("%d records over %d ms", e.N, e.Span/1000)
	}
	return strings.Join(parts, " ")
}

type reportCmd struct {
	Dir  []string  `arg:"" help:"Directories of records, or directories with a subdirectory records."`
	Out  string    `help:"File for the HTML page." type:"path"`
	JSON string    `help:"File for the findings in JSON; - for standard output." name:"json"`
	From time.Time `help:"Start of the reported time (RFC 3339)."`
	To   time.Time `help:"End of the reported time (RFC 3339)."`
}

func (c reportCmd) Run() error {
	if c.Out == "" && c.JSON == "" {
		return withExitCode(fmt.Errorf("report: --out or --json is required"), 2)
	}
	for _, dir := range c.Dir {
		fmt.Fprintf(os.Stderr, "report: records from %s\n", record.ResolveFolder(dir))
	}
	r, err := report.Build(report.Options{Dirs: c.Dir, From: c.From, To: c.To, Progress: func(n int) {
		fmt.Fprintf(os.Stderr, "\rreport: %d records", n)
	}})
	if err != nil {
		return err
	}
	if r.Fleet.Events > 500000 {
		fmt.Fprintln(os.Stderr)
	}
	if c.Out != "" {
		if err := writeFileAtomic(c.Out, r.HTML); err != nil {
			return err
		}
	}
	switch c.JSON {
	case "":
	case "-":
		if err := r.JSON(os.Stdout); err != nil {
			return err
		}
	default:
		if err := writeFileAtomic(c.JSON, r.JSON); err != nil {
			return err
		}
	}
	for _, f := range r.Findings {
		fmt.Fprintf(os.Stderr, "%-34s %s", f.Rule, f.Verdict)
		if f.Count > 0 {
			fmt.Fprintf(os.Stderr, ", %d times", f.Count)
		}
		if f.Why != "" {
			fmt.Fprintf(os.Stderr, ": %s", f.Why)
		}
		fmt.Fprintln(os.Stderr)
	}
	if r.Broken() {
		return silentExit(1)
	}
	return nil
}

// writeFileAtomic writes a file atomically: it is written completely or not at all.
func writeFileAtomic(name string, write func(io.Writer) error) error {
	f, err := os.CreateTemp(filepath.Dir(name), ".report-*")
	if err == nil {
		defer os.Remove(f.Name())
		if err = write(f); err == nil {
			if err = f.Chmod(0o644); err == nil {
				err = f.Close()
			}
		}
	}
	if err == nil {
		err = os.Rename(f.Name(), name)
	}
	return err
}

type incidentCmd struct {
	Play incidentPlayCmd `cmd:"" help:"Run a seeded incident on loopback and make a report of it."`
}

type incidentPlayCmd struct {
	Seed        uint64        `help:"Seed of the incident." default:"1"`
	Gatekeepers int           `help:"Number of gatekeepers." default:"8"`
	Length      time.Duration `help:"Length of the incident." default:"30s"`
	Out         string        `help:"Directory for the records, report.html and report.json." required:"" type:"path"`
}

func (c incidentPlayCmd) Run() error {
	if c.Gatekeepers < 1 || c.Gatekeepers > 64 || c.Length < 5*time.Second || c.Length > 10*time.Minute {
		return withExitCode(fmt.Errorf("incident play: --gatekeepers must be 1 to 64 and --length 5s to 10m"), 2)
	}
	dir := filepath.Join(c.Out, "records")
	if _, err := record.Nodes(dir); err == nil {
		return withExitCode(fmt.Errorf("%s: already holds records; choose another --out", dir), 2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	began := time.Now()
	outcome, err := lab.Incident{Seed: c.Seed, Gatekeepers: c.Gatekeepers, Length: c.Length, Dir: dir, Progress: func(step string) {
		fmt.Fprintf(os.Stderr, "%5.1f s  %s\n", time.Since(began).Seconds(), step)
	}}.Simulate(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "%5.1f s  finished: %d calls, %d set-ups at servers\n", time.Since(began).Seconds(), outcome.First, outcome.Setups)
	return reportCmd{Dir: []string{dir}, Out: filepath.Join(c.Out, "report.html"), JSON: filepath.Join(c.Out, "report.json")}.Run()
}
