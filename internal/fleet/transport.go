package fleet

import (
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport extends memberlist.NetTransport in three ways: the advertised address may differ from the listen address, members
// may be dialed at another address than they advertise (a forwarded port, a relay), and sent packets, streams and bytes are
// counted.
type transport struct {
	*memberlist.NetTransport
	host net.IP
	port int
	via  map[string]string

	packets, bytes, streams atomic.Int64
}

// FinalAdvertiseAddr implements memberlist.Transport.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) { return t.host, t.port, nil }

// dialAddress returns the address to dial for an advertised address.
func (t *transport) dialAddress(addr string) string {
	if target, ok := t.via[addr]; ok {
		return target
	}
	return addr
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	t.packets.Add(1)
	t.bytes.Add(int64(len(b)))
	a.Addr = t.dialAddress(a.Addr)
	return t.NetTransport.WriteToAddress(b, a)
}

// WriteTo implements memberlist.Transport.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	t.streams.Add(1)
	a.Addr = t.dialAddress(a.Addr)
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

// countedConn counts the bytes written to a stream.
type countedConn struct {
	net.Conn
	t *transport
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.t.bytes.Add(int64(n))
	return n, err
}

// splitHostPort parses IP:PORT and reports whether addr has that form.
func splitHostPort(addr string) (net.IP, int, bool) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, 0, false
	}
	ip := net.ParseIP(host)
	n, err := strconv.Atoi(port)
	return ip, n, err == nil && ip != nil && n >= 0 && n <= 65535
}

// CheckAddress returns an error unless addr has the form IP:PORT that the bind and advertise addresses of the gossip require.
func CheckAddress(addr string) error {
	if _, _, ok := splitHostPort(addr); !ok {
		return &net.AddrError{Err: "is not IP:PORT", Addr: addr}
	}
	return nil
}
