package fleet

import (
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport is the library's own, with three things added: what a member advertises need not be where it listens, members
// may be reached through other addresses (a forwarded port, a relay), and what is sent is counted.
type transport struct {
	*memberlist.NetTransport
	host net.IP
	port int
	via  map[string]string

	packets, bytes, streams atomic.Int64
}

// FinalAdvertiseAddr implements memberlist.Transport.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) { return t.host, t.port, nil }

func (t *transport) through(addr string) string {
	if to, ok := t.via[addr]; ok {
		return to
	}
	return addr
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	t.packets.Add(1)
	t.bytes.Add(int64(len(b)))
	a.Addr = t.through(a.Addr)
	return t.NetTransport.WriteToAddress(b, a)
}

// WriteTo implements memberlist.Transport.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	t.streams.Add(1)
	a.Addr = t.through(a.Addr)
	c, err := t.NetTransport.DialAddressTimeout(a, timeout)
	if err != nil {
		return nil, err
	}
	return &countedConn{c, t}, nil
}

// DialTimeout implements memberlist.Transport.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

type countedConn struct {
	net.Conn
	t *transport
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.t.bytes.Add(int64(n))
	return n, err
}

// splitHostPort reads HOST:PORT with an IP address.
func splitHostPort(addr string) (net.IP, int, bool) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, 0, false
	}
	ip := net.ParseIP(host)
	n, err := strconv.Atoi(port)
	return ip, n, err == nil && ip != nil && n >= 0 && n <= 65535
}

// CheckAddress says what is wrong with an address that the gossip listens on or advertises: it must be IP:PORT.
func CheckAddress(addr string) error {
	if _, _, ok := splitHostPort(addr); !ok {
		return &net.AddrError{Err: "is not IP:PORT", Addr: addr}
	}
	return nil
}
