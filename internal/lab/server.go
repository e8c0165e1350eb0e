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
	MaxQueueDelay                   time.Duration // queueing delay above which set-ups are rejected
	RetransmitInterval              time.Duration // first retransmission interval of a queued set-up; it doubles each time
}

// Capacity returns the number of calls per second that one server can process.
func (w Work) Capacity() float64 {
	return 1 / (w.Setup.Seconds() * (1 + w.Answer + w.Release))
}

// Server is a stand-in for a menu server of the platform: one processor with one FIFO queue. Set-ups, answers and releases
// take processor time, and so do rejections and the retransmissions of a queued set-up. A set-up that has been given up is
// processed nevertheless.
type Server struct {
	listener net.Listener
	work     Work

	mu                sync.Mutex
	rng               *rand.Rand
	slow              float64   // factor of the cost of all work
	idleAt            time.Time // time at which the processor has finished all queued work
	queued            int       // items of queued work
	calls             map[string]*serverCall
	lastReport        string                    // last load report, renewed every half second
	lastReportAt      time.Time                 // time of the last load report
	workedSinceReport time.Duration             // processor time since the last load report
	peerListeners     []net.Listener            // further listeners, one for each peer
	connections       []*serverConn             // open connections, oldest first
	pushState         bool                      // the state is sent periodically and on each new connection
	pendingReleases   map[string][]*sip.Message // releases that wait for the peer's next connection

	observer      func(Observation) // receives observations; may be nil
	coldSince     time.Time         // time of a cold start; zero if the server is warm
	startCapacity float64           // fraction of the capacity at the cold start
	warmUpTime    time.Duration     // time from the cold start until full capacity

	setups, wasted int             // set-ups that arrived, and set-ups processed after they had been given up
	turnedAway     int             // set-ups rejected because the queue was too long
	callIDs        map[string]bool // call IDs of all set-ups

	vanished     bool    // the machine is lost: nothing is done any more
	busyNumber   string  // number whose lines are all busy, "" for none
	hanging      bool    // set-ups are accepted and never answered
	failureRate  float64 // fraction of set-ups that fail
	spoiledShare float64 // fraction of answers that are spoiled
	hung, failed int     // set-ups that were left unanswered, and that failed by injected faults
}

// serverConn is one connection. A separate goroutine writes to it, so that the server never waits for a peer.
type serverConn struct {
	conn     net.Conn
	peer     string // name of the peer, known from the listener
	outgoing chan []byte
	closed   bool
}

const maxQueuedMessages = 1024 // most messages queued for writing on one connection

// write queues a message. It never blocks: it closes the connection if its queue is full. The caller must hold the server's
// lock.
func (l *serverConn) write(m *sip.Message) { l.writeBytes(m.Append(nil)) }

// writeBytes is write for bytes that need not be a message.
func (l *serverConn) writeBytes(data []byte) {
	if l.closed {
		return
	}
	select {
	case l.outgoing <- data:
	default:
		l.conn.Close()
	}
}

// serverCall is a call on the server, from its set-up until its end.
type serverCall struct {
	setupConn   *serverConn
	invite      *sip.Message
	established bool // the call is established
	ended       bool // the call was given up or has ended
}

// NewServer starts a server on loopback.
func NewServer(work Work, seed uint64) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, work: work, rng: rand.New(rand.NewPCG(seed, 1)), slow: 1, calls: map[string]*serverCall{}, callIDs: map[string]bool{}, lastReportAt: time.Now(),
		pendingReleases: map[string][]*sip.Message{}}
	go s.accept(listener, "")
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
	s.peerListeners = append(s.peerListeners, ln)
	s.mu.Unlock()
	go s.accept(ln, peer)
	return ln.Addr().String(), nil
}

// Addr returns the address of the server's first listener.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// SetObserver sets the function that receives the server's observations, in order. f runs with the server's lock held and must
// not call the server. SetObserver must be called before the first call arrives.
func (s *Server) SetObserver(f func(Observation)) {
	s.mu.Lock()
	s.observer = f
	s.mu.Unlock()
}

// observe reports an observation. The caller must hold the lock.
func (s *Server) observe(kind ObservationKind, call string) { s.observePeer(kind, call, "") }

