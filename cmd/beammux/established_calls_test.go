package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/internal/protocol/jsonl"
	"beammux/internal/protocol/sip"
	"beammux/internal/relay"
)

// Limits of the protocol for an established call that is over: 1 s after the server's release was written, 8 s after its end
// where nothing could be sent; 50 ms more on sockets.
const (
	releaseLimit = time.Second + 50*time.Millisecond
	endLimit     = 8*time.Second + 50*time.Millisecond
	// comeAgainLimit is the stricter target where the caller has come again: 6.5 s to detect the loss and 1 s to deliver.
	comeAgainLimit = 7500 * time.Millisecond
)

// menuServer is a menu server whose every step a test decides. It accepts each set-up, at once or after a delay, and sends its state on each new
// connection and, if reportInterval is not zero, periodically.
type menuServer struct {
	reportInterval time.Duration
	holdTime       time.Duration // after which it releases each call; 0: never
	answerDelay    time.Duration // before it accepts a set-up
	capacity       int           // calls that it holds at a time; further ones are refused; 0: no limit
	listener       net.Listener

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	callConn map[string]net.Conn // connection of each set-up
	released map[string]time.Time
	accepted int                    // connections
	held     int                    // calls whose holdTime has not passed
	invites  map[string][]time.Time // when the set-ups of each call arrived
	vanished bool                   // nothing more is sent
	unread   []byte                 // releases that are written on the next connection
}

func startMenuServer(t *testing.T, reportInterval time.Duration) *menuServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	s := &menuServer{reportInterval: reportInterval, listener: listener, conns: map[net.Conn]struct{}{},
		callConn: map[string]net.Conn{}, released: map[string]time.Time{}, invites: map[string][]time.Time{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *menuServer) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	s.mu.Lock()
	s.conns[conn] = struct{}{}
	s.accepted++
	s.mu.Unlock()
	report := sip.Request("NOTIFY", "sip:peer@net").Set("Via", "SIP/2.0/TCP server").Set("Call-ID", "0000000000000000").
		Set("CSeq", "1 NOTIFY").Set("X-Occupancy", "spare:20;total:40;busy:0.1;q:0").Append(nil)
	conn.Write(report)
	s.mu.Lock()
	conn.Write(s.unread)
	s.mu.Unlock()
	if s.reportInterval > 0 {
		tick := time.NewTicker(s.reportInterval)
		defer tick.Stop()
		go func() {
			for range tick.C {
				if _, err := s.write(conn, report); err != nil {
					return
				}
			}
		}()
	}
	in := sip.NewReader(bufio.NewReader(conn))
	for {
		m, err := in.Next()
		if err != nil {
			return
		}
		id := m.Get("Call-ID")
		s.mu.Lock()
		if m.Method == "INVITE" {
			s.invites[id] = append(s.invites[id], time.Now())
		}
		switch {
		case s.vanished:
		case m.Method == "INVITE" && s.capacity > 0 && s.held >= s.capacity:
			conn.Write(sip.Respond(m, 503, "Full").Append(nil))
		case m.Method == "INVITE":
			s.callConn[id] = conn
			s.held++
			answer := sip.Respond(m, 200, "OK")
			answer.Body = []byte("answer " + id)
			if s.answerDelay > 0 {
				time.AfterFunc(s.answerDelay, func() { s.write(conn, answer.Append(nil)) })
			} else {
				conn.Write(answer.Append(nil))
			}
			if s.holdTime > 0 {
				time.AfterFunc(s.holdTime, func() { s.endCall(conn, id) })
			}
		case m.Method == "BYE":
			if _, repeated := s.released[id]; !repeated {
				s.released[id] = time.Now()
			}
			conn.Write(sip.Respond(m, 200, "OK").Append(nil))
		}
		s.mu.Unlock()
	}
}

// endCall releases a call after its holdTime.
func (s *menuServer) endCall(conn net.Conn, id string) {
	s.mu.Lock()
	s.held--
	s.mu.Unlock()
	s.write(conn, bye(id))
}

// write sends a message, unless the server has vanished.
func (s *menuServer) write(conn net.Conn, message []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.vanished {
		return 0, nil
	}
	return conn.Write(message)
}

// bye returns the release of a call.
func bye(id string) []byte {
	return sip.Request("BYE", "sip:peer@net").Set("Via", "SIP/2.0/TCP server").Set("Call-ID", id).Set("CSeq", "2 BYE").
		Set("Reason", "Q.850;cause=16").Append(nil)
}

