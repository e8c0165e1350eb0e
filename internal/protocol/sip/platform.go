package sip

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"runtime"
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

// PlatformDialer opens connections to the platform's menu servers. They use SIP over one TCP connection without transactions:
// messages are matched by Call-ID alone.
type PlatformDialer struct {
	Budget  *transport.Budget
	Timeout time.Duration
	Classes []string // class names, in the order of the settings
	Reports []string // names of the values in a load report, in the order of the settings
	Log     logrus.FieldLogger
}

// maxPlatformConns is the maximum number of connections to one server: a server sends its load report on at most four.
const maxPlatformConns = 4

// MaxConns implements routing.Dialer.
func (d *PlatformDialer) MaxConns(string) int { return maxPlatformConns }

// Announces implements routing.Dialer. A menu server sends its load report on each new connection before anything else.
func (d *PlatformDialer) Announces(string) bool { return true }

// Endpoint implements routing.Dialer.
func (d *PlatformDialer) Endpoint(addr string) string { return endpoint("TCP", addr) }

// Dial implements routing.Dialer. addr is a host and port.
func (d *PlatformDialer) Dial(ctx context.Context, addr string, events routing.ServerEvents) (routing.ServerConn, error) {
	conn, err := d.Budget.Dial(ctx, addr, d.Timeout)
	if err != nil {
		return nil, err
	}
	return d.newConn(conn, events), nil
}

func (d *PlatformDialer) newConn(conn *transport.Conn, events routing.ServerEvents) *platformConn {
	c := &platformConn{dialer: d, conn: conn, events: events, inFlight: map[string]platformSetup{}, releases: map[string]sentRelease{}}
	go c.read()
	return c
}

// platformConn is one connection to a menu server.
type platformConn struct {
	dialer      *PlatformDialer
	conn        *transport.Conn
	events      routing.ServerEvents
	mu          sync.Mutex               // guards the fields below
	releases    map[string]sentRelease   // BYEs without a response, by Call-ID; nil once the connection has ended
	inFlight    map[string]platformSetup // set-ups without a final response, by Call-ID
	lastMessage time.Time                // when the last message arrived
	lastReport  time.Time                // when the last NOTIFY arrived
	reportGaps  []time.Duration          // the last intervals between NOTIFYs, at most maxGaps
}

// platformSetup is a set-up that was sent on a platformConn.
type platformSetup struct {
	routing.Attempt
	sentAt    time.Time
	cancelled bool
}

// sentRelease is a BYE that was sent on a platformConn.
type sentRelease struct {
	attempt routing.AttemptRef
	cause   int
	at      time.Time
}

// Thresholds for detecting a silent connection: it is open, but nothing arrives on it any more. Its set-ups are lost, and so
// are the releases of established calls.
const (
	announceTimeout     = 2 * time.Second        // for the message that a server sends on each new connection
	wholeMessageTimeout = 250 * time.Millisecond // for a message to be complete once it has begun
	minSilence          = time.Second            // a shorter silence is normal
	silenceGaps         = 2.5                    // longest silence, as a multiple of the longest recent report interval
	maxGaps             = 4                      // number of recent report intervals that are kept

	maxUnconfirmedReleases = 1024             // releases of one connection that wait for their response
	releaseConfirmTime     = 10 * time.Second // in which a server that confirms releases has done so
)

// platformRequest returns a request to a menu server. cseq is the method in the CSeq header.
func platformRequest(method, id, key string, cseq string) *Message {
	if key == "" {
		key = "unknown"
	}
	return Request(method, "sip:"+key+"@net").Set("Via", "SIP/2.0/TCP beammux").Set("Call-ID", id).
		Set("CSeq", "1 "+cseq)
}

// Setup implements routing.ServerConn.
func (c *platformConn) Setup(a routing.Attempt, stillWanted func() bool) {
	c.mu.Lock()
	c.inFlight[a.ID()] = platformSetup{Attempt: a, sentAt: time.Now()}
	c.mu.Unlock()
	m := platformRequest("INVITE", a.ID(), a.Key, "INVITE")
	if a.Class >= 0 && a.Class < len(c.dialer.Classes) {
		m.Set("X-Cos", c.dialer.Classes[a.Class])
	}
	m.Set("X-Timer-Ms", strconv.FormatInt(max(1, time.Until(a.Deadline).Milliseconds()), 10))
	m.Body = a.Body
	c.conn.Send(transport.Packet{Data: m.Append(nil), StillWanted: stillWanted, Done: func(err error) {
		if err == transport.ErrDropped {
			c.mu.Lock()
			delete(c.inFlight, a.ID())
			c.mu.Unlock()
			c.events.Failed(a, routing.Outcome{Code: control.NotSent})
		}
	}})
}

