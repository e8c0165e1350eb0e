package scalelab

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"beammux/internal/scalelab/judge"
)

// Spread is how a figure lies over its holders.
type Spread struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	Max  float64 `json:"max"`
	Of   int     `json:"of"` // holders
}

// spreadOf sorts the values. A percentile is the least value that so many of all are not above.
func spreadOf(values []float64) (s Spread) {
	s.Of = len(values)
	if s.Of == 0 {
		return s
	}
	slices.Sort(values)
	for _, v := range values {
		s.Mean += v / float64(s.Of)
	}
	at := func(part float64) float64 { return values[max(0, int(math.Ceil(part*float64(s.Of)))-1)] }
	s.P50, s.P99, s.Max = at(0.5), at(0.99), values[s.Of-1]
	return s
}

// Report is what a run gives.
type Report struct {
	Command     string            `json:"command"`
	Date        string            `json:"date"`
	Program     string            `json:"program"` // revision that was built; "" where the build does not know it
	Beside      string            `json:"beside"`
	Stopped     bool              `json:"stopped"` // by a signal, before its time: nothing is shown
	Shape       Shape             `json:"shape"`
	Machine     MachineFigures    `json:"machine"`
	Gatekeepers GatekeeperFigures `json:"gatekeepers"`
	Control     ControlFigures    `json:"control"`
	Settings    SettingsFigures   `json:"settings"`
	Membership  MembershipFigures `json:"membership"`
	Judge       JudgeFigures      `json:"judge"`
	Faults      []FaultReport     `json:"faults"`
	Processes   []string          `json:"crashed"` // processes that ended though nobody asked them to
}

// Shape is what was run.
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

// MachineFigures tell how busy the machine was in the measured time.
type MachineFigures struct {
	Cores       int     `json:"cores"`
	MemoryBytes int64   `json:"memory_bytes"`
	LabCores    float64 `json:"lab_cores"`    // used by the run's processes
	OtherCores  float64 `json:"other_cores"`  // and by everything else
	LabResident int64   `json:"lab_resident"` // most at once
}

// GatekeeperFigures are of one gatekeeper. Bytes are counted at each gatekeeper's connections, without TCP and IP headers;
// the others are a hollow process's divided by its gatekeepers, so their spread is over the processes.
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
	StartToInForce Spread `json:"start_to_in_force_s"` // first settings, from the start of each gatekeeper's process
}

// ControlFigures are of one control machine, each a process of its own.
type ControlFigures struct {
	CPUShare      Spread  `json:"cpu_share_of_a_core"`
	ResidentBytes Spread  `json:"resident_bytes"`
	HeapBytes     Spread  `json:"heap_bytes"`
	Goroutines    Spread  `json:"goroutines"`
	Descriptors   Spread  `json:"descriptors"`
	ReadPerS      Spread  `json:"bytes_per_s_read"`    // by /proc/PID/io: sockets and files
	WrittenPerS   Spread  `json:"bytes_per_s_written"` // the store's log among them
	SessionsPerS  float64 `json:"session_bytes_per_s"` // sent to gatekeepers, in the mean over the machines
	Sessions      Spread  `json:"sessions"`            // at the end of the measured time
	SessionsMax   int     `json:"sessions_max"`        // at one machine at any second of it
	Share         float64 `json:"share"`               // gatekeepers divided by machines
	MaxOverShare  float64 `json:"max_over_share"`
}

// SettingsFigures tell how changes came into force, over all pairs of a change and a gatekeeper.
type SettingsFigures struct {
	Changes      int     `json:"changes"`
	Retries      int     `json:"writes_repeated"`
	Pairs        int     `json:"pairs"`
	FromCommit   Spread  `json:"s_from_commit"`           // acknowledged
	FromPut      Spread  `json:"s_from_put"`              // from the begin of the write, its repetitions among it
	Healed       Spread  `json:"s_from_end_of_outage"`    // of pairs with an outage of the gatekeeper in between, which the other two leave out
	AllHaveIt    Spread  `json:"s_from_commit_until_all"` // a value for each change: the slowest gatekeeper
	Superseded   int     `json:"superseded"`              // a later change came in its place
	Unjudged     int     `json:"unjudged"`                // the run ended too early
	AllStartedS  float64 `json:"all_in_force_after_start_s"`
	PutCommit    Spread  `json:"put_s"` // the write alone
	RefusedHeld  int     `json:"refused_held"`
	Refusals     int     `json:"refusals"`
	CutOff       int     `json:"stuck_watchers_cut_off"`
	StuckNotCut  int     `json:"stuck_watchers_left"`
	Slowest      []Slow  `json:"slowest"` // the slowest pairs, to trace them
	AppliedTotal int     `json:"applied"`
}

// Slow is a pair of a change and a gatekeeper.
type Slow struct {
	Marker     uint64  `json:"change"`
	CommittedS float64 `json:"committed_s"` // since the measured time began
	Gatekeeper string  `json:"gatekeeper"`
	Zone       string  `json:"zone"`
	Region     string  `json:"region"`
	TookS      float64 `json:"took_s"` // from the commit, or from the end of the gatekeeper's outage
	Outage     bool    `json:"outage"`
}

