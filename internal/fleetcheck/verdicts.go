package fleetcheck

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"beammux/control"
	"beammux/internal/history"
)

// RuleVerdicts is judged where the fleet comes to verdicts on servers.
const RuleVerdicts = "verdicts: on the ill alone, at every member in time, and kept to"

// Figures of the rule.
const (
	verdictWithin = control.Micros(4000000) // from the first reading at one member to each other that is reached
	joinWithin    = control.Micros(6000000) // a member that has just started, or woke, hears the others only then
	faultMemory   = control.Micros(8000000) // evidence of what a server did is remembered so long
	keptSlack     = control.Micros(600000)  // a set-up may be on its way, and a reading is as old as its pace
)

// MalformedClientAddress is where callers come from in the laboratory that send what can't be read; no others do.
const MalformedClientAddress = "127.0.0.9"

// VerdictStats is what a run shows of its verdicts.
type VerdictStats struct {
	Convicted            int     `json:"convicted"`              // servers, each time it began at the first member
	ConvictedWhileCalled int     `json:"convicted_while_called"` // of those before the callers' last try
	Wrongful             int     `json:"wrongful"`               // of those that nothing was wrong with
	FirstExclusion       float64 `json:"first_out_s"`            // from the first fault of a server to the first member that keeps away; -1: never
	AllExcluded          float64 `json:"all_out_s"`              // and to the last one that runs
	BusyNumbers          int     `json:"numbers_held_busy"`      // each at each member counts
	SentWhileExcluded    int     `json:"setups_while_kept_out"`  // by a gatekeeper to a server that it held out
}

type outSpan struct {
	from, to control.Micros // of readings; to 0 while it lasts
	last     control.Micros
}

// Verdicts holds the verdicts that gatekeepers were read to have in force against what was done to servers, and against the
// set-ups that they sent.
type Verdicts struct {
	suspects map[string][]uint32       // by fault: servers that may seem ill by it
	numbers  map[string]string         // by fault
	busyTo   map[string]control.Micros // numbers, until when they may rightly be held busy; 0: while it lasts
	busyBy   map[string]map[string]bool
	illTo    map[uint32]control.Micros
	ill      map[uint32]int
	began    control.Micros // of the first fault of a server

	running   map[string]control.Micros // since when it runs
	trouble   int
	calm      control.Micros // since when no link between gatekeepers is in trouble
	out       map[string]map[uint32]*outSpan
	past      map[string]map[uint32][]outSpan
	first     map[uint32]control.Micros // when the first member came to hold it out, 0: none does
	checked   map[uint32]bool
	sent      []history.Event
	firstOut  control.Micros
	allOut    control.Micros
	stats     VerdictStats
	front     string
	convicted []control.Micros                    // convictions, each when it began at the first member
	phases    map[string]map[uint32][]phaseChange // as gatekeepers logged them
	tried     control.Micros                      // the callers' last try
}

// NewVerdicts makes the rule. suspects gives, by the name of each fault, the servers that may rightly seem ill because of it.
// numbers gives the number whose lines it makes busy.
func NewVerdicts(front string, suspects map[string][]uint32, numbers map[string]string) *Verdicts {
	return &Verdicts{front: front, suspects: suspects, numbers: numbers, busyTo: map[string]control.Micros{}, busyBy: map[string]map[string]bool{}, illTo: map[uint32]control.Micros{}, ill: map[uint32]int{},
		running: map[string]control.Micros{}, out: map[string]map[uint32]*outSpan{}, past: map[string]map[uint32][]outSpan{},
		first: map[uint32]control.Micros{}, checked: map[uint32]bool{}, stats: VerdictStats{FirstExclusion: -1, AllExcluded: -1}}
}

// phaseChange is the phase of a verdict on a server from a time on.
type phaseChange struct {
	at    control.Micros
	phase string
}

const trialPhase = "trial"

// changed notes a phase that a gatekeeper logged.
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

