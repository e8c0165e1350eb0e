//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sipMessage is a message between a gatekeeper and a menu server.
type sipMessage struct {
	start  string
	header textproto.MIMEHeader
	body   string
}

// readSIP reads one message of a stream.
func readSIP(in *bufio.Reader) (*sipMessage, time.Time, error) {
	if _, err := in.Peek(1); err != nil {
		return nil, time.Time{}, err
	}
	first := time.Now() // of the first byte, as far as this process has read
	text := textproto.NewReader(in)
	start, err := text.ReadLine()
	if err != nil {
		return nil, first, err
	}
	header, err := text.ReadMIMEHeader()
	if err != nil {
		return nil, first, err
	}
	length, err := strconv.Atoi(strings.TrimSpace(header.Get("Content-Length")))
	if err != nil {
		return nil, first, fmt.Errorf("Content-Length: %v", err)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(in, body); err != nil {
		return nil, first, err
	}
	return &sipMessage{start, header, string(body)}, first, nil
}

// menuServer is a stand-in for a menu server of the platform.
type menuServer struct {
	lab      *lab
	name     string
	listener net.Listener
	delay    func() time.Duration             // from a set-up to its answer
	hold     func() time.Duration             // from the answer to the end of the call; nil: it stands
	describe func(id string) string           // description of an answer
	onSetup  func(id string, first time.Time) // a set-up has arrived

	mu    sync.Mutex
	conns []*serverSide
	calls map[string]*serverCall
	again []string // releases that are sent also on the next connection that is opened
}

// serverSide is one connection of a gatekeeper.
type serverSide struct {
	net.Conn
	mu sync.Mutex
}

func (c *serverSide) send(text string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := io.WriteString(c.Conn, text)
	return err == nil
}

// serverCall is a call at a menu server.
type serverCall struct {
	conn      *serverSide
	standing  bool
	cancelled bool
}

func (l *lab) startServer(name string) *menuServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	l.require(err == nil, "%v", err)
	s := &menuServer{lab: l, name: name, listener: listener, calls: map[string]*serverCall{},
		delay:    func() time.Duration { return 20 * time.Millisecond },
		describe: func(id string) string { return "s-" + name + "-" + id + "\r\nc=IN IP4 127.0.0.1\r\n" }}
	return s
}

// serve takes gatekeepers' connections from now on.
func (s *menuServer) serve() *menuServer {
	go func() {
		for {
			c, err := s.listener.Accept()
			if err != nil {
				return
			}
			go s.serveConn(&serverSide{Conn: c})
		}
	}()
	go func() { // its state, on the open connections, four at most
		for range time.Tick(time.Second) {
			s.mu.Lock()
			conns := append([]*serverSide(nil), s.conns[:min(4, len(s.conns))]...)
			s.mu.Unlock()
			for _, c := range conns {
				c.send(s.state())
			}
		}
	}()
	return s
}

func (s *menuServer) addr() string { return s.listener.Addr().String() }

// report is the load report of all messages.
func (s *menuServer) report() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("X-Occupancy: spare:%d;total:1000;busy:0.3;q:0\r\n", 1000-len(s.calls))
}

func (s *menuServer) state() string {
	return "NOTIFY sip:gatekeeper@net SIP/2.0\r\nVia: SIP/2.0/TCP server\r\nCall-ID: state\r\nCSeq: 1 NOTIFY\r\n" + s.report() +
		"Content-Length: 0\r\n\r\n"
}

