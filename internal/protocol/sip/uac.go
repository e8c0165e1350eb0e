package sip

import (
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"time"

	"beammux/control"
	"beammux/internal/routing"
	"beammux/internal/transport"
)

// serverConn is the connection to one SIP server. It implements routing.ServerConn. All of its work runs in the agent's actor.
type serverConn struct {
	agent       *Agent
	serverURI   uri
	key         string // its endpoint, as in Agent.serverConns
	flow        flow
	events      routing.ServerEvents
	inFlight    map[string]*uac // set-ups without a final response, by call id
	lastMessage time.Time       // when the last message arrived on its TCP connection
}

// uac is the user agent client of one set-up at a server.
type uac struct {
	conn       *serverConn
	attempt    routing.Attempt
	sentAt     time.Time
	tx         *clientTx
	dialog     *dialog
	cancelled  bool
	cancelSent bool
}

// MaxConns implements routing.Dialer. One connection is enough, because transactions tell the set-ups on it apart.
func (a *Agent) MaxConns(string) int { return 1 }

// Announces implements routing.Dialer. A SIP server sends nothing before it is asked.
func (a *Agent) Announces(string) bool { return false }

// Endpoint implements routing.Dialer. An invalid address is its own endpoint: it can't be dialed.
func (a *Agent) Endpoint(addr string) string {
	u, err := parseURI(addr)
	if err != nil {
		return addr
	}
	return endpoint(u.nextHop())
}

// Dial implements routing.Dialer. addr is a SIP URI such as sip:host:port;transport=udp.
func (a *Agent) Dial(ctx context.Context, addr string, events routing.ServerEvents) (routing.ServerConn, error) {
	u, err := parseURI(addr)
	if err != nil {
		return nil, errors.New("not a SIP address: " + addr)
	}
	proto, nextHop := u.nextHop()
	server := &serverConn{agent: a, serverURI: u, key: endpoint(proto, nextHop), events: events, inFlight: map[string]*uac{}}
	var conn *transport.Conn
	if proto == "TCP" {
		if conn, err = a.Budget.Dial(ctx, nextHop, a.DialTimeout); err != nil {
			return nil, err
		}
	}
	ready := make(chan error, 1)
	a.Post(func() {
		if conn != nil {
			server.flow = &tcpFlow{agent: a, conn: conn}
			a.serverConns[server.key] = server
			ready <- nil
			return
		}
		a.flowTo(proto, nextHop, func(f flow, err error) {
			if err == nil {
				server.flow = f
				a.serverConns[server.key] = server
				server.noteSource(true)
			}
			ready <- err
		})
	})
	select {
	case err = <-ready:
	case <-ctx.Done(): // the server was removed from the list, or the agent is closed
		err = ctx.Err()
	}
	if err != nil {
		if conn != nil {
			conn.Close()
		}
		return nil, err
	}
	if conn != nil {
		go a.readTCP(conn, server, nil)
	}
	return server, nil
}

// noteSource records whether datagrams from the server's address are those of a server.
func (c *serverConn) noteSource(isServer bool) {
	f, ok := c.flow.(udpFlow)
	if !ok {
		return
	}
	key := sourceKey(f.addr.(*net.UDPAddr))
	if isServer {
		c.agent.sources.servers.Store(key, true)
	} else {
		c.agent.sources.servers.Delete(key)
	}
}

// connectionLost ends the set-ups of a closed connection, because nothing else would end their transactions.
func (c *serverConn) connectionLost(err error) {
	for _, u := range c.inFlight {
		u.tx.end()
	}
	clear(c.inFlight)
	c.events.Down(err)
}

// Setup implements routing.ServerConn.
func (c *serverConn) Setup(setupAttempt routing.Attempt, stillWanted func() bool) {
	c.agent.Post(func() { c.setup(setupAttempt, stillWanted) })
}

