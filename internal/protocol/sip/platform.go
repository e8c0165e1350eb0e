package sip

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/internal/routing"
	"beammux/internal/transport"
)

// PlatformDialer opens lines to the platform's menu servers: SIP over one TCP connection, matched by Call-ID alone.
type PlatformDialer struct {
	Budget  *transport.Budget
	Timeout time.Duration
	Classes []string // names, in the order of the settings
	Reports []string // names of a report's values, in the order of the settings
	Log     logrus.FieldLogger
}

// A server's state is told on four connections at most.
const platformLines = 4

// Lines implements routing.Dialer.
func (d *PlatformDialer) Lines(string) int { return platformLines }

// Dial implements routing.Dialer.
func (d *PlatformDialer) Dial(ctx context.Context, addr string, events routing.LineEvents) (routing.Line, error) {
	conn, err := d.Budget.Dial(ctx, addr, d.Timeout)
	if err != nil {
		return nil, err
	}
	return d.line(conn, events), nil
}

func (d *PlatformDialer) line(conn *transport.Conn, events routing.LineEvents) *platformLine {
	l := &platformLine{dialer: d, conn: conn, events: events, out: map[string]platformSetup{}}
	go l.read()
	return l
}

// platformLine is one connection to a menu server.
type platformLine struct {
	dialer *PlatformDialer
	conn   *transport.Conn
	events routing.LineEvents
	mu     sync.Mutex
	out    map[string]platformSetup // set-ups that were sent and have no final response
	heard  time.Time                // when the last message came
	told   time.Time                // when the last state came
	gaps   []time.Duration          // between the last states
}

type platformSetup struct {
	routing.Attempt
	at        time.Time
	cancelled bool
}

// The figures by which a line is taken to be mute: it is open, yet nothing more comes on it. Its set-ups are lost, and
// so is what the server would say of calls that stand.
const (
	answerWithin = 250 * time.Millisecond // an answer that has begun is whole by then
	quietLeast   = time.Second            // silence of less is no sign
	quietGaps    = 2.5                    // states that are missing
	gapsKept     = 4
)

var errMute = errors.New("line is mute")

func request(method, id, key string, cseq string) *Message {
	if key == "" {
		key = "unknown"
	}
	return Request(method, "sip:"+key+"@net").Set("Via", "SIP/2.0/TCP beammux").Set("Call-ID", id).
		Set("CSeq", "1 "+cseq)
}

func (l *platformLine) Setup(a routing.Attempt, still func() bool) {
	l.mu.Lock()
	l.out[a.ID()] = platformSetup{Attempt: a, at: time.Now()}
	l.mu.Unlock()
	m := request("INVITE", a.ID(), a.Key, "INVITE")
	if a.Class >= 0 && a.Class < len(l.dialer.Classes) {
		m.Set("X-Cos", l.dialer.Classes[a.Class])
	}
	m.Set("X-Timer-Ms", strconv.FormatInt(max(1, time.Until(a.Deadline).Milliseconds()), 10))
	m.Body = a.Body
	l.conn.Send(transport.Packet{Data: m.Append(nil), Still: still, Done: func(err error) {
		if err == transport.ErrDropped {
			l.mu.Lock()
			delete(l.out, a.ID())
			l.mu.Unlock()
			l.events.Failed(a, routing.Outcome{Code: control.NotSent})
		}
	}})
}

func (l *platformLine) Cancel(id string) {
	l.mu.Lock()
	s, ok := l.out[id]
	if ok {
		s.cancelled = true
		l.out[id] = s
	}
	mute := ok && l.heard.Before(s.at) && time.Since(s.at) >= quietLeast
	l.mu.Unlock()
	if mute { // nothing at all has come since it was sent
		l.conn.Close()
		return
	}
	if ok {
		// A set-up that was dropped unsent, ahead of this in the queue, has nothing to cancel.
		l.conn.Send(transport.Packet{Data: request("CANCEL", id, s.Key, "CANCEL").Append(nil), Still: func() bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.out[id].cancelled
		}})
		// Its final response may never come; an answer that crossed the CANCEL comes soon.
		time.AfterFunc(10*time.Second, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			if s, ok := l.out[id]; ok && s.cancelled {
				delete(l.out, id)
			}
		})
	}
}

func (l *platformLine) Release(id string, cause int) {
	m := request("BYE", id, "", "BYE")
	m.Set("CSeq", "2 BYE").Set("Reason", fmt.Sprintf("Q.850;cause=%d", cause))
	l.write(m)
}

func (l *platformLine) Close() { l.conn.Finish() }

func (l *platformLine) write(m *Message) { l.conn.Send(transport.Packet{Data: m.Append(nil)}) }

