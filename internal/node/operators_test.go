package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"beammux/control"
	"beammux/internal/config"
	"beammux/internal/protocol/sip"
	"beammux/internal/protocol/sip/siptest"
	"beammux/internal/routing"
)

// operatorsNode starts a gatekeeper with an operators' address.
func operatorsNode(t *testing.T) *Node {
	t.Helper()
	cfg, err := config.Load(testConfig(t))
	if err != nil {
		t.Fatal(err)
	}
	cfg.AdminAddr = "127.0.0.1:0"
	log, _ := logtest.NewNullLogger()
	return startNode(t, cfg, &config.Deploy{}, log)
}

// withServer replaces the list by one simulated server, which answers set-ups after a delay.
func withServer(t *testing.T, n *Node, after time.Duration) *siptest.UserAgent {
	t.Helper()
	server := siptest.New(t, answerAfter(after))
	n.applyAndWait(routing.Update{Complete: true, Hosts: []routing.Host{{Name: "a", Addr: server.Addr("TCP"), State: control.Ready}}})
	return server
}

// dial opens a caller's connection, which is closed at the end of the test.
func dial(t *testing.T, n *Node) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// operatorsRequest sends a request to the operators' address and returns status and body.
func operatorsRequest(t *testing.T, n *Node, method, path string) (int, string) {
	t.Helper()
	req, _ := http.NewRequest(method, "http://"+n.OperatorsAddr()+path, nil)
	client := http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

func TestReadyFlipsOnEvacuateAndRejoin(t *testing.T) {
	n := operatorsNode(t)
	if code, _ := operatorsRequest(t, n, "GET", "/api/ready"); code != 200 {
		t.Fatalf("ready at the start: %d", code)
	}
	if code, _ := operatorsRequest(t, n, "POST", "/api/evacuate"); code != 200 {
		t.Fatalf("evacuate: %d", code)
	}
	if code, _ := operatorsRequest(t, n, "GET", "/api/ready"); code != 503 {
		t.Fatalf("ready after evacuate: %d", code)
	}
	if code, _ := operatorsRequest(t, n, "POST", "/api/rejoin"); code != 200 {
		t.Fatalf("rejoin: %d", code)
	}
	if code, _ := operatorsRequest(t, n, "GET", "/api/ready"); code != 200 {
		t.Fatalf("ready after rejoin: %d", code)
	}
	if code, _ := operatorsRequest(t, n, "GET", "/api/nothing"); code != 404 {
		t.Errorf("unknown path: %d", code)
	}
	if code, _ := operatorsRequest(t, n, "POST", "/api/ready"); code != 405 {
		t.Errorf("wrong method: %d", code)
	}
}

// After an evacuate, an idle connection is closed. One with a pending answer stays open until the answer is sent, and while its
// call is established, so that the release can be sent on it.
func TestEvacuateClosesIdleConnections(t *testing.T) {
	n := operatorsNode(t)
	server := withServer(t, n, 600*time.Millisecond)
	idle, busy := dial(t, n), dial(t, n)
	sendSetup(busy, "00000000000000b1", "1", 3000)
	server.Wait("INVITE", siptest.IsMethod("INVITE"))
	evacuated := time.Now()
	operatorsRequest(t, n, "POST", "/api/evacuate")
	idle.SetReadDeadline(time.Now().Add(3 * time.Second))
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("idle connection after evacuate: %v", err)
	}
	if took := time.Since(evacuated); took > 2*time.Second {
		t.Errorf("idle connection closed after %v", took)
	}
	busy.SetReadDeadline(time.Now().Add(3 * time.Second))
	r := bufio.NewReader(busy)
	line, err := r.ReadString('\n')
	if err != nil || !strings.Contains(line, `"ready"`) {
		t.Fatalf("answer on the busy connection: %q %v", line, err)
	}
	fmt.Fprintln(busy, `{"msg":"close","sid":"00000000000000b1","attrs":{},"code":16}`)
	if line, err := r.ReadString('\n'); err != nil || !strings.Contains(line, `"closed"`) {
		t.Fatalf("release: %q %v", line, err)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Fatalf("busy connection after its call ended: %v", err)
	}
}