// release ends a call, on the connection of its set-up or else on any open one.
func (s *menuServer) release(t *testing.T, id string) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	conn := s.callConn[id]
	if _, open := s.conns[conn]; !open {
		for conn = range s.conns {
			break
		}
	}
	_, err := conn.Write(bye(id))
	require.NoError(t, err)
}

// releaseOnNextConnection ends a call. The connection on which its release was written has ended, so it is written on the next.
func (s *menuServer) releaseOnNextConnection(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unread = bye(id)
}

// acceptedConns returns the number of connections that were accepted.
func (s *menuServer) acceptedConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// heardRelease reports whether the gatekeeper has released a call here.
func (s *menuServer) heardRelease(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.released[id]
	return ok
}

// caller is a client's connection to the gatekeeper. It confirms releases, as clients do.
type caller struct {
	conn     net.Conn
	messages chan jsonl.Message
}

func dialCaller(t *testing.T, addr string) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	c := &caller{conn: conn, messages: make(chan jsonl.Message, 100)}
	t.Cleanup(func() { conn.Close() })
	go func() {
		defer close(c.messages)
		for in := jsonl.NewReader(bufio.NewReader(conn)); ; {
			m, err := in.Next()
			if err != nil {
				return
			}
			if m.Type == "close" {
				fmt.Fprintf(conn, `{"msg":"closed","sid":%q,"attrs":{}}`+"\n", m.ID)
			}
			c.messages <- m
		}
	}()
	return c
}

// open sends a set-up.
func (c *caller) open(t *testing.T, id string) {
	t.Helper()
	_, err := fmt.Fprintf(c.conn, `{"msg":"open","sid":%q,"attrs":{"class":"menu-view","left":5000,"key":"1"},"text":"offer"}`+"\n", id)
	require.NoError(t, err)
}

// establish sets up a call and waits for its answer.
func (c *caller) establish(t *testing.T, id string) {
	t.Helper()
	c.open(t, id)
	m := c.next(t, 5*time.Second)
	require.Equal(t, "ready", m.Type, "the answer to the set-up: %v", m)
	require.Equal(t, id, m.ID)
}

