package sip

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"beammux/internal/routing"
	"beammux/internal/transport"
)

// uasCall is the caller's side of a call. It is the core's Caller; what the core tells is posted to the agent.
type uasCall struct {
	agent           *Agent
	tx              *serverTx
	flow            flow
	conn            *transport.Conn // that its set-up came on; nil over UDP
	connHeld        bool            // conn is kept, since it is owed an answer
	cancelled       atomic.Bool     // its caller has cancelled
	req             *Message
	id              string
	tag             string
	dialog          *dialog
	okData          []byte // the 2xx, repeated until its ACK comes (13.3.1.4)
	retransmitTimer *time.Timer
	acked           bool // the ACK came
	pendingByeCause int  // cause of a BYE that must wait for the ACK (15)
	released        bool
}

// handleInvite takes a new INVITE.
func (a *Agent) handleInvite(t *serverTx, m *Message, f flow) {
	if tag(m.Get("To")) != "" {
		if a.findDialog(m) == nil {
			t.respond(Respond(m, 481, "Call/Transaction Does Not Exist"))
			return
		}
		// The description is the server's and is not negotiated again.
		t.respond(Respond(m, 488, "Not Acceptable Here"))
		return
	}
	call := &uasCall{agent: a, tx: t, flow: f, req: m, id: randomToken(8), tag: randomToken(6)}
	if tf, ok := f.(*tcpFlow); ok {
		call.conn = tf.conn
	}
	refuse := func(status int, reason string, header ...string) {
		r := call.response(status, reason)
		for i := 0; i+1 < len(header); i += 2 {
			r.Set(header[i], header[i+1])
		}
		t.respond(r)
	}
	for otherTx, pending := range a.pendingCalls { // 8.2.2.2: the same request came by two ways
		if otherTx != t && sameRequest(pending.req, m) {
			refuse(482, "Loop Detected")
			return
		}
	}
	target, err := parseURI(m.URI)
	setup := routing.Setup{ID: call.id, Tenant: -1, Key: target.user, FirstChoice: -1, Body: m.Body, Excess: a.refusing}
	invalid := a.readHeaders(m, &setup)
	refuseUnreadable := func(status int, reason string, header ...string) { // in error_total, as on the JSON front
		a.core.Unreadable(setup.Class)
		refuse(status, reason, header...)
	}
	switch {
	case err != nil:
		refuseUnreadable(416, "Unsupported URI Scheme")
		return
	case len(m.Body) > routing.MaxBody:
		refuseUnreadable(413, "Request Entity Too Large")
		return
	case invalid, !routing.ValidKey(setup.Key):
		refuseUnreadable(400, "Bad Request")
		return
	case len(m.listValues("Require")) > 0:
		refuseUnreadable(420, "Bad Extension", "Unsupported", m.Get("Require"))
		return
	}
	t.respond(Respond(m, 100, "Trying"))
	a.pendingCalls[t] = call
	call.holdConn()
	a.core.Open(setup, call)
}

// holdConn keeps the caller's connection from being closed to make room while it is owed an answer.
func (call *uasCall) holdConn() { call.connHeld = call.conn != nil && call.conn.Hold() }

// removePending takes a set-up that has its final answer off the list.
func (call *uasCall) removePending() {
	delete(call.agent.pendingCalls, call.tx)
	if call.connHeld {
		call.conn.Unhold()
		call.connHeld = false
	}
}

func sameRequest(a, b *Message) bool {
	return a.Get("Call-ID") == b.Get("Call-ID") && a.Get("CSeq") == b.Get("CSeq") && tag(a.Get("From")) == tag(b.Get("From"))
}

// readHeaders takes class, deadline and first choice from the headers. The deadline is the class's, or Expires if shorter. A
// class that the settings don't name is a fault of the caller: servers would not know it either.
func (a *Agent) readHeaders(m *Message, setup *routing.Setup) (invalid bool) {
	name := m.Get("X-Cos")
	if name == "" {
		name = a.DefaultClass
	}
	if setup.Class = slices.Index(a.Classes, name); setup.Class < 0 {
		return true
	}
	remaining := time.Duration(a.Deadlines[setup.Class]) * time.Microsecond
	if v := m.Get("Expires"); v != "" {
		n, err := strconv.ParseUint(v, 10, 32)
		if err != nil {
			return true
		}
		remaining = min(remaining, time.Duration(n)*time.Second)
	}
	setup.Left = remaining
	if v := m.Get("X-Dest"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil {
			return true
		}
		setup.FirstChoice = n
	}
	return false
}

func (call *uasCall) response(status int, reason string) *Message {
	return Respond(call.req, status, reason).Set("To", call.req.Get("To")+";tag="+call.tag)
}

