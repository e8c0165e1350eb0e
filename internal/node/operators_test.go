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

	"beammux/control"
	"beammux/internal/config"
	"beammux/internal/protocol/sip/siptest"
	"beammux/internal/routing"
)

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

// withServer puts one stand-in server on the list, which answers set-ups after a time.
func withServer(t *testing.T, n *Node, after time.Duration) *siptest.UserAgent {
	t.Helper()
	server := siptest.New(t, slowly(after))
	n.applied(routing.Update{Complete: true, Hosts: []routing.Host{{Name: "a", Addr: server.Addr("TCP"), State: control.Ready}}})
	return server
}

// dial opens a caller's connection that the test closes.
func dial(t *testing.T, n *Node) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func call(t *testing.T, n *Node, method, path string) (int, string) {
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
	if code, _ := call(t, n, "GET", "/api/ready"); code != 200 {
		t.Fatalf("ready at the start: %d", code)
	}
	if code, _ := call(t, n, "POST", "/api/evacuate"); code != 200 {
		t.Fatalf("evacuate: %d", code)
	}
	if code, _ := call(t, n, "GET", "/api/ready"); code != 503 {
		t.Fatalf("ready after evacuate: %d", code)
	}
	if code, _ := call(t, n, "POST", "/api/rejoin"); code != 200 {
		t.Fatalf("rejoin: %d", code)
	}
	if code, _ := call(t, n, "GET", "/api/ready"); code != 200 {
		t.Fatalf("ready after rejoin: %d", code)
	}
	if code, _ := call(t, n, "GET", "/api/nothing"); code != 404 {
		t.Errorf("unknown path: %d", code)
	}
	if code, _ := call(t, n, "POST", "/api/ready"); code != 405 {
		t.Errorf("wrong method: %d", code)
	}
}

// After evacuate a kept connection with nothing owed on it is closed; one that waits for an answer gets it first, and
// is kept while the call that came on it stands, so that its release is told there.
func TestKeptConnectionClosesOnceIdleAfterEvacuate(t *testing.T) {
	n := operatorsNode(t)
	server := withServer(t, n, 600*time.Millisecond)
	idle, busy := dial(t, n), dial(t, n)
	open(busy, "00000000000000b1", "1", 3000)
	server.Wait("INVITE", siptest.IsMethod("INVITE"))
	evacuated := time.Now()
	call(t, n, "POST", "/api/evacuate")
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

// The figures are the calls driven: two refused while no server is known, one that can't be read, three served by one, which stand until
// their release.
func TestFiguresEqualTheCallsDriven(t *testing.T) {
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
		open(c, fmt.Sprintf("00000000000000a%d", i), "1", 1500)
		wait("close")
	}
	open(c, "00000000000000e1", "not a number", 1500) // unreadable: failed at once
	wait("close")
	withServer(t, n, 10*time.Millisecond)
	for i := range 3 {
		open(c, fmt.Sprintf("00000000000000c%d", i), "1", 3000)
		wait("ready")
	}
	_, text := call(t, n, "GET", "/api/telemetry")
	for _, want := range []string{`proxy_success_total{type="menu-view"} 3`, `proxy_overload_total{type="menu-view"} 2`,
		`proxy_error_total{type="menu-view"} 1`, `proxy_dispatches_total{type="menu-view"} 3`, "proxy_concurrent 3",
		"proxy_targets 1", "proxy_targets_disabled 0"} {
		if !strings.Contains(text, want+"\n") {
			t.Errorf("no line %q in\n%s", want, text)
		}
	}
	// A call that stands has not ended until its release.
	fmt.Fprintln(c, `{"msg":"close","sid":"00000000000000c0","attrs":{},"code":16}`)
	wait("closed")
	if _, text = call(t, n, "GET", "/api/telemetry"); !strings.Contains(text, "proxy_concurrent 2\n") {
		t.Errorf("after a release:\n%s", text)
	}
}

// Callers that send nothing, or half a call, do not hold an answer to another caller back.
func TestSilentOperatorCallersDelayNoAnswer(t *testing.T) {
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
	if code, _ := call(t, n, "GET", "/api/ready"); code != 200 {
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
		t.Fatalf("a half call was not closed at its deadline: %v", err)
	}
	bad, _ := net.Dial("tcp", n.OperatorsAddr())
	defer bad.Close()
	io.WriteString(bad, "BREW /api/ready HTCPCP/1.0\r\n\r\n")
	bad.SetReadDeadline(time.Now().Add(3 * time.Second))
	if line, _ := bufio.NewReader(bad).ReadString('\n'); !strings.HasPrefix(line, "HTTP/1.1 400") {
		t.Fatalf("malformed call: %q", line)
	}
}

// A call that still stands on a kept connection 2 s after evacuate is released towards both sides, and the connection
// closes: the front would hold an idle connection against the gatekeeper at 4 s.
func TestStandingCallIsReleasedAtTheCut(t *testing.T) {
	n := operatorsNode(t)
	server := withServer(t, n, 10*time.Millisecond)
	c := dial(t, n)
	open(c, "00000000000000d1", "1", 3000)
	r := bufio.NewReader(c)
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if line, err := r.ReadString('\n'); err != nil || !strings.Contains(line, `"ready"`) {
		t.Fatalf("answer: %q %v", line, err)
	}
	evacuated := time.Now()
	call(t, n, "POST", "/api/evacuate")
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
