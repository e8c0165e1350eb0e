package hollow

import (
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startEchoServer starts a server that echoes all bytes, and returns its address.
func startEchoServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

func TestCutDelaysBytesAndCountsTraffic(t *testing.T) {
	address := startEchoServer(t)
	n, tr := newNetwork(false, map[string]string{address: "east"}), &traffic{}
	c, err := n.dialer("west", tr)(t.Context(), "tcp", address)
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("abc"))
	require.NoError(t, err)
	got := make([]byte, 3)
	_, err = io.ReadFull(c, got)
	require.NoError(t, err)

	_, err = c.Write([]byte("def"))
	require.NoError(t, err)
	n.setCut("west", true)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = c.Read(got)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	dialing, stop := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer stop()
	_, err = n.dialer("west", tr)(dialing, "tcp", address)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	near, err := n.dialer("east", tr)(t.Context(), "tcp", address)
	require.NoError(t, err, "dial within a region that is not cut off")
	near.Close()

	require.NoError(t, c.SetReadDeadline(time.Time{}))
	time.AfterFunc(30*time.Millisecond, func() { n.setCut("west", false) })
	_, err = io.ReadFull(c, got)
	require.NoError(t, err)
	require.Equal(t, "def", string(got), "bytes sent before a partition arrive after it")
	require.EqualValues(t, 6, tr.sent.Load())
	require.EqualValues(t, 6, tr.received.Load())
	require.EqualValues(t, 2, tr.opened.Load())
}

func TestCloseUnblocksReadDuringCut(t *testing.T) {
	address := startEchoServer(t)
	n := newNetwork(false, map[string]string{address: "east"})
	c, err := n.dialer("west", &traffic{})(t.Context(), "tcp", address)
	require.NoError(t, err)
	_, err = c.Write([]byte("abc"))
	require.NoError(t, err)
	n.setCut("east", true)
	time.AfterFunc(30*time.Millisecond, func() { c.Close() })
	_, err = c.Read(make([]byte, 3))
	require.Error(t, err)
}

func TestLatencyIsAddedInBothDirections(t *testing.T) {
	address := startEchoServer(t)
	n := newNetwork(true, map[string]string{address: "east"})
	n.delay.Store(int64(40 * time.Millisecond))
	c, err := n.dialer("west", &traffic{})(t.Context(), "tcp", address)
	require.NoError(t, err)
	defer c.Close()
	began := time.Now()
	_, err = c.Write([]byte("abc"))
	require.NoError(t, err)
	_, err = io.ReadFull(c, make([]byte, 3))
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(began), 80*time.Millisecond)
}
