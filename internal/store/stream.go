package store

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// streamLayer is a raft.StreamLayer that shares one listener between raft and the client port. The first byte of a connection
// selects the protocol.
type streamLayer struct {
	net.Listener
	advertised string // this member's address in the group's configuration; "": the listener's address
	via        map[string]string
	raft       chan net.Conn
	done       chan struct{}
	once       sync.Once
	serve      func(net.Conn)
}

// First byte of a connection.
const (
	raftByte    = 'R' // raft
	forwardByte = 'F' // a command of a client or of another member
)

func newStreamLayer(l net.Listener, serve func(net.Conn), advertised string, via map[string]string) *streamLayer {
	s := &streamLayer{Listener: l, advertised: advertised, via: via, raft: make(chan net.Conn), done: make(chan struct{}), serve: serve}
	go s.run()
	return s
}

// run accepts connections until the listener is closed.
func (s *streamLayer) run() {
	for {
		c, err := s.Listener.Accept()
		if err != nil {
			s.Close()
			return
		}
		go s.sniff(c)
	}
}

// sniff reads the first byte of a connection and passes the connection to raft or to serve.
func (s *streamLayer) sniff(c net.Conn) {
	var first [1]byte
	c.SetReadDeadline(time.Now().Add(sniffTimeout))
	_, err := io.ReadFull(c, first[:])
	c.SetReadDeadline(time.Time{})
	switch {
	case err == nil && first[0] == forwardByte:
		s.serve(c)
	case err == nil && first[0] == raftByte:
		select {
		case s.raft <- c:
		case <-s.done:
			c.Close()
		}
	default:
		c.Close()
	}
}

// Accept implements raft.StreamLayer.
func (s *streamLayer) Accept() (net.Conn, error) {
	select {
	case c := <-s.raft:
		return c, nil
	case <-s.done:
		return nil, net.ErrClosed
	}
}

// Addr implements raft.StreamLayer. Followers use it as the address of their leader.
func (s *streamLayer) Addr() net.Addr {
	if s.advertised == "" {
		return s.Listener.Addr()
	}
	return advertisedAddr(s.advertised)
}

// advertisedAddr is a net.Addr with the address in the group's configuration, which need not be an address of this machine.
type advertisedAddr string

func (advertisedAddr) Network() string  { return "tcp" }
func (n advertisedAddr) String() string { return string(n) }

// Close implements raft.StreamLayer.
func (s *streamLayer) Close() error {
	s.once.Do(func() { close(s.done) })
	return s.Listener.Close()
}

// Dial implements raft.StreamLayer.
func (s *streamLayer) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", dialAddress(s.via, string(addr)), timeout)
	if err != nil {
		return nil, err
	}
	if _, err = c.Write([]byte{raftByte}); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}