// Cancel implements routing.ServerConn. It closes a connection on which nothing has arrived since the set-up was sent, if that
// was at least minSilence ago.
func (c *platformConn) Cancel(id string) {
	c.mu.Lock()
	setup, ok := c.inFlight[id]
	if ok {
		setup.cancelled = true
		setup.Body = nil // it is sent no more
		c.inFlight[id] = setup
	}
	silent := ok && c.lastMessage.Before(setup.sentAt) && time.Since(setup.sentAt) >= minSilence
	c.mu.Unlock()
	if silent { // nothing has arrived since the set-up was sent
		c.conn.Close()
		return
	}
	if ok {
		// No CANCEL is sent if the set-up, which is ahead of it in the write queue, was dropped unsent.
		c.conn.Send(transport.Packet{Data: platformRequest("CANCEL", id, setup.Key, "CANCEL").Append(nil), StillWanted: func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.inFlight[id].cancelled
		}})
		// The final response may never arrive; an answer that crossed the CANCEL arrives within this time.
		time.AfterFunc(10*time.Second, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if setup, ok := c.inFlight[id]; ok && setup.cancelled {
				delete(c.inFlight, id)
			}
		})
	}
}

// Release implements routing.ServerConn. A menu server knows a call by its id alone. A release without a response when the connection
// ends is reported as lost.
func (c *platformConn) Release(r routing.AttemptRef, cause int) {
	if !c.trackRelease(r, cause) {
		c.events.ReleaseLost(r, cause)
		return
	}
	m := platformRequest("BYE", r.ID(), "", "BYE")
	m.Set("CSeq", "2 BYE").Set("Reason", fmt.Sprintf("Q.850;cause=%d", cause))
	c.writeMessage(m)
}

// Close implements routing.ServerConn. It closes the connection once its write queue is empty.
func (c *platformConn) Close() { c.conn.Finish() }

func (c *platformConn) writeMessage(m *Message) { c.conn.Send(transport.Packet{Data: m.Append(nil)}) }

// read handles messages until the connection fails, and reports the failure.
func (c *platformConn) read() {
	r := NewConnReader(c.conn, wholeMessageTimeout)
	for {
		m, err := c.readMessage(r)
		if err != nil {
			if err == ErrMalformed || err == ErrTooLong || err == ErrIncomplete {
				c.dialer.Log.WithField("address", c.conn.RemoteAddr()).WithError(err).
					Warn("bad message from server: connection closed")
			} else if err != io.EOF {
				c.dialer.Log.WithField("address", c.conn.RemoteAddr()).WithError(err).Debug("connection to server failed")
			}
			c.conn.Close()
			if writeErr := c.conn.WriteError(); writeErr != nil && errors.Is(err, net.ErrClosed) {
				err = writeErr // the writer has found the end of the connection first
			}
			c.reportLostReleases(nil)
			c.events.Down(err)
			return
		}
		if m.IsRequest() {
			c.handleRequest(m)
		} else {
			c.handleResponse(m)
		}
		c.events.Sync() // the server must not send faster than its messages are handled
		runtime.Gosched()
	}
}

// trackRelease records a BYE, and reports false if the connection has ended.
func (c *platformConn) trackRelease(attempt routing.AttemptRef, cause int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.releases == nil {
		return false
	}
	if len(c.releases) >= maxUnconfirmedReleases { // the server confirms none
		maps.DeleteFunc(c.releases, func(_ string, r sentRelease) bool { return time.Since(r.at) > releaseConfirmTime })
	}
	if len(c.releases) < maxUnconfirmedReleases {
		c.releases[attempt.ID()] = sentRelease{attempt, cause, time.Now()}
	}
	return true
}

// reportLostReleases reports the releases that the server has not confirmed when the connection ends or is silent. Older ones were read
// by a server that confirms none, which the protocol allows. Later releases are recorded in next.
func (c *platformConn) reportLostReleases(next map[string]sentRelease) {
	c.mu.Lock()
	lost := c.releases
	c.releases = next
	c.mu.Unlock()
	for _, r := range lost {
		if time.Since(r.at) <= releaseConfirmTime {
			c.events.ReleaseLost(r.attempt, r.cause)
		}
	}
}

