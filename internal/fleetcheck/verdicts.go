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
	verdictSpreadTime = control.Micros(4000000) // from the first reading at one member until every other reachable member has the verdict
	joinTime          = control.Micros(6000000) // time until a member that starts or resumes has the state of the others
	evidenceLifetime  = control.Micros(8000000) // gatekeepers use evidence of a fault for this long
	exclusionSlack    = control.Micros(600000)  // a set-up may be in flight, and a reading may be one interval old
)

// MalformedClientAddress is the source address of the laboratory's clients that send malformed messages. No other clients use it.
const MalformedClientAddress = "127.0.0.9"

// VerdictStats describes the verdicts of a run.
type VerdictStats struct {
	Convicted            int     `json:"convicted"`              // verdicts on servers, counted when the first member has them
	ConvictedWhileCalled int     `json:"convicted_while_called"` // verdicts not later than the callers' last call
	Wrongful             int     `json:"wrongful"`               // verdicts on servers without a fault
	FirstExclusion       float64 `json:"first_out_s"`            // seconds from the first fault of a server until the first member excludes a server; -1: never
	AllExcluded          float64 `json:"all_out_s"`              // seconds until all running members exclude it; -1: never
	BusyNumbers          int     `json:"numbers_held_busy"`      // busy numbers, counted once for each member
	SentWhileExcluded    int     `json:"setups_while_kept_out"`  // set-ups that a gatekeeper sent to a server that it excluded
}

// exclusion is the interval in which the readings of a member show a server as excluded.
type exclusion struct {
	from, to control.Micros // of readings; to is 0 while the exclusion lasts
	last     control.Micros // latest reading
}

// Verdicts compares the verdicts read from gatekeepers with the faults injected at servers, and with the set-ups that the
// gatekeepers sent.
type Verdicts struct {
	affectedServers map[string][]uint32        // by fault: servers that may appear faulty because of it
	affectedNumbers map[string]string          // by fault: number that is busy because of it
	busyUntil       map[string]control.Micros  // by number: time until which it may be considered busy; 0: the fault is active
	busyMembers     map[string]map[string]bool // by number: members that consider it busy
	faultEnd        map[uint32]control.Micros  // by server: end of its last fault
	activeFaults    map[uint32]int             // by server: number of active faults
	firstFault      control.Micros             // beginning of the first fault of a server

	running        map[string]control.Micros         // by gatekeeper: time since which it runs
	faultyLinks    int                               // number of faulty links between gatekeepers
	lastLinkChange control.Micros                    // last change of a link between gatekeepers
	exclusions     map[string]map[uint32]*exclusion  // by member and server: current exclusions
	pastExclusions map[string]map[uint32][]exclusion // by member and server: earlier exclusions
	firstExcluded  map[uint32]control.Micros         // by server: time at which the first member excluded it; 0: none
	checked        map[uint32]bool                   // by server: whether checkMembers has decided on the current verdict
	sent           []history.Event                   // set-ups, from the records
	firstExclusion control.Micros                    // first exclusion of any server
	allExcluded    control.Micros                    // first time at which all running members exclude a faulty server
	stats          VerdictStats
	callerPrefix   string
	convicted      []control.Micros                    // times at which the first member excluded a server
	phases         map[string]map[uint32][]phaseChange // by gatekeeper and server: phases of its verdict, from its log
	lastCall       control.Micros                      // time of the callers' last call
}

// NewVerdicts returns the rule. The names of callers' processes begin with callerPrefix. affectedServers holds, by the name of
// each fault, the servers that may appear faulty because of it, and affectedNumbers the number whose lines it makes busy.
func NewVerdicts(callerPrefix string, affectedServers map[string][]uint32, affectedNumbers map[string]string) *Verdicts {
	return &Verdicts{callerPrefix: callerPrefix, affectedServers: affectedServers, affectedNumbers: affectedNumbers, busyUntil: map[string]control.Micros{}, busyMembers: map[string]map[string]bool{}, faultEnd: map[uint32]control.Micros{}, activeFaults: map[uint32]int{},
		running: map[string]control.Micros{}, exclusions: map[string]map[uint32]*exclusion{}, pastExclusions: map[string]map[uint32][]exclusion{},
		firstExcluded: map[uint32]control.Micros{}, checked: map[uint32]bool{}, stats: VerdictStats{FirstExclusion: -1, AllExcluded: -1}}
}

// phaseChange is the beginning of a phase of a verdict on a server.
type phaseChange struct {
	at    control.Micros
	phase string
}

const trialPhase = "trial" // phase in which a gatekeeper probes a server with single set-ups

