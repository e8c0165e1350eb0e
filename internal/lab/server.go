// Package lab provides stand-ins for menu servers and callers on loopback and runs them against gatekeepers, mostly in the
// same process, to measure the effect of a change. The stand-ins are models built from the figures in PROTOCOL, not from
// measurements.
package lab

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"beammux/internal/protocol/sip"
)

// Work is the cost of a call on a server's processor.
type Work struct {
	Setup                           time.Duration
	Answer, Release, Refuse, Repeat float64       // as multiples of Setup
	Full                            time.Duration // queueing delay above which set-ups are rejected
	Resend                          time.Duration // first retransmission interval of a queued set-up; it doubles each time
}

// Capacity returns the number of calls per second that one server can process.
func (w Work) Capacity() float64 {
	return 1 / (w.Setup.Seconds() * (1 + w.Answer + w.Release))
}

// Server is a stand-in for a menu server of the platform: one processor with one FIFO queue. Set-ups, answers and releases
// take processor time, and so do rejections and the retransmissions of a queued set-up. A set-up that has been given up is
// processed nevertheless.
type Server struct {
	ln   net.Listener
	work Work

	mu      sync.Mutex
	rng     *rand.Rand
	slow    float64   // factor of the cost of all work
	free    time.Time // time at which the processor has finished all queued work
	queued  int
	calls   map[string]*served
	shown   string                    // last load report, renewed every half second
	shot    time.Time                 // time of the last load report
	worked  time.Duration             // processor time since the last load report
	lns     []net.Listener            // further listeners, one for each peer
	lines   []*serverLine             // open connections, oldest first
	unasked bool                      // the state is sent periodically and on each new connection
	late    map[string][]*sip.Message // releases that wait for the peer's next connection

	hear  func(Seen)    // receives observations; may be nil
	cold  time.Time     // time of a cold start; zero if the server is warm
	start float64       // fraction of the capacity at the cold start
	warm  time.Duration // time from the cold start until full capacity

	setups, wasted int             // set-ups that arrived, and set-ups processed after they had been given up
	full           int             // set-ups rejected because the queue was too long
	ids            map[string]bool // call IDs of all set-ups

	engaged      string  // number whose lines are all busy, "" for none
	hang         bool    // set-ups are accepted and never answered
	ill          float64 // fraction of set-ups that fail
	hung, failed int     // set-ups that were left unanswered, and that failed by injected faults
}

// serverLine is one connection. A separate goroutine writes to it, so that the server never waits for a peer.
type serverLine struct {
	conn net.Conn
	peer string // name of the peer, known from the listener
	out  chan []byte
	over bool
}

const backMost = 1024 // most messages queued for writing on one connection

// write queues a message. It never blocks: it closes the connection if its queue is full. The caller must hold the server's
// lock.
func (l *serverLine) write(m *sip.Message) {
	if l.over {
		return
	}
	select {
	case l.out <- m.Append(nil):
	default:
		l.conn.Close()
	}
}

// served is a call on the server, from its set-up until its end.
type served struct {
	line   *serverLine
	invite *sip.Message
	stands bool // the call is established
	gone   bool // the call was given up or has ended
}

// NewServer starts a server on loopback.
func NewServer(work Work, seed uint64) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ln: ln, work: work, rng: rand.New(rand.NewPCG(seed, 1)), slow: 1, calls: map[string]*served{}, ids: map[string]bool{}, shot: time.Now(),
		late: map[string][]*sip.Message{}}
	go s.accept(ln, "")
	return s, nil
}

func (s *Server) accept(ln net.Listener, peer string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go s.serve(c, peer)
	}
}

// ListenFor opens another listener, for one peer only, and returns its address. The listener identifies the peer of a
// connection: messages about a call may be sent on any connection of the same peer (PROTOCOL, gatekeepers to menu servers).
func (s *Server) ListenFor(peer string) (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	s.lns = append(s.lns, ln)
	s.mu.Unlock()
	go s.accept(ln, peer)
	return ln.Addr().String(), nil
}

// Addr returns the address of the server's first listener.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Hear sets the function that receives the server's observations, in order. f runs with the server's lock held and must not
// call the server. Hear must be called before the first call arrives.
func (s *Server) Hear(f func(Seen)) {
	s.mu.Lock()
	s.hear = f
	s.mu.Unlock()
}

// tell reports an observation. The caller must hold the lock.
func (s *Server) tell(kind SeenKind, call string) {
	if s.hear != nil {
		s.hear(Seen{At: time.Now(), Kind: kind, Call: call})
	}
}