// establishOneOf sets up calls until one is established, and returns its id. Refusals, as by a server that has just begun, are allowed.
func (c *caller) establishOneOf(t *testing.T, ids []string) string {
	t.Helper()
	for _, id := range ids {
		c.open(t, id)
		if c.next(t, 6*time.Second).Type == "ready" {
			return id
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.Fail(t, "no call was established")
	return ""
}

// next returns the next message.
func (c *caller) next(t *testing.T, timeout time.Duration) jsonl.Message {
	t.Helper()
	select {
	case m, open := <-c.messages:
		require.True(t, open, "the connection ended")
		return m
	case <-time.After(timeout):
		require.Fail(t, "no message within "+timeout.String())
		return jsonl.Message{}
	}
}

// requireReleased waits for the releases of calls, in any order.
func (c *caller) requireReleased(t *testing.T, timeout time.Duration, ids ...string) {
	t.Helper()
	began := time.Now()
	open := map[string]bool{}
	for _, id := range ids {
		open[id] = true
	}
	for len(open) > 0 {
		select {
		case m, ok := <-c.messages:
			require.True(t, ok, "the connection ended")
			if m.Type == "close" {
				delete(open, m.ID)
			}
		case <-time.After(time.Until(began.Add(timeout))):
			require.Fail(t, "calls left standing", "%d of %d calls are not released after %v", len(open), len(ids), timeout)
		}
	}
	t.Logf("released after %v", time.Since(began).Round(time.Millisecond))
}

// Processes behind the relay.
const (
	gatekeeperName = "gatekeeper"
	serverName     = "server"
	clientsName    = "clients"
)

// callFixture is a gatekeeper process with one menu server and a faulty network on both of its sides.
type callFixture struct {
	network *relay.Network
	server  *menuServer
	process *os.Process
	addr    string // where clients reach the gatekeeper, through the network
	direct  string // its own address
}

func startCallFixture(t *testing.T, reportInterval time.Duration) *callFixture {
	t.Helper()
	s := &callFixture{network: relay.New(1), server: startMenuServer(t, reportInterval)}
	t.Cleanup(s.network.Close)
	toServer, err := s.network.TCP(gatekeeperName, serverName, "")
	require.NoError(t, err)
	s.network.Up(serverName, "", s.server.listener.Addr().String())
	toGatekeeper, err := s.network.TCP(clientsName, gatekeeperName, "")
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "config.json")
	known := fmt.Sprintf(`{"offset":1,"batch":[{"offset":1,"topology":{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":%q,"block":0,"health":"up","share":1,"born_ms":0}]}}]}`, toServer.Addr())
	text := fmt.Sprintf(`{"listen":"127.0.0.1:0","known":%s,"settings":%s}`, known, oneClass)
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	cmd := newProgram("serve", "--log-format", "json")
	cmd.Env = append(cmd.Env, "PROXY_CONFIG="+file)
	s.direct = startUntilLogged(t, cmd, "serving")
	s.process = cmd.Process
	t.Cleanup(func() {
		cmd.Process.Signal(syscall.SIGKILL)
		cmd.Wait()
	})
	s.network.Up(gatekeeperName, "", s.direct)
	s.addr = toGatekeeper.Addr()
	return s
}

// silence is a way in which a server sends nothing more.
type silence struct {
	name string
	mode relay.Mode
}

// The kinds of silence: a machine that is lost, to which no connection comes up, and a process that hangs, for which the kernel
// of its machine still accepts connections.
var silences = []silence{{"lost machine", relay.Lost}, {"hung process", relay.BlackHole}}

// silenceServer makes the server silent towards the gatekeeper. Open connections stay open.
func (s *callFixture) silenceServer(kind silence) {
	s.network.SetMode(gatekeeperName, serverName, kind.mode)
}

// restoreServer ends the silence.
func (s *callFixture) restoreServer() { s.network.SetMode(gatekeeperName, serverName, relay.Open) }

// callIDs returns n call ids.
func callIDs(n int) (ids []string) {
	for i := range n {
		ids = append(ids, fmt.Sprintf("%016x", i+1))
	}
	return ids
}

// Guards against calls left standing at a server that falls silent: callers must read the release within 8 s for any
// interval of its reports and any age of its connections.
func TestSilentServerLeavesNoCallStanding(t *testing.T) {
	for _, c := range []struct {
		name           string
		reportInterval time.Duration
		age            time.Duration // of the connections when the server falls silent
	}{
		{"reports every 500 ms", 500 * time.Millisecond, 3 * time.Second},
		{"reports every 2400 ms", 2400 * time.Millisecond, 8 * time.Second},
		{"one report on each connection", 0, time.Second},
		{"young connections", 500 * time.Millisecond, 600 * time.Millisecond},
	} {
		for _, kind := range silences {
			t.Run(c.name+", "+kind.name, func(t *testing.T) {
				t.Parallel()
				s := startCallFixture(t, c.reportInterval)
				client := dialCaller(t, s.addr)
				began := time.Now()
				ids := callIDs(5)
				for _, id := range ids {
					client.establish(t, id)
				}
				time.Sleep(time.Until(began.Add(c.age)))
				s.silenceServer(kind)
				client.requireReleased(t, endLimit, ids...)
			})
		}
	}
}

// Guards against calls left standing at a server that was silent for some seconds and returns: it must read the releases too.
func TestReturningServerReadsReleases(t *testing.T) {
	for _, kind := range silences {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			s := startCallFixture(t, 500*time.Millisecond)
			client := dialCaller(t, s.addr)
			ids := callIDs(3)
			for _, id := range ids {
				client.establish(t, id)
			}
			time.Sleep(2 * time.Second)
			s.silenceServer(kind)
			client.requireReleased(t, endLimit, ids...)
			s.restoreServer()
			for _, id := range ids {
				require.Eventually(t, func() bool { return s.server.heardRelease(id) }, endLimit, 10*time.Millisecond,
					"the server has not read the release of call %s", id)
			}
		})
	}
}

// Guards against a release that goes to a connection that is none of a caller's: a health check, or a client that sends
// nothing, is connected last when the connection of the call has ended.
func TestReleaseReachesACallerAndNoOtherClient(t *testing.T) {
	s := startCallFixture(t, 500*time.Millisecond)
	first, second := dialCaller(t, s.addr), dialCaller(t, s.addr)
	ids := callIDs(2)
	second.establish(t, ids[1])
	first.establish(t, ids[0])
	first.conn.Close()
	silent, err := net.Dial("tcp", s.addr)
	require.NoError(t, err)
	defer silent.Close()
	check, err := net.Dial("tcp", s.addr)
	require.NoError(t, err)
	defer check.Close()
	io.WriteString(check, `{"msg":"probe","sid":"00000000000000ff","attrs":{},"code":0}`+"\n")
	line, err := bufio.NewReader(check).ReadString('\n')
	require.NoError(t, err)
	require.True(t, strings.Contains(line, "probed"), line)
	time.Sleep(50 * time.Millisecond) // until the end of the first connection is read
	s.server.release(t, ids[0])
	second.requireReleased(t, releaseLimit, ids[0])
}

