package scalelab

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"beammux/internal/scalelab/judge"
)

// Spread is the distribution of a figure.
type Spread struct {
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
	Count int     `json:"of"` // number of values
}

// spreadOf returns the distribution of the values, which it sorts. Percentiles are by the nearest-rank method.
func spreadOf(values []float64) (s Spread) {
	s.Count = len(values)
	if s.Count == 0 {
		return s
	}
	slices.Sort(values)
	for _, v := range values {
		s.Mean += v / float64(s.Count)
	}
	percentile := func(part float64) float64 { return values[max(0, int(math.Ceil(part*float64(s.Count)))-1)] }
	s.P50, s.P99, s.Max = percentile(0.5), percentile(0.99), values[s.Count-1]
	return s
}

// Report is the result of a run.
type Report struct {
	Command          string            `json:"command"`
	Date             string            `json:"date"`
	Program          string            `json:"program"` // version control revision of the build; "" if unknown
	Beside           string            `json:"beside"`
	Stopped          bool              `json:"stopped"` // stopped early by a signal: the run shows nothing
	Shape            Shape             `json:"shape"`
	Machine          MachineFigures    `json:"machine"`
	Gatekeepers      GatekeeperFigures `json:"gatekeepers"`
	Control          ControlFigures    `json:"control"`
	Settings         SettingsFigures   `json:"settings"`
	Membership       MembershipFigures `json:"membership"`
	Judge            JudgeFigures      `json:"judge"`
	Faults           []FaultReport     `json:"faults"`
	CrashedProcesses []string          `json:"crashed"` // processes that exited unexpectedly, and other problems of the run
}

// Shape is the size and load of the run.
type Shape struct {
	Gatekeepers int       `json:"gatekeepers"`
	Control     int       `json:"control"`
	Voters      int       `json:"voters"`
	Regions     int       `json:"regions"`
	Zones       int       `json:"zones"`
	Services    int       `json:"services"`
	Processes   int       `json:"hollow_processes"`
	Seed        uint64    `json:"seed"`
	LengthS     float64   `json:"length_s"`
	ChangesPerS float64   `json:"changes_per_s"`
	RecordBytes int       `json:"record_bytes"`
	With        []string  `json:"with"`
	Admission   Admission `json:"admission"`
	Descriptors struct {
		Needed  int `json:"needed"`
		Allowed int `json:"allowed"`
	} `json:"descriptors"`
}

// MachineFigures are the load of the machine during the measured time.
type MachineFigures struct {
	Cores       int     `json:"cores"`
	MemoryBytes int64   `json:"memory_bytes"`
	RunCores    float64 `json:"lab_cores"`    // used by the processes of the run
	OtherCores  float64 `json:"other_cores"`  // used by all other processes
	RunResident int64   `json:"lab_resident"` // peak resident memory of the run's processes in bytes
}

// GatekeeperFigures are the costs per gatekeeper. Bytes are counted at the connections of each gatekeeper, without TCP and IP
// headers. Resource usage is that of a hollow process divided by the number of its gatekeepers, so its distribution is over
// the processes.
type GatekeeperFigures struct {
	SentPerS       Spread `json:"bytes_per_s_sent"`
	ReceivedPerS   Spread `json:"bytes_per_s_received"`
	GossipPerS     Spread `json:"gossip_bytes_per_s_sent"`
	LeasesPerS     Spread `json:"lease_bytes_per_s"`
	Connections    Spread `json:"connections_opened"`
	CPUShare       Spread `json:"cpu_share_of_a_core"`
	HeapBytes      Spread `json:"heap_bytes"`
	ResidentBytes  Spread `json:"resident_bytes"`
	Goroutines     Spread `json:"goroutines"`
	Descriptors    Spread `json:"descriptors"`
	StartToInForce Spread `json:"start_to_in_force_s"` // from the first start of each gatekeeper to its first settings
}

// ControlFigures are the costs per control machine. Each is a process of its own.
type ControlFigures struct {
	CPUShare             Spread  `json:"cpu_share_of_a_core"`
	ResidentBytes        Spread  `json:"resident_bytes"`
	HeapBytes            Spread  `json:"heap_bytes"`
	Goroutines           Spread  `json:"goroutines"`
	Descriptors          Spread  `json:"descriptors"`
	ReadPerS             Spread  `json:"bytes_per_s_read"`    // from /proc/PID/io: sockets and files
	WrittenPerS          Spread  `json:"bytes_per_s_written"` // from /proc/PID/io, including the log of the store
	SessionBytesPerS     float64 `json:"session_bytes_per_s"` // sent to gatekeepers, mean over the machines
	Sessions             Spread  `json:"sessions"`            // at the end of the measured time
	MaxSessions          int     `json:"sessions_max"`        // most at one machine at any second of the measured time
	Share                float64 `json:"share"`               // gatekeepers per machine
	MaxSessionsOverShare float64 `json:"max_over_share"`      // MaxSessions divided by Share
}

