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
	chunk       = 16 << 10
	queueMost   = 32 // chunks on their way in one direction of a connection; then its sender waits, as in a full socket
	dialWithin  = 2 * time.Second
	packetMost  = 64 << 10
	natFor      = 30 * time.Second // a datagram's way back is known for so long
	leastBehind = 5 * time.Millisecond
)

// Link carries what one process opens to one service of another.
type Link struct {
	From, To string
	service  string
	network  *Network
	forth    *direction // From to To
	back     *direction

	port    int
	guard   int // socket that keeps the port while the listener is closed; -1 for UDP
	udp     *net.UDPConn
	wg      sync.WaitGroup
	resetAt atomic.Int64

	bytes, packets, dropped atomic.Int64 // towards To

	mu     sync.Mutex
	rng    *rand.Rand
	target string // where To serves; "": not known yet
	door   Mode
	ln     net.Listener
	pairs  map[*pair]struct{}
	nat    map[string]*net.UDPConn
	closed bool
}

var reuse = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
	if e := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); e != nil {
		return e
	}
	return err
}}

// TCP opens a link from one process to a service of another. It refuses while Network.Up has not named where that serves.
func (n *Network) TCP(from, to, service string) (*Link, error) {
	l, err := n.link(from, to, service)
	if err != nil {
		return nil, err
	}
	// A bound socket that does not listen keeps the port and refuses, so that a link can refuse as a dead process does
	// and still be opened again at the same address.
	if l.guard, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0); err != nil {
		return nil, err
	}
	err = unix.SetsockoptInt(l.guard, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	if err == nil {
		err = unix.Bind(l.guard, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	var at unix.Sockaddr
	if err == nil {
		at, err = unix.Getsockname(l.guard)
	}
	if err != nil {
		unix.Close(l.guard)
		return nil, err
	}
	l.port = at.(*unix.SockaddrInet4).Port
	return l, n.add(l)
}

// UDP opens a link for datagrams. What To answers to the datagram's source finds its way back to the sender.
func (n *Network) UDP(from, to, service string) (*Link, error) {
	return n.udpAt(from, to, service, 0)
}

func (n *Network) udpAt(from, to, service string, port int) (*Link, error) {
	l, err := n.link(from, to, service)
	if err != nil {
		return nil, err
	}
	if l.udp, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port}); err != nil {
		return nil, err
	}
	l.port, l.nat = l.udp.LocalAddr().(*net.UDPAddr).Port, map[string]*net.UDPConn{}
	l.wg.Go(l.datagrams)
	return l, n.add(l)
}

// TCPAndUDP opens a link for connections and one for datagrams at the same address.
func (n *Network) TCPAndUDP(from, to, service string) (tcp, udp *Link, err error) {
	for range 20 { // the port may be taken for datagrams
		if tcp, err = n.TCP(from, to, service); err != nil {
			return nil, nil, err
		}
		if udp, err = n.udpAt(from, to, service, tcp.port); err == nil {
			return tcp, udp, nil
		}
		n.remove(tcp)
	}
	return nil, nil, err
}

func (n *Network) remove(l *Link) {
	n.mu.Lock()
	ends := [2]string{l.From, l.To}
	n.links[ends] = slices.DeleteFunc(n.links[ends], func(o *Link) bool { return o == l })
	n.mu.Unlock()
	l.close()
}

func (n *Network) link(from, to, service string) (*Link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, errors.New("relay: the network is closed")
	}
	return &Link{From: from, To: to, service: service, network: n, forth: n.direction(from, to), back: n.direction(to, from),
		guard: -1, rng: n.rng(), pairs: map[*pair]struct{}{}}, nil
}

func (n *Network) add(l *Link) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[[2]string{l.From, l.To}] = append(n.links[[2]string{l.From, l.To}], l)
	return nil
}

// Addr is what From must call to reach To.
func (l *Link) Addr() string {
	return (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: l.port}).String()
}

func (l *Link) draw() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64()
}

// setTarget names where To serves; "" says that it is down.
func (l *Link) setTarget(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.target != addr { // datagrams go to where To is now
		for key, c := range l.nat {
			c.Close()
			delete(l.nat, key)
		}
	}
	l.target = addr
	l.apply()
}

