package sip

import (
	"errors"
	"strings"
	"time"

	"beammux/internal/routing"
	"beammux/internal/transport"
)

// Timers are the base values of the transaction timers (RFC 3261, 17): T1 is the round-trip time estimate, T2 the maximum
// retransmission interval, and T4 the maximum time a message stays in the network.
type Timers struct{ T1, T2, T4 time.Duration }

// DefaultTimers are the values recommended by RFC 3261.
var DefaultTimers = Timers{500 * time.Millisecond, 4 * time.Second, 5 * time.Second}

// Errors that end a client transaction without a final response.
var (
	errTimeout = errors.New("no final response in time")
)

// flow sends messages to the peer of a transaction.
type flow interface {
	// send never blocks. done, if not nil, is called if sending fails after send has returned. stillWanted, if not nil, is
	// called just before the first byte is written; if it returns false, nothing is written.
	send(data []byte, stillWanted func() bool, done func(error)) error
	reliable() bool // a stream transport: nothing is retransmitted
	proto() string  // transport as in Via, "UDP" or "TCP"
	remote() string // address of the peer
}

// txState is the state of a transaction.
type txState int

// States of the four transaction state machines. The accepted state is defined by RFC 6026: it absorbs retransmissions after a
// 2xx.
const (
	calling    txState = iota // INVITE client
	trying                    // non-INVITE, both sides
	proceeding                // all machines
	completed                 // all machines
	accepted                  // INVITE, both sides
	confirmed                 // INVITE server
	terminated                // all machines
)

// transactionLayer holds the client and server transactions. It is owned by one actor, which runs all methods and timer
// functions.
type transactionLayer struct {
	after   func(time.Duration, func()) *time.Timer
	t       Timers
	clients map[string]*clientTx // by branch and method
	servers map[string]*serverTx // by serverKey
}

func newTransactionLayer(t Timers, after func(time.Duration, func()) *time.Timer) *transactionLayer {
	return &transactionLayer{after: after, t: t, clients: map[string]*clientTx{}, servers: map[string]*serverTx{}}
}

// timers are the running timers of a transaction. All are stopped when it ends. A timer that has already fired does nothing,
// because its function checks for the terminated state.
type timers []*time.Timer

func (ts *timers) stop() {
	for _, t := range *ts {
		t.Stop()
	}
	*ts = nil
}

// clientTx is a client transaction: INVITE (RFC 3261, 17.1.1) or any other method (17.1.2).
type clientTx struct {
	layer             *transactionLayer
	key               string
	req               *Message
	data              []byte // the encoded request
	flow              flow
	state             txState
	timers            timers
	stillWanted       func() bool
	retransmitStopped bool   // cancelled before any response: the request is not retransmitted, but a late response is still handled
	ack               []byte // the encoded ACK for an error response
	onResponse        func(*Message)
	onEnd             func(error) // called if the transaction ends without a final response
}

func (t *clientTx) invite() bool { return t.req.Method == "INVITE" }

// request starts a client transaction and sends its request, whose topmost Via has the branch. stillWanted, which may be nil,
// is called before each transmission, because no late copy may be sent to a draining server.
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

// schedule runs f after d, unless the transaction has terminated by then.
func (t *clientTx) schedule(d time.Duration, f func()) {
	t.timers = append(t.timers, t.layer.after(d, func() {
		if t.state != terminated {
			f()
		}
	}))
}

