package fleetcheck

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"beammux/control"
	"beammux/internal/history"
)

// RuleVerdicts is checked if the fleet reaches verdicts on servers.
const RuleVerdicts = "verdicts: on the ill alone, at every member in time, and kept to"

// Tolerances of the rule.
const (
	verdictWithin = control.Micros(4000000) // from the first reading at one member until every other reachable member has the verdict
	joinWithin    = control.Micros(6000000) // time until a member that starts or resumes has the state of the others
	faultMemory   = control.Micros(8000000) // gatekeepers use evidence of a fault for this long
	keptSlack     = control.Micros(600000)  // a set-up may be in flight, and a reading may be one interval old
)

// RudeAddress is the source address of the laboratory's clients that send malformed messages. No other clients use it.
const RudeAddress = "127.0.0.9"

// VerdictStats describes the verdicts of a run.
type VerdictStats struct {
	Convicted int     `json:"convicted"`              // verdicts on servers, counted when the first member has them
	Called    int     `json:"convicted_while_called"` // verdicts not later than the callers' last call
	Wrongful  int     `json:"wrongful"`               // verdicts on servers without a fault
	First     float64 `json:"first_out_s"`            // seconds from the first fault of a server until the first member excludes a server; -1: never
	All       float64 `json:"all_out_s"`              // seconds until all running members exclude it; -1: never
	Numbers   int     `json:"numbers_held_busy"`      // busy numbers, counted once for each member
	Sent      int     `json:"setups_while_kept_out"`  // set-ups that a gatekeeper sent to a server that it excluded
}

// outSpan is the interval in which the readings of a member show a server as excluded.
type outSpan struct {
	from, to control.Micros // of readings; to is 0 while the exclusion lasts
	last     control.Micros // latest reading
}

// Verdicts compares the verdicts read from gatekeepers with the faults injected at servers, and with the set-ups that the
// gatekeepers sent.
type Verdicts struct {
	suspects map[string][]uint32        // by fault: servers that may appear faulty because of it
	numbers  map[string]string          // by fault: number that is busy because of it
	busyTo   map[string]control.Micros  // by number: time until which it may be considered busy; 0: the fault is active
	busyBy   map[string]map[string]bool // by number: members that consider it busy
	illTo    map[uint32]control.Micros  // by server: end of its last fault
	ill      map[uint32]int             // by server: number of active faults
	began    control.Micros             // beginning of the first fault of a server

	running   map[string]control.Micros       // by gatekeeper: time since which it runs
	trouble   int                             // number of faulty links between gatekeepers
	calm      control.Micros                  // last change of a link between gatekeepers
	out       map[string]map[uint32]*outSpan  // by member and server: current exclusions
	past      map[string]map[uint32][]outSpan // by member and server: earlier exclusions
	first     map[uint32]control.Micros       // by server: time at which the first member excluded it; 0: none
	checked   map[uint32]bool                 // by server: whether checkMembers has decided on the current verdict
	sent      []history.Event                 // set-ups, from the records
	firstOut  control.Micros                  // first exclusion of any server
	allOut    control.Micros                  // first time at which all running members exclude a faulty server
	stats     VerdictStats
	front     string
	convicted []control.Micros                    // times at which the first member excluded a server
	phases    map[string]map[uint32][]phaseChange // by gatekeeper and server: phases of its verdict, from its log
	tried     control.Micros                      // time of the callers' last call
}

// NewVerdicts returns the rule. The names of callers' processes begin with front. suspects holds, by the name of each fault, the
// servers that may appear faulty because of it, and numbers the number whose lines it makes busy.
func NewVerdicts(front string, suspects map[string][]uint32, numbers map[string]string) *Verdicts {
	return &Verdicts{front: front, suspects: suspects, numbers: numbers, busyTo: map[string]control.Micros{}, busyBy: map[string]map[string]bool{}, illTo: map[uint32]control.Micros{}, ill: map[uint32]int{},
		running: map[string]control.Micros{}, out: map[string]map[uint32]*outSpan{}, past: map[string]map[uint32][]outSpan{},
		first: map[uint32]control.Micros{}, checked: map[uint32]bool{}, stats: VerdictStats{First: -1, All: -1}}
}

