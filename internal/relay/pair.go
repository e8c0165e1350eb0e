package relay

import (
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

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
