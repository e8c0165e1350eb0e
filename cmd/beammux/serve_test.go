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

// As the program itself, when a test starts it.
func TestMain(m *testing.M) {
	if os.Getenv("BEAMMUX_TEST_MAIN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// program makes a command that runs the program, from the root of the repository's example files.
func program(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "BEAMMUX_TEST_MAIN=1")
	cmd.Dir = "../.."
	return cmd
}

// started starts the program and gives its log, which it must be killed or told to end: after half a minute it is.
func started(t *testing.T, cmd *exec.Cmd) *bufio.Scanner {
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

// logged starts the program and reads its JSON log until a message; it gives the line's field "listen".
func logged(t *testing.T, cmd *exec.Cmd, until string) string {
	t.Helper()
	lines := started(t, cmd)
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
	t.Fatalf("the program ended before it said %q: %v", until, cmd.Wait())
	return ""
}

// viaHTTP gives the body of one of the operators' calls.
func viaHTTP(addr, path string) (string, error) {
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + addr + path)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// ready asks a gatekeeper's operators' address.
func ready(t *testing.T, addr string) bool {
	t.Helper()
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + addr + "/api/ready")
	if err != nil {
		t.Fatalf("no answer from the operators' address: %v", err)
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

// Guards against SIGHUP ending a gatekeeper that is not up yet: it is caught from the first and served once it is up.
// The configuration is a FIFO, so the test knows when the program reads it.
func TestSIGHUPBeforeReady(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(file, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := program("serve")
	cmd.Env = append(cmd.Env, "PROXY_CONFIG="+file, "PROXY_LISTEN=127.0.0.1:0")
	lines := started(t, cmd)
	w, err := os.OpenFile(file, os.O_WRONLY, 0) // returns when the program has opened it
	if err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGHUP)
	text := fmt.Sprintf(`{"listen":"127.0.0.1:0","settings":%s}`, `{"classes":[{"name":"menu-view","repeat":"read_like"}]}`)
	if err := os.WriteFile(file+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	os.Rename(file+".new", file) // for the second reading
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
		t.Error("the signal was not served")
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the program ended with: %v", err)
	}
}

// A hand-over: a second process with the same callers' address and another operators' address starts beside the first,
// says ready, and the first ends cleanly on SIGTERM while the second goes on serving.
func TestHandOver(t *testing.T) {
	listen := porttest.Reserve(t)
	file := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"listen":%q,"settings":%s}`, listen, `{"classes":[{"name":"menu-view","repeat":"read_like"}]}`)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	start := func() (*exec.Cmd, string) {
		cmd := program("serve", "--log-format", "json")
		cmd.Env = append(cmd.Env, "PROXY_CONFIG="+file, "PROXY_ADMIN_ADDR=127.0.0.1:0")
		addr := logged(t, cmd, "operators' address serving")
		for !ready(t, addr) {
		}
		return cmd, addr
	}
	old, oldAddr := start()
	next, nextAddr := start()
	if !ready(t, oldAddr) || !ready(t, nextAddr) {
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

// A bad operators' address stops the start with one line that names it.
func TestBadOperatorsAddress(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"listen":"127.0.0.1:0","admin_addr":"nowhere","settings":%s}`, `{"classes":[{"name":"menu-view","repeat":"read_like"}]}`)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := program("serve")
	cmd.Env = append(cmd.Env, "PROXY_CONFIG="+file)
	out, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "key admin_addr: \"nowhere\" is not HOST:PORT") {
		t.Fatalf("exit %v, said %q", err, out)
	}
	text = fmt.Sprintf(`{"listen":"127.0.0.1:0","settings":%s}`, `{"classes":[{"name":"menu-view","repeat":"read_like"}]}`)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd = program("serve")
	cmd.Env = append(cmd.Env, "PROXY_CONFIG="+file, "PROXY_ADMIN_ADDR=127.0.0.1:http")
	out, err = cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "PROXY_ADMIN_ADDR") {
		t.Fatalf("exit %v, said %q", err, out)
	}
}