// observePeer reports an observation that concerns a peer. The caller must hold the lock.
func (s *Server) observePeer(kind ObservationKind, call, peer string) {
	if s.observer != nil {
		s.observer(Observation{At: time.Now(), Kind: kind, Call: call, Peer: peer})
	}
}

// StartCold makes the server start cold now: its capacity rises linearly from the fraction startCapacity to its full value
// within the given time.
func (s *Server) StartCold(startCapacity float64, within time.Duration) {
	s.mu.Lock()
	s.coldSince, s.startCapacity, s.warmUpTime = time.Now(), startCapacity, within
	s.mu.Unlock()
}

// factor returns the current cost of work relative to a warm server at full speed. The caller must hold the lock.
func (s *Server) factor() float64 {
	f := s.slow
	if age := time.Since(s.coldSince); !s.coldSince.IsZero() && age < s.warmUpTime {
		f /= s.startCapacity + (1-s.startCapacity)*age.Seconds()/s.warmUpTime.Seconds()
	}
	return f
}

// StartStatusReports sends the server's state periodically on its connections, at most four for each peer, and immediately on
// each new connection, until end is called.
func (s *Server) StartStatusReports(every time.Duration) (end func()) {
	s.mu.Lock()
	s.pushState = true
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
			reported, m := map[string]int{}, s.state()
			for _, connection := range s.connections {
				if reported[connection.peer]++; reported[connection.peer] <= 4 {
					connection.write(m)
				}
			}
			s.mu.Unlock()
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}

// state returns a state report as a message.
func (s *Server) state() *sip.Message {
	return sip.Request("NOTIFY", "sip:peer").Set("Via", "SIP/2.0/TCP server").Set("Call-ID", "0000000000000000").
		Set("CSeq", "1 NOTIFY").Set("X-Occupancy", s.report())
}

// Kill ends the server as the crash of its process would: it resets all connections and drops all calls.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeListeners()
	for id, call := range s.calls {
		call.ended = true
		s.observe(ServerCut, id)
	}
	s.calls = map[string]*serverCall{}
	for _, connection := range s.connections {
		if t, ok := connection.conn.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		connection.conn.Close()
	}
}

// Vanish ends the server as the loss of its machine would: it drops all calls and does nothing more. Its connections stay open and
// silent; whether new ones come up is up to the network.
func (s *Server) Vanish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vanished = true
	for id, call := range s.calls {
		call.ended = true
		s.observe(ServerCut, id)
	}
	s.calls = map[string]*serverCall{}
}

// SetBusyNumber makes the server answer calls to a number as busy; "" ends this.
func (s *Server) SetBusyNumber(number string) {
	s.mu.Lock()
	s.busyNumber = number
	s.mu.Unlock()
}

// SetHanging sets whether the server hangs: it then accepts set-ups and never answers them. It continues to report its state,
// which shows an idle server.
func (s *Server) SetHanging(on bool) {
	s.mu.Lock()
	s.hanging = on
	s.mu.Unlock()
}

// SetFailureRate sets the fraction of set-ups that the server answers with status 500.
func (s *Server) SetFailureRate(rate float64) {
	s.mu.Lock()
	s.failureRate = rate
	s.mu.Unlock()
}

// SetSpoiledShare sets the fraction of answers that are spoiled: broken off in the middle, not readable, or followed by a second one.
func (s *Server) SetSpoiledShare(share float64) {
	s.mu.Lock()
	s.spoiledShare = share
	s.mu.Unlock()
}

// secondAnswerDelay is the time from an answer to a second one for the same set-up.
const secondAnswerDelay = 5 * time.Millisecond

// spoil spoils the answer to a set-up. It reports whether the call is established, because a whole answer comes first.
// The caller must hold the lock.
func (s *Server) spoil(connection *serverConn, response *sip.Message) (stands bool) {
	whole := response.Append(nil)
	switch s.rng.IntN(3) {
	case 0:
		connection.writeBytes(whole[:len(whole)/2])
		time.AfterFunc(secondAnswerDelay, func() { connection.conn.Close() })
		return false
	case 1:
		connection.writeBytes(append([]byte("SIP/2.0 twohundred "), whole...))
		return false
	}
	second := *response
	second.Body = []byte("a second answer")
	time.AfterFunc(secondAnswerDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		connection.write(&second)
	})
	return true
}

