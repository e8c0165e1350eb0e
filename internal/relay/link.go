package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	chunkSize       = 16 << 10 // bytes per read
	maxQueuedChunks = 32       // chunks queued in one direction of a connection; beyond it the sender blocks, as on a full socket buffer
	dialTimeout     = 2 * time.Second
	maxPacketSize   = 64 << 10
	natTimeout      = 30 * time.Second     // idle time after which the return path of a datagram sender is forgotten
	minReorderDelay = 5 * time.Millisecond // minimum extra delay of a reordered datagram
)

// Link forwards the connections or datagrams that one process opens to one service of another.
type Link struct {
	From, To string
	service  string
	network  *Network
	outbound *direction // from From to To
	inbound  *direction // from To to From

	port            int
	portGuard       int   // bound socket that reserves the port while the listener is closed; -1 for UDP
	fillers         []int // connections that fill the accept queue of portGuard while the link is Lost
	udp             *net.UDPConn
	wg              sync.WaitGroup
	resetAfterBytes atomic.Int64 // bytes after which a connection is reset, see Network.Reset; 0: never

	bytes, packets, dropped atomic.Int64 // from From to To

	mu          sync.Mutex
	rng         *rand.Rand
	target      string // address at which To serves; empty while unknown or down
	mode        Mode
	listener    net.Listener
	pairs       map[*pair]struct{}
	returnPaths map[string]*net.UDPConn // by source address of the datagrams
	closed      bool
}

// reusePort listens with SO_REUSEPORT, so that the listener can share the port with the link's portGuard socket.
var reusePort = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
	if e := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); e != nil {
		return e
	}
	return err
}}

// TCP opens a link for connections from one process to a service of another. The link refuses connections until Network.Up
// sets the address of the service.
func (n *Network) TCP(from, to, service string) (*Link, error) {
	l, err := n.newLink(from, to, service)
	if err != nil {
		return nil, err
	}
	// A bound socket that does not listen reserves the port while the kernel refuses connections to it. The link can thus
	// refuse connections like a dead process and listen again later at the same address.
	if l.portGuard, l.port, err = reservePort(0); err != nil {
		return nil, err
	}
	return l, n.addLink(l)
}

// UDP opens a link for datagrams. Datagrams that To sends back to the source address are returned to the original sender.
func (n *Network) UDP(from, to, service string) (*Link, error) {
	return n.udpAt(from, to, service, 0)
}

func (n *Network) udpAt(from, to, service string, port int) (*Link, error) {
	l, err := n.newLink(from, to, service)
	if err != nil {
		return nil, err
	}
	if l.udp, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port}); err != nil {
		return nil, err
	}
	l.port, l.returnPaths = l.udp.LocalAddr().(*net.UDPAddr).Port, map[string]*net.UDPConn{}
	l.wg.Go(l.forwardDatagrams)
	return l, n.addLink(l)
}

// TCPAndUDP opens one link for connections and one for datagrams at the same address.
func (n *Network) TCPAndUDP(from, to, service string) (tcp, udp *Link, err error) {
	for range 20 { // the UDP port of the same number may be in use
		if tcp, err = n.TCP(from, to, service); err != nil {
			return nil, nil, err
		}
		if udp, err = n.udpAt(from, to, service, tcp.port); err == nil {
			return tcp, udp, nil
		}
		n.removeLink(tcp)
	}
	return nil, nil, err
}

func (n *Network) removeLink(l *Link) {
	n.mu.Lock()
	ends := [2]string{l.From, l.To}
	n.links[ends] = slices.DeleteFunc(n.links[ends], func(o *Link) bool { return o == l })
	n.mu.Unlock()
	l.close()
}

func (n *Network) newLink(from, to, service string) (*Link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, errors.New("relay: the network is closed")
	}
	return &Link{From: from, To: to, service: service, network: n, outbound: n.direction(from, to), inbound: n.direction(to, from),
		portGuard: -1, rng: n.rng(), pairs: map[*pair]struct{}{}}, nil
}

func (n *Network) addLink(l *Link) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[[2]string{l.From, l.To}] = append(n.links[[2]string{l.From, l.To}], l)
	return nil
}

// Addr returns the address, host:port, at which From reaches To through the link.
func (l *Link) Addr() string {
	return (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: l.port}).String()
}

func (l *Link) randomFloat() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64()
}

// setTarget sets the address at which To serves; an empty address means that To is down. Connections to a lost machine stay silent for
// good once another machine serves.
func (l *Link) setTarget(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.target != addr { // drop the sockets that are connected to the previous address
		for key, c := range l.returnPaths {
			c.Close()
			delete(l.returnPaths, key)
		}
		if l.mode == Lost && addr != "" {
			for p := range l.pairs {
				p.abandoned.Store(true)
			}
		}
	}
	l.target = addr
	l.updateListener()
}

func (l *Link) setMode(d Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = d
	l.updateListener()
}

// connectTarget returns the address to forward to and the mode of the link, which is Refuse while the target is unknown or down.
func (l *Link) connectTarget() (string, Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.target == "" {
		return "", Refuse
	}
	return l.target, l.mode
}

// updateListener opens or closes the listener according to the target and the mode, and resets open connections when it closes the
// listener. The caller holds l.mu.
func (l *Link) updateListener() {
	if l.closed || l.udp != nil {
		return
	}
	listens := l.target != "" && l.mode != Refuse && l.mode != Lost
	if l.mode == Lost {
		l.dropNewConnections()
		return
	}
	defer l.acceptNewConnections()
	switch {
	case listens && l.listener == nil:
		listener, err := reusePort.Listen(context.Background(), "tcp4", l.Addr())
		if err != nil { // the guard reserves the port, so only descriptor exhaustion fails here; the link then refuses
			return
		}
		l.listener = listener
		l.wg.Go(func() { l.accept(listener) })
	case !listens && l.listener != nil:
		l.listener.Close()
		l.listener = nil
		for p := range l.pairs {
			p.reset()
		}
	}
}

// resetAll resets all open connections.
func (l *Link) resetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.reset()
	}
}

func (l *Link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	if l.listener != nil {
		l.listener.Close()
	}
	l.closeFillers()
	if l.portGuard >= 0 {
		unix.Close(l.portGuard)
	}
	if l.udp != nil {
		l.udp.Close()
	}
	for _, c := range l.returnPaths {
		c.Close()
	}
	for p := range l.pairs {
		p.reset()
	}
}

// accept accepts connections until the listener is closed and forwards each in its own goroutine.
func (l *Link) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		p := &pair{link: l, near: c.(*net.TCPConn), done: make(chan struct{})}
		l.mu.Lock()
		refused := l.closed || l.listener != listener
		if !refused {
			l.pairs[p] = struct{}{}
		}
		l.mu.Unlock()
		if refused {
			p.reset()
			continue
		}
		l.wg.Go(p.run)
	}
}
