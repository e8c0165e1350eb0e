package sip

import (
	"errors"
	"strings"
	"time"
)

// Timers are the base values of RFC 3261, 17: T1 the round trip, T2 the longest gap between retransmissions, T4 how
// long a message may stay in the network.
type Timers struct{ T1, T2, T4 time.Duration }

// DefaultTimers are the values that the RFC gives.
var DefaultTimers = Timers{500 * time.Millisecond, 4 * time.Second, 5 * time.Second}

// The ways in which a client transaction ends without a final response.
var (
	errTimeout = errors.New("no final response in time")
)

// flow is a way to the other side of a transaction.
type flow interface {
	// send never blocks; done, if not nil, hears of what failed later. still is asked before the first byte.
	send(data []byte, stillWanted func() bool, done func(error)) error
	reliable() bool // a stream: nothing is retransmitted
	proto() string  // as in Via
	remote() string
}

type txState int

// States of the four machines. Accepted is that of RFC 6026: it absorbs what is retransmitted after a 2xx.
const (
	calling    txState = iota // client INVITE
	trying                    // non-INVITE, both sides
	proceeding                // all
	completed                 // all
	accepted                  // INVITE, both sides
	confirmed                 // server INVITE
	terminated                // all
)

// transactionLayer holds the transactions. It belongs to one actor: every method, and every timer, runs there.
type transactionLayer struct {
	after   func(time.Duration, func()) *time.Timer
	t       Timers
	clients map[string]*clientTx
	servers map[string]*serverTx
}

func newTransactionLayer(t Timers, after func(time.Duration, func()) *time.Timer) *transactionLayer {
	return &transactionLayer{after: after, t: t, clients: map[string]*clientTx{}, servers: map[string]*serverTx{}}
}

// timers of a transaction: all are stopped when it ends, and one that fired meanwhile finds it ended.
type timers []*time.Timer

func (ts *timers) stop() {
	for _, t := range *ts {
		t.Stop()
	}
	*ts = nil
}

// clientTx is a client transaction: INVITE (17.1.1) or any other method (17.1.2).
type clientTx struct {
	layer             *transactionLayer
	key               string
	req               *Message
	data              []byte
	flow              flow
	state             txState
	timers            timers
	stillWanted       func() bool
	retransmitStopped bool // given up before any response: no further copy goes out, and a late response is still heard
	ack               []byte
	onResponse        func(*Message)
	onEnd             func(error) // without a final response
}

func (t *clientTx) invite() bool { return t.req.Method == "INVITE" }

// request starts a client transaction. The request's topmost Via holds its branch. still, which may be nil, is asked
// before each time that the request goes out: a server that has been told to drain must not get a late copy.
func (layer *transactionLayer) request(req *Message, f flow, stillWanted func() bool, onResponse func(*Message), onEnd func(error)) *clientTx {
	v, _ := req.topVia()
	t := &clientTx{layer: layer, key: v.params["branch"] + "|" + req.Method, req: req, data: req.Append(nil), flow: f,
		stillWanted: stillWanted, onResponse: onResponse, onEnd: onEnd}
	if !t.invite() {
		t.state = trying
	}
	layer.clients[t.key] = t
	if !t.transmit(true) {
		return t
	}
	interval := layer.t.T1
	if !f.reliable() {
		t.schedule(interval, func() { t.retransmit(interval) }) // timer A or E
	}
	t.schedule(64*layer.t.T1, func() { // timer B or F
		if t.state < completed && !(t.invite() && t.state == proceeding) {
			t.fail(errTimeout)
		}
	})
	return t
}

func (t *clientTx) schedule(d time.Duration, f func()) {
	t.timers = append(t.timers, t.layer.after(d, func() {
		if t.state != terminated {
			f()
		}
	}))
}

