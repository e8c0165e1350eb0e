package scalelab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"beammux/internal/scalelab/child"
	"beammux/internal/scalelab/hollow"
	"beammux/internal/scalelab/judge"
	"beammux/internal/scalelab/script"
)

// maxEventBytes is the limit of a line from a hollow process in bytes.
const maxEventBytes = 64 << 20

// hollowProcess is a hollow process as seen by the laboratory.
type hollowProcess struct {
	process     *child.Process
	stdin       io.WriteCloser
	gatekeepers int           // number of its gatekeepers
	outputRead  chan struct{} // closed when its output has been read to the end

	sendMu  sync.Mutex
	encoder *json.Encoder
}

// eventLog collects the events of all hollow processes. Maps by process are keyed by its index.
type eventLog struct {
	mu            sync.Mutex
	applied       []judge.Applied
	refusals      []judge.Refusal
	outages       map[string][]judge.Outage // by gatekeeper; To is 0 while the outage lasts
	inForce       map[string]uint64         // highest revision in force, by gatekeeper
	latestFigures map[int]hollow.Figures    // latest figures, by process
	samples       []figuresSample
	counters      map[int]map[int]*hollow.Counters // by mark and process
	stuckCutOff   int                              // stuck watchers that were cut off
	stuckLeft     int                              // stuck watchers that were not cut off
	starts        int                              // starts of gatekeepers
	parseError    string                           // last invalid line of a process
	changed       chan struct{}                    // signals new events
}

// figuresSample is the figures of one process at one time.
type figuresSample struct {
	process int
	at      time.Duration
	hollow.Figures
}

// newEventLog returns an empty event log.
func newEventLog() *eventLog {
	return &eventLog{outages: map[string][]judge.Outage{}, inForce: map[string]uint64{}, latestFigures: map[int]hollow.Figures{},
		counters: map[int]map[int]*hollow.Counters{}, changed: make(chan struct{}, 1)}
}

// startHollow starts a hollow process with its share of the gatekeepers.
func startHollow(o *Options, index int, config hollow.Config, log *eventLog) (*hollowProcess, error) {
	inRead, inWrite, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	outRead, outWrite, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("hollow%d", index+1)
	p, err := child.Start(child.Options{Name: name, Path: o.Program, Args: []string{"lab", "hollow"}, Env: o.Env, Dir: o.Dir,
		LogFile: filepath.Join(o.Dir, name+".log"), Stdin: inRead, Stdout: outWrite})
	inRead.Close()
	outWrite.Close()
	if err != nil {
		return nil, err
	}
	h := &hollowProcess{process: p, stdin: inWrite, gatekeepers: len(config.Gatekeepers), outputRead: make(chan struct{}), encoder: json.NewEncoder(inWrite)}
	go func() {
		defer close(h.outputRead)
		defer outRead.Close()
		log.readEvents(index, outRead)
	}()
	h.sendMu.Lock()
	defer h.sendMu.Unlock()
	return h, h.encoder.Encode(config)
}

// send sends a command to the process.
func (h *hollowProcess) send(c hollow.Command) error {
	h.sendMu.Lock()
	defer h.sendMu.Unlock()
	return h.encoder.Encode(c)
}

// stop requests the process to exit, kills it if it does not exit in time, and waits for the end of its output.
func (h *hollowProcess) stop(timeout time.Duration) {
	h.send(hollow.Command{Operation: hollow.Stop})
	h.stdin.Close()
	select {
	case <-h.process.Done():
	case <-time.After(timeout):
		h.process.Kill()
	}
	<-h.outputRead
}

// readEvents reads the events of a process until its output ends.
func (log *eventLog) readEvents(process int, output io.Reader) {
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		var event hollow.Event
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			log.mu.Lock()
			log.parseError = fmt.Sprintf("hollow%d: invalid event: %v", process+1, err)
			log.mu.Unlock()
			continue
		}
		log.handle(process, event)
	}
}

// handle adds an event of a process.
func (log *eventLog) handle(process int, event hollow.Event) {
	log.mu.Lock()
	defer log.mu.Unlock()
	switch event.Kind {
	case hollow.CandidateApplied:
		candidate := judge.Applied{Gatekeeper: event.Name, StartCount: event.StartCount, At: event.At, Revision: event.Revision}
		for _, s := range event.Sections {
			candidate.Sections = append(candidate.Sections, judge.Section(s))
		}
		log.applied = append(log.applied, candidate)
		log.inForce[event.Name] = max(log.inForce[event.Name], event.Revision)
		log.signalChange()
	case hollow.CandidateRefused:
		log.refusals = append(log.refusals, judge.Refusal{Gatekeeper: event.Name, At: event.At, Marker: event.Marker})
	case hollow.GatekeeperUp:
		log.starts++
		if all := log.outages[event.Name]; len(all) > 0 && all[len(all)-1].To == 0 {
			all[len(all)-1].To = event.At
		} else if event.StartCount == 1 {
			log.outages[event.Name] = append(all, judge.Outage{Gatekeeper: event.Name, To: event.At})
		}
	case hollow.GatekeeperDown:
		log.outages[event.Name] = append(log.outages[event.Name], judge.Outage{Gatekeeper: event.Name, From: event.At})
	case hollow.PeriodicFigures:
		log.latestFigures[process] = *event.PeriodicFigures
		log.samples = append(log.samples, figuresSample{process, event.At, *event.PeriodicFigures})
		log.signalChange()
	case hollow.CountersReported:
		if log.counters[event.Counters.Mark] == nil {
			log.counters[event.Counters.Mark] = map[int]*hollow.Counters{}
		}
		log.counters[event.Counters.Mark][process] = event.Counters
		log.signalChange()
	case hollow.StuckWatchersResult:
		log.stuckCutOff += event.CutOff
		log.stuckLeft += event.NotCutOff
	}
}

// signalChange signals that the event log has changed.
func (log *eventLog) signalChange() {
	select {
	case log.changed <- struct{}{}:
	default:
	}
}

// behind counts the gatekeepers whose highest revision in force is below revision, other than those that except selects.
func (log *eventLog) behind(gatekeepers []hollow.Gatekeeper, revision uint64, except func(hollow.Gatekeeper) bool) (behind int) {
	log.mu.Lock()
	defer log.mu.Unlock()
	for _, g := range gatekeepers {
		if log.inForce[g.Name] < revision && !except(g) {
			behind++
		}
	}
	return behind
}

// hollowConfig returns the configuration of hollow process n.
func hollowConfig(o *Options, p plan, machines []*machine, runStart time.Time, index int) hollow.Config {
	c := hollow.Config{RunStart: runStart.UnixNano(), Seed: o.Seed, Site: o.Site, StartSpread: o.startSpread(), Parts: len(p.gatekeepers),
		Membership: o.With.Membership, Registers: o.With.Registers, RegisterBytes: o.RegisterBytes, Limits: o.With.Limits}
	for _, f := range o.Faults {
		if f.Kind == script.Latency {
			c.DelayRegions, c.Latency = true, f.Delay
		}
	}
	if o.Control > 0 {
		c.Dir = filepath.Join(o.Dir, "gatekeepers")
	}
	for _, m := range machines {
		c.Replicas = append(c.Replicas, m.Replica)
	}
	for i := index; i < len(p.gatekeepers); i += o.HollowProcesses {
		c.Gatekeepers = append(c.Gatekeepers, p.gatekeepers[i])
	}
	return c
}