func answer(m *sipMessage, status, extra, body string) string {
	return "SIP/2.0 " + status + "\r\nVia: " + m.header.Get("Via") + "\r\nCall-ID: " + m.header.Get("Call-Id") + "\r\nCSeq: " +
		m.header.Get("Cseq") + "\r\n" + extra + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func (s *menuServer) serveConn(c *serverSide) {
	defer c.Close()
	c.send(s.state())
	s.mu.Lock()
	s.conns = append(s.conns, c)
	again := s.again
	s.again = nil
	s.mu.Unlock()
	for _, bye := range again {
		c.send(bye)
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for i, o := range s.conns {
			if o == c {
				s.conns = append(s.conns[:i:i], s.conns[i+1:]...)
				break
			}
		}
		for id, call := range s.calls { // the set-ups open on it are given up
			if call.conn == c && !call.standing {
				call.cancelled = true
				delete(s.calls, id)
			}
		}
	}()
	in := bufio.NewReaderSize(c, 32<<10)
	for {
		m, first, err := readSIP(in)
		if err != nil {
			return
		}
		s.handle(c, m, first)
	}
}

func (s *menuServer) handle(c *serverSide, m *sipMessage, first time.Time) {
	method, _, _ := strings.Cut(m.start, " ")
	id := m.header.Get("Call-Id")
	switch method {
	case "INVITE":
		s.lab.note("%s: INVITE %s", s.name, id)
		if s.onSetup != nil {
			s.onSetup(id, first)
		}
		call := &serverCall{conn: c}
		s.mu.Lock()
		s.calls[id] = call
		s.mu.Unlock()
		time.AfterFunc(s.delay(), func() { s.answerCall(c, m, id, call) })
	case "CANCEL":
		c.send(answer(m, "200 OK", "", ""))
		s.mu.Lock()
		call := s.calls[id]
		if call != nil && !call.standing {
			call.cancelled = true
			delete(s.calls, id)
		}
		s.mu.Unlock()
	case "BYE":
		c.send(answer(m, "200 OK", s.report(), ""))
		s.mu.Lock()
		delete(s.calls, id)
		s.mu.Unlock()
		s.lab.note("%s: BYE %s", s.name, id)
	case "OPTIONS":
		c.send(answer(m, "200 OK", "", ""))
	}
}

// answerCall answers a set-up that was not given up.
func (s *menuServer) answerCall(c *serverSide, m *sipMessage, id string, call *serverCall) {
	s.mu.Lock()
	if call.cancelled || s.calls[id] != call {
		s.mu.Unlock()
		return
	}
	call.standing = true
	s.mu.Unlock()
	sent := c.send(answer(m, "200 OK", s.report(), s.describe(id)))
	s.lab.note("%s: 200 %s written %v", s.name, id, sent)
	if s.hold != nil {
		if hold := s.hold(); hold > 0 {
			time.AfterFunc(hold, func() { s.release(id, 16) })
		}
	}
}

// release ends a call that stands: on the connection of its set-up, or else on any open one.
func (s *menuServer) release(id string, cause int) {
	s.mu.Lock()
	call := s.calls[id]
	delete(s.calls, id)
	var conns []*serverSide
	if call != nil {
		conns = append([]*serverSide{call.conn}, s.conns...)
	}
	s.mu.Unlock()
	if call == nil {
		return
	}
	m := "BYE sip:gatekeeper@net SIP/2.0\r\nVia: SIP/2.0/TCP server\r\nCall-ID: " + id + "\r\nCSeq: 1 BYE\r\nReason: Q.850;cause=" +
		strconv.Itoa(cause) + "\r\n" + s.report() + "Content-Length: 0\r\n\r\n"
	s.mu.Lock()
	s.again = append(s.again, m)
	s.mu.Unlock()
	for _, c := range conns {
		if c.send(m) {
			s.lab.note("%s: sends BYE %s", s.name, id)
			return
		}
	}
}

// answerInDialog is the 200 to a request in the dialog.
func answerInDialog(m *sipMessage) string {
	via := "Via: " + strings.Join(m.header["Via"], "\r\nVia: ")
	return "SIP/2.0 200 OK\r\n" + via + "\r\nFrom: " + m.header.Get("From") + "\r\nTo: " + m.header.Get("To") + "\r\nCall-ID: " +
		m.header.Get("Call-Id") + "\r\nCSeq: " + m.header.Get("Cseq") + "\r\nContent-Length: 0\r\n\r\n"
}

// standing returns the ids of the calls that stand.
func (s *menuServer) standing() (ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, call := range s.calls {
		if call.standing {
			ids = append(ids, id)
		}
	}
	return ids
}
