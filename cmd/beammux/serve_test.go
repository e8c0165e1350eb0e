package main

import (
	"bufio"
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

	"beammux/internal/porttest"
)

// TestMain runs the program instead of the tests if a test started this binary as the program.
func TestMain(m *testing.M) {
	if os.Getenv("BEAMMUX_TEST_MAIN") != "" {
		main()
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
