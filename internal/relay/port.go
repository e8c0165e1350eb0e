package relay

import "golang.org/x/sys/unix"

var loopback = [4]byte{127, 0, 0, 1}

// fillersBeyondBacklog is the number of connections that fill an accept queue, beyond its length: one, and one to spare.
const fillersBeyondBacklog = 2

// reservePort returns a socket that is bound to a port of 127.0.0.1, or to a free one if port is 0.
func reservePort(port int) (guard, bound int, err error) {
	guard, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, 0, err
	}
	err = unix.SetsockoptInt(guard, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	if err == nil {
		err = unix.Bind(guard, &unix.SockaddrInet4{Port: port, Addr: loopback})
	}
	var address unix.Sockaddr
	if err == nil {
		address, err = unix.Getsockname(guard)
	}
	if err != nil {
		unix.Close(guard)
		return -1, 0, err
	}
	return guard, address.(*unix.SockaddrInet4).Port, nil
}

// dropNewConnections makes the kernel drop the first packet of each new connection: it does so where the accept queue of the
// listening socket is full. Open connections stay open. The caller holds l.mu.
func (l *Link) dropNewConnections() {
	if l.fillers != nil {
		return
	}
	if l.listener != nil {
		l.listener.Close()
		l.listener = nil
	}
	const backlog = 0 // one connection fits into the queue
	if unix.Listen(l.portGuard, backlog) != nil {
		return
	}
	for range backlog + fillersBeyondBacklog {
		filler, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
		if err != nil {
			return
		}
		unix.Connect(filler, &unix.SockaddrInet4{Port: l.port, Addr: loopback})
		l.fillers = append(l.fillers, filler)
	}
}

// acceptNewConnections ends dropNewConnections, after the link's listener has taken over the port. The caller holds l.mu.
func (l *Link) acceptNewConnections() {
	if l.fillers == nil {
		return
	}
	l.closeFillers()
	unix.Close(l.portGuard)
	guard, _, err := reservePort(l.port)
	if err != nil { // the listener, if there is one, still holds the port
		guard = -1
	}
	l.portGuard = guard
}

// closeFillers closes the connections that fill the accept queue. The caller holds l.mu.
func (l *Link) closeFillers() {
	for _, filler := range l.fillers {
		unix.Close(filler)
	}
	l.fillers = nil
}
