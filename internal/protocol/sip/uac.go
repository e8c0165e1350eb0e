package sip

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"beammux/control"
	"beammux/internal/routing"
	"beammux/internal/transport"
)

// line is the way to one SIP server. It is the core's Line; all of its work is done in the agent's actor.
type line struct {
	agent  *Agent
	user   uri
	key    string
	flow   flow
	events routing.LineEvents
	out    map[string]*uac
	heard  time.Time // when the last message came on its connection
}

// uac is one set-up at a server.
type uac struct {
	line       *line
	attempt    routing.Attempt
	at         time.Time
	tx         *clientTx
	dialog     *dialog
	cancelled  bool
	sentCancel bool
}

// Lines implements routing.Dialer: transactions tell set-ups apart, so one line holds them all.
func (a *Agent) Lines(string) int { return 1 }

// Dial implements routing.Dialer for addresses of the form sip:host:port;transport=udp.
func (a *Agent) Dial(ctx context.Context, addr string, events routing.LineEvents) (routing.Line, error) {
	u, err := parseURI(addr)
	if err != nil {
		return nil, errors.New("not a SIP address: " + addr)
	}
	proto, hop := u.hop()
	l := &line{agent: a, user: u, key: proto + "|" + hop, events: events, out: map[string]*uac{}}
	var conn *transport.Conn
	if proto == "TCP" {
		if conn, err = a.Budget.Dial(ctx, hop, a.DialTimeout); err != nil {
			return nil, err
		}
	}
	ready := make(chan error, 1)
	a.Post(func() {
		defer func() { a.lines[l.key] = l }()
		if conn != nil {
			l.flow = &tcpFlow{agent: a, conn: conn}
			ready <- nil
			return
		}
		a.reach(proto, hop, func(f flow, err error) {
			l.flow = f
			ready <- err
		})
	})
	select {
	case err = <-ready:
	case <-ctx.Done(): // the server left the list, or the agent is closed
		err = ctx.Err()
	}
	if err != nil {
		if conn != nil {
			conn.Close()
		}
		return nil, err
	}
	if conn != nil {
		go a.readTCP(conn, l)
	}
	return l, nil
}

// down ends the set-ups of a connection that is gone: nothing else would ever end their transactions.
func (l *line) down(err error) {
	for _, u := range l.out {
		u.tx.end()
	}
	clear(l.out)
	l.events.Down(err)
}

// Setup implements routing.Line.
func (l *line) Setup(at routing.Attempt, still func() bool) {
	l.agent.Post(func() { l.setup(at, still) })
}

