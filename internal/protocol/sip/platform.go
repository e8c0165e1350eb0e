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

// PlatformDialer opens connections to the platform's menu servers: SIP over one TCP connection, matched by Call-ID alone.
type PlatformDialer struct {
	Budget  *transport.Budget
	Timeout time.Duration
	Classes []string // names, in the order of the settings
	Reports []string // names of a report's values, in the order of the settings
	Log     logrus.FieldLogger
}

// maxPlatformConns: a server sends its state on four connections at most.
const maxPlatformConns = 4

// MaxConns implements routing.Dialer.
func (d *PlatformDialer) MaxConns(string) int { return maxPlatformConns }

// Dial implements routing.Dialer.
func (d *PlatformDialer) Dial(ctx context.Context, addr string, events routing.ServerEvents) (routing.ServerConn, error) {
	conn, err := d.Budget.Dial(ctx, addr, d.Timeout)
	if err != nil {
		return nil, err
	}
	return d.newConn(conn, events), nil
}

func (d *PlatformDialer) newConn(conn *transport.Conn, events routing.ServerEvents) *platformConn {
	c := &platformConn{dialer: d, conn: conn, events: events, inFlight: map[string]platformSetup{}}
	go c.read()
	return c
}

// platformConn is one connection to a menu server.
type platformConn struct {
	dialer      *PlatformDialer
	conn        *transport.Conn
	events      routing.ServerEvents
	mu          sync.Mutex
	inFlight    map[string]platformSetup // set-ups that were sent and have no final response
	lastMessage time.Time                // when the last message came
	lastReport  time.Time                // when the last state came
	reportGaps  []time.Duration          // between the last states
}

type platformSetup struct {
	routing.Attempt
	at        time.Time
	cancelled bool
}

// Thresholds by which an open connection counts as silent: nothing more arrives on it. Its set-ups are lost, and so are the
// releases of established calls.
const (
	wholeMessageTimeout = 250 * time.Millisecond // an answer that has begun is whole by then
	minSilence          = time.Second            // a shorter silence is normal
	silenceGaps         = 2.5                    // missing states
	maxGaps             = 4
)

var errSilent = errors.New("line is mute")

func request(method, id, key string, cseq string) *Message {
	if key == "" {
		key = "unknown"
	}
	return Request(method, "sip:"+key+"@net").Set("Via", "SIP/2.0/TCP beammux").Set("Call-ID", id).
		Set("CSeq", "1 "+cseq)
}

func (c *platformConn) Setup(a routing.Attempt, still func() bool) {
	c.mu.Lock()
	c.inFlight[a.ID()] = platformSetup{Attempt: a, at: time.Now()}
	c.mu.Unlock()
	m := request("INVITE", a.ID(), a.Key, "INVITE")
	if a.Class >= 0 && a.Class < len(c.dialer.Classes) {
		m.Set("X-Cos", c.dialer.Classes[a.Class])
	}
	m.Set("X-Timer-Ms", strconv.FormatInt(max(1, time.Until(a.Deadline).Milliseconds()), 10))
	m.Body = a.Body
	c.conn.Send(transport.Packet{Data: m.Append(nil), StillWanted: still, Done: func(err error) {
		if err == transport.ErrDropped {
			c.mu.Lock()
			delete(c.inFlight, a.ID())
			c.mu.Unlock()
			c.events.Failed(a, routing.Outcome{Code: control.NotSent})
		}
	}})
}

func (c *platformConn) Cancel(id string) {
	c.mu.Lock()
	s, ok := c.inFlight[id]
	if ok {
		s.cancelled = true
		c.inFlight[id] = s
	}
	mute := ok && c.lastMessage.Before(s.at) && time.Since(s.at) >= minSilence
	c.mu.Unlock()
	if mute { // nothing at all has come since it was sent
		c.conn.Close()
		return
	}
	if ok {
		// A set-up that was dropped unsent, ahead of this in the queue, has nothing to cancel.
		c.conn.Send(transport.Packet{Data: request("CANCEL", id, s.Key, "CANCEL").Append(nil), StillWanted: func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.inFlight[id].cancelled
		}})
		// Its final response may never come; an answer that crossed the CANCEL comes soon.
		time.AfterFunc(10*time.Second, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if s, ok := c.inFlight[id]; ok && s.cancelled {
				delete(c.inFlight, id)
			}
		})
	}
}

