package fleetlab

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"beammux/control"
	"beammux/control/quota"
	"beammux/control/registers"
	"beammux/internal/counting"
	gossip "beammux/internal/fleet"
	"beammux/internal/fleetcheck"
	"beammux/internal/fleetlab/script"
	"beammux/internal/lab"
	"beammux/internal/record"
)

const (
	outcomeFile = "outcome.json"
	summaryFile = "summary.json"
	lineMost    = 1 << 20
)

// Summary is what a run came to.
type Summary struct {
	Dir         string       `json:"dir"`
	Seed        uint64       `json:"seed"`
	Gatekeepers int          `json:"gatekeepers"`
	Servers     int          `json:"servers"`
	Zones       int          `json:"zones"`
	Verdict     string       `json:"verdict"` // held or broken
	Stopped     bool         `json:"stopped"` // ended before its time
	Took        float64      `json:"took_s"`
	Starts      []float64    `json:"ready_after_s"`                 // of each gatekeeper's first start
	Joined      float64      `json:"views_agree_after_s,omitempty"` // from all ready to all views the same
	Outcome     *lab.Outcome `json:"outcome,omitempty"`

	Limit    *fleetcheck.LimitStats   `json:"limit,omitempty"`
	Verdicts *fleetcheck.VerdictStats `json:"verdicts,omitempty"`
	*fleetcheck.Result
}

func (s *Summary) write(dir string) error {
	text, err := json.MarshalIndent(s, "", " ")
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, summaryFile), append(text, '\n'), 0o644)
	}
	if err != nil {
		return err
	}
	return s.report(dir)
}

// Check reads what a run wrote and judges it, with the further rules that are given. It may be called again at any time.
func Check(dir string, invariants ...fleetcheck.Invariant) (*Summary, error) {
	s, err := script.Load(filepath.Join(dir, "script.yaml"))
	if err != nil {
		return nil, err
	}
	sum := &Summary{Dir: dir, Seed: s.Seed, Gatekeepers: s.Gatekeepers, Servers: s.Servers, Zones: s.Zones, Verdict: "held"}
	text, err := os.ReadFile(filepath.Join(dir, outcomeFile))
	if err == nil {
		err = json.Unmarshal(text, &sum.Outcome)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) { // a run that was stopped has none
		return nil, err
	}
	capacities := map[uint32]float64{}
	for i := range s.Servers {
		capacities[uint32(i+1)] = lab.PlatformWork().Capacity()
	}
	if s.Fleet {
		invariants = append(invariants, fleetcheck.NewRates(control.Micros(gossip.Topics[registers.Rates].MaxAge), control.Micros(counting.DecayTime)))
	}
	var judged *fleetcheck.Verdicts
	if s.Verdicts {
		judged = fleetcheck.NewVerdicts(script.Front, suspects(s), engaged(s))
		invariants = append(invariants, judged)
	}
	limit := limitRule(s)
	if limit != nil {
		invariants = append(invariants, limit)
	}
	c := fleetcheck.New(script.Front, capacities, invariants...)
	events, err := readEvents(dir, s)
	if err != nil {
		return nil, err
	}
	if err := merge(c, dir, events); err != nil {
		return nil, err
	}
	sum.Result = c.Result()
	if judged != nil {
		stats := judged.Stats()
		sum.Verdicts = &stats
	}
	if limit != nil {
		stats := limit.Stats()
		sum.Limit = &stats
	}
	if !sum.Held() {
		sum.Verdict = "broken"
	}
	return sum, nil
}

// suspects gives, by fault, the servers that may rightly seem ill because of it: those that it acts on, and those at the ends of
// its links. Killed and paused gatekeepers' own attempts fail through no server's fault.
func suspects(s *script.Script) map[string][]uint32 {
	all := map[string][]uint32{}
	for i, f := range s.Faults {
		for _, selector := range []string{f.Target, f.From, f.To} {
			names, err := s.Select(selector)
			if selector == "" || err != nil {
				continue
			}
			for _, name := range names {
				if n, err := strconv.ParseUint(strings.TrimPrefix(name, "s"), 10, 32); err == nil && strings.HasPrefix(name, "s") {
					all[faultName(i, f)] = append(all[faultName(i, f)], uint32(n))
				}
			}
		}
	}
	return all
}

// engaged gives, by fault, the number whose lines it makes busy.
func engaged(s *script.Script) map[string]string {
	all := map[string]string{}
	for i, f := range s.Faults {
		if f.Number != "" {
			all[faultName(i, f)] = f.Number
		}
	}
	return all
}

// reloadSettles is how long after a lower limit was told by SIGHUP it binds the whole fleet: the files are read, and what was
// leased by the old ones ends.
const reloadSettles = quota.LeaseDuration + quota.RenewInterval + 1000000