// SettingsFigures are the times until changes came into force, over all pairs of a change and a gatekeeper.
type SettingsFigures struct {
	Changes             int        `json:"changes"`
	Retries             int        `json:"writes_repeated"`
	Pairs               int        `json:"pairs"`
	FromCommit          Spread     `json:"s_from_commit"`           // from the acknowledged commit
	FromWrite           Spread     `json:"s_from_put"`              // from the first write attempt, including retries
	AfterOutage         Spread     `json:"s_from_end_of_outage"`    // pairs with an outage of the gatekeeper, which the two above exclude
	UntilAll            Spread     `json:"s_from_commit_until_all"` // one value per change: the slowest gatekeeper
	Superseded          int        `json:"superseded"`              // pairs for which a later change came into force instead
	Unjudged            int        `json:"unjudged"`                // pairs that were not due by the end of the run
	AllStartedS         float64    `json:"all_in_force_after_start_s"`
	WriteTime           Spread     `json:"put_s"` // duration of the write, including retries
	RefusedApplied      int        `json:"refused_held"`
	Refusals            int        `json:"refusals"`
	StuckWatchersCutOff int        `json:"stuck_watchers_cut_off"`
	StuckWatchersLeft   int        `json:"stuck_watchers_left"`
	Slowest             []SlowPair `json:"slowest"` // the slowest pairs
	AppliedTotal        int        `json:"applied"`
}

// SlowPair is a slow pair of a change and a gatekeeper.
type SlowPair struct {
	Marker     uint64  `json:"change"`
	CommittedS float64 `json:"committed_s"` // relative to the start of the measured time
	Gatekeeper string  `json:"gatekeeper"`
	Zone       string  `json:"zone"`
	Region     string  `json:"region"`
	DelayS     float64 `json:"took_s"` // from the commit, or from the end of the gatekeeper's outage if Outage is set
	Outage     bool    `json:"outage"`
}

// MembershipFigures describe the gossip groups.
type MembershipFigures struct {
	AllUpS   float64 `json:"all_met_s"`  // until every gatekeeper considered all members up; -1: not within the time limit
	FewestUp int     `json:"fewest_met"` // fewest members that a gatekeeper considered up at the end
	// MostMissing is the most members of its group that a gatekeeper did not consider up at the end.
	MostMissing int `json:"most_missing"`
	// FreshRegisters is the part of its group's registers that are fresh enough to count at a gatekeeper, and OldestRegister the
	// age of the oldest of them in seconds, over the gatekeepers at the end of the measured time. Both are empty without
	// registers.
	FreshRegisters Spread `json:"registers_that_count_part"`
	OldestRegister Spread `json:"oldest_register_s"`
}

// JudgeFigures are the result of the judge, and other problems of the run.
type JudgeFigures struct {
	Passed   bool              `json:"held"`
	WithinS  float64           `json:"within_s"`
	Counts   map[string]int    `json:"counts"`
	Listed   []judge.Violation `json:"first"`
	Crashed  int               `json:"crashed"`
	Problems []string          `json:"problems"`
}

// FaultReport is one injected fault and its effects.
type FaultReport struct {
	Kind        string  `json:"kind"`
	AtS         float64 `json:"at_s"` // relative to the start of the measured time
	UntilS      float64 `json:"until_s"`
	Description string  `json:"what"`
	// SlowestS is the time of the slowest pair, from the commit or the end of the gatekeeper's outage, among the changes
	// committed during the fault or within the judge's time limit after it.
	SlowestS float64 `json:"slowest_s"`
	// MaxBehind is the most gatekeepers that reported in any second of the fault that they may be behind, BehindAtEnd their
	// number at the end of the measured time.
	MaxBehind   int `json:"said_behind_max"`
	BehindAtEnd int `json:"said_behind_end"`
	// MaxSessionsOverShare is the most sessions at one machine during the fault or within the judge's time limit after it, divided
	// by the number of gatekeepers per machine.
	MaxSessionsOverShare float64 `json:"sessions_max_over_share"`
}

// Passed reports whether the run was complete and broke no rule.
func (r *Report) Passed() bool { return !r.Stopped && r.Judge.Passed }

