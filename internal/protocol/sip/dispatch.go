package sip

import (
	"cmp"
	"slices"

	"beammux/internal/routing"
)

// allow is the value of the Allow header.
const allow = "INVITE, ACK, CANCEL, BYE, OPTIONS, NOTIFY"

// reject answers a message that failed to parse or is invalid, if it is a request that can be answered. It uses no state of the
// actor and may be called from any goroutine.
func (a *Agent) reject(m *Message, f flow, parseErr error) {
	if m == nil || !m.IsRequest() || m.Method == "ACK" {
		return
	}
	if _, err := m.topVia(); err != nil {
		return
	}
	status, reason := 400, "Bad Request"
	if parseErr == ErrTooLong {
		status, reason = 513, "Message Too Large"
	}
	m.setReceived(f.remote())
	f.send(Respond(m, status, reason).Append(nil), nil, nil)
	if m.Method == "INVITE" && m.Get("To") != "" && tag(m.Get("To")) == "" { // a new set-up: count its failure
		a.core.CountMalformed(slices.Index(a.Classes, cmp.Or(m.Get("X-Cos"), a.DefaultClass)))
	}
}

// handleMessage passes a message to its transaction, and a new request to its handler.
func (a *Agent) handleMessage(m *Message, f flow) {
	if !m.IsRequest() {
		if !a.transactionLayer.deliverResponse(m) {
			a.handleStrayResponse(m, f)
		}
		return
	}
	v, err := m.topVia()
	_, method, _ := m.CSeq()
	if _, ok := serverKey(m, m.Method); err != nil || !ok || method != m.Method || tag(m.Get("From")) == "" || m.Get("To") == "" {
		a.reject(m, f, ErrMalformed)
		return
	}
	m.setReceived(f.remote())
	if t, ok := f.(*tcpFlow); ok {
		t.reconnectAddr = v.sentBy
	}
	t, isNew := a.transactionLayer.accept(m, f)
	switch {
	case m.Method == "ACK":
		if d := a.findDialog(m); d != nil && d.callerLeg != nil {
			d.callerLeg.handleAck(m)
		}
	case !isNew:
	case m.Method == "CANCEL":
		a.handleCancel(t, m)
	case m.Method == "INVITE":
		a.handleInvite(t, m, f)
	case m.Method == "BYE":
		a.handleBye(t, m)
	case m.Method == "OPTIONS":
		status, reason := 200, "OK"
		if a.draining {
			status, reason = 503, "Service Unavailable"
		}
		t.respond(Respond(m, status, reason).Set("Allow", allow).Set("To", ensureTag(m.Get("To"))))
	case m.Method == "NOTIFY":
		if server := a.serverConns[endpoint(f.proto(), f.remote())]; server != nil {
			if values := parseReport(m.Get("X-Occupancy"), a.Reports); values != nil {
				server.events.Report(values)
			}
			t.respond(Respond(m, 200, "OK"))
			return
		}
		t.respond(Respond(m, 481, "Call/Transaction Does Not Exist"))
	default:
		t.respond(Respond(m, 405, "Method Not Allowed").Set("Allow", allow).Set("To", ensureTag(m.Get("To"))))
	}
}

// ensureTag returns a To value with a tag: its own, or a new one.
func ensureTag(to string) string {
	if tag(to) != "" {
		return to
	}
	return to + ";tag=" + randomToken(6)
}

// findDialog returns the dialog of a request, or nil. The request's To is the dialog's local side.
func (a *Agent) findDialog(m *Message) *dialog {
	return a.dialogs[dialogKey(m.Get("Call-ID"), tag(m.Get("To")), tag(m.Get("From")))]
}

// handleStrayResponse handles a 2xx to an INVITE without a client transaction. A 2xx of a known dialog is confirmed again. Any
// other 2xx answers a set-up that was given up, so the call is confirmed and released.
func (a *Agent) handleStrayResponse(m *Message, f flow) {
	_, method, _ := m.CSeq()
	if method != "INVITE" || m.Status < 200 || m.Status >= 300 {
		return
	}
	if d := a.dialogs[dialogKey(m.Get("Call-ID"), tag(m.Get("From")), tag(m.Get("To")))]; d != nil {
		a.sendAck(d)
		return
	}
	if v, err := m.topVia(); err != nil || v.sentBy != a.sentBy(v.proto) {
		return
	}
	d := dialogFromResponse(m, "", f.proto())
	d.flow = f
	a.sendAck(d)
	a.sendInDialog(d, "BYE", routing.CauseNormal, nil)
}
