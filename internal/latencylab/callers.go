package latencylab

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"beammux/internal/protocol/jsonl"
	"beammux/internal/protocol/sip"
)

const (
	attemptTimeout = 3200 * time.Millisecond // time that a caller allows for an attempt, as in package lab
	writeTimeout   = time.Second
	redialDelay    = 200 * time.Millisecond
	className      = "menu-view"
	offer          = "offer\r\n"
	statusOK       = 200
)

// outcome is how a call ended.
type outcome uint8

const (
	pending outcome = iota // no answer yet
	established
	refused
	failed
	unsent // no connection was open
)

// attempt is one measured call of one arm of a pair.
type attempt struct {
	due     time.Time
	latency time.Duration // time from due to the answer
	result  outcome
}

// arm holds the calls of one arm of the comparison: through the gatekeeper or direct. Calls are numbered from 0.
type arm struct {
	mu       sync.Mutex
	calls    []attempt
	idPrefix string // prefix of the call IDs of this arm
}

func newArm(idPrefix string, calls int) *arm {
	return &arm{idPrefix: idPrefix, calls: make([]attempt, 0, calls)}
}

// begin records a call that is due and returns its ID and number.
func (a *arm) begin(due time.Time) (id string, number int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls = append(a.calls, attempt{due: due})
	number = len(a.calls) - 1
	return fmt.Sprintf("%s%08x", a.idPrefix, number), number
}

// end records the outcome of a call. It ignores IDs of other arms and calls that have already ended.
func (a *arm) end(id string, final outcome) {
	now := time.Now()
	number, err := strconv.ParseUint(id[min(len(id), len(a.idPrefix)):], 16, 32)
	if err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if number >= uint64(len(a.calls)) || a.calls[number].result != pending {
		return
	}
	a.calls[number].result, a.calls[number].latency = final, now.Sub(a.calls[number].due)
}

// pendingCalls returns the number of calls without an answer.
func (a *arm) pendingCalls() (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.calls {
		if a.calls[i].result == pending {
			n++
		}
	}
	return n
}

// gatekeeperCaller places calls through a gatekeeper, over its connections in round-robin order.
type gatekeeperCaller struct {
	*arm
	addr         string
	conns        []atomic.Pointer[net.TCPConn]
	next         int
	closedByPeer atomic.Int64 // connections that the gatekeeper closed
	done         chan struct{}
	wg           sync.WaitGroup
}

// dialGatekeeper starts a caller with the given number of connections and returns after the first dial of each.
func dialGatekeeper(addr string, conns int, calls int) *gatekeeperCaller {
	g := &gatekeeperCaller{arm: newArm("0a0a0a0a", calls), addr: addr, conns: make([]atomic.Pointer[net.TCPConn], conns), done: make(chan struct{})}
	for i := range g.conns {
		g.wg.Add(1)
		first := make(chan struct{})
		go g.maintain(i, first)
		<-first
	}
	return g
}

// maintain keeps a connection open until g is closed and redials it after a failure. It closes first after the first dial.
func (g *gatekeeperCaller) maintain(i int, first chan<- struct{}) {
	defer g.wg.Done()
	for tried := false; ; tried = true {
		conn, err := net.DialTimeout("tcp", g.addr, writeTimeout)
		if err == nil {
			g.conns[i].Store(conn.(*net.TCPConn))
		}
		if !tried {
			close(first)
		}
		if err == nil {
			g.read(conn)
			g.conns[i].Store(nil)
			conn.Close()
		}
		select {
		case <-g.done:
			return
		case <-time.After(redialDelay):
			g.closedByPeer.Add(1)
		}
	}
}

func (g *gatekeeperCaller) read(conn net.Conn) {
	for r := jsonl.NewReader(bufio.NewReaderSize(conn, jsonl.MaxMessage)); ; {
		m, err := r.Next()
		if err != nil {
			return
		}
		switch {
		case m.Type == "ready":
			g.end(m.ID, established)
		case m.Type == "close" && m.Code == 34:
			g.end(m.ID, refused)
		case m.Type == "close":
			g.end(m.ID, failed)
		}
	}
}

// send places one call to a server, given by its index in the list.
func (g *gatekeeperCaller) send(due time.Time, server int) {
	id, _ := g.begin(due)
	m := jsonl.Message{Type: "open", ID: id, Text: offer, Attrs: map[string]string{"class": className,
		"left": strconv.FormatInt(attemptTimeout.Milliseconds(), 10), "key": id, "extras": fmt.Sprintf("dest:%d;width:1", server)}}
	g.next++
	conn := g.conns[g.next%len(g.conns)].Load()
	if conn == nil {
		g.end(id, unsent)
		return
	}
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := conn.Write(m.Append(nil)); err != nil {
		g.end(id, unsent)
	}
}

func (g *gatekeeperCaller) close() {
	close(g.done)
	for i := range g.conns {
		if c := g.conns[i].Load(); c != nil {
			c.Close()
		}
	}
	g.wg.Wait()
}

// directCaller places calls to servers without a gatekeeper, over one connection to each.
type directCaller struct {
	*arm
	conns []net.Conn
	wg    sync.WaitGroup
}

// dialDirect opens a connection to each server.
func dialDirect(addresses []string, calls int) (*directCaller, error) {
	d := &directCaller{arm: newArm("0d0d0d0d", calls)}
	for _, addr := range addresses {
		conn, err := net.DialTimeout("tcp", addr, writeTimeout)
		if err != nil {
			d.close()
			return nil, err
		}
		d.conns = append(d.conns, conn)
		d.wg.Add(1)
		go d.read(conn)
	}
	return d, nil
}

func (d *directCaller) read(conn net.Conn) {
	defer d.wg.Done()
	for r := sip.NewReader(bufio.NewReaderSize(conn, sip.MaxMessage)); ; {
		m, err := r.Next()
		if err != nil {
			return
		}
		_, method, _ := m.CSeq()
		if m.IsRequest() || method != "INVITE" || m.Status < statusOK {
			continue // a release or a state report, which the measurement does not need
		}
		final := failed
		if m.Status == statusOK {
			final = established
		}
		d.end(m.Get("Call-ID"), final)
	}
}

func (d *directCaller) send(due time.Time, server int) {
	id, _ := d.begin(due)
	m := sip.Request("INVITE", "sip:"+id+"@net").Set("Via", "SIP/2.0/TCP lab").Set("Call-ID", id).Set("CSeq", "1 INVITE").
		Set("X-Cos", className).Set("X-Timer-Ms", strconv.FormatInt(attemptTimeout.Milliseconds(), 10))
	m.Body = []byte(offer)
	conn := d.conns[server]
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := conn.Write(m.Append(nil)); err != nil {
		d.end(id, unsent)
	}
}

func (d *directCaller) close() {
	for _, c := range d.conns {
		c.Close()
	}
	d.wg.Wait()
}