func (l *Link) setDoor(d Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.door = d
	l.apply()
}

// aim gives where connections go on, and how the link treats them.
func (l *Link) aim() (string, Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.target == "" {
		return "", Refuse
	}
	return l.target, l.door
}

// apply opens or closes the listener, and resets what is open where connections are refused from now on. The lock is held.
func (l *Link) apply() {
	if l.closed || l.udp != nil {
		return
	}
	listens := l.target != "" && l.door != Refuse
	switch {
	case listens && l.ln == nil:
		ln, err := reuse.Listen(context.Background(), "tcp4", l.Addr())
		if err != nil { // the guard holds the port: only a machine out of descriptors comes here, and then it refuses
			return
		}
		l.ln = ln
		l.wg.Go(func() { l.accept(ln) })
	case !listens && l.ln != nil:
		l.ln.Close()
		l.ln = nil
		for p := range l.pairs {
			p.reset()
		}
	}
}

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
	if l.ln != nil {
		l.ln.Close()
	}
	if l.guard >= 0 {
		unix.Close(l.guard)
	}
	if l.udp != nil {
		l.udp.Close()
	}
	for _, c := range l.nat {
		c.Close()
	}
	for p := range l.pairs {
		p.reset()
	}
}

func (l *Link) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		p := &pair{link: l, near: c.(*net.TCPConn), over: make(chan struct{})}
		l.mu.Lock()
		refused := l.closed || l.ln != ln
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

// pair is one connection on its way through a link.
type pair struct {
	link   *Link
	near   *net.TCPConn // From's
	mu     sync.Mutex
	far    *net.TCPConn // To's; nil until dialled
	passed atomic.Int64
	once   sync.Once
	over   chan struct{}
}

