package transport

import (
	"context"
	"errors"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrBudget says that no descriptor is to spare.
var ErrBudget = errors.New("descriptor budget is used up")

// Budget counts descriptors, so that the process stays under its limit. A part of it is kept for each side: callers that come in
// great number must not keep the gatekeeper from dialling, and connections to a great many servers must leave room for callers.
type Budget struct {
	max, reserve int

	mu              sync.Mutex
	callers, dialed int // descriptors held
}

// NewBudget allows max descriptors in all. Callers may not take the last reserve of them while they hold as many themselves,
// and connections that are dialled may not take more than all but the reserve.
func NewBudget(max, reserve int) *Budget { return &Budget{max: max, reserve: reserve} }

// takeCaller counts a descriptor for a caller, if there is one to spare.
func (b *Budget) takeCaller() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	used := b.callers + b.dialed
	if used >= b.max || used >= b.max-b.reserve && b.callers >= b.reserve {
		return false
	}
	b.callers++
	return true
}

func (b *Budget) giveCaller() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.callers--
}

// takeDialed counts a descriptor for a connection to be dialled, if there is one to spare.
func (b *Budget) takeDialed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.callers+b.dialed >= b.max || b.dialed >= b.max-b.reserve {
		return false
	}
	b.dialed++
	return true
}

func (b *Budget) giveDialed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dialed--
}

// Used is the number of descriptors held.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.callers + b.dialed
}

// Dial opens a TCP connection within a time.
func (b *Budget) Dial(ctx context.Context, addr string, timeout time.Duration) (*Conn, error) {
	if !b.takeDialed() {
		return nil, ErrBudget
	}
	d := net.Dialer{Timeout: timeout}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		b.giveDialed()
		return nil, err
	}
	return NewConn(nc, b.giveDialed), nil
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

	// IsBlocked, if not nil, tells whether a caller's address is turned away at the door. It is set before Serve.
	IsBlocked func(address string) bool
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
		if l.IsBlocked != nil && l.IsBlocked(AddressOf(nc.RemoteAddr())) {
			nc.Close()
			continue
		}
		if !l.budget.takeCaller() && !(l.makeRoom() && l.budget.takeCaller()) {
			nc.Close()
			continue
		}
		c := NewConn(nc, l.budget.giveCaller)
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
		case <-c.Closed():
		case <-timeout:
			return
		}
	}
}
