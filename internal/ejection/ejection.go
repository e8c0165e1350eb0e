// Package ejection runs outlier detection (control/outlier) at one gatekeeper: it counts the outcomes of attempts at menu
// servers, publishes them to the fleet by gossip, reads what the other members published, and sets the in-flight limits of
// ejected servers in the core. The same is done for busy numbers and for callers that send what can't be parsed. Its state
// lies under locks of its own; the core never waits for it.
package ejection

import (
	"cmp"
	"context"
	"math"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/control/outlier"
	"beammux/control/registers"
	"beammux/internal/counting"
	"beammux/internal/routing"
)

const (
	updateInterval = 100 * time.Millisecond
	maxServers     = 24 // that one member publishes: those with the most failures first
	minPublished   = 0.05
	minKept        = 0.001

	maxCallers          = 1024 // addresses whose connections are counted
	maxCallersPublished = 16
	maxNumbers          = 256 // that are remembered as busy
	maxNumberLength     = 64  // bytes; a longer one is not counted
	maxRegisterBytes    = 960
	numberOverhead      = 24                     // encoded bytes of an observation beside the number itself
	renotifyAfter       = control.Micros(500000) // least time between two calls of SetBusyNumber for a number
)

// FalseEvidenceVariable is an environment variable for the laboratory. It names a file: while that exists, this gatekeeper publishes that
// every server fails it.
const FalseEvidenceVariable = "BEAMMUX_LAB_LIE"

// Gossip publishes and reads registers. *fleet.Fleet implements it.
type Gossip interface {
	Publish(t registers.Topic, value []byte) error
	Read(t registers.Topic) []registers.Register
	UpNames() []string
}

// Options of a Monitor. All are required.
type Options struct {
	Name             string
	MaxEjected       float64                     // part of the servers that may be ejected at once
	Servers          func() []outlier.Server     // returns the servers on the list
	SetInFlightLimit func(control.InFlightLimit) // called for each change
	SetBusyNumber    func(number string, at control.Micros)
	Now              func() control.Micros // the core's clock
	Log              logrus.FieldLogger
}

// tally counts outcomes, decayed over outlier.DecayTime, of one server or one caller. Times are -1 where there was none.
type tally struct {
	successes, failures      float64
	decayedAt                control.Micros
	lastSuccess, lastFailure control.Micros
	failureStreak            int
}

func (t *tally) decay(now control.Micros) {
	if now > t.decayedAt {
		f := math.Exp(-float64(now-t.decayedAt) / float64(outlier.DecayTime))
		t.successes, t.failures, t.decayedAt = t.successes*f, t.failures*f, now
	}
}

// Monitor is the outlier detection of one gatekeeper. It is safe for concurrent use.
type Monitor struct {
	options           Options
	gossip            Gossip
	stop              context.CancelFunc
	done              sync.WaitGroup
	decoding          cbor.DecMode
	falseEvidenceFile string

	publishedNumbers, publishedCallers bool // whether the last update published any

	tallyMu       sync.Mutex
	serverTallies map[uint32]*tally
	numberTallies map[string]*numberTally
	callerTallies map[string]*tally

	mu                 sync.Mutex
	detector           *outlier.Detector
	phaseCounts        map[outlier.Phase]int64 // how often a server has entered a phase
	isolated           bool
	busyNumbers        []outlier.BusyNumber
	callerFilter       *outlier.CallerFilter
	blockedCallers     []outlier.BlockedCaller
	blockedConnections int64                     // connections closed at once
	lastNotified       map[string]control.Micros // by number: the answer that SetBusyNumber was last called for
}

// New makes a monitor. It starts with Open.
func New(o Options) (*Monitor, error) {
	read, err := cbor.DecOptions{MaxArrayElements: 256, MaxNestedLevels: 4}.DecMode()
	if err != nil {
		return nil, err
	}
	return &Monitor{options: o, decoding: read, falseEvidenceFile: os.Getenv(FalseEvidenceVariable), serverTallies: map[uint32]*tally{}, numberTallies: map[string]*numberTally{}, callerTallies: map[string]*tally{}, callerFilter: outlier.NewCallerFilter(), lastNotified: map[string]control.Micros{}, detector: outlier.New(o.Name, o.MaxEjected),
		phaseCounts: map[outlier.Phase]int64{}}, nil
}

