package sip

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/internal/transport"
)

// udpFlow sends datagrams to one address.
type udpFlow struct {
	pc     net.PacketConn
	addr   net.Addr
	memory *transport.MemoryAccount // of the client's requests; nil if there is no bound
}

func (f udpFlow) send(data []byte, stillWanted func() bool, _ func(error)) error {
	if stillWanted != nil && !stillWanted() {
		return transport.ErrDropped
	}
	_, err := f.pc.WriteTo(data, f.addr)
	return err
}

func (f udpFlow) reliable() bool { return false }
func (f udpFlow) proto() string  { return "UDP" }
func (f udpFlow) remote() string { return f.addr.String() }

// tcpFlow sends on a TCP connection. reconnectAddr, if not empty, is the address to reconnect to if the connection is closed
// when a response is sent (RFC 3261, 18.2.2).
type tcpFlow struct {
	agent         *Agent
	conn          *transport.Conn
	reconnectAddr string
}

func (f *tcpFlow) send(data []byte, stillWanted func() bool, done func(error)) error {
	p := transport.Packet{Data: data, StillWanted: stillWanted}
	if done != nil {
		p.Done = func(err error) {
			if err != nil {
				done(err)
			}
		}
	}
	err := f.conn.Send(p)
	if err != nil && f.reconnectAddr != "" {
		reconnectAddr := f.reconnectAddr
		f.reconnectAddr = ""
		f.agent.connect(reconnectAddr, func(c *transport.Conn, err error) {
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

// Read timeouts of TCP connections.
const (
	messageTimeout      = 2 * time.Second  // for a message to be complete once it has begun
	firstMessageTimeout = 10 * time.Second // for the first message of a caller's connection to begin
)

// readUDP reads datagrams until the socket is closed. Each source's datagrams are handled in its own turns.
func (a *Agent) readUDP(pc net.PacketConn) {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := pc.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error caused by an earlier datagram
		}
		a.sources.add(from, buf[:n])
		runtime.Gosched() // a flood of datagrams must not keep the handling of others waiting
	}
}

// handleDatagram handles a datagram in a turn of its source.
func (a *Agent) handleDatagram(s *datagramSource, data []byte) {
	a.Scheduler.Do(func() { a.parseDatagram(udpFlow{a.udp.bound(), s.addr, s.memory}, data) })
}

// parseDatagram parses a datagram and passes its message to the actor.
func (a *Agent) parseDatagram(f udpFlow, data []byte) {
	m, err := Parse(data)
	if err == ErrTooLong {
		if m, _ = Parse(data[:MaxMessage]); m == nil {
			m, _ = parseHeadOnly(data)
		}
	}
	if err != nil {
		a.badInput.Warn("SIP: bad datagram dropped", logrus.Fields{"peer": f.addr, "error": err})
		a.Post(func() { a.reject(m, f, err) })
		return
	}
	a.Post(func() { a.handleMessage(m, f) })
}

// parseHeadOnly parses the head of a message whose body is truncated or too long.
func parseHeadOnly(data []byte) (*Message, error) {
	end := headEnd(data)
	if end < 0 {
		return nil, ErrMalformed
	}
	m, _, err := parseHead(data[:end])
	return m, err
}

// serveTCP reads a caller's connection until it ends.
func (a *Agent) serveTCP(c *transport.Conn) { a.readTCP(c, nil, a.callerObserver(c)) }

// callerObserver returns a function that reports to Options.OnFirstMessage, once, whether the first message of a caller's
// connection was well-formed. It returns nil if Options.OnFirstMessage is nil. Datagrams are not observed, because their source
// address can be forged.
func (a *Agent) callerObserver(c *transport.Conn) func(wellFormed bool) {
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

// readTCP reads a connection until it ends. server is nil except on a connection to a server. observe, if not nil, is called
// with whether a message could be parsed.
func (a *Agent) readTCP(c *transport.Conn, server *serverConn, observe func(wellFormed bool)) {
	if observe == nil {
		observe = func(bool) {}
	}
	key, first := c.RemoteAddr().String(), true
	a.Post(func() { a.tcpConns[key] = c })
	if server == nil { // a caller that never sends anything must not keep a descriptor forever
		c.SetReadDeadline(time.Now().Add(firstMessageTimeout))
	}
	r := NewConnReader(c, messageTimeout)
	r.scheduler, r.begun = a.Scheduler, c.NoteMessageBegun
	for {
		m, err := r.Next()
		if err == nil {
			c.NoteMessage()
			observe(true)
			if first {
				first = false
				c.SetReadDeadline(time.Time{})
			}
			a.Scheduler.Do(func() {
				a.Post(func() {
					if server != nil {
						server.lastMessage = time.Now()
					}
					a.handleMessage(m, &tcpFlow{agent: a, conn: c})
				})
			})
			continue
		}
		if err == ErrMalformed || err == ErrTooLong || err == ErrIncomplete {
			observe(false)
			a.badInput.Warn("SIP: bad message, connection closed", logrus.Fields{"peer": key, "error": err})
			a.reject(m, &tcpFlow{agent: a, conn: c}, err) // not posted to the actor: the connection is closed soon after
		}
		if errors.Is(err, os.ErrDeadlineExceeded) { // no message arrived in time
			observe(false)
		}
		a.Post(func() {
			if a.tcpConns[key] == c {
				delete(a.tcpConns, key)
			}
			if c.PeerClosed() {
				a.withdrawCalls(c)
			}
			c.Finish()
			if server != nil {
				server.connectionLost(err)
			}
		})
		return
	}
}

// withdrawCalls cancels the pending set-ups of a connection that its caller has closed. RFC 3261, 18.2.2, would allow sending
// their answers on a new connection, but the operators treat a client that closes its connection as gone: it no longer waits
// for an answer.
func (a *Agent) withdrawCalls(c *transport.Conn) {
	for tx, call := range a.pendingCalls {
		if call.conn == c {
			a.core.Withdraw(call.id, call, func(bool) { call.endPending(tx.endWithdrawn) })
		}
	}
}

// connect calls done with a TCP connection to an address: an open one if there is one, else a new one. It is called in the
// actor, and so is done.
func (a *Agent) connect(addr string, done func(*transport.Conn, error)) {
	if c := a.tcpConns[addr]; c != nil {
		done(c, nil)
		return
	}
	go func() {
		c, err := a.Budget.Dial(context.Background(), addr, a.DialTimeout)
		if err == nil {
			go a.readTCP(c, nil, nil)
		}
		a.Post(func() { done(c, err) })
	}()
}

// flowTo calls done with a flow to an address. It is called in the actor, and so is done.
func (a *Agent) flowTo(proto, addr string, done func(flow, error)) {
	switch {
	case proto == "TCP":
		a.connect(addr, func(c *transport.Conn, err error) {
			if err != nil {
				done(nil, err)
				return
			}
			done(&tcpFlow{agent: a, conn: c}, nil)
		})
	case proto == "UDP" && a.udp != nil && a.udp.bound() != nil:
		a.resolve(addr, func(to *net.UDPAddr, err error) {
			if err != nil {
				done(nil, err)
				return
			}
			done(udpFlow{pc: a.udp.bound(), addr: to}, nil)
		})
	default:
		done(nil, errors.New("no socket for transport "+proto))
	}
}

// resolve calls done with the address of a host and port. It is called in the actor, and so is done. A name is looked up outside of it,
// since that may take seconds; the lookup is given up after DialTimeout.
func (a *Agent) resolve(addr string, done func(*net.UDPAddr, error)) {
	if to, err := netip.ParseAddrPort(addr); err == nil {
		done(net.UDPAddrFromAddrPort(to), nil)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), a.DialTimeout)
		defer cancel()
		to, err := a.lookUp(ctx, addr)
		a.Post(func() { done(to, err) })
	}()
}

// lookUp looks up the name in a host and port.
func (a *Agent) lookUp(ctx context.Context, addr string) (*net.UDPAddr, error) {
	host, service, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	port, err := net.DefaultResolver.LookupPort(ctx, "udp", service)
	if err != nil {
		return nil, err
	}
	found, err := a.LookupHost(ctx, host)
	if err != nil {
		return nil, err
	}
	if ip := preferredAddress(found); ip.IsValid() {
		return net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, uint16(port))), nil
	}
	return nil, &net.DNSError{Err: "no address", Name: host, IsNotFound: true}
}

// preferredAddress returns the first IPv4 address, or else the first address, as package net does for "udp".
func preferredAddress(found []string) (preferred netip.Addr) {
	for _, address := range found {
		ip, err := netip.ParseAddr(address)
		if err == nil && (!preferred.IsValid() || ip.Is4() && !preferred.Is4()) {
			preferred = ip
		}
	}
	return preferred
}

// sentBy returns the agent's own address for Via and Contact headers.
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

// contact returns the agent's Contact header.
func (a *Agent) contact(proto string) string {
	return "<sip:beammux@" + a.sentBy(proto) + ";transport=" + strings.ToLower(proto) + ">"
}

// newVia returns a Via header with a new branch.
func (a *Agent) newVia(proto string) string {
	return "SIP/2.0/" + proto + " " + a.sentBy(proto) + ";rport;branch=" + magicCookie + randomToken(8)
}