// phaseChanged records a phase that a gatekeeper logged.
func (v *Verdicts) phaseChanged(e *Event) {
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
func (v *Verdicts) Event(e *Event, report func(Evidence)) {
	switch e.Kind {
	case FaultBegan:
		if n := v.affectedNumbers[e.What]; n != "" {
			v.busyUntil[n] = 0
		}
		for _, id := range v.affectedServers[e.What] {
			v.activeFaults[id]++
			if v.firstFault == 0 {
				v.firstFault = e.At
			}
		}
	case FaultEnded:
		if n := v.affectedNumbers[e.What]; n != "" {
			v.busyUntil[n] = e.At + evidenceLifetime
		}
		for _, id := range v.affectedServers[e.What] {
			v.activeFaults[id]--
			v.faultEnd[id] = e.At
		}
	case Ready, Resumed:
		v.running[e.Process] = e.At
	case Stopped, Crashed, Paused, StopRequested:
		delete(v.running, e.Process)
		delete(v.exclusions, e.Process)
	case LinkFaulty, LinkHealed:
		if strings.HasPrefix(e.Process, v.callerPrefix) || strings.HasPrefix(e.Peer, v.callerPrefix) {
			return
		}
		v.lastLinkChange = e.At
		if e.Kind == LinkFaulty {
			v.faultyLinks++
		} else {
			v.faultyLinks--
		}
	case Tried:
		v.lastCall = e.At
	case VerdictPhaseChanged:
		v.phaseChanged(e)
	case VerdictsRead:
		v.verdictsRead(e, report)
	}
}

// verdictsRead processes a reading of the verdicts that are in force at a gatekeeper.
func (v *Verdicts) verdictsRead(e *Event, report func(Evidence)) {
	var excluded []uint32
	for _, word := range strings.Fields(e.Peer) {
		if n, err := strconv.ParseUint(word, 10, 32); err == nil {
			excluded = append(excluded, uint32(n))
		}
	}
	for n := range strings.FieldsSeq(e.Class) {
		if to, ok := v.busyUntil[n]; !ok || to != 0 && e.At > to {
			report(Evidence{e.At, e.Process, "", e.Place.String(), fmt.Sprintf("treats number %q as busy, but it is not", n)})
		}
		if v.busyMembers[n] == nil {
			v.busyMembers[n] = map[string]bool{}
		}
		v.busyMembers[n][e.Process] = true
	}
	for address := range strings.FieldsSeq(e.Call) {
		if address != MalformedClientAddress {
			report(Evidence{e.At, e.Process, "", e.Place.String(), "rejects clients at " + address + ", which sends no malformed messages"})
		}
	}
	own := v.exclusions[e.Process]
	if own == nil {
		own = map[uint32]*exclusion{}
		v.exclusions[e.Process] = own
	}
	for id, s := range own {
		if !slices.Contains(excluded, id) {
			s.to = s.last
			if v.pastExclusions[e.Process] == nil {
				v.pastExclusions[e.Process] = map[uint32][]exclusion{}
			}
			v.pastExclusions[e.Process][id] = append(v.pastExclusions[e.Process][id], *s)
			delete(own, id)
		}
	}
	for _, id := range excluded {
		if own[id] == nil {
			own[id] = &exclusion{from: e.At}
			if !v.excludedByOther(id, e.Process) {
				v.stats.Convicted++
				v.convicted = append(v.convicted, e.At)
				v.firstExcluded[id], v.checked[id] = e.At, false
				if v.activeFaults[id] == 0 && (v.faultEnd[id] == 0 || e.At-v.faultEnd[id] > evidenceLifetime) {
					v.stats.Wrongful++
					report(Evidence{e.At, e.Process, "", e.Place.String(), fmt.Sprintf("excludes server %d, which had no fault", id)})
				}
			}
			if v.firstExclusion == 0 {
				v.firstExclusion = e.At
			}
		}
		own[id].last = e.At
		v.checkMembers(e, id, report)
	}
}

// excludedByOther reports whether any member other than except excludes a server.
func (v *Verdicts) excludedByOther(id uint32, except string) bool {
	for name, all := range v.exclusions {
		if name != except && all[id] != nil {
			return true
		}
	}
	return false
}

// checkMembers checks that every running member has, or has had, a verdict within verdictSpreadTime of the first member. Faults between
// gatekeepers excuse a violation.
func (v *Verdicts) checkMembers(e *Event, id uint32, report func(Evidence)) {
	since := v.firstExcluded[id]
	if v.checked[id] || since == 0 {
		return
	}
	missing := ""
	for name, from := range v.running {
		excluded := v.exclusions[name] != nil && v.exclusions[name][id] != nil
		for _, s := range v.pastExclusions[name][id] {
			excluded = excluded || s.to >= since
		}
		if !excluded && from+joinTime < since {
			missing = name
		}
	}
	switch {
	case missing == "":
		v.checked[id] = true
		if v.allExcluded == 0 && v.activeFaults[id] > 0 {
			v.allExcluded = e.At
		}
	case e.At-since > verdictSpreadTime:
		v.checked[id] = true
		if v.faultyLinks == 0 && (v.lastLinkChange == 0 || e.At-v.lastLinkChange > 2*verdictSpreadTime) {
			report(Evidence{e.At, missing, "", e.Place.String(), fmt.Sprintf("does not exclude server %d, %d ms after the first member did", id, (e.At-since)/1000)})
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
func (v *Verdicts) End(report func(Evidence)) {
	for name, all := range v.exclusions {
		for id, s := range all {
			if v.pastExclusions[name] == nil {
				v.pastExclusions[name] = map[uint32][]exclusion{}
			}
			v.pastExclusions[name][id] = append(v.pastExclusions[name][id], exclusion{from: s.from, to: s.last})
		}
	}
	for _, e := range v.sent {
		for _, s := range v.pastExclusions[e.Node][e.Server] {
			if e.At > s.from+exclusionSlack && e.At < s.to-exclusionSlack && !v.onTrial(e.Node, e.Server, e.At) {
				v.stats.SentWhileExcluded++
				report(Evidence{e.At, e.Node, e.Call, "records/" + e.Node, fmt.Sprintf("sent to server %d, which it excluded", e.Server)})
			}
		}
	}
	for _, at := range v.convicted {
		if at <= v.lastCall {
			v.stats.ConvictedWhileCalled++
		}
	}
	for _, by := range v.busyMembers {
		v.stats.BusyNumbers += len(by)
	}
	if v.firstFault > 0 && v.firstExclusion > v.firstFault {
		v.stats.FirstExclusion = float64(v.firstExclusion-v.firstFault) / 1e6
	}
	if v.firstFault > 0 && v.allExcluded > v.firstFault {
		v.stats.AllExcluded = float64(v.allExcluded-v.firstFault) / 1e6
	}
}

// Stats returns the statistics of the run. It is valid after End.
func (v *Verdicts) Stats() VerdictStats { return v.stats }
