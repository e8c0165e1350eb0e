package fleetlab

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"

	"beammux/control"
	"beammux/internal/fleetcheck"
)

// line is an event in a file: one JSON object per line.
type line struct {
	At      int64  `json:"at_us"` // Unix microseconds
	Kind    string `json:"kind"`
	Process string `json:"process,omitempty"`
	Peer    string `json:"peer,omitempty"`
	Call    string `json:"call,omitempty"`
	Class   string `json:"class,omitempty"`
	What    string `json:"what,omitempty"`
	Span    int64  `json:"span_us,omitempty"`

	Value float64 `json:"value,omitempty"`
}

// event converts a line to an event; it reports whether the kind is known.
func (l *line) event(place fleetcheck.Place) (fleetcheck.Event, bool) {
	kind, ok := fleetcheck.ParseKind(l.Kind)
	return fleetcheck.Event{At: control.Micros(l.At), Kind: kind, Process: l.Process, Peer: l.Peer, Call: l.Call, Class: l.Class,
		What: l.What, Span: control.Micros(l.Span), Value: l.Value, Place: place}, ok
}

// eventLog writes events to a file. It is safe for concurrent use. A line gets its time and is written under one lock, so
// lines are in order of time.
type eventLog struct {
	mu  sync.Mutex
	f   *os.File
	out *bufio.Writer
	err error
}

// newEventLog creates the file of an event log.
func newEventLog(file string) (*eventLog, error) {
	f, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	return &eventLog{f: f, out: bufio.NewWriterSize(f, 64<<10)}, nil
}

// record writes an event with the current time.
func (j *eventLog) record(kind fleetcheck.Kind, l line) {
	j.mu.Lock()
	defer j.mu.Unlock()
	l.At, l.Kind = time.Now().UnixMicro(), kind.String()
	text, err := json.Marshal(l)
	if err == nil {
		_, err = j.out.Write(append(text, '\n'))
	}
	if j.err == nil {
		j.err = err
	}
}

// close closes the file and returns the first error of all writes.
func (j *eventLog) close() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err := j.out.Flush(); j.err == nil {
		j.err = err
	}
	if err := j.f.Close(); j.err == nil {
		j.err = err
	}
	return j.err
}