// transmit sends the request, and reports whether that succeeded. A failure ends the transaction, also one that is reported
// later.
func (t *clientTx) transmit(first bool) bool {
	if !first && t.stillWanted != nil && !t.stillWanted() {
		t.fail(errTimeout) // not ErrDropped: the server may have processed an earlier copy
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

// retransmit sends the request again and schedules the next retransmission (RFC 3261, timers A and E).
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

// stopRetransmits ends the transmission of the request. A late response is still handled.
func (t *clientTx) stopRetransmits() {
	t.retransmitStopped = true
	t.dropRequest()
}

// dropRequest releases the encoded request and its body, which are not sent any more. The headers stay for an ACK or a CANCEL.
func (t *clientTx) dropRequest() {
	t.data = nil
	t.req.Body = nil
}

// fail ends a transaction without a final response.
func (t *clientTx) fail(err error) {
	if t.state >= completed {
		return
	}
	t.end()
	t.onEnd(err)
}

// end terminates and removes a transaction.
func (t *clientTx) end() {
	t.state = terminated
	t.timers.stop()
	if t.layer.clients[t.key] == t {
		delete(t.layer.clients, t.key)
	}
}

// linger keeps a transaction in a state for a time, so that it absorbs retransmissions. With a time of 0 it ends at once.
func (t *clientTx) linger(s txState, d time.Duration) {
	t.timers.stop()
	t.state = s
	t.dropRequest()
	if d == 0 {
		t.end()
		return
	}
	t.schedule(d, t.end)
}

// deliverResponse passes a response to its client transaction, and reports whether there is one (RFC 3261, 17.1.3).
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

// receive processes a response.
func (t *clientTx) receive(m *Message) {
	switch {
	case t.state == completed:
		if t.invite() && m.Status >= 300 { // the ACK was lost
			t.flow.send(t.ack, nil, nil)
		}
	case t.state == accepted:
		if m.Status >= 200 && m.Status < 300 {
			t.onResponse(m) // a retransmission, or the 2xx of another fork
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

// ackTo returns the ACK for an error response (RFC 3261, 17.1.1.3). It belongs to the INVITE's transaction and has its branch.
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

// cancel returns the CANCEL for an INVITE (RFC 3261, 9.1).
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

// serverTx is a server transaction: INVITE (RFC 3261, 17.2.1) or any other method (17.2.2).
type serverTx struct {
	layer        *transactionLayer
	key          string
	req          *Message
	flow         flow
	state        txState
	timers       timers
	lastResponse []byte
	invite       bool
	stateless    bool // it is not in the layer, and ends with its final response (RFC 3261, 8.2.7)
	memory       *transport.MemoryAccount
	reserved     int // bytes of memory
}

// Memory of a server transaction.
const (
	pendingTxMemory = 4 << 10 // bytes of one that waits for its final response, without the copies of its message
	messageCopies   = 3       // the request, its description at a server, and the answer
	endedTxMemory   = 1 << 10 // bytes of one that has its final response, without that response
	ackedTxMemory   = 512     // bytes of one whose final response was confirmed
)

// pendingMemory returns the bytes that a transaction of a request occupies until its final response.
func pendingMemory(m *Message) int { return pendingTxMemory + messageCopies*m.size }

// newStateless returns a transaction of a request whose retransmission may be processed again: it occupies no memory after its response.
func (layer *transactionLayer) newStateless(m *Message, f flow) *serverTx {
	return &serverTx{layer: layer, req: m, flow: f, state: trying, stateless: true}
}

// knows reports whether a request belongs to a server transaction.
func (layer *transactionLayer) knows(m *Message) bool {
	key, ok := serverKey(m, m.Method)
	return ok && layer.servers[key] != nil
}

// shrink releases the reserved memory beyond n bytes.
func (t *serverTx) shrink(n int) {
	if t.reserved > n {
		t.memory.Release(t.reserved - n)
		t.reserved = n
	}
}

// serverKey returns the key of the server transaction of a request (RFC 3261, 17.2.3), and whether the branch is valid. The ACK
// for an error belongs to the INVITE's transaction; a CANCEL has a transaction of its own.
func serverKey(m *Message, method string) (string, bool) {
	v, err := m.topVia()
	if err != nil || !strings.HasPrefix(v.params["branch"], magicCookie) || len(v.params["branch"]) == len(magicCookie) {
		return "", false
	}
	return v.params["branch"] + "|" + strings.ToLower(v.sentBy) + "|" + method, true
}

// accept matches a request to its server transaction, or creates one. isNew reports whether the transaction is new, so that the
// request must be answered; otherwise the request is a retransmission or an ACK, and an existing transaction has absorbed it. t
// is nil for an ACK without a transaction and for a request without a valid branch.
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
	t = &serverTx{layer: layer, key: key, req: m, flow: f, state: trying, invite: m.Method == "INVITE"}
	if t.invite {
		t.state = proceeding
	}
	layer.servers[key] = t
	return t, true
}

// absorb handles a retransmission of the request, or the ACK for an error.
func (t *serverTx) absorb(m *Message) {
	if m.Method == "ACK" {
		if t.state == completed {
			t.timers.stop()
			t.state = confirmed
			t.lastResponse = nil
			t.shrink(ackedTxMemory)
			d := t.layer.t.T4 // timer I
			if t.flow.reliable() {
				d = 0
			}
			t.schedule(d, t.end)
		}
		return
	}
	// A retransmission in the accepted state gets no response: the 2xx is retransmitted by its dialog.
	if t.lastResponse != nil && (t.state == proceeding || t.state == completed) {
		t.flow.send(t.lastResponse, nil, nil)
	}
}

// schedule runs f after d, unless the transaction has terminated by then.
func (t *serverTx) schedule(d time.Duration, f func()) {
	t.timers = append(t.timers, t.layer.after(d, func() {
		if t.state != terminated {
			f()
		}
	}))
}

// end terminates and removes a transaction.
func (t *serverTx) end() {
	t.state = terminated
	t.timers.stop()
	delete(t.layer.servers, t.key)
	t.shrink(0)
}

// acknowledged ends the transaction of an INVITE with a 2xx whose ACK has arrived, once late copies of the INVITE can't arrive any more.
func (t *serverTx) acknowledged() {
	if t.state == accepted {
		t.timers.stop()
		t.shrink(ackedTxMemory)
		t.schedule(t.layer.t.T4, t.end)
	}
}

// endWithdrawn ends the transaction of a set-up that its caller has given up. A server may still answer, so some memory stays reserved.
func (t *serverTx) endWithdrawn() {
	t.memory.ReleaseAfter(min(t.reserved, endedTxMemory), routing.LateAnswerTime)
	t.reserved = max(0, t.reserved-endedTxMemory)
	t.end()
}

// respond sends a response, and reports whether it did. A response after the final one is dropped, because a request has only
// one final response.
func (t *serverTx) respond(m *Message) bool {
	if t.state >= completed {
		return false
	}
	data := m.Append(nil)
	t.flow.send(data, nil, nil)
	if t.stateless {
		t.state = completed
		return true
	}
	t.lastResponse = data
	if m.Status >= 200 {
		t.req = nil
		t.shrink(endedTxMemory + len(data))
	}
	switch {
	case m.Status < 200:
		t.state = proceeding
	case !t.invite:
		t.state = completed
		d := 64 * t.layer.t.T1 // timer J
		if t.flow.reliable() {
			d = 0
		}
		t.schedule(d, t.end)
	case m.Status < 300:
		t.state = accepted
		t.lastResponse = nil               // the dialog retransmits it
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

// retransmit sends the final error again until its ACK arrives (RFC 3261, timer G).
func (t *serverTx) retransmit(interval time.Duration) {
	t.schedule(interval, func() {
		if t.state == completed {
			t.flow.send(t.lastResponse, nil, nil)
			t.retransmit(min(2*interval, t.layer.t.T2))
		}
	})
}