// The metrics match the calls made: two refused while no server is known, one invalid, and three answered by a server, which
// stay open until their release.
func TestMetricsMatchCalls(t *testing.T) {
	n := operatorsNode(t)
	answers := make(chan string, 9)
	c := dialJSON(t, n, func(m map[string]any) { answers <- fmt.Sprint(m["msg"]) })
	wait := func(want string) {
		t.Helper()
		select {
		case got := <-answers:
			if got != want {
				t.Fatalf("answer %s, want %s", got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("no answer")
		}
	}
	for i := range 2 {
		sendSetup(c, fmt.Sprintf("00000000000000a%d", i), "1", 1500)
		wait("close")
	}
	sendSetup(c, "00000000000000e1", "not a number", 1500) // invalid: fails immediately
	wait("close")
	withServer(t, n, 10*time.Millisecond)
	for i := range 3 {
		sendSetup(c, fmt.Sprintf("00000000000000c%d", i), "1", 3000)
		wait("ready")
	}
	_, text := operatorsRequest(t, n, "GET", "/api/telemetry")
	for _, want := range []string{`proxy_success_total{type="menu-view"} 3`, `proxy_overload_total{type="menu-view"} 2`,
		`proxy_error_total{type="menu-view"} 1`, `proxy_dispatches_total{type="menu-view"} 3`, "proxy_concurrent 3",
		"proxy_targets 1", "proxy_targets_disabled 0"} {
		if !strings.Contains(text, want+"\n") {
			t.Errorf("no line %q in\n%s", want, text)
		}
	}
	// An established call stays open until its release.
	fmt.Fprintln(c, `{"msg":"close","sid":"00000000000000c0","attrs":{},"code":16}`)
	wait("closed")
	if _, text = operatorsRequest(t, n, "GET", "/api/telemetry"); !strings.Contains(text, "proxy_concurrent 2\n") {
		t.Errorf("after a release:\n%s", text)
	}
}

// Clients that send nothing or half a request do not delay the answers to others.
func TestSilentOperatorClientsDelayNoAnswer(t *testing.T) {
	n := operatorsNode(t)
	for i := range 40 {
		c, err := net.Dial("tcp", n.OperatorsAddr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 1 {
			io.WriteString(c, "GET /api/ready HTTP/1.1\r\nHost: x\r\n")
		}
	}
	started := time.Now()
	if code, _ := operatorsRequest(t, n, "GET", "/api/ready"); code != 200 {
		t.Fatalf("ready: %d", code)
	}
	if took := time.Since(started); took > time.Second {
		t.Fatalf("ready answered after %v", took)
	}
	half, _ := net.Dial("tcp", n.OperatorsAddr())
	defer half.Close()
	io.WriteString(half, "GET /api/ready HTTP/1.1\r\nHost")
	half.SetReadDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.ReadAll(half); err != nil {
		t.Fatalf("an incomplete request was not closed at its deadline: %v", err)
	}
	bad, _ := net.Dial("tcp", n.OperatorsAddr())
	defer bad.Close()
	io.WriteString(bad, "BREW /api/ready HTCPCP/1.0\r\n\r\n")
	bad.SetReadDeadline(time.Now().Add(3 * time.Second))
	if line, _ := bufio.NewReader(bad).ReadString('\n'); !strings.HasPrefix(line, "HTTP/1.1 400") {
		t.Fatalf("malformed request: %q", line)
	}
}

// A call that is still established 2 s after an evacuate is released towards caller and server, and its connection closes: the
// callers' front end counts an idle connection against the gatekeeper after 4 s.
func TestEstablishedCallIsReleasedAfterEvacuate(t *testing.T) {
	n := operatorsNode(t)
	server := withServer(t, n, 10*time.Millisecond)
	c := dial(t, n)
	sendSetup(c, "00000000000000d1", "1", 3000)
	r := bufio.NewReader(c)
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if line, err := r.ReadString('\n'); err != nil || !strings.Contains(line, `"ready"`) {
		t.Fatalf("answer: %q %v", line, err)
	}
	evacuated := time.Now()
	operatorsRequest(t, n, "POST", "/api/evacuate")
	line, err := r.ReadString('\n')
	if err != nil || !strings.Contains(line, `"close"`) || !strings.Contains(line, `"code":16`) {
		t.Fatalf("release: %q %v", line, err)
	}
	if took := time.Since(evacuated); took < 1900*time.Millisecond || took > 3500*time.Millisecond {
		t.Errorf("released %v after evacuate", took)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Fatalf("connection after the release: %v", err)
	}
	server.Wait("BYE", siptest.IsMethod("BYE"))
}

// Guards against SIP clients that stay at an evacuated gatekeeper: their health checks must fail and their idle connections be closed. One
// with an established call stays open.
func TestEvacuateSendsSIPClientsAway(t *testing.T) {
	n := testNode(t, &config.Deploy{SIPUDP: "127.0.0.1:0", SIPTCP: "127.0.0.1:0", DefaultClass: "menu-view"})
	withServer(t, n, 0)
	client := siptest.New(t, nil)
	request := func(conn net.Conn, proto, method string) int {
		m := client.Invite(proto, fmt.Sprintf("%s-%d", method, time.Now().UnixNano()), "1", "")
		m.Method = method
		m.Set("CSeq", "1 "+method)
		_, err := conn.Write(m.Append(nil))
		require.NoError(t, err)
		conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		in := sip.NewReader(bufio.NewReader(conn))
		for {
			answer, err := in.Next()
			require.NoError(t, err)
			if _, of, _ := answer.CSeq(); of == method && answer.Status >= 200 {
				return answer.Status
			}
		}
	}
	connect := func(proto string) net.Conn {
		conn, err := net.Dial(strings.ToLower(proto), n.agent.Addr(proto))
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	idle, busy, datagrams := connect("TCP"), connect("TCP"), connect("UDP")
	require.Equal(t, 200, request(idle, "TCP", "OPTIONS"))
	require.Equal(t, 200, request(busy, "TCP", "INVITE"))
	n.Evacuate()
	idle.SetReadDeadline(time.Now().Add(time.Second))
	_, err := idle.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err, "the idle connection is closed")
	require.Equal(t, 503, request(datagrams, "UDP", "OPTIONS"))
	time.Sleep(2500 * time.Millisecond)
	require.Equal(t, 503, request(busy, "TCP", "OPTIONS"), "on the connection of the established call")
	time.Sleep(2 * time.Second)
	require.Equal(t, 503, request(busy, "TCP", "OPTIONS"), "past the time of all other connections")
	require.Zero(t, metric(t, n, "proxy_evacuation_overdue_total"), "the connection of the established call may stay open")
	n.Rejoin()
	require.Eventually(t, func() bool { return request(datagrams, "UDP", "OPTIONS") == 200 }, time.Second, 10*time.Millisecond)
}