// readMessage reads a message. A server sends load reports at regular intervals on each connection, independently of its other
// messages. If several reports are missing, the connection is silent although it is open, and this is reported once. If not even the
// first message has come, routing.ErrSilent is returned.
func (c *platformConn) readMessage(r *Reader) (*Message, error) {
	silence, deadline := c.maxSilence(), time.Time{}
	if silence > 0 {
		deadline = time.Now().Add(silence)
	}
	c.conn.SetReadDeadline(deadline)
	m, err := r.Next()
	if errors.Is(err, os.ErrDeadlineExceeded) { // the message may have been ready while this process got no CPU time
		c.conn.SetReadDeadline(time.Now().Add(readGrace))
		m, err = r.Next()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.dialer.Log.WithFields(logrus.Fields{"address": c.conn.RemoteAddr(), "silent_ms": silence.Milliseconds(),
			"reports": c.reportCount()}).Info("connection to server is silent")
		if c.hasAnnounced() {
			c.reportSilence()
			c.conn.SetReadDeadline(time.Time{})
			m, err = r.Next()
		} else {
			err = routing.ErrSilent
		}
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

// hasAnnounced reports whether a message has arrived.
func (c *platformConn) hasAnnounced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.lastMessage.IsZero()
}

// reportSilence reports that the connection is silent, and the releases that the server may not have read on it. The silence is no
// interval between reports.
func (c *platformConn) reportSilence() {
	c.mu.Lock()
	c.lastReport = time.Time{}
	c.mu.Unlock()
	c.events.Silent()
	c.reportLostReleases(map[string]sentRelease{})
}

// reportCount returns how many report intervals are known, at most maxGaps.
func (c *platformConn) reportCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.reportGaps)
}

// maxSilence returns the longest time without a message on a working connection, or 0 while it is unknown. One interval is not
// enough to know it: the first report arrives as soon as the connection is open, so the first interval is irregular. A connection
// that never carries a message was accepted by the machine for a process that hangs.
func (c *platformConn) maxSilence() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastMessage.IsZero() {
		return announceTimeout
	}
	if len(c.reportGaps) < 2 {
		return 0
	}
	return max(minSilence, time.Duration(silenceGaps*float64(slices.Max(c.reportGaps))))
}

// handleRequest handles a request from the server.
func (c *platformConn) handleRequest(m *Message) {
	id := m.Get("Call-ID")
	switch m.Method {
	case "BYE":
		c.writeMessage(Respond(m, 200, "OK"))
		c.events.Released(id, cause(m), c.report(m))
	case "NOTIFY":
		if values := c.report(m); values != nil {
			c.events.Report(values)
		}
	case "OPTIONS":
		c.writeMessage(Respond(m, 200, "OK"))
	case "ACK", "CANCEL":
	default:
		c.writeMessage(Respond(m, 405, "Method Not Allowed"))
	}
}

// handleResponse handles the final response to a set-up and confirms it.
func (c *platformConn) handleResponse(m *Message) {
	id := m.Get("Call-ID")
	_, method, _ := m.CSeq()
	if method == "BYE" && m.Status >= 200 {
		c.mu.Lock()
		delete(c.releases, id)
		c.mu.Unlock()
	}
	if method != "INVITE" || m.Status < 200 {
		return
	}
	c.mu.Lock()
	setup, ok := c.inFlight[id]
	delete(c.inFlight, id)
	c.mu.Unlock()
	if m.Status < 300 || ok {
		c.writeMessage(platformRequest("ACK", id, setup.Key, "ACK"))
	}
	if !ok {
		return // a repeated final response, or one for a set-up on another connection
	}
	if m.Status < 300 {
		c.events.Answered(setup.Attempt, bytes.Clone(m.Body))
		return
	}
	outcome := routing.Outcome{Code: platformCode(m.Status), Reason: diagnosisReasons[diagnosis(m)], Report: c.report(m)}
	c.events.Failed(setup.Attempt, outcome)
}

// platformCode maps an error status of a menu server to the result of the attempt: with 503 the server did not start the
// set-up, with 480 it was not sent, and with 504 it was cut on its way.
func platformCode(status int) control.Code {
	switch status {
	case 503:
		return control.Full
	case 480:
		return control.NotSent
	case 504:
		return control.Cut
	case 487: // cancelled at the server
		return control.Cancelled
	}
	return control.Failed
}

// diagnosisReasons maps the first word of X-Diagnosis to the reason of a refusal.
var diagnosisReasons = map[string]int{"atb": control.NoAgent, "acc": control.ProcessorFull, "sub": control.LinesBusy}

// diagnosis returns the first word of X-Diagnosis.
func diagnosis(m *Message) string {
	word, _, _ := strings.Cut(m.Get("X-Diagnosis"), ";")
	return strings.TrimSpace(word)
}

// cause returns the Q.850 cause in the Reason header of a BYE, or routing.CauseNormal if there is none.
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

// report returns the load report of a message; see parseReport.
func (c *platformConn) report(m *Message) []float64 {
	return parseReport(m.Get("X-Occupancy"), c.dialer.Reports)
}

// parseReport parses an X-Occupancy value such as "x0:12;x1:40;queue:3" into one value per name. An absent value is -1. It
// returns nil for an empty text.
func parseReport(text string, names []string) []float64 {
	if text == "" {
		return nil
	}
	values := make([]float64, len(names))
	for i := range values {
		values[i] = -1
	}
	for part := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), ":")
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || v != v {
			continue
		}
		for i, n := range names {
			if n == name || control.ParseField(n) != control.Ignored && control.ParseField(n) == control.ParseField(name) {
				values[i] = v
			}
		}
	}
	return values
}
