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

const longestEvent = 64 << 20

// hollowProcess is one process that holds gatekeepers, as the laboratory sees it.
type hollowProcess struct {
	process *child.Process
	stdin   io.WriteCloser
	count   int           // its gatekeepers
	read    chan struct{} // closed when its output is read to the end

	sending sync.Mutex
	encoder *json.Encoder
}

// record is what the hollow processes have said, put together.
type record struct {
	mu       sync.Mutex
	applied  []judge.Applied
	refusals []judge.Refusal
	outages  map[string][]judge.Outage // by gatekeeper; To 0: not over
	inForce  map[string]uint64         // newest revision by gatekeeper
	pulses   map[int]hollow.Figures    // the last of each process
	samples  []sample
	counters map[int]map[int]*hollow.Counters // by mark and process
	cutOff   int                              // watchers that read nothing
	open     int
	ups      int
	fault    string
	changed  chan struct{}
}

// sample is one second of one process.
type sample struct {
	process int
	at      time.Duration
	hollow.Figures
}

func newRecord() *record {
	return &record{outages: map[string][]judge.Outage{}, inForce: map[string]uint64{}, pulses: map[int]hollow.Figures{},
		counters: map[int]map[int]*hollow.Counters{}, changed: make(chan struct{}, 1)}
}

// startHollow starts a hollow process with its share of the gatekeepers.
func startHollow(o *Options, n int, c hollow.Config, r *record) (*hollowProcess, error) {
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
	h := &hollowProcess{process: p, stdin: inWrite, count: len(c.Gatekeepers), read: make(chan struct{}), encoder: json.NewEncoder(inWrite)}
	go func() {
		defer close(h.read)
		defer outRead.Close()
		r.follow(n, outRead)
	}()
	h.sending.Lock()
	defer h.sending.Unlock()
	return h, h.encoder.Encode(c)
}

// tell hands a command to the process.
func (h *hollowProcess) tell(c hollow.Command) error {
	h.sending.Lock()
	defer h.sending.Unlock()
	return h.encoder.Encode(c)
}

// end asks the process to end, and sees to it.
func (h *hollowProcess) end(within time.Duration) {
	h.tell(hollow.Command{Do: hollow.Stop})
	h.stdin.Close()
	select {
	case <-h.process.Gone():
	case <-time.After(within):
		h.process.Kill()
	}
	<-h.read
}

// follow takes the events of a process until its output ends.
func (r *record) follow(process int, out io.Reader) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, longestEvent)
	for lines.Scan() {
		var e hollow.Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			r.mu.Lock()
			r.fault = fmt.Sprintf("hollow%d: a line that is no event: %v", process+1, err)
			r.mu.Unlock()
			continue
		}
		r.take(process, e)
	}
}

func (r *record) take(process int, e hollow.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e.Kind {
	case hollow.InForce:
		a := judge.Applied{Gatekeeper: e.Name, Life: e.Life, At: e.At, Revision: e.Revision}
		for _, s := range e.Sections {
			a.Sections = append(a.Sections, judge.Section(s))
		}
		r.applied = append(r.applied, a)
		r.inForce[e.Name] = max(r.inForce[e.Name], e.Revision)
		r.note()
	case hollow.Refused:
		r.refusals = append(r.refusals, judge.Refusal{Gatekeeper: e.Name, At: e.At, Marker: e.Marker})
	case hollow.Up:
		r.ups++
		if all := r.outages[e.Name]; len(all) > 0 && all[len(all)-1].To == 0 {
			all[len(all)-1].To = e.At
		} else if e.Life == 1 {
			r.outages[e.Name] = append(all, judge.Outage{Gatekeeper: e.Name, To: e.At})
		}
	case hollow.Down:
		r.outages[e.Name] = append(r.outages[e.Name], judge.Outage{Gatekeeper: e.Name, From: e.At})
	case hollow.Pulse:
		r.pulses[process] = *e.Pulse
		r.samples = append(r.samples, sample{process, e.At, *e.Pulse})
		r.note()
	case hollow.Counted:
		if r.counters[e.Counters.Mark] == nil {
			r.counters[e.Counters.Mark] = map[int]*hollow.Counters{}
		}
		r.counters[e.Counters.Mark][process] = e.Counters
		r.note()
	case hollow.Watchers:
		r.cutOff += e.CutOff
		r.open += e.Open
	}
}

// note wakes who waits for the record to change.
func (r *record) note() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// behind counts gatekeepers whose newest revision in force is below one, as far as they are up.
func (r *record) behind(gatekeepers []hollow.Gatekeeper, revision uint64, but func(hollow.Gatekeeper) bool) (behind int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range gatekeepers {
		if r.inForce[g.Name] < revision && !but(g) {
			behind++
		}
	}
	return behind
}

// hollowConfig is what a hollow process is told at its start.
func hollowConfig(o *Options, p plan, machines []*machine, began time.Time, n int) hollow.Config {
	c := hollow.Config{Began: began.UnixNano(), Seed: o.Seed, Site: o.Site, StartOver: o.startOver(), Parts: len(p.gatekeepers),
		Membership: o.With.Membership, Registers: o.With.Registers, RegisterBytes: o.RegisterBytes, Limits: o.With.Limits}
	for _, f := range o.Faults {
		if f.Kind == script.Latency {
			c.Shaped, c.Latency = true, f.Delay
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