// Guards against a release that waits for a connection and is taken by a health check, which comes first.
func TestWaitingReleaseIsNotTakenByAHealthCheck(t *testing.T) {
	s := startCallFixture(t, 500*time.Millisecond)
	first := dialCaller(t, s.addr)
	ids := callIDs(2)
	first.establish(t, ids[0])
	first.conn.Close()
	time.Sleep(50 * time.Millisecond)
	s.server.release(t, ids[0])
	time.Sleep(50 * time.Millisecond)
	check, err := net.Dial("tcp", s.addr)
	require.NoError(t, err)
	io.WriteString(check, `{"msg":"probe","sid":"00000000000000ff","attrs":{},"code":0}`+"\n")
	_, err = bufio.NewReader(check).ReadString('\n')
	require.NoError(t, err)
	check.Close()
	second := dialCaller(t, s.addr)
	second.open(t, ids[1])
	second.requireReleased(t, releaseLimit, ids[0])
}

// Guards against a release that is written on a connection which never delivers it: the network between the caller and the
// gatekeeper is cut, then the connection is reset.
func TestReleaseIsSentAgainWhereItWasNotConfirmed(t *testing.T) {
	s := startCallFixture(t, 500*time.Millisecond)
	first := dialCaller(t, s.addr)
	ids := callIDs(2)
	first.establish(t, ids[0])
	second := dialCaller(t, s.direct)
	second.establish(t, ids[1])
	s.network.Cut([]string{gatekeeperName}, []string{clientsName}, true)
	s.server.release(t, ids[0])
	second.requireReleased(t, endLimit, ids[0])
}

// Guards against a release that is kept from a caller who has sent only probes on its connection since the gatekeeper was restarted, or
// whose set-ups go elsewhere now.
func TestReleaseReachesACallerThatOnlyProbes(t *testing.T) {
	s := startCallFixture(t, 500*time.Millisecond)
	first := dialCaller(t, s.addr)
	ids := callIDs(1)
	first.establish(t, ids[0])
	first.conn.Close()
	second := dialCaller(t, s.addr)
	io.WriteString(second.conn, `{"msg":"probe","sid":"00000000000000ff","attrs":{},"code":0}`+"\n")
	require.Equal(t, "probed", second.next(t, time.Second).Type)
	s.server.release(t, ids[0])
	second.requireReleased(t, releaseLimit, ids[0])
}

// Guards against releases that come late where a server vanishes while the caller's connection ends: the caller has come again and sends
// only probes, and the connections of other callers look more likely.
func TestReleasesOfALostServerReachACallerThatComesAgain(t *testing.T) {
	for _, others := range []int{0, 2, 8} {
		t.Run(fmt.Sprintf("%d other callers", others), func(t *testing.T) {
			t.Parallel()
			s := startCallFixture(t, 500*time.Millisecond)
			ids := callIDs(3 + others)
			for i := range others {
				other, err := net.Dial("tcp", s.addr)
				require.NoError(t, err)
				t.Cleanup(func() { other.Close() })
				(&caller{conn: other}).open(t, ids[3+i])
				_, err = bufio.NewReader(other).ReadString('\n')
				require.NoError(t, err)
				go io.Copy(io.Discard, other)
			}
			first := dialCaller(t, s.addr)
			for _, id := range ids[:3] {
				first.establish(t, id)
			}
			time.Sleep(2 * time.Second)
			s.silenceServer(silences[0])
			lost := time.Now()
			first.conn.Close()
			second := dialCaller(t, s.addr)
			io.WriteString(second.conn, `{"msg":"probe","sid":"00000000000000ff","attrs":{},"code":0}`+"\n")
			second.requireReleased(t, time.Until(lost.Add(comeAgainLimit)), ids[:3]...)
		})
	}
}

// Guards against a release that is written in the moment in which its connection ends: the server has not seen the end yet, while the
// gatekeeper has already opened its next connection. The server writes it on the one after that, which must come in time.
func TestReleaseWrittenAsItsConnectionEnds(t *testing.T) {
	s := startCallFixture(t, 500*time.Millisecond)
	client := dialCaller(t, s.addr)
	ids := callIDs(1)
	client.establish(t, ids[0])
	before := s.server.acceptedConns()
	s.server.mu.Lock()
	_, err := io.WriteString(s.server.callConn[ids[0]], "no message\r\n\r\n")
	s.server.mu.Unlock()
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.server.acceptedConns() > before }, time.Second, time.Millisecond)
	s.server.releaseOnNextConnection(ids[0])
	client.requireReleased(t, endLimit, ids[0])
}
