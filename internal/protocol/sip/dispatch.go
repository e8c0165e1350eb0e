package sip

import (
	"cmp"
	"slices"

	"beammux/internal/routing"
)

const allow = "INVITE, ACK, CANCEL, BYE, OPTIONS, NOTIFY"

// reject answers what could not be read, where it is a request that can be answered. It touches nothing of the actor's.
func (a *Agent) reject(m *Message, f flow, fault error) {
	if m == nil || !m.IsRequest() || m.Method == "ACK" {
		return
	}
	if _, err := m.topVia(); err != nil {
		return
	}
	status, reason := 400, "Bad Request"
	if fault == ErrTooLong {
		status, reason = 513, "Message Too Large"
	}
	m.setReceived(f.remote())
	f.send(Respond(m, status, reason).Append(nil), nil, nil)
	if m.Method == "INVITE" && m.Get("To") != "" && tag(m.Get("To")) == "" { // a new set-up, told that it failed
		a.core.CountMalformed(slices.Index(a.Classes, cmp.Or(m.Get("X-Cos"), a.DefaultClass)))
	}
}

func (a *Agent) handle(m *Message, f flow) {
	if !m.IsRequest() {
		if !a.layer.response(m) {
			a.strayAnswer(m, f)
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
		t.back = v.sentBy
	}
	t, fresh := a.layer.accept(m, f)
	switch {
	case m.Method == "ACK":
		if d := a.dialogOf(m); d != nil && d.call != nil {
			d.call.acked(m)
		}
	case !fresh:
	case m.Method == "CANCEL":
		a.cancelled(t, m)
	case m.Method == "INVITE":
		a.invited(t, m, f)
	case m.Method == "BYE":
		a.bye(t, m)
	case m.Method == "OPTIONS":
		status, reason := 200, "OK"
		if a.draining {
			status, reason = 503, "Service Unavailable"
		}
		t.respond(Respond(m, status, reason).Set("Allow", allow).Set("To", withTag(m.Get("To"))))
	case m.Method == "NOTIFY":
		if l := a.serverConns[f.proto()+"|"+f.remote()]; l != nil {
			if row := parseReport(m.Get("X-Occupancy"), a.Reports); row != nil {
				l.events.Report(row)
			}
			t.respond(Respond(m, 200, "OK"))
			return
		}
		t.respond(Respond(m, 481, "Call/Transaction Does Not Exist"))
	default:
		t.respond(Respond(m, 405, "Method Not Allowed").Set("Allow", allow).Set("To", withTag(m.Get("To"))))
	}
}

func withTag(to string) string {
	if tag(to) != "" {
		return to
	}
	return to + ";tag=" + token(6)
}

// dialogOf matches a request to its dialog: its To is this end.
func (a *Agent) dialogOf(m *Message) *dialog {
	return a.dialogs[dialogKey(m.Get("Call-ID"), tag(m.Get("To")), tag(m.Get("From")))]
}

// strayAnswer handles a 2xx whose transaction is gone: the set-up had been given up, so the call is confirmed and released.
func (a *Agent) strayAnswer(m *Message, f flow) {
	_, method, _ := m.CSeq()
	if method != "INVITE" || m.Status < 200 || m.Status >= 300 {
		return
	}
	if d := a.dialogs[dialogKey(m.Get("Call-ID"), tag(m.Get("From")), tag(m.Get("To")))]; d != nil {
		a.ack(d)
		return
	}
	if v, err := m.topVia(); err != nil || v.sentBy != a.sentBy(v.proto) {
		return
	}
	d := fromResponse(m, "", f.proto())
	d.flow = f
	a.ack(d)
	a.inDialog(d, "BYE", routing.CauseNormal, nil)
}