// phaseChange is the beginning of a phase of a verdict on a server.
type phaseChange struct {
	at    control.Micros
	phase string
}

const trialPhase = "trial" // phase in which a gatekeeper probes a server with single set-ups

// changed records a phase that a gatekeeper logged.
func (v *Verdicts) changed(e *Event) {
	n, err := strconv.ParseUint(e.Peer, 10, 32)
	if err != nil {
		return
	}
	if v.phases == nil {
		v.phases = map[string]map[uint32][]phaseChange{}
	}
	if v.phases[e.Process] == nil {
		v.phases[e.Process] = map[uint32][]phaseChange{}
	}
	id := uint32(n)
	v.phases[e.Process][id] = append(v.phases[e.Process][id], phaseChange{e.At, e.What})
}

// onTrial reports whether a gatekeeper had a server on trial at a time. Logged phases are needed because a trial that fails at
// once may start and end between two readings.
func (v *Verdicts) onTrial(process string, id uint32, at control.Micros) bool {
	phase := ""
	for _, c := range v.phases[process][id] {
		if c.at > at {
			break
		}
		phase = c.phase
	}
	return phase == trialPhase
}

// Rule implements Invariant.
func (v *Verdicts) Rule() string { return RuleVerdicts }

// Event implements Invariant.
func (v *Verdicts) Event(e *Event, broke func(Evidence)) {
	switch e.Kind {
	case FaultFrom:
		if n := v.numbers[e.What]; n != "" {
			v.busyTo[n] = 0
		}
		for _, id := range v.suspects[e.What] {
			v.ill[id]++
			if v.began == 0 {
				v.began = e.At
			}
		}
	case FaultTo:
		if n := v.numbers[e.What]; n != "" {
			v.busyTo[n] = e.At + faultMemory
		}
		for _, id := range v.suspects[e.What] {
			v.ill[id]--
			v.illTo[id] = e.At
		}
	case Ready, Woken:
		v.running[e.Process] = e.At
	case Stopped, Crashed, Paused, Asked:
		delete(v.running, e.Process)
		delete(v.out, e.Process)
	case Troubled, Healed:
		if strings.HasPrefix(e.Process, v.front) || strings.HasPrefix(e.Peer, v.front) {
			return
		}
		v.calm = e.At
		if e.Kind == Troubled {
			v.trouble++
		} else {
			v.trouble--
		}
	case Tried:
		v.tried = e.At
	case Changed:
		v.changed(e)
	case Judged:
		v.judged(e, broke)
	}
}

// judged processes a reading of the verdicts that are in force at a gatekeeper.
func (v *Verdicts) judged(e *Event, broke func(Evidence)) {
	var held []uint32
	for _, word := range strings.Fields(e.Peer) {
		if n, err := strconv.ParseUint(word, 10, 32); err == nil {
			held = append(held, uint32(n))
		}
	}
	for n := range strings.FieldsSeq(e.Class) {
		if to, ok := v.busyTo[n]; !ok || to != 0 && e.At > to {
			broke(Evidence{e.At, e.Process, "", e.Place.String(), fmt.Sprintf("treats number %q as busy, but it is not", n)})
		}
		if v.busyBy[n] == nil {
			v.busyBy[n] = map[string]bool{}
		}
		v.busyBy[n][e.Process] = true
	}
	for address := range strings.FieldsSeq(e.Call) {
		if address != RudeAddress {
			broke(Evidence{e.At, e.Process, "", e.Place.String(), "turns away " + address + ", which sends no malformed messages"})
		}
	}
	mine := v.out[e.Process]
	if mine == nil {
		mine = map[uint32]*outSpan{}
		v.out[e.Process] = mine
	}
	for id, s := range mine {
		if !slices.Contains(held, id) {
			s.to = s.last
			if v.past[e.Process] == nil {
				v.past[e.Process] = map[uint32][]outSpan{}
			}
			v.past[e.Process][id] = append(v.past[e.Process][id], *s)
			delete(mine, id)
		}
	}
	for _, id := range held {
		if mine[id] == nil {
			mine[id] = &outSpan{from: e.At}
			if !v.heldBy(id, e.Process) {
				v.stats.Convicted++
				v.convicted = append(v.convicted, e.At)
				v.first[id], v.checked[id] = e.At, false
				if v.ill[id] == 0 && (v.illTo[id] == 0 || e.At-v.illTo[id] > faultMemory) {
					v.stats.Wrongful++
					broke(Evidence{e.At, e.Process, "", e.Place.String(), fmt.Sprintf("excludes server %d, which had no fault", id)})
				}
			}
			if v.firstOut == 0 {
				v.firstOut = e.At
			}
		}
		mine[id].last = e.At
		v.everybody(e, id, broke)
	}
}

