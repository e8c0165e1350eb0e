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

// uasCall is the caller's side of a call. It implements routing.Caller; the core's calls are posted to the agent's actor.
type uasCall struct {
	agent           *Agent
	tx              *serverTx
	flow            flow
	conn            *transport.Conn // connection that the set-up arrived on; nil over UDP
	connHeld        bool            // conn is held open until the final answer
	cancelled       atomic.Bool     // the caller has sent a CANCEL
	req             *Message
	id              string
	tag             string
	dialog          *dialog
	okData          []byte // encoded 2xx, retransmitted until its ACK arrives (RFC 3261, 13.3.1.4)
	retransmitTimer *time.Timer
	acked           bool // the ACK has arrived, or is no longer waited for
	pendingByeCause int  // cause of a BYE that must wait for the ACK (RFC 3261, 15); 0 if there is none
	released        bool // a BYE was sent or received
}

// handleInvite validates a new INVITE and passes it to the core. It refuses an INVITE inside a dialog.
func (a *Agent) handleInvite(t *serverTx, m *Message, f flow) {
	if tag(m.Get("To")) != "" {
		if a.findDialog(m) == nil {
			t.respond(Respond(m, 481, "Call/Transaction Does Not Exist"))
			return
		}
		// The session description comes from the server and is not renegotiated.
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
	if a.pendingRequests[requestKey(m)] { // RFC 3261, 8.2.2.2: the same request arrived over two paths
		refuse(482, "Loop Detected")
		return
	}
	target, err := parseURI(m.URI)
	setup := routing.Setup{ID: call.id, Tenant: -1, Key: target.user, FirstChoice: -1, Body: m.Body, Excess: a.refusing}
	invalid := a.readHeaders(m, &setup)
	refuseUnreadable := func(status int, reason string, header ...string) { // counted in error_total, as on the JSON front
		a.core.CountMalformed(setup.Class)
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
	if a.refusingOnConns && call.conn != nil {
		a.core.CountRefused(setup.Class)
		refuse(503, "Service Unavailable", "Retry-After", overloadRetryAfter, "Reason", reasonHeader(routing.CauseCongest))
		return
	}
	t.respond(Respond(m, 100, "Trying"))
	a.pendingCalls[t] = call
	a.pendingRequests[requestKey(m)] = true
	call.holdConn()
	a.core.Open(setup, call)
}

// holdConn prevents the caller's connection from being closed to make room before the final answer is sent.
func (call *uasCall) holdConn() { call.connHeld = call.conn != nil && call.conn.Hold() }

// removePending removes a set-up from the pending calls once it has its final answer, and no longer holds its connection.
func (call *uasCall) removePending() {
	delete(call.agent.pendingCalls, call.tx)
	delete(call.agent.pendingRequests, requestKey(call.req))
	if call.connHeld {
		call.conn.Unhold()
		call.connHeld = false
	}
}

// requestKey returns a text that is equal for requests with the same From tag, Call-ID and CSeq.
func requestKey(m *Message) string {
	return m.Get("Call-ID") + "|" + m.Get("CSeq") + "|" + tag(m.Get("From"))
}

// readHeaders sets class, deadline and first choice of a set-up from the headers, and reports whether one is invalid. The
// deadline is that of the class, or Expires if it is shorter. A class that is not in the settings is an error, because the
// servers do not know it either.
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
	setup.TimeLeft = remaining
	if v := m.Get("X-Dest"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil {
			return true
		}
		setup.FirstChoice = n
	}
	return false
}

// response returns a response to the INVITE, with the call's tag.
func (call *uasCall) response(status int, reason string) *Message {
	return Respond(call.req, status, reason).Set("To", call.req.Get("To")+";tag="+call.tag)
}

// handleCancel handles a CANCEL (RFC 3261, 9.2). The core decides whether it arrived before the final answer.
func (a *Agent) handleCancel(t *serverTx, m *Message) {
	key, _ := serverKey(m, "INVITE")
	invite := a.transactionLayer.servers[key]
	if invite == nil {
		t.respond(Respond(m, 481, "Call/Transaction Does Not Exist").Set("To", a.toWithTag(m)))
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
	a.core.Withdraw(call.id, call, func(bool) {
		call.endPending(func() { call.tx.respond(call.response(487, "Request Terminated")) })
	})
}

// endPending ends a set-up that has been withdrawn, unless a final answer of the core was posted before. The core may have withdrawn the
// call by itself, because Gone reported that the caller has left.
func (call *uasCall) endPending(end func()) {
	call.agent.Post(func() {
		if call.agent.pendingCalls[call.tx] == call {
			call.removePending()
			end()
		}
	})
}

// respondError answers the INVITE with an error. setHeaders, if not nil, adds headers to it.
func (call *uasCall) respondError(status int, reason string, setHeaders func(*Message)) {
	call.agent.Post(func() {
		if call.agent.pendingCalls[call.tx] != call {
			return // it has its final answer
		}
		r := call.response(status, reason)
		call.removePending()
		if setHeaders != nil {
			setHeaders(r)
		}
		call.tx.respond(r)
	})
}

// Gone implements routing.Caller. It reports whether the caller has cancelled or closed its TCP connection.
func (call *uasCall) Gone() bool {
	return call.cancelled.Load() || call.conn != nil && call.conn.PeerClosed()
}

// Answer implements routing.Caller: the call is established.
func (call *uasCall) Answer(body []byte) bool {
	call.agent.Post(func() { call.answer(body) })
	return true // an unreachable caller is detected by its missing ACK
}

// answer sends the 2xx and retransmits it. If no ACK arrives within 64 T1, it releases the call.
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
	if !call.tx.respond(r) { // the set-up already has a final answer: the caller will never release the call
		a.core.Hangup(call.id, routing.CauseNormal, call, nil)
		return
	}
	a.addDialog(call.dialog)
	call.okData = r.Append(nil)
	call.req = nil
	call.retransmitAnswer(a.Timers.T1)
	a.After(64*a.Timers.T1, func() {
		if !call.acked && !call.released {
			a.Log.WithField("call", call.id).Warn("SIP: no ACK for the answer, call released")
			call.endRetransmits()
			a.core.Hangup(call.id, routing.CauseNormal, call, nil)
			call.sendBye(routing.CauseNormal)
		}
	})
}

// retransmitAnswer retransmits the 2xx until its ACK arrives, also over TCP, because a proxy on the path may have lost it.
func (call *uasCall) retransmitAnswer(interval time.Duration) {
	call.retransmitTimer = call.agent.After(interval, func() {
		if !call.acked && !call.released {
			call.flow.send(call.okData, nil, nil)
			call.retransmitAnswer(min(2*interval, call.agent.Timers.T2))
		}
	})
}

// endRetransmits ends the retransmission of the 2xx.
func (call *uasCall) endRetransmits() {
	call.acked = true
	call.retransmitTimer.Stop()
	call.okData = nil
	call.tx.acknowledged()
}

// handleAck handles the ACK for the 2xx and sends a BYE that waited for it.
func (call *uasCall) handleAck(m *Message) {
	if call.acked {
		return
	}
	call.endRetransmits()
	if call.pendingByeCause > 0 {
		call.sendBye(call.pendingByeCause)
	}
}

// Refuse implements routing.Caller. Retry-After has a resolution of one second and is rounded up, so that no caller retries too
// early.
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

// Release implements routing.Caller: the server has released the call.
func (call *uasCall) Release(cause int) {
	call.agent.Post(func() { call.sendBye(cause) })
}

// sendBye releases the call towards the caller, once its ACK has arrived.
func (call *uasCall) sendBye(cause int) {
	if call.released || call.dialog == nil {
		return
	}
	if !call.acked {
		call.pendingByeCause = cause // the BYE is sent when the ACK arrives or the wait for it ends
		return
	}
	call.released = true
	call.agent.hangup(call.dialog, cause)
}

// reasonHeader returns a Reason header value with a Q.850 cause.
func reasonHeader(cause int) string { return fmt.Sprintf("Q.850;cause=%d", cause) }
