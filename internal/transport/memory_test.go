package transport

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against clients that take all memory: with any number of clients that reserve as much as they get, the budget is kept and
// another client gets its part.
func TestGreedyClientsLeaveMemoryForOthers(t *testing.T) {
	const limit, step, clients = 40 << 20, 4 << 10, 341
	const guaranteed = limit / reservedShare / clients
	rapid.Check(t, func(t *rapid.T) {
		b := NewMemoryBudget(limit, clients)
		accounts := make([]*MemoryAccount, rapid.IntRange(1, clients-1).Draw(t, "clients"))
		for i := range accounts {
			accounts[i] = b.NewAccount()
			for accounts[i].Reserve(step) {
			}
		}
		require.LessOrEqual(t, b.Used(), limit)
		other := b.NewAccount()
		require.True(t, other.Reserve(guaranteed), "%d clients have taken %d of %d bytes", len(accounts), b.Used(), limit)
		other.Release(guaranteed)
		require.True(t, other.Empty())
	})
}

// Guards against memory that stays reserved: each byte is returned, also one that is returned later.
func TestReservedMemoryIsReturned(t *testing.T) {
	b := NewMemoryBudget(1<<20, 10)
	a := b.NewAccount()
	require.True(t, a.Reserve(3000))
	a.Release(1000)
	a.ReleaseAfter(2000, time.Millisecond)
	require.Eventually(t, a.Empty, time.Second, time.Millisecond)
	require.Zero(t, b.Used())
	var unbounded *MemoryBudget
	require.True(t, unbounded.NewAccount().Reserve(1<<40))
}

// Guards against answers to clients that read nothing: together they occupy no more than the budget, and such clients are disconnected.
func TestOutputOfClientsThatReadNothingIsBounded(t *testing.T) {
	l, err := Listen("127.0.0.1:0", NewBudget(64, 8))
	require.NoError(t, err)
	defer l.Close()
	const limit = 256 << 10
	conns := make(chan *Conn, 8)
	l.Memory.Output = NewMemoryBudget(limit, cap(conns))
	go l.Serve(func(c *Conn) {
		conns <- c
		<-c.Closed()
	})
	for range cap(conns) {
		dialLoopback(t, l.Addr().String())
	}
	closed := 0
	for range cap(conns) {
		c := <-conns
		for range 10000 {
			if err := c.Send(Packet{Data: make([]byte, 4<<10)}); err != nil {
				require.ErrorIs(t, err, ErrOverflow)
				closed++
				break
			}
		}
		require.LessOrEqual(t, l.Memory.Output.Used(), limit)
	}
	require.Equal(t, cap(conns), closed)
	require.Eventually(t, func() bool { return l.Memory.Output.Used() == 0 }, time.Second, time.Millisecond, "the queues of closed connections")
}
