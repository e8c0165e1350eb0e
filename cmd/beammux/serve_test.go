package main

import (
	"bufio"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/internal/porttest"
	"beammux/internal/protocol/sip"
)

// TestMain runs the program instead of the tests if a test started this binary as the program.
func TestMain(m *testing.M) {
	if os.Getenv("BEAMMUX_TEST_MAIN") != "" {
		main()
		return
	}
	if name := os.Getenv(floodVariable); name != "" {
		runFloodProcess(name)
		return
	}
	os.Exit(m.Run())
}

// newProgram returns a command that runs the program with the repository's root as working directory.
func newProgram(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "BEAMMUX_TEST_MAIN=1")
	cmd.Dir = "../.."
	return cmd
}

// startProgram starts the program and returns a scanner of its standard error. The test must end the program; it is killed after 30 s.
func startProgram(t *testing.T, cmd *exec.Cmd) *bufio.Scanner {
	t.Helper()
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	guard := time.AfterFunc(30*time.Second, func() { cmd.Process.Kill() })
	t.Cleanup(func() { guard.Stop() })
	return bufio.NewScanner(stderr)
}

// startUntilLogged starts the program, reads its JSON log until a message and returns the field "listen" of that line.
func startUntilLogged(t *testing.T, cmd *exec.Cmd, until string) string {
	t.Helper()
	lines := startProgram(t, cmd)
	for lines.Scan() {
		var line struct{ Msg, Listen string }
		if json.Unmarshal(lines.Bytes(), &line) == nil && strings.HasPrefix(line.Msg, until) {
			go func() {
				for lines.Scan() {
				}
			}()
			return line.Listen
		}
	}
	t.Fatalf("the program ended before it logged %q: %v", until, cmd.Wait())
	return ""
}

