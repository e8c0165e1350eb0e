package relay

import (
	"errors"
	"net"
	"syscall"
	"time"
)

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
