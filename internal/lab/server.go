// Package lab is the project's laboratory: stand-ins for menu servers and callers on loopback, run against gatekeepers in
// process, to measure what a change does. They are written from PROTOCOL's figures and are models, not measurements.
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

// Work is what a call costs a server's processor.
type Work struct {
	Setup                           time.Duration
	Answer, Release, Refuse, Repeat float64       // in set-ups
	MaxQueueDelay                   time.Duration // wait from which set-ups are turned away
	RetransmitInterval              time.Duration // a set-up that waits is repeated after this and at doubling gaps
}

// Capacity is how many calls a second the work allows.
func (w Work) Capacity() float64 {
	return 1 / (w.Setup.Seconds() * (1 + w.Answer + w.Release))
}

// Server is a stand-in for a menu server of the platform: one processor with one line, first in, first out. Set-ups,
// answers and releases are work, and so are refusals and the repeats of a set-up that waits. What was given up is worked
// on all the same.
type Server struct {
	ln   net.Listener
	work Work

	mu      sync.Mutex
	rng     *rand.Rand
	slow    float64   // factor of all work
	free    time.Time // when the processor has done all that is queued
	queued  int
	calls   map[string]*served
	shown   string // report, measured every half second
	shot    time.Time
	worked  time.Duration             // since the report was measured
	lns     []net.Listener            // further ones, each of one peer
	lines   []*serverLine             // the open connections, oldest first
	unasked bool                      // the state is told unasked
	late    map[string][]*sip.Message // releases that wait for a peer's next connection

	hear  func(Observation) // nil: nobody
	cold  time.Time         // started cold then; zero: warm
	start float64           // part of its capacity that it has then
	warm  time.Duration

	setups, wasted int             // that arrived; that were worked on after they had been given up
	full           int             // that were turned away
	ids            map[string]bool // of the set-ups

	engaged      string
	hang         bool    // set-ups are taken and never answered
	ill          float64 // part of them that fails
	hung, failed int     // so far
}

// serverLine is one connection. Its writer has a goroutine of its own, so that the server never waits for a peer.
type serverLine struct {
	conn net.Conn
	peer string // whose it is, as its listener says
	out  chan []byte
	over bool
}

const backMost = 1024 // messages that wait to be written to one connection

// write queues a message. It never blocks: a connection that takes nothing more is closed. The server's lock is held.
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

type served struct {
	line   *serverLine
	invite *sip.Message
	stands bool
	gone   bool
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

// ListenFor opens one more address, for one peer alone: by it the server knows whose a connection is. What concerns a call
// is told on its connection or any other of the same peer (PROTOCOL, gatekeepers to menu servers).
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

// Addr is where the server listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// SetObserver lets f know of what comes and of what is answered, in order and with the server's lock held: f must not call the
// server. It is called before any caller is.
func (s *Server) SetObserver(f func(Observation)) {
	s.mu.Lock()
	s.hear = f
	s.mu.Unlock()
}

// tell is called with the lock held.
func (s *Server) tell(kind ObservationKind, call string) {
	if s.hear != nil {
		s.hear(Observation{At: time.Now(), Kind: kind, Call: call})
	}
}

// StartCold lets the server begin now with a part of its capacity, and get the rest evenly within a time.
func (s *Server) StartCold(start float64, within time.Duration) {
	s.mu.Lock()
	s.cold, s.start, s.warm = time.Now(), start, within
	s.mu.Unlock()
}

// factor is how many times longer than on a warm and untroubled server work takes now. The lock is held.
func (s *Server) factor() float64 {
	f := s.slow
	if age := time.Since(s.cold); !s.cold.IsZero() && age < s.warm {
		f /= s.start + (1-s.start)*age.Seconds()/s.warm.Seconds()
	}
	return f
}

// StartStatusReports tells the server's state every so often on its connections, four at most to a peer, and at once on each new one, until ended.
func (s *Server) StartStatusReports(every time.Duration) (end func()) {
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

// Kill ends the server as the death of its process does: connections are reset and every call is cut.
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

// SetBusyNumber lets all lines of a number be busy: "" for none.
func (s *Server) SetBusyNumber(number string) {
	s.mu.Lock()
	s.engaged = number
	s.mu.Unlock()
}

// SetHanging lets the server take set-ups on open connections and never answer one that comes from now on, until it is told otherwise.
// It goes on telling its state, in which it has nothing to do.
func (s *Server) SetHanging(on bool) {
	s.mu.Lock()
	s.hang = on
	s.mu.Unlock()
}

// SetFailureRate lets the server fail a part of the set-ups (500).
func (s *Server) SetFailureRate(part float64) {
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

// Slow makes all work that comes now take so many times longer.
func (s *Server) Slow(factor float64) {
	s.mu.Lock()
	s.slow = factor
	s.mu.Unlock()
}

// count adds what came so far: set-ups, those that were worked on after they had been given up, and the ids that came.
func (s *Server) count(o *Outcome, ids map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o.Setups += s.setups
	o.Wasted += s.wasted
	o.TurnedAway += s.full
	o.Hung += s.hung
	o.FailedByFault += s.failed
	for id := range s.ids {
		ids[id] = true
	}
}

// Close ends the server and its connections.
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

// enter tells a new connection the state, and the releases that waited for one.
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

// leave ends what a connection that is closed leaves: the set-ups open on it are given up, and calls that stand stay.
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

// release tells the end of a call that stood on the connection of its set-up, else on another of that peer, else on its next.
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
		if time.Until(s.free) > s.work.MaxQueueDelay {
			s.full++
			s.do(s.work.Refuse, func() {
				s.drop(id, k)
				s.tell(ServerFull, id)
				l.write(s.reply(m, 503).Set("X-Diagnosis", "acc"))
			})
			return
		}
		s.do(1, func() { s.do(s.work.Answer, func() { s.answer(id, k) }) })
		for gap, at := s.work.RetransmitInterval, s.work.RetransmitInterval; gap > 0 && at < time.Until(s.free); at += gap {
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

// drop forgets a call, but not one that came later under its id.
func (s *Server) drop(id string, k *served) {
	if s.calls[id] == k {
		delete(s.calls, id)
	}
}

// do queues work, measured in set-ups, and runs then (with the lock held) when it is done. Where work costs nothing that is at
// once: a timer would add its own delay.
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

// report tells use and queue as they were at the last measurement.
func (s *Server) report() string {
	if span := time.Since(s.shot); span > 500*time.Millisecond || s.shown == "" {
		s.shown = strings.Join([]string{fmt.Sprintf("busy:%.3f", min(1, s.worked.Seconds()/max(span.Seconds(), 0.5))),
			fmt.Sprintf("q:%d", s.queued)}, ";")
		s.shot, s.worked = time.Now(), 0
	}
	return s.shown
}
