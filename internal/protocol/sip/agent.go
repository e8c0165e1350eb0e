package sip

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/internal/actor"
	"beammux/internal/routing"
	"beammux/internal/transport"
)

// Core is the part of the routing core that the front needs.
type Core interface {
	Open(routing.Setup, routing.Caller)
	Withdraw(id string, caller routing.Caller, done func(inTime bool))
	Hangup(id string, cause int, caller routing.Caller, done func(known bool))
	// Unreadable counts a set-up that was refused before the core saw it: class is its place in the settings, or -1.
	Unreadable(class int)
}

// Dialogs keeps records of calls that stand, for the next start. Its methods must not block.
type Dialogs interface {
	Put(key string, value []byte)
	Delete(key string)
}

// Options say how an Agent works.
type Options struct {
	Classes      []string         // names, in the order of the settings
	Deadlines    []control.Micros // and how long a caller of each waits
	DefaultClass string           // of a caller that names none
	Reports      []string         // names of a report's values
	Timers       Timers
	DialTimeout  time.Duration
	Budget       *transport.Budget
	Dialogs      Dialogs // may be nil
	Log          logrus.FieldLogger
}

// Agent is a back-to-back user agent: SIP callers on one side, the core's lines to SIP servers on the other. All of
// it, transactions and dialogs included, belongs to one actor.
type Agent struct {
	*actor.Actor
	Options
	core     Core
	layer    *layer
	udp      net.PacketConn
	tcp      *transport.Listener
	conns    map[string]*transport.Conn // TCP, by remote address
	calls    map[*serverTx]*uasCall     // set-ups of callers that have no final answer
	dialogs  map[string]*dialog         // by key
	byID     map[string]*dialog         // by the core's id and side
	lines    map[string]*line           // by the server's address
	draining bool
	closing  bool // set-ups are refused: the process ends
	once     sync.Once
}

// The times that a TCP connection has.
const (
	requestWithin = 2 * time.Second  // for a message that has begun
	silentFor     = 10 * time.Second // for a caller's first message
)

const allow = "INVITE, ACK, CANCEL, BYE, OPTIONS, NOTIFY"

// NewAgent makes an agent that listens nowhere yet.
func NewAgent(core Core, o Options) *Agent {
	if o.Timers == (Timers{}) {
		o.Timers = DefaultTimers
	}
	a := &Agent{Actor: actor.New(), Options: o, core: core, conns: map[string]*transport.Conn{},
		calls: map[*serverTx]*uasCall{}, dialogs: map[string]*dialog{}, byID: map[string]*dialog{},
		lines: map[string]*line{}}
	a.layer = newLayer(o.Timers, a.After)
	return a
}

// Listen opens the front's sockets; an empty address leaves one out. It is called once, before any server is dialled:
// lines over UDP use the same socket. Nothing is read before Serve.
func (a *Agent) Listen(udp, tcp string) error {
	if udp != "" {
		pc, err := net.ListenPacket("udp", udp)
		if err != nil {
			return err
		}
		a.udp = pc
	}
	if tcp != "" {
		l, err := transport.Listen(tcp, a.Budget)
		if err != nil {
			if a.udp != nil {
				a.udp.Close()
			}
			return err
		}
		a.tcp = l
	}
	return nil
}

// Serve starts to take what comes, once the servers are known.
func (a *Agent) Serve() {
	if a.udp != nil {
		go a.readUDP(a.udp)
	}
	if a.tcp != nil {
		go a.tcp.Serve(a.serveTCP)
	}
}

// Addr gives the address on which the agent listens for a transport, or "".
func (a *Agent) Addr(proto string) string {
	switch {
	case proto == "UDP" && a.udp != nil:
		return a.udp.LocalAddr().String()
	case proto == "TCP" && a.tcp != nil:
		return a.tcp.Addr().String()
	}
	return ""
}

// Drain fails the tests that are asked for from now on. Set-ups are still taken: whether one is refused is decided by
// the module alone.
func (a *Agent) Drain() { a.Post(func() { a.draining = true }) }