func (s *Server) closeListeners() {
	s.listener.Close()
	for _, listener := range s.peerListeners {
		listener.Close()
	}
}

// Slow sets the factor by which all work that arrives from now on takes longer.
func (s *Server) Slow(factor float64) {
	s.mu.Lock()
	s.slow = factor
	s.mu.Unlock()
}

// count adds the server's counts so far to o and the call IDs of its set-ups to callIDs.
func (s *Server) count(o *Outcome, callIDs map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o.Setups += s.setups
	o.Wasted += s.wasted
	o.TurnedAway += s.turnedAway
	o.Hung += s.hung
	o.FailedByFault += s.failed
	for id := range s.callIDs {
		callIDs[id] = true
	}
}

// Close closes the server's listeners and connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeListeners()
	for _, connection := range s.connections {
		connection.conn.Close()
	}
}

func (s *Server) serve(c net.Conn, peer string) {
	defer c.Close()
	connection := &serverConn{conn: c, peer: peer, outgoing: make(chan []byte, maxQueuedMessages)}
	go func() {
		for b := range connection.outgoing {
			if _, err := c.Write(b); err != nil {
				c.Close()
			}
		}
	}()
	s.addConnection(connection)
	defer s.removeConnection(connection)
	for r := sip.NewReader(bufio.NewReaderSize(c, sip.MaxMessage)); ; {
		m, err := r.Next()
		if err != nil {
			return
		}
		s.handle(m, connection)
	}
}

// addConnection registers a new connection and sends the state, if pushState is set, and the peer's pending releases on it.
func (s *Server) addConnection(connection *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections = append(s.connections, connection)
	if s.pushState {
		connection.write(s.state())
	}
	for _, m := range s.pendingReleases[connection.peer] {
		connection.write(m)
	}
}

// removeConnection removes a closed connection. Set-ups open on it count as given up; established calls continue.
func (s *Server) removeConnection(connection *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections = slices.DeleteFunc(s.connections, func(other *serverConn) bool { return other == connection })
	connection.closed = true
	close(connection.outgoing)
	for id, call := range s.calls {
		if call.setupConn == connection && !call.established && !call.ended {
			call.ended = true
			s.observe(ServerGivenUp, id)
		}
	}
}

// release sends the end of an established call on the connection of its set-up, or else on another connection of that peer,
// and also on the peer's next one, unless it is confirmed by then.
func (s *Server) release(preferred *serverConn, m *sip.Message) {
	s.pendingReleases[preferred.peer] = append(s.pendingReleases[preferred.peer], m)
	if !preferred.closed {
		preferred.write(m)
		return
	}
	for _, connection := range s.connections {
		if connection.peer == preferred.peer {
			connection.write(m)
			return
		}
	}
}

// confirmRelease removes a release that the peer has confirmed from those that are sent on its next connection.
func (s *Server) confirmRelease(m *sip.Message, connection *serverConn) {
	if _, method, _ := m.CSeq(); method == "BYE" {
		s.pendingReleases[connection.peer] = slices.DeleteFunc(s.pendingReleases[connection.peer],
			func(release *sip.Message) bool { return release.Get("Call-ID") == m.Get("Call-ID") })
	}
}

