package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/internal/protocol/jsonl"
)

// Terms of the operators for an evacuation ("Drain").
const (
	evacuatedWithin = 4*time.Second + 50*time.Millisecond // from the call until no connection is held
	recentRequest   = 2 * time.Second                     // age up to which a request counts for its connection
	readyWithin     = 2 * time.Second                     // from the rejoin until the answer is yes
)

// evacuatedGatekeeper is a gatekeeper process with an operators' address and one menu server.
type evacuatedGatekeeper struct {
	*gatekeeperProcess
	server *menuServer
}

func startEvacuatedGatekeeper(t *testing.T, answerDelay time.Duration) *evacuatedGatekeeper {
	t.Helper()
	server := startMenuServer(t, 100*time.Millisecond)
	server.answerDelay = answerDelay
	g := &evacuatedGatekeeper{&gatekeeperProcess{name: "evacuated", dir: t.TempDir()}, server}
	known := fmt.Sprintf(`{"offset":1,"batch":[{"offset":1,"topology":{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":%q,"block":0,"health":"up","share":1,"born_ms":0}]}}]}`,
		server.listener.Addr())
	config := fmt.Sprintf(`{"listen":"127.0.0.1:0","known":%s,"settings":%s}`, known, oneClass)
	require.NoError(t, os.WriteFile(filepath.Join(g.dir, "config.json"), []byte(config), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(g.dir, "deploy.json"), []byte("{}"), 0o600))
	g.start(t)
	return g
}

// operate sends an operators' request, which must be answered with yes, and returns when that was.
func (g *evacuatedGatekeeper) operate(t *testing.T, path string) time.Time {
	t.Helper()
	resp, err := (&http.Client{Timeout: time.Second}).Post("http://"+g.adminAddr+path, "", nil)
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	return time.Now()
}

// keptClient is a client that uses one connection for as long as that is open. It confirms releases.
type keptClient struct {
	conn   net.Conn
	number int
	ended  chan struct{} // closed when the gatekeeper has closed the connection

	mu       sync.Mutex
	setups   []*sentSetup
	byID     map[string]*sentSetup
	calls    map[string]bool // established, by id; true once released
	endedAt  time.Time
	lastSent time.Time // when the last set-up was sent
}

func dialKeptClient(t *testing.T, addr string, number int) *keptClient {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	c := &keptClient{conn: conn, number: number, ended: make(chan struct{}), byID: map[string]*sentSetup{}, calls: map[string]bool{}}
	t.Cleanup(func() { conn.Close() })
	go c.read()
	return c
}

// read records answers and releases until the connection ends.
func (c *keptClient) read() {
	defer close(c.ended)
	for in := jsonl.NewReader(bufio.NewReader(c.conn)); ; {
		m, err := in.Next()
		c.mu.Lock()
		if err != nil {
			c.endedAt = time.Now()
			c.mu.Unlock()
			return
		}
		c.receive(m)
		c.mu.Unlock()
	}
}

// receive records one message. The caller holds c.mu.
func (c *keptClient) receive(m jsonl.Message) {
	if _, established := c.calls[m.ID]; established && m.Type == "close" {
		c.calls[m.ID] = true
		fmt.Fprintf(c.conn, `{"msg":"closed","sid":%q,"attrs":{}}`+"\n", m.ID)
		return
	}
	setup := c.byID[m.ID]
	if setup == nil || m.Type != "ready" && m.Type != "close" {
		return
	}
	setup.answers++
	setup.answeredAt = time.Now()
	if m.Type == "ready" {
		c.calls[m.ID] = false
	}
}

// send sends a set-up, in pieces with a pause before each but the first.
func (c *keptClient) send(left time.Duration, pieces int, pause time.Duration) {
	c.mu.Lock()
	id := fmt.Sprintf("%08x%08x", c.number, len(c.setups))
	setup := &sentSetup{}
	c.setups, c.byID[id] = append(c.setups, setup), setup
	c.mu.Unlock()
	text := fmt.Sprintf(`{"msg":"open","sid":%q,"attrs":{"class":"menu-view","left":%d,"key":"1"},"text":"offer"}`+"\n", id, left.Milliseconds())
	size := (len(text) + pieces - 1) / pieces
	for rest := text; rest != ""; {
		n := min(size, len(rest))
		if len(rest) < len(text) {
			time.Sleep(pause)
		}
		c.mu.Lock()
		if n == len(rest) { // the request counts from its last byte
			c.lastSent = time.Now()
			setup.sentAt = c.lastSent
		}
		c.mu.Unlock()
		if _, err := io.WriteString(c.conn, rest[:n]); err != nil {
			return
		}
		rest = rest[n:]
	}
}

