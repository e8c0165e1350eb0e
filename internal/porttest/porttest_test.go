package porttest

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// portsRequested is the number of ephemeral ports that a test requests: about two thirds of the kernel's usual range (ip_local_port_range).
const portsRequested = 18000

// A reserved port refuses connections, is not assigned to a listener on port 0, and accepts a listener that requests it by number.
func TestReserve(t *testing.T) {
	address := Reserve(t)
	_, err := net.Dial("tcp", address)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)

	for range portsRequested {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		require.NotEqual(t, address, l.Addr().String())
		require.NoError(t, l.Close())
	}

	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	require.NoError(t, c.Close())
	require.NoError(t, l.Close())
	l, err = net.Listen("tcp", address)
	require.NoError(t, err, "listen again, as a restarted process does")
	require.NoError(t, l.Close())
}

// A reserved port is not assigned to an outgoing connection.
func TestReserveAgainstOutgoing(t *testing.T) {
	address := Reserve(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	for range portsRequested / 4 {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		require.NotEqual(t, address, c.LocalAddr().String())
		require.NoError(t, c.(*net.TCPConn).SetLinger(0)) // leaves no port in TIME-WAIT
		require.NoError(t, c.Close())
		far, err := l.Accept()
		require.NoError(t, err)
		far.Close()
	}
}

// A test can listen again at an address returned by Listen after it closes the listener.
func TestListen(t *testing.T) {
	l := Listen(t)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	require.NoError(t, l.Close())
}

// ReserveAll returns distinct addresses.
func TestReserveAll(t *testing.T) {
	seen := map[string]bool{}
	for _, address := range ReserveAll(t, 50) {
		require.False(t, seen[address], address)
		seen[address] = true
	}
}