// TurnAway refuses the set-ups that come from now on: the process ends once what came before is answered.
func (a *Agent) TurnAway() { a.Post(func() { a.closing = true }) }

// Close ends the agent's sockets, once it has sent what it was told to send.
func (a *Agent) Close() { a.once.Do(a.close) }

func (a *Agent) close() {
	sent := make(chan struct{})
	a.Post(func() { close(sent) })
	<-sent
	if a.tcp != nil {
		a.tcp.Close()
		a.tcp.Finish(a.Timers.T1)
	}
	if a.udp != nil {
		a.udp.Close()
	}
	a.Stop()
}

// ---- Transports ----

type udpFlow struct {
	pc   net.PacketConn
	addr net.Addr
}

func (f udpFlow) send(data []byte, still func() bool, _ func(error)) error {
	if still != nil && !still() {
		return transport.ErrDropped
	}
	_, err := f.pc.WriteTo(data, f.addr)
	return err
}

func (f udpFlow) reliable() bool { return false }
func (f udpFlow) proto() string  { return "UDP" }
func (f udpFlow) remote() string { return f.addr.String() }

// tcpFlow is a connection. back is where to connect again when a response finds it closed (18.2.2).
type tcpFlow struct {
	agent *Agent
	conn  *transport.Conn
	back  string
}

func (f *tcpFlow) send(data []byte, still func() bool, done func(error)) error {
	p := transport.Packet{Data: data, Still: still}
	if done != nil {
		p.Done = func(err error) {
			if err != nil {
				done(err)
			}
		}
	}
	err := f.conn.Send(p)
	if err != nil && f.back != "" {
		back := f.back
		f.back = ""
		f.agent.connect(back, func(c *transport.Conn, err error) {
			if err == nil {
				f.conn = c
				c.Send(p)
			}
		})
		return nil
	}
	return err
}

func (f *tcpFlow) reliable() bool { return true }
func (f *tcpFlow) proto() string  { return "TCP" }
func (f *tcpFlow) remote() string { return f.conn.RemoteAddr().String() }

func (a *Agent) readUDP(pc net.PacketConn) {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := pc.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error of an earlier datagram
		}
		f := udpFlow{pc, from}
		m, err := Parse(buf[:n])
		if err == ErrTooLong {
			if m, _ = Parse(buf[:min(n, MaxMessage)]); m == nil {
				m, _ = headOnly(buf[:n])
			}
		}
		if err != nil {
			a.Log.WithField("peer", from).WithError(err).Warn("SIP: bad datagram dropped")
			a.Post(func() { a.reject(m, f, err) })
			continue
		}
		a.Post(func() { a.take(m, f) })
	}
}

// headOnly reads the head of a message whose body is cut or too long.
func headOnly(data []byte) (*Message, error) {
	end := headEnd(data)
	if end < 0 {
		return nil, ErrMalformed
	}
	m, _, err := parseHead(data[:end])
	return m, err
}

func (a *Agent) serveTCP(c *transport.Conn) { a.readTCP(c, nil) }

// readTCP reads a connection until it ends. l, if not nil, is the line whose connection it is.
func (a *Agent) readTCP(c *transport.Conn, l *line) {
	key, first := c.RemoteAddr().String(), true
	a.Post(func() { a.conns[key] = c })
	if l == nil { // a caller that says nothing must not hold a descriptor for good
		c.SetReadDeadline(time.Now().Add(silentFor))
	}
	r := NewConnReader(c, requestWithin)
	for {
		m, err := r.Next()
		if err == nil {
			c.Spoke()
			if first {
				first = false
				c.SetReadDeadline(time.Time{})
			}
			a.Post(func() {
				if l != nil {
					l.heard = time.Now()
				}
				a.take(m, &tcpFlow{agent: a, conn: c})
			})
			continue
		}
		if err == ErrMalformed || err == ErrTooLong || err == ErrStopped {
			a.Log.WithField("peer", key).WithError(err).Warn("SIP: bad message, connection closed")
			a.reject(m, &tcpFlow{agent: a, conn: c}, err) // at once: the connection is closed when this returns
		}
		a.Post(func() {
			if a.conns[key] == c {
				delete(a.conns, key)
			}
			if c.Left() {
				a.left(c)
			}
			c.Finish()
			if l != nil {
				l.down(err)
			}
		})
		return
	}
}