// setup sends the INVITE of an attempt.
func (c *serverConn) setup(setupAttempt routing.Attempt, stillWanted func() bool) {
	a := c.agent
	proto := c.flow.proto()
	remaining := time.Until(setupAttempt.Deadline)
	_, nextHop := c.serverURI.nextHop()
	target := "sip:" + escapeUser(setupAttempt.Key) + "@" + nextHop + ";transport=" + strings.ToLower(proto)
	m := Request("INVITE", target).Set("Via", a.newVia(proto)).Set("Max-Forwards", "70").
		Set("From", "<sip:beammux@"+a.sentBy(proto)+">;tag="+randomToken(6)).Set("To", "<"+target+">").
		Set("Call-ID", setupAttempt.ID()+"-"+strconv.Itoa(setupAttempt.Number())).Set("CSeq", "1 INVITE").
		Set("Contact", a.contact(proto)).Set("Allow", allow).
		Set("Expires", strconv.FormatInt(max(1, int64((remaining+time.Second-1)/time.Second)), 10)).
		Set("X-Timer-Ms", strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	if setupAttempt.Class >= 0 && setupAttempt.Class < len(a.Classes) {
		m.Set("X-Cos", a.Classes[setupAttempt.Class])
	}
	if len(setupAttempt.Body) > 0 {
		m.Set("Content-Type", "application/sdp")
		m.Body = setupAttempt.Body
	}
	u := &uac{conn: c, attempt: setupAttempt, sentAt: time.Now()}
	u.attempt.Body = nil // the message has it
	c.inFlight[setupAttempt.ID()] = u
	u.tx = a.transactionLayer.request(m, c.flow, stillWanted, u.handleResponse, u.transactionFailed)
}

// transactionFailed reports an attempt whose transaction ended without a final response.
func (u *uac) transactionFailed(err error) {
	u.forget()
	code := control.Cut
	switch {
	case errors.Is(err, transport.ErrDropped):
		code = control.NotSent
	case errors.Is(err, errTimeout):
		code = control.TimedOut
	}
	u.conn.events.Failed(u.attempt, routing.Outcome{Code: code})
}

// forget removes a set-up from its connection's set-ups in flight.
func (u *uac) forget() {
	if u.conn.inFlight[u.attempt.ID()] == u {
		delete(u.conn.inFlight, u.attempt.ID())
	}
}

// handleResponse handles a response to the INVITE.
func (u *uac) handleResponse(m *Message) {
	a := u.conn.agent
	switch {
	case m.Status < 200:
		if u.cancelled {
			u.cancel()
		}
	case m.Status < 300:
		u.handleAnswer(m)
	default:
		u.forget()
		outcome := routing.Outcome{Code: finalCode(m.Status), Reason: diagnosisReasons[diagnosis(m)],
			Report: parseReport(m.Get("X-Occupancy"), a.Reports)}
		if m.Status == 486 || m.Status == 600 {
			outcome.Reason = control.LinesBusy
		}
		if outcome.Code == control.Full {
			if n, err := strconv.ParseUint(strings.TrimSpace(strings.SplitN(m.Get("Retry-After"), ";", 2)[0]), 10, 16); err == nil {
				outcome.RetryAfter = control.Micros(n) * 1e6
			}
		}
		u.conn.events.Failed(u.attempt, outcome)
	}
}

// handleAnswer handles a 2xx. The first one opens the dialog, and a retransmission of it is confirmed again. A 2xx of another
// fork is confirmed and released, because a call is established only once.
func (u *uac) handleAnswer(m *Message) {
	a := u.conn.agent
	d := dialogFromResponse(m, u.attempt.ID(), u.conn.flow.proto())
	d.flow, d.conn, d.attempt = u.conn.flow, u.conn, u.attempt.AttemptRef
	if u.dialog != nil {
		if d.key() == u.dialog.key() {
			a.sendAck(u.dialog)
			return
		}
		a.sendAck(d)
		a.sendInDialog(d, "BYE", routing.CauseNormal, nil)
		return
	}
	u.dialog = d
	u.forget()
	if u.cancelled { // the set-up was cancelled: the dialog is ended here, because the core identifies calls only by id
		a.sendAck(d)
		a.sendInDialog(d, "BYE", routing.CauseNormal, nil)
		return
	}
	a.addDialog(d)
	a.sendAck(d)
	if values := parseReport(m.Get("X-Occupancy"), a.Reports); values != nil {
		u.conn.events.Report(values)
	}
	u.conn.events.Answered(u.attempt, m.Body)
}

// finalCode maps an error status of RFC 3261 to the result of the attempt.
func finalCode(status int) control.Code {
	switch status {
	case 503:
		return control.Full
	case 408, 504:
		return control.TimedOut
	case 487:
		return control.Cancelled
	}
	return control.Failed
}

// Cancel implements routing.ServerConn. A CANCEL must not be sent before a provisional response has arrived (RFC 3261, 9.1). A
// TCP connection on which nothing has arrived since the set-up was sent is closed, if that was at least minSilence ago.
func (c *serverConn) Cancel(id string) {
	c.agent.Post(func() {
		u := c.inFlight[id]
		if u == nil || u.cancelled {
			return
		}
		u.cancelled = true
		if t, ok := c.flow.(*tcpFlow); ok && c.lastMessage.Before(u.sentAt) && time.Since(u.sentAt) >= minSilence {
			t.conn.Close() // not even a 100 has arrived since the set-up was sent: the connection is silent
			return
		}
		if u.tx.state == proceeding {
			u.cancel()
		}
		u.tx.stopRetransmits()
	})
}

// cancel sends a CANCEL, once, and limits the time until the INVITE is answered.
func (u *uac) cancel() {
	a := u.conn.agent
	if u.cancelSent {
		return
	}
	u.cancelSent = true
	a.transactionLayer.request(u.tx.cancel(), u.conn.flow, nil, func(*Message) {}, func(error) {})
	u.tx.schedule(64*a.Timers.T1, func() { // the INVITE may never get a final response (RFC 3261, 9.1)
		if u.tx.state < completed {
			u.tx.fail(errTimeout)
		}
	})
}

// Release implements routing.ServerConn. A release that waited for the connection may come after a later attempt of the call has
// opened a dialog with another server, so it ends the dialog of its own attempt alone.
func (c *serverConn) Release(r routing.AttemptRef, cause int) {
	c.agent.Post(func() {
		if d := c.agent.dialogsByAttempt[r]; d != nil {
			c.agent.hangup(d, cause)
		}
	})
}

// Close implements routing.ServerConn. It drops the dialogs of the connection without a BYE, because their server is gone.
func (c *serverConn) Close() {
	c.agent.Post(func() {
		a := c.agent
		if a.serverConns[c.key] == c {
			delete(a.serverConns, c.key)
			c.noteSource(false)
		}
		for _, d := range a.dialogs {
			if d.conn == c {
				a.dropDialog(d)
			}
		}
		time.AfterFunc(a.Timers.T4, func() { a.Post(c.finishConn) })
	})
}

// finishConn closes the TCP connection once its write queue is empty.
func (c *serverConn) finishConn() {
	if t, ok := c.flow.(*tcpFlow); ok {
		t.conn.Finish()
	}
}
