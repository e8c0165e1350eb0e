// Package ejection runs outlier detection (control/outlier) at one gatekeeper: it counts the outcomes of attempts at menu
// servers, publishes them to the fleet by gossip, reads the observations of the other members, and sets the in-flight limits
// of ejected servers in the core. It does the same for busy numbers and for callers that send malformed messages. Its state
// has its own locks, so that the core never waits for it.
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
	maxServers     = 24    // servers that one member publishes, those with the most failures first
	minPublished   = 0.05  // least decayed count that is published
	minKept        = 0.001 // least decayed count that is kept

	maxCallers          = 1024 // addresses whose connections are counted
	maxCallersPublished = 16
	maxNumbers          = 256                    // numbers that are remembered as busy
	maxNumberLength     = 64                     // bytes; a longer number is not counted
	maxRegisterBytes    = 960                    // encoded bytes of the published numbers
	numberOverhead      = 24                     // encoded bytes of an observation without the number itself
	renotifyAfter       = control.Micros(500000) // least time between two calls of SetBusyNumber for a number
)

// FalseEvidenceVariable is an environment variable for fault tests in the laboratory. It names a file; while the file exists, this
// gatekeeper publishes false evidence that every server fails.
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

// tally counts the outcomes of one server or one caller, decayed over outlier.DecayTime. Times are -1 if there was no such
// outcome.
type tally struct {
	successes, failures      float64
	decayedAt                control.Micros
	lastSuccess, lastFailure control.Micros
	failureStreak            int
}

// decay decays the counts up to now.
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
	decoder           cbor.DecMode
	falseEvidenceFile string

	publishedNumbers, publishedCallers bool // whether the last update published any

	tallyMu       sync.Mutex
	serverTallies map[uint32]*tally
	numberTallies map[string]*numberTally
	callerTallies map[string]*tally

	mu                 sync.Mutex
	detector           *outlier.Detector
	phaseCounts        map[outlier.Phase]int64 // how often any server has entered a phase
	isolated           bool
	busyNumbers        []outlier.BusyNumber
	callerFilter       *outlier.CallerFilter
	blockedCallers     []outlier.BlockedCaller
	blockedConnections int64                     // connections closed at once because their address was blocked
	lastNotified       map[string]control.Micros // by number: time of the busy answer of the last call of SetBusyNumber
}

// New returns a monitor. Open starts it.
func New(o Options) (*Monitor, error) {
	decMode, err := cbor.DecOptions{MaxArrayElements: 256, MaxNestedLevels: 4}.DecMode()
	if err != nil {
		return nil, err
	}
	return &Monitor{options: o, decoder: decMode, falseEvidenceFile: os.Getenv(FalseEvidenceVariable), serverTallies: map[uint32]*tally{}, numberTallies: map[string]*numberTally{}, callerTallies: map[string]*tally{}, callerFilter: outlier.NewCallerFilter(), lastNotified: map[string]control.Micros{}, detector: outlier.New(o.Name, o.MaxEjected),
		phaseCounts: map[outlier.Phase]int64{}}, nil
}

// Open starts the periodic updates, one every updateInterval.
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
func (m *Monitor) Observe(now control.Micros, event counting.Event) {
	if event.Kind == counting.Busy || event.Kind == counting.Established {
		m.observeNumber(now, event)
		return
	}
	if event.Server == 0 {
		return
	}
	switch event.Kind {
	case counting.Answered, counting.Overdue, counting.Errored, counting.TimedOut:
	default:
		return
	}
	m.tallyMu.Lock()
	defer m.tallyMu.Unlock()
	t := m.serverTallies[event.Server]
	if t == nil {
		t = &tally{decayedAt: now, lastSuccess: -1, lastFailure: -1}
		m.serverTallies[event.Server] = t
	}
	t.decay(now)
	switch event.Kind {
	case counting.Answered:
		t.successes++
		t.lastSuccess, t.failureStreak = now, 0
	case counting.Overdue: // may still be answered: counted only to detect a server that hangs
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

// serverObservations returns the observations of servers that this gatekeeper publishes, those with the longest failure streak
// and the most failures first. It drops the servers whose counts have decayed.
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

// quantize rounds a value to a multiple of 1/16.
func quantize(v float64) float64 { return math.Round(v*16) / 16 }

// update publishes this gatekeeper's evidence, reads that of the other members, and applies the resulting changes.
func (m *Monitor) update() {
	now := m.options.Now()
	own := m.serverObservations(now)
	servers := m.options.Servers()
	if m.publishesFalseEvidence() {
		own = nil
		for _, s := range servers[:min(len(servers), maxServers)] {
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
	for id, remaining := range votes { // votes on servers without recent attempts by this gatekeeper
		own = append(own, outlier.Observation{Server: id, SuccessAge: -1, FailureAge: -1, VoteRemaining: remaining})
	}
	if encoded, err := encoder.Marshal(own); err == nil {
		m.gossip.Publish(registers.Evidence, encoded) // an error is logged by the fleet
	}
	all := []outlier.Evidence{{Member: m.options.Name, Servers: own}}
	for _, r := range m.gossip.Read(registers.Evidence) {
		var observations []outlier.Observation
		if r.Origin != m.options.Name && m.decoder.Unmarshal(r.Value, &observations) == nil {
			all = append(all, outlier.Evidence{Member: r.Origin, Age: r.Age, Servers: observations})
		}
	}
	slices.SortFunc(all, func(a, b outlier.Evidence) int { return cmp.Compare(a.Member, b.Member) })
	up := m.gossip.UpNames()
	m.mu.Lock()
	changes := m.detector.Update(now, all, servers, up)
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
		m.options.Log.Info("verdict: the evidence of this gatekeeper is used again")
	}
}

// publishesFalseEvidence reports whether the file named by FalseEvidenceVariable exists.
func (m *Monitor) publishesFalseEvidence() bool {
	if m.falseEvidenceFile == "" {
		return false
	}
	_, err := os.Stat(m.falseEvidenceFile)
	return err == nil
}

// encoder encodes observations for the registers.
var encoder = func() cbor.EncMode {
	m, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// IsolatedError reports that most servers fail for this gatekeeper and do not fail for the others.
type IsolatedError struct{}

// Error implements error.
func (*IsolatedError) Error() string {
	return "most servers fail for this gatekeeper and not for the others: its evidence does not count"
}

// Advice implements advice.Error.
func (*IsolatedError) Advice() string {
	return "check this machine's load and its network to the menu servers; evacuate the machine meanwhile (POST /api/evacuate)"
}

// Status is the current result of outlier detection at this gatekeeper. The JSON names are part of GET /api/fleet.
type Status struct {
	Servers  []outlier.Ejection      `json:"servers"`
	Numbers  []outlier.BusyNumber    `json:"numbers"` // numbers whose lines are all busy
	Callers  []outlier.BlockedCaller `json:"callers"` // blocked callers
	Isolated []string                `json:"apart"`   // members whose evidence does not count
	Advice   string                  `json:"advice,omitempty"`
}

// Status returns the current result of outlier detection.
func (m *Monitor) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Status{Servers: m.detector.Ejections(m.options.Now()), Numbers: slices.Clone(m.busyNumbers), Callers: slices.Clone(m.blockedCallers), Isolated: slices.Clone(m.detector.Isolated())}
	if m.isolated {
		s.Advice = (&IsolatedError{}).Advice()
	}
	return s
}

// Count returns how many servers are in a phase now, and how often a server has entered it since the start of the process.
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
