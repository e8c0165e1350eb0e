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

// eventLog collects the events of all hollow processes.
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
	starts        int
	parseError    string        // last invalid line of a process
	changed       chan struct{} // signals new events
}

// figuresSample is the figures of one process at one time.
type figuresSample struct {
	process int
	at      time.Duration
	hollow.Figures
}

func newEventLog() *eventLog {
	return &eventLog{outages: map[string][]judge.Outage{}, inForce: map[string]uint64{}, latestFigures: map[int]hollow.Figures{},
		counters: map[int]map[int]*hollow.Counters{}, changed: make(chan struct{}, 1)}
}

// startHollow starts a hollow process with its share of the gatekeepers.
func startHollow(o *Options, n int, c hollow.Config, r *eventLog) (*hollowProcess, error) {
	inRead, inWrite, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	outRead, outWrite, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("hollow%d", n+1)
	p, err := child.Start(child.Options{Name: name, Path: o.Program, Args: []string{"lab", "hollow"}, Env: o.Env, Dir: o.Dir,
		LogFile: filepath.Join(o.Dir, name+".log"), Stdin: inRead, Stdout: outWrite})
	inRead.Close()
	outWrite.Close()
	if err != nil {
		return nil, err
	}
	h := &hollowProcess{process: p, stdin: inWrite, gatekeepers: len(c.Gatekeepers), outputRead: make(chan struct{}), encoder: json.NewEncoder(inWrite)}
	go func() {
		defer close(h.outputRead)
		defer outRead.Close()
		r.readEvents(n, outRead)
	}()
	h.sendMu.Lock()
	defer h.sendMu.Unlock()
	return h, h.encoder.Encode(c)
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
func (r *eventLog) readEvents(process int, out io.Reader) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		var e hollow.Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			r.mu.Lock()
			r.parseError = fmt.Sprintf("hollow%d: invalid event: %v", process+1, err)
			r.mu.Unlock()
			continue
		}
		r.handle(process, e)
	}
}

// handle adds an event of a process.
func (r *eventLog) handle(process int, e hollow.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e.Kind {
	case hollow.CandidateApplied:
		a := judge.Applied{Gatekeeper: e.Name, StartCount: e.StartCount, At: e.At, Revision: e.Revision}
		for _, s := range e.Sections {
			a.Sections = append(a.Sections, judge.Section(s))
		}
		r.applied = append(r.applied, a)
		r.inForce[e.Name] = max(r.inForce[e.Name], e.Revision)
		r.signalChange()
	case hollow.CandidateRefused:
		r.refusals = append(r.refusals, judge.Refusal{Gatekeeper: e.Name, At: e.At, Marker: e.Marker})
	case hollow.GatekeeperUp:
		r.starts++
		if all := r.outages[e.Name]; len(all) > 0 && all[len(all)-1].To == 0 {
			all[len(all)-1].To = e.At
		} else if e.StartCount == 1 {
			r.outages[e.Name] = append(all, judge.Outage{Gatekeeper: e.Name, To: e.At})
		}
	case hollow.GatekeeperDown:
		r.outages[e.Name] = append(r.outages[e.Name], judge.Outage{Gatekeeper: e.Name, From: e.At})
	case hollow.PeriodicFigures:
		r.latestFigures[process] = *e.PeriodicFigures
		r.samples = append(r.samples, figuresSample{process, e.At, *e.PeriodicFigures})
		r.signalChange()
	case hollow.CountersReported:
		if r.counters[e.Counters.Mark] == nil {
			r.counters[e.Counters.Mark] = map[int]*hollow.Counters{}
		}
		r.counters[e.Counters.Mark][process] = e.Counters
		r.signalChange()
	case hollow.StuckWatchersResult:
		r.stuckCutOff += e.CutOff
		r.stuckLeft += e.NotCutOff
	}
}

// signalChange signals that the record has changed.
func (r *eventLog) signalChange() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// behind counts the gatekeepers whose highest revision in force is below revision, other than those that except selects.
func (r *eventLog) behind(gatekeepers []hollow.Gatekeeper, revision uint64, except func(hollow.Gatekeeper) bool) (behind int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range gatekeepers {
		if r.inForce[g.Name] < revision && !except(g) {
			behind++
		}
	}
	return behind
}

// hollowConfig returns the configuration of hollow process n.
func hollowConfig(o *Options, p plan, machines []*machine, began time.Time, n int) hollow.Config {
	c := hollow.Config{RunStart: began.UnixNano(), Seed: o.Seed, Site: o.Site, StartSpread: o.startSpread(), Parts: len(p.gatekeepers),
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
	for i := n; i < len(p.gatekeepers); i += o.HollowProcesses {
		c.Gatekeepers = append(c.Gatekeepers, p.gatekeepers[i])
	}
	return c
}