// httpGet returns the body of a GET request to the operators' address.
func httpGet(addr, path string) (string, error) {
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + addr + path)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// isReady reports whether the process at an operators' address is ready.
func isReady(t *testing.T, addr string) bool {
	t.Helper()
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + addr + "/api/ready")
	if err != nil {
		t.Fatalf("no answer from the operators' address: %v", err)
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

// Guards against SIGHUP ending a gatekeeper during its start: the signal is caught from the beginning and handled once the
// gatekeeper serves. The configuration is a FIFO, so the test knows when the program reads it.
func TestSIGHUPBeforeReady(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(file, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := newProgram("serve")
	cmd.Env = append(cmd.Env, "PROXY_CONFIG="+file, "PROXY_LISTEN=127.0.0.1:0")
	lines := startProgram(t, cmd)
	w, err := os.OpenFile(file, os.O_WRONLY, 0) // returns when the program has opened it
	if err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGHUP)
	text := fmt.Sprintf(`{"listen":"127.0.0.1:0","settings":%s}`, `{"classes":[{"name":"menu-view","repeat":"read_like"}]}`)
	if err := os.WriteFile(file+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	os.Rename(file+".new", file) // read by the reload
	fmt.Fprint(w, text)
	w.Close()
	reloaded := false
	for lines.Scan() {
		if strings.Contains(lines.Text(), "reloaded event bus") {
			reloaded = true
			cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	if !reloaded {
		t.Error("the signal was not handled")
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the program ended with: %v", err)
	}
}

// A hand-over: a second process with the same callers' address and another operators' address starts and becomes ready. The first
// process then exits cleanly on SIGTERM while the second one keeps serving.
func TestHandOver(t *testing.T) {
	listen := porttest.Reserve(t)
	file := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"listen":%q,"settings":%s}`, listen, `{"classes":[{"name":"menu-view","repeat":"read_like"}]}`)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	start := func() (*exec.Cmd, string) {
		cmd := newProgram("serve", "--log-format", "json")
		cmd.Env = append(cmd.Env, "PROXY_CONFIG="+file, "PROXY_ADMIN_ADDR=127.0.0.1:0")
		addr := startUntilLogged(t, cmd, "operators' address serving")
		for !isReady(t, addr) {
		}
		return cmd, addr
	}
	old, oldAddr := start()
	next, nextAddr := start()
	if !isReady(t, oldAddr) || !isReady(t, nextAddr) {
		t.Fatal("not both ready")
	}
	old.Process.Signal(syscall.SIGTERM)
	if err := old.Wait(); err != nil {
		t.Fatalf("the old process ended with: %v", err)
	}
	for range 5 {
		c, err := net.DialTimeout("tcp", listen, time.Second)
		if err != nil {
			t.Fatalf("callers' address after the hand-over: %v", err)
		}
		fmt.Fprintln(c, `{"msg":"probe","sid":"0000000000000001","attrs":{},"code":0}`)
		c.SetReadDeadline(time.Now().Add(2 * time.Second))
		line, err := bufio.NewReader(c).ReadString('\n')
		c.Close()
		if !strings.Contains(line, `"probed"`) {
			t.Fatalf("the new process did not answer: %q %v", line, err)
		}
	}
	next.Process.Signal(syscall.SIGTERM)
	if err := next.Wait(); err != nil {
		t.Errorf("the new process ended with: %v", err)
	}
}

// Guards against a second process that does not start because the first still has an address that can't be shared. It must be ready at
// once, and answer there once the first has ended.
func TestHandOverOfAddressesThatOneProcessHas(t *testing.T) {
	start := func(udp, console string) *gatekeeperProcess {
		g := &gatekeeperProcess{name: "g", dir: t.TempDir()}
		for name, text := range map[string]string{"config.json": fmt.Sprintf(`{"listen":"127.0.0.1:0","settings":%s}`, oneClass),
			"deploy.json": fmt.Sprintf(`{"sip":{"udp":%q,"default_class":"menu-view"},"console":{"listen":%q}}`, udp, console)} {
			require.NoError(t, os.WriteFile(filepath.Join(g.dir, name), []byte(text), 0o600))
		}
		g.start(t)
		return g
	}
	console := filepath.Join(t.TempDir(), "console")
	old := start("127.0.0.1:0", "unix:"+console)
	udp := old.loggedField(t, "SIP front serving", "udp")
	client, err := net.Dial("udp", udp)
	require.NoError(t, err)
	defer client.Close()
	require.Equal(t, 200, sipProbe(t, client))
	next := start(udp, "unix:"+console)
	require.Equal(t, 200, sipProbe(t, client))
	old.stop(t, syscall.SIGTERM)
	next.loggedField(t, "address is free: listening", "address")
	require.Eventually(t, func() bool { return strings.Count(next.logText(), "address is free: listening") == 2 }, time.Second, 10*time.Millisecond)
	require.Equal(t, 200, sipProbe(t, client))
	watcher, err := net.Dial("unix", console)
	require.NoError(t, err)
	watcher.Close()
	next.stop(t, syscall.SIGTERM)
}

// loggedField waits until the process has logged a message, and returns a field of its first such line.
func (g *gatekeeperProcess) loggedField(t *testing.T, message, field string) (value string) {
	t.Helper()
	require.Eventually(t, func() bool {
		for line := range strings.Lines(g.logText()) {
			fields := map[string]any{}
			if json.Unmarshal([]byte(line), &fields) == nil && fields["msg"] == message {
				value = fmt.Sprint(fields[field])
				return true
			}
		}
		return false
	}, 2*time.Second, 10*time.Millisecond, "not logged: %s", message)
	return value
}

// sipProbe sends OPTIONS over UDP, as a client that sends it again, and returns the status of the answer.
func sipProbe(t *testing.T, client net.Conn) int {
	t.Helper()
	probe := sip.Request("OPTIONS", "sip:ping@net").Set("Via", "SIP/2.0/UDP "+client.LocalAddr().String()+";branch=z9hG4bK"+rand.Text()).
		Set("Max-Forwards", "70").Set("From", "<sip:probe@net>;tag=1").Set("To", "<sip:ping@net>").Set("Call-ID", rand.Text()).
		Set("CSeq", "1 OPTIONS").Append(nil)
	buffer := make([]byte, sip.MaxMessage)
	for range 5 {
		client.Write(probe)
		client.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		if n, err := client.Read(buffer); err == nil {
			answer, err := sip.Parse(buffer[:n])
			require.NoError(t, err)
			return answer.Status
		}
		time.Sleep(50 * time.Millisecond)
	}
	require.Fail(t, "no answer to OPTIONS")
	return 0
}

// A start with an invalid operators' address fails with a message that names the address.
func TestBadOperatorsAddress(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"listen":"127.0.0.1:0","admin_addr":"nowhere","settings":%s}`, `{"classes":[{"name":"menu-view","repeat":"read_like"}]}`)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := newProgram("serve")
	cmd.Env = append(cmd.Env, "PROXY_CONFIG="+file)
	out, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "key admin_addr: \"nowhere\" is not HOST:PORT") {
		t.Fatalf("exit %v, printed %q", err, out)
	}
	text = fmt.Sprintf(`{"listen":"127.0.0.1:0","settings":%s}`, `{"classes":[{"name":"menu-view","repeat":"read_like"}]}`)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd = newProgram("serve")
	cmd.Env = append(cmd.Env, "PROXY_CONFIG="+file, "PROXY_ADMIN_ADDR=127.0.0.1:http")
	out, err = cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "PROXY_ADMIN_ADDR") {
		t.Fatalf("exit %v, printed %q", err, out)
	}
}