// MembershipFigures tell how the gossip formed.
type MembershipFigures struct {
	AllMetS  float64 `json:"all_met_s"`  // until each held all to be up; -1: not within the time given
	FewestUp int     `json:"fewest_met"` // that a gatekeeper held to be up, at the end
	// MostMissing are the members of its gossip that a gatekeeper did not hold to be up, at the end.
	MostMissing int `json:"most_missing"`
	// Fresh is how many members' registers count at a gatekeeper, over those of its gossip, and Oldest the age of the oldest
	// of them in seconds; over the gatekeepers, at the end of the measured time. With registers alone.
	Fresh  Spread `json:"registers_that_count_part"`
	Oldest Spread `json:"oldest_register_s"`
}

// JudgeFigures are the judge's.
type JudgeFigures struct {
	Held     bool              `json:"held"`
	WithinS  float64           `json:"within_s"`
	Counts   map[string]int    `json:"counts"`
	First    []judge.Violation `json:"first"`
	Crashed  int               `json:"crashed"`
	Problems []string          `json:"problems"`
}

// FaultReport is one fault as it was played.
type FaultReport struct {
	Kind   string  `json:"kind"`
	AtS    float64 `json:"at_s"` // since the measured time began
	UntilS float64 `json:"until_s"`
	What   string  `json:"what"`
	// The slowest pair among changes committed while the fault lasted and Within after it, from the commit or the end of the
	// gatekeeper's outage.
	SlowestS float64 `json:"slowest_s"`
	// Gatekeepers that said of themselves that they may be behind, the most in any second of the fault, and at the end of the
	// measured time.
	SaidBehind    int `json:"said_behind_max"`
	SaidBehindEnd int `json:"said_behind_end"`
	// Most sessions at one machine while the fault lasted and Within after it, over an even share.
	SessionsOverShare float64 `json:"sessions_max_over_share"`
}

// Passed tells whether the run was whole and every rule held.
func (r *Report) Passed() bool { return !r.Stopped && r.Judge.Held }

// Table is the report for people.
func (r *Report) Table() string {
	var b strings.Builder
	line := func(name, unit string, s Spread, scale float64) {
		if s.Of > 0 {
			fmt.Fprintf(&b, "  %-34s %10.4g %10.4g %10.4g  %s (of %d)\n", name, s.P50*scale, s.P99*scale, s.Max*scale, unit, s.Of)
		}
	}
	fmt.Fprintf(&b, "%d gatekeepers, %d control machines (%d vote), seed %d, %.0f s, %.2f changes/s; lab used %.1f cores, others %.1f\n",
		r.Shape.Gatekeepers, r.Shape.Control, r.Shape.Voters, r.Shape.Seed, r.Shape.LengthS, r.Shape.ChangesPerS, r.Machine.LabCores, r.Machine.OtherCores)
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
	line("in force after the put began", "ms", r.Settings.FromPut, 1e3)
	line("in force after an outage", "ms", r.Settings.Healed, 1e3)
	line("in force everywhere", "ms", r.Settings.AllHaveIt, 1e3)
	if n := r.Settings.CutOff + r.Settings.StuckNotCut; n > 0 {
		fmt.Fprintf(&b, "watchers that read nothing: %d of %d cut off\n", r.Settings.CutOff, n)
	}
	for _, f := range r.Faults {
		fmt.Fprintf(&b, "fault %s at %.1f to %.1f s (%s): slowest %.2f s, at most %d said they were behind, %d at the end, sessions %.2f of a share at most\n", f.Kind, f.AtS,
			f.UntilS, f.What, f.SlowestS, f.SaidBehind, f.SaidBehindEnd, f.SessionsOverShare)
	}
	if r.Shape.Control == 0 {
		fmt.Fprintf(&b, "membership: all met after %.1f s, fewest met %d, %d of its gossip missing at most\n", r.Membership.AllMetS, r.Membership.FewestUp, r.Membership.MostMissing)
		if r.Membership.Fresh.Of > 0 {
			fmt.Fprintf(&b, "registers: part of the gossip's that counts p50 %.3f, mean %.3f; the oldest p50 %.2f s, p99 %.2f s\n", r.Membership.Fresh.P50, r.Membership.Fresh.Mean, r.Membership.Oldest.P50, r.Membership.Oldest.P99)
		}
	}
	for _, p := range r.Judge.Problems {
		fmt.Fprintf(&b, "problem: %s\n", p)
	}
	if r.Judge.Held {
		fmt.Fprintf(&b, "every rule held\n")
	} else {
		for _, rule := range judge.Rules() {
			if n := r.Judge.Counts[string(rule)]; n > 0 {
				fmt.Fprintf(&b, "BROKEN: %s: %d\n", rule, n)
			}
		}
		for _, v := range r.Judge.First {
			fmt.Fprintf(&b, "  %v\n", v)
		}
	}
	return b.String()
}

func seconds(d time.Duration) float64 { return d.Seconds() }