// onTrial tells whether a gatekeeper tried a server at a time. A trial that fails at once is over between two readings.
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
	case FaultBegan:
		if n := v.numbers[e.What]; n != "" {
			v.busyTo[n] = 0
		}
		for _, id := range v.suspects[e.What] {
			v.ill[id]++
			if v.began == 0 {
				v.began = e.At
			}
		}
	case FaultEnded:
		if n := v.numbers[e.What]; n != "" {
			v.busyTo[n] = e.At + faultMemory
		}
		for _, id := range v.suspects[e.What] {
			v.ill[id]--
			v.illTo[id] = e.At
		}
	case Ready, Resumed:
		v.running[e.Process] = e.At
	case Stopped, Crashed, Paused, StopRequested:
		delete(v.running, e.Process)
		delete(v.out, e.Process)
	case LinkFaulty, LinkHealed:
		if strings.HasPrefix(e.Process, v.front) || strings.HasPrefix(e.Peer, v.front) {
			return
		}
		v.calm = e.At
		if e.Kind == LinkFaulty {
			v.trouble++
		} else {
			v.trouble--
		}
	case Tried:
		v.tried = e.At
	case VerdictPhaseChanged:
		v.changed(e)
	case VerdictsRead:
		v.judged(e, broke)
	}
}

// judged takes a reading of the servers that a gatekeeper holds out.
func (v *Verdicts) judged(e *Event, broke func(Evidence)) {
	var held []uint32
	for _, word := range strings.Fields(e.Peer) {
		if n, err := strconv.ParseUint(word, 10, 32); err == nil {
			held = append(held, uint32(n))
		}
	}
	for n := range strings.FieldsSeq(e.Class) {
		if to, ok := v.busyTo[n]; !ok || to != 0 && e.At > to {
			broke(Evidence{e.At, e.Process, "", e.Place.String(), fmt.Sprintf("holds number %q busy, and it is not", n)})
		}
		if v.busyBy[n] == nil {
			v.busyBy[n] = map[string]bool{}
		}
		v.busyBy[n][e.Process] = true
	}
	for address := range strings.FieldsSeq(e.Call) {
		if address != MalformedClientAddress {
			broke(Evidence{e.At, e.Process, "", e.Place.String(), "turns away " + address + ", which sends nothing bad"})
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
					broke(Evidence{e.At, e.Process, "", e.Place.String(), fmt.Sprintf("holds server %d out, and nothing was wrong with it", id)})
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

func (v *Verdicts) heldBy(id uint32, but string) bool {
	for name, all := range v.out {
		if name != but && all[id] != nil {
			return true
		}
	}
	return false
}

// everybody looks, once a verdict has been in force at one member for as long as is stated, whether all that run have it, or
// have had it since. Trouble between gatekeepers excuses.
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
			broke(Evidence{e.At, missing, "", e.Place.String(), fmt.Sprintf("does not hold server %d out, %d ms after the first member", id, (e.At-since)/1000)})
		}
	}
}

// Record implements RecordInvariant.
func (v *Verdicts) Record(e *history.Event, _ Place, _ func(Evidence)) {
	if e.Kind == history.Sent {
		v.sent = append(v.sent, history.Event{At: e.At, Node: e.Node, Server: e.Server, Call: e.Call})
	}
}

// End implements Invariant: set-ups that were sent while their gatekeeper was read to hold the server out, before and after.
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
				v.stats.SentWhileExcluded++
				broke(Evidence{e.At, e.Node, e.Call, "records/" + e.Node, fmt.Sprintf("sent to server %d, which it held out", e.Server)})
			}
		}
	}
	for _, at := range v.convicted {
		if at <= v.tried {
			v.stats.ConvictedWhileCalled++
		}
	}
	for _, by := range v.busyBy {
		v.stats.BusyNumbers += len(by)
	}
	if v.began > 0 && v.firstOut > v.began {
		v.stats.FirstExclusion = float64(v.firstOut-v.began) / 1e6
	}
	if v.began > 0 && v.allOut > v.began {
		v.stats.AllExcluded = float64(v.allOut-v.began) / 1e6
	}
}

// Stats gives what the run showed, after End.
func (v *Verdicts) Stats() VerdictStats { return v.stats }