// transmit sends the request; what fails later ends the transaction too.
func (t *clientTx) transmit(first bool) bool {
	if !first && t.stillWanted != nil && !t.stillWanted() {
		t.fail(errTimeout) // an earlier copy may have run
		return false
	}
	var stillWanted func() bool
	if first {
		stillWanted = t.stillWanted
	}
	err := t.flow.send(t.data, stillWanted, func(err error) {
		t.layer.after(0, func() {
			if t.state == calling || t.state == trying || t.state == proceeding {
				t.fail(err)
			}
		})
	})
	if err != nil {
		t.fail(err)
		return false
	}
	return true
}

func (t *clientTx) retransmit(interval time.Duration) {
	if t.invite() && t.state != calling || t.state >= completed || t.retransmitStopped {
		return
	}
	if !t.transmit(false) {
		return
	}
	interval *= 2
	if !t.invite() {
		interval = min(interval, t.layer.t.T2)
		if t.state == proceeding {
			interval = t.layer.t.T2
		}
	}
	t.schedule(interval, func() { t.retransmit(interval) })
}

func (t *clientTx) fail(err error) {
	if t.state >= completed {
		return
	}
	t.end()
	t.onEnd(err)
}

func (t *clientTx) end() {
	t.state = terminated
	t.timers.stop()
	if t.layer.clients[t.key] == t {
		delete(t.layer.clients, t.key)
	}
}

// linger keeps a transaction to absorb what is retransmitted.
func (t *clientTx) linger(s txState, d time.Duration) {
	t.timers.stop()
	t.state = s
	if d == 0 {
		t.end()
		return
	}
	t.schedule(d, t.end)
}

// deliverResponse hands a response to its transaction; false if there is none.
func (layer *transactionLayer) deliverResponse(m *Message) bool {
	v, err := m.topVia()
	if err != nil {
		return false
	}
	_, method, _ := m.CSeq()
	t := layer.clients[v.params["branch"]+"|"+method]
	if t == nil {
		return false
	}
	t.receive(m)
	return true
}

func (t *clientTx) receive(m *Message) {
	switch {
	case t.state == completed:
		if t.invite() && m.Status >= 300 { // the ACK was lost
			t.flow.send(t.ack, nil, nil)
		}
	case t.state == accepted:
		if m.Status >= 200 && m.Status < 300 {
			t.onResponse(m) // a retransmission, or another fork
		}
	case m.Status < 200:
		t.state = proceeding
		t.onResponse(m)
	case !t.invite():
		d := t.layer.t.T4 // timer K
		if t.flow.reliable() {
			d = 0
		}
		t.linger(completed, d)
		t.onResponse(m)
	case m.Status < 300:
		t.linger(accepted, 64*t.layer.t.T1) // timer M
		t.onResponse(m)
	default:
		t.ack = t.ackTo(m).Append(nil)
		t.flow.send(t.ack, nil, nil)
		d := 64 * t.layer.t.T1 // timer D
		if t.flow.reliable() {
			d = 0
		}
		t.linger(completed, d)
		t.onResponse(m)
	}
}

// ackTo makes the ACK to an error (17.1.1.3): it belongs to the INVITE's transaction and has its branch.
func (t *clientTx) ackTo(m *Message) *Message {
	ack := Request("ACK", t.req.URI)
	ack.Header["Via"] = t.req.listValues("Via")[:1]
	for _, key := range []string{"From", "Call-Id", "Route", "Max-Forwards"} {
		if v := t.req.Header[key]; v != nil {
			ack.Header[key] = v
		}
	}
	number, _, _ := t.req.CSeq()
	ack.Set("To", m.Get("To")).Set("CSeq", cseq(number, "ACK"))
	return ack
}

// cancel makes the CANCEL of an INVITE (9.1).
func (t *clientTx) cancel() *Message {
	m := Request("CANCEL", t.req.URI)
	m.Header["Via"] = t.req.listValues("Via")[:1]
	for _, key := range []string{"From", "To", "Call-Id", "Route", "Max-Forwards"} {
		if v := t.req.Header[key]; v != nil {
			m.Header[key] = v
		}
	}
	number, _, _ := t.req.CSeq()
	return m.Set("CSeq", cseq(number, "CANCEL"))
}