func (l *line) setup(at routing.Attempt, still func() bool) {
	a := l.agent
	proto := l.flow.proto()
	left := time.Until(at.Deadline)
	_, hop := l.user.hop()
	target := "sip:" + escapeUser(at.Key) + "@" + hop + ";transport=" + strings.ToLower(proto)
	m := Request("INVITE", target).Set("Via", a.newVia(proto)).Set("Max-Forwards", "70").
		Set("From", "<sip:beammux@"+a.sentBy(proto)+">;tag="+token(6)).Set("To", "<"+target+">").
		Set("Call-ID", at.ID()+"-"+strconv.Itoa(at.Number())).Set("CSeq", "1 INVITE").
		Set("Contact", a.contact(proto)).Set("Allow", allow).
		Set("Expires", strconv.FormatInt(max(1, int64((left+time.Second-1)/time.Second)), 10)).
		Set("X-Timer-Ms", strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if at.Class >= 0 && at.Class < len(a.Classes) {
		m.Set("X-Cos", a.Classes[at.Class])
	}
	if len(at.Body) > 0 {
		m.Set("Content-Type", "application/sdp")
		m.Body = at.Body
	}
	u := &uac{line: l, attempt: at, at: time.Now()}
	l.out[at.ID()] = u
	u.tx = a.layer.request(m, l.flow, still, u.response, u.ended)
}

// ended: the transaction ended without a final response.
func (u *uac) ended(err error) {
	u.forget()
	code := control.Cut
	switch {
	case errors.Is(err, transport.ErrDropped):
		code = control.NotSent
	case errors.Is(err, errTimeout):
		code = control.TimedOut
	}
	u.line.events.Failed(u.attempt, routing.Outcome{Code: code})
}

func (u *uac) forget() {
	if u.line.out[u.attempt.ID()] == u {
		delete(u.line.out, u.attempt.ID())
	}
}

func (u *uac) response(m *Message) {
	a := u.line.agent
	switch {
	case m.Status < 200:
		if u.cancelled {
			u.cancel()
		}
	case m.Status < 300:
		u.answered(m)
	default:
		u.forget()
		o := routing.Outcome{Code: finalCode(m.Status), Reason: reasons[diagnosis(m)],
			Report: parseReport(m.Get("X-Occupancy"), a.Reports)}
		if m.Status == 486 || m.Status == 600 {
			o.Reason = control.LinesBusy
		}
		if o.Code == control.Full {
			if n, err := strconv.ParseUint(strings.TrimSpace(strings.SplitN(m.Get("Retry-After"), ";", 2)[0]), 10, 16); err == nil {
				o.ToldWait = control.Micros(n) * 1e6
			}
		}
		u.line.events.Failed(u.attempt, o)
	}
}

// answered takes a 2xx: the first opens the dialog, a repeated one is confirmed again, and one of another fork is
// confirmed and released, since a call stands once.
func (u *uac) answered(m *Message) {
	a := u.line.agent
	d := fromResponse(m, u.attempt.ID(), u.line.flow.proto())
	d.flow, d.line = u.line.flow, u.line
	if u.dialog != nil {
		if d.key() == u.dialog.key() {
			a.ack(u.dialog)
			return
		}
		a.ack(d)
		a.inDialog(d, "BYE", routing.CauseNormal, nil)
		return
	}
	u.dialog = d
	u.forget()
	if u.cancelled { // given up: its dialog is ended here, since the core knows the call by its id alone
		a.ack(d)
		a.inDialog(d, "BYE", routing.CauseNormal, nil)
		return
	}
	a.addDialog(d)
	a.ack(d)
	if row := parseReport(m.Get("X-Occupancy"), a.Reports); row != nil {
		u.line.events.Report(row)
	}
	u.line.events.Answered(u.attempt, m.Body)
}

// finalCode maps an error response of RFC 3261 to the end of an attempt.
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

// Cancel implements routing.Line. A CANCEL may not go out before a provisional response came (9.1).
func (l *line) Cancel(id string) {
	l.agent.Post(func() {
		u := l.out[id]
		if u == nil || u.cancelled {
			return
		}
		u.cancelled = true
		if t, ok := l.flow.(*tcpFlow); ok && l.heard.Before(u.at) && time.Since(u.at) >= quietLeast {
			t.conn.Close() // not even a 100 since it was sent: the line is mute
			return
		}
		if u.tx.state == proceeding {
			u.cancel()
		}
		u.tx.hushed = true
	})
}

func (u *uac) cancel() {
	a := u.line.agent
	if u.sentCancel {
		return
	}
	u.sentCancel = true
	a.layer.request(u.tx.cancel(), u.line.flow, nil, func(*Message) {}, func(error) {})
	u.tx.in(64*a.Timers.T1, func() { // the INVITE may never be answered
		if u.tx.state < completed {
			u.tx.fail(errTimeout)
		}
	})
}

// Release implements routing.Line.
func (l *line) Release(id string, cause int) {
	l.agent.Post(func() {
		if d := l.agent.byID[id+"/server"]; d != nil {
			l.agent.hangup(d, cause)
		}
	})
}

// Close implements routing.Line. Dialogs at a server that is gone have nobody to release them with.
func (l *line) Close() {
	l.agent.Post(func() {
		a := l.agent
		if a.lines[l.key] == l {
			delete(a.lines, l.key)
		}
		for _, d := range a.byID {
			if d.line == l {
				a.dropDialog(d)
			}
		}
		time.AfterFunc(a.Timers.T4, func() { a.Post(l.shut) })
	})
}

func (l *line) shut() {
	if t, ok := l.flow.(*tcpFlow); ok {
		t.conn.Finish()
	}
}
