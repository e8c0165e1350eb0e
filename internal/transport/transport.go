package transport

import (
	"context"
	"errors"
	"maps"
	"net"
	"os"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrBudget is returned if no file descriptor is available.
var ErrBudget = errors.New("file descriptor budget is exhausted")

// Budget counts file descriptors, so that the process stays under its limit. A part is reserved for each side: a large number
// of callers must not keep the gatekeeper from dialling, and connections to a large number of servers must leave room for
// callers.
type Budget struct {
	max, reserve int

	mu              sync.Mutex
	callers, dialed int // descriptors in use
}

// NewBudget returns a budget of max descriptors in total. Callers that hold at least reserve descriptors may not take any of the
// last reserve, and dialled connections may take at most max-reserve.
func NewBudget(max, reserve int) *Budget { return &Budget{max: max, reserve: reserve} }

// takeCaller takes a descriptor for a caller and reports whether one was available.
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

// releaseCaller returns the descriptor of a caller.
func (b *Budget) releaseCaller() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.callers--
}

// takeDialed takes a descriptor for a dialled connection and reports whether one was available.
func (b *Budget) takeDialed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.callers+b.dialed >= b.max || b.dialed >= b.max-b.reserve {
		return false
	}
	b.dialed++
	return true
}

// releaseDialed returns the descriptor of a dialled connection.
func (b *Budget) releaseDialed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dialed--
}

// Used returns the number of descriptors in use.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.callers + b.dialed
}

// Dial opens a TCP connection. It returns ErrBudget if no descriptor is available.
func (b *Budget) Dial(ctx context.Context, addr string, timeout time.Duration) (*Conn, error) {
	if !b.takeDialed() {
		return nil, ErrBudget
	}
	d := net.Dialer{Timeout: timeout}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		b.releaseDialed()
		return nil, err
	}
	return NewConn(nc, b.releaseDialed), nil
}

// reusePort binds with SO_REUSEPORT.
var reusePort = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); e != nil {
		return e
	}
	return err
}}

// Listener accepts connections and runs a handler for each in its own goroutine.
type Listener struct {
	net.Listener
	budget *Budget
	wg     sync.WaitGroup
	mu     sync.Mutex
	conns  map[*Conn]struct{}

	// IsBlocked, if not nil, reports whether connections from an address are closed at once. It must be set before Serve.
	IsBlocked func(address string) bool
	// Memory bounds what the clients' messages occupy. It must be set before Serve.
	Memory ClientMemory
}

// Listen binds a TCP address. The address may be shared with another process that binds it the same way
// (SO_REUSEPORT): during a restart the new process accepts its share of new connections while the old one drains.
func Listen(addr string, budget *Budget) (*Listener, error) {
	l, err := reusePort.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: l, budget: budget, conns: map[*Conn]struct{}{}}, nil
}

// acceptDrainTime is how long a stopped listener continues to accept the connections in the kernel's accept queue. These may carry
// whole requests, and closing the listener would reset them.
const acceptDrainTime = 20 * time.Millisecond

// maxDrainRepeats is how many times acceptDrainTime is repeated while connections remain in the accept queue: this process may have had no
// processor time meanwhile. It is bounded because new connections continue to arrive.
const maxDrainRepeats = 8

// Stop closes the listener after it has accepted the connections in the kernel's accept queue. It does not wait for that.
func (l *Listener) Stop() {
	if t, ok := l.Listener.(*net.TCPListener); !ok || t.SetDeadline(time.Now().Add(acceptDrainTime)) != nil {
		l.Close()
	}
}

// hasPending reports whether there are connections in the kernel's accept queue.
func (l *Listener) hasPending() (pending bool) {
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
		pending = n > 0
	})
	return pending
}

// Serve accepts connections until the listener is closed or stopped. If the descriptor budget is exhausted, it closes an idle
// connection to make room for a new one; if there is no idle connection, it closes the new one.
func (l *Listener) Serve(handle func(*Conn)) {
	repeats := 0
	for {
		nc, err := l.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) && repeats < maxDrainRepeats && l.hasPending() {
			repeats++
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
		if err != nil { // temporarily out of descriptors or memory
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
		c := newConn(nc, l.budget.releaseCaller)
		c.requests, c.output = l.Memory.Requests.NewAccount(), l.Memory.Output.NewAccount()
		go c.writeLoop()
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
		runtime.Gosched() // clients that connect at full speed must not keep the connected ones waiting
	}
}

// AddressOf returns the IP address of a caller, without its port.
func AddressOf(a net.Addr) string {
	if t, ok := a.(*net.TCPAddr); ok {
		return t.IP.String()
	}
	return a.String()
}

// makeRoom closes the least valuable connection and reports whether it found one: the oldest of those that never sent a whole
// message, else the one that has been idle longest, preferably without an established call. Callers that send nothing, or stay
// connected after their answer, must not keep others out. A connection with unread bytes may carry a set-up and is skipped.
func (l *Listener) makeRoom() bool {
	skipped := map[*Conn]bool{}
	for {
		var candidate *Conn
		l.mu.Lock()
		for c := range l.conns {
			if c.Held() || c.closedOrQueued() || skipped[c] {
				continue
			}
			if candidate == nil || c.closesBefore(candidate) {
				candidate = c
			}
		}
		l.mu.Unlock()
		if candidate == nil {
			return false
		}
		if !candidate.unread() && candidate.markClosingIfIdle() {
			candidate.Close()
			return true
		}
		skipped[candidate] = true
	}
}

// openConns returns the open connections.
func (l *Listener) openConns() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.conns))
}

// FinishIdle closes every idle connection, as Conn.FinishIdle does. It reports whether these were all: requests on a connection
// that stays open must still be answered. With force, connections with unread bytes count as idle too.
func (l *Listener) FinishIdle(force bool) (all bool) {
	all = true
	for _, c := range l.openConns() {
		if !c.FinishIdle() && !(force && c.FinishAnswered()) {
			all = false
		}
	}
	return all
}

// Finish closes every open connection once its queue is written, and waits for that, at most for limit.
func (l *Listener) Finish(limit time.Duration) {
	conns := l.openConns()
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
