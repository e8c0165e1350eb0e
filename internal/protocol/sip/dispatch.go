package sip

import (
	"cmp"
	"fmt"
	"hash/maphash"
	"slices"

	"beammux/internal/routing"
	"beammux/internal/transport"
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
	t, isNew := a.serverTransaction(m, f)
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
		t.respond(Respond(m, status, reason).Set("Allow", allow).Set("To", a.toWithTag(m)))
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
		t.respond(Respond(m, 405, "Method Not Allowed").Set("Allow", allow).Set("To", a.toWithTag(m)))
	}
}

// serverTransaction returns the transaction of a request, and whether the request must be handled. Requests whose repetition can be
// handled like the first have no state. If there is no memory for the state of another, an INVITE is refused.
func (a *Agent) serverTransaction(m *Message, f flow) (t *serverTx, isNew bool) {
	if m.Method == "ACK" || a.transactionLayer.knows(m) {
		return a.transactionLayer.accept(m, f)
	}
	size, memory := pendingMemory(m), requestMemory(f)
	switch {
	case !a.needsState(m), m.Method != "INVITE" && !memory.Reserve(size):
		return a.transactionLayer.newStateless(m, f), true
	case m.Method == "INVITE" && !memory.Reserve(size):
		a.refuseOverload(m, f)
		return nil, false
	}
	t, isNew = a.transactionLayer.accept(m, f)
	t.memory, t.reserved = memory, size
	return t, isNew
}

// needsState reports whether a new request changes the state of a call, so that a retransmission must be recognized.
func (a *Agent) needsState(m *Message) bool {
	switch m.Method {
	case "INVITE":
		return true
	case "BYE":
		return a.findDialog(m) != nil
	case "CANCEL":
		key, _ := serverKey(m, "INVITE")
		return a.transactionLayer.servers[key] != nil
	}
	return false
}

// requestMemory returns the account of the client that sent a message.
func requestMemory(f flow) *transport.MemoryAccount {
	switch f := f.(type) {
	case udpFlow:
		return f.memory
	case *tcpFlow:
		return f.conn.Requests()
	}
	return nil
}

// overloadRetryAfter is the time after which a client may send an INVITE again that found no memory, in seconds.
const overloadRetryAfter = "1"

// refuseOverload refuses an INVITE without a transaction.
func (a *Agent) refuseOverload(m *Message, f flow) {
	r := Respond(m, 503, "Service Unavailable").Set("To", a.toWithTag(m)).Set("Retry-After", overloadRetryAfter).
		Set("Reason", reasonHeader(routing.CauseCongest))
	f.send(r.Append(nil), nil, nil)
	if class := slices.Index(a.Classes, cmp.Or(m.Get("X-Cos"), a.DefaultClass)); class >= 0 {
		a.core.CountRefused(class)
	}
}

// toWithTag returns the To value of a response with a tag: that of the request, or one that is the same for each repetition of it.
func (a *Agent) toWithTag(m *Message) string {
	to := m.Get("To")
	if tag(to) != "" {
		return to
	}
	key, _ := serverKey(m, m.Method)
	return fmt.Sprintf("%s;tag=%016x", to, maphash.String(a.tagSeed, key))
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
	memory, size := requestMemory(f), pendingMemory(m)
	if !memory.Reserve(size) {
		return
	}
	d := dialogFromResponse(m, "", f.proto())
	d.flow = f
	a.sendAck(d)
	a.sendInDialog(d, "BYE", routing.CauseNormal, func() { memory.Release(size) })
}