// repeat calls step at an interval until the connection has ended.
func (c *keptClient) repeat(interval time.Duration, step func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-c.ended:
			return
		case <-tick.C:
			step()
		}
	}
}

// held returns why the connection breaks the operators' terms at this moment, or "".
func (c *keptClient) held() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.endedAt.IsZero() {
		return ""
	}
	unanswered := 0
	for _, s := range c.setups {
		if s.answers == 0 {
			unanswered++
		}
	}
	if age := time.Since(c.lastSent); age < recentRequest {
		return fmt.Sprintf("held with a request sent %v ago, %d without an answer", age.Round(time.Millisecond), unanswered)
	}
	if unanswered == 0 {
		return "held idle"
	}
	return ""
}

// requireNothingLost requires one answer to each set-up that did not cross the end of the connection, and the release of each call.
func (c *keptClient) requireNothingLost(t *testing.T) {
	t.Helper()
	select {
	case <-c.ended:
	case <-time.After(countedDeadline):
		require.Fail(t, "the connection does not end")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, s := range c.setups {
		crossed := s.answers == 0 && (s.sentAt.IsZero() || c.endedAt.Sub(s.sentAt) <= crossing)
		require.True(t, s.answers == 1 || crossed, "client %d, set-up %d of %d: %d answers, its connection ended %v later", c.number, i, len(c.setups),
			s.answers, c.endedAt.Sub(s.sentAt).Round(time.Millisecond))
	}
	for id, released := range c.calls {
		require.True(t, released, "call %s is established and has no release", id)
	}
}

// Guards against connections that an evacuated gatekeeper holds past their time because they are never without an unanswered set-up: with
// set-ups that overlap, servers that hang, bursts, and evacuations in series.
func TestEvacuationEndsConnectionsInUse(t *testing.T) {
	for _, test := range []struct {
		name        string
		answerDelay time.Duration // of the menu server
		left        time.Duration // how long the client waits
		interval    time.Duration // between set-ups on a connection
		series      int           // evacuations and rejoins, close together, before the one that counts
	}{
		{name: "overlapping set-ups", answerDelay: 170 * time.Millisecond, left: 2 * time.Second, interval: 40 * time.Millisecond},
		{name: "long set-ups", answerDelay: 700 * time.Millisecond, left: 3 * time.Second, interval: 250 * time.Millisecond},
		{name: "server hangs", answerDelay: time.Hour, left: 3 * time.Second, interval: 110 * time.Millisecond},
		{name: "server hangs, long deadlines", answerDelay: time.Hour, left: 9 * time.Second, interval: 300 * time.Millisecond},
		{name: "burst", answerDelay: 60 * time.Millisecond, left: 1200 * time.Millisecond, interval: 2 * time.Millisecond},
		{name: "series", answerDelay: 220 * time.Millisecond, left: 1500 * time.Millisecond, interval: 60 * time.Millisecond, series: 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := startEvacuatedGatekeeper(t, test.answerDelay)
			var clients []*keptClient
			for i := range 3 {
				c := dialKeptClient(t, g.callersAddr, i)
				clients = append(clients, c)
				go c.repeat(test.interval, func() { c.send(test.left, 1, 0) })
			}
			time.Sleep(800 * time.Millisecond)
			for range test.series {
				g.operate(t, "/api/evacuate")
				time.Sleep(150 * time.Millisecond)
				g.operate(t, "/api/rejoin")
				time.Sleep(30 * time.Millisecond)
			}
			evacuatedAt := g.operate(t, "/api/evacuate")
			time.Sleep(time.Until(evacuatedAt.Add(evacuatedWithin)))
			require.False(t, isReady(t, g.adminAddr))
			for _, c := range clients {
				require.Empty(t, c.held(), "client %d, %v after the evacuation\n%s", c.number, time.Since(evacuatedAt).Round(time.Millisecond), g.logText())
			}
			for _, c := range clients {
				c.requireNothingLost(t)
			}
			rejoinedAt := g.operate(t, "/api/rejoin")
			require.Eventually(t, func() bool { return isReady(t, g.adminAddr) }, readyWithin-time.Since(rejoinedAt), 10*time.Millisecond)
		})
	}
}