// Cold makes the server start cold now: its capacity rises linearly from the fraction start to its full value within a time.
func (s *Server) Cold(start float64, within time.Duration) {
	s.mu.Lock()
	s.cold, s.start, s.warm = time.Now(), start, within
	s.mu.Unlock()
}

// factor returns the current cost of work relative to a warm server at full speed. The caller must hold the lock.
func (s *Server) factor() float64 {
	f := s.slow
	if age := time.Since(s.cold); !s.cold.IsZero() && age < s.warm {
		f /= s.start + (1-s.start)*age.Seconds()/s.warm.Seconds()
	}
	return f
}

// Status sends the server's state periodically on its connections, at most four for each peer, and immediately on each new
// connection, until end is called.
func (s *Server) Status(every time.Duration) (end func()) {
	s.mu.Lock()
	s.unasked = true
	s.mu.Unlock()
	tick, done := time.NewTicker(every), make(chan struct{})
	go func() {
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			s.mu.Lock()
			told, m := map[string]int{}, s.state()
			for _, l := range s.lines {
				if told[l.peer]++; told[l.peer] <= 4 {
					l.write(m)
				}
			}
			s.mu.Unlock()
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}

func (s *Server) state() *sip.Message {
	return sip.Request("NOTIFY", "sip:peer").Set("Via", "SIP/2.0/TCP server").Set("Call-ID", "0000000000000000").
		Set("CSeq", "1 NOTIFY").Set("X-Occupancy", s.report())
}

// Kill ends the server as the crash of its process would: it resets all connections and drops all calls.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeListeners()
	for id, k := range s.calls {
		k.gone = true
		s.tell(ServerCut, id)
	}
	s.calls = map[string]*served{}
	for _, l := range s.lines {
		if t, ok := l.conn.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		l.conn.Close()
	}
}

// Engage makes the server answer calls to a number as busy; "" ends this.
func (s *Server) Engage(number string) {
	s.mu.Lock()
	s.engaged = number
	s.mu.Unlock()
}

// Hang sets whether the server hangs: it then accepts set-ups and never answers them. It continues to report its state,
// which shows an idle server.
func (s *Server) Hang(on bool) {
	s.mu.Lock()
	s.hang = on
	s.mu.Unlock()
}

// FailPart sets the fraction of set-ups that the server answers with status 500.
func (s *Server) FailPart(part float64) {
	s.mu.Lock()
	s.ill = part
	s.mu.Unlock()
}

func (s *Server) closeListeners() {
	s.ln.Close()
	for _, ln := range s.lns {
		ln.Close()
	}
}

// Slow sets the factor by which all work that arrives from now on takes longer.
func (s *Server) Slow(factor float64) {
	s.mu.Lock()
	s.slow = factor
	s.mu.Unlock()
}

// count adds the server's counts so far to o and the call IDs of its set-ups to ids.
func (s *Server) count(o *Outcome, ids map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o.Setups += s.setups
	o.Wasted += s.wasted
	o.Full += s.full
	o.Hung += s.hung
	o.FailedPart += s.failed
	for id := range s.ids {
		ids[id] = true
	}
}

// Close closes the server's listeners and connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeListeners()
	for _, l := range s.lines {
		l.conn.Close()
	}
}

func (s *Server) serve(c net.Conn, peer string) {
	defer c.Close()
	l := &serverLine{conn: c, peer: peer, out: make(chan []byte, backMost)}
	go func() {
		for b := range l.out {
			if _, err := c.Write(b); err != nil {
				c.Close()
			}
		}
	}()
	s.enter(l)
	defer s.leave(l)
	for r := sip.NewReader(bufio.NewReaderSize(c, sip.MaxMessage)); ; {
		m, err := r.Next()
		if err != nil {
			return
		}
		s.take(m, l)
	}
}

// enter registers a new connection and sends it the state, if that is sent unsolicited, and the peer's waiting releases.
func (s *Server) enter(l *serverLine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, l)
	if s.unasked {
		l.write(s.state())
	}
	for _, m := range s.late[l.peer] {
		l.write(m)
	}
	delete(s.late, l.peer)
}

// leave removes a closed connection. Set-ups open on it count as given up; established calls continue.
func (s *Server) leave(l *serverLine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = slices.DeleteFunc(s.lines, func(o *serverLine) bool { return o == l })
	l.over = true
	close(l.out)
	for id, k := range s.calls {
		if k.line == l && !k.stands && !k.gone {
			k.gone = true
			s.tell(ServerGivenUp, id)
		}
	}
}