// Open starts the updates, one each updateInterval.
func (m *Monitor) Open(gossip Gossip) {
	m.gossip = gossip
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	m.done.Go(func() {
		tick := time.NewTicker(updateInterval)
		defer tick.Stop()
		for ctx.Err() == nil {
			m.update()
			select {
			case <-ctx.Done():
			case <-tick.C:
			}
		}
	})
}

// Close stops the updates.
func (m *Monitor) Close() {
	if m.stop != nil {
		m.stop()
		m.done.Wait()
	}
}

// Observe implements routing.Observer.
func (m *Monitor) Observe(now control.Micros, s counting.Event) {
	if s.Kind == counting.Busy || s.Kind == counting.Established {
		m.observeNumber(now, s)
		return
	}
	if s.Server == 0 {
		return
	}
	switch s.Kind {
	case counting.Answered, counting.Overdue, counting.Errored, counting.TimedOut:
	default:
		return
	}
	m.tallyMu.Lock()
	defer m.tallyMu.Unlock()
	t := m.serverTallies[s.Server]
	if t == nil {
		t = &tally{decayedAt: now, lastSuccess: -1, lastFailure: -1}
		m.serverTallies[s.Server] = t
	}
	t.decay(now)
	switch s.Kind {
	case counting.Answered:
		t.successes++
		t.lastSuccess, t.failureStreak = now, 0
	case counting.Overdue: // it may still be answered: counts only for detecting a hang
		t.lastFailure = max(t.lastFailure, now-control.Micros(routing.OverdueAfter/time.Microsecond))
		t.failureStreak++
	case counting.TimedOut:
		t.failures++
	case counting.Errored:
		t.failures++
		t.lastFailure = now
		t.failureStreak++
	}
}

// serverObservations returns what this gatekeeper publishes of servers. It drops the servers whose counts have decayed.
func (m *Monitor) serverObservations(now control.Micros) (all []outlier.Observation) {
	m.tallyMu.Lock()
	defer m.tallyMu.Unlock()
	age := func(at control.Micros) control.Micros {
		if at < 0 {
			return -1
		}
		return max(0, now-at)
	}
	for id, t := range m.serverTallies {
		if t.decay(now); t.successes+t.failures < minKept && now-t.lastFailure > 2*outlier.DecayTime {
			delete(m.serverTallies, id)
			continue
		}
		if t.successes+t.failures >= minPublished || t.failureStreak > 0 {
			all = append(all, outlier.Observation{Server: id, Successes: quantize(t.successes), Failures: quantize(t.failures), SuccessAge: age(t.lastSuccess), FailureAge: age(t.lastFailure), FailureStreak: min(t.failureStreak, 99)})
		}
	}
	slices.SortFunc(all, func(a, b outlier.Observation) int {
		return cmp.Or(cmp.Compare(b.FailureStreak, a.FailureStreak), cmp.Compare(b.Failures, a.Failures), cmp.Compare(b.Successes, a.Successes), cmp.Compare(a.Server, b.Server))
	})
	return all[:min(len(all), maxServers)]
}

func quantize(v float64) float64 { return math.Round(v*16) / 16 }

