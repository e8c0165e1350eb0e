package transport

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// A read of a connection allocates nothing: it is on the path of every message.
func TestReadAllocatesNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	accepted, err := l.Accept()
	require.NoError(t, err)
	c := NewConn(accepted, nil)
	defer c.Close()
	message, buffer := []byte("x"), make([]byte, 16)
	allocations := testing.AllocsPerRun(1000, func() {
		client.Write(message)
		if n, err := c.Read(buffer); n != 1 || err != nil {
			t.Errorf("read %d, %v", n, err)
		}
	})
	require.Zero(t, allocations)
}
