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
	outcomeFile  = "outcome.json"
	summaryFile  = "summary.json"
	maxLineBytes = 1 << 20
)

// Summary is the result of a run.
type Summary struct {
	Dir         string       `json:"dir"`
	Seed        uint64       `json:"seed"`
	Gatekeepers int          `json:"gatekeepers"`
	Servers     int          `json:"servers"`
	Zones       int          `json:"zones"`
	Verdict     string       `json:"verdict"` // held or broken: whether all rules held
	Stopped     bool         `json:"stopped"` // the run was interrupted
	Elapsed     float64      `json:"took_s"`
	StartTimes  []float64    `json:"ready_after_s"`                 // seconds from the start of each gatekeeper to ready, first start only
	AgreedAfter float64      `json:"views_agree_after_s,omitempty"` // seconds from all gatekeepers ready to identical fleet views
	Outcome     *lab.Outcome `json:"outcome,omitempty"`

	Limit    *fleetcheck.LimitStats   `json:"limit,omitempty"`
	Verdicts *fleetcheck.VerdictStats `json:"verdicts,omitempty"`
	*fleetcheck.Result
}

// write writes the summary and the report into the folder of the run.
func (s *Summary) write(dir string) error {
	text, err := json.MarshalIndent(s, "", " ")
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, summaryFile), append(text, '\n'), 0o644)
	}
	if err != nil {
		return err
	}
	return s.writeReport(dir)
}

// Check reads the files of a run from dir and evaluates the rules of package fleetcheck and the given invariants. It
// modifies nothing and may be repeated.
func Check(dir string, invariants ...fleetcheck.Invariant) (*Summary, error) {
	s, err := script.Load(filepath.Join(dir, "script.yaml"))
	if err != nil {
		return nil, err
	}
	summary := &Summary{Dir: dir, Seed: s.Seed, Gatekeepers: s.Gatekeepers, Servers: s.Servers, Zones: s.Zones, Verdict: "held"}
	text, err := os.ReadFile(filepath.Join(dir, outcomeFile))
	if err == nil {
		err = json.Unmarshal(text, &summary.Outcome)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) { // an interrupted run has no outcome
		return nil, err
	}
	capacities := map[uint32]float64{}
	for i := range s.Servers {
		for generation := range maxGenerations {
			capacities[hostNumber(i, generation)] = lab.PlatformWork().Capacity()
		}
	}
	if s.Fleet {
		invariants = append(invariants, fleetcheck.NewRates(control.Micros(gossip.Topics[registers.Rates].MaxAge), control.Micros(counting.DecayTime)))
	}
	var verdicts *fleetcheck.Verdicts
	if s.Verdicts {
		verdicts = fleetcheck.NewVerdicts(script.Front, serversOfFaults(s), busyNumbers(s))
		invariants = append(invariants, verdicts)
	}
	limit := limitRule(s)
	if limit != nil {
		invariants = append(invariants, limit)
	}
	invariants = append(invariants, fleetcheck.NewEstablishedCalls(script.Front), fleetcheck.NewDelistedServers(script.Bus),
		fleetcheck.NewEvacuations(script.Front))
	checker := fleetcheck.New(script.Front, capacities, invariants...)
	events, err := readEvents(dir, s)
	if err != nil {
		return nil, err
	}
	if err := merge(checker, dir, events); err != nil {
		return nil, err
	}
	summary.Result = checker.Result()
	if verdicts != nil {
		stats := verdicts.Stats()
		summary.Verdicts = &stats
	}
	if limit != nil {
		stats := limit.Stats()
		summary.Limit = &stats
	}
	if !summary.Held() {
		summary.Verdict = "broken"
	}
	return summary, nil
}