// left gives up the set-ups that came on a connection which its caller has closed. RFC 3261 would let their answers go on a
// new one (18.2.2); to the operators a client that closes its connection has gone, and nobody waits for an answer.
func (a *Agent) left(c *transport.Conn) {
	for t, k := range a.calls {
		if k.conn == c {
			a.core.Withdraw(k.id, k, func(inTime bool) {
				if inTime {
					a.Post(func() {
						k.settled()
						t.end()
					})
				}
			})
		}
	}
}

// connect gives a TCP connection to an address: an open one, or a new one. then runs in the actor.
func (a *Agent) connect(addr string, then func(*transport.Conn, error)) {
	if c := a.conns[addr]; c != nil {
		then(c, nil)
		return
	}
	go func() {
		c, err := a.Budget.Dial(context.Background(), addr, a.DialTimeout)
		if err == nil {
			go a.readTCP(c, nil)
		}
		a.Post(func() { then(c, err) })
	}()
}

// reach gives a flow to an address. then runs in the actor.
func (a *Agent) reach(proto, addr string, then func(flow, error)) {
	switch {
	case proto == "TCP":
		a.connect(addr, func(c *transport.Conn, err error) {
			if err != nil {
				then(nil, err)
				return
			}
			then(&tcpFlow{agent: a, conn: c}, nil)
		})
	case proto == "UDP" && a.udp != nil:
		to, err := net.ResolveUDPAddr("udp", addr)
		if err != nil {
			then(nil, err)
			return
		}
		then(udpFlow{a.udp, to}, nil)
	default:
		then(nil, errors.New("no socket for transport "+proto))
	}
}

// sentBy is what Via and Contact say of this agent.
func (a *Agent) sentBy(proto string) string {
	if addr := a.Addr(proto); addr != "" {
		return addr
	}
	for _, p := range []string{"TCP", "UDP"} {
		if addr := a.Addr(p); addr != "" {
			return addr
		}
	}
	return "127.0.0.1"
}

func (a *Agent) contact(proto string) string {
	return "<sip:beammux@" + a.sentBy(proto) + ";transport=" + strings.ToLower(proto) + ">"
}

func (a *Agent) newVia(proto string) string {
	return "SIP/2.0/" + proto + " " + a.sentBy(proto) + ";rport;branch=" + magicCookie + token(8)
}

// ---- Messages ----

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
		a.core.Unreadable(slices.Index(a.Classes, cmp.Or(m.Get("X-Cos"), a.DefaultClass)))
	}
}

func (a *Agent) take(m *Message, f flow) {
	if !m.IsRequest() {
		if !a.layer.response(m) {
			a.stray(m, f)
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
		if l := a.lines[f.proto()+"|"+f.remote()]; l != nil {
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

// stray takes a 2xx whose transaction is gone: the set-up had been given up, so the call is confirmed and released.
func (a *Agent) stray(m *Message, f flow) {
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

// ---- Dialogs ----

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
	a.routed(d, func(f flow, err error) {
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

// routed gives the flow for a request inside a dialog: the dialog's connection while it is open, else its next hop.
func (a *Agent) routed(d *dialog, then func(flow, error)) {
	if t, ok := d.flow.(*tcpFlow); ok && len(d.Routes) == 0 {
		select {
		case <-t.conn.Gone():
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
	a.reach(proto, addr, then)
}

// ack confirms a 2xx. Each retransmission of the 2xx is answered by another.
func (a *Agent) ack(d *dialog) {
	m := d.request("ACK")
	a.routed(d, func(f flow, err error) {
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
	if l := d.line; l != nil {
		if now := a.lines[l.key]; now != nil {
			l = now // the line may have been opened anew since the set-up
		}
		l.events.Released(d.ID, why, parseReport(m.Get("X-Occupancy"), a.Reports))
		return
	}
	if other := a.byID[d.ID+"/caller"]; other != nil {
		a.hangup(other, why)
	}
}
