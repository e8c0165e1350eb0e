package sip

import (
	"net"
	"sync"
)

// udpSocket is the agent's socket for datagrams. It may be bound late: during a hand-over another process of this gatekeeper still has the
// address, and answers the datagrams there until it ends.
type udpSocket struct {
	addr string

	mu      sync.Mutex
	conn    net.PacketConn // nil until it is bound
	serving func(net.PacketConn)
	closed  bool
}

// bind binds the socket, unless that was done before or it is closed, and starts reading if serve was called.
func (s *udpSocket) bind() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil || s.closed {
		return nil
	}
	conn, err := net.ListenPacket("udp", s.addr)
	if err != nil {
		return err
	}
	s.conn = conn
	if s.serving != nil {
		go s.serving(conn)
	}
	return nil
}

// serve starts reading now, or once the socket is bound.
func (s *udpSocket) serve(read func(net.PacketConn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving = read
	if s.conn != nil && !s.closed {
		go read(s.conn)
	}
}

// bound returns the socket, or nil while it is not bound.
func (s *udpSocket) bound() net.PacketConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn
}

// close closes the socket for good.
func (s *udpSocket) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.conn != nil {
		s.conn.Close()
	}
}