// handle processes one message of a peer: a set-up, its cancellation or the release of a call.
func (s *Server) handle(m *sip.Message, connection *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.vanished {
		return
	}
	id := m.Get("Call-ID")
	if m.Status != 0 {
		s.confirmRelease(m, connection)
		return
	}
	call := s.calls[id]
	switch m.Method {
	case "INVITE":
		s.setups++
		s.callIDs[id] = true
		call = &serverCall{setupConn: connection, invite: m}
		s.calls[id] = call
		s.observePeer(ServerSetup, id, connection.peer)
		if s.hanging {
			s.hung++
			return
		}
		if s.busyNumber != "" && strings.HasPrefix(m.URI, "sip:"+s.busyNumber+"@") {
			s.schedule(s.work.Refuse, func() {
				s.forget(id, call)
				connection.write(s.reply(m, 486).Set("X-Diagnosis", "sub"))
			})
			return
		}
		if s.failureRate > 0 && s.rng.Float64() < s.failureRate {
			s.failed++
			s.schedule(s.work.Refuse, func() {
				s.forget(id, call)
				connection.write(s.reply(m, 500))
			})
			return
		}
		if time.Until(s.idleAt) > s.work.MaxQueueDelay {
			s.turnedAway++
			s.schedule(s.work.Refuse, func() {
				s.forget(id, call)
				s.observe(ServerFull, id)
				connection.write(s.reply(m, 503).Set("X-Diagnosis", "acc"))
			})
			return
		}
		s.schedule(1, func() { s.schedule(s.work.Answer, func() { s.answer(id, call) }) })
		for gap, at := s.work.RetransmitInterval, s.work.RetransmitInterval; gap > 0 && at < time.Until(s.idleAt); at += gap {
			s.schedule(s.work.Repeat, nil)
			gap *= 2
		}
	case "CANCEL", "BYE":
		if call != nil {
			if !call.ended && !call.established {
				s.observe(ServerGivenUp, id)
			}
			call.ended = true
			if call.established {
				s.observe(ServerHeardRelease, id)
				s.forget(id, call)
			}
		}
		if m.Method == "BYE" {
			connection.write(s.reply(m, 200))
		}
	}
}

// forget removes a call, unless a later call has taken over its ID.
func (s *Server) forget(id string, call *serverCall) {
	if s.calls[id] == call {
		delete(s.calls, id)
	}
}

// schedule queues work, measured in set-ups, and calls done, with the lock held, when the work is done. If work costs nothing,
// it calls done immediately, because a timer would add its own delay.
func (s *Server) schedule(setups float64, done func()) {
	if s.work.Setup == 0 {
		if done != nil {
			done()
		}
		return
	}
	cost := time.Duration(setups * s.factor() * float64(s.work.Setup))
	if now := time.Now(); s.idleAt.Before(now) {
		s.idleAt = now
	}
	s.idleAt = s.idleAt.Add(cost)
	s.queued++
	time.AfterFunc(time.Until(s.idleAt), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.queued--
		s.workedSinceReport += cost
		if done != nil {
			done()
		}
	})
}

// answer accepts a set-up, unless it was given up meanwhile, and releases the call after a random holding time.
func (s *Server) answer(id string, call *serverCall) {
	if s.vanished {
		return
	}
	if call.ended {
		s.wasted++
		s.forget(id, call)
		return
	}
	response := s.reply(call.invite, 200)
	response.Body = fmt.Appendf(nil, "stands %s\r\n", id)
	if s.spoiledShare > 0 && s.rng.Float64() < s.spoiledShare && !s.spoil(call.setupConn, response) {
		s.forget(id, call)
		return
	}
	call.established = true
	s.observe(ServerAnswered, id)
	call.setupConn.write(response)
	hold := time.Duration(s.rng.ExpFloat64() * float64(8*time.Second))
	time.AfterFunc(hold, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.schedule(s.work.Release, func() {
			if call.ended {
				return
			}
			s.forget(id, call)
			s.observe(ServerReleased, id)
			s.release(call.setupConn, sip.Request("BYE", "sip:peer").Set("Via", call.invite.Get("Via")).Set("Call-ID", id).Set("CSeq", "2 BYE").
				Set("Reason", "Q.850;cause=16").Set("X-Occupancy", s.report()))
		})
	})
}

func (s *Server) reply(m *sip.Message, status int) *sip.Message {
	return sip.Respond(m, status, "Final").Set("X-Occupancy", s.report())
}

// report returns the processor use and queue length of the last measurement, which is at most half a second old.
func (s *Server) report() string {
	if span := time.Since(s.lastReportAt); span > 500*time.Millisecond || s.lastReport == "" {
		s.lastReport = strings.Join([]string{fmt.Sprintf("busy:%.3f", min(1, s.workedSinceReport.Seconds()/max(span.Seconds(), 0.5))),
			fmt.Sprintf("q:%d", s.queued)}, ";")
		s.lastReportAt, s.workedSinceReport = time.Now(), 0
	}
	return s.lastReport
}
