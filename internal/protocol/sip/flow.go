package sip

import (
	"context"
	"errors"
	"net"
	"os"
	"strings"
	"time"

	"beammux/internal/transport"
)

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
	p := transport.Packet{Data: data, StillWanted: still}
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

// The times that a TCP connection has.
const (
	requestTimeout      = 2 * time.Second  // for a message that has begun
	firstMessageTimeout = 10 * time.Second // for a caller's first message
)

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
		a.Post(func() { a.handle(m, f) })
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

// serveTCP reads a caller's connection.
func (a *Agent) serveTCP(c *transport.Conn) { a.readTCP(c, nil, a.observer(c)) }

// observer gives a function that tells Options.Seen once what a caller's connection has brought. Datagrams are not observed: anybody
// can write another's address into them.
func (a *Agent) observer(c *transport.Conn) func(wellFormed bool) {
	if a.OnFirstMessage == nil {
		return nil
	}
	reported := false
	return func(wellFormed bool) {
		if !reported {
			reported = true
			a.OnFirstMessage(transport.AddressOf(c.RemoteAddr()), wellFormed)
		}
	}
}

// readTCP reads a connection until it ends. server is not nil on a connection to a server; seen is not nil on a caller's that is
// observed, and called with whether its first message could be read.
func (a *Agent) readTCP(c *transport.Conn, server *serverConn, seen func(wellFormed bool)) {
	if seen == nil {
		seen = func(bool) {}
	}
	key, first := c.RemoteAddr().String(), true
	a.Post(func() { a.conns[key] = c })
	if server == nil { // a caller that says nothing must not hold a descriptor for good
		c.SetReadDeadline(time.Now().Add(firstMessageTimeout))
	}
	r := NewConnReader(c, requestTimeout)
	for {
		m, err := r.Next()
		if err == nil {
			c.NoteMessage()
			seen(true)
			if first {
				first = false
				c.SetReadDeadline(time.Time{})
			}
			a.Post(func() {
				if server != nil {
					server.lastMessage = time.Now()
				}
				a.handle(m, &tcpFlow{agent: a, conn: c})
			})
			continue
		}
		if err == ErrMalformed || err == ErrTooLong || err == ErrStopped {
			seen(false)
			a.Log.WithField("peer", key).WithError(err).Warn("SIP: bad message, connection closed")
			a.reject(m, &tcpFlow{agent: a, conn: c}, err) // at once: the connection is closed when this returns
		}
		if errors.Is(err, os.ErrDeadlineExceeded) { // it has said nothing
			seen(false)
		}
		a.Post(func() {
			if a.conns[key] == c {
				delete(a.conns, key)
			}
			if c.PeerClosed() {
				a.callerLeft(c)
			}
			c.Finish()
			if server != nil {
				server.down(err)
			}
		})
		return
	}
}

// callerLeft gives up the set-ups that came on a connection which its caller has closed. RFC 3261 would let their answers go on a
// new one (18.2.2); to the operators a client that closes its connection has gone, and nobody waits for an answer.
func (a *Agent) callerLeft(c *transport.Conn) {
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

// connect passes then a TCP connection to an address: an open one, or a new one. then runs in the actor.
func (a *Agent) connect(addr string, then func(*transport.Conn, error)) {
	if c := a.conns[addr]; c != nil {
		then(c, nil)
		return
	}
	go func() {
		c, err := a.Budget.Dial(context.Background(), addr, a.DialTimeout)
		if err == nil {
			go a.readTCP(c, nil, nil)
		}
		a.Post(func() { then(c, err) })
	}()
}

// flowTo passes then a flow to an address. then runs in the actor.
func (a *Agent) flowTo(proto, addr string, then func(flow, error)) {
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