// reset ends both sides by RST.
func (p *pair) reset() {
	p.once.Do(func() {
		close(p.over)
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

// finish ends both sides in order, once all is passed on.
func (p *pair) finish() {
	p.once.Do(func() {
		close(p.over)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.near.Close()
		if p.far != nil {
			p.far.Close()
		}
	})
}

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
	both.Go(func() { p.carry(p.near, p.far, l.forth, true) })
	both.Go(func() { p.carry(p.far, p.near, l.back, false) })
	both.Wait()
}

// connect dials the far side. A cut in either direction keeps a connection from coming about, as it would a handshake.
func (p *pair) connect() bool {
	l := p.link
	for {
		f, fChanged := l.forth.now()
		b, bChanged := l.back.now()
		if !f.Cut && !b.Cut {
			break
		}
		select {
		case <-fChanged:
		case <-bChanged:
		case <-p.over:
			return false
		}
	}
	target, door := l.aim()
	if door == BlackHole {
		<-p.over
		return false
	}
	d := net.Dialer{Timeout: dialWithin}
	c, err := d.Dial("tcp4", target)
	if err != nil {
		p.reset()
		return false
	}
	p.mu.Lock()
	p.far = c.(*net.TCPConn)
	p.mu.Unlock()
	select {
	case <-p.over: // reset meanwhile
		p.far.Close()
		return false
	default:
	}
	return true
}

// piece is what is on its way: bytes, or the end that follows them.
type piece struct {
	data  []byte
	due   time.Time
	end   bool
	reset bool
}

// carry moves one direction until its end: a reader that stamps what it reads, and a writer that holds it back until it
// is due and the direction is not cut. The end of the stream and a reset travel in order with the bytes.
func (p *pair) carry(from, to *net.TCPConn, d *direction, forth bool) {
	queue := make(chan piece, queueMost)
	var writer sync.WaitGroup
	writer.Go(func() { p.write(to, d, queue) })
	defer writer.Wait()
	defer close(queue)
	var last time.Time
	for {
		buf := make([]byte, chunk)
		n, err := from.Read(buf)
		now := time.Now()
		c, _ := d.now()
		if n > 0 {
			total := p.passed.Add(int64(n))
			if most := p.link.resetAt.Load(); most > 0 && total >= most {
				// What stands before the limit goes out first, so that the far side has part of a message.
				part := max(int64(n)-(total-most), 0)
				last = due(last, now, c, int(part), p.link.draw)
				queue <- piece{data: buf[:part], due: last}
				queue <- piece{reset: true, due: last}
				return
			}
			if forth {
				p.link.bytes.Add(int64(n))
				p.link.packets.Add(1)
			}
			last = due(last, now, c, n, p.link.draw)
			select {
			case queue <- piece{data: buf[:n], due: last}:
			case <-p.over:
				return
			}
		}
		if err != nil {
			last = due(last, now, c, 0, p.link.draw)
			select {
			case queue <- piece{end: true, reset: err != io.EOF, due: last}:
			case <-p.over:
			}
			return
		}
	}
}

func (p *pair) write(to *net.TCPConn, d *direction, queue <-chan piece) {
	for q := range queue {
		if !p.await(d, q.due) {
			p.drop(queue)
			return
		}
		switch {
		case q.reset:
			p.reset()
			p.drop(queue)
			return
		case q.end:
			to.CloseWrite()
		default:
			if _, err := to.Write(q.data); err != nil {
				p.reset()
				p.drop(queue)
				return
			}
		}
	}
}

// drop empties a queue whose reader may wait to put more into it.
func (p *pair) drop(queue <-chan piece) {
	for range queue {
	}
}

// await returns at a time, and not while the direction is cut or the link is a black hole; false once the pair is over.
func (p *pair) await(d *direction, at time.Time) bool {
	for {
		c, changed := d.now()
		_, door := p.link.aim()
		if !c.Cut && door != BlackHole {
			wait := time.Until(at)
			if wait <= 0 {
				select {
				case <-p.over:
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
			case <-p.over:
				timer.Stop()
				return false
			}
			continue
		}
		again := time.NewTimer(holeLook) // a door is no channel: it is looked at now and then
		select {
		case <-changed:
		case <-again.C:
		case <-p.over:
			again.Stop()
			return false
		}
		again.Stop()
	}
}

const holeLook = 20 * time.Millisecond

// datagrams carries what comes at the link's socket, each by the condition of the moment.
func (l *Link) datagrams() {
	buf := make([]byte, packetMost)
	for {
		n, from, err := l.udp.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		out := l.way(from)
		if out == nil {
			l.dropped.Add(1)
			continue
		}
		l.bytes.Add(int64(n))
		l.packets.Add(1)
		data := append([]byte(nil), buf[:n]...)
		if !l.pass(l.forth, n, func() { out.Write(data) }) {
			l.dropped.Add(1)
		}
	}
}

// pass sends a datagram by the condition of a direction: never, at once, later, or twice. It tells whether it goes out.
func (l *Link) pass(d *direction, size int, send func()) bool {
	c, _ := d.now()
	if _, door := l.aim(); c.Cut || door != Open || c.Loss > 0 && l.draw() < c.Loss {
		return false
	}
	if c.passes() {
		send()
		return true
	}
	copies := 1
	if c.Duplicate > 0 && l.draw() < c.Duplicate {
		copies = 2
	}
	for range copies {
		wait := time.Until(due(time.Time{}, time.Now(), c, size, l.draw))
		if c.Reorder > 0 && l.draw() < c.Reorder {
			wait += max(2*(c.Delay+c.Jitter), leastBehind)
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

// way gives the socket by which a sender's datagrams go on, and on which the answers to it come back.
func (l *Link) way(from *net.UDPAddr) *net.UDPConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := from.String()
	if c := l.nat[key]; c != nil || l.closed || l.target == "" {
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
	l.nat[key] = c
	l.wg.Go(func() {
		defer func() {
			c.Close()
			l.mu.Lock()
			if l.nat[key] == c {
				delete(l.nat, key)
			}
			l.mu.Unlock()
		}()
		buf := make([]byte, packetMost)
		for {
			c.SetReadDeadline(time.Now().Add(natFor))
			n, err := c.Read(buf)
			if err != nil {
				if errors.Is(err, syscall.ECONNREFUSED) { // told of an earlier datagram: the way stands
					continue
				}
				return
			}
			data := append([]byte(nil), buf[:n]...)
			l.pass(l.back, n, func() { l.udp.WriteToUDP(data, from) })
		}
	})
	return c
}
