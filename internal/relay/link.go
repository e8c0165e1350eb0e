package relay

import (
	"context"
	"errors"
	"io"
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

// pair is one forwarded connection: the socket to From and the socket to To.
type pair struct {
	link      *Link
	near      *net.TCPConn // socket to From
	mu        sync.Mutex
	far       *net.TCPConn // socket to To; nil until dialled
	forwarded atomic.Int64 // bytes, both directions together
	abandoned atomic.Bool  // it led to a lost machine whose address another one has taken: nothing passes any more
	once      sync.Once
	done      chan struct{}
}

// reset closes both sockets with an RST.
func (p *pair) reset() {
	p.once.Do(func() {
		close(p.done)
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, c := range []*net.TCPConn{p.near, p.far} {
			if c != nil {
				c.SetLinger(0)
				c.Close()
			}
		}
	})
}

// finish closes both sockets in order, after all data is forwarded.
func (p *pair) finish() {
	p.once.Do(func() {
		close(p.done)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.near.Close()
		if p.far != nil {
			p.far.Close()
		}
	})
}

// run forwards the connection in both directions until it ends.
func (p *pair) run() {
	l := p.link
	defer func() {
		p.finish()
		l.mu.Lock()
		delete(l.pairs, p)
		l.mu.Unlock()
	}()
	if !p.connect() {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.forward(p.near, p.far, l.outbound, true) })
	both.Go(func() { p.forward(p.far, p.near, l.inbound, false) })
	both.Wait()
}

// connect dials To and reports whether the pair is connected. While either direction is cut it waits, since a TCP handshake
// would not complete either.
func (p *pair) connect() bool {
	l := p.link
	for {
		f, fChanged := l.outbound.now()
		b, bChanged := l.inbound.now()
		if !f.Cut && !b.Cut {
			break
		}
		select {
		case <-fChanged:
		case <-bChanged:
		case <-p.done:
			return false
		}
	}
	target, mode := l.connectTarget()
	if mode == BlackHole || mode == Lost {
		<-p.done
		return false
	}
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.Dial("tcp4", target)
	if err != nil {
		p.reset()
		return false
	}
	p.mu.Lock()
	p.far = c.(*net.TCPConn)
	p.mu.Unlock()
	select {
	case <-p.done: // reset during the dial
		p.far.Close()
		return false
	default:
	}
	return true
}

// piece is a queued chunk of data, or the end of the stream that follows it.
type piece struct {
	data    []byte
	dueTime time.Time
	end     bool
	reset   bool
}

// forward forwards one direction until its end of stream. It reads data and stamps it with its due time; a writer goroutine holds
// it back until then and while the direction is cut. The end of the stream and a reset stay in order with the data.
func (p *pair) forward(from, to *net.TCPConn, d *direction, outbound bool) {
	queue := make(chan piece, maxQueuedChunks)
	var writer sync.WaitGroup
	writer.Go(func() { p.write(to, d, queue) })
	defer writer.Wait()
	defer close(queue)
	var last time.Time
	for {
		buf := make([]byte, chunkSize)
		n, err := from.Read(buf)
		now := time.Now()
		c, _ := d.now()
		if n > 0 {
			total := p.forwarded.Add(int64(n))
			if most := p.link.resetAfterBytes.Load(); most > 0 && total >= most {
				// The bytes before the limit are forwarded first, so that the far side receives part of a message.
				part := max(int64(n)-(total-most), 0)
				last = dueTime(last, now, c, int(part), p.link.randomFloat)
				queue <- piece{data: buf[:part], dueTime: last}
				queue <- piece{reset: true, dueTime: last}
				return
			}
			if outbound {
				p.link.bytes.Add(int64(n))
				p.link.packets.Add(1)
			}
			last = dueTime(last, now, c, n, p.link.randomFloat)
			for part := range slices.Chunk(buf[:n], pieceSize(c, n)) {
				select {
				case queue <- piece{data: part, dueTime: last}:
				case <-p.done:
					return
				}
				last = last.Add(c.PieceGap)
			}
		}
		if err != nil {
			last = dueTime(last, now, c, 0, p.link.randomFloat)
			select {
			case queue <- piece{end: true, reset: err != io.EOF, dueTime: last}:
			case <-p.done:
			}
			return
		}
	}
}

// pieceSize returns the size of the pieces in which data passes under a condition.
func pieceSize(c Condition, size int) int {
	if c.PieceSize > 0 {
		return c.PieceSize
	}
	return size
}