// Table formats the report as text.
func (r *Report) Table() string {
	var b strings.Builder
	line := func(name, unit string, s Spread, scale float64) {
		if s.Count > 0 {
			fmt.Fprintf(&b, "  %-34s %10.4g %10.4g %10.4g  %s (of %d)\n", name, s.P50*scale, s.P99*scale, s.Max*scale, unit, s.Count)
		}
	}
	fmt.Fprintf(&b, "%d gatekeepers, %d control machines (%d vote), seed %d, %.0f s, %.2f changes/s; the run used %.1f cores, other processes %.1f\n",
		r.Shape.Gatekeepers, r.Shape.Control, r.Shape.Voters, r.Shape.Seed, r.Shape.LengthS, r.Shape.ChangesPerS, r.Machine.RunCores, r.Machine.OtherCores)
	fmt.Fprintf(&b, "%-36s %10s %10s %10s\n", "a gatekeeper", "p50", "p99", "max")
	g, c := &r.Gatekeepers, &r.Control
	line("settings received", "B/s", g.ReceivedPerS, 1)
	line("settings sent", "B/s", g.SentPerS, 1)
	if g.GossipPerS.Max > 0 {
		line("gossip sent", "B/s", g.GossipPerS, 1)
	}
	line("processor", "% of a core", g.CPUShare, 100)
	line("heap", "KB", g.HeapBytes, 1e-3)
	line("resident", "KB", g.ResidentBytes, 1e-3)
	line("goroutines", "", g.Goroutines, 1)
	line("descriptors", "", g.Descriptors, 1)
	line("first settings after start", "s", g.StartToInForce, 1)
	fmt.Fprintf(&b, "a control machine\n")
	line("processor", "% of a core", c.CPUShare, 100)
	line("resident", "MB", c.ResidentBytes, 1e-6)
	line("heap", "MB", c.HeapBytes, 1e-6)
	line("goroutines", "", c.Goroutines, 1)
	line("descriptors", "", c.Descriptors, 1)
	line("read", "KB/s", c.ReadPerS, 1e-3)
	line("written", "KB/s", c.WrittenPerS, 1e-3)
	line("sessions", "", c.Sessions, 1)
	fmt.Fprintf(&b, "settings: %d changes, %d pairs, %d superseded, %d refusals\n", r.Settings.Changes, r.Settings.Pairs, r.Settings.Superseded, r.Settings.Refusals)
	line("in force after the commit", "ms", r.Settings.FromCommit, 1e3)
	line("in force after the first write", "ms", r.Settings.FromWrite, 1e3)
	line("in force after an outage", "ms", r.Settings.AfterOutage, 1e3)
	line("in force at all gatekeepers", "ms", r.Settings.UntilAll, 1e3)
	if n := r.Settings.StuckWatchersCutOff + r.Settings.StuckWatchersLeft; n > 0 {
		fmt.Fprintf(&b, "stuck watchers: %d of %d cut off\n", r.Settings.StuckWatchersCutOff, n)
	}
	for _, f := range r.Faults {
		fmt.Fprintf(&b, "fault %s at %.1f to %.1f s (%s): slowest %.2f s, at most %d reported being behind, %d at the end, at most %.2f of a share of sessions\n", f.Kind, f.AtS,
			f.UntilS, f.Description, f.SlowestS, f.MaxBehind, f.BehindAtEnd, f.MaxSessionsOverShare)
	}
	if r.Shape.Control == 0 {
		fmt.Fprintf(&b, "membership: all met after %.1f s, fewest met %d, at most %d of a group missing\n", r.Membership.AllUpS, r.Membership.FewestUp, r.Membership.MostMissing)
		if r.Membership.FreshRegisters.Count > 0 {
			fmt.Fprintf(&b, "registers: fresh part of the group's p50 %.3f, mean %.3f; age of the oldest p50 %.2f s, p99 %.2f s\n", r.Membership.FreshRegisters.P50, r.Membership.FreshRegisters.Mean, r.Membership.OldestRegister.P50, r.Membership.OldestRegister.P99)
		}
	}
	for _, p := range r.Judge.Problems {
		fmt.Fprintf(&b, "problem: %s\n", p)
	}
	if r.Judge.Passed {
		fmt.Fprintf(&b, "no rule was broken\n")
	} else {
		for _, rule := range judge.Rules() {
			if n := r.Judge.Counts[string(rule)]; n > 0 {
				fmt.Fprintf(&b, "BROKEN: %s: %d\n", rule, n)
			}
		}
		for _, v := range r.Judge.Listed {
			fmt.Fprintf(&b, "  %v\n", v)
		}
	}
	return b.String()
}

// seconds returns a duration in seconds.
func seconds(d time.Duration) float64 { return d.Seconds() }