// heldBy reports whether any member other than but excludes a server.
func (v *Verdicts) heldBy(id uint32, but string) bool {
	for name, all := range v.out {
		if name != but && all[id] != nil {
			return true
		}
	}
	return false
}

// everybody checks that every running member has, or has had, a verdict within verdictWithin of the first member. Faults between
// gatekeepers excuse a violation.
func (v *Verdicts) everybody(e *Event, id uint32, broke func(Evidence)) {
	since := v.first[id]
	if v.checked[id] || since == 0 {
		return
	}
	missing := ""
	for name, from := range v.running {
		had := v.out[name] != nil && v.out[name][id] != nil
		for _, s := range v.past[name][id] {
			had = had || s.to >= since
		}
		if !had && from+joinWithin < since {
			missing = name
		}
	}
	switch {
	case missing == "":
		v.checked[id] = true
		if v.allOut == 0 && v.ill[id] > 0 {
			v.allOut = e.At
		}
	case e.At-since > verdictWithin:
		v.checked[id] = true
		if v.trouble == 0 && (v.calm == 0 || e.At-v.calm > 2*verdictWithin) {
			broke(Evidence{e.At, missing, "", e.Place.String(), fmt.Sprintf("does not exclude server %d, %d ms after the first member did", id, (e.At-since)/1000)})
		}
	}
}

// Record implements RecordInvariant.
func (v *Verdicts) Record(e *history.Event, _ Place, _ func(Evidence)) {
	if e.Kind == history.Sent {
		v.sent = append(v.sent, history.Event{At: e.At, Node: e.Node, Server: e.Server, Call: e.Call})
	}
}

// End implements Invariant. It reports set-ups sent to a server that readings before and after show as excluded.
func (v *Verdicts) End(broke func(Evidence)) {
	for name, all := range v.out {
		for id, s := range all {
			if v.past[name] == nil {
				v.past[name] = map[uint32][]outSpan{}
			}
			v.past[name][id] = append(v.past[name][id], outSpan{from: s.from, to: s.last})
		}
	}
	for _, e := range v.sent {
		for _, s := range v.past[e.Node][e.Server] {
			if e.At > s.from+keptSlack && e.At < s.to-keptSlack && !v.onTrial(e.Node, e.Server, e.At) {
				v.stats.Sent++
				broke(Evidence{e.At, e.Node, e.Call, "records/" + e.Node, fmt.Sprintf("sent to server %d, which it excluded", e.Server)})
			}
		}
	}
	for _, at := range v.convicted {
		if at <= v.tried {
			v.stats.Called++
		}
	}
	for _, by := range v.busyBy {
		v.stats.Numbers += len(by)
	}
	if v.began > 0 && v.firstOut > v.began {
		v.stats.First = float64(v.firstOut-v.began) / 1e6
	}
	if v.began > 0 && v.allOut > v.began {
		v.stats.All = float64(v.allOut-v.began) / 1e6
	}
}

// Stats returns the statistics of the run. It is valid after End.
func (v *Verdicts) Stats() VerdictStats { return v.stats }