// release sends the end of an established call on the connection of its set-up, or else on another connection of that peer,
// or else on the peer's next one.
func (s *Server) release(own *serverLine, m *sip.Message) {
	if !own.over {
		own.write(m)
		return
	}
	for _, l := range s.lines {
		if l.peer == own.peer {
			l.write(m)
			return
		}
	}
	s.late[own.peer] = append(s.late[own.peer], m)
}

func (s *Server) take(m *sip.Message, l *serverLine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := m.Get("Call-ID")
	k := s.calls[id]
	switch m.Method {
	case "INVITE":
		s.setups++
		s.ids[id] = true
		k = &served{line: l, invite: m}
		s.calls[id] = k
		s.tell(ServerSetup, id)
		if s.hang {
			s.hung++
			return
		}
		if s.engaged != "" && strings.HasPrefix(m.URI, "sip:"+s.engaged+"@") {
			s.do(s.work.Refuse, func() {
				s.drop(id, k)
				l.write(s.reply(m, 486).Set("X-Diagnosis", "sub"))
			})
			return
		}
		if s.ill > 0 && s.rng.Float64() < s.ill {
			s.failed++
			s.do(s.work.Refuse, func() {
				s.drop(id, k)
				l.write(s.reply(m, 500))
			})
			return
		}
		if time.Until(s.free) > s.work.Full {
			s.full++
			s.do(s.work.Refuse, func() {
				s.drop(id, k)
				s.tell(ServerFull, id)
				l.write(s.reply(m, 503).Set("X-Diagnosis", "acc"))
			})
			return
		}
		s.do(1, func() { s.do(s.work.Answer, func() { s.answer(id, k) }) })
		for gap, at := s.work.Resend, s.work.Resend; gap > 0 && at < time.Until(s.free); at += gap {
			s.do(s.work.Repeat, nil)
			gap *= 2
		}
	case "CANCEL", "BYE":
		if k != nil {
			if !k.gone && !k.stands {
				s.tell(ServerGivenUp, id)
			}
			k.gone = true
			if k.stands {
				s.drop(id, k)
			}
		}
	}
}

// drop removes a call, unless a later call has taken over its ID.
func (s *Server) drop(id string, k *served) {
	if s.calls[id] == k {
		delete(s.calls, id)
	}
}

// do queues work, measured in set-ups, and runs then, with the lock held, when the work is done. Work without cost is done
// immediately, because a timer would add its own delay.
func (s *Server) do(setups float64, then func()) {
	if s.work.Setup == 0 {
		if then != nil {
			then()
		}
		return
	}
	cost := time.Duration(setups * s.factor() * float64(s.work.Setup))
	if now := time.Now(); s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(cost)
	s.queued++
	time.AfterFunc(time.Until(s.free), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.queued--
		s.worked += cost
		if then != nil {
			then()
		}
	})
}

func (s *Server) answer(id string, k *served) {
	if k.gone {
		s.wasted++
		s.drop(id, k)
		return
	}
	k.stands = true
	r := s.reply(k.invite, 200)
	r.Body = fmt.Appendf(nil, "stands %s\r\n", id)
	s.tell(ServerAnswered, id)
	k.line.write(r)
	hold := time.Duration(s.rng.ExpFloat64() * float64(8*time.Second))
	time.AfterFunc(hold, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.do(s.work.Release, func() {
			if k.gone {
				return
			}
			s.drop(id, k)
			s.release(k.line, sip.Request("BYE", "sip:peer").Set("Via", k.invite.Get("Via")).Set("Call-ID", id).Set("CSeq", "2 BYE").
				Set("Reason", "Q.850;cause=16").Set("X-Occupancy", s.report()))
		})
	})
}

func (s *Server) reply(m *sip.Message, status int) *sip.Message {
	return sip.Respond(m, status, "Final").Set("X-Occupancy", s.report())
}

// report returns the processor use and queue length of the last measurement, which is at most half a second old.
func (s *Server) report() string {
	if span := time.Since(s.shot); span > 500*time.Millisecond || s.shown == "" {
		s.shown = strings.Join([]string{fmt.Sprintf("busy:%.3f", min(1, s.worked.Seconds()/max(span.Seconds(), 0.5))),
			fmt.Sprintf("q:%d", s.queued)}, ";")
		s.shot, s.worked = time.Now(), 0
	}
	return s.shown
}
