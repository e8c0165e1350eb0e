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
	callFor      = 3200 * time.Millisecond // time that a caller allows for an attempt, as in package lab
	writeWithin  = time.Second
	redialGap    = 200 * time.Millisecond
	className    = "menu-view"
	offer        = "offer\r\n"
	statusStands = 200
)

// outcome is how a call ended.
type outcome uint8

const (
	open outcome = iota // no answer yet
	stood
	refused
	failed
	unsent // no connection was open
)

// attempt is one measured call of one arm of a pair.
type attempt struct {
	due   time.Time
	took  time.Duration // time from due to the answer
	ended outcome
}

// arm holds the calls of one arm of the comparison: through the gatekeeper or direct. Calls are numbered from 0.
type arm struct {
	mu    sync.Mutex
	calls []attempt
	mark  string // prefix of the call IDs of this arm
}

func newArm(mark string, calls int) *arm { return &arm{mark: mark, calls: make([]attempt, 0, calls)} }

// begin records a call that is due and returns its ID and number.
func (a *arm) begin(due time.Time) (id string, number int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls = append(a.calls, attempt{due: due})
	number = len(a.calls) - 1
	return fmt.Sprintf("%s%08x", a.mark, number), number
}

// end records the outcome of a call. It ignores IDs of other arms and calls that have already ended.
func (a *arm) end(id string, how outcome) {
	now := time.Now()
	number, err := strconv.ParseUint(id[min(len(id), len(a.mark)):], 16, 32)
	if err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if number >= uint64(len(a.calls)) || a.calls[number].ended != open {
		return
	}
	a.calls[number].ended, a.calls[number].took = how, now.Sub(a.calls[number].due)
}

// waiting returns the number of calls without an answer.
func (a *arm) waiting() (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.calls {
		if a.calls[i].ended == open {
			n++
		}
	}
	return n
}

// through sends calls through a gatekeeper, over its connections in round-robin order.
type through struct {
	*arm
	addr   string
	conns  []atomic.Pointer[net.TCPConn]
	next   int
	closed atomic.Int64 // connections that the gatekeeper closed
	done   chan struct{}
	wg     sync.WaitGroup
}

func dialThrough(addr string, conns int, calls int) *through {
	t := &through{arm: newArm("0a0a0a0a", calls), addr: addr, conns: make([]atomic.Pointer[net.TCPConn], conns), done: make(chan struct{})}
	for i := range t.conns {
		t.wg.Add(1)
		first := make(chan struct{})
		go t.keep(i, first)
		<-first
	}
	return t
}

// keep maintains a connection until t is closed and redials it after a failure. It closes first after the first dial.
func (t *through) keep(i int, first chan<- struct{}) {
	defer t.wg.Done()
	for tried := false; ; tried = true {
		conn, err := net.DialTimeout("tcp", t.addr, writeWithin)
		if err == nil {
			t.conns[i].Store(conn.(*net.TCPConn))
		}
		if !tried {
			close(first)
		}
		if err == nil {
			t.read(conn)
			t.conns[i].Store(nil)
			conn.Close()
		}
		select {
		case <-t.done:
			return
		case <-time.After(redialGap):
			t.closed.Add(1)
		}
	}
}

func (t *through) read(conn net.Conn) {
	for r := jsonl.NewReader(bufio.NewReaderSize(conn, jsonl.MaxMessage)); ; {
		m, err := r.Next()
		if err != nil {
			return
		}
		switch {
		case m.Type == "ready":
			t.end(m.ID, stood)
		case m.Type == "close" && m.Code == 34:
			t.end(m.ID, refused)
		case m.Type == "close":
			t.end(m.ID, failed)
		}
	}
}

// send places one call to a server, given by its index in the list.
func (t *through) send(due time.Time, server int) {
	id, _ := t.begin(due)
	m := jsonl.Message{Type: "open", ID: id, Text: offer, Attrs: map[string]string{"class": className,
		"left": strconv.FormatInt(callFor.Milliseconds(), 10), "key": id, "extras": fmt.Sprintf("dest:%d;width:1", server)}}
	t.next++
	conn := t.conns[t.next%len(t.conns)].Load()
	if conn == nil {
		t.end(id, unsent)
		return
	}
	conn.SetWriteDeadline(time.Now().Add(writeWithin))
	if _, err := conn.Write(m.Append(nil)); err != nil {
		t.end(id, unsent)
	}
}

func (t *through) close() {
	close(t.done)
	for i := range t.conns {
		if c := t.conns[i].Load(); c != nil {
			c.Close()
		}
	}
	t.wg.Wait()
}

// direct sends calls to servers without a gatekeeper, over one connection to each.
type direct struct {
	*arm
	conns []net.Conn
	wg    sync.WaitGroup
}

func dialDirect(addresses []string, calls int) (*direct, error) {
	d := &direct{arm: newArm("0d0d0d0d", calls)}
	for _, addr := range addresses {
		conn, err := net.DialTimeout("tcp", addr, writeWithin)
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

func (d *direct) read(conn net.Conn) {
	defer d.wg.Done()
	for r := sip.NewReader(bufio.NewReaderSize(conn, sip.MaxMessage)); ; {
		m, err := r.Next()
		if err != nil {
			return
		}
		_, method, _ := m.CSeq()
		if m.IsRequest() || method != "INVITE" || m.Status < statusStands {
			continue // a release or a state report, which the measurement does not need
		}
		how := failed
		if m.Status == statusStands {
			how = stood
		}
		d.end(m.Get("Call-ID"), how)
	}
}

func (d *direct) send(due time.Time, server int) {
	id, _ := d.begin(due)
	m := sip.Request("INVITE", "sip:"+id+"@net").Set("Via", "SIP/2.0/TCP lab").Set("Call-ID", id).Set("CSeq", "1 INVITE").
		Set("X-Cos", className).Set("X-Timer-Ms", strconv.FormatInt(callFor.Milliseconds(), 10))
	m.Body = []byte(offer)
	conn := d.conns[server]
	conn.SetWriteDeadline(time.Now().Add(writeWithin))
	if _, err := conn.Write(m.Append(nil)); err != nil {
		d.end(id, unsent)
	}
}

func (d *direct) close() {
	for _, c := range d.conns {
		c.Close()
	}
	d.wg.Wait()
}
