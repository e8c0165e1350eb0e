package sip

import (
	"encoding/json"

	"beammux/internal/routing"
)

// addDialog registers an established dialog and persists it.
func (a *Agent) addDialog(d *dialog) {
	a.dialogs[d.key()] = d
	a.dialogsByID[d.storeKey()] = d
	if d.Server {
		a.dialogsByAttempt[d.attempt] = d
	}
	if a.Dialogs != nil {
		a.Dialogs.Put(d.storeKey(), d.record())
	}
}

// dropDialog removes a dialog and its stored record.
func (a *Agent) dropDialog(d *dialog) {
	d.ended = true
	delete(a.dialogs, d.key())
	if a.dialogsByAttempt[d.attempt] == d {
		delete(a.dialogsByAttempt, d.attempt)
	}
	if a.dialogsByID[d.storeKey()] != d { // that of a later attempt, whose record has replaced this one's
		return
	}
	delete(a.dialogsByID, d.storeKey())
	if a.Dialogs != nil {
		a.Dialogs.Delete(d.storeKey())
	}
}

// Restore registers a dialog that was established before this process started, from its stored record.
func (a *Agent) Restore(record []byte) error {
	d := &dialog{}
	if err := json.Unmarshal(record, d); err != nil {
		return err
	}
	a.Post(func() {
		if a.dialogsByID[d.storeKey()] != nil {
			return // already registered by this process
		}
		// The record does not count requests sent after the dialog was established; the gap keeps their CSeq numbers from
		// being reused.
		d.LocalSeq += 16
		a.dialogs[d.key()] = d
		a.dialogsByID[d.storeKey()] = d
	})
	return nil
}

// Orphan ends the caller's side of a call that is known only from the store. If there is no such dialog, it calls otherwise.
func (a *Agent) Orphan(id string, cause int, otherwise func()) {
	a.Post(func() {
		if d := a.dialogsByID[id+"/caller"]; d != nil {
			a.hangup(d, cause)
		} else if otherwise != nil {
			otherwise()
		}
	})
}

// OrphanHangup ends the server's side of a call that is known only from the store, after its caller hung up.
func (a *Agent) OrphanHangup(id string, cause int) {
	a.Post(func() {
		if d := a.dialogsByID[id+"/server"]; d != nil {
			a.hangup(d, cause)
		}
	})
}

// hangup ends a dialog by a BYE. Further calls do nothing.
func (a *Agent) hangup(d *dialog, cause int) {
	if d.ended {
		return
	}
	d.ended = true
	a.sendInDialog(d, "BYE", cause, func() { a.dropDialog(d) })
}

// sendInDialog sends a request inside a dialog. done, which may be nil, runs once the transaction has ended or could not start.
func (a *Agent) sendInDialog(d *dialog, method string, cause int, done func()) {
	m := d.request(method)
	if cause > 0 {
		m.Set("Reason", reasonHeader(cause))
	}
	a.dialogFlow(d, func(f flow, err error) {
		if err != nil {
			a.Log.WithError(err).WithField("call", d.ID).Warn("SIP: " + method + " could not be sent")
			if done != nil {
				done()
			}
			return
		}
		m.Set("Via", a.newVia(f.proto()))
		end := func() {
			if done != nil {
				done()
			}
		}
		a.transactionLayer.request(m, f, nil, func(r *Message) {
			if r.Status >= 200 {
				end()
			}
		}, func(err error) {
			a.Log.WithError(err).WithField("call", d.ID).Warn("SIP: no final response to " + method)
			end()
		})
	})
}

// dialogFlow calls done with the flow for a request inside a dialog: the dialog's TCP connection while it is open and the route
// set is empty, else a flow to the dialog's next hop.
func (a *Agent) dialogFlow(d *dialog, done func(flow, error)) {
	if t, ok := d.flow.(*tcpFlow); ok && len(d.Routes) == 0 {
		select {
		case <-t.conn.Closed():
		default:
			done(d.flow, nil)
			return
		}
	}
	proto, addr, err := d.nextHop()
	if err != nil {
		done(nil, err)
		return
	}
	a.flowTo(proto, addr, done)
}

// sendAck confirms a 2xx by an ACK. Each retransmission of the 2xx is confirmed again.
func (a *Agent) sendAck(d *dialog) {
	m := d.request("ACK")
	a.dialogFlow(d, func(f flow, err error) {
		if err == nil {
			f.send(m.Set("Via", a.newVia(f.proto())).Append(nil), nil, nil)
		}
	})
}

// handleBye ends a dialog after a BYE from the caller or the server.
func (a *Agent) handleBye(t *serverTx, m *Message) {
	d := a.findDialog(m)
	if d == nil {
		t.respond(Respond(m, 481, "Call/Transaction Does Not Exist").Set("To", a.toWithTag(m)))
		return
	}
	number, _, _ := m.CSeq()
	if number <= d.RemoteSeq && d.RemoteSeq > 0 { // out of order (RFC 3261, 12.2.2)
		t.respond(Respond(m, 500, "Server Internal Error"))
		return
	}
	d.RemoteSeq = number
	t.respond(Respond(m, 200, "OK"))
	ended := d.ended
	byeCause := cause(m)
	if d.callerLeg != nil {
		d.callerLeg.released = true
	}
	a.dropDialog(d)
	if ended {
		return // both sides sent a BYE at the same time
	}
	if !d.Server {
		var caller routing.Caller
		if d.callerLeg != nil {
			caller = d.callerLeg
		}
		a.core.Hangup(d.ID, byeCause, caller, func(known bool) {
			if !known {
				a.OrphanHangup(d.ID, byeCause)
			}
		})
		return
	}
	if server := d.conn; server != nil {
		if current := a.serverConns[server.key]; current != nil {
			server = current // the connection was reopened since the set-up
		}
		server.events.Released(d.ID, byeCause, parseReport(m.Get("X-Occupancy"), a.Reports))
		return
	}
	a.core.ReleaseOrphan(d.ID, byeCause)
}