// write writes the queued pieces to a connection, each when it is due.
func (p *pair) write(to *net.TCPConn, d *direction, queue <-chan piece) {
	for q := range queue {
		if !p.waitUntil(d, q.dueTime) {
			p.drainQueue(queue)
			return
		}
		switch {
		case q.reset:
			p.reset()
			p.drainQueue(queue)
			return
		case q.end:
			to.CloseWrite()
		default:
			if _, err := to.Write(q.data); err != nil {
				p.reset()
				p.drainQueue(queue)
				return
			}
		}
	}
}

// drainQueue drains the queue, so that the reading goroutine does not block on a send to it.
func (p *pair) drainQueue(queue <-chan piece) {
	for range queue {
	}
}

// waitUntil blocks until a time, and beyond it while the direction is cut, the link is a black hole or the machine is lost. It returns
// false if the pair is closed first.
func (p *pair) waitUntil(d *direction, at time.Time) bool {
	for {
		c, changed := d.now()
		_, mode := p.link.connectTarget()
		if !c.Cut && mode != BlackHole && mode != Lost && !p.abandoned.Load() {
			wait := time.Until(at)
			if wait <= 0 {
				select {
				case <-p.done:
					return false
				default:
					return true
				}
			}
			timer := time.NewTimer(wait)
			select {
			case <-timer.C:
			case <-changed:
				timer.Stop()
			case <-p.done:
				timer.Stop()
				return false
			}
			continue
		}
		again := time.NewTimer(blackHolePollInterval) // a mode change sends no signal, so it is polled
		select {
		case <-changed:
		case <-again.C:
		case <-p.done:
			again.Stop()
			return false
		}
		again.Stop()
	}
}

const blackHolePollInterval = 20 * time.Millisecond // interval between checks of a link in BlackHole mode

// forwardDatagrams forwards the datagrams that the link's socket receives, each under the current condition.
func (l *Link) forwardDatagrams() {
	buf := make([]byte, maxPacketSize)
	for {
		n, from, err := l.udp.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		path := l.returnPath(from)
		if path == nil {
			l.dropped.Add(1)
			continue
		}
		l.bytes.Add(int64(n))
		l.packets.Add(1)
		data := append([]byte(nil), buf[:n]...)
		if !l.sendDatagram(l.outbound, n, func() { path.Write(data) }) {
			l.dropped.Add(1)
		}
	}
}

// sendDatagram applies the condition of a direction to a datagram: it drops it, sends it at once, sends it later, or sends it twice.
// It reports whether the datagram is sent.
func (l *Link) sendDatagram(d *direction, size int, send func()) bool {
	c, _ := d.now()
	if _, mode := l.connectTarget(); c.Cut || mode != Open || c.Loss > 0 && l.randomFloat() < c.Loss {
		return false
	}
	if c.isZero() {
		send()
		return true
	}
	copies := 1
	if c.Duplicate > 0 && l.randomFloat() < c.Duplicate {
		copies = 2
	}
	for range copies {
		wait := time.Until(dueTime(time.Time{}, time.Now(), c, size, l.randomFloat))
		if c.Reorder > 0 && l.randomFloat() < c.Reorder {
			wait += max(2*(c.Delay+c.Jitter), minReorderDelay)
		}
		if wait <= 0 {
			send()
			continue
		}
		time.AfterFunc(wait, func() {
			if now, _ := d.now(); !now.Cut {
				send()
			}
		})
	}
	return true
}

// returnPath returns the socket that forwards the datagrams of a sender and receives the answers to them; nil if there is no target.
func (l *Link) returnPath(from *net.UDPAddr) *net.UDPConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := from.String()
	if c := l.returnPaths[key]; c != nil || l.closed || l.target == "" {
		return c
	}
	to, err := net.ResolveUDPAddr("udp4", l.target)
	if err != nil {
		return nil
	}
	c, err := net.DialUDP("udp4", nil, to)
	if err != nil {
		return nil
	}
	l.returnPaths[key] = c
	l.wg.Go(func() {
		defer func() {
			c.Close()
			l.mu.Lock()
			if l.returnPaths[key] == c {
				delete(l.returnPaths, key)
			}
			l.mu.Unlock()
		}()
		buf := make([]byte, maxPacketSize)
		for {
			c.SetReadDeadline(time.Now().Add(natTimeout))
			n, err := c.Read(buf)
			if err != nil {
				if errors.Is(err, syscall.ECONNREFUSED) { // ICMP error for an earlier datagram: the socket stays usable
					continue
				}
				return
			}
			data := append([]byte(nil), buf[:n]...)
			l.sendDatagram(l.inbound, n, func() { l.udp.WriteToUDP(data, from) })
		}
	})
	return c
}