func (c *platformConn) Release(id string, cause int) {
	m := request("BYE", id, "", "BYE")
	m.Set("CSeq", "2 BYE").Set("Reason", fmt.Sprintf("Q.850;cause=%d", cause))
	c.write(m)
}

func (c *platformConn) Close() { c.conn.Finish() }

func (c *platformConn) write(m *Message) { c.conn.Send(transport.Packet{Data: m.Append(nil)}) }

func (c *platformConn) read() {
	r := NewConnReader(c.conn, wholeMessageTimeout)
	for {
		m, err := c.next(r)
		if err != nil {
			if err == ErrMalformed || err == ErrTooLong || err == ErrStopped {
				c.dialer.Log.WithField("address", c.conn.RemoteAddr()).WithError(err).
					Warn("bad message from server: connection closed")
			} else if err != io.EOF {
				c.dialer.Log.WithField("address", c.conn.RemoteAddr()).WithError(err).Debug("connection broke")
			}
			c.conn.Close()
			c.events.Down(err)
			return
		}
		if m.IsRequest() {
			c.request(m)
		} else {
			c.response(m)
		}
	}
}

// next reads a message. A server sends its state at even gaps on each connection, whatever else it does: when some are missing
// the connection is silent, though it is open.
func (c *platformConn) next(r *Reader) (*Message, error) {
	quiet := c.maxSilence()
	if quiet > 0 {
		c.conn.SetReadDeadline(time.Now().Add(quiet))
	}
	m, err := r.Next()
	if errors.Is(err, os.ErrDeadlineExceeded) { // it may have lain ready while this process got no processor time
		c.conn.SetReadDeadline(time.Now().Add(wholeGrace))
		m, err = r.Next()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errSilent
	}
	if err == nil {
		c.mu.Lock()
		c.lastMessage = time.Now()
		if m.Method == "NOTIFY" {
			if !c.lastReport.IsZero() {
				c.reportGaps = append(c.reportGaps, c.lastMessage.Sub(c.lastReport))
				c.reportGaps = c.reportGaps[max(0, len(c.reportGaps)-maxGaps):]
			}
			c.lastReport = c.lastMessage
		}
		c.mu.Unlock()
	}
	return m, err
}

// maxSilence is how long a connection may bring nothing, 0 while that is not known. The first gap does not count: a state comes
// at once on a new connection, and the next one in its turn.
func (c *platformConn) maxSilence() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.reportGaps) < 2 {
		return 0
	}
	return max(minSilence, time.Duration(silenceGaps*float64(slices.Max(c.reportGaps))))
}

func (c *platformConn) request(m *Message) {
	id := m.Get("Call-ID")
	switch m.Method {
	case "BYE":
		c.write(Respond(m, 200, "OK"))
		c.events.Released(id, cause(m), c.report(m))
	case "NOTIFY":
		if row := c.report(m); row != nil {
			c.events.Report(row)
		}
	case "OPTIONS":
		c.write(Respond(m, 200, "OK"))
	case "ACK", "CANCEL":
	default:
		c.write(Respond(m, 405, "Method Not Allowed"))
	}
}

func (c *platformConn) response(m *Message) {
	id := m.Get("Call-ID")
	if _, method, _ := m.CSeq(); method != "INVITE" || m.Status < 200 {
		return
	}
	c.mu.Lock()
	s, ok := c.inFlight[id]
	delete(c.inFlight, id)
	c.mu.Unlock()
	if m.Status < 300 || ok {
		c.write(request("ACK", id, s.Key, "ACK"))
	}
	if !ok {
		return // a second final response, or one to a set-up of another connection
	}
	if m.Status < 300 {
		c.events.Answered(s.Attempt, bytes.Clone(m.Body))
		return
	}
	o := routing.Outcome{Code: platformCode(m.Status), Reason: reasons[diagnosis(m)], Report: c.report(m)}
	c.events.Failed(s.Attempt, o)
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
func (c *platformConn) report(m *Message) []float64 {
	return parseReport(m.Get("X-Occupancy"), c.dialer.Reports)
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
			if n == name || control.ParseField(n) != control.Ignored && control.ParseField(n) == control.ParseField(name) {
				row[i] = v
			}
		}
	}
	return row
}