// limitRule gives the rule of a script's limit, nil where the script has none or does not share it: limits of each alone
// are measured, not judged.
func limitRule(s *script.Script) *fleetcheck.Limit {
	if s.Limits == nil {
		return nil
	}
	loose, wakes := map[string]float64{}, 0.0
	n := float64(s.Gatekeepers)
	switch s.Limits.Mode {
	case "near": // near.go's bound
		wakes = n - 1
		for i, f := range s.Faults {
			if late := control.Micros(time.Duration(f.Delay+f.Jitter).Microseconds()) - quota.TransitAllowance; f.Kind == "delay" && late > 0 {
				loose[faultName(i, f)] = (n - 1) * min(1, n*float64(late)/float64(quota.GrowTime))
			}
		}
	case "alone":
		return fleetcheck.NewLimit(n*s.Limits.PerS, n*s.Limits.Burst, reloadSettles, nil, 0).MeasureAgainst(s.Limits.PerS)
	}
	return fleetcheck.NewLimit(s.Limits.PerS, s.Limits.Burst, reloadSettles, loose, wakes)
}

// readEvents reads all but the records, sorted by time.
func readEvents(dir string, s *script.Script) (events []fleetcheck.Event, err error) {
	for _, name := range []string{"run.jsonl", "callers.jsonl", "servers.jsonl"} {
		err := eachLine(filepath.Join(dir, name), func(n int, text []byte) error {
			var l line
			if err := json.Unmarshal(text, &l); err != nil {
				return err
			}
			e, ok := l.event(fleetcheck.Place{File: name, Line: n})
			if !ok {
				return fmt.Errorf("kind %q is not known", l.Kind)
			}
			events = append(events, e)
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	for i := range s.Gatekeepers {
		name := script.Gatekeeper(i)
		file := filepath.Join("logs", name+".log")
		last := control.Micros(0)
		err := eachLine(filepath.Join(dir, file), func(n int, text []byte) error {
			e := logged(text, last)
			last = e.At
			e.Process, e.Place = name, fleetcheck.Place{File: file, Line: n}
			events = append(events, e)
			return nil
		})
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return nil, err
		}
	}
	slices.SortStableFunc(events, func(a, b fleetcheck.Event) int { return int(min(max(a.At-b.At, -1), 1)) })
	return events, nil
}

// verdictChanged is what a gatekeeper logs with the server and its phase (package ejection).
const verdictChanged = "verdict: changed"

// logged reads a line of a gatekeeper's log. What is no JSON comes from the runtime: a panic, and the stacks after it.
func logged(text []byte, last control.Micros) fleetcheck.Event {
	var l struct {
		Time             time.Time
		Level, Msg, Call string
		Member, Health   string
		Server, Phase    any
	}
	if json.Unmarshal(text, &l) != nil {
		e := fleetcheck.Event{At: last, Kind: fleetcheck.Logged, What: strings.TrimSpace(string(text))}
		if strings.HasPrefix(e.What, "panic:") || strings.HasPrefix(e.What, "fatal error:") {
			e.Level = "panic"
		}
		return e
	}
	if l.Msg == verdictChanged {
		return fleetcheck.Event{At: control.Micros(l.Time.UnixMicro()), Kind: fleetcheck.VerdictPhaseChanged, Peer: fmt.Sprint(l.Server), What: fmt.Sprint(l.Phase)}
	}
	return fleetcheck.Event{At: control.Micros(l.Time.UnixMicro()), Kind: fleetcheck.Logged, Level: l.Level, What: l.Msg, Call: l.Call, Peer: l.Member, Health: l.Health}
}

// eachLine hands on the lines of a file, counted from 1.
func eachLine(file string, take func(n int, text []byte) error) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	in := bufio.NewScanner(f)
	in.Buffer(make([]byte, 64<<10), lineMost)
	for n := 1; in.Scan(); n++ {
		if err := take(n, in.Bytes()); err != nil {
			return fmt.Errorf("%s:%d: %w", file, n, err)
		}
	}
	return in.Err()
}

// merge hands a checker the events and the gatekeepers' records in the order of time.
func merge(c *fleetcheck.Checker, dir string, events []fleetcheck.Event) error {
	next := 0
	until := func(at control.Micros) {
		for ; next < len(events) && events[next].At <= at; next++ {
			c.Event(&events[next])
		}
	}
	records, err := record.NewReader(filepath.Join(dir, "records"))
	if err == nil {
		defer records.Close()
		for {
			item, err := records.Next()
			if err == io.EOF {
				break
			}
			if err != nil {
				return err
			}
			if g := item.Gap; g != nil {
				until(g.From)
				c.Gap(*g)
				continue
			}
			e := item.Event
			until(e.At)
			c.Record(e, fleetcheck.Place{File: fmt.Sprintf("records/%s start %d", e.Node, e.Start), Line: int(e.Seq)})
		}
	} else if !strings.Contains(err.Error(), "no records") { // a run that was stopped before any gatekeeper wrote one
		return err
	}
	until(1 << 62)
	return nil
}