func (l *platformLine) read() {
	r := NewConnReader(l.conn, answerWithin)
	for {
		m, err := l.next(r)
		if err != nil {
			if err == ErrMalformed || err == ErrTooLong || err == ErrStopped {
				l.dialer.Log.WithField("address", l.conn.RemoteAddr()).WithError(err).
					Warn("bad message from server: connection closed")
			} else if err != io.EOF {
				l.dialer.Log.WithField("address", l.conn.RemoteAddr()).WithError(err).Debug("connection broke")
			}
			l.conn.Close()
			l.events.Down(err)
			return
		}
		if m.IsRequest() {
			l.request(m)
		} else {
			l.response(m)
		}
	}
}

// next reads a message. A server tells its state at even gaps on each line, whatever else it does: when some are missing
// the line is mute, though it is open.
func (l *platformLine) next(r *Reader) (*Message, error) {
	quiet := l.quiet()
	if quiet > 0 {
		l.conn.SetReadDeadline(time.Now().Add(quiet))
	}
	m, err := r.Next()
	if errors.Is(err, os.ErrDeadlineExceeded) { // it may have lain ready while this process got no processor time
		l.conn.SetReadDeadline(time.Now().Add(wholeGrace))
		m, err = r.Next()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errMute
	}
	if err == nil {
		l.mu.Lock()
		l.heard = time.Now()
		if m.Method == "NOTIFY" {
			if !l.told.IsZero() {
				l.gaps = append(l.gaps, l.heard.Sub(l.told))
				l.gaps = l.gaps[max(0, len(l.gaps)-gapsKept):]
			}
			l.told = l.heard
		}
		l.mu.Unlock()
	}
	return m, err
}

// quiet is for how long a line may bring nothing, 0 while that is not known. The first gap is none: a state comes at
// once on a new line, and the next one in its turn.
func (l *platformLine) quiet() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.gaps) < 2 {
		return 0
	}
	return max(quietLeast, time.Duration(quietGaps*float64(slices.Max(l.gaps))))
}

func (l *platformLine) request(m *Message) {
	id := m.Get("Call-ID")
	switch m.Method {
	case "BYE":
		l.write(Respond(m, 200, "OK"))
		l.events.Released(id, cause(m), l.report(m))
	case "NOTIFY":
		if row := l.report(m); row != nil {
			l.events.Report(row)
		}
	case "OPTIONS":
		l.write(Respond(m, 200, "OK"))
	case "ACK", "CANCEL":
	default:
		l.write(Respond(m, 405, "Method Not Allowed"))
	}
}

func (l *platformLine) response(m *Message) {
	id := m.Get("Call-ID")
	if _, method, _ := m.CSeq(); method != "INVITE" || m.Status < 200 {
		return
	}
	l.mu.Lock()
	s, ok := l.out[id]
	delete(l.out, id)
	l.mu.Unlock()
	if m.Status < 300 || ok {
		l.write(request("ACK", id, s.Key, "ACK"))
	}
	if !ok {
		return // a second final response, or one to a set-up of another connection
	}
	if m.Status < 300 {
		l.events.Answered(s.Attempt, bytes.Clone(m.Body))
		return
	}
	o := routing.Outcome{Code: platformCode(m.Status), Reason: reasons[diagnosis(m)], Report: l.report(m)}
	l.events.Failed(s.Attempt, o)
}

// platformCode maps a refusal: 503 never ran, 480 never left, 504 broke on its way.
func platformCode(status int) control.Code {
	switch status {
	case 503:
		return control.Full
	case 480:
		return control.NotSent
	case 504:
		return control.Cut
	case 487: // given up at the server
		return control.Cancelled
	}
	return control.Failed
}

var reasons = map[string]int{"atb": control.NoAgent, "acc": control.ProcessorFull, "sub": control.LinesBusy}

func diagnosis(m *Message) string {
	word, _, _ := strings.Cut(m.Get("X-Diagnosis"), ";")
	return strings.TrimSpace(word)
}

// cause reads the cause of a BYE; without one the call came to its normal end.
func cause(m *Message) int {
	for part := range strings.SplitSeq(m.Get("Reason"), ";") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "cause="); ok {
			if n, err := strconv.Atoi(v); err == nil {
				return n
			}
		}
	}
	return routing.CauseNormal
}

// report reads X-Occupancy (x0:12;x1:40;queue:3) into the order of the settings; what is absent is -1.
func (l *platformLine) report(m *Message) []float64 {
	return parseReport(m.Get("X-Occupancy"), l.dialer.Reports)
}

func parseReport(text string, names []string) []float64 {
	if text == "" {
		return nil
	}
	row := make([]float64, len(names))
	for i := range row {
		row[i] = -1
	}
	for part := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), ":")
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || v != v {
			continue
		}
		for i, n := range names {
			if n == name || control.FieldNamed(n) != control.Ignored && control.FieldNamed(n) == control.FieldNamed(name) {
				row[i] = v
			}
		}
	}
	return row
}
