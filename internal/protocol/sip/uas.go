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
	agent  *Agent
	tx     *serverTx
	flow   flow
	conn   *transport.Conn // that its set-up came on; nil over UDP
	held   bool            // conn is kept, since it is owed an answer
	gone   atomic.Bool     // its caller has cancelled
	req    *Message
	id     string
	tag    string
	dialog *dialog
	ok     []byte // the 2xx, repeated until its ACK comes (13.3.1.4)
	repeat *time.Timer
	heard  bool // the ACK came
	byeFor int  // cause of a BYE that must wait for the ACK (15)
	over   bool
}

// invited takes a new INVITE.
func (a *Agent) invited(t *serverTx, m *Message, f flow) {
	if tag(m.Get("To")) != "" {
		if a.dialogOf(m) == nil {
			t.respond(Respond(m, 481, "Call/Transaction Does Not Exist"))
			return
		}
		// The description is the server's and is not negotiated again.
		t.respond(Respond(m, 488, "Not Acceptable Here"))
		return
	}
	k := &uasCall{agent: a, tx: t, flow: f, req: m, id: token(8), tag: token(6)}
	if tf, ok := f.(*tcpFlow); ok {
		k.conn = tf.conn
	}
	refuse := func(status int, reason string, header ...string) {
		r := k.response(status, reason)
		for i := 0; i+1 < len(header); i += 2 {
			r.Set(header[i], header[i+1])
		}
		t.respond(r)
	}
	for other, call := range a.calls { // 8.2.2.2: the same request came by two ways
		if other != t && sameRequest(call.req, m) {
			refuse(482, "Loop Detected")
			return
		}
	}
	target, err := parseURI(m.URI)
	s := routing.Setup{ID: k.id, Tenant: -1, Key: target.user, FirstChoice: -1, Body: m.Body, Excess: a.closing}
	bad := a.read(m, &s)
	unread := func(status int, reason string, header ...string) { // in error_total, as on the JSON front
		a.core.CountMalformed(s.Class)
		refuse(status, reason, header...)
	}
	switch {
	case err != nil:
		unread(416, "Unsupported URI Scheme")
		return
	case len(m.Body) > routing.MaxBody:
		unread(413, "Request Entity Too Large")
		return
	case bad, !routing.ValidKey(s.Key):
		unread(400, "Bad Request")
		return
	case len(m.list("Require")) > 0:
		unread(420, "Bad Extension", "Unsupported", m.Get("Require"))
		return
	}
	t.respond(Respond(m, 100, "Trying"))
	a.calls[t] = k
	k.hold()
	a.core.Open(s, k)
}

// hold keeps the caller's connection from being closed to make room while it is owed an answer.
func (k *uasCall) hold() { k.held = k.conn != nil && k.conn.Hold() }

// settled takes a set-up that has its final answer off the list.
func (k *uasCall) settled() {
	delete(k.agent.calls, k.tx)
	if k.held {
		k.conn.Unhold()
		k.held = false
	}
}

func sameRequest(a, b *Message) bool {
	return a.Get("Call-ID") == b.Get("Call-ID") && a.Get("CSeq") == b.Get("CSeq") && tag(a.Get("From")) == tag(b.Get("From"))
}

// read takes class, deadline and first choice from the headers. The deadline is the class's, or Expires if shorter. A
// class that the settings don't name is a fault of the caller: servers would not know it either.
func (a *Agent) read(m *Message, s *routing.Setup) (bad bool) {
	name := m.Get("X-Cos")
	if name == "" {
		name = a.DefaultClass
	}
	if s.Class = slices.Index(a.Classes, name); s.Class < 0 {
		return true
	}
	left := time.Duration(a.Deadlines[s.Class]) * time.Microsecond
	if v := m.Get("Expires"); v != "" {
		n, err := strconv.ParseUint(v, 10, 32)
		if err != nil {
			return true
		}
		left = min(left, time.Duration(n)*time.Second)
	}
	s.TimeLeft = left
	if v := m.Get("X-Dest"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil {
			return true
		}
		s.FirstChoice = n
	}
	return false
}

func (k *uasCall) response(status int, reason string) *Message {
	return Respond(k.req, status, reason).Set("To", k.req.Get("To")+";tag="+k.tag)
}