// probe sends a health check.
func (c *keptClient) probe() {
	fmt.Fprintln(c.conn, `{"msg":"probe","sid":"ffffffffffffffff","attrs":{},"code":0}`)
}

// Guards against idle connections that an evacuated gatekeeper holds because its client sends health checks on them.
func TestEvacuationEndsConnectionsThatProbe(t *testing.T) {
	g := startEvacuatedGatekeeper(t, 0)
	var clients []*keptClient
	for i, interval := range []time.Duration{20 * time.Millisecond, 90 * time.Millisecond, 250 * time.Millisecond} {
		c := dialKeptClient(t, g.callersAddr, i)
		clients = append(clients, c)
		go c.repeat(interval, c.probe)
	}
	time.Sleep(300 * time.Millisecond)
	evacuatedAt := g.operate(t, "/api/evacuate")
	time.Sleep(time.Until(evacuatedAt.Add(evacuatedWithin)))
	for _, c := range clients {
		require.Empty(t, c.held(), "client %d", c.number)
	}
}

// Guards against set-ups that are lost because their connection is closed while they are being received: during an evacuation, and in the
// time after SIGTERM in which requests on open connections are still due an answer.
func TestSetupsInPiecesAreAnsweredWhileClientsAreSentAway(t *testing.T) {
	const pieces = 8
	for _, test := range []struct {
		name            string
		begin, duration time.Duration // of the first byte after the evacuation or SIGTERM, and until the last byte
		shutdown        bool
	}{
		{name: "evacuation, short", begin: 150 * time.Millisecond, duration: 450 * time.Millisecond},
		{name: "evacuation, long", begin: 200 * time.Millisecond, duration: 1600 * time.Millisecond},
		{name: "evacuation, refused", begin: 900 * time.Millisecond, duration: 1700 * time.Millisecond},
		{name: "shutdown", begin: 20 * time.Millisecond, duration: 520 * time.Millisecond, shutdown: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := startEvacuatedGatekeeper(t, 50*time.Millisecond)
			kept := dialKeptClient(t, g.callersAddr, 0)
			time.Sleep(100 * time.Millisecond)
			began := time.Now()
			if test.shutdown {
				require.NoError(t, g.cmd.Process.Signal(syscall.SIGTERM))
			} else {
				g.operate(t, "/api/evacuate")
			}
			time.Sleep(time.Until(began.Add(test.begin)))
			clients := []*keptClient{dialKeptClient(t, g.callersAddr, 1)}
			if test.begin < 300*time.Millisecond { // later, an idle connection is closed
				clients = append(clients, kept)
			}
			var writing sync.WaitGroup
			for _, c := range clients {
				writing.Go(func() { c.send(2*time.Second, pieces, test.duration/(pieces-1)) })
			}
			writing.Wait()
			for _, c := range clients {
				require.Eventually(t, func() bool { return c.answered() == 1 }, time.Second, 10*time.Millisecond,
					"client %d: the set-up whose last byte was sent %v after the start has no answer", c.number, test.begin+test.duration)
			}
		})
	}
}

// answered returns the number of set-ups that have an answer.
func (c *keptClient) answered() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.setups {
		n += min(1, s.answers)
	}
	return n
}

// Guards against calls left standing because the connection of their set-up was reset before an evacuation, which closes all others: their
// release must reach the caller on one of those, and the server.
func TestEvacuationReleasesCallsOfConnectionsThatEnded(t *testing.T) {
	g := startEvacuatedGatekeeper(t, 0)
	first := dialKeptClient(t, g.callersAddr, 1)
	first.send(2*time.Second, 1, 0)
	require.Eventually(t, func() bool { return first.answered() == 1 }, time.Second, 10*time.Millisecond)
	other := dialKeptClient(t, g.callersAddr, 2)
	other.send(2*time.Second, 1, 0)
	require.Eventually(t, func() bool { return other.answered() == 1 }, time.Second, 10*time.Millisecond)
	id := fmt.Sprintf("%08x%08x", 1, 0)
	other.mu.Lock()
	other.calls[id] = false // its caller has come again
	other.mu.Unlock()
	require.NoError(t, first.conn.(*net.TCPConn).SetLinger(0))
	first.conn.Close()
	time.Sleep(50 * time.Millisecond)
	g.operate(t, "/api/evacuate")
	other.requireNothingLost(t)
	require.Eventually(t, func() bool { return g.server.heardRelease(id) }, time.Second, 10*time.Millisecond, "the server has no release")
}
