package sip

import (
	"encoding/json"

	"beammux/internal/routing"
)

func (a *Agent) addDialog(d *dialog) {
	a.dialogs[d.key()] = d
	a.byID[d.storeKey()] = d
	if a.Dialogs != nil {
		a.Dialogs.Put(d.storeKey(), d.record())
	}
}

func (a *Agent) dropDialog(d *dialog) {
	d.ended = true
	delete(a.dialogs, d.key())
	if a.byID[d.storeKey()] == d {
		delete(a.byID, d.storeKey())
	}
	if a.Dialogs != nil {
		a.Dialogs.Delete(d.storeKey())
	}
}

// Restore takes back a dialog that stood before this process started.
func (a *Agent) Restore(record []byte) error {
	d := &dialog{}
	if err := json.Unmarshal(record, d); err != nil {
		return err
	}
	a.Post(func() {
		if a.byID[d.storeKey()] != nil {
			return // of this process
		}
		// Requests that were sent and not recorded must not have their numbers used again.
		d.LocalSeq += 16
		a.dialogs[d.key()] = d
		a.byID[d.storeKey()] = d
	})
	return nil
}

// Orphan ends the caller's side of a call that only the store remembers. otherwise runs if it does not.
func (a *Agent) Orphan(id string, cause int, otherwise func()) {
	a.Post(func() {
		if d := a.byID[id+"/caller"]; d != nil {
			a.hangup(d, cause)
		} else if otherwise != nil {
			otherwise()
		}
	})
}

// OrphanHangup ends the server's side of a call that only the store remembers: its caller has hung up.
func (a *Agent) OrphanHangup(id string, cause int) {
	a.Post(func() {
		if d := a.byID[id+"/server"]; d != nil {
			a.hangup(d, cause)
		}
	})
}

// hangup ends a dialog by BYE, once.
func (a *Agent) hangup(d *dialog, cause int) {
	if d.ended {
		return
	}
	d.ended = true
	a.inDialog(d, "BYE", cause, func() { a.dropDialog(d) })
}

// inDialog sends a request inside a dialog on the flow that it has, or on a new one to its next hop.
func (a *Agent) inDialog(d *dialog, method string, cause int, then func()) {
	m := d.request(method)
	if cause > 0 {
		m.Set("Reason", reasonHeader(cause))
	}
	a.dialogFlow(d, func(f flow, err error) {
		if err != nil {
			a.Log.WithError(err).WithField("call", d.ID).Warn("SIP: " + method + " can't be sent")
			if then != nil {
				then()
			}
			return
		}
		m.Set("Via", a.newVia(f.proto()))
		end := func() {
			if then != nil {
				then()
			}
		}
		a.layer.request(m, f, nil, func(r *Message) {
			if r.Status >= 200 {
				end()
			}
		}, func(err error) {
			a.Log.WithError(err).WithField("call", d.ID).Warn("SIP: no answer to " + method)
			end()
		})
	})
}

// dialogFlow passes then the flow for a request inside a dialog: the dialog's connection while it is open, else its next hop.
func (a *Agent) dialogFlow(d *dialog, then func(flow, error)) {
	if t, ok := d.flow.(*tcpFlow); ok && len(d.Routes) == 0 {
		select {
		case <-t.conn.Closed():
		default:
			then(d.flow, nil)
			return
		}
	}
	proto, addr, err := d.hop()
	if err != nil {
		then(nil, err)
		return
	}
	a.flowTo(proto, addr, then)
}

// ack confirms a 2xx. Each retransmission of the 2xx is answered by another.
func (a *Agent) ack(d *dialog) {
	m := d.request("ACK")
	a.dialogFlow(d, func(f flow, err error) {
		if err == nil {
			f.send(m.Set("Via", a.newVia(f.proto())).Append(nil), nil, nil)
		}
	})
}

// bye takes the end of a dialog from either side.
func (a *Agent) bye(t *serverTx, m *Message) {
	d := a.dialogOf(m)
	if d == nil {
		t.respond(Respond(m, 481, "Call/Transaction Does Not Exist").Set("To", withTag(m.Get("To"))))
		return
	}
	number, _, _ := m.CSeq()
	if number <= d.RemoteSeq && d.RemoteSeq > 0 { // 12.2.2: out of order
		t.respond(Respond(m, 500, "Server Internal Error"))
		return
	}
	d.RemoteSeq = number
	t.respond(Respond(m, 200, "OK"))
	ended := d.ended
	why := cause(m)
	if d.call != nil {
		d.call.over = true
	}
	a.dropDialog(d)
	if ended {
		return // both sides hung up at once
	}
	if !d.Server {
		var caller routing.Caller
		if d.call != nil {
			caller = d.call
		}
		a.core.Hangup(d.ID, why, caller, func(known bool) {
			if !known {
				a.OrphanHangup(d.ID, why)
			}
		})
		return
	}
	if l := d.conn; l != nil {
		if now := a.serverConns[l.key]; now != nil {
			l = now // the connection may have been opened anew since the set-up
		}
		l.events.Released(d.ID, why, parseReport(m.Get("X-Occupancy"), a.Reports))
		return
	}
	if other := a.byID[d.ID+"/caller"]; other != nil {
		a.hangup(other, why)
	}
}