// serversOfFaults returns, by fault, the servers that may justly be convicted because of it: those that it acts on, and
// those at either end of its links. Failed attempts of killed and paused gatekeepers are no fault of a server.
func serversOfFaults(s *script.Script) map[string][]uint32 {
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

// busyNumbers returns, by fault, the number whose lines it makes busy.
func busyNumbers(s *script.Script) map[string]string {
	all := map[string]string{}
	for i, f := range s.Faults {
		if f.Number != "" {
			all[faultName(i, f)] = f.Number
		}
	}
	return all
}

// reloadSettleTime is the time from a SIGHUP that lowers a limit until the new limit binds the whole fleet: one second to
// read the files, and the time until leases granted under the old limit expire.
const reloadSettleTime = quota.LeaseDuration + quota.RenewInterval + 1000000

// limitRule returns the rule that checks the limit of a script, or nil if the script has none. In mode alone gatekeepers
// don't share the limit: the rule checks the sum of their own limits and measures use against one of them.
func limitRule(s *script.Script) *fleetcheck.Limit {
	if s.Limits == nil {
		return nil
	}
	allowances, wakes := map[string]float64{}, 0.0
	n := float64(s.Gatekeepers)
	switch s.Limits.Mode {
	case "near": // the bound on overshoot that control/quota/near.go states
		wakes = n - 1
		for i, f := range s.Faults {
			if late := control.Micros(time.Duration(f.Delay+f.Jitter).Microseconds()) - quota.TransitAllowance; f.Kind == "delay" && late > 0 {
				allowances[faultName(i, f)] = (n - 1) * min(1, n*float64(late)/float64(quota.GrowTime))
			}
		}
	case "alone":
		return fleetcheck.NewLimit(n*s.Limits.PerS, n*s.Limits.Burst, reloadSettleTime, nil, 0).MeasureAgainst(s.Limits.PerS)
	}
	return fleetcheck.NewLimit(s.Limits.PerS, s.Limits.Burst, reloadSettleTime, allowances, wakes)
}

// readEvents reads the events of a run, without the records, sorted by time.
func readEvents(dir string, s *script.Script) (events []fleetcheck.Event, err error) {
	for _, name := range []string{"run.jsonl", "callers.jsonl", "servers.jsonl"} {
		err := eachLine(filepath.Join(dir, name), func(n int, text []byte) error {
			var l line
			if err := json.Unmarshal(text, &l); err != nil {
				return err
			}
			e, ok := l.event(fleetcheck.Place{File: name, Line: n})
			if !ok {
				return fmt.Errorf("unknown event kind %q", l.Kind)
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
		lastTime := control.Micros(0)
		err := eachLine(filepath.Join(dir, file), func(n int, text []byte) error {
			e := parseLogLine(text, lastTime)
			lastTime = e.At
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

// verdictChanged is the message that a gatekeeper logs with a server and its new phase (package ejection).
const verdictChanged = "verdict: changed"

// parseLogLine parses a line of a gatekeeper's log. Lines that are not JSON come from the Go runtime: a panic and the
// stacks after it. They get the time of the previous line, last.
func parseLogLine(text []byte, last control.Micros) fleetcheck.Event {
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

// eachLine calls handle for each line of a file; n counts from 1.
func eachLine(file string, handle func(n int, text []byte) error) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	in := bufio.NewScanner(f)
	in.Buffer(make([]byte, 64<<10), maxLineBytes)
	for n := 1; in.Scan(); n++ {
		if err := handle(n, in.Bytes()); err != nil {
			return fmt.Errorf("%s:%d: %w", file, n, err)
		}
	}
	return in.Err()
}

// merge passes the events and the gatekeepers' records to a checker in order of time.
func merge(checker *fleetcheck.Checker, dir string, events []fleetcheck.Event) error {
	next := 0
	advance := func(at control.Micros) {
		for ; next < len(events) && events[next].At <= at; next++ {
			checker.Event(&events[next])
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
				advance(g.From)
				checker.Gap(*g)
				continue
			}
			e := item.Event
			advance(e.At)
			checker.Record(e, fleetcheck.Place{File: fmt.Sprintf("records/%s start %d", e.Node, e.Start), Line: int(e.Seq)})
		}
	} else if !strings.Contains(err.Error(), "no records") { // the run was interrupted before any gatekeeper wrote a record
		return err
	}
	advance(1 << 62)
	return nil
}