// update publishes the own evidence, reads that of the others and applies what changes.
func (m *Monitor) update() {
	now := m.options.Now()
	own := m.serverObservations(now)
	list := m.options.Servers()
	if m.publishesFalseEvidence() {
		own = nil
		for _, s := range list[:min(len(list), maxServers)] {
			own = append(own, outlier.Observation{Server: s.ID, Failures: 9, SuccessAge: -1, FailureStreak: 9, VoteRemaining: outlier.BaseEjectionTime})
		}
	}
	m.mu.Lock()
	votes := m.detector.Votes(now)
	m.mu.Unlock()
	for i := range own {
		own[i].VoteRemaining = votes[own[i].Server]
		delete(votes, own[i].Server)
	}
	for id, left := range votes { // on servers without recent attempts of its own
		own = append(own, outlier.Observation{Server: id, SuccessAge: -1, FailureAge: -1, VoteRemaining: left})
	}
	if text, err := encoding.Marshal(own); err == nil {
		m.gossip.Publish(registers.Evidence, text) // an error is logged by the fleet
	}
	all := []outlier.Evidence{{Member: m.options.Name, Servers: own}}
	for _, r := range m.gossip.Read(registers.Evidence) {
		var observations []outlier.Observation
		if r.Origin != m.options.Name && m.decoding.Unmarshal(r.Value, &observations) == nil {
			all = append(all, outlier.Evidence{Member: r.Origin, Age: r.Age, Servers: observations})
		}
	}
	slices.SortFunc(all, func(a, b outlier.Evidence) int { return cmp.Compare(a.Member, b.Member) })
	up := m.gossip.UpNames()
	m.mu.Lock()
	changes := m.detector.Update(now, all, list, up)
	isolated := slices.Clone(m.detector.Isolated())
	selfIsolated := slices.Contains(isolated, m.options.Name)
	before := m.isolated
	m.isolated = selfIsolated
	for _, c := range changes {
		m.phaseCounts[c.Phase]++
	}
	m.mu.Unlock()
	m.updateNumbers(now, isolated)
	m.updateCallers(now)
	for _, c := range changes {
		m.options.SetInFlightLimit(control.InFlightLimit{Server: c.Server, Max: c.MaxInFlight})
		m.options.Log.WithFields(logrus.Fields{"server": c.Server, "phase": c.Phase.String(), "room": c.MaxInFlight, "step": c.Step, "failed": quantize(c.FailureRate),
			"witnesses": len(c.Witnesses), "reason": c.Reason}).Warn("verdict: changed")
	}
	switch {
	case selfIsolated && !before:
		m.options.Log.WithField("advice", (&IsolatedError{}).Advice()).Warn("verdict: " + (&IsolatedError{}).Error())
	case before && !selfIsolated:
		m.options.Log.Info("verdict: the evidence of this gatekeeper counts again")
	}
}

func (m *Monitor) publishesFalseEvidence() bool {
	if m.falseEvidenceFile == "" {
		return false
	}
	_, err := os.Stat(m.falseEvidenceFile)
	return err == nil
}

var encoding = func() cbor.EncMode {
	m, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// IsolatedError says that most servers fail this gatekeeper that do not fail the others.
type IsolatedError struct{}

func (*IsolatedError) Error() string {
	return "most servers fail this gatekeeper that do not fail the others: its evidence does not count"
}

// Advice implements advice.Error.
func (*IsolatedError) Advice() string {
	return "look at this machine's network to the menu servers, and its load; evacuate it meanwhile (POST /api/evacuate)"
}

// Status is what is in force at this gatekeeper. The JSON names are part of GET /api/fleet.
type Status struct {
	Servers  []outlier.Ejection      `json:"servers"`
	Numbers  []outlier.BusyNumber    `json:"numbers"` // whose lines are all busy
	Callers  []outlier.BlockedCaller `json:"callers"` // blocked
	Isolated []string                `json:"apart"`   // members whose evidence does not count
	Advice   string                  `json:"advice,omitempty"`
}

// Status returns what is in force now.
func (m *Monitor) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Status{Servers: m.detector.Ejections(m.options.Now()), Numbers: slices.Clone(m.busyNumbers), Callers: slices.Clone(m.blockedCallers), Isolated: slices.Clone(m.detector.Isolated())}
	if m.isolated {
		s.Advice = (&IsolatedError{}).Advice()
	}
	return s
}

// Count returns how many servers are in a phase now, and how often one has entered it since the start.
func (m *Monitor) Count(p outlier.Phase) (now int, total int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, v := range m.detector.Ejections(m.options.Now()) {
		if v.Phase == p {
			now++
		}
	}
	return now, m.phaseCounts[p]
}
