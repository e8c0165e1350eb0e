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

// line is an event as it stands in a file: one JSON object in a line.
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

func (l *line) event(place fleetcheck.Place) (fleetcheck.Event, bool) {
	kind, ok := fleetcheck.ParseKind(l.Kind)
	return fleetcheck.Event{At: control.Micros(l.At), Kind: kind, Process: l.Process, Peer: l.Peer, Call: l.Call, Class: l.Class,
		What: l.What, Span: control.Micros(l.Span), Value: l.Value, Place: place}, ok
}

// journal writes what was seen. Any goroutine may write; a line is stamped and written in one step, so lines are in order.
type journal struct {
	mu  sync.Mutex
	f   *os.File
	out *bufio.Writer
	err error
}

func newJournal(file string) (*journal, error) {
	f, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	return &journal{f: f, out: bufio.NewWriterSize(f, 64<<10)}, nil
}

// note writes an event as of now.
func (j *journal) note(kind fleetcheck.Kind, l line) {
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

// close gives the first fault of all writes.
func (j *journal) close() error {
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
