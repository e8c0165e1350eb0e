package porttest

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// drawn is how many ports a test draws: about two thirds of those that the kernel usually has for it (ip_local_port_range).
const drawn = 18000

// A reserved port refuses connections, is given to nobody who asks for any port, and can be listened at.
func TestReserve(t *testing.T) {
	address := Reserve(t)
	_, err := net.Dial("tcp", address)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)

	for range drawn {
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
	require.NoError(t, err, "once more, as a process that starts again")
	require.NoError(t, l.Close())
}

// The port is not drawn for an outgoing connection either.
func TestReserveAgainstOutgoing(t *testing.T) {
	address := Reserve(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	for range drawn / 4 {
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

// What listened at an address may do so again.
func TestListen(t *testing.T) {
	l := Listen(t)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	require.NoError(t, l.Close())
}

// Addresses drawn together differ.
func TestReserveAll(t *testing.T) {
	seen := map[string]bool{}
	for _, address := range ReserveAll(t, 50) {
		require.False(t, seen[address], address)
		seen[address] = true
	}
}