// cancelled takes a CANCEL (9.2). Whether it came before the final answer is settled by the core.
func (a *Agent) cancelled(t *serverTx, m *Message) {
	key, _ := serverKey(m, "INVITE")
	invite := a.layer.servers[key]
	if invite == nil {
		t.respond(Respond(m, 481, "Call/Transaction Does Not Exist").Set("To", withTag(m.Get("To"))))
		return
	}
	k := a.calls[invite]
	r := Respond(m, 200, "OK")
	if k != nil {
		r = r.Set("To", k.req.Get("To")+";tag="+k.tag)
	}
	t.respond(r)
	if k == nil {
		return
	}
	k.gone.Store(true)
	a.core.Withdraw(k.id, k, func(inTime bool) {
		if inTime {
			k.final(487, "Request Terminated", nil)
		}
	})
}

// final answers an INVITE with an error.
func (k *uasCall) final(status int, reason string, set func(*Message)) {
	k.agent.Post(func() {
		k.settled()
		r := k.response(status, reason)
		if set != nil {
			set(r)
		}
		k.tx.respond(r)
	})
}

// Gone implements routing.Caller.
func (k *uasCall) Gone() bool { return k.gone.Load() || k.conn != nil && k.conn.PeerClosed() }

// Answer implements routing.Caller: the call stands.
func (k *uasCall) Answer(body []byte) bool {
	k.agent.Post(func() { k.answer(body) })
	return true // a caller that is gone shows by the ACK that never comes
}

func (k *uasCall) answer(body []byte) {
	a := k.agent
	k.settled()
	k.dialog = fromRequest(k.req, k.id, k.tag, k.flow.proto())
	k.dialog.flow, k.dialog.call = k.flow, k
	r := k.response(200, "OK").Set("Contact", a.contact(k.flow.proto())).Set("Allow", allow)
	if len(body) > 0 {
		kind := k.req.Get("Content-Type")
		if kind == "" {
			kind = "application/sdp"
		}
		r.Set("Content-Type", kind)
		r.Body = body
	}
	if !k.tx.respond(r) { // the set-up has its final answer: nobody would ever release the call
		a.core.Hangup(k.id, routing.CauseNormal, k, nil)
		return
	}
	a.addDialog(k.dialog)
	k.ok = r.Append(nil)
	k.again(a.Timers.T1)
	a.After(64*a.Timers.T1, func() {
		if !k.heard && !k.over {
			a.Log.WithField("call", k.id).Warn("SIP: no ACK to the answer, call released")
			k.heard = true
			a.core.Hangup(k.id, routing.CauseNormal, k, nil)
			k.bye(routing.CauseNormal)
		}
	})
}

// again repeats the 2xx, also over TCP: a proxy on the way may have lost it.
func (k *uasCall) again(gap time.Duration) {
	k.repeat = k.agent.After(gap, func() {
		if !k.heard && !k.over {
			k.flow.send(k.ok, nil, nil)
			k.again(min(2*gap, k.agent.Timers.T2))
		}
	})
}

// acked takes the ACK to the 2xx.
func (k *uasCall) acked(m *Message) {
	if k.heard {
		return
	}
	k.heard = true
	k.repeat.Stop()
	if k.byeFor > 0 {
		k.bye(k.byeFor)
	}
}

// Refuse implements routing.Caller. Retry-After is in whole seconds: rounded up, so that no caller comes too early.
func (k *uasCall) Refuse(wait time.Duration) {
	k.final(503, "Service Unavailable", func(r *Message) {
		if wait > 0 {
			r.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		}
		r.Set("Reason", reasonHeader(routing.CauseCongest))
	})
}

// Fail implements routing.Caller.
func (k *uasCall) Fail() {
	k.final(500, "Server Internal Error", func(r *Message) { r.Set("Reason", reasonHeader(routing.CauseFailed)) })
}

// Release implements routing.Caller: the call is over at the server's side.
func (k *uasCall) Release(cause int) {
	k.agent.Post(func() { k.bye(cause) })
}

func (k *uasCall) bye(cause int) {
	if k.over || k.dialog == nil {
		return
	}
	if !k.heard {
		k.byeFor = cause // not before the ACK, or its time is over
		return
	}
	k.over = true
	k.agent.hangup(k.dialog, cause)
}

func reasonHeader(cause int) string { return fmt.Sprintf("Q.850;cause=%d", cause) }