// serverTx is a server transaction: INVITE (17.2.1) or any other method (17.2.2).
type serverTx struct {
	layer        *transactionLayer
	key          string
	req          *Message
	flow         flow
	state        txState
	timers       timers
	lastResponse []byte
}

func (t *serverTx) invite() bool { return t.req.Method == "INVITE" }

// serverKey matches a request to its transaction (17.2.3). An ACK matches the INVITE's, a CANCEL has its own.
func serverKey(m *Message, method string) (string, bool) {
	v, err := m.topVia()
	if err != nil || !strings.HasPrefix(v.params["branch"], magicCookie) || len(v.params["branch"]) == len(magicCookie) {
		return "", false
	}
	return v.params["branch"] + "|" + strings.ToLower(v.sentBy) + "|" + method, true
}

// accept matches a request to a transaction. It is nil if the request was absorbed: a retransmission, or the ACK to
// an error. fresh tells that the transaction is new and the request must be answered.
func (layer *transactionLayer) accept(m *Message, f flow) (t *serverTx, isNew bool) {
	method := m.Method
	if method == "ACK" {
		method = "INVITE"
	}
	key, ok := serverKey(m, method)
	if !ok {
		return nil, false
	}
	if t := layer.servers[key]; t != nil {
		t.absorb(m)
		return t, false
	}
	if m.Method == "ACK" {
		return nil, false
	}
	t = &serverTx{layer: layer, key: key, req: m, flow: f, state: trying}
	if t.invite() {
		t.state = proceeding
	}
	layer.servers[key] = t
	return t, true
}

func (t *serverTx) absorb(m *Message) {
	if m.Method == "ACK" {
		if t.state == completed {
			t.timers.stop()
			t.state = confirmed
			d := t.layer.t.T4 // timer I
			if t.flow.reliable() {
				d = 0
			}
			t.schedule(d, t.end)
		}
		return
	}
	// A retransmission: in Accepted it is absorbed, the 2xx is repeated by its dialog.
	if t.lastResponse != nil && (t.state == proceeding || t.state == completed) {
		t.flow.send(t.lastResponse, nil, nil)
	}
}

func (t *serverTx) schedule(d time.Duration, f func()) {
	t.timers = append(t.timers, t.layer.after(d, func() {
		if t.state != terminated {
			f()
		}
	}))
}

func (t *serverTx) end() {
	t.state = terminated
	t.timers.stop()
	delete(t.layer.servers, t.key)
}

// respond sends a response. A second final one is dropped: a request has one.
func (t *serverTx) respond(m *Message) bool {
	if t.state >= completed {
		return false
	}
	data := m.Append(nil)
	t.lastResponse = data
	t.flow.send(data, nil, nil)
	switch {
	case m.Status < 200:
		t.state = proceeding
	case !t.invite():
		t.state = completed
		d := 64 * t.layer.t.T1 // timer J
		if t.flow.reliable() {
			d = 0
		}
		t.schedule(d, t.end)
	case m.Status < 300:
		t.state = accepted
		t.schedule(64*t.layer.t.T1, t.end) // timer L
	default:
		t.state = completed
		if !t.flow.reliable() {
			t.retransmit(t.layer.t.T1) // timer G
		}
		t.schedule(64*t.layer.t.T1, func() { // timer H
			if t.state == completed {
				t.end()
			}
		})
	}
	return true
}

func (t *serverTx) retransmit(interval time.Duration) {
	t.schedule(interval, func() {
		if t.state == completed {
			t.flow.send(t.lastResponse, nil, nil)
			t.retransmit(min(2*interval, t.layer.t.T2))
		}
	})
}
