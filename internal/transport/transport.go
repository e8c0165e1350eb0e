package transport

import (
	"context"
	"errors"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrBudget says that no descriptor is to spare.
var ErrBudget = errors.New("descriptor budget is used up")

// Budget counts descriptors, so that the process stays under its limit. The last part is kept for servers: callers
// that come in great number must not keep the gatekeeper from dialling.
type Budget struct {
	max, reserve int64
	used         atomic.Int64
}

// NewBudget allows max descriptors in all, of which callers may not take the last reserve.
func NewBudget(max, reserve int) *Budget { return &Budget{max: int64(max), reserve: int64(reserve)} }

func (b *Budget) take(limit int64) bool {
	if b.used.Add(1) > limit {
		b.used.Add(-1)
		return false
	}
	return true
}

// Used is the number of descriptors held.
func (b *Budget) Used() int { return int(b.used.Load()) }

func (b *Budget) give() { b.used.Add(-1) }

// Dial opens a TCP connection within a time.
func (b *Budget) Dial(ctx context.Context, addr string, timeout time.Duration) (*Conn, error) {
	if !b.take(b.max) {
		return nil, ErrBudget
	}
	d := net.Dialer{Timeout: timeout}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		b.give()
		return nil, err
	}
	return NewConn(nc, b.give), nil
}

var shared = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); e != nil {
		return e
	}
	return err
}}

// Listener takes in connections and hands each to a handler in a goroutine of its own.
type Listener struct {
	net.Listener
	budget *Budget
	wg     sync.WaitGroup
	mu     sync.Mutex
	conns  map[*Conn]struct{}

	// Away, if not nil, tells whether a caller's address is turned away at the door. It is set before Serve.
	Away func(address string) bool
}

// Listen binds a TCP address. The address may be shared with another process that binds it the same way
// (SO_REUSEPORT): at a hand-over the new process takes its share of new connections while the old one drains.
func Listen(addr string, budget *Budget) (*Listener, error) {
	l, err := shared.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: l, budget: budget, conns: map[*Conn]struct{}{}}, nil
}

// acceptFor is how long a listener that stops goes on taking what the machine has accepted for it. Those connections may hold
// whole requests; a close resets them.
const acceptFor = 20 * time.Millisecond

// acceptAgain is how many times acceptFor begins anew where it is over and accepted connections still wait: this process may have
// had no processor time meanwhile. New connections go on coming, so it is bounded.
const acceptAgain = 8

// Stop ends the listener once it has handed on every connection that the machine had accepted. It does not wait for that.
func (l *Listener) Stop() {
	if t, ok := l.Listener.(*net.TCPListener); !ok || t.SetDeadline(time.Now().Add(acceptFor)) != nil {
		l.Close()
	}
}

// waiting tells whether the machine has accepted a connection that is not handed on yet.
func (l *Listener) waiting() (is bool) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		n, _ := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		is = n > 0
	})
	return is
}

// Serve accepts until the listener is closed or stopped. When the budget is used up, a connection on which nothing is owed makes
// room for a new one; where there is none, the new one is closed.
func (l *Listener) Serve(handle func(*Conn)) {
	again := 0
	for {
		nc, err := l.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) && again < acceptAgain && l.waiting() {
			again++
			l.Stop()
			continue
		}
		if errors.Is(err, os.ErrDeadlineExceeded) { // stopped
			l.Close()
			return
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors or memory for the moment
			time.Sleep(5 * time.Millisecond)
			continue
		}
		if l.Away != nil && l.Away(AddressOf(nc.RemoteAddr())) {
			nc.Close()
			continue
		}
		if !l.budget.take(l.budget.max-l.budget.reserve) && !(l.makeRoom() && l.budget.take(l.budget.max-l.budget.reserve)) {
			nc.Close()
			continue
		}
		c := NewConn(nc, l.budget.give)
		l.mu.Lock()
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			handle(c)
			c.Finish()
			l.mu.Lock()
			delete(l.conns, c)
			l.mu.Unlock()
		}()
	}
}

// AddressOf gives the address of a caller without its port.
func AddressOf(a net.Addr) string {
	if t, ok := a.(*net.TCPAddr); ok {
		return t.IP.String()
	}
	return a.String()
}

// makeRoom closes the connection that is missed least: the oldest of those that never sent a whole message, else the one
// that has been idle longest, best one without a call that stands. Callers that say nothing, or have had their answer and
// stay, must not keep others out. One with bytes that are not read yet may hold a set-up, and is passed over.
func (l *Listener) makeRoom() bool {
	passed := map[*Conn]bool{}
	for {
		var least *Conn
		l.mu.Lock()
		for c := range l.conns {
			if c.Held() || c.unfit() || passed[c] {
				continue
			}
			if least == nil || c.less(least) {
				least = c
			}
		}
		l.mu.Unlock()
		if least == nil {
			return false
		}
		if !least.unread() && least.endIdle() {
			least.Close()
			return true
		}
		passed[least] = true
	}
}

func (l *Listener) open() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.conns))
}

// FinishIdle ends every connection on which nothing is owed, as Conn.FinishIdle does. It tells whether that was all of them:
// what is read from a connection that stays is owed an answer. With force, bytes that are not read yet are no reason to stay.
func (l *Listener) FinishIdle(force bool) (all bool) {
	all = true
	for _, c := range l.open() {
		if !c.FinishIdle() && !(force && c.endIdle()) {
			all = false
		}
	}
	return all
}

// Finish closes every connection that is open once its queue is written, and waits for that, but not longer than a time.
func (l *Listener) Finish(limit time.Duration) {
	conns := l.open()
	timeout := time.After(limit)
	for _, c := range conns {
		c.Finish()
	}
	for _, c := range conns {
		select {
		case <-c.Gone():
		case <-timeout:
			return
		}
	}
}