// handleCancel takes a CANCEL (9.2). Whether it came before the final answer is settled by the core.
func (a *Agent) handleCancel(t *serverTx, m *Message) {
	key, _ := serverKey(m, "INVITE")
	invite := a.transactionLayer.servers[key]
	if invite == nil {
		t.respond(Respond(m, 481, "Call/Transaction Does Not Exist").Set("To", ensureTag(m.Get("To"))))
		return
	}
	call := a.pendingCalls[invite]
	r := Respond(m, 200, "OK")
	if call != nil {
		r = r.Set("To", call.req.Get("To")+";tag="+call.tag)
	}
	t.respond(r)
	if call == nil {
		return
	}
	call.cancelled.Store(true)
	a.core.Withdraw(call.id, call, func(inTime bool) {
		if inTime {
			call.respondError(487, "Request Terminated", nil)
		}
	})
}

// respondError answers an INVITE with an error.
func (call *uasCall) respondError(status int, reason string, setHeaders func(*Message)) {
	call.agent.Post(func() {
		call.removePending()
		r := call.response(status, reason)
		if setHeaders != nil {
			setHeaders(r)
		}
		call.tx.respond(r)
	})
}

// Gone implements routing.Caller.
func (call *uasCall) Gone() bool {
	return call.cancelled.Load() || call.conn != nil && call.conn.Left()
}

// Answer implements routing.Caller: the call stands.
func (call *uasCall) Answer(body []byte) bool {
	call.agent.Post(func() { call.answer(body) })
	return true // a caller that is gone shows by the ACK that never comes
}

func (call *uasCall) answer(body []byte) {
	a := call.agent
	call.removePending()
	call.dialog = dialogFromRequest(call.req, call.id, call.tag, call.flow.proto())
	call.dialog.flow, call.dialog.callerLeg = call.flow, call
	r := call.response(200, "OK").Set("Contact", a.contact(call.flow.proto())).Set("Allow", allow)
	if len(body) > 0 {
		contentType := call.req.Get("Content-Type")
		if contentType == "" {
			contentType = "application/sdp"
		}
		r.Set("Content-Type", contentType)
		r.Body = body
	}
	if !call.tx.respond(r) { // the set-up has its final answer: nobody would ever release the call
		a.core.Hangup(call.id, routing.CauseNormal, call, nil)
		return
	}
	a.addDialog(call.dialog)
	call.okData = r.Append(nil)
	call.retransmitAnswer(a.Timers.T1)
	a.After(64*a.Timers.T1, func() {
		if !call.acked && !call.released {
			a.Log.WithField("call", call.id).Warn("SIP: no ACK to the answer, call released")
			call.acked = true
			a.core.Hangup(call.id, routing.CauseNormal, call, nil)
			call.sendBye(routing.CauseNormal)
		}
	})
}

// retransmitAnswer repeats the 2xx, also over TCP: a proxy on the way may have lost it.
func (call *uasCall) retransmitAnswer(interval time.Duration) {
	call.retransmitTimer = call.agent.After(interval, func() {
		if !call.acked && !call.released {
			call.flow.send(call.okData, nil, nil)
			call.retransmitAnswer(min(2*interval, call.agent.Timers.T2))
		}
	})
}

// handleAck takes the ACK to the 2xx.
func (call *uasCall) handleAck(m *Message) {
	if call.acked {
		return
	}
	call.acked = true
	call.retransmitTimer.Stop()
	if call.pendingByeCause > 0 {
		call.sendBye(call.pendingByeCause)
	}
}

// Refuse implements routing.Caller. Retry-After is in whole seconds: rounded up, so that no caller comes too early.
func (call *uasCall) Refuse(wait time.Duration) {
	call.respondError(503, "Service Unavailable", func(r *Message) {
		if wait > 0 {
			r.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		}
		r.Set("Reason", reasonHeader(routing.CauseCongest))
	})
}

// Fail implements routing.Caller.
func (call *uasCall) Fail() {
	call.respondError(500, "Server Internal Error", func(r *Message) { r.Set("Reason", reasonHeader(routing.CauseFailed)) })
}

// Release implements routing.Caller: the call is over at the server's side.
func (call *uasCall) Release(cause int) {
	call.agent.Post(func() { call.sendBye(cause) })
}

func (call *uasCall) sendBye(cause int) {
	if call.released || call.dialog == nil {
		return
	}
	if !call.acked {
		call.pendingByeCause = cause // not before the ACK, or its time is over
		return
	}
	call.released = true
	call.agent.hangup(call.dialog, cause)
}

func reasonHeader(cause int) string { return fmt.Sprintf("Q.850;cause=%d", cause) }
